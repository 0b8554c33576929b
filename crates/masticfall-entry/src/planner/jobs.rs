//! Jobs: placed on workers, followed through their leases, and finished once.

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

/// Time for which no job is placed on a worker whose lease lapsed, in milliseconds.
const SUSPECT_MS: u64 = 30_000;

/// Length of a task's lease, in milliseconds.
const TASK_LEASE_MS: u64 = 4_000;

/// Jobs as this planner knows them.
#[derive(Debug, Default)]
pub struct JobTable {
    head: Option<u64>,
    jobs: IndexMap<JobId, (Row, JobRow)>,
    /// When each worker last confirmed its leases, or was first seen by this planner.
    confirmed_ms: IndexMap<InstanceName, u64>,
    /// Until when no job is placed on a worker whose lease lapsed.
    suspect_until_ms: IndexMap<InstanceName, u64>,
    /// Last attempts on each worker.
    blame: AttemptHistory,
    /// When each attempt was first missing from its worker's report.
    missing_ms: IndexMap<(JobId, u32), u64>,
}

/// Takes every job of the data centre one step further.
pub async fn step(node: &Arc<Node>, lease: &PlannerLease, table: &mut JobTable) -> Result<()> {
    refresh(node, table).await?;
    follow(node, lease, table).await?;
    place(node, lease, table).await?;
    publish_busy(node, table);
    forgive_maintained(node, table);
    publish_at_fault(node, table);
    Ok(())
}

/// Makes known which workers get no jobs, and records new ones.
fn publish_at_fault(node: &Arc<Node>, table: &JobTable) {
    let at_fault: IndexSet<InstanceName> = table.blame.workers_at_fault().cloned().collect();
    let mut state = node.state();
    let new: Vec<InstanceName> = at_fault.difference(&state.workers_at_fault).cloned().collect();
    state.workers_at_fault = at_fault;
    drop(state);
    for worker in new {
        node.record(EventKind::WorkerAtFault, &[("instance", worker.as_str())]);
        tracing::warn!(name: "worker.at_fault", worker = %worker, "worker finished none of several jobs");
    }
}

/// Forgets what is held against workers that are out of their pool: they come back maintained.
fn forgive_maintained(node: &Arc<Node>, table: &mut JobTable) {
    let state = node.state();
    let out = state.instances.iter().filter(|(_, (_, row))| !row.takes_work());
    for (name, _) in out {
        table.blame.forget(name);
    }
}

async fn refresh(node: &Arc<Node>, table: &mut JobTable) -> Result<()> {
    let head = node.platform.tables.get(&jobs_head_key(node.data_centre())).await?;
    let version = head.map(|row| row.version);
    if version == table.head {
        return Ok(());
    }
    let prefix = active_jobs_prefix(node.data_centre());
    table.jobs.clear();
    for row in (node.platform.tables.scan)(prefix.clone()).await? {
        let job = JobId::from(row.key[prefix.len()..].to_string());
        let value = row.decode()?;
        table.jobs.insert(job, (row, value));
    }
    table.head = version;
    Ok(())
}

/// Makes known which workers run something, so that they are not called drained.
fn publish_busy(node: &Arc<Node>, table: &JobTable) {
    let busy: IndexSet<InstanceName> =
        table.jobs.values().filter_map(|(_, job)| job.worker.clone()).collect();
    node.state().busy_workers = busy;
}

/// Renews the leases of running tasks and ends the attempts that are over.
async fn follow(node: &Arc<Node>, lease: &PlannerLease, table: &mut JobTable) -> Result<()> {
    let mut by_worker: IndexMap<InstanceName, Vec<JobId>> = IndexMap::new();
    for (id, (_, job)) in &table.jobs {
        if let Some(worker) = &job.worker {
            by_worker.entry(worker.clone()).or_default().push(id.clone());
        }
    }
    table.confirmed_ms.retain(|worker, _| by_worker.contains_key(worker));
    for (worker, jobs) in by_worker {
        let sent_ms = node.now_ms();
        table.confirmed_ms.entry(worker.clone()).or_insert(sent_ms);
        let report = (node.platform.workers.renew)((worker.clone(), TASK_LEASE_MS)).await;
        let now_ms = node.now_ms();
        match report {
            Ok(report) => {
                table.confirmed_ms.insert(worker, now_ms);
                for job in jobs {
                    follow_one(node, lease, table, &job, &report).await?;
                }
            }
            Err(_) if now_ms >= lapse_ms(table.confirmed_ms[&worker]) => {
                table.suspect_until_ms.insert(worker, now_ms + SUSPECT_MS);
                for job in jobs {
                    end_attempt(node, lease, table, &job, AttemptEnd::Lapsed).await?;
                }
            }
            Err(_) => {}
        }
    }
    Ok(())
}

