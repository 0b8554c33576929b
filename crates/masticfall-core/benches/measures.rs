//! The four measures of both deployments beside baselines, on simulated time.
//!
//! Five services of 8 to 12 instances with 8 slots each and a spare pool of 6.
//! Queues peak in turn: five times the mean, a twentieth of it in between. Six
//! teams, two large. A wave over every instance starts after ten minutes.
//!
//! - Buffer cost: slots that are available and idle, in percent of all.
//! - Roll-out time: length of the wave, beside the least that the budgets allow.
//! - Moves: instances that changed pools, for each hour.
//! - Nearness: what teams got in windows of ten seconds, in percent of what the
//!   whole fleet's slots would have given them by weighted max-min; the mean,
//!   and the lowest of any team and window.

use indexmap::{IndexMap, IndexSet};
use masticfall_core::config::Weighting;
use masticfall_core::id::{DataCentre, InstanceName, Name, PoolName, WaveName};
use masticfall_core::instance::{InstanceFacts, InstanceKind, InstanceRow, InstanceState, Purpose};
use masticfall_core::sizing::{DecayingPeak, PoolSnapshot, SizingPolicy, plan_moves};
use masticfall_core::wave::{Budget, WaveRow, WaveState, WaveView, next_instances};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TICK_MS: u64 = 250;
const LENGTH_MS: u64 = 3_600_000;
const WAVE_FROM_MS: u64 = 600_000;
const WINDOW_MS: u64 = 10_000;
const PLAN_MS: u64 = 1_000;
const DRAIN_MS: u64 = 2_000;
const REBOOT_MS: u64 = 60_000;
const SLOTS: f64 = 8.0;
const SPARE: &str = "spare";
const SPARE_SIZE: usize = 6;
const POOL_SIZES: [usize; 5] = [8, 9, 10, 11, 12];
const MIN_AVAILABLE_PERCENT: u32 = 80;
const SHARES: [f64; 6] = [8.0, 8.0, 3.0, 4.0, 2.0, 1.0];
/// Mean demand of a service in slots, for each slot of its pool.
const MEAN_LOAD: f64 = 0.35;

/// A fleet of the brief.
#[derive(Debug, Clone, Copy)]
struct Deployment {
    name: &'static str,
    data_centres: usize,
    weighting: Weighting,
    /// Length of a peak.
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

/// How pools and waves are run.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    Planned,
    StaticPools,
    GreedyMoves,
    OneAtATime,
}

struct Fleet {
    deployment: Deployment,
    way: Way,
    rng: StdRng,
    instances: IndexMap<InstanceName, InstanceRow>,
    /// When each instance's present step ends, or when it joined its pool.
    since_ms: IndexMap<InstanceName, u64>,
    live: IndexSet<InstanceName>,
    forecasts: IndexMap<PoolName, DecayingPeak>,
    wave: WaveRow,
    wave_ended_ms: Option<u64>,
    figures: Figures,
    window: Window,
}

/// What a run measured.
#[derive(Debug, Default)]
struct Figures {
    idle_slots: f64,
    ticks: f64,
    moves: u64,
    nearness_sum: f64,
    nearness_count: f64,
    nearness_least: f64,
    budget_breaches: u64,
}

/// Slots that teams got and were entitled to in the present window.
#[derive(Debug, Default)]
struct Window {
    got: [f64; SHARES.len()],
    entitled: [f64; SHARES.len()],
}

fn pool_name(index: usize) -> PoolName {
    PoolName::from(format!("service-{index}"))
}

/// Divides `capacity` by weighted max-min among demands.
fn max_min(capacity: f64, demands: &[f64; SHARES.len()]) -> [f64; SHARES.len()] {
    let mut given = [0.0; SHARES.len()];
    let mut left = capacity;
    for _ in 0..SHARES.len() {
        let open = |index: &usize| given[*index] + 1e-9 < demands[*index];
        let hungry: Vec<usize> = (0..SHARES.len()).filter(open).collect();
        let weight: f64 = hungry.iter().map(|index| SHARES[*index]).sum();
        if hungry.is_empty() || left < 1e-9 {
            break;
        }
        let round = left;
        for index in hungry {
            let part = (round * SHARES[index] / weight).min(demands[index] - given[index]);
            given[index] += part;
            left -= part;
        }
    }
    given
}

