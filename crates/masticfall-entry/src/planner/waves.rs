//! Maintenance waves, advanced step by step; their whole state is in rows.

use std::sync::Arc;

use masticfall_core::id::{InstanceName, WaveName};
use masticfall_core::instance::{InstanceRow, InstanceState, Purpose};
use masticfall_core::timeline::EventKind;
use masticfall_core::wave::{WaveRow, WaveState, next_instances, wave_of};
use masticfall_platform::{Commit, Result, Row, Transaction};
use masticfall_wire::rows::{WAVE_PREFIX, instance_key, wave_key};

use super::instances::RebootTable;
use super::lease::PlannerLease;
use super::pools::FleetView;
use crate::context::Node;

/// Advances every wave.
pub async fn step(node: &Arc<Node>, lease: &PlannerLease, reboots: &RebootTable) -> Result<()> {
    for stored in (node.platform.tables.scan)(WAVE_PREFIX.to_string()).await? {
        let mut wave: WaveRow = stored.decode()?;
        let name = WaveName::from(stored.key[WAVE_PREFIX.len()..].to_string());
        if wave.state.is_final() && wave.active.is_empty() && wave.failed.is_empty() {
            continue;
        }
        let before = wave.clone();
        update_progress(node, &name, &mut wave, reboots).await?;
        let transaction = start_next(node, lease, &name, &mut wave).await?;
        if wave != before {
            write_wave(node, &name, &stored, &wave, transaction).await?;
        }
    }
    Ok(())
}

/// Records which instances of this data centre have returned or are overdue.
///
/// Instance rows are read after the wave's row, so that an instance that the
/// wave took out of service is never seen in its earlier state.
async fn update_progress(
    node: &Arc<Node>,
    name: &WaveName,
    wave: &mut WaveRow,
    reboots: &RebootTable,
) -> Result<()> {
    let data_centre = node.data_centre();
    let unfinished: Vec<InstanceName> = {
        let state = node.state();
        let unfinished = wave.active.iter().chain(&wave.failed);
        unfinished.filter(|instance| state.instances.contains_key(*instance)).cloned().collect()
    };
    let keys = unfinished.iter().map(|instance| instance_key(data_centre, instance)).collect();
    let rows = (node.platform.tables.read)(keys).await?;
    for (instance, row) in unfinished.into_iter().zip(rows) {
        let Some(row) = row else { continue };
        let row: InstanceRow = row.decode()?;
        if row.state == InstanceState::InPool && wave_of(&row) != Some(name) {
            wave.finished(&instance);
        } else if reboots.is_overdue(&instance, node.now_ms()) {
            wave.failed(&instance);
        }
    }
    wave.finish_if_complete();
    Ok(())
}

/// Takes the next instances out of service, within the availability budgets.
async fn start_next(
    node: &Arc<Node>,
    lease: &PlannerLease,
    name: &WaveName,
    wave: &mut WaveRow,
) -> Result<Transaction> {
    let mut transaction = lease.transaction(node)?;
    let has_local = wave.pending.iter().any(|pending| node.state().instances.contains_key(pending));
    if wave.state != WaveState::Running || !has_local {
        return Ok(transaction);
    }
    let view = FleetView::read(node).await?;
    for instance in next_instances(wave, &view.wave_view(node.data_centre())) {
        let purpose = Purpose::Maintain(name.clone());
        if let Some(next) = view.take_out_of_service(transaction.clone(), &instance, purpose)? {
            transaction = next;
            wave.started(&instance);
        }
    }
    Ok(transaction)
}

async fn write_wave(
    node: &Arc<Node>,
    name: &WaveName,
    stored: &Row,
    wave: &WaveRow,
    transaction: Transaction,
) -> Result<()> {
    let transaction = transaction.replace(&wave_key(name), Some(stored), wave)?;
    let commit = (node.platform.tables.transact)(transaction).await?;
    if matches!(commit, Commit::Done(_)) {
        let text = format!(
            "{}: {} pending, {} out, {} done, {} failed",
            wave.state,
            wave.pending.len(),
            wave.active.len(),
            wave.done.len(),
            wave.failed.len()
        );
        let labels = [("wave", name.as_str()), ("state", text.as_str())];
        node.record(EventKind::WaveChanged, &labels);
    }
    Ok(())
}
