//! Follows the platform's change feeds: operators, ownership, jobs and workers.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{FutureExt, StreamExt, TryStreamExt, stream};
use masticfall_core::fleet::config::FleetConfig;
use masticfall_core::fleet::evacuation::{EvacuationChange, Evacuations};
use masticfall_core::id::{JobId, Name, WorkerId};
use masticfall_platform::fleet::{
    FleetRow, FollowOutcome, FollowRequest, OperatorUpdate, RowRange, RowTransaction, WorkerUpdate,
    read_all,
};
use masticfall_platform::{PlatformError, Result};
use tokio::time::sleep;

use super::context::{Fleet, FleetPhase, Shared};
use super::rows::{
    CELL_PARTITION, HEARTBEAT_KEY, HeartbeatRow, JOBS_TABLE, cancelled_job, decode_job, decode_row,
    job_partitions,
};
use super::submissions::Notice;
use super::{dispatch, evacuation, leadership};

/// Long-poll time of a feed, in milliseconds; the store allows 30 s.
///
/// A connection that has gone silent is noticed only when a response is overdue, so the wait and
/// the read timeout of 1.5 s together stay under the 3 s within which cancellations and leaving
/// workers have to be respected.
const FEED_WAIT_MS: u64 = 500;

/// Long-poll time of the operators' feed, in milliseconds. It is longer, since all processes
/// follow that feed and it rarely changes; the limit is the same, for configurations and keys.
pub const OPERATOR_FEED_WAIT_MS: u64 = 1_000;

/// Maximum time from a change to the response to a request that waits for it, in
/// milliseconds; the store is slow by up to 240 ms.
const MAX_FEED_LATENCY_MS: u64 = 400;

/// Maximum number of removed queues that are remembered; the oldest are forgotten.
const MAX_REMOVED_QUEUES: usize = 1_000;

/// Delay before a failed call is retried, in milliseconds.
const RETRY_MS: u64 = 150;

/// Time from a submission to the write of its row from which on that is logged, in
/// milliseconds; even a slow store takes less.
const LATE_WRITE_MS: u64 = 1_000;

/// Pause between two reads of the job feed, in milliseconds, so that changes are
/// read in batches.
const JOB_FEED_PAUSE_MS: u64 = 8;

/// Pause between two reads of the worker feed, in milliseconds. Each worker writes
/// every second or two; a longer pause would delay the use of new workers.
const WORKER_FEED_PAUSE_MS: u64 = 60;

/// Pause between two reads of the jobs after a takeover, in milliseconds.
const SETTLING_PAUSE_MS: u64 = 20;

/// Follows the operators' announcements for as long as the process runs.
pub async fn operators(fleet: Arc<Fleet>) {
    let mut feed = Feed::new(&fleet, "operators");
    loop {
        let listed = (fleet.platform.operator_list)(()).await;
        fleet.record_store_result(&listed);
        let mut after = match listed {
            Ok((updates, version)) => {
                feed.record_response(&fleet);
                apply_operator_updates(&fleet, updates, version);
                version
            }
            Err(error) => {
                feed.back_off(&fleet, &error).await;
                continue;
            }
        };
        loop {
            let wait_ms = feed.wait_ms(OPERATOR_FEED_WAIT_MS);
            let follow = FollowRequest { table: "", after, wait_ms };
            let followed = (fleet.platform.operator_follow)(follow).await;
            fleet.record_store_result(&followed);
            match followed {
                Ok(FollowOutcome::Changes(updates, version)) => {
                    feed.record_response(&fleet);
                    after = after.max(version);
                    apply_operator_updates(&fleet, updates, version);
                }
                Ok(FollowOutcome::HistoryGone) => {
                    tracing::info!(name: "feed.history_gone", feed = "operators", after, "feed history no longer available; listing again");
                    break;
                }
                Err(error) => feed.back_off(&fleet, &error).await,
            }
        }
    }
}

/// A feed that this process follows, and for how long it has been silent.
struct Feed {
    name: &'static str,
    responded_ms: u64,
    has_failed: bool,
}

impl Feed {
    fn new(fleet: &Fleet, name: &'static str) -> Self {
        Self { name, responded_ms: fleet.now_ms(), has_failed: false }
    }

