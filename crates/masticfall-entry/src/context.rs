//! The one context value that is passed down to everything in the process.

use std::fmt;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use masticfall_core::id::{DataCentre, Incarnation, Name};
use masticfall_core::timeline::{EventKind, RING_EVENTS};
use masticfall_platform::counted::{Counts, counted};
use masticfall_platform::{Platform, PlatformError};
use parking_lot::{Mutex, MutexGuard};
use rand::Rng;
use tokio::sync::Notify;
use tokio::time::Instant;
use volo_http::client::Client;

use crate::metrics::Metrics;
use crate::peers::{Dialer, Links};
use crate::settings::Settings;
use crate::state::State;

/// Addresses at which a process is reached.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// HTTP, `ip:port`.
    pub http: Name,
    /// Peers, `ip:port`.
    pub peer: Name,
}

/// An entry process.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Addresses after binding.
    pub addresses: Addresses,
    /// The platform.
    pub platform: Platform,
    /// Counts of platform operations.
    pub counts: Arc<Counts>,
    /// HTTP client towards targets.
    pub client: Client,
    /// Metrics.
    pub metrics: Metrics,
    /// Channels to peers.
    pub links: Links,
    /// Wakes the system that claims units.
    pub units_wanted: Notify,
    /// Held while units are claimed or handed back.
    pub claiming: tokio::sync::Mutex<()>,
    /// Wakes requests that wait for units of a limit.
    pub units_changed: Notify,
    /// Wakes the system that reads the configuration.
    pub config_wanted: Notify,
    /// Wakes the system that reads the rows of processes.
    pub members_wanted: Notify,
    /// Wakes the planner.
    pub plan_wanted: Notify,
    start: Instant,
    state: Mutex<State>,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node").field("who", &self.incarnation).finish_non_exhaustive()
    }
}

impl Node {
    /// Makes the context of a new incarnation.
    pub fn new(
        settings: Settings,
        addresses: Addresses,
        platform: Platform,
        dial: Dialer,
    ) -> Arc<Self> {
        let number: u64 = rand::rng().random();
        let incarnation = Incarnation::from(format!("{}.{number:016x}", settings.data_centre));
        let counts = Arc::new(Counts::default());
        Arc::new(Self {
            platform: counted(platform, &counts),
            counts,
            state: Mutex::new(State::new(incarnation.clone(), RING_EVENTS)),
            settings,
            incarnation,
            addresses,
            client: Client::default(),
            metrics: Metrics::new(),
            links: Links::new(dial),
            units_wanted: Notify::new(),
            claiming: tokio::sync::Mutex::new(()),
            units_changed: Notify::new(),
            config_wanted: Notify::new(),
            members_wanted: Notify::new(),
            plan_wanted: Notify::new(),
            start: Instant::now(),
        })
    }

    /// Returns the data centre of the process.
    pub fn data_centre(&self) -> &DataCentre {
        &self.settings.data_centre
    }

    /// Locks the tables. Never held over a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Returns the process's monotonic clock, in milliseconds since its start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the instant of a reading of the monotonic clock.
    pub fn instant(&self, at_ms: u64) -> Instant {
        self.start + std::time::Duration::from_millis(at_ms)
    }

    /// Records an event on the time line.
    pub fn record(&self, kind: EventKind, labels: &[(&str, &str)]) {
        self.state().timeline.record(wall_ms(), kind, labels);
    }

    /// Notes how a platform operation ended, for the rules on isolation.
    ///
    /// `sent_ms` is when the operation was sent; a late answer says nothing
    /// about the present.
    pub fn record_platform_result<T>(&self, sent_ms: u64, result: &Result<T, PlatformError>) {
        let mut state = self.state();
        match result {
            Ok(_) => {
                state.last_platform_answer_ms = state.last_platform_answer_ms.max(Some(sent_ms));
                if std::mem::take(&mut state.platform_failed) {
                    state.timeline.record(wall_ms(), EventKind::PlatformBack, &[]);
                    tracing::info!(name: "platform.back", "the platform answers again");
                }
            }
            Err(error) if !state.platform_failed => {
                state.platform_failed = true;
                state.timeline.record(wall_ms(), EventKind::PlatformLost, &[]);
                let platform = self.settings.platform;
                tracing::warn!(name: "platform.lost", %platform, error = %error, "the platform does not answer");
            }
            Err(error) => {
                tracing::debug!(name: "platform.failed", error = %error, "operation failed");
            }
        }
    }
}

/// Returns the wall clock, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|duration| duration.as_millis() as u64).unwrap_or_default()
}
