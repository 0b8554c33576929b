//! Routing: bounded slots per target, power-of-two-choices load balancing,
//! ejection of failing targets, and the retry budget.

use indexmap::IndexMap;

use crate::id::InstanceName;

/// Consecutive failures after which a target is ejected.
pub const EJECT_AFTER_FAILURES: u32 = 5;

/// Time until an ejected target gets requests again, in milliseconds.
pub const EJECTION_MS: u64 = 5_000;

/// Maximum part of a service's targets that may be ejected at once, in percent.
pub const MAX_EJECTED_PERCENT: usize = 34;

/// A process's local state of one target.
#[derive(Debug, Clone, Default)]
pub struct Target {
    /// Slots that this process may use.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Failures since the last success.
    pub consecutive_failures: u32,
    /// End of the ejection, on the process's clock in milliseconds.
    pub ejected_until_ms: Option<u64>,
    /// Whether the target gets no new requests.
    pub leaving: bool,
}

impl Target {
    fn has_free_slot(&self) -> bool {
        !self.leaving && self.in_flight < self.slots
    }

    fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected_until_ms.is_some_and(|until| now_ms < until)
    }
}

/// How a request to a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Success,
    /// The target failed to answer, or answered with a server error.
    Failure,
    /// The caller disconnected; the outcome says nothing about the target.
    Neutral,
}

/// The targets of one service in one data centre.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    targets: IndexMap<InstanceName, Target>,
}

impl TargetTable {
    /// Returns the targets.
    pub fn targets(&self) -> &IndexMap<InstanceName, Target> {
        &self.targets
    }

    /// Returns a target for update; inserts it if absent.
    pub fn entry(&mut self, name: &InstanceName) -> &mut Target {
        self.targets.entry(name.clone()).or_default()
    }

    /// Removes unlisted targets; those with requests in flight stay as leaving until they end.
    pub fn retain_listed(&mut self, listed: impl Fn(&InstanceName) -> bool) {
        for (name, target) in &mut self.targets {
            target.leaving |= !listed(name);
        }
        self.targets.retain(|name, target| listed(name) || target.in_flight > 0);
    }

    /// Returns the total of free slots over all targets that take work.
    pub fn free_slots(&self) -> u32 {
        let usable = self.targets.values().filter(|target| target.has_free_slot());
        usable.map(|target| target.slots - target.in_flight).sum()
    }

    /// Returns the total of slots over all targets that take work.
    pub fn slots(&self) -> u32 {
        self.targets.values().filter(|target| !target.leaving).map(|target| target.slots).sum()
    }

    /// Acquires a slot of the less loaded of two targets drawn by `draw`.
    ///
    /// `draw(n)` returns a number below `n`. Ejected targets are used only when
    /// no other has a free slot, so that correlated failures cannot leave the
    /// service without targets.
    pub fn acquire(
        &mut self,
        now_ms: u64,
        excluded: Option<&InstanceName>,
        mut draw: impl FnMut(usize) -> usize,
    ) -> Option<InstanceName> {
        let mut usable = self.usable(now_ms, excluded, false);
        if usable.is_empty() {
            usable = self.usable(now_ms, excluded, true);
        }
        if usable.is_empty() {
            return None;
        }
        let first = usable[draw(usable.len())];
        let second = usable[draw(usable.len())];
        let chosen = if self.load(second) < self.load(first) { second } else { first };
        let (name, target) = self.targets.get_index_mut(chosen)?;
        target.in_flight += 1;
        Some(name.clone())
    }

    fn usable(&self, now_ms: u64, excluded: Option<&InstanceName>, ejected: bool) -> Vec<usize> {
        let indexed = self.targets.iter().enumerate();
        indexed
            .filter(|(_, (name, target))| {
                target.has_free_slot()
                    && target.is_ejected(now_ms) == ejected
                    && excluded != Some(*name)
            })
            .map(|(index, _)| index)
            .collect()
    }

    fn load(&self, index: usize) -> f64 {
        let target = &self.targets[index];
        f64::from(target.in_flight) / f64::from(target.slots.max(1))
    }

    /// Releases a slot, and updates the target's ejection from the outcome.
    pub fn release(&mut self, name: &InstanceName, outcome: Outcome, now_ms: u64) {
        let may_eject = self.may_eject(now_ms);
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Neutral => {}
            Outcome::Success => {
                target.consecutive_failures = 0;
                target.ejected_until_ms = None;
            }
            Outcome::Failure => {
                target.consecutive_failures += 1;
                if target.consecutive_failures >= EJECT_AFTER_FAILURES && may_eject {
                    target.ejected_until_ms = Some(now_ms + EJECTION_MS);
                }
            }
        }
    }

    fn may_eject(&self, now_ms: u64) -> bool {
        let ejected = self.targets.values().filter(|target| target.is_ejected(now_ms)).count();
        (ejected + 1) * 100 <= self.targets.len() * MAX_EJECTED_PERCENT
    }
}

/// Limits retries to a fraction of the requests.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    credit: f64,
}

/// Credit earned by each request.
const RETRY_CREDIT_PER_REQUEST: f64 = 0.1;

/// Maximum credit that can accumulate.
const MAX_RETRY_CREDIT: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: MAX_RETRY_CREDIT }
    }
}

impl RetryBudget {
    /// Adds the credit for a request's first attempt.
    pub fn earn(&mut self) {
        self.credit = (self.credit + RETRY_CREDIT_PER_REQUEST).min(MAX_RETRY_CREDIT);
    }

    /// Spends the credit for one retry; returns `false` when there is too little.
    pub fn spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
