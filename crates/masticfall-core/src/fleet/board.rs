//! In-memory state of one cell: its jobs and workers, and the logic that updates them.
//!
//! A placement is decided here, stored with the job's progress, ordered from the
//! worker, and confirmed by the worker's report. The report is authoritative,
//! whatever happened to the order: a task counts as running on its worker until
//! the worker reports otherwise or its lease expires.

mod cordon;
mod crash;
mod demand;
mod early;
mod evacuation;
mod evidence;
mod job;
mod leaving;
mod near;
mod notice;
mod pace;
mod permits;
mod place;
mod placement;
mod reports;
mod results;
mod search;
mod settle;
mod store;
mod stored;
mod time;

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

pub use evacuation::EvacuationLoad;
pub use evidence::{EarlierLeases, OpenCalls};
pub use job::{Job, Occurrence, Step, Task, TaskCounts, TaskState};
pub use notice::{DropReason, EndCause, LeaseFacts, Notice, RunRef, StopReason};
pub use permits::AdviceRequest;
pub use placement::{OrderState, Placement};
pub use reports::PollRequest;
pub use settle::FoundOpenSet;
pub use store::{Batch, BatchWrite};

use super::config::FleetConfig;
use super::crashes::LossCause;
use super::progress::{EndedRow, JobPhase, ProgressRow};
use super::spec::{JobRecord, Resources, TaskKey};
use super::worker::{Worker, WorkerFacts};
use crate::id::{AccountName, DataCentre, JobId, Name, PoolName, QueueName, WorkerId};

/// Attempt numbers that each takeover of a cell skips, so that a run started by
/// the previous owner can't share its number with a new one.
const ATTEMPTS_PER_EPOCH: u32 = 64;

/// Time that a new owner needs to contact its workers, in milliseconds; until
/// then they may still accept stop orders of the previous one.
const FIRST_CONTACT_MS: u64 = 1_200;

/// Timing parameters of a board.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoardTimings {
    /// Length of worker leases, in milliseconds.
    pub lease_ms: u64,
    /// Maximum length to which workers cut a longer lease, in milliseconds.
    pub max_lease_ms: u64,
    /// Time that a worker may take to end a stopped run, in milliseconds.
    pub stop_grace_ms: u64,
    /// Time for which the previous owner may have kept extending leases
    /// after this one took over, in milliseconds.
    pub takeover_overlap_ms: u64,
}

/// An order to be sent to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Throttle a run to a share of its full pace.
    Pace(PaceOrder),
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// Attempt number.
    pub attempt: u32,
    /// What to run.
    pub payload: Name,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// Permit of the placement policy service, if the queue requires one.
    pub permit: Option<Name>,
    /// Lease deadline, by the worker's clock.
    pub lease_deadline_ms: u64,
    /// Start time of the incarnation whose clock that is, if known, in milliseconds since the
    /// Unix epoch. To another one the deadline says nothing.
    pub born_wall_ms: Option<u64>,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// Attempt number.
    pub attempt: u32,
}

/// An order that sets the pace of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceOrder {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// Attempt number.
    pub attempt: u32,
    /// Share of full pace, in percent.
    pub percent: u32,
}

/// In-memory state of one cell.
#[derive(Debug)]
pub struct Board {
    /// Fencing token: epoch of this ownership of the cell.
    pub epoch: u32,
    /// Jobs with tasks left to run or to stop.
    pub jobs: IndexMap<JobId, Job>,
    /// Workers.
    pub workers: IndexMap<WorkerId, Worker>,
    /// Resources in use by each client account, over all pools.
    pub account_usage: IndexMap<AccountName, Resources>,
    /// Configuration in force.
    pub config: Option<Arc<FleetConfig>>,
    timings: BoardTimings,
    /// When this ownership began.
    begun_ms: u64,
    /// Time until which runs may end because of stop orders of the previous owner.
    previous_stops_until_ms: u64,
    /// Time until which leases of the previous owner may be valid, and tasks
    /// on unlisted workers may be running.
    previous_lease_until_ms: u64,
    /// Data centres whose workers get no starts.
    evacuated: IndexSet<DataCentre>,
    arrivals: demand::Arrivals,
    early: early::EarlyStarts,
    /// Workers of an earlier owner's open set whose runs aren't known yet.
    settling: Option<settle::Settling>,
    /// Whether an earlier owner may have ordered runs that the store doesn't know.
    takes_unstored: bool,
    permits: IndexMap<TaskKey, permits::StepPermits>,
    advice_requests: Vec<AdviceRequest>,
    /// Capacity that each pool has or can get soon, in thousandths of a core.
    attainable_millis: IndexMap<PoolName, u64>,
    /// Client accounts whose demand exceeds their share, by pool.
    above_share: IndexMap<PoolName, IndexSet<AccountName>>,
    /// Tasks placed on workers that aren't in the table, by worker: earlier owners placed
    /// them.
    placed_elsewhere: IndexMap<WorkerId, IndexSet<TaskKey>>,
    /// Tasks against which a crash of a worker counts, by worker.
    suspects: IndexMap<WorkerId, IndexSet<TaskKey>>,
    /// Workers that stopped answering lately.
    silences: Vec<crash::Silence>,
    /// Tasks whose last order has an unknown outcome.
    unknown_orders: IndexSet<TaskKey>,
    /// Jobs with changes to be stored.
    dirty: IndexSet<JobId>,
    /// Those of them whose placements wait to be ordered, or whose callers wait for their
    /// end; they are stored first.
    urgent: IndexSet<JobId>,
    rejections: store::Rejections,
    /// Jobs that ended under this ownership, with the time of their end, so that a
    /// late announcement of their acceptance doesn't run them again.
    ended: IndexMap<JobId, u64>,
    /// Ended jobs whose end is stored, not yet taken by [`Board::take_newly_ended`].
    newly_ended: Vec<(JobId, EndedRow)>,
    orders: Vec<Order>,
    notices: Vec<Notice>,
    needs_placement: bool,
    /// Whether jobs were loaded, or the limits on failures changed, since the last pass.
    needs_failure_check: bool,
    locality: near::Locality,
    /// Number of workers evaluated for tasks since the board was created.
    evaluated_candidates: std::cell::Cell<u64>,
}

