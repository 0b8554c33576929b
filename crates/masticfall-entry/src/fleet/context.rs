//! The one context value of a process on a platform that runs fleets of workers.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use indexmap::IndexMap;
use masticfall_core::fleet::board::{Board, Now};
use masticfall_core::fleet::config::FleetConfig;
use masticfall_core::id::{Incarnation, Name, WaveName};
use masticfall_platform::PlatformError;
use masticfall_platform::fleet::{FleetPlatform, WavePlan};
use parking_lot::{Mutex, MutexGuard};
use rand::Rng;
use tokio::sync::Notify;

use super::metrics::FleetMetrics;
use super::peers::{Ask, PeerRow};
use super::rows::BeatRow;
use super::settings::FleetSettings;
use crate::context::wall_ms;

/// Silence of the store after which a process counts as cut off, in
/// milliseconds: four signs of life of the cell's owner, which every process
/// follows, and more than the operators' feed waits.
const SILENT_MS: u64 = 1_700;

/// The same where calls to the store fail, in milliseconds.
const REFUSING_MS: u64 = 600;

/// Where a process is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FleetPhase {
    /// Has no configuration yet.
    Starting,
    /// Takes requests.
    Ready,
    /// Was told to stop; still takes requests.
    Draining,
}

/// Ownership of the cell by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ownership {
    /// Number of the ownership.
    pub epoch: u32,
    /// Version of the owner row, on which every write depends.
    pub version: u64,
}

/// What the systems of a process share.
#[derive(Debug)]
pub struct Shared {
    /// Where the process is in its life.
    pub phase: FleetPhase,
    /// Configuration in force.
    pub config: Option<Arc<FleetConfig>>,
    /// Maintenance waves, with the time at which each was first seen.
    pub waves: IndexMap<WaveName, (WavePlan, u64)>,
    /// What the cell's owner last said of its load, and when.
    pub load: Option<(BeatRow, u64)>,
    /// Ownership of the cell, while this process holds it.
    pub ownership: Option<Ownership>,
    /// The cell's tables, while this process owns it.
    pub board: Option<Board>,
    /// When the store last confirmed the ownership, by our clock.
    pub confirmed_ms: u64,
}

/// A clock in milliseconds that counts time spent suspended.
pub type Clock = Arc<dyn Fn() -> u64 + Send + Sync>;

/// A process.
pub struct Fleet {
    /// Settings.
    pub settings: FleetSettings,
    /// The platform.
    pub platform: FleetPlatform,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// When the process started, by our clock.
    pub started_ms: u64,
    /// Metrics.
    pub metrics: FleetMetrics,
    /// Wakes whoever places tasks and sends orders.
    pub board_changed: Notify,
    /// Wakes whoever stores progress.
    pub store_wanted: Notify,
    /// Wakes looks that wait for ends to be stored.
    pub batch_stored: Notify,
    /// What was seen of the ownership.
    pub(super) watch: super::leadership::Watch,
    /// Wakes whoever follows the ownership.
    pub lead_changed: Notify,
    /// Other processes, by name.
    pub peers: Mutex<IndexMap<Name, PeerRow>>,
    /// Asks another process.
    pub(super) ask: Ask,
    /// What a question from another process has to carry.
    pub token: Name,
    operators_read_ms: AtomicU64,
    store_answered_ms: AtomicU64,
    /// Rounds of this owner's calls about instances that are over.
    pub(super) calls_done: AtomicU64,
    store_lost: AtomicBool,
    clock: Clock,
    in_flight: AtomicUsize,
    shared: Mutex<Shared>,
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet").field("who", &self.incarnation).finish_non_exhaustive()
    }
}

