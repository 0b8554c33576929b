//! Rhythm of the scheduling passes of a cell's owner.
//!
//! Answers for peaks in which thousands of tasks a second become ready: a pass decides on all
//! that came since the one before, and the process serves its other work in between.

use std::time::Duration;

/// Minimum pause between two passes, so that changes are decided on, stored and sent in batches.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// Maximum pause between two passes, short against the slack with which jobs are ranked, so that
/// the wait for a pass makes no job late.
const MAX_PAUSE: Duration = Duration::from_millis(25);

/// Pause between two passes as a multiple of the last one's duration, so that a pass over a
/// large board doesn't follow each single change.
const PAUSE_FACTOR: u32 = 3;

/// Returns the pause after a pass of this duration.
///
/// It is bounded, since a pass grows with the tasks that become ready during the pause: without a
/// bound the owner would place tasks at no more than a fraction of the rate that it has time for.
pub fn pause_after(pass: Duration) -> Duration {
    (pass * PAUSE_FACTOR).clamp(MIN_PAUSE, MAX_PAUSE)
}

/// Timing of a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PassTiming {
    /// Tasks that it placed.
    pub tasks: usize,
    /// Its duration, in microseconds.
    pub duration_us: u64,
    /// The pause after it, in microseconds.
    pub pause_us: u64,
    /// Time after the pause until the process came back to scheduling, in microseconds: it was
    /// busy with other work, or had used up its share of the processor.
    pub late_us: u64,
}

/// Passes of a period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PassTotals {
    /// Number of passes.
    pub passes: u32,
    /// Tasks that they placed.
    pub tasks: usize,
    /// Time spent in them, in microseconds.
    pub busy_us: u64,
    /// Duration of the longest one, in microseconds.
    pub longest_us: u64,
    /// Longest time for which a change may have waited for the next pass, in microseconds.
    pub longest_wait_us: u64,
    /// Longest time after a pause until the process came back to scheduling, in microseconds.
    pub latest_us: u64,
}

impl PassTotals {
    /// Adds a pass.
    pub fn add(&mut self, timing: &PassTiming) {
        let PassTiming { tasks, duration_us, pause_us, late_us } = *timing;
        self.passes += 1;
        self.tasks += tasks;
        self.busy_us += duration_us;
        self.longest_us = self.longest_us.max(duration_us);
        self.longest_wait_us = self.longest_wait_us.max(duration_us + pause_us + late_us);
        self.latest_us = self.latest_us.max(late_us);
    }
}
