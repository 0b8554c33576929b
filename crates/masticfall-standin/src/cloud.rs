//! State of the stand-in platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use masticfall_core::id::{DataCentre, InstanceName, PoolName};
use masticfall_core::instance::InstanceFacts;
use masticfall_platform::{
    Check, Commit, Condition, ListedInstance, ListedState, Row, Transaction,
};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fault::Faults;
use crate::worker::WorkerTasks;

/// Duration of a reboot, in milliseconds.
const REBOOT_MS: u64 = 300;

/// An instance of the stand-in platform.
#[derive(Debug, Clone)]
pub struct CloudInstance {
    /// Kind, location, address and capacity.
    pub facts: InstanceFacts,
    /// Pool in which the instance was started.
    pub first_pool: PoolName,
    /// Identifier of the current boot.
    pub boot: u64,
    /// Listed state; `None` while the instance reboots or is unlisted.
    pub state: Option<ListedState>,
}

/// Data, instances and faults of the stand-in platform.
#[derive(Debug)]
pub(crate) struct CloudState {
    pub(crate) rows: BTreeMap<String, Row>,
    pub(crate) version: u64,
    pub(crate) objects: IndexMap<String, Bytes>,
    pub(crate) instances: IndexMap<InstanceName, CloudInstance>,
    pub(crate) workers: WorkerTasks,
    pub(crate) faults: Faults,
    pub(crate) latency_ms: u64,
    pub(crate) rng: StdRng,
}

/// The stand-in platform.
#[derive(Debug, Clone)]
pub struct Cloud {
    pub(crate) state: Arc<Mutex<CloudState>>,
}

impl Cloud {
    /// Creates an empty platform; `seed` determines which responses are lost.
    pub fn new(seed: u64) -> Self {
        let state = CloudState {
            rows: BTreeMap::new(),
            version: 0,
            objects: IndexMap::new(),
            instances: IndexMap::new(),
            workers: WorkerTasks::default(),
            faults: Faults::default(),
            latency_ms: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Sets the latency of every operation, in milliseconds.
    pub fn set_latency_ms(&self, latency_ms: u64) {
        self.state.lock().latency_ms = latency_ms;
    }

    /// Updates the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().faults);
    }

    /// Adds an instance.
    pub fn add_instance(&self, name: InstanceName, facts: InstanceFacts, first_pool: PoolName) {
        let state = Some(ListedState::Live);
        let instance = CloudInstance { facts, first_pool, boot: 1, state };
        self.state.lock().instances.insert(name, instance);
    }

    /// Sets the listed state of an instance; `None` unlists it.
    pub fn set_listed(&self, name: &InstanceName, listed: Option<ListedState>) {
        if let Some(instance) = self.state.lock().instances.get_mut(name) {
            instance.state = listed;
        }
    }

    /// Writes a row from outside of the system.
    pub fn put_row(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock();
        state.version += 1;
        let version = state.version;
        state
            .rows
            .insert(key.to_string(), Row { key: key.to_string(), version, value: value.to_vec() });
    }

    /// Returns the stored row with this key.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state.lock().rows.get(key).cloned()
    }

    /// Returns the stored rows whose keys start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.state.lock().scan(prefix)
    }

    /// Returns the boot identifier of an instance; 0 for an unknown instance.
    pub fn boot(&self, name: &InstanceName) -> u64 {
        self.state.lock().instances.get(name).map_or(0, |instance| instance.boot)
    }

    /// Returns the job and attempt number of each task that finished, as recorded by the workers.
    pub fn finished_attempts(&self) -> Vec<(String, u32)> {
        self.state.lock().workers.finished_attempts()
    }

    /// Reboots an instance if `boot` is its current boot and it is listed.
    pub(crate) fn reboot(&self, name: &InstanceName, boot: u64) {
        let mut state = self.state.lock();
        let is_lost = state.faults.lost_at_reboot.contains(name);
        let Some(instance) = state.instances.get_mut(name) else {
            return;
        };
        if instance.boot != boot || instance.state.is_none() {
            return;
        }
        instance.state = None;
        drop(state);
        if is_lost {
            return;
        }
        let (cloud, name) = (self.clone(), name.clone());
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(REBOOT_MS)).await;
            if let Some(instance) = cloud.state.lock().instances.get_mut(&name) {
                instance.boot += 1;
                instance.state = Some(ListedState::Live);
            }
        });
    }
}

impl CloudState {
    pub(crate) fn transact(&mut self, transaction: Transaction) -> Commit {
        for check in &transaction.checks {
            if !self.holds(check) {
                return Commit::Conflict(check.key.clone());
            }
        }
        self.version += 1;
        let version = self.version;
        for write in transaction.writes {
            match write.value {
                Some(value) => {
                    let row = Row { key: write.key.clone(), version, value };
                    self.rows.insert(write.key, row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        Commit::Done(version)
    }

    fn holds(&self, check: &Check) -> bool {
        let version = self.rows.get(&check.key).map(|row| row.version);
        match check.condition {
            Condition::Absent => version.is_none(),
            Condition::Version(expected) => version == Some(expected),
        }
    }

    pub(crate) fn scan(&self, prefix: &str) -> Vec<Row> {
        let from = self.rows.range(prefix.to_string()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, row)| row.clone()).collect()
    }

    pub(crate) fn list(&self, data_centre: &DataCentre) -> Vec<ListedInstance> {
        let local = self.instances.iter();
        let local = local.filter(|(_, instance)| instance.facts.data_centre == *data_centre);
        let listed = local.filter_map(|(name, instance)| {
            Some(ListedInstance {
                name: name.clone(),
                facts: instance.facts.clone(),
                first_pool: instance.first_pool.clone(),
                boot: instance.boot,
                state: instance.state?,
            })
        });
        listed.collect()
    }

    pub(crate) fn loses_response(&mut self) -> bool {
        let per_mille = self.faults.lost_responses_per_mille;
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }
}
