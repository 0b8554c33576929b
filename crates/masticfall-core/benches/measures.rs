//! Four measures of both deployments, compared with baselines in simulated time.
//!
//! Five services have 8 to 12 instances with 8 slots each; the spare pool has 6
//! instances. The services peak in turn: demand is five times the mean during a
//! peak and a twentieth of it otherwise. Two of the six teams are large. A
//! wave over all instances starts after ten minutes.
//!
//! - Buffer cost: slots that are available and idle, in percent of all slots.
//! - Roll-out time: duration of the wave, and the minimum with one rack at a time
//!   per data centre.
//! - Moves: instances that changed pools, per hour.
//! - Attainment (columns `near %` and `nearest low`): slots that a team received in
//!   a window of ten seconds, in percent of its weighted max-min fair share of all
//!   slots of the fleet; mean, and minimum over all teams and windows.

use indexmap::{IndexMap, IndexSet};
use masticfall_core::config::Weighting;
use masticfall_core::id::{DataCentre, InstanceName, Name, PoolName, WaveName};
use masticfall_core::instance::{InstanceFacts, InstanceKind, InstanceRow, InstanceState, Purpose};
use masticfall_core::sizing::{DecayingPeak, PoolSnapshot, SizingPolicy, plan_moves};
use masticfall_core::wave::{Budget, WaveRow, WaveState, WaveView, next_instances};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TICK_MS: u64 = 250;
const DURATION_MS: u64 = 3_600_000;
const WAVE_START_MS: u64 = 600_000;
const WINDOW_MS: u64 = 10_000;
const PLAN_INTERVAL_MS: u64 = 1_000;
const DRAIN_MS: u64 = 2_000;
const REBOOT_MS: u64 = 60_000;
const SLOTS_PER_INSTANCE: f64 = 8.0;
const SPARE_POOL: &str = "spare";
const SPARE_POOL_SIZE: usize = 6;
const POOL_SIZES: [usize; 5] = [8, 9, 10, 11, 12];
const MIN_AVAILABLE_PERCENT: u32 = 80;
const TEAM_SHARES: [f64; 6] = [8.0, 8.0, 3.0, 4.0, 2.0, 1.0];
/// Mean demand of a service, as a fraction of the slots of its pool.
const MEAN_LOAD: f64 = 0.35;

/// One of the deployments that the requirements describe.
#[derive(Debug, Clone, Copy)]
struct Deployment {
    name: &'static str,
    data_centres: usize,
    weighting: Weighting,
    /// Duration of a peak.
    peak_ms: u64,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "arriaga",
        data_centres: 4,
        weighting: Weighting::Disruption,
        peak_ms: 12_000,
    },
    Deployment { name: "hobart", data_centres: 3, weighting: Weighting::Share, peak_ms: 20_000 },
];

/// How instances are moved and waves are run.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Strategy {
    Planned,
    StaticPools,
    GreedyMoves,
    OneAtATime,
}

struct Fleet {
    deployment: Deployment,
    strategy: Strategy,
    rng: StdRng,
    instances: IndexMap<InstanceName, InstanceRow>,
    /// When each instance entered its current state.
    state_since_ms: IndexMap<InstanceName, u64>,
    live: IndexSet<InstanceName>,
    demand_peaks: IndexMap<PoolName, DecayingPeak>,
    wave: WaveRow,
    wave_ended_ms: Option<u64>,
    totals: Totals,
    window: Window,
}

/// Totals of one run.
#[derive(Debug, Default)]
struct Totals {
    idle_slots: f64,
    ticks: f64,
    moves: u64,
    attainment_sum_percent: f64,
    attainment_samples: f64,
    min_attainment_percent: f64,
    budget_violations: u64,
}

/// Slots that each team received and was entitled to in the current window.
#[derive(Debug, Default)]
struct Window {
    received: [f64; TEAM_SHARES.len()],
    entitled: [f64; TEAM_SHARES.len()],
}

fn pool_name(index: usize) -> PoolName {
    PoolName::from(format!("service-{index}"))
}

/// Returns the weighted max-min fair allocation of `capacity`.
fn max_min(capacity: f64, demands: &[f64; TEAM_SHARES.len()]) -> [f64; TEAM_SHARES.len()] {
    let mut allocated = [0.0; TEAM_SHARES.len()];
    let mut remaining = capacity;
    for _ in 0..TEAM_SHARES.len() {
        let is_unsatisfied = |index: &usize| allocated[*index] + 1e-9 < demands[*index];
        let unsatisfied: Vec<usize> = (0..TEAM_SHARES.len()).filter(is_unsatisfied).collect();
        let weight: f64 = unsatisfied.iter().map(|index| TEAM_SHARES[*index]).sum();
        if unsatisfied.is_empty() || remaining < 1e-9 {
            break;
        }
        let round_capacity = remaining;
        for index in unsatisfied {
            let allocation = (round_capacity * TEAM_SHARES[index] / weight)
                .min(demands[index] - allocated[index]);
            allocated[index] += allocation;
            remaining -= allocation;
        }
    }
    allocated
}

