//! Demand on each pool.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::{Board, Job};
use crate::fleet::admission::PoolLoad;
use crate::fleet::pools::PoolDemand;
use crate::fleet::shares::above_share;
use crate::fleet::spec::{JobRecord, Resources};
use crate::id::{AccountName, PoolName};

/// Window over which arrivals are counted, in milliseconds: short enough to detect
/// a burst before its first jobs are late.
const ARRIVAL_WINDOW_MS: u64 = 1_000;

/// Time ahead to which a rising rate is extrapolated, in milliseconds: an instance
/// is in its pool 1.5 s after it was requested, and takes work about 0.3 s later.
const FORECAST_MS: f64 = 1_800.0;

/// Standard deviations by which the two halves of the window have to differ to
/// count as a rise: a few jobs that arrive together by chance are none.
const RISE_SIGMAS: f64 = 2.0;

/// Maximum factor by which the current rate is extrapolated.
const MAX_GROWTH: f64 = 2.5;

/// Recently arrived work by pool: resources times milliseconds, with the arrival time.
#[derive(Debug, Clone, Default)]
pub(super) struct Arrivals(IndexMap<PoolName, VecDeque<(u64, Resources)>>);

impl Arrivals {
    /// Adds work, and drops arrivals that are older than the window.
    fn add(&mut self, pool: &PoolName, now_ms: u64, work: Resources) {
        let arrivals = self.0.entry(pool.clone()).or_default();
        while arrivals.front().is_some_and(|(at_ms, _)| !is_recent(*at_ms, now_ms)) {
            arrivals.pop_front();
        }
        arrivals.push_back((now_ms, work));
    }

    /// Returns the offered load of a pool, as average resources in use, forecast for
    /// the time at which instances requested now would take work.
    fn offered(&self, pool: &PoolName, now_ms: u64) -> Resources {
        let Some(arrivals) = self.0.get(pool) else { return Resources::default() };
        let recent = || arrivals.iter().filter(|(at_ms, _)| is_recent(*at_ms, now_ms));
        let sum = recent().fold(Resources::default(), |sum, (_, work)| sum.plus(work));
        let growth =
            growth_factor(recent().map(|(at_ms, work)| (now_ms - at_ms, work.cpu_millis as f64)));
        let mean = |amount: u64| (amount as f64 * growth / ARRIVAL_WINDOW_MS as f64) as u64;
        Resources {
            cpu_millis: mean(sum.cpu_millis),
            memory_mib: mean(sum.memory_mib),
            accelerators: mean(sum.accelerators),
        }
    }
}

/// Returns the forecast rate as a multiple of the mean rate, given the ages in
/// milliseconds and the sizes of the arrivals; 1 if the rate doesn't rise.
fn growth_factor(arrivals: impl Iterator<Item = (u64, f64)>) -> f64 {
    let half_ms = ARRIVAL_WINDOW_MS as f64 / 2.0;
    let (mut newer, mut older, mut squares) = (0.0, 0.0, 0.0);
    for (age_ms, size) in arrivals {
        let half = if (age_ms as f64) < half_ms { &mut newer } else { &mut older };
        *half += size;
        squares += size * size;
    }
    let sum = newer + older;
    if sum == 0.0 || newer - older <= RISE_SIGMAS * f64::sqrt(squares) {
        return 1.0;
    }
    let slope = (newer - older) / half_ms;
    let forecast = (newer + slope * FORECAST_MS).min(newer * MAX_GROWTH);
    2.0 * forecast / sum
}

fn is_recent(at_ms: u64, now_ms: u64) -> bool {
    at_ms + ARRIVAL_WINDOW_MS >= now_ms
}

impl Board {
    /// Adds a newly accepted job to the arrivals of its pool.
    pub(super) fn record_arrival(&mut self, record: &JobRecord, now_ms: u64) {
        let config = self.config.as_ref();
        if let Some(queue) = config.and_then(|config| config.queues.get(&record.queue)) {
            self.arrivals.add(&queue.pool, now_ms, record.spec.work());
        }
    }

