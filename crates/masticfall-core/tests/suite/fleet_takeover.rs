//! What a new dispatcher makes of the rows and the workers' listings.

use masticfall_core::fleet::board::{Notice, Order};
use masticfall_core::fleet::report::RunEnd;

use crate::fleet_rig::{LEASE_MS, Rig, step};

const WORKERS: &[(&str, u64)] = &[("w1", 8), ("w2", 8)];
const JOB: &str = "00000000000000aa";

#[test]
fn runs_keep_their_numbers_over_two_takeovers() {
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
    assert_eq!(rig.started.len(), 2, "runs that go on are not started again");
    assert!(rig.other_orders.is_empty(), "nothing is stopped: {:?}", rig.other_orders);
}

#[test]
fn progress_written_by_a_second_dispatcher_keeps_run_numbers() {
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
    let given_up = |notice: &Notice| matches!(notice, Notice::RunEnded { .. });
    assert!(!rig.board.take_notices().iter().any(given_up), "the listed run is the stored one");
    rig.settle();
    assert_eq!(rig.runs_of(&format!("{JOB}.0.0.1")), vec![1], "the run goes on under its number");
    assert!(rig.other_orders.is_empty(), "nothing is stopped: {:?}", rig.other_orders);
}

#[test]
fn run_that_no_row_names_is_adopted_when_its_task_waits() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    let task = rig.jobs.keys().next().expect("a job").clone();
    let key = masticfall_core::fleet::spec::TaskKey { job: task, occurrence: 0, step: 0, index: 0 };
    rig.run(&"w2".into(), &key, 7);
    rig.poll_all();
    rig.settle();
    assert!(rig.started.is_empty(), "the task runs already");
    rig.end(&key.to_string(), RunEnd::Done);
    rig.poll_all();
    rig.settle();
    assert!(rig.board.jobs.is_empty(), "its end counts");
}

#[test]
fn task_on_an_unlisted_worker_waits_until_its_lease_is_over() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let on = rig.started[0].worker.clone();
    let other = if on.as_str() == "w1" { "w2" } else { "w1" };
    rig.take_over(2);
    rig.list(&[(other, 8)]);
    rig.poll(&other.into());
    rig.settle();
    assert_eq!(rig.started.len(), 1, "it may still run there");
    // What the former dispatcher may have gone on for, and the lease it gave last.
    rig.advance(4_000 + LEASE_MS);
    rig.poll(&other.into());
    rig.settle();
    assert_eq!(rig.started.len(), 1, "a slow clock makes the lease longer");
    rig.advance(LEASE_MS / 50 + 200);
    rig.poll(&other.into());
    rig.settle();
    assert_eq!(rig.started.len(), 2);
    assert!(rig.started[1].attempt > rig.started[0].attempt);
}

#[test]
fn run_without_a_task_is_stopped_once_in_a_while() {
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
