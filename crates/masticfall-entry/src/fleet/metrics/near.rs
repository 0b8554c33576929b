//! Metrics of waits for near workers.

use masticfall_core::fleet::locality::NearOutcome;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of waits for near workers and of far placements.
#[derive(Debug, Default)]
pub struct NearMetrics {
    waits: Counter,
    wait_ms: Counter,
    gained_ms: Counter,
    lost_ms: Counter,
    far_tasks: Counter,
}

impl NearMetrics {
    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Tasks placed after they waited for near workers";
        registry.register("near_waits", help, self.waits.clone());
        let help = "Time for which tasks waited for near workers while others had room, in ms";
        registry.register("near_wait_ms", help, self.wait_ms.clone());
        let help = "Time that waits for near workers saved the tasks, as estimated, in ms";
        registry.register("near_gained_ms", help, self.gained_ms.clone());
        let help = "Time lost by waits for near workers that saved less than they took, in ms";
        registry.register("near_lost_ms", help, self.lost_ms.clone());
        let help = "Tasks placed away from their data, or in a group spread over racks";
        registry.register("far_tasks", help, self.far_tasks.clone());
    }

    /// Records what became of tasks that were placed.
    pub fn record(&self, outcome: &NearOutcome) {
        self.waits.inc_by(outcome.waited);
        self.wait_ms.inc_by(outcome.waited_ms);
        self.gained_ms.inc_by(outcome.gained_ms);
        self.lost_ms.inc_by(outcome.lost_ms);
        self.far_tasks.inc_by(outcome.far);
    }
}
