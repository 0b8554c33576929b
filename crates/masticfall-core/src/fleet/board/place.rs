//! Placement of waiting tasks on workers.

use indexmap::IndexMap;

use super::near::{GroupPlan, NearStep};
use super::{Board, Job, Notice, Placement, TaskState};
use crate::fleet::admission::{Rank, RankInput, SchedulingClass, rank};
use crate::fleet::config::FleetConfig;
use crate::fleet::crashes::Verdict;
use crate::fleet::placing::{Candidate, is_allowed};
use crate::fleet::progress::JobPhase;
use crate::fleet::spec::{Resources, StepSpec, TaskKey};
use crate::fleet::worker::Worker;
use crate::id::{JobId, Name, PoolName, WorkerId};

/// Maximum time for which a suspect waits for a worker where it runs apart, in milliseconds.
const MAX_ISOLATION_WAIT_MS: u64 = 2_000;

/// How a task is kept apart from the runs of other jobs.
#[derive(Debug, Clone, Default)]
pub(super) struct Isolation {
    /// Job of the task, if it is kept apart at all.
    job: Option<JobId>,
    needs_empty_worker: bool,
    /// Whether one more worker may be closed to other jobs: at most half of a pool's are.
    may_close_worker: bool,
}

impl Isolation {
    pub(super) fn allows(&self, candidate: &Candidate<'_>) -> bool {
        let Some(job) = &self.job else { return true };
        let worker = candidate.worker;
        let is_empty = worker.placements.iter().all(|other| other.job == *job);
        (self.may_close_worker || !worker.on_trial.is_empty())
            && (!self.needs_empty_worker || is_empty)
    }
}

/// Resource needs that fit on no worker in this pass, by required label. Steps
/// that need as much or more aren't tried again.
#[derive(Debug, Clone, Default)]
pub(super) struct Unplaceable(IndexMap<Option<Name>, Vec<Resources>>);

impl Unplaceable {
    /// Returns whether a step can't be placed either.
    pub(super) fn covers(&self, step: &StepSpec) -> bool {
        let unplaceable = self.0.get(&step.required_label).map_or(&[][..], Vec::as_slice);
        !limits_per_worker(step) && unplaceable.iter().any(|needs| needs.fits(&step.reserved()))
    }

    /// Records that a step couldn't be placed.
    pub(super) fn add(&mut self, step: &StepSpec) {
        if !limits_per_worker(step) {
            let needs = step.reserved();
            let unplaceable = self.0.entry(step.required_label.clone()).or_default();
            unplaceable.retain(|other| !needs.fits(other));
            unplaceable.push(needs);
        }
    }
}

/// Returns whether a step limits the number of its tasks per worker.
fn limits_per_worker(step: &StepSpec) -> bool {
    step.max_per_worker > 0
}

