//! Rhythm of the scheduling passes of a cell's owner under load.

use std::time::Duration;

use masticfall_core::fleet::passes::{PassTiming, PassTotals, pause_after};

#[test]
fn passes_without_load_are_batched() {
    assert!(pause_after(Duration::ZERO) >= Duration::from_millis(5));
}

#[test]
fn totals_tell_long_passes_from_a_late_process() {
    let mut totals = PassTotals::default();
    let long = PassTiming { tasks: 7, duration_us: 90_000, pause_us: 5_000, late_us: 100 };
    let late = PassTiming { tasks: 1, duration_us: 1_000, pause_us: 5_000, late_us: 70_000 };
    totals.add(&long);
    totals.add(&late);
    let expected = PassTotals {
        passes: 2,
        tasks: 8,
        busy_us: 91_000,
        longest_us: 90_000,
        longest_wait_us: 95_100,
        latest_us: 70_000,
    };
    assert_eq!(totals, expected);
}
