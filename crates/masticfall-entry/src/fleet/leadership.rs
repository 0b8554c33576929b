//! Ownership of the cell: one process dispatches, the others stand by.
//!
//! The owner writes a heartbeat row. A process that sees it unchanged for the
//! failover timeout takes the cell over with the next epoch. Safety does not
//! depend on that timeout: every write of an owner is conditional on the owner
//! row's version, and workers reject the fencing tokens of earlier owners. The
//! timeout only determines how long nobody dispatches after a failure.
//!
//! An owner on a slow instance hands the cell over to a fitter candidate that
//! bids for it: which process takes over after a failure is partly chance, and a
//! slow owner would serve a large cell badly for as long as it holds it.

mod bid;
mod claim;
mod evidence;
mod load;
mod open_rows;
mod writes;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::fleet::board::Board;
use masticfall_core::fleet::failover::{OwnerFrame, SILENT_OWNER_TIMEOUT_MS, failover_timeout_ms};
use masticfall_core::id::Incarnation;
use masticfall_platform::Result;
use masticfall_platform::fleet::{FleetRow, RowKey};
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::MutexGuard;
use tokio::time::sleep;

pub(super) use load::supervise;
use writes::{JointOutcome, step_down_on_conflict, write_jointly};
pub use writes::{WriteSequence, write_as_owner, write_ordered};

use super::context::{Fleet, FleetPhase, Ownership};
use super::rows::{
    BID_KEY, BidRow, HEARTBEAT_KEY, HeartbeatRow, LEAD_TABLE, OWNER_KEY, OwnerRow, cell_row_key,
    decode_row, encode_row,
};

/// Interval of the owner's heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 400;

/// Upper bound of the random delay before a takeover, in milliseconds, so that
/// processes don't all write at once.
const TAKEOVER_JITTER_MS: u64 = 300;

/// Divisor of a process's uptime that gives its delay before it claims a cell
/// that was handed over. In a rolling restart the process started last is the
/// best owner, since it will be the last to restart again.
const AGE_DELAY_DIVISOR: u64 = 80;

/// Maximum delay by uptime, in milliseconds.
const MAX_AGE_DELAY_MS: u64 = 350;

/// Takeover delay of an instance with a fitness of zero, in milliseconds, so
/// that fitter ones go first.
const MAX_FITNESS_DELAY_MS: u64 = 900;

/// Time for which an owner keeps dispatching after its last confirmed write, in
/// milliseconds. Longer than most store outages, during which nobody else can
/// take over; an owner that was replaced is fenced off by the workers.
pub const MAX_UNCONFIRMED_MS: u64 = 6_000;

/// Maximum time for which an owner that timed out may dispatch after the cell was claimed, in
/// milliseconds.
const MAX_OVERLAP_MS: u64 = MAX_UNCONFIRMED_MS - SILENT_OWNER_TIMEOUT_MS;

/// Time after a store outage before an owner can time out, in milliseconds:
/// a live owner's heartbeat is due within [`HEARTBEAT_INTERVAL_MS`].
const STORE_RECOVERY_GRACE_MS: u64 = 600;

/// Time for which other processes wait for the designated successor to claim
/// the cell, in milliseconds.
const SUCCESSOR_HEAD_START_MS: u64 = 600;

/// Completed rounds of instance calls to keep: about ten seconds' worth, longer
/// than any known lease on instances.
const MAX_TRACKED_ROUNDS: usize = 64;

/// Consecutive failed heartbeats before a warning is logged: as many as other
/// processes wait for.
const FAILURES_BEFORE_WARNING: u32 = 3;

/// Delay before a failed handover is retried, in milliseconds.
const RETRY_MS: u64 = 100;

/// Interval at which a process checks the cell's ownership, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;

