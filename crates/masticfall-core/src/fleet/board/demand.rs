//! What is asked of each pool.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::{Board, Job, TaskState};
use crate::fleet::admission::PoolLoad;
use crate::fleet::pools::PoolDemand;
use crate::fleet::shares::above_share;
use crate::fleet::spec::{JobRecord, Resources};
use crate::id::{AccountName, PoolName};

/// Time over which arrivals are counted, in milliseconds: short enough to see a
/// burst before its first jobs are late.
const ARRIVAL_WINDOW_MS: u64 = 1_000;

/// Time ahead for which a rise is carried on, in milliseconds: an instance is
/// there 1.5 s after it was asked for, and works some 0.3 s later.
const FORECAST_MS: f64 = 1_800.0;

/// Standard deviations that the two halves of the time have to differ by to
/// count as a rise: jobs that happen to come together are none.
const RISE_SIGMAS: f64 = 2.0;

/// Most that a rise may multiply the present rate by.
const MAX_GROWTH: f64 = 2.5;

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

    /// Returns what the work that arrives will need all the time, by the time
    /// that instances which are asked for now are there.
    fn offered(&self, pool: &PoolName, now_ms: u64) -> Resources {
        let Some(arrivals) = self.0.get(pool) else { return Resources::default() };
        let recent = || arrivals.iter().filter(|(at, _)| is_recent(*at, now_ms));
        let sum = recent().fold(Resources::default(), |sum, (_, work)| sum.plus(work));
        let growth = growth(recent().map(|(at, work)| (now_ms - at, work.cpu_millis as f64)));
        let mean = |amount: u64| (amount as f64 * growth / ARRIVAL_WINDOW_MS as f64) as u64;
        Resources {
            cpu_millis: mean(sum.cpu_millis),
            memory_mib: mean(sum.memory_mib),
            accelerators: mean(sum.accelerators),
        }
    }
}

/// Returns the factor by which a rate will have risen over its mean, given the
/// ages in milliseconds and the sizes of what arrived; 1 where it doesn't rise.
fn growth(arrivals: impl Iterator<Item = (u64, f64)>) -> f64 {
    let half_ms = ARRIVAL_WINDOW_MS as f64 / 2.0;
    let (mut late, mut early, mut squares) = (0.0, 0.0, 0.0);
    for (age_ms, size) in arrivals {
        let half = if (age_ms as f64) < half_ms { &mut late } else { &mut early };
        *half += size;
        squares += size * size;
    }
    let sum = late + early;
    if sum == 0.0 || late - early <= RISE_SIGMAS * f64::sqrt(squares) {
        return 1.0;
    }
    let slope = (late - early) / half_ms;
    let ahead = (late + slope * FORECAST_MS).min(late * MAX_GROWTH);
    2.0 * ahead / sum
}

fn is_recent(at_ms: u64, now_ms: u64) -> bool {
    at_ms + ARRIVAL_WINDOW_MS >= now_ms
}

impl Board {
    /// Counts a job that was just accepted towards its pool's arrivals.
    pub(super) fn record_arrival(&mut self, record: &JobRecord, now_ms: u64) {
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

    /// Returns what each pool has or can get soon, in thousandths of a core.
    fn pool_capacities(&self, now_ms: u64) -> IndexMap<PoolName, u64> {
        let mut millis: IndexMap<PoolName, u64> = IndexMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_schedulable(now_ms)) {
            let pool = worker.facts.pool.clone();
            *millis.entry(pool).or_default() += worker.facts.capacity.cpu_millis;
        }
        for (pool, attainable_millis) in &self.attainable_millis {
            let millis = millis.entry(pool.clone()).or_default();
            *millis = (*millis).max(*attainable_millis);
        }
        millis
    }

    /// Finds the client accounts that ask for more than their share.
    pub(super) fn update_above_share(&mut self, now_ms: u64) {
        let Some(config) = self.config.clone() else { return };
        let mut demands: IndexMap<PoolName, IndexMap<AccountName, Resources>> = IndexMap::new();
        for job in self.jobs.values().filter(|job| !job.phase.is_final()) {
            let queue = config.queues.get(&job.record.queue);
            let (Some(queue), Some(account)) = (queue, &job.record.account) else { continue };
            let demand = demands.entry(queue.pool.clone()).or_default();
            let demand = demand.entry(account.clone()).or_default();
            *demand = demand.plus(&job.current_demand());
        }
        let sizes = self.worker_sizes();
        let pool_capacities = self.pool_capacities(now_ms);
        let weight = |account: &AccountName| config.accounts.get(account).map_or(1.0, |a| a.weight);
        let above = demands.into_iter().map(|(pool, demands)| {
            let size = sizes.get(&pool).copied().unwrap_or_default();
            let demands = demands.into_iter().map(|(a, needs)| (a, needs.dominant_millis(&size)));
            let capacity = pool_capacities.get(&pool).copied().unwrap_or_default();
            let above = above_share(&demands.collect(), weight, capacity);
            (pool, above)
        });
        self.above_share = above.filter(|(_, above)| !above.is_empty()).collect();
    }

