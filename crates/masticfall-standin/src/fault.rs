//! Fault injection for the stand-in platform.

use indexmap::IndexSet;
use masticfall_core::id::{DataCentre, InstanceName};

/// Active faults.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Whether every operation fails without effect.
    pub down: bool,
    /// Delay added to every operation, in milliseconds.
    pub delay_ms: u64,
    /// Share of transactions that are committed but whose response is lost, per mille.
    pub lost_responses_per_mille: u32,
    /// Data centres that cannot reach the platform.
    pub isolated: IndexSet<DataCentre>,
    /// Workers on which every task fails.
    pub failing_workers: IndexSet<InstanceName>,
    /// Workers that cannot be reached; their tasks keep running.
    pub unreachable_workers: IndexSet<InstanceName>,
    /// Instances that never come back from a reboot.
    pub lost_at_reboot: IndexSet<InstanceName>,
}
