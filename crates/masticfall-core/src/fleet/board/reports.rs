//! Worker reports: active runs and run ends.

use indexmap::IndexMap;

use super::settle::ReportUse;
use super::{
    Board, BoardTimings, EndCause, Notice, Order, OrderState, Placement, RunRef, StopOrder,
    StopReason, TaskState,
};
use crate::fleet::progress::JobPhase;
use crate::fleet::report::{ActiveRun, EndedRun, RunEnd, WorkerReport};
use crate::fleet::spec::TaskKey;
use crate::fleet::worker::{AppliedAnnouncement, ClockReading, OpenPoll};
use crate::id::{JobId, Name, WorkerId};

/// Time after the stop grace period before a stop order is sent again to a worker
/// that still lists the run, in milliseconds.
const STOP_RETRY_MS: u64 = 300;

/// Maximum time that a poll waits for a run to end, in milliseconds: a quarter of
/// the length of the leases, which polls renew.
const POLL_WAIT_MS: u64 = 1_500;

/// The same for workers with both best-effort tasks and tasks that serve users, in
/// milliseconds: the period that the reported tail latencies cover.
const SHARED_POLL_WAIT_MS: u64 = 500;

/// The same for workers with tasks on trial, in milliseconds: they get no other work until a
/// report shows that these have outlived their start.
const TRIAL_POLL_WAIT_MS: u64 = 250;

/// A poll of a worker, which also renews its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollRequest {
    /// The worker.
    pub worker: WorkerId,
    /// Start time of the incarnation that the cursor and the lease are meant for, if known, in
    /// milliseconds since the Unix epoch.
    pub born_wall_ms: Option<u64>,
    /// Sequence number of the last run end that the worker may discard.
    pub ack_cursor: u64,
    /// Lease deadline, by the worker's clock; `None` before its clock is known, and
    /// while the worker is unresponsive or announced as unresponsive.
    pub lease_deadline_ms: Option<u64>,
    /// Maximum time to wait for a run to end, in milliseconds.
    pub wait_ms: u64,
}

impl Board {
    /// Prepares a poll of a worker; returns `None` if the worker is unknown.
    pub fn poll(&mut self, id: &WorkerId, now_ms: u64) -> Option<PollRequest> {
        let lease_ms = self.timings.lease_ms;
        let is_unsettled = self.is_unsettled(id);
        let worker = self.workers.get_mut(id)?;
        let lease_deadline_ms = worker.lease(now_ms, lease_ms);
        let has_lease = lease_deadline_ms.is_some();
        worker.open_poll = Some(OpenPoll { prepared_ms: now_ms, has_lease });
        // A new incarnation would discard run ends that nobody has read.
        let ack_cursor = if worker.may_have_restarted { 0 } else { worker.ack_cursor };
        let wait_ms = match lease_deadline_ms {
            None => 0,
            Some(_) if is_unsettled => 0,
            Some(_) if !worker.on_trial.is_empty() => TRIAL_POLL_WAIT_MS,
            Some(_) if self.is_shared(id) => SHARED_POLL_WAIT_MS,
            Some(_) => POLL_WAIT_MS,
        };
        let born_wall_ms = self.workers.get(id)?.leased_incarnation();
        let worker = id.clone();
        Some(PollRequest { worker, born_wall_ms, ack_cursor, lease_deadline_ms, wait_ms })
    }

    /// Returns the unresponsive workers to be announced to the next owner, with the time in
    /// milliseconds until their leases have expired. They get no lease from now on.
    pub fn announce_unresponsive(&mut self, now_ms: u64) -> IndexMap<WorkerId, u64> {
        let mut unresponsive = IndexMap::new();
        let mut added = Vec::new();
        for (id, worker) in self.workers.iter_mut().filter(|(_, worker)| worker.is_unresponsive) {
            let left_ms = worker.lease_expiry_ms().saturating_sub(now_ms);
            if !std::mem::replace(&mut worker.is_announced_unresponsive, true) {
                added.push((id.clone(), left_ms));
            }
            unresponsive.insert(id.clone(), left_ms);
        }
        if !added.is_empty() {
            self.notices.push(Notice::Announced { workers: added });
        }
        unresponsive
    }

    /// Records that an announcement was stored: responsive workers that it doesn't
    /// name get leases again.
    pub fn announcement_stored(&mut self, unresponsive: &IndexMap<WorkerId, u64>) {
        for (id, worker) in &mut self.workers {
            if !unresponsive.contains_key(id) && !worker.is_unresponsive {
                worker.is_announced_unresponsive = false;
            }
        }
    }

