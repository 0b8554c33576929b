//! Log lines for the board's notices.

use masticfall_core::fleet::board::Notice;
use masticfall_core::fleet::crashes::{Crash, LossCause};
use masticfall_core::fleet::spec::TaskKey;

use super::context::Fleet;

/// Maximum number of tasks named in one line.
const MAX_LISTED_TASKS: usize = 64;

/// Returns the names of tasks, separated by spaces.
fn list_tasks(tasks: &[TaskKey]) -> String {
    let names: Vec<String> = tasks.iter().take(MAX_LISTED_TASKS).map(TaskKey::to_string).collect();
    names.join(" ")
}

/// Logs a notice, and counts it where a metric does.
pub fn log(fleet: &Fleet, epoch: u32, notice: &Notice) {
    let process = &fleet.incarnation;
    match notice {
        Notice::JobLoaded { job, due_in_ms } => {
            tracing::info!(name: "job.taken", %process, epoch, %job, due_in_ms, "job loaded; dispatching it");
        }
        Notice::Placed { job, tasks, worker, is_late, config_version, near } => {
            fleet.metrics.near.record(near);
            let (waited_ms, is_far) = (near.longest_wait_ms, near.far > 0);
            tracing::info!(name: "job.placed", epoch, %job, tasks, %worker, is_late, config_version, waited_ms, is_far, "tasks placed");
        }
        Notice::NotStarted { task, attempt, worker, outcome } => {
            tracing::info!(name: "task.not_started", epoch, %task, attempt, %worker, %outcome, "run not started");
        }
        Notice::RunEnded { task, attempt, worker, end, is_inferred, age_ms } => {
            tracing::info!(name: "task.ended", epoch, %task, attempt, %worker, %end, is_concluded = is_inferred, age_ms, "run ended without completing its task");
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
        Notice::WorkerLost { worker, cause, silent_ms, is_leaving, tasks } => {
            fleet.metrics.record_lost_worker(*cause);
            let (count, lost) = (tasks.len(), list_tasks(tasks));
            if *cause == LossCause::LeaseExpired {
                tracing::warn!(name: "worker.lapsed", epoch, %worker, %cause, silent_ms, is_leaving, tasks = count, lost, "leases of an unresponsive worker expired");
            } else {
                tracing::warn!(name: "worker.lost", epoch, %worker, %cause, silent_ms, is_leaving, tasks = count, lost, "runs were lost with their worker");
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
