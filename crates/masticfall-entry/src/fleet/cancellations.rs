//! Cancellations of jobs that the store doesn't have.
//!
//! A submission whose outcome is unknown may still be on its way to the store when its caller
//! cancels it. The job's row is absent then, and a write that takes effect later would start a
//! job that nobody waits for. A cancellation that finds no job therefore leaves a marker, and
//! submissions are conditional on its absence.
//!
//! A marker holds for the callers of one client account, or of one queue that is open to all:
//! nobody else can bar an identifier. The cell's owner removes markers that no submission from
//! before the cancellation can outlive.

use std::time::Duration;

use masticfall_core::hash::fnv_1a;
use masticfall_core::id::{AccountName, JobId, Name, QueueName};
use masticfall_platform::Result;
use masticfall_platform::fleet::{
    FleetPlatform, FleetRow, RowCommit, RowKey, RowTransaction, read_all,
};
use tokio::time::sleep;

use super::rows::{
    CANCELLED_TABLE, ENDED_TABLE, JOBS_TABLE, encode_row, job_partitions, job_row_key,
};

/// Interval at which the owner checks whether markers are to be removed, in milliseconds.
const CLEANUP_INTERVAL_MS: u64 = 10_000;

/// Maximum number of markers removed in one transaction: each takes a check and a write of the
/// store's 100 entries.
const MAX_REMOVED_MARKERS: usize = 48;

/// Returns the maximum age of a marker while the cell keeps its owner, in milliseconds: it is
/// found by one round of the cleanup and removed by the next.
pub fn max_marker_age_ms(retention_ms: u64) -> u64 {
    2 * (retention_ms + CLEANUP_INTERVAL_MS)
}

/// Returns the keys of the markers that callers of an account, and of a queue that is open to
/// all, leave for a job.
pub fn marker_keys(
    id: &JobId,
    account: Option<&AccountName>,
    open_queue: Option<&QueueName>,
) -> Vec<RowKey> {
    let account = account.map(|account| format!("account {account}"));
    let queue = open_queue.map(|queue| format!("queue {queue}"));
    let scopes = account.into_iter().chain(queue);
    // Hashed, since the store limits the length of keys.
    let keys = scopes.map(|scope| format!("{id}.{:016x}", fnv_1a(scope.bytes())));
    let keys = keys.map(|key| RowKey { key: Name::from(key), ..job_row_key(CANCELLED_TABLE, id) });
    keys.collect()
}

/// Returns the transaction that stores a job unless it was stored, or marked as cancelled,
/// before.
pub fn insert_job(id: &JobId, markers: &[RowKey], row: Vec<u8>) -> RowTransaction {
    let markers = markers.iter().map(|marker| (marker.clone(), 0));
    RowTransaction {
        checks: no_job(id).into_iter().chain(markers).collect(),
        writes: vec![(job_row_key(JOBS_TABLE, id), Some(row))],
    }
}

/// Returns the transaction that leaves or renews the markers of a job unless the job was stored
/// before.
///
/// # Errors
/// A row that can't be encoded.
pub fn insert_markers(id: &JobId, markers: &[RowKey], wall_ms: u64) -> Result<RowTransaction> {
    let row = encode_row(&wall_ms)?;
    let writes = markers.iter().map(|marker| (marker.clone(), Some(row.clone())));
    Ok(RowTransaction { checks: no_job(id).into(), writes: writes.collect() })
}

fn no_job(id: &JobId) -> [(RowKey, u64); 2] {
    [(job_row_key(JOBS_TABLE, id), 0), (job_row_key(ENDED_TABLE, id), 0)]
}

/// Returns whether the rows that kept one of these transactions from being committed are those
/// of the job itself. Otherwise they are its markers.
pub fn has_job(id: &JobId, rows: &[FleetRow]) -> bool {
    rows.iter().any(|row| row.value.is_some() && *row.key == *id.as_str())
}

/// A version of the store, and a time at which the store had it already.
#[derive(Debug, Clone, Copy)]
pub struct StoreMoment {
    /// Version.
    pub version: u64,
    /// Time by the process's clock, in milliseconds.
    pub at_ms: u64,
}

/// Removes markers of at least an age of `retention_ms` until `is_owner` returns false.
///
/// The age of a marker isn't taken from its contents, since the clocks of the processes differ:
/// a marker is old if the store had its version at an earlier moment of this process.
pub async fn clean_up(
    platform: FleetPlatform,
    page_rows: u32,
    retention_ms: u64,
    mut earlier: StoreMoment,
    now_ms: impl Fn() -> u64 + Send,
    is_owner: impl Fn() -> bool + Send,
) {
    while is_owner() {
        sleep(Duration::from_millis(CLEANUP_INTERVAL_MS)).await;
        if now_ms() < earlier.at_ms + retention_ms || !is_owner() {
            continue;
        }
        match remove_markers(&platform, page_rows, earlier.version).await {
            Ok(version) => earlier = StoreMoment { version, at_ms: now_ms() },
            Err(error) => {
                tracing::info!(name: "cancelled.not_removed", %error, "failed to remove old cancellation markers; retrying");
            }
        }
    }
}

/// Removes the markers that were last written up to a version; returns the store's version
/// before that.
async fn remove_markers(
    platform: &FleetPlatform,
    page_rows: u32,
    until_version: u64,
) -> Result<u64> {
    let mut oldest = u64::MAX;
    for part in job_partitions() {
        let (rows, version) = read_all(&platform.range, CANCELLED_TABLE, &part, page_rows).await?;
        oldest = oldest.min(version);
        let old: Vec<FleetRow> =
            rows.into_iter().filter(|row| row.version <= until_version).collect();
        for rows in old.chunks(MAX_REMOVED_MARKERS) {
            let row_key = |row: &FleetRow| RowKey {
                table: CANCELLED_TABLE,
                part: Name::clone(&part),
                key: Name::clone(&row.key),
            };
            // A marker that was renewed meanwhile stays, even if this takes effect late.
            let removal = RowTransaction {
                checks: rows.iter().map(|row| (row_key(row), row.version)).collect(),
                writes: rows.iter().map(|row| (row_key(row), None)).collect(),
            };
            if let RowCommit::Conflict(_) = (platform.transact)(removal).await? {
                tracing::debug!(name: "cancelled.renewed", %part, markers = rows.len(), "cancellation markers were renewed; leaving them to the next round");
            }
        }
    }
    Ok(oldest)
}
