//! Archives ended jobs and removes old ones.
//!
//! The end of a job is first stored in its progress row, in the progress partition,
//! which makes that write cheap and fenced. Then the job's own rows are replaced by
//! an archived one, in one transaction per partition, the progress row is removed,
//! and after the retention period the archived row. All of these writes are
//! idempotent, also across owners.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::fleet::board::Board;
use masticfall_core::fleet::progress::EndedRow;
use masticfall_core::id::{JobId, Name};
use masticfall_platform::Result;
use masticfall_platform::fleet::{RowKey, RowTransaction, read_all};
use tokio::time::sleep;

use super::context::Fleet;
use super::fence::ProgressFence;
use super::leadership;
use super::rows::{
    ENDED_TABLE, JOBS_TABLE, cancel_row_key, encode_row, job_partition, job_partitions,
    job_row_key, progress_row_key,
};

/// Pause between two rounds, in milliseconds: jobs that end in a partition in that time
/// are archived together.
const ROUND_PAUSE_MS: u64 = 500;

/// Maximum time for which archiving waits for a slow store, in milliseconds; the progress
/// rows that a new owner reads grow meanwhile.
const MAX_ARCHIVE_DELAY_MS: u64 = 10_000;

/// Time for which the progress row is kept once the job is archived, in
/// milliseconds: callers poll about once a second and find it with one read.
const PROGRESS_RETENTION_MS: u64 = 3_000;

/// Interval at which old rows are removed, in milliseconds: short compared with the
/// retention of ended jobs, long compared with the owner's other work.
const CLEANUP_INTERVAL_MS: u64 = 5_000;

/// Maximum number of rows in one transaction; the store allows 100 entries.
const MAX_TRANSACTION_ROWS: usize = 96;

/// Rows written to archive a job: the active row, the archived row and the
/// cancellation.
const ROWS_PER_JOB: usize = 3;

/// Archives ended jobs and removes old ones, until the cell is lost; `archived` are
/// jobs that an earlier owner archived without removing the progress row.
///
/// The board knows the jobs that ended under this owner. Those of earlier owners
/// are searched for once, when all of them are past the retention period.
pub async fn run(fleet: Arc<Fleet>, fence: ProgressFence, archived: Vec<JobId>) {
    let epoch = fence.epoch;
    let retention_ms = fleet.settings.keep_ended_ms;
    let begun_ms = fleet.now_ms();
    let mut pending: Vec<(JobId, EndedRow)> = Vec::new();
    let mut archived: VecDeque<(u64, JobId)> =
        archived.into_iter().map(|id| (begun_ms, id)).collect();
    let mut expired: Vec<JobId> = Vec::new();
    let mut has_scanned = false;
    let mut removed_ms = begun_ms;
    let mut archived_ms = begun_ms;
    loop {
        sleep(Duration::from_millis(ROUND_PAUSE_MS)).await;
        let now_ms = fleet.now_ms();
        let Some(new) = fleet.with_board(epoch, Board::take_newly_ended) else { return };
        pending.extend(new);
        // Callers see the end of a job in its progress row, so archiving can wait.
        if fleet.is_store_slow() && now_ms < archived_ms + MAX_ARCHIVE_DELAY_MS {
            continue;
        }
        archived_ms = now_ms;
        let stored = archive(&fleet, &mut pending).await;
        archived.extend(stored.into_iter().map(|id| (now_ms, id)));
        if now_ms < removed_ms + CLEANUP_INTERVAL_MS {
            continue;
        }
        removed_ms = now_ms;
        if let Err(error) = remove_progress(&fleet, fence, &mut archived).await {
            tracing::info!(name: "ended.progress_left", rows = archived.len(), %error, "failed to remove progress rows; retrying");
        }
        let expired_here =
            fleet.with_board(epoch, |board| board.take_expired(now_ms, retention_ms));
        expired.extend(expired_here.unwrap_or_default());
        if !has_scanned && now_ms >= begun_ms + retention_ms {
            match find_expired(&fleet, epoch).await {
                Ok(found) => {
                    has_scanned = true;
                    expired.extend(found);
                }
                Err(error) => tracing::info!(name: "ended.not_read", %error, "retrying the scan"),
            }
        }
        if let Err(error) = remove_ended(&fleet, &mut expired).await {
            tracing::info!(name: "ended.not_removed", rows = expired.len(), %error, "failed to remove expired jobs; retrying");
        }
    }
}

