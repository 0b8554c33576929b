//! Order of jobs, and which ones are refused.
//!
//! Load answered: queues that ask for several times what their pool holds, for
//! some seconds, by turns. A job that is late earns its caller little, so jobs
//! that can still meet their objective go first.

use super::config::QueueConfig;
use super::spec::JobSpec;

/// Order in which jobs get workers; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether it is neither lasting work nor can still meet its objective.
    /// What lasts goes first: it earns as long as it runs, and takes little.
    pub is_late: bool,
    /// Whether it ends by itself.
    pub ends: bool,
    /// The queue's priority.
    pub priority: u32,
    /// When the objective ends, by our clock.
    pub due_ms: u64,
}

/// Returns a job's objective, in milliseconds from its acceptance.
pub fn objective_ms(queue: &QueueConfig, spec: &JobSpec) -> u64 {
    (queue.stretch * spec.longest_chain_ms() as f64) as u64 + queue.target_ms
}

/// Ranks a job that needs `remaining_ms` on a free worker; one that `lasts`
/// has no objective to miss.
pub fn rank(queue: &QueueConfig, lasts: bool, due_ms: u64, remaining_ms: u64, now_ms: u64) -> Rank {
    let is_late = !lasts && now_ms + remaining_ms > due_ms;
    Rank { is_late, ends: !lasts, priority: queue.priority, due_ms }
}
