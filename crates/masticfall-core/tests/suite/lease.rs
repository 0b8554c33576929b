//! A holder stops before any observer treats its lease as expired, within the drift bound.

use masticfall_core::lease::{CLOCK_DRIFT_PER_MILLE, HeldLease, ObservedLease};
use proptest::prelude::*;

/// Reads a clock that is fast by `drift` parts per thousand.
fn fast_clock(now_ms: u64, drift: u64) -> u64 {
    now_ms + now_ms * drift / 1_000
}

proptest! {
    #[test]
    fn held_lease_is_not_expired_for_an_observer(
        length_ms in 100..20_000u64,
        sent_ms in 0..100_000u64,
        delay_ms in 0..20u64,
        offset_ms in -400..100i64,
        drift in prop_oneof![Just(0), Just(CLOCK_DRIFT_PER_MILLE)],
    ) {
        let mut held = HeldLease::new(length_ms);
        held.renewed(sent_ms);
        let seen_ms = sent_ms + delay_ms;
        let mut observed = ObservedLease::new(1, fast_clock(seen_ms, drift));
        // Near the end of the lease, where holder and observer could disagree.
        let now_ms = seen_ms.max((sent_ms + length_ms).saturating_add_signed(offset_ms));
        observed.observe(1, fast_clock(now_ms, drift));
        if held.is_held(now_ms) {
            prop_assert!(!observed.is_expired(length_ms));
        }
    }

    #[test]
    fn row_that_changes_is_never_expired(waits_ms in prop::collection::vec(1..6_000u64, 1..20)) {
        let mut observed = ObservedLease::new(0, 0);
        let mut now_ms = 0;
        for (version, wait_ms) in waits_ms.into_iter().enumerate() {
            now_ms += wait_ms;
            observed.observe(version as u64, now_ms);
            prop_assert!(!observed.is_expired(6_000));
            observed.observe(version as u64 + 1, now_ms);
        }
    }
}

#[test]
fn time_without_a_reading_expires_nothing() {
    let mut observed = ObservedLease::new(1, 0);
    observed.observe(1, 5_000);
    assert!(!observed.is_expired(6_000), "not observed for a whole lease length");
    observed.observe(2, 500_000);
    assert!(!observed.is_expired(6_000));
}

#[test]
fn late_confirmation_of_an_older_renewal_does_not_shorten_the_lease() {
    let mut held = HeldLease::new(1_000);
    held.renewed(5_000);
    held.renewed(4_000);
    assert!(held.is_held(5_999));
    assert!(!held.is_held(6_000));
}
