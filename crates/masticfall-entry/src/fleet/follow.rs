//! Following of the platform's feeds: operators, ownership, jobs and workers.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::fleet::config::FleetConfig;
use masticfall_core::fleet::spec::JobRecord;
use masticfall_core::id::{JobId, WorkerId};
use masticfall_platform::fleet::{
    FleetRow, FollowOutcome, FollowRequest, OperatorUpdate, WorkerUpdate, read_all,
};
use masticfall_platform::{PlatformError, Result};
use tokio::time::sleep;

use super::context::{Fleet, FleetPhase};
use super::rows::{BEAT_KEY, BeatRow, CELL, JOB_PARTS, JOBS, cancelled_job, read};
use super::{dispatch, leadership};

/// Longest wait for a change, in milliseconds; the store allows 30 s. Shorter
/// waits find a connection that has gone silent sooner.
const FEED_WAIT_MS: u64 = 4_000;

/// The same for the operators' rows, which decide whose keys are in force.
pub const OPERATORS_WAIT_MS: u64 = 1_500;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 150;

/// Pause between two readings of a busy feed, in milliseconds: what comes
/// meanwhile is read in one call.
const BATCH_MS: u64 = 8;

/// Pause between two readings of the workers' feed, in milliseconds: each worker
/// writes every second or two, and a new one is waited for.
const WORKER_BATCH_MS: u64 = 60;

/// Follows the operators' announcements for as long as the process runs.
pub async fn operators(fleet: Arc<Fleet>) {
    loop {
        let listed = (fleet.platform.operator_list)(()).await;
        fleet.note_store(&listed);
        let mut after = match listed {
            Ok((news, version)) => {
                for news in news {
                    apply_operator(&fleet, news);
                }
                version
            }
            Err(error) => {
                wait_after(&fleet, "operators", &error).await;
                continue;
            }
        };
        loop {
            let follow = FollowRequest { table: "", after, wait_ms: OPERATORS_WAIT_MS };
            let followed = (fleet.platform.operator_follow)(follow).await;
            fleet.note_store(&followed);
            match followed {
                Ok(FollowOutcome::Changes(news, version)) => {
                    after = after.max(version);
                    for news in news {
                        apply_operator(&fleet, news);
                    }
                }
                Ok(FollowOutcome::HistoryGone) => {
                    tracing::info!(name: "feed.history_gone", feed = "operators", after, "listing anew");
                    break;
                }
                Err(error) => wait_after(&fleet, "operators", &error).await,
            }
        }
    }
}

async fn wait_after(fleet: &Fleet, feed: &'static str, error: &PlatformError) {
    tracing::debug!(name: "feed.failed", process = %fleet.incarnation, feed, %error, "trying again");
    sleep(Duration::from_millis(RETRY_MS)).await;
}

fn apply_operator(fleet: &Fleet, news: OperatorUpdate) {
    let now_ms = fleet.now_ms();
    match news {
        OperatorUpdate::Config(config) => apply_config(fleet, config),
        OperatorUpdate::Wave(plan) => {
            let mut shared = fleet.shared();
            if !shared.waves.contains_key(&plan.wave) {
                let (wave, instances) = (&plan.wave, plan.instances.len());
                tracing::info!(name: "wave.announced", %wave, instances, "maintenance wave");
                shared.waves.insert(plan.wave.clone(), (plan, now_ms));
            }
        }
        OperatorUpdate::Unreadable(reason) => {
            tracing::warn!(name: "operators.unreadable", reason, "row is left out");
        }
    }
}

/// Puts a configuration in force unless a newer one is.
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
        "configuration in force"
    );
    if shared.phase == FleetPhase::Starting {
        shared.phase = FleetPhase::Ready;
    }
    if let Some(board) = &mut shared.board {
        board.set_config(Arc::clone(&config));
    }
    shared.config = Some(config);
    drop(shared);
    fleet.board_changed.notify_one();
    fleet.lead_changed.notify_one();
}

/// Reads all rows of one of our tables, with the version to follow from.
pub async fn read_table(fleet: &Fleet, table: &'static str) -> Result<(Vec<FleetRow>, u64)> {
    read_all(&fleet.platform.range, table, CELL).await
}

/// Reads the rows of all jobs that haven't ended, with the version to follow from.
pub async fn read_jobs(fleet: &Fleet) -> Result<(Vec<FleetRow>, u64)> {
    let parts = JOB_PARTS.iter().map(|part| read_all(&fleet.platform.range, JOBS, part));
    let mut all = Vec::new();
    let mut oldest = u64::MAX;
    for (rows, version) in futures_util::future::try_join_all(parts).await? {
        all.extend(rows);
        oldest = oldest.min(version);
    }
    Ok((all, oldest))
}

/// Follows the ownership of the cell for as long as the process runs.
pub async fn ownership(fleet: Arc<Fleet>) {
    let table = super::rows::LEAD;
    loop {
        let mut after = match read_table(&fleet, table).await {
            Ok((rows, version)) => {
                apply_lead(&fleet, &rows);
                version
            }
            Err(error) => {
                leadership::observe_loss(&fleet);
                wait_after(&fleet, table, &error).await;
                continue;
            }
        };
        // Without a wait after a failure, so that the store's return is noticed
        // though nothing has changed.
        let mut wait_ms = FEED_WAIT_MS;
        loop {
            let follow = FollowRequest { table, after, wait_ms };
            wait_ms = FEED_WAIT_MS;
            match (fleet.platform.follow)(follow).await {
                Ok(FollowOutcome::Changes(rows, version)) => {
                    fleet.store_answered();
                    after = after.max(version);
                    apply_lead(&fleet, &rows);
                }
                Ok(FollowOutcome::HistoryGone) => break,
                Err(error) => {
                    wait_ms = 0;
                    leadership::observe_loss(&fleet);
                    wait_after(&fleet, table, &error).await;
                }
            }
        }
    }
}

