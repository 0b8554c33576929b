//! Graceful shutdown: requests in flight are finished first.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::timeline::EventKind;
use masticfall_platform::serve::ServePhase;
use tokio::sync::watch;

use crate::context::Node;
use crate::state::Phase;
use crate::{grants, membership};

/// Interval at which the number of requests in flight is checked, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;

/// Time limit for releasing units, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 5_000;

/// Leaves the fleet: turns unready, closes the listener, drains, then releases all units.
pub async fn drain(node: &Arc<Node>, serve_phase: &watch::Sender<ServePhase>) {
    {
        let mut state = node.state();
        if state.phase < Phase::Leaving {
            state.phase = Phase::Leaving;
        }
    }
    node.record(EventKind::Leaving, &[]);
    tracing::info!(name: "shutdown.started", process = %node.incarnation, "leaving");
    tokio::time::sleep(Duration::from_millis(node.settings.leave_delay_ms)).await;
    node.state().phase = Phase::Draining;
    serve_phase.send_replace(ServePhase::Closed);
    while node.state().in_flight > 0 {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
    // The lease may end only now, because requests in flight depended on it.
    node.state().phase = Phase::Left;
    let released =
        tokio::time::timeout(Duration::from_millis(RELEASE_TIMEOUT_MS), release_and_leave(node))
            .await;
    if !matches!(released, Ok(Ok(()))) {
        tracing::warn!(name: "shutdown.units.kept", "could not release units; other processes will reclaim them");
    }
    serve_phase.send_replace(ServePhase::Drained);
    tracing::info!(name: "shutdown.done", process = %node.incarnation, "left");
}

async fn release_and_leave(node: &Arc<Node>) -> masticfall_platform::Result<()> {
    grants::release_all_units(node).await?;
    membership::leave(node).await
}
