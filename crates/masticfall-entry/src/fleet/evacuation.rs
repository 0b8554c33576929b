//! Evacuated data centres: changes of the set are passed to the board, logged and counted.

use indexmap::IndexMap;
use masticfall_core::fleet::board::{Board, EvacuationLoad};
use masticfall_core::fleet::evacuation::{EvacuationChange, Evacuations};
use masticfall_core::id::{DataCentre, Incarnation};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of evacuated data centres.
#[derive(Debug, Default)]
pub struct EvacuationMetrics {
    data_centres: Gauge,
    runs: Gauge,
    /// Start orders that weren't sent, since the data centre was evacuated by then.
    pub withdrawn_starts: Counter,
}

impl EvacuationMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Data centres that are evacuated";
        registry.register("evacuated_data_centres", help, self.data_centres.clone());
        let help = "Runs left in evacuated data centres, as the owner knows them";
        registry.register("evacuated_runs", help, self.runs.clone());
        let help = "Starts not sent since the data centre was evacuated";
        registry.register("withdrawn_starts", help, self.withdrawn_starts.clone());
    }

    /// Sets the number of runs left from the owner's board; `None` if this process isn't the
    /// owner.
    pub(super) fn set_runs(&self, board: Option<&Board>) {
        let loads = board.map(Board::evacuation_loads).unwrap_or_default();
        let runs: usize = loads.values().map(|load| load.runs).sum();
        self.runs.set(runs as i64);
    }
}

/// Applies a change of the set; `board` is the cell's scheduling state if this process owns
/// it. All processes log the change, and the owner what is left in the data centre.
pub(super) fn apply(
    change: &EvacuationChange,
    evacuations: &Evacuations,
    board: Option<&mut Board>,
    metrics: &EvacuationMetrics,
    process: &Incarnation,
    now_ms: u64,
) {
    if change.is_empty() {
        return;
    }
    let mut loads = IndexMap::new();
    if let Some(board) = board {
        // The loads of lifted evacuations are known only before the set changes.
        loads = board.evacuation_loads();
        board.set_evacuated(evacuations.data_centres().clone(), now_ms);
        loads.extend(board.evacuation_loads());
        metrics.set_runs(Some(board));
    }
    let load = |name: &DataCentre| {
        let load: Option<&EvacuationLoad> = loads.get(name);
        (load.map(|load| load.workers), load.map(|load| load.runs))
    };
    let evacuated = evacuations.data_centres().len();
    metrics.data_centres.set(evacuated as i64);
    for data_centre in &change.begun {
        let (workers, runs) = load(data_centre);
        tracing::warn!(name: "evacuation.begun", %process, %data_centre, evacuated, workers, runs, "data centre evacuated; its workers get no starts");
    }
    for data_centre in &change.lifted {
        let (workers, runs) = load(data_centre);
        tracing::info!(name: "evacuation.lifted", %process, %data_centre, evacuated, workers, runs, "evacuation of a data centre lifted");
    }
}