impl Board {
    /// Places waiting tasks, in the order of their jobs' ranks. Does nothing if
    /// nothing changed since the last pass.
    pub fn place(&mut self, now_ms: u64) {
        if !std::mem::take(&mut self.needs_placement) {
            return;
        }
        let Some(config) = self.config.clone() else { return };
        if std::mem::take(&mut self.needs_failure_check) {
            let loaded = self.jobs.keys().cloned().collect();
            self.fail_exhausted(loaded, now_ms);
        }
        self.begin_near_pass();
        let mut pools: IndexMap<PoolName, Vec<(Rank, JobId)>> = IndexMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.has_ready_tasks()) {
            let Some(queue) = config.queues.get(&job.record.queue) else { continue };
            let input = RankInput {
                is_long_running: job.record.spec.is_long_running(),
                has_started: job.phase != JobPhase::Queued || job.has_placements(),
                due_ms: job.due_ms,
                remaining_ms: job.remaining_ms(),
                is_above_share: self.is_above_share(&queue.pool, job),
            };
            let rank = rank(queue, input, now_ms);
            pools.entry(queue.pool.clone()).or_default().push((rank, id.clone()));
        }
        for (pool, mut waiting) in pools {
            let workers = self.schedulable_workers(&pool, now_ms);
            if workers.is_empty() {
                continue;
            }
            waiting.sort();
            self.begin_pool_pass(&pool);
            let mut unplaceable = Unplaceable::default();
            for (rank, id) in waiting {
                self.place_job(&id, rank, &workers, &config, &mut unplaceable, now_ms);
            }
        }
    }

    /// Returns the indices of a pool's schedulable workers in the table of workers,
    /// which doesn't change within a pass.
    fn schedulable_workers(&self, pool: &PoolName, now_ms: u64) -> Vec<usize> {
        let workers = self.workers.values().enumerate();
        let in_pool = workers
            .filter(|(_, worker)| worker.facts.pool == *pool && worker.is_schedulable(now_ms));
        in_pool.map(|(index, _)| index).collect()
    }

    /// Returns whether a worker of its pool has room for one more run of a task.
    pub(super) fn has_room_for(&self, key: &TaskKey, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let queues = self.config.as_ref().map(|config| &config.queues);
        let Some(queue) = queues.and_then(|queues| queues.get(&job.record.queue)) else {
            return false;
        };
        let workers = self.schedulable_workers(&queue.pool, now_ms);
        let spec = &job.record.spec.steps[key.step as usize];
        self.candidates(&workers, job, key).any(|candidate| is_allowed(spec, &candidate))
    }

    fn place_job(
        &mut self,
        id: &JobId,
        rank: Rank,
        workers: &[usize],
        config: &FleetConfig,
        unplaceable: &mut Unplaceable,
        now_ms: u64,
    ) {
        let mut runs = Vec::new();
        for (occurrence, step) in ready_steps(&self.jobs[id]) {
            if unplaceable.covers(&self.jobs[id].record.spec.steps[step as usize]) {
                continue;
            }
            let is_gang = self.jobs[id].record.spec.steps[step as usize].is_gang;
            let mut keys = waiting_tasks(&self.jobs[id], id, occurrence, step, now_ms);
            if !is_gang {
                self.jobs[id].retain_storable(id, &mut keys);
            }
            self.retain_settled(id, &mut keys, config);
            let chosen = self.place_step(&keys, is_gang, workers, config, unplaceable, now_ms);
            if chosen.len() < keys.len() {
                self.request_permits(&keys[chosen.len()..], workers, config);
            }
            runs.extend(self.run_refs(&keys));
        }
        if !runs.is_empty() {
            self.dirty.insert(id.clone());
            self.urgent.insert(id.clone());
            let config_version = config.version;
            let job = id.clone();
            let is_late = rank.class == SchedulingClass::Late;
            let near = self.take_near_outcome();
            self.notices.push(Notice::Placed { job, runs, is_late, config_version, near });
        }
    }

    /// Places tasks of one step, unless they wait for near workers; returns their workers.
    fn place_step(
        &mut self,
        keys: &[TaskKey],
        is_gang: bool,
        workers: &[usize],
        config: &FleetConfig,
        unplaceable: &mut Unplaceable,
        now_ms: u64,
    ) -> Vec<WorkerId> {
        if is_gang && !self.is_gang_ready(keys) {
            return Vec::new();
        }
        let Some(near) = self.near_step(keys, config, now_ms) else {
            return self.place_tasks(keys, None, workers, config, unplaceable, now_ms);
        };
        let mut chosen = Vec::new();
        match self.plan_group(keys, &near, workers, now_ms) {
            GroupPlan::Wait => return chosen,
            GroupPlan::Rack(rack) => {
                // What doesn't fit there may fit elsewhere.
                let mut unplaceable = Unplaceable::default();
                chosen = self.place_tasks(keys, None, &rack, config, &mut unplaceable, now_ms);
            }
            GroupPlan::Anywhere => {}
        }
        if chosen.is_empty() {
            chosen = self.place_tasks(keys, Some(&near), workers, config, unplaceable, now_ms);
        }
        self.end_waits(keys, &near, now_ms);
        chosen
    }

    /// Places tasks of one step, a gang all or none; returns their workers.
    fn place_tasks(
        &mut self,
        keys: &[TaskKey],
        near: Option<&NearStep>,
        workers: &[usize],
        config: &FleetConfig,
        unplaceable: &mut Unplaceable,
        now_ms: u64,
    ) -> Vec<WorkerId> {
        let mut chosen = Vec::new();
        let is_gang = keys.first().is_some_and(|key| self.is_gang(key));
        let attempt = self.gang_attempt(keys, is_gang);
        // What a member doesn't find because of the others is free again if the gang doesn't fit.
        let unplaceable_before = is_gang.then(|| unplaceable.clone());
        let mut best: Option<WorkerId> = None;
        for key in keys {
            if near.is_some_and(|near| self.waits_for_near(key, near, workers, now_ms)) {
                continue;
            }
            best = best.filter(|worker| self.is_best_again(key, worker, config));
            let found =
                best.take().or_else(|| self.find_worker(key, workers, config, unplaceable, now_ms));
            let Some(worker) = found else {
                if is_gang {
                    if !chosen.is_empty() {
                        *unplaceable = unplaceable_before.unwrap_or_default();
                    }
                    self.unassign(&keys[..chosen.len()]);
                    chosen.clear();
                } else if self.is_suspect(key) {
                    continue;
                }
                // The tasks of a step have equal needs, so the others don't fit either.
                break;
            };
            if self.chooses_alike(key, config) {
                best = Some(worker.clone());
            }
            self.assign(key, &worker, attempt, now_ms);
            self.book_near(key, &worker);
            chosen.push(worker);
        }
        if is_gang
            && let Some(member) = keys.first()
            && let Some(job) = self.jobs.get_mut(&member.job)
        {
            job.share_checkpoint(member);
        }
        chosen
    }

    /// Requests permits for tasks that weren't placed, if their queue requires them.
    fn request_permits(&mut self, keys: &[TaskKey], workers: &[usize], config: &FleetConfig) {
        let Some(key) = keys.first() else { return };
        let job = &self.jobs[&key.job];
        let queue = config.queues.get(&job.record.queue);
        let Some(advice) = queue.and_then(|queue| queue.advice) else { return };
        let spec = &job.record.spec.steps[key.step as usize];
        let candidates = self.candidates(workers, job, key);
        let fitting = candidates.filter(|candidate| is_allowed(spec, candidate));
        let fitting: Vec<WorkerId> =
            fitting.map(|candidate| candidate.worker.facts.id.clone()).collect();
        self.request_advice(key, keys.len(), &fitting, advice);
    }

    /// Returns whether all members of a gang wait, so that none is placed or completed.
    fn is_gang_ready(&self, keys: &[TaskKey]) -> bool {
        let Some(first) = keys.first() else { return false };
        self.jobs[&first.job].step(first).tasks.len() == keys.len()
    }

    /// Returns the attempt number shared by all members of a gang.
    fn gang_attempt(&self, keys: &[TaskKey], is_gang: bool) -> Option<u32> {
        let attempts = keys.iter().filter_map(|key| self.jobs[&key.job].task(key));
        attempts.map(|task| task.attempt + 1).max().filter(|_| is_gang)
    }

    fn assign(&mut self, key: &TaskKey, worker: &WorkerId, attempt: Option<u32>, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let floor = job.attempt_floor;
        let Some(task) = job.task_mut(key) else { return };
        let is_first = task.attempt == 0;
        task.attempt = attempt.unwrap_or(task.attempt + 1).max(floor + 1);
        let attempt = task.attempt;
        let born_wall_ms = self.workers.get(worker).and_then(|worker| worker.born_wall_ms);
        let placement = Placement { born_wall_ms, ..Placement::new(worker, attempt) };
        job.set_state(key, TaskState::Placed(placement));
        self.add_usage(key, worker);
        if is_first {
            self.note_first_placement(key, attempt, now_ms);
        }
    }

    /// Returns whether a task is a member of a gang.
    pub(super) fn is_gang(&self, key: &TaskKey) -> bool {
        let job = self.jobs.get(&key.job);
        job.is_some_and(|job| job.record.spec.steps[key.step as usize].is_gang)
    }

    /// Returns the placed members of a task's gang, with their workers.
    pub(super) fn gang_placements(&self, key: &TaskKey) -> Vec<(TaskKey, WorkerId)> {
        let Some(job) = self.jobs.get(&key.job) else { return Vec::new() };
        let mut placed = job.placements(&key.job);
        placed.retain(|(other, _)| other.occurrence == key.occurrence && other.step == key.step);
        placed
    }

    /// Returns whether the next run of a task is to be kept apart from others.
    pub(super) fn is_suspect(&self, key: &TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| task.verdict().is_suspect())
    }

    /// Returns how a task is kept apart from the runs of other jobs.
    pub(super) fn isolation(&self, key: &TaskKey, workers: &[usize], now_ms: u64) -> Isolation {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let suspect = task.filter(|task| task.verdict().is_suspect());
        // Running apart is worth a delay, not a loss of the job.
        let suspect = suspect.filter(|task| now_ms < task.crashed_ms + MAX_ISOLATION_WAIT_MS);
        let Some(task) = suspect else { return Isolation::default() };
        let workers = workers.iter().filter_map(|index| self.workers.get_index(*index));
        let (total, closed) = workers.fold((0, 0), |(total, closed), (_, worker)| {
            (total + 1, closed + usize::from(!worker.on_trial.is_empty()))
        });
        Isolation {
            job: Some(key.job.clone()),
            needs_empty_worker: task.verdict() == Verdict::Isolated,
            may_close_worker: closed == 0 || closed * 2 < total,
        }
    }

    /// Returns the number of runs of other jobs on a worker that have just started, and of
    /// all runs of other jobs there.
    pub(super) fn exposed(&self, worker: &Worker, key: &TaskKey) -> (u32, u32) {
        let others = worker.placements.iter().filter(|other| other.job != key.job);
        others.fold((0, 0), |(unsettled, all), other| {
            let run = self.jobs.get(&other.job).and_then(|job| job.run(other));
            let is_settled = run.is_some_and(Placement::is_settled);
            (unsettled + u32::from(!is_settled), all + 1)
        })
    }

    /// Reverts placements of this pass, which aren't stored yet.
    fn unassign(&mut self, keys: &[TaskKey]) {
        for key in keys {
            self.requeue(key, None);
        }
    }

    /// Returns a placed task to the waiting state; returns the worker it was on.
    pub(super) fn requeue(
        &mut self,
        key: &TaskKey,
        not_before_ms: Option<u64>,
    ) -> Option<WorkerId> {
        let job = self.jobs.get_mut(&key.job)?;
        let task = job.task_mut(key)?;
        task.run_mut()?;
        task.not_before_ms = not_before_ms.unwrap_or(0);
        let TaskState::Placed(run) = job.set_state(key, TaskState::Waiting)? else { return None };
        self.remove_usage(key, &run.worker);
        self.dirty.insert(key.job.clone());
        self.needs_placement = true;
        Some(run.worker)
    }
}

/// Returns the steps whose dependencies are completed, with their occurrences.
fn ready_steps(job: &Job) -> Vec<(u32, u32)> {
    let mut ready = Vec::new();
    for (number, occurrence) in &job.occurrences {
        for step in 0..occurrence.steps.len() {
            if job.is_step_ready(*number, step) {
                ready.push((*number, step as u32));
            }
        }
    }
    ready
}

fn waiting_tasks(job: &Job, id: &JobId, occurrence: u32, step: u32, now_ms: u64) -> Vec<TaskKey> {
    let tasks = &job.occurrences[&occurrence].steps[step as usize].tasks;
    let waiting = tasks
        .iter()
        .enumerate()
        .filter(|(_, task)| *task.state() == TaskState::Waiting && task.not_before_ms <= now_ms);
    let key = |index| TaskKey { job: id.clone(), occurrence, step, index };
    waiting.map(|(index, _)| key(index as u32)).collect()
}
