//! A model of a platform that runs fleets of workers, behind its seam.
//!
//! The model keeps its own record of runs, which the checks in [`check`] read.
//! Faults are switched by tests: a store that is down, refuses one process or
//! loses answers; workers that fall silent; orders that are carried out late.

pub mod check;
mod store;
mod workers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use masticfall_core::fleet::config::FleetConfig;
use masticfall_core::fleet::report::{EndedRun, RunEnd};
use masticfall_core::fleet::spec::{JobSpec, Resources, TaskKey};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::id::{InstanceName, JobId, Name, PoolName, WorkerId};
use masticfall_platform::error::UnavailableSnafu;
use masticfall_platform::fleet::{
    FleetPlatform, FleetRow, Machine, MachineCall, MachineOutcome, MachineState,
};
use masticfall_platform::{operation, operation_on};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How the store treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// It serves them.
    #[default]
    Up,
    /// It refuses them, and does nothing.
    Unavailable,
    /// It doesn't answer, and does nothing.
    Unresponsive,
    /// It carries out every other write and loses the answer.
    LosesResponses,
    /// It carries out every other write seconds later, and without an answer.
    DelaysWrites,
}

/// What really happened to one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// When it began, in milliseconds of the model.
    pub started_ms: u64,
    /// When and how it ended.
    pub ended: Option<(u64, RunEnd)>,
    /// When the worker was allowed to forget the end.
    pub acknowledged_ms: Option<u64>,
    /// Whether the worker's lease lapsed after the end and before that, in
    /// which case the platform's contract lets the task run again.
    pub lapsed_unacknowledged: bool,
    /// What it took.
    pub needs: Resources,
}

/// A call about an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineCallRecord {
    /// The instance.
    pub instance: InstanceName,
    /// Who called.
    pub holder: Name,
    /// When, in milliseconds of the model.
    pub at_ms: u64,
}

#[derive(Debug)]
struct ModelRun {
    record: usize,
    done_ms: u64,
    pace_percent: u32,
}

#[derive(Debug)]
struct ModelWorker {
    facts: WorkerFacts,
    instance: InstanceName,
    token: u32,
    lease_until_ms: u64,
    running: IndexMap<(TaskKey, u32), ModelRun>,
    ended: Vec<EndedRun>,
    ends: u64,
    /// Highest run of each task that was stopped or ended here.
    refused: IndexMap<TaskKey, u32>,
    is_alive: bool,
    is_silent: bool,
    is_listed: bool,
}

#[derive(Debug, Default)]
struct WorldState {
    version: u64,
    rows: BTreeMap<(&'static str, Name, Name), (Vec<u8>, u64)>,
    log: Vec<(&'static str, FleetRow)>,
    modes: IndexMap<Name, StoreMode>,
    mode: StoreMode,
    lost: u64,
    config: Option<(Arc<FleetConfig>, u64)>,
    workers: IndexMap<WorkerId, ModelWorker>,
    worker_log: Vec<(u64, WorkerId)>,
    record: Vec<RunRecord>,
    specs: IndexMap<JobId, JobSpec>,
    delayed_starts: u64,
    orders: u64,
    machine_calls: Vec<MachineCallRecord>,
    /// Instances on standby, beside those of the workers.
    standby: usize,
    is_provider_down: bool,
    /// When each part has carried out what it was asked for.
    part_free_ms: IndexMap<Name, u64>,
    part_write_ms: u64,
}

/// The model.
#[derive(Debug)]
pub struct World {
    state: Mutex<WorldState>,
    changed: Notify,
    begun: Instant,
}

/// Capacity of a model worker.
const CAPACITY: Resources = Resources { cpu_millis: 8_000, memory_mib: 64_000, accelerators: 0 };

/// Time of a call, in milliseconds.
const CALL_MS: u64 = 2;

/// Time after which a late write is carried out, in milliseconds.
const LATE_MS: u64 = 3_000;

/// Time after which a call without an answer is given up, in milliseconds.
const GIVE_UP_MS: u64 = 700;

impl World {
    /// Makes a world with `workers` workers in a pool.
    pub fn new(workers: usize, pool: &str) -> Arc<Self> {
        let mut state = WorldState::default();
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
            state.workers.insert(id.clone(), ModelWorker::new(facts, instance));
            state.version += 1;
            state.worker_log.push((state.version, id));
        }
        Arc::new(Self { state: Mutex::new(state), changed: Notify::new(), begun: Instant::now() })
    }

    /// Returns the model's time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        // Leases and take-overs compare with zero as "never".
        1_000_000 + self.begun.elapsed().as_millis() as u64
    }

