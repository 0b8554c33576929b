//! Fault attribution: whether a failed attempt is the fault of the job or of the worker.
//!
//! Some jobs fail on every worker, and some workers fail every job; both occur
//! at the same time. A worker is at fault when none of its recent attempts
//! succeeded and they cover several jobs. A job is at fault when it failed on
//! several workers that are not at fault themselves.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::id::{InstanceName, JobId};

/// Number of recent attempts kept per worker.
const ATTEMPTS_PER_WORKER: usize = 12;

/// Number of distinct jobs that a worker must fail, with none finished, to be at fault.
const MIN_FAILED_JOBS: usize = 4;

/// Number of workers not at fault on which a job must fail to be at fault.
const MIN_FAILED_WORKERS: usize = 3;

/// The recent attempts on each worker.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    workers: IndexMap<InstanceName, VecDeque<(JobId, bool)>>,
}

impl AttemptHistory {
    /// Records how an attempt ended.
    pub fn record(&mut self, worker: &InstanceName, job: &JobId, finished: bool) {
        let attempts = self.workers.entry(worker.clone()).or_default();
        if attempts.len() == ATTEMPTS_PER_WORKER {
            attempts.pop_front();
        }
        attempts.push_back((job.clone(), finished));
    }

    /// Discards a worker's attempts, for example after its maintenance.
    pub fn forget(&mut self, worker: &InstanceName) {
        self.workers.swap_remove(worker);
    }

    /// Returns whether a worker is at fault.
    pub fn is_worker_at_fault(&self, worker: &InstanceName) -> bool {
        let Some(attempts) = self.workers.get(worker) else { return false };
        let none_finished = attempts.iter().all(|(_, finished)| !finished);
        let failed_jobs: IndexSet<&JobId> = attempts.iter().map(|(job, _)| job).collect();
        none_finished && failed_jobs.len() >= MIN_FAILED_JOBS
    }

    /// Returns the workers at fault.
    pub fn workers_at_fault(&self) -> impl Iterator<Item = &InstanceName> {
        self.workers.keys().filter(|worker| self.is_worker_at_fault(worker))
    }

    /// Returns whether a job that failed on these workers is at fault.
    pub fn is_job_at_fault(&self, failed_on: &[InstanceName]) -> bool {
        let healthy: IndexSet<&InstanceName> =
            failed_on.iter().filter(|worker| !self.is_worker_at_fault(worker)).collect();
        healthy.len() >= MIN_FAILED_WORKERS
    }
}
