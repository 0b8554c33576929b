//! Which instances to move between pools.
//!
//! Load answered: queues that peak in turn, each for some seconds, with more
//! than its own pool holds, and want almost nothing in between. Instances follow
//! the demand, and rest in a standby pool, where they cost nothing, while
//! nobody needs them. Only empty instances move, so that nothing is cut.

use indexmap::{IndexMap, IndexSet};

use super::board::Board;
use super::config::FleetConfig;
use super::machines::MachineView;
use super::spec::Resources;
use crate::id::{InstanceName, PoolName, WorkerId};

/// Share of a pool's processors that is filled when it counts as full; the rest
/// is lost to the sizes of tasks.
const FILL: f64 = 0.88;

/// Free instances that each pool keeps for what comes before others arrive.
const SPARE_INSTANCES: u64 = 2;

/// Time for which a pool has to have instances too many before one is put on
/// standby, in milliseconds: about what a move there and back costs, in
/// seconds of an instance in a pool.
const SURPLUS_MS: u64 = 1_500;

/// Time after which a move without a visible effect is given up, in
/// milliseconds: a call without an answer may be carried out 12 s later.
const GIVE_UP_MS: u64 = 13_000;

/// Part of the provider's rate of calls that moves may take; the rest is for
/// maintenance, which has to be done in time.
const RATE_PART: f64 = 0.75;

/// Time over which unused calls are saved up, in milliseconds: one planning
/// round, with which no second has more calls than the provider's rate.
const SAVED_MS: f64 = 300.0;

/// What a pool is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolDemand {
    /// Placed on its workers.
    pub placed: Resources,
    /// Of that, by tasks that last.
    pub long_running: Resources,
    /// Waiting, of jobs that can still meet their objective.
    pub waiting: Resources,
    /// What recent arrivals need when they go on.
    pub offered: Resources,
    /// Workers that the widest step needs, where only so many of its tasks may
    /// be on one.
    pub min_workers: u64,
    /// Size of the pool's largest worker.
    pub worker_size: Resources,
}

impl PoolDemand {
    /// Returns what the pool should hold, in thousandths of a core of workers
    /// that have their memory and accelerators in the same proportion.
    fn wanted_millis(&self) -> u64 {
        let size = &self.worker_size;
        let now = self.placed.plus(&self.waiting).dominant_millis(size);
        let soon = self.offered.plus(&self.long_running).dominant_millis(size);
        let filled = (now.max(soon) as f64 / FILL) as u64;
        filled.max(self.min_workers * size.cpu_millis)
    }
}

/// Why an instance can't be moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveBlocker {
    /// It is being emptied, and serves its pool no longer.
    Draining,
    /// It must not be called yet, since the last owner may have called it; it
    /// serves its pool all the same.
    FormerOwnerCall,
}

/// A call to move an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveCall {
    /// The instance.
    pub instance: InstanceName,
    /// Its worker.
    pub worker: Option<WorkerId>,
    /// Pool it leaves.
    pub from: PoolName,
    /// Pool it joins.
    pub to: PoolName,
}

/// How a call to move an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveOutcome {
    /// The move has begun.
    Begun,
    /// Nothing was done.
    Refused,
    /// The instance can't join that pool.
    NotAllowed,
    /// It may have begun.
    Unknown,
}

#[derive(Debug, Clone)]
struct Moving {
    to: PoolName,
    since_ms: u64,
    worker: Option<WorkerId>,
}

/// A pool as a planning round saw it, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolView {
    /// What the pool is asked for.
    pub demand: PoolDemand,
    /// What it should hold.
    pub wanted_millis: u64,
    /// What it holds, with what is on its way there.
    pub held_millis: u64,
    /// Of that, instances that nothing runs on.
    pub empty_instances: usize,
}

/// Moves in progress, and what was learned from earlier ones.
#[derive(Debug, Clone)]
pub struct PoolPlanner {
    /// Calls that the provider takes, a second.
    calls_per_s: f64,
    /// Calls that may be made now.
    saved_calls: f64,
    planned_ms: u64,
    seen: IndexMap<PoolName, PoolView>,
    moving: IndexMap<InstanceName, Moving>,
    surplus_since_ms: IndexMap<PoolName, u64>,
    not_allowed: IndexSet<(InstanceName, PoolName)>,
}

/// A pool with its members.
#[derive(Debug, Default)]
struct PoolState {
    demand: PoolDemand,
    wanted_millis: u64,
    held_millis: u64,
    /// Members that nothing runs on, with what each offers.
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

