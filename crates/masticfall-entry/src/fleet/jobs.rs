//! Callers' requests about jobs: submit, show, cancel, count.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::error::ErrorKind;
use masticfall_core::fleet::admission::{AdmissionDecision, decide_admission};
use masticfall_core::fleet::config::{FleetConfig, QueueConfig};
use masticfall_core::fleet::progress::{EndedRow, JobPhase, ProgressRow};
use masticfall_core::fleet::spec::{JobRecord, JobSpec};
use masticfall_core::hash::fnv_1a;
use masticfall_core::id::{AccountName, JobId, Name, QueueName};
use masticfall_platform::PlatformError;
use masticfall_platform::error::UnknownSnafu;
use masticfall_platform::fleet::{FleetRow, RowCommit, RowKey, RowTransaction};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::cancellations::{has_job, insert_job, insert_markers, marker_keys, max_marker_age_ms};
use super::context::Fleet;
use super::follow;
use super::rows::{
    ENDED_TABLE, JOBS_TABLE, MAX_ROW_BYTES, cancel_row_key, decode_row, encode_row, job_row_key,
    progress_row_key, read_row,
};
use crate::context::wall_ms;
use crate::refusal::{Refusal, Result};

/// Length of a job's identifier, in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Part of a caller's deadline that is reserved for the response, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 150;

/// Deadline of a request that names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// Delay before a write of unknown outcome is retried, in milliseconds.
const WRITE_RETRY_MS: u64 = 60;

/// Divisor of the time for which ended jobs are kept that gives the maximum time for which a
/// request writes to the store, whatever its deadline. The rest of that time is for writes that
/// the store or a connection holds back: none may take effect once the row of the ended job is
/// removed.
const MAX_WRITE_DIVISOR: u64 = 4;

/// Age after which the reported load is no longer used to refuse jobs, in
/// milliseconds: three heartbeats of the cell's owner.
const MAX_LOAD_AGE_MS: u64 = 1_200;

/// Age after which the count of waiting jobs is no longer reported, in milliseconds;
/// longer than a takeover.
const MAX_COUNT_AGE_MS: u64 = 10_000;

/// Maximum of `Retry-After` for a job that is refused since the store doesn't answer, in
/// seconds; known outages last about four.
const MAX_RETRY_AFTER_S: u64 = 3;

/// A caller's request: its URL, key and deadline.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Host name, without a port.
    pub host: Name,
    /// Path.
    pub path: Name,
    /// API key, if the request carries one.
    pub key: Option<Name>,
    /// Time for which the caller waits for the answer, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// An admitted request.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// Version of the configuration that the request was checked against.
    pub config_version: u64,
    /// The queue.
    pub queue: QueueName,
    /// The caller's client account; none on a queue open to all.
    pub account: Option<AccountName>,
    /// Part of the path after the queue's prefix.
    pub path_suffix: Name,
    is_queue_open: bool,
    answer_by: Instant,
    /// The same moment by the process's clock, which includes time spent suspended.
    answer_by_ms: u64,
}

impl AdmittedRequest {
    /// Returns the job's identifier.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] when it isn't one.
    pub fn job(&self) -> Result<JobId> {
        let is_id = self.path_suffix.len() == ID_DIGITS
            && self.path_suffix.bytes().all(|byte| byte.is_ascii_hexdigit());
        if is_id {
            return Ok(JobId::new(Name::clone(&self.path_suffix)));
        }
        let detail = format!("`{}` is not {ID_DIGITS} hexadecimal digits", self.path_suffix);
        Err(Refusal::new(ErrorKind::BadRequest, detail))
    }

    fn has_time(&self, fleet: &Fleet) -> bool {
        Instant::now() < self.answer_by && fleet.now_ms() < self.answer_by_ms
    }

    /// Returns the keys of the markers that the caller's cancellation of a job leaves, and that
    /// keep its submission from being stored.
    fn marker_keys(&self, id: &JobId) -> Vec<RowKey> {
        let open_queue = Some(&self.queue).filter(|_| self.is_queue_open);
        marker_keys(id, self.account.as_ref(), open_queue)
    }
}

