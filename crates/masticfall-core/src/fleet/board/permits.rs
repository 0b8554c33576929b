//! Permits of the placement policy service, where a queue needs them.

use indexmap::{IndexMap, IndexSet};

use super::Board;
use crate::fleet::config::AdviceConfig;
use crate::fleet::spec::TaskKey;
use crate::id::{Name, WorkerId};

/// Time before its end at which a permit is no longer used, in milliseconds:
/// the way to the worker, and the age of the answer.
const PERMIT_MARGIN_MS: u64 = 300;

/// Most workers that one question names, by the platform's contract.
const MAX_WORKERS_ASKED: usize = 100;

/// Workers asked about beyond the number of tasks: some are refused.
const SPARE_WORKERS_ASKED: usize = 3;

/// What is known of the workers for one step.
#[derive(Debug, Clone, Default)]
pub(super) struct StepPermits {
    permits: IndexMap<WorkerId, (Name, u64)>,
    refused: IndexSet<WorkerId>,
    is_asked: bool,
}

/// A question to the placement policy service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuestion {
    /// The step; the task's index is 0.
    pub step: TaskKey,
    /// Workers in question.
    pub workers: Vec<WorkerId>,
    /// Time that the service takes, in milliseconds.
    pub takes_ms: u64,
}

impl Board {
    /// Takes the questions to be asked, one after the other.
    pub fn take_questions(&mut self) -> Vec<AdviceQuestion> {
        std::mem::take(&mut self.questions)
    }

    /// Notes an answer: permits for some of the workers asked about. Without an
    /// answer the question may be asked again.
    pub fn advised(
        &mut self,
        question: &AdviceQuestion,
        permits: Option<(Vec<(WorkerId, Name)>, u64)>,
        now_ms: u64,
    ) {
        let Some(known) = self.permits.get_mut(&question.step) else { return };
        known.is_asked = false;
        self.wants_placing = true;
        let Some((permits, validity_ms)) = permits else { return };
        let until_ms = now_ms + validity_ms.saturating_sub(PERMIT_MARGIN_MS);
        known.refused.extend(question.workers.iter().cloned());
        for (worker, permit) in permits {
            known.refused.swap_remove(&worker);
            known.permits.insert(worker, (permit, until_ms));
        }
    }

    /// Returns the permit for a task on a worker.
    pub(super) fn permit(&self, key: &TaskKey, worker: &WorkerId, now_ms: u64) -> Option<Name> {
        let known = self.permits.get(&step_of(key))?;
        let (permit, until_ms) = known.permits.get(worker)?;
        (now_ms < *until_ms).then(|| Name::clone(permit))
    }

    /// Forgets a permit that a worker didn't take.
    pub(super) fn drop_permit(&mut self, key: &TaskKey, worker: &WorkerId) {
        if let Some(known) = self.permits.get_mut(&step_of(key)) {
            known.permits.swap_remove(worker);
        }
    }

    /// Asks about workers for a step, unless a question is open or all were refused.
    pub(super) fn ask_about(
        &mut self,
        key: &TaskKey,
        tasks: usize,
        workers: &[WorkerId],
        advice: AdviceConfig,
    ) {
        let step = step_of(key);
        let known = self.permits.entry(step.clone()).or_default();
        if known.is_asked {
            return;
        }
        let most = (tasks + SPARE_WORKERS_ASKED).min(MAX_WORKERS_ASKED);
        let open = workers.iter().filter(|id| !known.refused.contains(*id));
        let workers: Vec<WorkerId> = open.take(most).cloned().collect();
        if workers.is_empty() {
            return;
        }
        known.is_asked = true;
        let takes_ms = advice.decide_ms + advice.per_worker_ms * workers.len() as u64;
        self.questions.push(AdviceQuestion { step, workers, takes_ms });
    }

    /// Forgets the permits of a job.
    pub(super) fn forget_permits(&mut self, job: &crate::id::JobId) {
        self.permits.retain(|step, _| step.job != *job);
    }
}

fn step_of(key: &TaskKey) -> TaskKey {
    TaskKey { index: 0, ..key.clone() }
}