impl Fleet {
    fn new(deployment: Deployment, way: Way) -> Self {
        let mut instances = IndexMap::new();
        let sizes = POOL_SIZES.iter().enumerate().map(|(index, size)| (pool_name(index), *size));
        for (pool, size) in sizes.chain([(PoolName::from(SPARE), SPARE_SIZE)]) {
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
            way,
            rng: StdRng::seed_from_u64(9),
            since_ms: live.iter().map(|name| (name.clone(), 0)).collect(),
            instances,
            live,
            forecasts: IndexMap::new(),
            wave,
            wave_ended_ms: None,
            figures: Figures { nearness_least: 100.0, ..Figures::default() },
            window: Window::default(),
        }
    }

    fn eagerness(&self) -> SizingPolicy {
        let eagerness = SizingPolicy::of(self.deployment.weighting);
        match self.way {
            // Follows every change at once, without hysteresis or buffer.
            Way::GreedyMoves => SizingPolicy {
                peak_decay_ms: 1.0,
                min_shortfall: 1,
                retained_surplus: 0,
                min_stay_ms: 0,
                buffer_percent: 0,
            },
            _ => eagerness,
        }
    }

    fn available(&self, pool: &PoolName) -> u32 {
        let members = self.instances.values().filter(|row| row.pool == *pool && row.takes_work());
        members.count() as u32
    }

    /// Returns each service's demand of each team, in slots.
    fn demand(&mut self, now_ms: u64) -> Vec<[f64; SHARES.len()]> {
        let turn = (now_ms / self.deployment.peak_ms) as usize % POOL_SIZES.len();
        let total: f64 = SHARES.iter().sum();
        let services = POOL_SIZES.iter().enumerate().map(|(index, size)| {
            let mean = *size as f64 * SLOTS * MEAN_LOAD;
            let level = if index == turn { 5.0 } else { 0.05 };
            let mut of_team = [0.0; SHARES.len()];
            for (team, share) in SHARES.iter().enumerate() {
                // Small teams ask for more than their share, large ones for less.
                let skew = if *share > total / 6.0 { 0.7 } else { 1.6 };
                let noise = self.rng.random_range(0.8..1.2);
                of_team[team] = mean * level * share / total * skew * noise;
            }
            of_team
        });
        services.collect()
    }

    fn tick(&mut self, now_ms: u64) {
        self.advance(now_ms);
        let demand = self.demand(now_ms);
        self.serve(&demand);
        for (index, of_team) in demand.iter().enumerate() {
            let peak_decay_ms = self.eagerness().peak_decay_ms;
            let instances = of_team.iter().sum::<f64>() / SLOTS;
            let forecast = self.forecasts.entry(pool_name(index)).or_default();
            forecast.observe(instances, peak_decay_ms, now_ms);
        }
        if now_ms.is_multiple_of(PLAN_MS) {
            self.plan(now_ms);
        }
        if now_ms.is_multiple_of(WINDOW_MS) {
            self.close_window();
        }
    }

    /// Takes instances that are on their way a step further.
    fn advance(&mut self, now_ms: u64) {
        for (name, row) in &mut self.instances {
            let since_ms = self.since_ms[name];
            let step = match row.state {
                InstanceState::Leaving if now_ms >= since_ms + DRAIN_MS => row.drained().is_ok(),
                InstanceState::Drained => row.advance(1).is_ok(),
                InstanceState::Rebooting if now_ms >= since_ms + REBOOT_MS => {
                    row.rebooted(2).is_ok()
                }
                _ => false,
            };
            if step {
                self.since_ms.insert(name.clone(), now_ms);
            }
            if step && row.state == InstanceState::InPool {
                self.wave.finished(name);
            }
        }
        if self.wave.state == WaveState::Done {
            self.wave_ended_ms.get_or_insert(now_ms);
        }
    }