/// Finds the queue of a request and checks its key.
///
/// # Errors
/// [`ErrorKind::NotReady`] without a configuration, [`ErrorKind::NotFound`]
/// without a queue, [`ErrorKind::Unauthorized`] without a valid key.
pub fn admit(fleet: &Fleet, caller: &CallerRequest) -> Result<AdmittedRequest> {
    let Some(config) = fleet.config() else {
        return Err(Refusal::new(ErrorKind::NotReady, "no configuration loaded yet"));
    };
    let Some(queue) = config.queue_of(&caller.host, &caller.path) else {
        let detail = format!("no queue at {}{}", caller.host, caller.path);
        return Err(Refusal::new(ErrorKind::NotFound, detail));
    };
    let account = account_of(&config, queue, caller.key.as_deref())?;
    let max_write_ms = fleet.settings.keep_ended_ms / MAX_WRITE_DIVISOR;
    let deadline_ms = caller.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let left_ms =
        deadline_ms.min(max_write_ms.max(DEFAULT_DEADLINE_MS)).saturating_sub(ANSWER_MARGIN_MS);
    Ok(AdmittedRequest {
        config_version: config.version,
        queue: queue.name.clone(),
        account,
        path_suffix: Name::from(&caller.path[queue.prefix.len()..]),
        is_queue_open: queue.is_open,
        answer_by: Instant::now() + Duration::from_millis(left_ms),
        answer_by_ms: fleet.now_ms() + left_ms,
    })
}

fn account_of(
    config: &FleetConfig,
    queue: &QueueConfig,
    key: Option<&str>,
) -> Result<Option<AccountName>> {
    let account = key.and_then(|key| config.account_of(key)).cloned();
    if account.is_none() && !queue.is_open {
        return Err(Refusal::new(ErrorKind::Unauthorized, "missing or invalid API key"));
    }
    Ok(account)
}

/// Accepts a job: stores it unless it was stored before.
///
/// # Errors
/// [`ErrorKind::JobCancelled`] when its caller cancelled it before. A refused job never runs,
/// except with [`ErrorKind::PlatformUnknown`], where the outcome is unknown.
pub async fn submit(fleet: &Arc<Fleet>, request: &AdmittedRequest, spec: JobSpec) -> Result<()> {
    let id = request.job()?;
    spec.check().map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))?;
    if let Some(outage_ms) = fleet.store_outage_ms() {
        let detail = format!("the store has not answered for {outage_ms} ms");
        return Err(spread_retry(fleet, &id, Refusal::new(ErrorKind::PlatformUnavailable, detail)));
    }
    check_load(fleet, request, &id, &spec).await?;
    let record = JobRecord {
        queue: request.queue.clone(),
        account: request.account.clone(),
        spec,
        accepted_wall_ms: wall_ms(),
    };
    // Once a write may have taken effect, the job must not be refused as never run.
    // The outcome is resolved by writing again: the row is inserted at most once.
    let row = encode_row(&record)?;
    if row.len() > MAX_ROW_BYTES {
        let detail = format!("the job takes {} bytes; the maximum is {MAX_ROW_BYTES}", row.len());
        return Err(Refusal::new(ErrorKind::TooLarge, detail));
    }
    let insert = insert_job(&id, &request.marker_keys(&id), row);
    let inserted = insert_once(fleet, request, &id, insert).await;
    let is_new = match inserted.map_err(|refusal| spread_retry(fleet, &id, refusal))? {
        RowCommit::Done(_) => true,
        RowCommit::Conflict(rows) if has_job(&id, &rows) => false,
        RowCommit::Conflict(_) => {
            refuse_cancelled(fleet, request, &id).await?;
            false
        }
    };
    let (queue, config_version) = (&request.queue, request.config_version);
    tracing::info!(name: "job.accepted", process = %fleet.incarnation, job = %id, %queue, config_version, is_new, "job accepted");
    Ok(())
}

/// Refuses a submission that was cancelled before, unless the job is stored by now.
///
/// The markers are renewed first: an earlier write of the submission may still be on its way, and
/// must not outlive them.
async fn refuse_cancelled(fleet: &Fleet, request: &AdmittedRequest, id: &JobId) -> Result<()> {
    let renewed = mark_cancelled(fleet, request, id).await.map_err(|refusal| {
        let detail = format!("job {id} was cancelled; it may run: {}", refusal.detail);
        Refusal::new(ErrorKind::PlatformUnknown, detail)
    })?;
    if !renewed {
        return Ok(());
    }
    let detail = format!("job {id} was cancelled before it was accepted");
    let max_age_ms = max_marker_age_ms(fleet.settings.keep_ended_ms);
    Err(Refusal::new(ErrorKind::JobCancelled, detail).retry_after_ms(max_age_ms))
}

