//! Jobs: places them on workers, renews their leases, and records each result once.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use masticfall_core::blame::AttemptHistory;
use masticfall_core::escrow::GrantRow;
use masticfall_core::id::{InstanceName, JobId, Name, PoolName};
use masticfall_core::instance::InstanceKind;
use masticfall_core::job::{AttemptEnd, JobRow, JobState};
use masticfall_core::lease::observer_length_ms;
use masticfall_core::placement::{FreeCapacity, best_fit};
use masticfall_core::timeline::EventKind;
use masticfall_platform::{
    Commit, ListedState, Result, Row, StartOutcome, StartTask, TaskState, TaskStatus, Transaction,
};
use masticfall_wire::rows::{
    active_job_key, active_jobs_prefix, final_job_key, jobs_head_key, limit_key,
};

use super::lease::PlannerLease;
use crate::context::Node;

/// Quarantine of a worker whose task leases expired, in milliseconds.
const QUARANTINE_MS: u64 = 30_000;

/// Duration of a task's lease, in milliseconds.
const TASK_LEASE_MS: u64 = 4_000;

/// Active jobs, and what this planner observed of their workers.
#[derive(Debug, Default)]
pub struct JobTable {
    /// Version of the head row when `jobs` was read; `None` forces a reload.
    head_version: Option<u64>,
    jobs: IndexMap<JobId, (Row, JobRow)>,
    /// Last time each worker confirmed its leases, or the time this planner first asked it.
    renewed_ms: IndexMap<InstanceName, u64>,
    /// End of each worker's quarantine; no job is placed on it before.
    quarantined_until_ms: IndexMap<InstanceName, u64>,
    /// Outcomes of the last attempts on each worker.
    attempt_history: AttemptHistory,
    /// Time at which each attempt was first missing from its worker's report.
    missing_since_ms: IndexMap<(JobId, u32), u64>,
}

/// Advances every active job of the data centre.
pub async fn step(node: &Arc<Node>, lease: &PlannerLease, table: &mut JobTable) -> Result<()> {
    refresh(node, table).await?;
    check_placed(node, lease, table).await?;
    place_queued(node, lease, table).await?;
    publish_busy_workers(node, table);
    reset_attempt_history(node, table);
    publish_workers_at_fault(node, table);
    Ok(())
}

/// Publishes the workers at fault, which get no jobs, and reports new ones.
fn publish_workers_at_fault(node: &Arc<Node>, table: &JobTable) {
    let at_fault: IndexSet<InstanceName> =
        table.attempt_history.workers_at_fault().cloned().collect();
    let mut state = node.state();
    let new: Vec<InstanceName> = at_fault.difference(&state.workers_at_fault).cloned().collect();
    state.workers_at_fault = at_fault;
    drop(state);
    for worker in new {
        node.record(EventKind::WorkerAtFault, &[("instance", worker.as_str())]);
        tracing::warn!(name: "worker.at_fault", worker = %worker, "worker finished none of its recent jobs; no more jobs are placed on it");
    }
}

/// Clears the history of workers that left their pool, since they return maintained.
fn reset_attempt_history(node: &Arc<Node>, table: &mut JobTable) {
    let state = node.state();
    let out = state.instances.iter().filter(|(_, (_, row))| !row.takes_work());
    for (name, _) in out {
        table.attempt_history.forget(name);
    }
}

async fn refresh(node: &Arc<Node>, table: &mut JobTable) -> Result<()> {
    let head = node.platform.tables.get(&jobs_head_key(node.data_centre())).await?;
    let version = head.map(|row| row.version);
    if version == table.head_version {
        return Ok(());
    }
    let prefix = active_jobs_prefix(node.data_centre());
    table.jobs.clear();
    for row in (node.platform.tables.scan)(prefix.clone()).await? {
        let job = JobId::from(row.key[prefix.len()..].to_string());
        match row.decode() {
            Ok(value) => drop(table.jobs.insert(job, (row, value))),
            // One row must not keep the jobs of a data centre from planner after planner.
            Err(error) => {
                tracing::warn!(name: "job.unreadable", %job, %error, "ignoring job row");
            }
        }
    }
    table.head_version = version;
    Ok(())
}

