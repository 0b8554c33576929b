//! The claim of the cell by a process that takes it over.

use std::sync::Arc;

use masticfall_core::fleet::failover::FAILOVER_TIMEOUT_MS;
use masticfall_platform::fleet::{RowCommit, RowTransaction};
use masticfall_platform::{PlatformError, Result};

use super::{
    MAX_OVERLAP_MS, MAX_UNCONFIRMED_MS, bid, evidence, is_previous_incarnation, load, observe_rows,
    record_read_failure, should_take_over,
};
use crate::fleet::context::{Fleet, Ownership};
use crate::fleet::follow;
use crate::fleet::rows::{
    HEARTBEAT_KEY, LEAD_TABLE, OWNER_KEY, OwnerRow, cell_row_key, decode_row, encode_row,
};

/// Claims the cell and begins the ownership, unless another process was faster or the owner is
/// heard of again.
pub(super) async fn take_over(fleet: &Arc<Fleet>) -> Result<()> {
    // The feed may lag behind a heartbeat that is already stored.
    let (rows, _) =
        follow::read_table(fleet, LEAD_TABLE).await.inspect_err(|_| record_read_failure(fleet))?;
    observe_rows(fleet, &rows);
    if !should_take_over(fleet, 0) {
        return Ok(());
    }
    let (epoch, version, heartbeat_version, overlap_ms, predecessor) = {
        let tracked = fleet.ownership_tracker.0.lock();
        let silent_ms = fleet.now_ms().saturating_sub(tracked.owner_active_ms);
        let (epoch, version, overlap_ms) =
            tracked.owner.as_ref().map_or((1, 0, 0), |(owner, version)| {
                (owner.epoch + 1, *version, overlap_after(fleet, owner, silent_ms))
            });
        let predecessor = evidence::Predecessor::observe(&tracked, fleet.now_ms());
        (epoch, version, tracked.heartbeat_version, overlap_ms, predecessor)
    };
    let owner = OwnerRow {
        process: Some(fleet.incarnation.clone()),
        epoch,
        fitness_percent: bid::fitness_percent(fleet),
        heir: None,
        overlap_ms: Some(overlap_ms),
    };
    let claim = RowTransaction {
        // A heartbeat that was stored since the read would have confirmed the ownership of
        // the previous owner for longer than the board's `takeover_overlap_ms` allows for.
        checks: vec![
            (cell_row_key(LEAD_TABLE, OWNER_KEY), version),
            (cell_row_key(LEAD_TABLE, HEARTBEAT_KEY), heartbeat_version),
        ],
        writes: vec![(cell_row_key(LEAD_TABLE, OWNER_KEY), Some(encode_row(&owner)?))],
    };
    let sent_ms = fleet.now_ms();
    let version = match (fleet.platform.transact)(claim).await {
        Ok(RowCommit::Done(version)) => version,
        Ok(RowCommit::Conflict(rows)) => {
            observe_rows(fleet, &rows);
            return Ok(());
        }
        Err(error @ PlatformError::Unknown { .. }) => match read_back_claim(fleet, &owner).await? {
            Some(version) => version,
            None => return Err(error),
        },
        Err(error) => return Err(error),
    };
    fleet.ownership_tracker.0.lock().owner = Some((owner, version));
    fleet.shared().confirmed_ms = sent_ms;
    evidence::record_claim(fleet, epoch, sent_ms, &predecessor);
    let overlap_until_ms = fleet.now_ms() + overlap_ms;
    let ownership = Ownership { epoch, version, overlap_until_ms };
    load::start_ownership(fleet, ownership, overlap_ms).await;
    Ok(())
}

/// Returns the time for which earlier owners may still dispatch once the cell is claimed
/// from this one, in milliseconds. An owner that released the cell has stopped; one that
/// timed out may go on, and so may one that an owner in between replaced. The owner was last
/// heard of `silent_ms` ago.
fn overlap_after(fleet: &Fleet, owner: &OwnerRow, silent_ms: u64) -> u64 {
    let has_timed_out = owner.process.is_some() && !is_previous_incarnation(fleet, owner);
    if has_timed_out {
        MAX_UNCONFIRMED_MS - silent_ms.min(FAILOVER_TIMEOUT_MS)
    } else {
        owner.overlap_ms.unwrap_or(MAX_OVERLAP_MS)
    }
}

/// Returns the owner row's version if a claim of unknown outcome took effect.
async fn read_back_claim(fleet: &Fleet, claim: &OwnerRow) -> Result<Option<u64>> {
    let (rows, _) = follow::read_table(fleet, LEAD_TABLE).await?;
    let row = rows.iter().find(|row| &*row.key == OWNER_KEY);
    let Some((row, bytes)) = row.and_then(|row| Some((row, row.value.as_ref()?))) else {
        return Ok(None);
    };
    Ok((decode_row::<OwnerRow>(bytes)? == *claim).then_some(row.version))
}
