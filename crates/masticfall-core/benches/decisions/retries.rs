//! Retries: load added while a third of the targets fails everything.

use masticfall_core::id::InstanceName;
use masticfall_core::routing::{Outcome, RetryBudget, TargetTable};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::Bound;

const TARGETS: usize = 12;
const FAILING: usize = 4;
const REQUESTS: u64 = 200_000;
const REQUESTS_PER_MS: u64 = 2;

fn target(index: usize) -> InstanceName {
    InstanceName::from(format!("t{index}"))
}

/// Runs requests; returns attempts and requests that failed in the end.
fn simulate(budgeted: bool, ejecting: bool) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(5);
    let mut table = TargetTable::default();
    (0..TARGETS).for_each(|index| table.entry(&target(index)).slots = 8);
    let failing: Vec<InstanceName> = (0..FAILING).map(target).collect();
    let mut budget = RetryBudget::default();
    let (mut attempts, mut failed) = (0, 0);
    for request in 0..REQUESTS {
        let now_ms = request / REQUESTS_PER_MS;
        budget.earn();
        let mut avoid = None;
        for attempt in 0..4 {
            attempts += 1;
            let draw = |below: usize| rng.random_range(0..below);
            let Some(name) = table.acquire(now_ms, avoid.as_ref(), draw) else { break };
            let ok = !failing.contains(&name);
            let learnt = match (ok, ejecting) {
                (true, _) => Outcome::Success,
                (false, true) => Outcome::Failure,
                (false, false) => Outcome::Neutral,
            };
            table.release(&name, learnt, now_ms);
            if ok {
                break;
            }
            avoid = Some(name);
            if attempt == 3 || (budgeted && !budget.spend()) {
                failed += 1;
                break;
            }
        }
    }
    (attempts, failed)
}

pub fn run() -> Vec<Bound> {
    println!("\nretries: {FAILING} of {TARGETS} targets fail everything, {REQUESTS} requests");
    println!("{:>30} {:>13} {:>10}", "", "added load %", "failed %");
    let mut bounds = Vec::new();
    let ways = [
        ("budget and ejection", true, true),
        ("budget only", true, false),
        ("three retries, no ejection", false, false),
    ];
    for (name, budgeted, ejecting) in ways {
        let (attempts, failed) = simulate(budgeted, ejecting);
        let added = 100.0 * (attempts - REQUESTS) as f64 / REQUESTS as f64;
        println!("{name:>30} {added:>13.2} {:>10.3}", 100.0 * failed as f64 / REQUESTS as f64);
        if budgeted && ejecting {
            bounds.push(Bound::at_most("load added by retries, %", added, 10.0));
        }
    }
    bounds
}
