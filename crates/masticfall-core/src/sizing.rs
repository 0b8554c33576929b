//! Sizes of pools: how many instances each needs, and which moves are worth it.
//!
//! Demand peaks in turn, so that one pool lacks what others have idle. A move
//! costs a drain and disturbs what runs; how eagerly instances move is a matter
//! of the fleet's weighting.

use indexmap::IndexMap;

use crate::config::Weighting;
use crate::id::PoolName;

/// How eagerly instances follow demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizingPolicy {
    /// Time over which the memory of a peak fades to a third, in milliseconds.
    pub peak_decay_ms: f64,
    /// Lack of instances at which a move is considered.
    pub min_shortfall: u32,
    /// Instances above its need that a pool keeps before it gives one away.
    pub retained_surplus: u32,
    /// Shortest time that an instance stays in a pool, in milliseconds.
    pub min_stay_ms: u64,
    /// Part of a rack's loss against which each pool keeps a buffer, in percent.
    pub buffer_percent: u32,
}

impl SizingPolicy {
    /// Returns the eagerness of a weighting.
    ///
    /// Where disruption weighs more, a pool is sized for the peaks that it
    /// remembers, and moves are rare. Where shares weigh more, instances follow
    /// demand within seconds.
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

/// A fading memory of a pool's demand.
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

    /// Returns the demand to be ready for, in instances.
    pub fn peak(&self) -> f64 {
        self.peak
    }
}

/// One pool as the sizing looks at it.
#[derive(Debug, Clone)]
pub struct PoolSnapshot {
    /// Instances that take work.
    pub available: u32,
    /// Instances that are on their way to it.
    pub arriving: u32,
    /// Demand to be ready for, in instances.
    pub demand: f64,
    /// Instances of its largest rack, which may be lost at once.
    pub largest_rack: u32,
    /// Instances that it may give away: those that stayed long enough and that
    /// its availability budget lets go.
    pub movable: u32,
    /// Whether it is the spare pool, which needs nothing for itself.
    pub is_spare: bool,
}

impl PoolSnapshot {
    /// Returns the instances that the pool needs.
    pub fn need(&self, eagerness: &SizingPolicy) -> u32 {
        if self.is_spare {
            return 0;
        }
        let buffer = (self.largest_rack * eagerness.buffer_percent).div_ceil(100);
        // A buffer is of use only beside a demand that it could have to carry.
        let demand = self.demand.ceil() as u32;
        demand + buffer.min(demand)
    }

    fn lack(&self, eagerness: &SizingPolicy) -> u32 {
        self.need(eagerness).saturating_sub(self.available + self.arriving)
    }

    fn surplus(&self, eagerness: &SizingPolicy) -> u32 {
        let kept = if self.is_spare { 0 } else { eagerness.retained_surplus };
        self.available.saturating_sub(self.need(eagerness) + kept).min(self.movable)
    }
}

/// One move of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Pool that gives.
    pub from: PoolName,
    /// Pool that gets.
    pub to: PoolName,
}

/// Plans moves from pools with a surplus to those that lack instances.
///
/// The pool that lacks most is served first, one instance at a time, so that a
/// scarce surplus is spread. The spare pool gives first.
pub fn plan_moves(pools: &IndexMap<PoolName, PoolSnapshot>, eagerness: &SizingPolicy) -> Vec<Move> {
    let mut lacks: IndexMap<&PoolName, u32> = pools
        .iter()
        .map(|(name, pool)| (name, pool.lack(eagerness)))
        .filter(|(_, lack)| *lack >= eagerness.min_shortfall.max(1))
        .collect();
    let mut givers: Vec<(&PoolName, u32, bool)> = pools
        .iter()
        .map(|(name, pool)| (name, pool.surplus(eagerness), pool.is_spare))
        .filter(|(_, surplus, _)| *surplus > 0)
        .collect();
    givers.sort_by_key(|(_, surplus, is_spare)| (!is_spare, std::cmp::Reverse(*surplus)));
    let mut moves = Vec::new();
    for (from, surplus, _) in givers {
        for _ in 0..surplus {
            let Some((to, lack)) = lacks.iter_mut().max_by_key(|(_, lack)| **lack) else {
                return moves;
            };
            if *lack == 0 {
                return moves;
            }
            *lack -= 1;
            moves.push(Move { from: from.clone(), to: (*to).clone() });
        }
    }
    moves
}
