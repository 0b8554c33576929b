//! Emptying of workers, such as before maintenance.

use super::{Board, StopReason, Task, TaskState};
use crate::fleet::spec::TaskKey;
use crate::id::WorkerId;

/// Age of a worker's last report after which what ran there no longer counts
/// as at work, in milliseconds: more than a look may take, and well below the
/// time from which the platform counts a task as away.
const HEARD_WITHIN_MS: u64 = 2_500;

/// Progress at which a task that lasts is at work, in percent.
pub(super) const AT_WORK_PERCENT: u32 = 100;

impl Board {
    /// Keeps a worker free of new work, or gives it work again.
    pub fn cordon(&mut self, id: &WorkerId, is_cordoned: bool) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.is_cordoned != is_cordoned
        {
            worker.is_cordoned = is_cordoned;
            self.wants_placing = true;
        }
    }

    /// Tells whether nothing is placed on a worker.
    pub fn is_empty(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_none_or(|worker| worker.placements.is_empty())
    }

    /// Tells whether a task that lasts is placed on a worker.
    pub fn has_lasting(&self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        worker.placements.iter().any(|key| self.is_lasting(key))
    }

    /// Stops tasks that last on a worker, so that they start again elsewhere,
    /// as far as their steps can spare them now.
    ///
    /// Right after a take-over nothing is stopped: a run that is listed may be
    /// ending by an order of the former dispatcher.
    pub fn relocate(&mut self, id: &WorkerId, now_ms: u64) {
        if now_ms < self.former_stops_until_ms {
            return;
        }
        let Some(worker) = self.workers.get(id) else { return };
        let keys: Vec<TaskKey> =
            worker.placements.iter().filter(|key| self.is_lasting(key)).cloned().collect();
        for key in keys {
            if self.can_spare(&key, now_ms) {
                self.stop(&key, StopReason::Maintenance, now_ms);
            }
        }
    }

    fn is_lasting(&self, key: &TaskKey) -> bool {
        let step = self.jobs.get(&key.job).map(|job| &job.record.spec.steps[key.step as usize]);
        step.is_some_and(|step| step.is_long_running)
    }

    /// Tells whether a task is at work and fewer of its step are away than may be.
    fn can_spare(&self, key: &TaskKey, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let Some(task) = job.task(key) else { return false };
        let is_away = |task: &&Task| !self.is_at_work(&task.state, now_ms);
        let away = job.step(key).tasks.iter().filter(is_away).count();
        let may_be_away = job.record.spec.steps[key.step as usize].max_unavailable.max(1);
        self.is_at_work(&task.state, now_ms) && away < may_be_away as usize
    }

    fn is_at_work(&self, state: &TaskState, now_ms: u64) -> bool {
        let TaskState::Placed(run) = state else { return false };
        let clock = self.workers.get(&run.worker).filter(|w| !w.is_silent).and_then(|w| w.clock);
        run.percent >= AT_WORK_PERCENT
            && run.stop_sent_ms.is_none()
            && clock.is_some_and(|clock| now_ms <= clock.ours_ms + HEARD_WITHIN_MS)
    }
}
