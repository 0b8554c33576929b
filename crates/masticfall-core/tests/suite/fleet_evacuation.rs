//! Decisions about evacuated data centres.

use masticfall_core::fleet::board::Order;
use masticfall_core::fleet::evacuation::Evacuations;
use masticfall_core::fleet::machines::{MachineState, MachineView, Wave};
use masticfall_core::fleet::pools::PoolPlanner;
use masticfall_core::fleet::report::{RunEnd, StartOutcome, StopOutcome};
use masticfall_core::fleet::spec::{Resources, StepSpec};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::prelude::*;
use rstest::rstest;

use crate::fleet_rig::{Rig, config, facts, step};

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

/// Lets every run report full progress and every stop order take effect.
fn run_round(rig: &mut Rig) -> usize {
    for worker in rig.workers.values_mut() {
        worker.running.iter_mut().for_each(|run| run.percent = 100);
    }
    let mut stopped = 0;
    for order in std::mem::take(&mut rig.other_orders) {
        let Order::Stop(stop) = order else { continue };
        rig.end(&stop.task.to_string(), RunEnd::Stopped);
        stopped += 1;
    }
    rig.poll_all();
    rig.settle();
    rig.advance(100);
    rig.settle();
    stopped
}

fn runs_in(rig: &Rig, letter: &str) -> usize {
    let there = rig.workers.iter().filter(|(id, _)| id.as_str().starts_with(letter));
    there.map(|(_, worker)| worker.running.len()).sum()
}

/// Guards against long-running tasks that stay, that are stopped together, or that are
/// stopped although no other worker has room for them.
#[test]
fn long_running_tasks_leave_one_by_one_as_far_as_there_is_room() {
    let mut rig = rig(&[("y1", 16), ("y2", 16), ("y3", 16)]);
    let lasting =
        StepSpec { is_long_running: true, max_per_worker: 1, max_unavailable: 1, ..step(3, 4) };
    rig.submit("00000000000000aa", vec![lasting]);
    rig.settle();
    run_round(&mut rig);
    assert_eq!(runs_in(&rig, "y"), 3);
    evacuate(&mut rig, &["y"]);
    for _ in 0..5 {
        assert_eq!(run_round(&mut rig), 0, "no other worker has room");
    }
    list_by_letter(&mut rig, &[("x1", 16), ("x2", 16)]);
    for _ in 0..20 {
        assert!(run_round(&mut rig) <= 1, "one task of the step may be unavailable");
        assert!(runs_in(&rig, "x") + runs_in(&rig, "y") >= 2);
    }
    assert_eq!((runs_in(&rig, "x"), runs_in(&rig, "y")), (2, 1), "the third one has no room");
}

/// Guards against jobs that are admitted by capacity that gets no starts, and against a pool
/// whose backlog counts as none when all of it is evacuated.
#[test]
fn admission_counts_the_remaining_capacity() {
    let mut rig = rig(&[("x1", 8), ("y1", 8)]);
    for job in 0..10 {
        rig.submit(&format!("{job:016x}"), vec![step(8, 2)]);
    }
    let backlog_ms = |rig: &Rig| {
        rig.board.load_by_pool(rig.now_ms).get(&PoolName::from("p")).map_or(0, |l| l.backlog_ms)
    };
    let whole_ms = backlog_ms(&rig);
    evacuate(&mut rig, &["y"]);
    assert_eq!(backlog_ms(&rig), 2 * whole_ms);
    evacuate(&mut rig, &["x", "y"]);
    assert_eq!(backlog_ms(&rig), whole_ms, "jobs wait, but not without a limit");
    evacuate(&mut rig, &[]);
    assert_eq!(backlog_ms(&rig), whole_ms);
}

fn view(name: &str, pool: &str, worker: Option<&str>) -> (InstanceName, MachineView) {
    let view = MachineView {
        instance: name.into(),
        pool: pool.into(),
        state: MachineState::Up,
        data_centre: name[..1].into(),
        capacity_millis: 16_000,
        worker: worker.map(WorkerId::from),
    };
    (view.instance.clone(), view)
}

/// Guards against instances that are moved where they get no work, standby ones included,
/// and against a pool that counts them as capacity and so gets no others.
#[test]
fn evacuated_instances_neither_move_nor_count() {
    let mut rig = rig(&[("y1", 16)]);
    let machines: IndexMap<_, _> = [
        view("y-m1", "p", Some("y1")),
        view("y-m2", "spare", None),
        view("x-m3", "spare", None),
        view("x-m4", "spare", None),
        view("x-m5", "spare", None),
    ]
    .into();
    evacuate(&mut rig, &["y"]);
    rig.submit("00000000000000aa", vec![StepSpec { estimate_ms: 5_000, ..step(3, 16) }]);
    let mut planner = PoolPlanner::new(100.0);
    let config = config(1, Resources::default());
    let mut moved = IndexSet::new();
    for _ in 0..20 {
        rig.advance(300);
        let calls = planner.plan(&machines, |_| None, &mut rig.board, &config, rig.now_ms);
        moved.extend(calls.into_iter().map(|call| (call.instance, call.to)));
    }
    let expected = ["x-m3", "x-m4", "x-m5"].map(|name| (name.into(), PoolName::from("p")));
    moved.sort();
    assert_eq!(moved, IndexSet::from(expected), "all of the demand of 48 cores is missing");
    let held = planner.pool_views()[&PoolName::from("p")].held_millis;
    assert_eq!(held, 48_000, "the evacuated worker isn't capacity of its pool");
}

/// Guards against maintenance that takes instances in use while evacuated ones are idle, and
/// that takes these one by one although nothing is lost with them.
#[test]
fn maintenance_takes_idle_evacuated_instances_first() {
    let mut rig = rig(&[("x1", 16), ("x2", 16), ("y1", 16), ("y2", 16)]);
    let names = ["x-m1", "x-m2", "y-m1", "y-m2"];
    let machines: IndexMap<_, _> =
        names.map(|name| view(name, "p", Some(&name.replace("-m", "")))).into();
    evacuate(&mut rig, &["y"]);
    let instances = names.map(InstanceName::from).to_vec();
    let mut wave = Wave::new("w".into(), instances, rig.now_ms + 1_000_000, 2, 2_000);
    let calls = wave.plan(&machines, &IndexSet::new(), &mut rig.board, rig.now_ms);
    let called: Vec<&str> = calls.iter().map(|call| call.instance.as_str()).collect();
    assert_eq!(called, ["y-m1", "y-m2"]);
}
