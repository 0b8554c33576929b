//! The timeline is bounded and ordered, and counts the events that it drops.

use masticfall_core::id::Incarnation;
use masticfall_core::timeline::{EventKind, HybridClock, Stamp, Timeline};
use proptest::prelude::*;

proptest! {
    #[test]
    fn clock_grows_whatever_the_wall_clock_does(
        readings in prop::collection::vec((0..50u64, any::<bool>()), 0..60),
    ) {
        let mut clock = HybridClock::default();
        let mut last = Stamp::default();
        for (wall_ms, observed) in readings {
            if observed {
                clock.observe(Stamp { wall_ms, counter: 3 }, wall_ms / 2);
            }
            let now = clock.now(wall_ms);
            prop_assert!(now > last);
            last = now;
        }
    }
}

#[test]
fn stamp_is_read_back_from_its_text() {
    let stamp = Stamp { wall_ms: 17, counter: 3 };
    assert_eq!(stamp.to_string().parse(), Ok(stamp));
    assert!("17".parse::<Stamp>().is_err());
    assert!("17.x".parse::<Stamp>().is_err());
}

#[test]
fn full_ring_drops_the_oldest_and_counts_them() {
    let mut timeline = Timeline::new(Incarnation::from("p"), 3);
    for wall_ms in 1..=5 {
        timeline.record(wall_ms, EventKind::Admitted, &[]);
    }
    assert_eq!(timeline.lost(), 2);
    let kept: Vec<u64> =
        timeline.since(Stamp::default()).iter().map(|event| event.stamp.wall_ms).collect();
    assert_eq!(kept, [3, 4, 5]);
}
