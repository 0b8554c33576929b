//! What an owner knows at a moment, for the logs: of the leases of workers, and of the calls
//! that have no outcome.

use super::{Board, LeaseFacts, Order, OrderState, RunRef};
use crate::fleet::spec::TaskKey;
use crate::fleet::worker::{BoundSource, LeaseBound, OpenPoll, Worker};
use crate::id::WorkerId;

/// Calls of an owner without an outcome, and the leases that it has given.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OpenCalls {
    /// Runs whose start orders have no outcome, or an unknown one.
    pub starts: Vec<RunRef>,
    /// Number of start orders that are still to be sent; their runs are among `starts`.
    pub unsent_starts: usize,
    /// Number of polls with a lease that have no outcome.
    pub polls: usize,
    /// Time since the first of them was prepared, in milliseconds.
    pub oldest_poll_ms: Option<u64>,
    /// Time until all leases that this owner has given to workers still in its table have
    /// expired, by the local clock, in milliseconds.
    pub leases_left_ms: Option<u64>,
    /// When it last gave a lease.
    pub leased_ms: Option<u64>,
}

/// Leases that earlier owners may have given to workers that this one hasn't reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlierLeases {
    /// Time after the takeover for which they may have been extended, in milliseconds.
    pub overlap_ms: u64,
    /// Time until they have expired, by the local clock, in milliseconds.
    pub left_ms: u64,
}

impl Board {
    /// Returns the calls that have no outcome.
    pub fn open_calls(&self, now_ms: u64) -> OpenCalls {
        let starts = self.orders.iter().filter(|order| matches!(order, Order::Start(_)));
        let mut calls = OpenCalls { unsent_starts: starts.count(), ..OpenCalls::default() };
        for worker in self.workers.values() {
            let is_open = |run: &RunRef| {
                let order = self.run(&run.task).map(|run| run.order);
                matches!(order, Some(OrderState::Sent(_) | OrderState::Unknown(_)))
            };
            calls.starts.extend(self.run_refs(&worker.placements).filter(is_open));
            if let Some(OpenPoll { prepared_ms, has_lease: true }) = worker.open_poll {
                calls.polls += 1;
                let age_ms = now_ms.saturating_sub(prepared_ms);
                calls.oldest_poll_ms = calls.oldest_poll_ms.max(Some(age_ms));
            }
            if worker.leased_ms.is_some() {
                let left_ms = worker.lease_expiry_ms().saturating_sub(now_ms);
                calls.leases_left_ms = calls.leases_left_ms.max(Some(left_ms));
                calls.leased_ms = calls.leased_ms.max(worker.leased_ms);
            }
        }
        calls
    }

    /// Returns what is assumed of the leases of earlier owners.
    pub fn earlier_leases(&self, now_ms: u64) -> EarlierLeases {
        EarlierLeases {
            overlap_ms: self.timings.takeover_overlap_ms,
            left_ms: self.previous_lease_until_ms.saturating_sub(now_ms),
        }
    }

    /// Returns what is known of the leases of a worker.
    pub(super) fn lease_facts(&self, id: &WorkerId, now_ms: u64) -> LeaseFacts {
        let worker = self.workers.get(id);
        let default =
            LeaseBound { until_ms: self.previous_lease_until_ms, source: BoundSource::Takeover };
        let bound = worker.map_or(default, Worker::lease_bound);
        let since = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let announcement = worker.and_then(|worker| worker.announcement);
        LeaseFacts {
            bound,
            since_bound_ms: now_ms as i64 - bound.until_ms as i64,
            since_takeover_ms: since(self.begun_ms),
            since_answer_ms: worker.and_then(|w| w.clock).map(|clock| since(clock.local_ms)),
            since_lease_ms: worker.and_then(|worker| worker.leased_ms).map(since),
            announcement,
            since_announcement_ms: announcement.map(|applied| since(applied.applied_ms)),
        }
    }

    /// Returns the current runs of those of these tasks that are placed.
    pub(super) fn run_refs<'a>(
        &'a self,
        keys: impl IntoIterator<Item = &'a TaskKey> + 'a,
    ) -> impl Iterator<Item = RunRef> + 'a {
        keys.into_iter().filter_map(|task| {
            let run = self.run(task)?;
            let (task, worker) = (task.clone(), run.worker.clone());
            Some(RunRef { task, attempt: run.attempt, worker })
        })
    }
}
