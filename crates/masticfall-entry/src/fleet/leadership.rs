//! Ownership of the cell: one process dispatches, the others watch.
//!
//! The owner renews a row; whoever sees it unchanged for long enough takes the
//! cell over with the next epoch. Safety doesn't rest on that time: every write
//! of an owner depends on the owner row's version, and workers refuse the
//! fencing tokens of earlier owners. The time decides only how long nobody
//! dispatches after a loss.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::fleet::board::{Board, BoardBounds};
use masticfall_core::fleet::progress::{JobRow, ProgressRow};
use masticfall_core::id::{JobId, WorkerId};
use masticfall_platform::fleet::{FleetRow, RowCommit, RowTransaction};
use masticfall_platform::{PlatformError, Result};
use parking_lot::Mutex;
use rand::Rng;
use tokio::time::{Instant, sleep};

use super::context::{Fleet, FleetPhase, Ownership};
use super::rows::{
    BEAT_KEY, BeatRow, JOBS, LEAD, OWNER_KEY, OwnerRow, PROGRESS, cancelled_job, place, read, value,
};
use super::{dispatch, follow, machines};

/// Period of the owner's signs of life, in milliseconds.
const BEAT_MS: u64 = 400;

/// Silence after which a cell is taken over, in milliseconds: three signs of
/// life lost, and the time of a slow store.
const SILENCE_MS: u64 = 1_500;

/// Spread of the take-over over the processes, in milliseconds, so that they
/// don't all write at once.
const SPREAD_MS: u64 = 300;

/// Wait before a cell that was handed over is claimed, as a part of the time
/// that the process has run. Where processes are restarted one after the other,
/// the youngest is the last to be restarted again.
const AGE_PART: u64 = 80;

/// Longest such wait, in milliseconds.
const MAX_AGE_WAIT_MS: u64 = 350;

/// Longest wait of an instance that is ill fit to dispatch, in milliseconds, so
/// that a fitter one is first.
const MAX_WEAK_WAIT_MS: u64 = 900;

/// Time for which an owner goes on after its last confirmed write, in
/// milliseconds. Longer than most outages of the store, in which nobody else
/// can take the cell over; an owner that others have replaced is refused by
/// the workers meanwhile.
pub const UNCONFIRMED_MS: u64 = 6_000;

/// Period at which a process looks whether the cell has an owner, in milliseconds.
const WATCH_MS: u64 = 50;

/// What a process has seen of the ownership.
#[derive(Debug, Default)]
struct Seen {
    owner: Option<(OwnerRow, u64)>,
    beat_version: u64,
    changed_ms: u64,
    read_ms: u64,
}

/// What each process has seen, kept beside the shared tables since only this
/// module reads it.
#[derive(Debug, Default)]
pub struct Watch(Mutex<Seen>);

/// Takes in rows of the ownership as read.
pub fn observe(fleet: &Fleet, rows: &[FleetRow]) {
    let now_ms = fleet.now_ms();
    let mut seen = fleet.watch.0.lock();
    seen.read_ms = now_ms;
    for row in rows {
        if &*row.key == BEAT_KEY && row.version > seen.beat_version {
            seen.beat_version = row.version;
            seen.changed_ms = now_ms;
        }
        if &*row.key != OWNER_KEY {
            continue;
        }
        let newer = seen.owner.as_ref().is_none_or(|(_, version)| *version < row.version);
        let Some(bytes) = row.value.as_ref().filter(|_| newer) else { continue };
        match read::<OwnerRow>(bytes) {
            Ok(owner) => {
                seen.changed_ms = now_ms;
                seen.owner = Some((owner, row.version));
                fleet.lead_changed.notify_one();
            }
            Err(error) => tracing::warn!(name: "lead.unreadable", %error, "owner row left out"),
        }
    }
}

