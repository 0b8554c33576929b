//! Choice of a worker for a task.
//!
//! Load answered: bursts in which a queue asks for more than its pool holds.
//! Plain tasks are packed tightly, which leaves whole workers for wide tasks
//! and for moves; tasks that serve users are spread, since they disturb each
//! other; fillers go where they disturb nobody.

use super::spec::{Resources, StepSpec};
use super::worker::Worker;
use crate::id::Name;

/// What is known of a worker beside its own state.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacementContext {
    /// Tasks of the same step on it.
    pub same_step: u32,
    /// Tasks on it that serve users.
    pub serving: u32,
    /// Tasks on it that last.
    pub long_running: u32,
    /// Fillers on it.
    pub best_effort: u32,
    /// Whether the task failed there before.
    pub has_failed_here: bool,
}

/// A worker that may take a task.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// Who is on it.
    pub context: PlacementContext,
}

/// Tells whether a task of the step may be placed there at all.
pub fn is_allowed(step: &StepSpec, candidate: &Candidate<'_>) -> bool {
    let labels = &candidate.worker.facts.labels;
    step.reserved().fits(&candidate.worker.free())
        && step.required_label.as_ref().is_none_or(|label| labels.contains(label))
        && (step.max_per_worker == 0 || candidate.context.same_step < step.max_per_worker)
}

/// Order of preference; the smallest is the best.
type Preference = (bool, bool, bool, bool, u64, u64, u64);

fn preference(step: &StepSpec, racks: &[Name], candidate: &Candidate<'_>) -> Preference {
    let worker = candidate.worker;
    let context = &candidate.context;
    let rack = worker.facts.rack();
    let is_far = step.data_rack.as_ref().is_some_and(|rack| !worker.facts.labels.contains(rack));
    let splits_rack =
        step.wants_same_rack && !racks.is_empty() && !rack.is_some_and(|rack| racks.contains(rack));
    let failures = worker.consecutive_failures() as u64;
    let free = worker.free();
    let (first, second) = if step.target_tail_ms > 0 {
        let busy = worker.facts.capacity.cpu_millis
            - free.cpu_millis.min(worker.facts.capacity.cpu_millis);
        (u64::from(context.serving) * 4 + u64::from(context.best_effort), busy)
    } else if step.is_filler {
        let crowd = u64::from(context.serving) * 2 + u64::from(context.best_effort);
        (crowd, u64::MAX - free.cpu_millis)
    } else if step.is_long_running {
        // Together, so that other workers stay free to move.
        (u64::from(context.long_running == 0), left_over(&free, &step.reserved()))
    } else {
        (failures, left_over(&free, &step.reserved()))
    };
    let moves_soon = step.is_long_running && worker.is_maintenance_due;
    (
        context.has_failed_here,
        moves_soon,
        is_far,
        splits_rack,
        first,
        second,
        u64::from(context.same_step),
    )
}

/// Returns what would be left of the processor after the placement.
fn left_over(free: &Resources, needs: &Resources) -> u64 {
    free.cpu_millis.saturating_sub(needs.cpu_millis)
}

/// Chooses the worker for a task of a step; `racks` are those that its step uses.
pub fn choose<'a>(
    step: &StepSpec,
    racks: &[Name],
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<&'a Worker> {
    candidates
        .filter(|candidate| is_allowed(step, candidate))
        .min_by_key(|candidate| preference(step, racks, candidate))
        .map(|candidate| candidate.worker)
}