impl Board {
    /// Creates an empty board for an ownership that began at `now_ms`.
    pub fn new(epoch: u32, timings: BoardTimings, now_ms: u64) -> Self {
        let lease_left_ms = timings.takeover_overlap_ms + timings.lease_ms;
        let drift_ms = timings.lease_ms * super::worker::WORKER_CLOCK_DRIFT_PER_MILLE / 1_000;
        Self {
            epoch,
            jobs: IndexMap::new(),
            workers: IndexMap::new(),
            account_usage: IndexMap::new(),
            config: None,
            timings,
            begun_ms: now_ms,
            previous_stops_until_ms: if epoch > 1 {
                now_ms + timings.stop_grace_ms + FIRST_CONTACT_MS
            } else {
                0
            },
            previous_lease_until_ms: now_ms
                + lease_left_ms
                + drift_ms
                + super::worker::LEASE_SLACK_MS,
            evacuated: IndexSet::new(),
            arrivals: demand::Arrivals::default(),
            early: early::EarlyStarts::default(),
            settling: None,
            takes_unstored: false,
            permits: IndexMap::new(),
            advice_requests: Vec::new(),
            attainable_millis: IndexMap::new(),
            above_share: IndexMap::new(),
            placed_elsewhere: IndexMap::new(),
            suspects: IndexMap::new(),
            silences: Vec::new(),
            unknown_orders: IndexSet::new(),
            dirty: IndexSet::new(),
            urgent: IndexSet::new(),
            rejections: store::Rejections::default(),
            ended: IndexMap::new(),
            newly_ended: Vec::new(),
            orders: Vec::new(),
            notices: Vec::new(),
            needs_placement: false,
            needs_failure_check: false,
            locality: near::Locality::default(),
            evaluated_candidates: std::cell::Cell::new(0),
        }
    }

    /// Applies a configuration, unless the current one is as new or newer.
    pub fn set_config(&mut self, config: Arc<FleetConfig>) {
        if self.config.as_ref().is_none_or(|current| current.version < config.version) {
            self.config = Some(config);
            self.needs_placement = true;
            self.needs_failure_check = true;
        }
    }

    /// Adds a stored job, with its stored progress if there is any.
    pub fn load(&mut self, id: &JobId, record: JobRecord, progress: Option<ProgressRow>, now: Now) {
        if self.jobs.contains_key(id) || self.ended.contains_key(id) {
            return;
        }
        let mut job = Job::new(record, self.config.as_deref(), now);
        job.attempt_floor = self.epoch.saturating_sub(1) * ATTEMPTS_PER_EPOCH;
        if let Some(progress) = progress {
            for (worker, address) in &progress.workers {
                self.track_unlisted_worker(worker, *address);
            }
            job.restore(&progress, now.steady_ms);
            self.needs_failure_check = true;
        }
        let placements = job.placements(id);
        self.jobs.insert(id.clone(), job);
        self.index_suspects(id);
        for (key, worker) in placements {
            self.add_usage(&key, &worker);
        }
        let job = &self.jobs[id];
        let due_in_ms = job.due_ms as i64 - now.steady_ms as i64;
        self.notices.push(Notice::JobLoaded { job: id.clone(), due_in_ms });
        self.needs_placement = true;
        for key in self.jobs[id].waiting_members_of_done_gangs(id) {
            self.complete_task(&key, now.steady_ms);
            self.dirty.insert(id.clone());
        }
        if self.jobs[id].phase.is_final() {
            self.stop_placements(id, StopReason::Cancelled, now.steady_ms);
            self.dirty.insert(id.clone());
        }
    }