impl Fleet {
    /// Makes the context of a new incarnation.
    pub fn new(
        settings: FleetSettings,
        platform: FleetPlatform,
        clock: Clock,
        ask: Ask,
    ) -> Arc<Self> {
        let number: u32 = rand::rng().random();
        let incarnation = Incarnation::from(format!("{}.{number:08x}", settings.name));
        let shared = Shared {
            phase: FleetPhase::Starting,
            config: None,
            waves: IndexMap::new(),
            load: None,
            ownership: None,
            board: None,
            confirmed_ms: 0,
        };
        Arc::new(Self {
            settings,
            platform,
            incarnation,
            started_ms: clock(),
            metrics: FleetMetrics::new(),
            board_changed: Notify::new(),
            store_wanted: Notify::new(),
            batch_stored: Notify::new(),
            watch: super::leadership::Watch::default(),
            lead_changed: Notify::new(),
            peers: Mutex::new(IndexMap::new()),
            ask,
            token: Name::from(format!("{:032x}", rand::rng().random::<u128>())),
            operators_read_ms: AtomicU64::new(clock()),
            store_answered_ms: AtomicU64::new(clock()),
            calls_done: AtomicU64::new(0),
            store_lost: AtomicBool::new(false),
            clock,
            in_flight: AtomicUsize::new(0),
            shared: Mutex::new(shared),
        })
    }

    /// Locks what the systems share. Never held over a wait.
    pub fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.shared().config.clone()
    }

    /// Tells whether the process wants new connections. Without the store it can
    /// take no job, and the balancer finds callers another process.
    pub fn is_ready(&self) -> bool {
        self.shared().phase == FleetPhase::Ready && self.cut_off_ms().is_none()
    }

    /// Returns for how long the store has not answered, in milliseconds, if that
    /// is too long to expect an answer.
    pub fn cut_off_ms(&self) -> Option<u64> {
        let answered_ms = self.store_answered_ms.load(Ordering::Relaxed);
        let silent_ms = self.now_ms().saturating_sub(answered_ms);
        let bound_ms = if self.is_store_lost() { REFUSING_MS } else { SILENT_MS };
        (silent_ms > bound_ms).then_some(silent_ms)
    }

    /// Notes that the store has answered.
    pub fn store_answered(&self) {
        self.store_answered_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Tells whether the process was told to stop.
    pub fn is_draining(&self) -> bool {
        self.shared().phase == FleetPhase::Draining
    }

    /// Tells whether this process owns the cell in an epoch.
    pub fn is_owner(&self, epoch: u32) -> bool {
        self.shared().ownership.is_some_and(|ownership| ownership.epoch == epoch)
    }

    /// Returns our clock. It counts time that the instance was suspended, so
    /// that no lease seems to hold longer than it does.
    pub fn now_ms(&self) -> u64 {
        (self.clock)()
    }

    /// Returns a reading of both clocks.
    pub fn now(&self) -> Now {
        Now { steady_ms: self.now_ms(), wall_ms: wall_ms() }
    }

    /// Applies a change to the board if this process still owns the cell in
    /// this epoch, and wakes whoever carries out what follows from it.
    pub fn with_board<R>(&self, epoch: u32, change: impl FnOnce(&mut Board) -> R) -> Option<R> {
        let result = self.on_board(epoch, change)?;
        self.board_changed.notify_one();
        Some(result)
    }

    /// The same, where nothing follows from it.
    pub fn on_board<R>(&self, epoch: u32, change: impl FnOnce(&mut Board) -> R) -> Option<R> {
        let mut shared = self.shared();
        shared.board.as_mut().filter(|board| board.epoch == epoch).map(change)
    }

    /// Returns when the operators' rows were read last, by our clock.
    pub fn operators_read_ms(&self) -> u64 {
        self.operators_read_ms.load(Ordering::Relaxed)
    }

    /// Tells whether the last call to the store's feeds failed.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// Notes how a call to the operators' feed ended; writes a line when the store
    /// was lost or is back.
    pub fn note_store<T>(&self, result: &Result<T, PlatformError>) {
        let is_lost = result.is_err();
        if !is_lost {
            self.operators_read_ms.store(self.now_ms(), Ordering::Relaxed);
            self.store_answered();
        }
        if self.store_lost.swap(is_lost, Ordering::Relaxed) == is_lost {
            return;
        }
        let (process, store) = (&self.incarnation, self.settings.store);
        match result {
            Ok(_) => tracing::info!(name: "store.back", %process, %store, "store answers again"),
            Err(error) => {
                tracing::warn!(name: "store.lost", %process, %store, %error, "store does not answer");
            }
        }
    }

    /// Counts a request until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard { fleet: Arc::clone(self) }
    }

    /// Returns how many requests are being answered.
    pub fn requests_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Reads the system's clock that counts time spent suspended.
pub fn boottime_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// A request that is being answered.
#[derive(Debug)]
pub struct RequestGuard {
    fleet: Arc<Fleet>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.fleet.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
