//! In-memory state of a job.

use indexmap::{IndexMap, IndexSet};

use super::{Now, OrderState, Placement};
use crate::fleet::admission::objective_ms;
use crate::fleet::config::FleetConfig;
use crate::fleet::crashes::{Crash, Verdict, judge, trial_ms};
use crate::fleet::progress::JobPhase;
use crate::fleet::spec::{JobRecord, MAX_TASKS, Resources, TaskKey};
use crate::id::{JobId, Name, WorkerId};

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for placement.
    Waiting,
    /// May be running.
    Placed(Placement),
    /// Completed.
    Done,
}

/// A task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// Changed by [`Step::set_state`] only, which keeps the step's counts.
    state: TaskState,
    /// Number of the last attempt.
    pub attempt: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// When this owner learned of the checkpoint, by the local clock.
    checkpoint_ms: u64,
    /// Time before which it isn't placed again.
    pub not_before_ms: u64,
    /// Workers on which it failed.
    pub failed_on: Vec<WorkerId>,
    /// Crashes of workers that count against it, in order.
    pub crashes: Vec<Crash>,
    /// Time since which they are known, by the local clock.
    pub crashed_ms: u64,
}

impl Task {
    /// Returns the current state.
    pub fn state(&self) -> &TaskState {
        &self.state
    }

    /// Returns the verdict on the task by the workers that it has lost.
    pub fn verdict(&self) -> Verdict {
        judge(&self.crashes)
    }

    /// Returns whether the task is on trial: a suspect whose run has to outlive it.
    pub fn is_on_trial(&self) -> bool {
        let TaskState::Placed(run) = &self.state else { return false };
        self.verdict().is_suspect() && run.alive_ms < trial_ms(&self.crashes)
    }

    /// Remembers a reported checkpoint, if there is one.
    pub(super) fn save_checkpoint(&mut self, checkpoint: Option<Name>, now_ms: u64) {
        if checkpoint.is_some() && checkpoint != self.checkpoint {
            self.checkpoint = checkpoint;
            self.checkpoint_ms = now_ms;
        }
    }

    /// Returns whether it waits to be placed or for its start to be ordered.
    fn is_to_be_started(&self) -> bool {
        match &self.state {
            TaskState::Waiting => true,
            TaskState::Placed(run) => run.order == OrderState::Unstored,
            TaskState::Done => false,
        }
    }

    /// Returns the current run.
    pub fn run_mut(&mut self) -> Option<&mut Placement> {
        match &mut self.state {
            TaskState::Placed(run) => Some(run),
            TaskState::Waiting | TaskState::Done => None,
        }
    }
}

/// Numbers of a step's tasks by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskCounts {
    /// Waiting tasks.
    pub waiting: u32,
    /// Placed tasks.
    pub placed: u32,
    /// Completed tasks.
    pub done: u32,
}

impl TaskCounts {
    /// Counts tasks by state.
    pub fn of(tasks: &[Task]) -> Self {
        let mut counts = Self::default();
        for task in tasks {
            *counts.of_state(&task.state) += 1;
        }
        counts
    }

    fn of_state(&mut self, state: &TaskState) -> &mut u32 {
        match state {
            TaskState::Waiting => &mut self.waiting,
            TaskState::Placed(_) => &mut self.placed,
            TaskState::Done => &mut self.done,
        }
    }
}

/// A step of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Resources that each task reserves on its worker.
    pub reserved_per_task: Resources,
    counts: TaskCounts,
}

impl Step {
    /// Returns the numbers of tasks by state. They are kept up to date, since summing the
    /// demand of thousands of jobs would otherwise visit every task each time.
    pub fn counts(&self) -> TaskCounts {
        self.counts
    }

    fn is_done(&self) -> bool {
        self.counts.done as usize == self.tasks.len()
    }

    /// Sets the state of a task; returns the previous one.
    pub(super) fn set_state(&mut self, index: usize, state: TaskState) -> TaskState {
        let task = &mut self.tasks[index];
        *self.counts.of_state(&task.state) -= 1;
        *self.counts.of_state(&state) += 1;
        std::mem::replace(&mut task.state, state)
    }
}

/// One execution of all steps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<Step>,
}

/// A job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Stored record of the accepted job.
    pub record: JobRecord,
    /// Current phase.
    pub phase: JobPhase,
    /// Time at which it was accepted, by the local clock, derived from its row's age.
    pub accepted_ms: u64,
    /// When its objective ends, by the local clock.
    pub due_ms: u64,
    /// Occurrences that have begun and aren't completed.
    pub occurrences: IndexMap<u32, Occurrence>,
    /// Completed occurrences.
    pub occurrences_done: IndexSet<u32>,
    /// Attempt number that all new attempts have to exceed.
    pub attempt_floor: u32,
    /// Why it failed.
    pub reason: Option<Name>,
    /// Occurrence from which on none has been begun because it was due.
    pub next_occurrence: u32,
}

