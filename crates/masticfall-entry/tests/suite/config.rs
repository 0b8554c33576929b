//! An accepted configuration takes effect within seconds and never reverts.

use masticfall_core::error::ErrorKind;
use masticfall_core::id::Revision;

use crate::lab::{Lab, assert_valid, fleet_text, sleep_ms};

fn revision(lab: &Lab, process: &str) -> Revision {
    lab.node(process).state().revision()
}

#[tokio::test(start_paused = true)]
async fn accepted_revision_is_in_force_on_all_within_three_seconds() {
    assert_valid(&fleet_text(1, 1));
    let lab = Lab::start(1, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    let accepted = lab.apply(1, 1, &fleet_text(9, 4)).await.unwrap();
    assert_eq!(accepted, Revision(2));
    sleep_ms(3_000).await;
    assert_eq!((revision(&lab, "a1"), revision(&lab, "b1")), (accepted, accepted));
}

#[tokio::test(start_paused = true)]
async fn of_two_racing_operators_one_wins_and_the_other_is_told_who() {
    let lab = Lab::start(2, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    let (low, high) = (fleet_text(5, 4), fleet_text(7, 4));
    let (first, second) = tokio::join!(lab.apply(0, 1, &low), lab.apply(1, 1, &high));
    let lost = match (first, second) {
        (Ok(_), Err(lost)) | (Err(lost), Ok(_)) => lost,
        other => panic!("exactly one has to be accepted: {other:?}"),
    };
    assert_eq!(lost.kind, ErrorKind::PreconditionFailed);
    assert!(lost.detail.contains("ana"), "{}", lost.detail);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_of_an_accepted_revision_is_settled_by_reading_back() {
    let lab = Lab::start(3, &[("a1", "a")], &fleet_text(6, 4)).await;
    lab.cloud.set_faults(|faults| faults.lost_responses_per_mille = 1_000);
    assert_eq!(lab.apply(0, 1, &fleet_text(9, 4)).await, Ok(Revision(2)));
}

#[tokio::test(start_paused = true)]
async fn outage_refuses_a_change_as_not_run() {
    let lab = Lab::start(4, &[("a1", "a")], &fleet_text(6, 4)).await;
    lab.cloud.set_faults(|faults| faults.down = true);
    let refused = lab.apply(0, 1, &fleet_text(9, 4)).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::PlatformUnavailable);
    lab.cloud.set_faults(|faults| faults.down = false);
    sleep_ms(3_000).await;
    assert_eq!(revision(&lab, "a1"), Revision(1));
}

#[tokio::test(start_paused = true)]
async fn peers_carry_a_revision_to_a_process_that_cannot_reach_the_platform() {
    let lab = Lab::start(5, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    lab.cloud.set_faults(|faults| {
        faults.isolated.insert("b".into());
    });
    lab.apply(0, 1, &fleet_text(9, 4)).await.unwrap();
    sleep_ms(3_000).await;
    assert_eq!(revision(&lab, "b1"), Revision(2));
}

#[tokio::test(start_paused = true)]
async fn fresh_process_never_serves_an_older_revision() {
    let mut lab = Lab::start(6, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    // Keep one peer at the first revision.
    lab.cloud.set_faults(|faults| {
        faults.isolated.insert("b".into());
    });
    lab.set_partitioned("a", "b", true);
    lab.apply(0, 1, &fleet_text(9, 4)).await.unwrap();
    lab.set_partitioned("a", "b", false);
    lab.add("a2", "a");
    let mut last = Revision(0);
    for _ in 0..200 {
        sleep_ms(10).await;
        let now = revision(&lab, "a2");
        assert!(now >= last, "{now} after {last}");
        assert!(now == Revision(0) || now == Revision(2), "served revision {now}");
        last = now;
    }
    assert_eq!(last, Revision(2));
}
