//! Maintenance waves, with and without long-running tasks on the instances.

use masticfall_core::fleet::board::Order;
use masticfall_core::fleet::machines::{
    MachineState, MachineView, TakeDownCall, TakeDownOutcome, Wave,
};
use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::{StepSpec, TaskKey};
use masticfall_core::prelude::*;
use rstest::rstest;

use crate::fleet_rig::{FakeWorker, Rig, step};

const DOWN_MS: u64 = 2_000;
const ROUND_MS: u64 = 250;

/// Instances `m0..`, each with a worker; after maintenance it has a new worker.
struct Fleet {
    rig: Rig,
    machines: IndexMap<InstanceName, MachineView>,
    return_at_ms: IndexMap<InstanceName, u64>,
    new_workers: u32,
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
                data_centre: "dc".into(),
                capacity_millis: 16_000,
                worker,
            };
            (instance, view)
        });
        let machines = machines.collect();
        Self { rig: Rig::new(&workers), machines, return_at_ms: IndexMap::new(), new_workers: 0 }
    }

    fn is_busy(&self, instance: &InstanceName) -> bool {
        let worker = self.machines[instance].worker.as_ref();
        worker.is_some_and(|id| !self.rig.workers[id].running.is_empty())
    }

    fn take_down(&mut self, instance: &InstanceName) {
        assert!(!self.is_busy(instance), "{instance} is taken down while tasks run on it");
        let worker = self.machines[instance].worker.take().expect("a worker");
        self.machines[instance].state = MachineState::Maintenance;
        self.rig.workers.swap_remove(&worker);
        self.rig.board.unlist_worker(&worker);
        self.return_at_ms.insert(instance.clone(), self.rig.now_ms + DOWN_MS);
    }

    fn return_instances(&mut self) {
        let now_ms = self.rig.now_ms;
        let back = self.return_at_ms.iter().filter(|(_, at)| **at <= now_ms);
        let back: Vec<InstanceName> = back.map(|(name, _)| name.clone()).collect();
        for instance in back {
            self.return_at_ms.swap_remove(&instance);
            self.new_workers += 1;
            let id = format!("life{}", self.new_workers);
            self.rig.list(&[(id.as_str(), 16)]);
            self.rig.workers.insert(WorkerId::from(id.as_str()), FakeWorker::default());
            self.machines[&instance].worker = Some(WorkerId::from(id));
            self.machines[&instance].state = MachineState::Up;
        }
    }

    /// Runs one round: tasks report full progress, and stop orders take effect.
    fn run_round(&mut self) {
        for worker in self.rig.workers.values_mut() {
            for run in &mut worker.running {
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

    /// Returns how many of the first step's tasks are running.
    fn running_tasks(&self, job: &JobId, tasks: u32) -> usize {
        let listed = |index| {
            let key = TaskKey { job: job.clone(), occurrence: 0, step: 0, index };
            self.rig.workers.values().any(|worker| worker.running.iter().any(|run| run.task == key))
        };
        (0..tasks).filter(|index| listed(*index)).count()
    }
}

fn long_running(tasks: u32) -> StepSpec {
    StepSpec {
        is_long_running: true,
        max_per_worker: 1,
        max_unavailable: 1,
        target_tail_ms: 50,
        ..step(tasks, 3)
    }
}

/// Runs rounds until the wave is done; returns the maximum number of instances down at once.
fn run_wave(
    wave: &mut Wave,
    fleet: &mut Fleet,
    max_rounds: usize,
    refuse_first_call: bool,
) -> usize {
    let mut most_down = 0;
    let mut has_refused = !refuse_first_call;
    let job = JobId::from("00000000000000bb");
    for _ in 0..max_rounds {
        fleet.return_instances();
        let now_ms = fleet.rig.now_ms;
        let calls: Vec<TakeDownCall> =
            wave.plan(&fleet.machines, &IndexSet::new(), &mut fleet.rig.board, now_ms);
        for call in calls {
            let outcome = if has_refused {
                fleet.take_down(&call.instance);
                TakeDownOutcome::Begun
            } else {
                has_refused = true;
                TakeDownOutcome::Refused
            };
            wave.record_call(&call, outcome, &mut fleet.rig.board, now_ms);
        }
        most_down = most_down.max(fleet.return_at_ms.len());
        fleet.run_round();
        assert!(fleet.running_tasks(&job, 4) >= 3, "more than one task of the step is unavailable");
        if wave.is_done(&fleet.machines) {
            break;
        }
    }
    most_down
}

#[test]
fn wave_meets_its_deadline_its_limit_and_the_disruption_budget() {
    let mut fleet = Fleet::new(10);
    fleet.rig.submit("00000000000000bb", vec![long_running(4)]);
    fleet.rig.settle();
    fleet.run_round();
    let instances = fleet.machines.keys().cloned().collect();
    let due_ms = fleet.rig.now_ms + 26_000;
    let mut wave = Wave::new("1".into(), instances, due_ms, 4, DOWN_MS);
    let most_down = run_wave(&mut wave, &mut fleet, 200, true);
    assert!(wave.is_done(&fleet.machines));
    assert!(fleet.rig.now_ms <= due_ms, "done at {} ms, due at {due_ms} ms", fleet.rig.now_ms);
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
        // The instance gets a new worker for another reason, such as a move.
        fleet.take_down(&call.instance);
    }
    fleet.rig.advance(DOWN_MS);
    fleet.return_instances();
    let now_ms = fleet.rig.now_ms;
    wave.plan(&fleet.machines, &IndexSet::new(), &mut fleet.rig.board, now_ms);
    assert!(
        wave.progress.begun.is_empty(),
        "the provider has not confirmed that maintenance has begun"
    );
    assert!(!wave.is_done(&fleet.machines));
}

#[test]
fn next_owner_counts_instances_that_are_down_already() {
    let mut fleet = Fleet::new(6);
    let instances: Vec<InstanceName> = fleet.machines.keys().cloned().collect();
    for instance in &instances[..2] {
        fleet.take_down(instance);
    }
    // The deadline is so close that all instances would be taken down at once.
    let due_ms = fleet.rig.now_ms + 1;
    let mut wave = Wave::new("1".into(), instances, due_ms, 3, DOWN_MS);
    let now_ms = fleet.rig.now_ms;
    let calls = wave.plan(&fleet.machines, &IndexSet::new(), &mut fleet.rig.board, now_ms);
    assert_eq!(calls.len(), 1, "three may be down, and two are down already");
}

/// Guards against more instances down at once than the wave allows: the call of an owner that
/// has handed over was under way, and the instance was still listed as up.
#[test]
fn next_owner_counts_instances_that_a_call_under_way_may_take_down() {
    let mut fleet = Fleet::new(6);
    let instances: Vec<InstanceName> = fleet.machines.keys().cloned().collect();
    let called: IndexSet<InstanceName> = instances[..2].iter().cloned().collect();
    // The deadline is so close that all instances would be taken down at once.
    let due_ms = fleet.rig.now_ms + 1;
    let mut wave = Wave::new("1".into(), instances, due_ms, 3, DOWN_MS);
    let now_ms = fleet.rig.now_ms;
    wave.set_earlier_calls(called.clone());
    let calls = wave.plan(&fleet.machines, &called, &mut fleet.rig.board, now_ms);
    assert_eq!(calls.len(), 1, "three may be down, and two may be going down");
    for call in &calls {
        wave.record_call(call, TakeDownOutcome::Begun, &mut fleet.rig.board, now_ms);
        fleet.take_down(&call.instance);
    }
    // Those calls have had no effect.
    fleet.rig.advance(ROUND_MS);
    let now_ms = fleet.rig.now_ms;
    wave.set_earlier_calls(IndexSet::new());
    let calls = wave.plan(&fleet.machines, &IndexSet::new(), &mut fleet.rig.board, now_ms);
    assert_eq!(calls.len(), 2);
}

#[test]
fn unlisted_instances_do_not_delay_a_wave() {
    let fleet = Fleet::new(1);
    let wave = Wave::new("1".into(), vec!["gone".into()], 10_000, 1, DOWN_MS);
    assert!(wave.is_done(&fleet.machines));
}

#[test]
fn long_running_task_stays_while_another_of_its_step_is_on_a_silent_worker() {
    let mut fleet = Fleet::new(6);
    fleet.rig.submit("00000000000000bb", vec![long_running(4)]);
    fleet.rig.settle();
    fleet.run_round();
    fleet.run_round();
    let busy: Vec<WorkerId> = fleet
        .rig
        .workers
        .iter()
        .filter(|(_, worker)| !worker.running.is_empty())
        .map(|(id, _)| id.clone())
        .collect();
    let (unresponsive, other) = (busy[0].clone(), busy[1].clone());
    // The worker's last report is old, but the worker isn't marked as unresponsive yet.
    fleet.rig.workers.swap_remove(&unresponsive);
    for _ in 0..11 {
        fleet.run_round();
    }
    let now_ms = fleet.rig.now_ms;
    fleet.rig.board.cordon(&other, true);
    fleet.rig.board.evict_long_running(&other, now_ms);
    assert!(
        fleet.rig.board.take_orders().is_empty(),
        "another task of the step is unavailable already"
    );
}

#[test]
fn next_owner_waits_for_stops_of_the_previous_owner() {
    let mut fleet = Fleet::new(6);
    fleet.rig.submit("00000000000000bb", vec![long_running(4)]);
    fleet.rig.settle();
    fleet.run_round();
    let busy = fleet.rig.started[0].worker.clone();
    let workers: Vec<String> = fleet.rig.workers.keys().map(ToString::to_string).collect();
    let workers: Vec<(&str, u64)> = workers.iter().map(|id| (id.as_str(), 16)).collect();
    fleet.rig.take_over(2);
    fleet.rig.list(&workers);
    fleet.rig.poll_all();
    // The previous owner may just have sent a stop order to another task of the step.
    let now_ms = fleet.rig.now_ms;
    fleet.rig.board.evict_long_running(&busy, now_ms);
    assert!(fleet.rig.board.take_orders().is_empty());
    for _ in 0..9 {
        fleet.run_round();
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
        data_centre: "dc".into(),
        capacity_millis: 16_000,
        worker: None,
    };
    let mut machines: IndexMap<InstanceName, MachineView> =
        names.iter().map(|name| (name.clone(), view(name))).collect();
    let due_ms = rig.now_ms + 12_000;
    let mut wave = Wave::new("1".into(), names, due_ms, 20, DOWN_MS);
    let mut return_at_ms: IndexMap<InstanceName, u64> = IndexMap::new();
    while !wave.is_done(&machines) {
        assert!(rig.now_ms < due_ms, "three batches of 2 s each take longer than 12 s");
        for (name, _) in return_at_ms.iter().filter(|(_, at)| **at <= rig.now_ms) {
            machines[name].state = MachineState::Up;
        }
        return_at_ms.retain(|_, at| *at > rig.now_ms);
        let calls = wave.plan(&machines, &IndexSet::new(), &mut rig.board, rig.now_ms);
        for call in calls {
            wave.record_call(&call, TakeDownOutcome::Begun, &mut rig.board, rig.now_ms);
            machines[&call.instance].state = MachineState::Maintenance;
            return_at_ms.insert(call.instance, rig.now_ms + DOWN_MS);
        }
        assert!(return_at_ms.len() <= 20);
        rig.advance(ROUND_MS);
    }
}

#[test]
fn moving_and_failed_instances_do_not_count_towards_the_limit() {
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
    let blocked = IndexSet::new();
    let now_ms = fleet.rig.now_ms;
    let calls = wave.plan(&fleet.machines, &blocked, &mut fleet.rig.board, now_ms);
    assert!(!calls.is_empty(), "four instances are up and empty, and none is in maintenance");
    // Instances that an earlier owner has taken down do count.
    for name in &names[..4] {
        fleet.machines[name].state = MachineState::Maintenance;
    }
    let mut wave = Wave::new("1".into(), names, due_ms, 4, DOWN_MS);
    let calls = wave.plan(&fleet.machines, &blocked, &mut fleet.rig.board, now_ms);
    assert!(calls.is_empty(), "four are in maintenance, which is the limit");
}

/// What follows a call whose answer is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sequel {
    /// The owner repeats the call.
    Repeated,
    /// The next owner repeats it, since the progress doesn't list the instance.
    RepeatedByNextOwner,
}

