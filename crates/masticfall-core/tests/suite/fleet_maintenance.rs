//! Maintenance waves over a board with tasks that last and plain ones.

use masticfall_core::fleet::board::Order;
use masticfall_core::fleet::machines::{
    MachineState, MachineView, TakeDownCall, TakeDownOutcome, Wave,
};
use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::{StepSpec, TaskKey};
use masticfall_core::prelude::*;

use crate::fleet_rig::{FakeWorker, Rig, step};

const DOWN_MS: u64 = 2_000;
const ROUND_MS: u64 = 250;

/// Instances `m0..`, each with a worker that begins another life after maintenance.
struct Fleet {
    rig: Rig,
    machines: IndexMap<InstanceName, MachineView>,
    back_ms: IndexMap<InstanceName, u64>,
    lives: u32,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let names: Vec<String> = (0..count).map(|n| format!("w{n}")).collect();
        let workers: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 16)).collect();
        let machines = names.iter().enumerate().map(|(n, worker)| {
            let instance = InstanceName::from(format!("m{n}"));
            let worker = Some(WorkerId::from(worker.as_str()));
            let view = MachineView {
                instance: instance.clone(),
                pool: "p".into(),
                state: MachineState::Up,
                capacity_millis: 16_000,
                worker,
            };
            (instance, view)
        });
        let machines = machines.collect();
        Self { rig: Rig::new(&workers), machines, back_ms: IndexMap::new(), lives: 0 }
    }

    fn is_busy(&self, instance: &InstanceName) -> bool {
        let worker = self.machines[instance].worker.as_ref();
        worker.is_some_and(|id| !self.rig.workers[id].running.is_empty())
    }

    fn take_down(&mut self, instance: &InstanceName) {
        assert!(!self.is_busy(instance), "{instance} is taken down while it runs something");
        let worker = self.machines[instance].worker.take().expect("a worker");
        self.machines[instance].state = MachineState::Maintenance;
        self.rig.workers.swap_remove(&worker);
        self.rig.board.unlist_worker(&worker);
        self.back_ms.insert(instance.clone(), self.rig.now_ms + DOWN_MS);
    }

    fn bring_back(&mut self) {
        let now_ms = self.rig.now_ms;
        let back = self.back_ms.iter().filter(|(_, at)| **at <= now_ms);
        let back: Vec<InstanceName> = back.map(|(name, _)| name.clone()).collect();
        for instance in back {
            self.back_ms.swap_remove(&instance);
            self.lives += 1;
            let id = format!("life{}", self.lives);
            self.rig.list(&[(id.as_str(), 16)]);
            self.rig.workers.insert(WorkerId::from(id.as_str()), FakeWorker::default());
            self.machines[&instance].worker = Some(WorkerId::from(id));
            self.machines[&instance].state = MachineState::Up;
        }
    }

    /// Tasks that last are at work; stops take effect; plain tasks are done now and then.
    fn work(&mut self) {
        for listing in self.rig.workers.values_mut() {
            for run in &mut listing.running {
                run.percent = 100;
            }
        }
        for order in std::mem::take(&mut self.rig.other_orders) {
            if let Order::Stop(stop) = order {
                self.rig.end(&stop.task.to_string(), RunEnd::Stopped);
            }
        }
        self.rig.poll_all();
        self.rig.settle();
        self.rig.advance(ROUND_MS);
    }

    fn at_work(&self, job: &JobId, tasks: u32) -> usize {
        let listed = |index| {
            let key = TaskKey { job: job.clone(), occurrence: 0, step: 0, index };
            self.rig.workers.values().any(|l| l.running.iter().any(|run| run.task == key))
        };
        (0..tasks).filter(|index| listed(*index)).count()
    }
}

fn lasting(tasks: u32) -> StepSpec {
    StepSpec {
        is_long_running: true,
        max_per_worker: 1,
        max_unavailable: 1,
        target_tail_ms: 50,
        ..step(tasks, 3)
    }
}

