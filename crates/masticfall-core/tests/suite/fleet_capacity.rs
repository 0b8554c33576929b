//! Workers whose capacity shrinks and grows while they run.

use masticfall_core::fleet::board::Order;
use masticfall_core::fleet::machines::{MachineState, MachineView};
use masticfall_core::fleet::pools::PoolPlanner;
use masticfall_core::fleet::report::{RunEnd, StartOutcome};
use masticfall_core::fleet::spec::{Resources, StepSpec};
use masticfall_core::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::fleet_rig::{Rig, config, facts, step};

const WORKERS: &[(&str, u64)] = &[("w1", 8), ("w2", 8)];
const JOB: &str = "00000000000000e1";

fn gang(tasks: u32, cores: u64) -> StepSpec {
    StepSpec { is_gang: true, max_per_worker: 1, ..step(tasks, cores) }
}

fn running_millis(rig: &Rig, worker: &str) -> u64 {
    let runs = &rig.workers[&WorkerId::from(worker)].running;
    let needs = runs.iter().map(|run| {
        let job = &rig.board.jobs[&run.task.job];
        job.record.spec.steps[run.task.step as usize].needs.cpu_millis
    });
    needs.sum()
}

#[test]
fn start_that_no_longer_fits_is_withdrawn_before_it_is_sent() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(2, 3)]);
    rig.board.place(rig.now_ms);
    rig.list(&[("w1", 4), ("w2", 4)]);
    rig.settle();
    for (worker, _) in WORKERS {
        assert_eq!(running_millis(&rig, worker), 3_000, "one task a worker fits");
    }
}

#[test]
fn gang_is_withdrawn_as_a_whole() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![gang(2, 6)]);
    rig.board.place(rig.now_ms);
    rig.list(&[("w2", 4)]);
    rig.settle();
    assert!(rig.started.is_empty(), "a member alone would wait for the other: {:?}", rig.started);
    rig.list(&[("w2", 8)]);
    rig.settle();
    assert_eq!(rig.started.len(), 2, "it starts when both fit again");
}

#[test]
fn gang_of_which_a_worker_refuses_a_member_is_stopped_and_started_again() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![gang(2, 6)]);
    rig.board.place(rig.now_ms);
    rig.store();
    for order in rig.board.take_orders() {
        let Order::Start(start) = order else { panic!("{order:?}") };
        let is_first = start.task.index == 0;
        let outcome = if is_first { StartOutcome::Started } else { StartOutcome::NoRoom };
        if is_first {
            rig.run(&start.worker, &start.task, start.attempt);
        }
        let now_ms = rig.now_ms;
        rig.board.start_result(&start.worker, &start.task, start.attempt, outcome, now_ms);
    }
    let orders = rig.board.take_orders();
    assert!(matches!(&orders[..], [Order::Stop(stop)] if stop.task.index == 0), "{orders:?}");
    rig.end(&format!("{JOB}.0.0.0"), RunEnd::Stopped);
    rig.advance(200);
    rig.poll_all();
    rig.settle();
    let attempts: IndexSet<u32> = rig.started.iter().map(|start| start.attempt).collect();
    assert_eq!((rig.started.len(), attempts.len()), (2, 1), "both members, one attempt");
}

#[test]
fn unanswered_start_that_no_longer_fits_is_stopped_instead_of_sent_again() {
    let mut rig = Rig::new(&[("w1", 8)]);
    rig.submit(JOB, vec![step(1, 6)]);
    rig.board.place(rig.now_ms);
    rig.store();
    let orders = rig.board.take_orders();
    let [Order::Start(start)] = &orders[..] else { panic!("{orders:?}") };
    let now_ms = rig.now_ms;
    rig.board.start_result(
        &start.worker,
        &start.task,
        start.attempt,
        StartOutcome::Unknown,
        now_ms,
    );
    rig.list(&[("w1", 4)]);
    rig.advance(300);
    let orders = rig.board.take_orders();
    assert!(matches!(&orders[..], [Order::Stop(_)]), "{orders:?}");
}

