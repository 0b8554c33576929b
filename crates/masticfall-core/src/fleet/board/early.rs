//! Start orders before the placement is stored.
//!
//! While the store is slow or unavailable, the first run of a task may be ordered on a
//! worker of the open set. All later runs wait for the store, so that a task has at most
//! one run that the store doesn't know.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::{Board, Notice, OrderState};
use crate::fleet::open_set::{OpenContent, OpenSet, OpenWorker, may_start_early};
use crate::fleet::spec::TaskKey;
use crate::id::{JobId, WorkerId};

/// Maximum number of runs that are ordered and not stored. The next owner learns of each
/// from a worker's report.
const MAX_UNSTORED_RUNS: usize = 4_000;

/// A run that was ordered before its placement was stored.
#[derive(Debug)]
struct UnstoredRun {
    attempt: u32,
    worker: WorkerId,
    /// The worker's entry in the open set, which stays stored as long as the run isn't.
    entry: OpenWorker,
}

/// Starts before the placement is stored.
#[derive(Debug)]
pub(super) struct EarlyStarts {
    /// Time that a placement waits for the store first, in milliseconds; 0 if none starts early.
    delay_ms: u64,
    /// First placements of tasks in order, with their time and attempt number.
    waiting: VecDeque<(u64, TaskKey, u32)>,
    unstored: IndexMap<JobId, IndexMap<TaskKey, UnstoredRun>>,
    unstored_count: usize,
    /// Version of the configuration under which the unstored runs were ordered.
    config_version: u64,
    pub(super) open: OpenSet,
    /// When the first of the current unstored runs was ordered, and how many were since.
    episode: Option<(u64, u32)>,
}

impl Default for EarlyStarts {
    fn default() -> Self {
        Self {
            delay_ms: 0,
            waiting: VecDeque::new(),
            unstored: IndexMap::new(),
            unstored_count: 0,
            config_version: 0,
            open: OpenSet::absent(),
            episode: None,
        }
    }
}

impl EarlyStarts {
    fn add(&mut self, key: &TaskKey, run: UnstoredRun) {
        let runs = self.unstored.entry(key.job.clone()).or_default();
        self.unstored_count += usize::from(runs.insert(key.clone(), run).is_none());
    }

    fn remove(&mut self, key: &TaskKey, attempt: u32) {
        let Some(runs) = self.unstored.get_mut(&key.job) else { return };
        if runs.get(key).is_some_and(|run| run.attempt == attempt) {
            runs.swap_remove(key);
            self.unstored_count -= 1;
        }
        if runs.is_empty() {
            self.unstored.swap_remove(&key.job);
        }
    }

    /// Returns the unstored runs of a job. A row of progress written now covers them.
    pub(super) fn unstored_of(&self, id: &JobId) -> impl Iterator<Item = (TaskKey, u32)> {
        let runs = self.unstored.get(id).into_iter().flatten();
        runs.map(|(key, run)| (key.clone(), run.attempt))
    }
}

impl Board {
    /// Sets the time for which a placement waits for the store before it is ordered early,
    /// in milliseconds; 0 to order none early.
    pub fn set_early_start_after(&mut self, delay_ms: u64) {
        self.early.delay_ms = delay_ms;
    }

    /// Returns the number of runs that are ordered and not stored.
    pub fn unstored_runs(&self) -> usize {
        self.early.unstored_count
    }

    /// Records the first placement of a task.
    pub(super) fn note_first_placement(&mut self, key: &TaskKey, attempt: u32, now_ms: u64) {
        let Some(job) = self.jobs.get(&key.job).filter(|_| self.early.delay_ms > 0) else { return };
        if may_start_early(&job.record.spec, key.step) {
            self.early.waiting.push_back((now_ms, key.clone(), attempt));
        }
    }

