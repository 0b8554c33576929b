//! Changes driven by time: lease expiry, resent orders, due occurrences.

use super::{Board, Now, OrderState, StopReason, Task, TaskState};
use crate::fleet::crashes::LossCause;
use crate::fleet::spec::TaskKey;
use crate::fleet::worker::Worker;
use crate::id::WorkerId;

/// Time before an order with an unknown outcome is sent again, in milliseconds.
const ORDER_RETRY_MS: u64 = 250;

/// Time by which an occurrence may begin before it is due, in milliseconds: well
/// within the platform's limit of 250 ms, and more than a tick.
const EARLY_START_MS: u64 = 20;

impl Board {
    /// Advances the board to the given time.
    pub fn advance(&mut self, now: Now) {
        self.begin_occurrences(now);
        self.withdraw_from_leaving(now.steady_ms);
        self.resend_orders(now.steady_ms);
        self.forget_ended_suspects();
        self.expire_leases(now.steady_ms);
        self.settle_expired(now.steady_ms);
        self.evict_from_draining(now.steady_ms);
        self.evict_from_evacuated(now.steady_ms);
        self.update_above_share(now.steady_ms);
        self.update_near_backlogs(now.steady_ms);
        // Tasks may have waited for a backoff, or for the cooldown of a worker, to end.
        self.needs_placement = true;
    }

    fn begin_occurrences(&mut self, now: Now) {
        for job in self.jobs.values_mut() {
            let spec = &job.record.spec;
            if spec.repeat == 0 || job.phase.is_final() {
                continue;
            }
            let (first_ms, interval_ms) = (spec.first_due_wall_ms, spec.interval_ms);
            let is_due = |number: u32| {
                let offset_ms = u64::from(number).saturating_mul(interval_ms);
                first_ms.saturating_add(offset_ms) <= now.wall_ms + EARLY_START_MS
            };
            let repeat = spec.repeat;
            while job.next_occurrence < repeat && is_due(job.next_occurrence) {
                if !job.has_room_for_occurrence() {
                    break;
                }
                job.begin_occurrence(job.next_occurrence);
                job.next_occurrence += 1;
            }
        }
    }

    fn resend_orders(&mut self, now_ms: u64) {
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        self.unknown_orders.retain(|key| {
            let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
            let Some(TaskState::Placed(run)) = task.map(Task::state) else { return false };
            let OrderState::Unknown(since_ms) = run.order else { return false };
            let has_lease =
                |worker: &Worker| !worker.is_unresponsive && !worker.is_announced_unresponsive;
            if !self.workers.get(&run.worker).is_some_and(has_lease) {
                return true;
            }
            match run.stop_sent_ms {
                None if now_ms >= since_ms + ORDER_RETRY_MS => {
                    starts.push((key.clone(), run.attempt));
                }
                Some(sent_ms) if now_ms >= sent_ms + ORDER_RETRY_MS => stops.push(key.clone()),
                _ => {}
            }
            true
        });
        for (key, attempt) in starts {
            self.order_start(&key, attempt, now_ms);
        }
        for key in stops {
            self.stop(&key, StopReason::Stray, now_ms);
        }
    }

    /// Evicts long-running tasks from workers that are draining.
    fn evict_from_draining(&mut self, now_ms: u64) {
        let draining = self.workers.iter().filter(|(_, worker)| worker.facts.is_draining);
        for id in draining.map(|(id, _)| id.clone()).collect::<Vec<WorkerId>>() {
            self.evict_long_running(&id, now_ms);
        }
    }

    fn expire_leases(&mut self, now_ms: u64) {
        let expired: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_unresponsive || worker.clock.is_none())
            .filter(|(_, worker)| now_ms > worker.lease_expiry_ms())
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            let keys: Vec<TaskKey> = self.workers[&id].placements.iter().cloned().collect();
            self.lose_runs(&id, keys, LossCause::LeaseExpired, now_ms);
            if self.workers.get(&id).is_some_and(|worker| !worker.is_listed) {
                self.workers.swap_remove(&id);
            }
        }
        self.expire_unlisted(now_ms);
    }

    /// Ends the runs that an earlier owner placed on workers that are unknown
    /// to this board, once their leases have expired.
    fn expire_unlisted(&mut self, now_ms: u64) {
        if now_ms <= self.previous_lease_until_ms {
            return;
        }
        let lost: Vec<(WorkerId, Vec<TaskKey>)> = self
            .placed_elsewhere
            .iter()
            .map(|(worker, keys)| (worker.clone(), keys.iter().cloned().collect()))
            .collect();
        for (worker, keys) in lost {
            self.lose_runs(&worker, keys, LossCause::Unlisted, now_ms);
        }
    }
}
