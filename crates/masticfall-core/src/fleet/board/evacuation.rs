//! Evacuated data centres: their workers get no starts, and long-running tasks leave them.

use indexmap::{IndexMap, IndexSet};

use super::{Board, StopReason};
use crate::fleet::spec::{Resources, TaskKey};
use crate::id::{DataCentre, PoolName, WorkerId};

/// What is left in an evacuated data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EvacuationLoad {
    /// Listed workers.
    pub workers: usize,
    /// Tasks placed on workers, listed or not.
    pub runs: usize,
}

impl Board {
    /// Sets which data centres are evacuated. Placements there whose start order wasn't sent
    /// are withdrawn.
    pub fn set_evacuated(&mut self, data_centres: IndexSet<DataCentre>, now_ms: u64) {
        self.evacuated = data_centres;
        for worker in self.workers.values_mut() {
            worker.is_evacuated = self.evacuated.contains(&worker.facts.data_centre);
        }
        self.needs_placement = true;
        self.withdraw_from_leaving(now_ms);
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> &IndexSet<DataCentre> {
        &self.evacuated
    }

    /// Marks a worker by its data centre, which may have changed with its entry in the list.
    pub(super) fn mark_evacuated(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_evacuated = self.evacuated.contains(&worker.facts.data_centre);
        }
    }

    /// Stops long-running tasks on evacuated workers, so that they restart elsewhere, as far
    /// as the `max_unavailable` of their steps allows now. A task that no other worker has
    /// room for stays: it would only become unavailable.
    ///
    /// Nothing is stopped right after a takeover, for the same reason as in
    /// [`Board::evict_long_running`].
    pub(super) fn evict_from_evacuated(&mut self, now_ms: u64) {
        if self.evacuated.is_empty() || now_ms < self.previous_stops_until_ms {
            return;
        }
        let workers = self.workers.values().filter(|worker| worker.is_evacuated);
        let placed = workers.flat_map(|worker| worker.placements.iter());
        let keys: Vec<TaskKey> = placed.filter(|key| self.is_long_running(key)).cloned().collect();
        for key in keys {
            if self.can_evict(&key, now_ms) && self.has_room_for(&key, now_ms) {
                self.stop(&key, StopReason::Evacuation, now_ms);
            }
        }
    }

    /// Returns the capacity of evacuated workers by pool, in thousandths of a core. By it
    /// jobs are admitted to a pool that has no other worker: they wait, and a backlog limits
    /// them as in any full pool.
    pub(super) fn evacuated_millis(
        &self,
        sizes: &IndexMap<PoolName, Resources>,
    ) -> IndexMap<PoolName, u64> {
        let mut millis: IndexMap<PoolName, u64> = IndexMap::new();
        for worker in self.workers.values().filter(|w| w.is_evacuated && w.is_listed) {
            let pool = worker.facts.pool.clone();
            let size = sizes.get(&pool).copied().unwrap_or_default();
            *millis.entry(pool).or_default() += worker.facts.capacity.equivalent_millis(&size);
        }
        millis
    }

    /// Returns what is left in each evacuated data centre.
    pub fn evacuation_loads(&self) -> IndexMap<DataCentre, EvacuationLoad> {
        let mut loads: IndexMap<DataCentre, EvacuationLoad> =
            self.evacuated.iter().map(|name| (name.clone(), EvacuationLoad::default())).collect();
        for worker in self.workers.values() {
            if let Some(load) = loads.get_mut(&worker.facts.data_centre) {
                load.workers += usize::from(worker.is_listed);
                load.runs += worker.placements.len();
            }
        }
        loads
    }
}
