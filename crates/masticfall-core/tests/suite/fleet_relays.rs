//! Choice of relays, and the age of what reaches them.

use masticfall_core::fleet::relays::{
    FrameAge, RelayCandidate, choose_relays, relay_of, worker_capacity,
};
use masticfall_core::prelude::*;

fn candidate(name: &str, data_centre: &str, worker_capacity: u32) -> RelayCandidate {
    RelayCandidate { name: name.into(), data_centre: data_centre.into(), worker_capacity }
}

fn workers(counts: &[(&str, usize)]) -> IndexMap<DataCentre, usize> {
    counts.iter().map(|(name, count)| (DataCentre::from(*name), *count)).collect()
}

#[test]
fn relays_are_the_fittest_of_the_workers_data_centre() {
    let candidates = [
        candidate("a1", "a", 30),
        candidate("a2", "a", 125),
        candidate("a3", "a", 125),
        candidate("b1", "b", 30),
        candidate("b2", "b", 0),
    ];
    let chosen = choose_relays(&candidates, &workers(&[("a", 180), ("b", 20)]));
    assert_eq!(chosen[&DataCentre::from("a")], [Name::from("a2"), Name::from("a3")]);
    assert_eq!(chosen[&DataCentre::from("b")], [Name::from("b1")]);
}

#[test]
fn candidates_elsewhere_fill_a_shortage() {
    let candidates = [candidate("a1", "a", 60), candidate("a2", "a", 60), candidate("b1", "b", 60)];
    let chosen = choose_relays(&candidates, &workers(&[("a", 60), ("b", 100), ("c", 10)]));
    assert_eq!(chosen[&DataCentre::from("a")], [Name::from("a1")]);
    assert_eq!(chosen[&DataCentre::from("b")], [Name::from("b1"), Name::from("a2")]);
    assert!(chosen[&DataCentre::from("c")].is_empty(), "no candidate is left");
}

#[test]
fn thin_instances_relay_for_few_workers() {
    assert_eq!(worker_capacity(0.5, 200.0), 125);
    assert_eq!(worker_capacity(0.12, 2.0), 24);
    assert_eq!(worker_capacity(0.12, 0.0), 0);
}

#[test]
fn loss_of_a_relay_moves_its_own_workers_only() {
    let relays: Vec<Name> = (0..6).map(|n| Name::from(format!("front-{n}"))).collect();
    let ids: Vec<WorkerId> = (0..600).map(|n| WorkerId::from(format!("i-{n:08x}"))).collect();
    let mut load: IndexMap<&Name, u32> = IndexMap::new();
    for id in &ids {
        let before = relay_of(id, relays.iter()).expect("a relay");
        *load.entry(before).or_default() += 1;
        let after = relay_of(id, relays[1..].iter()).expect("a relay");
        assert!(before == after || *before == relays[0], "{id} moved from {before} to {after}");
    }
    assert!(load.values().all(|count| (60..=140).contains(count)), "uneven: {load:?}");
}

#[test]
fn frames_that_waited_for_a_suspended_relay_are_old() {
    let mut age = FrameAge::default();
    // The owner's clock is far ahead, and frames take 5 to 9 ms.
    for frame in 0..50 {
        let sent_ms = 900_000 + frame * 20;
        assert!(age.age_ms(sent_ms, 1_000 + frame * 20 + 5 + frame % 5) <= 5);
    }
    // Suspended for four seconds: all frames of that time arrive at once.
    let sent_ms = 900_000 + 50 * 20;
    let late_ms = age.age_ms(sent_ms, 1_000 + 50 * 20 + 4_000);
    assert!((3_900..=4_000).contains(&late_ms), "{late_ms} ms");
    assert!(age.age_ms(sent_ms + 3_990, 1_000 + 50 * 20 + 4_000) <= 20, "the last one is fresh");
}

#[test]
fn clocks_that_drift_apart_make_no_frame_old() {
    let mut age = FrameAge::default();
    for frame in 0..30_000_u64 {
        let sent_ms = frame * 10;
        // The relay's clock is one per cent fast.
        let received_ms = 5_000 + frame * 10 + frame / 10;
        assert!(age.age_ms(sent_ms, received_ms) < 50);
    }
}
