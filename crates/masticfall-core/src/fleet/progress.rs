//! What is stored of a job's progress.
//!
//! A placement is stored before its start is ordered, and an end before the
//! worker may forget it. Whoever takes a cell over so knows every place where a
//! task can be running.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{AccountName, Name, WorkerId};

/// Where a job is in its life.
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
    /// A task failed too often.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Tells whether the phase is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// The row of a job that ended, kept so that the same job isn't accepted again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRow {
    /// Final phase.
    pub phase: JobPhase,
    /// Client account.
    pub account: Option<AccountName>,
    /// Wall clock at the end, in milliseconds since the Unix epoch.
    pub ended_wall_ms: u64,
}

/// Where a stored task is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStage {
    /// Waits for a start.
    Waiting,
    /// May be running on its worker.
    Placed,
    /// Is done.
    Done,
}

/// The stored state of a task that isn't as it was at acceptance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "TaskTuple", from = "TaskTuple")]
pub struct TaskRow {
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Task within the step, from 0.
    pub index: u32,
    /// Where it is in its life.
    pub stage: TaskStage,
    /// Number of its last start.
    pub attempt: u32,
    /// Starts that ended in failure.
    pub failures: u32,
    /// Its worker while it is placed, as an index into [`ProgressRow::workers`].
    pub worker: u32,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
}

/// The stored form of a task: a list is a third of the size of a map.
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

/// The row of a job's progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRow {
    /// Where the job is in its life.
    pub phase: JobPhase,
    /// Occurrences of which all tasks are done.
    pub occurrences_done: Vec<u32>,
    /// Workers that tasks are placed on, with their addresses as far as known,
    /// so that the next dispatcher can ask them even when nobody lists them.
    pub workers: Vec<(WorkerId, Option<SocketAddr>)>,
    /// Tasks that aren't as they were at acceptance.
    pub tasks: Vec<TaskRow>,
}

impl ProgressRow {
    /// Returns the row of a job that ended and of which nothing runs.
    pub fn ended(phase: JobPhase) -> Self {
        Self { phase, occurrences_done: Vec::new(), workers: Vec::new(), tasks: Vec::new() }
    }
}
