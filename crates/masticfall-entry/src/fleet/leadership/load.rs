//! Start of an ownership: loads the cell's rows, then starts the owner's tasks.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::try_join;
use masticfall_core::fleet::board::{Board, BoardTimings, EarlierLeases, FoundOpenSet};
use masticfall_core::fleet::progress::ProgressRow;
use masticfall_core::id::{JobId, WorkerId};
use masticfall_platform::Result;
use masticfall_platform::fleet::{FleetRow, read_all};
use tokio::time::{Instant, sleep};

use super::{MAX_OVERLAP_MS, evidence, open_rows, send_heartbeats};
use crate::fleet::cancellations::{self, StoreMoment};
use crate::fleet::context::{Fleet, Ownership};
use crate::fleet::fence::{ProgressFence, replace_fence};
use crate::fleet::rows::{
    CALLS_TABLE, HEARTBEAT_KEY, HeartbeatRow, LEAD_TABLE, PROGRESS_PARTITION, PROGRESS_TABLE,
    cancelled_job, decode_job, decode_row,
};
use crate::fleet::{dispatch, ended, follow, machines, relay};

/// Delay before a failed read is retried, in milliseconds.
const RETRY_MS: u64 = 100;

/// Loads the cell's rows and starts the owner's tasks. Earlier owners may still be
/// dispatching for `overlap_ms`.
pub(super) async fn start_ownership(fleet: &Arc<Fleet>, ownership: Ownership, overlap_ms: u64) {
    let begun = Instant::now();
    let epoch = ownership.epoch;
    fleet.shared().ownership = Some(ownership);
    let Some(last) = retry_read(fleet, epoch, || read_heartbeat(fleet)).await else { return };
    // Loading a large cell takes longer than the failover timeout.
    let heartbeats = send_heartbeats(Arc::clone(fleet), ownership, last.clone());
    supervise(fleet, epoch, "heartbeats", heartbeats);
    let expected_workers = last.as_ref().map_or(0, |heartbeat| heartbeat.workers as usize);
    supervise(fleet, epoch, "relays", relay::maintain(Arc::clone(fleet), epoch, expected_workers));
    let Some(fence) = raise_fence(fleet, epoch).await else { return };
    let (loaded, open_set) = tokio::join!(
        retry_read(fleet, epoch, || load(fleet, epoch, overlap_ms)),
        retry_read(fleet, epoch, || read_open_set(fleet)),
    );
    let Some(LoadedCell { mut board, jobs_version, rows, archived }) = loaded else { return };
    // If an epoch lies in between, its owner may have reached these workers
    // without writing a heartbeat.
    let is_applied =
        last.as_ref().is_some_and(|last| last.announces_own && last.epoch + 1 == epoch);
    evidence::log_found_announcement(epoch, last.as_ref(), is_applied);
    if let Some(heartbeat) = last.filter(|_| is_applied) {
        board.apply_announcement(heartbeat.epoch, &heartbeat.silent_ms, fleet.now_ms());
    }
    let Some(open_set) = open_set else { return };
    board.begin_settling(open_set, MAX_OVERLAP_MS, fleet.now_ms());
    board.set_early_start_after(fleet.settings.early_start_after_ms);
    let is_settling = board.is_settling();
    let count = board.jobs.len();
    let EarlierLeases { left_ms, .. } = board.earlier_leases(fleet.now_ms());
    let workers: Vec<WorkerId> = board.workers.keys().cloned().collect();
    {
        let mut shared = fleet.shared();
        if shared.ownership != Some(ownership) {
            return;
        }
        // Before the first placement; later changes reach the board from the feed.
        board.set_evacuated(shared.evacuations.data_centres().clone(), fleet.now_ms());
        shared.board = Some(board);
        shared.jobs_version = jobs_version;
    }
    let took_ms = begun.elapsed().as_millis() as u64;
    tracing::info!(name: "cell.taken", process = %fleet.incarnation, epoch, jobs = count, rows, took_ms, fell_silent = overlap_ms > 0, overlap_ms, earlier_leases_left_ms = left_ms, "took over the cell; now dispatching");
    fleet.metrics.takeovers.inc();
    for worker in workers {
        supervise(fleet, epoch, "poll", dispatch::poll_worker(Arc::clone(fleet), epoch, worker));
    }
    let progress = dispatch::store_progress(Arc::clone(fleet), fence);
    supervise(fleet, epoch, "progress", progress);
    supervise(fleet, epoch, "scheduler", dispatch::run_scheduler(Arc::clone(fleet), epoch));
    supervise(fleet, epoch, "jobs", follow::jobs(Arc::clone(fleet), epoch, jobs_version));
    if is_settling {
        let reads = follow::jobs_while_settling(Arc::clone(fleet), epoch, jobs_version);
        supervise(fleet, epoch, "settling", reads);
    }
    supervise(fleet, epoch, "workers", follow::workers(Arc::clone(fleet), epoch));
    supervise(fleet, epoch, "machines", machines::run(Arc::clone(fleet), ownership));
    supervise(fleet, epoch, "ended", ended::run(Arc::clone(fleet), fence, archived));
    let loaded_at = StoreMoment { version: jobs_version, at_ms: fleet.now_ms() };
    let (clock, cell) = (Arc::clone(fleet), Arc::clone(fleet));
    let cleanup = cancellations::clean_up(
        fleet.platform.clone(),
        fleet.settings.page_rows(),
        fleet.settings.keep_ended_ms,
        loaded_at,
        move || clock.now_ms(),
        move || cell.is_owner(epoch),
    );
    supervise(fleet, epoch, "cancellations", cleanup);
}

