//! Fleet-wide limits by escrow.
//!
//! A limit is one row. The row lists who holds how many units; their sum never
//! exceeds the limit. An entry process admits only within what it holds, so
//! that no request needs a round trip and a partition cannot break the limit.
//!
//! A holding has two parts. The *base* part belongs to a data centre and stays
//! usable while the data centre may be cut off. The *elastic* part is usable
//! only under the holder's lease. [`crate::guard`] decides when each may be
//! used and when a silent holder's units may be taken back.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{DataCentre, Incarnation, JobId};

/// Units of one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Units {
    /// Units that stay usable while the data centre is cut off.
    pub base: u32,
    /// Units that are usable under the holder's lease.
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
    /// What it holds.
    pub units: Units,
}

/// The row of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GrantRow {
    /// Holdings of entry processes.
    pub holders: IndexMap<Incarnation, Holding>,
    /// Units held by running attempts of jobs, one each.
    pub attempts: IndexMap<JobId, u32>,
}

/// A request to change one process's holding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The limit as configured.
    pub limit: u32,
    /// Data centres among which the base parts are split.
    pub data_centres: u32,
    /// Live entry processes of the claimant's data centre.
    pub peers_in_data_centre: u32,
    /// Part of the limit that is split into base parts, in percent.
    pub base_percent: u32,
    /// Units the claimant wants in all; never fewer than it has in use.
    pub wanted: u32,
}

/// Part of its base units that an idle process keeps, as a divisor.
const RESERVE_DIVISOR: u32 = 4;

impl Claim {
    /// Returns the even split of the base part for one process.
    pub fn base_target(&self) -> u32 {
        self.base_of_data_centre().div_ceil(self.peers_in_data_centre.max(1))
    }

    /// Returns the base units that the process holds while it has its claim's demand.
    ///
    /// Idle base units serve nobody while the platform is reached; a reserve
    /// stays for a data centre that is cut off before it has demand again.
    pub fn base_goal(&self) -> u32 {
        let target = self.base_target();
        target.min(self.wanted.max(target.div_ceil(RESERVE_DIVISOR)))
    }

    fn base_of_data_centre(&self) -> u32 {
        self.limit * self.base_percent / 100 / self.data_centres.max(1)
    }
}

impl GrantRow {
    /// Returns the units given out.
    pub fn granted(&self) -> u32 {
        let held: u32 = self.holders.values().map(|holding| holding.units.total()).sum();
        held + self.attempts.len() as u32
    }

    /// Returns the units that are not given out under `limit`.
    pub fn free(&self, limit: u32) -> u32 {
        limit.saturating_sub(self.granted())
    }

    /// Returns the units of one holder.
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

    /// Raises or lowers a process's holding towards its claim.
    ///
    /// Returns the holding after the change. Base units above the goal become
    /// elastic, surplus elastic units are given back, and missing units
    /// are taken as far as they are free, the base part first.
    pub fn claim(&mut self, who: &Incarnation, dc: &DataCentre, claim: &Claim) -> Units {
        let mut units = self.units(who);
        let base_goal = claim.base_goal();
        let base_excess = units.base.saturating_sub(base_goal);
        units.base -= base_excess;
        units.elastic += base_excess;
        let keep = claim.wanted.max(units.base);
        let surplus = units.total().saturating_sub(keep);
        units.elastic -= surplus.min(units.elastic);
        self.set(who, dc, units);

        let base_left = claim.base_of_data_centre().saturating_sub(self.base_of(dc));
        let base_room = (base_goal - units.base).min(base_left);
        let converted = units.elastic.min(base_room);
        units.elastic -= converted;
        units.base += converted;
        let free = self.free(claim.limit);
        let base_taken = free.min(base_room - converted);
        units.base += base_taken;
        let missing = claim.wanted.saturating_sub(units.total());
        units.elastic += missing.min(free - base_taken);
        self.set(who, dc, units);
        units
    }

    /// Sets a holder's units, and removes the holder when they are none.
    pub fn set(&mut self, who: &Incarnation, dc: &DataCentre, units: Units) {
        if units.total() == 0 {
            self.holders.shift_remove(who);
            return;
        }
        let holding = Holding { data_centre: dc.clone(), units };
        self.holders.insert(who.clone(), holding);
    }

    /// Moves up to `units` elastic units between two processes; returns how many.
    pub fn transfer(
        &mut self,
        from: &Incarnation,
        to: (&Incarnation, &DataCentre),
        units: u32,
    ) -> u32 {
        let Some(lender) = self.holders.get_mut(from) else {
            return 0;
        };
        let moved = units.min(lender.units.elastic);
        lender.units.elastic -= moved;
        let lender_empty = lender.units.total() == 0;
        if lender_empty {
            self.holders.shift_remove(from);
        }
        let mut borrower = self.units(to.0);
        borrower.elastic += moved;
        self.set(to.0, to.1, borrower);
        moved
    }

