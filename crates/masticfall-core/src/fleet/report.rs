//! Worker reports and outcomes of orders.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::spec::TaskKey;
use crate::id::Name;

/// Maximum number of run ends in a report; further ones follow once these are acknowledged.
pub const MAX_REPORTED_ENDS: usize = 500;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The task failed, because of a fault of the task or of the worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't start in time.
    Alone,
}

/// A run in progress, as reported by a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "ActiveRunTuple", from = "ActiveRunTuple")]
pub struct ActiveRun {
    /// The task.
    pub task: TaskKey,
    /// Attempt number.
    pub attempt: u32,
    /// Last checkpoint.
    pub checkpoint: Option<Name>,
    /// Progress, in percent.
    pub percent: u32,
    /// Tail latency in milliseconds for a task that serves users, else thousandths of
    /// a core in use; over about the last half second.
    pub load: u64,
}

/// The encoded form of a run in progress.
type ActiveRunTuple = (TaskKey, u32, Option<Name>, u32, u64);

impl From<ActiveRun> for ActiveRunTuple {
    fn from(run: ActiveRun) -> Self {
        (run.task, run.attempt, run.checkpoint, run.percent, run.load)
    }
}

impl From<ActiveRunTuple> for ActiveRun {
    fn from((task, attempt, checkpoint, percent, load): ActiveRunTuple) -> Self {
        Self { task, attempt, checkpoint, percent, load }
    }
}

/// A run that ended, as reported by a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "EndedRunTuple", from = "EndedRunTuple")]
pub struct EndedRun {
    /// Sequence number of the end; grows by one within an incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Attempt number.
    pub attempt: u32,
    /// How it ended.
    pub end: RunEnd,
    /// Last checkpoint.
    pub checkpoint: Option<Name>,
}

/// The encoded form of a run that ended.
type EndedRunTuple = (u64, TaskKey, u32, RunEnd, Option<Name>);

impl From<EndedRun> for EndedRunTuple {
    fn from(run: EndedRun) -> Self {
        (run.number, run.task, run.attempt, run.end, run.checkpoint)
    }
}

impl From<EndedRunTuple> for EndedRun {
    fn from((number, task, attempt, end, checkpoint): EndedRunTuple) -> Self {
        Self { number, task, attempt, end, checkpoint }
    }
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Start time of the worker's incarnation, in milliseconds since the Unix epoch.
    pub born_wall_ms: u64,
    /// Active runs.
    pub running: Vec<ActiveRun>,
    /// Run ends that weren't acknowledged yet, at most [`MAX_REPORTED_ENDS`].
    pub ended: Vec<EndedRun>,
}

impl WorkerReport {
    /// Returns whether there may be run ends that the report doesn't list: a run that it shows
    /// neither as active nor as ended may then have ended in any way.
    pub fn may_omit_ends(&self) -> bool {
        self.ended.len() >= MAX_REPORTED_ENDS
    }
}

/// Outcome of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum StartOutcome {
    /// The run exists on the worker.
    Started,
    /// An owner with a higher fencing token has taken over.
    Fenced,
    /// This run, or a later one, was stopped or has ended on the worker.
    Superseded,
    /// The lease in the order has expired.
    Late,
    /// The worker doesn't have enough free resources.
    NoRoom,
    /// The permit of the placement policy service is missing or has expired.
    NoPermit,
    /// The worker refused the order as unhealthy, and started nothing.
    Unhealthy,
    /// The worker rejected the order as malformed.
    Invalid,
    /// Another incarnation of the worker answers at the address.
    WrongWorker,
    /// The worker can't be reached, and the order wasn't sent.
    Unreached,
    /// There was no answer: the order may take effect now or later.
    Unknown,
}

/// Outcome of a stop or pace order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum StopOutcome {
    /// The order takes effect; a stopped run ends, or never starts.
    Accepted,
    /// An owner with a higher fencing token has taken over.
    Fenced,
    /// Another incarnation of the worker answers at the address.
    WrongWorker,
    /// There was no answer.
    Unknown,
}
