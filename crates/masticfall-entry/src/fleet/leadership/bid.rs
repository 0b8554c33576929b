//! Requests of fitter instances for a cell.

use masticfall_core::id::Incarnation;
use masticfall_platform::Result;
use masticfall_platform::fleet::{RowCommit, RowTransaction};

use super::{BEAT_MS, observe};
use crate::fleet::context::{Fleet, FleetPhase};
use crate::fleet::rows::{BID_KEY, BidRow, LEAD, OWNER_KEY, place, value};

/// Lead in fitness with which a process asks for the cell, in percent: enough
/// to be worth a hand-over, which takes about 0.1 s.
const BID_LEAD_PERCENT: u32 = 30;

/// Time for which an owner is known before it is asked to give the cell up, and
/// between two such requests, in milliseconds.
const BID_PAUSE_MS: u64 = 1_000;

/// Returns a fitter process that asks for the cell that this one owns.
pub(super) fn heir_asking(fleet: &Fleet) -> Option<Incarnation> {
    let ownership = fleet.shared().ownership?;
    let bid = fleet.watch.0.lock().bid.take()?;
    (bid.epoch == ownership.epoch).then_some(bid.process)
}

/// Tells whether this process would dispatch much better than the owner.
pub(super) fn wants_to_ask(fleet: &Fleet) -> bool {
    {
        let shared = fleet.shared();
        if shared.ownership.is_some() || shared.phase != FleetPhase::Ready {
            return false;
        }
    }
    let now_ms = fleet.now_ms();
    let seen = fleet.watch.0.lock();
    let Some((owner, _)) = seen.owner.as_ref().filter(|(owner, _)| owner.process.is_some()) else {
        return false;
    };
    let is_alive = !seen.is_store_lost && now_ms < seen.changed_ms + 2 * BEAT_MS;
    let is_settled = now_ms >= seen.owner_since_ms.max(seen.bid_ms) + BID_PAUSE_MS;
    let is_fitter = fitness_percent(fleet) >= owner.fitness_percent + BID_LEAD_PERCENT;
    is_alive && is_settled && is_fitter
}

pub(super) async fn ask_for_cell(fleet: &Fleet) -> Result<()> {
    let seen = {
        let mut seen = fleet.watch.0.lock();
        seen.bid_ms = fleet.now_ms();
        seen.owner.clone()
    };
    let Some((owner, version)) = seen else { return Ok(()) };
    let bid = BidRow { process: fleet.incarnation.clone(), epoch: owner.epoch };
    let ask = RowTransaction {
        checks: vec![(place(LEAD, OWNER_KEY), version)],
        writes: vec![(place(LEAD, BID_KEY), Some(value(&bid)?))],
    };
    if let RowCommit::Conflict(rows) = (fleet.platform.transact)(ask).await? {
        observe(fleet, &rows);
    } else {
        tracing::info!(name: "cell.asked_for", process = %fleet.incarnation, epoch = owner.epoch, owner_percent = owner.fitness_percent, "asks for the cell, being fitter");
    }
    Ok(())
}

pub(super) fn fitness_percent(fleet: &Fleet) -> u32 {
    (fleet.settings.fitness() * 100.0) as u32
}
