//! Pace of fillers beside tasks that serve users.

use super::cordon::AVAILABLE_PERCENT;
use super::{Board, Order, OrderState, PaceOrder, Placement, TaskState};
use crate::fleet::pacing::{TailRatio, next_pace};
use crate::fleet::spec::{StepSpec, TaskKey};
use crate::id::WorkerId;

/// Time between two steps of a worker's pace, in milliseconds: tails are
/// figures of the last half second, and a pace takes effect after a tenth.
const STEP_MS: u64 = 650;

impl Board {
    /// Sets the pace of the fillers on a worker after a report.
    pub(super) fn pace_fillers(&mut self, id: &WorkerId, now_ms: u64) {
        let fillers = self.runs_on(id, |step| step.is_filler);
        if fillers.is_empty() {
            return;
        }
        let tail_ratio = self.worst_tail_ratio(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let is_due = now_ms >= worker.pace_changed_ms + STEP_MS;
        let is_over = tail_ratio.is_some_and(|TailRatio(tail_ratio)| tail_ratio >= 1.0);
        if is_due || (is_over && worker.pace_percent > 0) {
            let percent = next_pace(worker.pace_percent, tail_ratio);
            if percent != worker.pace_percent {
                worker.pace_percent = percent;
                worker.pace_changed_ms = now_ms;
            }
        }
        let percent = worker.pace_percent;
        for (key, attempt) in fillers {
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

    /// Tells whether fillers run beside tasks that serve, which takes close watching.
    pub(super) fn is_shared(&self, id: &WorkerId) -> bool {
        !self.runs_on(id, |step| step.is_filler).is_empty()
            && !self.runs_on(id, |step| step.target_tail_ms > 0).is_empty()
    }

    fn worst_tail_ratio(&self, id: &WorkerId) -> Option<TailRatio> {
        let serving = self.runs_on(id, |step| step.target_tail_ms > 0);
        let ratios = serving.iter().filter_map(|(key, _)| {
            let job = self.jobs.get(&key.job)?;
            let TaskState::Placed(run) = &job.task(key)?.state else { return None };
            let target_ms = job.record.spec.steps[key.step as usize].target_tail_ms;
            let says = run.percent >= AVAILABLE_PERCENT && run.load > 0;
            says.then(|| run.load as f64 / target_ms as f64)
        });
        ratios.reduce(f64::max).map(TailRatio)
    }

    /// Returns the settled runs on a worker of steps of a kind.
    fn runs_on(&self, id: &WorkerId, is_meant: fn(&StepSpec) -> bool) -> Vec<(TaskKey, u32)> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let runs = worker.placements.iter().filter_map(|key| {
            let job = self.jobs.get(&key.job)?;
            let step = &job.record.spec.steps[key.step as usize];
            match &job.task(key)?.state {
                TaskState::Placed(run) if is_meant(step) && is_settled(run) => {
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
