//! Ownership of the cell: one process dispatches, the others watch.
//!
//! The owner renews a row; whoever sees it unchanged for long enough takes the
//! cell over with the next epoch. Safety doesn't rest on that time: every write
//! of an owner depends on the owner row's version, and workers refuse the
//! fencing tokens of earlier owners. The time decides only how long nobody
//! dispatches after a loss.
//!
//! An owner on a weak instance gives the cell to a fitter one that asks for it:
//! which of them is first after a loss is partly chance, and a weak one serves
//! a large cell badly for as long as it has it.

mod bid;
mod load;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticfall_core::id::Incarnation;
use masticfall_platform::fleet::{FleetRow, RowCommit, RowKey, RowTransaction};
use masticfall_platform::{PlatformError, Result};
use parking_lot::Mutex;
use rand::Rng;
use tokio::time::sleep;

use super::context::{Fleet, FleetPhase, Ownership};
use super::follow;
use super::rows::{
    BEAT_KEY, BID_KEY, BeatRow, BidRow, LEAD, OWNER_KEY, OwnerRow, place, read, value,
};

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

/// Wait after the store is back before an owner counts as silent, in
/// milliseconds: the owner's own sign of life is due within [`BEAT_MS`].
const REBEAT_MS: u64 = 600;

/// Wait of others while the process that the cell was given up for claims it,
/// in milliseconds.
const HEIR_WAIT_MS: u64 = 600;

/// Rounds of calls about instances whose end is remembered: those of some ten
/// seconds, longer than any lease on instances that we know.
const REMEMBERED_ROUNDS: usize = 64;

/// Signs of life that fail in a row before a line tells so: as many as others
/// wait for.
const FAILURES_TOLD: u32 = 3;

/// Pause before a failed hand-over is tried again, in milliseconds.
const AGAIN_MS: u64 = 100;

/// Period at which a process looks whether the cell has an owner, in milliseconds.
const WATCH_MS: u64 = 50;

/// What a process has seen of the ownership.
#[derive(Debug, Default)]
struct Seen {
    owner: Option<(OwnerRow, u64)>,
    beat_version: u64,
    changed_ms: u64,
    read_ms: u64,
    /// Since when the present owner is known.
    owner_since_ms: u64,
    /// Whether the last reading failed.
    is_store_lost: bool,
    /// When the store was back last.
    store_back_ms: u64,
    /// A request for the cell.
    bid: Option<BidRow>,
    bid_ms: u64,
    /// Ownerships and their rounds of calls that were over, with the time at
    /// which that was seen.
    calls_done: VecDeque<(u32, u64, u64)>,
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
    if std::mem::take(&mut seen.is_store_lost) {
        seen.store_back_ms = now_ms;
    }
    for row in rows {
        if &*row.key == BEAT_KEY && row.version > seen.beat_version {
            seen.beat_version = row.version;
            seen.changed_ms = now_ms;
        }
        if &*row.key == BID_KEY {
            match row.value.as_deref().map(read::<BidRow>) {
                Some(Ok(bid)) => {
                    seen.bid = Some(bid);
                    fleet.lead_changed.notify_one();
                }
                Some(Err(error)) => {
                    tracing::warn!(name: "lead.unreadable", %error, "request for the cell left out");
                }
                None => {}
            }
        }
        if &*row.key != OWNER_KEY {
            continue;
        }
        let newer = seen.owner.as_ref().is_none_or(|(_, version)| *version < row.version);
        let Some(bytes) = row.value.as_ref().filter(|_| newer) else { continue };
        match read::<OwnerRow>(bytes) {
            Ok(owner) => {
                seen.changed_ms = now_ms;
                seen.owner_since_ms = now_ms;
                seen.owner = Some((owner, row.version));
                fleet.lead_changed.notify_one();
            }
            Err(error) => tracing::warn!(name: "lead.unreadable", %error, "owner row left out"),
        }
    }
}

/// Notes what a sign of life says of the owner's calls about instances.
pub fn observe_calls(fleet: &Fleet, beat: &BeatRow) {
    let now_ms = fleet.now_ms();
    let calls_done = &mut fleet.watch.0.lock().calls_done;
    if calls_done
        .back()
        .is_none_or(|(epoch, done, _)| (*epoch, *done) < (beat.epoch, beat.calls_done))
    {
        calls_done.push_back((beat.epoch, beat.calls_done, now_ms));
    }
    while calls_done.len() > REMEMBERED_ROUNDS {
        calls_done.pop_front();
    }
}