    /// Orders first runs whose placements have waited for the store long enough; returns
    /// how many.
    pub fn order_early(&mut self, now_ms: u64) -> u32 {
        let delay_ms = self.early.delay_ms;
        let Some(config) = self.config.clone().filter(|_| delay_ms > 0) else { return 0 };
        if self.is_settling() {
            return 0;
        }
        let mut ordered = 0;
        let mut left = VecDeque::new();
        while let Some((placed_ms, key, attempt)) = self.early.waiting.pop_front() {
            if now_ms < placed_ms + delay_ms {
                self.early.waiting.push_front((placed_ms, key, attempt));
                break;
            }
            let is_unstored = |run: &super::Placement| {
                run.attempt == attempt && run.order == OrderState::Unstored
            };
            if !self.run(&key).is_some_and(is_unstored) {
                continue;
            }
            if self.early.unstored_count >= MAX_UNSTORED_RUNS
                || !self.order_early_run(&key, attempt, config.version, now_ms)
            {
                left.push_back((placed_ms, key, attempt));
                continue;
            }
            ordered += 1;
            if ordered == 1 && self.early.episode.is_none() {
                let waited_ms = now_ms - placed_ms;
                self.early.episode = Some((now_ms, 0));
                self.notices.push(Notice::EarlyStartsBegun { task: key, waited_ms });
            }
        }
        left.append(&mut self.early.waiting);
        self.early.waiting = left;
        if let Some((_, runs)) = &mut self.early.episode {
            *runs += ordered;
        }
        ordered
    }

    /// Orders a first run if its worker may get it; returns whether it did.
    fn order_early_run(
        &mut self,
        key: &TaskKey,
        attempt: u32,
        config_version: u64,
        now_ms: u64,
    ) -> bool {
        let Some(run) = self.run(key) else { return false };
        let Some(worker) = self.workers.get(&run.worker) else { return false };
        let Some(job) = self.jobs.get(&key.job) else { return false };
        // The worker or the queue may have changed pools since the task was placed, and the next
        // owner looks for its run in the pool of its queue.
        let queue = self.config.as_ref().and_then(|config| config.queues.get(&job.record.queue));
        if job.phase.is_final()
            || queue.is_none_or(|queue| queue.pool != worker.facts.pool)
            || !worker.is_schedulable(now_ms)
            || !self.early.open.allows(&worker.facts, config_version)
        {
            return false;
        }
        let (entry, worker) = (OpenWorker::new(&worker.facts), run.worker.clone());
        self.order_start(key, attempt, now_ms);
        let is_sent = self.run(key).is_some_and(|run| run.order == OrderState::Sent(now_ms));
        if is_sent {
            self.early.config_version = config_version;
            self.early.add(key, UnstoredRun { attempt, worker, entry });
        }
        is_sent
    }

    /// Records that runs are stored.
    pub(super) fn early_stored<'a>(
        &mut self,
        runs: impl Iterator<Item = &'a (TaskKey, u32)>,
        now_ms: u64,
    ) {
        for (key, attempt) in runs {
            self.early.remove(key, *attempt);
        }
        if self.early.unstored_count == 0
            && let Some((since_ms, runs)) = self.early.episode.take()
        {
            let lasted_ms = now_ms.saturating_sub(since_ms);
            self.notices.push(Notice::EarlyStartsStored { runs, lasted_ms });
        }
    }

    /// Returns the open set to be written now, unless the stored one is up to date. The
    /// write has to be conditional on every earlier write having taken effect or never
    /// doing so.
    pub fn plan_open_set(&mut self) -> Option<OpenContent> {
        if self.is_settling() {
            return None;
        }
        let desired = self.desired_open_set();
        if !self.early.open.needs_write(&desired) {
            return None;
        }
        self.early.open.begin_write(&desired);
        Some(desired)
    }

    /// Records that an open set was stored.
    pub fn open_set_stored(&mut self, content: OpenContent) {
        self.early.open.confirm(content);
    }

    /// Returns the workers that may get early starts, and those that have an unstored run.
    ///
    /// The version of the configuration changes only once all runs that were ordered under
    /// the last one are stored: it tells the next owner in which pool a task can have one.
    fn desired_open_set(&self) -> OpenContent {
        let mut content = OpenContent::default();
        if self.early.delay_ms > 0 {
            content.config_version = self.config.as_ref().map_or(0, |config| config.version);
            // A cooldown is shorter than the time between two writes of the set.
            let open = self.workers.values().filter(|worker| worker.is_schedulable(u64::MAX));
            let open = open.map(|w| (w.facts.id.clone(), OpenWorker::new(&w.facts)));
            content.workers = open.collect();
        }
        if self.early.unstored_count > 0 {
            content.config_version = self.early.config_version;
        }
        for run in self.early.unstored.values().flat_map(IndexMap::values) {
            content.workers.insert(run.worker.clone(), run.entry.clone());
        }
        content
    }
}
