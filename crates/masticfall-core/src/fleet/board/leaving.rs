//! Start orders to workers that leave: they drain, or their data centre is evacuated.
//!
//! A worker may announce that it leaves at any time between the decision for an order and its
//! last repetition, so that each order is decided by what is known of the worker when it is sent.

use super::{Board, OrderState, StopReason};
use crate::fleet::spec::TaskKey;
use crate::id::WorkerId;

impl Board {
    /// Returns why a worker gets no more starts since it leaves, if it does.
    pub(super) fn leaving_reason(&self, id: &WorkerId) -> Option<StopReason> {
        let worker = self.workers.get(id)?;
        if worker.is_evacuated {
            Some(StopReason::Evacuation)
        } else if worker.facts.is_draining {
            Some(StopReason::Draining)
        } else {
            None
        }
    }

    /// Withdraws start orders to workers that leave: one that wasn't sent is dropped, one of
    /// unknown outcome is followed by a stop order, since the worker may carry it out seconds
    /// later.
    pub(super) fn withdraw_from_leaving(&mut self, now_ms: u64) {
        let is_pending = |key: &TaskKey| {
            self.run(key).is_some_and(|run| match run.order {
                OrderState::Unstored => true,
                OrderState::Unknown(_) => run.stop_sent_ms.is_none(),
                _ => false,
            })
        };
        let mut pending: Vec<(TaskKey, StopReason)> = Vec::new();
        for (id, worker) in &self.workers {
            let Some(reason) = self.leaving_reason(id) else { continue };
            let keys = worker.placements.iter().filter(|key| is_pending(key));
            pending.extend(keys.map(|key| (key.clone(), reason)));
        }
        for (key, reason) in pending {
            self.stop(&key, reason, now_ms);
            self.break_up_gang(&key, now_ms);
        }
    }
}
