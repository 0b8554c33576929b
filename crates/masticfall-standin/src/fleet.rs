//! Simulation of a platform that runs fleets of workers, exposed as a [`FleetPlatform`].
//!
//! The simulation keeps its own record of runs, which the functions in [`check`]
//! examine. Tests inject faults: a store that is down, is unavailable to one
//! process or loses responses, workers that are unresponsive to all processes or to one,
//! and delayed starts.

pub mod check;
pub mod crash;
pub mod evacuation;
pub mod links;
mod provider;
mod store;
mod workers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crash::{CrashPlan, CrashRecord, CrashingTask};
use evacuation::Evacuations;
use indexmap::{IndexMap, IndexSet};
use links::WorkerLinks;
use masticfall_core::fleet::config::FleetConfig;
use masticfall_core::fleet::report::{EndedRun, RunEnd};
use masticfall_core::fleet::spec::{JobSpec, Resources, TaskKey};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::id::{InstanceName, JobId, Name, PoolName, WaveName, WorkerId};
use masticfall_platform::error::UnavailableSnafu;
use masticfall_platform::fleet::{FleetPlatform, FleetRow};
use masticfall_platform::operation;
use parking_lot::Mutex;
pub use provider::{MachineCallRecord, ProviderMode};
use tokio::sync::Notify;
use tokio::time::Instant;

/// How the store handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Serves calls.
    #[default]
    Up,
    /// Rejects calls without effect.
    Unavailable,
    /// Does not respond to calls, which have no effect.
    Unresponsive,
    /// Commits every second write without a response.
    LosesResponses,
    /// Commits every second write seconds later, without a response.
    DelaysWrites,
}

/// One run as it actually happened on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Task that ran.
    pub task: TaskKey,
    /// Attempt number.
    pub attempt: u32,
    /// Worker on which the task ran.
    pub worker: WorkerId,
    /// Start time, in milliseconds of simulated time.
    pub started_ms: u64,
    /// Time and kind of the end; `None` while running.
    pub ended: Option<(u64, RunEnd)>,
    /// Time at which the end was acknowledged, in milliseconds of simulated time; the worker
    /// then discards it.
    pub acknowledged_ms: Option<u64>,
    /// Whether the worker's lease lapsed between the end and its acknowledgement,
    /// after which the platform's contract permits another run of the task.
    pub lapsed_unacknowledged: bool,
    /// Resources used.
    pub needs: Resources,
}

#[derive(Debug)]
struct SimulatedRun {
    record_index: usize,
    done_ms: u64,
    pace_percent: u32,
}

#[derive(Debug)]
struct SimulatedWorker {
    facts: WorkerFacts,
    instance: InstanceName,
    /// When its life began and its clock was at zero, in milliseconds of simulated time.
    begun_ms: u64,
    fencing_token: u32,
    /// End of its lease, in milliseconds of simulated time.
    lease_until_ms: u64,
    running: IndexMap<(TaskKey, u32), SimulatedRun>,
    ended: Vec<EndedRun>,
    ended_count: u64,
    /// Highest attempt of each task that was stopped or ended on the worker.
    highest_closed_attempts: IndexMap<TaskKey, u32>,
    /// How it crashed, while it is down.
    crashed: Option<CrashPlan>,
    is_unresponsive: bool,
    is_listed: bool,
}

