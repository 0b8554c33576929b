//! Limits: escrow, compared with a static split and a central counter.
//!
//! Nine processes run in three data centres. Arrivals are skewed across the
//! processes, and the skew rotates every twenty seconds. A request waits up to a
//! second for a unit, as in the entry process.

use std::collections::VecDeque;

use masticfall_core::escrow::{Claim, GrantRow, LocalGrant};
use masticfall_core::id::{DataCentre, Incarnation};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::{Bound, exponential};

const PROCESSES: usize = 9;
const DATA_CENTRES: usize = 3;
const LIMIT: u32 = 90;
const STEP_MS: u64 = 5;
const DURATION_MS: u64 = 300_000;
const SKEW_PERIOD_MS: u64 = 20_000;
const MEAN_HOLD_MS: f64 = 500.0;
const MAX_WAIT_MS: u64 = 1_000;
const CLAIM_INTERVAL_MS: u64 = 200;
const MIN_CLAIM_INTERVAL_MS: u64 = 20;
/// Minimum time between two contention reports of a process, in milliseconds.
const MIN_CONTENTION_REPORT_INTERVAL_MS: u64 = 500;

/// How units are granted to processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Escrow,
    StaticSplit,
    CentralCounter,
}

struct Process {
    name: Incarnation,
    data_centre: DataCentre,
    grant: LocalGrant,
    waiting: VecDeque<u64>,
    /// End time of each running request.
    running: Vec<u64>,
    next_claim_ms: u64,
    next_contention_report_ms: u64,
}

/// Totals of one run.
#[derive(Debug, Default)]
struct Counts {
    arrived: u64,
    refused: u64,
    refused_with_free_units: u64,
    writes: u64,
    max_running: usize,
}

struct Model {
    strategy: Strategy,
    rng: StdRng,
    row: GrantRow,
    processes: Vec<Process>,
    counts: Counts,
}

