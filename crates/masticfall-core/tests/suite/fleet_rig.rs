//! Test rig: a board with a simulated store and simulated workers.

use std::sync::Arc;

use masticfall_core::fleet::board::{
    Batch, BatchWrite, Board, BoardTimings, Now, Order, StartOrder,
};
use masticfall_core::fleet::config::{
    AccountConfig, FleetConfig, PoolConfig, QueueConfig, RequestBounds,
};
use masticfall_core::fleet::progress::{EndedRow, ProgressRow};
use masticfall_core::fleet::report::{
    ActiveRun, EndedRun, MAX_REPORTED_ENDS, RunEnd, StartOutcome, WorkerReport,
};
use masticfall_core::fleet::spec::{JobRecord, JobSpec, Resources, StepSpec, TaskKey};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::prelude::*;

pub const LEASE_MS: u64 = 6_000;

/// Longest lease that a simulated worker holds.
pub const MAX_LEASE_MS: u64 = 10_000;

pub fn timings() -> BoardTimings {
    BoardTimings {
        lease_ms: LEASE_MS,
        max_lease_ms: MAX_LEASE_MS,
        stop_grace_ms: 900,
        takeover_overlap_ms: 4_000,
    }
}

pub fn now(steady_ms: u64) -> Now {
    Now { steady_ms, wall_ms: 1_000_000 + steady_ms }
}

pub fn queue(name: &str, pool: &str) -> QueueConfig {
    QueueConfig {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        pool: pool.into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        target_ms: 600,
        is_open: false,
        advice: None,
    }
}

pub fn config(version: u64, limit: Resources) -> Arc<FleetConfig> {
    let mut queues = IndexMap::new();
    queues.insert(QueueName::from("q"), queue("q", "p"));
    let mut pools = IndexMap::new();
    pools.insert(PoolName::from("p"), PoolConfig { checks_capacity: true, is_standby: false });
    pools.insert(PoolName::from("spare"), PoolConfig { checks_capacity: true, is_standby: true });
    let mut accounts = IndexMap::new();
    accounts.insert(AccountName::from("a"), AccountConfig { weight: 1.0, limit });
    let bounds = RequestBounds { max_header_bytes: 1_000, max_body_bytes: 1_000 };
    Arc::new(FleetConfig { version, queues, pools, accounts, keys: IndexMap::new(), bounds })
}

pub fn facts(id: &str, cores: u64) -> WorkerFacts {
    WorkerFacts {
        id: id.into(),
        address: ([127, 0, 0, 1], 9).into(),
        pool: "p".into(),
        data_centre: "dc".into(),
        labels: vec!["kind".into(), format!("rack-{id}").into()],
        capacity: Resources { cpu_millis: cores * 1_000, memory_mib: 64_000, accelerators: 0 },
        is_draining: false,
        born_wall_ms: 5,
    }
}

pub fn step(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        tasks,
        needs: Resources { cpu_millis: cores * 1_000, memory_mib: 100, accelerators: 0 },
        estimate_ms: 800,
        ..StepSpec::default()
    }
}

pub fn record(steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        queue: "q".into(),
        account: Some("a".into()),
        spec: JobSpec {
            payload: "payload".into(),
            steps,
            repeat: 0,
            first_due_wall_ms: 0,
            interval_ms: 0,
        },
        accepted_wall_ms: 1_000_000,
    }
}

/// Age of the simulated workers at time zero.
const FIRST_AGE_MS: u64 = 60_000;

/// A simulated worker, whose clock starts anew with each incarnation.
#[derive(Debug, Default, Clone)]
pub struct FakeWorker {
    pub running: Vec<ActiveRun>,
    pub ended: Vec<EndedRun>,
    pub end_count: u64,
    /// Time of its last restart, and how often it has restarted.
    pub restarted: Option<(u64, u64)>,
    /// End of its lease, by the local clock.
    pub lease_until_ms: u64,
}

