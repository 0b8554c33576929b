//! State of an entry process.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use masticfall_core::config::{FleetConfig, WhenIsolated};
use masticfall_core::escrow::LocalGrant;
use masticfall_core::guard::HolderLeases;
use masticfall_core::id::{
    DataCentre, Incarnation, InstanceName, KeyId, Revision, ServiceName, TeamName,
};
use masticfall_core::instance::InstanceRow;
use masticfall_core::key::KeyTable;
use masticfall_core::lease::{LEASE_MS, ObservedLease};
use masticfall_core::routing::{RetryBudget, TargetTable};
use masticfall_core::share::FairQueue;
use masticfall_core::timeline::Timeline;
use masticfall_platform::ListedInstance;
use masticfall_wire::rows::{ConfigRow, MemberRow, Withdrawal};
use tokio::sync::oneshot;

/// Lifecycle phase of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Has no configuration yet.
    Starting,
    /// Serves requests.
    Ready,
    /// Is listed as leaving and still serves requests for a short time.
    Leaving,
    /// Accepts no new requests and finishes those in flight.
    Draining,
    /// Has finished all requests and left the fleet.
    Left,
}

/// Another entry process.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its row as last read.
    pub row: MemberRow,
    /// Its lease as observed here.
    pub lease: ObservedLease,
    /// When a message of it last arrived over the peer channel.
    pub last_heard_ms: Option<u64>,
    /// When it was last sent an acknowledgement.
    pub last_ack_sent_ms: Option<u64>,
    /// Whether its units are being reclaimed. Its heartbeats are then not acknowledged, since
    /// an acknowledgement promises not to reclaim.
    pub reclaiming: bool,
    /// Revision in force there.
    pub revision: Revision,
    /// Digest of the withdrawals known there.
    pub withdrawn_digest: u64,
    /// Leaving instances to which it has no requests in flight, with their row versions.
    pub drained_instances: IndexMap<InstanceName, u64>,
    /// Its demand by service, as last reported.
    pub demand: IndexMap<ServiceName, u32>,
    /// Whether it reaches the platform, as last reported.
    pub reaches_platform: bool,
    /// Digest of its list of instances, as last reported.
    pub list_digest: u64,
}

/// Requests and targets of one service.
#[derive(Debug)]
pub struct ServiceState {
    /// Targets in this data centre.
    pub targets: TargetTable,
    /// Requests waiting for a slot.
    pub queue: FairQueue,
    /// Channels that pass a slot to a waiting request, by ticket.
    pub waiters: IndexMap<u64, oneshot::Sender<InstanceName>>,
    /// Budget for retries.
    pub retries: RetryBudget,
    /// Mean time for which a request holds a slot, in milliseconds.
    pub mean_hold_ms: f64,
}

/// Initial bound on waiting requests, until a queue's configuration is read.
const INITIAL_MAX_WAITING: usize = 1_000;

/// Initial mean time for which a request holds a slot, in milliseconds.
const INITIAL_MEAN_HOLD_MS: f64 = 5.0;

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            targets: TargetTable::default(),
            queue: FairQueue::new(INITIAL_MAX_WAITING),
            waiters: IndexMap::new(),
            retries: RetryBudget::default(),
            mean_hold_ms: INITIAL_MEAN_HOLD_MS,
        }
    }
}

/// Which parts of the held units may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsableUnits {
    /// Base and elastic units.
    All,
    /// Base units.
    Base,
    /// None.
    None,
}

