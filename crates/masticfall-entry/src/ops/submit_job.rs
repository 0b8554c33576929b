//! Accepts jobs. A job is accepted once its row is written.

use std::sync::Arc;

use bytes::Bytes;
use masticfall_core::config::QueueClass;
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{JobId, Name, QueueName, TeamName};
use masticfall_core::job::{JobRow, JobState, Needs};
use masticfall_core::key::KeyHash;
use masticfall_core::placement::can_ever_fit;
use masticfall_core::timeline::EventKind;
use masticfall_platform::{Commit, Condition, PlatformError, Transaction};
use masticfall_wire::rows::{active_job_key, idempotency_key, jobs_head_key};
use rand::Rng;

use crate::context::{Node, wall_ms};
use crate::dispatch::authenticate;
use crate::refusal::{Refusal, Result};

/// A job to submit.
#[derive(Debug, Clone)]
pub struct SubmitJob {
    /// Queue to submit it to.
    pub queue: QueueName,
    /// Hash of the caller's key.
    pub key: Option<KeyHash>,
    /// Resources that it needs.
    pub needs: Needs,
    /// Whether it may run again after an attempt that ran or may have run.
    pub idempotent: bool,
    /// Key by which a repeated submission is recognized as the same job.
    pub idempotency_key: Option<String>,
    /// Payload for the worker.
    pub payload: Bytes,
}

/// Accepts a job and returns its identifier.
///
/// # Errors
/// A refusal; [`ErrorKind::PlatformUnknown`] when the row may have been written.
pub async fn run(node: &Arc<Node>, submit: SubmitJob) -> Result<JobId> {
    let team = check_submission(node, &submit)?;
    let number: u128 = rand::rng().random();
    let id = JobId::from(format!("{}.{number:032x}", node.data_centre()));
    let dedup_key = submit.idempotency_key.as_ref().map(|key| idempotency_key(&team, key));
    if let Some(dedup_key) = &dedup_key
        && let Some(earlier) = earlier_job(node, dedup_key).await?
    {
        return Ok(earlier);
    }
    let row = JobRow {
        team: team.clone(),
        queue: submit.queue,
        data_centre: node.data_centre().clone(),
        needs: submit.needs,
        idempotent: submit.idempotent,
        payload: Name::from(format!("payload/{id}")),
        state: JobState::Queued,
        attempt: 0,
        worker: None,
        result: None,
        failed_on: Vec::new(),
        lost_workers: Vec::new(),
        reason: None,
        accepted_wall_ms: wall_ms(),
    };
    (node.platform.objects.put)((row.payload.to_string(), submit.payload)).await.map_err(
        |error| {
            // The job does not exist without its row, even if the payload was stored.
            Refusal::new(ErrorKind::PlatformUnavailable, error.to_string())
        },
    )?;
    let accepted = write_job(node, &id, &row, dedup_key.as_deref()).await?;
    let labels = [("job", accepted.as_str()), ("team", team.as_str())];
    node.record(EventKind::JobAccepted, &labels);
    node.plan_wanted.notify_one();
    Ok(accepted)
}

fn check_submission(node: &Arc<Node>, submit: &SubmitJob) -> Result<TeamName> {
    let state = node.state();
    let (config, team) = authenticate(&state, &submit.queue, submit.key.as_ref(), node.now_ms())?;
    let queue = &config.queues[&submit.queue];
    let Some(team) = team.filter(|_| queue.class == QueueClass::Long) else {
        let detail = format!("queue `{}` accepts requests, not jobs", submit.queue);
        return Err(Refusal::new(ErrorKind::BadRequest, detail));
    };
    let workers = state.instances.values().map(|(_, row)| row);
    let pool = queue.pool.as_ref();
    let facts = workers.filter(|row| Some(&row.pool) == pool).map(|row| &row.facts);
    if !can_ever_fit(facts, &submit.needs) {
        let detail = "no worker of the queue's pool has the resources that the job needs";
        return Err(Refusal::new(ErrorKind::CannotFit, detail));
    }
    Ok(team)
}

async fn earlier_job(node: &Arc<Node>, dedup_key: &str) -> Result<Option<JobId>> {
    Ok(node.platform.tables.get_as::<JobId>(dedup_key).await?.map(|(_, id)| id))
}

async fn write_job(
    node: &Arc<Node>,
    id: &JobId,
    row: &JobRow,
    dedup_key: Option<&str>,
) -> Result<JobId> {
    let key = active_job_key(node.data_centre(), id);
    let mut transaction = Transaction::new()
        .check(&key, Condition::Absent)
        .put(&key, row)?
        .put(jobs_head_key(node.data_centre()), id)?;
    if let Some(dedup_key) = dedup_key {
        transaction = transaction.check(dedup_key, Condition::Absent).put(dedup_key, id)?;
    }
    match (node.platform.tables.transact)(transaction).await {
        Ok(Commit::Done(_)) => Ok(id.clone()),
        Ok(Commit::Conflict(_)) => {
            let earlier = match dedup_key {
                Some(dedup_key) => earlier_job(node, dedup_key).await?,
                None => None,
            };
            earlier.ok_or_else(|| Refusal::new(ErrorKind::Conflict, "the job's row exists already"))
        }
        Err(PlatformError::Unknown { reason }) => {
            // If the row is absent, the write may still be applied later.
            match node.platform.tables.get(&key).await {
                Ok(Some(_)) => Ok(id.clone()),
                _ => Err(Refusal::new(ErrorKind::PlatformUnknown, reason)),
            }
        }
        Err(error) => Err(error.into()),
    }
}
