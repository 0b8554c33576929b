//! Fault attribution: precision and recall over seeded mixes of poison jobs and
//! faulty workers.

use indexmap::IndexSet;
use masticfall_core::blame::AttemptHistory;
use masticfall_core::id::{InstanceName, JobId};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::Bound;

const WORKERS: usize = 50;
const JOBS: usize = 2_000;
const SEEDS: u64 = 20;
/// Attempts after which a job is abandoned without being found at fault.
const MAX_ATTEMPTS: usize = 10;
/// Fraction of attempts that fail although neither the job nor the worker is at fault.
const RANDOM_FAILURE_RATE: f64 = 0.02;

/// Attributions counted against the true causes.
#[derive(Debug, Default)]
struct ConfusionCounts {
    true_positives: u32,
    false_positives: u32,
    false_negatives: u32,
}

impl ConfusionCounts {
    fn count(&mut self, attributed: bool, at_fault: bool) {
        self.true_positives += u32::from(attributed && at_fault);
        self.false_positives += u32::from(attributed && !at_fault);
        self.false_negatives += u32::from(!attributed && at_fault);
    }

    fn precision(&self) -> f64 {
        f64::from(self.true_positives)
            / f64::from((self.true_positives + self.false_positives).max(1))
    }

    fn recall(&self) -> f64 {
        f64::from(self.true_positives)
            / f64::from((self.true_positives + self.false_negatives).max(1))
    }
}

fn simulate(seed: u64, workers: &mut ConfusionCounts, jobs: &mut ConfusionCounts) {
    let mut rng = StdRng::seed_from_u64(seed);
    let worker_names: Vec<InstanceName> =
        (0..WORKERS).map(|index| InstanceName::from(format!("w{index}"))).collect();
    let faulty: IndexSet<&InstanceName> =
        worker_names.iter().filter(|_| rng.random_bool(0.1)).collect();
    let mut history = AttemptHistory::default();
    for index in 0..JOBS {
        let job = JobId::from(format!("j{index}"));
        let poison = rng.random_bool(0.1);
        let mut failed_on: Vec<InstanceName> = Vec::new();
        let mut attributed = false;
        for _ in 0..MAX_ATTEMPTS {
            let candidates: Vec<&InstanceName> = worker_names
                .iter()
                .filter(|name| !history.is_worker_at_fault(name) && !failed_on.contains(name))
                .collect();
            let Some(worker) = candidates.choose(&mut rng) else { break };
            let fails = poison || faulty.contains(*worker) || rng.random_bool(RANDOM_FAILURE_RATE);
            history.record(worker, &job, !fails);
            if !fails {
                break;
            }
            failed_on.push((*worker).clone());
            if history.is_job_at_fault(&failed_on) {
                attributed = true;
                break;
            }
        }
        jobs.count(attributed, poison);
    }
    for name in &worker_names {
        workers.count(history.is_worker_at_fault(name), faulty.contains(name));
    }
}

pub fn run() -> Vec<Bound> {
    let (mut workers, mut jobs) = (ConfusionCounts::default(), ConfusionCounts::default());
    (0..SEEDS).for_each(|seed| simulate(seed, &mut workers, &mut jobs));
    println!("\nblame: a tenth of {JOBS} jobs and of {WORKERS} workers at fault, {SEEDS} mixes");
    println!("{:>10} {:>10} {:>8}", "", "precision", "recall");
    for (name, counts) in [("workers", &workers), ("jobs", &jobs)] {
        println!("{name:>10} {:>10.3} {:>8.3}", counts.precision(), counts.recall());
    }
    vec![
        Bound::at_least("precision of blame on workers", workers.precision(), 0.95),
        Bound::at_least("recall of blame on workers", workers.recall(), 0.95),
        Bound::at_least("precision of blame on jobs", jobs.precision(), 0.95),
        Bound::at_least("recall of blame on jobs", jobs.recall(), 0.95),
    ]
}
