//! Rhythm of the scheduling passes of a cell's owner under load.

use std::time::Duration;

use masticfall_core::fleet::passes::{PassTiming, PassTotals, pause_after};
use rstest::rstest;

/// Time that a pass takes whatever it places, in microseconds.
const FIXED_US: u64 = 3_000;

/// Time for which a task that becomes ready may wait for a pass, in milliseconds: the slack for
/// store writes and start orders with which jobs are ranked.
const MAX_WAIT_MS: u64 = 100;

/// Plays passes while `tasks_per_s` become ready, each of which takes `task_us` of a pass, after
/// a time of `stalled_ms` without one. Returns the time for which tasks of the tenth second wait
/// for the next pass at most, in milliseconds.
fn longest_wait_ms(tasks_per_s: u64, task_us: u64, stalled_ms: u64) -> u64 {
    let mut now_us = 0;
    let mut since_last_us = stalled_ms * 1_000;
    let mut longest_us = 0;
    while now_us < 10_000_000 {
        let ready = since_last_us * tasks_per_s / 1_000_000;
        let pass_us = FIXED_US + ready * task_us;
        let pause_us = pause_after(Duration::from_micros(pass_us)).as_micros() as u64;
        since_last_us = pass_us + pause_us;
        now_us += since_last_us;
        if now_us >= 9_000_000 {
            longest_us = longest_us.max(since_last_us);
        }
    }
    longest_us / 1_000
}

/// A pause that grows with the pass lets more tasks come, which make the next pass longer.
#[rstest]
#[case::a_third_of_the_time(4_200, 80)]
#[case::half_of_the_time(4_200, 120)]
fn passes_keep_up_with_a_peak_that_takes_part_of_the_owners_time(
    #[case] tasks_per_s: u64,
    #[case] task_us: u64,
) {
    for stalled_ms in [10, 500] {
        let wait_ms = longest_wait_ms(tasks_per_s, task_us, stalled_ms);
        assert!(wait_ms <= MAX_WAIT_MS, "{wait_ms} ms after a stall of {stalled_ms} ms");
    }
}

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
