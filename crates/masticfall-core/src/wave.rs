//! Maintenance waves: which instances to take out next within the budgets.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{DataCentre, InstanceName, Name, PoolName, WaveName};
use crate::instance::{InstanceRow, InstanceState, Purpose};

/// Where a wave is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WaveState {
    /// Takes instances out.
    Running,
    /// Paused by an operator.
    Paused,
    /// Halted by its failure bound.
    Halted,
    /// All instances are done.
    Done,
    /// Stopped by an operator.
    Stopped,
}

impl WaveState {
    /// Tells whether the wave takes out no more instances, ever.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Stopped)
    }
}

/// The row of one wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Where it is in its life.
    pub state: WaveState,
    /// Instances still to be maintained.
    pub pending: IndexSet<InstanceName>,
    /// Instances that are out now.
    pub active: IndexSet<InstanceName>,
    /// Instances that are back.
    pub done: IndexSet<InstanceName>,
    /// Instances that did not come back in time.
    pub failed: IndexSet<InstanceName>,
    /// Failures at which the wave halts.
    pub max_failures: u32,
    /// Why it is halted.
    pub reason: Option<Name>,
    /// Operator who created it.
    pub created_by: Name,
}

/// The availability budget of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Instances of the pool that may be unavailable at once, for any reason.
    pub max_unavailable: u32,
}

impl Budget {
    /// Makes the budget of a pool of `size` that keeps `min_available_percent`.
    pub fn of(size: usize, min_available_percent: u32) -> Self {
        let must_stay = (size as u32 * min_available_percent).div_ceil(100);
        Self { max_unavailable: size as u32 - must_stay.min(size as u32) }
    }
}

/// What the wave decision looks at.
#[derive(Debug)]
pub struct WaveView<'a> {
    /// All instances with their rows.
    pub instances: &'a IndexMap<InstanceName, InstanceRow>,
    /// Instances that the platform lists as live.
    pub live: &'a IndexSet<InstanceName>,
    /// Smallest part of each pool that has to stay available, in percent.
    pub min_available_percent: &'a IndexMap<PoolName, u32>,
    /// The data centre whose instances the caller may take out.
    pub data_centre: &'a DataCentre,
}

impl WaveView<'_> {
    fn is_available(&self, name: &InstanceName, row: &InstanceRow) -> bool {
        row.takes_work() && self.live.contains(name)
    }

    /// Returns how many more instances of a pool may be taken out.
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

    fn busy_racks(&self) -> IndexSet<(DataCentre, Name)> {
        let out = self.instances.values().filter(|row| is_maintained(row));
        out.map(|row| (row.facts.data_centre.clone(), Name::clone(&row.facts.rack))).collect()
    }
}

fn is_maintained(row: &InstanceRow) -> bool {
    row.state != InstanceState::InPool && matches!(row.purpose, Some(Purpose::Maintain(_)))
}

/// Picks the instances that a wave takes out now.
///
/// Each pool keeps its budget, counting what is unavailable for any reason,
/// and instances are out in one rack at a time per data centre, so that a
/// failure of another rack meets a pool that is whole but for one rack.
pub fn next_instances(wave: &WaveRow, view: &WaveView<'_>) -> Vec<InstanceName> {
    if wave.state != WaveState::Running {
        return Vec::new();
    }
    let mut racks = view.busy_racks();
    let mut taken: IndexMap<PoolName, u32> = IndexMap::new();
    let mut picked = Vec::new();
    for name in &wave.pending {
        let Some(row) = view.instances.get(name) else {
            continue;
        };
        let rack = (row.facts.data_centre.clone(), Name::clone(&row.facts.rack));
        let other_rack = racks.iter().any(|busy| busy.0 == rack.0 && busy.1 != rack.1);
        let mine = row.facts.data_centre == *view.data_centre;
        if !mine || !view.is_available(name, row) || other_rack {
            continue;
        }
        let used = taken.entry(row.pool.clone()).or_insert(0);
        if view.headroom(&row.pool) <= *used {
            continue;
        }
        *used += 1;
        racks.insert(rack);
        picked.push(name.clone());
    }
    picked
}

impl WaveRow {
    /// Makes a running wave over the instances.
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

    /// Records that an instance was taken out.
    pub fn started(&mut self, name: &InstanceName) {
        if self.pending.shift_remove(name) {
            self.active.insert(name.clone());
        }
    }

    /// Records that an instance is back in its pool.
    pub fn finished(&mut self, name: &InstanceName) {
        if self.active.shift_remove(name) || self.failed.shift_remove(name) {
            self.done.insert(name.clone());
        }
        self.finish_if_complete();
    }

    /// Ends a running wave that has nothing left to do.
    pub fn finish_if_complete(&mut self) {
        let over = self.pending.is_empty() && self.active.is_empty() && self.failed.is_empty();
        if over && self.state == WaveState::Running {
            self.state = WaveState::Done;
        }
    }

    /// Records that an instance did not come back, and halts at the bound.
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

/// Returns the wave that maintains an instance, if one does.
pub fn wave_of(row: &InstanceRow) -> Option<&WaveName> {
    match &row.purpose {
        Some(Purpose::Maintain(wave)) => Some(wave),
        _ => None,
    }
}