/// Returns when a lease that was confirmed at `at_ms` has run out on any clock.
fn lapse_ms(at_ms: u64) -> u64 {
    at_ms + observer_length_ms(TASK_LEASE_MS)
}

async fn follow_one(
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
        table.missing_ms.swap_remove(&key);
    }
    let end = match status.map(|task| task.state) {
        Some(TaskState::Running) if job.state == JobState::Cancelled => {
            let worker = job.worker.clone().unwrap_or_else(|| InstanceName::from(""));
            (node.platform.workers.stop)((worker, id.clone(), attempt)).await?;
            return Ok(());
        }
        Some(TaskState::Running) => return Ok(()),
        Some(TaskState::Finished) => {
            note_attempt(table, id, true);
            AttemptEnd::Finished(result_object(id, attempt))
        }
        Some(TaskState::Failed) => judge(table, id),
        Some(TaskState::Stopped) => AttemptEnd::Lapsed,
        None => {
            let now_ms = node.now_ms();
            let since_ms = *table.missing_ms.entry(key).or_insert(now_ms);
            if now_ms < lapse_ms(since_ms) {
                return Ok(());
            }
            AttemptEnd::Lapsed
        }
    };
    end_attempt(node, lease, table, id, end).await
}

/// Records an attempt that ended for the judgement of its worker.
fn note_attempt(table: &mut JobTable, id: &JobId, finished: bool) {
    let worker = table.jobs.get(id).and_then(|(_, job)| job.worker.clone());
    if let Some(worker) = worker {
        table.blame.record(&worker, id, finished);
    }
}

/// Records a failure, and decides whether the job is at fault.
fn judge(table: &mut JobTable, id: &JobId) -> AttemptEnd {
    note_attempt(table, id, false);
    let Some((_, job)) = table.jobs.get(id) else { return AttemptEnd::Failed };
    let mut failed_on = job.failed_on.clone();
    failed_on.extend(job.worker.clone());
    if table.blame.is_job_at_fault(&failed_on) {
        return AttemptEnd::JobAtFault;
    }
    AttemptEnd::Failed
}

fn result_object(job: &JobId, attempt: u32) -> Name {
    Name::from(format!("result/{job}/{attempt}"))
}

/// Ends the current attempt: writes the job, gives its unit back, in one transaction.
async fn end_attempt(
    node: &Arc<Node>,
    lease: &PlannerLease,
    table: &mut JobTable,
    id: &JobId,
    end: AttemptEnd,
) -> Result<()> {
    let Some((read, job)) = table.jobs.get(id) else {
        return Ok(());
    };
    let mut job = job.clone();
    if job.state == JobState::Cancelled {
        job.worker = None;
    } else if !job.end_attempt(job.attempt, end) {
        return Ok(());
    }
    let limit = limit_key(&job.team);
    let grants = node.platform.tables.get(&limit).await?;
    let mut transaction = lease.transaction(node)?;
    if let Some(row) = &grants {
        let mut value: GrantRow = row.decode()?;
        value.end_attempt(id);
        transaction = transaction.replace(&limit, Some(row), &value)?;
    }
    let read = read.clone();
    write_job(node, table, transaction, id, &read, job).await
}

