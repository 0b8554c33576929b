//! Runs that are lost with their worker, and the tasks that are suspected of it.

use indexmap::{IndexMap, IndexSet};

use super::{
    Board, DropReason, EndCause, Notice, OrderState, Placement, StopReason, Task, TaskState,
};
use crate::fleet::crashes::{Company, Crash, LossCause, Verdict};
use crate::fleet::progress::JobPhase;
use crate::fleet::report::RunEnd;
use crate::fleet::spec::TaskKey;
use crate::id::{JobId, Name, WorkerId};

/// Time within which workers of one rack stop answering if they are lost together, in
/// milliseconds.
const RACK_LOSS_MS: u64 = 250;

/// Time for which it is remembered that a worker stopped answering, in milliseconds: longer
/// than its leases last.
const SILENCE_KEPT_MS: u64 = 30_000;

/// Maximum number of tasks named in the reason for which a job was given up.
const MAX_NAMED_TASKS: usize = 8;

/// A worker that stopped answering.
#[derive(Debug, Clone)]
pub(super) struct Silence {
    worker: WorkerId,
    rack: Name,
    since_ms: u64,
    /// Jobs that ran there.
    jobs: IndexSet<JobId>,
}

impl Board {
    /// Ends runs that are lost with their worker.
    pub(super) fn lose_runs(
        &mut self,
        id: &WorkerId,
        keys: Vec<TaskKey>,
        cause: LossCause,
        now_ms: u64,
    ) {
        let is_ordered =
            |key: &&TaskKey| self.run(key).is_some_and(|run| run.order != OrderState::Unstored);
        let ordered: Vec<TaskKey> = keys.iter().filter(is_ordered).cloned().collect();
        self.record_loss(id, &ordered, cause, now_ms);
        for key in keys {
            self.end_run(&key, RunEnd::Lapsed, None, cause.into(), now_ms);
        }
        for key in ordered {
            self.apply_verdict(&key, now_ms);
        }
    }

    /// Ends runs of which the worker knows nothing since it restarted. The orders of the
    /// runs in `unclear` got no answer: the last incarnation may have started them, and
    /// the new one may yet.
    pub(super) fn lose_runs_by_restart(
        &mut self,
        id: &WorkerId,
        lost: Vec<TaskKey>,
        unclear: &[TaskKey],
        born_wall_ms: u64,
        now_ms: u64,
    ) {
        let all: Vec<TaskKey> = lost.iter().chain(unclear).cloned().collect();
        self.record_loss(id, &all, LossCause::Restarted, now_ms);
        for key in lost {
            self.end_run(&key, RunEnd::Lapsed, None, EndCause::Restarted, now_ms);
        }
        for key in unclear {
            let run = self.jobs.get_mut(&key.job).and_then(|job| job.task_mut(key));
            if let Some(run) = run.and_then(|task| task.run_mut()) {
                run.born_wall_ms = Some(born_wall_ms);
            }
            self.dirty.insert(key.job.clone());
            self.stop(key, StopReason::Stray, now_ms);
        }
        for key in all {
            self.apply_verdict(&key, now_ms);
        }
    }