    /// Returns the capacity of each pool's largest worker, of those that have answered: an
    /// entry in the list may name a worker that isn't there.
    pub(super) fn worker_sizes(&self) -> IndexMap<PoolName, Resources> {
        let mut sizes: IndexMap<PoolName, Resources> = IndexMap::new();
        let listed = self.workers.values().filter(|worker| worker.is_listed);
        for worker in listed.filter(|worker| worker.clock.is_some()) {
            let size = sizes.entry(worker.facts.pool.clone()).or_default();
            if worker.facts.capacity.cpu_millis > size.cpu_millis {
                *size = worker.facts.capacity;
            }
        }
        sizes
    }

    /// Returns the capacity that each pool has or can get soon, in thousandths of a core.
    fn pool_capacities(&self, now_ms: u64) -> IndexMap<PoolName, u64> {
        let sizes = self.worker_sizes();
        let mut millis: IndexMap<PoolName, u64> = IndexMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_schedulable(now_ms)) {
            let pool = worker.facts.pool.clone();
            let size = sizes.get(&pool).copied().unwrap_or_default();
            *millis.entry(pool).or_default() += worker.facts.capacity.equivalent_millis(&size);
        }
        for (pool, attainable_millis) in &self.attainable_millis {
            let millis = millis.entry(pool.clone()).or_default();
            *millis = (*millis).max(*attainable_millis);
        }
        for (pool, evacuated_millis) in self.evacuated_millis(&sizes) {
            let millis = millis.entry(pool).or_default();
            *millis = if *millis == 0 { evacuated_millis } else { *millis };
        }
        millis
    }

    /// Updates the set of client accounts whose demand exceeds their share.
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

    /// Returns whether the demand of a job's account exceeds its share of a pool.
    pub(super) fn is_above_share(&self, pool: &PoolName, job: &Job) -> bool {
        let above = self.above_share.get(pool);
        above.zip(job.record.account.as_ref()).is_some_and(|(above, a)| above.contains(a))
    }

    /// Returns the load of each pool with waiting work, on which the admission of
    /// jobs depends.
    pub fn load_by_pool(&self, now_ms: u64) -> IndexMap<PoolName, PoolLoad> {
        let Some(config) = &self.config else { return IndexMap::new() };
        let pool_capacities = self.pool_capacities(now_ms);
        let sizes = self.worker_sizes();
        let mut work: IndexMap<&PoolName, (Resources, Resources)> = IndexMap::new();
        for job in self.jobs.values().filter(|job| !job.phase.is_final()) {
            let queue = config.queues.get(&job.record.queue);
            let Some(queue) = queue.filter(|_| !job.record.spec.is_long_running()) else {
                continue;
            };
            // It takes no worker from the jobs that come after it.
            let millis = pool_capacities.get(&queue.pool).copied().unwrap_or_default();
            let size = sizes.get(&queue.pool).copied().unwrap_or_default();
            if millis > 0 && job.waits_for_wider_gang(millis, &size) {
                continue;
            }
            let (all, within) = work.entry(&queue.pool).or_default();
            let waiting = job.waiting_work();
            *all = all.plus(&waiting);
            if !self.is_above_share(&queue.pool, job) {
                *within = within.plus(&waiting);
            }
        }
        let loads = work.into_iter().map(|(pool, (all, within))| {
            let size = sizes.get(pool).copied().unwrap_or_default();
            // A pool without workers may be about to get some, so its backlog is
            // unknown and counts as zero.
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

    /// Sets the capacity that each pool has or can get soon, in thousandths of a core.
    pub fn set_attainable_millis(&mut self, attainable_millis: IndexMap<PoolName, u64>) {
        self.attainable_millis = attainable_millis;
    }

    /// Returns the demand on each pool.
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
                    let placed = u64::from(step.counts().placed);
                    let needs = step.reserved_per_task.times(placed);
                    demand.placed = demand.placed.plus(&needs);
                    if is_long_running {
                        demand.long_running = demand.long_running.plus(&needs);
                    }
                    let mut tasks = placed;
                    if (!can_wait || is_long_running) && job.is_step_ready(*number, index) {
                        let waiting = u64::from(step.counts().waiting);
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