    /// Puts a configuration in force.
    pub fn set_config(&self, config: Arc<FleetConfig>) {
        let mut state = self.state.lock();
        state.version += 1;
        state.config = Some((config, state.version));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets how the store treats everybody.
    pub fn set_store(&self, mode: StoreMode) {
        self.state.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Returns how the store treats everybody.
    pub fn store_mode(&self) -> StoreMode {
        self.state.lock().mode
    }

    /// Returns what the workers are.
    pub fn worker_facts(&self) -> Vec<WorkerFacts> {
        self.state.lock().workers.values().map(|worker| worker.facts.clone()).collect()
    }

    /// Sets how the store treats one process.
    pub fn set_store_for(&self, process: &str, mode: StoreMode) {
        self.state.lock().modes.insert(process.into(), mode);
        self.changed.notify_waiters();
    }

    /// Lists so many instances in the pool `spare`, which stands by.
    pub fn set_standby(&self, instances: usize) {
        self.state.lock().standby = instances;
    }

    /// Lets the provider of instances refuse all calls, or answer again.
    pub fn set_provider_down(&self, is_down: bool) {
        self.state.lock().is_provider_down = is_down;
    }

    /// Lets each part of the store carry out its transactions one after the
    /// other, in so many milliseconds each; 0 for all at once.
    pub fn set_part_write_ms(&self, ms: u64) {
        self.state.lock().part_write_ms = ms;
    }

    /// Makes a worker silent, or lets it answer again; what it runs goes on.
    pub fn set_silent(&self, worker: usize, is_silent: bool) {
        let mut state = self.state.lock();
        let now_ms = self.now_ms();
        let Some((id, worker)) = state.workers.get_index_mut(worker) else { return };
        worker.is_silent = is_silent;
        worker.is_listed = !is_silent;
        let id = id.clone();
        state.advance(now_ms);
        state.version += 1;
        let version = state.version;
        state.worker_log.push((version, id));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Lets one of `every` orders be carried out late and without an answer; 0 for none.
    pub fn set_delayed_starts(&self, every: u64) {
        self.state.lock().delayed_starts = every;
    }

    /// Tells the model what a job's tasks are, which its workers read from the payload.
    pub fn register_job(&self, id: &JobId, spec: &JobSpec) {
        self.state.lock().specs.insert(id.clone(), spec.clone());
    }

    /// Returns the record of runs up to now.
    pub fn record(&self) -> Vec<RunRecord> {
        let mut state = self.state.lock();
        state.advance(self.now_ms());
        state.record.clone()
    }

    /// Returns the jobs that the model knows.
    pub fn specs(&self) -> IndexMap<JobId, JobSpec> {
        self.state.lock().specs.clone()
    }

    /// Returns how many rows a table holds.
    pub fn count_rows(&self, table: &str) -> usize {
        self.state.lock().rows.keys().filter(|(name, ..)| *name == table).count()
    }

    /// Returns the platform as a process reaches it.
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
            start: workers::start(self),
            stop: workers::stop(self),
            pace: workers::pace(self),
            look: workers::look(self),
            machines: self.machines(),
            change_machine: self.change_machine(),
            advise: operation(|_| async {
                UnavailableSnafu { reason: "the model has no placement policy" }.fail()
            }),
        }
    }

    /// Returns the calls about instances up to now.
    pub fn machine_calls(&self) -> Vec<MachineCallRecord> {
        self.state.lock().machine_calls.clone()
    }

    /// Records each call; the instances are always busy.
    fn change_machine(
        self: &Arc<Self>,
    ) -> masticfall_platform::Operation<MachineCall, MachineOutcome> {
        operation_on(self, move |world, call: MachineCall| async move {
            pause(CALL_MS).await;
            let MachineCall { instance, holder, .. } = call;
            let at_ms = world.now_ms();
            let record = MachineCallRecord { instance, holder, at_ms };
            world.state.lock().machine_calls.push(record);
            Ok(MachineOutcome::Busy)
        })
    }

    fn machines(self: &Arc<Self>) -> masticfall_platform::Operation<(), Vec<Machine>> {
        operation_on(self, move |world, ()| async move {
            pause(CALL_MS).await;
            let state = world.state.lock();
            if state.is_provider_down {
                return UnavailableSnafu { reason: "the provider refuses" }.fail();
            }
            let standby = (0..state.standby).map(|number| Machine {
                instance: InstanceName::from(format!("s{number}")),
                pool: PoolName::from("spare"),
                state: MachineState::Up,
                data_centre: "dc".into(),
                capacity: CAPACITY,
                worker: None,
            });
            let machines = state.workers.values().map(|worker| Machine {
                instance: worker.instance.clone(),
                pool: worker.facts.pool.clone(),
                state: MachineState::Up,
                data_centre: worker.facts.data_centre.clone(),
                capacity: worker.facts.capacity,
                worker: Some(worker.facts.id.clone()),
            });
            Ok(machines.chain(standby).collect())
        })
    }
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

impl ModelWorker {
    fn new(facts: WorkerFacts, instance: InstanceName) -> Self {
        Self {
            facts,
            instance,
            token: 0,
            lease_until_ms: 0,
            running: IndexMap::new(),
            ended: Vec::new(),
            ends: 0,
            refused: IndexMap::new(),
            is_alive: true,
            is_silent: false,
            is_listed: true,
        }
    }
}

impl WorldState {
    fn mode_of(&self, process: &Name) -> StoreMode {
        if self.mode == StoreMode::Up {
            return self.modes.get(process).copied().unwrap_or_default();
        }
        self.mode
    }

    /// Ends runs that are done or whose lease is over.
    fn advance(&mut self, now_ms: u64) {
        for worker in self.workers.values_mut() {
            let lapse_ms = worker.lease_until_ms;
            let over: Vec<(TaskKey, u32)> = worker
                .running
                .iter()
                .filter(|(_, run)| run.done_ms.min(lapse_ms) <= now_ms)
                .map(|(key, _)| key.clone())
                .collect();
            for key in over {
                let run = &worker.running[&key];
                let (at_ms, end) = if run.done_ms <= lapse_ms {
                    (run.done_ms, RunEnd::Done)
                } else {
                    (lapse_ms, RunEnd::Lapsed)
                };
                worker.end(&mut self.record, &key, at_ms, end);
            }
        }
    }
}

impl ModelWorker {
    fn end(&mut self, record: &mut [RunRecord], key: &(TaskKey, u32), at_ms: u64, end: RunEnd) {
        let Some(run) = self.running.shift_remove(key) else { return };
        record[run.record].ended = Some((at_ms, end));
        self.ends += 1;
        let (task, attempt) = key.clone();
        let highest = self.refused.entry(task.clone()).or_default();
        *highest = (*highest).max(attempt);
        let number = self.ends;
        self.ended.push(EndedRun { number, task, attempt, end, checkpoint: None });
    }

    /// Notes that the lease was over before it is extended again.
    fn note_lapse(&self, record: &mut [RunRecord], now_ms: u64) {
        if now_ms < self.lease_until_ms {
            return;
        }
        let here = record.iter_mut().filter(|run| run.worker == self.facts.id);
        for run in here.filter(|run| run.ended.is_some() && run.acknowledged_ms.is_none()) {
            run.lapsed_unacknowledged = true;
        }
    }

    fn forget(&mut self, record: &mut [RunRecord], stored_end: u64, now_ms: u64) {
        let forgotten: IndexSet<(TaskKey, u32)> = self
            .ended
            .iter()
            .filter(|ended| ended.number <= stored_end)
            .map(|ended| (ended.task.clone(), ended.attempt))
            .collect();
        self.ended.retain(|ended| ended.number > stored_end);
        let here = record.iter_mut().filter(|run| run.worker == self.facts.id);
        for run in here.filter(|run| forgotten.contains(&(run.task.clone(), run.attempt))) {
            run.acknowledged_ms.get_or_insert(now_ms);
        }
    }
}