    /// Applies the announcement of the previous owner, from a heartbeat of this epoch.
    pub fn apply_announcement(
        &mut self,
        epoch: u32,
        unresponsive: &IndexMap<WorkerId, u64>,
        now_ms: u64,
    ) {
        for (id, left_ms) in unresponsive {
            if let Some(worker) = self.workers.get_mut(id) {
                let expiry_ms = now_ms + left_ms;
                if expiry_ms < worker.previous_lease_until_ms {
                    worker.previous_lease_until_ms = expiry_ms;
                    worker.announcement =
                        Some(AppliedAnnouncement { epoch, left_ms: *left_ms, applied_ms: now_ms });
                }
            }
        }
    }

    /// Records that a worker didn't answer.
    pub fn poll_failed(&mut self, id: &WorkerId, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.open_poll = None;
        worker.may_have_restarted = true;
        if !std::mem::replace(&mut worker.is_unresponsive, true) {
            worker.unresponsive_since_ms = Some(now_ms);
            self.record_silence(id, now_ms);
            self.notices.push(Notice::WorkerReachability { worker: id.clone(), is_reached: false });
        }
    }

    /// Records that a poll of a worker was lost on its way, which says nothing about the worker.
    pub fn poll_unanswered(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.open_poll = None;
            worker.may_have_restarted = true;
        }
    }

    /// Applies a report that was requested at `sent_ms`.
    pub fn report(&mut self, id: &WorkerId, sent_ms: u64, report: WorkerReport, now_ms: u64) {
        let BoardTimings { lease_ms, max_lease_ms, .. } = self.timings;
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.open_poll = None;
        worker.may_have_restarted = false;
        if std::mem::replace(&mut worker.is_unresponsive, false) {
            self.notices.push(Notice::WorkerReachability { worker: id.clone(), is_reached: true });
        }
        if worker.born_wall_ms != Some(report.born_wall_ms) {
            if worker.born_wall_ms.is_some() {
                let (worker, born_wall_ms) = (id.clone(), report.born_wall_ms);
                self.notices.push(Notice::WorkerRestarted { worker, born_wall_ms });
            }
            worker.begin_life(report.born_wall_ms, report.clock_ms, lease_ms, max_lease_ms);
            self.needs_placement = true;
        }
        worker.clock = Some(ClockReading { local_ms: now_ms, worker_ms: report.clock_ms });
        self.drop_crashes_of_live_worker(id, report.born_wall_ms);
        let report_use = self.judge_report(id, &report, now_ms);
        if report_use == ReportUse::Withheld {
            return;
        }
        let Some(worker) = self.workers.get(id) else { return };
        let last_read = worker.read_cursor;
        let has_new = report.ended.iter().any(|ended| ended.number > last_read);
        for ended in report.ended.iter().filter(|ended| ended.number > last_read) {
            self.apply_reported_end(id, ended, now_ms);
        }
        if has_new && let Some(worker) = self.workers.get_mut(id) {
            worker.read_cursor =
                report.ended.iter().map(|ended| ended.number).fold(last_read, u64::max);
        }
        self.reconcile(id, sent_ms, report, now_ms);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unresponsive_since_ms = None;
        }
        if report_use == ReportUse::Settles {
            self.settle(id, now_ms);
        }
        self.pace_best_effort(id, now_ms);
    }

    /// Applies a reported run end to its run.
    fn apply_reported_end(&mut self, id: &WorkerId, ended: &EndedRun, now_ms: u64) {
        if self.can_be_unstored(&ended.task) {
            self.place_unstored(id, &ended.task, ended.attempt, now_ms);
        }
        let Some(job) = self.jobs.get_mut(&ended.task.job) else { return };
        let Some(run) = job.run_mut(&ended.task, ended.attempt) else { return };
        if run.worker != *id {
            return;
        }
        let (end, checkpoint) = (ended.end, ended.checkpoint.clone());
        self.end_run(&ended.task, end, checkpoint, EndCause::Reported, now_ms);
    }

    /// Ends the current run of a task, and requeues or completes the task.
    pub(super) fn end_run(
        &mut self,
        key: &TaskKey,
        end: RunEnd,
        checkpoint: Option<Name>,
        cause: EndCause,
        now_ms: u64,
    ) {
        let age_ms = self.run_age_ms(key, now_ms);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        // The run of a member ended with its gang, even if its own end was never read.
        let end = if job.is_gang_done(key) { RunEnd::Done } else { end };
        let Some(task) = job.task_mut(key) else { return };
        let attempt = task.attempt;
        task.save_checkpoint(checkpoint, now_ms);
        if end == RunEnd::Failed {
            task.failures += 1;
        }
        let Some(worker) = self.requeue(key, None) else { return };
        self.record_worker_outcome(&worker, key, end, now_ms);
        if end == RunEnd::Done {
            self.complete_task(key, now_ms);
        } else {
            let task = key.clone();
            self.notices.push(Notice::RunEnded { task, attempt, worker, end, cause, age_ms });
            if end == RunEnd::Failed {
                self.fail_exhausted(vec![key.job.clone()], now_ms);
            }
        }
    }

    fn record_worker_outcome(&mut self, id: &WorkerId, key: &TaskKey, end: RunEnd, now_ms: u64) {
        if !matches!(end, RunEnd::Done | RunEnd::Failed) {
            return;
        }
        let job = &self.jobs[&key.job];
        let is_long_running = job.record.spec.steps[key.step as usize].is_long_running;
        let Some(worker) = self.workers.get_mut(id).filter(|_| !is_long_running) else { return };
        let quarantine = worker.record_end(&key.job, end == RunEnd::Done, now_ms);
        if let Some(length_ms) = quarantine {
            self.notices.push(Notice::Quarantined { worker: id.clone(), length_ms });
        }
        if end == RunEnd::Failed
            && let Some(task) = self.jobs.get_mut(&key.job).and_then(|job| job.task_mut(key))
        {
            task.failed_on.push(id.clone());
        }
    }

    pub(super) fn complete_task(&mut self, key: &TaskKey, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let is_long_running = job.record.spec.steps[key.step as usize].is_long_running;
        if is_long_running || job.phase.is_final() {
            return;
        }
        job.mark_done(key);
        if job.is_done() {
            job.phase = JobPhase::Completed;
            self.finish(&key.job, StopReason::Stray, now_ms);
        }
    }

    /// Fails those jobs of which a task has failed as often as its queue allows.
    ///
    /// The limit is unknown while the configuration doesn't have the queue, and may be another
    /// one when it has it again.
    pub(super) fn fail_exhausted(&mut self, ids: Vec<JobId>, now_ms: u64) {
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.phase.is_final()) else {
                continue;
            };
            let config = self.config.as_ref();
            let Some(queue) = config.and_then(|config| config.queues.get(&job.record.queue)) else {
                continue;
            };
            let Some((key, failures)) = job.exhausted_task(&id, queue.max_attempts) else {
                continue;
            };
            job.phase = JobPhase::Failed;
            job.reason = Some(format!("task {} failed {failures} times", key.in_job()).into());
            self.finish(&id, StopReason::JobFailed, now_ms);
        }
    }

    /// Reconciles the placements on a worker with the runs in its report.
    ///
    /// A run that a complete report shows neither as active nor as ended doesn't exist. After
    /// a report that may omit ends it stays placed until a later one decides.
    fn reconcile(&mut self, id: &WorkerId, sent_ms: u64, report: WorkerReport, now_ms: u64) {
        let mut running: IndexMap<(TaskKey, u32), ActiveRun> = IndexMap::new();
        let born_wall_ms = report.born_wall_ms;
        let (may_omit_ends, listed_ends) = (report.may_omit_ends(), report.ended.len());
        for run in report.running {
            running.insert((run.task.clone(), run.attempt), run);
        }
        let Some(worker) = self.workers.get(id) else { return };
        let mut lost = Vec::new();
        let mut unclear = Vec::new();
        let mut undecided = 0;
        for key in worker.placements.clone() {
            let Some(task) = self.jobs.get_mut(&key.job).and_then(|job| job.task_mut(&key)) else {
                continue;
            };
            let Some(run) = task.run_mut() else { continue };
            let Some(reported) = running.swap_remove(&(key.clone(), run.attempt)) else {
                let has_restarted = run.born_wall_ms.is_some_and(|born| born != born_wall_ms);
                match run.order {
                    OrderState::Settled(at) if at < sent_ms => {
                        if has_restarted {
                            lost.push(key);
                        } else if may_omit_ends {
                            undecided += 1;
                        } else {
                            self.end_run(&key, RunEnd::Lapsed, None, EndCause::Absent, now_ms);
                        }
                    }
                    OrderState::Unknown(at) if at < sent_ms && has_restarted => unclear.push(key),
                    _ => {}
                }
                continue;
            };
            run.record_alive(born_wall_ms, now_ms);
            let alive_ms = run.alive_ms;
            run.percent = reported.percent;
            run.load = reported.load;
            run.order = OrderState::Settled(now_ms);
            let is_stop_overdue = run
                .stop_sent_ms
                .is_some_and(|sent| now_ms > sent + self.timings.stop_grace_ms + STOP_RETRY_MS);
            task.save_checkpoint(reported.checkpoint, now_ms);
            let job = &self.jobs[&key.job];
            if is_stop_overdue || (job.phase.is_final() && !is_stopping(job.task(&key))) {
                self.stop(&key, StopReason::Cancelled, now_ms);
            }
            self.mark_running(&key.job);
            self.drop_outlived_crashes(&key, alive_ms);
            self.end_trial_if_over(id, &key);
        }
        if undecided > 0 {
            let worker = id.clone();
            self.notices.push(Notice::EndsOmitted { worker, listed: listed_ends, undecided });
        }
        if !lost.is_empty() || !unclear.is_empty() {
            self.lose_runs_by_restart(id, lost, &unclear, born_wall_ms, now_ms);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.strays.retain(|stray, _| running.contains_key(stray));
        }
        let mut adopted = Vec::new();
        for run in running.into_values() {
            if self.adopt(id, &run, now_ms) {
                let worker = id.clone();
                adopted.push(RunRef { task: run.task, attempt: run.attempt, worker });
            } else {
                self.stop_stray(id, &run, now_ms);
            }
        }
        if !adopted.is_empty() {
            self.notices.push(Notice::RunsAdopted { worker: id.clone(), runs: adopted });
        }
    }

    /// Marks a queued job as running, once one of its tasks is known to run.
    pub(super) fn mark_running(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.phase == JobPhase::Queued
        {
            job.phase = JobPhase::Running;
            self.dirty.insert(id.clone());
        }
    }

    /// Stops a run that belongs to no placement.
    fn stop_stray(&mut self, id: &WorkerId, run: &ActiveRun, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let stray = (run.task.clone(), run.attempt);
        let retry_ms = self.timings.stop_grace_ms + STOP_RETRY_MS;
        let is_recent = worker.strays.get(&stray).is_some_and(|sent| now_ms < sent + retry_ms);
        if is_recent {
            return;
        }
        worker.strays.insert(stray, now_ms);
        let (worker, task, attempt) = (id.clone(), run.task.clone(), run.attempt);
        let order = StopOrder { worker: worker.clone(), task: task.clone(), attempt };
        self.orders.push(Order::Stop(order));
        let reason = StopReason::Stray;
        self.notices.push(Notice::Stopping { task, attempt, worker, reason });
    }

    /// Makes a reported run the current one of its task, if no other run of the task
    /// can have been ordered; returns whether it did.
    fn adopt(&mut self, id: &WorkerId, run: &ActiveRun, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else { return false };
        let Some(task) = job.task(&run.task) else { return false };
        let is_step_ready = job.is_step_ready(run.task.occurrence, run.task.step as usize)
            || self.can_be_unstored(&run.task);
        let is_adoptable = match task.state() {
            TaskState::Waiting => true,
            TaskState::Placed(placed) => placed.order == OrderState::Unstored,
            TaskState::Done => false,
        };
        if job.phase.is_final() || !is_step_ready || !is_adoptable {
            return false;
        }
        self.requeue(&run.task, None);
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return false };
        let Some(task) = job.task_mut(&run.task) else { return false };
        task.attempt = task.attempt.max(run.attempt);
        let mut placement = Placement::new(id, run.attempt);
        placement.order = OrderState::Settled(now_ms);
        placement.started_by_ms = Some(now_ms);
        placement.percent = run.percent;
        job.set_state(&run.task, TaskState::Placed(placement));
        self.add_usage(&run.task, id);
        self.dirty.insert(run.task.job.clone());
        true
    }
}

fn is_stopping(task: Option<&super::Task>) -> bool {
    task.is_some_and(|task| match task.state() {
        TaskState::Placed(run) => run.stop_sent_ms.is_some(),
        _ => false,
    })
}
