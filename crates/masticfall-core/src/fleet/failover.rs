//! When a cell's owner counts as lost.
//!
//! Answers for an owner that is cut off at a peak, when each second without placements costs
//! hundreds of jobs. Its heartbeats reach the other processes by the store's feed, which may be
//! silent for a second itself, so that they wait for longer than that. A relay has frames of the
//! owner as well: where both are missing, the owner is gone or cut off.

/// Time without a heartbeat after which a cell is taken over, in milliseconds: three missed
/// heartbeats plus the latency of a slow store.
pub const FAILOVER_TIMEOUT_MS: u64 = 1_500;

/// The same for a relay from which the owner has fallen silent, in milliseconds: two missed
/// heartbeats plus the latency of a slow store.
pub const SILENT_OWNER_TIMEOUT_MS: u64 = 1_000;

/// Time without a frame after which an owner counts as silent, in milliseconds: three of its
/// signs of life.
const FRAME_SILENCE_MS: u64 = 800;

/// Last frame that a process has received as a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerFrame {
    /// Epoch of the owner that sent it.
    pub epoch: u32,
    /// When it was received, by the local clock.
    pub received_ms: u64,
}

/// Returns the time without a heartbeat of the owner of an epoch after which the cell is taken
/// over, in milliseconds.
pub fn failover_timeout_ms(epoch: u32, frame: Option<OwnerFrame>, now_ms: u64) -> u64 {
    let is_silent =
        |frame: OwnerFrame| frame.epoch == epoch && now_ms >= frame.received_ms + FRAME_SILENCE_MS;
    if frame.is_some_and(is_silent) { SILENT_OWNER_TIMEOUT_MS } else { FAILOVER_TIMEOUT_MS }
}
