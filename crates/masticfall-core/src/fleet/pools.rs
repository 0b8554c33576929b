//! Choice of the instances to move between pools.
//!
//! Handles queues that peak in turn for some seconds, demand more than their own
//! pool's capacity then, and almost nothing in between. Instances follow the
//! demand, and go to a standby pool, where they cost nothing, while no pool needs
//! them. Only empty instances move, so that no running task is interrupted.

mod calls;

use indexmap::{IndexMap, IndexSet};

use calls::PendingMove;
pub use calls::{MoveBlocker, MoveCall, MoveOutcome};

use super::board::Board;
use super::config::FleetConfig;
use super::machines::MachineView;
use super::spec::Resources;
use super::worker::Worker;
use crate::id::{InstanceName, PoolName};

/// Utilization that a pool is sized for; the rest is lost to fragmentation.
const TARGET_UTILIZATION: f64 = 0.88;

/// Free instances that each pool keeps for work that comes before others arrive.
const HEADROOM_INSTANCES: u64 = 2;

/// Time that a pool must have a surplus before instances go to standby: about
/// the cost of a move there and back, in running time of an instance.
const SCALE_IN_DELAY_MS: u64 = 1_500;

/// Time for which a new planner that has seen no demand keeps all instances in their
/// pools, in milliseconds. When a deployment starts, callers come up some seconds after the
/// instances, and their first burst would find only the headroom.
const FIRST_DEMAND_TIMEOUT_MS: u64 = 20_000;

/// Time after which a move without a visible effect is abandoned: an unanswered
/// call may be carried out up to 12 s later.
const MOVE_TIMEOUT_MS: u64 = 13_000;

/// Part of the provider's call rate that moves may use; the rest is kept for
/// maintenance, which has a deadline.
const MOVE_RATE_RATIO: f64 = 0.75;

/// Time over which unused calls accumulate: a few planning rounds, so short that
/// the calls of any second stay within the provider's rate.
const BURST_WINDOW_MS: f64 = 300.0;

/// Demand on a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolDemand {
    /// Resources of tasks placed on its workers.
    pub placed: Resources,
    /// Part of `placed` that long-running tasks use.
    pub long_running: Resources,
    /// Resources of waiting tasks, of jobs that can still meet their objective.
    pub waiting: Resources,
    /// Offered load: what the arriving work needs if arrivals continue.
    pub offered: Resources,
    /// Maximum number of workers that any one step with a limit of tasks per worker
    /// needs.
    pub min_workers: u64,
    /// Capacity of the pool's largest worker.
    pub worker_size: Resources,
}

impl PoolDemand {
    /// Returns the capacity that the pool should hold, in thousandths of a core
    /// of workers with memory and accelerators in the same proportion.
    fn wanted_millis(&self) -> u64 {
        let size = &self.worker_size;
        let current = self.placed.plus(&self.waiting).dominant_millis(size);
        let expected = self.offered.plus(&self.long_running).dominant_millis(size);
        let required_millis = (current.max(expected) as f64 / TARGET_UTILIZATION) as u64;
        required_millis.max(self.min_workers * size.cpu_millis)
    }
}

/// A pool as seen by a planning round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolView {
    /// Demand on the pool.
    pub demand: PoolDemand,
    /// Capacity that the pool should hold, in thousandths of a core.
    pub wanted_millis: u64,
    /// Capacity of the pool, with instances on their way to it, in thousandths of a core.
    pub held_millis: u64,
    /// Movable instances without placements.
    pub empty_instances: usize,
}

/// Plans moves between pools, and tracks those in progress.
#[derive(Debug, Clone)]
pub struct PoolPlanner {
    /// Call rate that the provider accepts.
    calls_per_s: f64,
    /// Calls that may be made now.
    call_tokens: f64,
    refilled_ms: u64,
    views: IndexMap<PoolName, PoolView>,
    pending_moves: IndexMap<InstanceName, PendingMove>,
    /// Time of the first planning round.
    begun_ms: Option<u64>,
    has_seen_demand: bool,
    surplus_since_ms: IndexMap<PoolName, u64>,
    /// Moves that the provider has ruled out.
    not_allowed: IndexSet<(InstanceName, PoolName)>,
}

/// A pool during a planning round.
#[derive(Debug, Default)]
struct PoolState {
    demand: PoolDemand,
    wanted_millis: u64,
    held_millis: u64,
    /// Movable instances without placements, with their capacities.
    empty: Vec<(InstanceName, u64)>,
    is_standby: bool,
}

impl PoolState {
    fn view(&self) -> PoolView {
        PoolView {
            demand: self.demand,
            wanted_millis: self.wanted_millis,
            held_millis: self.held_millis,
            empty_instances: self.empty.len(),
        }
    }

