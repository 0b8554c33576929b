//! Claims units of team limits and of target slots as demand changes.
//!
//! A claim changes this process's holding in a row by compare-and-swap. Units
//! to release become unusable before the write; claimed units become usable
//! only after the write is confirmed.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::IndexMap;
use masticfall_core::escrow::{Claim, GrantRow, LocalGrant, Units};
use masticfall_core::id::{InstanceName, TeamName};
use masticfall_core::timeline::EventKind;
use masticfall_platform::{Commit, PlatformError, Result, Row, Transaction};
use masticfall_wire::peer::PeerMessage;
use masticfall_wire::rows::{SlotsRow, limit_key, slots_key};

use crate::context::Node;
use crate::slots;
use crate::state::{Phase, State};

/// Interval between claims, in milliseconds.
const CLAIM_INTERVAL_MS: u64 = 200;

/// Minimum time between two claims, in milliseconds.
const MIN_CLAIM_INTERVAL_MS: u64 = 20;

/// Minimum time between two `UnitsWanted` messages, in milliseconds.
const MIN_UNITS_REQUEST_INTERVAL_MS: u64 = 500;

/// Part of a team's limit that is split among the data centres, in percent.
const LIMIT_BASE_PERCENT: u32 = 50;

/// Part of a target's slots that is split among the processes of its data centre, in percent.
const SLOTS_BASE_PERCENT: u32 = 75;

/// Claims units until the process has left the fleet.
pub async fn run(node: Arc<Node>) {
    loop {
        let sent_ms = node.now_ms();
        let result = claim_units(&node).await;
        node.record_platform_result(sent_ms, &result);
        tokio::time::sleep(Duration::from_millis(MIN_CLAIM_INTERVAL_MS)).await;
        let wanted = node.units_wanted.notified();
        drop(tokio::time::timeout(Duration::from_millis(CLAIM_INTERVAL_MS), wanted).await);
        if node.state().phase == Phase::Left {
            return;
        }
    }
}

async fn claim_units(node: &Arc<Node>) -> Result<()> {
    let _claiming = node.claim_lock.lock().await;
    let may_claim = {
        let state = node.state();
        state.phase < Phase::Left && state.leases.elastic_usable(node.now_ms())
    };
    if !may_claim {
        return Ok(());
    }
    let claims = limit_claims(node);
    let claimed = join_all(claims.into_iter().map(|(team, claim)| claim_limit(node, team, claim)));
    let results = claimed.await;
    claim_slots(node).await?;
    request_units(node);
    publish_metrics(node);
    results.into_iter().collect()
}

fn processes_in_data_centre(node: &Node, state: &State) -> u32 {
    1 + state.live_members(node.data_centre()).count() as u32
}

/// Returns the claims on team limits that are worth a write.
fn limit_claims(node: &Node) -> Vec<(TeamName, Claim)> {
    let mut locked = node.state();
    let state = &mut *locked;
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let processes = processes_in_data_centre(node, state);
    let mut claims = Vec::new();
    for (team, settings) in &config.teams {
        let local_grant = state.limit_grants.entry(team.clone()).or_default();
        let claim = Claim {
            limit: settings.limit,
            data_centres: config.data_centres.len() as u32,
            peers_in_data_centre: processes,
            base_percent: LIMIT_BASE_PERCENT,
            wanted: local_grant.wanted(settings.limit),
        };
        if local_grant.should_claim(&claim) {
            claims.push((team.clone(), claim));
        }
    }
    claims
}

/// This process's units in a row before and after a claim.
#[derive(Debug, Clone, Copy)]
struct Change {
    before: Units,
    after: Units,
    is_short: bool,
}

/// Applies a claim to a row that was just read and to the current local grant.
///
/// Requests admitted while the row was being read count as in use. Units that
/// the claim releases become unusable here, before the write.
fn begin_claim(
    node: &Node,
    local_grant: &mut LocalGrant,
    grants: &mut GrantRow,
    claim: &Claim,
) -> Change {
    let claim = Claim { wanted: claim.wanted.max(local_grant.in_use), ..claim.clone() };
    let before = grants.units(&node.incarnation);
    let after = grants.claim(&node.incarnation, node.data_centre(), &claim);
    local_grant.lower_to(after);
    Change { before, after, is_short: after.total() < claim.wanted }
}

