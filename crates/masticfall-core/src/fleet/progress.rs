//! Stored progress of jobs.
//!
//! A placement is stored before the start order is sent, and the end of a run
//! before it is acknowledged to the worker. An owner that takes a cell over
//! therefore knows every worker on which a task can be running, except for first runs
//! that were ordered early; these are on workers of the [open set](super::open_set).

use std::net::SocketAddr;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::crashes::{Company, Crash};
use crate::id::{AccountName, Name, WorkerId};

/// Phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobPhase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task reached its limit of failed attempts.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the phase is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// The row of an ended job, kept so that the same job isn't accepted again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRow {
    /// Final phase.
    pub phase: JobPhase,
    /// Client account.
    pub account: Option<AccountName>,
    /// Wall clock at the end, in milliseconds since the Unix epoch.
    pub ended_wall_ms: u64,
    /// Why the job failed.
    #[serde(default)]
    pub reason: Option<Name>,
}

/// Stage of a stored task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStage {
    /// Waits to be placed.
    Waiting,
    /// May be running on its worker.
    Placed,
    /// Has completed.
    Done,
}

/// The stored state of a task that has changed since its job was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "TaskTuple", from = "TaskTuple")]
pub struct TaskRow {
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Task within the step, from 0.
    pub index: u32,
    /// Stage.
    pub stage: TaskStage,
    /// Number of its last attempt.
    pub attempt: u32,
    /// Failed attempts.
    pub failures: u32,
    /// Worker while the task is placed, as an index into [`ProgressRow::workers`].
    pub worker: u32,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
}

impl TaskRow {
    fn excess_checkpoint_bytes(&self) -> usize {
        let length = self.checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.len());
        length.saturating_sub(USUAL_CHECKPOINT_BYTES)
    }
}

/// The stored form of a task: a tuple takes a third of the space of a map.
type TaskTuple = (u32, u32, u32, TaskStage, u32, u32, u32, Option<Name>);

impl From<TaskRow> for TaskTuple {
    fn from(row: TaskRow) -> Self {
        let TaskRow { occurrence, step, index, stage, attempt, failures, worker, checkpoint } = row;
        (occurrence, step, index, stage, attempt, failures, worker, checkpoint)
    }
}

impl From<TaskTuple> for TaskRow {
    fn from(tuple: TaskTuple) -> Self {
        let (occurrence, step, index, stage, attempt, failures, worker, checkpoint) = tuple;
        Self { occurrence, step, index, stage, attempt, failures, worker, checkpoint }
    }
}

/// A crash that counts against a task, as stored.
///
/// The fields: the worker, as an index into [`ProgressRow::crashed`], then `age_ms`,
/// `alive_ms`, `has_started`, `company` and `is_shared` of [`Crash`].
type CrashTuple = (u32, Option<u64>, u64, bool, Company, bool);

/// The crashes that count against a task: occurrence, step, index and the crashes in order.
type TaskCrashesTuple = (u32, u32, u32, Vec<CrashTuple>);

/// The workers whose crashes count against the tasks of a job. Thousands of tasks may have
/// lost the same few.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CrashTable {
    /// The workers, with the start times of their incarnations in milliseconds since the
    /// Unix epoch, where known.
    workers: IndexSet<(WorkerId, Option<u64>)>,
    tasks: Vec<TaskCrashesTuple>,
}

impl CrashTable {
    /// Adds the crashes that count against a task.
    pub fn add(&mut self, occurrence: u32, step: u32, index: u32, crashes: &[Crash]) {
        let tuples = crashes.iter().map(|crash| {
            let worker = (crash.worker.clone(), crash.born_wall_ms);
            let worker = self.workers.insert_full(worker).0 as u32;
            let Crash { age_ms, alive_ms, has_started, company, is_shared, .. } = *crash;
            (worker, age_ms, alive_ms, has_started, company, is_shared)
        });
        let tuples = tuples.collect();
        self.tasks.push((occurrence, step, index, tuples));
    }

    /// Returns the tasks with their crashes, as occurrence, step, index and crashes.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, u32, u32, Vec<Crash>)> {
        self.tasks.iter().map(|(occurrence, step, index, tuples)| {
            let crashes = tuples.iter().filter_map(|tuple| self.crash(tuple));
            (*occurrence, *step, *index, crashes.collect())
        })
    }

    fn crash(&self, tuple: &CrashTuple) -> Option<Crash> {
        let (worker, age_ms, alive_ms, has_started, company, is_shared) = *tuple;
        let (worker, born_wall_ms) = self.workers.get_index(worker as usize)?.clone();
        Some(Crash { worker, born_wall_ms, age_ms, alive_ms, has_started, company, is_shared })
    }

    /// Returns whether no crash counts.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }
}

/// Maximum size of a task in a row of progress, in bytes, without its worker and with a
/// checkpoint of [`USUAL_CHECKPOINT_BYTES`].
const TASK_BYTES: usize = 32;