/// Ownership of the cell as last observed by this process.
#[derive(Debug, Default)]
struct TrackedOwnership {
    /// Owner row and its version.
    owner: Option<(OwnerRow, u64)>,
    heartbeat_version: u64,
    /// When the owner row or the heartbeat last changed.
    owner_active_ms: u64,
    last_read_ms: u64,
    /// When the current owner row was first observed.
    owner_since_ms: u64,
    /// Last frame of an owner that this process relays for, or relayed for until it fell silent.
    frame: Option<OwnerFrame>,
    /// Whether the last read failed.
    is_store_failing: bool,
    /// When the store last recovered.
    store_recovered_ms: u64,
    /// Latest bid that was not yet examined.
    bid: Option<BidRow>,
    last_bid_ms: u64,
    /// Completed rounds of instance calls: epoch, round, and when it was observed.
    completed_rounds: VecDeque<(u32, u64, u64)>,
}

/// Ownership as observed, kept apart from the shared state since only this
/// module reads it.
#[derive(Debug, Default)]
pub struct OwnershipTracker(Mutex<TrackedOwnership>);

/// Records ownership rows as read from the store.
pub fn observe_rows(fleet: &Fleet, rows: &[FleetRow]) {
    let now_ms = fleet.now_ms();
    let mut tracked = fleet.ownership_tracker.0.lock();
    tracked.last_read_ms = now_ms;
    if std::mem::take(&mut tracked.is_store_failing) {
        tracked.store_recovered_ms = now_ms;
    }
    for row in rows {
        if &*row.key == HEARTBEAT_KEY && row.version > tracked.heartbeat_version {
            tracked.heartbeat_version = row.version;
            tracked.owner_active_ms = now_ms;
        }
        if &*row.key == BID_KEY {
            match row.value.as_deref().map(decode_row::<BidRow>) {
                Some(Ok(bid)) => {
                    tracked.bid = Some(bid);
                    fleet.ownership_changed.notify_one();
                }
                Some(Err(error)) => {
                    tracing::warn!(name: "lead.unreadable", %error, "ignoring bid row");
                }
                None => {}
            }
        }
        if &*row.key != OWNER_KEY {
            continue;
        }
        let is_newer = tracked.owner.as_ref().is_none_or(|(_, version)| *version < row.version);
        let Some(bytes) = row.value.as_ref().filter(|_| is_newer) else { continue };
        match decode_row::<OwnerRow>(bytes) {
            Ok(owner) => {
                tracked.owner_active_ms = now_ms;
                tracked.owner_since_ms = now_ms;
                tracked.owner = Some((owner, row.version));
                fleet.ownership_changed.notify_one();
            }
            Err(error) => tracing::warn!(name: "lead.unreadable", %error, "ignoring owner row"),
        }
    }
}

/// Records a frame that this process received as a relay of the owner of an epoch.
pub fn record_owner_frame(fleet: &Fleet, epoch: u32) {
    let received_ms = fleet.now_ms();
    let frame = &mut fleet.ownership_tracker.0.lock().frame;
    if frame.is_none_or(|frame| frame.epoch <= epoch) {
        *frame = Some(OwnerFrame { epoch, received_ms });
    }
}

/// Records that an owner closed its connection to this process, which says nothing about the
/// owner.
pub fn forget_owner_frame(fleet: &Fleet, epoch: u32) {
    fleet.ownership_tracker.0.lock().frame.take_if(|frame| frame.epoch == epoch);
}

/// Records which round of instance calls a heartbeat reports as completed.
pub fn record_completed_round(fleet: &Fleet, heartbeat: &HeartbeatRow) {
    let now_ms = fleet.now_ms();
    let completed = &mut fleet.ownership_tracker.0.lock().completed_rounds;
    if completed
        .back()
        .is_none_or(|(epoch, done, _)| (*epoch, *done) < (heartbeat.epoch, heartbeat.calls_done))
    {
        completed.push_back((heartbeat.epoch, heartbeat.calls_done, now_ms));
    }
    while completed.len() > MAX_TRACKED_ROUNDS {
        completed.pop_front();
    }
}