/// Runs a task of an owner. If it panics, the process steps down: its state is in doubt,
/// and an owner of which a part has stopped would keep the cell from all others.
pub(in crate::fleet) fn supervise(
    fleet: &Arc<Fleet>,
    epoch: u32,
    task: &'static str,
    work: impl Future<Output = ()> + Send + 'static,
) {
    let fleet = Arc::clone(fleet);
    tokio::spawn(async move {
        let has_panicked = AssertUnwindSafe(work).catch_unwind().await.is_err();
        if has_panicked && fleet.is_owner(epoch) {
            tracing::error!(name: "cell.task_failed", epoch, task, "a task of the owner failed");
            super::step_down(&fleet, epoch, "a task of the owner failed");
        }
    });
}

/// Retries a read until it succeeds; returns `None` when the cell is lost meanwhile.
async fn retry_read<T, F: Future<Output = Result<T>>>(
    fleet: &Fleet,
    epoch: u32,
    read: impl Fn() -> F,
) -> Option<T> {
    loop {
        match read().await {
            Ok(read) => return Some(read),
            Err(error) if fleet.is_owner(epoch) => {
                tracing::info!(name: "cell.not_loaded", process = %fleet.incarnation, %error, "failed to load the cell; retrying");
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
            Err(_) => return None,
        }
    }
}

/// Replaces the fence of the progress rows, before they are read: no earlier owner can
/// change them after that. Returns `None` when the cell is lost.
async fn raise_fence(fleet: &Fleet, epoch: u32) -> Option<ProgressFence> {
    let begun = Instant::now();
    let fence = retry_read(fleet, epoch, || replace_fence(&fleet.platform, epoch)).await?;
    if fence.is_some() {
        let took_ms = begun.elapsed().as_millis() as u64;
        tracing::info!(name: "cell.fenced", process = %fleet.incarnation, epoch, took_ms, "fenced the progress rows off from earlier owners");
    } else if fleet.is_owner(epoch) {
        super::step_down(fleet, epoch, "a later owner has fenced the progress rows");
    }
    fence
}

/// Reads the last heartbeat written by any owner of the cell.
async fn read_heartbeat(fleet: &Fleet) -> Result<Option<HeartbeatRow>> {
    let (rows, _) = follow::read_table(fleet, LEAD_TABLE).await?;
    let last = rows.iter().find(|row| &*row.key == HEARTBEAT_KEY);
    last.and_then(|row| row.value.as_deref()).map(decode_row::<HeartbeatRow>).transpose()
}

/// Reads the open set of the previous owner. It is read after the claim, so that no write of
/// an earlier owner can change it any more.
async fn read_open_set(fleet: &Fleet) -> Result<FoundOpenSet> {
    let (rows, _) = follow::read_table(fleet, CALLS_TABLE).await?;
    Ok(open_rows::decode(&rows))
}

/// A cell as loaded from the store.
struct LoadedCell {
    board: Board,
    /// Version from which to follow the jobs.
    jobs_version: u64,
    rows: usize,
    /// Archived jobs whose progress row is still to be removed.
    archived: Vec<JobId>,
}

async fn load(fleet: &Fleet, epoch: u32, overlap_ms: u64) -> Result<LoadedCell> {
    // Listed, since this process may have its configuration from a peer and not have read
    // the operators' table for long.
    let operators = (fleet.platform.operator_list)(());
    let (range, page_rows) = (&fleet.platform.range, fleet.settings.page_rows());
    let progress = read_all(range, PROGRESS_TABLE, PROGRESS_PARTITION, page_rows);
    let ((updates, version), (progress, _)) = try_join(operators, progress).await?;
    follow::apply_operator_updates(fleet, updates, version);
    // Read after the progress: a job that ends in between is then absent, not
    // loaded without its progress.
    let (jobs, jobs_version) = follow::read_jobs(fleet).await?;
    let (board, archived) = load_board(fleet, epoch, overlap_ms, &jobs, &progress);
    let rows = jobs.len() + progress.len();
    Ok(LoadedCell { board, jobs_version, rows, archived })
}

fn load_board(
    fleet: &Fleet,
    epoch: u32,
    overlap_ms: u64,
    jobs: &[FleetRow],
    progress: &[FleetRow],
) -> (Board, Vec<JobId>) {
    let timings = BoardTimings {
        lease_ms: fleet.settings.worker_lease_ms,
        max_lease_ms: fleet.settings.max_worker_lease_ms,
        stop_grace_ms: fleet.settings.stop_grace_ms,
        takeover_overlap_ms: overlap_ms,
    };
    let now = fleet.now();
    let mut board = Board::new(epoch, timings, now.steady_ms);
    board.set_remote_factor(fleet.settings.remote_factor);
    {
        let shared = fleet.shared();
        if let Some(config) = &shared.config {
            board.set_config(config.with_removed_queues(&shared.removed_queues));
        }
    }
    let mut rows = indexmap::IndexMap::new();
    for row in progress {
        match row.value.as_deref().map(decode_row::<ProgressRow>) {
            Some(Ok(progress)) => drop(rows.insert(JobId::from(&*row.key), progress)),
            Some(Err(error)) => {
                tracing::warn!(name: "job.unreadable", key = &*row.key, %error, "ignoring progress row");
            }
            None => {}
        }
    }
    for row in jobs.iter().filter(|row| cancelled_job(&row.key).is_none()) {
        let id = JobId::from(&*row.key);
        match row.value.as_deref().map(decode_job) {
            Some(Ok(job)) => board.load(&id, job, rows.swap_remove(&id), now),
            Some(Err(error)) => {
                tracing::warn!(name: "job.unreadable", %id, %error, "ignoring job row");
            }
            None => {}
        }
    }
    for id in jobs.iter().filter_map(|row| cancelled_job(&row.key)) {
        board.cancel(&id, now.steady_ms);
    }
    let archived = rows.into_iter().filter(|(_, row)| row.phase.is_final()).map(|(id, _)| id);
    (board, archived.collect())
}
