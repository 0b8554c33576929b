//! Log lines about changes of the owner, from which the cause of two runs of one task can be
//! told: how the previous owner left, what it announced, and what was under way when an owner
//! stepped down.

use masticfall_core::fleet::board::{Board, OpenCalls};
use strum::{Display, IntoStaticStr};

use super::{TrackedOwnership, is_previous_incarnation};
use crate::fleet::context::Fleet;
use crate::fleet::notices::{self, MAX_LISTED, list_runs, list_workers};
use crate::fleet::rows::{HeartbeatRow, OwnerRow};

/// How the previous owner had left when the cell was claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum PredecessorEnd {
    /// There was none.
    Absent,
    /// It released the cell.
    Released,
    /// It was an earlier incarnation of the process that claims the cell.
    EarlierIncarnation,
    /// It was not heard of for the failover timeout, and may still dispatch.
    TimedOut,
}

/// The previous owner, as observed before the cell is claimed: the feed may show the claim
/// before the store answers it.
#[derive(Debug)]
pub(super) struct Predecessor {
    row: Option<OwnerRow>,
    /// Time since the row was first observed, in milliseconds.
    row_age_ms: u64,
    /// Time since the row or the heartbeat last changed, in milliseconds.
    silent_ms: u64,
}

impl Predecessor {
    pub(super) fn observe(tracked: &TrackedOwnership, now_ms: u64) -> Self {
        Self {
            row: tracked.owner.as_ref().map(|(row, _)| row.clone()),
            row_age_ms: now_ms.saturating_sub(tracked.owner_since_ms),
            silent_ms: now_ms.saturating_sub(tracked.owner_active_ms),
        }
    }

    fn end(&self, fleet: &Fleet) -> PredecessorEnd {
        match &self.row {
            None => PredecessorEnd::Absent,
            Some(owner) if owner.process.is_none() => PredecessorEnd::Released,
            Some(owner) if is_previous_incarnation(fleet, owner) => {
                PredecessorEnd::EarlierIncarnation
            }
            Some(_) => PredecessorEnd::TimedOut,
        }
    }
}

/// Logs and counts a claim of the cell that the store confirmed.
pub(super) fn record_claim(fleet: &Fleet, epoch: u32, sent_ms: u64, predecessor: &Predecessor) {
    let end = predecessor.end(fleet);
    fleet.metrics.record_claim(end.into());
    let Predecessor { row, row_age_ms, silent_ms } = predecessor;
    let took_ms = fleet.now_ms().saturating_sub(sent_ms);
    let process = &fleet.incarnation;
    let previous_epoch = row.as_ref().map(|owner| owner.epoch);
    let previous = row.as_ref().and_then(|owner| owner.process.as_ref());
    let previous = previous.map(tracing::field::display);
    tracing::info!(name: "cell.claimed", %process, epoch, took_ms, predecessor_end = %end, previous_epoch, previous, row_age_ms, owner_silent_ms = silent_ms, "the store confirmed the claim of the cell");
}

/// Logs that an owner stepped down, with the calls that are under way, after the notices that
/// wait to be logged.
pub(super) fn log_step_down(
    fleet: &Fleet,
    epoch: u32,
    reason: &str,
    mut board: Option<Board>,
    confirmed_ms: u64,
) {
    let now_ms = fleet.now_ms();
    for notice in board.as_mut().map(Board::take_notices).unwrap_or_default() {
        notices::log(fleet, epoch, &notice);
    }
    let calls = board.map(|board| board.open_calls(now_ms)).unwrap_or_default();
    let OpenCalls { starts, unsent_starts, polls, oldest_poll_ms, leases_left_ms, leased_ms } =
        calls;
    let unconfirmed_ms = now_ms.saturating_sub(confirmed_ms);
    let since_lease_ms = leased_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
    let lease_unconfirmed_ms = leased_ms.map(|at_ms| at_ms.saturating_sub(confirmed_ms));
    let (open_starts, runs) = (starts.len(), list_runs(&starts));
    tracing::warn!(name: "cell.given_up", process = %fleet.incarnation, epoch, reason, unconfirmed_ms, open_starts, unsent_starts, runs, open_polls = polls, oldest_poll_ms, leases_left_ms, since_lease_ms, lease_unconfirmed_ms, "stepped down; no longer dispatching");
}

/// Logs the announcement that a new owner has found.
pub(super) fn log_found_announcement(epoch: u32, last: Option<&HeartbeatRow>, is_applied: bool) {
    for_each_part(last, |heartbeat, count, workers| {
        let HeartbeatRow { epoch: announced_epoch, number, announces_own, .. } = heartbeat;
        tracing::info!(name: "cell.announcement_found", epoch, announced_epoch, number, announces_own, is_applied, count, workers, "found an announcement of unresponsive workers");
    });
}

/// Calls `log` for parts of an announcement that are short enough for a line.
fn for_each_part(last: Option<&HeartbeatRow>, log: impl Fn(&HeartbeatRow, usize, String)) {
    let Some(heartbeat) = last else { return };
    let workers: Vec<_> = heartbeat.silent_ms.iter().collect();
    for part in workers.chunks(MAX_LISTED) {
        log(heartbeat, part.len(), list_workers(part.iter().copied()));
    }
}
