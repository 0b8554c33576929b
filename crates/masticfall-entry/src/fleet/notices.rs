//! Log lines of what the board decided or came to believe.

use masticfall_core::fleet::board::Notice;

use super::context::Fleet;

/// Writes one line for a notice.
pub fn log(fleet: &Fleet, epoch: u32, notice: &Notice) {
    let process = &fleet.incarnation;
    match notice {
        Notice::JobLoaded { job, due_in_ms } => {
            tracing::info!(name: "job.taken", %process, epoch, %job, due_in_ms, "job is dispatched here");
        }
        Notice::Placed { job, tasks, worker, is_late, config_version } => {
            tracing::info!(name: "job.placed", epoch, %job, tasks, %worker, is_late, config_version, "tasks placed");
        }
        Notice::NotStarted { task, attempt, worker, outcome } => {
            tracing::info!(name: "task.not_started", epoch, %task, attempt, %worker, %outcome, "start had no effect or no answer");
        }
        Notice::RunEnded { task, attempt, worker, end, is_concluded } => {
            tracing::info!(name: "task.ended", epoch, %task, attempt, %worker, %end, is_concluded, "run ended, not done");
        }
        Notice::Stopping { task, attempt, worker, reason } => {
            tracing::info!(name: "task.stopping", epoch, %task, attempt, %worker, %reason, "run is stopped");
        }
        Notice::JobEnded { job, phase, after_ms, late_by_ms } => {
            tracing::info!(name: "job.ended", epoch, %job, %phase, after_ms, late_by_ms, "job ended");
        }
        Notice::WorkerRestarted { worker, born_wall_ms } => {
            tracing::info!(name: "worker.reborn", epoch, %worker, born_wall_ms, "worker began another life");
        }
        Notice::WorkerReachability { worker, is_reached } => {
            tracing::info!(name: "worker.reach", epoch, %worker, is_reached, "worker reachable or silent");
        }
        Notice::WorkerLeasesExpired { worker, tasks } => {
            tracing::warn!(name: "worker.lapsed", epoch, %worker, tasks, "leases on a silent worker are over");
        }
        Notice::Quarantined { worker, length_ms } => {
            tracing::warn!(name: "worker.quarantined", epoch, %worker, length_ms, "fails different jobs");
        }
    }
}
