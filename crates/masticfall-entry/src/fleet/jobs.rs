//! Callers' requests about jobs: hand in, show, cancel, count.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::error::ErrorKind;
use masticfall_core::fleet::admission::{AdmissionDecision, decide_admission};
use masticfall_core::fleet::config::{FleetConfig, QueueConfig};
use masticfall_core::fleet::progress::{EndedRow, JobPhase, ProgressRow};
use masticfall_core::fleet::spec::{JobRecord, JobSpec};
use masticfall_core::id::{AccountName, JobId, Name, QueueName};
use masticfall_platform::PlatformError;
use masticfall_platform::error::UnknownSnafu;
use masticfall_platform::fleet::{FleetRow, RowCommit, RowKey, RowRange, RowTransaction};
use tokio::time::{Instant, sleep, timeout_at};

use super::context::Fleet;
use super::rows::{
    ENDED, JOBS, MAX_ROW_BYTES, PROGRESS, cancel_place, job_place, place, read, value,
};
use crate::context::wall_ms;
use crate::refusal::{Refusal, Result};

/// Length of a job's identifier, in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Part of a caller's time that is kept for the way back, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 150;

/// Time that a caller has where it names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// Pause before a write of unknown outcome is tried again, in milliseconds.
const RETRY_MS: u64 = 60;

/// Age after which what is known of the load refuses nobody, in milliseconds:
/// three signs of life of the cell's owner.
const MAX_LOAD_AGE_MS: u64 = 1_200;

/// Age after which the count of waiting jobs isn't given, in milliseconds. It
/// outlasts a take-over.
const MAX_COUNT_AGE_MS: u64 = 10_000;

/// A request's place and key.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Host name, without a port.
    pub host: Name,
    /// Path.
    pub path: Name,
    /// Key, if one came with it.
    pub key: Option<Name>,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// What a request is about.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// Configuration that decided.
    pub config_version: u64,
    /// The queue.
    pub queue: QueueName,
    /// The caller's client account; none on a queue open to all.
    pub account: Option<AccountName>,
    /// What follows the queue's prefix.
    pub path_suffix: Name,
    until: Instant,
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

    fn has_time(&self) -> bool {
        Instant::now() < self.until
    }
}

/// Finds the queue of a request and checks its key.
///
/// # Errors
/// [`ErrorKind::NotReady`] without a configuration, [`ErrorKind::NotFound`]
/// without a queue, [`ErrorKind::Unauthorized`] without a key in force.
pub fn admit(fleet: &Fleet, caller: &CallerRequest) -> Result<AdmittedRequest> {
    let Some(config) = fleet.config() else {
        return Err(Refusal::new(ErrorKind::NotReady, "no configuration yet"));
    };
    let Some(queue) = config.queue_of(&caller.host, &caller.path) else {
        let detail = format!("no queue at {}{}", caller.host, caller.path);
        return Err(Refusal::new(ErrorKind::NotFound, detail));
    };
    let account = account_of(&config, queue, caller.key.as_deref())?;
    let deadline_ms = caller.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let until = Duration::from_millis(deadline_ms.saturating_sub(ANSWER_MARGIN_MS));
    Ok(AdmittedRequest {
        config_version: config.version,
        queue: queue.name.clone(),
        account,
        path_suffix: Name::from(&caller.path[queue.prefix.len()..]),
        until: Instant::now() + until,
    })
}

fn account_of(
    config: &FleetConfig,
    queue: &QueueConfig,
    key: Option<&str>,
) -> Result<Option<AccountName>> {
    let account = key.and_then(|key| config.account_of(key)).cloned();
    if account.is_none() && !queue.is_open {
        return Err(Refusal::new(ErrorKind::Unauthorized, "no key in force"));
    }
    Ok(account)
}

