//! Workers that fall silent or leave.

use masticfall_core::fleet::board::Order;
use masticfall_core::fleet::spec::StepSpec;
use masticfall_core::prelude::*;

use crate::fleet_rig::{LEASE_MS, Rig, facts, step};

const WORKERS: &[(&str, u64)] = &[("w1", 8), ("w2", 8)];
const JOB: &str = "00000000000000cc";

/// Fails looks at a worker for some time, as its dispatcher would make them.
fn fall_silent(rig: &mut Rig, id: &str, for_ms: u64) {
    let until_ms = rig.now_ms + for_ms;
    while rig.now_ms < until_ms {
        rig.advance(200);
        let now_ms = rig.now_ms;
        rig.board.poll(&id.into(), now_ms);
        rig.board.poll_failed(&id.into());
        let other = if id == "w1" { "w2" } else { "w1" };
        rig.poll(&other.into());
        rig.settle();
    }
}

#[test]
fn tasks_of_a_silent_worker_start_again_once_its_lease_is_over() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let on = rig.started[0].worker.as_str().to_string();
    fall_silent(&mut rig, &on, LEASE_MS - 200);
    assert_eq!(rig.started.len(), 1, "it may still run");
    fall_silent(&mut rig, &on, 1_000);
    assert_eq!(rig.started.len(), 2, "looks without an answer must not extend the lease for ever");
    assert_ne!(rig.started[1].worker.as_str(), on);
}

#[test]
fn silent_worker_that_is_back_in_time_keeps_its_task() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let on = rig.started[0].worker.as_str().to_string();
    fall_silent(&mut rig, &on, LEASE_MS / 2);
    rig.poll_all();
    fall_silent(&mut rig, "w-none", LEASE_MS);
    assert_eq!(rig.started.len(), 1);
}

#[test]
fn what_lasts_leaves_a_draining_worker() {
    let mut rig = Rig::new(WORKERS);
    let lasting = StepSpec { is_long_running: true, max_unavailable: 1, ..step(1, 1) };
    rig.submit(JOB, vec![lasting]);
    rig.settle();
    let on = rig.started[0].worker.clone();
    rig.workers[&on].running[0].percent = 100;
    rig.poll_all();
    rig.board.list_worker({
        let mut draining = facts(on.as_str(), 8);
        draining.is_draining = true;
        draining
    });
    rig.advance(100);
    rig.settle();
    assert!(matches!(&rig.other_orders[..], [Order::Stop(stop)] if stop.worker == on));
}

#[test]
fn next_owner_restarts_sooner_what_was_on_a_worker_announced_as_silent() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let on = rig.started[0].worker.as_str().to_string();
    let other = if on == "w1" { "w2" } else { "w1" };
    fall_silent(&mut rig, &on, 3_000);
    let now_ms = rig.now_ms;
    let silent = rig.board.announce_silent(now_ms);
    assert!(silent[&WorkerId::from(on.as_str())] <= LEASE_MS - 2_500);
    rig.take_over(2);
    rig.list(&[(other, 8)]);
    rig.board.apply_announcement(&silent, now_ms);
    rig.poll(&other.into());
    rig.settle();
    assert_eq!(rig.started.len(), 1, "it may still run");
    rig.advance(LEASE_MS - 2_500 + 200);
    rig.poll(&other.into());
    rig.settle();
    assert_eq!(rig.started.len(), 2, "long before a lease given by the last owner could end");
}

#[test]
fn worker_announced_as_silent_gets_a_lease_only_after_it_was_taken_back() {
    let mut rig = Rig::new(WORKERS);
    let now_ms = rig.now_ms;
    rig.board.poll_failed(&"w1".into());
    let silent = rig.board.announce_silent(now_ms);
    // It answers again, but the store still says otherwise.
    rig.poll(&"w1".into());
    let poll = rig.board.poll(&"w1".into(), now_ms).expect("a worker");
    assert_eq!(poll.lease_deadline_ms, None);
    rig.board.announcement_stored(&silent);
    assert_eq!(rig.board.poll(&"w1".into(), now_ms).expect("a worker").lease_deadline_ms, None);
    let silent = rig.board.announce_silent(now_ms);
    assert!(silent.is_empty());
    rig.board.announcement_stored(&silent);
    assert!(rig.board.poll(&"w1".into(), now_ms).expect("a worker").lease_deadline_ms.is_some());
}
