//! Start and stop of a process.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticfall_platform::fleet::FleetPlatform;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::context::{Clock, Fleet, FleetPhase};
use super::peers::Ask;
use super::settings::FleetSettings;
use super::{follow, leadership, peers};

/// Time for which a leaving process still takes new connections, in
/// milliseconds: the balancer looks once a second and stops after two misses.
const LEAVE_MS: u64 = 2_600;

/// Time that is left for the rest of a stop, in milliseconds.
const STOP_MARGIN_MS: u64 = 600;

/// Period at which a stopping process looks for requests in flight, in milliseconds.
const DRAIN_CHECK_MS: u64 = 20;

/// A process that runs.
#[derive(Debug)]
pub struct RunningFleet {
    /// Its context.
    pub fleet: Arc<Fleet>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the systems of a process; `clock` is [`boottime_ms`](super::context::boottime_ms)
/// but in tests,
/// and `ask` is [`peers::fetch_config`].
pub fn start(
    settings: FleetSettings,
    platform: FleetPlatform,
    clock: Clock,
    ask: Ask,
) -> RunningFleet {
    let fleet = Fleet::new(settings, platform, clock, ask);
    let systems: Vec<BoxFuture<'static, ()>> = vec![
        Box::pin(follow::operators(Arc::clone(&fleet))),
        Box::pin(follow::ownership(Arc::clone(&fleet))),
        Box::pin(leadership::run(Arc::clone(&fleet))),
        Box::pin(peers::list(Arc::clone(&fleet))),
        Box::pin(peers::follow_others(Arc::clone(&fleet))),
    ];
    let tasks = systems.into_iter().map(tokio::spawn).collect();
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
    /// Ends at once, as a crash would: nothing is handed over or written.
    pub fn crash(self) {
        for task in &self.tasks {
            task.abort();
        }
        let mut shared = self.fleet.shared();
        shared.ownership = None;
        shared.board = None;
        shared.phase = FleetPhase::Draining;
    }

    /// Leaves: hands the cell over, still takes requests until the balancer
    /// has noticed, and waits for those in flight.
    pub async fn shut_down(&self, close_listeners: impl FnOnce()) {
        let fleet = &self.fleet;
        fleet.shared().phase = FleetPhase::Draining;
        tracing::info!(name: "process.leaving", process = %fleet.incarnation, in_flight = fleet.requests_in_flight(), "told to stop");
        let handing_over = {
            let fleet = Arc::clone(fleet);
            tokio::spawn(async move {
                leadership::hand_over(&fleet, None).await;
                if let Err(error) = peers::write(&fleet, false).await {
                    tracing::debug!(name: "peer.still_listed", %error, "others ask in vain");
                }
            })
        };
        let budget_ms = fleet.settings.stop_signal_grace_ms.saturating_sub(STOP_MARGIN_MS);
        let leave_ms = LEAVE_MS.min(budget_ms);
        sleep(Duration::from_millis(leave_ms)).await;
        close_listeners();
        let mut left_ms = budget_ms - leave_ms;
        while fleet.requests_in_flight() > 0 && left_ms >= DRAIN_CHECK_MS {
            sleep(Duration::from_millis(DRAIN_CHECK_MS)).await;
            left_ms -= DRAIN_CHECK_MS;
        }
        handing_over.abort();
        for task in &self.tasks {
            task.abort();
        }
        tracing::info!(name: "process.stopped", process = %fleet.incarnation, in_flight = fleet.requests_in_flight(), "stops");
    }
}