/// Guards against workers that stay cordoned: the answer to a call was lost, and the call is
/// repeated when the instance is back.
#[rstest]
#[case::repeated(Sequel::Repeated)]
#[case::repeated_by_the_next_owner(Sequel::RepeatedByNextOwner)]
fn worker_gets_tasks_after_the_answer_to_a_call_was_lost(#[case] sequel: Sequel) {
    let mut fleet = Fleet::new(2);
    let instances: Vec<InstanceName> = fleet.machines.keys().cloned().collect();
    let due_ms = fleet.rig.now_ms + 10_000;
    let new_wave = || Wave::new("1".into(), instances.clone(), due_ms, 2, DOWN_MS);
    let mut wave = new_wave();
    let mut maintained: IndexSet<InstanceName> = IndexSet::new();
    for round in 0..80 {
        fleet.return_instances();
        let now_ms = fleet.rig.now_ms;
        let calls = wave.plan(&fleet.machines, &IndexSet::new(), &mut fleet.rig.board, now_ms);
        for call in calls {
            let outcome = if maintained.insert(call.instance.clone()) {
                fleet.take_down(&call.instance);
                TakeDownOutcome::Unknown
            } else {
                // Done already: the instance stays up, with the worker that came with its return.
                TakeDownOutcome::Begun
            };
            wave.record_call(&call, outcome, &mut fleet.rig.board, now_ms);
        }
        if round == 2 && sequel == Sequel::RepeatedByNextOwner {
            fleet.rig.take_over(2);
            wave = new_wave();
        }
        fleet.run_round();
    }
    assert_eq!(maintained.len(), 2);
    assert!(wave.is_done(&fleet.machines));
    assert!(!wave.has_instances_down());
    fleet.rig.submit("00000000000000bb", vec![step(2, 16)]);
    fleet.rig.settle();
    assert_eq!(fleet.rig.started.len(), 2, "both workers are up, answer and run nothing");
}