fn play(wave: &mut Wave, fleet: &mut Fleet, max_rounds: usize, fail_first_call: bool) -> usize {
    let mut most_down = 0;
    let mut has_failed = !fail_first_call;
    let job = JobId::from("00000000000000bb");
    for _ in 0..max_rounds {
        fleet.bring_back();
        let now_ms = fleet.rig.now_ms;
        let calls: Vec<TakeDownCall> =
            wave.plan(&fleet.machines, &IndexSet::new(), &mut fleet.rig.board, now_ms);
        for call in calls {
            let outcome = if has_failed {
                fleet.take_down(&call.instance);
                TakeDownOutcome::Begun
            } else {
                has_failed = true;
                TakeDownOutcome::Refused
            };
            wave.record_call(&call, outcome, &mut fleet.rig.board, now_ms);
        }
        most_down = most_down.max(fleet.back_ms.len());
        fleet.work();
        assert!(fleet.at_work(&job, 4) >= 3, "more than one task of the step is away");
        if wave.is_done(&fleet.machines) {
            break;
        }
    }
    most_down
}

#[test]
fn wave_is_done_in_time_within_its_bound_and_the_budget_of_what_lasts() {
    let mut fleet = Fleet::new(10);
    fleet.rig.submit("00000000000000bb", vec![lasting(4)]);
    fleet.rig.settle();
    fleet.work();
    let instances = fleet.machines.keys().cloned().collect();
    let due_ms = fleet.rig.now_ms + 26_000;
    let mut wave = Wave::new("1".into(), instances, due_ms, 4, DOWN_MS);
    let most_down = play(&mut wave, &mut fleet, 200, true);
    assert!(wave.is_done(&fleet.machines));
    assert!(fleet.rig.now_ms <= due_ms, "done at {} of {due_ms}", fleet.rig.now_ms);
    assert!((1..=4).contains(&most_down));
}

#[test]
fn only_the_providers_answer_counts_as_begun() {
    let mut fleet = Fleet::new(3);
    let instances: Vec<InstanceName> = fleet.machines.keys().cloned().collect();
    let due_ms = fleet.rig.now_ms + 10_000;
    let mut wave = Wave::new("1".into(), instances, due_ms, 3, DOWN_MS);
    let now_ms = fleet.rig.now_ms;
    let calls = wave.plan(&fleet.machines, &IndexSet::new(), &mut fleet.rig.board, now_ms);
    assert!(!calls.is_empty());
    for call in &calls {
        wave.record_call(call, TakeDownOutcome::Unknown, &mut fleet.rig.board, now_ms);
        // Another worker is there for another reason, such as a move.
        fleet.take_down(&call.instance);
    }
    fleet.rig.advance(DOWN_MS);
    fleet.bring_back();
    let now_ms = fleet.rig.now_ms;
    wave.plan(&fleet.machines, &IndexSet::new(), &mut fleet.rig.board, now_ms);
    assert!(wave.progress.begun.is_empty(), "nobody said that it has begun");
    assert!(!wave.is_done(&fleet.machines));
}

#[test]
fn next_owner_counts_what_is_down_already() {
    let mut fleet = Fleet::new(6);
    let instances: Vec<InstanceName> = fleet.machines.keys().cloned().collect();
    for instance in &instances[..2] {
        fleet.take_down(instance);
    }
    // So late that everything would be taken down at once.
    let due_ms = fleet.rig.now_ms + 1;
    let mut wave = Wave::new("1".into(), instances, due_ms, 3, DOWN_MS);
    let now_ms = fleet.rig.now_ms;
    let calls = wave.plan(&fleet.machines, &IndexSet::new(), &mut fleet.rig.board, now_ms);
    assert_eq!(calls.len(), 1, "three may be down, and two are");
}

#[test]
fn instances_that_are_gone_do_not_hold_a_wave_up() {
    let fleet = Fleet::new(1);
    let wave = Wave::new("1".into(), vec!["gone".into()], 10_000, 1, DOWN_MS);
    assert!(wave.is_done(&fleet.machines));
}

#[test]
fn what_lasts_stays_while_another_of_its_step_is_on_a_silent_worker() {
    let mut fleet = Fleet::new(6);
    fleet.rig.submit("00000000000000bb", vec![lasting(4)]);
    fleet.rig.settle();
    fleet.work();
    fleet.work();
    let busy: Vec<WorkerId> = fleet
        .rig
        .workers
        .iter()
        .filter(|(_, listing)| !listing.running.is_empty())
        .map(|(id, _)| id.clone())
        .collect();
    let (silent, other) = (busy[0].clone(), busy[1].clone());
    // Nobody has told yet that the worker is silent: its last report is old.
    fleet.rig.workers.swap_remove(&silent);
    for _ in 0..11 {
        fleet.work();
    }
    let now_ms = fleet.rig.now_ms;
    fleet.rig.board.cordon(&other, true);
    fleet.rig.board.evict_long_running(&other, now_ms);
    assert!(fleet.rig.board.take_orders().is_empty(), "one of the step is away already");
}

