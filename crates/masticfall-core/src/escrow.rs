//! Fleet-wide limits, enforced by escrow.
//!
//! Each limit is one row that lists the units held by each process; their sum
//! never exceeds the limit. An entry process admits requests only within its
//! own holding, so no request needs a round trip and a network partition
//! cannot break the limit.
//!
//! A holding has two parts. The *base* part belongs to a data centre and stays
//! usable while the data centre is isolated. The *elastic* part is usable only
//! under the holder's lease. [`crate::guard`] decides when each part may
//! be used and when the units of an unresponsive holder may be reclaimed.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{DataCentre, Incarnation, JobId};

/// Units of one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Units {
    /// Units that stay usable while the data centre is isolated.
    pub base: u32,
    /// Units that are usable only under the holder's lease.
    pub elastic: u32,
}

impl Units {
    /// Returns the sum of both parts.
    pub fn total(self) -> u32 {
        self.base + self.elastic
    }
}

/// An entry process's holding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The holder's data centre.
    pub data_centre: DataCentre,
    /// Units held.
    pub units: Units,
}

/// The stored row of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GrantRow {
    /// Holdings of entry processes.
    pub holders: IndexMap<Incarnation, Holding>,
    /// Attempt number per running job; each running attempt holds one unit.
    pub attempts: IndexMap<JobId, u32>,
}

/// A request to change one process's holding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Configured limit.
    pub limit: u32,
    /// Number of data centres that share the base part.
    pub data_centres: u32,
    /// Number of live entry processes in the claimant's data centre.
    pub peers_in_data_centre: u32,
    /// Part of the limit that is reserved for base units, in percent.
    pub base_percent: u32,
    /// Total units the claimant wants; never fewer than it has in use.
    pub wanted: u32,
}

/// An idle process keeps its base quota divided by this.
const IDLE_RESERVE_DIVISOR: u32 = 4;

impl Claim {
    /// Returns one process's even part of the data centre's base units.
    pub fn base_quota(&self) -> u32 {
        self.base_of_data_centre().div_ceil(self.peers_in_data_centre.max(1))
    }

    /// Returns the base units that the process should hold at the claimed demand.
    ///
    /// Idle base units serve nobody while the platform is reachable. A reserve
    /// is kept in case the data centre is isolated before demand returns.
    pub fn desired_base(&self) -> u32 {
        let quota = self.base_quota();
        quota.min(self.wanted.max(quota.div_ceil(IDLE_RESERVE_DIVISOR)))
    }

    fn base_of_data_centre(&self) -> u32 {
        self.limit * self.base_percent / 100 / self.data_centres.max(1)
    }
}

impl GrantRow {
    /// Returns the number of units granted.
    pub fn granted(&self) -> u32 {
        let held: u32 = self.holders.values().map(|holding| holding.units.total()).sum();
        held + self.attempts.len() as u32
    }

    /// Returns the number of units under `limit` that are not granted.
    pub fn free(&self, limit: u32) -> u32 {
        limit.saturating_sub(self.granted())
    }

    /// Returns the units of one holder; zero when it holds none.
    pub fn units(&self, holder: &Incarnation) -> Units {
        self.holders.get(holder).map(|holding| holding.units).unwrap_or_default()
    }

    fn base_of(&self, data_centre: &DataCentre) -> u32 {
        self.holders
            .values()
            .filter(|holding| holding.data_centre == *data_centre)
            .map(|holding| holding.units.base)
            .sum()
    }

    /// Grows or shrinks a process's holding towards its claim and returns the result.
    ///
    /// Base units above the desired number become elastic, surplus elastic units
    /// are released, and missing units are taken as far as they are free, base
    /// units first.
    pub fn claim(&mut self, process: &Incarnation, dc: &DataCentre, claim: &Claim) -> Units {
        let mut units = self.units(process);
        let desired_base = claim.desired_base();
        let base_excess = units.base.saturating_sub(desired_base);
        units.base -= base_excess;
        units.elastic += base_excess;
        let keep = claim.wanted.max(units.base);
        let surplus = units.total().saturating_sub(keep);
        units.elastic -= surplus.min(units.elastic);
        self.set(process, dc, units);

        let base_free = claim.base_of_data_centre().saturating_sub(self.base_of(dc));
        let base_growth = (desired_base - units.base).min(base_free);
        let converted = units.elastic.min(base_growth);
        units.elastic -= converted;
        units.base += converted;
        let free = self.free(claim.limit);
        let base_taken = free.min(base_growth - converted);
        units.base += base_taken;
        let missing = claim.wanted.saturating_sub(units.total());
        units.elastic += missing.min(free - base_taken);
        self.set(process, dc, units);
        units
    }

    /// Sets a holder's units, and removes the holder when they are zero.
    pub fn set(&mut self, process: &Incarnation, dc: &DataCentre, units: Units) {
        if units.total() == 0 {
            self.holders.shift_remove(process);
            return;
        }
        let holding = Holding { data_centre: dc.clone(), units };
        self.holders.insert(process.clone(), holding);
    }

    /// Moves up to `units` elastic units between two processes and returns the number moved.
    pub fn transfer(
        &mut self,
        from: &Incarnation,
        to: (&Incarnation, &DataCentre),
        units: u32,
    ) -> u32 {
        let Some(source) = self.holders.get_mut(from) else {
            return 0;
        };
        let moved = units.min(source.units.elastic);
        source.units.elastic -= moved;
        let is_empty = source.units.total() == 0;
        if is_empty {
            self.holders.shift_remove(from);
        }
        let mut destination = self.units(to.0);
        destination.elastic += moved;
        self.set(to.0, to.1, destination);
        moved
    }