    fn deficit_millis(&self) -> u64 {
        if self.is_standby { 0 } else { self.wanted_millis.saturating_sub(self.held_millis) }
    }

    fn can_spare(&self, millis: u64) -> bool {
        self.is_standby || self.held_millis >= self.wanted_millis + millis
    }
}

impl PoolPlanner {
    /// Creates a planner for a provider that accepts `calls_per_s` calls a second.
    pub fn new(calls_per_s: f64) -> Self {
        Self {
            calls_per_s,
            call_tokens: 0.0,
            refilled_ms: 0,
            views: IndexMap::new(),
            pending_moves: IndexMap::new(),
            begun_ms: None,
            has_seen_demand: false,
            surplus_since_ms: IndexMap::new(),
            not_allowed: IndexSet::new(),
        }
    }

    /// Returns how many calls this round may make.
    fn allowed_calls(&mut self, now_ms: u64) -> usize {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        self.refilled_ms = now_ms;
        let per_ms = self.calls_per_s * MOVE_RATE_RATIO / 1_000.0;
        self.call_tokens =
            (self.call_tokens + elapsed_ms * per_ms).min(BURST_WINDOW_MS * per_ms).max(1.0);
        self.call_tokens as usize
    }

    /// Returns the moves of this round, and cordons the workers of the instances
    /// to be moved. Instances of evacuated data centres neither move nor count. `blocker` tells why an instance can't be moved now, if so.
    pub fn plan(
        &mut self,
        machines: &IndexMap<InstanceName, MachineView>,
        blocker: impl Fn(&InstanceName) -> Option<MoveBlocker>,
        board: &mut Board,
        config: &FleetConfig,
        now_ms: u64,
    ) -> Vec<MoveCall> {
        self.forget_ended_moves(machines, board, now_ms);
        let mut pools = self.pool_states(machines, blocker, board, config, now_ms);
        board.set_attainable_millis(attainable_millis(&pools));
        self.views = pools.iter().map(|(name, pool)| (name.clone(), pool.view())).collect();
        let allowed = self.allowed_calls(now_ms);
        let mut calls = self.repeated_calls(machines, board, allowed, now_ms);
        while calls.len() < allowed {
            let Some(call) = self.next_move(&mut pools, machines) else { break };
            calls.push(call);
        }
        let begun_ms = *self.begun_ms.get_or_insert(now_ms);
        self.has_seen_demand |= pools.values().any(|pool| pool.demand.offered.cpu_millis > 0);
        let may_scale_in = self.has_seen_demand || now_ms >= begun_ms + FIRST_DEMAND_TIMEOUT_MS;
        let remaining = if may_scale_in { allowed - calls.len() } else { 0 };
        calls.extend(self.move_surplus_to_standby(&mut pools, machines, remaining, now_ms));
        self.call_tokens -= calls.len() as f64;
        for call in &calls {
            let (to, worker) = (call.to.clone(), call.worker.clone());
            if let Some(worker) = &worker {
                board.cordon(worker, true);
            }
            let was_unanswered =
                self.pending_moves.get(&call.instance).is_some_and(|pending| pending.is_unanswered);
            let pending =
                PendingMove { to, since_ms: now_ms, worker, is_unanswered: was_unanswered };
            self.pending_moves.insert(call.instance.clone(), pending);
        }
        calls
    }

    /// Returns the calls that had no answer and are made again: the answer tells at once what
    /// waiting for a late effect tells after [`MOVE_TIMEOUT_MS`].
    fn repeated_calls(
        &self,
        machines: &IndexMap<InstanceName, MachineView>,
        board: &Board,
        allowed: usize,
        now_ms: u64,
    ) -> Vec<MoveCall> {
        let repeatable = self.pending_moves.iter().filter_map(|(instance, pending)| {
            let machine = machines.get(instance)?;
            let is_empty = pending.worker.as_ref().is_none_or(|worker| board.is_empty(worker));
            let is_repeatable = is_empty && pending.is_repeatable(machine, now_ms);
            let (instance, worker) = (instance.clone(), pending.worker.clone());
            let (from, to) = (machine.pool.clone(), pending.to.clone());
            is_repeatable.then_some(MoveCall { instance, worker, from, to })
        });
        repeatable.take(allowed).collect()
    }

