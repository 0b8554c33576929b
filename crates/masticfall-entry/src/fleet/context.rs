//! The context shared by all parts of a process on a platform that runs fleets of
//! workers.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use indexmap::IndexMap;
use masticfall_core::fleet::board::{Board, Now};
use masticfall_core::fleet::config::{FleetConfig, QueueConfig};
use masticfall_core::fleet::evacuation::Evacuations;
use masticfall_core::id::{DataCentre, Incarnation, Name, QueueName, WaveName};
use masticfall_platform::PlatformError;
use masticfall_platform::fleet::{FleetPlatform, WavePlan};
use parking_lot::{Mutex, MutexGuard};
use rand::Rng;
use tokio::sync::Notify;

use super::leadership::{self, WriteSequence};
use super::metrics::FleetMetrics;
use super::peers::{PeerCalls, PeerRow};
use super::relay::Relays;
use super::rows::{HeartbeatRow, open_row_key};
use super::settings::FleetSettings;
use super::submissions::NoticeQueue;
use crate::context::wall_ms;

/// Time without a response after which the store counts as unavailable, in
/// milliseconds: four heartbeats of the cell's owner, which every process follows,
/// and longer than the long poll of the operators' feed.
const STORE_TIMEOUT_MS: u64 = 1_700;

/// The same if calls to the store fail, in milliseconds.
const STORE_ERROR_TIMEOUT_MS: u64 = 600;

/// Duration of a transaction from which on the store counts as slow, in milliseconds. It
/// then executes a few transactions a second in each partition.
const SLOW_STORE_MS: u64 = 100;

/// Maximum number of repeated calls at a time. When many calls are unanswered the cause is
/// the process or its link, and more calls would make it worse.
const MAX_HEDGES: usize = 48;

/// Phase in the life of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FleetPhase {
    /// Has no configuration yet.
    Starting,
    /// Serves requests.
    Ready,
    /// Is shutting down; still serves requests.
    Draining,
}

/// Ownership of the cell by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ownership {
    /// Epoch of the ownership.
    pub epoch: u32,
    /// Version of the owner row, on which every write is conditional.
    pub version: u64,
    /// Time until which owners of earlier epochs may still extend leases, by
    /// [`Fleet::now_ms`].
    pub overlap_until_ms: u64,
}

/// State shared by the tasks of a process.
#[derive(Debug)]
pub struct Shared {
    /// Phase of the process.
    pub phase: FleetPhase,
    /// Configuration in force.
    pub config: Option<Arc<FleetConfig>>,
    /// Queues of earlier configurations that the one in force lacks; their accepted jobs go on.
    pub removed_queues: IndexMap<QueueName, QueueConfig>,
    /// Maintenance waves, with the time at which each was first seen.
    pub waves: IndexMap<WaveName, (WavePlan, u64)>,
    /// Evacuated data centres.
    pub evacuations: Evacuations,
    /// Last heartbeat of the cell's owner, and when it was read.
    pub load: Option<(HeartbeatRow, u64)>,
    /// Ownership of the cell, while this process holds it.
    pub ownership: Option<Ownership>,
    /// The cell's scheduling state, while this process owns it.
    pub board: Option<Board>,
    /// Version of the store up to which the board has loaded the rows of jobs.
    pub jobs_version: u64,
    /// When the last write that confirmed the ownership was sent, by [`Fleet::now_ms`].
    pub confirmed_ms: u64,
}