/// Publishes the workers that have jobs, so that they do not count as drained.
fn publish_busy_workers(node: &Arc<Node>, table: &JobTable) {
    let busy: IndexSet<InstanceName> =
        table.jobs.values().filter_map(|(_, job)| job.worker.clone()).collect();
    node.state().busy_workers = busy;
}

/// Renews the leases of placed jobs and ends the attempts that are over.
async fn check_placed(node: &Arc<Node>, lease: &PlannerLease, table: &mut JobTable) -> Result<()> {
    let mut by_worker: IndexMap<InstanceName, Vec<JobId>> = IndexMap::new();
    for (id, (_, job)) in &table.jobs {
        if let Some(worker) = &job.worker {
            by_worker.entry(worker.clone()).or_default().push(id.clone());
        }
    }
    table.renewed_ms.retain(|worker, _| by_worker.contains_key(worker));
    for (worker, jobs) in by_worker {
        let sent_ms = node.now_ms();
        table.renewed_ms.entry(worker.clone()).or_insert(sent_ms);
        let report = (node.platform.workers.renew)((worker.clone(), TASK_LEASE_MS)).await;
        let now_ms = node.now_ms();
        match report {
            Ok(report) => {
                table.renewed_ms.insert(worker, now_ms);
                for job in jobs {
                    check_job(node, lease, table, &job, &report).await?;
                }
            }
            Err(_) if now_ms >= lease_end_ms(table.renewed_ms[&worker]) => {
                table.quarantined_until_ms.insert(worker, now_ms + QUARANTINE_MS);
                for job in jobs {
                    end_attempt(node, lease, table, &job, AttemptEnd::WorkerLost).await?;
                }
            }
            Err(_) => {}
        }
    }
    Ok(())
}

/// Returns when a lease confirmed at `last_renewal_ms` has expired, allowing for clock drift.
fn lease_end_ms(last_renewal_ms: u64) -> u64 {
    last_renewal_ms + observer_length_ms(TASK_LEASE_MS)
}

async fn check_job(
    node: &Arc<Node>,
    lease: &PlannerLease,
    table: &mut JobTable,
    id: &JobId,
    report: &[TaskStatus],
) -> Result<()> {
    let Some((_, job)) = table.jobs.get(id) else {
        return Ok(());
    };
    let attempt = job.attempt;
    let status = report.iter().find(|task| task.job == *id && task.attempt == attempt);
    let key = (id.clone(), attempt);
    if status.is_some() {
        table.missing_since_ms.swap_remove(&key);
    }
    let end = match status.map(|task| task.state) {
        Some(TaskState::Running) if job.state == JobState::Cancelled => {
            let worker = job.worker.clone().unwrap_or_else(|| InstanceName::from(""));
            (node.platform.workers.stop)((worker, id.clone(), attempt)).await?;
            return Ok(());
        }
        Some(TaskState::Running) => return Ok(()),
        Some(TaskState::Finished) => {
            record_attempt(table, id, true);
            AttemptEnd::Finished(result_object(id, attempt))
        }
        Some(TaskState::Failed) => classify_failure(table, id),
        Some(TaskState::Stopped) => AttemptEnd::Lapsed,
        None => {
            let now_ms = node.now_ms();
            let since_ms = *table.missing_since_ms.entry(key).or_insert(now_ms);
            if now_ms < lease_end_ms(since_ms) {
                return Ok(());
            }
            AttemptEnd::Lapsed
        }
    };
    end_attempt(node, lease, table, id, end).await
}

/// Records the outcome of an attempt, from which workers at fault are found.
fn record_attempt(table: &mut JobTable, id: &JobId, finished: bool) {
    let worker = table.jobs.get(id).and_then(|(_, job)| job.worker.clone());
    if let Some(worker) = worker {
        table.attempt_history.record(&worker, id, finished);
    }
}

/// Records a failed attempt, and decides whether the job is at fault.
fn classify_failure(table: &mut JobTable, id: &JobId) -> AttemptEnd {
    record_attempt(table, id, false);
    let Some((_, job)) = table.jobs.get(id) else { return AttemptEnd::Failed };
    let mut failed_on = job.failed_on.clone();
    failed_on.extend(job.worker.clone());
    if table.attempt_history.is_job_at_fault(&failed_on) {
        return AttemptEnd::JobAtFault;
    }
    AttemptEnd::Failed
}

