//! Start orders to workers that announce that they leave.

use masticfall_core::fleet::board::Order;
use masticfall_core::fleet::report::{StartOutcome, StopOutcome};
use masticfall_core::fleet::spec::StepSpec;
use masticfall_core::fleet::worker::WorkerFacts;
use rstest::rstest;

use crate::fleet_rig::{Rig, facts, step};

fn drain(rig: &mut Rig, id: &str, cores: u64) {
    rig.board.list_worker(WorkerFacts { is_draining: true, ..facts(id, cores) });
}

fn join(rig: &mut Rig, id: &str, cores: u64) {
    rig.list(&[(id, cores)]);
    rig.workers.entry(id.into()).or_default();
    rig.poll_all();
}

/// Guards against a start that is sent again to a worker that has said that it leaves: the order
/// of unknown outcome is followed by a stop, and the task runs elsewhere once the worker shows
/// that it doesn't run there.
#[test]
fn order_of_unknown_outcome_is_not_repeated_to_a_draining_worker() {
    let mut rig = Rig::new(&[("w1", 4)]);
    rig.submit("00000000000000aa", vec![step(1, 4)]);
    rig.board.place(rig.now_ms);
    rig.store();
    let orders = rig.board.take_orders();
    let [Order::Start(start)] = &orders[..] else { panic!("{orders:?}") };
    let (worker, task, attempt) = (start.worker.clone(), start.task.clone(), start.attempt);
    rig.board.start_result(&worker, &task, attempt, StartOutcome::Unknown, rig.now_ms);
    join(&mut rig, "w2", 4);
    drain(&mut rig, "w1", 4);
    rig.advance(300);
    let orders = rig.board.take_orders();
    let [Order::Stop(stop)] = &orders[..] else { panic!("{orders:?}") };
    rig.advance(1_000);
    rig.settle();
    assert!(rig.started.is_empty(), "the first run may still begin: {:?}", rig.started);
    rig.board.stop_result(stop, StopOutcome::Accepted, rig.now_ms);
    rig.advance(100);
    rig.poll_all();
    rig.settle();
    let workers: Vec<&str> = rig.started.iter().map(|start| start.worker.as_str()).collect();
    assert_eq!(workers, ["w2"]);
}

/// Guards against a first start that is sent to a worker that began to drain while the placement
/// was being stored, however long that takes.
#[rstest]
#[case::single_task(step(1, 4))]
#[case::gang(StepSpec { is_gang: true, ..step(3, 4) })]
fn order_that_was_not_sent_is_withdrawn_from_a_draining_worker(#[case] spec: StepSpec) {
    let mut rig = Rig::new(&[("w1", 4), ("w2", 4), ("w3", 4)]);
    let tasks = spec.tasks as usize;
    rig.submit("00000000000000aa", vec![spec]);
    rig.board.place(rig.now_ms);
    let batch = rig.board.take_batch(0);
    for id in ["w1", "w2", "w3"] {
        drain(&mut rig, id, 4);
    }
    rig.board.batch_stored(batch, rig.now_ms);
    rig.execute_orders();
    assert!(rig.started.is_empty(), "{:?}", rig.started);
    join(&mut rig, "w4", 16);
    rig.settle();
    let workers: Vec<&str> = rig.started.iter().map(|start| start.worker.as_str()).collect();
    assert_eq!(workers, vec!["w4"; tasks]);
}

/// Guards against runs that are stopped although they would end in the time that is left.
#[test]
fn running_tasks_of_a_draining_worker_run_to_their_end() {
    let mut rig = Rig::new(&[("w1", 16)]);
    rig.submit("00000000000000aa", vec![step(2, 4)]);
    rig.settle();
    assert_eq!(rig.started.len(), 2);
    drain(&mut rig, "w1", 16);
    rig.advance(1_000);
    rig.poll_all();
    rig.settle();
    assert!(rig.other_orders.is_empty(), "{:?}", rig.other_orders);
}