/// Returns the time by which a round of calls of an ownership was over, as far
/// as this process has seen.
pub fn calls_over_ms(fleet: &Fleet, epoch: u32, round: u64) -> Option<u64> {
    let seen = fleet.watch.0.lock();
    let over = seen.calls_done.iter().find(|(at, done, _)| (*at, *done) >= (epoch, round));
    over.map(|(.., seen_ms)| *seen_ms)
}

/// Notes that the ownership could not be read.
pub fn observe_loss(fleet: &Fleet) {
    fleet.watch.0.lock().is_store_lost = true;
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
        if let Some(heir) = bid::heir_asking(&fleet) {
            hand_over(&fleet, Some(heir)).await;
        }
        if bid::wants_to_ask(&fleet)
            && let Err(error) = bid::ask_for_cell(&fleet).await
        {
            tracing::debug!(name: "cell.not_asked_for", %error, "asking again later");
        }
        if wants_cell(&fleet, spread_ms)
            && let Err(error) = take_over(&fleet).await
        {
            tracing::info!(name: "cell.not_taken", process = %fleet.incarnation, %error, "trying again");
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
    tracing::warn!(name: "cell.given_up", process = %fleet.incarnation, epoch = ownership.epoch, reason, "no longer the dispatcher");
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
        Some((owner, _)) if owner.heir.as_ref() == Some(&fleet.incarnation) => true,
        Some((owner, _)) if owner.process.is_none() => {
            let age_ms = now_ms.saturating_sub(fleet.started_ms);
            let age_wait_ms = (age_ms / AGE_PART).min(MAX_AGE_WAIT_MS);
            let heir_wait_ms = if owner.heir.is_some() { HEIR_WAIT_MS } else { 0 };
            // While the store is away nobody can claim, so the order of the
            // claims counts from its return.
            let since_ms = seen.changed_ms.max(seen.store_back_ms);
            let spread_ms = spread_ms.saturating_sub(SPREAD_MS);
            !seen.is_store_lost && now_ms >= since_ms + age_wait_ms + heir_wait_ms + spread_ms
        }
        // Our own former life has ended; nobody needs to wait for it.
        Some((owner, _)) if is_former_self(fleet, owner) => true,
        Some(_) => {
            let silent_ms = (seen.changed_ms + SILENCE_MS).max(seen.store_back_ms + REBEAT_MS);
            !seen.is_store_lost && now_ms > silent_ms + spread_ms
        }
    }
}

/// Tells whether an owner is an earlier life of this process.
fn is_former_self(fleet: &Fleet, owner: &OwnerRow) -> bool {
    let Some(process) = owner.process.as_ref().filter(|process| **process != fleet.incarnation)
    else {
        return false;
    };
    let name = process.as_str().rsplit_once('.').map(|(name, _)| name);
    name == Some(&*fleet.settings.name)
}

