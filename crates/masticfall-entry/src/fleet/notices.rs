//! Log lines for the board's notices.

use masticfall_core::fleet::board::{LeaseFacts, Notice, RunRef};
use masticfall_core::fleet::crashes::{Crash, LossCause};
use masticfall_core::fleet::spec::TaskKey;
use masticfall_core::id::WorkerId;

use super::context::Fleet;

/// Maximum number of tasks, runs or workers named in one line.
pub(super) const MAX_LISTED: usize = 64;

/// Returns the names of tasks, separated by spaces.
fn list_tasks(tasks: &[TaskKey]) -> String {
    let names: Vec<String> = tasks.iter().take(MAX_LISTED).map(TaskKey::to_string).collect();
    names.join(" ")
}

/// Returns runs of one job as `OCCURRENCE.STEP.INDEX:ATTEMPT@WORKER`, separated by spaces.
fn list_runs_in_job(runs: &[RunRef]) -> String {
    let name = |run: &RunRef| format!("{}:{}@{}", run.task.in_job(), run.attempt, run.worker);
    runs.iter().map(name).collect::<Vec<String>>().join(" ")
}

/// Returns runs as `TASK:ATTEMPT@WORKER`, separated by spaces.
pub(super) fn list_runs(runs: &[RunRef]) -> String {
    let name = |run: &RunRef| format!("{}:{}@{}", run.task, run.attempt, run.worker);
    runs.iter().take(MAX_LISTED).map(name).collect::<Vec<String>>().join(" ")
}

/// Returns workers with the time until their leases have expired as `WORKER:MILLISECONDS`,
/// separated by spaces.
pub(super) fn list_workers<'a>(workers: impl Iterator<Item = (&'a WorkerId, &'a u64)>) -> String {
    let names: Vec<String> = workers.map(|(id, left_ms)| format!("{id}:{left_ms}")).collect();
    names.join(" ")
}

/// Logs that runs on a worker count as ended, or that it has none, since its leases expired.
fn log_expiry(
    fleet: &Fleet,
    epoch: u32,
    worker: &WorkerId,
    leases: &LeaseFacts,
    tasks: &[TaskKey],
    silence: Option<(u64, bool)>,
) {
    let LeaseFacts {
        bound,
        since_bound_ms,
        since_takeover_ms,
        since_answer_ms,
        since_lease_ms,
        announcement,
        since_announcement_ms,
    } = leases;
    let bound = bound.source;
    let announced_epoch = announcement.map(|applied| applied.epoch);
    let announced_left_ms = announcement.map(|applied| applied.left_ms);
    fleet.metrics.record_expired_runs(bound, tasks.len());
    if let Some((silent_ms, is_leaving)) = silence {
        let (cause, count, lost) = (LossCause::LeaseExpired, tasks.len(), list_tasks(tasks));
        tracing::warn!(name: "worker.lapsed", epoch, %worker, %cause, silent_ms, is_leaving, tasks = count, lost, %bound, since_bound_ms, since_takeover_ms, since_answer_ms, since_lease_ms, announced_epoch, announced_left_ms, since_announcement_ms, "leases of an unresponsive worker expired");
    } else {
        tracing::warn!(name: "worker.unsettled_lapsed", epoch, %worker, %bound, since_bound_ms, since_takeover_ms, since_answer_ms, since_lease_ms, announced_epoch, announced_left_ms, since_announcement_ms, "worker that may have unknown runs counts as having none; its leases expired");
    }
}

