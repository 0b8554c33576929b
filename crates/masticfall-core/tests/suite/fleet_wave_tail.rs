//! The last instances of a maintenance wave.

use masticfall_core::fleet::machines::{MachineState, MachineView, TakeDownOutcome, Wave};
use masticfall_core::prelude::*;
use rstest::rstest;

use crate::fleet_rig::Rig;

const DOWN_MS: u64 = 2_000;
const ROUND_MS: u64 = 100;

/// Returns how many of 178 instances are left at the deadline after 27 s. The instances
/// drain in 2.5 s; the last `slow` ones, which have most to do, in `slow_ms`.
fn left_at_deadline(max_at_once: u32, slow: usize, slow_ms: u64) -> usize {
    let mut rig = Rig::new(&[]);
    let machine = |number| {
        let instance = InstanceName::from(format!("m{number:03}"));
        let (pool, state) = (PoolName::from("p"), MachineState::Up);
        let view = MachineView {
            data_centre: "dc".into(),
            instance: instance.clone(),
            pool,
            state,
            capacity_millis: 16_000,
            worker: None,
        };
        (instance, view)
    };
    let mut machines: IndexMap<InstanceName, MachineView> = (0..178).map(machine).collect();
    let names: Vec<InstanceName> = machines.keys().cloned().collect();
    let due_ms = rig.now_ms + 27_000;
    let mut wave = Wave::new("wave".into(), names.clone(), due_ms, max_at_once, DOWN_MS);
    let mut empty_at_ms: IndexMap<InstanceName, u64> = IndexMap::new();
    let mut up_at_ms: IndexMap<InstanceName, u64> = IndexMap::new();
    while rig.now_ms < due_ms {
        rig.now_ms += ROUND_MS;
        let now_ms = rig.now_ms;
        for (name, machine) in &mut machines {
            if up_at_ms.get(name).is_some_and(|at_ms| *at_ms <= now_ms) {
                machine.state = MachineState::Up;
            }
        }
        // An instance that isn't empty yet can't be taken down, as if it were blocked.
        let is_empty = |name: &InstanceName| empty_at_ms.get(name).is_some_and(|at| *at <= now_ms);
        let busy = names.iter().filter(|name| !is_empty(name)).cloned().collect();
        for call in wave.plan(&machines, &busy, &mut rig.board, now_ms) {
            wave.record_call(&call, TakeDownOutcome::Begun, &mut rig.board, now_ms);
            machines[&call.instance].state = MachineState::Maintenance;
            up_at_ms.insert(call.instance, now_ms + DOWN_MS);
        }
        for (number, name) in names.iter().enumerate() {
            if wave.is_draining_or_down(name) {
                let drain_ms = if number + slow >= names.len() { slow_ms } else { 2_500 };
                empty_at_ms.entry(name.clone()).or_insert(now_ms + drain_ms);
            }
        }
        let out = names.iter().filter(|name| wave.is_draining_or_down(name)).count();
        assert!(out <= max_at_once as usize, "{out} instances out at once");
    }
    178 - wave.progress_counts().0
}

/// Tasks that run seven times as long as estimated keep an instance for 6 s. The pace was in
/// proportion to the time left, so that the last instances, which are the busiest, began to
/// drain with less than that left.
#[rstest]
fn last_instances_with_long_tasks_are_taken_down_in_time(#[values(60, 90, 178)] max: u32) {
    assert_eq!(left_at_deadline(max, 8, 6_000), 0);
}