impl Fleet {
    fn new(deployment: Deployment, strategy: Strategy) -> Self {
        let mut instances = IndexMap::new();
        let sizes = POOL_SIZES.iter().enumerate().map(|(index, size)| (pool_name(index), *size));
        for (pool, size) in sizes.chain([(PoolName::from(SPARE_POOL), SPARE_POOL_SIZE)]) {
            for _ in 0..size {
                let index = instances.len();
                let name = InstanceName::from(format!("i{index}"));
                instances
                    .insert(name, InstanceRow::joining(facts(index, &deployment), pool.clone()));
            }
        }
        let live: IndexSet<InstanceName> = instances.keys().cloned().collect();
        let wave = WaveRow::new(live.clone(), 2, Name::from("bench"));
        Self {
            deployment,
            strategy,
            rng: StdRng::seed_from_u64(9),
            state_since_ms: live.iter().map(|name| (name.clone(), 0)).collect(),
            instances,
            live,
            demand_peaks: IndexMap::new(),
            wave,
            wave_ended_ms: None,
            totals: Totals { min_attainment_percent: 100.0, ..Totals::default() },
            window: Window::default(),
        }
    }

    fn policy(&self) -> SizingPolicy {
        let policy = SizingPolicy::of(self.deployment.weighting);
        match self.strategy {
            // Follows every change at once, without hysteresis or buffer.
            Strategy::GreedyMoves => SizingPolicy {
                peak_decay_ms: 1.0,
                min_shortfall: 1,
                retained_surplus: 0,
                min_stay_ms: 0,
                buffer_percent: 0,
            },
            _ => policy,
        }
    }

    fn available(&self, pool: &PoolName) -> u32 {
        let members = self.instances.values().filter(|row| row.pool == *pool && row.takes_work());
        members.count() as u32
    }

    /// Returns the demand per service and team, in slots.
    fn demand(&mut self, now_ms: u64) -> Vec<[f64; TEAM_SHARES.len()]> {
        let peak_pool = (now_ms / self.deployment.peak_ms) as usize % POOL_SIZES.len();
        let total: f64 = TEAM_SHARES.iter().sum();
        let services = POOL_SIZES.iter().enumerate().map(|(index, size)| {
            let mean = *size as f64 * SLOTS_PER_INSTANCE * MEAN_LOAD;
            let load_factor = if index == peak_pool { 5.0 } else { 0.05 };
            let mut team_demands = [0.0; TEAM_SHARES.len()];
            for (team, share) in TEAM_SHARES.iter().enumerate() {
                // Small teams ask for more than their share, large ones for less.
                let skew = if *share > total / 6.0 { 0.7 } else { 1.6 };
                let noise = self.rng.random_range(0.8..1.2);
                team_demands[team] = mean * load_factor * share / total * skew * noise;
            }
            team_demands
        });
        services.collect()
    }

    fn tick(&mut self, now_ms: u64) {
        self.advance(now_ms);
        let demand = self.demand(now_ms);
        self.serve(&demand);
        for (index, team_demands) in demand.iter().enumerate() {
            let peak_decay_ms = self.policy().peak_decay_ms;
            let instances = team_demands.iter().sum::<f64>() / SLOTS_PER_INSTANCE;
            let demand_peak = self.demand_peaks.entry(pool_name(index)).or_default();
            demand_peak.observe(instances, peak_decay_ms, now_ms);
        }
        if now_ms.is_multiple_of(PLAN_INTERVAL_MS) {
            self.plan(now_ms);
        }
        if now_ms.is_multiple_of(WINDOW_MS) {
            self.close_window();
        }
    }

    /// Advances the states of instances that are out of service.
    fn advance(&mut self, now_ms: u64) {
        for (name, row) in &mut self.instances {
            let since_ms = self.state_since_ms[name];
            let entered_next_state = match row.state {
                InstanceState::Leaving if now_ms >= since_ms + DRAIN_MS => row.drained().is_ok(),
                InstanceState::Drained => row.advance(1).is_ok(),
                InstanceState::Rebooting if now_ms >= since_ms + REBOOT_MS => {
                    row.rebooted(2).is_ok()
                }
                _ => false,
            };
            if entered_next_state {
                self.state_since_ms.insert(name.clone(), now_ms);
            }
            if entered_next_state && row.state == InstanceState::InPool {
                self.wave.finished(name);
            }
        }
        if self.wave.state == WaveState::Done {
            self.wave_ended_ms.get_or_insert(now_ms);
        }
    }