impl Model {
    fn new(strategy: Strategy) -> Self {
        let processes = (0..PROCESSES).map(|index| Process {
            name: Incarnation::from(format!("p{index}")),
            data_centre: DataCentre::from(format!("d{}", index % DATA_CENTRES)),
            grant: LocalGrant::default(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            next_claim_ms: 0,
            next_contention_report_ms: 0,
        });
        Self {
            strategy,
            rng: StdRng::seed_from_u64(7),
            row: GrantRow::default(),
            processes: processes.collect(),
            counts: Counts::default(),
        }
    }

    fn running(&self) -> usize {
        self.processes.iter().map(|process| process.running.len()).sum()
    }

    fn step(&mut self, now_ms: u64, load: f64) {
        for process in &mut self.processes {
            let before = process.running.len();
            process.running.retain(|end_ms| *end_ms > now_ms);
            for _ in process.running.len()..before {
                process.grant.release();
            }
        }
        for index in 0..PROCESSES {
            self.arrive(index, now_ms, load);
            self.serve(index, now_ms);
            self.claim(index, now_ms);
        }
        self.counts.max_running = self.counts.max_running.max(self.running());
    }

    fn arrive(&mut self, index: usize, now_ms: u64, load: f64) {
        let rotation = (now_ms / SKEW_PERIOD_MS) as usize;
        let rank = (index + rotation) % PROCESSES + 1;
        let total: f64 = (1..=PROCESSES).map(|rank| 1.0 / rank as f64).sum();
        let weight = 1.0 / rank as f64 / total;
        let arrivals_per_step = f64::from(LIMIT) * load / MEAN_HOLD_MS * STEP_MS as f64 * weight;
        if self.rng.random_bool(arrivals_per_step.min(1.0)) {
            self.counts.arrived += 1;
            self.processes[index].waiting.push_back(now_ms);
        }
    }

    fn serve(&mut self, index: usize, now_ms: u64) {
        let running = self.running();
        let mut free_units = LIMIT as usize - running.min(LIMIT as usize);
        let process = &mut self.processes[index];
        while let Some(arrived_ms) = process.waiting.front().copied() {
            let usable_units = match self.strategy {
                Strategy::Escrow => process.grant.units.total(),
                Strategy::StaticSplit => LIMIT / PROCESSES as u32,
                Strategy::CentralCounter if free_units > 0 => u32::MAX,
                Strategy::CentralCounter => 0,
            };
            if process.grant.try_acquire(usable_units) {
                process.waiting.pop_front();
                let hold_ms = exponential(&mut self.rng, MEAN_HOLD_MS);
                process.running.push(now_ms + hold_ms as u64 + 1);
                free_units = free_units.saturating_sub(1);
                // One row is written on admission and one when the request ends.
                self.counts.writes += if self.strategy == Strategy::CentralCounter { 2 } else { 0 };
                continue;
            }
            process.next_claim_ms = process.next_claim_ms.min(now_ms + MIN_CLAIM_INTERVAL_MS);
            if now_ms < arrived_ms + MAX_WAIT_MS {
                return;
            }
            process.waiting.pop_front();
            self.counts.refused += 1;
            self.counts.refused_with_free_units += u64::from(free_units > 0);
        }
    }

    fn claim(&mut self, index: usize, now_ms: u64) {
        let process = &mut self.processes[index];
        if self.strategy != Strategy::Escrow || now_ms < process.next_claim_ms {
            return;
        }
        process.next_claim_ms = now_ms + CLAIM_INTERVAL_MS;
        let claim = Claim {
            limit: LIMIT,
            data_centres: DATA_CENTRES as u32,
            peers_in_data_centre: (PROCESSES / DATA_CENTRES) as u32,
            base_percent: 50,
            wanted: process.grant.wanted(LIMIT),
        };
        if !process.grant.should_claim(&claim) {
            return;
        }
        let before = self.row.units(&process.name);
        let after = self.row.claim(&process.name, &process.data_centre, &claim);
        self.counts.writes += u64::from(after != before);
        process.grant.adopt(after, true);
        if after.total() < claim.wanted && now_ms >= process.next_contention_report_ms {
            process.next_contention_report_ms = now_ms + MIN_CONTENTION_REPORT_INTERVAL_MS;
            self.report_contention(index, now_ms);
        }
    }
}

impl Model {
    /// Reports to the other processes that this one lacks units.
    fn report_contention(&mut self, index: usize, now_ms: u64) {
        for (other, process) in self.processes.iter_mut().enumerate() {
            if other != index {
                process.grant.note_contention();
                process.next_claim_ms = process.next_claim_ms.min(now_ms + MIN_CLAIM_INTERVAL_MS);
            }
        }
    }
}

fn simulate(strategy: Strategy, load: f64) -> Counts {
    let mut model = Model::new(strategy);
    for step in 0..DURATION_MS / STEP_MS {
        model.step(step * STEP_MS, load);
    }
    assert!(model.counts.max_running <= LIMIT as usize, "{strategy:?} exceeded the limit");
    model.counts
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

pub fn run() -> Vec<Bound> {
    println!("limits: 9 processes, limit {LIMIT}, skewed arrivals, 300 s");
    println!(
        "{:>15} {:>6} {:>10} {:>18} {:>9}",
        "", "load", "refused %", "with room, % of all", "writes/s"
    );
    let mut bounds = Vec::new();
    for load in [0.5, 0.8, 1.5] {
        for strategy in [Strategy::Escrow, Strategy::StaticSplit, Strategy::CentralCounter] {
            let counts = simulate(strategy, load);
            let with_free_units_percent = percent(counts.refused_with_free_units, counts.arrived);
            let writes_per_s = counts.writes as f64 / (DURATION_MS as f64 / 1_000.0);
            println!(
                "{:>15} {:>6} {:>10.2} {:>18.2} {:>9.1}",
                format!("{strategy:?}"),
                load,
                percent(counts.refused, counts.arrived),
                with_free_units_percent,
                writes_per_s
            );
            if strategy == Strategy::Escrow && load < 1.0 {
                bounds.push(Bound::at_most(
                    "refusals with room at steady load, %",
                    with_free_units_percent,
                    1.0,
                ));
            }
        }
    }
    bounds
}
