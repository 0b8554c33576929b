//! Bursts: the deadline-aware fair queue beside an unbounded FIFO queue.
//!
//! Ten targets of eight slots. Demand is half of the capacity, and five times
//! that for five seconds. Goodput counts answers within the deadline.

use std::collections::VecDeque;

use masticfall_core::id::TeamName;
use masticfall_core::share::{FairQueue, QueuedRequest, can_meet_deadline};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::{Bound, exponential};

const SLOTS: u32 = 80;
const HOLD_MS: f64 = 50.0;
const DEADLINE_MS: u64 = 1_000;
const MEAN_LOAD: f64 = 0.5;
const BURST: f64 = 5.0;
const BURST_FROM_MS: u64 = 5_000;
const BURST_TO_MS: u64 = 10_000;
const LENGTH_MS: u64 = 20_000;
/// Time for which the slots are full before goodput is counted, in milliseconds.
const FILL_MS: u64 = 500;
/// Wait at which the pool counts as recovered, in milliseconds.
const RECOVERED_MS: u64 = 50;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    FairByDeadline,
    Fifo,
}

#[derive(Debug, Default)]
struct Counts {
    good_in_burst: u64,
    late: u64,
    refused: u64,
    longest_refusal_ms: u64,
    recovered_ms: u64,
}

struct Request {
    arrived_ms: u64,
}

struct Model {
    way: Way,
    rng: StdRng,
    fair: FairQueue,
    fifo: VecDeque<u64>,
    requests: Vec<Request>,
    /// End and arrival of the requests that run.
    running: Vec<(u64, u64)>,
    mean_hold_ms: f64,
    counts: Counts,
}

impl Model {
    fn new(way: Way) -> Self {
        Self {
            way,
            rng: StdRng::seed_from_u64(3),
            fair: FairQueue::new(1_000),
            fifo: VecDeque::new(),
            requests: Vec::new(),
            running: Vec::new(),
            mean_hold_ms: HOLD_MS,
            counts: Counts::default(),
        }
    }

    fn step(&mut self, now_ms: u64) {
        self.finish(now_ms);
        let in_burst = (BURST_FROM_MS..BURST_TO_MS).contains(&now_ms);
        let load = MEAN_LOAD * if in_burst { BURST } else { 1.0 };
        let per_ms = f64::from(SLOTS) / HOLD_MS * load;
        let whole = per_ms as u64 + u64::from(self.rng.random_bool(per_ms.fract()));
        for _ in 0..whole {
            self.arrive(now_ms);
        }
        self.start(now_ms);
    }

    fn finish(&mut self, now_ms: u64) {
        let ended: Vec<(u64, u64)> =
            self.running.iter().filter(|(end_ms, _)| *end_ms <= now_ms).copied().collect();
        self.running.retain(|(end_ms, _)| *end_ms > now_ms);
        for (_, arrived_ms) in ended {
            let good = now_ms - arrived_ms <= DEADLINE_MS;
            let counted = (BURST_FROM_MS + FILL_MS..BURST_TO_MS).contains(&now_ms);
            self.counts.good_in_burst += u64::from(good && counted);
            self.counts.late += u64::from(!good);
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let ticket = self.requests.len() as u64;
        self.requests.push(Request { arrived_ms: now_ms });
        if self.way == Way::Fifo {
            self.fifo.push_back(ticket);
            return;
        }
        let deadline_ms = now_ms + DEADLINE_MS;
        let in_time = can_meet_deadline(self.fair.len(), SLOTS, self.mean_hold_ms, DEADLINE_MS);
        let team = TeamName::from(if ticket.is_multiple_of(4) { "red" } else { "blue" });
        if !in_time || !self.fair.push(&team, 1.0, QueuedRequest { ticket, deadline_ms }) {
            self.counts.refused += 1;
        }
    }

    fn start(&mut self, now_ms: u64) {
        let mut dead = Vec::new();
        while self.running.len() < SLOTS as usize {
            let next = match self.way {
                Way::Fifo => self.fifo.pop_front(),
                Way::FairByDeadline => self.fair.pop(now_ms, &mut dead),
            };
            let Some(ticket) = next else { break };
            let arrived_ms = self.requests[ticket as usize].arrived_ms;
            let hold_ms = exponential(&mut self.rng, HOLD_MS);
            self.mean_hold_ms += (hold_ms - self.mean_hold_ms) * 0.05;
            self.running.push((now_ms + hold_ms as u64 + 1, arrived_ms));
            if now_ms >= BURST_TO_MS && now_ms - arrived_ms > RECOVERED_MS {
                self.counts.recovered_ms = now_ms - BURST_TO_MS;
            }
        }
        for ticket in dead {
            self.counts.refused += 1;
            let waited_ms = now_ms - self.requests[ticket as usize].arrived_ms;
            self.counts.longest_refusal_ms = self.counts.longest_refusal_ms.max(waited_ms);
        }
    }
}

pub fn run() -> Vec<Bound> {
    println!("\nbursts: 80 slots, 2.5 times their capacity for 5 s, deadline {DEADLINE_MS} ms");
    println!(
        "{:>15} {:>11} {:>7} {:>8} {:>13}",
        "", "goodput %", "late", "refused", "recovered ms"
    );
    let mut bounds = Vec::new();
    for way in [Way::FairByDeadline, Way::Fifo] {
        let mut model = Model::new(way);
        (0..LENGTH_MS).for_each(|now_ms| model.step(now_ms));
        let counts = &model.counts;
        let seconds = (BURST_TO_MS - BURST_FROM_MS - FILL_MS) as f64 / 1_000.0;
        // A request holds its slot for the millisecond in which it ends, too.
        let capacity = f64::from(SLOTS) / (HOLD_MS + 0.5) * 1_000.0 * seconds;
        let goodput = 100.0 * counts.good_in_burst as f64 / capacity;
        println!(
            "{:>15} {:>11.1} {:>7} {:>8} {:>13}",
            format!("{way:?}"),
            goodput,
            counts.late,
            counts.refused,
            counts.recovered_ms
        );
        if way == Way::FairByDeadline {
            let recovered = counts.recovered_ms as f64;
            bounds.push(Bound::at_least("goodput in a burst, % of capacity", goodput, 95.0));
            bounds.push(Bound::at_most("waiting recovers after a burst, ms", recovered, 1_000.0));
        }
    }
    bounds
}
