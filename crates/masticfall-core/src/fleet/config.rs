//! The fleet's configuration as its operators last accepted it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::spec::Resources;
use crate::id::{AccountName, Name, PoolName, QueueName};
use crate::key::KeyHash;

/// A queue: where jobs are handed in and which pool runs them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// Its name.
    pub name: QueueName,
    /// Host name of its requests.
    pub host: Name,
    /// Prefix of the paths of its requests.
    pub prefix: Name,
    /// Pool whose workers run its tasks.
    pub pool: PoolName,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// Objective as a multiple of a job's longest chain.
    pub stretch: f64,
    /// Part of the objective that doesn't depend on the job, in milliseconds.
    pub target_ms: u64,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Placement policy service that has to be asked, if any.
    pub advice: Option<AdviceConfig>,
}

/// How fast the placement policy service decides, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceConfig {
    /// Time for each call, in milliseconds.
    pub decide_ms: u64,
    /// Time for each worker that a call names, in milliseconds.
    pub per_worker_ms: u64,
    /// Time for which a permit holds, in milliseconds.
    pub validity_ms: u64,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolConfig {
    /// Whether its workers refuse what doesn't fit.
    pub checks_capacity: bool,
    /// Whether its instances are off, and cost nothing.
    pub is_standby: bool,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountConfig {
    /// Its share when the fleet is full.
    pub weight: f64,
    /// Most that it may have running over the whole fleet; 0 means no limit.
    pub limit: Resources,
}

/// Bounds on requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestBounds {
    /// Largest sum of header bytes.
    pub max_header_bytes: u64,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
}

/// An accepted configuration; immutable, replaced as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Its number; a later one is greater.
    pub version: u64,
    /// Queues.
    pub queues: IndexMap<QueueName, QueueConfig>,
    /// Pools.
    pub pools: IndexMap<PoolName, PoolConfig>,
    /// Client accounts.
    pub accounts: IndexMap<AccountName, AccountConfig>,
    /// Client account of each key.
    pub keys: IndexMap<KeyHash, AccountName>,
    /// Bounds on requests.
    pub bounds: RequestBounds,
}

impl FleetConfig {
    /// Returns the queue of a request: same host, longest prefix of the path.
    pub fn queue_of(&self, host: &str, path: &str) -> Option<&QueueConfig> {
        let here = self.queues.values().filter(|queue| queue.host.eq_ignore_ascii_case(host));
        here.filter(|queue| path.starts_with(&*queue.prefix)).max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the client account of a key.
    pub fn account_of(&self, key: &str) -> Option<&AccountName> {
        self.keys.get(&KeyHash::of(key))
    }
}
