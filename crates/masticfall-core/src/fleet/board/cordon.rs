//! Draining of workers, such as before maintenance.

use super::{Board, StopReason, Task, TaskState};
use crate::fleet::spec::TaskKey;
use crate::id::WorkerId;

/// Age of a worker's last report after which its tasks no longer count as
/// available, in milliseconds: more than a poll may take, and well below the time
/// after which the platform counts a task as unavailable.
const MAX_REPORT_AGE_MS: u64 = 2_500;

/// Progress at which a long-running task is available, in percent.
pub(super) const AVAILABLE_PERCENT: u32 = 100;

impl Board {
    /// Excludes a worker from placement, or includes it again.
    pub fn cordon(&mut self, id: &WorkerId, is_cordoned: bool) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.is_cordoned != is_cordoned
        {
            worker.is_cordoned = is_cordoned;
            self.needs_placement = true;
        }
    }

    /// Returns whether no task is placed on a worker, and no unknown run can be on it.
    pub fn is_empty(&self, id: &WorkerId) -> bool {
        !self.is_unsettled(id)
            && self.workers.get(id).is_none_or(|worker| worker.placements.is_empty())
    }

    /// Returns whether a long-running task is placed on a worker.
    pub fn has_long_running(&self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        worker.placements.iter().any(|key| self.is_long_running(key))
    }

    /// Returns whether a task that isn't long-running is placed on a worker.
    pub fn has_finite_runs(&self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        worker.placements.iter().any(|key| !self.is_long_running(key))
    }

    /// Stops the long-running tasks on a worker, so that they restart elsewhere, as
    /// far as the `max_unavailable` of their steps allows now.
    ///
    /// Nothing is stopped right after a takeover: a reported run may be ending
    /// because of an order of the previous owner.
    pub fn evict_long_running(&mut self, id: &WorkerId, now_ms: u64) {
        if now_ms < self.previous_stops_until_ms {
            return;
        }
        let Some(worker) = self.workers.get(id) else { return };
        let keys: Vec<TaskKey> =
            worker.placements.iter().filter(|key| self.is_long_running(key)).cloned().collect();
        for key in keys {
            if self.can_evict(&key, now_ms) {
                self.stop(&key, StopReason::Maintenance, now_ms);
            }
        }
    }

    pub(super) fn is_long_running(&self, key: &TaskKey) -> bool {
        let step = self.jobs.get(&key.job).map(|job| &job.record.spec.steps[key.step as usize]);
        step.is_some_and(|step| step.is_long_running)
    }

    /// Returns whether a task is available and its step's `max_unavailable` allows to stop it.
    pub(super) fn can_evict(&self, key: &TaskKey, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let Some(task) = job.task(key) else { return false };
        let is_unavailable = |task: &&Task| !self.is_available(task.state(), now_ms);
        let unavailable = job.step(key).tasks.iter().filter(is_unavailable).count();
        let max_unavailable = job.record.spec.steps[key.step as usize].max_unavailable.max(1);
        self.is_available(task.state(), now_ms) && unavailable < max_unavailable as usize
    }

    fn is_available(&self, state: &TaskState, now_ms: u64) -> bool {
        let TaskState::Placed(run) = state else { return false };
        let clock =
            self.workers.get(&run.worker).filter(|w| !w.is_unresponsive).and_then(|w| w.clock);
        run.percent >= AVAILABLE_PERCENT
            && run.stop_sent_ms.is_none()
            && clock.is_some_and(|clock| now_ms <= clock.local_ms + MAX_REPORT_AGE_MS)
    }
}
