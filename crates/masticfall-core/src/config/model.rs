//! The typed model of a fleet configuration.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::id::{DataCentre, KeyId, Name, PoolName, QueueName, ServiceName, TeamName};
use crate::key::KeyHash;

/// What a queue carries.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum QueueClass {
    /// Requests that a caller waits for.
    Interactive,
    /// Jobs that run on workers.
    Long,
}

/// What a process that is cut off does with a team's requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WhenIsolated {
    /// Goes on with what it knows.
    Serve,
    /// Refuses, since a withdrawal could not arrive.
    Refuse,
}

/// What an operator's key allows.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Reads.
    Read,
    /// Reads and changes.
    Change,
}

/// Which measures weigh more where they pull against each other.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Weighting {
    /// Roll-out time and moves.
    Disruption,
    /// Nearness to share and buffer cost.
    Share,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreConfig {
    /// Data centres to which work may spill over, nearest first.
    pub near: Vec<DataCentre>,
}

/// A service that targets run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Requests that one target runs at once.
    pub slots: u32,
    /// Connections that one target accepts.
    pub connections: u32,
}

/// A pool of instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolConfig {
    /// Service that its targets run; none for a pool of workers.
    pub service: Option<ServiceName>,
    /// Part that has to stay available, in percent.
    pub min_available_percent: u32,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueConfig {
    /// Service that answers it; none for a long queue.
    pub service: Option<ServiceName>,
    /// Pool whose workers run its jobs; none for an interactive queue.
    pub pool: Option<PoolName>,
    /// What it carries.
    pub class: QueueClass,
    /// Whether it takes work without a key.
    pub open: bool,
    /// Teams that may use it; empty for all.
    pub teams: IndexSet<TeamName>,
    /// Requests that may wait in one process.
    pub max_waiting: u32,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamConfig {
    /// Requests and jobs that it may run at once over the whole fleet.
    pub limit: u32,
    /// Weight when the fleet is full.
    pub share: u32,
    /// What a process that is cut off does with its requests.
    pub when_isolated: WhenIsolated,
}

/// A key of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyConfig {
    /// Team for which it is given.
    pub team: TeamName,
    /// Hash of the key.
    pub hash: KeyHash,
}

/// An operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorConfig {
    /// Hash of the operator's key.
    pub hash: KeyHash,
    /// What the key allows.
    pub role: Role,
}

/// A fleet configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetConfig {
    /// Name of the fleet.
    pub name: Name,
    /// Pool that lends instances to others.
    pub spare_pool: Option<PoolName>,
    /// Longest deadline of a request, in milliseconds.
    pub max_deadline_ms: u64,
    /// Which measures weigh more.
    pub weighting: Weighting,
    /// Whether the planner moves instances between pools by itself.
    pub auto_moves: bool,
    /// Data centres.
    pub data_centres: IndexMap<DataCentre, DataCentreConfig>,
    /// Services.
    pub services: IndexMap<ServiceName, ServiceConfig>,
    /// Pools.
    pub pools: IndexMap<PoolName, PoolConfig>,
    /// Queues.
    pub queues: IndexMap<QueueName, QueueConfig>,
    /// Teams.
    pub teams: IndexMap<TeamName, TeamConfig>,
    /// Keys of teams.
    pub keys: IndexMap<KeyId, KeyConfig>,
    /// Operators.
    pub operators: IndexMap<Name, OperatorConfig>,
}

impl FleetConfig {
    /// Returns the operator whose key this is.
    pub fn operator_of(&self, key: &str) -> Option<(&Name, Role)> {
        let hash = KeyHash::of(key);
        let found = self.operators.iter().find(|(_, operator)| operator.hash.matches(&hash))?;
        Some((found.0, found.1.role))
    }

    /// Returns the service of a pool's targets.
    pub fn service_of(&self, pool: &PoolName) -> Option<&ServiceName> {
        self.pools.get(pool)?.service.as_ref()
    }
}
