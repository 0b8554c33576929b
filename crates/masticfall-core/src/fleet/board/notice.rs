//! Decisions and changes of state that are logged.

use crate::fleet::crashes::{Crash, LossCause, Verdict};
use crate::fleet::locality::NearOutcome;
use crate::fleet::progress::JobPhase;
use crate::fleet::report::{RunEnd, StartOutcome};
use crate::fleet::spec::TaskKey;
use crate::fleet::worker::{AppliedAnnouncement, LeaseBound};
use crate::id::{JobId, Name, WorkerId};

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StopReason {
    /// The job was cancelled.
    Cancelled,
    /// The job failed.
    JobFailed,
    /// The run belongs to no placement of the board, or isn't needed any more.
    Stray,
    /// The worker is due for maintenance.
    Maintenance,
    /// The worker's data centre is evacuated.
    Evacuation,
    /// The worker drains.
    Draining,
}

/// Why a crash no longer counts against a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DropReason {
    /// The worker answers again, and hasn't restarted: it was cut off.
    CutOff,
    /// A later run has outlived the age at which the worker crashed.
    Outlived,
}

/// How an owner learned that a run has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum EndCause {
    /// The worker reported the end.
    Reported,
    /// A complete report shows neither the run nor its end.
    Absent,
    /// The leases of the unresponsive worker had expired.
    LeaseExpired,
    /// The worker reports a later start under the same identifier.
    Restarted,
    /// Another worker answers at its address.
    Replaced,
    /// The worker is one that this owner never saw, and its leases had expired.
    Unlisted,
}

impl EndCause {
    /// Returns whether the end was inferred instead of reported by the worker.
    pub fn is_inferred(self) -> bool {
        self != Self::Reported
    }
}

impl From<LossCause> for EndCause {
    fn from(cause: LossCause) -> Self {
        match cause {
            LossCause::LeaseExpired => Self::LeaseExpired,
            LossCause::Restarted => Self::Restarted,
            LossCause::Replaced => Self::Replaced,
            LossCause::Unlisted => Self::Unlisted,
        }
    }
}

/// A run of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRef {
    /// The task.
    pub task: TaskKey,
    /// Attempt number.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
}

/// What an owner knows of the leases of a worker at a moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseFacts {
    /// The bound on them.
    pub bound: LeaseBound,
    /// Time since the bound passed, in milliseconds; negative if it has yet to pass.
    pub since_bound_ms: i64,
    /// Time since this owner took over, in milliseconds.
    pub since_takeover_ms: u64,
    /// Time since the worker last answered this owner, which is also the age of the reading of
    /// its clock, in milliseconds; `None` if it never did.
    pub since_answer_ms: Option<u64>,
    /// Time since this owner last gave it a lease, in milliseconds; `None` if it never did.
    pub since_lease_ms: Option<u64>,
    /// Announcement of the previous owner that was applied, if any.
    pub announcement: Option<AppliedAnnouncement>,
    /// Time since it was applied, in milliseconds.
    pub since_announcement_ms: Option<u64>,
}

