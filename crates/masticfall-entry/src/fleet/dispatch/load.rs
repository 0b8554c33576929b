//! The owner's load, for the log and the metrics.
//!
//! Tells apart the ways in which an owner falls behind a peak: passes that are long or rare,
//! and a process that comes back late to any of its work since its processor share is used up.

use std::time::Duration;

use masticfall_core::fleet::passes::{PassTiming, PassTotals};

use crate::fleet::metrics::FleetMetrics;

/// Interval of the log line, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Size of the owner's state.
#[derive(Debug, Clone, Copy)]
pub(super) struct BoardSize {
    /// Jobs with tasks left to run or to stop.
    pub(super) jobs: usize,
    /// Jobs with changes to be stored.
    pub(super) unstored_jobs: usize,
    /// Start orders without an outcome.
    pub(super) starts_in_flight: usize,
}

/// Load since the last log line.
#[derive(Debug)]
pub(super) struct LoadMeter {
    totals: PassTotals,
    logged_ms: u64,
}

impl LoadMeter {
    /// Creates a meter of an ownership that begins at `now_ms`.
    pub(super) fn new(now_ms: u64) -> Self {
        Self { totals: PassTotals::default(), logged_ms: now_ms }
    }

    /// Records a pass.
    pub(super) fn record(&mut self, metrics: &FleetMetrics, timing: &PassTiming) {
        metrics.pass_duration.observe(seconds(timing.duration_us));
        metrics.pass_delay.observe(seconds(timing.late_us));
        self.totals.add(timing);
    }

    /// Logs the load of the time since the last line, once a second.
    pub(super) fn log_if_due(&mut self, epoch: u32, size: BoardSize, now_ms: u64) {
        if now_ms < self.logged_ms + LOG_INTERVAL_MS {
            return;
        }
        let over_ms = now_ms - std::mem::replace(&mut self.logged_ms, now_ms);
        let PassTotals { passes, tasks, busy_us, longest_us, longest_wait_us, latest_us } =
            std::mem::take(&mut self.totals);
        let BoardSize { jobs, unstored_jobs, starts_in_flight } = size;
        let (busy_ms, longest_ms) = (busy_us / 1_000, longest_us / 1_000);
        let (longest_wait_ms, latest_ms) = (longest_wait_us / 1_000, latest_us / 1_000);
        tracing::info!(name: "owner.load", epoch, over_ms, passes, tasks, busy_ms, longest_ms, longest_wait_ms, latest_ms, jobs, unstored_jobs, starts_in_flight, "scheduling load of the owner");
    }
}

fn seconds(us: u64) -> f64 {
    Duration::from_micros(us).as_secs_f64()
}
