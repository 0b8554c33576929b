//! Placement of jobs on workers: best fit over cores, memory and accelerators.

use indexmap::IndexMap;

use crate::id::InstanceName;
use crate::instance::{InstanceFacts, InstanceKind};
use crate::job::Needs;

/// A worker with what is still free on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreeCapacity {
    /// Cores not reserved.
    pub cores: u32,
    /// Memory not reserved, in MiB.
    pub memory_mib: u32,
    /// Accelerators not reserved.
    pub accelerators: u32,
}

impl FreeCapacity {
    /// Starts from a whole worker.
    pub fn of_idle_worker(facts: &InstanceFacts) -> Self {
        let InstanceFacts { cores, memory_mib, accelerators, .. } = *facts;
        Self { cores, memory_mib, accelerators }
    }

    /// Tells whether the needs fit.
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

    /// Returns what would be left, scarce resources first; smaller fits better.
    fn slack(&self, needs: &Needs) -> (u32, u32, u32) {
        (
            self.accelerators - needs.accelerators,
            self.cores - needs.cores,
            self.memory_mib - needs.memory_mib,
        )
    }
}

/// Picks the worker that the needs fit best, leaving out those in `avoid`.
///
/// When every fitting worker is to be avoided, one of them is taken.
pub fn best_fit(
    free: &IndexMap<InstanceName, FreeCapacity>,
    needs: &Needs,
    avoid: &[InstanceName],
) -> Option<InstanceName> {
    let fitting = free.iter().filter(|(_, worker)| worker.fits(needs));
    fitting
        .min_by_key(|(name, worker)| (avoid.contains(name), worker.slack(needs)))
        .map(|(name, _)| name.clone())
}

/// Tells whether the needs fit any worker of the fleet when it is idle.
pub fn can_ever_fit<'a>(
    mut workers: impl Iterator<Item = &'a InstanceFacts>,
    needs: &Needs,
) -> bool {
    workers.any(|facts| {
        facts.kind == InstanceKind::Worker && FreeCapacity::of_idle_worker(facts).fits(needs)
    })
}