    /// Records that runs were lost with their worker, and counts the crash against their
    /// tasks unless the worker was leaving.
    fn record_loss(&mut self, id: &WorkerId, keys: &[TaskKey], cause: LossCause, now_ms: u64) {
        if keys.is_empty() {
            return;
        }
        let worker = self.workers.get(id);
        let silent_since_ms = worker.and_then(|worker| worker.unresponsive_since_ms);
        let is_leaving = worker.is_some_and(|w| w.facts.is_draining || w.is_cordoned);
        self.notices.push(Notice::WorkerLost {
            worker: id.clone(),
            cause,
            silent_ms: silent_since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms)),
            is_leaving,
            leases: self.lease_facts(id, now_ms),
            tasks: keys.to_vec(),
        });
        if is_leaving {
            return;
        }
        let mut jobs: IndexMap<JobId, bool> = IndexMap::new();
        for key in keys {
            let is_settled = self.run(key).is_some_and(Placement::is_settled);
            *jobs.entry(key.job.clone()).or_insert(true) &= is_settled;
        }
        for key in keys {
            let others = jobs.iter().filter(|(job, _)| **job != key.job);
            let others: Vec<bool> = others.map(|(_, is_settled)| *is_settled).collect();
            let company = match (others.is_empty(), others.iter().all(|is_settled| *is_settled)) {
                (true, _) => Company::Alone,
                (false, true) => Company::Settled,
                (false, false) => Company::Unsettled,
            };
            let is_shared = self.is_rack_lost(id, &key.job);
            self.count_crash(id, key, company, is_shared, now_ms);
        }
    }

    /// Remembers that a worker has stopped answering, with the jobs that ran there.
    pub(super) fn record_silence(&mut self, id: &WorkerId, now_ms: u64) {
        self.silences.retain(|silence| now_ms < silence.since_ms + SILENCE_KEPT_MS);
        let Some(worker) = self.workers.get(id) else { return };
        let Some(rack) = worker.facts.rack().cloned() else { return };
        let jobs = worker.placements.iter().map(|key| key.job.clone()).collect();
        self.silences.push(Silence { worker: id.clone(), rack, since_ms: now_ms, jobs });
    }

    /// Returns whether another worker of the same rack, without a run of the job, stopped
    /// answering together with this one.
    fn is_rack_lost(&self, id: &WorkerId, job: &JobId) -> bool {
        let of_worker = self.silences.iter().rev().find(|silence| silence.worker == *id);
        let Some(of_worker) = of_worker else { return false };
        self.silences.iter().any(|other| {
            other.worker != *id
                && other.rack == of_worker.rack
                && other.since_ms.abs_diff(of_worker.since_ms) <= RACK_LOSS_MS
                && !other.jobs.contains(job)
        })
    }

    /// Counts a crash of a worker against a task, once.
    fn count_crash(
        &mut self,
        id: &WorkerId,
        key: &TaskKey,
        company: Company,
        is_shared: bool,
        now_ms: u64,
    ) {
        let age_ms = self.run_age_ms(key, now_ms);
        let Some(run) = self.run(key) else { return };
        let (born_wall_ms, alive_ms) = (run.born_wall_ms, run.alive_ms);
        let has_started = run.started_by_ms.is_some();
        let worker = id.clone();
        let crash =
            Crash { worker, born_wall_ms, age_ms, alive_ms, has_started, company, is_shared };
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| !job.phase.is_final()) else {
            return;
        };
        let Some(task) = job.task_mut(key) else { return };
        let is_counted = |other: &Crash| {
            other.worker == crash.worker
                && born_wall_ms.is_some()
                && other.born_wall_ms == born_wall_ms
        };
        if task.crashes.iter().any(is_counted) {
            return;
        }
        task.crashes.push(crash.clone());
        task.crashed_ms = now_ms;
        let (crashes, verdict) = (task.crashes.len(), task.verdict());
        self.suspects.entry(id.clone()).or_default().insert(key.clone());
        self.notices.push(Notice::CrashCounted { task: key.clone(), crash, crashes, verdict });
    }

    /// Gives up the job of a task that crashes the workers that start it.
    fn apply_verdict(&mut self, key: &TaskKey, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| !job.phase.is_final()) else {
            return;
        };
        let is_given_up =
            |task: &&Task| task.verdict() == Verdict::GivenUp && *task.state() != TaskState::Done;
        let Some(task) = job.task(key).filter(is_given_up) else { return };
        let workers: Vec<&str> = task.crashes.iter().map(|crash| crash.worker.as_str()).collect();
        let crashes = workers.len();
        // Tasks of one job run together while they are suspects.
        let mut tasks = Vec::new();
        job.for_each_task(&key.job, |key, task| {
            if task.verdict() == Verdict::GivenUp {
                tasks.push(key.in_job());
            }
        });
        let others = tasks.split_off(tasks.len().min(MAX_NAMED_TASKS)).len();
        let others = if others > 0 { format!(" and {others} more") } else { String::new() };
        let (tasks, workers) = (tasks.join(", "), workers.join(", "));
        let reason = Name::from(format!(
            "given up: {crashes} workers crashed under task {tasks}{others}: {workers}"
        ));
        job.reason = Some(Name::clone(&reason));
        job.phase = JobPhase::Failed;
        self.notices.push(Notice::GivenUp { job: key.job.clone(), reason, crashes });
        self.finish(&key.job, StopReason::JobFailed, now_ms);
    }

    /// Returns the time from the start order of a task's run until now, or until its worker
    /// stopped answering.
    pub(super) fn run_age_ms(&self, key: &TaskKey, now_ms: u64) -> Option<u64> {
        let run = self.run(key)?;
        let worker = self.workers.get(&run.worker);
        let until_ms = worker.and_then(|worker| worker.unresponsive_since_ms).unwrap_or(now_ms);
        run.ordered_ms.map(|ordered_ms| until_ms.saturating_sub(ordered_ms))
    }

    /// Drops crashes of a worker that answers and hasn't restarted since.
    pub(super) fn drop_crashes_of_live_worker(&mut self, id: &WorkerId, born_wall_ms: u64) {
        let Some(keys) = self.suspects.get(id) else { return };
        for key in keys.clone() {
            let has_crashed = |crash: &Crash| {
                crash.worker != *id || crash.born_wall_ms.is_none_or(|born| born != born_wall_ms)
            };
            self.retain_crashes(&key, DropReason::CutOff, has_crashed);
        }
        self.suspects.swap_remove(id);
    }

    /// Drops the crashes that a run has outlived.
    pub(super) fn drop_outlived_crashes(&mut self, key: &TaskKey, alive_ms: u64) {
        self.retain_crashes(key, DropReason::Outlived, |crash| !crash.is_outlived(alive_ms));
    }

    fn retain_crashes(
        &mut self,
        key: &TaskKey,
        reason: DropReason,
        retain: impl FnMut(&Crash) -> bool,
    ) {
        let task = self.jobs.get_mut(&key.job).and_then(|job| job.task_mut(key));
        let Some(task) = task.filter(|task| !task.crashes.is_empty()) else { return };
        let before = task.crashes.len();
        task.crashes.retain(retain);
        let crashes = task.crashes.len();
        if crashes < before {
            self.dirty.insert(key.job.clone());
            self.notices.push(Notice::CrashesDropped { task: key.clone(), reason, crashes });
        }
    }

    /// Opens a worker to other jobs once a run on trial there has outlived it.
    pub(super) fn end_trial_if_over(&mut self, id: &WorkerId, key: &TaskKey) {
        let Some(worker) = self.workers.get_mut(id).filter(|w| w.on_trial.contains(key)) else {
            return;
        };
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        if !task.is_some_and(Task::is_on_trial) {
            worker.on_trial.swap_remove(key);
            self.needs_placement = true;
        }
    }

    /// Adds the tasks of a loaded job that have lost workers to the index by worker.
    pub(super) fn index_suspects(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        job.for_each_task(id, |key, task| {
            for crash in &task.crashes {
                self.suspects.entry(crash.worker.clone()).or_default().insert(key.clone());
            }
        });
    }

    /// Removes tasks of ended jobs from the index of suspects.
    pub(super) fn forget_ended_suspects(&mut self) {
        let jobs = &self.jobs;
        self.suspects.retain(|_, keys| {
            keys.retain(|key| jobs.contains_key(&key.job));
            !keys.is_empty()
        });
    }

    /// Returns the current run of a task, if it is placed.
    pub(super) fn run(&self, key: &TaskKey) -> Option<&Placement> {
        self.jobs.get(&key.job)?.run(key)
    }
}