/// Takes the cell over when it has no owner, and gives it up when it is lost,
/// for as long as the process runs.
pub async fn run(fleet: Arc<Fleet>) {
    let unfitness = 1.0 - fleet.settings.fitness();
    let weak_ms = (unfitness * MAX_WEAK_WAIT_MS as f64) as u64;
    let spread_ms = rand::rng().random_range(0..SPREAD_MS) + weak_ms;
    loop {
        let wait = sleep(Duration::from_millis(WATCH_MS));
        tokio::select! {
            () = wait => {}
            () = fleet.lead_changed.notified() => {}
        }
        check_ownership(&fleet);
        if wants_cell(&fleet, spread_ms)
            && let Err(error) = take_over(&fleet).await
        {
            tracing::info!(name: "cell.not_taken", process = %fleet.who, %error, "trying again");
        }
    }
}

/// Gives the cell up when another process owns it, or the store has not
/// confirmed the ownership for too long.
fn check_ownership(fleet: &Fleet) {
    let Some(ownership) = fleet.shared().ownership else { return };
    let now_ms = fleet.now_ms();
    let later = fleet.watch.0.lock().owner.as_ref().is_some_and(|(o, _)| o.epoch > ownership.epoch);
    if later {
        give_up(fleet, "another process owns the cell");
    } else if now_ms > fleet.shared().confirmed_ms + UNCONFIRMED_MS {
        give_up(fleet, "the store has not confirmed the ownership");
    }
}

/// Stops dispatching. Nothing is written: the next owner reads it all.
pub fn give_up(fleet: &Fleet, reason: &str) {
    let mut shared = fleet.shared();
    let Some(ownership) = shared.ownership.take() else { return };
    shared.board = None;
    tracing::warn!(name: "cell.given_up", process = %fleet.who, epoch = ownership.epoch, reason, "no longer the dispatcher");
}

fn wants_cell(fleet: &Fleet, spread_ms: u64) -> bool {
    {
        let shared = fleet.shared();
        if shared.ownership.is_some() || shared.phase != FleetPhase::Ready {
            return false;
        }
    }
    let now_ms = fleet.now_ms();
    let seen = fleet.watch.0.lock();
    match &seen.owner {
        None => seen.read_ms > 0 && now_ms > seen.changed_ms + spread_ms,
        Some((owner, _)) if owner.process.is_none() => {
            let age_ms = now_ms.saturating_sub(fleet.started_ms);
            let age_wait_ms = (age_ms / AGE_PART).min(MAX_AGE_WAIT_MS);
            now_ms >= seen.changed_ms + age_wait_ms + spread_ms.saturating_sub(SPREAD_MS)
        }
        // Our own former life has ended; nobody needs to wait for it.
        Some((owner, _)) if is_former_self(fleet, owner) => true,
        Some(_) => now_ms > seen.changed_ms + SILENCE_MS + spread_ms,
    }
}

/// Tells whether an owner is an earlier life of this process.
fn is_former_self(fleet: &Fleet, owner: &OwnerRow) -> bool {
    let Some(process) = owner.process.as_ref().filter(|process| **process != fleet.who) else {
        return false;
    };
    let name = process.as_str().rsplit_once('.').map(|(name, _)| name);
    name == Some(&*fleet.settings.name)
}

async fn take_over(fleet: &Arc<Fleet>) -> Result<()> {
    // The feed may lag: what it hasn't shown may be a sign of life.
    let (rows, _) = follow::read_table(fleet, LEAD).await?;
    observe(fleet, &rows);
    if !wants_cell(fleet, 0) {
        return Ok(());
    }
    let (epoch, version) = match &fleet.watch.0.lock().owner {
        None => (1, 0),
        Some((owner, version)) => (owner.epoch + 1, *version),
    };
    let owner = OwnerRow { process: Some(fleet.who.clone()), epoch };
    let claim = RowTransaction {
        checks: vec![(place(LEAD, OWNER_KEY), version)],
        writes: vec![(place(LEAD, OWNER_KEY), Some(value(&owner)?))],
    };
    let sent_ms = fleet.now_ms();
    let version = match (fleet.platform.transact)(claim).await {
        Ok(RowCommit::Done(version)) => version,
        Ok(RowCommit::Conflict(rows)) => {
            observe(fleet, &rows);
            return Ok(());
        }
        Err(error @ PlatformError::Unknown { .. }) => match find_claim(fleet, &owner).await? {
            Some(version) => version,
            None => return Err(error),
        },
        Err(error) => return Err(error),
    };
    let former = fleet.watch.0.lock().owner.replace((owner, version));
    fleet.shared().confirmed_ms = sent_ms;
    // An owner that handed over has stopped; one that fell silent may go on.
    let fell_silent =
        former.is_some_and(|(owner, _)| owner.process.is_some() && !is_former_self(fleet, &owner));
    lead(fleet, Ownership { epoch, version }, fell_silent).await
}