/// Accepts a job: it is stored, or was before.
///
/// # Errors
/// A refusal says that the job never runs, but for [`ErrorKind::PlatformUnknown`].
pub async fn submit(fleet: &Arc<Fleet>, subject: &AdmittedRequest, spec: JobSpec) -> Result<()> {
    let id = subject.job()?;
    spec.check().map_err(|fault| Refusal::new(ErrorKind::BadRequest, fault.to_string()))?;
    if let Some(silent_ms) = fleet.cut_off_ms() {
        let detail = format!("the store has not answered for {silent_ms} ms");
        return Err(Refusal::new(ErrorKind::PlatformUnavailable, detail));
    }
    check_load(fleet, subject, &id, &spec).await?;
    let record = JobRecord {
        queue: subject.queue.clone(),
        account: subject.account.clone(),
        spec,
        accepted_wall_ms: wall_ms(),
    };
    // An unstored job must not be refused as not run once a write of it may
    // have taken effect, so the outcome is settled by writing again: the row is
    // inserted at most once.
    let row = value(&record)?;
    if row.len() > MAX_ROW_BYTES {
        let detail = format!("the job takes {} bytes, of {MAX_ROW_BYTES} at most", row.len());
        return Err(Refusal::new(ErrorKind::TooLarge, detail));
    }
    let insert = RowTransaction {
        checks: vec![(job_place(JOBS, &id), 0), (job_place(ENDED, &id), 0)],
        writes: vec![(job_place(JOBS, &id), Some(row))],
    };
    let is_new = put_new(fleet, subject, &id, insert).await?;
    let (queue, config_version) = (&subject.queue, subject.config_version);
    tracing::info!(name: "job.accepted", process = %fleet.incarnation, job = %id, %queue, config_version, is_new, "job accepted");
    Ok(())
}