    /// Tracks a worker on which the previous owner placed tasks, even if the
    /// platform doesn't list it.
    fn track_unlisted_worker(&mut self, id: &WorkerId, address: Option<SocketAddr>) {
        let Some(address) = address.filter(|_| !self.workers.contains_key(id)) else { return };
        let facts = WorkerFacts::unlisted(id, address);
        let mut worker = Worker::new(facts, self.previous_lease_until_ms);
        worker.is_listed = false;
        self.workers.insert(id.clone(), worker);
    }

    /// Adds a newly accepted job.
    pub fn accept(&mut self, id: &JobId, record: JobRecord, now: Now) {
        if self.jobs.contains_key(id) || self.ended.contains_key(id) {
            return;
        }
        self.record_arrival(&record, now.steady_ms);
        self.load(id, record, None, now);
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: &JobId, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.phase.is_final()) else { return };
        job.phase = JobPhase::Cancelled;
        self.finish(id, StopReason::Cancelled, now_ms);
    }

    /// Adds or updates a worker from the platform's list.
    pub fn list_worker(&mut self, facts: WorkerFacts) {
        self.needs_placement = true;
        if let Some(worker) = self.workers.get_mut(&facts.id) {
            worker.is_listed = true;
            let id = facts.id.clone();
            worker.facts = facts;
            self.mark_evacuated(&id);
            return;
        }
        let id = facts.id.clone();
        self.workers.insert(id.clone(), Worker::new(facts, self.previous_lease_until_ms));
        self.mark_evacuated(&id);
        for key in self.placed_elsewhere.swap_remove(&id).unwrap_or_default() {
            self.add_worker_usage(&key, &id);
        }
    }

    /// Marks a worker as no longer listed by the platform.
    pub fn unlist_worker(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_listed = false;
        }
    }

    /// Removes a worker of which another incarnation answers: its runs are lost.
    pub fn remove_worker(&mut self, id: &WorkerId, now_ms: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        let keys: Vec<TaskKey> = worker.placements.iter().cloned().collect();
        self.lose_runs(id, keys, LossCause::Replaced, now_ms);
        self.workers.swap_remove(id);
        self.settle(id, now_ms);
    }

    /// Returns the workers that the platform lists.
    pub fn listed_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.workers.iter().filter(|(_, worker)| worker.is_listed).map(|(id, _)| id)
    }

    /// Returns the workers outside the table on which earlier owners placed tasks.
    pub fn unknown_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.placed_elsewhere.keys()
    }

    /// Returns the number of listed workers in each data centre.
    pub fn workers_by_data_centre(&self) -> IndexMap<DataCentre, usize> {
        let mut counts = IndexMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            *counts.entry(worker.facts.data_centre.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the number of jobs in each queue that have not started.
    pub fn waiting_by_queue(&self) -> IndexMap<QueueName, u32> {
        let mut counts = IndexMap::new();
        for job in self.jobs.values().filter(|job| job.phase == JobPhase::Queued) {
            *counts.entry(job.record.queue.clone()).or_default() += 1;
        }
        counts
    }

    /// Takes the pending orders.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Takes the notices to be logged.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Adds a placement to the resource usage of its worker and its client account.
    fn add_usage(&mut self, key: &TaskKey, worker: &WorkerId) {
        self.add_worker_usage(key, worker);
        let Some(job) = self.jobs.get(&key.job) else { return };
        if let Some(account) = &job.record.account {
            let used = self.account_usage.entry(account.clone()).or_default();
            *used = used.plus(&job.record.spec.steps[key.step as usize].needs);
        }
    }

    fn add_worker_usage(&mut self, key: &TaskKey, worker: &WorkerId) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        match self.workers.get_mut(worker) {
            Some(worker) => {
                if worker.placements.insert(key.clone()) {
                    worker.used = worker.used.plus(&job.step(key).reserved_per_task);
                }
                if job.task(key).is_some_and(Task::is_on_trial) {
                    worker.on_trial.insert(key.clone());
                }
            }
            None => {
                self.placed_elsewhere.entry(worker.clone()).or_default().insert(key.clone());
            }
        }
    }

    /// Removes a placement from the resource usage of its worker and its client account.
    fn remove_usage(&mut self, key: &TaskKey, worker: &WorkerId) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let needs = job.step(key).reserved_per_task;
        if let Some(worker) = self.workers.get_mut(worker) {
            if worker.placements.swap_remove(key) {
                worker.used = worker.used.minus(&needs);
            }
            worker.on_trial.swap_remove(key);
        } else if let Some(keys) = self.placed_elsewhere.get_mut(worker) {
            keys.swap_remove(key);
            if keys.is_empty() {
                self.placed_elsewhere.swap_remove(worker);
            }
        }
        if let Some(account) = &job.record.account
            && let Some(used) = self.account_usage.get_mut(account)
        {
            *used = used.minus(&job.record.spec.steps[key.step as usize].needs);
        }
    }
}

/// A reading of the steady clock and the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Steady clock of this process, which counts time spent suspended, in milliseconds.
    pub steady_ms: u64,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}
