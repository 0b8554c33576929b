//! A withdrawn key is refused within seconds, and stays withdrawn.

use masticfall_core::error::ErrorKind;
use masticfall_core::id::{KeyId, Name};
use masticfall_core::key::KeyHash;
use masticfall_entry::dispatch::authenticate;
use masticfall_entry::ops::withdraw_key;
use masticfall_wire::rows::WithdrawnRow;

use crate::lab::{Lab, call, fleet_text, key_of, sleep_ms};

fn refused(lab: &Lab, process: &str, team: &str) -> bool {
    let node = lab.node(process);
    let key = KeyHash::of(&key_of(team));
    let result = authenticate(&node.state(), &call(team).queue, Some(&key), node.now_ms());
    result.is_err_and(|refusal| refusal.kind == ErrorKind::Unauthorized)
}

fn withdraw(lab: &Lab, process: &str) {
    let key = KeyId::from("red-1");
    withdraw_key::run(lab.node(process), &key, Name::from("ana")).unwrap();
}

#[tokio::test(start_paused = true)]
async fn withdrawn_key_is_refused_by_all_within_three_seconds() {
    let lab = Lab::start(1, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    assert!(!refused(&lab, "a1", "red") && !refused(&lab, "b1", "red"));
    withdraw(&lab, "b1");
    sleep_ms(3_000).await;
    assert!(refused(&lab, "a1", "red") && refused(&lab, "b1", "red"));
    assert!(!refused(&lab, "a1", "blue"), "other keys stay valid");
}

#[tokio::test(start_paused = true)]
async fn peers_carry_a_withdrawal_while_the_platform_is_away() {
    let lab = Lab::start(2, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    lab.cloud.set_faults(|faults| faults.down = true);
    withdraw(&lab, "a1");
    sleep_ms(3_000).await;
    assert!(refused(&lab, "b1", "red"));
    lab.cloud.set_faults(|faults| faults.down = false);
    sleep_ms(3_000).await;
    let row: WithdrawnRow = lab.cloud.row("keys/withdrawn").unwrap().decode().unwrap();
    assert!(row.keys.contains_key(&KeyId::from("red-1")), "written once the platform is back");
}

#[tokio::test(start_paused = true)]
async fn platform_carries_a_withdrawal_while_peers_are_cut() {
    let lab = Lab::start(3, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    lab.set_partitioned("a", "b", true);
    withdraw(&lab, "a1");
    sleep_ms(3_000).await;
    assert!(refused(&lab, "b1", "red"));
}

#[tokio::test(start_paused = true)]
async fn later_revision_does_not_undo_a_withdrawal() {
    let lab = Lab::start(4, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    withdraw(&lab, "a1");
    lab.apply(1, 1, &fleet_text(7, 4)).await.unwrap();
    sleep_ms(3_000).await;
    assert!(refused(&lab, "a1", "red") && refused(&lab, "b1", "red"));
}

#[tokio::test(start_paused = true)]
async fn fresh_process_knows_withdrawals_before_it_serves() {
    let mut lab = Lab::start(5, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    withdraw(&lab, "a1");
    sleep_ms(2_000).await;
    lab.add("a2", "a");
    for _ in 0..100 {
        sleep_ms(20).await;
        let node = lab.node("a2");
        let result = authenticate(
            &node.state(),
            &call("red").queue,
            Some(&KeyHash::of(&key_of("red"))),
            node.now_ms(),
        );
        assert!(result.is_err());
    }
    assert!(refused(&lab, "a2", "red"));
}

#[tokio::test(start_paused = true)]
async fn data_centre_that_is_cut_off_learns_of_a_withdrawal_when_it_is_back() {
    let lab = Lab::start(6, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    lab.set_partitioned("a", "b", true);
    lab.cloud.set_faults(|faults| {
        faults.isolated.insert("b".into());
    });
    withdraw(&lab, "a1");
    sleep_ms(30_000).await;
    assert!(!refused(&lab, "b1", "red"), "it cannot know of the withdrawal and keeps serving");
    let unconfirmed = {
        let node = lab.node("a1");
        let state = node.state();
        let digest = state.withdrawn_digest();
        state.members.values().any(|member| member.withdrawn_digest != digest)
    };
    assert!(unconfirmed, "the operator can see that b has not confirmed");
    lab.set_partitioned("a", "b", false);
    lab.cloud.set_faults(|faults| faults.isolated.clear());
    sleep_ms(3_000).await;
    assert!(refused(&lab, "b1", "red"));
}