/// A decision or a change of state, to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// A job was loaded: just accepted, or read from the store after a takeover.
    JobLoaded {
        /// The job.
        job: JobId,
        /// Time left until its objective ends, in milliseconds; negative if it is late.
        due_in_ms: i64,
    },
    /// Tasks of a job were placed.
    Placed {
        /// The job.
        job: JobId,
        /// Runs placed in this pass.
        runs: Vec<RunRef>,
        /// Whether the job is too late to meet its objective.
        is_late: bool,
        /// Version of the configuration used.
        config_version: u64,
        /// Waits for near workers, and far placements.
        near: NearOutcome,
    },
    /// A start didn't lead to a run.
    NotStarted {
        /// The task.
        task: TaskKey,
        /// Attempt number.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// How the order ended.
        outcome: StartOutcome,
        /// Whether the task may be placed again, since the order counts as refused.
        is_requeued: bool,
        /// Whether an earlier order of the run had an unknown outcome.
        was_in_doubt: bool,
    },
    /// A run ended without completing its task.
    RunEnded {
        /// The task.
        task: TaskKey,
        /// Attempt number.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        end: RunEnd,
        /// How the owner learned of it.
        cause: EndCause,
        /// Time from its start order to its end, or to the worker's last answer if the
        /// worker was lost, in milliseconds; `None` if an earlier owner ordered it.
        age_ms: Option<u64>,
    },
    /// A run is being stopped.
    Stopping {
        /// The task.
        task: TaskKey,
        /// Attempt number.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: StopReason,
    },
    /// A job reached a final phase.
    JobEnded {
        /// The job.
        job: JobId,
        /// The phase.
        phase: JobPhase,
        /// Time since its acceptance, by the local clock, in milliseconds.
        after_ms: u64,
        /// Time past its objective, in milliseconds; negative if it met it.
        late_by_ms: i64,
    },
    /// A worker restarted under the same identifier.
    WorkerRestarted {
        /// The worker.
        worker: WorkerId,
        /// Time of the restart, in milliseconds since the Unix epoch.
        born_wall_ms: u64,
    },
    /// A worker stopped answering, or answers again.
    WorkerReachability {
        /// The worker.
        worker: WorkerId,
        /// Whether it answers.
        is_reached: bool,
    },
    /// A report lists as many run ends as it can, so that runs which it doesn't show may have
    /// ended.
    EndsOmitted {
        /// The worker.
        worker: WorkerId,
        /// Number of ends that it lists.
        listed: usize,
        /// Number of runs that it doesn't show.
        undecided: usize,
    },
    /// The runs on a worker are lost.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
        /// How that became known.
        cause: LossCause,
        /// Time since it last stopped answering, in milliseconds; 0 if it answered.
        silent_ms: u64,
        /// Whether it was about to leave.
        is_leaving: bool,
        /// What is known of its leases.
        leases: LeaseFacts,
        /// Tasks whose runs were ordered there.
        tasks: Vec<TaskKey>,
    },
    /// Runs that a worker reports became the current ones of their tasks.
    RunsAdopted {
        /// The worker.
        worker: WorkerId,
        /// The runs.
        runs: Vec<RunRef>,
    },
    /// Unresponsive workers are announced to the next owner from now on.
    Announced {
        /// The workers, with the time in milliseconds until their leases have expired.
        workers: Vec<(WorkerId, u64)>,
    },
    /// A worker that may run tasks unknown to the store counts as running none, since its
    /// leases have expired.
    UnsettledExpired {
        /// The worker.
        worker: WorkerId,
        /// What is known of its leases.
        leases: LeaseFacts,
    },
    /// A crash of a worker counts against a task.
    CrashCounted {
        /// The task.
        task: TaskKey,
        /// The crash.
        crash: Crash,
        /// Number of crashes that count against the task.
        crashes: usize,
        /// What follows from them.
        verdict: Verdict,
    },
    /// Crashes no longer count against a task.
    CrashesDropped {
        /// The task.
        task: TaskKey,
        /// Why.
        reason: DropReason,
        /// Number of crashes that still count.
        crashes: usize,
    },
    /// A job was given up, since one of its tasks crashes the workers that start it.
    GivenUp {
        /// The job.
        job: JobId,
        /// Why, in words for the caller.
        reason: Name,
        /// Number of workers that its task has crashed.
        crashes: usize,
    },
    /// A job failed, since the store rejects its row of progress for good.
    ProgressRejected {
        /// The job.
        job: JobId,
        /// Why, in words for the caller.
        reason: Name,
    },
    /// A worker on which different jobs failed is quarantined.
    Quarantined {
        /// The worker.
        worker: WorkerId,
        /// Length of the quarantine, in milliseconds.
        length_ms: u64,
    },
    /// The first run was ordered before its placement was stored.
    EarlyStartsBegun {
        /// The task.
        task: TaskKey,
        /// Time that its placement has waited for the store, in milliseconds.
        waited_ms: u64,
    },
    /// All runs that were ordered before their placements were stored are stored.
    EarlyStartsStored {
        /// How many they were.
        runs: u32,
        /// Time since the first was ordered, in milliseconds.
        lasted_ms: u64,
    },
    /// After a takeover, the runs that the earlier owners may have ordered without storing
    /// them are known.
    TakeoverSettled {
        /// Workers that may have had such runs.
        workers: usize,
        /// Those of them that couldn't be reached until their leases had ended.
        expired: usize,
        /// Time since the takeover, in milliseconds.
        took_ms: u64,
    },
}

impl Notice {
    /// Returns the number of tasks that it says were placed.
    pub fn placed_tasks(&self) -> usize {
        if let Self::Placed { runs, .. } = self { runs.len() } else { 0 }
    }
}
