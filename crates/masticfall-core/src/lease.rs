//! Leases, timed by each side with its own monotonic clock.
//!
//! The holder counts from the moment it *sent* the renewal; an observer counts
//! from the moment it *saw* the row change. With a bound on clock drift, the
//! holder stops before any observer may treat the lease as expired. Wall clocks
//! are never compared between processes.

use serde::{Deserialize, Serialize};

/// Maximum relative drift between two monotonic clocks, in parts per thousand.
pub const CLOCK_DRIFT_PER_MILLE: u64 = 20;

/// Length of the lease of an entry process and of a planner, in milliseconds.
pub const LEASE_MS: u64 = 6_000;

/// Period between renewals, in milliseconds.
pub const RENEWAL_MS: u64 = 1_500;

/// Returns the time after which an observer treats an unchanged lease as expired, in milliseconds.
pub fn observer_length_ms(length_ms: u64) -> u64 {
    length_ms + length_ms * CLOCK_DRIFT_PER_MILLE / 1_000 + 1
}

/// The holder's view of its own lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    length_ms: u64,
    renewed_ms: Option<u64>,
}

impl HeldLease {
    /// Creates a lease that is not held yet.
    pub fn new(length_ms: u64) -> Self {
        Self { length_ms, renewed_ms: None }
    }

    /// Records a confirmed renewal that was sent at `sent_ms`.
    pub fn renewed(&mut self, sent_ms: u64) {
        if self.renewed_ms.is_none_or(|at| at < sent_ms) {
            self.renewed_ms = Some(sent_ms);
        }
    }

    /// Returns whether any renewal was confirmed so far.
    pub fn was_renewed(&self) -> bool {
        self.renewed_ms.is_some()
    }

    /// Releases the lease.
    pub fn release(&mut self) {
        self.renewed_ms = None;
    }

    /// Returns whether the holder may act on the lease at `now_ms`.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.renewed_ms.is_some_and(|at| now_ms < at + self.length_ms)
    }
}

/// An observer's view of another process's lease row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedLease {
    /// Version of the row at the last observation.
    pub version: u64,
    /// Observer's clock when that version was first seen, in milliseconds.
    pub changed_ms: u64,
    /// Observer's clock at the last observation, in milliseconds.
    pub observed_ms: u64,
}

impl ObservedLease {
    /// Starts to observe a row.
    pub fn new(version: u64, now_ms: u64) -> Self {
        Self { version, changed_ms: now_ms, observed_ms: now_ms }
    }

    /// Records the row's version as read at `now_ms`.
    pub fn observe(&mut self, version: u64, now_ms: u64) {
        if version != self.version {
            *self = Self::new(version, now_ms);
        }
        self.observed_ms = now_ms;
    }

    /// Returns whether the row was observed unchanged for a whole lease length.
    ///
    /// Time after the last observation does not count: an observer that cannot
    /// reach the platform cannot tell an expired lease from a renewed one.
    pub fn is_expired(&self, length_ms: u64) -> bool {
        self.observed_ms >= self.changed_ms + observer_length_ms(length_ms)
    }
}