/// A clock in milliseconds that counts time spent suspended.
pub type Clock = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Context of a process.
pub struct Fleet {
    /// Settings.
    pub settings: FleetSettings,
    /// The platform.
    pub platform: FleetPlatform,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// When the process started, by [`Fleet::now_ms`].
    pub started_ms: u64,
    /// Metrics.
    pub metrics: FleetMetrics,
    /// Wakes the task that places work and sends orders.
    pub board_changed: Notify,
    /// Wakes the task that stores progress.
    pub store_requested: Notify,
    /// Wakes polls of workers that wait for ended runs to be stored.
    pub batch_stored: Notify,
    /// Ownership of the cell as observed.
    pub(super) ownership_tracker: super::leadership::OwnershipTracker,
    /// Wakes the task that manages the ownership.
    pub ownership_changed: Notify,
    /// Other processes, by name.
    pub peers: Mutex<IndexMap<Name, PeerRow>>,
    /// Calls to other processes.
    pub(super) peer_calls: PeerCalls,
    /// Relays of the cell's owner.
    pub(super) relays: Relays,
    /// Stored submissions and cancellations to be sent to the cell's owner.
    pub(super) submissions: NoticeQueue,
    /// Start orders without an outcome yet.
    pub(super) starts_in_flight: InFlight,
    /// Repeated calls to workers without an answer yet.
    pub(super) hedges: InFlight,
    /// Token that a peer's request must carry.
    pub token: Name,
    operators_read_ms: AtomicU64,
    store_response_ms: AtomicU64,
    /// Orders the writes of the open set; held while one is in flight.
    pub(super) open_sequence: tokio::sync::Mutex<WriteSequence>,
    /// Last completed round of instance calls, with the epoch of its owner: the calls of an
    /// earlier ownership of this process may end during a later one.
    completed_call_round: Mutex<(u32, u64)>,
    store_failing: AtomicBool,
    /// Duration of the last transaction that stored progress, in milliseconds.
    batch_latency_ms: AtomicU64,
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
    /// Creates the context of a new incarnation.
    pub fn new(
        settings: FleetSettings,
        platform: FleetPlatform,
        clock: Clock,
        peer_calls: PeerCalls,
    ) -> Arc<Self> {
        let number: u32 = rand::rng().random();
        let incarnation = Incarnation::from(format!("{}.{number:08x}", settings.name));
        let shared = Shared {
            phase: FleetPhase::Starting,
            config: None,
            waves: IndexMap::new(),
            evacuations: Evacuations::default(),
            removed_queues: IndexMap::new(),
            load: None,
            ownership: None,
            board: None,
            jobs_version: 0,
            confirmed_ms: 0,
        };
        let metrics = FleetMetrics::new(Arc::clone(&platform.traffic));
        let max_starts_in_flight = settings.max_starts_in_flight();
        Arc::new(Self {
            settings,
            platform,
            incarnation,
            started_ms: clock(),
            metrics,
            board_changed: Notify::new(),
            store_requested: Notify::new(),
            batch_stored: Notify::new(),
            ownership_tracker: super::leadership::OwnershipTracker::default(),
            ownership_changed: Notify::new(),
            peers: Mutex::new(IndexMap::new()),
            peer_calls,
            relays: Relays::default(),
            submissions: NoticeQueue::default(),
            starts_in_flight: InFlight::new(max_starts_in_flight),
            hedges: InFlight::new(MAX_HEDGES),
            token: Name::from(format!("{:032x}", rand::rng().random::<u128>())),
            operators_read_ms: AtomicU64::new(clock()),
            store_response_ms: AtomicU64::new(clock()),
            open_sequence: tokio::sync::Mutex::new(WriteSequence::new(open_row_key(0))),
            completed_call_round: Mutex::default(),
            store_failing: AtomicBool::new(false),
            batch_latency_ms: AtomicU64::new(0),
            clock,
            in_flight: AtomicUsize::new(0),
            shared: Mutex::new(shared),
        })
    }