    fn lack_millis(&self) -> u64 {
        if self.is_standby { 0 } else { self.wanted_millis.saturating_sub(self.held_millis) }
    }

    fn can_give(&self, millis: u64) -> bool {
        self.is_standby || self.held_millis >= self.wanted_millis + millis
    }
}

impl PoolPlanner {
    /// Makes a planner for a provider that takes so many calls a second.
    pub fn new(calls_per_s: f64) -> Self {
        Self {
            calls_per_s,
            saved_calls: 0.0,
            planned_ms: 0,
            seen: IndexMap::new(),
            moving: IndexMap::new(),
            surplus_since_ms: IndexMap::new(),
            not_allowed: IndexSet::new(),
        }
    }

    /// Returns how many calls this round may make.
    fn allowed_calls(&mut self, now_ms: u64) -> usize {
        let elapsed_ms = now_ms.saturating_sub(self.planned_ms) as f64;
        self.planned_ms = now_ms;
        let per_ms = self.calls_per_s * RATE_PART / 1_000.0;
        self.saved_calls = (self.saved_calls + elapsed_ms * per_ms).min(SAVED_MS * per_ms).max(1.0);
        self.saved_calls as usize
    }

    /// Decides the moves of this round; the workers of the instances to be moved
    /// are cordoned. `fixed` tells which instances can't be moved now, and why.
    pub fn plan(
        &mut self,
        machines: &IndexMap<InstanceName, MachineView>,
        fixed: impl Fn(&InstanceName) -> Option<MoveBlocker>,
        board: &mut Board,
        config: &FleetConfig,
        now_ms: u64,
    ) -> Vec<MoveCall> {
        self.note_arrived(machines, board, now_ms);
        let mut pools = self.pools(machines, fixed, board, config, now_ms);
        board.set_attainable_millis(reach(&pools));
        self.seen = pools.iter().map(|(name, pool)| (name.clone(), pool.view())).collect();
        let allowed = self.allowed_calls(now_ms);
        let mut calls = Vec::new();
        while calls.len() < allowed {
            let Some(call) = self.next_move(&mut pools, machines) else { break };
            calls.push(call);
        }
        let left = allowed - calls.len();
        calls.extend(self.rest_surplus(&mut pools, machines, left, now_ms));
        self.saved_calls -= calls.len() as f64;
        for call in &calls {
            let (to, worker) = (call.to.clone(), call.worker.clone());
            if let Some(worker) = &worker {
                board.cordon(worker, true);
            }
            self.moving.insert(call.instance.clone(), Moving { to, since_ms: now_ms, worker });
        }
        calls
    }

    /// Notes how a call ended.
    pub fn record_call(&mut self, call: &MoveCall, outcome: MoveOutcome, board: &mut Board) {
        match outcome {
            MoveOutcome::Begun | MoveOutcome::Unknown => return,
            MoveOutcome::NotAllowed => {
                self.not_allowed.insert((call.instance.clone(), call.to.clone()));
            }
            MoveOutcome::Refused => {}
        }
        self.moving.swap_remove(&call.instance);
        if let Some(worker) = &call.worker {
            board.cordon(worker, false);
        }
    }

    /// Returns the pools as the last round saw them, before its moves.
    pub fn pool_views(&self) -> &IndexMap<PoolName, PoolView> {
        &self.seen
    }

    fn note_arrived(
        &mut self,
        machines: &IndexMap<InstanceName, MachineView>,
        board: &mut Board,
        now_ms: u64,
    ) {
        self.moving.retain(|name, moving| {
            let Some(machine) = machines.get(name) else { return false };
            let is_there = machine.is_up() && machine.pool == moving.to;
            let is_given_up = now_ms > moving.since_ms + GIVE_UP_MS;
            if is_given_up
                && !is_there
                && let Some(worker) = &moving.worker
            {
                board.cordon(worker, false);
            }
            !is_there && !is_given_up
        });
    }