    /// Records the outcome of a call.
    pub fn record_call(&mut self, call: &MoveCall, outcome: MoveOutcome, board: &mut Board) {
        let pending = self.pending_moves.get_mut(&call.instance);
        match outcome {
            MoveOutcome::Begun | MoveOutcome::Unknown => {
                if let Some(pending) = pending {
                    pending.is_unanswered = outcome == MoveOutcome::Unknown;
                }
                return;
            }
            MoveOutcome::NotAllowed => {
                self.not_allowed.insert((call.instance.clone(), call.to.clone()));
            }
            // An earlier call may have begun the move, for which the instance is busy.
            MoveOutcome::Refused if pending.is_some_and(|pending| pending.is_unanswered) => return,
            MoveOutcome::Refused => {}
        }
        self.pending_moves.swap_remove(&call.instance);
        if let Some(worker) = &call.worker {
            board.cordon(worker, false);
        }
    }

    /// Returns the pools as seen by the last round before its moves.
    pub fn pool_views(&self) -> &IndexMap<PoolName, PoolView> {
        &self.views
    }

    /// Drops moves that have completed or timed out; uncordons workers of the latter.
    fn forget_ended_moves(
        &mut self,
        machines: &IndexMap<InstanceName, MachineView>,
        board: &mut Board,
        now_ms: u64,
    ) {
        self.pending_moves.retain(|name, pending| {
            let Some(machine) = machines.get(name) else { return false };
            let has_arrived = machine.is_up() && machine.pool == pending.to;
            let is_timed_out = now_ms > pending.since_ms + MOVE_TIMEOUT_MS;
            if is_timed_out
                && !has_arrived
                && let Some(worker) = &pending.worker
            {
                board.cordon(worker, false);
            }
            !has_arrived && !is_timed_out
        });
    }

    fn pool_states(
        &self,
        machines: &IndexMap<InstanceName, MachineView>,
        blocker: impl Fn(&InstanceName) -> Option<MoveBlocker>,
        board: &Board,
        config: &FleetConfig,
        now_ms: u64,
    ) -> IndexMap<PoolName, PoolState> {
        let demand = board.pool_demand(now_ms);
        let mut pools: IndexMap<PoolName, PoolState> = IndexMap::new();
        for (name, pool) in &config.pools {
            let demand = demand.get(name).copied().unwrap_or_default();
            let (wanted_millis, is_standby) = (demand.wanted_millis(), pool.is_standby);
            let state = PoolState { demand, wanted_millis, is_standby, ..PoolState::default() };
            pools.insert(name.clone(), state);
        }
        let mut largest: IndexMap<PoolName, u64> = IndexMap::new();
        let evacuated = |machine: &MachineView| board.evacuated().contains(&machine.data_centre);
        for (name, machine) in machines.iter().filter(|(_, machine)| !evacuated(machine)) {
            let worker = machine.worker.as_ref().and_then(|id| board.workers.get(id));
            let millis = current_millis(machine, worker, pools.get(&machine.pool));
            if let Some(pending) = self.pending_moves.get(name) {
                if let Some(pool) = pools.get_mut(&pending.to) {
                    pool.held_millis += millis;
                }
                continue;
            }
            let Some(pool) = pools.get_mut(&machine.pool) else { continue };
            let blocker = blocker(name);
            if !machine.is_up() || blocker == Some(MoveBlocker::Draining) {
                continue;
            }
            let is_usable = worker.is_some_and(|worker| worker.is_schedulable(now_ms));
            if is_usable || pool.is_standby {
                pool.held_millis += millis;
                let is_empty = worker.is_none_or(|worker| board.is_empty(&worker.facts.id));
                if is_empty && blocker.is_none() {
                    pool.empty.push((name.clone(), millis));
                }
            }
            let largest_millis = largest.entry(machine.pool.clone()).or_default();
            *largest_millis = (*largest_millis).max(machine.capacity_millis);
        }
        for (name, pool) in pools.iter_mut().filter(|(_, pool)| !pool.is_standby) {
            pool.wanted_millis +=
                HEADROOM_INSTANCES * largest.get(name).copied().unwrap_or_default();
        }
        pools
    }

    /// Moves an instance of the best donor to the pool with the largest deficit;
    /// pools without a donor are skipped.
    fn next_move(
        &self,
        pools: &mut IndexMap<PoolName, PoolState>,
        machines: &IndexMap<InstanceName, MachineView>,
    ) -> Option<MoveCall> {
        let mut deficits: Vec<(u64, PoolName)> = pools
            .iter()
            .filter(|(_, pool)| pool.deficit_millis() > 0)
            .map(|(name, pool)| (pool.deficit_millis(), name.clone()))
            .collect();
        deficits.sort();
        for (_, to) in deficits.into_iter().rev() {
            if let Some((from, instance, millis)) = self.donor(pools, &to) {
                remove_instance(pools, &from, &instance, millis);
                pools[&to].held_millis += millis;
                let worker = machines[&instance].worker.clone();
                return Some(MoveCall { instance, worker, from, to });
            }
        }
        None
    }

