//! Leases of workers that stop answering or drain.

use masticfall_core::fleet::board::Order;
use masticfall_core::fleet::report::{RunEnd, WorkerReport};
use masticfall_core::fleet::spec::StepSpec;
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::prelude::*;

use crate::fleet_rig::{LEASE_MS, MAX_LEASE_MS, Rig, facts, step};

const WORKERS: &[(&str, u64)] = &[("w1", 8), ("w2", 8)];
const JOB: &str = "00000000000000cc";

/// Fails all polls of a worker for some time, at the intervals of an owner.
pub fn fail_polls(rig: &mut Rig, id: &str, for_ms: u64) {
    let until_ms = rig.now_ms + for_ms;
    while rig.now_ms < until_ms {
        rig.advance(200);
        let now_ms = rig.now_ms;
        rig.board.poll(&id.into(), now_ms);
        rig.board.poll_failed(&id.into(), now_ms);
        let other = if id == "w1" { "w2" } else { "w1" };
        rig.poll(&other.into());
        rig.settle();
    }
}

#[test]
fn tasks_of_a_silent_worker_restart_once_its_lease_expires() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let worker = rig.started[0].worker.as_str().to_string();
    fail_polls(&mut rig, &worker, LEASE_MS - 200);
    assert_eq!(rig.started.len(), 1, "the run may still be active");
    fail_polls(&mut rig, &worker, 1_000);
    assert_eq!(rig.started.len(), 2, "unanswered polls must not extend the lease");
    assert_ne!(rig.started[1].worker.as_str(), worker);
}

#[test]
fn silent_worker_that_answers_in_time_keeps_its_task() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let worker = rig.started[0].worker.as_str().to_string();
    fail_polls(&mut rig, &worker, LEASE_MS / 2);
    rig.poll_all();
    fail_polls(&mut rig, "w-none", LEASE_MS);
    assert_eq!(rig.started.len(), 1);
}

#[test]
fn long_running_task_is_evicted_from_a_draining_worker() {
    let mut rig = Rig::new(WORKERS);
    let long_running = StepSpec { is_long_running: true, max_unavailable: 1, ..step(1, 1) };
    rig.submit(JOB, vec![long_running]);
    rig.settle();
    let worker = rig.started[0].worker.clone();
    rig.workers[&worker].running[0].percent = 100;
    rig.poll_all();
    rig.board.list_worker({
        let mut draining = facts(worker.as_str(), 8);
        draining.is_draining = true;
        draining
    });
    rig.advance(100);
    rig.settle();
    assert!(matches!(&rig.other_orders[..], [Order::Stop(stop)] if stop.worker == worker));
}

#[test]
fn next_owner_restarts_tasks_of_a_worker_announced_as_silent_sooner() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let worker = rig.started[0].worker.as_str().to_string();
    let other = if worker == "w1" { "w2" } else { "w1" };
    fail_polls(&mut rig, &worker, 3_000);
    let now_ms = rig.now_ms;
    let unresponsive = rig.board.announce_unresponsive(now_ms);
    assert!(unresponsive[&WorkerId::from(worker.as_str())] <= LEASE_MS - 2_500);
    rig.take_over(2);
    rig.list(&[(other, 8)]);
    rig.board.apply_announcement(1, &unresponsive, now_ms);
    rig.poll(&other.into());
    rig.settle();
    assert_eq!(rig.started.len(), 1, "the run may still be active");
    rig.advance(LEASE_MS - 2_500 + 200);
    rig.poll(&other.into());
    rig.settle();
    assert_eq!(rig.started.len(), 2, "long before the latest possible lease of the previous owner");
}

#[test]
fn worker_announced_as_silent_gets_a_lease_only_after_the_announcement_is_withdrawn() {
    let mut rig = Rig::new(WORKERS);
    let now_ms = rig.now_ms;
    rig.board.poll_failed(&"w1".into(), now_ms);
    let unresponsive = rig.board.announce_unresponsive(now_ms);
    // It answers again, but the stored announcement still names it.
    rig.poll(&"w1".into());
    let poll = rig.board.poll(&"w1".into(), now_ms).expect("known worker");
    assert_eq!(poll.lease_deadline_ms, None);
    rig.board.announcement_stored(&unresponsive);
    assert_eq!(rig.board.poll(&"w1".into(), now_ms).expect("known worker").lease_deadline_ms, None);
    let unresponsive = rig.board.announce_unresponsive(now_ms);
    assert!(unresponsive.is_empty());
    rig.board.announcement_stored(&unresponsive);
    assert!(
        rig.board.poll(&"w1".into(), now_ms).expect("known worker").lease_deadline_ms.is_some()
    );
}

#[test]
fn poll_after_a_silence_acknowledges_nothing() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let worker = rig.started[0].worker.clone();
    rig.end(&format!("{JOB}.0.0.0"), RunEnd::Done);
    rig.poll(&worker);
    rig.store();
    let ack_cursor = |rig: &mut Rig| {
        let now_ms = rig.now_ms;
        rig.board.poll(&worker, now_ms).expect("known worker").ack_cursor
    };
    assert_eq!(ack_cursor(&mut rig), 1);
    // It may have restarted, and numbers its ends from 1 again.
    rig.board.poll_failed(&worker, rig.now_ms);
    assert_eq!(ack_cursor(&mut rig), 0);
    rig.poll(&worker);
    assert_eq!(ack_cursor(&mut rig), 1, "the same incarnation answers");
    rig.board.poll_unanswered(&worker);
    assert_eq!(ack_cursor(&mut rig), 0, "its relay was lost");
}

