//! Membership: each process renews its lease row and observes the rows of the others.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use masticfall_core::id::Incarnation;
use masticfall_core::lease::{LEASE_MS, ObservedLease, RENEWAL_MS};
use masticfall_core::timeline::EventKind;
use masticfall_platform::{Commit, Condition, PlatformError, Result, Transaction};
use masticfall_wire::rows::{MEMBER_PREFIX, MemberRow, member_key, members_prefix};

use crate::context::Node;
use crate::reclaim;
use crate::state::{Member, Phase};

/// Renewals per read of the rows of all data centres.
///
/// Processes of other data centres send heartbeats; their rows are needed only
/// for the addresses of new processes and for reclaiming elastic units.
const RENEWALS_PER_FULL_OBSERVE: u64 = 10;

/// Minimum time between two reads for unknown processes, in milliseconds.
const MIN_OBSERVE_INTERVAL_MS: u64 = 100;

/// State of this process's own row, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnRow {
    Absent,
    Version(u64),
    Unknown,
    Reclaimed,
}

/// Renews the lease and observes the others until the process has left the fleet.
pub async fn run(node: Arc<Node>) {
    let mut own_row = OwnRow::Absent;
    let mut renewals = 0;
    loop {
        renewals += 1;
        let sent_ms = node.now_ms();
        let result = renew_and_observe(&node, &mut own_row, renewals).await;
        node.record_platform_result(sent_ms, &result);
        wait(&node).await;
        if own_row == OwnRow::Reclaimed || node.state().phase == Phase::Left {
            return;
        }
    }
}

/// Waits for the next renewal; reads the rows early when an unknown process sends a message.
async fn wait(node: &Arc<Node>) {
    let renewal = Duration::from_millis(RENEWAL_MS);
    let due = tokio::time::Instant::now() + renewal;
    while tokio::time::timeout_at(due, node.members_wanted.notified()).await.is_ok() {
        let result = observe(node).await;
        node.record_platform_result(node.now_ms(), &result);
        tokio::time::sleep(Duration::from_millis(MIN_OBSERVE_INTERVAL_MS)).await;
    }
}

async fn renew_and_observe(node: &Arc<Node>, own_row: &mut OwnRow, renewals: u64) -> Result<()> {
    if *own_row == OwnRow::Unknown {
        *own_row = read_back_own_row(node).await?;
    }
    if *own_row == OwnRow::Reclaimed {
        return Ok(());
    }
    renew(node, own_row, renewals).await?;
    if renewals % RENEWALS_PER_FULL_OBSERVE == 1 {
        observe(node).await?;
    } else {
        observe_data_centre(node).await?;
    }
    reclaim::reclaim_from_unresponsive(node).await
}

/// Reads the own row after a write with an unknown outcome.
async fn read_back_own_row(node: &Node) -> Result<OwnRow> {
    let row = node.platform.tables.get(&member_key(node.data_centre(), &node.incarnation)).await?;
    if row.is_none() && node.state().leases.was_renewed() {
        end_incarnation(node);
        return Ok(OwnRow::Reclaimed);
    }
    Ok(row.map_or(OwnRow::Absent, |row| OwnRow::Version(row.version)))
}

/// Drains this incarnation after another process reclaimed everything it held.
fn end_incarnation(node: &Node) {
    tracing::warn!(name: "membership.row.taken", "own lease row was reclaimed by another process; draining");
    node.state().phase = Phase::Draining;
}

async fn renew(node: &Arc<Node>, own_row: &mut OwnRow, renewals: u64) -> Result<()> {
    let key = member_key(node.data_centre(), &node.incarnation);
    let condition = match own_row {
        OwnRow::Version(version) => Condition::Version(*version),
        _ => Condition::Absent,
    };
    let row = member_row(node, renewals);
    let transaction = Transaction::new().check(&key, condition).put(&key, &row)?;
    let sent_ms = node.now_ms();
    match (node.platform.tables.transact)(transaction).await {
        Ok(Commit::Done(version)) => {
            *own_row = OwnRow::Version(version);
            confirm_renewal(node, &row.members, sent_ms);
            Ok(())
        }
        Ok(Commit::Conflict(_)) => {
            *own_row = OwnRow::Reclaimed;
            end_incarnation(node);
            Ok(())
        }
        Err(error) => {
            if matches!(error, PlatformError::Unknown { .. }) {
                *own_row = OwnRow::Unknown;
            }
            node.state().leases.renewal_unknown(&row.members);
            Err(error)
        }
    }
}

