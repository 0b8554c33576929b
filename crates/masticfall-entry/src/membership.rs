//! Membership: each process keeps a lease row and observes those of the others.

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

/// Renewals for each reading of the rows of other data centres.
///
/// Processes there are heard by their heartbeats; their rows matter only for
/// addresses of new ones and for taking back elastic units.
const FAR_OBSERVE_EVERY: u64 = 10;

/// Shortest time between two reads for unknown processes, in milliseconds.
const MIN_OBSERVE_GAP_MS: u64 = 100;

/// The version of this process's row, and whether it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnRow {
    Absent,
    Version(u64),
    Unknown,
    Taken,
}

/// Renews the lease and observes the others until the process drains.
pub async fn run(node: Arc<Node>) {
    let mut own = OwnRow::Absent;
    let mut renewals = 0;
    loop {
        renewals += 1;
        let sent_ms = node.now_ms();
        let result = step(&node, &mut own, renewals).await;
        node.record_platform_result(sent_ms, &result);
        wait(&node).await;
        if own == OwnRow::Taken || node.state().phase == Phase::Left {
            return;
        }
    }
}

/// Waits for the next renewal; reads the rows at once when an unknown process is heard.
async fn wait(node: &Arc<Node>) {
    let renewal = Duration::from_millis(RENEWAL_MS);
    let due = tokio::time::Instant::now() + renewal;
    while tokio::time::timeout_at(due, node.members_wanted.notified()).await.is_ok() {
        let result = observe(node).await;
        node.record_platform_result(node.now_ms(), &result);
        tokio::time::sleep(Duration::from_millis(MIN_OBSERVE_GAP_MS)).await;
    }
}

async fn step(node: &Arc<Node>, own: &mut OwnRow, renewals: u64) -> Result<()> {
    if *own == OwnRow::Unknown {
        *own = read_back(node).await?;
    }
    if *own == OwnRow::Taken {
        return Ok(());
    }
    renew(node, own, renewals).await?;
    if renewals % FAR_OBSERVE_EVERY == 1 {
        observe(node).await?;
    } else {
        observe_near(node).await?;
    }
    reclaim::step(node).await
}

/// Reads the own row after a write whose outcome is not known.
async fn read_back(node: &Node) -> Result<OwnRow> {
    let row = node.platform.tables.get(&member_key(node.data_centre(), &node.incarnation)).await?;
    if row.is_none() && node.state().leases.was_renewed() {
        abandon(node);
        return Ok(OwnRow::Taken);
    }
    Ok(row.map_or(OwnRow::Absent, |row| OwnRow::Version(row.version)))
}

/// Ends this incarnation: another process took everything it held.
fn abandon(node: &Node) {
    tracing::warn!(name: "membership.row.taken", "own lease row was reclaimed");
    node.state().phase = Phase::Draining;
}

async fn renew(node: &Arc<Node>, own: &mut OwnRow, renewals: u64) -> Result<()> {
    let key = member_key(node.data_centre(), &node.incarnation);
    let condition = match own {
        OwnRow::Version(version) => Condition::Version(*version),
        _ => Condition::Absent,
    };
    let row = own_row(node, renewals);
    let transaction = Transaction::new().check(&key, condition).put(&key, &row)?;
    let sent_ms = node.now_ms();
    match (node.platform.tables.transact)(transaction).await {
        Ok(Commit::Done(version)) => {
            *own = OwnRow::Version(version);
            confirm(node, &row.members, sent_ms);
            Ok(())
        }
        Ok(Commit::Conflict(_)) => {
            *own = OwnRow::Taken;
            abandon(node);
            Ok(())
        }
        Err(error) => {
            if matches!(error, PlatformError::Unknown { .. }) {
                *own = OwnRow::Unknown;
            }
            node.state().leases.renewal_unknown(&row.members);
            Err(error)
        }
    }
}

fn own_row(node: &Node, renewals: u64) -> MemberRow {
    let state = node.state();
    let members: IndexSet<Incarnation> =
        state.live_members(node.data_centre()).map(|(who, _)| who.clone()).collect();
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

fn confirm(node: &Node, members: &IndexSet<Incarnation>, sent_ms: u64) {
    let now_ms = node.now_ms();
    let mut state = node.state();
    if !state.leases.renewed(members, sent_ms, now_ms) {
        // Elastic units may have been reclaimed in between; the next claim reads the rows.
        for account in state.limit_grants.values_mut() {
            account.units.elastic = 0;
        }
        for account in state.slot_grants.values_mut() {
            account.units.elastic = 0;
        }
    }
}

/// Reads the rows of all processes.
///
/// # Errors
/// The platform's failure; what was known stays.
pub async fn observe(node: &Arc<Node>) -> Result<()> {
    let seen = read_members(node, MEMBER_PREFIX.to_string()).await?;
    node.state().members.retain(|who, _| seen.contains(who));
    node.links.connect_missing(node);
    Ok(())
}

/// Reads the rows of the processes of this data centre.
async fn observe_near(node: &Arc<Node>) -> Result<()> {
    let here = node.data_centre();
    let seen = read_members(node, members_prefix(here)).await?;
    let mut state = node.state();
    state.members.retain(|who, member| member.row.data_centre != *here || seen.contains(who));
    drop(state);
    node.links.connect_missing(node);
    Ok(())
}

/// Reads the rows under a prefix; returns whose they are, without this process.
async fn read_members(node: &Arc<Node>, prefix: String) -> Result<IndexSet<Incarnation>> {
    let rows = (node.platform.tables.scan)(prefix).await?;
    let now_ms = node.now_ms();
    let mut seen = IndexSet::new();
    for row in rows {
        let who = Incarnation::from(row.key.rsplit('/').next().unwrap_or_default());
        if who == node.incarnation {
            continue;
        }
        let value: MemberRow = row.decode()?;
        seen.insert(who.clone());
        update_member(node, who, value, row.version, now_ms);
    }
    Ok(seen)
}

fn update_member(node: &Node, who: Incarnation, row: MemberRow, version: u64, now_ms: u64) {
    let mut state = node.state();
    let revision = row.revision;
    if let Some(member) = state.members.get_mut(&who) {
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
    state.members.insert(who, member);
}

/// Tells whether a member is live as far as its row and the channel say.
pub fn is_live(member: &Member, now_ms: u64) -> bool {
    let heard = member.last_heard_ms.is_some_and(|at| now_ms < at + LEASE_MS);
    heard || !member.lease.is_expired(LEASE_MS)
}

/// Deletes the own row at the end of a graceful shutdown.
///
/// # Errors
/// The platform's failure; the row then expires by itself.
pub async fn leave(node: &Node) -> Result<()> {
    let transaction = Transaction::new().delete(member_key(node.data_centre(), &node.incarnation));
    (node.platform.tables.transact)(transaction).await?;
    node.record(EventKind::Leaving, &[]);
    Ok(())
}
