//! Returns a job and its result to its team.

use std::sync::Arc;

use bytes::Bytes;
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{JobId, TeamName, data_centre_of};
use masticfall_core::job::JobRow;
use masticfall_core::key::KeyHash;
use masticfall_platform::Row;
use masticfall_wire::rows::{active_job_key, final_job_key};

use crate::context::Node;
use crate::refusal::{Refusal, Result};

/// Returns the team that a key belongs to.
///
/// # Errors
/// [`ErrorKind::Unauthorized`] when there is no valid key.
pub fn team_of(node: &Arc<Node>, key: Option<&KeyHash>) -> Result<TeamName> {
    let state = node.state();
    let team = key.and_then(|key| state.keys.team_of(key)).cloned();
    team.ok_or_else(|| Refusal::new(ErrorKind::Unauthorized, "key is unknown or withdrawn"))
}

/// Reads an active or final job of a team.
///
/// # Errors
/// [`ErrorKind::NotFound`] when the team has no such job, or the platform's failure.
pub async fn run(node: &Arc<Node>, team: &TeamName, id: &JobId) -> Result<(Row, JobRow)> {
    let keys = vec![active_job_key(&data_centre_of(id.as_str()), id), final_job_key(id)];
    let rows = (node.platform.tables.read)(keys).await?;
    for row in rows.into_iter().flatten() {
        let job: JobRow = row.decode()?;
        if job.team == *team {
            return Ok((row, job));
        }
    }
    Err(Refusal::new(ErrorKind::NotFound, format!("no job `{id}`")))
}

/// Reads a finished job's result.
///
/// # Errors
/// [`ErrorKind::NotFound`], [`ErrorKind::Conflict`] while there is no result, or
/// the platform's failure.
pub async fn result(node: &Arc<Node>, team: &TeamName, id: &JobId) -> Result<Bytes> {
    let (_, job) = run(node, team, id).await?;
    let Some(object) = job.result else {
        return Err(Refusal::new(ErrorKind::Conflict, format!("job is {}", job.state)));
    };
    let bytes = (node.platform.objects.get)(object.to_string()).await?;
    bytes.ok_or_else(|| Refusal::new(ErrorKind::NotFound, "the result object no longer exists"))
}
