//! Batches of progress to be stored, and the actions that follow once they are.

use super::{Board, Notice, Order, OrderState, StartOrder, StopReason, Task, TaskState};
use crate::fleet::progress::{EndedRow, JobPhase, ProgressRow};
use crate::fleet::spec::TaskKey;
use crate::id::{JobId, Name, WorkerId};

/// Maximum number of jobs in one batch, with a row each: with the transaction's
/// condition, within the store's limit of 100 entries per transaction.
const MAX_BATCH_JOBS: usize = 96;

/// Size of the rows of progress in a batch at which it gets no more of them, in bytes: with
/// one more row, encoded as text, within the store's limit of 1 MB per transaction.
const MAX_BATCH_BYTES: usize = 600_000;

/// How batches go on after one that the store rejected.
#[derive(Debug)]
pub(super) struct Rejections {
    /// Maximum number of jobs in the next batch; fewer than usual after a rejection.
    max_batch_jobs: usize,
    /// Whether a batch was stored since the last job's row was rejected.
    has_stored_since: bool,
}

impl Default for Rejections {
    fn default() -> Self {
        Self { max_batch_jobs: MAX_BATCH_JOBS, has_stored_since: false }
    }
}

/// A write of one job's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchWrite {
    /// The job continues.
    Progress(JobId, ProgressRow),
    /// The job has ended, and none of its tasks runs.
    Ended(JobId, EndedRow),
}

/// Rows that are written in one transaction.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// Writes.
    pub writes: Vec<BatchWrite>,
    starts: Vec<(TaskKey, u32)>,
    /// Runs that were ordered early.
    early: Vec<(TaskKey, u32)>,
    acks: Vec<(WorkerId, Option<u64>, u64)>,
}

impl Board {
    /// Takes the next changes to be stored; the batch is empty if there are none.
    ///
    /// A batch that leaves no change over covers all run ends read so far, so that
    /// the workers may discard these once it is stored.
    pub fn take_batch(&mut self, wall_ms: u64) -> Batch {
        let mut batch = Batch::default();
        let workers = &self.workers;
        let address = |id: &WorkerId| workers.get(id).map(|worker| worker.facts.address);
        let urgent = self.urgent.len().min(self.rejections.max_batch_jobs);
        let mut ids: Vec<JobId> = self.urgent.drain(..urgent).collect();
        ids.retain(|id| self.dirty.shift_remove(id));
        let others = self.dirty.len().min(self.rejections.max_batch_jobs - ids.len());
        for id in self.dirty.drain(..others) {
            self.urgent.swap_remove(&id);
            ids.push(id);
        }
        let mut bytes = 0;
        for id in ids {
            let Some(job) = self.jobs.get(&id) else { continue };
            if bytes > MAX_BATCH_BYTES {
                self.dirty.insert(id.clone());
                self.urgent.insert(id);
                continue;
            }
            for (key, _) in job.placements(&id) {
                if let Some(TaskState::Placed(run)) = job.task(&key).map(Task::state)
                    && run.order == OrderState::Unstored
                {
                    batch.starts.push((key, run.attempt));
                }
            }
            batch.early.extend(self.early.unstored_of(&id));
            if job.phase.is_final() && !job.has_placements() {
                let row = EndedRow {
                    phase: job.phase,
                    account: job.record.account.clone(),
                    ended_wall_ms: wall_ms,
                    reason: job.reason.clone(),
                };
                batch.writes.push(BatchWrite::Ended(id, row));
            } else {
                let row = job.progress(&id, address);
                bytes += row.size().max_bytes();
                batch.writes.push(BatchWrite::Progress(id.clone(), row));
            }
        }
        if self.dirty.is_empty() {
            let unstored = self.workers.iter().filter(|(_, w)| w.read_cursor > w.ack_cursor);
            batch.acks =
                unstored.map(|(id, w)| (id.clone(), w.born_wall_ms, w.read_cursor)).collect();
        }
        batch
    }

    /// Returns the number of jobs with changes to be stored.
    pub fn unstored_jobs(&self) -> usize {
        self.dirty.len()
    }

    /// Records that a batch was stored: workers may discard the run ends that it
    /// covers, and its placements are ordered.
    pub fn batch_stored(&mut self, batch: Batch, now_ms: u64) {
        if !batch.writes.is_empty() {
            let max_jobs = self.rejections.max_batch_jobs * 2;
            self.rejections.max_batch_jobs = max_jobs.min(MAX_BATCH_JOBS);
            self.rejections.has_stored_since = true;
        }
        for (id, born_wall_ms, number) in batch.acks {
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.born_wall_ms == born_wall_ms
            {
                worker.ack_cursor = worker.ack_cursor.max(number);
            }
        }
        for write in batch.writes {
            if let BatchWrite::Ended(id, row) = write {
                self.jobs.swap_remove(&id);
                self.drop_permits(&id);
                self.ended.insert(id.clone(), now_ms);
                self.newly_ended.push((id, row));
            }
        }
        // A placement of this batch may have been ordered early since the batch was taken.
        self.early_stored(batch.starts.iter().chain(&batch.early), now_ms);
        for (key, attempt) in batch.starts {
            if self.run(&key).is_some_and(|run| run.order != OrderState::Unstored) {
                continue;
            }
            if self.is_gang(&key) {
                self.withdraw_unfit_gang(&key);
            }
            self.order_start(&key, attempt, now_ms);
        }
    }

