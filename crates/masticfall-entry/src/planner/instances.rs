//! Life cycle of instances: registration, draining, moves and reboots.

use std::sync::Arc;

use indexmap::IndexMap;
use masticfall_core::id::{Incarnation, InstanceName};
use masticfall_core::instance::{InstanceKind, InstanceRow, InstanceState};
use masticfall_core::lease::{LEASE_MS, observer_length_ms};
use masticfall_core::timeline::EventKind;
use masticfall_platform::{Commit, ListedInstance, Result, Row};
use masticfall_wire::rows::{instance_key, instances_prefix};

use super::lease::PlannerLease;
use super::pools::put_instance;
use crate::context::Node;
use crate::state::Member;

/// Time within which an instance has to return from a reboot, in milliseconds.
const REBOOT_TIMEOUT_MS: u64 = 10 * 60 * 1_000;

/// Time at which this planner first saw each instance rebooting.
#[derive(Debug, Default)]
pub struct RebootTable {
    since_ms: IndexMap<InstanceName, u64>,
}

impl RebootTable {
    /// Returns whether an instance exceeded [`REBOOT_TIMEOUT_MS`].
    pub fn is_overdue(&self, name: &InstanceName, now_ms: u64) -> bool {
        self.since_ms.get(name).is_some_and(|since| now_ms >= since + REBOOT_TIMEOUT_MS)
    }
}

/// Registers listed instances and advances those that take no work.
pub async fn step(node: &Arc<Node>, lease: &PlannerLease, reboots: &mut RebootTable) -> Result<()> {
    if node.state().config.is_none() {
        return Ok(());
    }
    register_listed(node, lease).await?;
    let in_transition: Vec<InstanceName> = {
        let state = node.state();
        let in_transition = state.instances.iter().filter(|(_, (_, row))| !row.takes_work());
        in_transition.map(|(name, _)| name.clone()).collect()
    };
    let now_ms = node.now_ms();
    reboots.since_ms.retain(|name, _| in_transition.contains(name));
    for name in in_transition {
        let state = advance(node, lease, &name).await?;
        if state == Some(InstanceState::Rebooting) {
            reboots.since_ms.entry(name).or_insert(now_ms);
        }
    }
    Ok(())
}

/// Writes the rows of listed instances that are new or whose facts changed.
async fn register_listed(node: &Arc<Node>, lease: &PlannerLease) -> Result<()> {
    let (new, changed): (Vec<ListedInstance>, Vec<ListedInstance>) = {
        let state = node.state();
        let listed = || state.listed_instances.values();
        let known = |entry: &&ListedInstance| state.instances.contains_key(&entry.name);
        let new = listed().filter(|entry| !known(entry)).cloned().collect();
        let differs = |entry: &&ListedInstance| {
            state.instances.get(&entry.name).is_some_and(|(_, row)| row.facts != entry.facts)
        };
        (new, listed().filter(differs).cloned().collect())
    };
    for entry in new {
        register_instance(node, lease, entry).await?;
    }
    for entry in changed {
        let Some((stored, mut row)) = read_instance(node, &entry.name).await? else {
            continue;
        };
        row.facts = entry.facts;
        write_instance(node, lease, &entry.name, &stored, &row).await?;
    }
    Ok(())
}

async fn register_instance(
    node: &Arc<Node>,
    lease: &PlannerLease,
    entry: ListedInstance,
) -> Result<()> {
    let pool = {
        let state = node.state();
        let Some(config) = &state.config else {
            return Ok(());
        };
        let first = config.pools.contains_key(&entry.first_pool).then_some(&entry.first_pool);
        let Some(pool) = first.or(config.spare_pool.as_ref()) else {
            return Ok(());
        };
        pool.clone()
    };
    let row = InstanceRow::joining(entry.facts, pool);
    let transaction = put_instance(lease.transaction(node)?, &entry.name, None, &row)?;
    // On a conflict the row exists already and a later step reads it.
    let _: Commit = (node.platform.tables.transact)(transaction).await?;
    Ok(())
}

async fn read_instance(node: &Node, name: &InstanceName) -> Result<Option<(Row, InstanceRow)>> {
    let key = instance_key(node.data_centre(), name);
    debug_assert!(key.starts_with(&instances_prefix(node.data_centre())));
    node.platform.tables.get_as(&key).await
}

/// Advances one instance by at most one state, and returns its state.
async fn advance(
    node: &Arc<Node>,
    lease: &PlannerLease,
    name: &InstanceName,
) -> Result<Option<InstanceState>> {
    let Some((stored, mut row)) = read_instance(node, name).await? else {
        return Ok(None);
    };
    let boot = node.state().listed_instances.get(name).map(|listed| listed.boot);
    let changed_state = match row.state {
        InstanceState::Leaving => is_drained(node, name, &stored, &row) && row.drained().is_ok(),
        InstanceState::Drained => boot.is_some_and(|boot| row.advance(boot).is_ok()),
        InstanceState::Rebooting => {
            if let Some(boot) = row.boot_before {
                (node.platform.instances.reboot)((name.clone(), boot)).await?;
            }
            boot.is_some_and(|boot| row.rebooted(boot).is_ok())
        }
        InstanceState::InPool => false,
    };
    if changed_state {
        write_instance(node, lease, name, &stored, &row).await?;
    }
    Ok(Some(row.state))
}

async fn write_instance(
    node: &Arc<Node>,
    lease: &PlannerLease,
    name: &InstanceName,
    stored: &Row,
    row: &InstanceRow,
) -> Result<()> {
    let transaction = put_instance(lease.transaction(node)?, name, Some(stored), row)?;
    let commit = (node.platform.tables.transact)(transaction).await?;
    if matches!(commit, Commit::Done(_)) {
        let text = format!("{} in {}", row.state, row.pool);
        let labels = [("instance", name.as_str()), ("state", &text)];
        node.record(EventKind::InstanceChanged, &labels);
    }
    Ok(())
}

/// Returns whether nothing runs on a leaving instance and nothing can start there.
fn is_drained(node: &Arc<Node>, name: &InstanceName, stored: &Row, row: &InstanceRow) -> bool {
    if row.facts.kind == InstanceKind::Worker {
        return !node.state().busy_workers.contains(name);
    }
    let now_ms = node.now_ms();
    let state = node.state();
    let own_idle = crate::peers::idle_instances(&state);
    let data_centre = node.data_centre();
    let members =
        || state.members.iter().filter(|(_, member)| member.row.data_centre == *data_centre);
    let max_deadline_ms = state.config.as_ref().map_or(0, |config| config.max_deadline_ms);
    let is_idle = |(_, member): (&Incarnation, &Member)| {
        member.drained_instances.get(name) == Some(&stored.version)
            || is_expired(member, max_deadline_ms, now_ms)
    };
    own_idle.get(name) == Some(&stored.version) && members().all(is_idle)
}

/// Returns whether an unresponsive process can no longer dispatch, and all that it
/// dispatched has ended.
fn is_expired(member: &Member, max_deadline_ms: u64, now_ms: u64) -> bool {
    let timeout_ms = observer_length_ms(LEASE_MS) + max_deadline_ms;
    let last_contact_ms =
        member.last_heard_ms.unwrap_or(0).max(member.last_ack_sent_ms.unwrap_or(0));
    member.lease.is_expired(timeout_ms) && now_ms >= last_contact_ms + timeout_ms
}
