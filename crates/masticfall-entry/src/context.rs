//! The context shared by all tasks of an entry process.

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
    /// HTTP address, `ip:port`.
    pub http: Name,
    /// Address for peers, `ip:port`.
    pub peer: Name,
}

/// An entry process.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Addresses that the process is bound to.
    pub addresses: Addresses,
    /// The platform.
    pub platform: Platform,
    /// Counts of platform operations.
    pub counts: Arc<Counts>,
    /// HTTP client for requests to targets.
    pub client: Client,
    /// Metrics.
    pub metrics: Metrics,
    /// Channels to peers.
    pub links: Links,
    /// Wakes the task that claims units.
    pub units_wanted: Notify,
    /// Held while units are claimed or released.
    pub claim_lock: tokio::sync::Mutex<()>,
    /// Wakes requests that wait for units of a limit.
    pub units_changed: Notify,
    /// Wakes the task that reads the configuration.
    pub config_wanted: Notify,
    /// Wakes the task that reads the members' rows.
    pub members_wanted: Notify,
    /// Wakes the planner.
    pub plan_wanted: Notify,
    started: Instant,
    state: Mutex<State>,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node").field("who", &self.incarnation).finish_non_exhaustive()
    }
}

impl Node {
    /// Creates the context of a new incarnation.
    pub fn new(
        settings: Settings,
        addresses: Addresses,
        platform: Platform,
        dialer: Dialer,
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
            links: Links::new(dialer),
            units_wanted: Notify::new(),
            claim_lock: tokio::sync::Mutex::new(()),
            units_changed: Notify::new(),
            config_wanted: Notify::new(),
            members_wanted: Notify::new(),
            plan_wanted: Notify::new(),
            started: Instant::now(),
        })
    }

    /// Returns the data centre of the process.
    pub fn data_centre(&self) -> &DataCentre {
        &self.settings.data_centre
    }

    /// Locks the state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Returns the monotonic time since the process started, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Converts a value of [`Node::now_ms`] to an instant.
    pub fn instant(&self, at_ms: u64) -> Instant {
        self.started + std::time::Duration::from_millis(at_ms)
    }

    /// Records an event on the timeline.
    pub fn record(&self, kind: EventKind, labels: &[(&str, &str)]) {
        self.state().timeline.record(wall_ms(), kind, labels);
    }

    /// Records the result of a platform operation, by which isolation is detected.
    ///
    /// `sent_ms` is when the operation was sent: a late answer does not show
    /// that the platform is reachable now.
    pub fn record_platform_result<T>(&self, sent_ms: u64, result: &Result<T, PlatformError>) {
        let mut state = self.state();
        match result {
            Ok(_) => {
                state.last_platform_answer_ms = state.last_platform_answer_ms.max(Some(sent_ms));
                if std::mem::take(&mut state.platform_failed) {
                    state.timeline.record(wall_ms(), EventKind::PlatformBack, &[]);
                    tracing::info!(name: "platform.back", "platform recovered");
                }
            }
            Err(error) if !state.platform_failed => {
                state.platform_failed = true;
                state.timeline.record(wall_ms(), EventKind::PlatformLost, &[]);
                let platform = self.settings.platform;
                tracing::warn!(name: "platform.lost", %platform, error = %error, "platform operation failed; retrying");
            }
            Err(error) => {
                tracing::debug!(name: "platform.failed", error = %error, "platform operation failed again");
            }
        }
    }
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map(|duration| duration.as_millis() as u64).unwrap_or_default()
}
