//! Start and shutdown of a process.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticfall_platform::fleet::FleetPlatform;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::context::{Clock, Fleet, FleetPhase};
use super::peers::PeerCalls;
use super::settings::FleetSettings;
use super::{follow, leadership, peers};

/// Time for which a draining process still accepts connections, in milliseconds:
/// the load balancer checks readiness once a second and needs two failed checks.
const BALANCER_NOTICE_MS: u64 = 2_600;

/// Part of the grace period that is reserved for the rest of the shutdown, in
/// milliseconds.
const STOP_MARGIN_MS: u64 = 600;

/// Interval at which a draining process checks for requests in flight, in milliseconds.
const DRAIN_CHECK_MS: u64 = 20;

/// A running process.
#[derive(Debug)]
pub struct RunningFleet {
    /// Its context.
    pub fleet: Arc<Fleet>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the background tasks of a process. Except in tests, `clock` is
/// [`boottime_ms`](super::context::boottime_ms) and `peer_calls` are the default ones.
pub fn start(
    settings: FleetSettings,
    platform: FleetPlatform,
    clock: Clock,
    peer_calls: PeerCalls,
) -> RunningFleet {
    let fleet = Fleet::new(settings, platform, clock, peer_calls);
    let background_tasks: Vec<BoxFuture<'static, ()>> = vec![
        Box::pin(follow::operators(Arc::clone(&fleet))),
        Box::pin(follow::ownership(Arc::clone(&fleet))),
        Box::pin(leadership::run(Arc::clone(&fleet))),
        Box::pin(peers::maintain_list(Arc::clone(&fleet))),
        Box::pin(peers::fetch_from_peers(Arc::clone(&fleet))),
        Box::pin(peers::notify_owner(Arc::clone(&fleet))),
    ];
    let tasks = background_tasks.into_iter().map(tokio::spawn).collect();
    tracing::info!(
        name: "process.started",
        process = %fleet.incarnation,
        data_centre = %fleet.settings.data_centre,
        callers = %fleet.settings.callers,
        store = %fleet.settings.store,
        "entry process started"
    );
    RunningFleet { fleet, tasks }
}

impl RunningFleet {
    /// Stops at once, as a crash would: nothing is handed over or written.
    pub fn crash(self) {
        for task in &self.tasks {
            task.abort();
        }
        let mut shared = self.fleet.shared();
        shared.ownership = None;
        shared.board = None;
        shared.phase = FleetPhase::Draining;
    }

    /// Shuts down gracefully: hands the cell over, accepts requests until the load
    /// balancer has taken the process out, and waits for those in flight.
    pub async fn shut_down(&self, close_listeners: impl FnOnce()) {
        let fleet = &self.fleet;
        fleet.shared().phase = FleetPhase::Draining;
        tracing::info!(name: "process.leaving", process = %fleet.incarnation, in_flight = fleet.requests_in_flight(), "shutdown requested; draining");
        let hand_over_task = {
            let fleet = Arc::clone(fleet);
            tokio::spawn(async move {
                leadership::hand_over(&fleet, None).await;
                if let Err(error) = peers::write_own_row(&fleet, false).await {
                    tracing::debug!(name: "peer.still_listed", %error, "could not remove the peer row; peers may still send requests");
                }
            })
        };
        let budget_ms = fleet.settings.stop_signal_grace_ms.saturating_sub(STOP_MARGIN_MS);
        let notice_ms = BALANCER_NOTICE_MS.min(budget_ms);
        sleep(Duration::from_millis(notice_ms)).await;
        close_listeners();
        let mut remaining_ms = budget_ms - notice_ms;
        while fleet.requests_in_flight() > 0 && remaining_ms >= DRAIN_CHECK_MS {
            sleep(Duration::from_millis(DRAIN_CHECK_MS)).await;
            remaining_ms -= DRAIN_CHECK_MS;
        }
        hand_over_task.abort();
        for task in &self.tasks {
            task.abort();
        }
        tracing::info!(name: "process.stopped", process = %fleet.incarnation, in_flight = fleet.requests_in_flight(), "stops");
    }
}
