//! Pace of best-effort tasks that share a worker with tasks that serve users.
//!
//! Their interference differs by image and changes within seconds, so their pace
//! follows the measured tail latencies: it is halved when one nears its target, and
//! raised slowly.

/// Tail latency, as a share of its target, from which best-effort tasks are slowed down.
const SLOW_DOWN_RATIO: f64 = 0.85;

/// Tail latency, as a share of its target, below which best-effort tasks are sped up.
const SPEED_UP_RATIO: f64 = 0.65;

/// Increment by which best-effort tasks are sped up, in percent of full pace.
const SPEED_UP_PERCENT: u32 = 15;

/// Pace below which a best-effort task is paused, in percent of full pace.
const PAUSE_BELOW_PERCENT: u32 = 10;

/// The highest tail latency of the tasks on a worker that serve users, as a share of its target.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct TailRatio(pub f64);

/// Returns the next pace of the best-effort tasks on a worker, in percent of full pace.
pub fn next_pace(current_percent: u32, tail_ratio: Option<TailRatio>) -> u32 {
    let Some(TailRatio(tail_ratio)) = tail_ratio else { return 100 };
    if tail_ratio >= 1.0 {
        return 0;
    }
    if tail_ratio >= SLOW_DOWN_RATIO {
        let halved = current_percent / 2;
        return if halved < PAUSE_BELOW_PERCENT { 0 } else { halved };
    }
    if tail_ratio < SPEED_UP_RATIO {
        return (current_percent + SPEED_UP_PERCENT).min(100);
    }
    current_percent
}
