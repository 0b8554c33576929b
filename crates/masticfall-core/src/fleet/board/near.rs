//! Tasks that wait for a near worker, and groups that wait for a rack.
//!
//! Collects the views that [`crate::fleet::locality`] decides on: the workers of a rack and
//! the expected ends of their runs. They are read once in a scheduling pass, and only for
//! racks that a task asks for while their workers are full.

mod backlog;
mod views;

use indexmap::IndexMap;

use super::{Board, Job, TaskState};
use crate::fleet::config::FleetConfig;
use crate::fleet::locality::{
    Decision, NearOutcome, Opening, RackForecast, Request, WaitInput, decide,
};
use crate::fleet::spec::{Resources, StepSpec, TaskKey};
use crate::id::{Name, PoolName};
use views::is_off_data;

/// Racks considered for a group that waits, those with the most free capacity: reading the
/// runs of a whole pool of 1,800 workers would take milliseconds in each pass.
const MAX_GROUP_RACKS: usize = 4;

/// Time for which the expectation of a task's start stands, in milliseconds: a scheduling tick.
/// Thousands of searches in each pass would take more processor time than all other placement.
const REVISE_AFTER_MS: u64 = 100;

/// State of the waits of a board.
#[derive(Debug, Default)]
pub(super) struct Locality {
    /// Multiple of its time that a far run takes; up to 1 no task waits.
    remote_factor: f64,
    /// Tasks that wait or have waited for near workers.
    holds: IndexMap<TaskKey, Hold>,
    /// Number of scheduling passes.
    passes: u64,
    /// Time that each pool needs for the tasks that wait for any worker, in milliseconds.
    backlogs_ms: IndexMap<PoolName, u64>,
    /// What became of the tasks of the job that is being placed.
    outcome: NearOutcome,
    pass: PoolPass,
}

/// The wait of a task for near workers.
#[derive(Debug, Clone, Copy)]
struct Hold {
    /// Time in which far workers had room for the task in each pass, in milliseconds.
    held_ms: u64,
    /// When it was last decided that the task waits.
    last_ms: u64,
    /// Number of the pass in which that was.
    last_pass: u64,
    /// Expected start on a near worker; `None` for a member of a group.
    start: Option<NearStart>,
}

/// The expected start of a task on a near worker.
#[derive(Debug, Clone, Copy)]
struct NearStart {
    /// Index of the worker.
    worker: usize,
    /// When, by the local clock.
    at_ms: u64,
    /// Until when the expectation stands.
    revise_ms: u64,
}

/// What is known about the racks of a pool within one scheduling pass.
#[derive(Debug, Default)]
struct PoolPass {
    backlog_ms: u64,
    /// Indices of the schedulable workers by rack, once a task has asked for one.
    racks: Option<IndexMap<Name, Vec<usize>>>,
    forecasts: IndexMap<Name, RackForecast>,
    /// Expected starts of earlier passes that still stand, by rack, to be booked in its
    /// forecast if one is made: worker, time from now, duration and resources.
    standing: IndexMap<Name, Vec<(usize, u64, u64, Resources)>>,
    /// Needs that fit on no worker of a rack now.
    full: IndexMap<Name, Vec<(Option<Name>, Resources)>>,
    /// Groups for which no rack has room now.
    unplaceable_groups: Vec<(Option<Name>, Resources, u64)>,
    /// A worker that had room for the last task that waits.
    roomy_worker: Option<usize>,
}

/// What the waits of a step's tasks depend on.
#[derive(Debug, Clone)]
pub(super) struct NearStep {
    /// Whether all tasks are placed or kept waiting as one.
    is_group: bool,
    /// Expected duration of a near run, in milliseconds.
    run_ms: u64,
    /// Time until the tasks have to end, in milliseconds.
    due_in_ms: i64,
}

/// Where the tasks of a group go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum GroupPlan {
    /// To these workers of one rack, by index.
    Rack(Vec<usize>),
    /// Nowhere yet: a rack is expected to have room soon.
    Wait,
    /// To any workers.
    Anywhere,
}

impl Board {
    /// Sets the multiple of its time that a task takes away from its data, or in a group
    /// that is spread over racks; up to 1, no task waits for near workers.
    pub fn set_remote_factor(&mut self, remote_factor: f64) {
        self.locality.remote_factor = remote_factor;
    }

