//! Jobs with absurd figures: each owner in turn would load them.

use masticfall_core::fleet::admission::{decide_admission, objective_ms};
use masticfall_core::fleet::board::Now;
use masticfall_core::fleet::pools::PoolPlanner;
use masticfall_core::fleet::spec::{JobSpec, Resources, SpecError, StepSpec};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

use crate::fleet_rig::{Rig, config, facts, now, queue, record, step};

/// Figures as callers send them: mostly plain ones, some at the ends of the range.
fn figure() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => 0..10_000_u64,
        1 => Just(u64::MAX),
        1 => Just(u64::MAX / 2),
        1 => any::<u64>(),
    ]
}

fn hostile_step() -> impl Strategy<Value = StepSpec> {
    let needs =
        (figure(), figure(), figure()).prop_map(|(cpu_millis, memory_mib, accelerators)| {
            Resources { cpu_millis, memory_mib, accelerators }
        });
    let count = prop_oneof![4 => 0..8_u32, 1 => Just(u32::MAX), 1 => 4_000..6_000_u32];
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<u32>());
    (count, needs, figure(), flags, prop::collection::vec(0..4_u32, 0..2)).prop_map(
        |(tasks, needs, estimate_ms, (is_gang, is_long_running, is_filler, limit), after)| {
            StepSpec {
                tasks,
                needs,
                estimate_ms,
                after,
                is_gang,
                is_long_running,
                is_filler,
                max_per_worker: limit % 3,
                ..StepSpec::default()
            }
        },
    )
}

fn hostile_spec() -> impl Strategy<Value = JobSpec> {
    let repeat = prop_oneof![4 => 0..4_u32, 1 => any::<u32>(), 1 => Just(5_000_u32)];
    let steps = prop::collection::vec(hostile_step(), 0..4);
    (steps, repeat, figure(), figure()).prop_map(
        |(steps, repeat, first_due_wall_ms, interval_ms)| JobSpec {
            payload: "payload".into(),
            steps,
            repeat,
            first_due_wall_ms,
            interval_ms,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn no_accepted_job_stops_an_owner(specs in prop::collection::vec(hostile_spec(), 1..4)) {
        let mut rig = Rig::new(&[("w1", 8), ("w2", 8)]);
        for (number, spec) in specs.into_iter().enumerate() {
            if spec.check().is_err() {
                continue;
            }
            decide_admission(&queue("q", "p"), &spec, 1_000);
            objective_ms(&queue("q", "p"), &spec);
            let id = JobId::from(format!("{number:016x}"));
            let job = masticfall_core::fleet::spec::JobRecord { spec, ..record(vec![step(1, 1)]) };
            rig.jobs.insert(id.clone(), job.clone());
            rig.board.accept(&id, job, now(rig.now_ms));
        }
        let mut planner = PoolPlanner::new(10.0);
        for _ in 0..3 {
            rig.settle();
            rig.advance(400);
            rig.poll_all();
            let now_ms = rig.now_ms;
            rig.board.load_by_pool(now_ms);
            let config = config(1, Resources::default());
            planner.plan(&IndexMap::new(), |_| None, &mut rig.board, &config, now_ms);
        }
        rig.take_over(2);
        rig.settle();
    }
}

fn repeated(repeat: u32, interval_ms: u64) -> JobSpec {
    let JobSpec { payload, .. } = record(Vec::new()).spec;
    JobSpec { payload, steps: vec![step(4, 1)], repeat, first_due_wall_ms: 1, interval_ms }
}

#[rstest]
#[case::endless(repeated(u32::MAX, 0))]
#[case::many(repeated(100_000, 60_000))]
#[test]
fn job_of_too_many_occurrences_is_invalid(#[case] spec: JobSpec) {
    assert!(matches!(spec.check(), Err(SpecError::TooManyOccurrences)));
}

#[test]
fn gang_that_cannot_be_stored_is_invalid() {
    let gang = StepSpec { is_gang: true, ..step(2_000, 0) };
    let spec = JobSpec { steps: vec![gang], ..repeated(0, 0) };
    assert!(matches!(spec.check(), Err(SpecError::GangTooLarge { step: 0 })));
}

#[test]
fn occurrences_that_are_due_together_begin_in_turn() {
    let mut rig = Rig::new(&[("w1", 8), ("w2", 8)]);
    let id = JobId::from("00000000000000f1");
    let wide = JobSpec { steps: vec![step(1_000, 1)], ..repeated(5_000, 0) };
    assert_eq!(wide.check(), Ok(()));
    let job = masticfall_core::fleet::spec::JobRecord { spec: wide, ..record(Vec::new()) };
    rig.board.accept(&id, job, now(rig.now_ms));
    rig.advance(100);
    let begun = rig.board.jobs[&id].occurrences.len();
    assert!((1..10).contains(&begun), "{begun} occurrences of 1,000 tasks in memory");
}

#[test]
fn occurrences_begin_when_they_are_due() {
    let mut rig = Rig::new(&[("w1", 8), ("w2", 8)]);
    let id = JobId::from("00000000000000f2");
    let spec = JobSpec { first_due_wall_ms: 1_003_000, ..repeated(4, 1_000) };
    let job = masticfall_core::fleet::spec::JobRecord { spec, ..record(Vec::new()) };
    rig.board.accept(&id, job, now(rig.now_ms));
    for (at_ms, begun) in [(2_900, 0), (3_000, 1), (3_900, 1), (5_000, 3), (60_000, 4)] {
        rig.now_ms = at_ms;
        rig.board.advance(Now { steady_ms: at_ms, wall_ms: 1_000_000 + at_ms });
        assert_eq!(rig.board.jobs[&id].occurrences.len(), begun, "at {at_ms} ms");
    }
}

/// Guards against an entry that names no worker: its figures made the backlog of its pool look
/// endless, so that jobs were refused.
#[test]
fn entry_of_a_worker_that_never_answers_changes_no_backlog() {
    let backlog_ms = |has_odd_entry: bool| {
        let mut rig = Rig::new(&[("w1", 8), ("w2", 8)]);
        if has_odd_entry {
            let capacity = Resources { cpu_millis: 4_000_000_000, memory_mib: 1, accelerators: 0 };
            rig.board.list_worker(WorkerFacts { capacity, ..facts("odd", 8) });
        }
        rig.submit("00000000000000f3", vec![step(40, 8)]);
        rig.settle();
        rig.advance(100);
        rig.board.load_by_pool(rig.now_ms)[&PoolName::from("p")].backlog_ms
    };
    let expected_ms = backlog_ms(false);
    assert!(expected_ms > 0);
    assert_eq!(backlog_ms(true), expected_ms);
}
