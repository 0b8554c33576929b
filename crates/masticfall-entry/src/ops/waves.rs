//! Creates, pauses, resumes and stops maintenance waves.

use std::sync::Arc;

use indexmap::IndexSet;
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{InstanceName, Name, PoolName, WaveName};
use masticfall_core::wave::{WaveRow, WaveState};
use masticfall_platform::{Commit, Condition, Transaction};
use masticfall_wire::rows::{WAVE_PREFIX, wave_key};

use crate::context::Node;
use crate::planner::pools::FleetView;
use crate::refusal::{Refusal, Result};

/// A wave to create.
#[derive(Debug, Clone)]
pub struct CreateWave {
    /// Its name.
    pub name: WaveName,
    /// Pools whose instances it maintains.
    pub pools: IndexSet<PoolName>,
    /// Further instances to maintain.
    pub instances: IndexSet<InstanceName>,
    /// Number of failures at which it halts.
    pub max_failures: u32,
    /// Operator who creates it.
    pub by: Name,
}

/// Creates a running wave and returns it.
///
/// # Errors
/// [`ErrorKind::NotFound`] for unknown pools or instances, [`ErrorKind::Conflict`]
/// when the name is taken, or the platform's failure.
pub async fn create(node: &Arc<Node>, create: CreateWave) -> Result<WaveRow> {
    let view = FleetView::read(node).await?;
    let mut selected = IndexSet::new();
    for pool in &create.pools {
        let members = view.instances.iter().filter(|(_, row)| row.pool == *pool);
        let before = selected.len();
        selected.extend(members.map(|(name, _)| name.clone()));
        if selected.len() == before {
            return Err(Refusal::new(
                ErrorKind::NotFound,
                format!("pool `{pool}` has no instance"),
            ));
        }
    }
    for name in create.instances {
        if !view.instances.contains_key(&name) {
            return Err(Refusal::new(ErrorKind::NotFound, format!("no instance `{name}`")));
        }
        selected.insert(name);
    }
    let wave = WaveRow::new(selected, create.max_failures, create.by);
    let key = wave_key(&create.name);
    let transaction = Transaction::new().check(&key, Condition::Absent).put(&key, &wave)?;
    match (node.platform.tables.transact)(transaction).await? {
        Commit::Done(_) => {
            node.plan_wanted.notify_one();
            Ok(wave)
        }
        Commit::Conflict(_) => {
            let detail = format!("wave `{}` exists already", create.name);
            Err(Refusal::new(ErrorKind::Conflict, detail))
        }
    }
}

/// Lists all waves.
///
/// # Errors
/// The platform's failure.
pub async fn list(node: &Arc<Node>) -> Result<Vec<(WaveName, WaveRow)>> {
    let mut waves = Vec::new();
    for row in (node.platform.tables.scan)(WAVE_PREFIX.to_string()).await? {
        let name = WaveName::from(row.key[WAVE_PREFIX.len()..].to_string());
        waves.push((name, row.decode()?));
    }
    Ok(waves)
}

/// Sets a wave's state for an operator and returns the wave.
///
/// # Errors
/// [`ErrorKind::NotFound`], [`ErrorKind::Conflict`] when the wave is over or was
/// changed concurrently, or the platform's failure.
pub async fn set_state(node: &Arc<Node>, name: &WaveName, to: WaveState) -> Result<WaveRow> {
    let key = wave_key(name);
    let stored = node.platform.tables.get_as::<WaveRow>(&key).await?;
    let Some((stored, mut wave)) = stored else {
        return Err(Refusal::new(ErrorKind::NotFound, format!("no wave `{name}`")));
    };
    if wave.state.is_final() {
        let detail = format!("wave `{name}` is {}", wave.state);
        return Err(Refusal::new(ErrorKind::Conflict, detail));
    }
    wave.state = to;
    wave.reason = None;
    let transaction = Transaction::new().replace(&key, Some(&stored), &wave)?;
    match (node.platform.tables.transact)(transaction).await? {
        Commit::Done(_) => Ok(wave),
        Commit::Conflict(_) => {
            let detail =
                format!("wave `{name}` was changed concurrently; check its state and try again");
            Err(Refusal::new(ErrorKind::Conflict, detail))
        }
    }
}