/// Length of the checkpoints that [`TASK_BYTES`] covers, in bytes.
const USUAL_CHECKPOINT_BYTES: usize = 16;

/// Maximum size of a worker in a row of progress, in bytes.
const WORKER_BYTES: usize = 64;

/// Maximum size of a task's crashes in a row of progress, in bytes, without their workers.
const TASK_CRASHES_BYTES: usize = 110;

/// Maximum size of a range of completed tasks in a row of progress, in bytes.
const DONE_RANGE_BYTES: usize = 14;

/// Size up to which a job's tasks are placed, in bytes of its row of progress; the rest of
/// the platform's limit of 65,536 bytes is for runs that end in unusual ways.
const ROW_BUDGET_BYTES: usize = 56_000;

/// Sizes of the parts of a row of progress.
#[derive(Debug, Clone, Copy, Default)]
pub struct RowSize {
    /// Tasks that are stored one by one.
    pub tasks: usize,
    /// Workers.
    pub workers: usize,
    /// Tasks that have lost workers.
    pub suspects: usize,
    /// Ranges of completed tasks.
    pub done_ranges: usize,
    /// Bytes of checkpoints beyond [`USUAL_CHECKPOINT_BYTES`] each.
    pub checkpoint_bytes: usize,
}

impl RowSize {
    /// Returns an upper bound of the row's size, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.tasks * TASK_BYTES
            + self.workers * WORKER_BYTES
            + self.suspects * TASK_CRASHES_BYTES
            + self.done_ranges * DONE_RANGE_BYTES
            + self.checkpoint_bytes
    }

    /// Returns the bytes left for tasks that are placed.
    pub fn budget_bytes(&self) -> usize {
        ROW_BUDGET_BYTES.saturating_sub(self.max_bytes())
    }
}

/// Returns the bytes that a task may add to its job's row of progress once it is placed, on
/// a worker of its own; the row of one that was placed before has its other parts already.
pub fn max_placed_bytes(was_placed_before: bool) -> usize {
    if was_placed_before { WORKER_BYTES } else { TASK_BYTES + WORKER_BYTES + TASK_CRASHES_BYTES }
}

/// Number of tasks from which on the completed ones of a step are stored as ranges, and the
/// number of tasks placed at a time depends on the size of the row.
pub const WIDE_JOB_TASKS: usize = 200;

/// The row of a job's progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRow {
    /// Phase of the job.
    pub phase: JobPhase,
    /// Completed occurrences.
    pub occurrences_done: Vec<u32>,
    /// Workers that tasks are placed on, with their addresses where known, so
    /// that the next owner can query them even when the platform no longer
    /// lists them.
    pub workers: Vec<(WorkerId, Option<SocketAddr>)>,
    /// Start times of the incarnations of these workers that the tasks were placed on, in
    /// milliseconds since the Unix epoch, where known.
    #[serde(default)]
    pub born_wall_ms: Vec<Option<u64>>,
    /// Tasks that have changed since the job was accepted.
    pub tasks: Vec<TaskRow>,
    /// Ranges of completed tasks: occurrence, step, first index, and the index after the
    /// last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32, u32, u32)>,
    /// Tasks that have lost workers. Stored with the end of the run that was lost, so that
    /// no crash is missed or counted twice when the owner changes.
    #[serde(default, skip_serializing_if = "CrashTable::is_empty")]
    pub crashes: CrashTable,
    /// Why the job failed.
    #[serde(default)]
    pub reason: Option<Name>,
}

impl ProgressRow {
    /// Returns the sizes of its parts.
    pub fn size(&self) -> RowSize {
        RowSize {
            tasks: self.tasks.len(),
            workers: self.workers.len() + self.crashes.workers.len(),
            suspects: self.crashes.tasks.len(),
            done_ranges: self.done.len() + self.occurrences_done.len(),
            checkpoint_bytes: self.tasks.iter().map(TaskRow::excess_checkpoint_bytes).sum(),
        }
    }

    /// Leaves out the checkpoints for which the row has no room: how long they are is up to what
    /// runs. A task without one begins anew if the owner changes.
    pub fn limit_checkpoints(&mut self) {
        let mut left_bytes = RowSize { checkpoint_bytes: 0, ..self.size() }.budget_bytes();
        for task in &mut self.tasks {
            match left_bytes.checked_sub(task.excess_checkpoint_bytes()) {
                Some(bytes) => left_bytes = bytes,
                None => task.checkpoint = None,
            }
        }
    }

    /// Returns the row of an ended job without running tasks.
    pub fn ended(row: &EndedRow) -> Self {
        Self {
            phase: row.phase,
            occurrences_done: Vec::new(),
            workers: Vec::new(),
            born_wall_ms: Vec::new(),
            tasks: Vec::new(),
            done: Vec::new(),
            crashes: CrashTable::default(),
            reason: row.reason.clone(),
        }
    }
}
