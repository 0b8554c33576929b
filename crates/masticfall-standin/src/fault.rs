//! Switchable faults of the stand-in platform.

use indexmap::IndexSet;
use masticfall_core::id::{DataCentre, InstanceName};

/// Faults in force.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Whether every operation fails at once without effect.
    pub down: bool,
    /// Delay of every operation, in milliseconds.
    pub delay_ms: u64,
    /// Part of transactions whose answer is lost after the effect, per mille.
    pub lost_responses_per_mille: u32,
    /// Data centres that cannot reach the platform.
    pub isolated: IndexSet<DataCentre>,
    /// Workers that fail every task.
    pub failing_workers: IndexSet<InstanceName>,
    /// Workers that cannot be reached, while their tasks go on.
    pub unreachable_workers: IndexSet<InstanceName>,
    /// Instances that do not return from a reboot.
    pub lost_at_reboot: IndexSet<InstanceName>,
}