/// Returns the first 64 bits of the BLAKE3 hash of `bytes`.
pub fn digest_of(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The state of a process.
#[derive(Debug)]
pub struct State {
    /// Lifecycle phase of the process.
    pub phase: Phase,
    /// Configuration in force.
    pub config: Option<Arc<FleetConfig>>,
    /// Whether the configuration names this process's data centre.
    pub is_configured: bool,
    /// Row that the configuration was read from.
    pub config_row: Option<ConfigRow>,
    /// Keys and withdrawals.
    pub keys: KeyTable,
    /// Withdrawals of keys, with operator and time.
    pub withdrawals: IndexMap<KeyId, Withdrawal>,
    withdrawn_digest: u64,
    /// Other entry processes.
    pub members: IndexMap<Incarnation, Member>,
    /// Leases that allow the process to use its own units.
    pub leases: HolderLeases,
    /// Local grants of team limits.
    pub limit_grants: IndexMap<TeamName, LocalGrant>,
    /// Local grants of target slots.
    pub slot_grants: IndexMap<InstanceName, LocalGrant>,
    /// Teams whose claims got fewer units than wanted since the peers were last asked.
    pub teams_short_of_units: IndexSet<TeamName>,
    /// Targets whose claims got fewer slots than wanted since the peers were last asked.
    pub targets_short_of_units: IndexSet<InstanceName>,
    /// When the peers were last asked for units.
    pub last_units_request_ms: u64,
    /// Which parts of the slots were usable when the target tables were last refreshed.
    pub slots_usable: UsableUnits,
    /// Requests and targets by service.
    pub services: IndexMap<ServiceName, ServiceState>,
    /// Instances of this data centre, with their row versions.
    pub instances: IndexMap<InstanceName, (u64, InstanceRow)>,
    /// Instances of this data centre as the platform lists them.
    pub listed_instances: IndexMap<InstanceName, ListedInstance>,
    /// Digest of the platform's list of instances.
    pub list_digest: u64,
    /// When that list was last read.
    pub list_read_ms: Option<u64>,
    /// Workers that run tasks, as known to this process's planner.
    pub busy_workers: IndexSet<InstanceName>,
    /// Workers that get no jobs by the decision of this process's planner.
    pub workers_at_fault: IndexSet<InstanceName>,
    /// When the last platform operation that succeeded was sent.
    pub last_platform_answer_ms: Option<u64>,
    /// Whether the last platform operation failed.
    pub platform_failed: bool,
    /// Since when a newer configuration than the one in force is known to exist.
    pub behind_since_ms: Option<u64>,
    /// When a message of any peer last arrived.
    pub last_peer_message_ms: Option<u64>,
    /// Requests admitted but not yet answered.
    pub in_flight: u64,
    /// Number for the next ticket.
    pub next_ticket: u64,
    /// Recorded events.
    pub timeline: Timeline,
}

impl State {
    /// Creates the state of a process that has read nothing yet.
    pub fn new(incarnation: Incarnation, timeline_capacity: usize) -> Self {
        Self {
            phase: Phase::Starting,
            config: None,
            is_configured: false,
            config_row: None,
            keys: KeyTable::default(),
            withdrawals: IndexMap::new(),
            withdrawn_digest: 0,
            members: IndexMap::new(),
            leases: HolderLeases::default(),
            limit_grants: IndexMap::new(),
            slot_grants: IndexMap::new(),
            teams_short_of_units: IndexSet::new(),
            targets_short_of_units: IndexSet::new(),
            last_units_request_ms: 0,
            slots_usable: UsableUnits::None,
            services: IndexMap::new(),
            instances: IndexMap::new(),
            listed_instances: IndexMap::new(),
            list_digest: 0,
            list_read_ms: None,
            busy_workers: IndexSet::new(),
            workers_at_fault: IndexSet::new(),
            last_platform_answer_ms: None,
            platform_failed: false,
            behind_since_ms: None,
            last_peer_message_ms: None,
            in_flight: 0,
            next_ticket: 0,
            timeline: Timeline::new(incarnation, timeline_capacity),
        }
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.config_row.as_ref().map(|row| row.revision).unwrap_or_default()
    }

    /// Puts a configuration in force; returns `false` when it is not newer.
    ///
    /// A process whose data centre is not configured stays unready.
    pub fn activate_config(
        &mut self,
        here: &DataCentre,
        row: ConfigRow,
        config: FleetConfig,
    ) -> bool {
        if row.revision <= self.revision() {
            return false;
        }
        let keys = config.keys.iter();
        self.keys.replace(keys.map(|(id, key)| (key.hash, id.clone(), key.team.clone())));
        for queue in config.queues.values() {
            if let Some(service) = &queue.service {
                let state = self.services.entry(service.clone()).or_default();
                state.queue.set_max_waiting(queue.max_waiting as usize);
            }
        }
        self.is_configured = config.data_centres.contains_key(here);
        self.config = Some(Arc::new(config));
        self.config_row = Some(row);
        self.behind_since_ms = None;
        if self.phase == Phase::Starting && self.is_configured {
            self.phase = Phase::Ready;
        }
        true
    }

    /// Adds a withdrawal; returns `false` when it was already known.
    pub fn withdraw(&mut self, key: KeyId, withdrawal: Withdrawal) -> bool {
        if !self.keys.withdraw(key.clone()) {
            return false;
        }
        // Updated incrementally, because every heartbeat carries and compares the digest.
        self.withdrawn_digest ^= digest_of(key.as_str().as_bytes());
        self.withdrawals.insert(key, withdrawal);
        true
    }

    /// Returns the number of requests in flight and waiting here, by service.
    pub fn demand(&self) -> IndexMap<ServiceName, u32> {
        let services = self.services.iter().map(|(name, service)| {
            let targets = service.targets.targets().values();
            let in_flight: u32 = targets.map(|target| target.in_flight).sum();
            (name.clone(), in_flight + service.queue.len() as u32)
        });
        services.filter(|(_, demand)| *demand > 0).collect()
    }

    /// Returns a digest of the known withdrawals, independent of their order.
    pub fn withdrawn_digest(&self) -> u64 {
        self.withdrawn_digest
    }

    /// Returns whether, for a lease length, the platform did not answer and no peer was heard.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        let is_recent = |at: Option<u64>| at.is_some_and(|at| now_ms < at + LEASE_MS);
        !is_recent(self.last_platform_answer_ms) && !is_recent(self.last_peer_message_ms)
    }

    /// Returns whether the platform answered within a lease length.
    pub fn reaches_platform(&self, now_ms: u64) -> bool {
        self.last_platform_answer_ms.is_some_and(|at| now_ms < at + LEASE_MS)
    }

    /// Returns whether a team's requests are refused because the process is isolated.
    pub fn refuses_isolated(&self, team: &TeamName, now_ms: u64) -> bool {
        let policy = self.config.as_ref().and_then(|config| config.teams.get(team));
        let refuses = policy.is_some_and(|team| team.when_isolated == WhenIsolated::Refuse);
        refuses && self.is_isolated(now_ms)
    }

    /// Returns which parts of the held units are usable.
    pub fn usable_units(&self, now_ms: u64) -> UsableUnits {
        if self.leases.elastic_usable(now_ms) {
            UsableUnits::All
        } else if self.leases.base_usable(now_ms) {
            UsableUnits::Base
        } else {
            UsableUnits::None
        }
    }

    /// Returns the live entry processes of a data centre, except this one.
    pub fn live_members<'a>(
        &'a self,
        data_centre: &'a DataCentre,
    ) -> impl Iterator<Item = (&'a Incarnation, &'a Member)> {
        self.members.iter().filter(move |(_, member)| {
            member.row.data_centre == *data_centre
                && !member.row.leaving
                && !member.lease.is_expired(LEASE_MS)
        })
    }
}