fn result_object(job: &JobId, attempt: u32) -> Name {
    Name::from(format!("result/{job}/{attempt}"))
}

/// Ends the current attempt: writes the job and releases its unit in one transaction.
async fn end_attempt(
    node: &Arc<Node>,
    lease: &PlannerLease,
    table: &mut JobTable,
    id: &JobId,
    end: AttemptEnd,
) -> Result<()> {
    let Some((stored, job)) = table.jobs.get(id) else {
        return Ok(());
    };
    let mut job = job.clone();
    if job.state == JobState::Cancelled {
        job.worker = None;
    } else if !job.end_attempt(job.attempt, end) {
        return Ok(());
    }
    let key = limit_key(&job.team);
    let grant_row = node.platform.tables.get(&key).await?;
    let mut transaction = lease.transaction(node)?;
    if let Some(row) = &grant_row {
        let mut grants: GrantRow = row.decode()?;
        grants.end_attempt(id);
        transaction = transaction.replace(&key, Some(row), &grants)?;
    }
    let stored = stored.clone();
    write_job(node, table, transaction, id, &stored, job).await
}

/// Writes a job's row; a final one moves from the active to the final jobs.
async fn write_job(
    node: &Arc<Node>,
    table: &mut JobTable,
    transaction: Transaction,
    id: &JobId,
    stored: &Row,
    job: JobRow,
) -> Result<()> {
    let key = active_job_key(node.data_centre(), id);
    let is_final = job.state.is_final();
    let transaction = if is_final {
        let checked = transaction.replace(&key, Some(stored), &job)?;
        checked.delete(&key).put(final_job_key(id), &job)?
    } else {
        transaction.replace(&key, Some(stored), &job)?
    };
    let commit = (node.platform.tables.transact)(transaction).await;
    let Ok(Commit::Done(_)) = commit else {
        // Forces the next step to reload all jobs before it decides anything.
        table.head_version = None;
        return commit.map(|_| ());
    };
    record_event(node, id, &job);
    if is_final {
        table.jobs.shift_remove(id);
        return Ok(());
    }
    if let Some(row) = node.platform.tables.get(&key).await? {
        let value = row.decode()?;
        table.jobs.insert(id.clone(), (row, value));
    }
    Ok(())
}

fn record_event(node: &Arc<Node>, id: &JobId, job: &JobRow) {
    let kind = match job.state {
        JobState::Queued => EventKind::JobAccepted,
        JobState::Placed => EventKind::JobPlaced,
        JobState::Finished => EventKind::JobFinished,
        JobState::Parked => EventKind::JobParked,
        JobState::Cancelled => EventKind::JobCancelled,
    };
    let attempt = job.attempt.to_string();
    let worker = job.worker.as_ref().map_or("", InstanceName::as_str);
    let labels = [
        ("job", id.as_str()),
        ("team", job.team.as_str()),
        ("attempt", &attempt),
        ("instance", worker),
    ];
    node.record(kind, &labels);
}

/// Places queued jobs, oldest first, and finalizes cancelled ones that have no worker.
async fn place_queued(node: &Arc<Node>, lease: &PlannerLease, table: &mut JobTable) -> Result<()> {
    let mut queued: Vec<(u64, JobId)> = Vec::new();
    let mut cancelled: Vec<JobId> = Vec::new();
    for (id, (_, job)) in &table.jobs {
        match job.state {
            JobState::Queued => queued.push((job.accepted_wall_ms, id.clone())),
            JobState::Cancelled if job.worker.is_none() => cancelled.push(id.clone()),
            _ => {}
        }
    }
    for id in cancelled {
        end_attempt(node, lease, table, &id, AttemptEnd::NotStarted).await?;
    }
    if queued.is_empty() {
        return Ok(());
    }
    queued.sort();
    let mut free_by_pool = free_workers(node, table);
    for (_, id) in queued {
        place_job(node, lease, table, &mut free_by_pool, &id).await?;
    }
    Ok(())
}

type FreeByPool = IndexMap<PoolName, IndexMap<InstanceName, FreeCapacity>>;

