//! Sizes the pools of the data centre: moves instances by demand where `auto_moves` is set.

use std::sync::Arc;

use indexmap::IndexMap;
use masticfall_core::config::FleetConfig;
use masticfall_core::id::{InstanceName, Name, PoolName, ServiceName};
use masticfall_core::instance::{InstanceKind, InstanceRow, Purpose};
use masticfall_core::sizing::{DecayingPeak, Move, PoolSnapshot, SizingPolicy, plan_moves};
use masticfall_core::timeline::EventKind;
use masticfall_platform::{Commit, ListedState, Result};

use super::lease::PlannerLease;
use super::pools::FleetView;
use crate::context::Node;
use crate::state::State;

/// Recent peaks of demand, and how long instances have been in their pools.
#[derive(Debug, Default)]
pub struct DemandTable {
    demand_peaks: IndexMap<PoolName, DecayingPeak>,
    /// Pool of each instance, and when this planner first saw it there.
    stays: IndexMap<InstanceName, (PoolName, u64)>,
}

/// Updates the peaks of demand, and starts moves to pools that are short of instances.
pub async fn step(node: &Arc<Node>, lease: &PlannerLease, table: &mut DemandTable) -> Result<()> {
    let Some(config) = node.state().config.clone().filter(|config| config.auto_moves) else {
        return Ok(());
    };
    let policy = SizingPolicy::of(config.weighting);
    let now_ms = node.now_ms();
    let moves = {
        let state = node.state();
        observe_demand(table, &state, &config, &policy, node, now_ms);
        plan_moves(&pool_snapshots(table, &state, &config, &policy, now_ms), &policy)
    };
    if moves.is_empty() {
        return Ok(());
    }
    for planned in moves {
        start_move(node, lease, table, &policy, planned).await?;
    }
    Ok(())
}

fn observe_demand(
    table: &mut DemandTable,
    state: &State,
    config: &FleetConfig,
    policy: &SizingPolicy,
    node: &Node,
    now_ms: u64,
) {
    let demand = local_demand(state, node);
    for (pool, settings) in &config.pools {
        let Some(service) = &settings.service else { continue };
        let slots = config.services.get(service).map_or(1, |service| service.slots.max(1));
        let requests = demand.get(service).copied().unwrap_or_default();
        let instances = f64::from(requests) / f64::from(slots);
        let peak = table.demand_peaks.entry(pool.clone()).or_default();
        peak.observe(instances, policy.peak_decay_ms, now_ms);
    }
    table.stays.retain(|name, _| state.instances.contains_key(name));
    for (name, (_, row)) in &state.instances {
        let stay = table.stays.entry(name.clone()).or_insert((row.pool.clone(), now_ms));
        if stay.0 != row.pool {
            *stay = (row.pool.clone(), now_ms);
        }
    }
}

/// Returns the requests in flight or waiting in this data centre, by service.
fn local_demand(state: &State, node: &Node) -> IndexMap<ServiceName, u32> {
    let mut demand = state.demand();
    let data_centre = node.data_centre();
    let peers = state.members.values().filter(|member| member.row.data_centre == *data_centre);
    for (service, requests) in peers.flat_map(|member| &member.demand) {
        *demand.entry(service.clone()).or_default() += requests;
    }
    demand
}

fn pool_snapshots(
    table: &DemandTable,
    state: &State,
    config: &FleetConfig,
    policy: &SizingPolicy,
    now_ms: u64,
) -> IndexMap<PoolName, PoolSnapshot> {
    let sized_pools = config
        .pools
        .iter()
        .filter(|(name, pool)| pool.service.is_some() || config.spare_pool.as_ref() == Some(*name));
    let snapshots = sized_pools.map(|(name, _)| {
        let is_spare = config.spare_pool.as_ref() == Some(name);
        let available = available_targets(state, name).count() as u32;
        let arriving = state.instances.values().filter(|(_, row)| is_arriving(row, name));
        let snapshot = PoolSnapshot {
            available,
            arriving: arriving.count() as u32,
            demand: table.demand_peaks.get(name).map_or(0.0, DecayingPeak::peak),
            largest_rack: largest_rack(state, name),
            movable: movable_targets(table, state, name, policy, now_ms).count() as u32,
            is_spare,
        };
        (name.clone(), snapshot)
    });
    snapshots.collect()
}

/// Returns the live targets of a pool that take work.
fn available_targets<'a>(
    state: &'a State,
    pool: &'a PoolName,
) -> impl Iterator<Item = (&'a InstanceName, &'a InstanceRow)> {
    let rows = state.instances.iter().map(|(name, (_, row))| (name, row));
    rows.filter(move |(name, row)| {
        let live =
            state.listed_instances.get(*name).is_some_and(|entry| entry.state == ListedState::Live);
        row.pool == *pool && row.takes_work() && row.facts.kind == InstanceKind::Target && live
    })
}

fn is_arriving(row: &InstanceRow, pool: &PoolName) -> bool {
    matches!(&row.purpose, Some(Purpose::Move(to)) if to == pool)
}

fn largest_rack(state: &State, pool: &PoolName) -> u32 {
    let mut racks: IndexMap<Name, u32> = IndexMap::new();
    for (_, row) in available_targets(state, pool) {
        *racks.entry(Name::clone(&row.facts.rack)).or_default() += 1;
    }
    racks.values().copied().max().unwrap_or(0)
}

/// Returns the targets of a pool that have been in it for the minimum stay.
fn movable_targets<'a>(
    table: &'a DemandTable,
    state: &'a State,
    pool: &'a PoolName,
    policy: &'a SizingPolicy,
    now_ms: u64,
) -> impl Iterator<Item = &'a InstanceName> {
    available_targets(state, pool).map(|(name, _)| name).filter(move |name| {
        let since_ms = table.stays.get(*name).map_or(now_ms, |(_, since_ms)| *since_ms);
        now_ms >= since_ms + policy.min_stay_ms
    })
}

/// Starts a move if the availability budget of the source pool allows it.
async fn start_move(
    node: &Arc<Node>,
    lease: &PlannerLease,
    table: &DemandTable,
    policy: &SizingPolicy,
    planned: Move,
) -> Result<()> {
    let view = FleetView::read(node).await?;
    if view.wave_view(node.data_centre()).headroom(&planned.from) == 0 {
        return Ok(());
    }
    let name = {
        let state = node.state();
        let mut candidates = movable_targets(table, &state, &planned.from, policy, node.now_ms());
        candidates
            .find(|name| view.instances.get(*name).is_some_and(InstanceRow::takes_work))
            .cloned()
    };
    let Some(name) = name else { return Ok(()) };
    let purpose = Purpose::Move(planned.to.clone());
    let Some(transaction) = view.take_out_of_service(lease.transaction(node)?, &name, purpose)?
    else {
        return Ok(());
    };
    if let Commit::Done(_) = (node.platform.tables.transact)(transaction).await? {
        let labels = [
            ("instance", name.as_str()),
            ("from", planned.from.as_str()),
            ("to", planned.to.as_str()),
        ];
        node.record(EventKind::MovePlanned, &labels);
    }
    Ok(())
}