/// Writes a job's row; a final one moves away from the active ones.
async fn write_job(
    node: &Arc<Node>,
    table: &mut JobTable,
    transaction: Transaction,
    id: &JobId,
    read: &Row,
    job: JobRow,
) -> Result<()> {
    let key = active_job_key(node.data_centre(), id);
    let is_final = job.state.is_final();
    let transaction = if is_final {
        let checked = transaction.replace(&key, Some(read), &job)?;
        checked.delete(&key).put(final_job_key(id), &job)?
    } else {
        transaction.replace(&key, Some(read), &job)?
    };
    let commit = (node.platform.tables.transact)(transaction).await;
    let Ok(Commit::Done(_)) = commit else {
        // The next step reads all jobs again before it decides anything.
        table.head = None;
        return commit.map(|_| ());
    };
    note(node, id, &job);
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

fn note(node: &Arc<Node>, id: &JobId, job: &JobRow) {
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

/// Places queued jobs, oldest first, and clears away cancelled ones that never ran.
async fn place(node: &Arc<Node>, lease: &PlannerLease, table: &mut JobTable) -> Result<()> {
    let mut waiting: Vec<(u64, JobId)> = Vec::new();
    let mut cancelled: Vec<JobId> = Vec::new();
    for (id, (_, job)) in &table.jobs {
        match job.state {
            JobState::Queued => waiting.push((job.accepted_wall_ms, id.clone())),
            JobState::Cancelled if job.worker.is_none() => cancelled.push(id.clone()),
            _ => {}
        }
    }
    for id in cancelled {
        end_attempt(node, lease, table, &id, AttemptEnd::NotStarted).await?;
    }
    if waiting.is_empty() {
        return Ok(());
    }
    waiting.sort();
    let mut free = free_workers(node, table);
    for (_, id) in waiting {
        place_one(node, lease, table, &mut free, &id).await?;
    }
    Ok(())
}

type FreeTable = IndexMap<PoolName, IndexMap<InstanceName, FreeCapacity>>;

/// Returns what is free on each worker that takes work, by pool.
fn free_workers(node: &Arc<Node>, table: &JobTable) -> FreeTable {
    let now_ms = node.now_ms();
    let state = node.state();
    let mut free = FreeTable::new();
    for (name, (_, row)) in &state.instances {
        let suspect = table.suspect_until_ms.get(name).is_some_and(|until| now_ms < *until);
        if suspect || table.blame.is_worker_at_fault(name) {
            continue;
        }
        let live =
            state.listed_instances.get(name).is_some_and(|entry| entry.state == ListedState::Live);
        if row.facts.kind == InstanceKind::Worker && row.takes_work() && live {
            let pool = free.entry(row.pool.clone()).or_default();
            pool.insert(name.clone(), FreeCapacity::of_idle_worker(&row.facts));
        }
    }
    for (_, job) in table.jobs.values() {
        let Some(worker) = &job.worker else { continue };
        if let Some(worker) = free.values_mut().find_map(|pool| pool.get_mut(worker)) {
            worker.reserve(&job.needs);
        }
    }
    free
}

async fn place_one(
    node: &Arc<Node>,
    lease: &PlannerLease,
    table: &mut JobTable,
    free: &mut FreeTable,
    id: &JobId,
) -> Result<()> {
    let Some((read, job)) = table.jobs.get(id) else {
        return Ok(());
    };
    let (read, mut job) = (read.clone(), job.clone());
    let Some((pool, team_limit)) = pool_and_limit(node, &job) else {
        return Ok(());
    };
    let Some(workers) = free.get_mut(&pool) else {
        return Ok(());
    };
    let Some(worker) = best_fit(workers, &job.needs, &job.failed_on) else {
        return Ok(());
    };
    let limit = limit_key(&job.team);
    let grants = node.platform.tables.get(&limit).await?;
    let mut value: GrantRow = grants.as_ref().map(Row::decode).transpose()?.unwrap_or_default();
    let attempt = job.place(worker.clone());
    if !value.start_attempt(id, attempt, team_limit) {
        return Ok(());
    }
    let transaction = lease.transaction(node)?.replace(&limit, grants.as_ref(), &value)?;
    if let Some(worker) = workers.get_mut(&worker) {
        worker.reserve(&job.needs);
    }
    let start = start_task(id, &job, worker, attempt);
    write_job(node, table, transaction, id, &read, job).await?;
    let placed = table.jobs.get(id).is_some_and(|(_, job)| job.attempt == attempt);
    if placed && table.head.is_some() {
        start_attempt(node, lease, table, id, start).await?;
    }
    Ok(())
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

/// Asks the worker to start. An unknown outcome is settled by the worker's reports.
async fn start_attempt(
    node: &Arc<Node>,
    lease: &PlannerLease,
    table: &mut JobTable,
    id: &JobId,
    start: StartTask,
) -> Result<()> {
    let worker = start.worker.clone();
    let outcome = (node.platform.workers.start)(start).await;
    // The task may have started as late as now, under a whole lease.
    table.confirmed_ms.insert(worker, node.now_ms());
    match outcome {
        Ok(StartOutcome::Refused) => {
            end_attempt(node, lease, table, id, AttemptEnd::NotStarted).await
        }
        Ok(StartOutcome::Started) | Err(_) => Ok(()),
    }
}