/// Guards against an instance that counts as back while it goes down, by a report that its
/// worker sent before.
#[test]
fn instance_is_down_from_the_confirmation_until_it_is_listed_with_its_new_worker() {
    let mut fleet = Fleet::new(1);
    let instances: Vec<InstanceName> = fleet.machines.keys().cloned().collect();
    let due_ms = fleet.rig.now_ms + 10_000;
    let mut wave = Wave::new("1".into(), instances, due_ms, 1, DOWN_MS);
    let none = IndexSet::new();
    let now_ms = fleet.rig.now_ms;
    let call = wave.plan(&fleet.machines, &none, &mut fleet.rig.board, now_ms).remove(0);
    wave.record_call(&call, TakeDownOutcome::Begun, &mut fleet.rig.board, now_ms);
    fleet.rig.poll_all();
    fleet.take_down(&call.instance);
    while !fleet.return_at_ms.is_empty() {
        let now_ms = fleet.rig.now_ms;
        wave.plan(&fleet.machines, &none, &mut fleet.rig.board, now_ms);
        assert!(wave.has_instances_down());
        fleet.rig.advance(ROUND_MS);
        fleet.return_instances();
    }
    let now_ms = fleet.rig.now_ms;
    wave.plan(&fleet.machines, &none, &mut fleet.rig.board, now_ms);
    assert!(!wave.has_instances_down());
}
