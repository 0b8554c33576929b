//! Maintenance waves: which instances to take out of service next within the
//! availability budgets.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{DataCentre, InstanceName, Name, PoolName, WaveName};
use crate::instance::{InstanceRow, InstanceState, Purpose};

/// The state of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WaveState {
    /// Takes instances out of service.
    Running,
    /// Paused by an operator.
    Paused,
    /// Halted because `max_failures` was reached.
    Halted,
    /// All instances are done.
    Done,
    /// Stopped by an operator.
    Stopped,
}

impl WaveState {
    /// Returns whether the wave will never take out another instance.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Stopped)
    }
}

/// The stored row of one wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// State of the wave.
    pub state: WaveState,
    /// Instances still to be maintained.
    pub pending: IndexSet<InstanceName>,
    /// Instances that are out of service for this wave.
    pub active: IndexSet<InstanceName>,
    /// Instances that have returned to service.
    pub done: IndexSet<InstanceName>,
    /// Instances that did not return in time.
    pub failed: IndexSet<InstanceName>,
    /// Number of failed instances at which the wave halts.
    pub max_failures: u32,
    /// Why the wave is halted.
    pub reason: Option<Name>,
    /// Operator who created the wave.
    pub created_by: Name,
}

/// The availability budget of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Instances of the pool that may be unavailable at once, for any reason.
    pub max_unavailable: u32,
}

impl Budget {
    /// Returns the budget of a pool of `size` instances.
    pub fn of(size: usize, min_available_percent: u32) -> Self {
        let must_stay = (size as u32 * min_available_percent).div_ceil(100);
        Self { max_unavailable: size as u32 - must_stay.min(size as u32) }
    }
}

/// The state that the selection of instances depends on.
#[derive(Debug)]
pub struct WaveView<'a> {
    /// All instances with their rows.
    pub instances: &'a IndexMap<InstanceName, InstanceRow>,
    /// Instances that the platform lists as live.
    pub live: &'a IndexSet<InstanceName>,
    /// Minimum part of each pool that must stay available, in percent.
    pub min_available_percent: &'a IndexMap<PoolName, u32>,
    /// The data centre whose instances the caller may take out.
    pub data_centre: &'a DataCentre,
}

impl WaveView<'_> {
    fn is_available(&self, name: &InstanceName, row: &InstanceRow) -> bool {
        row.takes_work() && self.live.contains(name)
    }

    /// Returns how many more instances of a pool may be taken out of service.
    pub fn headroom(&self, pool: &PoolName) -> u32 {
        let members = self.instances.iter().filter(|(_, row)| row.pool == *pool);
        let (mut size, mut unavailable) = (0, 0);
        for (name, row) in members {
            size += 1;
            unavailable += u32::from(!self.is_available(name, row));
        }
        let percent = self.min_available_percent.get(pool).copied().unwrap_or(100);
        Budget::of(size, percent).max_unavailable.saturating_sub(unavailable)
    }

    fn racks_in_maintenance(&self) -> IndexSet<(DataCentre, Name)> {
        let rows = self.instances.values().filter(|row| is_in_maintenance(row));
        rows.map(|row| (row.facts.data_centre.clone(), Name::clone(&row.facts.rack))).collect()
    }
}

fn is_in_maintenance(row: &InstanceRow) -> bool {
    row.state != InstanceState::InPool && matches!(row.purpose, Some(Purpose::Maintain(_)))
}

/// Selects the instances that a wave takes out of service now.
///
/// Each pool stays within its budget, which counts instances that are
/// unavailable for any reason. Per data centre, only one rack is in maintenance
/// at a time, so that a failure of another rack finds at most one rack already out.
pub fn next_instances(wave: &WaveRow, view: &WaveView<'_>) -> Vec<InstanceName> {
    if wave.state != WaveState::Running {
        return Vec::new();
    }
    let mut racks = view.racks_in_maintenance();
    let mut taken_per_pool: IndexMap<PoolName, u32> = IndexMap::new();
    let mut selected = Vec::new();
    for name in &wave.pending {
        let Some(row) = view.instances.get(name) else {
            continue;
        };
        let rack = (row.facts.data_centre.clone(), Name::clone(&row.facts.rack));
        let other_rack = racks.iter().any(|active| active.0 == rack.0 && active.1 != rack.1);
        let is_local = row.facts.data_centre == *view.data_centre;
        if !is_local || !view.is_available(name, row) || other_rack {
            continue;
        }
        let used = taken_per_pool.entry(row.pool.clone()).or_insert(0);
        if view.headroom(&row.pool) <= *used {
            continue;
        }
        *used += 1;
        racks.insert(rack);
        selected.push(name.clone());
    }
    selected
}

impl WaveRow {
    /// Creates a running wave over the instances.
    pub fn new(instances: IndexSet<InstanceName>, max_failures: u32, created_by: Name) -> Self {
        Self {
            state: WaveState::Running,
            pending: instances,
            active: IndexSet::new(),
            done: IndexSet::new(),
            failed: IndexSet::new(),
            max_failures,
            reason: None,
            created_by,
        }
    }

    /// Records that an instance was taken out of service.
    pub fn started(&mut self, name: &InstanceName) {
        if self.pending.shift_remove(name) {
            self.active.insert(name.clone());
        }
    }

    /// Records that an instance returned to its pool.
    pub fn finished(&mut self, name: &InstanceName) {
        if self.active.shift_remove(name) || self.failed.shift_remove(name) {
            self.done.insert(name.clone());
        }
        self.finish_if_complete();
    }

    /// Marks a running wave as done when no instance is pending, active or failed.
    pub fn finish_if_complete(&mut self) {
        let is_complete =
            self.pending.is_empty() && self.active.is_empty() && self.failed.is_empty();
        if is_complete && self.state == WaveState::Running {
            self.state = WaveState::Done;
        }
    }

    /// Records that an instance did not return, and halts the wave at `max_failures`.
    pub fn failed(&mut self, name: &InstanceName) {
        if self.active.shift_remove(name) {
            self.failed.insert(name.clone());
        }
        if self.failed.len() as u32 >= self.max_failures && self.state == WaveState::Running {
            self.state = WaveState::Halted;
            let count = self.failed.len();
            self.reason = Some(Name::from(format!("{count} instances did not return")));
        }
    }
}

/// Returns the wave that maintains an instance, if any.
pub fn wave_of(row: &InstanceRow) -> Option<&WaveName> {
    match &row.purpose {
        Some(Purpose::Maintain(wave)) => Some(wave),
        _ => None,
    }
}