/// Updates the local grant by the outcome of a claim's write.
///
/// After a conflict the row read is stale, so nothing is adopted from it; the
/// next claim reads it again.
fn finish_claim(local_grant: &mut LocalGrant, change: Change, outcome: &Result<Commit>) {
    match outcome {
        Ok(Commit::Done(_)) => local_grant.adopt(change.after, true),
        Ok(Commit::Conflict(_)) | Err(PlatformError::Unavailable { .. }) => {}
        Err(_) => local_grant.outcome_unknown = true,
    }
}

async fn claim_limit(node: &Arc<Node>, team: TeamName, claim: Claim) -> Result<()> {
    let key = limit_key(&team);
    let read = node.platform.tables.get(&key).await?;
    let mut grants: GrantRow = read.as_ref().map(Row::decode).transpose()?.unwrap_or_default();
    let Some(change) = begin_limit_claim(node, &team, &mut grants, &claim) else { return Ok(()) };
    let transaction = Transaction::new().replace(&key, read.as_ref(), &grants)?;
    let outcome = (node.platform.tables.transact)(transaction).await;
    if let Some(local_grant) = node.state().limit_grants.get_mut(&team) {
        finish_claim(local_grant, change, &outcome);
    }
    if matches!(outcome, Ok(Commit::Done(_))) {
        record_grant_change(node, &team, change);
    }
    outcome.map(|_| ())
}

/// Begins a claim on a team's limit; returns `None` when there is nothing to write.
fn begin_limit_claim(
    node: &Node,
    team: &TeamName,
    grants: &mut GrantRow,
    claim: &Claim,
) -> Option<Change> {
    let mut locked = node.state();
    let state = &mut *locked;
    let local_grant = state.limit_grants.get_mut(team)?;
    let change = begin_claim(node, local_grant, grants, claim);
    if change.is_short {
        state.teams_short_of_units.insert(team.clone());
    }
    if change.after == change.before {
        local_grant.adopt(change.before, false);
        return None;
    }
    Some(change)
}

fn record_grant_change(node: &Arc<Node>, team: &TeamName, change: Change) {
    let (from, to) = (change.before.total().to_string(), change.after.total().to_string());
    let labels = [("team", team.as_str()), ("from", from.as_str()), ("to", to.as_str())];
    node.record(EventKind::GrantChanged, &labels);
    node.units_changed.notify_waiters();
}

/// Claims slots of all targets in the data centre in one write.
async fn claim_slots(node: &Arc<Node>) -> Result<()> {
    let claims = slot_claims(node);
    if claims.is_empty() {
        return Ok(());
    }
    let key = slots_key(node.data_centre());
    let read = node.platform.tables.get(&key).await?;
    let mut row: SlotsRow = read.as_ref().map(Row::decode).transpose()?.unwrap_or_default();
    let changes = begin_slot_claims(node, &mut row, claims);
    if changes.values().all(|change| change.before == change.after) {
        return Ok(());
    }
    let transaction = Transaction::new().replace(&key, read.as_ref(), &row)?;
    let outcome = (node.platform.tables.transact)(transaction).await;
    let mut state = node.state();
    for (target, change) in &changes {
        if let Some(local_grant) = state.slot_grants.get_mut(target) {
            finish_claim(local_grant, *change, &outcome);
        }
    }
    slots::refresh_and_serve(&mut state, node.now_ms());
    drop(state);
    outcome.map(|_| ())
}

