//! Decisions about evacuated data centres.

use masticfall_core::fleet::board::Order;
use masticfall_core::fleet::evacuation::Evacuations;
use masticfall_core::fleet::report::{RunEnd, StartOutcome, StopOutcome};
use masticfall_core::fleet::spec::StepSpec;
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::prelude::*;
use rstest::rstest;

use crate::fleet_rig::{Rig, facts, step};

fn set(names: &[&str]) -> IndexSet<DataCentre> {
    names.iter().map(|name| DataCentre::from(*name)).collect()
}

/// Lists workers that are in a data centre named after the first letter of their name.
fn list_by_letter(rig: &mut Rig, workers: &[(&str, u64)]) {
    for (id, cores) in workers {
        let data_centre = DataCentre::from(&id[..1]);
        rig.board.list_worker(WorkerFacts { data_centre, ..facts(id, *cores) });
        rig.workers.entry((*id).into()).or_default();
    }
    rig.poll_all();
}

fn rig(workers: &[(&str, u64)]) -> Rig {
    let mut rig = Rig::new(&[]);
    list_by_letter(&mut rig, workers);
    rig
}

fn evacuate(rig: &mut Rig, names: &[&str]) {
    rig.board.set_evacuated(set(names), rig.now_ms);
}

fn workers_of(rig: &Rig) -> Vec<&str> {
    rig.started.iter().map(|start| start.worker.as_str()).collect()
}

/// Guards against a set that depends on the order in which the feed and a new owner's list
/// arrive.
#[test]
fn older_state_of_the_table_changes_nothing() {
    let mut known = Evacuations::default();
    let change = known.apply_list(set(&["x", "y"]), 10);
    assert_eq!(change.begun, ["x".into(), "y".into()]);
    let change = known.apply_changes([("x".into(), false), ("z".into(), true)], 12);
    assert_eq!((change.begun, change.lifted), (vec!["z".into()], vec!["x".into()]));
    assert!(known.apply_list(set(&["x"]), 11).is_empty());
    assert!(known.apply_changes([("z".into(), false)], 11).is_empty());
    assert!(known.apply_changes([("y".into(), false), ("y".into(), true)], 13).is_empty());
    assert_eq!(*known.data_centres(), set(&["y", "z"]));
    assert_eq!(known.apply_list(set(&["y"]), 14).lifted, ["z".into()]);
}

/// Guards against an order that was decided before the evacuation and is sent after it.
#[rstest]
#[case::single_task(step(1, 4))]
#[case::gang(StepSpec { is_gang: true, ..step(3, 4) })]
fn order_that_was_not_sent_is_withdrawn(#[case] spec: StepSpec) {
    let mut rig = rig(&[("x1", 16), ("y1", 4), ("y2", 4), ("y3", 4)]);
    evacuate(&mut rig, &["y"]);
    evacuate(&mut rig, &[]);
    let tasks = spec.tasks;
    // Best fit: the tasks go to the workers of `y` first.
    rig.submit("00000000000000aa", vec![spec]);
    rig.board.place(rig.now_ms);
    let batch = rig.board.take_batch(0);
    evacuate(&mut rig, &["y"]);
    rig.board.batch_stored(batch, rig.now_ms);
    rig.execute_orders();
    assert!(rig.started.is_empty(), "{:?}", rig.started);
    rig.settle();
    assert_eq!(workers_of(&rig), vec!["x1"; tasks as usize]);
}

/// Guards against a start that a worker carries out seconds later, or that is sent again: an
/// order of unknown outcome is followed by a stop order, and the task runs elsewhere once
/// the worker shows that it doesn't run there.
#[test]
fn order_of_unknown_outcome_is_stopped_instead_of_sent_again() {
    let mut rig = rig(&[("y1", 4)]);
    rig.submit("00000000000000aa", vec![step(1, 4)]);
    rig.board.place(rig.now_ms);
    rig.store();
    let orders = rig.board.take_orders();
    let [Order::Start(start)] = &orders[..] else { panic!("{orders:?}") };
    let (worker, task, attempt) = (start.worker.clone(), start.task.clone(), start.attempt);
    rig.board.start_result(&worker, &task, attempt, StartOutcome::Unknown, rig.now_ms);
    list_by_letter(&mut rig, &[("x1", 4)]);
    evacuate(&mut rig, &["y"]);
    let orders = rig.board.take_orders();
    let [Order::Stop(stop)] = &orders[..] else { panic!("{orders:?}") };
    rig.advance(1_000);
    rig.settle();
    assert!(rig.started.is_empty(), "the first run may still begin: {:?}", rig.started);
    rig.board.stop_result(stop, StopOutcome::Accepted, rig.now_ms);
    rig.advance(100);
    rig.poll_all();
    rig.settle();
    assert_eq!(workers_of(&rig), ["x1"]);
}

/// Guards against runs that are stopped although they would end: only starts cease.
#[test]
fn running_tasks_and_gangs_run_to_their_end() {
    let mut rig = rig(&[("y1", 16), ("y2", 16)]);
    rig.submit("00000000000000aa", vec![StepSpec { is_gang: true, ..step(2, 4) }]);
    rig.submit("00000000000000bb", vec![step(2, 4)]);
    rig.settle();
    assert_eq!(rig.started.len(), 4);
    evacuate(&mut rig, &["y"]);
    rig.advance(1_000);
    rig.poll_all();
    rig.settle();
    assert!(rig.other_orders.is_empty(), "{:?}", rig.other_orders);
    let load = rig.board.evacuation_loads()[&DataCentre::from("y")];
    assert_eq!((load.workers, load.runs), (2, 4));
    for job in ["00000000000000aa", "00000000000000bb"] {
        for index in 0..2 {
            rig.end(&format!("{job}.0.0.{index}"), RunEnd::Done);
        }
    }
    rig.poll_all();
    rig.settle();
    assert!(rig.board.jobs.is_empty(), "both jobs are completed");
}

/// Guards against a worker that is judged by its first entry only.
#[test]
fn worker_follows_the_data_centre_of_its_entry() {
    let mut rig = rig(&[]);
    evacuate(&mut rig, &["y"]);
    list_by_letter(&mut rig, &[("y1", 4)]);
    rig.submit("00000000000000aa", vec![step(1, 4)]);
    rig.submit("00000000000000bb", vec![step(1, 4)]);
    rig.settle();
    assert!(rig.started.is_empty());
    rig.board.list_worker(WorkerFacts { data_centre: "x".into(), ..facts("y1", 8) });
    rig.settle();
    assert_eq!(workers_of(&rig), ["y1", "y1"]);
    rig.board.list_worker(WorkerFacts { data_centre: "y".into(), ..facts("y1", 16) });
    rig.submit("00000000000000cc", vec![step(1, 4)]);
    rig.settle();
    assert_eq!(rig.started.len(), 2);
}
