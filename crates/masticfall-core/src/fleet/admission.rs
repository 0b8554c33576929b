//! Scheduling order of jobs, and admission control.
//!
//! Handles queues that take turns at demanding several times their pool's
//! capacity for some seconds. A late job is worth little to its caller, so jobs
//! that can still meet their objective go first.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::config::QueueConfig;
use super::spec::JobSpec;
use crate::id::AccountName;

/// Slack that a job needs when it first starts, as a fraction of its remaining
/// time. Estimates are rough, and a job that starts too late takes workers from
/// jobs that can still meet their objective.
const START_MARGIN_RATIO: f64 = 0.2;

/// Additional fixed slack for store writes and start orders.
const START_MARGIN_MS: u64 = 100;

/// Classes of jobs, in the order in which they get workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SchedulingClass {
    /// Runs until cancelled; has value all the time it runs, and needs few resources.
    LongRunning,
    /// Has started and can still meet its objective; its work would be lost otherwise.
    Started,
    /// Has not started and can still meet its objective.
    NotStarted,
    /// Can no longer meet its objective.
    Late,
}

/// Order in which jobs get workers; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Scheduling class.
    pub class: SchedulingClass,
    /// Priority of the queue; 0 goes first.
    pub priority: u32,
    /// Whether its client account demands more than its share of the pool.
    pub is_above_share: bool,
    /// When the objective ends, by the local clock.
    pub due_ms: u64,
}

/// State of a job that its rank depends on.
#[derive(Debug, Clone, Copy)]
pub struct RankInput {
    /// Whether it runs until it is cancelled.
    pub is_long_running: bool,
    /// Whether any of its tasks was placed.
    pub has_started: bool,
    /// When its objective ends, by the local clock.
    pub due_ms: u64,
    /// Estimated time to completion on free workers.
    pub remaining_ms: u64,
    /// Whether its client account demands more than its share of the pool.
    pub is_above_share: bool,
}

/// Returns a job's completion-time objective, in milliseconds from its acceptance.
pub fn objective_ms(queue: &QueueConfig, spec: &JobSpec) -> u64 {
    let stretched_ms = (queue.stretch * spec.critical_path_ms() as f64) as u64;
    stretched_ms.saturating_add(queue.target_ms)
}

/// Multiple of its objective within which a job must be expected to end to be
/// admitted. By the platform's contract a late job keeps some value up to three
/// times its objective; the difference allows for newer jobs that overtake it.
const ADMISSION_OBJECTIVE_FACTOR: f64 = 2.0;

/// Load of a pool, as used for admission.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Time that the pool needs for all waiting work.
    pub backlog_ms: u64,
    /// Time for the waiting jobs of accounts within their shares, which go first.
    pub within_shares_ms: u64,
    /// Client accounts that demand more than their share.
    pub above_share: IndexSet<AccountName>,
}

impl PoolLoad {
    /// Returns the time that the pool needs for work ahead of an account's new job.
    pub fn backlog_ms_for(&self, account: Option<&AccountName>) -> u64 {
        let is_above = account.is_some_and(|account| self.above_share.contains(account));
        if is_above { self.backlog_ms } else { self.within_shares_ms }
    }
}

/// Result of admission control for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The job is accepted.
    Admit,
    /// The job would end too late to be of use.
    Refuse {
        /// Time after which the job would be admitted if no other job arrived.
        retry_after_ms: u64,
    },
}

/// Decides whether to admit a job, given the time that its pool needs for the
/// work ahead of it.
///
/// Handles one client account that sends many times its usual load, and a queue
/// that demands several times what all pools together can provide.
pub fn decide_admission(queue: &QueueConfig, spec: &JobSpec, backlog_ms: u64) -> AdmissionDecision {
    if spec.is_long_running() || spec.repeat > 0 {
        return AdmissionDecision::Admit;
    }
    let latest_end_ms = (ADMISSION_OBJECTIVE_FACTOR * objective_ms(queue, spec) as f64) as u64;
    let end_ms = backlog_ms + spec.critical_path_ms();
    match end_ms.checked_sub(latest_end_ms) {
        Some(excess_ms) if excess_ms > 0 => AdmissionDecision::Refuse { retry_after_ms: excess_ms },
        _ => AdmissionDecision::Admit,
    }
}

/// Returns the rank of a job.
pub fn rank(queue: &QueueConfig, input: RankInput, now_ms: u64) -> Rank {
    let RankInput { is_long_running, has_started, due_ms, remaining_ms, is_above_share } = input;
    let margin_ms = (remaining_ms as f64 * START_MARGIN_RATIO) as u64 + START_MARGIN_MS;
    let class = if is_long_running {
        SchedulingClass::LongRunning
    } else if has_started && now_ms + remaining_ms <= due_ms {
        SchedulingClass::Started
    } else if !has_started && now_ms + remaining_ms + margin_ms <= due_ms {
        SchedulingClass::NotStarted
    } else {
        SchedulingClass::Late
    };
    // Started jobs go on: stopping them would lose their work.
    let is_above_share =
        is_above_share && matches!(class, SchedulingClass::NotStarted | SchedulingClass::Late);
    Rank { class, priority: queue.priority, is_above_share, due_ms }
}