/// Lets a worker restart under its identifier; its entry still describes its former life.
fn restart(rig: &mut Rig, id: &str, born_wall_ms: u64) {
    rig.advance(50);
    let now_ms = rig.now_ms;
    let report = WorkerReport { clock_ms: now_ms, born_wall_ms, ..WorkerReport::default() };
    rig.board.report(&id.into(), now_ms, report, now_ms);
}

/// Submits a task whose start order, with a lease deadline by the clock of the worker's former
/// life, reaches the worker 0.4 s after its restart; returns the worker.
fn start_by_the_former_clock(rig: &mut Rig) -> WorkerId {
    rig.submit(JOB, vec![step(1, 1)]);
    rig.board.place(rig.now_ms);
    let placed = rig.board.workers.iter().find(|(_, worker)| !worker.placements.is_empty());
    let worker = placed.expect("a placement").0.clone();
    rig.restart(&worker);
    rig.advance(400);
    rig.settle();
    assert_eq!(rig.started.len(), 1);
    assert_eq!(rig.workers[&worker].lease_until_ms, rig.now_ms + MAX_LEASE_MS);
    worker
}

/// Cuts a worker off until its task is started elsewhere; returns how long that took.
fn cut_off_until_restart(rig: &mut Rig, worker: &WorkerId) -> u64 {
    let cut_ms = rig.now_ms;
    while rig.started.len() == 1 && rig.now_ms < cut_ms + 60_000 {
        fail_polls(rig, worker.as_str(), 200);
    }
    assert_eq!(rig.started.len(), 2);
    rig.now_ms - cut_ms
}

/// Guards against a lease that a restarted worker holds by an order of before its restart.
#[test]
fn lease_by_the_clock_of_a_former_life_is_waited_for() {
    let mut rig = Rig::new(WORKERS);
    let worker = start_by_the_former_clock(&mut rig);
    rig.advance(1_100);
    rig.poll(&worker);
    assert_eq!(rig.active_attempts(&format!("{JOB}.0.0.0")).len(), 1);
    cut_off_until_restart(&mut rig, &worker);
    let (until_ms, now_ms) = (rig.workers[&worker].lease_until_ms, rig.now_ms);
    assert!(now_ms > until_ms, "started at {now_ms} while the lease lasts until {until_ms}");
}

/// Guards against the same lease if the former owner gave it and a new one reads the report.
#[test]
fn next_owner_waits_for_a_lease_by_the_clock_of_a_former_life() {
    let mut rig = Rig::new(WORKERS);
    let worker = start_by_the_former_clock(&mut rig);
    rig.take_over(2);
    rig.list(WORKERS);
    rig.advance(1_100);
    rig.poll_all();
    cut_off_until_restart(&mut rig, &worker);
    let (until_ms, now_ms) = (rig.workers[&worker].lease_until_ms, rig.now_ms);
    assert!(now_ms > until_ms, "started at {now_ms} while the lease lasts until {until_ms}");
}

/// Guards against a longer wait for workers that have not restarted.
#[test]
fn next_owner_waits_no_longer_than_a_usual_lease_for_a_worker_in_its_old_life() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let worker = rig.started[0].worker.clone();
    rig.take_over(2);
    rig.list(WORKERS);
    rig.poll_all();
    let took_ms = cut_off_until_restart(&mut rig, &worker);
    assert!(took_ms < LEASE_MS + 1_000, "took {took_ms} ms");
}

/// Guards against tasks that are started by the labels of a worker's former life: its report
/// comes before its new entry.
#[test]
fn restarted_worker_gets_tasks_by_its_new_labels_only() {
    let mut rig = Rig::new(&[("w1", 8)]);
    restart(&mut rig, "w1", 6);
    let labelled = StepSpec { required_label: Some("kind".into()), ..step(1, 1) };
    rig.submit(JOB, vec![labelled]);
    rig.settle();
    assert!(rig.started.is_empty(), "its kind isn't known");
    let labels = vec!["other".into(), "rack-w1".into()];
    rig.board.list_worker(WorkerFacts { born_wall_ms: 6, labels, ..facts("w1", 8) });
    rig.settle();
    assert!(rig.started.is_empty(), "it is of another kind");
    rig.submit("00000000000000cd", vec![step(1, 1)]);
    rig.settle();
    assert_eq!(rig.started.len(), 1, "it is in use");
}

/// Guards against an order that was decided for a worker's former life and goes to the new one.
#[test]
fn placement_on_a_worker_that_restarts_before_the_order_is_withdrawn() {
    let mut rig = Rig::new(&[("w1", 8)]);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.board.place(rig.now_ms);
    restart(&mut rig, "w1", 6);
    rig.store();
    rig.execute_orders();
    assert!(rig.started.is_empty());
    rig.board.list_worker(WorkerFacts { born_wall_ms: 6, ..facts("w1", 8) });
    rig.settle();
    assert_eq!(rig.started.len(), 1);
}