#[derive(Debug, Default)]
struct WorldState {
    /// Longest lease that workers hold, in milliseconds.
    max_lease_ms: u64,
    version: u64,
    rows: BTreeMap<(&'static str, Name, Name), (Vec<u8>, u64)>,
    row_log: Vec<(&'static str, FleetRow)>,
    process_modes: IndexMap<Name, StoreMode>,
    store_mode: StoreMode,
    /// Number of writes in a mode that loses or delays every second one.
    faulty_writes: u64,
    config: Option<(Arc<FleetConfig>, u64)>,
    evacuations: Evacuations,
    workers: IndexMap<WorkerId, SimulatedWorker>,
    worker_log: Vec<(u64, WorkerId)>,
    record: Vec<RunRecord>,
    specs: IndexMap<JobId, JobSpec>,
    delayed_start_every: u64,
    starts: u64,
    machine_calls: Vec<MachineCallRecord>,
    /// Tasks that crash each worker that starts them.
    crashing_tasks: IndexMap<TaskKey, CrashingTask>,
    crashes: Vec<CrashRecord>,
    /// Number of standby instances in addition to the workers' instances.
    standby: usize,
    is_provider_down: bool,
    provider_mode: ProviderMode,
    /// Instances whose maintenance has begun, by wave.
    maintained: IndexSet<(WaveName, InstanceName)>,
    /// Time that opening a connection to the provider takes, in milliseconds.
    provider_connect_ms: u64,
    /// Bandwidth of the links of processes in bytes per millisecond, and the time at which
    /// each link has carried all responses so far.
    links: IndexMap<Name, (u64, u64)>,
    /// Time at which each partition finishes its pending transactions.
    part_free_ms: IndexMap<Name, u64>,
    /// Time that a partition takes for a transaction; 0 for no limit.
    part_write_ms: u64,
    /// Number of times that the open connections of feeds went silent.
    feed_silences: u64,
    worker_links: WorkerLinks,
}

/// The simulated platform, its store and its workers.
#[derive(Debug)]
pub struct World {
    state: Mutex<WorldState>,
    changed: Notify,
    started: Instant,
}

/// Capacity of a simulated worker.
const CAPACITY: Resources = Resources { cpu_millis: 8_000, memory_mib: 64_000, accelerators: 0 };

/// Latency of a call, in milliseconds.
const CALL_LATENCY_MS: u64 = 2;

/// Delay of a write under [`StoreMode::DelaysWrites`], in milliseconds.
const WRITE_DELAY_MS: u64 = 3_000;

/// Longest lease that workers hold unless a test sets another, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;

/// Time after which a call without a response fails, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 700;

impl World {
    /// Creates a platform with `workers` workers in one pool.
    pub fn new(workers: usize, pool: &str) -> Arc<Self> {
        let mut state = WorldState { max_lease_ms: MAX_LEASE_MS, ..WorldState::default() };
        for number in 0..workers {
            let id = WorkerId::from(format!("w{number}"));
            let facts = WorkerFacts {
                id: id.clone(),
                address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
                pool: PoolName::from(pool),
                data_centre: "dc".into(),
                labels: vec!["kind".into(), format!("r{}", number / 4).into()],
                capacity: CAPACITY,
                is_draining: false,
                born_wall_ms: 1 + number as u64,
            };
            let instance = InstanceName::from(format!("m{number}"));
            state.workers.insert(id.clone(), SimulatedWorker::new(facts, instance));
            state.version += 1;
            state.worker_log.push((state.version, id));
        }
        Arc::new(Self { state: Mutex::new(state), changed: Notify::new(), started: Instant::now() })
    }

    /// Returns the simulated time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        // Does not start at zero, which leases and failover treat as "never".
        1_000_000 + self.started.elapsed().as_millis() as u64
    }

    /// Publishes a configuration.
    pub fn set_config(&self, config: Arc<FleetConfig>) {
        let mut state = self.state.lock();
        state.version += 1;
        state.config = Some((config, state.version));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets how the store handles the calls of all processes.
    pub fn set_store(&self, mode: StoreMode) {
        self.state.lock().store_mode = mode;
        self.changed.notify_waiters();
    }

    /// Returns how the store handles the calls of all processes.
    pub fn store_mode(&self) -> StoreMode {
        self.state.lock().store_mode
    }

    /// Returns the facts of all workers.
    pub fn worker_facts(&self) -> Vec<WorkerFacts> {
        self.state.lock().workers.values().map(|worker| worker.facts.clone()).collect()
    }

    /// Sets how the store handles the calls of one process while it is up.
    pub fn set_store_for(&self, process: &str, mode: StoreMode) {
        self.state.lock().process_modes.insert(process.into(), mode);
        self.changed.notify_waiters();
    }

    /// Sets the longest lease that workers hold, in milliseconds: they shorten longer ones.
    pub fn set_max_lease_ms(&self, ms: u64) {
        self.state.lock().max_lease_ms = ms;
    }

    /// Limits the link over which a process reads rows to `bytes_per_ms`.
    pub fn set_link_bytes_per_ms(&self, process: &str, bytes_per_ms: u64) {
        self.state.lock().links.insert(process.into(), (bytes_per_ms, 0));
    }

    /// Makes each partition of the store execute its transactions one at a time, each
    /// taking `ms` milliseconds; 0 removes the limit.
    pub fn set_part_write_ms(&self, ms: u64) {
        self.state.lock().part_write_ms = ms;
    }

    /// Lets the connections on which feeds wait go silent for good: these requests get no
    /// response, while new ones work.
    pub fn silence_open_feeds(&self) {
        self.state.lock().feed_silences += 1;
    }

    /// Sets whether a worker is about to leave, and lists it so.
    pub fn set_draining(&self, worker: usize, is_draining: bool) {
        let mut state = self.state.lock();
        let Some((id, worker)) = state.workers.get_index_mut(worker) else { return };
        worker.facts.is_draining = is_draining;
        let id = id.clone();
        state.version += 1;
        let version = state.version;
        state.worker_log.push((version, id));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets whether a worker is unresponsive and unlisted; its running tasks continue.
    pub fn set_silent(&self, worker: usize, is_unresponsive: bool) {
        let mut state = self.state.lock();
        let now_ms = self.now_ms();
        let Some((id, worker)) = state.workers.get_index_mut(worker) else { return };
        worker.is_unresponsive = is_unresponsive;
        worker.is_listed = !is_unresponsive;
        let id = id.clone();
        state.advance(now_ms);
        state.version += 1;
        let version = state.version;
        state.worker_log.push((version, id));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Delays one in `every` task starts, which then gets no response; 0 for none.
    pub fn set_delayed_starts(&self, every: u64) {
        self.state.lock().delayed_start_every = every;
    }

    /// Registers a job's specification, which real workers would read from the payload.
    pub fn register_job(&self, id: &JobId, spec: &JobSpec) {
        self.state.lock().specs.insert(id.clone(), spec.clone());
    }

    /// Returns the record of all runs so far.
    pub fn record(&self) -> Vec<RunRecord> {
        let mut state = self.state.lock();
        state.advance(self.now_ms());
        state.record.clone()
    }

    /// Returns the specifications of all registered jobs.
    pub fn specs(&self) -> IndexMap<JobId, JobSpec> {
        self.state.lock().specs.clone()
    }

    /// Returns the number of rows in a table.
    pub fn count_rows(&self, table: &str) -> usize {
        self.state.lock().rows.keys().filter(|(name, ..)| *name == table).count()
    }

    /// Returns the platform as seen by a process.
    pub fn platform(self: &Arc<Self>, process: &str) -> FleetPlatform {
        let process = Name::from(process);
        FleetPlatform {
            transact: store::transact(self, &process),
            range: store::range(self, &process),
            follow: store::follow(self, &process),
            operator_list: store::operator_list(self, &process),
            operator_follow: store::operator_follow(self, &process),
            report_wave: operation(|_| async { Ok(()) }),
            worker_list: store::worker_list(self, &process),
            worker_follow: store::worker_follow(self, &process),
            start: workers::start(self, &process),
            stop: workers::stop(self, &process),
            pace: workers::pace(self, &process),
            poll: workers::poll(self, &process),
            machines: self.machines(),
            change_machine: self.change_machine(),
            advise: operation(|_| async {
                UnavailableSnafu { reason: "the simulated platform has no placement policy" }.fail()
            }),
            traffic: Arc::default(),
        }
    }
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

impl SimulatedWorker {
    fn new(facts: WorkerFacts, instance: InstanceName) -> Self {
        Self {
            facts,
            instance,
            begun_ms: 0,
            fencing_token: 0,
            lease_until_ms: 0,
            running: IndexMap::new(),
            ended: Vec::new(),
            ended_count: 0,
            highest_closed_attempts: IndexMap::new(),
            crashed: None,
            is_unresponsive: false,
            is_listed: true,
        }
    }
}

impl WorldState {
    fn mode_for(&self, process: &Name) -> StoreMode {
        if self.store_mode == StoreMode::Up {
            return self.process_modes.get(process).copied().unwrap_or_default();
        }
        self.store_mode
    }

    /// Ends the runs that are done or whose lease has lapsed.
    fn advance(&mut self, now_ms: u64) {
        for worker in self.workers.values_mut() {
            let lapsed_ms = worker.lease_until_ms;
            let ended: Vec<(TaskKey, u32)> = worker
                .running
                .iter()
                .filter(|(_, run)| run.done_ms.min(lapsed_ms) <= now_ms)
                .map(|(key, _)| key.clone())
                .collect();
            for key in ended {
                let run = &worker.running[&key];
                let (at_ms, end) = if run.done_ms <= lapsed_ms {
                    (run.done_ms, RunEnd::Done)
                } else {
                    (lapsed_ms, RunEnd::Lapsed)
                };
                worker.end(&mut self.record, &key, at_ms, end);
            }
        }
    }
}

impl SimulatedWorker {
    /// Returns the time by its clock, which begins anew with each life.
    fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.begun_ms
    }

    /// Returns whether a call is meant for this life of the worker, or for any.
    fn is_meant(&self, born_wall_ms: Option<u64>) -> bool {
        born_wall_ms.is_none_or(|born_wall_ms| born_wall_ms == self.facts.born_wall_ms)
    }

    /// Extends its lease to a deadline by its clock, by `max_lease_ms` at most.
    fn extend_lease(&mut self, deadline_ms: u64, max_lease_ms: u64, now_ms: u64) {
        let left_ms = deadline_ms.saturating_sub(self.clock_ms(now_ms)).min(max_lease_ms);
        self.lease_until_ms = self.lease_until_ms.max(now_ms + left_ms);
    }

    fn end(&mut self, record: &mut [RunRecord], key: &(TaskKey, u32), at_ms: u64, end: RunEnd) {
        let Some(run) = self.running.shift_remove(key) else { return };
        record[run.record_index].ended = Some((at_ms, end));
        self.ended_count += 1;
        let (task, attempt) = key.clone();
        let highest = self.highest_closed_attempts.entry(task.clone()).or_default();
        *highest = (*highest).max(attempt);
        let number = self.ended_count;
        self.ended.push(EndedRun { number, task, attempt, end, checkpoint: None });
    }

    /// Marks unacknowledged ends if the lease lapsed before it is renewed.
    fn mark_lapsed_ends(&self, record: &mut [RunRecord], now_ms: u64) {
        if now_ms < self.lease_until_ms {
            return;
        }
        let runs = record.iter_mut().filter(|run| run.worker == self.facts.id);
        for run in runs.filter(|run| run.ended.is_some() && run.acknowledged_ms.is_none()) {
            run.lapsed_unacknowledged = true;
        }
    }

    fn acknowledge(&mut self, record: &mut [RunRecord], ack_cursor: u64, now_ms: u64) {
        let acknowledged: IndexSet<(TaskKey, u32)> = self
            .ended
            .iter()
            .filter(|ended| ended.number <= ack_cursor)
            .map(|ended| (ended.task.clone(), ended.attempt))
            .collect();
        self.ended.retain(|ended| ended.number > ack_cursor);
        let runs = record.iter_mut().filter(|run| run.worker == self.facts.id);
        for run in runs.filter(|run| acknowledged.contains(&(run.task.clone(), run.attempt))) {
            run.acknowledged_ms.get_or_insert(now_ms);
        }
    }
}