fn member_row(node: &Node, renewals: u64) -> MemberRow {
    let state = node.state();
    let members: IndexSet<Incarnation> = state
        .live_members(node.data_centre())
        .map(|(incarnation, _)| incarnation.clone())
        .collect();
    MemberRow {
        data_centre: node.data_centre().clone(),
        http: Arc::clone(&node.addresses.http),
        peer: Arc::clone(&node.addresses.peer),
        renewals,
        members,
        leaving: state.phase >= Phase::Leaving,
        revision: state.revision(),
    }
}

fn confirm_renewal(node: &Node, members: &IndexSet<Incarnation>, sent_ms: u64) {
    let now_ms = node.now_ms();
    let mut state = node.state();
    if !state.leases.renewed(members, sent_ms, now_ms) {
        // Elastic units may have been reclaimed meanwhile; the next claim reads the rows.
        for local_grant in state.limit_grants.values_mut() {
            local_grant.units.elastic = 0;
        }
        for local_grant in state.slot_grants.values_mut() {
            local_grant.units.elastic = 0;
        }
    }
}

/// Reads the rows of all processes.
///
/// # Errors
/// Returns the platform's error; the known members are kept.
pub async fn observe(node: &Arc<Node>) -> Result<()> {
    let present = read_members(node, MEMBER_PREFIX.to_string()).await?;
    node.state().members.retain(|id, _| present.contains(id));
    node.links.connect_missing(node);
    Ok(())
}

/// Reads the rows of the processes in this data centre.
async fn observe_data_centre(node: &Arc<Node>) -> Result<()> {
    let here = node.data_centre();
    let present = read_members(node, members_prefix(here)).await?;
    let mut state = node.state();
    state.members.retain(|id, member| member.row.data_centre != *here || present.contains(id));
    drop(state);
    node.links.connect_missing(node);
    Ok(())
}

/// Reads the rows under a prefix and returns their processes, without this one.
async fn read_members(node: &Arc<Node>, prefix: String) -> Result<IndexSet<Incarnation>> {
    let rows = (node.platform.tables.scan)(prefix).await?;
    let now_ms = node.now_ms();
    let mut present = IndexSet::new();
    for row in rows {
        let incarnation = Incarnation::from(row.key.rsplit('/').next().unwrap_or_default());
        if incarnation == node.incarnation {
            continue;
        }
        let value: MemberRow = row.decode()?;
        present.insert(incarnation.clone());
        update_member(node, incarnation, value, row.version, now_ms);
    }
    Ok(present)
}

fn update_member(node: &Node, incarnation: Incarnation, row: MemberRow, version: u64, now_ms: u64) {
    let mut state = node.state();
    let revision = row.revision;
    if let Some(member) = state.members.get_mut(&incarnation) {
        if member.lease.version != version {
            member.reclaiming = false;
        }
        member.lease.observe(version, now_ms);
        member.revision = member.revision.max(revision);
        member.row = row;
        return;
    }
    let member = Member {
        row,
        lease: ObservedLease::new(version, now_ms),
        last_heard_ms: None,
        last_ack_sent_ms: None,
        reclaiming: false,
        revision,
        withdrawn_digest: 0,
        drained_instances: IndexMap::new(),
        demand: IndexMap::new(),
        reaches_platform: false,
        list_digest: 0,
    };
    state.members.insert(incarnation, member);
}

/// Returns whether a member is live according to its row or its messages.
pub fn is_live(member: &Member, now_ms: u64) -> bool {
    let is_heard = member.last_heard_ms.is_some_and(|at| now_ms < at + LEASE_MS);
    is_heard || !member.lease.is_expired(LEASE_MS)
}

/// Deletes the own row at the end of a graceful shutdown.
///
/// # Errors
/// Returns the platform's error; the row then expires.
pub async fn leave(node: &Node) -> Result<()> {
    let transaction = Transaction::new().delete(member_key(node.data_centre(), &node.incarnation));
    (node.platform.tables.transact)(transaction).await?;
    node.record(EventKind::Leaving, &[]);
    Ok(())
}
