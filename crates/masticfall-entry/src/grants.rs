//! Claims units of team limits and of target slots as demand moves.
//!
//! A claim changes this process's entry in a row by compare and swap. Units
//! are given up locally before the write and used only after it is confirmed.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::IndexMap;
use masticfall_core::escrow::{Claim, GrantRow, Units};
use masticfall_core::id::{InstanceName, TeamName};
use masticfall_core::timeline::EventKind;
use masticfall_platform::{Commit, PlatformError, Result, Transaction};
use masticfall_wire::rows::{SlotsRow, limit_key, slots_key};

use crate::context::Node;
use crate::slots;
use crate::state::{Phase, State};

/// Period of the claims, in milliseconds.
const CLAIM_MS: u64 = 200;

/// Shortest time between two claims, in milliseconds.
const MIN_CLAIM_GAP_MS: u64 = 20;

/// Part of a team's limit that is split over the data centres, in percent.
const LIMIT_BASE_PERCENT: u32 = 50;

/// Part of a target's slots that is split over its data centre's processes, in percent.
const SLOTS_BASE_PERCENT: u32 = 75;

/// Claims until the process drains.
pub async fn run(node: Arc<Node>) {
    loop {
        let sent_ms = node.now_ms();
        let result = step(&node).await;
        node.note_platform(sent_ms, &result);
        tokio::time::sleep(Duration::from_millis(MIN_CLAIM_GAP_MS)).await;
        let wanted = node.units_wanted.notified();
        drop(tokio::time::timeout(Duration::from_millis(CLAIM_MS), wanted).await);
        if node.state().phase == Phase::Draining {
            return;
        }
    }
}

async fn step(node: &Arc<Node>) -> Result<()> {
    if !node.state().guard.elastic_usable(node.now_ms()) {
        return Ok(());
    }
    let claims = limit_claims(node);
    let claimed = join_all(claims.into_iter().map(|(team, claim)| claim_limit(node, team, claim)));
    let results = claimed.await;
    claim_slots(node).await?;
    publish_metrics(node);
    results.into_iter().collect()
}

fn peers_in_data_centre(node: &Node, state: &State) -> u32 {
    1 + state.live_members(node.data_centre()).count() as u32
}

/// Returns the claims on team limits that are worth a write.
fn limit_claims(node: &Node) -> Vec<(TeamName, Claim)> {
    let mut locked = node.state();
    let state = &mut *locked;
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let peers = peers_in_data_centre(node, state);
    let mut claims = Vec::new();
    for (team, settings) in &config.teams {
        let account = state.limits.entry(team.clone()).or_default();
        let claim = Claim {
            limit: settings.limit,
            data_centres: config.data_centres.len() as u32,
            peers_in_data_centre: peers,
            base_percent: LIMIT_BASE_PERCENT,
            wanted: account.wanted(settings.limit),
        };
        if account.should_claim(&claim) {
            claims.push((team.clone(), claim));
        }
    }
    claims
}

async fn claim_limit(node: &Arc<Node>, team: TeamName, claim: Claim) -> Result<()> {
    let key = limit_key(&team);
    let read = node.platform.tables.get(&key).await?;
    let mut grants: GrantRow = match &read {
        Some(row) => row.decode()?,
        None => GrantRow::default(),
    };
    let before = grants.units(&node.who);
    let after = grants.claim(&node.who, node.data_centre(), &claim);
    if after == before {
        with_account(node, &team, |account| account.adopt(before, false));
        return Ok(());
    }
    with_account(node, &team, |account| account.lower_to(after));
    let transaction = Transaction::new().replace(&key, read.as_ref(), &grants)?;
    let outcome = (node.platform.tables.transact)(transaction).await;
    settle(
        node,
        &outcome,
        |node, units, confirmed| {
            with_account(node, &team, |account| match confirmed {
                Some(confirmed) => account.adopt(units, confirmed),
                None => account.uncertain = true,
            });
        },
        before,
        after,
    );
    if matches!(outcome, Ok(Commit::Done(_))) {
        let (from, to) = (before.total().to_string(), after.total().to_string());
        let labels = [("team", team.as_str()), ("from", from.as_str()), ("to", to.as_str())];
        node.record(EventKind::GrantChanged, &labels);
        node.units_changed.notify_waiters();
    }
    outcome.map(|_| ())
}

fn with_account(
    node: &Node,
    team: &TeamName,
    change: impl FnOnce(&mut masticfall_core::escrow::Account),
) {
    if let Some(account) = node.state().limits.get_mut(team) {
        change(account);
    }
}