    /// Takes one unit for an attempt of a job; `false` when none is free.
    pub fn start_attempt(&mut self, job: &JobId, attempt: u32, limit: u32) -> bool {
        if !self.attempts.contains_key(job) && self.free(limit) == 0 {
            return false;
        }
        self.attempts.insert(job.clone(), attempt);
        true
    }

    /// Gives an attempt's unit back.
    pub fn end_attempt(&mut self, job: &JobId) {
        self.attempts.shift_remove(job);
    }

    /// Takes back the elastic part of a silent holder.
    pub fn reclaim_elastic(&mut self, who: &Incarnation) {
        if let Some(holding) = self.holders.get_mut(who) {
            holding.units.elastic = 0;
            if holding.units.base == 0 {
                self.holders.shift_remove(who);
            }
        }
    }

    /// Takes back all units of a silent holder.
    pub fn reclaim_all(&mut self, who: &Incarnation) {
        self.holders.shift_remove(who);
    }
}

/// One process's local account of one limit.
///
/// `units` is what the row was last confirmed to hold for this process, less
/// what the process has begun to give back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LocalGrant {
    /// Units that may be used under [`crate::guard::HolderLeases`].
    pub units: Units,
    /// Units in use by admitted requests.
    pub in_use: u32,
    /// Whether a write that gives units back has an unknown outcome.
    pub outcome_unknown: bool,
    refused: u32,
    peak_in_use: u32,
    surplus_periods: u32,
    pressed_periods: u32,
}

/// Periods for which another process's lack of units is heeded.
const PRESSED_PERIODS: u32 = 5;

/// Units asked for on top of the demand, as a divisor of it.
const SPARE_DIVISOR: u32 = 4;

/// The same while another process lacks units.
const PRESSED_SPARE_DIVISOR: u32 = 10;

/// Surplus that is not worth a write, as a divisor of what is kept.
const SURPLUS_DIVISOR: u32 = 4;

/// The same while another process lacks units.
const PRESSED_SURPLUS_DIVISOR: u32 = 5;

/// Periods for which a surplus has to last before it is given back.
const SURPLUS_PERIODS: u32 = 3;

impl LocalGrant {
    /// Takes one unit when the usable part allows it.
    pub fn try_acquire(&mut self, usable: u32) -> bool {
        if self.in_use >= usable {
            self.refused += 1;
            return false;
        }
        self.in_use += 1;
        self.peak_in_use = self.peak_in_use.max(self.in_use);
        true
    }

    /// Gives one unit back.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Notes use and unmet demand of units that are counted elsewhere.
    pub fn record_usage(&mut self, in_use: u32, unmet: u32) {
        self.in_use = in_use;
        self.peak_in_use = self.peak_in_use.max(in_use);
        self.refused += unmet;
    }

    /// Notes that another process lacks units: what is idle goes back at once.
    pub fn note_contention(&mut self) {
        self.pressed_periods = PRESSED_PERIODS;
    }

    /// Returns the units to ask for, and starts a new period of observation.
    ///
    /// Asks for the peak, what was refused, and some on top, so that a rising
    /// demand finds units before it is refused again. While another process
    /// lacks units, less is asked for on top.
    pub fn wanted(&mut self, limit: u32) -> u32 {
        let demand = self.peak_in_use + self.refused;
        let spare = match (demand, self.pressed_periods) {
            (0, _) => 0,
            (_, 0) => demand / SPARE_DIVISOR + 1,
            _ => demand / PRESSED_SPARE_DIVISOR,
        };
        self.peak_in_use = self.in_use;
        self.refused = 0;
        (demand + spare).min(limit).max(self.in_use)
    }

    /// Tells whether a claim is worth a write.
    ///
    /// A lack is at once; a surplus has to last, so that units do not go back
    /// and forth with each burst.
    pub fn should_claim(&mut self, claim: &Claim) -> bool {
        let total = self.units.total();
        if claim.wanted > total || self.units.base < claim.base_goal() {
            self.surplus_periods = 0;
            return true;
        }
        let keep = claim.wanted.max(claim.base_goal());
        if self.pressed_periods > 0 {
            self.pressed_periods -= 1;
            return total > keep + keep / PRESSED_SURPLUS_DIVISOR;
        }
        if total <= keep + keep / SURPLUS_DIVISOR {
            self.surplus_periods = 0;
            return false;
        }
        self.surplus_periods += 1;
        self.surplus_periods >= SURPLUS_PERIODS
    }

    /// Lowers the usable units before a write that gives the rest back.
    pub fn lower_to(&mut self, units: Units) {
        self.units.base = self.units.base.min(units.base);
        self.units.elastic = self.units.elastic.min(units.elastic);
    }

    /// Adopts what a row holds for this process.
    ///
    /// While a write that gives units back may still land, the smaller of both
    /// is taken.
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
