//! Sizes of the data centre's pools: instances follow demand where the fleet allows it.

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

/// What the planner remembers of demand and of instances' stays.
#[derive(Debug, Default)]
pub struct DemandTable {
    forecasts: IndexMap<PoolName, DecayingPeak>,
    /// Pool of each instance, and since when this planner has seen it there.
    stays: IndexMap<InstanceName, (PoolName, u64)>,
}

/// Observes demand, and moves instances to pools that lack them.
pub async fn step(node: &Arc<Node>, lease: &PlannerLease, table: &mut DemandTable) -> Result<()> {
    let Some(config) = node.state().config.clone().filter(|config| config.auto_moves) else {
        return Ok(());
    };
    let eagerness = SizingPolicy::of(config.weighting);
    let now_ms = node.now_ms();
    let moves = {
        let state = node.state();
        observe(table, &state, &config, &eagerness, node, now_ms);
        plan_moves(&loads(table, &state, &config, &eagerness, now_ms), &eagerness)
    };
    if moves.is_empty() {
        return Ok(());
    }
    for one in moves {
        carry_out(node, lease, table, &eagerness, one).await?;
    }
    Ok(())
}

fn observe(
    table: &mut DemandTable,
    state: &State,
    config: &FleetConfig,
    eagerness: &SizingPolicy,
    node: &Node,
    now_ms: u64,
) {
    let demand = demand_here(state, node);
    for (pool, settings) in &config.pools {
        let Some(service) = &settings.service else { continue };
        let slots = config.services.get(service).map_or(1, |service| service.slots.max(1));
        let requests = demand.get(service).copied().unwrap_or_default();
        let instances = f64::from(requests) / f64::from(slots);
        let forecast = table.forecasts.entry(pool.clone()).or_default();
        forecast.observe(instances, eagerness.peak_decay_ms, now_ms);
    }
    table.stays.retain(|name, _| state.instances.contains_key(name));
    for (name, (_, row)) in &state.instances {
        let stay = table.stays.entry(name.clone()).or_insert((row.pool.clone(), now_ms));
        if stay.0 != row.pool {
            *stay = (row.pool.clone(), now_ms);
        }
    }
}

/// Returns the requests in flight and waiting in the data centre, by service.
fn demand_here(state: &State, node: &Node) -> IndexMap<ServiceName, u32> {
    let mut demand = state.demand();
    let here = node.data_centre();
    let members = state.members.values().filter(|member| member.row.data_centre == *here);
    for (service, requests) in members.flat_map(|member| &member.demand) {
        *demand.entry(service.clone()).or_default() += requests;
    }
    demand
}

fn loads(
    table: &DemandTable,
    state: &State,
    config: &FleetConfig,
    eagerness: &SizingPolicy,
    now_ms: u64,
) -> IndexMap<PoolName, PoolSnapshot> {
    let sized = config
        .pools
        .iter()
        .filter(|(name, pool)| pool.service.is_some() || config.spare_pool.as_ref() == Some(*name));
    let loads = sized.map(|(name, _)| {
        let is_spare = config.spare_pool.as_ref() == Some(name);
        let available = members(state, name).count() as u32;
        let arriving = state.instances.values().filter(|(_, row)| is_arriving(row, name));
        let load = PoolSnapshot {
            available,
            arriving: arriving.count() as u32,
            demand: table.forecasts.get(name).map_or(0.0, DecayingPeak::peak),
            largest_rack: largest_rack(state, name),
            movable: movable(table, state, name, eagerness, now_ms).count() as u32,
            is_spare,
        };
        (name.clone(), load)
    });
    loads.collect()
}

/// Returns the targets of a pool that take work.
fn members<'a>(
    state: &'a State,
    pool: &'a PoolName,
) -> impl Iterator<Item = (&'a InstanceName, &'a InstanceRow)> {
    let rows = state.instances.iter().map(|(name, (_, row))| (name, row));
    rows.filter(move |(name, row)| {
        let live =
            state.listed_instances.get(*name).is_some_and(|one| one.state == ListedState::Live);
        row.pool == *pool && row.takes_work() && row.facts.kind == InstanceKind::Target && live
    })
}

fn is_arriving(row: &InstanceRow, pool: &PoolName) -> bool {
    matches!(&row.purpose, Some(Purpose::Move(to)) if to == pool)
}

fn largest_rack(state: &State, pool: &PoolName) -> u32 {
    let mut racks: IndexMap<Name, u32> = IndexMap::new();
    for (_, row) in members(state, pool) {
        *racks.entry(Name::clone(&row.facts.rack)).or_default() += 1;
    }
    racks.values().copied().max().unwrap_or(0)
}

/// Returns the instances of a pool that stayed long enough to move on.
fn movable<'a>(
    table: &'a DemandTable,
    state: &'a State,
    pool: &'a PoolName,
    eagerness: &'a SizingPolicy,
    now_ms: u64,
) -> impl Iterator<Item = &'a InstanceName> {
    members(state, pool).map(|(name, _)| name).filter(move |name| {
        let since_ms = table.stays.get(*name).map_or(now_ms, |(_, since_ms)| *since_ms);
        now_ms >= since_ms + eagerness.min_stay_ms
    })
}

/// Starts one move, if the availability budget lets the instance go.
async fn carry_out(
    node: &Arc<Node>,
    lease: &PlannerLease,
    table: &DemandTable,
    eagerness: &SizingPolicy,
    one: Move,
) -> Result<()> {
    let view = FleetView::read(node).await?;
    if view.wave_view(node.data_centre()).headroom(&one.from) == 0 {
        return Ok(());
    }
    let name = {
        let state = node.state();
        let mut candidates = movable(table, &state, &one.from, eagerness, node.now_ms());
        candidates
            .find(|name| view.instances.get(*name).is_some_and(InstanceRow::takes_work))
            .cloned()
    };
    let Some(name) = name else { return Ok(()) };
    let purpose = Purpose::Move(one.to.clone());
    let Some(transaction) = view.take_out(lease.transaction(node)?, &name, purpose)? else {
        return Ok(());
    };
    if let Commit::Done(_) = (node.platform.tables.transact)(transaction).await? {
        let labels =
            [("instance", name.as_str()), ("from", one.from.as_str()), ("to", one.to.as_str())];
        node.record(EventKind::MovePlanned, &labels);
    }
    Ok(())
}
