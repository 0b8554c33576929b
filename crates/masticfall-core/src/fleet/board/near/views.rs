//! Views of racks and runs that waits for near workers are decided on.

use indexmap::IndexMap;

use super::{Board, Job};
use crate::fleet::locality::{
    RackForecast, RunView, expected_left_ms, far_run_ms, left_by_progress_ms, slots,
};
use crate::fleet::spec::{StepSpec, TaskKey};
use crate::fleet::worker::Worker;
use crate::id::Name;

impl Board {
    /// Returns the expected duration of a near run of a step's tasks, in milliseconds.
    pub(super) fn expected_run_ms(job: &Job, step: u32) -> u64 {
        job.record.spec.steps[step as usize].estimate_ms
    }

    /// Returns the expected time left of a task's run, in milliseconds; `None` if it doesn't
    /// end by itself.
    fn run_left_ms(&self, key: &TaskKey, worker: &Worker, now_ms: u64) -> Option<u64> {
        let job = self.jobs.get(&key.job)?;
        let (task, run) = (job.task(key)?, job.run(key)?);
        let spec = &job.record.spec.steps[key.step as usize];
        if spec.is_long_running {
            return None;
        }
        let begun_ms = run.ordered_ms.or(run.started_by_ms).unwrap_or(now_ms);
        let age_ms = now_ms.saturating_sub(begun_ms);
        // Progress counts from the checkpoint that a run resumed from.
        let has_progress = run.ordered_ms.is_some() && task.checkpoint.is_none();
        if has_progress && let Some(left_ms) = left_by_progress_ms(run.percent, run.alive_ms) {
            return Some(left_ms.saturating_sub(age_ms.saturating_sub(run.alive_ms)));
        }
        let near_ms = Self::expected_run_ms(job, key.step);
        let factor = if is_off_data(spec, worker) { self.locality.remote_factor } else { 1.0 };
        Some(expected_left_ms(far_run_ms(near_ms, factor), age_ms))
    }

    pub(super) fn by_rack(&self, workers: &[usize]) -> IndexMap<Name, Vec<usize>> {
        let mut racks: IndexMap<Name, Vec<usize>> = IndexMap::new();
        for index in workers {
            let worker = self.workers.get_index(*index).map(|(_, worker)| worker);
            let Some(rack) = worker.and_then(|worker| worker.facts.rack()) else { continue };
            match racks.get_mut(rack) {
                Some(rack) => rack.push(*index),
                None => drop(racks.insert(Name::clone(rack), vec![*index])),
            }
        }
        racks
    }

    pub(super) fn rack_forecast(&self, workers: &[usize], now_ms: u64) -> RackForecast {
        let mut forecast = RackForecast::default();
        for index in workers {
            let Some((_, worker)) = self.workers.get_index(*index) else { continue };
            if worker.is_maintenance_due {
                continue;
            }
            let runs = worker.placements.iter().filter_map(|key| {
                let left_ms = self.run_left_ms(key, worker, now_ms)?;
                Some(RunView { left_ms, reserved: self.jobs[&key.job].step(key).reserved_per_task })
            });
            forecast.add_worker(*index, worker.free(), runs.collect());
        }
        forecast
    }

    /// Returns how many more tasks of a step fit on a worker now.
    pub(super) fn slots_on(&self, index: usize, spec: &StepSpec, key: &TaskKey) -> u64 {
        let Some((_, worker)) = self.workers.get_index(index) else { return 0 };
        let (needs, free) = (spec.reserved(), worker.free());
        if !needs.fits(&free) || !is_open(worker, spec, key) {
            return 0;
        }
        let fitting = slots(&free, &needs);
        match u64::from(spec.max_per_worker) {
            0 => fitting,
            limit => fitting.min(limit.saturating_sub(same_step(worker, key))),
        }
    }

    pub(super) fn slots_in(&self, workers: &[usize], spec: &StepSpec, key: &TaskKey) -> u64 {
        let slots = workers.iter().map(|index| self.slots_on(*index, spec, key));
        slots.fold(0, u64::saturating_add)
    }

    pub(super) fn free_millis(&self, workers: &[usize]) -> u64 {
        let workers = workers.iter().filter_map(|index| self.workers.get_index(*index));
        workers.map(|(_, worker)| worker.free().cpu_millis).sum()
    }

    /// Returns whether a worker meets the requirements of a task apart from its resources.
    pub(super) fn may_wait_for(&self, index: usize, spec: &StepSpec, key: &TaskKey) -> bool {
        let Some((_, worker)) = self.workers.get_index(index) else { return false };
        let limit = u64::from(spec.max_per_worker);
        is_open(worker, spec, key) && (limit == 0 || same_step(worker, key) < limit)
    }
}

/// Returns whether a worker is away from the rack of a step's data.
pub(super) fn is_off_data(spec: &StepSpec, worker: &Worker) -> bool {
    spec.data_rack.as_ref().is_some_and(|rack| !worker.facts.labels.contains(rack))
}

fn is_open(worker: &Worker, spec: &StepSpec, key: &TaskKey) -> bool {
    spec.required_label.as_ref().is_none_or(|label| worker.facts.labels.contains(label))
        && worker.on_trial.iter().all(|other| other.job == key.job)
}

/// Returns the number of tasks of a task's step on a worker.
fn same_step(worker: &Worker, key: &TaskKey) -> u64 {
    let is_same = |other: &&TaskKey| {
        other.job == key.job && other.occurrence == key.occurrence && other.step == key.step
    };
    worker.placements.iter().filter(is_same).count() as u64
}
