//! A model of a store, workers, and several owners of a cell, with a record of all runs that
//! the code under test doesn't write.

use std::sync::Arc;

use masticfall_core::fleet::board::{Batch, BatchWrite, Board, FoundOpenSet, Order, StartOrder};
use masticfall_core::fleet::config::FleetConfig;
use masticfall_core::fleet::open_set::OpenContent;
use masticfall_core::fleet::progress::ProgressRow;
use masticfall_core::fleet::report::{
    ActiveRun, EndedRun, RunEnd, StartOutcome, StopOutcome, WorkerReport,
};
use masticfall_core::fleet::spec::{JobRecord, Resources, StepSpec, TaskKey};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::prelude::*;

use crate::fleet_early_rules::{Run, check_acked, check_start};
use crate::fleet_rig::{config, facts, now, record, step, timings};

pub const WORKERS: [&str; 4] = ["w0", "w1", "w2", "w3"];
const EARLY_MS: u64 = 50;

#[derive(Debug, Default)]
struct Worker {
    token: u32,
    lease_until_ms: u64,
    born: u64,
    is_silent: bool,
    running: Vec<usize>,
    ended: Vec<(u64, usize)>,
    end_count: u64,
    closed: IndexMap<TaskKey, u32>,
}

#[derive(Debug)]
pub struct Owner {
    pub board: Board,
    pub epoch: u32,
    batch: Option<Batch>,
    orders: Vec<Order>,
    known_jobs: usize,
    stops_at_ms: Option<u64>,
}

#[derive(Debug)]
pub struct World {
    pub now_ms: u64,
    pub owners: Vec<Owner>,
    pub runs: Vec<Run>,
    pub early_starts: u32,
    /// Configuration of new owners.
    pub config: Arc<FleetConfig>,
    epoch: u32,
    workers: IndexMap<WorkerId, Worker>,
    jobs: IndexMap<JobId, JobRecord>,
    progress: IndexMap<JobId, ProgressRow>,
    pub ended: IndexSet<JobId>,
    open: Option<(u32, OpenContent)>,
    open_version: u64,
    /// Writes of the open set that got no answer: epoch, version that they expect, and set.
    late_writes: Vec<(u32, u64, OpenContent)>,
}

impl World {
    pub fn new() -> Self {
        let workers = WORKERS.iter().map(|id| (WorkerId::from(*id), Worker::default()));
        let mut world = Self {
            now_ms: 100_000,
            owners: Vec::new(),
            runs: Vec::new(),
            early_starts: 0,
            config: config(1, Resources::default()),
            epoch: 0,
            workers: workers.collect(),
            jobs: IndexMap::new(),
            progress: IndexMap::new(),
            ended: IndexSet::new(),
            open: None,
            open_version: 0,
            late_writes: Vec::new(),
        };
        world.take_over(false);
        world
    }

    pub fn submit(&mut self, steps: Vec<StepSpec>) {
        let id = JobId::from(format!("{:016x}", self.jobs.len() + 1));
        self.jobs.insert(id, record(steps));
    }

    pub fn submit_chain(&mut self) {
        self.submit(vec![step(2, 2), StepSpec { after: vec![0], ..step(2, 2) }]);
    }

    /// A new owner takes the cell over; the previous one goes on for a while, or has ended.
    pub fn take_over(&mut self, is_previous_alive: bool) {
        if !is_previous_alive {
            self.owners.pop();
        }
        let stops_at_ms = self.now_ms + timings().takeover_overlap_ms;
        for owner in &mut self.owners {
            owner.stops_at_ms.get_or_insert(stops_at_ms);
        }
        self.epoch += 1;
        let mut board = Board::new(self.epoch, timings(), self.now_ms);
        board.set_config(Arc::clone(&self.config));
        for (id, record) in self.jobs.iter().filter(|(id, _)| !self.ended.contains(*id)) {
            let progress = self.progress.get(id).cloned();
            board.load(id, record.clone(), progress, now(self.now_ms));
        }
        let found = match &self.open {
            None => FoundOpenSet::Absent,
            Some((epoch, content)) => {
                let rows = content.to_rows(*epoch);
                let (epoch, content) = OpenContent::from_rows(&rows).expect("complete rows");
                FoundOpenSet::Set(epoch, content)
            }
        };
        board.begin_settling(found, timings().takeover_overlap_ms, self.now_ms);
        board.set_early_start_after(EARLY_MS);
        for id in WORKERS {
            board.list_worker(facts(id, 8));
        }
        self.owners.push(Owner {
            board,
            epoch: self.epoch,
            batch: None,
            orders: Vec::new(),
            known_jobs: self.jobs.len(),
            stops_at_ms: None,
        });
    }