    fn record_response(&mut self, fleet: &Fleet) {
        let now_ms = fleet.now_ms();
        if std::mem::take(&mut self.has_failed) {
            let silent_ms = now_ms.saturating_sub(self.responded_ms);
            tracing::info!(name: "feed.recovered", process = %fleet.incarnation, feed = self.name, silent_ms, "feed responds again");
        }
        self.responded_ms = now_ms;
    }

    /// Returns the long-poll time of the next request: none after a failure, so that the
    /// recovery is noticed even if nothing has changed.
    fn wait_ms(&self, usual_ms: u64) -> u64 {
        if self.has_failed { 0 } else { usual_ms }
    }

    /// Waits before a failed request is made again.
    async fn back_off(&mut self, fleet: &Fleet, error: &PlatformError) {
        self.has_failed = true;
        tracing::debug!(name: "feed.failed", process = %fleet.incarnation, feed = self.name, %error, "feed request failed; retrying");
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

/// Applies updates that state the operators' table up to a version, from its list or its
/// feed.
pub fn apply_operator_updates(fleet: &Fleet, updates: Vec<OperatorUpdate>, version: u64) {
    let mut evacuations = Vec::new();
    for update in updates {
        match update {
            OperatorUpdate::Evacuated(listed) => {
                update_evacuations(fleet, |known| known.apply_list(listed, version));
            }
            OperatorUpdate::Evacuation { data_centre, is_evacuated } => {
                evacuations.push((data_centre, is_evacuated));
            }
            other => apply_operator_update(fleet, other),
        }
    }
    if !evacuations.is_empty() {
        update_evacuations(fleet, |known| known.apply_changes(evacuations, version));
    }
}

fn update_evacuations(fleet: &Fleet, update: impl FnOnce(&mut Evacuations) -> EvacuationChange) {
    let now_ms = fleet.now_ms();
    let mut shared = fleet.shared();
    let Shared { evacuations, board, .. } = &mut *shared;
    let change = update(evacuations);
    let (board, metrics) = (board.as_mut(), &fleet.metrics.evacuation);
    evacuation::apply(&change, evacuations, board, metrics, &fleet.incarnation, now_ms);
    drop(shared);
    fleet.board_changed.notify_one();
}

fn apply_operator_update(fleet: &Fleet, update: OperatorUpdate) {
    let now_ms = fleet.now_ms();
    match update {
        OperatorUpdate::Evacuated(_) | OperatorUpdate::Evacuation { .. } => {}
        OperatorUpdate::Config(config) => apply_config(fleet, config),
        OperatorUpdate::Wave(plan) => {
            let mut shared = fleet.shared();
            if !shared.waves.contains_key(&plan.wave) {
                let (wave, instances) = (&plan.wave, plan.instances.len());
                tracing::info!(name: "wave.announced", %wave, instances, "maintenance wave announced");
                shared.waves.insert(plan.wave.clone(), (plan, now_ms));
            }
        }
        OperatorUpdate::Unreadable(reason) => {
            tracing::warn!(name: "operators.unreadable", reason, "ignoring operators' row");
        }
    }
}

/// Puts a configuration in force unless the current one is at least as new.
pub fn apply_config(fleet: &Fleet, config: Arc<FleetConfig>) {
    let mut shared = fleet.shared();
    let current = shared.config.as_ref().map(|config| config.version);
    if current.is_some_and(|version| version >= config.version) {
        return;
    }
    tracing::info!(
        name: "config.in_force",
        version = config.version,
        previous = current,
        queues = config.queues.len(),
        keys = config.keys.len(),
        "new configuration in force"
    );
    if shared.phase == FleetPhase::Starting {
        shared.phase = FleetPhase::Ready;
    }
    let Shared { config: current, removed_queues, board, .. } = &mut *shared;
    if let Some(current) = current {
        let removed = config.removed_queues(current);
        removed_queues.extend(removed.map(|queue| (queue.name.clone(), queue.clone())));
    }
    removed_queues.retain(|name, _| !config.queues.contains_key(name));
    let excess = removed_queues.len().saturating_sub(MAX_REMOVED_QUEUES);
    removed_queues.drain(..excess);
    if let Some(board) = board {
        board.set_config(config.with_removed_queues(removed_queues));
    }
    *current = Some(config);
    drop(shared);
    fleet.board_changed.notify_one();
    fleet.ownership_changed.notify_one();
}

/// Reads all rows of a table in the cell's partition, with the version to follow
/// from.
pub async fn read_table(fleet: &Fleet, table: &'static str) -> Result<(Vec<FleetRow>, u64)> {
    read_all(&fleet.platform.range, table, CELL_PARTITION, fleet.settings.page_rows()).await
}

/// Reads the rows of all jobs that haven't ended, with the version to follow from.
pub async fn read_jobs(fleet: &Fleet) -> Result<(Vec<FleetRow>, u64)> {
    let page_rows = fleet.settings.page_rows();
    // Boxed, since the compiler can't prove the closure's future to be `Send` otherwise.
    let reads = job_partitions().map(|part| {
        async move { read_all(&fleet.platform.range, JOBS_TABLE, &part, page_rows).await }.boxed()
    });
    let reads: Vec<_> = reads.collect();
    let reads = stream::iter(reads).buffered(fleet.settings.concurrent_reads());
    let mut all = Vec::new();
    let mut oldest = u64::MAX;
    for (rows, version) in reads.try_collect::<Vec<_>>().await? {
        all.extend(rows);
        oldest = oldest.min(version);
    }
    Ok((all, oldest))
}

/// Follows the ownership of the cell for as long as the process runs.
pub async fn ownership(fleet: Arc<Fleet>) {
    let table = super::rows::LEAD_TABLE;
    let mut feed = Feed::new(&fleet, table);
    loop {
        let mut after = match read_table(&fleet, table).await {
            Ok((rows, version)) => {
                feed.record_response(&fleet);
                apply_ownership(&fleet, &rows);
                version
            }
            Err(error) => {
                leadership::record_read_failure(&fleet);
                feed.back_off(&fleet, &error).await;
                continue;
            }
        };
        loop {
            let follow = FollowRequest { table, after, wait_ms: feed.wait_ms(FEED_WAIT_MS) };
            match (fleet.platform.follow)(follow).await {
                Ok(FollowOutcome::Changes(rows, version)) => {
                    feed.record_response(&fleet);
                    fleet.record_store_response();
                    after = after.max(version);
                    apply_ownership(&fleet, &rows);
                }
                Ok(FollowOutcome::HistoryGone) => break,
                Err(error) => {
                    leadership::record_read_failure(&fleet);
                    feed.back_off(&fleet, &error).await;
                }
            }
        }
    }
}

fn apply_ownership(fleet: &Fleet, rows: &[FleetRow]) {
    for row in rows.iter().filter(|row| &*row.key == HEARTBEAT_KEY) {
        let Some(value) = &row.value else { continue };
        match decode_row::<HeartbeatRow>(value) {
            Ok(heartbeat) => {
                leadership::record_completed_round(fleet, &heartbeat);
                fleet.shared().load = Some((heartbeat, fleet.now_ms()));
            }
            Err(error) => tracing::warn!(name: "lead.unreadable", %error, "ignoring heartbeat row"),
        }
    }
    leadership::observe_rows(fleet, rows);
}

/// Follows the accepted jobs while this process owns the cell in this epoch.
pub async fn jobs(fleet: Arc<Fleet>, epoch: u32, mut after: u64) {
    let mut feed = Feed::new(&fleet, JOBS_TABLE);
    let mut received_ms = fleet.now_ms();
    while fleet.is_owner(epoch) {
        let wait_ms = feed.wait_ms(FEED_WAIT_MS);
        let follow = FollowRequest { table: JOBS_TABLE, after, wait_ms };
        let sent_ms = fleet.now_ms();
        match (fleet.platform.follow)(follow).await {
            Ok(FollowOutcome::Changes(rows, version)) => {
                feed.record_response(&fleet);
                after = after.max(version);
                let max_age_ms = max_row_age_ms(&fleet, received_ms, sent_ms);
                received_ms = fleet.now_ms();
                for row in &rows {
                    apply_job(&fleet, epoch, row, max_age_ms);
                }
                sleep(Duration::from_millis(JOB_FEED_PAUSE_MS)).await;
            }
            Ok(FollowOutcome::HistoryGone) => match read_jobs(&fleet).await {
                Ok((rows, version)) => {
                    feed.record_response(&fleet);
                    after = version;
                    let max_age_ms = max_row_age_ms(&fleet, received_ms, sent_ms);
                    received_ms = fleet.now_ms();
                    for row in &rows {
                        apply_job(&fleet, epoch, row, max_age_ms);
                    }
                }
                Err(error) => feed.back_off(&fleet, &error).await,
            },
            Err(error) => feed.back_off(&fleet, &error).await,
        }
    }
}

/// Reads the jobs that were accepted since the cell was loaded, as long as a worker has
/// reported runs of jobs that are not on the board. A job that an earlier owner may have known
/// is then loaded before its runs are judged.
pub async fn jobs_while_settling(fleet: Arc<Fleet>, epoch: u32, mut after: u64) {
    let mut feed = Feed::new(&fleet, JOBS_TABLE);
    loop {
        let waits = fleet.with_board(epoch, |board| (board.is_settling(), board.needs_jobs_read()));
        let Some((true, needs_read)) = waits else { return };
        if needs_read {
            let sent_ms = fleet.now_ms();
            match read_jobs_until_now(&fleet, epoch, &mut after).await {
                Ok(()) => {
                    feed.record_response(&fleet);
                    fleet.update_board(epoch, |board| board.jobs_read(sent_ms));
                }
                Err(error) => feed.back_off(&fleet, &error).await,
            }
        }
        sleep(Duration::from_millis(SETTLING_PAUSE_MS)).await;
    }
}

/// Applies all changes of jobs up to the version that the store has now.
async fn read_jobs_until_now(fleet: &Fleet, epoch: u32, after: &mut u64) -> Result<()> {
    let (from, to) = (Name::from(""), Name::from("\0"));
    let part = job_partitions().next().unwrap_or_else(|| Name::from(CELL_PARTITION));
    let range = RowRange { table: JOBS_TABLE, part, from, to, limit: 1 };
    let target = (fleet.platform.range)(range).await?.version;
    while *after < target {
        let follow = FollowRequest { table: JOBS_TABLE, after: *after, wait_ms: 0 };
        let (rows, version) = match (fleet.platform.follow)(follow).await? {
            FollowOutcome::Changes(rows, version) => (rows, version),
            FollowOutcome::HistoryGone => read_jobs(fleet).await?,
        };
        let is_last = rows.is_empty();
        for row in &rows {
            apply_job(fleet, epoch, row, MAX_FEED_LATENCY_MS);
        }
        *after = version.max(*after);
        if is_last {
            break;
        }
    }
    Ok(())
}

/// Returns the maximum age of rows that a feed has just returned to a request sent at
/// `sent_ms`, in milliseconds: they were written after the previous response, which was
/// received at `received_ms`, or while the request waited for a change.
fn max_row_age_ms(fleet: &Fleet, received_ms: u64, sent_ms: u64) -> u64 {
    let waited_ms = fleet.now_ms().saturating_sub(sent_ms);
    sent_ms.saturating_sub(received_ms) + waited_ms.min(MAX_FEED_LATENCY_MS)
}

/// Passes rows of a job that this process has just stored on to the cell's owner.
pub fn announce_stored(fleet: &Fleet, transaction: &RowTransaction, version: u64) {
    if !fleet.settings.notify_owner {
        return;
    }
    for (row_key, value) in &transaction.writes {
        let Some(value) = value.clone().filter(|_| row_key.table == JOBS_TABLE) else { continue };
        let notice = Notice { key: Name::clone(&row_key.key), value, version, age_ms: 0 };
        if fleet.shared().ownership.is_some() {
            apply_notices(fleet, vec![notice]);
        } else if !fleet.submissions.push(notice) {
            tracing::debug!(name: "submissions.dropped", "too many notices wait; the owner reads the rows from the store's feed");
        }
    }
}

/// Applies rows of jobs that other processes have stored, if this process owns the cell.
pub fn apply_notices(fleet: &Fleet, notices: Vec<Notice>) {
    let (epoch, jobs_version) = {
        let shared = fleet.shared();
        let Some(board) = &shared.board else { return };
        (board.epoch, shared.jobs_version)
    };
    for notice in notices {
        let Notice { key, value, version, age_ms } = notice;
        // The job of an older row was loaded, or has ended under an earlier owner.
        if version > jobs_version {
            fleet.metrics.notices.inc();
            let row = FleetRow { part: Name::from(""), key, value: Some(value), version };
            apply_job(fleet, epoch, &row, age_ms + MAX_FEED_LATENCY_MS);
        }
    }
}

/// Applies a row that was written at most `max_age_ms` ago.
fn apply_job(fleet: &Fleet, epoch: u32, row: &FleetRow, max_age_ms: u64) {
    let Some(value) = &row.value else { return };
    let now = fleet.now();
    if let Some(id) = cancelled_job(&row.key) {
        fleet.update_board(epoch, |board| board.cancel(&id, now.steady_ms));
        return;
    }
    let id = JobId::from(&*row.key);
    match decode_job(value) {
        Ok(mut record) => {
            let oldest_wall_ms = now.wall_ms.saturating_sub(max_age_ms);
            let late_ms = oldest_wall_ms.saturating_sub(record.accepted_wall_ms);
            if late_ms >= LATE_WRITE_MS {
                tracing::info!(name: "job.stored_late", process = %fleet.incarnation, job = %id, version = row.version, late_ms, "a submission took effect long after it was sent");
            }
            // The wall clock of the process that accepted the job may have jumped.
            record.accepted_wall_ms = record.accepted_wall_ms.max(oldest_wall_ms);
            fleet.update_board(epoch, |board| board.accept(&id, record, now));
        }
        Err(error) => tracing::warn!(name: "job.unreadable", %id, %error, "ignoring job row"),
    }
}

/// Follows the workers while this process owns the cell in this epoch.
pub async fn workers(fleet: Arc<Fleet>, epoch: u32) {
    let mut feed = Feed::new(&fleet, "workers");
    while fleet.is_owner(epoch) {
        let mut after = match (fleet.platform.worker_list)(()).await {
            Ok((updates, version)) => {
                feed.record_response(&fleet);
                apply_worker_list(&fleet, epoch, updates);
                version
            }
            Err(error) => {
                feed.back_off(&fleet, &error).await;
                continue;
            }
        };
        while fleet.is_owner(epoch) {
            let wait_ms = feed.wait_ms(FEED_WAIT_MS);
            let follow = FollowRequest { table: "", after, wait_ms };
            match (fleet.platform.worker_follow)(follow).await {
                Ok(FollowOutcome::Changes(updates, version)) => {
                    feed.record_response(&fleet);
                    after = after.max(version);
                    for update in updates {
                        apply_worker(&fleet, epoch, update);
                    }
                    sleep(Duration::from_millis(WORKER_FEED_PAUSE_MS)).await;
                }
                Ok(FollowOutcome::HistoryGone) => break,
                Err(error) => feed.back_off(&fleet, &error).await,
            }
        }
    }
}

fn apply_worker_list(fleet: &Arc<Fleet>, epoch: u32, updates: Vec<WorkerUpdate>) {
    let missing = fleet.update_board(epoch, |board| {
        let listed = |id: &WorkerId| {
            updates
                .iter()
                .any(|update| matches!(update, WorkerUpdate::Listed(facts) if facts.id == *id))
        };
        board.listed_workers().filter(|id| !listed(id)).cloned().collect::<Vec<WorkerId>>()
    });
    for id in missing.unwrap_or_default() {
        apply_worker(fleet, epoch, WorkerUpdate::Unlisted(id));
    }
    for update in updates {
        apply_worker(fleet, epoch, update);
    }
}

fn apply_worker(fleet: &Arc<Fleet>, epoch: u32, update: WorkerUpdate) {
    match update {
        WorkerUpdate::Listed(facts) => {
            let id = facts.id.clone();
            let is_new = fleet.update_board(epoch, |board| {
                let is_new = !board.workers.contains_key(&id);
                board.list_worker(facts);
                is_new
            });
            if is_new == Some(true) {
                let polling = dispatch::poll_worker(Arc::clone(fleet), epoch, id);
                leadership::supervise(fleet, epoch, "poll", polling);
            }
        }
        WorkerUpdate::Unlisted(id) => {
            tracing::info!(name: "worker.unlisted", worker = %id, "worker no longer listed; gets no new work");
            fleet.update_board(epoch, |board| board.unlist_worker(&id));
        }
        WorkerUpdate::Unreadable(id, reason) => {
            tracing::debug!(name: "worker.unreadable", worker = %id, reason, "cannot use a worker's entry; treating the worker as unlisted");
            fleet.update_board(epoch, |board| board.unlist_worker(&id));
        }
    }
}