    /// Locks the shared state. The guard must not be held across an await point.
    pub fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.shared().config.clone()
    }

    /// Returns whether the process wants new connections. Without the store it can't
    /// accept jobs, and the load balancer directs callers to another process.
    pub fn is_ready(&self) -> bool {
        self.shared().phase == FleetPhase::Ready && self.store_outage_ms().is_none()
    }

    /// Returns for how long the store has not responded, in milliseconds, if it
    /// counts as unavailable.
    pub fn store_outage_ms(&self) -> Option<u64> {
        let response_ms = self.store_response_ms.load(Ordering::Relaxed);
        let outage_ms = self.now_ms().saturating_sub(response_ms);
        let timeout_ms =
            if self.is_store_failing() { STORE_ERROR_TIMEOUT_MS } else { STORE_TIMEOUT_MS };
        (outage_ms > timeout_ms).then_some(outage_ms)
    }

    /// Records that the store has responded.
    pub fn record_store_response(&self) {
        self.store_response_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Records that a round of instance calls of an owner is completed.
    pub(super) fn record_completed_calls(&self, epoch: u32, round: u64) {
        let mut completed = self.completed_call_round.lock();
        *completed = (*completed).max((epoch, round));
    }

    /// Returns the last completed round of instance calls of an owner.
    pub(super) fn completed_calls(&self, epoch: u32) -> u64 {
        let (of_epoch, round) = *self.completed_call_round.lock();
        if of_epoch == epoch { round } else { 0 }
    }

    /// Records how long a transaction that stored progress took.
    pub(super) fn record_batch_latency(&self, latency_ms: u64) {
        self.batch_latency_ms.store(latency_ms, Ordering::Relaxed);
    }

    /// Returns whether the store is slow, by the last transaction that stored progress.
    pub(super) fn is_store_slow(&self) -> bool {
        self.batch_latency_ms.load(Ordering::Relaxed) >= SLOW_STORE_MS
    }

    /// Returns whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.shared().phase == FleetPhase::Draining
    }

    /// Returns whether this process owns the cell in an epoch.
    pub fn is_owner(&self, epoch: u32) -> bool {
        self.shared().ownership.is_some_and(|ownership| ownership.epoch == epoch)
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.shared().evacuations.contains(data_centre)
    }

    /// Returns the time of the process's clock, in milliseconds. It includes time in
    /// which the instance was suspended, so that no lease appears to last longer than
    /// it does.
    pub fn now_ms(&self) -> u64 {
        (self.clock)()
    }

    /// Reads the process's clock and the wall clock.
    pub fn now(&self) -> Now {
        Now { steady_ms: self.now_ms(), wall_ms: wall_ms() }
    }

    /// Applies a change to the board if this process still owns the cell in this
    /// epoch, and wakes the scheduler.
    pub fn update_board<R>(&self, epoch: u32, change: impl FnOnce(&mut Board) -> R) -> Option<R> {
        let result = self.with_board(epoch, change)?;
        self.board_changed.notify_one();
        Some(result)
    }

    /// Accesses the board if this process still owns the cell in this epoch, without
    /// waking the scheduler.
    ///
    /// After a suspension any task may run before the one that checks the ownership
    /// regularly, so it is checked at each access. The time from which `change` counts leases
    /// is to be read before the call.
    pub fn with_board<R>(&self, epoch: u32, change: impl FnOnce(&mut Board) -> R) -> Option<R> {
        if leadership::step_down_if_unconfirmed(self, epoch) {
            return None;
        }
        let mut shared = self.shared();
        shared.board.as_mut().filter(|board| board.epoch == epoch).map(change)
    }

    /// Returns when the operators' rows were last read, by [`Fleet::now_ms`].
    pub fn operators_read_ms(&self) -> u64 {
        self.operators_read_ms.load(Ordering::Relaxed)
    }

    /// Returns whether the last call to the operators' feed failed.
    pub fn is_store_failing(&self) -> bool {
        self.store_failing.load(Ordering::Relaxed)
    }

    /// Records the result of a call to the operators' feed, and logs when the store
    /// becomes unavailable or recovers.
    pub fn record_store_result<T>(&self, result: &Result<T, PlatformError>) {
        let is_failing = result.is_err();
        if !is_failing {
            self.operators_read_ms.store(self.now_ms(), Ordering::Relaxed);
            self.record_store_response();
        }
        if self.store_failing.swap(is_failing, Ordering::Relaxed) == is_failing {
            return;
        }
        let (process, store) = (&self.incarnation, self.settings.store);
        match result {
            Ok(_) => tracing::info!(name: "store.back", %process, %store, "store recovered"),
            Err(error) => {
                tracing::warn!(name: "store.lost", %process, %store, %error, "store is unavailable");
            }
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard { fleet: Arc::clone(self) }
    }

    /// Returns the number of requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Reads the system's boot-time clock, which includes time spent suspended.
pub fn boottime_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// A number of calls in flight, with a limit. Beyond it, calls would only queue up on the
/// link and time out there, each followed by another attempt.
#[derive(Debug)]
pub(super) struct InFlight {
    count: Arc<AtomicUsize>,
    limit: usize,
}

impl InFlight {
    fn new(limit: usize) -> Self {
        Self { count: Arc::default(), limit }
    }

    /// Returns whether the limit is reached.
    pub(super) fn is_full(&self) -> bool {
        self.count() >= self.limit
    }

    /// Returns the number of calls.
    pub(super) fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Counts a call until the guard is dropped.
    pub(super) fn track(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(&self.count))
    }
}

/// A call in flight.
#[derive(Debug)]
pub(super) struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request in flight.
#[derive(Debug)]
pub struct RequestGuard {
    fleet: Arc<Fleet>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.fleet.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
