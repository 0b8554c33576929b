//! Workers that start again under their identifiers while calls to their former life are under
//! way, and are cut off before all processes have learned of it. The owner is killed meanwhile.

use std::io;
use std::ops::Range;
use std::time::Duration;

use masticfall_standin::fleet::crash::CrashPlan;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use super::{Plan, Testbed, WORKERS};
use crate::proxy::LinkMode;

/// Time between two series, in milliseconds.
const PAUSE_MS: Range<u64> = 1_500..3_000;

/// Time for which a worker is down, in milliseconds: calls that are made meanwhile wait for
/// their connections, and the next life accepts them.
const DOWN_MS: Range<u64> = 200..900;

/// Time from a worker's return until the owner is killed, in milliseconds.
const KILL_DELAY_MS: Range<u64> = 0..1_200;

/// Time from then until the worker is cut off, in milliseconds.
const CUT_DELAY_MS: Range<u64> = 0..600;

/// Time for which it is cut off, in milliseconds: longer than any lease.
const CUT_MS: Range<u64> = 9_000..11_000;

/// Time until a killed process starts again, in milliseconds.
const START_DELAY_MS: u64 = 300;

/// Probability that the owner is killed.
const KILL_PROBABILITY: f64 = 0.7;

impl Testbed {
    /// Plays restarts of workers until the duration has passed.
    pub(super) async fn play_restarts(&self, plan: &Plan) -> io::Result<Vec<(u64, String)>> {
        let mut random = StdRng::seed_from_u64(plan.seed ^ 0x4eb0);
        let begun = Instant::now();
        let mut faults = Vec::new();
        let mut record = |fault: String| faults.push((begun.elapsed().as_millis() as u64, fault));
        while begun.elapsed() < Duration::from_millis(plan.length_ms) {
            sleep_random(PAUSE_MS, &mut random).await;
            let workers: Vec<usize> = (0..WORKERS).filter(|_| random.random_bool(0.5)).collect();
            self.restart(&workers, random.random_range(DOWN_MS)).await;
            record(format!("workers {workers:?} are back"));
            sleep_random(KILL_DELAY_MS, &mut random).await;
            let owner = self.owner().await.filter(|_| random.random_bool(KILL_PROBABILITY));
            if let Some((owner, epoch)) = owner {
                self.processes[owner].lock().signal(Signal::KILL);
                record(format!("p{owner} killed, epoch {epoch}"));
            }
            sleep_random(CUT_DELAY_MS, &mut random).await;
            self.set_links(&workers, LinkMode::Blackhole);
            record(format!("workers {workers:?} are cut off"));
            sleep(Duration::from_millis(START_DELAY_MS)).await;
            for process in &self.processes {
                process.lock().start()?;
            }
            sleep_random(CUT_MS, &mut random).await;
            self.set_links(&workers, LinkMode::Open);
            record(format!("end of the cut of workers {workers:?}"));
        }
        Ok(faults)
    }

    /// Restarts workers under their identifiers. What is sent to them meanwhile arrives once
    /// they are back.
    async fn restart(&self, workers: &[usize], down_ms: u64) {
        self.set_links(workers, LinkMode::HoldToServer);
        for worker in workers {
            let plan = CrashPlan { down_ms, keeps_id: true, is_dark: true };
            self.world.crash_worker(*worker, plan);
        }
        sleep(Duration::from_millis(down_ms)).await;
        while self.world.are_down(workers) {
            sleep(Duration::from_millis(1)).await;
        }
        self.set_links(workers, LinkMode::Open);
    }

    fn set_links(&self, workers: &[usize], mode: LinkMode) {
        let links = workers.iter().flat_map(|worker| &self.worker_links[*worker]);
        links.for_each(|link| link.set(mode));
    }
}

async fn sleep_random(range_ms: Range<u64>, random: &mut StdRng) {
    sleep(Duration::from_millis(random.random_range(range_ms))).await;
}