async fn take_over(fleet: &Arc<Fleet>) -> Result<()> {
    // The feed may lag: what it hasn't shown may be a sign of life.
    let (rows, _) = follow::read_table(fleet, LEAD).await.inspect_err(|_| observe_loss(fleet))?;
    observe(fleet, &rows);
    if !wants_cell(fleet, 0) {
        return Ok(());
    }
    let (epoch, version) = match &fleet.watch.0.lock().owner {
        None => (1, 0),
        Some((owner, version)) => (owner.epoch + 1, *version),
    };
    let process = Some(fleet.incarnation.clone());
    let owner =
        OwnerRow { process, epoch, fitness_percent: bid::fitness_percent(fleet), heir: None };
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
    load::lead(fleet, Ownership { epoch, version }, fell_silent).await;
    Ok(())
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

/// Renews the ownership until it is lost. Until the cell is loaded, what the
/// last owner said is repeated.
async fn beat(fleet: Arc<Fleet>, ownership: Ownership, last: Option<BeatRow>) {
    let BeatRow { waiting, loads, silent_ms, .. } = last.unwrap_or_default();
    let known = (waiting, loads, silent_ms);
    let mut sequence = Sequence::new(place(LEAD, BEAT_KEY));
    let mut number = 0;
    let mut failures = 0;
    while fleet.is_owner(ownership.epoch) {
        let epoch = ownership.epoch;
        let sent_ms = fleet.now_ms();
        let counts = fleet.with_board(epoch, |board| {
            let loads = board.load_by_pool(sent_ms);
            (board.waiting_by_queue(), loads, board.announce_silent(sent_ms))
        });
        let (waiting, loads, silent_ms) = counts.unwrap_or_else(|| known.clone());
        number += 1;
        let calls_done = fleet.calls_done.load(Ordering::Acquire);
        let row = BeatRow { epoch, number, waiting, loads, silent_ms, calls_done };
        let bytes = value(&row);
        let row_bytes = bytes.as_ref().map_or(0, Vec::len);
        let written = match bytes {
            Ok(bytes) => write_next(&fleet, ownership, &mut sequence, bytes, Vec::new()).await,
            Err(error) => Err(error),
        };
        match written {
            Ok(true) => {
                failures = 0;
                confirm(&fleet, epoch, sent_ms);
                fleet.with_board(epoch, |board| board.announcement_stored(&row.silent_ms));
            }
            Ok(false) => return,
            Err(error) => {
                failures += 1;
                if failures == FAILURES_TOLD {
                    tracing::warn!(name: "cell.not_renewed", epoch, failures, bytes = row_bytes, %error, "others will take the cell over");
                }
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

/// A row by which the writes of one kind follow each other. A write without an
/// answer may still be carried out seconds later, and must not undo a newer one.
#[derive(Debug, Clone)]
pub struct Sequence {
    place: RowKey,
    version: u64,
}

impl Sequence {
    /// Starts a sequence whose row may exist already.
    pub fn new(place: RowKey) -> Self {
        Self { place, version: 0 }
    }
}

/// Writes rows as [`write`] does, after all earlier writes of the sequence or not
/// at all; `row` is the new value of the sequence's own row.
///
/// # Errors
/// The platform's failure.
pub async fn write_next(
    fleet: &Fleet,
    ownership: Ownership,
    sequence: &mut Sequence,
    row: Vec<u8>,
    mut writes: Vec<(RowKey, Option<Vec<u8>>)>,
) -> Result<bool> {
    writes.push((sequence.place.clone(), Some(row)));
    loop {
        let checks = vec![
            (place(LEAD, OWNER_KEY), ownership.version),
            (sequence.place.clone(), sequence.version),
        ];
        let transaction = RowTransaction { checks, writes: writes.clone() };
        let rows = match (fleet.platform.transact)(transaction).await? {
            RowCommit::Done(version) => {
                sequence.version = version;
                return Ok(true);
            }
            RowCommit::Conflict(rows) => rows,
        };
        let version_of =
            |key: &str| rows.iter().find(|row| &*row.key == key).map_or(0, |row| row.version);
        if version_of(OWNER_KEY) != ownership.version {
            lose(fleet, ownership, &rows);
            return Ok(false);
        }
        let version = version_of(&sequence.place.key);
        tracing::debug!(name: "row.behind", row = %sequence.place.key, known = sequence.version, version, "an earlier write took effect late");
        sequence.version = version;
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
    writes: Vec<(RowKey, Option<Vec<u8>>)>,
) -> Result<bool> {
    let checks = vec![(place(LEAD, OWNER_KEY), ownership.version)];
    match (fleet.platform.transact)(RowTransaction { checks, writes }).await? {
        RowCommit::Done(_) => Ok(true),
        RowCommit::Conflict(rows) => {
            lose(fleet, ownership, &rows);
            Ok(false)
        }
    }
}

fn lose(fleet: &Fleet, ownership: Ownership, rows: &[FleetRow]) {
    observe(fleet, rows);
    if fleet.is_owner(ownership.epoch) {
        give_up(fleet, "the owner row has changed");
    }
}

/// Hands the cell over, to a fitter process or to whoever is first; tries again
/// while the store is away.
pub async fn hand_over(fleet: &Fleet, heir: Option<Incarnation>) {
    let Some(ownership) = fleet.shared().ownership else { return };
    let reason = if heir.is_some() { "a fitter process asks for it" } else { "the process stops" };
    let epoch = ownership.epoch;
    let row = OwnerRow { process: None, epoch, fitness_percent: 0, heir };
    give_up(fleet, reason);
    let bytes = match value(&row) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(name: "cell.not_handed_over", epoch, %error, "others take over after a silence");
            return;
        }
    };
    loop {
        let writes = vec![(place(LEAD, OWNER_KEY), Some(bytes.clone()))];
        match write(fleet, ownership, writes).await {
            Ok(is_done) => {
                tracing::info!(name: "cell.handed_over", epoch, is_done, "handed over");
                return;
            }
            Err(error) => {
                tracing::info!(name: "cell.not_handed_over", epoch, %error, "trying again");
            }
        }
        sleep(Duration::from_millis(AGAIN_MS)).await;
    }
}
