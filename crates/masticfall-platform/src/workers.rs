//! Workers that run tasks under leases.

use std::fmt;

use masticfall_core::id::{InstanceName, JobId, Name};
use masticfall_core::job::Needs;
use serde::{Deserialize, Serialize};

use crate::Operation;

/// Request to start a task, which is one attempt of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Worker that runs the task.
    pub worker: InstanceName,
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Resources to reserve.
    pub needs: Needs,
    /// Object that holds the payload.
    pub payload: Name,
    /// Object to which the result is written.
    pub result: Name,
    /// Duration of the lease in milliseconds; the worker stops the task if it is not renewed.
    pub lease_ms: u64,
}

/// Outcome of a start request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartOutcome {
    /// The task runs, or was already started with the same attempt number.
    Started,
    /// The worker refused; nothing ran.
    Refused,
}

/// Lifecycle state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task finished; its result is in the object store.
    Finished,
    /// The task failed.
    Failed,
    /// The task was stopped, or its lease expired.
    Stopped,
}

/// Status of a task as reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// State of the task.
    pub state: TaskState,
}

/// Operations on the workers of the platform.
#[derive(Clone)]
pub struct WorkerPool {
    /// Starts a task.
    pub start: Operation<StartTask, StartOutcome>,
    /// Renews the leases of a worker's tasks for a duration in milliseconds, and returns the
    /// status of all tasks that the worker knows.
    pub renew: Operation<(InstanceName, u64), Vec<TaskStatus>>,
    /// Stops a task, given by its worker, job and attempt number.
    pub stop: Operation<(InstanceName, JobId, u32), ()>,
}

impl fmt::Debug for WorkerPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerPool").finish_non_exhaustive()
    }
}
