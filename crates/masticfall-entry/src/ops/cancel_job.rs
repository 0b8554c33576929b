//! Cancels a job for its team.

use std::sync::Arc;

use masticfall_core::error::ErrorKind;
use masticfall_core::id::{JobId, TeamName};
use masticfall_core::job::JobRow;
use masticfall_platform::{Commit, Transaction};
use masticfall_wire::rows::jobs_head_key;

use super::show_job;
use crate::context::Node;
use crate::refusal::{Refusal, Result};

/// Attempts to write against racing changes of the job.
const MAX_ATTEMPTS: usize = 5;

/// Cancels a job; the planner stops its task and moves the row.
///
/// # Errors
/// [`ErrorKind::NotFound`], [`ErrorKind::Conflict`] when it is final, or the
/// platform's failure.
pub async fn run(node: &Arc<Node>, team: &TeamName, id: &JobId) -> Result<JobRow> {
    for _ in 0..MAX_ATTEMPTS {
        let (read, mut job) = show_job::run(node, team, id).await?;
        if !job.cancel() {
            return Err(Refusal::new(ErrorKind::Conflict, format!("job is {}", job.state)));
        }
        let transaction = Transaction::new()
            .replace(&read.key, Some(&read), &job)?
            .put(jobs_head_key(&job.data_centre), id)?;
        if let Commit::Done(_) = (node.platform.tables.transact)(transaction).await? {
            node.plan_wanted.notify_one();
            return Ok(job);
        }
    }
    Err(Refusal::new(ErrorKind::Conflict, "the job keeps changing; repeat"))
}
