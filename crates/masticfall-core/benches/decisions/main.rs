//! Decisions under load beside baselines, on simulated time with fixed seeds.
//!
//! Prints one table for each matter and ends with an error when a figure breaks
//! a bound of the stated target.

mod blame;
mod bursts;
mod limits;
mod retries;

use rand::Rng;
use rand::rngs::StdRng;

/// A figure with the bound it has to keep.
struct Bound {
    name: &'static str,
    figure: f64,
    limit: f64,
    at_most: bool,
}

impl Bound {
    fn at_most(name: &'static str, figure: f64, limit: f64) -> Self {
        Self { name, figure, limit, at_most: true }
    }

    fn at_least(name: &'static str, figure: f64, limit: f64) -> Self {
        Self { name, figure, limit, at_most: false }
    }

    fn holds(&self) -> bool {
        if self.at_most { self.figure <= self.limit } else { self.figure >= self.limit }
    }
}

fn main() {
    let bounds = [limits::run(), bursts::run(), retries::run(), blame::run()].concat_all();
    let mut failed = false;
    for bound in &bounds {
        let word = if bound.at_most { "at most" } else { "at least" };
        let verdict = if bound.holds() { "ok    " } else { "FAILED" };
        println!("{verdict} {}: {:.3}, {word} {:.3}", bound.name, bound.figure, bound.limit);
        failed |= !bound.holds();
    }
    if failed {
        std::process::exit(1);
    }
}

/// Draws from the exponential distribution with a mean.
fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln()
}

/// Joins lists of bounds.
trait ConcatAll {
    fn concat_all(self) -> Vec<Bound>;
}

impl<const N: usize> ConcatAll for [Vec<Bound>; N] {
    fn concat_all(self) -> Vec<Bound> {
        self.into_iter().flatten().collect()
    }
}
