//! Limits: escrow beside a static split and a central counter.
//!
//! Nine processes in three data centres, arrivals skewed over the processes,
//! with the skew moving on every twenty seconds. A request waits up to a second
//! for a unit, as in the entry process.

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
const LENGTH_MS: u64 = 300_000;
const SKEW_MS: u64 = 20_000;
const HOLD_MS: f64 = 500.0;
const WAIT_MS: u64 = 1_000;
const CLAIM_MS: u64 = 200;
const MIN_CLAIM_GAP_MS: u64 = 20;
/// Shortest time between two messages that units are wanted, in milliseconds.
const PRESS_MS: u64 = 500;

/// How units are given out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Escrow,
    StaticSplit,
    CentralCounter,
}

/// One process.
struct Process {
    name: Incarnation,
    data_centre: DataCentre,
    account: LocalGrant,
    waiting: VecDeque<u64>,
    /// When the requests that run end.
    running: Vec<u64>,
    next_claim_ms: u64,
    next_press_ms: u64,
}

/// What a run counted.
#[derive(Debug, Default)]
struct Counts {
    arrived: u64,
    refused: u64,
    refused_with_room: u64,
    writes: u64,
    most_running: usize,
}

struct Model {
    way: Way,
    rng: StdRng,
    row: GrantRow,
    processes: Vec<Process>,
    counts: Counts,
}

impl Model {
    fn new(way: Way) -> Self {
        let processes = (0..PROCESSES).map(|index| Process {
            name: Incarnation::from(format!("p{index}")),
            data_centre: DataCentre::from(format!("d{}", index % DATA_CENTRES)),
            account: LocalGrant::default(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            next_claim_ms: 0,
            next_press_ms: 0,
        });
        Self {
            way,
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
                process.account.release();
            }
        }
        for index in 0..PROCESSES {
            self.arrive(index, now_ms, load);
            self.serve(index, now_ms);
            self.claim(index, now_ms);
        }
        self.counts.most_running = self.counts.most_running.max(self.running());
    }

    fn arrive(&mut self, index: usize, now_ms: u64, load: f64) {
        let turn = (now_ms / SKEW_MS) as usize;
        let rank = (index + turn) % PROCESSES + 1;
        let total: f64 = (1..=PROCESSES).map(|rank| 1.0 / rank as f64).sum();
        let weight = 1.0 / rank as f64 / total;
        let per_step = f64::from(LIMIT) * load / HOLD_MS * STEP_MS as f64 * weight;
        if self.rng.random_bool(per_step.min(1.0)) {
            self.counts.arrived += 1;
            self.processes[index].waiting.push_back(now_ms);
        }
    }

    fn serve(&mut self, index: usize, now_ms: u64) {
        let running = self.running();
        let mut room = LIMIT as usize - running.min(LIMIT as usize);
        let process = &mut self.processes[index];
        while let Some(since_ms) = process.waiting.front().copied() {
            let usable = match self.way {
                Way::Escrow => process.account.units.total(),
                Way::StaticSplit => LIMIT / PROCESSES as u32,
                Way::CentralCounter if room > 0 => u32::MAX,
                Way::CentralCounter => 0,
            };
            if process.account.try_acquire(usable) {
                process.waiting.pop_front();
                let hold_ms = exponential(&mut self.rng, HOLD_MS);
                process.running.push(now_ms + hold_ms as u64 + 1);
                room = room.saturating_sub(1);
                // One row on admission, and one when the request ends.
                self.counts.writes += if self.way == Way::CentralCounter { 2 } else { 0 };
                continue;
            }
            process.next_claim_ms = process.next_claim_ms.min(now_ms + MIN_CLAIM_GAP_MS);
            if now_ms < since_ms + WAIT_MS {
                return;
            }
            process.waiting.pop_front();
            self.counts.refused += 1;
            self.counts.refused_with_room += u64::from(room > 0);
        }
    }

    fn claim(&mut self, index: usize, now_ms: u64) {
        let process = &mut self.processes[index];
        if self.way != Way::Escrow || now_ms < process.next_claim_ms {
            return;
        }
        process.next_claim_ms = now_ms + CLAIM_MS;
        let claim = Claim {
            limit: LIMIT,
            data_centres: DATA_CENTRES as u32,
            peers_in_data_centre: (PROCESSES / DATA_CENTRES) as u32,
            base_percent: 50,
            wanted: process.account.wanted(LIMIT),
        };
        if !process.account.should_claim(&claim) {
            return;
        }
        let before = self.row.units(&process.name);
        let after = self.row.claim(&process.name, &process.data_centre, &claim);
        self.counts.writes += u64::from(after != before);
        process.account.adopt(after, true);
        if after.total() < claim.wanted && now_ms >= process.next_press_ms {
            process.next_press_ms = now_ms + PRESS_MS;
            self.press_others(index, now_ms);
        }
    }
}

impl Model {
    /// Tells the other processes that this one lacks units.
    fn press_others(&mut self, index: usize, now_ms: u64) {
        for (other, process) in self.processes.iter_mut().enumerate() {
            if other != index {
                process.account.note_contention();
                process.next_claim_ms = process.next_claim_ms.min(now_ms + MIN_CLAIM_GAP_MS);
            }
        }
    }
}

fn simulate(way: Way, load: f64) -> Counts {
    let mut model = Model::new(way);
    for step in 0..LENGTH_MS / STEP_MS {
        model.step(step * STEP_MS, load);
    }
    assert!(model.counts.most_running <= LIMIT as usize, "{way:?} broke the limit");
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
        for way in [Way::Escrow, Way::StaticSplit, Way::CentralCounter] {
            let counts = simulate(way, load);
            let with_room = percent(counts.refused_with_room, counts.arrived);
            let writes = counts.writes as f64 / (LENGTH_MS as f64 / 1_000.0);
            println!(
                "{:>15} {:>6} {:>10.2} {:>18.2} {:>9.1}",
                format!("{way:?}"),
                load,
                percent(counts.refused, counts.arrived),
                with_room,
                writes
            );
            if way == Way::Escrow && load < 1.0 {
                bounds.push(Bound::at_most("refusals with room at steady load, %", with_room, 1.0));
            }
        }
    }
    bounds
}
