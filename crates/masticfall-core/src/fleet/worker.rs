//! A worker as its dispatcher sees it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use super::spec::{Resources, TaskKey};
use crate::id::{DataCentre, JobId, Name, PoolName, WorkerId};

/// Largest error of a worker's steady clock, in parts per thousand, by the
/// platform's contract. Its leases may last that much longer than we count.
pub const WORKER_CLOCK_DRIFT_PER_MILLE: u64 = 20;

/// Added to the end of a lease before its tasks count as ended, in
/// milliseconds: covers scheduling delay and the rounding of both clocks.
pub const LEASE_SLACK_MS: u64 = 150;

/// Ends of runs that are remembered for each worker.
const MAX_RECENT_ENDS: usize = 8;

/// Different jobs that have to fail on a worker in a row, with none done in
/// between, before it gets no more work for a while.
const QUARANTINE_FAILED_JOBS: usize = 2;

/// Time for which a worker that fails everything gets no work, in
/// milliseconds; doubled with each further failure, since faults last seconds.
const QUARANTINE_MS: u64 = 2_000;

/// Bound on the doubling of [`QUARANTINE_MS`].
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

/// What the platform lists of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerFacts {
    /// Its identifier.
    pub id: WorkerId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its pool.
    pub pool: PoolName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its labels; the last one names its rack.
    pub labels: Vec<Name>,
    /// What it offers.
    pub capacity: Resources,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Start of its life, in milliseconds since the Unix epoch.
    pub born_wall_ms: u64,
}

impl WorkerFacts {
    /// Makes the facts of a worker of which only the address is known. It
    /// belongs to no pool and offers nothing.
    pub fn unlisted(id: &WorkerId, address: SocketAddr) -> Self {
        Self {
            id: id.clone(),
            address,
            pool: PoolName::from(""),
            data_centre: DataCentre::from(""),
            labels: Vec::new(),
            capacity: Resources::default(),
            is_draining: false,
            born_wall_ms: 0,
        }
    }

    /// Returns the worker's rack.
    pub fn rack(&self) -> Option<&Name> {
        self.labels.last()
    }
}

/// A reading of a worker's steady clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Our clock when the reading arrived.
    pub local_ms: u64,
    /// The worker's clock when it answered.
    pub worker_ms: u64,
}

/// A worker with what is placed on it.
#[expect(clippy::struct_excessive_bools, reason = "independent reasons to give it no work")]
#[derive(Debug, Clone)]
pub struct Worker {
    /// What the platform lists.
    pub facts: WorkerFacts,
    /// Whether the platform still lists it.
    pub is_listed: bool,
    /// Whether it is kept free of new work, such as before its maintenance.
    pub is_cordoned: bool,
    /// Whether it is due for maintenance, sooner or later.
    pub is_maintenance_due: bool,
    /// Whether the last exchange with it failed.
    pub is_silent: bool,
    /// Whether the next owner may have been told that it is silent, in which case
    /// it gets no lease.
    pub is_announced_silent: bool,
    /// Life that its ends and runs were read from.
    pub born_wall_ms: Option<u64>,
    /// Last reading of its clock.
    pub clock: Option<ClockReading>,
    /// Highest end of a lease that it may have been given, by its clock.
    pub max_lease_deadline_ms: u64,
    /// End of the leases that an earlier dispatcher may have given, by our clock.
    pub previous_lease_until_ms: u64,
    /// What its placements take.
    pub used: Resources,
    /// Tasks placed on it.
    pub placements: IndexSet<TaskKey>,
    /// Number of the last end that was read.
    pub read_cursor: u64,
    /// Number of the last end that was stored, so that the worker may forget it.
    pub ack_cursor: u64,
    /// Time before which it gets no new work.
    pub cooldown_until_ms: u64,
    /// Pace of its fillers, in percent.
    pub pace_percent: u32,
    /// When that last changed.
    pub pace_changed_ms: u64,
    /// Runs that belong to no task, with the time at which each was told to stop.
    pub strays: IndexMap<(TaskKey, u32), u64>,
    recent: VecDeque<(JobId, bool)>,
    quarantines: u32,
}

