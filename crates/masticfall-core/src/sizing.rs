//! Pool sizing: how many instances each pool needs, and which moves are worth their cost.
//!
//! Pools peak at different times, so one pool lacks instances while others have
//! idle ones. A move costs a drain and disturbs running work; the fleet's
//! weighting sets how readily instances are moved.

use indexmap::IndexMap;

use crate::config::Weighting;
use crate::id::PoolName;

/// How readily instances are moved to follow demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizingPolicy {
    /// Time in which a recorded demand peak decays to about a third (1/e), in milliseconds.
    pub peak_decay_ms: f64,
    /// Minimum shortfall, in instances, for which a move is considered.
    pub min_shortfall: u32,
    /// Instances above its need that a pool keeps for itself.
    pub retained_surplus: u32,
    /// Minimum time for which an instance stays in a pool, in milliseconds.
    pub min_stay_ms: u64,
    /// Buffer per pool against the loss of its largest rack, in percent of that rack.
    pub buffer_percent: u32,
}

impl SizingPolicy {
    /// Returns the policy of a weighting.
    ///
    /// Where disruption weighs more, pools are sized for their recorded peaks
    /// and moves are rare. Where shares weigh more, instances follow demand
    /// within seconds.
    pub fn of(weighting: Weighting) -> Self {
        match weighting {
            Weighting::Disruption => Self {
                peak_decay_ms: 600_000.0,
                min_shortfall: 2,
                retained_surplus: 2,
                min_stay_ms: 600_000,
                buffer_percent: 100,
            },
            Weighting::Share => Self {
                peak_decay_ms: 1_000.0,
                min_shortfall: 2,
                retained_surplus: 0,
                min_stay_ms: 8_000,
                buffer_percent: 0,
            },
        }
    }
}

/// A pool's peak demand, which decays exponentially over time.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingPeak {
    peak: f64,
    observed_ms: u64,
}

impl DecayingPeak {
    /// Records the demand at `now_ms`, in instances.
    pub fn observe(&mut self, demand: f64, peak_decay_ms: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.observed_ms) as f64;
        self.peak = demand.max(self.peak * (-elapsed_ms / peak_decay_ms).exp());
        self.observed_ms = now_ms;
    }

    /// Returns the decayed peak at the last observation, in instances.
    pub fn peak(&self) -> f64 {
        self.peak
    }
}

/// The state of one pool that sizing decides on.
#[derive(Debug, Clone)]
pub struct PoolSnapshot {
    /// Instances that take work.
    pub available: u32,
    /// Instances that are moving into the pool.
    pub arriving: u32,
    /// Demand to size the pool for, in instances.
    pub demand: f64,
    /// Instances in its largest rack, which may be lost at once.
    pub largest_rack: u32,
    /// Instances that may be moved away: they stayed long enough, and the pool's
    /// availability budget permits it.
    pub movable: u32,
    /// Whether it is the spare pool, which needs no instances itself.
    pub is_spare: bool,
}

impl PoolSnapshot {
    /// Returns the instances that the pool needs.
    pub fn need(&self, policy: &SizingPolicy) -> u32 {
        if self.is_spare {
            return 0;
        }
        let buffer = (self.largest_rack * policy.buffer_percent).div_ceil(100);
        // A buffer larger than the demand could never be used.
        let demand = self.demand.ceil() as u32;
        demand + buffer.min(demand)
    }

    fn shortfall(&self, policy: &SizingPolicy) -> u32 {
        self.need(policy).saturating_sub(self.available + self.arriving)
    }

    fn surplus(&self, policy: &SizingPolicy) -> u32 {
        let kept = if self.is_spare { 0 } else { policy.retained_surplus };
        self.available.saturating_sub(self.need(policy) + kept).min(self.movable)
    }
}

/// A move of one instance between pools.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Pool that loses the instance.
    pub from: PoolName,
    /// Pool that gains the instance.
    pub to: PoolName,
}

/// Plans moves from pools with a surplus to pools with a shortfall.
///
/// Each instance goes to the pool with the largest remaining shortfall, so that
/// a scarce surplus is spread. Instances of the spare pool are taken first.
pub fn plan_moves(pools: &IndexMap<PoolName, PoolSnapshot>, policy: &SizingPolicy) -> Vec<Move> {
    let mut shortfalls: IndexMap<&PoolName, u32> = pools
        .iter()
        .map(|(name, pool)| (name, pool.shortfall(policy)))
        .filter(|(_, shortfall)| *shortfall >= policy.min_shortfall.max(1))
        .collect();
    let mut donors: Vec<(&PoolName, u32, bool)> = pools
        .iter()
        .map(|(name, pool)| (name, pool.surplus(policy), pool.is_spare))
        .filter(|(_, surplus, _)| *surplus > 0)
        .collect();
    donors.sort_by_key(|(_, surplus, is_spare)| (!is_spare, std::cmp::Reverse(*surplus)));
    let mut moves = Vec::new();
    for (from, surplus, _) in donors {
        for _ in 0..surplus {
            let Some((to, shortfall)) =
                shortfalls.iter_mut().max_by_key(|(_, shortfall)| **shortfall)
            else {
                return moves;
            };
            if *shortfall == 0 {
                return moves;
            }
            *shortfall -= 1;
            moves.push(Move { from: from.clone(), to: (*to).clone() });
        }
    }
    moves
}
