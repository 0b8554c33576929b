//! The typed model of a fleet configuration.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::id::{DataCentre, KeyId, Name, PoolName, QueueName, ServiceName, TeamName};
use crate::key::KeyHash;

/// The kind of work that a queue carries.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum QueueClass {
    /// Requests whose callers wait for the response.
    Interactive,
    /// Jobs that run on workers.
    Long,
}

/// What an isolated process does with a team's requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WhenIsolated {
    /// Serves them with the configuration and withdrawals known so far.
    Serve,
    /// Refuses them, since a key withdrawal might not have arrived.
    Refuse,
}

/// The permissions of an operator's key.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Read only.
    Read,
    /// Read and change.
    Change,
}

/// Which measures have priority when they conflict.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Weighting {
    /// Roll-out time and number of moves.
    Disruption,
    /// Closeness to the configured shares, and the cost of buffers.
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
    /// Number of requests that one target runs concurrently.
    pub slots: u32,
    /// Number of connections that one target accepts.
    pub connections: u32,
}

/// A pool of instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolConfig {
    /// Service that the pool's targets run; `None` for a pool of workers.
    pub service: Option<ServiceName>,
    /// Part of the instances that must stay available, in percent.
    pub min_available_percent: u32,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueConfig {
    /// Service that handles the requests; `None` for a long queue.
    pub service: Option<ServiceName>,
    /// Pool whose workers run the jobs; `None` for an interactive queue.
    pub pool: Option<PoolName>,
    /// Kind of work that the queue carries.
    pub class: QueueClass,
    /// Whether the queue accepts work without a key.
    pub open: bool,
    /// Teams that may use the queue; empty for all.
    pub teams: IndexSet<TeamName>,
    /// Maximum number of requests that wait in one process.
    pub max_waiting: u32,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamConfig {
    /// Requests and jobs that the team may run concurrently across the fleet.
    pub limit: u32,
    /// Weight of the team when the fleet is at capacity.
    pub share: u32,
    /// What an isolated process does with the team's requests.
    pub when_isolated: WhenIsolated,
}

/// A key of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyConfig {
    /// Team to which the key is issued.
    pub team: TeamName,
    /// Hash of the key.
    pub hash: KeyHash,
}

/// An operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorConfig {
    /// Hash of the operator's key.
    pub hash: KeyHash,
    /// Permissions of the key.
    pub role: Role,
}

/// A fleet configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetConfig {
    /// Name of the fleet.
    pub name: Name,
    /// Pool of spare instances, which other pools use when they are short.
    pub spare_pool: Option<PoolName>,
    /// Maximum deadline of a request, in milliseconds.
    pub max_deadline_ms: u64,
    /// Which measures have priority.
    pub weighting: Weighting,
    /// Whether the planner moves instances between pools automatically.
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
    /// Returns the name and role of the operator with this key.
    pub fn operator_of(&self, key: &str) -> Option<(&Name, Role)> {
        let hash = KeyHash::of(key);
        let found = self.operators.iter().find(|(_, operator)| operator.hash.matches(&hash))?;
        Some((found.0, found.1.role))
    }

    /// Returns the service that a pool's targets run.
    pub fn service_of(&self, pool: &PoolName) -> Option<&ServiceName> {
        self.pools.get(pool)?.service.as_ref()
    }
}
