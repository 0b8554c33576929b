//! Bursts: the deadline-aware fair queue, compared with an unbounded FIFO queue.
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
const MEAN_HOLD_MS: f64 = 50.0;
const DEADLINE_MS: u64 = 1_000;
/// Demand outside the burst, as a fraction of the capacity.
const MEAN_LOAD: f64 = 0.5;
const BURST_FACTOR: f64 = 5.0;
const BURST_START_MS: u64 = 5_000;
const BURST_END_MS: u64 = 10_000;
const DURATION_MS: u64 = 20_000;
/// Time from the start of the burst until goodput is counted, so that all slots are
/// in use, in milliseconds.
const RAMP_UP_MS: u64 = 500;
/// Longest wait at which the pool counts as recovered, in milliseconds.
const RECOVERED_WAIT_MS: u64 = 50;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    FairByDeadline,
    Fifo,
}

#[derive(Debug, Default)]
struct Counts {
    in_time_in_burst: u64,
    late: u64,
    refused: u64,
    max_refusal_wait_ms: u64,
    recovery_ms: u64,
}

struct Request {
    arrived_ms: u64,
}

struct Model {
    strategy: Strategy,
    rng: StdRng,
    fair: FairQueue,
    fifo: VecDeque<u64>,
    requests: Vec<Request>,
    /// End and arrival time of each running request.
    running: Vec<(u64, u64)>,
    mean_hold_ms: f64,
    counts: Counts,
}

impl Model {
    fn new(strategy: Strategy) -> Self {
        Self {
            strategy,
            rng: StdRng::seed_from_u64(3),
            fair: FairQueue::new(1_000),
            fifo: VecDeque::new(),
            requests: Vec::new(),
            running: Vec::new(),
            mean_hold_ms: MEAN_HOLD_MS,
            counts: Counts::default(),
        }
    }

    fn step(&mut self, now_ms: u64) {
        self.finish(now_ms);
        let in_burst = (BURST_START_MS..BURST_END_MS).contains(&now_ms);
        let load = MEAN_LOAD * if in_burst { BURST_FACTOR } else { 1.0 };
        let arrivals_per_ms = f64::from(SLOTS) / MEAN_HOLD_MS * load;
        let arrivals =
            arrivals_per_ms as u64 + u64::from(self.rng.random_bool(arrivals_per_ms.fract()));
        for _ in 0..arrivals {
            self.arrive(now_ms);
        }
        self.start(now_ms);
    }

    fn finish(&mut self, now_ms: u64) {
        let ended: Vec<(u64, u64)> =
            self.running.iter().filter(|(end_ms, _)| *end_ms <= now_ms).copied().collect();
        self.running.retain(|(end_ms, _)| *end_ms > now_ms);
        for (_, arrived_ms) in ended {
            let in_time = now_ms - arrived_ms <= DEADLINE_MS;
            let is_counted = (BURST_START_MS + RAMP_UP_MS..BURST_END_MS).contains(&now_ms);
            self.counts.in_time_in_burst += u64::from(in_time && is_counted);
            self.counts.late += u64::from(!in_time);
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let ticket = self.requests.len() as u64;
        self.requests.push(Request { arrived_ms: now_ms });
        if self.strategy == Strategy::Fifo {
            self.fifo.push_back(ticket);
            return;
        }
        let deadline_ms = now_ms + DEADLINE_MS;
        let meets_deadline =
            can_meet_deadline(self.fair.len(), SLOTS, self.mean_hold_ms, DEADLINE_MS);
        let team = TeamName::from(if ticket.is_multiple_of(4) { "red" } else { "blue" });
        if !meets_deadline || !self.fair.push(&team, 1.0, QueuedRequest { ticket, deadline_ms }) {
            self.counts.refused += 1;
        }
    }

    fn start(&mut self, now_ms: u64) {
        let mut expired = Vec::new();
        while self.running.len() < SLOTS as usize {
            let next = match self.strategy {
                Strategy::Fifo => self.fifo.pop_front(),
                Strategy::FairByDeadline => self.fair.pop(now_ms, &mut expired),
            };
            let Some(ticket) = next else { break };
            let arrived_ms = self.requests[ticket as usize].arrived_ms;
            let hold_ms = exponential(&mut self.rng, MEAN_HOLD_MS);
            self.mean_hold_ms += (hold_ms - self.mean_hold_ms) * 0.05;
            self.running.push((now_ms + hold_ms as u64 + 1, arrived_ms));
            if now_ms >= BURST_END_MS && now_ms - arrived_ms > RECOVERED_WAIT_MS {
                self.counts.recovery_ms = now_ms - BURST_END_MS;
            }
        }
        for ticket in expired {
            self.counts.refused += 1;
            let waited_ms = now_ms - self.requests[ticket as usize].arrived_ms;
            self.counts.max_refusal_wait_ms = self.counts.max_refusal_wait_ms.max(waited_ms);
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
    for strategy in [Strategy::FairByDeadline, Strategy::Fifo] {
        let mut model = Model::new(strategy);
        (0..DURATION_MS).for_each(|now_ms| model.step(now_ms));
        let counts = &model.counts;
        let seconds = (BURST_END_MS - BURST_START_MS - RAMP_UP_MS) as f64 / 1_000.0;
        // Hold times are rounded up to whole milliseconds, which adds 0.5 ms on average.
        let capacity = f64::from(SLOTS) / (MEAN_HOLD_MS + 0.5) * 1_000.0 * seconds;
        let goodput = 100.0 * counts.in_time_in_burst as f64 / capacity;
        println!(
            "{:>15} {:>11.1} {:>7} {:>8} {:>13}",
            format!("{strategy:?}"),
            goodput,
            counts.late,
            counts.refused,
            counts.recovery_ms
        );
        if strategy == Strategy::FairByDeadline {
            let recovery_ms = counts.recovery_ms as f64;
            bounds.push(Bound::at_least("goodput in a burst, % of capacity", goodput, 95.0));
            bounds.push(Bound::at_most("waiting recovers after a burst, ms", recovery_ms, 1_000.0));
        }
    }
    bounds
}
