//! Graceful shutdown: nothing in flight is cut.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::timeline::EventKind;
use masticfall_platform::serve::ServePhase;
use tokio::sync::watch;

use crate::context::Node;
use crate::state::Phase;
use crate::{grants, membership};

/// Period at which requests in flight are counted, in milliseconds.
const POLL_MS: u64 = 20;

/// Longest time for handing units back, in milliseconds.
const GIVE_BACK_MS: u64 = 5_000;

/// Leaves the fleet: unready, then closed, then drained, then units handed back.
pub async fn drain(node: &Arc<Node>, serving: &watch::Sender<ServePhase>) {
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
    serving.send_replace(ServePhase::Closed);
    while node.state().in_flight > 0 {
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    // Only now may the lease end: what was in flight was guarded by it.
    node.state().phase = Phase::Left;
    let giving = tokio::time::timeout(Duration::from_millis(GIVE_BACK_MS), give_back(node)).await;
    if !matches!(giving, Ok(Ok(()))) {
        tracing::warn!(name: "shutdown.units.kept", "units come back by reclaim");
    }
    serving.send_replace(ServePhase::Drained);
    tracing::info!(name: "shutdown.done", process = %node.incarnation, "left");
}

async fn give_back(node: &Arc<Node>) -> masticfall_platform::Result<()> {
    grants::release_all_units(node).await?;
    membership::leave(node).await
}
