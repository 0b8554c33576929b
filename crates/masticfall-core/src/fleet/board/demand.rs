//! What is asked of each pool.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::{Board, TaskState};
use crate::fleet::pools::PoolDemand;
use crate::fleet::spec::JobRecord;
use crate::id::{PoolName, QueueName};

/// Time over which arrivals are counted, in milliseconds: short enough to see a
/// burst before its first jobs are late.
const ARRIVALS_MS: u64 = 1_000;

/// Work that arrived lately.
#[derive(Debug, Clone, Default)]
pub(super) struct Arrivals(IndexMap<PoolName, VecDeque<(u64, u64)>>);

impl Arrivals {
    /// Adds work, and forgets what is too old to count.
    fn add(&mut self, pool: &PoolName, now_ms: u64, core_ms: u64) {
        let arrivals = self.0.entry(pool.clone()).or_default();
        while arrivals.front().is_some_and(|(at, _)| !is_recent(*at, now_ms)) {
            arrivals.pop_front();
        }
        arrivals.push_back((now_ms, core_ms));
    }

    /// Returns the mean of the work that arrived, in thousandths of a core.
    fn offered_millis(&self, pool: &PoolName, now_ms: u64) -> u64 {
        let Some(arrivals) = self.0.get(pool) else { return 0 };
        let recent = arrivals.iter().filter(|(at, _)| is_recent(*at, now_ms));
        let core_ms: u64 = recent.map(|(_, core_ms)| core_ms).sum();
        core_ms * 1_000 / ARRIVALS_MS
    }
}

fn is_recent(at_ms: u64, now_ms: u64) -> bool {
    at_ms + ARRIVALS_MS >= now_ms
}

impl Board {
    /// Counts a job that was just accepted towards its pool's arrivals.
    pub(super) fn note_arrival(&mut self, record: &JobRecord, now_ms: u64) {
        let config = self.config.as_ref();
        if let Some(queue) = config.and_then(|config| config.queues.get(&record.queue)) {
            self.arrivals.add(&queue.pool, now_ms, record.spec.work_core_ms());
        }
    }

    /// Returns the time that each queue's pool needs for the work that waits, in
    /// milliseconds, whatever its rank.
    pub fn backlog_by_queue(&self, now_ms: u64) -> IndexMap<QueueName, u64> {
        let Some(config) = &self.config else { return IndexMap::new() };
        let mut core_ms: IndexMap<&PoolName, u64> = IndexMap::new();
        for job in self.jobs.values().filter(|job| !job.phase.is_final()) {
            let queue = config.queues.get(&job.record.queue);
            let Some(queue) = queue.filter(|_| !job.record.spec.is_long_running()) else {
                continue;
            };
            *core_ms.entry(&queue.pool).or_default() += job.waiting_core_ms();
        }
        let mut cores: IndexMap<&PoolName, u64> = IndexMap::new();
        for worker in self.workers.values().filter(|worker| worker.takes_work(now_ms)) {
            *cores.entry(&worker.facts.pool).or_default() += worker.facts.capacity.cpu_millis;
        }
        for (pool, millis) in &self.reach {
            let cores = cores.entry(pool).or_default();
            *cores = (*cores).max(*millis);
        }
        let backlog = config.queues.values().map(|queue| {
            let work = core_ms.get(&queue.pool).copied().unwrap_or_default();
            let millis = cores.get(&queue.pool).copied().unwrap_or_default().max(1);
            // A pool without workers may be about to get some: nothing is known.
            let backlog_ms = if millis == 1 { 0 } else { work * 1_000 / millis };
            (queue.name.clone(), backlog_ms)
        });
        backlog.collect()
    }

    /// Notes what each pool has or can get soon, in thousandths of a core.
    pub fn set_reach(&mut self, reach: IndexMap<PoolName, u64>) {
        self.reach = reach;
    }

    /// Returns what is asked of each pool.
    pub fn pool_demand(&self, now_ms: u64) -> IndexMap<PoolName, PoolDemand> {
        let mut demands: IndexMap<PoolName, PoolDemand> = IndexMap::new();
        let Some(config) = &self.config else { return demands };
        for job in self.jobs.values() {
            let Some(queue) = config.queues.get(&job.record.queue) else { continue };
            let demand = demands.entry(queue.pool.clone()).or_default();
            let can_wait = job.phase.is_final() || now_ms + job.remaining_ms() > job.due_ms;
            let is_lasting = job.record.spec.is_long_running();
            for (number, occurrence) in &job.occurrences {
                for (index, step) in occurrence.steps.iter().enumerate() {
                    let millis = step.spec_reserved.cpu_millis;
                    let placed =
                        step.tasks.iter().filter(|t| matches!(t.state, TaskState::Placed(_)));
                    let placed_millis = placed.count() as u64 * millis;
                    demand.placed_millis += placed_millis;
                    if is_lasting {
                        demand.lasting_millis += placed_millis;
                    }
                    if (!can_wait || is_lasting) && job.is_unlocked(*number, index) {
                        let waiting = step.tasks.iter().filter(|t| t.state == TaskState::Waiting);
                        demand.waiting_millis += waiting.count() as u64 * millis;
                    }
                }
            }
        }
        for queue in config.queues.values() {
            let demand = demands.entry(queue.pool.clone()).or_default();
            demand.offered_millis = self.arrivals.offered_millis(&queue.pool, now_ms);
        }
        demands
    }
}
