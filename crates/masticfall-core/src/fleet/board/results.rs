//! Results of orders.

use super::{Board, Notice, Order, OrderState, StopOrder, StopReason};
use crate::fleet::report::{StartOutcome, StopOutcome};
use crate::fleet::spec::TaskKey;
use crate::id::{JobId, WorkerId};

/// Backoff before a task is placed again after a refused start, in milliseconds: a
/// worker has room again once the end of a stopped run is reported.
const START_BACKOFF_MS: u64 = 100;

/// Time for which a worker that refused an order as unhealthy gets no new work, in
/// milliseconds.
const UNHEALTHY_COOLDOWN_MS: u64 = 500;

/// Recorded pace of a run whose last pace order failed; differs from any real pace.
pub(super) const PACE_UNKNOWN: u32 = u32::MAX;

impl Board {
    /// Applies the outcome of a start order.
    pub fn start_result(
        &mut self,
        worker: &WorkerId,
        key: &TaskKey,
        attempt: u32,
        outcome: StartOutcome,
        now_ms: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(run) = job.run_mut(key, attempt) else { return };
        let was_in_doubt = run.had_unknown_outcome;
        match outcome {
            StartOutcome::Started => {
                run.order = OrderState::Settled(now_ms);
                run.started_by_ms.get_or_insert(now_ms);
                self.mark_running(&key.job);
                return;
            }
            StartOutcome::Unknown => {
                run.had_unknown_outcome = true;
                run.order = OrderState::Unknown(now_ms);
                self.unknown_orders.insert(key.clone());
            }
            // The next report shows the state of the run on the worker.
            StartOutcome::Superseded | StartOutcome::Fenced => {
                run.order = OrderState::Settled(now_ms);
            }
            _ if run.had_unknown_outcome => {
                // An earlier order of this run may still take effect.
                run.order = OrderState::Unknown(now_ms);
                self.unknown_orders.insert(key.clone());
                self.stop(key, StopReason::Stray, now_ms);
            }
            StartOutcome::NoPermit => {
                self.requeue(key, Some(now_ms + START_BACKOFF_MS));
                self.drop_permit(key, worker);
            }
            StartOutcome::NoRoom | StartOutcome::Late => {
                self.requeue(key, Some(now_ms + START_BACKOFF_MS));
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.cooldown_until_ms =
                        worker.cooldown_until_ms.max(now_ms + START_BACKOFF_MS);
                }
            }
            // Another worker at the address has refused the order, so that it never ran.
            StartOutcome::WrongWorker
            | StartOutcome::Unhealthy
            | StartOutcome::Invalid
            | StartOutcome::Unreached => {
                self.requeue(key, Some(now_ms + START_BACKOFF_MS));
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.cooldown_until_ms =
                        worker.cooldown_until_ms.max(now_ms + UNHEALTHY_COOLDOWN_MS);
                }
            }
        }
        let is_requeued = self.run(key).is_none();
        self.break_up_gang(key, now_ms);
        let (task, worker) = (key.clone(), worker.clone());
        self.notices.push(Notice::NotStarted {
            task,
            attempt,
            worker,
            outcome,
            is_requeued,
            was_in_doubt,
        });
    }

    /// Stops the other members of a gang of which one has not started: they would wait for
    /// it in vain.
    pub(super) fn break_up_gang(&mut self, key: &TaskKey, now_ms: u64) {
        let is_waiting = self.run(key).is_none();
        if !is_waiting || !self.is_gang(key) {
            return;
        }
        for (member, _) in self.gang_placements(key) {
            self.stop(&member, StopReason::Stray, now_ms);
        }
    }

    /// Applies the outcome of a stop order.
    pub fn stop_result(&mut self, order: &StopOrder, outcome: StopOutcome, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&order.task.job) else { return };
        let Some(run) = job.run_mut(&order.task, order.attempt) else { return };
        match outcome {
            StopOutcome::Accepted | StopOutcome::WrongWorker => {
                run.order = OrderState::Settled(now_ms);
            }
            // Sent again after the next report of the worker, or after a timeout.
            StopOutcome::Fenced | StopOutcome::Unknown => {}
        }
    }

    /// Records that a pace order failed, so that the next report triggers another one.
    pub fn pace_failed(&mut self, order: &StopOrder) {
        let run = self.jobs.get_mut(&order.task.job);
        if let Some(run) = run.and_then(|job| job.run_mut(&order.task, order.attempt)) {
            run.pace_percent = PACE_UNKNOWN;
        }
    }

    /// Stops a run.
    pub(super) fn stop(&mut self, key: &TaskKey, reason: StopReason, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.task_mut(key) else { return };
        let Some(run) = task.run_mut() else { return };
        let (worker, attempt) = (run.worker.clone(), run.attempt);
        if run.order == OrderState::Unstored {
            self.requeue(key, None);
            return;
        }
        let is_first = run.stop_sent_ms.is_none();
        run.stop_sent_ms = Some(now_ms);
        let task = key.clone();
        let order = StopOrder { worker: worker.clone(), task: task.clone(), attempt };
        self.orders.push(Order::Stop(order));
        if is_first {
            self.notices.push(Notice::Stopping { task, attempt, worker, reason });
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_placements(&mut self, id: &JobId, reason: StopReason, now_ms: u64) {
        let placements = self.jobs.get(id).map(|job| job.placements(id)).unwrap_or_default();
        for (key, _) in placements {
            self.stop(&key, reason, now_ms);
        }
    }

    /// Stops the runs of a job that has reached a final phase, and marks it to be stored.
    pub(super) fn finish(&mut self, id: &JobId, reason: StopReason, now_ms: u64) {
        let Some(job) = self.jobs.get(id) else { return };
        let phase = job.phase;
        let after_ms = now_ms.saturating_sub(job.accepted_ms);
        let late_by_ms = now_ms as i64 - job.due_ms as i64;
        self.notices.push(Notice::JobEnded { job: id.clone(), phase, after_ms, late_by_ms });
        self.stop_placements(id, reason, now_ms);
        self.dirty.insert(id.clone());
        self.urgent.insert(id.clone());
    }
}
