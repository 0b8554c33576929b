//! What workers report: what runs, and what ended.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::spec::TaskKey;
use crate::id::Name;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't come in time.
    Alone,
}

/// A run in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub attempt: u32,
    /// Last checkpoint.
    pub checkpoint: Option<Name>,
    /// Progress, in percent.
    pub percent: u32,
    /// Tail latency in milliseconds for a task that serves, else the
    /// thousandths of a core in use; over the last half second, roughly.
    pub load: u64,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end; grows by one within a life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub attempt: u32,
    /// How it ended.
    pub end: RunEnd,
    /// Last checkpoint.
    pub checkpoint: Option<Name>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WorkerReport {
    /// The worker's steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of the worker's life, in milliseconds since the Unix epoch.
    pub born_wall_ms: u64,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// Ends that were not acknowledged yet.
    pub ended: Vec<EndedRun>,
}

/// How a start order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// A dispatcher with a higher fencing token has taken over.
    Fenced,
    /// This run, or a later one, was stopped or has ended there.
    Superseded,
    /// The lease of the order is over.
    Late,
    /// There isn't enough room.
    NoRoom,
    /// The permit of the placement policy is missing or has expired.
    NoPermit,
    /// The worker refuses work, and has done nothing.
    Unhealthy,
    /// The order isn't understood.
    Invalid,
    /// Another life of the worker answers at the address.
    WrongWorker,
    /// The worker can't be reached, and nothing was sent.
    Unreached,
    /// There was no answer: the order may be carried out now or later.
    Unknown,
}

/// How a stop order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum StopOutcome {
    /// The run ends, or never starts.
    Accepted,
    /// A dispatcher with a higher fencing token has taken over.
    Fenced,
    /// Another life of the worker answers at the address.
    WrongWorker,
    /// There was no answer.
    Unknown,
}
