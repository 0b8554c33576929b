//! Tables of an entry process.

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

/// Where a process is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Has no configuration yet.
    Starting,
    /// Serves.
    Ready,
    /// Is listed as leaving and serves on for a short time.
    Leaving,
    /// Takes nothing new; what it took goes on.
    Draining,
    /// Has nothing left to do.
    Left,
}

/// Another entry process.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its row as last read.
    pub row: MemberRow,
    /// Its lease as observed here.
    pub lease: ObservedLease,
    /// When it was last heard over the peers' channel.
    pub last_heard_ms: Option<u64>,
    /// When it was last sent an acknowledgement.
    pub last_ack_sent_ms: Option<u64>,
    /// Whether its units are being taken back, so that no promise may be given.
    pub reclaiming: bool,
    /// Revision in force there.
    pub revision: Revision,
    /// Digest of the withdrawals known there.
    pub withdrawn_digest: u64,
    /// Leaving instances that it has nothing in flight to, with the version of their rows.
    pub drained_instances: IndexMap<InstanceName, u64>,
    /// Its demand by service, as last heard.
    pub demand: IndexMap<ServiceName, u32>,
    /// Whether it reaches the platform, as last heard.
    pub reaches_platform: bool,
    /// Digest of its list of instances, as last heard.
    pub list_digest: u64,
}

/// Requests and targets of one service.
#[derive(Debug)]
pub struct ServiceState {
    /// Targets in this data centre.
    pub targets: TargetTable,
    /// Requests that wait for a slot.
    pub queue: FairQueue,
    /// Where to hand the slot to, by ticket.
    pub waiters: IndexMap<u64, oneshot::Sender<InstanceName>>,
    /// Retries left.
    pub retries: RetryBudget,
    /// Mean time a request holds a slot, in milliseconds.
    pub mean_hold_ms: f64,
}

/// Initial bound on waiting requests, until a queue's configuration is read.
const INITIAL_MAX_WAITING: usize = 1_000;

/// Initial mean time a request holds a slot, in milliseconds.
const INITIAL_HOLD_MS: f64 = 5.0;

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            targets: TargetTable::default(),
            queue: FairQueue::new(INITIAL_MAX_WAITING),
            waiters: IndexMap::new(),
            retries: RetryBudget::default(),
            mean_hold_ms: INITIAL_HOLD_MS,
        }
    }
}

/// Which parts of the slots are usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsableUnits {
    /// Base and elastic units.
    All,
    /// Base units.
    Base,
    /// None.
    None,
}