impl FakeWorker {
    fn clock_ms(&self, now_ms: u64) -> u64 {
        self.restarted.map_or(FIRST_AGE_MS + now_ms, |(at_ms, _)| now_ms - at_ms)
    }

    fn born_wall_ms(&self) -> u64 {
        5 + self.restarted.map_or(0, |(_, restarts)| restarts)
    }

    /// Extends its lease to a deadline by its clock, cut to the longest lease that it holds.
    fn extend_lease(&mut self, deadline_ms: u64, now_ms: u64) {
        let left_ms = deadline_ms.saturating_sub(self.clock_ms(now_ms)).min(MAX_LEASE_MS);
        self.lease_until_ms = self.lease_until_ms.max(now_ms + left_ms);
    }
}

/// A board with the contents of its store and the state of its workers.
#[derive(Debug)]
pub struct Rig {
    pub board: Board,
    pub jobs: IndexMap<JobId, JobRecord>,
    pub ended: IndexMap<JobId, EndedRow>,
    pub progress: IndexMap<JobId, ProgressRow>,
    pub workers: IndexMap<WorkerId, FakeWorker>,
    pub now_ms: u64,
    pub started: Vec<StartOrder>,
    pub other_orders: Vec<Order>,
}

impl Rig {
    pub fn new(workers: &[(&str, u64)]) -> Self {
        let mut board = Board::new(1, timings(), 1_000);
        board.set_config(config(1, Resources::default()));
        let mut rig = Self {
            board,
            jobs: IndexMap::new(),
            ended: IndexMap::new(),
            progress: IndexMap::new(),
            workers: IndexMap::new(),
            now_ms: 1_000,
            started: Vec::new(),
            other_orders: Vec::new(),
        };
        for (id, cores) in workers {
            rig.board.list_worker(facts(id, *cores));
            rig.workers.insert((*id).into(), FakeWorker::default());
        }
        rig.poll_all();
        rig
    }

    pub fn submit(&mut self, id: &str, steps: Vec<StepSpec>) {
        let record = record(steps);
        self.jobs.insert(id.into(), record.clone());
        self.board.accept(&id.into(), record, now(self.now_ms));
    }

    /// Places tasks, stores batches and executes orders until nothing is left to do.
    pub fn settle(&mut self) {
        for _ in 0..20 {
            self.board.place(self.now_ms);
            self.store();
            self.execute_orders();
        }
    }

    pub fn store(&mut self) {
        loop {
            let batch: Batch = self.board.take_batch(now(self.now_ms).wall_ms);
            let is_empty = batch.writes.is_empty();
            for write in &batch.writes {
                match write {
                    BatchWrite::Progress(id, row) => {
                        self.progress.insert(id.clone(), row.clone());
                    }
                    BatchWrite::Ended(id, row) => {
                        self.progress.swap_remove(id);
                        self.jobs.swap_remove(id);
                        self.ended.insert(id.clone(), row.clone());
                    }
                }
            }
            self.board.batch_stored(batch, self.now_ms);
            if is_empty {
                return;
            }
        }
    }

    /// Lets the workers accept all start orders; other orders are kept for the test.
    pub fn execute_orders(&mut self) {
        for order in self.board.take_orders() {
            let Order::Start(start) = order else {
                self.other_orders.push(order);
                continue;
            };
            self.run(&start.worker, &start.task, start.attempt);
            self.workers[&start.worker].extend_lease(start.lease_deadline_ms, self.now_ms);
            self.board.start_result(
                &start.worker,
                &start.task,
                start.attempt,
                StartOutcome::Started,
                self.now_ms,
            );
            self.started.push(start);
        }
    }

    pub fn run(&mut self, worker: &WorkerId, task: &TaskKey, attempt: u32) {
        let run = ActiveRun { task: task.clone(), attempt, checkpoint: None, percent: 0, load: 0 };
        self.workers[worker].running.push(run);
    }

