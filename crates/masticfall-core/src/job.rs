//! Lifecycle of a job, which a worker runs as a task.
//!
//! The stored row is authoritative. The attempt number is a fencing token: a
//! worker that was paused past its lease cannot finish the job a second time.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{DataCentre, InstanceName, Name, QueueName, TeamName};

/// Number of workers that a job may lose before it is parked. Workers are lost for other
/// reasons, too, and with several jobs each.
const MAX_LOST_WORKERS: usize = 3;

/// The state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// Waits for a worker.
    Queued,
    /// An attempt may be running.
    Placed,
    /// Finished with a result.
    Finished,
    /// Waits for an operator.
    Parked,
    /// Was cancelled by its team.
    Cancelled,
}

impl JobState {
    /// Returns whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Cancelled)
    }
}

/// The resources that a job needs on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Needs {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// The stored row of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Team that submitted the job.
    pub team: TeamName,
    /// Queue to which the job was submitted.
    pub queue: QueueName,
    /// Data centre whose planner schedules the job.
    pub data_centre: DataCentre,
    /// Declared resource needs.
    pub needs: Needs,
    /// Whether the job may be retried after an attempt that may have run.
    pub idempotent: bool,
    /// Object that holds the payload.
    pub payload: Name,
    /// State of the job.
    pub state: JobState,
    /// Number of the current attempt; 0 before the first.
    pub attempt: u32,
    /// Worker of the current attempt.
    pub worker: Option<InstanceName>,
    /// Object that holds the result.
    pub result: Option<Name>,
    /// Workers on which the job failed.
    pub failed_on: Vec<InstanceName>,
    /// Workers that were lost while the job ran there.
    #[serde(default)]
    pub lost_workers: Vec<InstanceName>,
    /// Why the job is parked.
    pub reason: Option<Name>,
    /// Wall-clock time of submission, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

/// How an attempt ended, as far as the planner knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker reported a result, stored in this object.
    Finished(Name),
    /// The worker reported a failure.
    Failed,
    /// The worker reported a failure, and the job is at fault.
    JobAtFault,
    /// The task is known not to have started.
    NotStarted,
    /// The worker knows nothing of the task, or has stopped it.
    Lapsed,
    /// The worker was lost: its lease lapsed without a report.
    WorkerLost,
}

impl JobRow {
    /// Starts the next attempt on a worker and returns its number.
    pub fn place(&mut self, worker: InstanceName) -> u32 {
        self.attempt += 1;
        self.state = JobState::Placed;
        self.worker = Some(worker);
        self.attempt
    }

    /// Applies the end of an attempt; returns `false` when `attempt` is not the current one.
    pub fn end_attempt(&mut self, attempt: u32, end: AttemptEnd) -> bool {
        if self.state != JobState::Placed || attempt != self.attempt {
            return false;
        }
        let worker = self.worker.take();
        match end {
            AttemptEnd::Finished(result) => {
                self.state = JobState::Finished;
                self.result = Some(result);
            }
            AttemptEnd::NotStarted => self.state = JobState::Queued,
            AttemptEnd::Failed => self.failed(worker, false),
            AttemptEnd::JobAtFault => self.failed(worker, true),
            AttemptEnd::WorkerLost if self.idempotent => self.lose_worker(worker),
            AttemptEnd::Lapsed if self.idempotent => self.state = JobState::Queued,
            AttemptEnd::Lapsed | AttemptEnd::WorkerLost => {
                self.park("may have run: its worker's lease lapsed");
            }
        }
        true
    }

    fn failed(&mut self, worker: Option<InstanceName>, job_at_fault: bool) {
        let newly_failed = worker.filter(|worker| !self.failed_on.contains(worker));
        self.failed_on.extend(newly_failed);
        if !self.idempotent {
            self.park("failed, and may not run again");
        } else if job_at_fault {
            self.park("failed on several workers");
        } else {
            self.state = JobState::Queued;
        }
    }

    /// Queues the job again, unless it has lost so many workers that it may be the cause.
    fn lose_worker(&mut self, worker: Option<InstanceName>) {
        let newly_lost = worker.filter(|worker| !self.lost_workers.contains(worker));
        self.lost_workers.extend(newly_lost);
        if self.lost_workers.len() < MAX_LOST_WORKERS {
            self.state = JobState::Queued;
            return;
        }
        let workers: Vec<&str> = self.lost_workers.iter().map(InstanceName::as_str).collect();
        let reason = format!("its workers were lost one after the other: {}", workers.join(", "));
        self.park(&reason);
    }

    /// Returns whether the job may be what its workers were lost by.
    pub fn is_suspect(&self) -> bool {
        !self.lost_workers.is_empty()
    }

    /// Parks the job until an operator acts on it.
    pub fn park(&mut self, reason: &str) {
        self.state = JobState::Parked;
        self.reason = Some(Name::from(reason));
    }

    /// Cancels the job; returns `false` when its state is already final.
    ///
    /// The row keeps the worker until the planner knows that its task has ended.
    pub fn cancel(&mut self) -> bool {
        if self.state.is_final() {
            return false;
        }
        self.state = JobState::Cancelled;
        true
    }
}
