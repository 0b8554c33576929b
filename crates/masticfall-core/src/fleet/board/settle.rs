//! The barrier after a takeover: workers that may run tasks unknown to the store are
//! contacted before any task is started for the first time.

use indexmap::IndexMap;

use super::{Board, Notice, OrderState, Placement, Task, TaskState};
use crate::fleet::config::FleetConfig;
use crate::fleet::open_set::{OpenContent, OpenSet, may_start_early};
use crate::fleet::report::WorkerReport;
use crate::fleet::spec::{Resources, TaskKey};
use crate::fleet::worker::{LEASE_SLACK_MS, WORKER_CLOCK_DRIFT_PER_MILLE};
use crate::id::{JobId, PoolName, WorkerId};

/// A worker whose runs aren't known yet.
#[derive(Debug)]
struct Unsettled {
    pool: PoolName,
    capacity: Resources,
    /// When its first report arrived. From then on it rejects the earlier owners.
    contacted_ms: Option<u64>,
    /// Whether it has reported tasks of jobs that this owner doesn't know.
    waits_for_jobs: bool,
}

/// The open set of an earlier owner, as far as its workers' runs aren't known yet.
#[derive(Debug)]
pub(super) struct Settling {
    /// Version of the configuration that the set was written under; `None` if the set
    /// couldn't be read.
    config_version: Option<u64>,
    workers: IndexMap<WorkerId, Unsettled>,
    /// Time before which leases of earlier owners may be valid, in addition to what the
    /// workers' own entries say.
    lease_until_ms: u64,
    /// When the last read of the jobs that is applied was sent.
    jobs_read_ms: u64,
    begun_ms: u64,
    total: usize,
    expired: usize,
}

/// What is done with a worker's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportUse {
    /// It is applied.
    Applied,
    /// It is applied, and the worker's runs are known then.
    Settles,
    /// It is not applied, and the worker reports again.
    Withheld,
}

/// The open rows that a new owner has found.
#[derive(Debug, Clone)]
pub enum FoundOpenSet {
    /// None.
    Absent,
    /// A set, with the epoch of the owner that wrote it.
    Set(u32, OpenContent),
    /// Rows that can't be decoded.
    Unreadable,
}

impl Board {
    /// Begins to settle the open set of an earlier owner. `max_overlap_ms` is the maximum
    /// time for which any earlier owner may go on extending leases after this one took over.
    pub fn begin_settling(&mut self, found: FoundOpenSet, max_overlap_ms: u64, now_ms: u64) {
        let (epoch, content) = match found {
            FoundOpenSet::Absent => return,
            FoundOpenSet::Set(epoch, content) => (epoch, Some(content)),
            FoundOpenSet::Unreadable => (0, None),
        };
        self.early.open = OpenSet::unknown();
        if content.as_ref().is_some_and(|content| content.workers.is_empty()) {
            return;
        }
        self.takes_unstored = true;
        let lease_ms = self.timings.lease_ms;
        let drift_ms = lease_ms * WORKER_CLOCK_DRIFT_PER_MILLE / 1_000;
        // The entries of workers consider the leases of the last owner only.
        let is_from_last_owner = content.is_some() && epoch.saturating_add(1) == self.epoch;
        let lease_until_ms = if is_from_last_owner {
            0
        } else {
            now_ms + max_overlap_ms + lease_ms + drift_ms + LEASE_SLACK_MS
        };
        let config_version = content.as_ref().map(|content| content.config_version);
        let mut workers = IndexMap::new();
        for (id, open) in content.unwrap_or_default().workers {
            self.track_unlisted_worker(&id, Some(open.address));
            let (pool, capacity) = (open.pool, open.capacity);
            let unsettled = Unsettled { pool, capacity, contacted_ms: None, waits_for_jobs: false };
            workers.insert(id, unsettled);
        }
        self.settling = Some(Settling {
            config_version,
            lease_until_ms,
            jobs_read_ms: 0,
            begun_ms: now_ms,
            total: workers.len(),
            expired: 0,
            workers,
        });
    }

    /// Returns whether runs of an earlier owner that the store doesn't know may be missing.
    pub fn is_settling(&self) -> bool {
        self.settling.is_some()
    }

    /// Returns whether a worker has reported tasks of jobs that this owner doesn't know: the
    /// jobs that were accepted meanwhile are to be read.
    pub fn needs_jobs_read(&self) -> bool {
        let settling = self.settling.as_ref();
        settling.is_some_and(|s| s.workers.values().any(|worker| worker.waits_for_jobs))
    }

    /// Records that all jobs accepted until `sent_ms` have been loaded.
    pub fn jobs_read(&mut self, sent_ms: u64) {
        if let Some(settling) = &mut self.settling {
            settling.jobs_read_ms = settling.jobs_read_ms.max(sent_ms);
        }
    }

    /// Returns whether the runs on a worker may not be known yet.
    pub(super) fn is_unsettled(&self, id: &WorkerId) -> bool {
        self.settling.as_ref().is_some_and(|settling| settling.workers.contains_key(id))
    }

    /// Returns the resources that unknown runs may use.
    pub(super) fn unsettled_capacity(&self) -> Resources {
        let workers = self.settling.iter().flat_map(|settling| settling.workers.values());
        workers.fold(Resources::default(), |sum, worker| sum.plus(&worker.capacity))
    }

