//! Blame: precision and recall over seeded mixes of poison jobs and bad workers.

use indexmap::IndexSet;
use masticfall_core::blame::AttemptHistory;
use masticfall_core::id::{InstanceName, JobId};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::Bound;

const WORKERS: usize = 50;
const JOBS: usize = 2_000;
const RUNS: u64 = 20;
/// Attempts of a job before it is given up without a judgement.
const MAX_ATTEMPTS: usize = 10;
/// Part of attempts of sound jobs on sound workers that fail by chance.
const CHANCE: f64 = 0.02;

/// Right and wrong judgements, and culprits that were not found.
#[derive(Debug, Default)]
struct Tally {
    right: u32,
    wrong: u32,
    missed: u32,
}

impl Tally {
    fn count(&mut self, judged: bool, culprit: bool) {
        self.right += u32::from(judged && culprit);
        self.wrong += u32::from(judged && !culprit);
        self.missed += u32::from(!judged && culprit);
    }

    fn precision(&self) -> f64 {
        f64::from(self.right) / f64::from((self.right + self.wrong).max(1))
    }

    fn recall(&self) -> f64 {
        f64::from(self.right) / f64::from((self.right + self.missed).max(1))
    }
}

fn simulate(seed: u64, workers: &mut Tally, jobs: &mut Tally) {
    let mut rng = StdRng::seed_from_u64(seed);
    let names: Vec<InstanceName> =
        (0..WORKERS).map(|index| InstanceName::from(format!("w{index}"))).collect();
    let bad: IndexSet<&InstanceName> = names.iter().filter(|_| rng.random_bool(0.1)).collect();
    let mut record = AttemptHistory::default();
    for index in 0..JOBS {
        let job = JobId::from(format!("j{index}"));
        let poison = rng.random_bool(0.1);
        let mut failed_on: Vec<InstanceName> = Vec::new();
        let mut judged = false;
        for _ in 0..MAX_ATTEMPTS {
            let usable: Vec<&InstanceName> = names
                .iter()
                .filter(|name| !record.is_worker_at_fault(name) && !failed_on.contains(name))
                .collect();
            let Some(worker) = usable.choose(&mut rng) else { break };
            let fails = poison || bad.contains(*worker) || rng.random_bool(CHANCE);
            record.record(worker, &job, !fails);
            if !fails {
                break;
            }
            failed_on.push((*worker).clone());
            if record.is_job_at_fault(&failed_on) {
                judged = true;
                break;
            }
        }
        jobs.count(judged, poison);
    }
    for name in &names {
        workers.count(record.is_worker_at_fault(name), bad.contains(name));
    }
}

pub fn run() -> Vec<Bound> {
    let (mut workers, mut jobs) = (Tally::default(), Tally::default());
    (0..RUNS).for_each(|seed| simulate(seed, &mut workers, &mut jobs));
    println!("\nblame: a tenth of {JOBS} jobs and of {WORKERS} workers at fault, {RUNS} mixes");
    println!("{:>10} {:>10} {:>8}", "", "precision", "recall");
    for (name, tally) in [("workers", &workers), ("jobs", &jobs)] {
        println!("{name:>10} {:>10.3} {:>8.3}", tally.precision(), tally.recall());
    }
    vec![
        Bound::at_least("precision of blame on workers", workers.precision(), 0.95),
        Bound::at_least("recall of blame on workers", workers.recall(), 0.95),
        Bound::at_least("precision of blame on jobs", jobs.precision(), 0.95),
        Bound::at_least("recall of blame on jobs", jobs.recall(), 0.95),
    ]
}
