//! Choice of a worker for a task.
//!
//! Handles bursts in which a queue demands more than its pool's capacity. Batch
//! tasks are packed tightly (best fit), which leaves whole workers for large
//! tasks and for moves between pools. Tasks that serve users are spread, since
//! they slow each other down. Best-effort tasks go where they interfere least.

use super::spec::{Resources, StepSpec};
use super::worker::Worker;
use crate::id::Name;

/// What the placement of one task on a worker depends on besides the worker itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacementContext {
    /// Tasks of the same step on the worker.
    pub same_step: u32,
    /// Tasks on the worker that serve users.
    pub serving: u32,
    /// Long-running tasks on the worker.
    pub long_running: u32,
    /// Best-effort tasks on the worker.
    pub best_effort: u32,
    /// Whether the task has failed on the worker before.
    pub has_failed_here: bool,
    /// For a task suspected of crashing workers, the runs on the worker that share its risk:
    /// those of other jobs that have just started, and all of other jobs.
    pub exposed: (u32, u32),
}

/// A worker that may take a task.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// What else is placed on the worker.
    pub context: PlacementContext,
}

/// Returns whether a candidate meets the requirements of a step's tasks.
pub fn is_allowed(step: &StepSpec, candidate: &Candidate<'_>) -> bool {
    let labels = &candidate.worker.facts.labels;
    step.reserved().fits(&candidate.worker.free())
        && step.required_label.as_ref().is_none_or(|label| labels.contains(label))
        && (step.max_per_worker == 0 || candidate.context.same_step < step.max_per_worker)
}

/// Returns whether placing a step depends on the tasks that are already on a worker.
pub fn depends_on_colocated(step: &StepSpec) -> bool {
    step.max_per_worker > 0 || step.target_tail_ms > 0 || step.is_filler || step.is_long_running
}

/// Returns whether the worker chosen for one task of a step is also the best for the next one as
/// long as that fits: each task makes it fuller, and nothing else changes.
pub fn stays_best(step: &StepSpec) -> bool {
    !depends_on_colocated(step) && !step.wants_same_rack
}

/// Sort key of candidates; the smallest is the best.
type Preference = (bool, (u32, u32), bool, bool, bool, u64, u64, u64);

fn preference(step: &StepSpec, racks: &[Name], candidate: &Candidate<'_>) -> Preference {
    let worker = candidate.worker;
    let context = &candidate.context;
    let rack = worker.facts.rack();
    let is_off_data_rack =
        step.data_rack.as_ref().is_some_and(|rack| !worker.facts.labels.contains(rack));
    let splits_rack =
        step.wants_same_rack && !racks.is_empty() && !rack.is_some_and(|rack| racks.contains(rack));
    let failures = worker.consecutive_failures() as u64;
    let free = worker.free();
    let (primary, secondary) = if step.target_tail_ms > 0 {
        let busy = worker.facts.capacity.cpu_millis
            - free.cpu_millis.min(worker.facts.capacity.cpu_millis);
        (u64::from(context.serving) * 4 + u64::from(context.best_effort), busy)
    } else if step.is_filler {
        let contention = u64::from(context.serving) * 2 + u64::from(context.best_effort);
        (contention, u64::MAX - free.cpu_millis)
    } else if step.is_long_running {
        // Packed together, so that other workers can be moved between pools.
        (u64::from(context.long_running == 0), remaining_cpu_millis(&free, &step.reserved()))
    } else {
        (failures, remaining_cpu_millis(&free, &step.reserved()))
    };
    let is_due_for_maintenance = step.is_long_running && worker.is_maintenance_due;
    (
        context.has_failed_here,
        context.exposed,
        is_due_for_maintenance,
        is_off_data_rack,
        splits_rack,
        primary,
        secondary,
        u64::from(context.same_step),
    )
}

/// Returns the processor capacity that would be free after the placement.
fn remaining_cpu_millis(free: &Resources, needs: &Resources) -> u64 {
    free.cpu_millis.saturating_sub(needs.cpu_millis)
}

/// Returns the best worker for a task of a step; `racks` are the racks that the
/// step's tasks already run on.
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