    fn pools(
        &self,
        machines: &IndexMap<InstanceName, MachineView>,
        fixed: impl Fn(&InstanceName) -> Option<MoveBlocker>,
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
        for (name, machine) in machines {
            let millis = machine.capacity_millis;
            if let Some(moving) = self.moving.get(name) {
                if let Some(pool) = pools.get_mut(&moving.to) {
                    pool.held_millis += millis;
                }
                continue;
            }
            let Some(pool) = pools.get_mut(&machine.pool) else { continue };
            let fixed = fixed(name);
            if !machine.is_up() || fixed == Some(MoveBlocker::Draining) {
                continue;
            }
            let worker = machine.worker.as_ref().and_then(|id| board.workers.get(id));
            let is_sound = worker.is_some_and(|worker| worker.is_schedulable(now_ms));
            if is_sound || pool.is_standby {
                pool.held_millis += millis;
                let is_empty = worker.is_none_or(|worker| worker.placements.is_empty());
                if is_empty && fixed.is_none() {
                    pool.empty.push((name.clone(), millis));
                }
            }
            let most = largest.entry(machine.pool.clone()).or_default();
            *most = (*most).max(millis);
        }
        for (name, pool) in pools.iter_mut().filter(|(_, pool)| !pool.is_standby) {
            pool.wanted_millis += SPARE_INSTANCES * largest.get(name).copied().unwrap_or_default();
        }
        pools
    }

    /// Gives the pool that lacks most the best donor's instance.
    fn next_move(
        &self,
        pools: &mut IndexMap<PoolName, PoolState>,
        machines: &IndexMap<InstanceName, MachineView>,
    ) -> Option<MoveCall> {
        let mut lacking: Vec<(u64, PoolName)> = pools
            .iter()
            .filter(|(_, pool)| pool.lack_millis() > 0)
            .map(|(name, pool)| (pool.lack_millis(), name.clone()))
            .collect();
        lacking.sort();
        for (_, to) in lacking.into_iter().rev() {
            if let Some((from, instance, millis)) = self.donor(pools, &to) {
                take(pools, &from, &instance, millis);
                pools[&to].held_millis += millis;
                let worker = machines[&instance].worker.clone();
                return Some(MoveCall { instance, worker, from, to });
            }
        }
        None
    }

    /// Returns an empty instance that a pool can spare, from standby first.
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
            if !pool.can_give(*millis) {
                continue;
            }
            let rank = (pool.is_standby, pool.held_millis.saturating_sub(pool.wanted_millis));
            if best.as_ref().is_none_or(|(other, ..)| *other < rank) {
                best = Some((rank, from.clone(), instance.clone(), *millis));
            }
        }
        best.map(|(_, from, instance, millis)| (from, instance, millis))
    }

    /// Puts instances on standby that their pools had too many of for some time.
    fn rest_surplus(
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
                pools[&from].empty.iter().find(|(_, millis)| pools[&from].can_give(*millis));
            let Some((_, millis)) = spare.cloned() else {
                self.surplus_since_ms.swap_remove(&from);
                continue;
            };
            let since_ms = *self.surplus_since_ms.entry(from.clone()).or_insert(now_ms);
            if now_ms < since_ms + SURPLUS_MS {
                continue;
            }
            while pools[&from].can_give(millis) && calls.len() < allowed {
                let Some((instance, millis)) = pools[&from].empty.last().cloned() else { break };
                take(pools, &from, &instance, millis);
                let worker = machines[&instance].worker.clone();
                let (from, to) = (from.clone(), to.clone());
                calls.push(MoveCall { instance, worker, from, to });
            }
        }
        calls
    }
}

/// Returns what each pool has and what the empty instances of others would add.
fn reach(pools: &IndexMap<PoolName, PoolState>) -> IndexMap<PoolName, u64> {
    let spare = |pool: &PoolState| {
        let empty: u64 = pool.empty.iter().map(|(_, millis)| millis).sum();
        let surplus = pool.held_millis.saturating_sub(pool.wanted_millis);
        if pool.is_standby { empty } else { empty.min(surplus) }
    };
    let all: u64 = pools.values().map(spare).sum();
    let lacking = pools.values().filter(|pool| pool.lack_millis() > 0).count().max(1) as u64;
    let reach = pools.iter().filter(|(_, pool)| !pool.is_standby).map(|(name, pool)| {
        (name.clone(), pool.held_millis + (all - spare(pool).min(all)) / lacking)
    });
    reach.collect()
}

fn take(
    pools: &mut IndexMap<PoolName, PoolState>,
    from: &PoolName,
    instance: &InstanceName,
    millis: u64,
) {
    let pool = &mut pools[from];
    pool.held_millis = pool.held_millis.saturating_sub(millis);
    pool.empty.retain(|(name, _)| name != instance);
}
