//! The search for a worker: its result, and how many workers it looks at.

use masticfall_core::fleet::board::Notice;
use masticfall_core::fleet::spec::StepSpec;
use masticfall_core::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::fleet_rig::{Rig, step};

const JOB: &str = "00000000000000f0";

/// Creates a pool of workers of different sizes, some of which are partly in use.
fn used_pool(random: &mut StdRng) -> Rig {
    let names: Vec<String> = (0..40).map(|number| format!("w{number}")).collect();
    let workers: Vec<(&str, u64)> =
        names.iter().map(|name| (name.as_str(), random.random_range(4..24))).collect();
    let mut rig = Rig::new(&workers);
    for number in 0..random.random_range(0..60) {
        let step = step(random.random_range(1..4), random.random_range(1..6));
        rig.submit(&format!("{number:016x}"), vec![step]);
    }
    rig.settle();
    rig
}

/// Returns the workers on which the tasks of a job are placed, in the order of the choices.
fn chosen_workers(rig: &mut Rig, steps: Vec<StepSpec>) -> Vec<WorkerId> {
    rig.submit(JOB, steps);
    rig.board.take_notices();
    rig.board.place(rig.now_ms);
    let notices = rig.board.take_notices();
    let runs = notices.into_iter().filter_map(|notice| match notice {
        Notice::Placed { runs, .. } => Some(runs),
        _ => None,
    });
    runs.flatten().map(|run| run.worker).collect()
}

/// Tasks of one step may share a search; tasks of different steps never do.
#[rstest]
#[case::packed(StepSpec::default())]
#[case::with_limit_per_worker(StepSpec { max_per_worker: 2, ..StepSpec::default() })]
#[case::serving(StepSpec { target_tail_ms: 50, ..StepSpec::default() })]
#[case::best_effort(StepSpec { is_filler: true, ..StepSpec::default() })]
fn tasks_of_a_step_get_the_workers_that_single_searches_choose(#[case] kind: StepSpec) {
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut rig = used_pool(&mut random);
        let mut other = used_pool(&mut StdRng::seed_from_u64(seed));
        let tasks = random.random_range(1..30);
        let StepSpec { needs, estimate_ms, .. } = step(1, random.random_range(1..8));
        let single = StepSpec { tasks: 1, needs, estimate_ms, ..kind.clone() };
        let all = StepSpec { tasks, ..single.clone() };
        let together = chosen_workers(&mut rig, vec![all]);
        // Limits per worker hold within a step, so that single steps have none.
        let is_limited = kind.max_per_worker > 0;
        if is_limited {
            let mut counts: IndexMap<&WorkerId, u32> = IndexMap::new();
            for worker in &together {
                *counts.entry(worker).or_default() += 1;
            }
            assert!(counts.values().all(|count| *count <= kind.max_per_worker), "seed {seed}");
            continue;
        }
        let apart = chosen_workers(&mut other, vec![single; tasks as usize]);
        assert_eq!(together, apart, "seed {seed}");
    }
}

/// A peak brings thousands of tasks a second to a pool of hundreds of workers.
#[test]
fn search_looks_at_each_worker_once_for_each_worker_that_it_fills() {
    const WORKERS: u64 = 300;
    const TASKS_PER_WORKER: u64 = 8;
    let names: Vec<String> = (0..WORKERS).map(|number| format!("w{number}")).collect();
    let workers: Vec<(&str, u64)> =
        names.iter().map(|name| (name.as_str(), TASKS_PER_WORKER)).collect();
    let mut rig = Rig::new(&workers);
    let tasks = 64;
    let chosen = chosen_workers(&mut rig, vec![step(tasks, 1)]);
    assert_eq!(chosen.len() as u32, tasks);
    let evaluated = rig.board.evaluated_candidates();
    let filled = u64::from(tasks) / TASKS_PER_WORKER;
    assert!(evaluated <= filled * WORKERS, "{evaluated} workers evaluated to fill {filled}");
}
