//! What is left to store of ended jobs.
//!
//! The end itself is one row beside the owner's others, so that it is fenced and
//! cheap. After that the job's own rows are replaced, each part in its own
//! transaction; then the row of the end goes, and long after it the rest. Each
//! of these writes may be repeated, also by a later owner.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::fleet::board::Board;
use masticfall_core::fleet::progress::EndedRow;
use masticfall_core::id::JobId;
use masticfall_platform::Result;
use masticfall_platform::fleet::{RowKey, RowTransaction, read_all};
use tokio::time::sleep;

use super::context::{Fleet, Ownership};
use super::leadership;
use super::rows::{
    ENDED, JOB_PARTS, JOBS, PROGRESS, cancel_place, job_part, job_place, place, value,
};

/// Period of the rounds, in milliseconds: some ten jobs end in each part
/// meanwhile on the largest deployments, which are filed together.
const ROUND_MS: u64 = 250;

/// Time for which the row of the end is kept once the job is filed, in
/// milliseconds: callers ask about once a second, and find it with one read.
const PROGRESS_KEEP_MS: u64 = 3_000;

/// Period at which old rows are removed, in milliseconds: short beside the time
/// for which an ended job is kept, long beside the owner's other work.
const REMOVE_MS: u64 = 5_000;

/// Most rows written in one transaction; the store allows 100 entries.
const MAX_ROWS: usize = 96;

/// Rows written when a job is filed: before, after, and its cancellation.
const FILING_ROWS: usize = 3;

/// Files ended jobs and removes old ones, until the cell is lost; `filed` are
/// jobs of which an earlier owner left only the row of the end.
///
/// The board knows the jobs that ended under this owner. Those of earlier ones
/// are looked for once, when all of them are old enough.
pub async fn run(fleet: Arc<Fleet>, ownership: Ownership, filed: Vec<JobId>) {
    let epoch = ownership.epoch;
    let keep_ms = fleet.settings.keep_ended_ms;
    let begun_ms = fleet.now_ms();
    let mut unfiled: Vec<(JobId, EndedRow)> = Vec::new();
    let mut filed: VecDeque<(u64, JobId)> = filed.into_iter().map(|id| (begun_ms, id)).collect();
    let mut expired: Vec<JobId> = Vec::new();
    let mut has_swept = false;
    let mut removed_ms = begun_ms;
    loop {
        sleep(Duration::from_millis(ROUND_MS)).await;
        let now_ms = fleet.now_ms();
        let Some(new) = fleet.on_board(epoch, Board::take_newly_ended) else { return };
        unfiled.extend(new);
        let done = file(&fleet, &mut unfiled).await;
        filed.extend(done.into_iter().map(|id| (now_ms, id)));
        if now_ms < removed_ms + REMOVE_MS {
            continue;
        }
        removed_ms = now_ms;
        if let Err(error) = remove_progress(&fleet, ownership, &mut filed).await {
            tracing::info!(name: "ended.progress_left", rows = filed.len(), %error, "trying again");
        }
        let mine = fleet.on_board(epoch, |board| board.take_expired(now_ms, keep_ms));
        expired.extend(mine.unwrap_or_default());
        if !has_swept && now_ms >= begun_ms + keep_ms {
            match find_unkept(&fleet, epoch).await {
                Ok(found) => {
                    has_swept = true;
                    expired.extend(found);
                }
                Err(error) => tracing::info!(name: "ended.not_read", %error, "trying again"),
            }
        }
        if let Err(error) = remove_ended(&fleet, &mut expired).await {
            tracing::info!(name: "ended.not_removed", rows = expired.len(), %error, "trying again");
        }
    }
}

/// Replaces the rows of ended jobs; returns the jobs for which that was stored,
/// and keeps the others.
async fn file(fleet: &Fleet, unfiled: &mut Vec<(JobId, EndedRow)>) -> Vec<JobId> {
    let mut parts: IndexMap<&str, Vec<(JobId, EndedRow)>> = IndexMap::new();
    for (id, row) in unfiled.drain(..) {
        parts.entry(job_part(&id)).or_default().push((id, row));
    }
    let chunks = parts.values().flat_map(|jobs| jobs.chunks(MAX_ROWS / FILING_ROWS));
    let chunks: Vec<&[(JobId, EndedRow)]> = chunks.collect();
    let filings = chunks.iter().map(|jobs| async {
        let mut writes = Vec::new();
        for (id, row) in *jobs {
            writes.push((job_place(ENDED, id), Some(value(row)?)));
            writes.push((job_place(JOBS, id), None));
            writes.push((cancel_place(id), None));
        }
        (fleet.platform.transact)(RowTransaction { checks: Vec::new(), writes }).await
    });
    let mut done = Vec::new();
    for (jobs, filing) in chunks.iter().zip(futures_util::future::join_all(filings).await) {
        match filing {
            Ok(_) => done.extend(jobs.iter().map(|(id, _)| id.clone())),
            Err(error) => {
                tracing::debug!(name: "ended.not_filed", jobs = jobs.len(), %error, "trying again");
                unfiled.extend_from_slice(jobs);
            }
        }
    }
    done
}

async fn remove_progress(
    fleet: &Fleet,
    ownership: Ownership,
    filed: &mut VecDeque<(u64, JobId)>,
) -> Result<()> {
    let now_ms = fleet.now_ms();
    loop {
        let old = filed.iter().take_while(|(at_ms, _)| at_ms + PROGRESS_KEEP_MS <= now_ms);
        let ids: Vec<JobId> = old.take(MAX_ROWS).map(|(_, id)| id.clone()).collect();
        if ids.is_empty() {
            return Ok(());
        }
        let writes = ids.iter().map(|id| (place(PROGRESS, id.as_str()), None)).collect();
        if !leadership::write(fleet, ownership, writes).await? {
            return Ok(());
        }
        filed.drain(..ids.len());
    }
}

/// Returns jobs that ended under earlier owners.
async fn find_unkept(fleet: &Fleet, epoch: u32) -> Result<Vec<JobId>> {
    let mut found = Vec::new();
    for part in JOB_PARTS {
        let (rows, _) = read_all(&fleet.platform.range, ENDED, part).await?;
        let ids = rows.into_iter().map(|row| JobId::from(&*row.key));
        let is_kept =
            |id: &JobId| fleet.on_board(epoch, |board| board.keeps_ended(id)) != Some(false);
        found.extend(ids.filter(|id| !is_kept(id)));
    }
    Ok(found)
}

async fn remove_ended(fleet: &Fleet, expired: &mut Vec<JobId>) -> Result<()> {
    expired.sort_by_key(job_part);
    while let Some(part) = expired.last().map(job_part) {
        let here = expired.iter().rev().take_while(|id| job_part(id) == part);
        let from = expired.len() - here.count().min(MAX_ROWS);
        let writes: Vec<(RowKey, Option<Vec<u8>>)> =
            expired[from..].iter().map(|id| (job_place(ENDED, id), None)).collect();
        (fleet.platform.transact)(RowTransaction { checks: Vec::new(), writes }).await?;
        expired.truncate(from);
    }
    Ok(())
}