    fn serve(&mut self, demand: &[[f64; TEAM_SHARES.len()]]) {
        let mut total_demands = [0.0; TEAM_SHARES.len()];
        let mut service_slots = 0.0;
        for (index, team_demands) in demand.iter().enumerate() {
            let slots = f64::from(self.available(&pool_name(index))) * SLOTS_PER_INSTANCE;
            let allocated = max_min(slots, team_demands);
            for team in 0..TEAM_SHARES.len() {
                self.window.received[team] += allocated[team];
                total_demands[team] += team_demands[team];
            }
            self.totals.idle_slots += slots - allocated.iter().sum::<f64>();
            service_slots += slots;
        }
        let spare_slots =
            f64::from(self.available(&PoolName::from(SPARE_POOL))) * SLOTS_PER_INSTANCE;
        self.totals.idle_slots += spare_slots;
        self.totals.ticks += 1.0;
        let entitled = max_min(service_slots + spare_slots, &total_demands);
        for (team, entitled) in entitled.iter().enumerate() {
            self.window.entitled[team] += entitled;
        }
    }

    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        for (received, entitled) in window.received.iter().zip(window.entitled) {
            if entitled > 0.0 {
                let attainment_percent = 100.0 * (received / entitled).min(1.0);
                self.totals.attainment_sum_percent += attainment_percent;
                self.totals.attainment_samples += 1.0;
                self.totals.min_attainment_percent =
                    self.totals.min_attainment_percent.min(attainment_percent);
            }
        }
    }

    fn plan(&mut self, now_ms: u64) {
        if now_ms >= WAVE_START_MS {
            self.run_wave(now_ms);
        }
        if self.strategy != Strategy::StaticPools {
            self.run_moves(now_ms);
        }
        self.count_budget_violations();
    }

    fn budgets() -> IndexMap<PoolName, u32> {
        let pools = (0..POOL_SIZES.len()).map(|index| (pool_name(index), MIN_AVAILABLE_PERCENT));
        pools.chain([(PoolName::from(SPARE_POOL), 0)]).collect()
    }

    fn run_wave(&mut self, now_ms: u64) {
        let budgets = Self::budgets();
        let mut taken_out = Vec::new();
        for index in 0..self.deployment.data_centres {
            let data_centre = DataCentre::from(format!("dc-{index}"));
            let view = WaveView {
                instances: &self.instances,
                live: &self.live,
                min_available_percent: &budgets,
                data_centre: &data_centre,
            };
            for name in next_instances(&self.wave, &view) {
                let has_active = !self.wave.active.is_empty() || !taken_out.is_empty();
                if self.strategy == Strategy::OneAtATime && has_active {
                    break;
                }
                // Rechecked, because this loop may have taken out others of the pool.
                if self.headroom(&self.instances[&name].pool) > 0 {
                    self.leave(&name, Purpose::Maintain(WaveName::from("w")), now_ms);
                    self.wave.started(&name);
                    taken_out.push(name);
                }
            }
        }
    }

    fn headroom(&self, pool: &PoolName) -> u32 {
        let members: Vec<_> = self.instances.values().filter(|row| row.pool == *pool).collect();
        let unavailable = members.iter().filter(|row| !row.takes_work()).count() as u32;
        let percent = Self::budgets()[pool];
        Budget::of(members.len(), percent).max_unavailable.saturating_sub(unavailable)
    }

    fn leave(&mut self, name: &InstanceName, purpose: Purpose, now_ms: u64) {
        if let Some(row) = self.instances.get_mut(name)
            && row.leave(purpose).is_ok()
        {
            self.state_since_ms.insert(name.clone(), now_ms);
        }
    }

    fn run_moves(&mut self, now_ms: u64) {
        let policy = self.policy();
        let mut snapshots = IndexMap::new();
        for pool in Self::budgets().into_keys() {
            let candidate_count = self.move_candidates(&pool, now_ms, &policy).len() as u32;
            snapshots.insert(pool.clone(), self.snapshot(&pool, candidate_count));
        }
        for planned in plan_moves(&snapshots, &policy) {
            let candidates = self.move_candidates(&planned.from, now_ms, &policy);
            if let Some(name) = candidates.into_iter().next()
                && self.headroom(&planned.from) > 0
            {
                self.leave(&name, Purpose::Move(planned.to), now_ms);
                self.totals.moves += 1;
            }
        }
    }

    /// Returns the available instances of a pool that have stayed for the minimum time,
    /// which does not apply to the spare pool.
    fn move_candidates(
        &self,
        pool: &PoolName,
        now_ms: u64,
        policy: &SizingPolicy,
    ) -> Vec<InstanceName> {
        let members = self.instances.iter().filter(|(name, row)| {
            let has_stayed = now_ms >= self.state_since_ms[*name] + policy.min_stay_ms;
            row.pool == *pool && row.takes_work() && (has_stayed || pool.as_str() == SPARE_POOL)
        });
        members.map(|(name, _)| name.clone()).collect()
    }

    fn snapshot(&self, pool: &PoolName, candidate_count: u32) -> PoolSnapshot {
        let arriving = self
            .instances
            .values()
            .filter(|row| matches!(&row.purpose, Some(Purpose::Move(to)) if to == pool));
        let mut racks: IndexMap<&Name, u32> = IndexMap::new();
        for row in self.instances.values().filter(|row| row.pool == *pool) {
            *racks.entry(&row.facts.rack).or_default() += 1;
        }
        PoolSnapshot {
            available: self.available(pool),
            arriving: arriving.count() as u32,
            demand: self.demand_peaks.get(pool).map_or(0.0, DecayingPeak::peak),
            largest_rack: racks.values().copied().max().unwrap_or(0),
            movable: candidate_count.min(self.headroom(pool)),
            is_spare: pool.as_str() == SPARE_POOL,
        }
    }

    fn count_budget_violations(&mut self) {
        for pool in Self::budgets().into_keys() {
            let size = self.instances.values().filter(|row| row.pool == pool).count();
            let unavailable = size as u32 - self.available(&pool);
            let allowed = Budget::of(size, Self::budgets()[&pool]).max_unavailable;
            self.totals.budget_violations += u64::from(unavailable > allowed);
        }
    }
}