    /// Returns whether a worker's placements exceed its capacity, which may have shrunk
    /// since they were decided.
    fn is_overcommitted(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| !worker.used.fits(&worker.facts.capacity))
    }

    /// Returns a gang to the waiting state if one of its members no longer fits, or its worker
    /// leaves, and no order was sent.
    fn withdraw_unfit_gang(&mut self, key: &TaskKey) {
        let placements = self.gang_placements(key);
        let is_unsent = |(key, _): &(TaskKey, WorkerId)| {
            self.run(key).is_some_and(|run| run.order == OrderState::Unstored)
        };
        let is_unfit =
            |id: &WorkerId| self.is_overcommitted(id) || self.leaving_reason(id).is_some();
        let has_unfit = placements.iter().any(|(_, worker)| is_unfit(worker));
        if has_unfit && placements.iter().all(is_unsent) {
            for (key, _) in placements {
                self.requeue(&key, None);
            }
        }
    }

    /// Takes the jobs whose end was stored since the last call.
    pub fn take_newly_ended(&mut self) -> Vec<(JobId, EndedRow)> {
        std::mem::take(&mut self.newly_ended)
    }

    /// Takes the jobs that ended at least `retention_ms` ago, whose rows may be removed.
    pub fn take_expired(&mut self, now_ms: u64, retention_ms: u64) -> Vec<JobId> {
        let expired =
            self.ended.values().take_while(|ended_ms| **ended_ms + retention_ms <= now_ms);
        let count = expired.count();
        self.ended.drain(..count).map(|(id, _)| id).collect()
    }

    /// Returns whether a job ended under this ownership and its row is still kept.
    pub fn keeps_ended(&self, id: &JobId) -> bool {
        self.ended.contains_key(id)
    }

    /// Records that a batch may not have been stored: its jobs are stored again.
    pub fn batch_failed(&mut self, batch: Batch) {
        for write in batch.writes {
            let (BatchWrite::Progress(id, _) | BatchWrite::Ended(id, _)) = write;
            self.dirty.insert(id.clone());
            self.urgent.insert(id);
        }
    }

    /// Records that the store rejected a batch for good; returns whether the next one is to be
    /// stored at once. The batch is taken apart until only the job is left whose row can't be
    /// stored; that job fails, so that no other one waits for it.
    ///
    /// No job fails while the store rejects all of them: the cause isn't a job's row then.
    pub fn batch_rejected(&mut self, batch: Batch, reason: &str, now_ms: u64) -> bool {
        let [write] = &batch.writes[..] else {
            self.rejections.max_batch_jobs = (batch.writes.len() / 2).max(1);
            self.batch_failed(batch);
            return true;
        };
        let (BatchWrite::Progress(id, _) | BatchWrite::Ended(id, _)) = write;
        let id = id.clone();
        if !std::mem::take(&mut self.rejections.has_stored_since) {
            // Behind the others.
            self.batch_failed(batch);
            return false;
        }
        let Some(job) = self.jobs.get_mut(&id) else { return true };
        // The row of a job that has failed is stored once no task of it runs, and is small then.
        if !job.phase.is_final() {
            let reason = Name::from(format!("its progress can't be stored: {reason}"));
            job.phase = JobPhase::Failed;
            job.reason = Some(Name::clone(&reason));
            self.notices.push(Notice::ProgressRejected { job: id.clone(), reason });
            self.finish(&id, StopReason::JobFailed, now_ms);
        }
        true
    }

    /// Returns whether the worker of a placed task has restarted since the placement, maybe as
    /// another kind.
    fn has_restarted_since(&self, key: &TaskKey) -> bool {
        self.run(key).is_some_and(|run| {
            let worker = self.workers.get(&run.worker);
            run.born_wall_ms.is_some()
                && worker.is_some_and(|worker| worker.born_wall_ms != run.born_wall_ms)
        })
    }

    /// Issues the start order of a placed task, for the first time or again.
    pub(super) fn order_start(&mut self, key: &TaskKey, attempt: u32, now_ms: u64) {
        let lease_ms = self.timings.lease_ms;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let is_final = job.phase.is_final();
        let Some(run) = job.run_mut(key, attempt) else { return };
        let is_unsent = run.order == OrderState::Unstored;
        let worker_id = run.worker.clone();
        let worker = self.workers.get_mut(&worker_id);
        let born_wall_ms = worker.as_ref().and_then(|worker| worker.leased_incarnation());
        let lease = worker.and_then(|worker| worker.lease(now_ms, lease_ms));
        let is_gang = self.is_gang(key);
        let is_too_large = self.is_overcommitted(&worker_id) && !(is_unsent && is_gang);
        let leaving_reason = self.leaving_reason(&worker_id);
        let is_outdated = is_unsent && self.has_restarted_since(key);
        let is_unfit = is_too_large || leaving_reason.is_some() || is_outdated;
        let Some(lease_deadline_ms) = lease.filter(|_| !is_final && !is_unfit) else {
            if is_unsent {
                self.requeue(key, None);
                self.break_up_gang(key, now_ms);
            } else if let Some(reason) = leaving_reason {
                self.stop(key, reason, now_ms);
            } else if is_too_large {
                self.stop(key, StopReason::Stray, now_ms);
            }
            return;
        };
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(run) = job.run_mut(key, attempt) else { return };
        run.order = OrderState::Sent(now_ms);
        run.ordered_ms.get_or_insert(now_ms);
        let checkpoint = job.task(key).and_then(|task| task.checkpoint.clone());
        let permit = self.permit(key, &worker_id, now_ms);
        let Some(job) = self.jobs.get(&key.job) else { return };
        let payload = Name::clone(&job.record.spec.payload);
        self.orders.push(Order::Start(StartOrder {
            worker: worker_id,
            task: key.clone(),
            attempt,
            payload,
            checkpoint,
            permit,
            lease_deadline_ms,
            born_wall_ms,
        }));
    }
}