    /// Acquires one unit for an attempt of a job; returns `false` when none is free.
    pub fn start_attempt(&mut self, job: &JobId, attempt: u32, limit: u32) -> bool {
        if !self.attempts.contains_key(job) && self.free(limit) == 0 {
            return false;
        }
        self.attempts.insert(job.clone(), attempt);
        true
    }

    /// Releases an attempt's unit.
    pub fn end_attempt(&mut self, job: &JobId) {
        self.attempts.shift_remove(job);
    }

    /// Reclaims the elastic part of an unresponsive holder.
    pub fn reclaim_elastic(&mut self, process: &Incarnation) {
        if let Some(holding) = self.holders.get_mut(process) {
            holding.units.elastic = 0;
            if holding.units.base == 0 {
                self.holders.shift_remove(process);
            }
        }
    }

    /// Reclaims all units of an unresponsive holder.
    pub fn reclaim_all(&mut self, process: &Incarnation) {
        self.holders.shift_remove(process);
    }
}

/// One process's local view of its holding under one limit.
///
/// `units` is what the row was last confirmed to hold for this process, minus
/// what the process has started to release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LocalGrant {
    /// Units that may be used under [`crate::guard::HolderLeases`].
    pub units: Units,
    /// Units in use by admitted requests.
    pub in_use: u32,
    /// Whether a write that releases units has an unknown outcome.
    pub outcome_unknown: bool,
    refused: u32,
    peak_in_use: u32,
    surplus_periods: u32,
    contended_periods: u32,
}

/// Number of periods for which a report of contention stays in effect.
const CONTENDED_PERIODS: u32 = 5;

/// Extra units requested on top of the demand, as a divisor of the demand.
const SPARE_DIVISOR: u32 = 4;

/// [`SPARE_DIVISOR`] while another process lacks units.
const CONTENDED_SPARE_DIVISOR: u32 = 10;

/// Surplus that is tolerated without a write, as a divisor of the units kept.
const SURPLUS_DIVISOR: u32 = 4;

/// [`SURPLUS_DIVISOR`] while another process lacks units.
const CONTENDED_SURPLUS_DIVISOR: u32 = 5;

/// Consecutive periods a surplus must last before it is released.
const SURPLUS_PERIODS: u32 = 3;

impl LocalGrant {
    /// Acquires one unit if fewer than `usable` are in use.
    pub fn try_acquire(&mut self, usable: u32) -> bool {
        if self.in_use >= usable {
            self.refused += 1;
            return false;
        }
        self.in_use += 1;
        self.peak_in_use = self.peak_in_use.max(self.in_use);
        true
    }

    /// Releases one unit.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Records the use and unmet demand of units that are counted elsewhere.
    pub fn record_usage(&mut self, in_use: u32, unmet: u32) {
        self.in_use = in_use;
        self.peak_in_use = self.peak_in_use.max(in_use);
        self.refused += unmet;
    }

    /// Records that another process lacks units, so that idle units are released at once.
    pub fn note_contention(&mut self) {
        self.contended_periods = CONTENDED_PERIODS;
    }

    /// Returns the units to request, and starts a new observation period.
    ///
    /// Requests the peak use, the refused demand and a spare, so that rising
    /// demand finds units before it is refused again. The spare is smaller while
    /// another process lacks units.
    pub fn wanted(&mut self, limit: u32) -> u32 {
        let demand = self.peak_in_use + self.refused;
        let spare = match (demand, self.contended_periods) {
            (0, _) => 0,
            (_, 0) => demand / SPARE_DIVISOR + 1,
            _ => demand / CONTENDED_SPARE_DIVISOR,
        };
        self.peak_in_use = self.in_use;
        self.refused = 0;
        (demand + spare).min(limit).max(self.in_use)
    }

    /// Returns whether a claim is worth a write.
    ///
    /// A shortfall is claimed at once. A surplus must last, so that units do not
    /// go back and forth with each burst.
    pub fn should_claim(&mut self, claim: &Claim) -> bool {
        let total = self.units.total();
        if claim.wanted > total || self.units.base < claim.desired_base() {
            self.surplus_periods = 0;
            return true;
        }
        let keep = claim.wanted.max(claim.desired_base());
        if self.contended_periods > 0 {
            self.contended_periods -= 1;
            return total > keep + keep / CONTENDED_SURPLUS_DIVISOR;
        }
        if total <= keep + keep / SURPLUS_DIVISOR {
            self.surplus_periods = 0;
            return false;
        }
        self.surplus_periods += 1;
        self.surplus_periods >= SURPLUS_PERIODS
    }

    /// Lowers the usable units before a write that releases the rest.
    pub fn lower_to(&mut self, units: Units) {
        self.units.base = self.units.base.min(units.base);
        self.units.elastic = self.units.elastic.min(units.elastic);
    }

    /// Adopts the units that a row holds for this process.
    ///
    /// While a write that releases units may still take effect, the smaller of
    /// the local and the stored units applies.
    pub fn adopt(&mut self, row: Units, confirmed: bool) {
        if confirmed {
            self.outcome_unknown = false;
        }
        if self.outcome_unknown {
            self.lower_to(row);
        } else {
            self.units = row;
        }
    }
}
