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
    /// Whether the objective can no longer be met.
    pub is_late: bool,
    /// The queue's priority.
    pub priority: u32,
    /// When the objective ends, by our clock.
    pub due_ms: u64,
}

/// Returns a job's objective, in milliseconds from its acceptance.
pub fn objective_ms(queue: &QueueConfig, spec: &JobSpec) -> u64 {
    (queue.stretch * spec.longest_chain_ms() as f64) as u64 + queue.target_ms
}

/// Ranks a job that needs `remaining_ms` on a free worker.
pub fn rank(queue: &QueueConfig, due_ms: u64, remaining_ms: u64, now_ms: u64) -> Rank {
    Rank { is_late: now_ms + remaining_ms > due_ms, priority: queue.priority, due_ms }
}