    /// Begins the placement on a pool in a scheduling pass.
    pub(super) fn begin_pool_pass(&mut self, pool: &PoolName) {
        let backlog_ms = self.locality.backlogs_ms.get(pool).copied().unwrap_or_default();
        self.locality.pass = PoolPass { backlog_ms, ..PoolPass::default() };
    }

    /// Begins a scheduling pass: forgets the waits of tasks that no longer wait.
    pub(super) fn begin_near_pass(&mut self) {
        self.locality.passes += 1;
        let jobs = &self.jobs;
        self.locality.holds.retain(|key, _| {
            let job = jobs.get(&key.job).filter(|job| !job.phase.is_final());
            let task = job.and_then(|job| job.task(key));
            task.is_some_and(|task| *task.state() == TaskState::Waiting)
        });
    }

    /// Records that a task waits in this pass.
    fn hold(&mut self, key: &TaskKey, start: Option<NearStart>, now_ms: u64) {
        let held_ms = self.held_ms(key, now_ms).unwrap_or_default();
        let hold = Hold { held_ms, last_ms: now_ms, last_pass: self.locality.passes, start };
        self.locality.holds.insert(key.clone(), hold);
    }

    /// Returns what the waits of a step's tasks depend on; `None` if they never wait.
    pub(super) fn near_step(
        &self,
        keys: &[TaskKey],
        config: &FleetConfig,
        now_ms: u64,
    ) -> Option<NearStep> {
        let key = keys.first().filter(|_| self.locality.remote_factor > 1.0)?;
        let job = &self.jobs[&key.job];
        let spec = &job.record.spec.steps[key.step as usize];
        let needs_permit =
            config.queues.get(&job.record.queue).is_some_and(|queue| queue.advice.is_some());
        let is_group =
            spec.tasks > 1 && (spec.wants_same_rack || (spec.is_gang && spec.data_rack.is_some()));
        if spec.is_long_running
            || spec.is_filler
            || needs_permit
            || (!is_group && spec.data_rack.is_none())
        {
            return None;
        }
        let run_ms = Self::expected_run_ms(job, key.step);
        let rest_ms = job.remaining_ms().saturating_sub(run_ms);
        let due_in_ms = job.due_ms as i64 - now_ms.saturating_add(rest_ms) as i64;
        Some(NearStep { is_group, run_ms, due_in_ms })
    }

    /// Returns the time for which a task has waited while far workers had room for it, in
    /// milliseconds; `None` if it hasn't waited.
    fn held_ms(&self, key: &TaskKey, now_ms: u64) -> Option<u64> {
        let hold = self.locality.holds.get(key)?;
        // If it didn't wait in the pass before, no far worker had room for it then.
        let has_waited_on = hold.last_pass + 1 >= self.locality.passes;
        let last_ms = if has_waited_on { now_ms.saturating_sub(hold.last_ms) } else { 0 };
        Some(hold.held_ms + last_ms)
    }

    fn wait_input(
        &self,
        keys: &[TaskKey],
        near: &NearStep,
        backlog_ms: u64,
        now_ms: u64,
    ) -> WaitInput {
        let held_ms = keys.iter().filter_map(|key| self.held_ms(key, now_ms)).max();
        WaitInput {
            run_ms: near.run_ms,
            remote_factor: self.locality.remote_factor,
            held_ms: held_ms.unwrap_or_default(),
            backlog_ms,
            due_in_ms: near.due_in_ms,
        }
    }

    /// Returns whether a task is kept waiting for a near worker, although others have room.
    pub(super) fn waits_for_near(
        &mut self,
        key: &TaskKey,
        near: &NearStep,
        workers: &[usize],
        now_ms: u64,
    ) -> bool {
        if near.is_group {
            return false;
        }
        let key_only = std::slice::from_ref(key);
        let input = self.wait_input(key_only, near, self.locality.pass.backlog_ms, now_ms);
        if input.before_ms() == 0 || self.is_suspect(key) {
            return false;
        }
        let mut pass = std::mem::take(&mut self.locality.pass);
        let start = self.decide_on_task(key, input, &mut pass, workers, now_ms);
        self.locality.pass = pass;
        if start.is_some() {
            self.hold(key, start, now_ms);
        }
        start.is_some()
    }