#[test]
fn next_owner_waits_for_stops_of_the_last_one() {
    let mut fleet = Fleet::new(6);
    fleet.rig.submit("00000000000000bb", vec![lasting(4)]);
    fleet.rig.settle();
    fleet.work();
    let busy = fleet.rig.started[0].worker.clone();
    let workers: Vec<String> = fleet.rig.workers.keys().map(ToString::to_string).collect();
    let workers: Vec<(&str, u64)> = workers.iter().map(|id| (id.as_str(), 16)).collect();
    fleet.rig.take_over(2);
    fleet.rig.list(&workers);
    fleet.rig.poll_all();
    // The last owner may have told another of the step to stop just before.
    let now_ms = fleet.rig.now_ms;
    fleet.rig.board.evict_long_running(&busy, now_ms);
    assert!(fleet.rig.board.take_orders().is_empty());
    for _ in 0..9 {
        fleet.work();
    }
    let now_ms = fleet.rig.now_ms;
    fleet.rig.board.evict_long_running(&busy, now_ms);
    assert_eq!(fleet.rig.board.take_orders().len(), 1);
}

#[test]
fn instances_on_standby_are_maintained_one_batch_after_the_other() {
    let mut rig = Rig::new(&[]);
    let names: Vec<InstanceName> = (0..60).map(|n| InstanceName::from(format!("m{n}"))).collect();
    let view = |instance: &InstanceName| MachineView {
        instance: instance.clone(),
        pool: "spare".into(),
        state: MachineState::Up,
        capacity_millis: 16_000,
        worker: None,
    };
    let mut machines: IndexMap<InstanceName, MachineView> =
        names.iter().map(|name| (name.clone(), view(name))).collect();
    let due_ms = rig.now_ms + 12_000;
    let mut wave = Wave::new("1".into(), names, due_ms, 20, DOWN_MS);
    let mut back_ms: IndexMap<InstanceName, u64> = IndexMap::new();
    while !wave.is_done(&machines) {
        assert!(rig.now_ms < due_ms, "three batches of 2 s each take longer than 12 s");
        for (name, _) in back_ms.iter().filter(|(_, at)| **at <= rig.now_ms) {
            machines[name].state = MachineState::Up;
        }
        back_ms.retain(|_, at| *at > rig.now_ms);
        let calls = wave.plan(&machines, &IndexSet::new(), &mut rig.board, rig.now_ms);
        for call in calls {
            wave.record_call(&call, TakeDownOutcome::Begun, &mut rig.board, rig.now_ms);
            machines[&call.instance].state = MachineState::Maintenance;
            back_ms.insert(call.instance, rig.now_ms + DOWN_MS);
        }
        assert!(back_ms.len() <= 20);
        rig.advance(ROUND_MS);
    }
}

#[test]
fn instances_that_move_or_have_failed_hold_nothing_up() {
    let mut fleet = Fleet::new(12);
    let names: Vec<InstanceName> = fleet.machines.keys().cloned().collect();
    for name in &names[..4] {
        fleet.machines[name].state = MachineState::Moving;
    }
    for name in &names[4..8] {
        fleet.machines[name].state = MachineState::Down;
    }
    let due_ms = fleet.rig.now_ms + 60_000;
    let mut wave = Wave::new("1".into(), names.clone(), due_ms, 4, DOWN_MS);
    let barred = IndexSet::new();
    let now_ms = fleet.rig.now_ms;
    let calls = wave.plan(&fleet.machines, &barred, &mut fleet.rig.board, now_ms);
    assert!(!calls.is_empty(), "four instances are up and empty, and none is in maintenance");
    // An earlier owner's count.
    for name in &names[..4] {
        fleet.machines[name].state = MachineState::Maintenance;
    }
    let mut wave = Wave::new("1".into(), names, due_ms, 4, DOWN_MS);
    let calls = wave.plan(&fleet.machines, &barred, &mut fleet.rig.board, now_ms);
    assert!(calls.is_empty(), "four are in maintenance, as many as may be");
}
