//! When a cell's owner counts as lost.

use masticfall_core::fleet::failover::{
    FAILOVER_TIMEOUT_MS, OwnerFrame, SILENT_OWNER_TIMEOUT_MS, failover_timeout_ms,
};
use rstest::rstest;

const NOW_MS: u64 = 100_000;

/// The store's feed may be silent for a second while the owner works on.
#[rstest]
#[case::no_relay(None, FAILOVER_TIMEOUT_MS)]
#[case::frames_arrive(Some((7, NOW_MS - 250)), FAILOVER_TIMEOUT_MS)]
#[case::two_signs_of_life_missed(Some((7, NOW_MS - 700)), FAILOVER_TIMEOUT_MS)]
#[case::frames_of_an_earlier_owner(Some((6, NOW_MS - 5_000)), FAILOVER_TIMEOUT_MS)]
#[case::silent(Some((7, NOW_MS - 800)), SILENT_OWNER_TIMEOUT_MS)]
fn owner_is_lost_sooner_only_if_its_frames_are_missing_too(
    #[case] frame: Option<(u32, u64)>,
    #[case] expected_ms: u64,
) {
    let frame = frame.map(|(epoch, received_ms)| OwnerFrame { epoch, received_ms });
    assert_eq!(failover_timeout_ms(7, frame, NOW_MS), expected_ms);
}
