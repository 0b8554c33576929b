//! Reclaims the units of unresponsive processes by the rules of [`masticfall_core::guard`].

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

/// Maximum request deadline assumed while no configuration is known, in milliseconds.
const DEFAULT_MAX_DEADLINE_MS: u64 = 600_000;

/// Reclaims what may be reclaimed from every unresponsive process.
///
/// # Errors
/// Returns the platform's error; the next call retries.
pub async fn reclaim_from_unresponsive(node: &Arc<Node>) -> Result<()> {
    for (incarnation, version, what) in reclaimable_members(node) {
        reclaim_units(node, &incarnation, version, what).await?;
    }
    Ok(())
}

fn reclaimable_members(node: &Node) -> Vec<(Incarnation, u64, Reclaim)> {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let max_deadline_ms =
        state.config.as_ref().map_or(DEFAULT_MAX_DEADLINE_MS, |config| config.max_deadline_ms);
    let decisions = state.members.iter_mut().map(|(incarnation, member)| {
        let lease = PeerLease {
            row: member.lease,
            members: member.row.members.clone(),
            last_ack_sent_ms: member.last_ack_sent_ms,
        };
        let what = lease.reclaimable(&node.incarnation, max_deadline_ms, now_ms);
        member.reclaiming |= what == Reclaim::All;
        (incarnation.clone(), member.lease.version, what)
    });
    decisions.filter(|(_, _, what)| *what != Reclaim::Nothing).collect()
}

/// Reclaims units in one transaction, which fails if the process renewed its lease meanwhile.
async fn reclaim_units(
    node: &Arc<Node>,
    incarnation: &Incarnation,
    version: u64,
    what: Reclaim,
) -> Result<()> {
    let member_row_key = member_key(&data_centre_of(incarnation.as_str()), incarnation);
    let mut transaction = Transaction::new().check(&member_row_key, Condition::Version(version));
    let apply = |row: &mut GrantRow| match what {
        Reclaim::All => row.reclaim_all(incarnation),
        _ => row.reclaim_elastic(incarnation),
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
        transaction = transaction.delete(&member_row_key);
    } else if !changed {
        return Ok(());
    }
    (node.platform.tables.transact)(transaction).await?;
    let labels = [("process", incarnation.as_str())];
    node.record(EventKind::GrantReclaimed, &labels);
    tracing::info!(name: "grants.reclaimed", process = %incarnation, ?what, "reclaimed units of an unresponsive process");
    Ok(())
}

/// Reclaims the units of holders in this data centre whose lease rows are gone.
///
/// A write of a process that left or was reclaimed can be applied after its row
/// was deleted. A process writes its row before its first claim, and the limits
/// are read before the rows here, so a holder without a row no longer exists.
///
/// # Errors
/// Returns the platform's error; the next call retries.
pub async fn reclaim_orphaned_units(node: &Arc<Node>) -> Result<()> {
    let here = node.data_centre();
    let limits = (node.platform.tables.scan)(LIMIT_PREFIX.to_string()).await?;
    let slots = node.platform.tables.get_as::<SlotsRow>(&slots_key(here)).await?;
    let members = (node.platform.tables.scan)(members_prefix(here)).await?;
    let prefix = members_prefix(here);
    let is_member =
        |id: &Incarnation| members.iter().any(|row| row.key[prefix.len()..] == *id.as_str());
    for row in limits {
        let mut grants: GrantRow = row.decode()?;
        let before = grants.holders.len();
        grants.holders.retain(|id, holding| holding.data_centre != *here || is_member(id));
        if grants.holders.len() < before {
            let transaction = Transaction::new().replace(&row.key, Some(&row), &grants)?;
            // After a conflict, the next call reads the row again.
            (node.platform.tables.transact)(transaction).await?;
            node.record(EventKind::GrantReclaimed, &[("limit", row.key.as_str())]);
        }
    }
    let Some((row, mut slots)) = slots else { return Ok(()) };
    let before = slots.clone();
    for grants in slots.targets.values_mut() {
        grants.holders.retain(|id, _| is_member(id));
    }
    if slots != before {
        let transaction = Transaction::new().replace(&row.key, Some(&row), &slots)?;
        (node.platform.tables.transact)(transaction).await?;
    }
    Ok(())
}

/// Reclaims all units of a process that an operator confirmed to be gone.
///
/// Returns `false` when the process has no lease row.
///
/// # Errors
/// Returns the platform's error.
pub async fn confirm_gone(node: &Arc<Node>, incarnation: &Incarnation) -> Result<bool> {
    let Some(row) = node
        .platform
        .tables
        .get(&member_key(&data_centre_of(incarnation.as_str()), incarnation))
        .await?
    else {
        return Ok(false);
    };
    node.state().leases.confirm_gone(incarnation);
    reclaim_units(node, incarnation, row.version, Reclaim::All).await?;
    Ok(true)
}