    /// Lets a worker restart under its identifier: it runs nothing and knows nothing.
    pub fn restart(&mut self, id: &WorkerId) {
        let restarts = self.workers[id].restarted.map_or(0, |(_, restarts)| restarts);
        let restarted = Some((self.now_ms, restarts + 1));
        self.workers[id] = FakeWorker { restarted, ..FakeWorker::default() };
    }

    /// Ends the runs of a task on the workers.
    pub fn end(&mut self, task: &str, end: RunEnd) {
        let key = TaskKey::parse(task).expect("valid task key");
        for worker in self.workers.values_mut() {
            let Some(at) = worker.running.iter().position(|run| run.task == key) else { continue };
            let run = worker.running.remove(at);
            worker.end_count += 1;
            let number = worker.end_count;
            let (task, attempt, checkpoint) = (run.task, run.attempt, None);
            worker.ended.push(EndedRun { number, task, attempt, end, checkpoint });
        }
    }

    pub fn poll(&mut self, id: &WorkerId) {
        let Some(poll) = self.board.poll(id, self.now_ms) else { return };
        let worker = &mut self.workers[id];
        worker.ended.retain(|ended| ended.number > poll.ack_cursor);
        if let Some(deadline_ms) = poll.lease_deadline_ms {
            worker.extend_lease(deadline_ms, self.now_ms);
        }
        let report = WorkerReport {
            clock_ms: worker.clock_ms(self.now_ms),
            born_wall_ms: worker.born_wall_ms(),
            running: worker.running.clone(),
            ended: worker.ended.iter().take(MAX_REPORTED_ENDS).cloned().collect(),
        };
        let sent_ms = self.now_ms;
        self.now_ms += 2;
        self.board.report(id, sent_ms, report, self.now_ms);
    }

    pub fn poll_all(&mut self) {
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.poll(&id);
        }
    }

    /// Places and starts tasks, and completes those that started `run_ms` ago. Returns
    /// the jobs that ended.
    pub fn tick(&mut self, running: &mut Vec<(u64, String)>, run_ms: u64) -> Vec<JobId> {
        let started = self.started.len();
        self.board.place(self.now_ms);
        self.store();
        self.execute_orders();
        for start in &self.started[started..] {
            running.push((self.now_ms + run_ms, start.task.to_string()));
        }
        let due: Vec<String> =
            running.iter().filter(|(at, _)| *at <= self.now_ms).map(|(_, t)| t.clone()).collect();
        running.retain(|(at, _)| *at > self.now_ms);
        for task in due {
            self.end(&task, RunEnd::Done);
        }
        let before: Vec<JobId> = self.board.jobs.keys().cloned().collect();
        self.poll_all();
        self.store();
        before.into_iter().filter(|id| !self.board.jobs.contains_key(id)).collect()
    }

    pub fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        self.board.advance(now(self.now_ms));
    }

    /// Replaces the board by one that takes over the cell from the contents of the store.
    pub fn take_over(&mut self, epoch: u32) {
        let config = self.board.config.clone().expect("configuration is set");
        self.board = Board::new(epoch, timings(), self.now_ms);
        self.board.set_config(config);
        for (id, row) in &self.jobs {
            let progress = self.progress.get(id).cloned();
            self.board.load(id, row.clone(), progress, now(self.now_ms));
        }
    }

    pub fn list(&mut self, workers: &[(&str, u64)]) {
        for (id, cores) in workers {
            self.board.list_worker(facts(id, *cores));
        }
    }

    /// Returns the attempt numbers of the active runs of a task.
    pub fn active_attempts(&self, task: &str) -> Vec<u32> {
        let key = TaskKey::parse(task).expect("valid task key");
        let runs = self.workers.values().flat_map(|worker| &worker.running);
        runs.filter(|run| run.task == key).map(|run| run.attempt).collect()
    }
}