/// Returns when this process first observed that a round of instance calls was
/// completed.
pub fn round_completed_ms(fleet: &Fleet, epoch: u32, round: u64) -> Option<u64> {
    let tracked = fleet.ownership_tracker.0.lock();
    let completed =
        tracked.completed_rounds.iter().find(|(at, done, _)| (*at, *done) >= (epoch, round));
    completed.map(|(.., observed_ms)| *observed_ms)
}

/// Returns the owner of the cell as last observed, unless the cell was handed over.
pub fn current_owner(fleet: &Fleet) -> Option<Incarnation> {
    let tracked = fleet.ownership_tracker.0.lock();
    tracked.owner.as_ref().and_then(|(owner, _)| owner.process.clone())
}

/// Records that the ownership could not be read.
pub fn record_read_failure(fleet: &Fleet) {
    fleet.ownership_tracker.0.lock().is_store_failing = true;
}

/// Takes the cell over when it has no live owner, bids for it, hands it over and
/// steps down, for as long as the process runs.
pub async fn run(fleet: Arc<Fleet>) {
    let unfitness = 1.0 - fleet.settings.fitness();
    let fitness_delay_ms = (unfitness * MAX_FITNESS_DELAY_MS as f64) as u64;
    let delay_ms = rand::rng().random_range(0..TAKEOVER_JITTER_MS) + fitness_delay_ms;
    loop {
        let wait = sleep(Duration::from_millis(CHECK_INTERVAL_MS));
        tokio::select! {
            () = wait => {}
            () = fleet.ownership_changed.notified() => {}
        }
        check_ownership(&fleet);
        if let Some(successor) = bid::take_valid_bid(&fleet) {
            hand_over(&fleet, Some(successor)).await;
        }
        if bid::should_bid(&fleet)
            && let Err(error) = bid::submit_bid(&fleet).await
        {
            tracing::debug!(name: "cell.not_asked_for", %error, "failed to bid for the cell; retrying");
        }
        if should_take_over(&fleet, delay_ms)
            && let Err(error) = claim::take_over(&fleet).await
        {
            tracing::info!(name: "cell.not_taken", process = %fleet.incarnation, %error, "failed to take over the cell; retrying");
        }
    }
}

/// Steps down when another process owns the cell, or when the store has not
/// confirmed the ownership for [`MAX_UNCONFIRMED_MS`].
fn check_ownership(fleet: &Fleet) {
    let Some(ownership) = fleet.shared().ownership else { return };
    let epoch = ownership.epoch;
    let tracked_epoch =
        fleet.ownership_tracker.0.lock().owner.as_ref().map(|(owner, _)| owner.epoch);
    if tracked_epoch > Some(epoch) {
        step_down(fleet, epoch, "another process owns the cell");
    } else {
        step_down_if_unconfirmed(fleet, epoch);
    }
}

/// Steps down when the store has not confirmed the ownership for [`MAX_UNCONFIRMED_MS`];
/// returns whether it hasn't.
pub fn step_down_if_unconfirmed(fleet: &Fleet, epoch: u32) -> bool {
    let is_unconfirmed = fleet.now_ms() > fleet.shared().confirmed_ms + MAX_UNCONFIRMED_MS;
    if is_unconfirmed {
        step_down(fleet, epoch, "the store has not confirmed the ownership");
    }
    is_unconfirmed
}

/// Stops dispatching in an epoch. Writes nothing: the next owner loads all state from the
/// store. A call of an earlier ownership may end during a later one, which goes on.
pub fn step_down(fleet: &Fleet, epoch: u32, reason: &str) {
    let mut shared = fleet.shared();
    if shared.ownership.take_if(|ownership| ownership.epoch == epoch).is_none() {
        return;
    }
    let (board, confirmed_ms) = (shared.board.take(), shared.confirmed_ms);
    drop(shared);
    evidence::log_step_down(fleet, epoch, reason, board, confirmed_ms);
}

