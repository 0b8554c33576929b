//! Checks of the system's invariants against the simulation's own record of runs.

use indexmap::IndexMap;
use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::{JobSpec, Resources, TaskKey};
use masticfall_core::id::{InstanceName, JobId, WorkerId};

use super::crash::CrashRecord;
use super::{MachineCallRecord, RunRecord};

/// Description of a violated invariant.
pub type Violation = String;

fn end_ms(run: &RunRecord) -> u64 {
    run.ended.as_ref().map_or(u64::MAX, |(at, _)| *at)
}

fn is_done(run: &RunRecord) -> bool {
    matches!(run.ended, Some((_, RunEnd::Done)))
}

/// Returns the overlapping runs of the same task.
pub fn overlapping_runs(record: &[RunRecord]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, run) in record.iter().enumerate() {
        for other in record[..number].iter().filter(|other| other.task == run.task) {
            if run.started_ms < end_ms(other) && other.started_ms < end_ms(run) {
                let [first, second] = [other, run].map(|run| {
                    let RunRecord { attempt, worker, started_ms, ended, .. } = run;
                    format!("{attempt} on {worker} from {started_ms} ms until {ended:?}")
                });
                violations.push(format!("{}: run {first} and run {second} overlap", run.task));
            }
        }
    }
    violations
}

/// Returns runs that started after the task was done.
///
/// An end counts if it was ever acknowledged, unless the lease lapsed before that: the task
/// may then run again.
pub fn reruns_after_done(record: &[RunRecord]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let is_final = |run: &&RunRecord| {
        is_done(run) && run.acknowledged_ms.is_some() && !run.lapsed_unacknowledged
    };
    for done in record.iter().filter(is_final) {
        let reruns =
            record.iter().filter(|run| run.task == done.task && run.started_ms > end_ms(done));
        violations.extend(
            reruns.map(|run| format!("{}: run {} started after done", run.task, run.attempt)),
        );
    }
    violations
}

/// Returns runs that started before all tasks of the steps they depend on were done.
pub fn dependency_violations(
    record: &[RunRecord],
    specs: &IndexMap<JobId, JobSpec>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for run in record {
        let Some(spec) = specs.get(&run.task.job) else { continue };
        for dependency in &spec.steps[run.task.step as usize].after {
            for index in 0..spec.steps[*dependency as usize].tasks {
                let required = TaskKey { step: *dependency, index, ..run.task.clone() };
                let mut runs =
                    record.iter().filter(|other| other.task == required && is_done(other));
                if !runs.any(|done| end_ms(done) <= run.started_ms) {
                    violations.push(format!("{} started before {required} was done", run.task));
                }
            }
        }
    }
    violations
}

/// Returns the times at which the runs on a worker exceeded its capacity.
pub fn overcommitted_workers(record: &[RunRecord], capacity: Resources) -> Vec<Violation> {
    let mut by_worker: IndexMap<&WorkerId, Vec<&RunRecord>> = IndexMap::new();
    for run in record {
        by_worker.entry(&run.worker).or_default().push(run);
    }
    let mut violations = Vec::new();
    for (worker, runs) in by_worker {
        for started in &runs {
            let at_ms = started.started_ms;
            let concurrent =
                runs.iter().filter(|run| run.started_ms <= at_ms && at_ms < end_ms(run));
            let used = concurrent.fold(Resources::default(), |sum, run| sum.plus(&run.needs));
            if !used.fits(&capacity) {
                violations.push(format!("{worker} exceeds its capacity at {at_ms} ms"));
            }
        }
    }
    violations
}

/// Returns runs of jobs that are not in `accepted`.
pub fn unaccepted_runs(record: &[RunRecord], accepted: &[JobId]) -> Vec<Violation> {
    let unaccepted = record.iter().filter(|run| !accepted.contains(&run.task.job));
    unaccepted.map(|run| run.task.to_string()).collect()
}

/// Returns tasks of accepted jobs that were never completed.
pub fn unfinished_tasks(
    record: &[RunRecord],
    specs: &IndexMap<JobId, JobSpec>,
    accepted: &[JobId],
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (job, spec) in specs.iter().filter(|(job, _)| accepted.contains(job)) {
        for (step, step_spec) in spec.steps.iter().enumerate() {
            for index in 0..step_spec.tasks {
                let task = TaskKey { job: job.clone(), occurrence: 0, step: step as u32, index };
                if !record.iter().any(|run| run.task == task && is_done(run)) {
                    violations.push(task.to_string());
                }
            }
        }
    }
    violations
}

/// Returns tasks that were started three times or more after three workers had crashed
/// because of them.
pub fn starts_after_crashes(record: &[RunRecord], crashes: &[CrashRecord]) -> Vec<Violation> {
    let mut by_task: IndexMap<&TaskKey, Vec<u64>> = IndexMap::new();
    for crash in crashes {
        if let Some(task) = &crash.cause {
            by_task.entry(task).or_default().push(crash.at_ms);
        }
    }
    let mut violations = Vec::new();
    for (task, crashed_ms) in by_task {
        let Some(third_ms) = crashed_ms.get(2) else { continue };
        let starts = record.iter().filter(|run| run.task == *task && run.started_ms > *third_ms);
        let starts = starts.count();
        if starts >= 3 {
            violations.push(format!("{task}: {starts} starts after three crashes"));
        }
    }
    violations
}

/// Returns calls about an instance within `lease_ms` of a call by another holder.
pub fn calls_within_lease(calls: &[MachineCallRecord], lease_ms: u64) -> Vec<Violation> {
    let mut last: IndexMap<&InstanceName, &MachineCallRecord> = IndexMap::new();
    let mut violations = Vec::new();
    for call in calls {
        let prior = last.insert(&call.instance, call);
        let Some(prior) = prior.filter(|prior| prior.holder != call.holder) else { continue };
        let interval_ms = call.at_ms - prior.at_ms;
        if interval_ms < lease_ms {
            violations.push(format!(
                "{}: call by {} follows one by {} after {interval_ms} ms",
                call.instance, call.holder, prior.holder
            ));
        }
    }
    violations
}
