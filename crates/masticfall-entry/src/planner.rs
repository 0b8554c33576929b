//! The planner of a data centre: drives its jobs, instances and waves.
//!
//! Any entry process may hold the planner lease. Every write of the planner is
//! conditional on the lease row, which fences a holder that was paused beyond
//! the end of its lease.

mod instances;
mod jobs;
pub mod lease;
pub mod pools;
mod sizes;
mod waves;

use std::sync::Arc;
use std::time::Duration;

use masticfall_platform::Result;

use crate::context::Node;
use crate::reclaim;
use crate::state::Phase;

/// Maximum pause between two planning steps, in milliseconds.
const PLANNING_PERIOD_MS: u64 = 300;

/// Period of the sweep that reclaims units of terminated processes, in milliseconds.
const SWEEP_PERIOD_MS: u64 = 300_000;

/// State that the planner keeps between two steps.
#[derive(Debug, Default)]
struct Planner {
    lease: lease::PlannerLease,
    jobs: jobs::JobTable,
    instances: instances::RebootTable,
    sizes: sizes::DemandTable,
    last_sweep_ms: u64,
}

/// Runs the planner until the process leaves.
pub async fn run(node: Arc<Node>) {
    let mut planner = Planner::default();
    loop {
        let sent_ms = node.now_ms();
        let result = step(&node, &mut planner).await;
        node.record_platform_result(sent_ms, &result);
        let wake_up = node.plan_wanted.notified();
        drop(tokio::time::timeout(Duration::from_millis(PLANNING_PERIOD_MS), wake_up).await);
        if node.state().phase >= Phase::Leaving {
            if let Err(error) = planner.lease.release(&node).await {
                tracing::info!(name: "planner.release.failed", error = %error, "could not release the planner lease; it expires on its own");
            }
            return;
        }
    }
}

async fn step(node: &Arc<Node>, planner: &mut Planner) -> Result<()> {
    if !planner.lease.acquire(node).await? {
        planner.jobs = jobs::JobTable::default();
        planner.instances = instances::RebootTable::default();
        planner.sizes = sizes::DemandTable::default();
        return Ok(());
    }
    // Jobs come first: a leaving worker counts as drained only when its tasks are known.
    jobs::step(node, &planner.lease, &mut planner.jobs).await?;
    instances::step(node, &planner.lease, &mut planner.instances).await?;
    waves::step(node, &planner.lease, &planner.instances).await?;
    sizes::step(node, &planner.lease, &mut planner.sizes).await?;
    let now_ms = node.now_ms();
    if now_ms >= planner.last_sweep_ms + SWEEP_PERIOD_MS {
        planner.last_sweep_ms = now_ms;
        reclaim::reclaim_orphaned_units(node).await?;
    }
    Ok(())
}
