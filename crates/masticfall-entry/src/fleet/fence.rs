//! Fence of the progress rows.
//!
//! The rows of progress are in a partition of their own, in which writes can't be
//! conditional on the owner row: transactions don't span partitions. Instead they are
//! conditional on the version of a fence row in the same partition. A new owner replaces
//! the fence row after its claim and before it reads the progress, so that each batch of
//! an earlier owner is either stored before that read or rejected.
//!
//! The versions of rows are compared, not the epochs in them: a replacement that got no
//! reply and takes effect late is conditional on a version that has gone by then.

use masticfall_platform::Result;
use masticfall_platform::fleet::{FleetPlatform, RowCommit, RowTransaction};

use super::rows::{FENCE_KEY, decode_row, encode_row, progress_call_row_key, read_row};

/// The fence row as replaced by the owner of one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressFence {
    /// Epoch of the ownership.
    pub epoch: u32,
    /// Version of the fence row, on which all writes of progress are conditional.
    pub version: u64,
}

/// Replaces the fence row for the owner of an epoch, or finds that an earlier call has
/// replaced it. Returns `None` if the fence is that of a later owner: the cell is lost.
///
/// # Errors
/// The platform's failure. The row may then have been replaced or may be later; another
/// call finds out.
pub async fn replace_fence(platform: &FleetPlatform, epoch: u32) -> Result<Option<ProgressFence>> {
    let value = encode_row(&epoch)?;
    loop {
        let mut replaced_version = 0;
        if let Some(row) = read_row(platform, progress_call_row_key(FENCE_KEY)).await? {
            let fenced_epoch: u32 = decode_row(row.value.as_deref().unwrap_or_default())?;
            if fenced_epoch > epoch {
                return Ok(None);
            }
            if fenced_epoch == epoch {
                return Ok(Some(ProgressFence { epoch, version: row.version }));
            }
            replaced_version = row.version;
        }
        let transaction = RowTransaction {
            checks: vec![(progress_call_row_key(FENCE_KEY), replaced_version)],
            writes: vec![(progress_call_row_key(FENCE_KEY), Some(value.clone()))],
        };
        // After a conflict the row is read again. Each conflict is the write of another
        // owner or an own one that took effect late, so their number is bounded.
        if let RowCommit::Done(version) = (platform.transact)(transaction).await? {
            return Ok(Some(ProgressFence { epoch, version }));
        }
    }
}
