//! What is asked of each pool.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::{Board, TaskState};
use crate::fleet::pools::PoolDemand;
use crate::fleet::spec::{JobRecord, Resources};
use crate::id::{PoolName, QueueName};

/// Time over which arrivals are counted, in milliseconds: short enough to see a
/// burst before its first jobs are late.
const ARRIVALS_MS: u64 = 1_000;

/// Work that arrived lately: what it needs, times milliseconds.
#[derive(Debug, Clone, Default)]
pub(super) struct Arrivals(IndexMap<PoolName, VecDeque<(u64, Resources)>>);

impl Arrivals {
    /// Adds work, and forgets what is too old to count.
    fn add(&mut self, pool: &PoolName, now_ms: u64, work: Resources) {
        let arrivals = self.0.entry(pool.clone()).or_default();
        while arrivals.front().is_some_and(|(at, _)| !is_recent(*at, now_ms)) {
            arrivals.pop_front();
        }
        arrivals.push_back((now_ms, work));
    }

    /// Returns what the work that arrived needs all the time when it goes on.
    fn offered(&self, pool: &PoolName, now_ms: u64) -> Resources {
        let Some(arrivals) = self.0.get(pool) else { return Resources::default() };
        let recent = arrivals.iter().filter(|(at, _)| is_recent(*at, now_ms));
        let Resources { cpu_millis, memory_mib, accelerators } =
            recent.fold(Resources::default(), |sum, (_, work)| sum.plus(work));
        Resources {
            cpu_millis: cpu_millis / ARRIVALS_MS,
            memory_mib: memory_mib / ARRIVALS_MS,
            accelerators: accelerators / ARRIVALS_MS,
        }
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
            self.arrivals.add(&queue.pool, now_ms, record.spec.work());
        }
    }

    /// Returns the size of each pool's largest worker.
    pub(super) fn worker_sizes(&self) -> IndexMap<PoolName, Resources> {
        let mut sizes: IndexMap<PoolName, Resources> = IndexMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            let size = sizes.entry(worker.facts.pool.clone()).or_default();
            if worker.facts.capacity.cpu_millis > size.cpu_millis {
                *size = worker.facts.capacity;
            }
        }
        sizes
    }

    /// Returns the time that each queue's pool needs for the work that waits, in
    /// milliseconds, whatever its rank.
    pub fn backlog_by_queue(&self, now_ms: u64) -> IndexMap<QueueName, u64> {
        let Some(config) = &self.config else { return IndexMap::new() };
        let mut work: IndexMap<&PoolName, Resources> = IndexMap::new();
        for job in self.jobs.values().filter(|job| !job.phase.is_final()) {
            let queue = config.queues.get(&job.record.queue);
            let Some(queue) = queue.filter(|_| !job.record.spec.is_long_running()) else {
                continue;
            };
            let work = work.entry(&queue.pool).or_default();
            *work = work.plus(&job.waiting_work());
        }
        let mut cores: IndexMap<&PoolName, u64> = IndexMap::new();
        for worker in self.workers.values().filter(|worker| worker.takes_work(now_ms)) {
            *cores.entry(&worker.facts.pool).or_default() += worker.facts.capacity.cpu_millis;
        }
        for (pool, millis) in &self.reach {
            let cores = cores.entry(pool).or_default();
            *cores = (*cores).max(*millis);
        }
        let sizes = self.worker_sizes();
        let backlog = config.queues.values().map(|queue| {
            let size = sizes.get(&queue.pool).copied().unwrap_or_default();
            let work = work.get(&queue.pool).map_or(0, |work| work.dominant_millis(&size));
            // A pool without workers may be about to get some: nothing is known.
            let millis = cores.get(&queue.pool).filter(|millis| **millis > 0);
            (queue.name.clone(), millis.map_or(0, |millis| work / millis))
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
                let steps = job.record.spec.steps.iter().zip(&occurrence.steps);
                for (index, (spec, step)) in steps.enumerate() {
                    let placed =
                        step.tasks.iter().filter(|t| matches!(t.state, TaskState::Placed(_)));
                    let placed = placed.count() as u64;
                    let needs = step.spec_reserved.times(placed);
                    demand.placed = demand.placed.plus(&needs);
                    if is_lasting {
                        demand.lasting = demand.lasting.plus(&needs);
                    }
                    let mut tasks = placed;
                    if (!can_wait || is_lasting) && job.is_unlocked(*number, index) {
                        let waiting = step.tasks.iter().filter(|t| t.state == TaskState::Waiting);
                        let waiting = waiting.count() as u64;
                        let needs = step.spec_reserved.times(waiting);
                        demand.waiting = demand.waiting.plus(&needs);
                        tasks += waiting;
                    }
                    if spec.max_per_worker > 0 {
                        let workers = tasks.div_ceil(u64::from(spec.max_per_worker));
                        demand.workers = demand.workers.max(workers);
                    }
                }
            }
        }
        for queue in config.queues.values() {
            let demand = demands.entry(queue.pool.clone()).or_default();
            demand.offered = self.arrivals.offered(&queue.pool, now_ms);
        }
        let sizes = self.worker_sizes();
        for (pool, demand) in &mut demands {
            demand.worker_size = sizes.get(pool).copied().unwrap_or_default();
        }
        demands
    }
}
