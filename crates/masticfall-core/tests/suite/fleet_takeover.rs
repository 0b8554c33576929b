//! Takeover of a cell: stored progress is reconciled with the reports of the workers.

use masticfall_core::fleet::board::{Notice, Order};
use masticfall_core::fleet::report::RunEnd;

use crate::fleet_rig::{LEASE_MS, Rig, step};

const WORKERS: &[(&str, u64)] = &[("w1", 8), ("w2", 8)];
const JOB: &str = "00000000000000aa";

#[test]
fn runs_keep_their_attempt_numbers_over_takeovers() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(2, 1)]);
    rig.settle();
    assert_eq!(rig.started.len(), 2);
    for epoch in [2, 3, 4] {
        rig.take_over(epoch);
        rig.list(WORKERS);
        rig.poll_all();
        rig.settle();
        // Some progress is stored in each epoch.
        rig.advance(50);
        rig.poll_all();
        rig.settle();
    }
    assert_eq!(rig.started.len(), 2, "active runs are not started again");
    assert!(rig.other_orders.is_empty(), "no run is stopped: {:?}", rig.other_orders);
}

#[test]
fn progress_stored_by_a_second_dispatcher_keeps_attempt_numbers() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(2, 1)]);
    rig.settle();
    rig.take_over(2);
    rig.list(WORKERS);
    rig.poll_all();
    // One of two tasks ends, so that the job's row is written again.
    rig.end(&format!("{JOB}.0.0.0"), RunEnd::Done);
    rig.poll_all();
    rig.settle();
    rig.take_over(3);
    rig.list(WORKERS);
    rig.poll_all();
    let is_run_end = |notice: &Notice| matches!(notice, Notice::RunEnded { .. });
    assert!(
        !rig.board.take_notices().iter().any(is_run_end),
        "the reported run matches the stored one"
    );
    rig.settle();
    assert_eq!(
        rig.active_attempts(&format!("{JOB}.0.0.1")),
        vec![1],
        "the run keeps its attempt number"
    );
    assert!(rig.other_orders.is_empty(), "no run is stopped: {:?}", rig.other_orders);
}

#[test]
fn run_without_a_stored_placement_is_adopted_when_its_task_waits() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    let job_id = rig.jobs.keys().next().expect("one job").clone();
    let key =
        masticfall_core::fleet::spec::TaskKey { job: job_id, occurrence: 0, step: 0, index: 0 };
    rig.run(&"w2".into(), &key, 7);
    rig.poll_all();
    rig.settle();
    assert!(rig.started.is_empty(), "the task is already running");
    rig.end(&key.to_string(), RunEnd::Done);
    rig.poll_all();
    rig.settle();
    assert!(rig.board.jobs.is_empty(), "the end of the run completes the job");
}

#[test]
fn task_on_an_unlisted_worker_restarts_once_its_lease_expires() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let worker = rig.started[0].worker.clone();
    let other = if worker.as_str() == "w1" { "w2" } else { "w1" };
    rig.take_over(2);
    rig.list(&[(other, 8)]);
    rig.poll(&other.into());
    rig.settle();
    assert_eq!(rig.started.len(), 1, "the run may still be active");
    // The time for which the previous owner may have extended leases, and its last lease.
    rig.advance(4_000 + LEASE_MS);
    rig.poll(&other.into());
    rig.settle();
    assert_eq!(rig.started.len(), 1, "with a slow clock the worker's lease lasts longer");
    rig.advance(LEASE_MS / 50 + 200);
    rig.poll(&other.into());
    rig.settle();
    assert_eq!(rig.started.len(), 2);
    assert!(rig.started[1].attempt > rig.started[0].attempt);
}

#[test]
fn stop_of_a_stray_run_is_not_repeated_with_every_report() {
    let mut rig = Rig::new(WORKERS);
    let key =
        masticfall_core::fleet::spec::TaskKey { job: JOB.into(), occurrence: 0, step: 0, index: 0 };
    rig.run(&"w1".into(), &key, 1);
    for _ in 0..5 {
        rig.poll_all();
        rig.settle();
    }
    let stops = rig.other_orders.iter().filter(|order| matches!(order, Order::Stop(_))).count();
    assert_eq!(stops, 1);
}
