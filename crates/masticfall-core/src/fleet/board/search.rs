//! The search for a worker of a pool for one task.
//!
//! Answers for peaks of thousands of tasks a second on pools of hundreds of workers: the tasks of
//! a step share a search where its result is the same for all of them.

use super::place::Unplaceable;
use super::{Board, Job, Task, TaskState};
use crate::fleet::config::FleetConfig;
use crate::fleet::placing::{
    Candidate, PlacementContext, choose, depends_on_colocated, stays_best,
};
use crate::fleet::spec::{Resources, TaskKey};
use crate::fleet::worker::Worker;
use crate::id::{AccountName, Name, WorkerId};

impl Board {
    /// Returns whether the choice of a worker for a task holds for the other tasks of its step:
    /// it depends on nothing that differs between them.
    pub(super) fn chooses_alike(&self, key: &TaskKey, config: &FleetConfig) -> bool {
        let job = &self.jobs[&key.job];
        let needs_permit =
            config.queues.get(&job.record.queue).is_some_and(|queue| queue.advice.is_some());
        let is_plain = |task: &Task| task.failed_on.is_empty() && task.crashes.is_empty();
        !needs_permit
            && stays_best(&job.record.spec.steps[key.step as usize])
            && job.task(key).is_some_and(is_plain)
    }

    /// Returns whether the worker of the task before is also the one to be chosen for this task
    /// of the same step. Most workers of a large pool then needn't be searched for each task.
    pub(super) fn is_best_again(
        &self,
        key: &TaskKey,
        worker: &WorkerId,
        config: &FleetConfig,
    ) -> bool {
        let job = &self.jobs[&key.job];
        let spec = &job.record.spec.steps[key.step as usize];
        self.chooses_alike(key, config)
            && self.workers.get(worker).is_some_and(|worker| spec.reserved().fits(&worker.free()))
            && self.is_within_limit(job.record.account.as_ref(), &spec.needs, config)
    }

    pub(super) fn find_worker(
        &self,
        key: &TaskKey,
        workers: &[usize],
        config: &FleetConfig,
        unplaceable: &mut Unplaceable,
        now_ms: u64,
    ) -> Option<WorkerId> {
        let job = &self.jobs[&key.job];
        let needs_permit =
            config.queues.get(&job.record.queue).is_some_and(|queue| queue.advice.is_some());
        let spec = &job.record.spec.steps[key.step as usize];
        if !self.is_within_limit(job.record.account.as_ref(), &spec.needs, config) {
            return None;
        }
        if unplaceable.covers(spec) {
            return None;
        }
        let racks = if spec.wants_same_rack { self.racks_of(job, key) } else { Vec::new() };
        let permitted = |candidate: &Candidate<'_>| {
            !needs_permit || self.permit(key, &candidate.worker.facts.id, now_ms).is_some()
        };
        let isolation = self.isolation(key, workers, now_ms);
        let candidates = self.candidates(workers, job, key).filter(permitted);
        let candidates = candidates.filter(|candidate| isolation.allows(candidate));
        let found = choose(spec, &racks, candidates).map(|worker| worker.facts.id.clone());
        if found.is_none() && !needs_permit && !self.is_suspect(key) {
            unplaceable.add(spec);
        }
        found
    }

    /// Returns the workers with enough free resources for a task. These are checked
    /// first, since most workers are full in a burst and the other checks cost more.
    pub(super) fn candidates<'a>(
        &'a self,
        workers: &'a [usize],
        job: &'a Job,
        key: &'a TaskKey,
    ) -> impl Iterator<Item = Candidate<'a>> {
        let needs = job.record.spec.steps[key.step as usize].reserved();
        let task = job.task(key);
        let workers = workers.iter().filter_map(|index| self.workers.get_index(*index));
        let workers = workers.map(|(_, worker)| worker);
        let open = workers.filter(|worker| worker.on_trial.iter().all(|t| t.job == key.job));
        let fitting = open.filter(move |worker| needs.fits(&worker.free()));
        fitting.map(move |worker| {
            self.evaluated_candidates.set(self.evaluated_candidates.get() + 1);
            Candidate { worker, context: self.placement_context(worker, job, key, task) }
        })
    }

    /// Returns the number of workers evaluated for tasks since the board was created,
    /// a measure of placement cost that doesn't depend on the speed of the instance.
    pub fn evaluated_candidates(&self) -> u64 {
        self.evaluated_candidates.get()
    }

    fn is_within_limit(
        &self,
        account: Option<&AccountName>,
        needs: &Resources,
        config: &FleetConfig,
    ) -> bool {
        let Some(account) = account else { return true };
        let Some(limit) = config.accounts.get(account).map(|account| account.limit) else {
            return true;
        };
        let used = self.account_usage.get(account).copied().unwrap_or_default().plus(needs);
        let used = used.plus(&self.unsettled_capacity());
        let is_within = |used: u64, limit: u64| limit == 0 || used <= limit;
        is_within(used.cpu_millis, limit.cpu_millis)
            && is_within(used.memory_mib, limit.memory_mib)
            && is_within(used.accelerators, limit.accelerators)
    }

    fn placement_context(
        &self,
        worker: &Worker,
        job: &Job,
        key: &TaskKey,
        task: Option<&Task>,
    ) -> PlacementContext {
        let has_failed_here = task.is_some_and(|task| task.failed_on.contains(&worker.facts.id));
        let is_suspect = task.is_some_and(|task| task.verdict().is_suspect());
        let exposed = if is_suspect { self.exposed(worker, key) } else { (0, 0) };
        let mut context =
            PlacementContext { has_failed_here, exposed, ..PlacementContext::default() };
        if !depends_on_colocated(&job.record.spec.steps[key.step as usize]) {
            return context;
        }
        for other in &worker.placements {
            if other.job == key.job && other.occurrence == key.occurrence && other.step == key.step
            {
                context.same_step += 1;
            }
            let Some(spec) = self.jobs.get(&other.job).map(|job| &job.record.spec) else {
                continue;
            };
            let step = &spec.steps[other.step as usize];
            context.serving += u32::from(step.target_tail_ms > 0);
            context.best_effort += u32::from(step.is_filler);
            context.long_running += u32::from(step.is_long_running);
        }
        context
    }

    pub(super) fn racks_of(&self, job: &Job, key: &TaskKey) -> Vec<Name> {
        let runs = job.step(key).tasks.iter().filter_map(|task| match task.state() {
            TaskState::Placed(run) => self.workers.get(&run.worker),
            _ => None,
        });
        runs.filter_map(|worker| worker.facts.rack().cloned()).collect()
    }
}