#[test]
fn pool_whose_workers_shrink_gets_more_of_them() {
    let mut rig = Rig::new(&[("w1", 8), ("w2", 8), ("w3", 8)]);
    for number in 0..3 {
        rig.submit(&format!("{number:016x}"), vec![step(1, 5)]);
    }
    rig.settle();
    let view = |name: String, pool: &str, worker: Option<&str>| {
        let instance = InstanceName::from(name);
        let view = MachineView {
            instance: instance.clone(),
            pool: pool.into(),
            state: MachineState::Up,
            data_centre: "dc".into(),
            capacity_millis: 8_000,
            worker: worker.map(WorkerId::from),
        };
        (instance, view)
    };
    let used = ["w1", "w2", "w3"].map(|id| view(format!("m-{id}"), "p", Some(id)));
    let standby = (0..9).map(|number| view(format!("s{number}"), "spare", None));
    let machines: IndexMap<InstanceName, MachineView> = used.into_iter().chain(standby).collect();
    let calls = |rig: &mut Rig| {
        let mut planner = PoolPlanner::new(1_000.0);
        rig.advance(300);
        let (config, now_ms) = (config(1, Resources::default()), rig.now_ms);
        planner.plan(&machines, |_| None, &mut rig.board, &config, now_ms).len()
    };
    let before = calls(&mut rig);
    // Two workers have shrunk, in memory, to what runs on them; one has not, and the pool's
    // size goes by it.
    for id in ["w2", "w3"] {
        let mut shrunk = facts(id, 8);
        shrunk.capacity.memory_mib = 100;
        rig.board.list_worker(shrunk);
    }
    let after = calls(&mut rig);
    assert!(after > before, "{after} moves, {before} before");
}

/// Starts must fit what the worker lists at that moment, while capacities change at random
/// and the store is slow.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
#[case::seed_4(4)]
#[case::seed_5(5)]
#[case::seed_6(6)]
#[test]
fn starts_fit_the_listed_capacity(#[case] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut rig = Rig::new(&[("w1", 8), ("w2", 8), ("w3", 8)]);
    let mut cores: IndexMap<&str, u64> = ["w1", "w2", "w3"].into_iter().map(|w| (w, 8)).collect();
    let mut job = 0;
    for _ in 0..400 {
        match random.random_range(0..6) {
            0 => {
                let index = random.random_range(0..3);
                let (worker, listed) = cores.get_index_mut(index).expect("a worker");
                *listed = random.random_range(2..10);
                rig.list(&[(worker, *listed)]);
            }
            1 => {
                job += 1;
                let (tasks, size) = (random.random_range(1..4), random.random_range(1..4));
                let spec = if random.random_range(0..3) == 0 {
                    gang(tasks, size)
                } else {
                    step(tasks, size)
                };
                rig.submit(&format!("{job:016x}"), vec![spec]);
            }
            2 => rig.board.place(rig.now_ms),
            // The placements may be some steps old.
            3 | 4 => {
                let before = rig.started.len();
                rig.store();
                rig.execute_orders();
                let workers: IndexSet<WorkerId> =
                    rig.started[before..].iter().map(|start| start.worker.clone()).collect();
                for worker in workers {
                    let used = running_millis(&rig, worker.as_str());
                    let listed = cores[worker.as_str()] * 1_000;
                    assert!(used <= listed, "{worker}: {used} of {listed}");
                }
            }
            _ => {
                let running = rig.workers.values().flat_map(|worker| &worker.running);
                let running: Vec<String> = running.map(|run| run.task.to_string()).collect();
                if !running.is_empty() {
                    let task = &running[random.random_range(0..running.len())];
                    rig.end(task, RunEnd::Done);
                }
                rig.poll_all();
                rig.advance(120);
            }
        }
    }
    assert!(rig.started.len() > 20, "{} starts", rig.started.len());
}
