//! When a process may use its units, and when an unresponsive peer's may be reclaimed.
//!
//! Elastic units are usable under the platform lease alone. Base units must
//! stay usable in an isolated data centre, and still be reclaimed when a
//! process dies. Absence from the platform's list does not tell the two cases
//! apart, so the members of a data centre grant each other leases:
//!
//! - With every renewal a process publishes its *members*: the other processes
//!   of its data centre that it knows. Only these may reclaim its base units.
//! - A member acknowledges heartbeats. Each acknowledgement is a promise not to
//!   reclaim for a lease length after it was sent.
//! - The process uses its base units while its platform lease holds, or while
//!   *every* published member has acknowledged within a lease length.
//! - A member reclaims only after it has seen the platform row unchanged *and*
//!   has sent no acknowledgement for a lease length plus the longest deadline
//!   of a dispatched request.
//!
//! In a data centre that is isolated as a whole, the processes acknowledge each
//! other and keep serving. A single survivor gets no acknowledgement from
//! dead members and stops after one lease length; an operator can confirm that
//! they are gone. A process that never had members keeps serving, since no
//! other process may reclaim from it.

use indexmap::{IndexMap, IndexSet};

use crate::escrow::Units;
use crate::id::Incarnation;
use crate::lease::{HeldLease, LEASE_MS, ObservedLease, observer_length_ms};

/// The leases under which a process may use its own units.
#[derive(Debug, Clone)]
pub struct HolderLeases {
    platform: HeldLease,
    members: IndexMap<Incarnation, HeldLease>,
}

impl Default for HolderLeases {
    fn default() -> Self {
        Self { platform: HeldLease::new(LEASE_MS), members: IndexMap::new() }
    }
}

impl HolderLeases {
    /// Records a renewal that published `members`, was sent at `sent_ms` and
    /// confirmed at `now_ms`.
    ///
    /// Returns `false` when the lease had lapsed before the confirmation: elastic
    /// units may have been reclaimed, and the rows must be read before use.
    pub fn renewed(&mut self, members: &IndexSet<Incarnation>, sent_ms: u64, now_ms: u64) -> bool {
        let was_held = self.platform.is_held(now_ms);
        self.platform.renewed(sent_ms);
        let mut kept = IndexMap::new();
        for member in members {
            let lease = self.members.get(member).copied();
            kept.insert(member.clone(), lease.unwrap_or(HeldLease::new(LEASE_MS)));
        }
        self.members = kept;
        was_held
    }

    /// Records a renewal of unknown outcome, which may have published `members`.
    pub fn renewal_unknown(&mut self, members: &IndexSet<Incarnation>) {
        for member in members {
            self.members.entry(member.clone()).or_insert(HeldLease::new(LEASE_MS));
        }
    }

    /// Records a member's acknowledgement of a heartbeat that was sent at `sent_ms`.
    pub fn acknowledged(&mut self, member: &Incarnation, sent_ms: u64) {
        if let Some(lease) = self.members.get_mut(member) {
            lease.renewed(sent_ms);
        }
    }

    /// Records an operator's confirmation that a member is gone for good.
    pub fn confirm_gone(&mut self, member: &Incarnation) {
        self.members.shift_remove(member);
    }

    /// Returns whether any renewal was confirmed so far.
    pub fn was_renewed(&self) -> bool {
        self.platform.was_renewed()
    }

    /// Returns whether elastic units may be used: the platform lease holds.
    pub fn elastic_usable(&self, now_ms: u64) -> bool {
        self.platform.is_held(now_ms)
    }

    /// Returns whether base units may be used.
    pub fn base_usable(&self, now_ms: u64) -> bool {
        self.platform.is_held(now_ms) || self.members.values().all(|lease| lease.is_held(now_ms))
    }

    /// Returns the number of `units` that may be in use at `now_ms`.
    pub fn usable(&self, units: Units, now_ms: u64) -> u32 {
        if self.elastic_usable(now_ms) {
            return units.total();
        }
        if self.base_usable(now_ms) { units.base } else { 0 }
    }
}

/// A process's observations of a peer whose units it may reclaim.
#[derive(Debug, Clone)]
pub struct PeerLease {
    /// The peer's lease row as observed.
    pub row: ObservedLease,
    /// The members that the row names.
    pub members: IndexSet<Incarnation>,
    /// When this process last sent the peer an acknowledgement, in milliseconds.
    pub last_ack_sent_ms: Option<u64>,
}

/// The units that may be reclaimed from an unresponsive peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reclaim {
    /// No units yet.
    Nothing,
    /// The elastic part.
    Elastic,
    /// All units.
    All,
}

impl PeerLease {
    /// Returns what `me` may reclaim from the peer at `now_ms`, given the observations so far.
    ///
    /// `max_deadline_ms` is the longest time for which a request dispatched by the
    /// peer can still run.
    pub fn reclaimable(&self, me: &Incarnation, max_deadline_ms: u64, now_ms: u64) -> Reclaim {
        let settle_ms = observer_length_ms(LEASE_MS) + max_deadline_ms;
        if self.row.observed_ms < self.row.changed_ms + settle_ms {
            return Reclaim::Nothing;
        }
        let promise_expired = self.last_ack_sent_ms.is_none_or(|at| now_ms >= at + settle_ms);
        if self.members.contains(me) && promise_expired {
            return Reclaim::All;
        }
        Reclaim::Elastic
    }
}
