//! Pace of fillers beside tasks that serve users.
//!
//! Fillers disturb by amounts that differ by image and change within seconds,
//! so the pace follows the measured tails: it is cut fast when a tail nears its
//! target, and raised slowly.

/// Share of the target from which fillers are slowed.
const SLOW_FROM: f64 = 0.85;

/// Share of the target below which fillers are sped up.
const SPEED_UP_BELOW: f64 = 0.65;

/// Step by which fillers are sped up, in percent of full pace.
const SPEED_UP_PERCENT: u32 = 15;

/// Pace under which a filler is paused, in percent.
const PAUSE_BELOW_PERCENT: u32 = 10;

/// The worst tail among the tasks that serve on a worker, as a share of its target.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct TailRatio(pub f64);

/// Returns the next pace of the fillers on a worker, in percent.
pub fn next_pace(current_percent: u32, tail_ratio: Option<TailRatio>) -> u32 {
    let Some(TailRatio(tail_ratio)) = tail_ratio else { return 100 };
    if tail_ratio >= 1.0 {
        return 0;
    }
    if tail_ratio >= SLOW_FROM {
        let halved = current_percent / 2;
        return if halved < PAUSE_BELOW_PERCENT { 0 } else { halved };
    }
    if tail_ratio < SPEED_UP_BELOW {
        return (current_percent + SPEED_UP_PERCENT).min(100);
    }
    current_percent
}