fn apply_lead(fleet: &Fleet, rows: &[FleetRow]) {
    for row in rows.iter().filter(|row| &*row.key == BEAT_KEY) {
        let Some(value) = &row.value else { continue };
        match read::<BeatRow>(value) {
            Ok(beat) => {
                leadership::observe_calls(fleet, &beat);
                fleet.shared().load = Some((beat, fleet.now_ms()));
            }
            Err(error) => tracing::warn!(name: "lead.unreadable", %error, "sign of life left out"),
        }
    }
    leadership::observe(fleet, rows);
}

/// Follows the accepted jobs while this process owns the cell in this epoch.
pub async fn jobs(fleet: Arc<Fleet>, epoch: u32, mut after: u64) {
    while fleet.is_owner(epoch) {
        let follow = FollowRequest { table: JOBS, after, wait_ms: FEED_WAIT_MS };
        match (fleet.platform.follow)(follow).await {
            Ok(FollowOutcome::Changes(rows, version)) => {
                after = after.max(version);
                for row in &rows {
                    apply_job(&fleet, epoch, row);
                }
                sleep(Duration::from_millis(BATCH_MS)).await;
            }
            Ok(FollowOutcome::HistoryGone) => match read_jobs(&fleet).await {
                Ok((rows, version)) => {
                    after = version;
                    for row in &rows {
                        apply_job(&fleet, epoch, row);
                    }
                }
                Err(error) => wait_after(&fleet, JOBS, &error).await,
            },
            Err(error) => wait_after(&fleet, JOBS, &error).await,
        }
    }
}

fn apply_job(fleet: &Fleet, epoch: u32, row: &FleetRow) {
    let Some(value) = &row.value else { return };
    let now = fleet.now();
    if let Some(id) = cancelled_job(&row.key) {
        fleet.with_board(epoch, |board| board.cancel(&id, now.steady_ms));
        return;
    }
    let id = JobId::from(&*row.key);
    match read::<JobRecord>(value) {
        Ok(record) => drop(fleet.with_board(epoch, |board| board.accept(&id, record, now))),
        Err(error) => tracing::warn!(name: "job.unreadable", %id, %error, "row is left out"),
    }
}

/// Follows the workers while this process owns the cell in this epoch.
pub async fn workers(fleet: Arc<Fleet>, epoch: u32) {
    while fleet.is_owner(epoch) {
        let mut after = match (fleet.platform.worker_list)(()).await {
            Ok((news, version)) => {
                relist(&fleet, epoch, news);
                version
            }
            Err(error) => {
                wait_after(&fleet, "workers", &error).await;
                continue;
            }
        };
        while fleet.is_owner(epoch) {
            let follow = FollowRequest { table: "", after, wait_ms: FEED_WAIT_MS };
            match (fleet.platform.worker_follow)(follow).await {
                Ok(FollowOutcome::Changes(news, version)) => {
                    after = after.max(version);
                    for news in news {
                        apply_worker(&fleet, epoch, news);
                    }
                    sleep(Duration::from_millis(WORKER_BATCH_MS)).await;
                }
                Ok(FollowOutcome::HistoryGone) => break,
                Err(error) => wait_after(&fleet, "workers", &error).await,
            }
        }
    }
}

fn relist(fleet: &Arc<Fleet>, epoch: u32, news: Vec<WorkerUpdate>) {
    let missing = fleet.with_board(epoch, |board| {
        let listed = |id: &WorkerId| {
            news.iter().any(|n| matches!(n, WorkerUpdate::Listed(facts) if facts.id == *id))
        };
        board.listed_workers().filter(|id| !listed(id)).cloned().collect::<Vec<WorkerId>>()
    });
    for id in missing.unwrap_or_default() {
        apply_worker(fleet, epoch, WorkerUpdate::Unlisted(id));
    }
    for news in news {
        apply_worker(fleet, epoch, news);
    }
}

fn apply_worker(fleet: &Arc<Fleet>, epoch: u32, news: WorkerUpdate) {
    match news {
        WorkerUpdate::Listed(facts) => {
            let id = facts.id.clone();
            let is_new = fleet.with_board(epoch, |board| {
                let is_new = !board.workers.contains_key(&id);
                board.list_worker(facts);
                is_new
            });
            if is_new == Some(true) {
                tokio::spawn(dispatch::look_after(Arc::clone(fleet), epoch, id));
            }
        }
        WorkerUpdate::Unlisted(id) => {
            tracing::info!(name: "worker.unlisted", worker = %id, "no new work for this worker");
            fleet.with_board(epoch, |board| board.unlist_worker(&id));
        }
        WorkerUpdate::Unreadable(id, reason) => {
            tracing::debug!(name: "worker.unreadable", worker = %id, reason, "entry is left out");
            fleet.with_board(epoch, |board| board.unlist_worker(&id));
        }
    }
}