/// Leaves or renews the markers of a job that isn't stored; returns `false` if it is.
async fn mark_cancelled(fleet: &Fleet, request: &AdmittedRequest, id: &JobId) -> Result<bool> {
    let insert = insert_markers(id, &request.marker_keys(id), wall_ms())?;
    match insert_once(fleet, request, id, insert).await? {
        RowCommit::Done(version) => {
            tracing::info!(name: "job.marked_cancelled", process = %fleet.incarnation, job = %id, version, "cancelled a job that isn't stored");
            Ok(true)
        }
        RowCommit::Conflict(_) => Ok(false),
    }
}

/// Spreads the callers whose jobs are refused since the store doesn't answer over
/// [`MAX_RETRY_AFTER_S`] seconds: if all of them came back in the same second, they would be
/// refused again.
fn spread_retry(fleet: &Fleet, id: &JobId, refusal: Refusal) -> Refusal {
    if fleet.settings.early_start_after_ms == 0 || refusal.kind != ErrorKind::PlatformUnavailable {
        return refusal;
    }
    refusal.retry_after_ms(1_000 * (1 + fnv_1a(id.as_str().bytes()) % MAX_RETRY_AFTER_S))
}

/// Refuses a job that would miss its objective under the pool's current load.
///
/// A job that was accepted before is not refused: callers may submit it again.
async fn check_load(
    fleet: &Fleet,
    request: &AdmittedRequest,
    id: &JobId,
    spec: &JobSpec,
) -> Result<()> {
    let now_ms = fleet.now_ms();
    let config = fleet.config();
    let queue = config.as_ref().and_then(|config| config.queues.get(&request.queue));
    let Some(queue) = queue else { return Ok(()) };
    let (backlog_ms, age_ms) = {
        let shared = fleet.shared();
        let Some((load, at_ms)) = &shared.load else { return Ok(()) };
        let load = load.loads.get(&queue.pool);
        let backlog_ms = load.map_or(0, |load| load.backlog_ms_for(request.account.as_ref()));
        (backlog_ms, now_ms.saturating_sub(*at_ms))
    };
    if age_ms >= MAX_LOAD_AGE_MS {
        return Ok(());
    }
    let AdmissionDecision::Refuse { retry_after_ms } = decide_admission(queue, spec, backlog_ms)
    else {
        return Ok(());
    };
    if stored_job(fleet, id).await?.is_some() {
        return Ok(());
    }
    let detail = format!("the pool's backlog is {backlog_ms} ms, as of {age_ms} ms ago");
    Err(Refusal::new(ErrorKind::Overloaded, detail).retry_after_ms(retry_after_ms))
}

/// Runs a transaction that inserts rows, and repeats it if its outcome is unknown. A conflict may
/// then be with its own rows.
async fn insert_once(
    fleet: &Fleet,
    request: &AdmittedRequest,
    id: &JobId,
    insert: RowTransaction,
) -> Result<RowCommit> {
    let mut may_be_written = false;
    while request.has_time(fleet) {
        let written =
            timeout_at(request.answer_by, (fleet.platform.transact)(insert.clone())).await;
        // After a timeout the write may still take effect.
        let written = written.unwrap_or_else(|_elapsed| {
            UnknownSnafu { reason: "no answer within the caller's deadline" }.fail()
        });
        match written {
            Ok(RowCommit::Done(version)) => {
                follow::announce_stored(fleet, &insert, version);
                return Ok(RowCommit::Done(version));
            }
            Ok(conflict @ RowCommit::Conflict(_)) => return Ok(conflict),
            Err(
                error @ (PlatformError::Unavailable { .. }
                | PlatformError::Rejected { .. }
                | PlatformError::Malformed { .. }),
            ) => {
                if !may_be_written {
                    return Err(error.into());
                }
            }
            Err(PlatformError::Unknown { reason }) => {
                tracing::debug!(name: "row.unclear", job = %id, reason, "outcome of a write is unknown; writing again");
                may_be_written = true;
            }
        }
        let retry_at = Instant::now() + Duration::from_millis(WRITE_RETRY_MS);
        sleep_until(retry_at.min(request.answer_by)).await;
    }
    Err(if may_be_written {
        let detail = "the store did not confirm whether the row was written";
        Refusal::new(ErrorKind::PlatformUnknown, detail)
    } else {
        Refusal::new(ErrorKind::DeadlineNotRun, "no time left to write to the store")
    })
}

/// What a caller learns of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobStatus {
    /// Current phase.
    pub phase: JobPhase,
    /// Why it failed.
    pub reason: Option<Name>,
}

impl From<JobPhase> for JobStatus {
    fn from(phase: JobPhase) -> Self {
        Self { phase, reason: None }
    }
}

