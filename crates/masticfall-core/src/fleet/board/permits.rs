//! Permits of the placement policy service, for queues that require them.

use indexmap::{IndexMap, IndexSet};

use super::Board;
use crate::fleet::config::AdviceConfig;
use crate::fleet::spec::TaskKey;
use crate::id::{Name, WorkerId};

/// Time before its expiry at which a permit is no longer used, in milliseconds:
/// covers delivery to the worker and the age of the response.
const PERMIT_MARGIN_MS: u64 = 300;

/// Maximum number of workers in one request, by the platform's contract.
const MAX_WORKERS_PER_REQUEST: usize = 100;

/// Workers requested beyond the number of tasks, since some are refused.
const EXTRA_WORKERS_REQUESTED: usize = 3;

/// Permits and refusals received for one step.
#[derive(Debug, Clone, Default)]
pub(super) struct StepPermits {
    permits: IndexMap<WorkerId, (Name, u64)>,
    refused: IndexSet<WorkerId>,
    is_pending: bool,
}

/// A request to the placement policy service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step; the task's index is 0.
    pub step: TaskKey,
    /// Workers that permits are requested for.
    pub workers: Vec<WorkerId>,
    /// Time that the service is expected to take, in milliseconds.
    pub expected_ms: u64,
}

impl Board {
    /// Takes the pending requests, which are to be sent one at a time.
    pub fn take_advice_requests(&mut self) -> Vec<AdviceRequest> {
        std::mem::take(&mut self.advice_requests)
    }

    /// Records a response: permits for some of the requested workers. Without a
    /// response the request may be made again.
    pub fn advice_received(
        &mut self,
        request: &AdviceRequest,
        permits: Option<(Vec<(WorkerId, Name)>, u64)>,
        now_ms: u64,
    ) {
        let Some(state) = self.permits.get_mut(&request.step) else { return };
        state.is_pending = false;
        self.needs_placement = true;
        let Some((permits, validity_ms)) = permits else { return };
        let until_ms = now_ms + validity_ms.saturating_sub(PERMIT_MARGIN_MS);
        state.refused.extend(request.workers.iter().cloned());
        for (worker, permit) in permits {
            state.refused.swap_remove(&worker);
            state.permits.insert(worker, (permit, until_ms));
        }
    }

    /// Returns the permit for a task on a worker, unless it is about to expire.
    pub(super) fn permit(&self, key: &TaskKey, worker: &WorkerId, now_ms: u64) -> Option<Name> {
        let state = self.permits.get(&step_of(key))?;
        let (permit, until_ms) = state.permits.get(worker)?;
        (now_ms < *until_ms).then(|| Name::clone(permit))
    }

    /// Drops a permit that a worker rejected.
    pub(super) fn drop_permit(&mut self, key: &TaskKey, worker: &WorkerId) {
        if let Some(state) = self.permits.get_mut(&step_of(key)) {
            state.permits.swap_remove(worker);
        }
    }

    /// Requests permits for a step, unless a request is pending or all workers were refused.
    pub(super) fn request_advice(
        &mut self,
        key: &TaskKey,
        tasks: usize,
        workers: &[WorkerId],
        advice: AdviceConfig,
    ) {
        let step = step_of(key);
        let state = self.permits.entry(step.clone()).or_default();
        if state.is_pending {
            return;
        }
        let limit = (tasks + EXTRA_WORKERS_REQUESTED).min(MAX_WORKERS_PER_REQUEST);
        let eligible = workers.iter().filter(|id| !state.refused.contains(*id));
        let workers: Vec<WorkerId> = eligible.take(limit).cloned().collect();
        if workers.is_empty() {
            return;
        }
        state.is_pending = true;
        let expected_ms = advice.decide_ms + advice.per_worker_ms * workers.len() as u64;
        self.advice_requests.push(AdviceRequest { step, workers, expected_ms });
    }

    /// Drops the permits of a job.
    pub(super) fn drop_permits(&mut self, job: &crate::id::JobId) {
        self.permits.retain(|step, _| step.job != *job);
    }
}

fn step_of(key: &TaskKey) -> TaskKey {
    TaskKey { index: 0, ..key.clone() }
}
