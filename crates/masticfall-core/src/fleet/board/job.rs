//! A job in memory.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use super::Now;
use crate::fleet::admission::objective_ms;
use crate::fleet::config::FleetConfig;
use crate::fleet::progress::{JobPhase, ProgressRow, TaskRow, TaskStage};
use crate::fleet::spec::{JobRecord, Resources, TaskKey};
use crate::id::{JobId, Name, WorkerId};

/// Where a start order is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderState {
    /// The placement isn't stored yet; nothing was sent.
    Unstored,
    /// The order was sent at this time, and isn't answered.
    Sent(u64),
    /// The order's outcome is unknown since this time; it is sent again.
    Unknown(u64),
    /// It was settled at this time: a listing asked for later shows the run or
    /// its end, or the run doesn't exist.
    Settled(u64),
}

/// A run of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// Number of the start.
    pub attempt: u32,
    /// Where the start order is.
    pub order: OrderState,
    /// Whether an earlier order of the same run got no answer.
    pub had_unknown_outcome: bool,
    /// When the run was last told to stop.
    pub stop_sent_ms: Option<u64>,
    /// Progress, in percent.
    pub percent: u32,
    /// Load as last reported.
    pub load: u64,
    /// Pace it was set to, in percent.
    pub pace_percent: u32,
}

/// Where a task is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for a start.
    Waiting,
    /// May be running.
    Placed(Placement),
    /// Is done.
    Done,
}

/// A task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// Where it is.
    pub state: TaskState,
    /// Number of its last start.
    pub attempt: u32,
    /// Starts that ended in failure.
    pub failures: u32,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// Time before which it isn't started again.
    pub not_before_ms: u64,
    /// Workers on which it failed.
    pub failed_on: Vec<WorkerId>,
}

/// A step of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// How many of them are done.
    pub done: u32,
    /// What each of them takes of a worker.
    pub reserved_per_task: Resources,
}

impl Step {
    fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// One run through the steps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<Step>,
}

/// A job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// As accepted.
    pub record: JobRecord,
    /// Where it is in its life.
    pub phase: JobPhase,
    /// When this dispatcher learned of it, less the age that its row shows.
    pub accepted_ms: u64,
    /// When its objective ends, by our clock.
    pub due_ms: u64,
    /// Occurrences that have begun and aren't done.
    pub occurrences: IndexMap<u32, Occurrence>,
    /// Occurrences of which all tasks are done.
    pub occurrences_done: IndexSet<u32>,
    /// Attempt number that all starts have to exceed.
    pub attempt_floor: u32,
}

/// Bound on the age that a job's row may show, in milliseconds: wall clocks of
/// processes differ, and may jump.
const MAX_JOB_AGE_MS: u64 = 600_000;

impl Job {
    /// Makes a job of which nothing has run.
    pub fn new(record: JobRecord, config: Option<&FleetConfig>, now: Now) -> Self {
        let age_ms = now.wall_ms.saturating_sub(record.accepted_wall_ms).min(MAX_JOB_AGE_MS);
        let queue = config.and_then(|config| config.queues.get(&record.queue));
        let objective_ms = queue.map_or(0, |queue| objective_ms(queue, &record.spec));
        let accepted_ms = now.steady_ms.saturating_sub(age_ms);
        let mut job = Self {
            phase: JobPhase::Queued,
            accepted_ms,
            due_ms: accepted_ms + objective_ms,
            occurrences: IndexMap::new(),
            occurrences_done: IndexSet::new(),
            attempt_floor: 0,
            record,
        };
        if job.record.spec.repeat == 0 {
            job.begin_occurrence(0);
        }
        job
    }

    /// Begins an occurrence; nothing happens when it has begun before.
    pub fn begin_occurrence(&mut self, number: u32) {
        if self.occurrences_done.contains(&number) || self.occurrences.contains_key(&number) {
            return;
        }
        let steps = self.record.spec.steps.iter().map(|spec| {
            let task = Task {
                state: TaskState::Waiting,
                attempt: 0,
                failures: 0,
                checkpoint: None,
                not_before_ms: 0,
                failed_on: Vec::new(),
            };
            let tasks = vec![task; spec.tasks as usize];
            Step { tasks, done: 0, reserved_per_task: spec.reserved() }
        });
        let steps = steps.collect();
        self.occurrences.insert(number, Occurrence { steps });
    }

