//! Order of jobs, and which ones are refused.
//!
//! Load answered: queues that ask for several times what their pool holds, for
//! some seconds, by turns. A job that is late earns its caller little, so jobs
//! that can still meet their objective go first.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::config::QueueConfig;
use super::spec::JobSpec;
use crate::id::AccountName;

/// Part of a job's remaining time that has to be left over when it first starts,
/// since estimates are rough: one that starts too late takes workers from jobs
/// that still earn.
const START_MARGIN: f64 = 0.2;

/// The same, for the way through store and workers, in milliseconds.
const START_MARGIN_MS: u64 = 100;

/// Groups of jobs, in the order in which they get workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SchedulingClass {
    /// Long-running work: it earns as long as it runs, and takes little.
    LongRunning,
    /// Has begun and can still meet its objective; what it ran is lost otherwise.
    Started,
    /// Has not begun and can still meet its objective.
    NotStarted,
    /// Can't meet its objective any more.
    Late,
}

/// Order in which jobs get workers; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Its group.
    pub class: SchedulingClass,
    /// The queue's priority.
    pub priority: u32,
    /// Whether its client account asks for more than its share of the pool.
    pub is_above_share: bool,
    /// When the objective ends, by our clock.
    pub due_ms: u64,
}

/// What a job's rank depends on.
#[derive(Debug, Clone, Copy)]
pub struct RankInput {
    /// Whether it lasts until it is cancelled.
    pub is_long_running: bool,
    /// Whether a task of it was placed.
    pub has_started: bool,
    /// When its objective ends, by our clock.
    pub due_ms: u64,
    /// What it needs on free workers, in milliseconds.
    pub remaining_ms: u64,
    /// Whether its client account asks for more than its share of the pool.
    pub is_above_share: bool,
}

/// Returns a job's objective, in milliseconds from its acceptance.
pub fn objective_ms(queue: &QueueConfig, spec: &JobSpec) -> u64 {
    (queue.stretch * spec.critical_path_ms() as f64) as u64 + queue.target_ms
}

/// Multiple of its objective within which a job has to be expected to end.
/// A late one is of use to its caller up to three times the objective, by the
/// platform's contract; the rest is kept for younger jobs that overtake it.
const ADMIT_FACTOR: f64 = 2.0;

/// What is known of a pool when a job is handed in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Time that the pool needs for all that waits, in milliseconds.
    pub backlog_ms: u64,
    /// The same for jobs of accounts within their shares, which go first.
    pub within_shares_ms: u64,
    /// Client accounts that ask for more than their share.
    pub above_share: IndexSet<AccountName>,
}

impl PoolLoad {
    /// Returns the time that the pool needs for what goes before a new job of an
    /// account, in milliseconds.
    pub fn backlog_ms_for(&self, account: Option<&AccountName>) -> u64 {
        let is_above = account.is_some_and(|account| self.above_share.contains(account));
        if is_above { self.backlog_ms } else { self.within_shares_ms }
    }
}

/// Whether a job is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is taken.
    Admit,
    /// It would end too late to be of use; a job that comes after this time
    /// would not, if nothing else came meanwhile.
    Refuse {
        /// Time after which to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides whether a job is taken, given the time that its pool needs for what
/// waits already.
///
/// Load answered: one client account sends many times its usual, or a queue
/// asks for several times what all pools together can give it.
pub fn decide_admission(queue: &QueueConfig, spec: &JobSpec, backlog_ms: u64) -> AdmissionDecision {
    if spec.is_long_running() || spec.repeat > 0 {
        return AdmissionDecision::Admit;
    }
    let useful_ms = (ADMIT_FACTOR * objective_ms(queue, spec) as f64) as u64;
    let end_ms = backlog_ms + spec.critical_path_ms();
    match end_ms.checked_sub(useful_ms) {
        Some(over_ms) if over_ms > 0 => AdmissionDecision::Refuse { retry_after_ms: over_ms },
        _ => AdmissionDecision::Admit,
    }
}

/// Ranks a job.
pub fn rank(queue: &QueueConfig, input: RankInput, now_ms: u64) -> Rank {
    let RankInput { is_long_running, has_started, due_ms, remaining_ms, is_above_share } = input;
    let margin_ms = (remaining_ms as f64 * START_MARGIN) as u64 + START_MARGIN_MS;
    let class = if is_long_running {
        SchedulingClass::LongRunning
    } else if has_started && now_ms + remaining_ms <= due_ms {
        SchedulingClass::Started
    } else if !has_started && now_ms + remaining_ms + margin_ms <= due_ms {
        SchedulingClass::NotStarted
    } else {
        SchedulingClass::Late
    };
    // What has begun goes on: stopping it would lose what it ran.
    let is_above_share =
        is_above_share && matches!(class, SchedulingClass::NotStarted | SchedulingClass::Late);
    Rank { class, priority: queue.priority, is_above_share, due_ms }
}
