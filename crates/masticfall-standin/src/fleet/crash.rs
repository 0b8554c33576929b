//! Workers that crash and start again.

use std::sync::Arc;

use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::TaskKey;
use masticfall_core::id::WorkerId;

use super::{SimulatedWorker, World, WorldState, sleep_ms};

/// Time after which the platform no longer lists a worker that has crashed, in milliseconds.
const UNLIST_MS: u64 = 4_500;

/// How a worker crashes and comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashPlan {
    /// Time until it is back, in milliseconds.
    pub down_ms: u64,
    /// Whether it comes back under its identifier, instead of as another worker at its
    /// address.
    pub keeps_id: bool,
    /// Whether calls to it get no response while it is down, instead of failing at once.
    pub is_dark: bool,
}

impl Default for CrashPlan {
    fn default() -> Self {
        Self { down_ms: 3_100, keeps_id: false, is_dark: false }
    }
}

/// A task that crashes each worker that starts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashingTask {
    /// Time from the start to the crash, in milliseconds.
    pub after_ms: u64,
    /// Whether the worker crashes before it responds to the start order.
    pub loses_response: bool,
    /// How the worker crashes.
    pub plan: CrashPlan,
}

/// A crash of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// The worker.
    pub worker: WorkerId,
    /// Time of the crash, in milliseconds of simulated time.
    pub at_ms: u64,
    /// Task that caused it; `None` for an ordinary crash.
    pub cause: Option<TaskKey>,
    /// Tasks whose runs were lost.
    pub lost: Vec<TaskKey>,
}

impl WorldState {
    /// Ends the life of a worker with all that runs on it; returns whether it was alive.
    fn crash(
        &mut self,
        id: &WorkerId,
        cause: Option<TaskKey>,
        plan: CrashPlan,
        now_ms: u64,
    ) -> bool {
        self.advance(now_ms);
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.crashed.is_none())
        else {
            return false;
        };
        worker.crashed = Some(plan);
        let runs: Vec<_> = worker.running.drain(..).collect();
        for (_, run) in &runs {
            self.record[run.record_index].ended = Some((now_ms, RunEnd::Lapsed));
        }
        let lost = runs.into_iter().map(|((task, _), _)| task).collect();
        self.crashes.push(CrashRecord { worker: id.clone(), at_ms: now_ms, cause, lost });
        true
    }

    /// Starts a crashed worker again, as a new life that knows nothing of the last one.
    fn revive(&mut self, id: &WorkerId, keeps_id: bool, now_ms: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        let mut facts = worker.facts.clone();
        facts.born_wall_ms += 1_000;
        let instance = worker.instance.clone();
        if !keeps_id {
            facts.id = WorkerId::from(format!("{}-{}", instance, facts.born_wall_ms));
        }
        let new_id = facts.id.clone();
        let index = self.workers.get_index_of(id);
        let worker = SimulatedWorker { begun_ms: now_ms, ..SimulatedWorker::new(facts, instance) };
        self.workers.insert(new_id.clone(), worker);
        if !keeps_id && let Some(index) = index {
            // Keeps the number under which tests address the worker.
            self.workers.swap_remove_index(index);
            self.version += 1;
            self.worker_log.push((self.version, id.clone()));
        }
        self.version += 1;
        self.worker_log.push((self.version, new_id));
    }

    fn unlist_if_down(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.crashed.is_some()) {
            worker.is_listed = false;
            self.version += 1;
            self.worker_log.push((self.version, id.clone()));
        }
    }
}

impl World {
    /// Makes a task crash each worker that starts it.
    pub fn set_crashing_task(&self, task: TaskKey, crashing: CrashingTask) {
        self.state.lock().crashing_tasks.insert(task, crashing);
    }

    /// Crashes a worker, by its number.
    pub fn crash_worker(self: &Arc<Self>, worker: usize, plan: CrashPlan) {
        let id = self.state.lock().workers.get_index(worker).map(|(id, _)| id.clone());
        if let Some(id) = id {
            self.crash(id, None, plan);
        }
    }

    /// Returns whether any of these workers, by their numbers, has crashed and isn't back.
    pub fn are_down(&self, workers: &[usize]) -> bool {
        let state = self.state.lock();
        let mut workers = workers.iter().filter_map(|worker| state.workers.get_index(*worker));
        workers.any(|(_, worker)| worker.crashed.is_some())
    }

    /// Returns all crashes so far.
    pub fn crashes(&self) -> Vec<CrashRecord> {
        self.state.lock().crashes.clone()
    }

    pub(super) fn crash(self: &Arc<Self>, id: WorkerId, cause: Option<TaskKey>, plan: CrashPlan) {
        let now_ms = self.now_ms();
        if !self.state.lock().crash(&id, cause, plan, now_ms) {
            return;
        }
        self.changed.notify_waiters();
        let world = Arc::clone(self);
        tokio::spawn(async move {
            sleep_ms(plan.down_ms.min(UNLIST_MS)).await;
            if plan.down_ms > UNLIST_MS {
                world.state.lock().unlist_if_down(&id);
                world.changed.notify_waiters();
                sleep_ms(plan.down_ms - UNLIST_MS).await;
            }
            let now_ms = world.now_ms();
            world.state.lock().revive(&id, plan.keeps_id, now_ms);
            world.changed.notify_waiters();
        });
    }
}