    /// Returns an empty instance that a pool can spare: from standby first, then
    /// from the pool with the largest surplus.
    fn donor(
        &self,
        pools: &IndexMap<PoolName, PoolState>,
        to: &PoolName,
    ) -> Option<(PoolName, InstanceName, u64)> {
        let mut best: Option<((bool, u64), PoolName, InstanceName, u64)> = None;
        for (from, pool) in pools.iter().filter(|(from, _)| *from != to) {
            let allowed = |(instance, _): &&(InstanceName, u64)| {
                !self.not_allowed.contains(&(instance.clone(), to.clone()))
            };
            let Some((instance, millis)) = pool.empty.iter().find(allowed) else { continue };
            if !pool.can_spare(*millis) {
                continue;
            }
            let rank = (pool.is_standby, pool.held_millis.saturating_sub(pool.wanted_millis));
            if best.as_ref().is_none_or(|(other, ..)| *other < rank) {
                best = Some((rank, from.clone(), instance.clone(), *millis));
            }
        }
        best.map(|(_, from, instance, millis)| (from, instance, millis))
    }

    /// Moves instances to standby from pools that have had a surplus for
    /// [`SCALE_IN_DELAY_MS`].
    fn move_surplus_to_standby(
        &mut self,
        pools: &mut IndexMap<PoolName, PoolState>,
        machines: &IndexMap<InstanceName, MachineView>,
        allowed: usize,
        now_ms: u64,
    ) -> Vec<MoveCall> {
        let standby = pools.iter().find(|(_, pool)| pool.is_standby).map(|(name, _)| name.clone());
        let Some(to) = standby else { return Vec::new() };
        let mut calls = Vec::new();
        let names: Vec<PoolName> = pools.keys().filter(|name| **name != to).cloned().collect();
        for from in names {
            let spare =
                pools[&from].empty.iter().find(|(_, millis)| pools[&from].can_spare(*millis));
            let Some((_, millis)) = spare.cloned() else {
                self.surplus_since_ms.swap_remove(&from);
                continue;
            };
            let since_ms = *self.surplus_since_ms.entry(from.clone()).or_insert(now_ms);
            if now_ms < since_ms + SCALE_IN_DELAY_MS {
                continue;
            }
            while pools[&from].can_spare(millis) && calls.len() < allowed {
                let Some((instance, millis)) = pools[&from].empty.last().cloned() else { break };
                remove_instance(pools, &from, &instance, millis);
                let worker = machines[&instance].worker.clone();
                let (from, to) = (from.clone(), to.clone());
                calls.push(MoveCall { instance, worker, from, to });
            }
        }
        calls
    }
}

/// Returns the capacity of each pool that isn't on standby, including its part
/// of the empty instances that other pools can spare.
fn attainable_millis(pools: &IndexMap<PoolName, PoolState>) -> IndexMap<PoolName, u64> {
    let spare = |pool: &PoolState| {
        let empty: u64 = pool.empty.iter().map(|(_, millis)| millis).sum();
        let surplus = pool.held_millis.saturating_sub(pool.wanted_millis);
        if pool.is_standby { empty } else { empty.min(surplus) }
    };
    let total_spare: u64 = pools.values().map(spare).sum();
    let deficit_pools =
        pools.values().filter(|pool| pool.deficit_millis() > 0).count().max(1) as u64;
    let attainable = pools.iter().filter(|(_, pool)| !pool.is_standby).map(|(name, pool)| {
        (
            name.clone(),
            pool.held_millis + (total_spare - spare(pool).min(total_spare)) / deficit_pools,
        )
    });
    attainable.collect()
}

/// Returns the processor capacity of an instance, in thousandths of a core; less than the
/// provider lists while its worker has shrunk.
fn current_millis(machine: &MachineView, worker: Option<&Worker>, pool: Option<&PoolState>) -> u64 {
    let size = pool.map(|pool| pool.demand.worker_size).unwrap_or_default();
    let Some(worker) = worker.filter(|_| size != Resources::default()) else {
        return machine.capacity_millis;
    };
    machine.capacity_millis.min(worker.facts.capacity.equivalent_millis(&size))
}

fn remove_instance(
    pools: &mut IndexMap<PoolName, PoolState>,
    from: &PoolName,
    instance: &InstanceName,
    millis: u64,
) {
    let pool = &mut pools[from];
    pool.held_millis = pool.held_millis.saturating_sub(millis);
    pool.empty.retain(|(name, _)| name != instance);
}