fn should_take_over(fleet: &Fleet, delay_ms: u64) -> bool {
    {
        let shared = fleet.shared();
        if shared.ownership.is_some() || shared.phase != FleetPhase::Ready {
            return false;
        }
    }
    let now_ms = fleet.now_ms();
    let tracked = fleet.ownership_tracker.0.lock();
    match &tracked.owner {
        None => tracked.last_read_ms > 0 && now_ms > tracked.owner_active_ms + delay_ms,
        Some((owner, _)) if owner.heir.as_ref() == Some(&fleet.incarnation) => true,
        Some((owner, _)) if owner.process.is_none() => {
            let age_ms = now_ms.saturating_sub(fleet.started_ms);
            let age_delay_ms = (age_ms / AGE_DELAY_DIVISOR).min(MAX_AGE_DELAY_MS);
            let head_start_ms = if owner.heir.is_some() { SUCCESSOR_HEAD_START_MS } else { 0 };
            // Nobody can claim during a store outage, so delays count from the
            // recovery; otherwise they would all have elapsed by then.
            let since_ms = tracked.owner_active_ms.max(tracked.store_recovered_ms);
            let fitness_delay_ms = delay_ms.saturating_sub(TAKEOVER_JITTER_MS);
            !tracked.is_store_failing
                && now_ms >= since_ms + age_delay_ms + head_start_ms + fitness_delay_ms
        }
        // The owner was a previous incarnation of this process, which has ended.
        Some((owner, _)) if is_previous_incarnation(fleet, owner) => true,
        Some((owner, _)) => {
            let silence_ms = failover_timeout_ms(owner.epoch, tracked.frame, now_ms);
            let timeout_ms = (tracked.owner_active_ms + silence_ms)
                .max(tracked.store_recovered_ms + STORE_RECOVERY_GRACE_MS);
            !tracked.is_store_failing && now_ms > timeout_ms + delay_ms
        }
    }
}

/// Returns whether the owner is a previous incarnation of this process.
fn is_previous_incarnation(fleet: &Fleet, owner: &OwnerRow) -> bool {
    let Some(process) = owner.process.as_ref().filter(|process| **process != fleet.incarnation)
    else {
        return false;
    };
    process_name(process) == Some(&*fleet.settings.name)
}

/// Returns the name of the process that an incarnation is a run of.
pub fn process_name(incarnation: &Incarnation) -> Option<&str> {
    incarnation.as_str().rsplit_once('.').map(|(name, _)| name)
}

/// Writes heartbeats until the ownership is lost. Until the cell is loaded, they
/// repeat the load that the previous owner last reported. They announce no workers:
/// an announcement holds only for the owner that gives these workers no leases.
async fn send_heartbeats(fleet: Arc<Fleet>, ownership: Ownership, last: Option<HeartbeatRow>) {
    let HeartbeatRow { waiting, loads, workers, .. } = last.unwrap_or_default();
    let initial = (waiting, loads, IndexMap::new(), workers);
    let mut sequence = WriteSequence::new(cell_row_key(LEAD_TABLE, HEARTBEAT_KEY));
    let mut number = 0;
    let mut failures = 0;
    while fleet.is_owner(ownership.epoch) {
        let epoch = ownership.epoch;
        let sent_ms = fleet.now_ms();
        let report = fleet.update_board(epoch, |board| {
            let loads = board.load_by_pool(sent_ms);
            let workers = board.listed_workers().count() as u32;
            (board.waiting_by_queue(), loads, board.announce_unresponsive(sent_ms), workers)
        });
        if report.is_none() && !fleet.is_owner(epoch) {
            return;
        }
        let (waiting, loads, silent_ms, workers) = report.unwrap_or_else(|| initial.clone());
        number += 1;
        let calls_done = fleet.completed_calls(epoch);
        let row = HeartbeatRow {
            epoch,
            number,
            waiting,
            loads,
            silent_ms,
            announces_own: true,
            calls_done,
            workers,
        };
        let bytes = encode_row(&row);
        let row_bytes = bytes.as_ref().map_or(0, Vec::len);
        let written = match bytes {
            Ok(bytes) => {
                let open = fleet.open_sequence.try_lock().ok();
                write_with_open_set(&fleet, ownership, &mut sequence, bytes, Vec::new(), open).await
            }
            Err(error) => Err(error),
        };
        match written {
            Ok(true) => {
                failures = 0;
                confirm_ownership(&fleet, epoch, sent_ms);
                fleet.update_board(epoch, |board| board.announcement_stored(&row.silent_ms));
            }
            Ok(false) => return,
            Err(error) => {
                failures += 1;
                if failures == FAILURES_BEFORE_WARNING {
                    tracing::warn!(name: "cell.not_renewed", epoch, failures, bytes = row_bytes, %error, "heartbeats failed; other processes will take over the cell");
                }
            }
        }
        sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
    }
}