fn facts(index: usize, deployment: &Deployment) -> InstanceFacts {
    InstanceFacts {
        kind: InstanceKind::Target,
        data_centre: DataCentre::from(format!("dc-{}", index % deployment.data_centres)),
        rack: Name::from(format!("rack-{}", index / deployment.data_centres / 4)),
        address: Name::from("127.0.0.1:1"),
        cores: 1,
        memory_mib: 1,
        accelerators: 0,
    }
}

/// Returns the minimum duration of a wave with one rack at a time per data centre.
fn min_rollout_ms(deployment: &Deployment) -> u64 {
    let instances = POOL_SIZES.iter().sum::<usize>() + SPARE_POOL_SIZE;
    let per_data_centre = instances.div_ceil(deployment.data_centres);
    let racks = per_data_centre.div_ceil(4) as u64;
    racks * (DRAIN_MS + REBOOT_MS)
}

struct Measures {
    buffer_percent: f64,
    rollout_s: f64,
    moves_per_h: f64,
    mean_attainment_percent: f64,
    min_attainment_percent: f64,
}

fn simulate(deployment: Deployment, strategy: Strategy) -> Measures {
    let mut fleet = Fleet::new(deployment, strategy);
    for tick in 1..=DURATION_MS / TICK_MS {
        fleet.tick(tick * TICK_MS);
    }
    let totals = &fleet.totals;
    assert_eq!(totals.budget_violations, 0, "{strategy:?} violated an availability budget");
    let slots = (POOL_SIZES.iter().sum::<usize>() + SPARE_POOL_SIZE) as f64 * SLOTS_PER_INSTANCE;
    let ended_ms = fleet.wave_ended_ms.unwrap_or(DURATION_MS);
    Measures {
        buffer_percent: 100.0 * totals.idle_slots / totals.ticks / slots,
        rollout_s: (ended_ms - WAVE_START_MS) as f64 / 1_000.0,
        moves_per_h: totals.moves as f64 * 3_600_000.0 / DURATION_MS as f64,
        mean_attainment_percent: totals.attainment_sum_percent / totals.attainment_samples,
        min_attainment_percent: totals.min_attainment_percent,
    }
}

fn main() {
    println!(
        "{:<9} {:<12} {:>9} {:>12} {:>9} {:>9} {:>10} {:>11}",
        "fleet", "way", "buffer %", "roll-out s", "least s", "moves/h", "near %", "nearest low"
    );
    for deployment in DEPLOYMENTS {
        let min_rollout_s = min_rollout_ms(&deployment) as f64 / 1_000.0;
        for strategy in
            [Strategy::Planned, Strategy::StaticPools, Strategy::GreedyMoves, Strategy::OneAtATime]
        {
            let measures = simulate(deployment, strategy);
            println!(
                "{:<9} {:<12} {:>9.1} {:>12.0} {:>9.0} {:>9.0} {:>10.1} {:>11.1}",
                deployment.name,
                format!("{strategy:?}"),
                measures.buffer_percent,
                measures.rollout_s,
                min_rollout_s,
                measures.moves_per_h,
                measures.mean_attainment_percent,
                measures.min_attainment_percent
            );
        }
    }
}
