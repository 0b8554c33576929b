//! The cell owner's view of a worker.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use strum::{Display, IntoStaticStr};

use super::spec::{Resources, TaskKey};
use crate::id::{DataCentre, JobId, Name, PoolName, WorkerId};

/// Maximum drift of a worker's steady clock, in parts per thousand, by the
/// platform's contract. Leases may last that much longer by the local clock.
pub const WORKER_CLOCK_DRIFT_PER_MILLE: u64 = 20;

/// Time after the end of a lease before its runs count as ended, in milliseconds:
/// covers scheduling delay and the rounding of both clocks.
pub const LEASE_SLACK_MS: u64 = 150;

/// Time after the restart of a worker in which calls with lease deadlines by the clock of its
/// former life may reach it, in milliseconds.
const FORMER_CLOCK_CALLS_MS: u64 = 5_000;

/// Number of run ends remembered for each worker.
const MAX_RECENT_ENDS: usize = 8;

/// Number of different jobs that have to fail on a worker, with no run completed
/// in between, before it is quarantined.
const QUARANTINE_FAILED_JOBS: usize = 2;

/// Length of the first quarantine, in milliseconds; doubled with each further
/// failure, since faults last seconds.
const QUARANTINE_MS: u64 = 2_000;

/// Maximum number of times that [`QUARANTINE_MS`] is doubled.
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

/// Properties of a worker, as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerFacts {
    /// Identifier.
    pub id: WorkerId,
    /// Address that orders are sent to.
    pub address: SocketAddr,
    /// Pool.
    pub pool: PoolName,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Labels; the last one names its rack.
    pub labels: Vec<Name>,
    /// Total resources.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Start time of this incarnation, in milliseconds since the Unix epoch.
    pub born_wall_ms: u64,
}

impl WorkerFacts {
    /// Creates the facts of a worker of which only the address is known, with no pool
    /// and no resources.
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
    /// Local clock when the reading arrived.
    pub local_ms: u64,
    /// The worker's clock when it answered.
    pub worker_ms: u64,
}

/// Where the bound on a worker's leases comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BoundSource {
    /// Leases that this owner gave it.
    OwnLease,
    /// The longest lease that it may have had when this incarnation first answered this owner.
    FirstAnswer,
    /// The announcement of the previous owner.
    Announcement,
    /// The longest lease that an earlier owner may have given it, counted from the takeover.
    Takeover,
}

/// The time after which a worker runs nothing unless its lease is extended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseBound {
    /// The time, by the local clock.
    pub until_ms: u64,
    /// Where it comes from.
    pub source: BoundSource,
}

/// An announcement by which an earlier owner has bounded the leases of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedAnnouncement {
    /// Epoch in the heartbeat that carried it.
    pub epoch: u32,
    /// Time that it named until the leases have expired, in milliseconds.
    pub left_ms: u64,
    /// When it was applied, by the local clock.
    pub applied_ms: u64,
}

/// A poll that has no outcome yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenPoll {
    /// When it was prepared.
    pub prepared_ms: u64,
    /// Whether it extends the lease.
    pub has_lease: bool,
}

/// A worker and the tasks placed on it.
#[expect(clippy::struct_excessive_bools, reason = "independent reasons not to place tasks on it")]
#[derive(Debug, Clone)]
pub struct Worker {
    /// Properties listed by the platform.
    pub facts: WorkerFacts,
    /// Whether the platform still lists it.
    pub is_listed: bool,
    /// Whether it is excluded from placement, such as before its maintenance.
    pub is_cordoned: bool,
    /// Whether its data centre is evacuated.
    pub is_evacuated: bool,
    /// Whether its maintenance has yet to begin.
    pub is_maintenance_due: bool,
    /// Whether the last poll of it failed.
    pub is_unresponsive: bool,
    /// Since when it has been unresponsive.
    pub unresponsive_since_ms: Option<u64>,
    /// Whether it may have been announced as unresponsive to the next owner, in which case
    /// it gets no lease.
    pub is_announced_unresponsive: bool,
    /// Start time of the incarnation that the last report came from.
    pub born_wall_ms: Option<u64>,
    /// Last reading of its clock.
    pub clock: Option<ClockReading>,
    /// Latest lease deadline that it may have been given, by its clock.
    pub max_lease_deadline_ms: u64,
    /// When this owner last gave this incarnation a lease.
    pub leased_ms: Option<u64>,
    /// Poll that has no outcome yet.
    pub open_poll: Option<OpenPoll>,
    /// Time until which leases of an earlier owner may be valid, by the local clock.
    pub previous_lease_until_ms: u64,
    /// Announcement that `previous_lease_until_ms` comes from, if one was applied.
    pub announcement: Option<AppliedAnnouncement>,
    /// Resources reserved by its placements.
    pub used: Resources,
    /// Tasks placed on it.
    pub placements: IndexSet<TaskKey>,
    /// Those of them that are on trial as suspects of a crash; tasks of other jobs are kept from it meanwhile.
    pub on_trial: IndexSet<TaskKey>,
    /// Sequence number of the last run end that was read.
    pub read_cursor: u64,
    /// Sequence number of the last run end that was stored, so that the worker may
    /// discard it.
    pub ack_cursor: u64,
    /// Whether its last poll gave no report, so that another incarnation, which numbers its
    /// run ends anew, may answer the next one.
    pub may_have_restarted: bool,
    /// Time before which no tasks are placed on it.
    pub cooldown_until_ms: u64,
    /// Pace of its best-effort tasks, in percent of full pace.
    pub pace_percent: u32,
    /// Time at which the pace last changed.
    pub pace_changed_ms: u64,
    /// Reported runs that belong to no placement, with the time of the last stop order.
    pub strays: IndexMap<(TaskKey, u32), u64>,
    recent: VecDeque<(JobId, bool)>,
    quarantines: u32,
}