/// Reads back whether a claim of unknown outcome took effect.
async fn find_claim(fleet: &Fleet, claim: &OwnerRow) -> Result<Option<u64>> {
    let (rows, _) = follow::read_table(fleet, LEAD).await?;
    let row = rows.iter().find(|row| &*row.key == OWNER_KEY);
    let Some((row, bytes)) = row.and_then(|row| Some((row, row.value.as_ref()?))) else {
        return Ok(None);
    };
    Ok((read::<OwnerRow>(bytes)? == *claim).then_some(row.version))
}

/// Loads the cell's rows and starts the systems of its owner.
async fn lead(fleet: &Arc<Fleet>, ownership: Ownership, fell_silent: bool) -> Result<()> {
    let begun = Instant::now();
    let (progress, _) = follow::read_table(fleet, PROGRESS).await?;
    // Read after the progress: a job that ends in between is then shown as ended.
    let (jobs, jobs_version) = follow::read_table(fleet, JOBS).await?;
    let epoch = ownership.epoch;
    let mut board = load_board(fleet, epoch, fell_silent, &jobs, &progress);
    let (rows, _) = follow::read_table(fleet, LEAD).await?;
    let last = rows.iter().find(|row| &*row.key == BEAT_KEY);
    if let Some(bytes) = last.and_then(|row| row.value.as_deref()) {
        let beat = read::<BeatRow>(bytes)?;
        // An owner in between may have reached the workers and said nothing.
        if beat.epoch + 1 == epoch {
            board.hear_silent(&beat.silent_ms, fleet.now_ms());
        }
    }
    let count = board.jobs.len();
    let remembered: Vec<WorkerId> = board.workers.keys().cloned().collect();
    {
        let mut shared = fleet.shared();
        shared.board = Some(board);
        shared.ownership = Some(ownership);
    }
    let took_ms = begun.elapsed().as_millis() as u64;
    tracing::info!(name: "cell.taken", process = %fleet.who, epoch, jobs = count, rows = jobs.len(), took_ms, "now the dispatcher");
    fleet.metrics.takeovers.inc();
    for worker in remembered {
        tokio::spawn(dispatch::look_after(Arc::clone(fleet), epoch, worker));
    }
    tokio::spawn(beat(Arc::clone(fleet), ownership));
    tokio::spawn(dispatch::store_progress(Arc::clone(fleet), ownership));
    tokio::spawn(dispatch::carry_out(Arc::clone(fleet), epoch));
    tokio::spawn(follow::jobs(Arc::clone(fleet), epoch, jobs_version));
    tokio::spawn(follow::workers(Arc::clone(fleet), epoch));
    tokio::spawn(machines::run(Arc::clone(fleet), ownership));
    Ok(())
}