    /// Tells whether a job's account asks for more than its share of a pool.
    pub(super) fn is_above_share(&self, pool: &PoolName, job: &Job) -> bool {
        let above = self.above_share.get(pool);
        above.zip(job.record.account.as_ref()).is_some_and(|(above, a)| above.contains(a))
    }

    /// Returns the load of each pool that work waits for, by which its queues
    /// refuse jobs.
    pub fn load_by_pool(&self, now_ms: u64) -> IndexMap<PoolName, PoolLoad> {
        let Some(config) = &self.config else { return IndexMap::new() };
        let mut work: IndexMap<&PoolName, (Resources, Resources)> = IndexMap::new();
        for job in self.jobs.values().filter(|job| !job.phase.is_final()) {
            let queue = config.queues.get(&job.record.queue);
            let Some(queue) = queue.filter(|_| !job.record.spec.is_long_running()) else {
                continue;
            };
            let (all, within) = work.entry(&queue.pool).or_default();
            let waiting = job.waiting_work();
            *all = all.plus(&waiting);
            if !self.is_above_share(&queue.pool, job) {
                *within = within.plus(&waiting);
            }
        }
        let pool_capacities = self.pool_capacities(now_ms);
        let sizes = self.worker_sizes();
        let loads = work.into_iter().map(|(pool, (all, within))| {
            let size = sizes.get(pool).copied().unwrap_or_default();
            // A pool without workers may be about to get some: nothing is known.
            let millis = pool_capacities.get(pool).copied().unwrap_or_default();
            let time_ms = |work: &Resources| {
                work.dominant_millis(&size).checked_div(millis).unwrap_or_default()
            };
            let load = PoolLoad {
                backlog_ms: time_ms(&all),
                within_shares_ms: time_ms(&within),
                above_share: self.above_share.get(pool).cloned().unwrap_or_default(),
            };
            (pool.clone(), load)
        });
        loads.filter(|(_, load)| load.backlog_ms > 0).collect()
    }

    /// Notes what each pool has or can get soon, in thousandths of a core.
    pub fn set_attainable_millis(&mut self, attainable_millis: IndexMap<PoolName, u64>) {
        self.attainable_millis = attainable_millis;
    }

    /// Returns what is asked of each pool.
    pub fn pool_demand(&self, now_ms: u64) -> IndexMap<PoolName, PoolDemand> {
        let mut demands: IndexMap<PoolName, PoolDemand> = IndexMap::new();
        let Some(config) = &self.config else { return demands };
        for job in self.jobs.values() {
            let Some(queue) = config.queues.get(&job.record.queue) else { continue };
            let demand = demands.entry(queue.pool.clone()).or_default();
            let can_wait = job.phase.is_final() || now_ms + job.remaining_ms() > job.due_ms;
            let is_long_running = job.record.spec.is_long_running();
            for (number, occurrence) in &job.occurrences {
                let steps = job.record.spec.steps.iter().zip(&occurrence.steps);
                for (index, (spec, step)) in steps.enumerate() {
                    let placed =
                        step.tasks.iter().filter(|t| matches!(t.state, TaskState::Placed(_)));
                    let placed = placed.count() as u64;
                    let needs = step.reserved_per_task.times(placed);
                    demand.placed = demand.placed.plus(&needs);
                    if is_long_running {
                        demand.long_running = demand.long_running.plus(&needs);
                    }
                    let mut tasks = placed;
                    if (!can_wait || is_long_running) && job.is_step_ready(*number, index) {
                        let waiting = step.tasks.iter().filter(|t| t.state == TaskState::Waiting);
                        let waiting = waiting.count() as u64;
                        let needs = step.reserved_per_task.times(waiting);
                        demand.waiting = demand.waiting.plus(&needs);
                        tasks += waiting;
                    }
                    if spec.max_per_worker > 0 {
                        let workers = tasks.div_ceil(u64::from(spec.max_per_worker));
                        demand.min_workers = demand.min_workers.max(workers);
                    }
                }
            }
        }
        for pool in self.arrivals.0.keys() {
            let demand = demands.entry(pool.clone()).or_default();
            demand.offered = self.arrivals.offered(pool, now_ms);
        }
        let sizes = self.worker_sizes();
        for (pool, demand) in &mut demands {
            demand.worker_size = sizes.get(pool).copied().unwrap_or_default();
        }
        demands
    }
}
