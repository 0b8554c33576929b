//! Throttling of best-effort tasks that share a worker with tasks that serve users.

use super::cordon::AVAILABLE_PERCENT;
use super::{Board, Order, OrderState, PaceOrder, Placement, TaskState};
use crate::fleet::pacing::{TailRatio, next_pace};
use crate::fleet::spec::{StepSpec, TaskKey};
use crate::id::WorkerId;

/// Time between two changes of a worker's pace, in milliseconds: tail latencies
/// cover the last half second, and a pace takes effect after a tenth of a second.
const PACE_INTERVAL_MS: u64 = 650;

impl Board {
    /// Adjusts the pace of the best-effort tasks on a worker after a report.
    pub(super) fn pace_best_effort(&mut self, id: &WorkerId, now_ms: u64) {
        let best_effort = self.runs_on(id, |step| step.is_filler);
        if best_effort.is_empty() {
            return;
        }
        let tail_ratio = self.worst_tail_ratio(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let is_due = now_ms >= worker.pace_changed_ms + PACE_INTERVAL_MS;
        let is_over_target = tail_ratio.is_some_and(|TailRatio(tail_ratio)| tail_ratio >= 1.0);
        if is_due || (is_over_target && worker.pace_percent > 0) {
            let percent = next_pace(worker.pace_percent, tail_ratio);
            if percent != worker.pace_percent {
                worker.pace_percent = percent;
                worker.pace_changed_ms = now_ms;
            }
        }
        let percent = worker.pace_percent;
        for (key, attempt) in best_effort {
            let Some(run) = self.jobs.get_mut(&key.job).and_then(|job| job.run_mut(&key, attempt))
            else {
                continue;
            };
            if run.pace_percent != percent && run.stop_sent_ms.is_none() {
                run.pace_percent = percent;
                let worker = id.clone();
                self.orders.push(Order::Pace(PaceOrder { worker, task: key, attempt, percent }));
            }
        }
    }

    /// Returns whether a worker runs both best-effort tasks and tasks that serve users, and so
    /// has to be polled more often.
    pub(super) fn is_shared(&self, id: &WorkerId) -> bool {
        !self.runs_on(id, |step| step.is_filler).is_empty()
            && !self.runs_on(id, |step| step.target_tail_ms > 0).is_empty()
    }

    fn worst_tail_ratio(&self, id: &WorkerId) -> Option<TailRatio> {
        let serving = self.runs_on(id, |step| step.target_tail_ms > 0);
        let ratios = serving.iter().filter_map(|(key, _)| {
            let job = self.jobs.get(&key.job)?;
            let TaskState::Placed(run) = job.task(key)?.state() else { return None };
            let target_ms = job.record.spec.steps[key.step as usize].target_tail_ms;
            let is_reporting = run.percent >= AVAILABLE_PERCENT && run.load > 0;
            is_reporting.then(|| run.load as f64 / target_ms as f64)
        });
        ratios.reduce(f64::max).map(TailRatio)
    }

    /// Returns the runs on a worker whose order is settled and whose step matches.
    fn runs_on(&self, id: &WorkerId, matches_step: fn(&StepSpec) -> bool) -> Vec<(TaskKey, u32)> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let runs = worker.placements.iter().filter_map(|key| {
            let job = self.jobs.get(&key.job)?;
            let step = &job.record.spec.steps[key.step as usize];
            match job.task(key)?.state() {
                TaskState::Placed(run) if matches_step(step) && is_settled(run) => {
                    Some((key.clone(), run.attempt))
                }
                _ => None,
            }
        });
        runs.collect()
    }
}

fn is_settled(run: &Placement) -> bool {
    matches!(run.order, OrderState::Settled(_))
}