impl Worker {
    /// Starts to follow a worker that an earlier dispatcher may have leased.
    pub fn new(facts: WorkerFacts, previous_lease_until_ms: u64) -> Self {
        Self {
            facts,
            is_listed: true,
            is_cordoned: false,
            is_maintenance_due: false,
            is_silent: false,
            is_announced_silent: false,
            born_wall_ms: None,
            clock: None,
            max_lease_deadline_ms: 0,
            previous_lease_until_ms,
            used: Resources::default(),
            placements: IndexSet::new(),
            read_cursor: 0,
            ack_cursor: 0,
            cooldown_until_ms: 0,
            pace_percent: 100,
            pace_changed_ms: 0,
            strays: IndexMap::new(),
            recent: VecDeque::new(),
            quarantines: 0,
        }
    }

    /// Returns an estimate of the worker's clock.
    pub fn estimated_clock_ms(&self, now_ms: u64) -> Option<u64> {
        self.clock.map(|clock| clock.worker_ms + now_ms.saturating_sub(clock.local_ms))
    }

    /// Notes that a call with a lease of `lease_ms` is about to be sent;
    /// returns the lease's end by the worker's clock.
    ///
    /// A silent worker gets no lease: whether it takes effect would not be
    /// known, and its tasks would never count as ended.
    pub fn lease(&mut self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        if self.is_silent || self.is_announced_silent {
            return None;
        }
        let until = self.estimated_clock_ms(now_ms)? + lease_ms;
        self.max_lease_deadline_ms = self.max_lease_deadline_ms.max(until);
        Some(until)
    }

    /// Returns the time, by our clock, after which nothing runs there any more
    /// unless a lease is extended.
    pub fn lease_expiry_ms(&self) -> u64 {
        let Some(clock) = self.clock else { return self.previous_lease_until_ms };
        let left_ms = self.max_lease_deadline_ms.saturating_sub(clock.worker_ms);
        let stretched_ms = left_ms + left_ms * WORKER_CLOCK_DRIFT_PER_MILLE / 1_000;
        clock.local_ms + stretched_ms + LEASE_SLACK_MS
    }

    /// Returns what is free.
    pub fn free(&self) -> Resources {
        self.facts.capacity.minus(&self.used)
    }

    /// Tells whether new work may be placed on it.
    pub fn is_schedulable(&self, now_ms: u64) -> bool {
        self.is_listed
            && !self.facts.is_draining
            && !self.is_cordoned
            && !self.is_silent
            && !self.is_announced_silent
            && self.clock.is_some()
            && now_ms >= self.cooldown_until_ms
    }

    /// Records the end of a run for the judgement of the worker; returns the
    /// length of the quarantine if one begins.
    ///
    /// A job that fails everywhere must not put sound workers out of service,
    /// so only failures of different jobs count, and one run that is done clears all.
    pub fn record_end(&mut self, job: &JobId, is_done: bool, now_ms: u64) -> Option<u64> {
        if self.recent.len() == MAX_RECENT_ENDS {
            self.recent.pop_front();
        }
        self.recent.push_back((job.clone(), is_done));
        if is_done {
            self.quarantines = 0;
            return None;
        }
        let failed = self.recent.iter().rev().take_while(|(_, is_done)| !is_done);
        let jobs: IndexSet<&JobId> = failed.map(|(job, _)| job).collect();
        if jobs.len() < QUARANTINE_FAILED_JOBS {
            return None;
        }
        let length_ms = QUARANTINE_MS << self.quarantines.min(MAX_QUARANTINE_DOUBLINGS);
        self.quarantines += 1;
        self.cooldown_until_ms = self.cooldown_until_ms.max(now_ms + length_ms);
        Some(length_ms)
    }

    /// Returns how many of the last runs failed since one was done.
    pub fn consecutive_failures(&self) -> usize {
        self.recent.iter().rev().take_while(|(_, is_done)| !is_done).count()
    }
}