    fn serve(&mut self, demand: &[[f64; SHARES.len()]]) {
        let mut wanted = [0.0; SHARES.len()];
        let mut all_slots = 0.0;
        for (index, of_team) in demand.iter().enumerate() {
            let slots = f64::from(self.available(&pool_name(index))) * SLOTS;
            let given = max_min(slots, of_team);
            for team in 0..SHARES.len() {
                self.window.got[team] += given[team];
                wanted[team] += of_team[team];
            }
            self.figures.idle_slots += slots - given.iter().sum::<f64>();
            all_slots += slots;
        }
        let spare = f64::from(self.available(&PoolName::from(SPARE))) * SLOTS;
        self.figures.idle_slots += spare;
        self.figures.ticks += 1.0;
        let entitled = max_min(all_slots + spare, &wanted);
        for (team, entitled) in entitled.iter().enumerate() {
            self.window.entitled[team] += entitled;
        }
    }

    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        for (got, entitled) in window.got.iter().zip(window.entitled) {
            if entitled > 0.0 {
                let nearness = 100.0 * (got / entitled).min(1.0);
                self.figures.nearness_sum += nearness;
                self.figures.nearness_count += 1.0;
                self.figures.nearness_least = self.figures.nearness_least.min(nearness);
            }
        }
    }

    fn plan(&mut self, now_ms: u64) {
        if now_ms >= WAVE_FROM_MS {
            self.run_wave(now_ms);
        }
        if self.way != Way::StaticPools {
            self.run_moves(now_ms);
        }
        self.check_budgets();
    }

    fn budgets() -> IndexMap<PoolName, u32> {
        let pools = (0..POOL_SIZES.len()).map(|index| (pool_name(index), MIN_AVAILABLE_PERCENT));
        pools.chain([(PoolName::from(SPARE), 0)]).collect()
    }

    fn run_wave(&mut self, now_ms: u64) {
        let budgets = Self::budgets();
        let mut picked = Vec::new();
        for index in 0..self.deployment.data_centres {
            let data_centre = DataCentre::from(format!("dc-{index}"));
            let view = WaveView {
                instances: &self.instances,
                live: &self.live,
                min_available_percent: &budgets,
                data_centre: &data_centre,
            };
            for name in next_instances(&self.wave, &view) {
                let one_out = !self.wave.active.is_empty() || !picked.is_empty();
                if self.way == Way::OneAtATime && one_out {
                    break;
                }
                // Each is checked against those that were taken out before it.
                if self.headroom(&self.instances[&name].pool) > 0 {
                    self.leave(&name, Purpose::Maintain(WaveName::from("w")), now_ms);
                    self.wave.started(&name);
                    picked.push(name);
                }
            }
        }
    }

    fn headroom(&self, pool: &PoolName) -> u32 {
        let members: Vec<_> = self.instances.values().filter(|row| row.pool == *pool).collect();
        let out = members.iter().filter(|row| !row.takes_work()).count() as u32;
        let percent = Self::budgets()[pool];
        Budget::of(members.len(), percent).max_unavailable.saturating_sub(out)
    }

    fn leave(&mut self, name: &InstanceName, purpose: Purpose, now_ms: u64) {
        if let Some(row) = self.instances.get_mut(name)
            && row.leave(purpose).is_ok()
        {
            self.since_ms.insert(name.clone(), now_ms);
        }
    }

    fn run_moves(&mut self, now_ms: u64) {
        let eagerness = self.eagerness();
        let mut loads = IndexMap::new();
        for pool in Self::budgets().into_keys() {
            let stayed = self.stayed(&pool, now_ms, &eagerness).len() as u32;
            loads.insert(pool.clone(), self.load(&pool, stayed));
        }
        for one in plan_moves(&loads, &eagerness) {
            let candidates = self.stayed(&one.from, now_ms, &eagerness);
            if let Some(name) = candidates.into_iter().next()
                && self.headroom(&one.from) > 0
            {
                self.leave(&name, Purpose::Move(one.to), now_ms);
                self.figures.moves += 1;
            }
        }
    }

    /// Returns the instances of a pool that stayed long enough to move on.
    fn stayed(&self, pool: &PoolName, now_ms: u64, eagerness: &SizingPolicy) -> Vec<InstanceName> {
        let members = self.instances.iter().filter(|(name, row)| {
            let stayed = now_ms >= self.since_ms[*name] + eagerness.min_stay_ms;
            row.pool == *pool && row.takes_work() && (stayed || pool.as_str() == SPARE)
        });
        members.map(|(name, _)| name.clone()).collect()
    }

    fn load(&self, pool: &PoolName, stayed: u32) -> PoolSnapshot {
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
            demand: self.forecasts.get(pool).map_or(0.0, DecayingPeak::peak),
            largest_rack: racks.values().copied().max().unwrap_or(0),
            movable: stayed.min(self.headroom(pool)),
            is_spare: pool.as_str() == SPARE,
        }
    }

    fn check_budgets(&mut self) {
        for pool in Self::budgets().into_keys() {
            let size = self.instances.values().filter(|row| row.pool == pool).count();
            let out = size as u32 - self.available(&pool);
            let allowed = Budget::of(size, Self::budgets()[&pool]).max_unavailable;
            self.figures.budget_breaches += u64::from(out > allowed);
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

/// The least length of a wave that one rack at a time in each data centre allows.
fn least_roll_out_ms(deployment: &Deployment) -> u64 {
    let instances = POOL_SIZES.iter().sum::<usize>() + SPARE_SIZE;
    let per_data_centre = instances.div_ceil(deployment.data_centres);
    let racks = per_data_centre.div_ceil(4) as u64;
    racks * (DRAIN_MS + REBOOT_MS)
}

struct Row {
    buffer_percent: f64,
    roll_out_s: f64,
    moves_per_h: f64,
    nearness_mean: f64,
    nearness_least: f64,
}

fn simulate(deployment: Deployment, way: Way) -> Row {
    let mut fleet = Fleet::new(deployment, way);
    for tick in 1..=LENGTH_MS / TICK_MS {
        fleet.tick(tick * TICK_MS);
    }
    let figures = &fleet.figures;
    assert_eq!(figures.budget_breaches, 0, "{way:?} broke an availability budget");
    let slots = (POOL_SIZES.iter().sum::<usize>() + SPARE_SIZE) as f64 * SLOTS;
    let ended_ms = fleet.wave_ended_ms.unwrap_or(LENGTH_MS);
    Row {
        buffer_percent: 100.0 * figures.idle_slots / figures.ticks / slots,
        roll_out_s: (ended_ms - WAVE_FROM_MS) as f64 / 1_000.0,
        moves_per_h: figures.moves as f64 * 3_600_000.0 / LENGTH_MS as f64,
        nearness_mean: figures.nearness_sum / figures.nearness_count,
        nearness_least: figures.nearness_least,
    }
}

fn main() {
    println!(
        "{:<9} {:<12} {:>9} {:>12} {:>9} {:>9} {:>10} {:>11}",
        "fleet", "way", "buffer %", "roll-out s", "least s", "moves/h", "near %", "nearest low"
    );
    for deployment in DEPLOYMENTS {
        let least_s = least_roll_out_ms(&deployment) as f64 / 1_000.0;
        for way in [Way::Planned, Way::StaticPools, Way::GreedyMoves, Way::OneAtATime] {
            let row = simulate(deployment, way);
            println!(
                "{:<9} {:<12} {:>9.1} {:>12.0} {:>9.0} {:>9.0} {:>10.1} {:>11.1}",
                deployment.name,
                format!("{way:?}"),
                row.buffer_percent,
                row.roll_out_s,
                least_s,
                row.moves_per_h,
                row.nearness_mean,
                row.nearness_least
            );
        }
    }
}