/// Replaces the rows of ended jobs; returns the jobs for which that was stored,
/// and leaves the others in `pending`.
async fn archive(fleet: &Fleet, pending: &mut Vec<(JobId, EndedRow)>) -> Vec<JobId> {
    let mut partitions: IndexMap<Name, Vec<(JobId, EndedRow)>> = IndexMap::new();
    for (id, row) in pending.drain(..) {
        partitions.entry(job_partition(&id)).or_default().push((id, row));
    }
    let chunks =
        partitions.values().flat_map(|jobs| jobs.chunks(MAX_TRANSACTION_ROWS / ROWS_PER_JOB));
    let chunks: Vec<&[(JobId, EndedRow)]> = chunks.collect();
    let transactions = chunks.iter().map(|jobs| async {
        let mut writes = Vec::new();
        for (id, row) in *jobs {
            writes.push((job_row_key(ENDED_TABLE, id), Some(encode_row(row)?)));
            writes.push((job_row_key(JOBS_TABLE, id), None));
            writes.push((cancel_row_key(id), None));
        }
        (fleet.platform.transact)(RowTransaction { checks: Vec::new(), writes }).await
    });
    let mut stored = Vec::new();
    for (jobs, outcome) in chunks.iter().zip(futures_util::future::join_all(transactions).await) {
        match outcome {
            Ok(_) => stored.extend(jobs.iter().map(|(id, _)| id.clone())),
            Err(error) => {
                tracing::debug!(name: "ended.not_filed", jobs = jobs.len(), %error, "failed to archive ended jobs; retrying");
                pending.extend_from_slice(jobs);
            }
        }
    }
    stored
}

async fn remove_progress(
    fleet: &Fleet,
    fence: ProgressFence,
    archived: &mut VecDeque<(u64, JobId)>,
) -> Result<()> {
    let now_ms = fleet.now_ms();
    loop {
        let old = archived.iter().take_while(|(at_ms, _)| at_ms + PROGRESS_RETENTION_MS <= now_ms);
        let ids: Vec<JobId> = old.take(MAX_TRANSACTION_ROWS).map(|(_, id)| id.clone()).collect();
        if ids.is_empty() {
            return Ok(());
        }
        let writes = ids.iter().map(|id| (progress_row_key(id), None)).collect();
        if !leadership::write_as_owner(fleet, fence, writes).await? {
            return Ok(());
        }
        archived.drain(..ids.len());
    }
}

/// Returns archived jobs that the board doesn't know: they ended under earlier owners.
async fn find_expired(fleet: &Fleet, epoch: u32) -> Result<Vec<JobId>> {
    let mut found = Vec::new();
    let page_rows = fleet.settings.page_rows();
    for partition in job_partitions() {
        let (rows, _) = read_all(&fleet.platform.range, ENDED_TABLE, &partition, page_rows).await?;
        let ids = rows.into_iter().map(|row| JobId::from(&*row.key));
        let is_kept =
            |id: &JobId| fleet.with_board(epoch, |board| board.keeps_ended(id)) != Some(false);
        found.extend(ids.filter(|id| !is_kept(id)));
    }
    Ok(found)
}

async fn remove_ended(fleet: &Fleet, expired: &mut Vec<JobId>) -> Result<()> {
    expired.sort_by_cached_key(job_partition);
    while let Some(partition) = expired.last().map(job_partition) {
        let here = expired.iter().rev().take_while(|id| job_partition(id) == partition);
        let from = expired.len() - here.count().min(MAX_TRANSACTION_ROWS);
        let writes: Vec<(RowKey, Option<Vec<u8>>)> =
            expired[from..].iter().map(|id| (job_row_key(ENDED_TABLE, id), None)).collect();
        (fleet.platform.transact)(RowTransaction { checks: Vec::new(), writes }).await?;
        expired.truncate(from);
    }
    Ok(())
}
