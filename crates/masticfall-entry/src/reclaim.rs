//! Takes back the units of silent processes, under the rules of [`masticfall_core::guard`].

use std::sync::Arc;

use masticfall_core::escrow::GrantRow;
use masticfall_core::guard::{PeerLease, Reclaim};
use masticfall_core::id::{Incarnation, data_centre_of};
use masticfall_core::timeline::EventKind;
use masticfall_platform::{Condition, Result, Transaction};
use masticfall_wire::rows::{
    LIMIT_PREFIX, SLOTS_PREFIX, SlotsRow, member_key, members_prefix, slots_key,
};

use crate::context::Node;

/// Longest deadline assumed while no configuration is known, in milliseconds.
const FALLBACK_DEADLINE_MS: u64 = 600_000;

/// Decides for every silent process, and takes back what may be.
///
/// # Errors
/// The platform's failure; the next step tries again.
pub async fn step(node: &Arc<Node>) -> Result<()> {
    for (who, version, what) in due(node) {
        take_back(node, &who, version, what).await?;
    }
    Ok(())
}

fn due(node: &Node) -> Vec<(Incarnation, u64, Reclaim)> {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let max_deadline_ms =
        state.config.as_ref().map_or(FALLBACK_DEADLINE_MS, |config| config.max_deadline_ms);
    let judged = state.members.iter_mut().map(|(who, member)| {
        let guard = PeerLease {
            row: member.lease,
            members: member.row.members.clone(),
            last_ack_sent_ms: member.last_ack_sent_ms,
        };
        let what = guard.reclaimable(&node.incarnation, max_deadline_ms, now_ms);
        member.reclaiming |= what == Reclaim::All;
        (who.clone(), member.lease.version, what)
    });
    judged.filter(|(_, _, what)| *what != Reclaim::Nothing).collect()
}

/// Takes back units in one transaction that fails if the process renewed meanwhile.
async fn take_back(node: &Arc<Node>, who: &Incarnation, version: u64, what: Reclaim) -> Result<()> {
    let member = member_key(&data_centre_of(who.as_str()), who);
    let mut transaction = Transaction::new().check(&member, Condition::Version(version));
    let apply = |row: &mut GrantRow| match what {
        Reclaim::All => row.reclaim_all(who),
        _ => row.reclaim_elastic(who),
    };
    let mut changed = false;
    for row in (node.platform.tables.scan)(LIMIT_PREFIX.to_string()).await? {
        let mut grants: GrantRow = row.decode()?;
        let before = grants.clone();
        apply(&mut grants);
        if grants != before {
            changed = true;
            transaction = transaction.replace(&row.key, Some(&row), &grants)?;
        }
    }
    for row in (node.platform.tables.scan)(SLOTS_PREFIX.to_string()).await? {
        let mut slots: SlotsRow = row.decode()?;
        let before = slots.clone();
        slots.targets.values_mut().for_each(apply);
        if slots != before {
            changed = true;
            transaction = transaction.replace(&row.key, Some(&row), &slots)?;
        }
    }
    if what == Reclaim::All {
        transaction = transaction.delete(&member);
    } else if !changed {
        return Ok(());
    }
    (node.platform.tables.transact)(transaction).await?;
    let labels = [("process", who.as_str())];
    node.record(EventKind::GrantReclaimed, &labels);
    tracing::info!(name: "grants.reclaimed", process = %who, ?what, "units of a silent process taken back");
    Ok(())
}

/// Takes back the units of holders in this data centre whose lease rows are gone.
///
/// A write of a process that left or was reclaimed can land after its row was
/// deleted. A row is there before its process claims, and the limits are read
/// before the rows, so that a holder without a row is over.
///
/// # Errors
/// The platform's failure; the next sweep tries again.
pub async fn reclaim_orphaned_units(node: &Arc<Node>) -> Result<()> {
    let here = node.data_centre();
    let limits = (node.platform.tables.scan)(LIMIT_PREFIX.to_string()).await?;
    let slots = node.platform.tables.get_as::<SlotsRow>(&slots_key(here)).await?;
    let members = (node.platform.tables.scan)(members_prefix(here)).await?;
    let prefix = members_prefix(here);
    let is_member =
        |who: &Incarnation| members.iter().any(|row| row.key[prefix.len()..] == *who.as_str());
    for row in limits {
        let mut grants: GrantRow = row.decode()?;
        let before = grants.holders.len();
        grants.holders.retain(|who, holding| holding.data_centre != *here || is_member(who));
        if grants.holders.len() < before {
            let transaction = Transaction::new().replace(&row.key, Some(&row), &grants)?;
            // After a conflict the next sweep reads the row again.
            (node.platform.tables.transact)(transaction).await?;
            node.record(EventKind::GrantReclaimed, &[("limit", row.key.as_str())]);
        }
    }
    let Some((row, mut slots)) = slots else { return Ok(()) };
    let before = slots.clone();
    for grants in slots.targets.values_mut() {
        grants.holders.retain(|who, _| is_member(who));
    }
    if slots != before {
        let transaction = Transaction::new().replace(&row.key, Some(&row), &slots)?;
        (node.platform.tables.transact)(transaction).await?;
    }
    Ok(())
}

/// Takes back everything of a process that an operator confirmed to be gone.
///
/// # Errors
/// The platform's failure.
pub async fn confirm_gone(node: &Arc<Node>, who: &Incarnation) -> Result<bool> {
    let Some(row) =
        node.platform.tables.get(&member_key(&data_centre_of(who.as_str()), who)).await?
    else {
        return Ok(false);
    };
    node.state().leases.confirm_gone(who);
    take_back(node, who, row.version, Reclaim::All).await?;
    Ok(true)
}