/// Refuses a job that would end too late to be of use.
///
/// A job that was accepted before is not refused: the same one may come again.
async fn check_load(
    fleet: &Fleet,
    subject: &AdmittedRequest,
    id: &JobId,
    spec: &JobSpec,
) -> Result<()> {
    let now_ms = fleet.now_ms();
    let config = fleet.config();
    let queue = config.as_ref().and_then(|config| config.queues.get(&subject.queue));
    let Some(queue) = queue else { return Ok(()) };
    let (backlog_ms, age_ms) = {
        let shared = fleet.shared();
        let Some((load, at_ms)) = &shared.load else { return Ok(()) };
        let load = load.loads.get(&queue.pool);
        let backlog_ms = load.map_or(0, |load| load.backlog_ms_for(subject.account.as_ref()));
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
    let detail = format!("the pool needs {backlog_ms} ms for what waits, known {age_ms} ms ago");
    Err(Refusal::new(ErrorKind::Overloaded, detail).retry_after_ms(retry_after_ms))
}

/// Inserts a row unless it is there; returns whether it wasn't.
async fn put_new(
    fleet: &Fleet,
    subject: &AdmittedRequest,
    id: &JobId,
    insert: RowTransaction,
) -> Result<bool> {
    let mut may_have_run = false;
    loop {
        let written = timeout_at(subject.until, (fleet.platform.transact)(insert.clone())).await;
        // What was sent may be carried out though nobody waits for the answer.
        let written = written.unwrap_or_else(|_elapsed| {
            UnknownSnafu { reason: "no answer within the caller's time" }.fail()
        });
        match written {
            Ok(RowCommit::Done(_)) => return Ok(true),
            Ok(RowCommit::Conflict(_)) => return Ok(false),
            Err(error @ (PlatformError::Unavailable { .. } | PlatformError::Malformed { .. })) => {
                if !may_have_run {
                    return Err(error.into());
                }
            }
            Err(PlatformError::Unknown { reason }) => {
                tracing::debug!(name: "row.unclear", job = %id, reason, "writing it again");
                may_have_run = true;
            }
        }
        if !subject.has_time() {
            let detail = "the store didn't say whether the row was written";
            return Err(Refusal::new(ErrorKind::PlatformUnknown, detail));
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

/// Returns where a job is in its life.
///
/// # Errors
/// [`ErrorKind::NoSuchJob`] only when the store has no such job.
pub async fn show(fleet: &Fleet, subject: &AdmittedRequest) -> Result<JobPhase> {
    let id = subject.job()?;
    if let Some(phase) = phase_on_board(fleet, &id) {
        return Ok(phase);
    }
    if let Some(row) = get(fleet, place(PROGRESS, id.as_str())).await? {
        return Ok(decode::<ProgressRow>(&row)?.phase);
    }
    match stored_job(fleet, &id).await? {
        Some(StoredJob::Active(..)) => Ok(JobPhase::Queued),
        Some(StoredJob::Ended(phase)) => Ok(phase),
        None => Err(Refusal::new(ErrorKind::NoSuchJob, format!("no job {id}"))),
    }
}

/// Returns the phase of a job that this process dispatches, unless it is a
/// final one, which counts only once it is stored.
fn phase_on_board(fleet: &Fleet, id: &JobId) -> Option<JobPhase> {
    let shared = fleet.shared();
    let job = shared.board.as_ref()?.jobs.get(id)?;
    Some(job.phase).filter(|phase| !phase.is_final())
}

/// A job as its own rows tell.
enum StoredJob {
    /// Its row, which is there until its end was stored elsewhere.
    Active(RowKey, u64),
    /// Its final phase.
    Ended(JobPhase),
}

/// Returns a job's row, read where it lies before it ends, then where it lies after.
async fn stored_job(fleet: &Fleet, id: &JobId) -> Result<Option<StoredJob>> {
    let place = job_place(JOBS, id);
    if let Some(row) = get(fleet, place.clone()).await? {
        return Ok(Some(StoredJob::Active(place, row.version)));
    }
    let Some(row) = get(fleet, job_place(ENDED, id)).await? else { return Ok(None) };
    Ok(Some(StoredJob::Ended(decode::<EndedRow>(&row)?.phase)))
}

async fn get(fleet: &Fleet, place: RowKey) -> Result<Option<FleetRow>> {
    let RowKey { table, part, key } = place;
    let to = Name::from(format!("{key}\0"));
    let page = (fleet.platform.range)(RowRange { table, part, from: key, to }).await?;
    Ok(page.rows.into_iter().next().filter(|row| row.value.is_some()))
}

fn decode<T: serde::de::DeserializeOwned>(row: &FleetRow) -> Result<T> {
    Ok(read(row.value.as_deref().unwrap_or_default())?)
}

/// Asks for a job's cancellation.
///
/// # Errors
/// [`ErrorKind::NoSuchJob`] when the store has no such job.
pub async fn cancel(fleet: &Arc<Fleet>, subject: &AdmittedRequest) -> Result<()> {
    let id = subject.job()?;
    let (job, version) = match stored_job(fleet, &id).await? {
        None => return Err(Refusal::new(ErrorKind::NoSuchJob, format!("no job {id}"))),
        Some(StoredJob::Ended(_)) => return Ok(()),
        Some(StoredJob::Active(place, version)) => (place, version),
    };
    let row = cancel_place(&id);
    // A job's row never changes: without it the job has ended.
    let insert = RowTransaction {
        checks: vec![(row.clone(), 0), (job, version)],
        writes: vec![(row, Some(value(&wall_ms())?))],
    };
    let is_new = put_new(fleet, subject, &id, insert).await?;
    tracing::info!(name: "job.cancel_accepted", process = %fleet.incarnation, job = %id, is_new, "cancellation accepted");
    Ok(())
}

/// Returns how many jobs of a queue have no started task.
///
/// # Errors
/// [`ErrorKind::PlatformUnavailable`] when no recent count is known.
pub fn count_waiting(fleet: &Fleet, subject: &AdmittedRequest) -> Result<u32> {
    let now_ms = fleet.now_ms();
    let shared = fleet.shared();
    if let Some(board) = &shared.board {
        return Ok(board.waiting_by_queue().get(&subject.queue).copied().unwrap_or_default());
    }
    match &shared.load {
        Some((load, at_ms)) if now_ms < at_ms + MAX_COUNT_AGE_MS => {
            Ok(load.waiting.get(&subject.queue).copied().unwrap_or_default())
        }
        _ => Err(Refusal::new(ErrorKind::PlatformUnavailable, "no recent count is known")),
    }
}
