//! Log lines for the board's notices.

use masticfall_core::fleet::board::Notice;

use super::context::Fleet;

/// Logs a notice.
pub fn log(fleet: &Fleet, epoch: u32, notice: &Notice) {
    let process = &fleet.incarnation;
    match notice {
        Notice::JobLoaded { job, due_in_ms } => {
            tracing::info!(name: "job.taken", %process, epoch, %job, due_in_ms, "job loaded; dispatching it");
        }
        Notice::Placed { job, tasks, worker, is_late, config_version } => {
            tracing::info!(name: "job.placed", epoch, %job, tasks, %worker, is_late, config_version, "tasks placed");
        }
        Notice::NotStarted { task, attempt, worker, outcome } => {
            tracing::info!(name: "task.not_started", epoch, %task, attempt, %worker, %outcome, "run not started");
        }
        Notice::RunEnded { task, attempt, worker, end, is_inferred } => {
            tracing::info!(name: "task.ended", epoch, %task, attempt, %worker, %end, is_concluded = is_inferred, "run ended without completing its task");
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
        Notice::WorkerLeasesExpired { worker, tasks } => {
            tracing::warn!(name: "worker.lapsed", epoch, %worker, tasks, "leases of an unresponsive worker expired");
        }
        Notice::Quarantined { worker, length_ms } => {
            tracing::warn!(name: "worker.quarantined", epoch, %worker, length_ms, "worker fails different jobs; gets no work during the quarantine");
        }
    }
}
