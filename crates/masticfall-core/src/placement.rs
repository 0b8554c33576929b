//! Placement of jobs on workers: best fit over cores, memory and accelerators.

use indexmap::{IndexMap, IndexSet};

use crate::id::InstanceName;
use crate::instance::{InstanceFacts, InstanceKind};
use crate::job::Needs;

/// The unreserved resources of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreeCapacity {
    /// Unreserved cores.
    pub cores: u32,
    /// Unreserved memory, in MiB.
    pub memory_mib: u32,
    /// Unreserved accelerators.
    pub accelerators: u32,
}

impl FreeCapacity {
    /// Returns the capacity of a worker with nothing reserved.
    pub fn of_idle_worker(facts: &InstanceFacts) -> Self {
        let InstanceFacts { cores, memory_mib, accelerators, .. } = *facts;
        Self { cores, memory_mib, accelerators }
    }

    /// Returns whether the needs fit.
    pub fn fits(&self, needs: &Needs) -> bool {
        self.cores >= needs.cores
            && self.memory_mib >= needs.memory_mib
            && self.accelerators >= needs.accelerators
    }

    /// Reserves the needs.
    pub fn reserve(&mut self, needs: &Needs) {
        self.cores = self.cores.saturating_sub(needs.cores);
        self.memory_mib = self.memory_mib.saturating_sub(needs.memory_mib);
        self.accelerators = self.accelerators.saturating_sub(needs.accelerators);
    }

    /// Returns the resources left after placement, scarcest first; a smaller value is a better fit.
    fn remaining_after(&self, needs: &Needs) -> (u32, u32, u32) {
        (
            self.accelerators - needs.accelerators,
            self.cores - needs.cores,
            self.memory_mib - needs.memory_mib,
        )
    }
}

/// Returns the worker that fits the needs best, preferring workers not in `avoid`; none of
/// those in `closed`.
///
/// When every fitting worker is in `avoid`, one of them is returned.
pub fn best_fit(
    free: &IndexMap<InstanceName, FreeCapacity>,
    needs: &Needs,
    avoid: &[InstanceName],
    closed: &IndexSet<InstanceName>,
) -> Option<InstanceName> {
    let open = free.iter().filter(|(name, _)| !closed.contains(*name));
    let fitting = open.filter(|(_, worker)| worker.fits(needs));
    fitting
        .min_by_key(|(name, worker)| (avoid.contains(name), worker.remaining_after(needs)))
        .map(|(name, _)| name.clone())
}

/// Returns whether the needs would fit any worker of the fleet when idle.
pub fn can_ever_fit<'a>(
    mut workers: impl Iterator<Item = &'a InstanceFacts>,
    needs: &Needs,
) -> bool {
    workers.any(|facts| {
        facts.kind == InstanceKind::Worker && FreeCapacity::of_idle_worker(facts).fits(needs)
    })
}
