//! Maintenance waves, one step at a time, from the rows alone.

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

/// Takes every wave one step further.
pub async fn step(node: &Arc<Node>, lease: &PlannerLease, reboots: &RebootTable) -> Result<()> {
    for read in (node.platform.tables.scan)(WAVE_PREFIX.to_string()).await? {
        let mut wave: WaveRow = read.decode()?;
        let name = WaveName::from(read.key[WAVE_PREFIX.len()..].to_string());
        if wave.state.is_final() && wave.active.is_empty() && wave.failed.is_empty() {
            continue;
        }
        let before = wave.clone();
        follow(node, &name, &mut wave, reboots).await?;
        let transaction = take_next(node, lease, &name, &mut wave).await?;
        if wave != before {
            write(node, &name, &read, &wave, transaction).await?;
        }
    }
    Ok(())
}

/// Notes which instances of this data centre are back or overdue.
///
/// The rows are read after the wave's: an instance that the wave took out is
/// then seen as leaving or later, never as it was before.
async fn follow(
    node: &Arc<Node>,
    name: &WaveName,
    wave: &mut WaveRow,
    reboots: &RebootTable,
) -> Result<()> {
    let here = node.data_centre();
    let out: Vec<InstanceName> = {
        let state = node.state();
        let out = wave.active.iter().chain(&wave.failed);
        out.filter(|instance| state.instances.contains_key(*instance)).cloned().collect()
    };
    let keys = out.iter().map(|instance| instance_key(here, instance)).collect();
    let rows = (node.platform.tables.read)(keys).await?;
    for (instance, row) in out.into_iter().zip(rows) {
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

/// Takes the next instances out, within the budgets.
async fn take_next(
    node: &Arc<Node>,
    lease: &PlannerLease,
    name: &WaveName,
    wave: &mut WaveRow,
) -> Result<Transaction> {
    let mut transaction = lease.transaction(node)?;
    let here = wave.pending.iter().any(|pending| node.state().instances.contains_key(pending));
    if wave.state != WaveState::Running || !here {
        return Ok(transaction);
    }
    let view = FleetView::read(node).await?;
    for instance in next_instances(wave, &view.wave_view(node.data_centre())) {
        let purpose = Purpose::Maintain(name.clone());
        if let Some(next) = view.take_out(transaction.clone(), &instance, purpose)? {
            transaction = next;
            wave.started(&instance);
        }
    }
    Ok(transaction)
}

async fn write(
    node: &Arc<Node>,
    name: &WaveName,
    read: &Row,
    wave: &WaveRow,
    transaction: Transaction,
) -> Result<()> {
    let transaction = transaction.replace(&wave_key(name), Some(read), wave)?;
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
