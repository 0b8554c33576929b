//! Payloads of jobs, which the owner doesn't send with every start.
//!
//! The tasks of a job share a payload of up to some kilobytes, which would fill the owner's
//! link if it went along with each of thousands of starts a second. It is sent to each relay
//! once, or not at all by an owner on a thin link; the relay then reads the job's row.

use indexmap::{IndexMap, IndexSet};
use masticfall_core::id::{JobId, Name};
use masticfall_platform::error::{Result, UnavailableSnafu};
use parking_lot::Mutex;

use super::messages::RelayCall;
use crate::fleet::context::Fleet;
use crate::fleet::rows::{JOBS_TABLE, decode_job, job_row_key, read_row};

/// Number of jobs whose payloads a relay keeps, and an owner assumes that it does.
const KEPT_JOBS: usize = 2_048;

/// Bandwidth from which an owner sends payloads itself, in Mbit/s.
const MIN_LINK_MBPS: f64 = 50.0;

/// Jobs whose payloads were sent to one relay.
#[derive(Debug)]
pub(super) struct SentPayloads {
    is_thin_link: bool,
    jobs: IndexSet<JobId>,
}

impl SentPayloads {
    pub(super) fn new(fleet: &Fleet) -> Self {
        Self { is_thin_link: fleet.settings.link_mbps < MIN_LINK_MBPS, jobs: IndexSet::new() }
    }

    /// Returns the payloads that have to go along with these calls.
    pub(super) fn missing_for(&mut self, calls: &[(u64, RelayCall)]) -> Vec<(JobId, Name)> {
        let mut missing = Vec::new();
        for (_, call) in calls {
            let RelayCall::Start(start) = call else { continue };
            if !self.is_thin_link && self.jobs.insert(start.task.job.clone()) {
                missing.push((start.task.job.clone(), Name::clone(&start.payload)));
            }
        }
        let excess = self.jobs.len().saturating_sub(KEPT_JOBS);
        self.jobs.drain(..excess);
        missing
    }
}

/// Payloads that a relay knows.
#[derive(Debug, Default)]
pub(super) struct KnownPayloads(Mutex<IndexMap<JobId, Name>>);

impl KnownPayloads {
    /// Adds payloads, and drops the oldest ones beyond the limit.
    pub(super) fn add(&self, payloads: Vec<(JobId, Name)>) {
        let mut known = self.0.lock();
        known.extend(payloads);
        let excess = known.len().saturating_sub(KEPT_JOBS);
        known.drain(..excess);
    }

    /// Returns the payload of a job; reads the job's row if it isn't known.
    ///
    /// # Errors
    /// The store's failure, or that the job has ended.
    pub(super) async fn get(&self, fleet: &Fleet, job: &JobId) -> Result<Name> {
        let known = self.0.lock().get(job).cloned();
        if let Some(payload) = known {
            return Ok(payload);
        }
        let row = read_row(&fleet.platform, job_row_key(JOBS_TABLE, job)).await?;
        let Some(value) = row.and_then(|row| row.value) else {
            return UnavailableSnafu { reason: format!("job {job} has no row") }.fail();
        };
        let payload = decode_job(&value)?.spec.payload;
        self.add(vec![(job.clone(), Name::clone(&payload))]);
        Ok(payload)
    }
}
