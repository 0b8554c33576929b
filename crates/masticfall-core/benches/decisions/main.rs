//! Compares decisions under load with baselines, in simulated time with fixed seeds.
//!
//! Prints one table per module and exits with status 1 when a value violates
//! its required bound.

mod blame;
mod bursts;
mod limits;
mod owner;
mod retries;

use rand::Rng;
use rand::rngs::StdRng;

/// A measured value and the bound that it must satisfy.
struct Bound {
    name: &'static str,
    value: f64,
    limit: f64,
    at_most: bool,
}

impl Bound {
    fn at_most(name: &'static str, value: f64, limit: f64) -> Self {
        Self { name, value, limit, at_most: true }
    }

    fn at_least(name: &'static str, value: f64, limit: f64) -> Self {
        Self { name, value, limit, at_most: false }
    }

    fn holds(&self) -> bool {
        if self.at_most { self.value <= self.limit } else { self.value >= self.limit }
    }
}

fn main() {
    let bounds =
        [limits::run(), bursts::run(), retries::run(), blame::run(), owner::run()].concat_all();
    let mut failed = false;
    for bound in &bounds {
        let comparison = if bound.at_most { "at most" } else { "at least" };
        let status = if bound.holds() { "ok    " } else { "FAILED" };
        println!("{status} {}: {:.3}, {comparison} {:.3}", bound.name, bound.value, bound.limit);
        failed |= !bound.holds();
    }
    if failed {
        std::process::exit(1);
    }
}

/// Draws from the exponential distribution with the given mean.
fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln()
}

/// Concatenates lists of bounds.
trait ConcatAll {
    fn concat_all(self) -> Vec<Bound>;
}

impl<const N: usize> ConcatAll for [Vec<Bound>; N] {
    fn concat_all(self) -> Vec<Bound> {
        self.into_iter().flatten().collect()
    }
}
