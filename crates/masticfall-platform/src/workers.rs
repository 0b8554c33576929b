//! Workers, which run tasks under leases.

use std::fmt;

use masticfall_core::id::{InstanceName, JobId, Name};
use masticfall_core::job::Needs;
use serde::{Deserialize, Serialize};

use crate::Operation;

/// A task to start: one attempt of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Worker that runs it.
    pub worker: InstanceName,
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// What it reserves.
    pub needs: Needs,
    /// Object that holds the payload.
    pub payload: Name,
    /// Object that takes the result.
    pub result: Name,
    /// Length of the lease; the worker stops the task when it is not renewed.
    pub lease_ms: u64,
}

/// How a start ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartOutcome {
    /// The task runs, or ran already under the same attempt.
    Started,
    /// The worker refused: nothing ran.
    Refused,
}

/// Where a task is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// Its result is in the object store.
    Finished,
    /// It failed.
    Failed,
    /// It was stopped, or its lease ran out.
    Stopped,
}

/// A worker's report on one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Where it is in its life.
    pub state: TaskState,
}

/// The workers of the platform.
#[derive(Clone)]
pub struct WorkerPool {
    /// Starts a task.
    pub start: Operation<StartTask, StartOutcome>,
    /// Renews the leases of a worker's tasks and reports on all it knows.
    pub renew: Operation<(InstanceName, u64), Vec<TaskStatus>>,
    /// Stops a task.
    pub stop: Operation<(InstanceName, JobId, u32), ()>,
}

impl fmt::Debug for WorkerPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerPool").finish_non_exhaustive()
    }
}
