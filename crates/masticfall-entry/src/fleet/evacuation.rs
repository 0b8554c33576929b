//! Evacuated data centres: changes of the set are passed to the board, logged and counted.

use indexmap::IndexMap;
use masticfall_core::fleet::board::{Board, EvacuationLoad};
use masticfall_core::fleet::evacuation::{EvacuationChange, Evacuations};
use masticfall_core::id::{DataCentre, Incarnation};

/// Applies a change of the set; `board` is the cell's scheduling state if this process owns
/// it. All processes log the change, and the owner what is left in the data centre.
pub(super) fn apply(
    change: &EvacuationChange,
    evacuations: &Evacuations,
    board: Option<&mut Board>,
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
    }
    let load = |name: &DataCentre| {
        let load: Option<&EvacuationLoad> = loads.get(name);
        (load.map(|load| load.workers), load.map(|load| load.runs))
    };
    let evacuated = evacuations.data_centres().len();
    for data_centre in &change.begun {
        let (workers, runs) = load(data_centre);
        tracing::warn!(name: "evacuation.begun", %process, %data_centre, evacuated, workers, runs, "data centre evacuated; its workers get no starts");
    }
    for data_centre in &change.lifted {
        let (workers, runs) = load(data_centre);
        tracing::info!(name: "evacuation.lifted", %process, %data_centre, evacuated, workers, runs, "evacuation of a data centre lifted");
    }
}
