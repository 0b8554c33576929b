//! Faults that befall the cell's owner: it is cut off from workers or from the store, suspended
//! or terminated, so that it is replaced while it still works or while its calls are under way.

use std::io;
use std::ops::Range;
use std::time::Duration;

use futures_util::future::{join, join_all};
use masticfall_core::id::Name;
use masticfall_entry::fleet::rows::{LEAD_TABLE, OWNER_KEY, OwnerRow, cell_row_key, decode_row};
use masticfall_platform::fleet::{RowKey, RowRange};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use super::{Plan, Testbed, WORKERS};
use crate::proxy::LinkMode;

/// Time between two series of faults, in milliseconds.
const PAUSE_MS: Range<u64> = 200..1_500;

/// Time from the start of a series until one of its faults, in milliseconds.
const DELAY_MS: Range<u64> = 0..900;

/// Time for which an owner is cut off from the store or suspended, in milliseconds: longer than
/// a candidate waits for a heartbeat (1,500), and beyond the time after which an owner stops by
/// itself (6,000).
const ABSENCE_MS: Range<u64> = 1_900..7_000;

/// Time for which workers are cut off by a network that loses data, in milliseconds.
const LOSS_MS: Range<u64> = 500..9_000;

/// Time for which workers are cut off by a network that holds data, in milliseconds. A start
/// order that is held this long after an owner's last confirmed write still meets the limit on
/// starts under an evacuation.
const HOLD_MS: Range<u64> = 500..4_500;

/// Time from a takeover until the new owner is terminated, in milliseconds.
const TERMINATION_MS: Range<u64> = 0..800;

/// Time for which a takeover is waited for, in milliseconds.
const TAKEOVER_TIMEOUT_MS: u64 = 3_500;

/// Probability that a series leaves some workers to the former owner.
const SOLE_PROBABILITY: f64 = 0.3;

/// Interval at which the owner is looked up, in milliseconds.
const LOOK_UP_MS: u64 = 20;

/// Modes of links that are cut by a network that loses data.
const LOSSES: [LinkMode; 3] = [LinkMode::Blackhole, LinkMode::DropToServer, LinkMode::DropToClient];

/// Modes of links that are cut by a network that holds data.
const HOLDS: [LinkMode; 3] = [LinkMode::Hold, LinkMode::HoldToServer, LinkMode::HoldToClient];

/// When a fault begins after the start of its series, and its duration, in milliseconds.
type Span = (u64, u64);

/// A cut of links to workers.
type WorkerCut = (Span, LinkMode, Vec<usize>);

/// A series of faults around a change of owners, which overlap.
#[derive(Debug)]
struct Series {
    /// Cut of the owner from the store.
    store_cut: Option<(Span, LinkMode)>,
    suspension: Option<Span>,
    /// Cut of the owner from workers.
    owner_cut: Option<WorkerCut>,
    /// Cut of all other processes from workers.
    others_cut: Option<WorkerCut>,
    /// Times from takeovers until the new owners are terminated, in milliseconds.
    terminations_ms: Vec<u64>,
}

impl Series {
    fn random(random: &mut StdRng) -> Self {
        let absence: Span = (random.random_range(DELAY_MS), random.random_range(ABSENCE_MS));
        let store_mode = random_mode(random).0;
        let (owner_cut, others_cut) = (random_cut(random), random_cut(random));
        let kind = random.random_range(0..4);
        // An owner that stays is terminated.
        let terminations = random.random_range(usize::from(kind == 3)..4);
        let series = Self {
            store_cut: (kind < 2).then_some((absence, store_mode)),
            suspension: (kind == 2).then_some(absence),
            owner_cut: random.random_bool(0.5).then_some(owner_cut),
            others_cut: random.random_bool(0.6).then_some(others_cut),
            terminations_ms: random_terminations(random, terminations),
        };
        if random.random_bool(SOLE_PROBABILITY) { Self::sole(random) } else { series }
    }

    /// Only the former owner reaches some workers, and it extends their leases for as long as
    /// it may, while its successors change.
    fn sole(random: &mut StdRng) -> Self {
        let store_cut = ((0, ABSENCE_MS.end), random_mode(random).0);
        let (_, _, workers) = random_cut(random);
        let others_cut = ((random.random_range(DELAY_MS), LOSS_MS.end), LOSSES[0], workers);
        let terminations = random.random_range(0..4);
        Self {
            store_cut: Some(store_cut),
            suspension: None,
            owner_cut: None,
            others_cut: Some(others_cut),
            terminations_ms: random_terminations(random, terminations),
        }
    }
}

/// Returns the mode of a link that is cut, and the time for which workers are cut off so.
fn random_mode(random: &mut StdRng) -> (LinkMode, Range<u64>) {
    let (modes, length_ms) =
        if random.random_bool(0.5) { (LOSSES, LOSS_MS) } else { (HOLDS, HOLD_MS) };
    (modes[random.random_range(0..modes.len())], length_ms)
}

fn random_cut(random: &mut StdRng) -> WorkerCut {
    let (mode, length_ms) = random_mode(random);
    let span = (random.random_range(DELAY_MS), random.random_range(length_ms));
    let probability = random.random_range(0.2..0.9);
    let workers = (0..WORKERS).filter(|_| random.random_bool(probability)).collect();
    (span, mode, workers)
}

fn random_terminations(random: &mut StdRng, count: usize) -> Vec<u64> {
    (0..count).map(|_| random.random_range(TERMINATION_MS)).collect()
}

