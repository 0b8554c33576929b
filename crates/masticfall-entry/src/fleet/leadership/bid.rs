//! Bids: requests of fitter candidates to be handed the cell.

use masticfall_core::id::Incarnation;
use masticfall_platform::Result;
use masticfall_platform::fleet::{RowCommit, RowTransaction};

use super::{HEARTBEAT_INTERVAL_MS, observe_rows};
use crate::fleet::context::{Fleet, FleetPhase};
use crate::fleet::rows::{BID_KEY, BidRow, LEAD_TABLE, OWNER_KEY, cell_row_key, encode_row};

/// Advantage in fitness with which a process bids for the cell, in percentage
/// points: enough to be worth a handover, which takes about 0.1 s.
const MIN_ADVANTAGE_PERCENT: u32 = 30;

/// Time after a change of owner before a process bids, and between two bids, in
/// milliseconds.
const BID_INTERVAL_MS: u64 = 1_000;

/// Takes the latest bid; returns the bidder if the bid is for the current ownership.
pub(super) fn take_valid_bid(fleet: &Fleet) -> Option<Incarnation> {
    let ownership = fleet.shared().ownership?;
    let bid = fleet.ownership_tracker.0.lock().bid.take()?;
    (bid.epoch == ownership.epoch).then_some(bid.process)
}

/// Returns whether this process is much fitter than a live owner and may bid now.
pub(super) fn should_bid(fleet: &Fleet) -> bool {
    {
        let shared = fleet.shared();
        if shared.ownership.is_some() || shared.phase != FleetPhase::Ready {
            return false;
        }
    }
    let now_ms = fleet.now_ms();
    let tracked = fleet.ownership_tracker.0.lock();
    let Some((owner, _)) = tracked.owner.as_ref().filter(|(owner, _)| owner.process.is_some())
    else {
        return false;
    };
    let has_recent_heartbeat =
        !tracked.is_store_failing && now_ms < tracked.owner_active_ms + 2 * HEARTBEAT_INTERVAL_MS;
    let may_bid = now_ms >= tracked.owner_since_ms.max(tracked.last_bid_ms) + BID_INTERVAL_MS;
    let is_fitter = fitness_percent(fleet) >= owner.fitness_percent + MIN_ADVANTAGE_PERCENT;
    has_recent_heartbeat && may_bid && is_fitter
}

pub(super) async fn submit_bid(fleet: &Fleet) -> Result<()> {
    let owner = {
        let mut tracked = fleet.ownership_tracker.0.lock();
        tracked.last_bid_ms = fleet.now_ms();
        tracked.owner.clone()
    };
    let Some((owner, version)) = owner else { return Ok(()) };
    let bid = BidRow { process: fleet.incarnation.clone(), epoch: owner.epoch };
    let transaction = RowTransaction {
        checks: vec![(cell_row_key(LEAD_TABLE, OWNER_KEY), version)],
        writes: vec![(cell_row_key(LEAD_TABLE, BID_KEY), Some(encode_row(&bid)?))],
    };
    if let RowCommit::Conflict(rows) = (fleet.platform.transact)(transaction).await? {
        observe_rows(fleet, &rows);
    } else {
        tracing::info!(name: "cell.asked_for", process = %fleet.incarnation, epoch = owner.epoch, owner_percent = owner.fitness_percent, "fitter than the owner; bid for the cell");
    }
    Ok(())
}

pub(super) fn fitness_percent(fleet: &Fleet) -> u32 {
    (fleet.settings.fitness() * 100.0) as u32
}
