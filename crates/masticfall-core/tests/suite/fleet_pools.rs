//! Moves of instances between pools, as demand rises.

use masticfall_core::fleet::machines::{MachineState, MachineView};
use masticfall_core::fleet::pools::{MoveBlocker, MoveCall, MoveOutcome, PoolPlanner};
use masticfall_core::fleet::spec::{Resources, StepSpec};
use masticfall_core::prelude::*;

use crate::fleet_rig::{FakeWorker, Rig, config, step};

const ROUND_MS: u64 = 300;
const MOVE_MS: u64 = 1_500;
const CORES: u64 = 16;

/// Standby instances, and a pool `p` that has none at first.
struct Fleet {
    rig: Rig,
    machines: IndexMap<InstanceName, MachineView>,
    planner: PoolPlanner,
    blockers: IndexMap<InstanceName, MoveBlocker>,
    arriving: Vec<(u64, InstanceName)>,
    call_times_ms: Vec<u64>,
    new_workers: u32,
    /// Whether calls have neither an effect nor an answer.
    provider_loses_calls: bool,
}

impl Fleet {
    fn new(standby: usize, calls_per_s: f64) -> Self {
        let machines = (0..standby).map(|n| {
            let instance = InstanceName::from(format!("m{n}"));
            let view = MachineView {
                instance: instance.clone(),
                pool: "spare".into(),
                state: MachineState::Up,
                data_centre: "dc".into(),
                capacity_millis: CORES * 1_000,
                worker: None,
            };
            (instance, view)
        });
        Self {
            rig: Rig::new(&[]),
            machines: machines.collect(),
            planner: PoolPlanner::new(calls_per_s),
            blockers: IndexMap::new(),
            arriving: Vec::new(),
            call_times_ms: Vec::new(),
            new_workers: 0,
            provider_loses_calls: false,
        }
    }

    /// Runs one planning round; each move takes [`MOVE_MS`].
    fn plan_round(&mut self) -> Vec<MoveCall> {
        self.rig.advance(ROUND_MS);
        let now_ms = self.rig.now_ms;
        let due: Vec<InstanceName> =
            self.arriving.iter().filter(|(at, _)| *at <= now_ms).map(|(_, m)| m.clone()).collect();
        self.arriving.retain(|(at, _)| *at > now_ms);
        for instance in due {
            self.new_workers += 1;
            let id = format!("life{}", self.new_workers);
            self.rig.list(&[(id.as_str(), CORES)]);
            self.rig.workers.insert(WorkerId::from(id.as_str()), FakeWorker::default());
            let machine = &mut self.machines[&instance];
            machine.state = MachineState::Up;
            machine.pool = "p".into();
            machine.worker = Some(WorkerId::from(id));
        }
        self.rig.poll_all();
        self.rig.settle();
        let config = config(1, Resources::default());
        let board = &mut self.rig.board;
        let calls = self.planner.plan(
            &self.machines,
            |name| self.blockers.get(name).copied(),
            board,
            &config,
            now_ms,
        );
        for call in &calls {
            if self.provider_loses_calls {
                self.planner.record_call(call, MoveOutcome::Unknown, board);
                continue;
            }
            self.planner.record_call(call, MoveOutcome::Begun, board);
            self.machines[&call.instance].state = MachineState::Moving;
            self.arriving.push((now_ms + MOVE_MS, call.instance.clone()));
            self.call_times_ms.push(now_ms);
        }
        calls
    }

    fn held_cores(&self) -> u64 {
        let in_pool = self.machines.values().filter(|m| m.is_up() && m.pool.as_str() == "p");
        in_pool.count() as u64 * CORES
    }
}

#[test]
fn pool_covers_a_large_peak_within_a_second_and_a_move() {
    let mut fleet = Fleet::new(150, 215.0);
    fleet.plan_round();
    // 100 jobs of 8 tasks with 2 cores each need 1,600 cores at once.
    for job in 0..100 {
        // Long enough that no job is late before the instances arrive.
        let step = StepSpec { estimate_ms: 3_000, ..step(8, 2) };
        fleet.rig.submit(&format!("{job:016x}"), vec![step]);
    }
    for _ in 0..1_000 / ROUND_MS {
        fleet.plan_round();
    }
    for _ in 0..MOVE_MS.div_ceil(ROUND_MS) {
        fleet.plan_round();
    }
    let held = fleet.held_cores();
    assert!(held >= 1_600, "{held} cores of the 1,600 that are needed");
}

/// Pool `p` with all instances, as a deployment starts.
fn started_fleet(instances: usize) -> Fleet {
    let mut fleet = Fleet::new(instances, 215.0);
    for (number, machine) in fleet.machines.values_mut().enumerate() {
        let id = format!("w{number}");
        fleet.rig.list(&[(id.as_str(), CORES)]);
        fleet.rig.workers.insert(WorkerId::from(id.as_str()), FakeWorker::default());
        machine.pool = "p".into();
        machine.worker = Some(WorkerId::from(id));
    }
    fleet
}

/// A deployment starts 14 s before its callers do. Their first burst needs the whole pool,
/// and a move back from standby takes 1.5 s.
#[test]
fn first_burst_after_a_start_finds_all_instances() {
    let mut fleet = started_fleet(12);
    for _ in 0..14_000 / ROUND_MS {
        assert_eq!(fleet.plan_round(), Vec::new(), "instances were given away before any demand");
    }
    for job in 0..10 {
        fleet.rig.submit(&format!("{job:016x}"), vec![step(8, 2)]);
    }
    fleet.plan_round();
    assert_eq!(fleet.rig.started.len(), 80, "all tasks of the burst start at once");
}