/// Begins the claims on slots and refreshes the target tables under the same lock.
fn begin_slot_claims(
    node: &Node,
    row: &mut SlotsRow,
    claims: Vec<(InstanceName, Claim)>,
) -> IndexMap<InstanceName, Change> {
    let mut locked = node.state();
    let state = &mut *locked;
    let mut changes = IndexMap::new();
    for (target, claim) in claims {
        let Some(local_grant) = state.slot_grants.get_mut(&target) else { continue };
        let services = state.services.values();
        let routed = services.filter_map(|service| service.targets.targets().get(&target));
        local_grant.in_use = routed.map(|target| target.in_flight).sum();
        let grants = row.targets.entry(target.clone()).or_default();
        let change = begin_claim(node, local_grant, grants, &claim);
        if change.is_short {
            state.targets_short_of_units.insert(target.clone());
        }
        if change.after == change.before {
            local_grant.adopt(change.before, false);
        }
        changes.insert(target, change);
    }
    slots::refresh(state, node.now_ms());
    changes
}

/// Returns the claims on target slots that are worth a write.
fn slot_claims(node: &Node) -> Vec<(InstanceName, Claim)> {
    let mut locked = node.state();
    let state = &mut *locked;
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let processes = processes_in_data_centre(node, state);
    let mut claims = Vec::new();
    for (service, service_state) in &state.services {
        let Some(settings) = config.services.get(service) else {
            continue;
        };
        let targets = service_state.targets.targets();
        let unmet = (service_state.queue.len() as u32).div_ceil(targets.len().max(1) as u32);
        for (name, target) in targets {
            let local_grant = state.slot_grants.entry(name.clone()).or_default();
            local_grant.record_usage(target.in_flight, unmet);
            let claim = Claim {
                limit: settings.slots,
                data_centres: 1,
                peers_in_data_centre: processes,
                base_percent: SLOTS_BASE_PERCENT,
                wanted: local_grant.wanted(settings.slots),
            };
            if local_grant.should_claim(&claim) {
                claims.push((name.clone(), claim));
            }
        }
    }
    claims
}

/// Asks the peers for units after claims that got fewer than wanted, at most every half second.
fn request_units(node: &Arc<Node>) {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let is_short =
        !state.teams_short_of_units.is_empty() || !state.targets_short_of_units.is_empty();
    if !is_short || now_ms < state.last_units_request_ms + MIN_UNITS_REQUEST_INTERVAL_MS {
        return;
    }
    state.last_units_request_ms = now_ms;
    let teams = std::mem::take(&mut state.teams_short_of_units);
    let targets = std::mem::take(&mut state.targets_short_of_units);
    drop(state);
    node.links.broadcast(node, &PeerMessage::UnitsWanted { teams, targets });
}

fn publish_metrics(node: &Node) {
    let units: u32 =
        node.state().limit_grants.values().map(|local_grant| local_grant.units.total()).sum();
    node.metrics.limit_units.set(i64::from(units));
}

/// Releases all units at the end of a graceful shutdown.
///
/// # Errors
/// Returns the platform's error; other processes then reclaim the units.
pub async fn release_all_units(node: &Arc<Node>) -> Result<()> {
    // Without the lock, a concurrent claim could take units for a process that has left.
    let _claiming = node.claim_lock.lock().await;
    let teams: Vec<TeamName> = node.state().limit_grants.keys().cloned().collect();
    for team in teams {
        let key = limit_key(&team);
        let Some((row, mut grants)) = node.platform.tables.get_as::<GrantRow>(&key).await? else {
            continue;
        };
        if grants.units(&node.incarnation).total() == 0 {
            continue;
        }
        grants.reclaim_all(&node.incarnation);
        let transaction = Transaction::new().replace(&key, Some(&row), &grants)?;
        (node.platform.tables.transact)(transaction).await?;
    }
    let key = slots_key(node.data_centre());
    if let Some((row, mut slots)) = node.platform.tables.get_as::<SlotsRow>(&key).await? {
        slots.targets.values_mut().for_each(|grants| grants.reclaim_all(&node.incarnation));
        let transaction = Transaction::new().replace(&key, Some(&row), &slots)?;
        (node.platform.tables.transact)(transaction).await?;
    }
    Ok(())
}