    /// Leaves out the tasks of a step that may have a run which isn't known yet.
    pub(super) fn retain_settled(&self, id: &JobId, keys: &mut Vec<TaskKey>, config: &FleetConfig) {
        let Some(settling) = &self.settling else { return };
        let Some(job) = self.jobs.get(id) else { return };
        let Some(queue) = config.queues.get(&job.record.queue) else { return };
        let is_settled = settling.config_version == Some(config.version)
            && settling.workers.values().all(|worker| worker.pool != queue.pool);
        if is_settled {
            return;
        }
        let is_known = |key: &TaskKey| {
            job.task(key).is_some_and(|task| task.attempt > 0)
                || !may_start_early(&job.record.spec, key.step)
        };
        keys.retain(is_known);
    }

    /// Returns what is to be done with a report of a worker.
    ///
    /// An unknown job may have been accepted after this owner read the jobs. To stop its run
    /// or to acknowledge its end would let it run twice. The whole report waits until all jobs
    /// are loaded that earlier owners can have known, since a report without its ends would
    /// show runs as lost.
    pub(super) fn judge_report(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        now_ms: u64,
    ) -> ReportUse {
        let Some(settling) = &mut self.settling else { return ReportUse::Applied };
        let jobs_read_ms = settling.jobs_read_ms;
        let Some(worker) = settling.workers.get_mut(id) else { return ReportUse::Applied };
        let contacted_ms = *worker.contacted_ms.get_or_insert(now_ms);
        let (jobs, ended_jobs) = (&self.jobs, &self.ended);
        let is_unknown = |job: &JobId| !jobs.contains_key(job) && !ended_jobs.contains_key(job);
        worker.waits_for_jobs = jobs_read_ms < contacted_ms
            && (report.ended.iter().any(|ended| is_unknown(&ended.task.job))
                || report.running.iter().any(|run| is_unknown(&run.task.job)));
        if worker.waits_for_jobs {
            ReportUse::Withheld
        } else if report.may_omit_ends() {
            ReportUse::Applied
        } else {
            ReportUse::Settles
        }
    }

    /// Records that the runs of earlier owners on a worker are known.
    pub(super) fn settle(&mut self, id: &WorkerId, now_ms: u64) {
        let Some(settling) = &mut self.settling else { return };
        if settling.workers.swap_remove(id).is_none() {
            return;
        }
        self.needs_placement = true;
        self.end_settling_if_done(now_ms);
    }

    /// Settles workers that can't be reached, once all leases that they may have had ended.
    pub(super) fn settle_expired(&mut self, now_ms: u64) {
        let Some(settling) = &self.settling else { return };
        let is_expired = |id: &WorkerId| match self.workers.get(id) {
            None => now_ms > self.previous_lease_until_ms,
            Some(worker) => {
                (worker.is_unresponsive || worker.clock.is_none())
                    && now_ms > worker.lease_expiry_ms()
            }
        };
        if now_ms <= settling.lease_until_ms {
            return;
        }
        let expired: Vec<WorkerId> =
            settling.workers.keys().filter(|id| is_expired(id)).cloned().collect();
        if let Some(settling) = &mut self.settling {
            settling.expired += expired.len();
        }
        for id in expired {
            let leases = self.lease_facts(&id, now_ms);
            self.notices.push(Notice::UnsettledExpired { worker: id.clone(), leases });
            self.settle(&id, now_ms);
        }
        self.end_settling_if_done(now_ms);
    }

    fn end_settling_if_done(&mut self, now_ms: u64) {
        let is_done = self.settling.as_ref().is_some_and(|settling| {
            settling.workers.is_empty()
                && (settling.config_version.is_some() || now_ms > settling.lease_until_ms)
        });
        let Some(settling) = self.settling.take_if(|_| is_done) else { return };
        self.needs_placement = true;
        let Settling { total, expired, begun_ms, .. } = settling;
        let took_ms = now_ms.saturating_sub(begun_ms);
        self.notices.push(Notice::TakeoverSettled { workers: total, expired, took_ms });
    }

    /// Returns whether a reported run of a task can be one that the store doesn't know: its
    /// first, ordered early by an earlier owner.
    ///
    /// The step before it need not look complete: its end may have been on a worker that was
    /// lost, and was never acknowledged.
    pub(super) fn can_be_unstored(&self, key: &TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.job).filter(|_| self.takes_unstored) else {
            return false;
        };
        let is_untried =
            |task: &Task| task.attempt == 0 && matches!(task.state(), TaskState::Waiting);
        !job.phase.is_final()
            && may_start_early(&job.record.spec, key.step)
            && job.task(key).is_some_and(is_untried)
    }

    /// Makes a reported run that the store doesn't know the current one of its task.
    pub(super) fn place_unstored(
        &mut self,
        id: &WorkerId,
        key: &TaskKey,
        attempt: u32,
        now_ms: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.task_mut(key) else { return };
        task.attempt = task.attempt.max(attempt);
        let order = OrderState::Settled(now_ms);
        job.set_state(key, TaskState::Placed(Placement { order, ..Placement::new(id, attempt) }));
        self.add_usage(key, id);
        self.dirty.insert(key.job.clone());
    }
}