fn load_board(
    fleet: &Fleet,
    epoch: u32,
    fell_silent: bool,
    jobs: &[FleetRow],
    progress: &[FleetRow],
) -> Board {
    let bounds = BoardBounds {
        lease_ms: fleet.settings.worker_lease_ms,
        stop_grace_ms: fleet.settings.stop_grace_ms,
        foreign_tail_ms: if fell_silent { UNCONFIRMED_MS - SILENCE_MS } else { 0 },
    };
    let now = fleet.now();
    let mut board = Board::new(epoch, bounds, now.steady_ms);
    if let Some(config) = fleet.config() {
        board.set_config(config);
    }
    let mut rows = indexmap::IndexMap::new();
    for row in progress {
        match row.value.as_deref().map(read::<ProgressRow>) {
            Some(Ok(progress)) => drop(rows.insert(JobId::from(&*row.key), progress)),
            Some(Err(error)) => {
                tracing::warn!(name: "job.unreadable", key = &*row.key, %error, "progress left out");
            }
            None => {}
        }
    }
    for row in jobs.iter().filter(|row| cancelled_job(&row.key).is_none()) {
        let id = JobId::from(&*row.key);
        match row.value.as_deref().map(read::<JobRow>) {
            Some(Ok(job)) => board.load(&id, job, rows.swap_remove(&id), now),
            Some(Err(error)) => {
                tracing::warn!(name: "job.unreadable", %id, %error, "job left out");
            }
            None => {}
        }
    }
    for id in jobs.iter().filter_map(|row| cancelled_job(&row.key)) {
        board.cancel(&id, now.steady_ms);
    }
    board
}

/// Renews the ownership until it is lost.
async fn beat(fleet: Arc<Fleet>, ownership: Ownership) {
    let mut number = 0;
    loop {
        let epoch = ownership.epoch;
        let sent_ms = fleet.now_ms();
        let counts = fleet.with_board(epoch, |board| {
            let backlog_ms = board.backlog_by_queue(sent_ms);
            (board.waiting_by_queue(), backlog_ms, board.announce_silent(sent_ms))
        });
        let Some((waiting, backlog_ms, silent_ms)) = counts else { return };
        number += 1;
        let row = BeatRow { epoch, number, waiting, backlog_ms, silent_ms };
        let written = match value(&row) {
            Ok(bytes) => write(&fleet, ownership, vec![(place(LEAD, BEAT_KEY), Some(bytes))]).await,
            Err(error) => Err(error),
        };
        match written {
            Ok(true) => {
                confirm(&fleet, epoch, sent_ms);
                fleet.with_board(epoch, |board| board.announced(&row.silent_ms));
            }
            Ok(false) => return,
            Err(error) => {
                tracing::debug!(name: "cell.not_renewed", epoch, %error, "trying again");
            }
        }
        sleep(Duration::from_millis(BEAT_MS)).await;
    }
}

/// Notes that the store confirmed the ownership with a call sent at `sent_ms`.
pub fn confirm(fleet: &Fleet, epoch: u32, sent_ms: u64) {
    let mut shared = fleet.shared();
    if shared.ownership.is_some_and(|ownership| ownership.epoch == epoch) {
        shared.confirmed_ms = shared.confirmed_ms.max(sent_ms);
    }
}

/// Writes rows on the condition that this process owns the cell; `false` when
/// it doesn't any more, in which case the cell was given up.
///
/// # Errors
/// The platform's failure.
pub async fn write(
    fleet: &Fleet,
    ownership: Ownership,
    writes: Vec<(masticfall_platform::fleet::RowPlace, Option<Vec<u8>>)>,
) -> Result<bool> {
    let checks = vec![(place(LEAD, OWNER_KEY), ownership.version)];
    match (fleet.platform.transact)(RowTransaction { checks, writes }).await? {
        RowCommit::Done(_) => Ok(true),
        RowCommit::Conflict(rows) => {
            observe(fleet, &rows);
            if fleet.shared().ownership == Some(ownership) {
                give_up(fleet, "the owner row has changed");
            }
            Ok(false)
        }
    }
}

/// Hands the cell over to whoever is first, before this process stops.
pub async fn hand_over(fleet: &Fleet) {
    let Some(ownership) = fleet.shared().ownership else { return };
    let row = OwnerRow { process: None, epoch: ownership.epoch };
    give_up(fleet, "the process stops");
    let written = match value(&row) {
        Ok(bytes) => write(fleet, ownership, vec![(place(LEAD, OWNER_KEY), Some(bytes))]).await,
        Err(error) => Err(error),
    };
    match written {
        Ok(is_done) => {
            tracing::info!(name: "cell.handed_over", epoch = ownership.epoch, is_done, "handed over");
        }
        Err(error) => {
            tracing::warn!(name: "cell.not_handed_over", epoch = ownership.epoch, %error, "others take over after a silence");
        }
    }
}
