//! Blame for failed attempts: the job, or the worker.
//!
//! Some jobs fail wherever they run, and some workers fail everything they
//! start; both occur at once. A worker is judged by its last attempts of
//! different jobs: one that finished none of several is at fault. A job is
//! judged by the workers on which it failed, without those that are at fault
//! themselves.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::id::{InstanceName, JobId};

/// Attempts of a worker that are remembered.
const WINDOW: usize = 12;

/// Different jobs that a worker has to fail, and none to finish, to be at fault.
const MIN_FAILED_JOBS: usize = 4;

/// Sound workers on which a job has to fail to be at fault.
const MIN_FAILED_WORKERS: usize = 3;

/// The last attempts on each worker.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    workers: IndexMap<InstanceName, VecDeque<(JobId, bool)>>,
}

impl AttemptHistory {
    /// Records how an attempt ended.
    pub fn record(&mut self, worker: &InstanceName, job: &JobId, finished: bool) {
        let attempts = self.workers.entry(worker.clone()).or_default();
        if attempts.len() == WINDOW {
            attempts.pop_front();
        }
        attempts.push_back((job.clone(), finished));
    }

    /// Forgets a worker, such as after its maintenance.
    pub fn forget(&mut self, worker: &InstanceName) {
        self.workers.swap_remove(worker);
    }

    /// Tells whether a worker is at fault.
    pub fn is_worker_at_fault(&self, worker: &InstanceName) -> bool {
        let Some(attempts) = self.workers.get(worker) else { return false };
        let none_finished = attempts.iter().all(|(_, finished)| !finished);
        let failed: IndexSet<&JobId> = attempts.iter().map(|(job, _)| job).collect();
        none_finished && failed.len() >= MIN_FAILED_JOBS
    }

    /// Returns the workers at fault.
    pub fn workers_at_fault(&self) -> impl Iterator<Item = &InstanceName> {
        self.workers.keys().filter(|worker| self.is_worker_at_fault(worker))
    }

    /// Tells whether a job is at fault that failed on these workers.
    pub fn is_job_at_fault(&self, failed_on: &[InstanceName]) -> bool {
        let sound: IndexSet<&InstanceName> =
            failed_on.iter().filter(|worker| !self.is_worker_at_fault(worker)).collect();
        sound.len() >= MIN_FAILED_WORKERS
    }
}