/// Logs a notice, and counts it where a metric does.
pub fn log(fleet: &Fleet, epoch: u32, notice: &Notice) {
    let process = &fleet.incarnation;
    match notice {
        Notice::JobLoaded { job, due_in_ms } => {
            tracing::info!(name: "job.taken", %process, epoch, %job, due_in_ms, "job loaded; dispatching it");
        }
        Notice::Placed { job, runs, is_late, config_version, near } => {
            fleet.metrics.near.record(near);
            let (waited_ms, is_far) = (near.longest_wait_ms, near.far > 0);
            for runs in runs.chunks(MAX_LISTED) {
                let (tasks, worker) = (runs.len(), runs.last().map(|run| run.worker.as_str()));
                let runs = list_runs_in_job(runs);
                tracing::info!(name: "job.placed", epoch, %job, tasks, worker, is_late, config_version, waited_ms, is_far, runs, "tasks placed");
            }
        }
        Notice::NotStarted { task, attempt, worker, outcome, is_requeued, was_in_doubt } => {
            tracing::info!(name: "task.not_started", epoch, %task, attempt, %worker, %outcome, is_requeued, was_in_doubt, "run not started");
        }
        Notice::RunEnded { task, attempt, worker, end, cause, age_ms } => {
            tracing::info!(name: "task.ended", epoch, %task, attempt, %worker, %end, is_concluded = cause.is_inferred(), %cause, age_ms, "run ended without completing its task");
        }
        Notice::RunsAdopted { worker, runs } => {
            let (count, runs) = (runs.len(), list_runs(runs));
            tracing::info!(name: "worker.runs_adopted", epoch, %worker, tasks = count, runs, "runs that a worker reports became those of their tasks");
        }
        Notice::Stopping { task, attempt, worker, reason } => {
            tracing::info!(name: "task.stopping", epoch, %task, attempt, %worker, %reason, "stopping a run");
        }
        Notice::JobEnded { job, phase, after_ms, late_by_ms } => {
            tracing::info!(name: "job.ended", epoch, %job, %phase, after_ms, late_by_ms, "job ended");
        }
        Notice::WorkerRestarted { worker, born_wall_ms } => {
            tracing::info!(name: "worker.reborn", epoch, %worker, born_wall_ms, "worker restarted");
        }
        Notice::WorkerReachability { worker, is_reached } => {
            tracing::info!(name: "worker.reach", epoch, %worker, is_reached, "reachability of a worker changed");
        }
        Notice::EndsOmitted { worker, listed, undecided } => {
            tracing::info!(name: "worker.ends_omitted", epoch, %worker, listed, undecided, "report omits run ends; runs that it doesn't show are decided by a later one");
        }
        Notice::WorkerLost { worker, cause, silent_ms, is_leaving, leases, tasks } => {
            fleet.metrics.record_lost_worker(*cause);
            if *cause == LossCause::LeaseExpired {
                let silence = Some((*silent_ms, *is_leaving));
                log_expiry(fleet, epoch, worker, leases, tasks, silence);
                return;
            }
            let (count, lost) = (tasks.len(), list_tasks(tasks));
            let LeaseFacts { bound, since_bound_ms, since_takeover_ms, since_answer_ms, .. } =
                leases;
            let since_bound_ms = (*cause == LossCause::Unlisted).then_some(since_bound_ms);
            if since_bound_ms.is_some() {
                fleet.metrics.record_expired_runs(bound.source, count);
            }
            tracing::warn!(name: "worker.lost", epoch, %worker, %cause, silent_ms, is_leaving, tasks = count, lost, since_takeover_ms, since_answer_ms, since_bound_ms, "runs were lost with their worker");
        }
        Notice::UnsettledExpired { worker, leases } => {
            log_expiry(fleet, epoch, worker, leases, &[], None);
        }
        Notice::Announced { workers } => {
            for workers in workers.chunks(MAX_LISTED) {
                let (count, left) = (workers.len(), workers.iter().map(|(id, ms)| (id, ms)));
                let workers = list_workers(left);
                tracing::info!(name: "cell.announces", epoch, count, workers, "announces unresponsive workers to the next owner");
            }
        }
        Notice::CrashCounted { task, crash, crashes, verdict } => {
            let Crash { worker, born_wall_ms, age_ms, alive_ms, has_started, company, is_shared } =
                crash;
            tracing::info!(name: "task.suspected", epoch, %task, %worker, born_wall_ms, age_ms, alive_ms, has_started, %company, is_shared, crashes, %verdict, "crash of a worker counts against a task");
        }
        Notice::CrashesDropped { task, reason, crashes } => {
            tracing::info!(name: "task.cleared", epoch, %task, %reason, crashes, "crashes no longer count against a task");
        }
        Notice::GivenUp { job, reason, crashes } => {
            fleet.metrics.record_given_up(*crashes);
            tracing::warn!(name: "job.given_up", epoch, %job, %reason, crashes, "job given up: its task crashes the workers that start it");
        }
        Notice::ProgressRejected { job, reason } => {
            fleet.metrics.rejected_jobs.inc();
            tracing::error!(name: "job.rejected", epoch, %job, %reason, "job failed: the store rejects its progress");
        }
        Notice::EarlyStartsBegun { task, waited_ms } => {
            tracing::info!(name: "early.begun", epoch, %task, waited_ms, "ordering first runs before their placements are stored");
        }
        Notice::EarlyStartsStored { runs, lasted_ms } => {
            tracing::info!(name: "early.stored", epoch, runs, lasted_ms, "all runs ordered early are stored");
        }
        Notice::TakeoverSettled { workers, expired, took_ms } => {
            fleet.metrics.takeover_barrier.observe(*took_ms as f64 / 1_000.0);
            tracing::info!(name: "cell.settled", epoch, workers, expired, took_ms, "runs that the previous owner may not have stored are known");
        }
        Notice::Quarantined { worker, length_ms } => {
            tracing::warn!(name: "worker.quarantined", epoch, %worker, length_ms, "worker fails different jobs; gets no work during the quarantine");
        }
    }
}
