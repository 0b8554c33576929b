//! Choice of the processes that relay the owner's calls to workers.
//!
//! Handles cells with hundreds of workers, whose calls exceed the processor share and
//! the link of any single process. The owner still decides everything; relays only make
//! the calls. A worker's relay is in the worker's data centre if possible, so that a
//! partition between data centres takes no more workers away than it would without relays.

use indexmap::IndexMap;

use crate::hash::fnv_1a;
use crate::id::{DataCentre, Name, WorkerId};

/// Workers that a relay with a whole core can serve; leaves most of the core to the
/// relay's own callers.
const WORKERS_PER_CORE: f64 = 250.0;

/// Workers that a relay can serve per Mbit/s of its link: 10 KB/s for each.
const WORKERS_PER_MBPS: f64 = 12.0;

/// Rate at which the assumed difference of two processes' clocks may rise, in parts per
/// thousand: their drift.
const CLOCK_DRIFT_PER_MILLE: u64 = 20;

/// A process that may relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Name of the process.
    pub name: Name,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Number of workers that it can serve.
    pub worker_capacity: u32,
}

/// Returns the number of workers that a process can serve as a relay.
pub fn worker_capacity(cpu_share: f64, link_mbps: f64) -> u32 {
    (cpu_share * WORKERS_PER_CORE).min(link_mbps * WORKERS_PER_MBPS) as u32
}

/// Returns the relays of each data centre with workers: the candidates there with the
/// largest capacities, as many as its workers need. Candidates elsewhere fill a shortage.
pub fn choose_relays(
    candidates: &[RelayCandidate],
    workers: &IndexMap<DataCentre, usize>,
) -> IndexMap<DataCentre, Vec<Name>> {
    let mut free: Vec<&RelayCandidate> =
        candidates.iter().filter(|candidate| candidate.worker_capacity > 0).collect();
    free.sort_by(|a, b| (b.worker_capacity, &a.name).cmp(&(a.worker_capacity, &b.name)));
    let mut chosen: IndexMap<DataCentre, Vec<Name>> = IndexMap::new();
    let mut missing: IndexMap<DataCentre, usize> = IndexMap::new();
    for (data_centre, count) in workers {
        let is_local = |candidate: &RelayCandidate| candidate.data_centre == *data_centre;
        let (names, left) = take_relays(&mut free, *count, is_local);
        chosen.insert(data_centre.clone(), names);
        missing.insert(data_centre.clone(), left);
    }
    for (data_centre, count) in missing {
        let (names, _) = take_relays(&mut free, count, |_| true);
        chosen[&data_centre].extend(names);
    }
    chosen
}

/// Takes candidates until `workers` are served; returns them with the number of workers
/// that are left over.
fn take_relays(
    free: &mut Vec<&RelayCandidate>,
    workers: usize,
    is_eligible: impl Fn(&RelayCandidate) -> bool,
) -> (Vec<Name>, usize) {
    let mut left = workers;
    let mut taken = Vec::new();
    free.retain(|candidate| {
        if left == 0 || !is_eligible(candidate) {
            return true;
        }
        left = left.saturating_sub(candidate.worker_capacity as usize);
        taken.push(Name::clone(&candidate.name));
        false
    });
    (taken, left)
}

/// Returns a worker's relay by rendezvous hashing: when a relay is lost, only
/// its own workers change their relay.
pub fn relay_of<'a>(worker: &WorkerId, relays: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    relays.max_by_key(|relay| {
        let hash = fnv_1a(relay.bytes().chain(worker.as_str().bytes()));
        // FNV-1a barely mixes its last bytes into the high bits, which decide a maximum.
        (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    })
}

/// Estimates how long frames of one owner were on their way: a frame is late by as much as
/// its clock difference exceeds the smallest one.
#[derive(Debug, Default)]
pub struct FrameAge {
    /// Smallest difference between the clocks on arrival, and when it was seen.
    smallest: Option<(u64, u64)>,
}

impl FrameAge {
    /// Returns the age in milliseconds of a frame that was sent at `sent_ms` by the owner's
    /// clock, and arrived at `received_ms`.
    pub fn age_ms(&mut self, sent_ms: u64, received_ms: u64) -> u64 {
        // The clocks have different origins; only differences of the result matter.
        let difference = received_ms.wrapping_sub(sent_ms);
        let (smallest, seen_ms) = *self.smallest.get_or_insert((difference, received_ms));
        let elapsed_ms = received_ms.saturating_sub(seen_ms);
        let allowed = smallest.wrapping_add(elapsed_ms * CLOCK_DRIFT_PER_MILLE / 1_000);
        let age_ms = difference.wrapping_sub(allowed) as i64;
        if age_ms <= 0 {
            self.smallest = Some((difference, received_ms));
        }
        age_ms.max(0) as u64
    }
}