    /// Returns the expected start on a near worker, if the task waits for it.
    fn decide_on_task(
        &self,
        key: &TaskKey,
        input: WaitInput,
        pass: &mut PoolPass,
        workers: &[usize],
        now_ms: u64,
    ) -> Option<NearStart> {
        let spec = &self.jobs[&key.job].record.spec.steps[key.step as usize];
        let rack = spec.data_rack.as_ref()?;
        let racks = pass.racks.get_or_insert_with(|| self.by_rack(workers));
        let near = racks.get(rack)?;
        let needs = spec.reserved();
        let is_full = pass.full.get(rack).is_some_and(|full| {
            full.iter().any(|(label, least)| *label == spec.required_label && least.fits(&needs))
        });
        if !is_full {
            if near.iter().any(|index| self.slots_on(*index, spec, key) > 0) {
                return None;
            }
            if spec.max_per_worker == 0 {
                let full = pass.full.entry(Name::clone(rack)).or_default();
                full.push((spec.required_label.clone(), needs));
            }
        }
        // Without room elsewhere there is nothing to decide, and the wait doesn't begin.
        let has_room = |index: usize| self.slots_on(index, spec, key) > 0;
        if !pass.roomy_worker.is_some_and(has_room) {
            pass.roomy_worker = workers.iter().copied().find(|index| has_room(*index));
        }
        pass.roomy_worker?;
        let standing = self.locality.holds.get(key).and_then(|hold| hold.start);
        if let Some(start) = standing.filter(|start| now_ms < start.revise_ms) {
            let booking = (start.worker, start.at_ms - now_ms, input.run_ms, needs);
            match pass.forecasts.get_mut(rack) {
                Some(forecast) => forecast.book_worker(booking.0, booking.1, booking.2, &needs),
                None => pass.standing.entry(Name::clone(rack)).or_default().push(booking),
            }
            return Some(start);
        }
        let forecast = pass.forecasts.entry(Name::clone(rack)).or_insert_with(|| {
            let mut forecast = self.rack_forecast(near, now_ms);
            for (worker, in_ms, run_ms, needs) in pass.standing.get(rack).into_iter().flatten() {
                forecast.book_worker(*worker, *in_ms, *run_ms, needs);
            }
            forecast
        });
        let request = request(spec, input, 1);
        let opening = forecast.opening(&request, |index| self.may_wait_for(index, spec, key))?;
        if !matches!(decide(input, Some(opening.in_ms), now_ms), Decision::Wait { .. }) {
            return None;
        }
        forecast.book(&opening, &request);
        let at_ms = now_ms + opening.in_ms;
        let revise_ms = at_ms.min(now_ms + REVISE_AFTER_MS);
        opening.workers.first().map(|(worker, _)| NearStart { worker: *worker, at_ms, revise_ms })
    }

    /// Decides where the tasks of a group go, or that they wait.
    pub(super) fn plan_group(
        &mut self,
        keys: &[TaskKey],
        near: &NearStep,
        workers: &[usize],
        now_ms: u64,
    ) -> GroupPlan {
        if !near.is_group || keys.iter().any(|key| self.is_suspect(key)) {
            return GroupPlan::Anywhere;
        }
        let mut pass = std::mem::take(&mut self.locality.pass);
        let plan = self.decide_on_group(keys, near, &mut pass, workers, now_ms);
        self.locality.pass = pass;
        if plan == GroupPlan::Wait {
            for key in keys {
                self.hold(key, None, now_ms);
            }
        }
        plan
    }