/// Returns the free resources of each worker that may get jobs, by pool.
fn free_workers(node: &Arc<Node>, table: &JobTable) -> FreeByPool {
    let now_ms = node.now_ms();
    let state = node.state();
    let mut free_by_pool = FreeByPool::new();
    for (name, (_, row)) in &state.instances {
        let quarantined = table.quarantined_until_ms.get(name).is_some_and(|until| now_ms < *until);
        if quarantined || table.attempt_history.is_worker_at_fault(name) {
            continue;
        }
        let live =
            state.listed_instances.get(name).is_some_and(|entry| entry.state == ListedState::Live);
        if row.facts.kind == InstanceKind::Worker && row.takes_work() && live {
            let pool = free_by_pool.entry(row.pool.clone()).or_default();
            pool.insert(name.clone(), FreeCapacity::of_idle_worker(&row.facts));
        }
    }
    for (_, job) in table.jobs.values() {
        let Some(worker) = &job.worker else { continue };
        if let Some(worker) = free_by_pool.values_mut().find_map(|pool| pool.get_mut(worker)) {
            worker.reserve(&job.needs);
        }
    }
    free_by_pool
}

async fn place_job(
    node: &Arc<Node>,
    lease: &PlannerLease,
    table: &mut JobTable,
    free_by_pool: &mut FreeByPool,
    id: &JobId,
) -> Result<()> {
    let Some((stored, job)) = table.jobs.get(id) else {
        return Ok(());
    };
    let (stored, mut job) = (stored.clone(), job.clone());
    let Some((pool, team_limit)) = pool_and_limit(node, &job) else {
        return Ok(());
    };
    let suspects = if job.is_suspect() { workers_of_suspects(table) } else { IndexSet::new() };
    let Some(workers) = free_by_pool.get_mut(&pool) else {
        return Ok(());
    };
    let Some(worker) = best_fit(workers, &job.needs, &job.failed_on, &suspects) else {
        return Ok(());
    };
    let key = limit_key(&job.team);
    let grant_row = node.platform.tables.get(&key).await?;
    let mut grants: GrantRow = grant_row.as_ref().map(Row::decode).transpose()?.unwrap_or_default();
    let attempt = job.place(worker.clone());
    if !grants.start_attempt(id, attempt, team_limit) {
        return Ok(());
    }
    let transaction = lease.transaction(node)?.replace(&key, grant_row.as_ref(), &grants)?;
    if let Some(worker) = workers.get_mut(&worker) {
        worker.reserve(&job.needs);
    }
    let start = start_task(id, &job, worker, attempt);
    write_job(node, table, transaction, id, &stored, job).await?;
    let placed = table.jobs.get(id).is_some_and(|(_, job)| job.attempt == attempt);
    if placed && table.head_version.is_some() {
        start_attempt(node, lease, table, id, start).await?;
    }
    Ok(())
}

/// Returns the workers of jobs that have lost a worker. They are kept apart, so that the next
/// loss tells them from each other.
fn workers_of_suspects(table: &JobTable) -> IndexSet<InstanceName> {
    let suspects = table.jobs.values().filter(|(_, job)| job.is_suspect());
    suspects.filter_map(|(_, job)| job.worker.clone()).collect()
}

fn pool_and_limit(node: &Arc<Node>, job: &JobRow) -> Option<(PoolName, u32)> {
    let state = node.state();
    let config = state.config.as_ref()?;
    let pool = config.queues.get(&job.queue)?.pool.clone()?;
    let limit = config.teams.get(&job.team)?.limit;
    Some((pool, limit))
}

fn start_task(id: &JobId, job: &JobRow, worker: InstanceName, attempt: u32) -> StartTask {
    StartTask {
        worker,
        job: id.clone(),
        attempt,
        needs: job.needs,
        payload: Arc::clone(&job.payload),
        result: result_object(id, attempt),
        lease_ms: TASK_LEASE_MS,
    }
}

/// Asks the worker to start the task. Its later reports settle an unknown outcome.
async fn start_attempt(
    node: &Arc<Node>,
    lease: &PlannerLease,
    table: &mut JobTable,
    id: &JobId,
    start: StartTask,
) -> Result<()> {
    let worker = start.worker.clone();
    let outcome = (node.platform.workers.start)(start).await;
    // The task may have started just now, with a full lease.
    table.renewed_ms.insert(worker, node.now_ms());
    match outcome {
        Ok(StartOutcome::Refused) => {
            end_attempt(node, lease, table, id, AttemptEnd::NotStarted).await
        }
        Ok(StartOutcome::Started) | Err(_) => Ok(()),
    }
}
