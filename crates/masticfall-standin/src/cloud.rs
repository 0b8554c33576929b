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

/// Time an instance takes to reboot, in milliseconds.
const REBOOT_MS: u64 = 300;

/// An instance of the stand-in platform.
#[derive(Debug, Clone)]
pub struct CloudInstance {
    /// Its sizes and address.
    pub facts: InstanceFacts,
    /// Pool in which it was started.
    pub first_pool: PoolName,
    /// Identifier of its boot.
    pub boot: u64,
    /// Whether it runs or is about to be taken away; none while it reboots.
    pub state: Option<ListedState>,
}

/// What the platform holds.
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
    /// Makes an empty platform whose faults are drawn from `seed`.
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

    /// Sets the time that every operation takes, in milliseconds.
    pub fn set_latency_ms(&self, latency_ms: u64) {
        self.state.lock().latency_ms = latency_ms;
    }

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().faults);
    }

    /// Adds an instance.
    pub fn add_instance(&self, name: InstanceName, facts: InstanceFacts, first_pool: PoolName) {
        let state = Some(ListedState::Live);
        let instance = CloudInstance { facts, first_pool, boot: 1, state };
        self.state.lock().instances.insert(name, instance);
    }

    /// Changes an instance's listing; `None` takes it off the list.
    pub fn set_listed(&self, name: &InstanceName, listed: Option<ListedState>) {
        if let Some(instance) = self.state.lock().instances.get_mut(name) {
            instance.state = listed;
        }
    }

    /// Returns a row as the platform holds it.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state.lock().rows.get(key).cloned()
    }

    /// Returns the rows whose key starts with a prefix.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.state.lock().scan(prefix)
    }

    /// Returns the identifier of an instance's boot; 0 when it is not known.
    pub fn boot(&self, name: &InstanceName) -> u64 {
        self.state.lock().instances.get(name).map_or(0, |instance| instance.boot)
    }

    /// Returns the attempts that ran to their end, as the workers saw it.
    pub fn finished_attempts(&self) -> Vec<(String, u32)> {
        self.state.lock().workers.finished_attempts()
    }

    /// Asks for a reboot of the boot `boot`.
    pub(crate) fn reboot(&self, name: &InstanceName, boot: u64) {
        let mut state = self.state.lock();
        let lost = state.faults.lost_at_reboot.contains(name);
        let Some(instance) = state.instances.get_mut(name) else {
            return;
        };
        if instance.boot != boot || instance.state.is_none() {
            return;
        }
        instance.state = None;
        drop(state);
        if lost {
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
        let here = self.instances.iter();
        let here = here.filter(|(_, instance)| instance.facts.data_centre == *data_centre);
        let listed = here.filter_map(|(name, instance)| {
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

    pub(crate) fn loses_answer(&mut self) -> bool {
        let per_mille = self.faults.lost_responses_per_mille;
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }
}