impl Worker {
    /// Creates a worker to which an earlier owner may have given leases.
    pub fn new(facts: WorkerFacts, previous_lease_until_ms: u64) -> Self {
        Self {
            facts,
            is_listed: true,
            is_cordoned: false,
            is_evacuated: false,
            is_maintenance_due: false,
            is_unresponsive: false,
            unresponsive_since_ms: None,
            is_announced_unresponsive: false,
            born_wall_ms: None,
            clock: None,
            max_lease_deadline_ms: 0,
            leased_ms: None,
            open_poll: None,
            previous_lease_until_ms,
            announcement: None,
            used: Resources::default(),
            placements: IndexSet::new(),
            on_trial: IndexSet::new(),
            read_cursor: 0,
            ack_cursor: 0,
            may_have_restarted: false,
            cooldown_until_ms: 0,
            pace_percent: 100,
            pace_changed_ms: 0,
            strays: IndexMap::new(),
            recent: VecDeque::new(),
            quarantines: 0,
        }
    }

    /// Records the first report of an incarnation, made at `clock_ms` by its clock.
    ///
    /// A call with a lease deadline by the clock of its former life may have reached it: the
    /// lease then lasts for the maximum, `max_lease_ms`.
    pub fn begin_life(
        &mut self,
        born_wall_ms: u64,
        clock_ms: u64,
        lease_ms: u64,
        max_lease_ms: u64,
    ) {
        let has_restarted = self.born_wall_ms.is_some();
        self.born_wall_ms = Some(born_wall_ms);
        self.read_cursor = 0;
        self.ack_cursor = 0;
        self.leased_ms = None;
        let by_former_clock_ms =
            if has_restarted { clock_ms } else { clock_ms.min(FORMER_CLOCK_CALLS_MS) };
        // The previous owner may have just renewed the lease for its full length.
        self.max_lease_deadline_ms = (clock_ms + lease_ms).max(by_former_clock_ms + max_lease_ms);
    }

    /// Returns the start time of the incarnation that leases are given to, by whose clock their
    /// deadlines are; `None` if its reports don't tell.
    pub fn leased_incarnation(&self) -> Option<u64> {
        self.born_wall_ms.filter(|born_wall_ms| *born_wall_ms > 0)
    }

    /// Returns an estimate of the worker's clock.
    pub fn estimated_clock_ms(&self, now_ms: u64) -> Option<u64> {
        self.clock.map(|clock| clock.worker_ms + now_ms.saturating_sub(clock.local_ms))
    }

    /// Records that a call with a lease of `lease_ms` is about to be sent; returns the
    /// lease deadline, by the worker's clock.
    ///
    /// An unresponsive worker gets no lease: it would be unknown whether the lease took
    /// effect, and the worker's tasks would never count as ended.
    pub fn lease(&mut self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        if self.is_unresponsive || self.is_announced_unresponsive {
            return None;
        }
        let until = self.estimated_clock_ms(now_ms)? + lease_ms;
        self.max_lease_deadline_ms = self.max_lease_deadline_ms.max(until);
        self.leased_ms = Some(now_ms);
        Some(until)
    }

    /// Returns the time, by the local clock, after which the worker runs nothing unless its
    /// lease is extended.
    pub fn lease_expiry_ms(&self) -> u64 {
        let Some(clock) = self.clock else { return self.previous_lease_until_ms };
        let left_ms = self.max_lease_deadline_ms.saturating_sub(clock.worker_ms);
        let max_left_ms = left_ms + left_ms * WORKER_CLOCK_DRIFT_PER_MILLE / 1_000;
        clock.local_ms + max_left_ms + LEASE_SLACK_MS
    }

    /// Returns [`Worker::lease_expiry_ms`] with its source.
    pub fn lease_bound(&self) -> LeaseBound {
        let source = match (self.clock, self.leased_ms, self.announcement) {
            (Some(_), Some(_), _) => BoundSource::OwnLease,
            (Some(_), None, _) => BoundSource::FirstAnswer,
            (None, _, Some(_)) => BoundSource::Announcement,
            (None, _, None) => BoundSource::Takeover,
        };
        LeaseBound { until_ms: self.lease_expiry_ms(), source }
    }

    /// Returns the unreserved resources.
    pub fn free(&self) -> Resources {
        self.facts.capacity.minus(&self.used)
    }

    /// Returns whether its listed properties are those of an incarnation before the one that
    /// reports: a worker may restart as another kind under its identifier.
    fn has_outdated_facts(&self) -> bool {
        // Some platforms list workers without the start of their incarnation.
        self.facts.born_wall_ms > 0
            && self.born_wall_ms.is_some_and(|born_wall_ms| self.facts.born_wall_ms < born_wall_ms)
    }

    /// Returns whether tasks may be placed on it.
    pub fn is_schedulable(&self, now_ms: u64) -> bool {
        self.is_listed
            && !self.has_outdated_facts()
            && !self.facts.is_draining
            && !self.is_cordoned
            && !self.is_evacuated
            && !self.is_unresponsive
            && !self.is_announced_unresponsive
            && self.clock.is_some()
            && now_ms >= self.cooldown_until_ms
    }

    /// Records whether a run completed or failed; returns the length of the quarantine
    /// in milliseconds if one begins.
    ///
    /// A job that fails everywhere must not take healthy workers out of service, so
    /// only failures of different jobs count, and a completed run resets the count.
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

    /// Returns the number of recent runs that failed since the last completed one.
    pub fn consecutive_failures(&self) -> usize {
        self.recent.iter().rev().take_while(|(_, is_done)| !is_done).count()
    }
}
