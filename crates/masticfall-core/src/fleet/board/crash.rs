//! Runs that are lost with their worker.

use super::{Board, Notice, OrderState, Placement};
use crate::fleet::crashes::LossCause;
use crate::fleet::report::RunEnd;
use crate::fleet::spec::TaskKey;
use crate::id::WorkerId;

impl Board {
    /// Ends runs that are lost with their worker.
    pub(super) fn lose_runs(
        &mut self,
        id: &WorkerId,
        keys: Vec<TaskKey>,
        cause: LossCause,
        now_ms: u64,
    ) {
        let worker = self.workers.get(id);
        let silent_since_ms = worker.and_then(|worker| worker.unresponsive_since_ms);
        let is_leaving = worker.is_some_and(|w| w.facts.is_draining || w.is_cordoned);
        let is_ordered =
            |key: &&TaskKey| self.run(key).is_some_and(|run| run.order != OrderState::Unstored);
        let ordered: Vec<TaskKey> = keys.iter().filter(is_ordered).cloned().collect();
        if !ordered.is_empty() {
            self.notices.push(Notice::WorkerLost {
                worker: id.clone(),
                cause,
                silent_ms: silent_since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms)),
                is_leaving,
                tasks: ordered,
            });
        }
        for key in keys {
            self.end_run(&key, RunEnd::Lapsed, None, true, now_ms);
        }
    }

    /// Returns the time from the start order of a task's run until now, or until its worker
    /// stopped answering.
    pub(super) fn run_age_ms(&self, key: &TaskKey, now_ms: u64) -> Option<u64> {
        let run = self.run(key)?;
        let worker = self.workers.get(&run.worker);
        let until_ms = worker.and_then(|worker| worker.unresponsive_since_ms).unwrap_or(now_ms);
        run.ordered_ms.map(|ordered_ms| until_ms.saturating_sub(ordered_ms))
    }

    /// Returns the current run of a task, if it is placed.
    fn run(&self, key: &TaskKey) -> Option<&Placement> {
        self.jobs.get(&key.job)?.run(key)
    }
}