/// A fleet that nobody uses does not keep its instances in their pools.
#[test]
fn instances_go_to_standby_without_any_demand() {
    let mut fleet = started_fleet(12);
    let rounds = (0..24_000 / ROUND_MS).map(|_| fleet.plan_round().len());
    assert!(rounds.sum::<usize>() >= 8, "idle instances stay in their pool");
}

#[test]
fn moves_stay_within_the_providers_call_rate() {
    let calls_per_s = 64.0;
    let mut fleet = Fleet::new(150, calls_per_s);
    for job in 0..100 {
        let long = StepSpec { estimate_ms: 20_000, ..step(8, 2) };
        fleet.rig.submit(&format!("{job:016x}"), vec![long]);
    }
    for _ in 0..20 {
        fleet.plan_round();
    }
    let peak = fleet.call_times_ms.iter().map(|from| {
        let in_same_second = |at: &&u64| **at >= *from && **at < from + 1_000;
        fleet.call_times_ms.iter().filter(in_same_second).count()
    });
    let peak = peak.max().unwrap_or_default();
    assert!(peak as f64 <= calls_per_s, "{peak} moves in one second");
    assert!(fleet.call_times_ms.len() >= 100, "{} moves in six seconds", fleet.call_times_ms.len());
}

/// Returns how many instances pool `p` gets for `jobs` jobs of one step.
fn workers_for(step: &StepSpec, jobs: usize) -> u64 {
    let mut fleet = Fleet::new(60, 215.0);
    // An existing worker tells the planner how large workers are.
    fleet.rig.list(&[("w", CORES)]);
    fleet.rig.workers.insert(WorkerId::from("w"), FakeWorker::default());
    for job in 0..jobs {
        fleet.rig.submit(&format!("{job:016x}"), vec![step.clone()]);
    }
    for _ in 0..12 {
        fleet.plan_round();
    }
    fleet.held_cores() / CORES
}

#[test]
fn pools_grow_with_the_demand_for_memory() {
    // 64 tasks of one core and 16,000 MiB each; four fill the memory of a worker.
    let needs = Resources { cpu_millis: 1_000, memory_mib: 16_000, accelerators: 0 };
    let wide = StepSpec { needs, estimate_ms: 20_000, ..step(8, 1) };
    let workers = workers_for(&wide, 8);
    assert!((15..=25).contains(&workers), "{workers} workers for the memory of 16");
}

#[test]
fn pools_grow_with_the_workers_that_a_spread_step_needs() {
    // 13 long-running tasks, at most one per worker, each with 2 of its 16 cores.
    let spread = StepSpec { is_long_running: true, max_per_worker: 1, ..step(13, 2) };
    let workers = workers_for(&spread, 1);
    assert!((12..=17).contains(&workers), "{workers} workers besides the first for 13 tasks");
}

#[test]
fn new_owner_counts_instances_that_it_must_not_call_yet() {
    let mut fleet = Fleet::new(60, 215.0);
    let long = StepSpec { estimate_ms: 60_000, ..step(8, 2) };
    for job in 0..10 {
        fleet.rig.submit(&format!("{job:016x}"), vec![long.clone()]);
    }
    for _ in 0..12 {
        fleet.plan_round();
    }
    assert!(fleet.held_cores() >= 160);
    // The next owner starts without knowledge of earlier moves; the
    // previous one may have made calls for all but 20 instances.
    fleet.planner = PoolPlanner::new(215.0);
    fleet.blockers =
        fleet.machines.keys().map(|name| (name.clone(), MoveBlocker::PreviousOwnerCall)).collect();
    let free: Vec<InstanceName> = fleet.blockers.keys().rev().take(20).cloned().collect();
    fleet.blockers.retain(|name, _| !free.contains(name));
    assert_eq!(fleet.plan_round().len(), 0, "the pool has enough instances");
}

/// Guards against instances that no pool can use for 13 s after a call without an answer.
#[test]
fn move_without_an_answer_is_called_again() {
    let mut fleet = Fleet::new(4, 215.0);
    fleet.provider_loses_calls = true;
    let long = StepSpec { estimate_ms: 60_000, ..step(8, 2) };
    fleet.rig.list(&[("w", CORES)]);
    fleet.rig.workers.insert(WorkerId::from("w"), FakeWorker::default());
    fleet.rig.submit("0000000000000001", vec![long.clone()]);
    fleet.rig.submit("0000000000000002", vec![long]);
    let lost = fleet.plan_round();
    assert!(!lost.is_empty(), "the second job needs another worker");
    fleet.provider_loses_calls = false;
    let rounds = (600 + MOVE_MS).div_ceil(ROUND_MS) + 1;
    for _ in 0..rounds {
        fleet.plan_round();
    }
    assert!(fleet.held_cores() > 0, "the call was not made again");
}

/// Guards against an instance that is used again while an earlier call moves it.
#[test]
fn instance_that_is_busy_after_a_call_without_an_answer_stays_cordoned() {
    let mut fleet = started_fleet(12);
    fleet.provider_loses_calls = true;
    let mut calls = Vec::new();
    while calls.is_empty() {
        calls = fleet.plan_round();
    }
    let worker = calls[0].worker.clone().expect("a worker");
    fleet.planner.record_call(&calls[0], MoveOutcome::Refused, &mut fleet.rig.board);
    assert!(fleet.rig.board.workers[&worker].is_cordoned);
}
