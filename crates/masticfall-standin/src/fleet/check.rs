//! Checks of the promises, from the model's own record of runs.

use indexmap::IndexMap;
use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::{JobSpec, Resources, TaskKey};
use masticfall_core::id::{InstanceName, JobId, WorkerId};

use super::{MachineCallRecord, RunRecord};

/// A broken promise, in words.
pub type Violation = String;

fn end_ms(run: &RunRecord) -> u64 {
    run.ended.as_ref().map_or(u64::MAX, |(at, _)| *at)
}

fn is_done(run: &RunRecord) -> bool {
    matches!(run.ended, Some((_, RunEnd::Done)))
}

/// Returns tasks of which two runs overlap.
pub fn overlapping_runs(record: &[RunRecord]) -> Vec<Violation> {
    let mut breaches = Vec::new();
    for (number, run) in record.iter().enumerate() {
        for other in record[..number].iter().filter(|other| other.task == run.task) {
            if run.started_ms < end_ms(other) && other.started_ms < end_ms(run) {
                breaches.push(format!("{}: runs {} and {}", run.task, other.attempt, run.attempt));
            }
        }
    }
    breaches
}

/// Returns tasks that were started after an end `done` that was, or is later, forgotten.
pub fn reruns_after_done(record: &[RunRecord]) -> Vec<Violation> {
    let mut breaches = Vec::new();
    let counts = |run: &&RunRecord| {
        is_done(run) && run.acknowledged_ms.is_some() && !run.lapsed_unacknowledged
    };
    for done in record.iter().filter(counts) {
        let again =
            record.iter().filter(|run| run.task == done.task && run.started_ms > end_ms(done));
        breaches.extend(again.map(|run| format!("{}: run {} after done", run.task, run.attempt)));
    }
    breaches
}

/// Returns starts before all tasks of the steps that they depend on were done.
pub fn dependency_violations(
    record: &[RunRecord],
    specs: &IndexMap<JobId, JobSpec>,
) -> Vec<Violation> {
    let mut breaches = Vec::new();
    for run in record {
        let Some(spec) = specs.get(&run.task.job) else { continue };
        for on in &spec.steps[run.task.step as usize].after {
            for index in 0..spec.steps[*on as usize].tasks {
                let needed = TaskKey { step: *on, index, ..run.task.clone() };
                let mut runs = record.iter().filter(|other| other.task == needed && is_done(other));
                if !runs.any(|done| end_ms(done) <= run.started_ms) {
                    breaches.push(format!("{} before {needed}", run.task));
                }
            }
        }
    }
    breaches
}

/// Returns moments at which a worker ran more than it can hold.
pub fn overcommitted_workers(record: &[RunRecord], capacity: Resources) -> Vec<Violation> {
    let mut by_worker: IndexMap<&WorkerId, Vec<&RunRecord>> = IndexMap::new();
    for run in record {
        by_worker.entry(&run.worker).or_default().push(run);
    }
    let mut breaches = Vec::new();
    for (worker, runs) in by_worker {
        for begun in &runs {
            let at_ms = begun.started_ms;
            let there = runs.iter().filter(|run| run.started_ms <= at_ms && at_ms < end_ms(run));
            let used = there.fold(Resources::default(), |sum, run| sum.plus(&run.needs));
            if !used.fits(&capacity) {
                breaches.push(format!("{worker} at {at_ms}"));
            }
        }
    }
    breaches
}

/// Returns runs of jobs that nobody handed in or that were refused.
pub fn unaccepted_runs(record: &[RunRecord], accepted: &[JobId]) -> Vec<Violation> {
    let unasked = record.iter().filter(|run| !accepted.contains(&run.task.job));
    unasked.map(|run| run.task.to_string()).collect()
}

/// Returns tasks of accepted jobs that were never done.
pub fn unfinished_tasks(
    record: &[RunRecord],
    specs: &IndexMap<JobId, JobSpec>,
    accepted: &[JobId],
) -> Vec<Violation> {
    let mut breaches = Vec::new();
    for (job, spec) in specs.iter().filter(|(job, _)| accepted.contains(job)) {
        for (step, state) in spec.steps.iter().enumerate() {
            for index in 0..state.tasks {
                let task = TaskKey { job: job.clone(), occurrence: 0, step: step as u32, index };
                if !record.iter().any(|run| run.task == task && is_done(run)) {
                    breaches.push(task.to_string());
                }
            }
        }
    }
    breaches
}

/// Returns instances that two holders called within `lease_ms`.
pub fn calls_within_lease(calls: &[MachineCallRecord], lease_ms: u64) -> Vec<Violation> {
    let mut last: IndexMap<&InstanceName, &MachineCallRecord> = IndexMap::new();
    let mut found = Vec::new();
    for call in calls {
        let before = last.insert(&call.instance, call);
        let Some(before) = before.filter(|before| before.holder != call.holder) else { continue };
        let apart_ms = call.at_ms - before.at_ms;
        if apart_ms < lease_ms {
            found.push(format!(
                "{}: {} after {} in {apart_ms} ms",
                call.instance, call.holder, before.holder
            ));
        }
    }
    found
}