    /// Returns the step of a task. The task has to belong to an occurrence that has begun.
    pub fn step(&self, key: &TaskKey) -> &Step {
        &self.occurrences[&key.occurrence].steps[key.step as usize]
    }

    /// Returns a task, if its occurrence has begun.
    pub fn task(&self, key: &TaskKey) -> Option<&Task> {
        let steps = &self.occurrences.get(&key.occurrence)?.steps;
        steps.get(key.step as usize)?.tasks.get(key.index as usize)
    }

    /// Returns a task, if its occurrence has begun.
    pub fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        let steps = &mut self.occurrences.get_mut(&key.occurrence)?.steps;
        steps.get_mut(key.step as usize)?.tasks.get_mut(key.index as usize)
    }

    /// Returns the run of a task with this number, if it is the current one.
    pub fn run_mut(&mut self, key: &TaskKey, attempt: u32) -> Option<&mut Placement> {
        match &mut self.task_mut(key)?.state {
            TaskState::Placed(run) if run.attempt == attempt => Some(run),
            _ => None,
        }
    }

    /// Marks a task as done; returns whether that ended its occurrence.
    ///
    /// One member of a gang stands for all.
    pub fn mark_done(&mut self, key: &TaskKey) -> bool {
        let is_gang = self.record.spec.steps[key.step as usize].is_gang;
        let Some(occurrence) = self.occurrences.get_mut(&key.occurrence) else { return false };
        let step = &mut occurrence.steps[key.step as usize];
        let task = &mut step.tasks[key.index as usize];
        if task.state != TaskState::Done {
            task.state = TaskState::Done;
            step.done += 1;
        }
        if is_gang {
            for task in &mut step.tasks {
                if task.state == TaskState::Waiting {
                    task.state = TaskState::Done;
                    step.done += 1;
                }
            }
        }
        if !occurrence.steps.iter().all(Step::is_done) {
            return false;
        }
        self.occurrences.shift_remove(&key.occurrence);
        self.occurrences_done.insert(key.occurrence);
        true
    }

    /// Tells whether all occurrences are done.
    pub fn is_done(&self) -> bool {
        self.occurrences_done.len() == self.record.spec.occurrences() as usize
    }

    /// Tells whether all earlier steps that a step needs are done.
    pub fn is_step_ready(&self, occurrence: u32, step: usize) -> bool {
        let Some(state) = self.occurrences.get(&occurrence) else { return false };
        let after = &self.record.spec.steps[step].after;
        after.iter().all(|on| state.steps[*on as usize].is_done())
    }

    /// Tells whether a task may be started, now or soon.
    pub fn has_ready_tasks(&self) -> bool {
        !self.phase.is_final()
            && self.occurrences.iter().any(|(number, occurrence)| {
                occurrence.steps.iter().enumerate().any(|(index, step)| {
                    !step.is_done()
                        && step.tasks.iter().any(|task| task.state == TaskState::Waiting)
                        && self.is_step_ready(*number, index)
                })
            })
    }

    /// Returns the longest chain of what isn't done, in milliseconds, by the estimates.
    pub fn remaining_ms(&self) -> u64 {
        let Some(occurrence) = self.occurrences.values().next() else {
            return self.record.spec.critical_path_ms();
        };
        let mut ends: Vec<u64> = Vec::with_capacity(occurrence.steps.len());
        for (spec, step) in self.record.spec.steps.iter().zip(&occurrence.steps) {
            let start = spec.after.iter().filter_map(|on| ends.get(*on as usize)).max();
            let own_ms = if step.is_done() { 0 } else { spec.estimate_ms };
            ends.push(start.copied().unwrap_or(0) + own_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns what its tasks need that run, or could run now.
    pub fn current_demand(&self) -> Resources {
        let mut needs = Resources::default();
        for (number, occurrence) in &self.occurrences {
            for (index, step) in occurrence.steps.iter().enumerate() {
                let is_open = self.is_step_ready(*number, index);
                let open = step.tasks.iter().filter(|task| match task.state {
                    TaskState::Placed(_) => true,
                    TaskState::Waiting => is_open,
                    TaskState::Done => false,
                });
                needs = needs.plus(&step.reserved_per_task.times(open.count() as u64));
            }
        }
        needs
    }

    /// Returns the estimated work of the tasks that wait: what they need, times
    /// milliseconds.
    pub fn waiting_work(&self) -> Resources {
        let mut work = Resources::default();
        for occurrence in self.occurrences.values() {
            for (spec, step) in self.record.spec.steps.iter().zip(&occurrence.steps) {
                let waiting = step.tasks.iter().filter(|task| task.state == TaskState::Waiting);
                work = work.plus(&spec.needs.times(waiting.count() as u64 * spec.estimate_ms));
            }
        }
        work
    }

    /// Returns the tasks that are placed, with their workers.
    pub fn placements(&self, id: &JobId) -> Vec<(TaskKey, WorkerId)> {
        let mut placed = Vec::new();
        self.for_each_task(id, |key, task| {
            if let TaskState::Placed(run) = &task.state {
                placed.push((key, run.worker.clone()));
            }
        });
        placed
    }

    /// Tells whether any task is placed.
    pub fn has_placements(&self) -> bool {
        let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| matches!(task.state, TaskState::Placed(_)))
    }

    fn for_each_task(&self, id: &JobId, mut visit: impl FnMut(TaskKey, &Task)) {
        for (occurrence, state) in &self.occurrences {
            for (step, tasks) in state.steps.iter().enumerate() {
                for (index, task) in tasks.tasks.iter().enumerate() {
                    let (step, index) = (step as u32, index as u32);
                    visit(TaskKey { job: id.clone(), occurrence: *occurrence, step, index }, task);
                }
            }
        }
    }

    /// Returns the progress to be stored.
    ///
    /// `address` gives the addresses of workers.
    pub fn progress(
        &self,
        id: &JobId,
        address: impl Fn(&WorkerId) -> Option<SocketAddr>,
    ) -> ProgressRow {
        let mut workers: IndexSet<WorkerId> = IndexSet::new();
        let mut tasks = Vec::new();
        self.for_each_task(id, |key, task| {
            let (stage, worker) = match &task.state {
                TaskState::Waiting => (TaskStage::Waiting, 0),
                TaskState::Placed(run) => {
                    (TaskStage::Placed, workers.insert_full(run.worker.clone()).0)
                }
                TaskState::Done => (TaskStage::Done, 0),
            };
            if stage == TaskStage::Waiting && task.attempt == 0 {
                return;
            }
            tasks.push(TaskRow {
                occurrence: key.occurrence,
                step: key.step,
                index: key.index,
                stage,
                attempt: task.attempt,
                failures: task.failures,
                worker: worker as u32,
                checkpoint: task.checkpoint.clone(),
            });
        });
        ProgressRow {
            phase: self.phase,
            occurrences_done: self.occurrences_done.iter().copied().collect(),
            workers: workers.into_iter().map(|id| (id.clone(), address(&id))).collect(),
            tasks,
        }
    }

    /// Restores the progress that an earlier dispatcher stored.
    pub fn restore(&mut self, progress: &ProgressRow) {
        self.phase = progress.phase;
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
            match (row.stage, progress.workers.get(row.worker as usize)) {
                (TaskStage::Done, _) => {
                    task.state = TaskState::Done;
                    step.done += 1;
                }
                (TaskStage::Placed, Some((worker, _))) => {
                    task.state = TaskState::Placed(Placement::restored(worker, row.attempt));
                }
                _ => {}
            }
        }
    }
}

impl Placement {
    /// Makes a placement whose order wasn't sent.
    pub fn new(worker: &WorkerId, attempt: u32) -> Self {
        Self {
            worker: worker.clone(),
            attempt,
            order: OrderState::Unstored,
            had_unknown_outcome: false,
            stop_sent_ms: None,
            percent: 0,
            load: 0,
            pace_percent: 100,
        }
    }

    /// Makes a placement of an earlier dispatcher. The first listing under the
    /// new fencing token decides whether it exists.
    fn restored(worker: &WorkerId, attempt: u32) -> Self {
        Self { order: OrderState::Settled(0), ..Self::new(worker, attempt) }
    }
}
