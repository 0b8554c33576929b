//! Emptying of workers, such as before maintenance.

use super::{Board, StopReason, Task, TaskState};
use crate::fleet::spec::TaskKey;
use crate::id::WorkerId;

/// Age of a worker's last report after which what ran there no longer counts
/// as at work, in milliseconds: more than a look may take, and well below the
/// time from which the platform counts a task as away.
const MAX_REPORT_AGE_MS: u64 = 2_500;

/// Progress at which a task that lasts is at work, in percent.
pub(super) const AVAILABLE_PERCENT: u32 = 100;

impl Board {
    /// Keeps a worker free of new work, or gives it work again.
    pub fn cordon(&mut self, id: &WorkerId, is_cordoned: bool) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.is_cordoned != is_cordoned
        {
            worker.is_cordoned = is_cordoned;
            self.needs_placement = true;
        }
    }

    /// Tells whether nothing is placed on a worker.
    pub fn is_empty(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_none_or(|worker| worker.placements.is_empty())
    }

    /// Tells whether a task that lasts is placed on a worker.
    pub fn has_long_running(&self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        worker.placements.iter().any(|key| self.is_long_running(key))
    }

    /// Stops tasks that last on a worker, so that they start again elsewhere,
    /// as far as their steps can spare them now.
    ///
    /// Right after a take-over nothing is stopped: a run that is listed may be
    /// ending by an order of the former dispatcher.
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

    fn is_long_running(&self, key: &TaskKey) -> bool {
        let step = self.jobs.get(&key.job).map(|job| &job.record.spec.steps[key.step as usize]);
        step.is_some_and(|step| step.is_long_running)
    }

    /// Tells whether a task is at work and fewer of its step are away than may be.
    fn can_evict(&self, key: &TaskKey, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let Some(task) = job.task(key) else { return false };
        let is_unavailable = |task: &&Task| !self.is_available(&task.state, now_ms);
        let unavailable = job.step(key).tasks.iter().filter(is_unavailable).count();
        let max_unavailable = job.record.spec.steps[key.step as usize].max_unavailable.max(1);
        self.is_available(&task.state, now_ms) && unavailable < max_unavailable as usize
    }

    fn is_available(&self, state: &TaskState, now_ms: u64) -> bool {
        let TaskState::Placed(run) = state else { return false };
        let clock = self.workers.get(&run.worker).filter(|w| !w.is_silent).and_then(|w| w.clock);
        run.percent >= AVAILABLE_PERCENT
            && run.stop_sent_ms.is_none()
            && clock.is_some_and(|clock| now_ms <= clock.local_ms + MAX_REPORT_AGE_MS)
    }
}
