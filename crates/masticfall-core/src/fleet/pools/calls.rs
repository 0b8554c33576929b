//! Calls that move instances, and the moves that they begin.

use crate::fleet::machines::MachineView;
use crate::id::{InstanceName, PoolName, WorkerId};

/// Time after which a call without an answer is repeated, in milliseconds.
const MOVE_RETRY_MS: u64 = 600;

/// Reason why an instance can't be moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveBlocker {
    /// Being drained or down; doesn't count as capacity of its pool.
    Draining,
    /// Must not be called yet, since the previous owner may have called it; still
    /// counts as capacity of its pool.
    PreviousOwnerCall,
}

/// A call to move an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveCall {
    /// Instance to move.
    pub instance: InstanceName,
    /// Worker that runs on it, if any.
    pub worker: Option<WorkerId>,
    /// Source pool.
    pub from: PoolName,
    /// Destination pool.
    pub to: PoolName,
}

/// Outcome of a call to move an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveOutcome {
    /// The move has begun.
    Begun,
    /// The call had no effect.
    Refused,
    /// The instance can't join that pool.
    NotAllowed,
    /// The move may or may not have begun.
    Unknown,
}

/// A move that was called and isn't seen to have ended.
#[derive(Debug, Clone)]
pub(super) struct PendingMove {
    pub(super) to: PoolName,
    /// When it was last called.
    pub(super) since_ms: u64,
    pub(super) worker: Option<WorkerId>,
    /// Whether a call had no answer, and none since has told whether the move has begun.
    pub(super) is_unanswered: bool,
}

impl PendingMove {
    /// Returns whether the call is to be repeated: there is no sign that the move has begun, and
    /// only the worker that was cordoned for it would be ended.
    pub(super) fn is_repeatable(&self, machine: &MachineView, now_ms: u64) -> bool {
        self.is_unanswered
            && now_ms >= self.since_ms + MOVE_RETRY_MS
            && machine.is_up()
            && machine.worker == self.worker
    }
}