/// Returns the first 64 bits of the BLAKE3 hash of some bytes.
pub fn digest_of(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// All tables of a process.
#[derive(Debug)]
pub struct State {
    /// Where the process is in its life.
    pub phase: Phase,
    /// Configuration in force.
    pub config: Option<Arc<FleetConfig>>,
    /// Whether the configuration names this process's data centre.
    pub is_configured: bool,
    /// The row it was read from.
    pub config_row: Option<ConfigRow>,
    /// Keys and withdrawals.
    pub keys: KeyTable,
    /// Withdrawals with who and when.
    pub withdrawals: IndexMap<KeyId, Withdrawal>,
    withdrawn_digest: u64,
    /// Other entry processes.
    pub members: IndexMap<Incarnation, Member>,
    /// Guard of the process's own units.
    pub leases: HolderLeases,
    /// Accounts of team limits.
    pub limit_grants: IndexMap<TeamName, LocalGrant>,
    /// Accounts of target slots.
    pub slot_grants: IndexMap<InstanceName, LocalGrant>,
    /// Teams whose last claim came short.
    pub teams_short_of_units: IndexSet<TeamName>,
    /// Targets of which the last claim of slots came short.
    pub targets_short_of_units: IndexSet<InstanceName>,
    /// When peers were last asked for units.
    pub last_units_request_ms: u64,
    /// Which parts of the slots the target tables reflect.
    pub slots_usable: UsableUnits,
    /// Services.
    pub services: IndexMap<ServiceName, ServiceState>,
    /// Instances of this data centre, with the version of their rows.
    pub instances: IndexMap<InstanceName, (u64, InstanceRow)>,
    /// Instances of this data centre as the platform lists them.
    pub listed_instances: IndexMap<InstanceName, ListedInstance>,
    /// Digest of the list.
    pub list_digest: u64,
    /// When the list was last read.
    pub list_read_ms: Option<u64>,
    /// Workers that run tasks, as this process's planner knows.
    pub busy_workers: IndexSet<InstanceName>,
    /// Workers that get no jobs, as this process's planner judges.
    pub workers_at_fault: IndexSet<InstanceName>,
    /// When the platform last answered.
    pub last_platform_answer_ms: Option<u64>,
    /// Whether the last operation of the platform failed.
    pub platform_failed: bool,
    /// Since when a newer configuration is known to exist.
    pub behind_since_ms: Option<u64>,
    /// When a peer was last heard.
    pub last_peer_message_ms: Option<u64>,
    /// Requests admitted and not answered yet.
    pub in_flight: u64,
    /// Number for the next ticket.
    pub next_ticket: u64,
    /// Events.
    pub timeline: Timeline,
}

impl State {
    /// Makes empty tables.
    pub fn new(who: Incarnation, ring_events: usize) -> Self {
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
            timeline: Timeline::new(who, ring_events),
        }
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.config_row.as_ref().map(|row| row.revision).unwrap_or_default()
    }

    /// Puts a configuration in force; `false` when it is not newer.
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

    /// Adds a withdrawal; `false` when it was known.
    pub fn withdraw(&mut self, key: KeyId, withdrawal: Withdrawal) -> bool {
        if !self.keys.withdraw(key.clone()) {
            return false;
        }
        // Heartbeats carry and compare it: it is kept up rather than made anew.
        self.withdrawn_digest ^= digest_of(key.as_str().as_bytes());
        self.withdrawals.insert(key, withdrawal);
        true
    }

    /// Returns the requests in flight and waiting here, by service.
    pub fn demand(&self) -> IndexMap<ServiceName, u32> {
        let services = self.services.iter().map(|(name, service)| {
            let targets = service.targets.targets().values();
            let in_flight: u32 = targets.map(|target| target.in_flight).sum();
            (name.clone(), in_flight + service.queue.len() as u32)
        });
        services.filter(|(_, demand)| *demand > 0).collect()
    }

    /// Returns a digest of the withdrawals known, independent of their order.
    pub fn withdrawn_digest(&self) -> u64 {
        self.withdrawn_digest
    }

    /// Tells whether neither the platform nor any peer was heard for a lease length.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        let recent = |at: Option<u64>| at.is_some_and(|at| now_ms < at + LEASE_MS);
        !recent(self.last_platform_answer_ms) && !recent(self.last_peer_message_ms)
    }

    /// Tells whether the platform answered within a lease length.
    pub fn reaches_platform(&self, now_ms: u64) -> bool {
        self.last_platform_answer_ms.is_some_and(|at| now_ms < at + LEASE_MS)
    }

    /// Tells whether a team's requests are refused because the process is cut off.
    pub fn refuses_isolated(&self, team: &TeamName, now_ms: u64) -> bool {
        let policy = self.config.as_ref().and_then(|config| config.teams.get(team));
        let refuses = policy.is_some_and(|team| team.when_isolated == WhenIsolated::Refuse);
        refuses && self.is_isolated(now_ms)
    }

    /// Returns which parts of the units are usable.
    pub fn usable_units(&self, now_ms: u64) -> UsableUnits {
        if self.leases.elastic_usable(now_ms) {
            UsableUnits::All
        } else if self.leases.base_usable(now_ms) {
            UsableUnits::Base
        } else {
            UsableUnits::None
        }
    }

    /// Returns the live entry processes of a data centre, without this one.
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