/// Limit on the age derived from a job's row, in milliseconds: the wall clocks of
/// processes differ, and may jump.
const MAX_JOB_AGE_MS: u64 = 600_000;

impl Job {
    /// Creates a job of which no task has run.
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
            reason: None,
            next_occurrence: 0,
            record,
        };
        if job.record.spec.repeat == 0 {
            job.begin_occurrence(0);
        }
        job
    }

    /// Begins an occurrence, unless it has begun before.
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
                checkpoint_ms: 0,
                not_before_ms: 0,
                failed_on: Vec::new(),
                crashes: Vec::new(),
                crashed_ms: 0,
            };
            let tasks = vec![task; spec.tasks as usize];
            let counts = TaskCounts::of(&tasks);
            Step { tasks, reserved_per_task: spec.reserved(), counts }
        });
        let steps = steps.collect();
        self.occurrences.insert(number, Occurrence { steps });
    }

    /// Returns whether one more occurrence may begin: those in progress are kept in memory
    /// with all their tasks.
    pub fn has_room_for_occurrence(&self) -> bool {
        let tasks: u64 = self.record.spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
        self.occurrences.is_empty() || (self.occurrences.len() as u64 + 1) * tasks <= MAX_TASKS
    }

    /// Returns the step of a task, whose occurrence has to be in progress.
    pub fn step(&self, key: &TaskKey) -> &Step {
        &self.occurrences[&key.occurrence].steps[key.step as usize]
    }

    /// Returns a task, if its occurrence is in progress.
    pub fn task(&self, key: &TaskKey) -> Option<&Task> {
        let steps = &self.occurrences.get(&key.occurrence)?.steps;
        steps.get(key.step as usize)?.tasks.get(key.index as usize)
    }

    /// Returns a task, if its occurrence is in progress.
    pub fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        let steps = &mut self.occurrences.get_mut(&key.occurrence)?.steps;
        steps.get_mut(key.step as usize)?.tasks.get_mut(key.index as usize)
    }

    /// Returns the current run of a task, if it is placed.
    pub fn run(&self, key: &TaskKey) -> Option<&Placement> {
        match self.task(key)?.state() {
            TaskState::Placed(run) => Some(run),
            TaskState::Waiting | TaskState::Done => None,
        }
    }

    /// Sets the state of a task; returns the previous one.
    pub fn set_state(&mut self, key: &TaskKey, state: TaskState) -> Option<TaskState> {
        let steps = &mut self.occurrences.get_mut(&key.occurrence)?.steps;
        let step = steps.get_mut(key.step as usize)?;
        let index = key.index as usize;
        (index < step.tasks.len()).then(|| step.set_state(index, state))
    }

    /// Returns the current run of a task, if it has this attempt number.
    pub fn run_mut(&mut self, key: &TaskKey, attempt: u32) -> Option<&mut Placement> {
        self.task_mut(key)?.run_mut().filter(|run| run.attempt == attempt)
    }

    /// Marks a task as completed; returns whether that completed its occurrence.
    ///
    /// When one member of a gang is completed, so are the members that wait.
    pub fn mark_done(&mut self, key: &TaskKey) -> bool {
        let is_gang = self.record.spec.steps[key.step as usize].is_gang;
        let Some(occurrence) = self.occurrences.get_mut(&key.occurrence) else { return false };
        let step = &mut occurrence.steps[key.step as usize];
        step.set_state(key.index as usize, TaskState::Done);
        if is_gang {
            for index in 0..step.tasks.len() {
                if step.tasks[index].state == TaskState::Waiting {
                    step.set_state(index, TaskState::Done);
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

    /// Returns whether a task belongs to a gang that is completed: one completed member stands
    /// for all, whatever became of the runs of the others.
    pub fn is_gang_done(&self, key: &TaskKey) -> bool {
        self.record.spec.steps[key.step as usize].is_gang
            && self.occurrences.contains_key(&key.occurrence)
            && self.step(key).counts().done > 0
    }

    /// Returns the waiting members of gangs that are completed.
    pub(super) fn waiting_members_of_done_gangs(&self, id: &JobId) -> Vec<TaskKey> {
        let mut waiting = Vec::new();
        self.for_each_task(id, |key, task| {
            if task.state == TaskState::Waiting && self.is_gang_done(&key) {
                waiting.push(key);
            }
        });
        waiting
    }

    /// Returns a task that would be started after it has failed `max_attempts` times, and how
    /// often it has; long-running tasks have no such limit.
    pub(super) fn exhausted_task(&self, id: &JobId, max_attempts: u32) -> Option<(TaskKey, u32)> {
        let mut exhausted = None;
        self.for_each_task(id, |key, task| {
            let is_limited = !self.record.spec.steps[key.step as usize].is_long_running;
            if is_limited && task.failures >= max_attempts && task.is_to_be_started() {
                exhausted.get_or_insert((key, task.failures));
            }
        });
        exhausted
    }

    /// Gives all members of a gang the latest of their checkpoints: they resume from the same
    /// one, and any member's is valid for all.
    pub(super) fn share_checkpoint(&mut self, member: &TaskKey) {
        let Some(occurrence) = self.occurrences.get_mut(&member.occurrence) else { return };
        let tasks = &mut occurrence.steps[member.step as usize].tasks;
        let saved = tasks.iter().filter(|task| task.checkpoint.is_some());
        let Some(latest) = saved.max_by_key(|task| task.checkpoint_ms) else { return };
        let (checkpoint, checkpoint_ms) = (latest.checkpoint.clone(), latest.checkpoint_ms);
        for task in tasks {
            task.checkpoint.clone_from(&checkpoint);
            task.checkpoint_ms = checkpoint_ms;
        }
    }

    /// Returns whether all occurrences are completed.
    pub fn is_done(&self) -> bool {
        self.occurrences_done.len() == self.record.spec.occurrences() as usize
    }

    /// Returns whether all steps that a step depends on are completed.
    pub fn is_step_ready(&self, occurrence: u32, step: usize) -> bool {
        let Some(state) = self.occurrences.get(&occurrence) else { return false };
        let after = &self.record.spec.steps[step].after;
        after.iter().all(|dependency| state.steps[*dependency as usize].is_done())
    }

    /// Returns whether a waiting task belongs to a step that is ready.
    pub fn has_ready_tasks(&self) -> bool {
        !self.phase.is_final()
            && self.occurrences.iter().any(|(number, occurrence)| {
                occurrence.steps.iter().enumerate().any(|(index, step)| {
                    step.counts.waiting > 0 && self.is_step_ready(*number, index)
                })
            })
    }

    /// Returns the estimated critical path of the incomplete steps, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        let Some(occurrence) = self.occurrences.values().next() else {
            return self.record.spec.critical_path_ms();
        };
        let mut ends: Vec<u64> = Vec::with_capacity(occurrence.steps.len());
        for (spec, step) in self.record.spec.steps.iter().zip(&occurrence.steps) {
            let start =
                spec.after.iter().filter_map(|dependency| ends.get(*dependency as usize)).max();
            let own_ms = if step.is_done() { 0 } else { spec.estimate_ms };
            ends.push(start.copied().unwrap_or(0) + own_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the resources reserved by placed tasks or needed by those that are ready.
    pub fn current_demand(&self) -> Resources {
        let mut needs = Resources::default();
        for (number, occurrence) in &self.occurrences {
            for (index, step) in occurrence.steps.iter().enumerate() {
                let TaskCounts { waiting, placed, .. } = step.counts;
                let is_ready = waiting > 0 && self.is_step_ready(*number, index);
                let demanding = placed + if is_ready { waiting } else { 0 };
                needs = needs.plus(&step.reserved_per_task.times(u64::from(demanding)));
            }
        }
        needs
    }

    /// Returns the estimated work of the waiting tasks: resources times milliseconds.
    pub fn waiting_work(&self) -> Resources {
        let mut work = Resources::default();
        for occurrence in self.occurrences.values() {
            for (spec, step) in self.record.spec.steps.iter().zip(&occurrence.steps) {
                let waiting = u64::from(step.counts.waiting);
                work = work.plus(&spec.needs.times(waiting * spec.estimate_ms));
            }
        }
        work
    }

    /// Returns whether it waits for a gang that needs more than `capacity_millis`, on workers of
    /// size `worker`.
    pub fn waits_for_wider_gang(&self, capacity_millis: u64, worker: &Resources) -> bool {
        self.occurrences.iter().any(|(number, occurrence)| {
            let steps = self.record.spec.steps.iter().zip(&occurrence.steps).enumerate();
            let mut gangs =
                steps.filter(|(_, (spec, step))| spec.is_gang && step.counts.waiting > 0);
            gangs.any(|(index, (_, step))| {
                let needs = step.reserved_per_task.times(step.tasks.len() as u64);
                needs.dominant_millis(worker) > capacity_millis
                    && self.is_step_ready(*number, index)
            })
        })
    }

    /// Returns the placed tasks, with their workers.
    pub fn placements(&self, id: &JobId) -> Vec<(TaskKey, WorkerId)> {
        let mut placed = Vec::new();
        self.for_each_task(id, |key, task| {
            if let TaskState::Placed(run) = &task.state {
                placed.push((key, run.worker.clone()));
            }
        });
        placed
    }

    /// Returns whether any task is placed.
    pub fn has_placements(&self) -> bool {
        let mut steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        steps.any(|step| step.counts.placed > 0)
    }

    pub(super) fn for_each_task(&self, id: &JobId, mut visit: impl FnMut(TaskKey, &Task)) {
        for (occurrence, state) in &self.occurrences {
            for (step, step_state) in state.steps.iter().enumerate() {
                for (index, task) in step_state.tasks.iter().enumerate() {
                    let (step, index) = (step as u32, index as u32);
                    visit(TaskKey { job: id.clone(), occurrence: *occurrence, step, index }, task);
                }
            }
        }
    }
}
