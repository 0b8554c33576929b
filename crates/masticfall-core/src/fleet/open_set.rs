//! The open set: workers that may run tasks whose placement is not stored yet.
//!
//! The set is stored before a worker in it gets such a start. The next owner reads it and
//! contacts each worker in it before it starts a task for the first time. A write of the
//! set that got no answer may have taken effect or not, so that meanwhile only workers in
//! every set that may be stored count.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::spec::{JobSpec, Resources};
use super::worker::WorkerFacts;
use crate::id::{PoolName, WorkerId};

/// Number of workers in a row. One takes up to 150 bytes with an identifier of 64 bytes,
/// and the platform limits rows to 65,536 bytes.
const ROW_WORKERS: usize = 256;

/// Number of tasks from which on a job's tasks don't start early: its row of progress may
/// be full, so that an early run could not be stored.
const WIDE_JOB_TASKS: u64 = super::progress::WIDE_JOB_TASKS as u64;

/// Returns whether the first run of a task may be ordered before its placement is stored.
///
/// The answer depends on the job's specification only, so that the next owner knows the
/// tasks that may have such a run.
pub fn may_start_early(spec: &JobSpec, step: u32) -> bool {
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
    let is_eligible = spec
        .steps
        .get(step as usize)
        .is_some_and(|step| !step.is_gang && !step.is_long_running && !step.is_filler);
    is_eligible && spec.repeat == 0 && tasks <= WIDE_JOB_TASKS
}

/// A worker of the open set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenWorker {
    /// Address that the next owner contacts it at.
    pub address: SocketAddr,
    /// Pool.
    pub pool: PoolName,
    /// Total resources.
    pub capacity: Resources,
}

impl OpenWorker {
    /// Creates the entry of a worker.
    pub fn new(facts: &WorkerFacts) -> Self {
        Self { address: facts.address, pool: facts.pool.clone(), capacity: facts.capacity }
    }
}

/// An open set as stored.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OpenContent {
    /// Version of the configuration, which maps queues to pools; 0 if there is none.
    pub config_version: u64,
    /// The workers.
    pub workers: IndexMap<WorkerId, OpenWorker>,
}

/// A worker as stored: identifier, address, pool as an index into [`OpenRow::pools`],
/// then thousandths of a core, memory in MiB and accelerators.
type OpenWorkerTuple = (WorkerId, SocketAddr, u32, u64, u64, u64);

/// A row of an open set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRow {
    /// Epoch of the owner that wrote it.
    pub epoch: u32,
    /// Version of the configuration.
    pub config_version: u64,
    /// Number of rows of the set.
    pub row_count: u32,
    /// Pools of the workers in this row.
    pub pools: IndexSet<PoolName>,
    /// Workers.
    pub workers: Vec<OpenWorkerTuple>,
}

impl OpenContent {
    /// Returns the rows to be stored, at least one.
    pub fn to_rows(&self, epoch: u32) -> Vec<OpenRow> {
        let row_count = self.workers.len().div_ceil(ROW_WORKERS).max(1);
        let row = OpenRow {
            epoch,
            config_version: self.config_version,
            row_count: row_count as u32,
            pools: IndexSet::new(),
            workers: Vec::new(),
        };
        let mut rows = vec![row; row_count];
        for (index, (id, worker)) in self.workers.iter().enumerate() {
            let row = &mut rows[index / ROW_WORKERS];
            let pool = row.pools.insert_full(worker.pool.clone()).0 as u32;
            let Resources { cpu_millis, memory_mib, accelerators } = worker.capacity;
            let address = worker.address;
            row.workers.push((id.clone(), address, pool, cpu_millis, memory_mib, accelerators));
        }
        rows
    }

    /// Restores a set from its rows in order, with the epoch that wrote it; `None` if a row
    /// is missing or refers to a pool that it doesn't name.
    pub fn from_rows(rows: &[OpenRow]) -> Option<(u32, Self)> {
        let first = rows.first()?;
        let (epoch, config_version) = (first.epoch, first.config_version);
        let rows = rows.get(..first.row_count as usize)?;
        let mut workers = IndexMap::new();
        for row in rows {
            if (row.epoch, row.config_version) != (epoch, config_version) {
                return None;
            }
            for (id, address, pool, cpu_millis, memory_mib, accelerators) in row.workers.clone() {
                let pool = row.pools.get_index(pool as usize)?.clone();
                let capacity = Resources { cpu_millis, memory_mib, accelerators };
                workers.insert(id, OpenWorker { address, pool, capacity });
            }
        }
        Some((epoch, Self { config_version, workers }))
    }
}

/// What an owner knows of the stored open set.
#[derive(Debug, Clone, Default)]
pub struct OpenSet {
    /// The stored set; `None` while it is unknown.
    stored: Option<OpenContent>,
    /// Workers with an equal entry in every set that may be stored.
    common: IndexMap<WorkerId, OpenWorker>,
    /// Version of the configuration, if it is the same in every set that may be stored.
    common_version: Option<u64>,
}

impl OpenSet {
    /// Creates the view of an owner that has found no rows.
    pub fn absent() -> Self {
        Self { stored: Some(OpenContent::default()), ..Self::default() }
    }

    /// Creates the view of an owner that has found rows of an earlier one.
    pub fn unknown() -> Self {
        Self::default()
    }

    /// Returns whether a worker is in the stored set as it is listed now, under a version
    /// of the configuration.
    pub fn allows(&self, facts: &WorkerFacts, config_version: u64) -> bool {
        self.common_version == Some(config_version)
            && self.common.get(&facts.id).is_some_and(|open| *open == OpenWorker::new(facts))
    }

    /// Returns whether a set differs from the stored one, or that one is unknown.
    pub fn needs_write(&self, desired: &OpenContent) -> bool {
        self.stored.as_ref() != Some(desired)
    }

    /// Records that a write of a set is about to be sent.
    pub fn begin_write(&mut self, content: &OpenContent) {
        self.stored = None;
        self.common.retain(|id, open| content.workers.get(id) == Some(open));
        self.common_version = self.common_version.filter(|v| *v == content.config_version);
    }

    /// Records that a set is stored, and that no earlier write can take effect any more.
    pub fn confirm(&mut self, content: OpenContent) {
        self.common.clone_from(&content.workers);
        self.common_version = Some(content.config_version);
        self.stored = Some(content);
    }
}
