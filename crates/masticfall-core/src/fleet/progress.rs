//! Stored progress of jobs.
//!
//! A placement is stored before the start order is sent, and the end of a run
//! before it is acknowledged to the worker. An owner that takes a cell over
//! therefore knows every worker on which a task can be running.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::crashes::Crash;
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

/// The crashes that count against a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Task within the step, from 0.
    pub index: u32,
    /// The crashes, in order.
    pub crashes: Vec<Crash>,
}

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
    /// Tasks that have lost workers. Stored with the end of the run that was lost, so that
    /// no crash is missed or counted twice when the owner changes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<TaskCrashes>,
    /// Why the job failed.
    #[serde(default)]
    pub reason: Option<Name>,
}

impl ProgressRow {
    /// Returns the row of an ended job without running tasks.
    pub fn ended(row: &EndedRow) -> Self {
        Self {
            phase: row.phase,
            occurrences_done: Vec::new(),
            workers: Vec::new(),
            born_wall_ms: Vec::new(),
            tasks: Vec::new(),
            crashes: Vec::new(),
            reason: row.reason.clone(),
        }
    }
}
