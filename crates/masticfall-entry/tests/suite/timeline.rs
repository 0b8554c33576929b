//! The timeline: events of all processes in one order.

use masticfall_core::timeline::{EventKind, Stamp, merge};

use crate::lab::{Lab, fleet_text, sleep_ms};

#[tokio::test(start_paused = true)]
async fn change_is_in_force_elsewhere_after_it_was_in_force_where_it_was_accepted() {
    let lab = Lab::start(1, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    lab.apply(0, 1, &fleet_text(9, 4)).await.unwrap();
    sleep_ms(2_000).await;
    let processes = lab.processes.values();
    let all = merge(processes.map(|process| process.node.state().timeline.since(Stamp::default())));
    let in_force: Vec<&str> = all
        .iter()
        .filter(|event| {
            event.kind == EventKind::RevisionInForce && &*event.labels["revision"] == "2"
        })
        .map(|event| event.process.as_str())
        .collect();
    let expected = [lab.node("a1").incarnation.as_str(), lab.node("b1").incarnation.as_str()];
    assert_eq!(in_force, expected, "causes precede effects, independent of the wall clocks");
    assert!(all.is_sorted_by_key(|event| event.stamp));
}
