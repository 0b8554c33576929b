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

/// Write attempts while others change the job.
const MAX_WRITE_ATTEMPTS: usize = 5;

/// Marks a job as cancelled; the planner stops its task and moves its row.
///
/// # Errors
/// [`ErrorKind::NotFound`], [`ErrorKind::Conflict`] when the job is final or keeps
/// changing, or the platform's failure.
pub async fn run(node: &Arc<Node>, team: &TeamName, id: &JobId) -> Result<JobRow> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let (stored, mut job) = show_job::run(node, team, id).await?;
        if !job.cancel() {
            return Err(Refusal::new(ErrorKind::Conflict, format!("job is {}", job.state)));
        }
        let transaction = Transaction::new()
            .replace(&stored.key, Some(&stored), &job)?
            .put(jobs_head_key(&job.data_centre), id)?;
        if let Commit::Done(_) = (node.platform.tables.transact)(transaction).await? {
            node.plan_wanted.notify_one();
            return Ok(job);
        }
    }
    Err(Refusal::new(ErrorKind::Conflict, "the job keeps changing; try again"))
}
