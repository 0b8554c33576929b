//! The calls about instances that an owner makes, so that two owners don't both call one.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use masticfall_core::id::InstanceName;
use masticfall_platform::Result;
use masticfall_platform::fleet::{RowKey, SendCheck};
use tokio::time::sleep;

use super::ROUND_PAUSE_MS;
use crate::fleet::context::{Fleet, Ownership};
use crate::fleet::leadership::WriteSequence;
use crate::fleet::rows::{
    CALLS_TABLE, INSTANCE_CALLS_KEY, InstanceCallsRow, cell_row_key, decode_row, encode_row,
};
use crate::fleet::{follow, leadership};

/// Margin added to the lease on instances, in milliseconds. A new owner of the cell
/// waits this much longer before its first call about an instance that the previous
/// owner may have called, and an owner keeps its calls listed for its successor this
/// much longer.
const LEASE_MARGIN_MS: u64 = 1_500;

/// Maximum age of the proof of ownership when a call about an instance is sent, in
/// milliseconds. The next owner may have taken over right after the proof, and counts
/// the lease from then, so this and the call's way to the provider have to fit into
/// [`LEASE_MARGIN_MS`]. The write that is the proof takes 0.3 to 0.9 s in a slow store.
const MAX_PROOF_AGE_MS: u64 = 1_300;

/// Round of a call of unknown outcome, which may still take effect at any time.
const UNKNOWN_OUTCOME: u64 = u64::MAX;

/// Calls about instances, by this owner and by the previous one.
#[derive(Debug)]
pub(super) struct InstanceCalls {
    /// Instances called by the previous owner, with the time until which they must
    /// not be called.
    blocked_until_ms: IndexMap<InstanceName, u64>,
    /// Recent calls of this owner, with their times and rounds.
    recent: IndexMap<InstanceName, (u64, u64)>,
    /// Number of the current round of calls.
    round: u64,
    /// When the write that proves the ownership for this round was sent.
    proof_sent_ms: u64,
    sequence: WriteSequence,
    lease_ms: u64,
}

impl InstanceCalls {
    /// Loads the calls that the previous owner may have made; returns `None` when the
    /// cell is lost.
    pub(super) async fn load(fleet: &Fleet, ownership: Ownership) -> Option<Self> {
        let lease_ms = fleet.settings.machine_lease_ms + LEASE_MARGIN_MS;
        while fleet.is_owner(ownership.epoch) {
            match follow::read_table(fleet, CALLS_TABLE).await {
                Ok((rows, _)) => {
                    let row = rows.iter().find(|row| &*row.key == INSTANCE_CALLS_KEY);
                    let bytes = row.and_then(|row| row.value.as_deref());
                    let row = bytes.map(decode_row::<InstanceCallsRow>).transpose().unwrap_or_else(
                        |error| {
                            tracing::warn!(name: "calls.unreadable", %error, "cannot decode the previous owner's instance calls; assuming none");
                            None
                        },
                    );
                    let InstanceCallsRow { epoch, called } = row.unwrap_or_default();
                    let now_ms = fleet.now_ms();
                    let until_ms = |round| {
                        let completed_ms = leadership::round_completed_ms(fleet, epoch, round);
                        completed_ms.unwrap_or(now_ms) + lease_ms
                    };
                    let previous = called.into_iter().map(|(name, round)| (name, until_ms(round)));
                    return Some(Self {
                        blocked_until_ms: previous
                            .filter(|(_, until_ms)| *until_ms > now_ms)
                            .collect(),
                        recent: IndexMap::new(),
                        round: 0,
                        proof_sent_ms: 0,
                        sequence: WriteSequence::new(cell_row_key(CALLS_TABLE, INSTANCE_CALLS_KEY)),
                        lease_ms,
                    });
                }
                Err(error) => {
                    tracing::debug!(name: "calls.not_read", %error, "failed to read the previous owner's instance calls; retrying");
                    sleep(Duration::from_millis(ROUND_PAUSE_MS)).await;
                }
            }
        }
        None
    }

    /// Returns the instances that must not be called yet.
    pub(super) fn blocked_instances(&self, now_ms: u64) -> IndexSet<InstanceName> {
        let blocked = self.blocked_until_ms.iter().filter(|(_, until_ms)| now_ms < **until_ms);
        blocked.map(|(name, _)| name.clone()).collect()
    }

    /// Proves the ownership with a write that lists the instances about to be
    /// called; returns `false` when the cell is lost.
    pub(super) async fn record_intent(
        &mut self,
        fleet: &Fleet,
        ownership: Ownership,
        instances: impl Iterator<Item = &InstanceName>,
        writes: Vec<(RowKey, Option<Vec<u8>>)>,
    ) -> Result<bool> {
        // The workers of the instances are cordoned, so that they leave the open set with this
        // write: the next owner would wait for workers that are gone.
        let open = Some(fleet.open_sequence.lock().await);
        let now_ms = fleet.now_ms();
        let lease_ms = self.lease_ms;
        self.round += 1;
        self.proof_sent_ms = now_ms;
        let round = self.round;
        self.recent.retain(|_, (at_ms, _)| now_ms < *at_ms + lease_ms);
        self.recent.extend(instances.map(|name| (name.clone(), (now_ms, round))));
        let own = self.recent.iter().map(|(name, (_, round))| (name.clone(), *round));
        let mut called: IndexMap<InstanceName, u64> = own.collect();
        for name in self.blocked_instances(now_ms) {
            called.entry(name).or_insert(round);
        }
        let row = encode_row(&InstanceCallsRow { epoch: ownership.epoch, called })?;
        let sequence = &mut self.sequence;
        leadership::write_with_open_set(fleet, ownership, sequence, row, writes, open).await
    }

    /// Returns the check that a call of the current round may still be sent: the proof
    /// of ownership is recent, and no loss of the ownership is known.
    pub(super) fn send_check(&self, fleet: &Arc<Fleet>, ownership: Ownership) -> SendCheck {
        let (fleet, send_by_ms) = (Arc::clone(fleet), self.proof_sent_ms + MAX_PROOF_AGE_MS);
        Arc::new(move || fleet.now_ms() <= send_by_ms && fleet.is_owner(ownership.epoch))
    }

    /// Records the end of the current round, with the instances whose call has an
    /// unknown outcome. Such a call may still take effect later; the round isn't
    /// reported as completed until the row says so.
    pub(super) fn finish_round<'a>(
        &mut self,
        fleet: &Fleet,
        epoch: u32,
        unresolved: impl Iterator<Item = &'a InstanceName>,
    ) {
        let mut all_resolved = true;
        for name in unresolved {
            all_resolved = false;
            if let Some((_, round)) = self.recent.get_mut(name) {
                *round = UNKNOWN_OUTCOME;
            }
        }
        if all_resolved {
            fleet.record_completed_calls(epoch, self.round);
        }
    }
}