/// Returns the status of a job.
///
/// # Errors
/// [`ErrorKind::NoSuchJob`] only when the store has no such job.
pub async fn show(fleet: &Fleet, request: &AdmittedRequest) -> Result<JobStatus> {
    let id = request.job()?;
    if let Some(phase) = phase_on_board(fleet, &id) {
        return Ok(phase.into());
    }
    if let Some(row) = read_row(&fleet.platform, progress_row_key(&id)).await? {
        let ProgressRow { phase, reason, .. } = decode_value(&row)?;
        return Ok(JobStatus { phase, reason });
    }
    match stored_job(fleet, &id).await? {
        Some(StoredJob::Active(..)) => Ok(JobPhase::Queued.into()),
        Some(StoredJob::Ended(EndedRow { phase, reason, .. })) => Ok(JobStatus { phase, reason }),
        None => Err(Refusal::new(ErrorKind::NoSuchJob, format!("no job {id}"))),
    }
}

/// Returns the phase of a job that this process dispatches, unless it is final: a
/// final phase is valid only once it is stored.
fn phase_on_board(fleet: &Fleet, id: &JobId) -> Option<JobPhase> {
    let shared = fleet.shared();
    let job = shared.board.as_ref()?.jobs.get(id)?;
    Some(job.phase).filter(|phase| !phase.is_final())
}

/// A job according to its own rows.
enum StoredJob {
    /// Key and version of its row, which exists until the job is archived.
    Active(RowKey, u64),
    /// Its archived row.
    Ended(EndedRow),
}

/// Looks a job up among the active jobs, then among the archived ones; in this order
/// a job that is archived in between is not missed.
async fn stored_job(fleet: &Fleet, id: &JobId) -> Result<Option<StoredJob>> {
    let row_key = job_row_key(JOBS_TABLE, id);
    if let Some(row) = read_row(&fleet.platform, row_key.clone()).await? {
        return Ok(Some(StoredJob::Active(row_key, row.version)));
    }
    let Some(row) = read_row(&fleet.platform, job_row_key(ENDED_TABLE, id)).await? else {
        return Ok(None);
    };
    Ok(Some(StoredJob::Ended(decode_value(&row)?)))
}

fn decode_value<T: serde::de::DeserializeOwned>(row: &FleetRow) -> Result<T> {
    Ok(decode_row(row.value.as_deref().unwrap_or_default())?)
}

/// Requests a job's cancellation.
///
/// # Errors
/// [`ErrorKind::NoSuchJob`] when the store has no such job. It then has none later either: a
/// submission that is still on its way is refused.
pub async fn cancel(fleet: &Arc<Fleet>, request: &AdmittedRequest) -> Result<()> {
    let id = request.job()?;
    let (job, version) = loop {
        match stored_job(fleet, &id).await? {
            Some(StoredJob::Ended(_)) => return Ok(()),
            Some(StoredJob::Active(row_key, version)) => break (row_key, version),
            None if mark_cancelled(fleet, request, &id).await? => {
                return Err(Refusal::new(ErrorKind::NoSuchJob, format!("no job {id}")));
            }
            // Stored since it was looked up.
            None => {}
        }
    };
    let row = cancel_row_key(&id);
    // A job's row never changes, so a conflict on it means that the job has ended.
    let insert = RowTransaction {
        checks: vec![(row.clone(), 0), (job, version)],
        writes: vec![(row, Some(encode_row(&wall_ms())?))],
    };
    let inserted = insert_once(fleet, request, &id, insert).await?;
    let is_new = matches!(inserted, RowCommit::Done(_));
    tracing::info!(name: "job.cancel_accepted", process = %fleet.incarnation, job = %id, is_new, "cancellation accepted");
    Ok(())
}

/// Returns how many jobs of a queue have no started task.
///
/// # Errors
/// [`ErrorKind::PlatformUnavailable`] when no recent count is available.
pub fn count_waiting(fleet: &Fleet, request: &AdmittedRequest) -> Result<u32> {
    let now_ms = fleet.now_ms();
    let shared = fleet.shared();
    if let Some(board) = &shared.board {
        return Ok(board.waiting_by_queue().get(&request.queue).copied().unwrap_or_default());
    }
    match &shared.load {
        Some((load, at_ms)) if now_ms < at_ms + MAX_COUNT_AGE_MS => {
            Ok(load.waiting.get(&request.queue).copied().unwrap_or_default())
        }
        _ => Err(Refusal::new(
            ErrorKind::PlatformUnavailable,
            "no recent count of waiting jobs is available",
        )),
    }
}
