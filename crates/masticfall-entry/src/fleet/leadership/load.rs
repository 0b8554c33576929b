//! Start of an ownership: loading of the cell's rows, then the owner's systems.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticfall_core::fleet::board::{Board, BoardTimings};
use masticfall_core::fleet::progress::ProgressRow;
use masticfall_core::fleet::spec::JobRecord;
use masticfall_core::id::{JobId, WorkerId};
use masticfall_platform::Result;
use masticfall_platform::fleet::FleetRow;
use tokio::time::{Instant, sleep};

use super::{SILENCE_MS, UNCONFIRMED_MS, beat};
use crate::fleet::context::{Fleet, Ownership};
use crate::fleet::rows::{BEAT_KEY, BeatRow, LEAD, PROGRESS, cancelled_job, read};
use crate::fleet::{dispatch, ended, follow, machines};

/// Pause before a failed reading is tried again, in milliseconds.
const AGAIN_MS: u64 = 100;

/// Loads the cell's rows and starts the systems of its owner.
pub(super) async fn lead(fleet: &Arc<Fleet>, ownership: Ownership, fell_silent: bool) {
    let begun = Instant::now();
    let epoch = ownership.epoch;
    fleet.calls_done.store(0, Ordering::Release);
    fleet.shared().ownership = Some(ownership);
    let Some(last) = read_as_owner(fleet, epoch, || read_beat(fleet)).await else { return };
    // A large cell takes longer to load than others wait for a sign of life.
    tokio::spawn(beat(Arc::clone(fleet), ownership, last.clone()));
    let loaded = read_as_owner(fleet, epoch, || load(fleet, epoch, fell_silent)).await;
    let Some(Loaded { mut board, jobs_version, rows, filed }) = loaded else { return };
    // An owner in between may have reached the workers and said nothing.
    if let Some(beat) = last.filter(|beat| beat.epoch + 1 == epoch) {
        board.apply_announcement(&beat.silent_ms, fleet.now_ms());
    }
    let count = board.jobs.len();
    let remembered: Vec<WorkerId> = board.workers.keys().cloned().collect();
    {
        let mut shared = fleet.shared();
        if shared.ownership != Some(ownership) {
            return;
        }
        shared.board = Some(board);
    }
    let took_ms = begun.elapsed().as_millis() as u64;
    tracing::info!(name: "cell.taken", process = %fleet.incarnation, epoch, jobs = count, rows, took_ms, fell_silent, "now the dispatcher");
    fleet.metrics.takeovers.inc();
    for worker in remembered {
        tokio::spawn(dispatch::look_after(Arc::clone(fleet), epoch, worker));
    }
    tokio::spawn(dispatch::store_progress(Arc::clone(fleet), ownership));
    tokio::spawn(dispatch::carry_out(Arc::clone(fleet), epoch));
    tokio::spawn(follow::jobs(Arc::clone(fleet), epoch, jobs_version));
    tokio::spawn(follow::workers(Arc::clone(fleet), epoch));
    tokio::spawn(machines::run(Arc::clone(fleet), ownership));
    tokio::spawn(ended::run(Arc::clone(fleet), ownership, filed));
}

/// Reads until it succeeds; `None` when the cell is lost meanwhile.
async fn read_as_owner<T, F: Future<Output = Result<T>>>(
    fleet: &Fleet,
    epoch: u32,
    read: impl Fn() -> F,
) -> Option<T> {
    loop {
        match read().await {
            Ok(read) => return Some(read),
            Err(error) if fleet.is_owner(epoch) => {
                tracing::info!(name: "cell.not_loaded", process = %fleet.incarnation, %error, "trying again");
                sleep(Duration::from_millis(AGAIN_MS)).await;
            }
            Err(_) => return None,
        }
    }
}

/// Reads the last sign of life of the cell's owners.
async fn read_beat(fleet: &Fleet) -> Result<Option<BeatRow>> {
    let (rows, _) = follow::read_table(fleet, LEAD).await?;
    let last = rows.iter().find(|row| &*row.key == BEAT_KEY);
    last.and_then(|row| row.value.as_deref()).map(read::<BeatRow>).transpose()
}

/// What was read of a cell.
struct Loaded {
    board: Board,
    /// Version from which to follow the jobs.
    jobs_version: u64,
    rows: usize,
    /// Ended jobs of which only the progress is left to be removed.
    filed: Vec<JobId>,
}

async fn load(fleet: &Fleet, epoch: u32, fell_silent: bool) -> Result<Loaded> {
    let (progress, _) = follow::read_table(fleet, PROGRESS).await?;
    // Read after the progress: a job that ends in between is then gone.
    let (jobs, jobs_version) = follow::read_jobs(fleet).await?;
    let (board, filed) = load_board(fleet, epoch, fell_silent, &jobs, &progress);
    let rows = jobs.len() + progress.len();
    Ok(Loaded { board, jobs_version, rows, filed })
}

fn load_board(
    fleet: &Fleet,
    epoch: u32,
    fell_silent: bool,
    jobs: &[FleetRow],
    progress: &[FleetRow],
) -> (Board, Vec<JobId>) {
    let bounds = BoardTimings {
        lease_ms: fleet.settings.worker_lease_ms,
        stop_grace_ms: fleet.settings.stop_grace_ms,
        takeover_overlap_ms: if fell_silent { UNCONFIRMED_MS - SILENCE_MS } else { 0 },
    };
    let now = fleet.now();
    let mut board = Board::new(epoch, bounds, now.steady_ms);
    if let Some(config) = fleet.config() {
        board.set_config(config);
    }
    let mut rows = indexmap::IndexMap::new();
    for row in progress {
        match row.value.as_deref().map(read::<ProgressRow>) {
            Some(Ok(progress)) => drop(rows.insert(JobId::from(&*row.key), progress)),
            Some(Err(error)) => {
                tracing::warn!(name: "job.unreadable", key = &*row.key, %error, "progress left out");
            }
            None => {}
        }
    }
    for row in jobs.iter().filter(|row| cancelled_job(&row.key).is_none()) {
        let id = JobId::from(&*row.key);
        match row.value.as_deref().map(read::<JobRecord>) {
            Some(Ok(job)) => board.load(&id, job, rows.swap_remove(&id), now),
            Some(Err(error)) => {
                tracing::warn!(name: "job.unreadable", %id, %error, "job left out");
            }
            None => {}
        }
    }
    for id in jobs.iter().filter_map(|row| cancelled_job(&row.key)) {
        board.cancel(&id, now.steady_ms);
    }
    let filed = rows.into_iter().filter(|(_, row)| row.phase.is_final()).map(|(id, _)| id);
    (board, filed.collect())
}