    pub fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        let now_ms = self.now_ms;
        for id in 0..self.workers.len() {
            if self.workers[id].lease_until_ms > now_ms {
                continue;
            }
            for run in self.workers[id].running.clone() {
                self.end(id, run, RunEnd::Lapsed);
            }
            for (_, run) in &self.workers[id].ended {
                self.runs[*run].has_lapsed |= !self.runs[*run].is_acked;
            }
        }
        self.owners.retain(|owner| owner.stops_at_ms.is_none_or(|at_ms| now_ms < at_ms));
        for owner in &mut self.owners {
            owner.board.advance(now(now_ms));
        }
    }

    fn end(&mut self, worker: usize, run: usize, end: RunEnd) {
        let worker = &mut self.workers[worker];
        worker.running.retain(|other| *other != run);
        worker.end_count += 1;
        worker.ended.push((worker.end_count, run));
        let closed = worker.closed.entry(self.runs[run].task.clone()).or_default();
        *closed = (*closed).max(self.runs[run].attempt);
        self.runs[run].end = Some(end);
    }

    /// Ends a run on a worker.
    pub fn end_one(&mut self, worker: usize, end: RunEnd) {
        if let Some(run) = self.workers[worker].running.first().copied() {
            self.end(worker, run, end);
        }
    }

    pub fn set_silent(&mut self, worker: usize, is_silent: bool) {
        self.workers[worker].is_silent = is_silent;
    }

    /// A worker restarts: its runs and the ends that it keeps are lost.
    pub fn restart(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        for run in worker.running.drain(..) {
            self.runs[run].end = Some(RunEnd::Lapsed);
        }
        for (_, run) in worker.ended.drain(..) {
            self.runs[run].has_lapsed |= !self.runs[run].is_acked;
        }
        worker.born += 1;
        worker.end_count = 0;
        worker.closed.clear();
        worker.is_silent = false;
        // Its connections break, so that polls in progress fail.
        for owner in &mut self.owners {
            owner.board.poll_unanswered(&WorkerId::from(WORKERS[index]));
        }
    }

    /// A worker drains, or takes work again.
    pub fn set_draining(&mut self, worker: usize, is_draining: bool) {
        for owner in &mut self.owners {
            owner.board.list_worker(WorkerFacts { is_draining, ..facts(WORKERS[worker], 8) });
        }
    }

    pub fn owner(&self, owner: usize) -> usize {
        owner % self.owners.len()
    }

    /// Places tasks and orders early starts.
    pub fn schedule(&mut self, owner: usize) {
        let owner = &mut self.owners[owner];
        owner.board.place(self.now_ms);
        self.early_starts += owner.board.order_early(self.now_ms);
        owner.orders.extend(owner.board.take_orders());
    }

    pub fn feed(&mut self, owner: usize) {
        let owner = &mut self.owners[owner];
        for (id, record) in self.jobs.iter().skip(owner.known_jobs) {
            if !self.ended.contains(id) {
                owner.board.accept(id, record.clone(), now(self.now_ms));
            }
        }
        owner.known_jobs = self.jobs.len();
        if owner.board.needs_jobs_read() {
            owner.board.jobs_read(self.now_ms);
        }
    }

    /// Begins or finishes the write of a batch: stored, lost, or stored without an answer.
    pub fn store(&mut self, owner: usize, outcome: u8) {
        let now_ms = self.now_ms;
        if self.owners[owner].epoch != self.epoch && self.owners[owner].batch.is_some() {
            if outcome == 0 {
                self.owners.remove(owner);
            }
            return;
        }
        let Owner { board, batch, .. } = &mut self.owners[owner];
        let Some(taken) = batch.take() else {
            *batch = Some(board.take_batch(now(now_ms).wall_ms));
            return;
        };
        if outcome != 1 {
            for write in &taken.writes {
                match write {
                    BatchWrite::Progress(id, row) => {
                        drop(self.progress.insert(id.clone(), row.clone()));
                    }
                    BatchWrite::Ended(id, _) => {
                        self.progress.swap_remove(id);
                        self.ended.insert(id.clone());
                    }
                }
            }
        }
        if outcome == 0 || taken.writes.is_empty() {
            board.batch_stored(taken, now_ms);
        } else {
            board.batch_failed(taken);
        }
    }

    /// Writes the open set: stored, lost for now, or stored without an answer.
    pub fn write_open(&mut self, owner: usize, outcome: u8) {
        let epoch = self.owners[owner].epoch;
        let Some(content) = self.owners[owner].board.plan_open_set() else { return };
        if epoch != self.epoch {
            return;
        }
        if outcome == 1 {
            self.late_writes.push((epoch, self.open_version, content));
            return;
        }
        self.open_version += 1;
        self.open = Some((epoch, content.clone()));
        if outcome == 0 {
            self.owners[owner].board.open_set_stored(content);
        }
    }

    /// A write of the open set takes effect late, if nothing was written since.
    pub fn land_late_write(&mut self) {
        let Some((epoch, version, content)) = self.late_writes.pop() else { return };
        if (epoch, version) == (self.epoch, self.open_version) {
            self.open_version += 1;
            self.open = Some((epoch, content));
        }
    }

    /// The last owner contacts all workers and stores its open set.
    pub fn open(&mut self) {
        let last = self.owners.len() - 1;
        (0..WORKERS.len()).for_each(|worker| self.poll(last, worker, true));
        self.write_open(last, 0);
    }

    /// An owner places tasks and orders them early, as the store doesn't answer.
    pub fn start_early(&mut self, owner: usize) {
        self.feed(owner);
        self.schedule(owner);
        self.advance(EARLY_MS + 10);
        self.schedule(owner);
        self.deliver_all(owner);
    }

    pub fn deliver_all(&mut self, owner: usize) {
        while !self.owners[owner].orders.is_empty() {
            self.deliver(owner, 0, true);
        }
    }

    /// Returns the runs of a step.
    pub fn runs_of(&self, step: u32) -> Vec<&Run> {
        self.runs.iter().filter(|run| run.task.step == step).collect()
    }

    /// Delivers an order; its outcome may be lost.
    pub fn deliver(&mut self, owner: usize, number: usize, is_answered: bool) {
        if self.owners[owner].orders.is_empty() {
            return;
        }
        let at = number % self.owners[owner].orders.len();
        let order = self.owners[owner].orders.remove(at);
        let epoch = self.owners[owner].epoch;
        match order {
            Order::Start(start) => {
                let outcome = self.start(&start, epoch);
                let outcome = if is_answered { outcome } else { StartOutcome::Unknown };
                let board = &mut self.owners[owner].board;
                let StartOrder { worker, task, attempt, .. } = &start;
                board.start_result(worker, task, *attempt, outcome, self.now_ms);
                if outcome == StartOutcome::Fenced {
                    self.owners.remove(owner);
                }
            }
            Order::Stop(stop) => {
                let worker = self.workers.get_index_of(&stop.worker).expect("a worker");
                if self.workers[worker].is_silent || epoch < self.workers[worker].token {
                    return;
                }
                self.workers[worker].token = epoch;
                let closed = self.workers[worker].closed.entry(stop.task.clone()).or_default();
                *closed = (*closed).max(stop.attempt);
                let running = self.workers[worker].running.clone();
                let is_it = |run: &Run| run.task == stop.task && run.attempt == stop.attempt;
                if let Some(run) = running.into_iter().find(|run| is_it(&self.runs[*run])) {
                    self.end(worker, run, RunEnd::Stopped);
                }
                let outcome =
                    if is_answered { StopOutcome::Accepted } else { StopOutcome::Unknown };
                self.owners[owner].board.stop_result(&stop, outcome, self.now_ms);
            }
            Order::Pace(_) => {}
        }
    }

    fn start(&mut self, order: &StartOrder, epoch: u32) -> StartOutcome {
        let index = self.workers.get_index_of(&order.worker).expect("a worker");
        let worker = &mut self.workers[index];
        if worker.is_silent {
            return StartOutcome::Unknown;
        }
        if epoch < worker.token {
            return StartOutcome::Fenced;
        }
        worker.token = epoch;
        if order.lease_deadline_ms <= self.now_ms {
            return StartOutcome::Late;
        }
        let is_it = |run: &&usize| {
            self.runs[**run].task == order.task && self.runs[**run].attempt == order.attempt
        };
        if worker.running.iter().any(|run| is_it(&run)) {
            return StartOutcome::Started;
        }
        if order.attempt <= worker.closed.get(&order.task).copied().unwrap_or_default() {
            return StartOutcome::Superseded;
        }
        if worker.running.len() >= 4 {
            return StartOutcome::NoRoom;
        }
        if worker.lease_until_ms <= self.now_ms {
            for (_, run) in &worker.ended {
                self.runs[*run].has_lapsed |= !self.runs[*run].is_acked;
            }
        }
        worker.lease_until_ms = worker.lease_until_ms.max(order.lease_deadline_ms);
        check_start(&self.runs, &self.jobs, &order.task);
        let job = &order.task.job;
        assert!(!self.ended.contains(job), "{job}: a start after its end");
        self.workers[index].running.push(self.runs.len());
        self.runs.push(Run {
            task: order.task.clone(),
            attempt: order.attempt,
            worker: index,
            end: None,
            is_acked: false,
            has_lapsed: false,
        });
        StartOutcome::Started
    }

    /// Polls a worker; the response may be lost.
    pub fn poll(&mut self, owner: usize, worker: usize, is_answered: bool) {
        let (id, now_ms) = (WorkerId::from(WORKERS[worker]), self.now_ms);
        let epoch = self.owners[owner].epoch;
        let Some(poll) = self.owners[owner].board.poll(&id, now_ms) else { return };
        let state = &mut self.workers[worker];
        if state.is_silent {
            self.owners[owner].board.poll_failed(&id, now_ms);
            return;
        }
        if epoch < state.token {
            self.owners.remove(owner);
            return;
        }
        state.token = epoch;
        state.lease_until_ms = state.lease_until_ms.max(poll.lease_deadline_ms.unwrap_or(0));
        for (number, run) in state.ended.clone() {
            if number <= poll.ack_cursor {
                self.runs[run].is_acked = true;
                check_acked(&self.runs, run);
            }
        }
        let state = &mut self.workers[worker];
        state.ended.retain(|(number, _)| *number > poll.ack_cursor);
        if !is_answered {
            self.owners[owner].board.poll_failed(&id, now_ms);
            return;
        }
        let running = state.running.iter().map(|run| ActiveRun {
            task: self.runs[*run].task.clone(),
            attempt: self.runs[*run].attempt,
            checkpoint: None,
            percent: 0,
            load: 0,
        });
        let ended = state.ended.iter().map(|(number, run)| EndedRun {
            number: *number,
            task: self.runs[*run].task.clone(),
            attempt: self.runs[*run].attempt,
            end: self.runs[*run].end.expect("ended"),
            checkpoint: None,
        });
        let report = WorkerReport {
            clock_ms: now_ms,
            born_wall_ms: state.born,
            running: running.collect(),
            ended: ended.collect(),
        };
        self.owners[owner].board.report(&id, now_ms, report, now_ms + 1);
    }

    /// Lets everything work until all jobs have ended.
    pub fn finish(&mut self) {
        for worker in 0..WORKERS.len() {
            self.set_silent(worker, false);
            self.set_draining(worker, false);
        }
        for _ in 0..400 {
            self.advance(100);
            for owner in (0..self.owners.len()).rev() {
                self.feed(owner);
                self.schedule(owner);
                self.store(owner, 0);
            }
            let last = self.owners.len() - 1;
            self.store(last, 0);
            self.write_open(last, 0);
            for worker in 0..WORKERS.len() {
                while !self.workers[worker].running.is_empty() {
                    self.end_one(worker, RunEnd::Done);
                }
                let last = self.owners.len() - 1;
                self.poll(last, worker, true);
            }
            let last = self.owners.len() - 1;
            self.deliver_all(last);
        }
        let left: Vec<&JobId> = self.jobs.keys().filter(|id| !self.ended.contains(*id)).collect();
        assert!(left.is_empty(), "jobs that never end: {left:?}");
    }
}
