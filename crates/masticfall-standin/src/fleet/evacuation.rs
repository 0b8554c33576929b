//! Evacuations of data centres by operators, and the check of starts in them.

use indexmap::{IndexMap, IndexSet};
use masticfall_core::id::{DataCentre, Name, WorkerId};
use masticfall_platform::fleet::{OperatorUpdate, RowKey, RowTransaction};

use super::check::Violation;
use super::{RunRecord, World};

/// An evacuation as it happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// Evacuated data centre.
    pub data_centre: DataCentre,
    /// When the store acknowledged it, in milliseconds of simulated time.
    pub since_ms: u64,
    /// When it was lifted, if it was.
    pub lifted_ms: Option<u64>,
}

/// Rows of the operators' table about evacuations.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    log: Vec<(u64, DataCentre, bool)>,
    record: Vec<EvacuationRecord>,
    /// Version up to which the feed has lost its history.
    gone_until: u64,
}

impl Evacuations {
    /// Returns the changes after a version that the feed still knows.
    pub(super) fn updates_since(&self, after: u64) -> impl Iterator<Item = OperatorUpdate> {
        let newer = self.log.iter().filter(move |(version, ..)| *version > after);
        newer.map(|(_, data_centre, is_evacuated)| OperatorUpdate::Evacuation {
            data_centre: data_centre.clone(),
            is_evacuated: *is_evacuated,
        })
    }

    /// Returns the rows that stand.
    pub(super) fn listed(&self) -> OperatorUpdate {
        let standing = self.record.iter().filter(|entry| entry.lifted_ms.is_none());
        let names: IndexSet<DataCentre> = standing.map(|entry| entry.data_centre.clone()).collect();
        OperatorUpdate::Evacuated(names)
    }

    pub(super) fn is_history_gone(&self, after: u64) -> bool {
        after < self.gone_until
    }
}

impl World {
    /// Writes or removes the operators' row that evacuates a data centre.
    pub fn set_evacuated(&self, data_centre: &str, is_evacuated: bool) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock();
        state.version += 1;
        let version = state.version;
        let data_centre = DataCentre::from(data_centre);
        let evacuations = &mut state.evacuations;
        evacuations.log.push((version, data_centre.clone(), is_evacuated));
        let mut record = evacuations.record.iter_mut();
        let standing =
            record.find(|entry| entry.data_centre == data_centre && entry.lifted_ms.is_none());
        match standing {
            Some(entry) if !is_evacuated => entry.lifted_ms = Some(now_ms),
            None if is_evacuated => evacuations.record.push(EvacuationRecord {
                data_centre,
                since_ms: now_ms,
                lifted_ms: None,
            }),
            _ => {}
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Writes or removes a row of the operators, whatever the store does with the calls of
    /// processes.
    pub fn write_operators_row(&self, table: &'static str, key: &str, value: Option<Vec<u8>>) {
        let row_key = RowKey { table, part: Name::from(""), key: Name::from(key) };
        let transaction = RowTransaction { checks: Vec::new(), writes: vec![(row_key, value)] };
        self.state.lock().apply(transaction);
        self.changed.notify_waiters();
    }

    /// Makes the operators' feed lose its history so far.
    pub fn lose_operator_history(&self) {
        let mut state = self.state.lock();
        state.version += 1;
        state.evacuations.gone_until = state.version;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns all evacuations so far.
    pub fn evacuations(&self) -> Vec<EvacuationRecord> {
        self.state.lock().evacuations.record.clone()
    }

    /// Moves a worker's entry to another data centre.
    pub fn set_data_centre(&self, worker: usize, data_centre: &str) {
        let mut state = self.state.lock();
        let Some((id, worker)) = state.workers.get_index_mut(worker) else { return };
        worker.facts.data_centre = data_centre.into();
        let id = id.clone();
        state.version += 1;
        let version = state.version;
        state.worker_log.push((version, id));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the data centre of each worker.
    pub fn data_centres(&self) -> IndexMap<WorkerId, DataCentre> {
        let state = self.state.lock();
        let facts = state.workers.values().map(|worker| &worker.facts);
        facts.map(|facts| (facts.id.clone(), facts.data_centre.clone())).collect()
    }

    /// Returns the runs that started in a data centre later than `limit_ms` after its
    /// evacuation was acknowledged, and before it was lifted.
    pub fn starts_in_evacuated(&self, limit_ms: u64) -> Vec<Violation> {
        starts_in_evacuated(&self.record(), &self.evacuations(), &self.data_centres(), limit_ms)
    }
}

fn starts_in_evacuated(
    record: &[RunRecord],
    evacuations: &[EvacuationRecord],
    data_centres: &IndexMap<WorkerId, DataCentre>,
    limit_ms: u64,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for run in record {
        let data_centre = data_centres.get(&run.worker);
        let is_late = |entry: &&EvacuationRecord| {
            Some(&entry.data_centre) == data_centre
                && run.started_ms > entry.since_ms + limit_ms
                && entry.lifted_ms.is_none_or(|at_ms| run.started_ms < at_ms)
        };
        if let Some(entry) = evacuations.iter().find(is_late) {
            violations.push(format!(
                "{} started on {} in {} {} ms after its evacuation",
                run.task,
                run.worker,
                entry.data_centre,
                run.started_ms - entry.since_ms
            ));
        }
    }
    violations
}
