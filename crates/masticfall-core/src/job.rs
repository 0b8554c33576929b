//! Life of a long job.
//!
//! The row is the only truth. An attempt's number fences its result: a worker
//! that was paused past its lease cannot finish the job a second time.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{DataCentre, InstanceName, Name, QueueName, TeamName};

/// Where a job is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// Waits for a worker.
    Queued,
    /// An attempt may be running.
    Placed,
    /// Has a result.
    Finished,
    /// Waits for an operator.
    Parked,
    /// Was cancelled by its team.
    Cancelled,
}

impl JobState {
    /// Tells whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Cancelled)
    }
}

/// What a job needs of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Needs {
    /// Processor cores.
    pub cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u32,
}

/// The row of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Team that handed it in.
    pub team: TeamName,
    /// Queue it was handed to.
    pub queue: QueueName,
    /// Data centre whose planner drives it.
    pub data_centre: DataCentre,
    /// Declared needs.
    pub needs: Needs,
    /// Whether it may run again after it may have run.
    pub idempotent: bool,
    /// Object that holds the payload.
    pub payload: Name,
    /// Where it is in its life.
    pub state: JobState,
    /// Number of the current attempt; 0 before the first.
    pub attempt: u32,
    /// Worker of the current attempt.
    pub worker: Option<InstanceName>,
    /// Object that holds the result.
    pub result: Option<Name>,
    /// Workers on which it failed.
    pub failed_on: Vec<InstanceName>,
    /// Why it is parked.
    pub reason: Option<Name>,
    /// Wall clock at hand-in, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

/// How an attempt ended, as far as its planner can tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker reports a result in this object.
    Finished(Name),
    /// The worker reports a failure.
    Failed,
    /// The worker reports a failure, and the job is at fault.
    JobAtFault,
    /// The worker proves that the task did not start.
    NotStarted,
    /// The lease ran out without a report.
    Lapsed,
}

impl JobRow {
    /// Starts the next attempt on a worker and returns its number.
    pub fn place(&mut self, worker: InstanceName) -> u32 {
        self.attempt += 1;
        self.state = JobState::Placed;
        self.worker = Some(worker);
        self.attempt
    }

    /// Applies the end of attempt `attempt`; `false` when it is not the current one.
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
            AttemptEnd::Lapsed if self.idempotent => self.state = JobState::Queued,
            AttemptEnd::Lapsed => self.park("may have run: its worker's lease lapsed"),
        }
        true
    }

    fn failed(&mut self, worker: Option<InstanceName>, for_good: bool) {
        let new = worker.filter(|worker| !self.failed_on.contains(worker));
        self.failed_on.extend(new);
        if !self.idempotent {
            self.park("failed, and may not run again");
        } else if for_good {
            self.park("failed on several workers");
        } else {
            self.state = JobState::Queued;
        }
    }

    /// Parks the job for an operator.
    pub fn park(&mut self, reason: &str) {
        self.state = JobState::Parked;
        self.reason = Some(Name::from(reason));
    }

    /// Cancels the job; `false` when it is final already.
    ///
    /// The worker stays named until the planner knows that its task ended.
    pub fn cancel(&mut self) -> bool {
        if self.state.is_final() {
            return false;
        }
        self.state = JobState::Cancelled;
        true
    }
}