    fn decide_on_group(
        &self,
        keys: &[TaskKey],
        near: &NearStep,
        pass: &mut PoolPass,
        workers: &[usize],
        now_ms: u64,
    ) -> GroupPlan {
        let key = &keys[0];
        let job = &self.jobs[&key.job];
        let spec = &job.record.spec.steps[key.step as usize];
        let placed = self.racks_of(job, key);
        let wanted = spec.data_rack.as_ref().or(placed.first());
        if wanted.is_some_and(|wanted| placed.iter().any(|rack| rack != wanted)) {
            return GroupPlan::Anywhere;
        }
        let tasks = keys.len() as u64;
        let racks = pass.racks.get_or_insert_with(|| self.by_rack(workers));
        let racks = racks.iter().filter(|(rack, _)| wanted.is_none_or(|wanted| *rack == wanted));
        let needs = spec.reserved();
        let is_hopeless = wanted.is_none()
            && pass.unplaceable_groups.iter().any(|(label, least, count)| {
                *label == spec.required_label && least.fits(&needs) && *count <= tasks
            });
        if !is_hopeless {
            let fitting = racks.clone().filter(|(_, rack)| self.slots_in(rack, spec, key) >= tasks);
            if let Some((_, rack)) = fitting.min_by_key(|(_, rack)| self.free_millis(rack)) {
                return GroupPlan::Rack(rack.clone());
            }
            if wanted.is_none() && spec.max_per_worker == 0 {
                pass.unplaceable_groups.push((spec.required_label.clone(), needs, tasks));
            }
        }
        let input = self.wait_input(keys, near, pass.backlog_ms, now_ms);
        let placeable = if spec.is_gang { tasks } else { 1 };
        if input.before_ms() == 0 || self.slots_in(workers, spec, key) < placeable {
            return GroupPlan::Anywhere;
        }
        let mut racks: Vec<(&Name, &Vec<usize>)> = racks.collect();
        racks.sort_by_cached_key(|(_, rack)| std::cmp::Reverse(self.free_millis(rack)));
        let request = request(spec, input, tasks);
        let mut first: Option<(&Name, Opening)> = None;
        for (name, rack) in racks.into_iter().take(MAX_GROUP_RACKS) {
            let forecast = pass
                .forecasts
                .entry(Name::clone(name))
                .or_insert_with(|| self.rack_forecast(rack, now_ms));
            let opening = forecast.opening(&request, |index| self.may_wait_for(index, spec, key));
            let Some(opening) = opening else { continue };
            if first.as_ref().is_none_or(|(_, other)| opening.in_ms < other.in_ms) {
                first = Some((name, opening));
            }
        }
        let Some((rack, opening)) = first else { return GroupPlan::Anywhere };
        if !matches!(decide(input, Some(opening.in_ms), now_ms), Decision::Wait { .. }) {
            return GroupPlan::Anywhere;
        }
        if let Some(forecast) = pass.forecasts.get_mut(rack) {
            forecast.book(&opening, &request);
        }
        GroupPlan::Wait
    }

    /// Books the resources of a task that was just placed on a worker whose rack is waited for.
    pub(super) fn book_near(&mut self, key: &TaskKey, worker: &crate::id::WorkerId) {
        if self.locality.pass.forecasts.is_empty() {
            return;
        }
        let Some((index, _, worker)) = self.workers.get_full(worker) else { return };
        let Some(rack) = worker.facts.rack() else { return };
        let Some(forecast) = self.locality.pass.forecasts.get_mut(rack) else { return };
        let job = &self.jobs[&key.job];
        let reserved = job.step(key).reserved_per_task;
        forecast.book_worker(index, 0, Self::expected_run_ms(job, key.step), &reserved);
    }

    /// Sums up the waits of those of a step's tasks that were just placed.
    pub(super) fn end_waits(&mut self, keys: &[TaskKey], near: &NearStep, now_ms: u64) {
        let Some(key) = keys.first() else { return };
        let saved_ms = self.wait_input(&[], near, self.locality.pass.backlog_ms, now_ms).saved_ms();
        let job = &self.jobs[&key.job];
        let spec = &job.record.spec.steps[key.step as usize];
        let racks = if near.is_group { self.racks_of(job, key) } else { Vec::new() };
        let is_spread = spec.wants_same_rack && racks.iter().any(|rack| *rack != racks[0]);
        for key in keys {
            let worker = job.run(key).and_then(|run| self.workers.get(&run.worker));
            let Some(worker) = worker else { continue };
            let is_far = is_spread || is_off_data(spec, worker);
            let waited_ms = self.held_ms(key, now_ms);
            self.locality.holds.swap_remove(key);
            self.locality.outcome.record(is_far, waited_ms, saved_ms);
        }
    }

    /// Takes what became of the tasks of the job that is being placed.
    pub(super) fn take_near_outcome(&mut self) -> NearOutcome {
        std::mem::take(&mut self.locality.outcome)
    }
}

fn request(spec: &StepSpec, input: WaitInput, tasks: u64) -> Request {
    Request {
        needs: spec.reserved(),
        run_ms: input.run_ms,
        before_ms: input.before_ms(),
        label: spec.required_label.clone(),
        tasks,
        max_per_worker: spec.max_per_worker,
    }
}