/// A fault, which `set` begins and ends.
struct Fault<'a> {
    span: Span,
    name: String,
    set: Box<dyn Fn(bool) + Send + Sync + 'a>,
}

/// Faults so far, with the time since the start in milliseconds.
#[derive(Debug)]
struct Log {
    begun: Instant,
    faults: Mutex<Vec<(u64, String)>>,
}

impl Log {
    fn add(&self, fault: String) {
        self.faults.lock().push((self.begun.elapsed().as_millis() as u64, fault));
    }
}

impl Testbed {
    /// Plays series of faults around changes of owners until the duration has passed.
    pub(super) async fn play_owner_faults(&self, plan: &Plan) -> io::Result<Vec<(u64, String)>> {
        // Of their own, so that the other faults of kept seeds stay as they were.
        let mut random = StdRng::seed_from_u64(plan.seed ^ 0x0e4e);
        let log = Log { begun: Instant::now(), faults: Mutex::default() };
        let is_over = || log.begun.elapsed() >= Duration::from_millis(plan.length_ms);
        loop {
            sleep_ms(random.random_range(PAUSE_MS)).await;
            // A check that is due at the end of the other faults is made after all of them.
            while self.is_key_check_due() && !is_over() {
                sleep_ms(LOOK_UP_MS).await;
            }
            if is_over() {
                return Ok(log.faults.into_inner());
            }
            let _no_key_check = self.owner_faults.lock().await;
            // Whatever other faults have left, there are candidates for the cell.
            for process in &self.processes {
                process.lock().start()?;
                process.lock().signal(Signal::CONT);
            }
            self.play_series(Series::random(&mut random), &log).await;
        }
    }

    async fn play_series(&self, series: Series, log: &Log) {
        let Some((owner, epoch)) = self.owner_after(0).await else { return };
        let Series { store_cut, suspension, owner_cut, others_cut, terminations_ms } = series;
        let is_absent = store_cut.is_some() || suspension.is_some();
        let mut faults = Vec::new();
        if let Some((span, mode)) = store_cut {
            let link = &self.store_links[owner];
            let name = format!("p{owner} and the store: {mode:?}");
            let set = move |begins| link.set(if begins { mode } else { LinkMode::Open });
            faults.push(Fault { span, name, set: Box::new(set) });
        }
        if let Some(span) = suspension {
            let process = &self.processes[owner];
            let set = move |begins| {
                process.lock().signal(if begins { Signal::STOP } else { Signal::CONT });
            };
            faults.push(Fault { span, name: format!("p{owner} suspended"), set: Box::new(set) });
        }
        let others = (0..self.processes.len()).filter(|process| *process != owner).collect();
        for (cut, processes) in [(owner_cut, vec![owner]), (others_cut, others)] {
            let Some((span, mode, workers)) = cut else { continue };
            let name = format!("processes {processes:?} and workers {workers:?}: {mode:?}");
            let set = move |begins| {
                for worker in &workers {
                    for process in &processes {
                        let link = &self.worker_links[*worker][*process];
                        link.set(if begins { mode } else { LinkMode::Open });
                    }
                }
            };
            faults.push(Fault { span, name, set: Box::new(set) });
        }
        log.add(format!("p{owner} owns the cell, epoch {epoch}"));
        let faults = join_all(faults.into_iter().map(|fault| async move {
            let Fault { span: (delay_ms, length_ms), name, set } = fault;
            sleep_ms(delay_ms).await;
            set(true);
            log.add(name.clone());
            sleep_ms(length_ms).await;
            set(false);
            log.add(format!("end of: {name}"));
        }));
        // An owner that goes away is replaced before the first termination.
        let replaced_epoch = if is_absent { epoch } else { 0 };
        join(faults, self.terminate_owners(replaced_epoch, &terminations_ms, log)).await;
    }

    /// Terminates one owner after another, each some time after its takeover.
    async fn terminate_owners(&self, mut epoch: u32, delays_ms: &[u64], log: &Log) {
        for delay_ms in delays_ms {
            let Some((owner, new_epoch)) = self.owner_after(epoch).await else { return };
            sleep_ms(*delay_ms).await;
            self.processes[owner].lock().signal(Signal::TERM);
            log.add(format!("p{owner} sent SIGTERM {delay_ms} ms into epoch {new_epoch}"));
            epoch = new_epoch;
        }
    }

    /// Waits for an owner of a later epoch; returns its process and epoch.
    async fn owner_after(&self, epoch: u32) -> Option<(usize, u32)> {
        let until = Instant::now() + Duration::from_millis(TAKEOVER_TIMEOUT_MS);
        while Instant::now() < until {
            if let Some(owner) = self.owner().await.filter(|(_, current)| *current > epoch) {
                return Some(owner);
            }
            sleep_ms(LOOK_UP_MS).await;
        }
        None
    }

    /// Returns the process that owns the cell, with its epoch, unless the store is down.
    pub(super) async fn owner(&self) -> Option<(usize, u32)> {
        let RowKey { table, part, key } = cell_row_key(LEAD_TABLE, OWNER_KEY);
        let range = RowRange { table, part, from: key, to: Name::from(""), limit: 1 };
        let page = (self.world.platform("soak").range)(range).await.ok()?;
        let row = page.rows.into_iter().find(|row| &*row.key == OWNER_KEY)?;
        let OwnerRow { process, epoch, .. } = decode_row(&row.value?).ok()?;
        let process = process?;
        let (name, _incarnation) = process.as_str().rsplit_once('.')?;
        let index = self.processes.iter().position(|process| process.lock().name == name)?;
        Some((index, epoch))
    }
}

async fn sleep_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}
