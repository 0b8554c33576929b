//! The owner's load, for the log and the metrics.
//!
//! Tells apart the ways in which an owner falls behind a peak: passes that are long or rare,
//! and a process that comes back late to any of its work since its processor share is used up.

use std::time::Duration;

use masticfall_core::fleet::passes::{PassTiming, PassTotals};
use rustix::time::{ClockId, DynamicClockId, clock_gettime_dynamic};

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
#[derive(Debug, Default)]
pub(super) struct LoadMeter {
    totals: PassTotals,
    logged_ms: u64,
    cpu_us: u64,
}

impl LoadMeter {
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
        let cpu_us = process_cpu_us();
        let used_ms = cpu_us.saturating_sub(self.cpu_us) / 1_000;
        let over_ms = now_ms - self.logged_ms;
        let is_first = self.logged_ms == 0;
        (self.cpu_us, self.logged_ms) = (cpu_us, now_ms);
        let PassTotals { passes, tasks, busy_us, longest_us, longest_wait_us, latest_us } =
            std::mem::take(&mut self.totals);
        if is_first {
            return;
        }
        let BoardSize { jobs, unstored_jobs, starts_in_flight } = size;
        let (busy_ms, longest_ms) = (busy_us / 1_000, longest_us / 1_000);
        let (longest_wait_ms, latest_ms) = (longest_wait_us / 1_000, latest_us / 1_000);
        tracing::info!(name: "owner.load", epoch, over_ms, passes, tasks, busy_ms, longest_ms, longest_wait_ms, latest_ms, cpu_ms = used_ms, jobs, unstored_jobs, starts_in_flight, "scheduling load of the owner");
    }
}

/// Returns the processor time that this process has used, in microseconds; 0 where the system
/// doesn't tell.
fn process_cpu_us() -> u64 {
    let clock = DynamicClockId::Known(ClockId::ProcessCPUTime);
    clock_gettime_dynamic(clock)
        .map_or(0, |time| time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

fn seconds(us: u64) -> f64 {
    Duration::from_micros(us).as_secs_f64()
}