/// Writes rows as [`write_ordered`] does, together with the open set if that has changed.
/// `open_sequence` is the lock on the set, without which it is left to the next heartbeat.
pub async fn write_with_open_set(
    fleet: &Fleet,
    ownership: Ownership,
    sequence: &mut WriteSequence,
    row: Vec<u8>,
    mut writes: Vec<(RowKey, Option<Vec<u8>>)>,
    open_sequence: Option<MutexGuard<'_, WriteSequence>>,
) -> Result<bool> {
    let epoch = ownership.epoch;
    // Decided under the lock, so that the sets are written in the order of the decisions.
    let plan = |_: &MutexGuard<'_, _>| fleet.with_board(epoch, Board::plan_open_set).flatten();
    let planned = open_sequence.as_ref().and_then(plan);
    let (Some(content), Some(mut open_sequence)) = (planned, open_sequence) else {
        return write_ordered(fleet, ownership, sequence, row, writes).await;
    };
    let (first, others) = open_rows::encode(epoch, &content)?;
    writes.extend(others);
    let sequences = vec![(sequence, row), (&mut *open_sequence, first)];
    match write_jointly(&fleet.platform, ownership.version, sequences, writes).await? {
        JointOutcome::Stored => {
            fleet.with_board(epoch, |board| board.open_set_stored(content));
            Ok(true)
        }
        JointOutcome::OwnershipLost(rows) => {
            step_down_on_conflict(fleet, &ownership.into(), &rows);
            Ok(false)
        }
    }
}

/// Records that the store confirmed the ownership with a call sent at `sent_ms`.
pub fn confirm_ownership(fleet: &Fleet, epoch: u32, sent_ms: u64) {
    let mut shared = fleet.shared();
    if shared.ownership.is_some_and(|ownership| ownership.epoch == epoch) {
        shared.confirmed_ms = shared.confirmed_ms.max(sent_ms);
    }
}

/// Steps down and releases the cell, to `successor` if given, else to the first
/// process that claims it. Retries while the store is unavailable.
pub async fn hand_over(fleet: &Fleet, successor: Option<Incarnation>) {
    let Some(ownership) = fleet.shared().ownership else { return };
    let reason = if successor.is_some() {
        "a fitter process bids for the cell"
    } else {
        "the process is shutting down"
    };
    let epoch = ownership.epoch;
    step_down(fleet, epoch, reason);
    let overlap_ms = Some(ownership.overlap_until_ms.saturating_sub(fleet.now_ms()));
    let row = OwnerRow { process: None, epoch, fitness_percent: 0, heir: successor, overlap_ms };
    let bytes = match encode_row(&row) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(name: "cell.not_handed_over", epoch, %error, "cannot encode the owner row; others take over after the failover timeout");
            return;
        }
    };
    loop {
        let writes = vec![(cell_row_key(LEAD_TABLE, OWNER_KEY), Some(bytes.clone()))];
        match write_as_owner(fleet, ownership, writes).await {
            Ok(is_done) => {
                tracing::info!(name: "cell.handed_over", process = %fleet.incarnation, epoch, is_done, "released the cell");
                return;
            }
            Err(error) => {
                tracing::info!(name: "cell.not_handed_over", epoch, %error, "failed to release the cell; retrying");
            }
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}
