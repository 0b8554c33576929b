//! A job's progress, as it is stored and restored.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::Placement;
use super::job::{Job, TaskState};
use crate::fleet::progress::{
    CrashTable, ProgressRow, RowSize, TaskRow, TaskStage, WIDE_JOB_TASKS, max_placed_bytes,
};
use crate::fleet::spec::TaskKey;
use crate::id::{JobId, WorkerId};

impl Job {
    /// Returns the progress to be stored; `address` looks up the addresses of workers.
    pub fn progress(
        &self,
        id: &JobId,
        address: impl Fn(&WorkerId) -> Option<SocketAddr>,
    ) -> ProgressRow {
        let mut workers: IndexMap<WorkerId, Option<u64>> = IndexMap::new();
        let mut tasks = Vec::new();
        let mut crashes = CrashTable::default();
        let mut done: Vec<(u32, u32, u32, u32)> = Vec::new();
        let is_wide = self.is_wide();
        self.for_each_task(id, |key, task| {
            let TaskKey { occurrence, step, index, .. } = key;
            if is_wide && *task.state() == TaskState::Done {
                extend_ranges(&mut done, (occurrence, step, index));
                return;
            }
            if !task.crashes.is_empty() {
                crashes.add(occurrence, step, index, &task.crashes);
            }
            let (stage, worker) = match task.state() {
                TaskState::Waiting => (TaskStage::Waiting, 0),
                TaskState::Placed(run) => {
                    let entry = workers.entry(run.worker.clone());
                    let number = entry.index();
                    entry.or_insert(run.born_wall_ms);
                    (TaskStage::Placed, number)
                }
                TaskState::Done => (TaskStage::Done, 0),
            };
            // Of a job that has ended only the runs matter that are still to be stopped.
            let is_over = self.phase.is_final() && stage != TaskStage::Placed;
            if is_over || (stage == TaskStage::Waiting && task.attempt == 0) {
                return;
            }
            let checkpoint = task.checkpoint.clone().filter(|_| stage != TaskStage::Done);
            tasks.push(TaskRow {
                occurrence,
                step,
                index,
                stage,
                attempt: task.attempt,
                failures: task.failures,
                worker: worker as u32,
                checkpoint,
            });
        });
        let mut row = ProgressRow {
            phase: self.phase,
            occurrences_done: self.occurrences_done.iter().copied().collect(),
            born_wall_ms: workers.values().copied().collect(),
            workers: workers.into_keys().map(|id| (id.clone(), address(&id))).collect(),
            tasks,
            done,
            crashes,
            reason: self.reason.clone(),
        };
        row.limit_checkpoints();
        row
    }

    /// Restores stored progress at `now_ms`.
    pub fn restore(&mut self, progress: &ProgressRow, now_ms: u64) {
        self.phase = progress.phase;
        self.reason.clone_from(&progress.reason);
        self.occurrences.clear();
        self.occurrences_done = progress.occurrences_done.iter().copied().collect();
        if self.record.spec.repeat == 0 {
            self.begin_occurrence(0);
        }
        for row in &progress.tasks {
            self.begin_occurrence(row.occurrence);
            let Some(occurrence) = self.occurrences.get_mut(&row.occurrence) else { continue };
            let Some(step) = occurrence.steps.get_mut(row.step as usize) else { continue };
            let Some(task) = step.tasks.get_mut(row.index as usize) else { continue };
            task.failures = row.failures;
            task.checkpoint.clone_from(&row.checkpoint);
            task.attempt = row.attempt;
            let state = match (row.stage, progress.workers.get(row.worker as usize)) {
                (TaskStage::Done, _) => TaskState::Done,
                (TaskStage::Placed, Some((worker, _))) => {
                    let born = progress.born_wall_ms.get(row.worker as usize);
                    let born_wall_ms = born.copied().flatten();
                    let run = Placement::restored(worker, row.attempt);
                    TaskState::Placed(Placement { born_wall_ms, ..run })
                }
                _ => TaskState::Waiting,
            };
            step.set_state(row.index as usize, state);
        }
        for (occurrence, step, from, to) in &progress.done {
            self.begin_occurrence(*occurrence);
            let Some(occurrence) = self.occurrences.get_mut(occurrence) else { continue };
            let Some(step) = occurrence.steps.get_mut(*step as usize) else { continue };
            for index in *from as usize..(*to as usize).min(step.tasks.len()) {
                step.set_state(index, TaskState::Done);
            }
        }
        for (occurrence, step, index, crashes) in progress.crashes.tasks() {
            let Some(occurrence) = self.occurrences.get_mut(&occurrence) else { continue };
            let Some(step) = occurrence.steps.get_mut(step as usize) else { continue };
            if let Some(task) = step.tasks.get_mut(index as usize) {
                task.crashes = crashes;
                task.crashed_ms = now_ms;
            }
        }
    }

    /// Returns whether the job has so many tasks that its row of progress may be too large.
    fn is_wide(&self) -> bool {
        let occurrences = self.occurrences.values();
        let steps = occurrences.flat_map(|occurrence| &occurrence.steps);
        steps.map(|step| step.tasks.len()).sum::<usize>() > WIDE_JOB_TASKS
    }

    /// Leaves out the tasks that can't be placed now since the progress couldn't be stored.
    pub fn retain_storable(&self, id: &JobId, keys: &mut Vec<TaskKey>) {
        if !self.is_wide() {
            return;
        }
        let mut size = RowSize { done_ranges: self.occurrences_done.len(), ..RowSize::default() };
        let mut done = Vec::new();
        self.for_each_task(id, |key, task| match task.state() {
            TaskState::Done => {
                extend_ranges(&mut done, (key.occurrence, key.step, key.index));
            }
            TaskState::Waiting if task.attempt == 0 => {}
            state => {
                size.tasks += 1;
                // Counts its crashes before they happen.
                size.suspects += 1;
                size.workers += usize::from(matches!(state, TaskState::Placed(_)));
            }
        });
        size.done_ranges += done.len();
        let mut budget_bytes = size.budget_bytes();
        keys.retain(|key| {
            let was_placed_before = self.task(key).is_some_and(|task| task.attempt > 0);
            let left_bytes = budget_bytes.checked_sub(max_placed_bytes(was_placed_before));
            budget_bytes = left_bytes.unwrap_or(budget_bytes);
            left_bytes.is_some()
        });
    }
}

/// Adds a task to ranges that are in the order of the tasks.
fn extend_ranges(ranges: &mut Vec<(u32, u32, u32, u32)>, task: (u32, u32, u32)) {
    let (occurrence, step, index) = task;
    match ranges.last_mut() {
        Some((o, s, _, to)) if (*o, *s, *to) == task => *to += 1,
        _ => ranges.push((occurrence, step, index, index + 1)),
    }
}
