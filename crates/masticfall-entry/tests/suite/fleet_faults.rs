//! Invariants under random faults, by seed.

use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::fleet::progress::JobPhase;
use masticfall_entry::fleet::RunningFleet;
use masticfall_standin::fleet::{StoreMode, World};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::sleep;

use crate::fleet_early::{early_settings, start_early};
use crate::fleet_world::{Submissions, WORKERS, assert_invariants, job, launch_with, phase};

#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
#[case::seed_4(4)]
#[case::seed_5(5)]
#[case::seed_6(6)]
#[case::seed_7(7)]
#[case::seed_8(8)]
#[tokio::test(start_paused = true)]
async fn invariants_hold_under_faults(#[case] seed: u64) {
    run_with_faults(seed, 0).await;
}

/// The same with runs that start before their placements are stored.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
#[case::seed_4(4)]
#[case::seed_5(5)]
#[case::seed_6(6)]
#[case::seed_7(7)]
#[case::seed_8(8)]
#[tokio::test(start_paused = true)]
async fn invariants_hold_under_faults_with_early_starts(#[case] seed: u64) {
    run_with_faults(seed, 50).await;
}

/// A longer search: `FLEET_SEEDS=200 cargo test -p masticfall-entry more_seeds`.
#[tokio::test(start_paused = true)]
async fn invariants_hold_over_more_seeds() {
    let seeds = std::env::var("FLEET_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 100..100 + seeds.unwrap_or(4_u64) {
        eprintln!("seed {seed}");
        run_with_faults(seed, 0).await;
        run_with_faults(seed, 50).await;
    }
}

async fn run_with_faults(seed: u64, early_start_after_ms: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let world = World::new(WORKERS, "p");
    let names = ["a", "b", "c", "d"];
    let mut processes: IndexMap<&str, RunningFleet> = names
        .iter()
        .copied()
        .zip(start_early(&world, &names, early_start_after_ms).await)
        .collect();
    world.set_delayed_starts(random.random_range(7..20));
    let mut jobs = Submissions::default();
    for number in 0..60 {
        let id = job(number + 1);
        let name = names[random.random_range(0..names.len())];
        jobs.submit(&world, &processes[name].fleet, &id).await;
        sleep(Duration::from_millis(random.random_range(50..400))).await;
        match random.random_range(0..12) {
            0 => {
                let owner = processes.iter().find(|(_, p)| p.fleet.shared().ownership.is_some());
                if let Some(name) = owner.map(|(name, _)| *name) {
                    let previous = processes.insert(
                        name,
                        launch_with(&world, early_settings(name, early_start_after_ms)),
                    );
                    let previous = previous.expect("a process");
                    previous.crash();
                }
            }
            1 => world.set_store(StoreMode::Unresponsive),
            2 if seed.is_multiple_of(2) => world.set_store(StoreMode::DelaysWrites),
            2 => world.set_store(StoreMode::LosesResponses),
            3 => world.set_store_for(name, StoreMode::Unavailable),
            4 => world.set_silent(random.random_range(0..WORKERS), true),
            5 => {
                world.set_store(StoreMode::Up);
                world.set_store_for(name, StoreMode::Up);
            }
            6 => {
                for worker in 0..WORKERS {
                    world.set_silent(worker, false);
                }
            }
            _ => {}
        }
    }
    world.set_store(StoreMode::Up);
    world.set_delayed_starts(0);
    for name in names {
        world.set_store_for(name, StoreMode::Up);
    }
    (0..WORKERS).for_each(|worker| world.set_silent(worker, false));
    sleep(Duration::from_mins(1)).await;
    assert_invariants(&world, &jobs.submitted, &jobs.accepted);
    let fleet = &processes["b"].fleet;
    for id in &jobs.accepted {
        assert_eq!(phase(fleet, id).await, Ok(JobPhase::Completed), "{id}");
    }
}
