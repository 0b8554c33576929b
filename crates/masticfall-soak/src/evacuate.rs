//! Evacuations, which overlap with each other and with the other faults.

use std::sync::Arc;
use std::time::Duration;

use masticfall_adapter_serve::write_evacuation;
use masticfall_standin::fleet::World;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep};

/// Data centres of the workers; the processes are in the first one.
const DATA_CENTRES: [&str; 2] = ["dc", "dc2"];

/// Time within which starts have to cease, in milliseconds: the platform allows 5,000, and
/// 6,000 more while the store rejects some processes. An owner that reaches the store for
/// its heartbeats reads the operators' table as well, and one that doesn't stops dispatching.
const LIMIT_MS: u64 = 11_000;

/// Length of an evacuation, in milliseconds; most outlast [`LIMIT_MS`].
const LENGTH_MS: std::ops::Range<u64> = 1_000..25_000;

/// Time for which evacuations outlast the other faults, in milliseconds.
const REST_MS: u64 = 6_000;

/// Interval at which evacuations are begun and lifted, in milliseconds.
const STEP_MS: u64 = 250;

/// Probability that a data centre is evacuated in a step.
const EVACUATION_PROBABILITY: f64 = 0.04;

/// Puts every second worker into the second data centre.
pub fn spread_workers(world: &World) {
    for worker in (1..world.worker_facts().len()).step_by(2) {
        world.set_data_centre(worker, DATA_CENTRES[1]);
    }
}

/// Evacuates data centres while faults are injected, and lifts all evacuations some time
/// after that; returns what it did, with the time since the start in milliseconds.
pub async fn play(world: Arc<World>, seed: u64, length_ms: u64) -> Vec<(u64, String)> {
    // Of its own, so that the other faults of kept seeds stay as they were.
    let mut random = StdRng::seed_from_u64(seed ^ 0xe7ac);
    let begun = Instant::now();
    let mut done = Vec::new();
    let mut until_ms = [0_u64; DATA_CENTRES.len()];
    loop {
        let now_ms = begun.elapsed().as_millis() as u64;
        let is_over = now_ms >= length_ms + REST_MS;
        for (data_centre, until_ms) in DATA_CENTRES.iter().zip(&mut until_ms) {
            let may_begin = random.random_bool(EVACUATION_PROBABILITY);
            let evacuation_ms = random.random_range(LENGTH_MS);
            if *until_ms > 0 && (is_over || now_ms >= *until_ms) {
                *until_ms = 0;
                write_evacuation(&world, data_centre, false);
                done.push((now_ms, format!("evacuation of {data_centre} lifted")));
            } else if *until_ms == 0 && may_begin && now_ms < length_ms {
                *until_ms = now_ms + evacuation_ms;
                write_evacuation(&world, data_centre, true);
                done.push((now_ms, format!("{data_centre} evacuated")));
            }
        }
        if is_over {
            return done;
        }
        sleep(Duration::from_millis(STEP_MS)).await;
    }
}

/// Returns the starts in evacuated data centres.
pub fn violations(world: &World) -> Vec<String> {
    let starts = world.starts_in_evacuated(LIMIT_MS);
    starts.into_iter().map(|start| format!("evacuation: {start}")).collect()
}