/// Applies the outcome of a claim: the new units, the old ones, or neither for sure.
fn settle(
    node: &Arc<Node>,
    outcome: &Result<Commit>,
    apply: impl Fn(&Arc<Node>, Units, Option<bool>),
    before: Units,
    after: Units,
) {
    match outcome {
        Ok(Commit::Done(_)) => apply(node, after, Some(true)),
        Ok(Commit::Conflict(_)) | Err(PlatformError::Unavailable { .. }) => {
            apply(node, before, Some(false));
        }
        Err(_) => apply(node, before, None),
    }
}

/// Claims slots of all targets of the data centre in one write.
async fn claim_slots(node: &Arc<Node>) -> Result<()> {
    let claims = slot_claims(node);
    if claims.is_empty() {
        return Ok(());
    }
    let key = slots_key(node.data_centre());
    let read = node.platform.tables.get(&key).await?;
    let mut row: SlotsRow = match &read {
        Some(row) => row.decode()?,
        None => SlotsRow::default(),
    };
    let mut changes: IndexMap<InstanceName, (Units, Units)> = IndexMap::new();
    for (target, claim) in claims {
        let grants = row.targets.entry(target.clone()).or_default();
        let before = grants.units(&node.who);
        let after = grants.claim(&node.who, node.data_centre(), &claim);
        changes.insert(target, (before, after));
    }
    apply_slots(node, &changes, |account, (_, after)| {
        account.lower_to(*after);
    });
    if changes.values().all(|(before, after)| before == after) {
        apply_slots(node, &changes, |account, (before, _)| {
            account.adopt(*before, false);
        });
        return Ok(());
    }
    let transaction = Transaction::new().replace(&key, read.as_ref(), &row)?;
    let outcome = (node.platform.tables.transact)(transaction).await;
    apply_slots(node, &changes, |account, (before, after)| match &outcome {
        Ok(Commit::Done(_)) => account.adopt(*after, true),
        Ok(Commit::Conflict(_)) | Err(PlatformError::Unavailable { .. }) => {
            account.adopt(*before, false);
        }
        Err(_) => account.uncertain = true,
    });
    refresh(node);
    outcome.map(|_| ())
}

fn apply_slots(
    node: &Node,
    changes: &IndexMap<InstanceName, (Units, Units)>,
    apply: impl Fn(&mut masticfall_core::escrow::Account, &(Units, Units)),
) {
    let mut state = node.state();
    for (target, change) in changes {
        if let Some(account) = state.slots.get_mut(target) {
            apply(account, change);
        }
    }
    slots::refresh(&mut state, node.now_ms());
}

fn refresh(node: &Node) {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let services: Vec<_> = state.services.keys().cloned().collect();
    for service in services {
        slots::serve_waiting(&mut state, &service, now_ms);
    }
}

/// Returns the claims on target slots that are worth a write.
fn slot_claims(node: &Node) -> Vec<(InstanceName, Claim)> {
    let mut locked = node.state();
    let state = &mut *locked;
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let peers = peers_in_data_centre(node, state);
    let mut claims = Vec::new();
    for (service, service_state) in &state.services {
        let Some(settings) = config.services.get(service) else {
            continue;
        };
        let targets = service_state.targets.targets();
        let unmet = (service_state.queue.len() as u32).div_ceil(targets.len().max(1) as u32);
        for (name, target) in targets {
            let account = state.slots.entry(name.clone()).or_default();
            account.sample(target.in_flight, unmet);
            let claim = Claim {
                limit: settings.slots,
                data_centres: 1,
                peers_in_data_centre: peers,
                base_percent: SLOTS_BASE_PERCENT,
                wanted: account.wanted(settings.slots),
            };
            if account.should_claim(&claim) {
                claims.push((name.clone(), claim));
            }
        }
    }
    claims
}

fn publish_metrics(node: &Node) {
    let units: u32 = node.state().limits.values().map(|account| account.units.total()).sum();
    node.metrics.limit_units.set(i64::from(units));
}

/// Gives all units back at the end of a graceful shutdown.
///
/// # Errors
/// The platform's failure; the units then come back by reclaim.
pub async fn give_back(node: &Arc<Node>) -> Result<()> {
    let teams: Vec<TeamName> = node.state().limits.keys().cloned().collect();
    for team in teams {
        let key = limit_key(&team);
        let Some((row, mut grants)) = node.platform.tables.get_as::<GrantRow>(&key).await? else {
            continue;
        };
        if grants.units(&node.who).total() == 0 {
            continue;
        }
        grants.reclaim_all(&node.who);
        let transaction = Transaction::new().replace(&key, Some(&row), &grants)?;
        (node.platform.tables.transact)(transaction).await?;
    }
    let key = slots_key(node.data_centre());
    if let Some((row, mut slots)) = node.platform.tables.get_as::<SlotsRow>(&key).await? {
        slots.targets.values_mut().for_each(|grants| grants.reclaim_all(&node.who));
        let transaction = Transaction::new().replace(&key, Some(&row), &slots)?;
        (node.platform.tables.transact)(transaction).await?;
    }
    Ok(())
}
