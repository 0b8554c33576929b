//! The accepted configuration of the fleet.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::spec::Resources;
use crate::id::{AccountName, Name, PoolName, QueueName};
use crate::key::KeyHash;

/// A queue: where jobs are submitted and which pool runs them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// Name.
    pub name: QueueName,
    /// Host name of its requests.
    pub host: Name,
    /// Path prefix of its requests.
    pub prefix: Name,
    /// Pool whose workers run its tasks.
    pub pool: PoolName,
    /// Scheduling priority; 0 goes first.
    pub priority: u32,
    /// Failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Part of the completion-time objective that grows with the job, as a
    /// multiple of the job's critical path.
    pub stretch: f64,
    /// Part of the objective that doesn't depend on the job.
    pub target_ms: u64,
    /// Whether requests are accepted without an API key.
    pub is_open: bool,
    /// Placement policy service to consult, if any.
    pub advice: Option<AdviceConfig>,
}

/// Timing of the placement policy service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceConfig {
    /// Time for each call.
    pub decide_ms: u64,
    /// Additional time for each worker that a call names.
    pub per_worker_ms: u64,
    /// Validity period of a permit.
    pub validity_ms: u64,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolConfig {
    /// Whether its workers refuse tasks that exceed their capacity.
    pub checks_capacity: bool,
    /// Whether its instances are powered off and cost nothing.
    pub is_standby: bool,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountConfig {
    /// Weight of its share when a pool is full.
    pub weight: f64,
    /// Maximum resources that its running tasks may use over the whole fleet; 0
    /// means no limit.
    pub limit: Resources,
}

/// Size limits of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestBounds {
    /// Limit of the total size of the headers.
    pub max_header_bytes: u64,
    /// Limit of the body size.
    pub max_body_bytes: u64,
}

/// An accepted configuration; immutable and replaced as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version number; grows with each configuration.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<QueueName, QueueConfig>,
    /// Pools by name.
    pub pools: IndexMap<PoolName, PoolConfig>,
    /// Client accounts by name.
    pub accounts: IndexMap<AccountName, AccountConfig>,
    /// Client account of each API key.
    pub keys: IndexMap<KeyHash, AccountName>,
    /// Size limits of requests.
    pub bounds: RequestBounds,
}

impl FleetConfig {
    /// Returns the queue of a request: the one on its host with the longest
    /// matching path prefix.
    pub fn queue_of(&self, host: &str, path: &str) -> Option<&QueueConfig> {
        let on_host = self.queues.values().filter(|queue| queue.host.eq_ignore_ascii_case(host));
        on_host
            .filter(|queue| path.starts_with(&*queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queues of an earlier configuration that this one lacks.
    pub fn removed_queues<'a>(
        &self,
        earlier: &'a Self,
    ) -> impl Iterator<Item = &'a QueueConfig> + use<'a, '_> {
        earlier.queues.values().filter(|queue| !self.queues.contains_key(&queue.name))
    }

    /// Returns this configuration as it holds for the jobs that have been accepted: with the
    /// queues that were removed after their jobs were accepted.
    pub fn with_removed_queues(
        self: &Arc<Self>,
        removed: &IndexMap<QueueName, QueueConfig>,
    ) -> Arc<Self> {
        if removed.is_empty() {
            return Arc::clone(self);
        }
        let mut config = Self::clone(self);
        for (name, queue) in removed {
            config.queues.entry(name.clone()).or_insert_with(|| queue.clone());
        }
        Arc::new(config)
    }

    /// Returns the client account of an API key.
    pub fn account_of(&self, key: &str) -> Option<&AccountName> {
        self.keys.get(&KeyHash::of(key))
    }
}
