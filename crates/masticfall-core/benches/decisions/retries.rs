//! Retries: load added while a third of the targets fail every request.

use masticfall_core::id::InstanceName;
use masticfall_core::routing::{Outcome, RetryBudget, TargetTable};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::Bound;

const TARGETS: usize = 12;
const FAILING_TARGETS: usize = 4;
const REQUESTS: u64 = 200_000;
const REQUESTS_PER_MS: u64 = 2;

fn target_name(index: usize) -> InstanceName {
    InstanceName::from(format!("t{index}"))
}

/// Returns the number of attempts, and of requests that failed after all retries.
fn simulate(with_budget: bool, with_ejection: bool) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(5);
    let mut table = TargetTable::default();
    (0..TARGETS).for_each(|index| table.entry(&target_name(index)).slots = 8);
    let failing: Vec<InstanceName> = (0..FAILING_TARGETS).map(target_name).collect();
    let mut budget = RetryBudget::default();
    let (mut attempts, mut failed) = (0, 0);
    for request in 0..REQUESTS {
        let now_ms = request / REQUESTS_PER_MS;
        budget.earn();
        let mut excluded = None;
        for attempt in 0..4 {
            attempts += 1;
            let draw = |below: usize| rng.random_range(0..below);
            let Some(name) = table.acquire(now_ms, excluded.as_ref(), draw) else { break };
            let is_success = !failing.contains(&name);
            let outcome = match (is_success, with_ejection) {
                (true, _) => Outcome::Success,
                (false, true) => Outcome::Failure,
                (false, false) => Outcome::Neutral,
            };
            table.release(&name, outcome, now_ms);
            if is_success {
                break;
            }
            excluded = Some(name);
            if attempt == 3 || (with_budget && !budget.spend()) {
                failed += 1;
                break;
            }
        }
    }
    (attempts, failed)
}

pub fn run() -> Vec<Bound> {
    println!(
        "\nretries: {FAILING_TARGETS} of {TARGETS} targets fail everything, {REQUESTS} requests"
    );
    println!("{:>30} {:>13} {:>10}", "", "added load %", "failed %");
    let mut bounds = Vec::new();
    let strategies = [
        ("budget and ejection", true, true),
        ("budget only", true, false),
        ("three retries, no ejection", false, false),
    ];
    for (name, with_budget, with_ejection) in strategies {
        let (attempts, failed) = simulate(with_budget, with_ejection);
        let added_percent = 100.0 * (attempts - REQUESTS) as f64 / REQUESTS as f64;
        println!(
            "{name:>30} {added_percent:>13.2} {:>10.3}",
            100.0 * failed as f64 / REQUESTS as f64
        );
        if with_budget && with_ejection {
            bounds.push(Bound::at_most("load added by retries, %", added_percent, 10.0));
        }
    }
    bounds
}
