//! The planner of a data centre: jobs, instances and waves.
//!
//! Any entry process may hold the planner's lease. Every write of the planner
//! carries a condition on the lease row, so that a holder which was paused past
//! its lease cannot write any more.

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

/// Period of the planner, in milliseconds.
const PLAN_MS: u64 = 300;

/// Period of the sweep for units of processes that are gone, in milliseconds.
const SWEEP_MS: u64 = 300_000;

/// What the planner remembers between two steps.
#[derive(Debug, Default)]
struct Memory {
    lease: lease::PlannerLease,
    jobs: jobs::JobTable,
    instances: instances::RebootTable,
    sizes: sizes::DemandTable,
    swept_ms: u64,
}

/// Plans until the process drains.
pub async fn run(node: Arc<Node>) {
    let mut memory = Memory::default();
    loop {
        let sent_ms = node.now_ms();
        let result = step(&node, &mut memory).await;
        node.record_platform_result(sent_ms, &result);
        let wanted = node.plan_wanted.notified();
        drop(tokio::time::timeout(Duration::from_millis(PLAN_MS), wanted).await);
        if node.state().phase >= Phase::Leaving {
            if let Err(error) = memory.lease.release(&node).await {
                tracing::info!(name: "planner.release.failed", error = %error, "lease will lapse");
            }
            return;
        }
    }
}

async fn step(node: &Arc<Node>, memory: &mut Memory) -> Result<()> {
    if !memory.lease.acquire(node).await? {
        memory.jobs = jobs::JobTable::default();
        memory.instances = instances::RebootTable::default();
        memory.sizes = sizes::DemandTable::default();
        return Ok(());
    }
    // Jobs first: a leaving worker is drained only once its tasks are known.
    jobs::step(node, &memory.lease, &mut memory.jobs).await?;
    instances::step(node, &memory.lease, &mut memory.instances).await?;
    waves::step(node, &memory.lease, &memory.instances).await?;
    sizes::step(node, &memory.lease, &mut memory.sizes).await?;
    let now_ms = node.now_ms();
    if now_ms >= memory.swept_ms + SWEEP_MS {
        memory.swept_ms = now_ms;
        reclaim::reclaim_orphaned_units(node).await?;
    }
    Ok(())
}
