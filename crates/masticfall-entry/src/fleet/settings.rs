//! Settings of a process on a platform that runs fleets of workers, from INI.

use std::net::SocketAddr;

use masticfall_core::config::{ConfigError, Document};
use masticfall_core::id::{DataCentre, Name};
use masticfall_platform::fleet::MAX_PAGE_ROWS;

use crate::settings::{MAX_CONNECTIONS_LIMIT, MAX_MEMORY_MIB, address};

/// Section of these settings; it marks a file as one for such a platform.
pub const SECTION: &str = "fleet";

/// Maximum of the settings in milliseconds.
const MAX_SETTING_MS: u64 = 600_000;

/// Maximum lease given to workers, in milliseconds, even if the platform allows more:
/// long-running tasks of a lost worker must restart elsewhere after about 6 s.
const MAX_WORKER_LEASE_MS: u64 = 6_000;

/// Share of a core that is sufficient to dispatch a large cell: about 0.2 ms of CPU
/// time per start, at 1,500 starts a second.
const SUFFICIENT_CPU_SHARE: f64 = 0.4;

/// Bandwidth that is sufficient to load a large cell's rows within 0.2 s, in Mbit/s.
const SUFFICIENT_LINK_MBPS: f64 = 150.0;

/// Time in which a page of rows is to arrive, in milliseconds; a third of the timeout of
/// a read.
const MAX_PAGE_MS: f64 = 400.0;

/// Bytes that a link of one Mbit/s carries in a millisecond.
pub const BYTES_PER_MS_PER_MBPS: f64 = 125.0;

/// Size of a large row as transferred, in bytes.
const LARGE_ROW_BYTES: f64 = 1_500.0;

/// Minimum number of rows in a page; fewer would take longer in round trips.
const MIN_PAGE_ROWS: u32 = 20;

/// Bandwidth for which one read at a time suffices, in Mbit/s.
const LINK_MBPS_PER_READ: f64 = 4.0;

/// Start orders in flight per Mbit/s of the link: with a payload each, 0.2 s of its
/// bandwidth.
const STARTS_IN_FLIGHT_PER_MBPS: f64 = 20.0;

/// Minimum of the limit of start orders in flight.
const MIN_STARTS_IN_FLIGHT: usize = 64;

/// Default rate limit of the provider of instances, in calls a second: the lowest
/// of all known deployments.
const DEFAULT_MACHINE_CALLS_PER_S: f64 = 64.0;

/// Default of the number of workers that the owner calls itself. Small deployments, of
/// about 50 workers, need no relays.
const DEFAULT_MAX_DIRECT_WORKERS: u64 = 64;

/// Maximum of the number of workers that the owner calls itself.
const MAX_DIRECT_WORKERS_LIMIT: u64 = 100_000;

/// Default of the multiple of its time that a task takes away from its data: none waits.
const DEFAULT_REMOTE_FACTOR: f64 = 1.0;

/// Settings of a process.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Name of the process.
    pub name: Name,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Address for peers, the other entry processes.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The provider of instances.
    pub machines: SocketAddr,
    /// The placement policy service.
    pub advice: Option<SocketAddr>,
    /// Length of the leases given to workers, in milliseconds.
    pub worker_lease_ms: u64,
    /// Maximum length to which workers cut a longer lease, in milliseconds.
    pub max_worker_lease_ms: u64,
    /// Time within which a worker ends a stopped run, in milliseconds.
    pub stop_grace_ms: u64,
    /// Time within which two holders of the lease on instances must not both call
    /// an instance, in milliseconds.
    pub machine_lease_ms: u64,
    /// Calls a second that the provider of instances accepts from all processes
    /// together.
    pub machine_calls_per_s: f64,
    /// Time between the stop signal and the kill signal, in milliseconds.
    pub stop_signal_grace_ms: u64,
    /// Time for which a long-running task counts as unavailable after an order of the
    /// cell's owner, in milliseconds.
    pub away_notice_ms: u64,
    /// Time that an instance takes to move to another pool, in milliseconds.
    pub move_ms: u64,
    /// Time for which an ended job is kept, in milliseconds.
    pub keep_ended_ms: u64,
    /// Share of a core available to the process.
    pub cpu_share: f64,
    /// Bandwidth of the instance's link, in Mbit/s.
    pub link_mbps: f64,
    /// Time after which an unanswered call to a worker is made again, in milliseconds; 0
    /// for never.
    pub hedge_after_ms: u64,
    /// Whether the process sends stored submissions to the cell's owner, which otherwise
    /// learns of them by the store's feed alone.
    pub notify_owner: bool,
    /// Time for which a placement waits for the store before the first run of its task is
    /// ordered without it, in milliseconds; 0 if no run is.
    pub early_start_after_ms: u64,
    /// Number of workers up to which the owner of the cell calls all of them itself;
    /// beyond it, other processes relay its calls.
    pub max_direct_workers: u64,
    /// Multiple of its time that a task takes away from the rack of its data, or in a group
    /// that is spread over racks; up to 1, no task waits for near workers.
    pub remote_factor: f64,
    /// Memory that the process may use, in MiB; 0 for the memory that the system reports.
    pub memory_mib: u64,
    /// Memory that callers may hold, in MiB; 0 for a sixth of the process's memory, 32 at most.
    pub callers_memory_mib: u64,
    /// Maximum number of callers' connections; 0 for half of the descriptors for sockets, 1,950
    /// at most.
    pub max_connections: u64,
}

/// Result of reading settings: the settings, or all errors found.
pub type Result<T> = std::result::Result<T, Vec<ConfigError>>;

impl FleetSettings {
    /// Returns settings on free loopback ports, with the defaults of the file.
    pub fn local(name: &str, data_centre: &str) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: Name::from(name),
            data_centre: DataCentre::from(data_centre),
            callers: any_port,
            readiness: any_port,
            peers: any_port,
            metrics: any_port,
            store: any_port,
            machines: any_port,
            advice: None,
            worker_lease_ms: 6_000,
            max_worker_lease_ms: 6_000,
            stop_grace_ms: 1_000,
            machine_lease_ms: 3_000,
            machine_calls_per_s: DEFAULT_MACHINE_CALLS_PER_S,
            stop_signal_grace_ms: 6_000,
            away_notice_ms: 4_500,
            move_ms: 1_500,
            keep_ended_ms: 120_000,
            cpu_share: SUFFICIENT_CPU_SHARE,
            link_mbps: SUFFICIENT_LINK_MBPS,
            hedge_after_ms: 0,
            notify_owner: false,
            early_start_after_ms: 0,
            max_direct_workers: DEFAULT_MAX_DIRECT_WORKERS,
            remote_factor: DEFAULT_REMOTE_FACTOR,
            memory_mib: 0,
            callers_memory_mib: 0,
            max_connections: 0,
        }
    }

    /// Returns whether a settings file is for a platform that runs fleets of workers.
    pub fn is_fleet_file(text: &str) -> bool {
        Document::parse(text).is_ok_and(|doc| doc.has_section(SECTION))
    }

    /// Returns the instance's fitness for dispatching, from 0 to 1.
    pub fn fitness(&self) -> f64 {
        let cpu = self.cpu_share / SUFFICIENT_CPU_SHARE;
        let link = self.link_mbps / SUFFICIENT_LINK_MBPS;
        cpu.min(link).clamp(0.0, 1.0)
    }

    /// Returns how many rows of a table are read at a time, so that a page arrives well
    /// within the timeout of a read on a thin link.
    pub fn page_rows(&self) -> u32 {
        let page_bytes = self.link_mbps * BYTES_PER_MS_PER_MBPS * MAX_PAGE_MS;
        ((page_bytes / LARGE_ROW_BYTES) as u32).clamp(MIN_PAGE_ROWS, MAX_PAGE_ROWS)
    }

    /// Returns how many start orders may be without an outcome before no more tasks are
    /// placed: as many as the link carries in a fraction of their timeout.
    pub fn max_starts_in_flight(&self) -> usize {
        ((self.link_mbps * STARTS_IN_FLIGHT_PER_MBPS) as usize).max(MIN_STARTS_IN_FLIGHT)
    }

    /// Returns how many partitions of a table are read at the same time.
    pub fn concurrent_reads(&self) -> usize {
        ((self.link_mbps / LINK_MBPS_PER_READ) as usize).max(1)
    }

    /// Reads settings from the text of an INI file.
    ///
    /// # Errors
    /// Returns all errors in the file.
    pub fn read(text: &str) -> Result<Self> {
        let mut doc = Document::parse(text).map_err(|error| vec![error])?;
        let max_worker_lease_ms = millis(&mut doc, "worker_lease_ms", 6_000);
        let settings = Self {
            name: Name::from(doc.required(SECTION, "name")),
            data_centre: DataCentre::from(doc.required(SECTION, "data_centre")),
            callers: address(&mut doc, SECTION, "callers"),
            readiness: address(&mut doc, SECTION, "readiness"),
            peers: address(&mut doc, SECTION, "peers"),
            metrics: address(&mut doc, SECTION, "metrics"),
            store: address(&mut doc, SECTION, "store"),
            machines: address(&mut doc, SECTION, "machines"),
            advice: doc.text(SECTION, "advice").and_then(|text| text.parse().ok()),
            worker_lease_ms: max_worker_lease_ms.min(MAX_WORKER_LEASE_MS),
            max_worker_lease_ms,
            stop_grace_ms: millis(&mut doc, "stop_grace_ms", 1_000),
            machine_lease_ms: millis(&mut doc, "machine_lease_ms", 3_000),
            machine_calls_per_s: number(
                &mut doc,
                "machine_calls_per_s",
                DEFAULT_MACHINE_CALLS_PER_S,
            ),
            stop_signal_grace_ms: seconds(&mut doc, "stop_signal_grace_s", 6.0),
            away_notice_ms: millis(&mut doc, "away_notice_ms", 4_500),
            move_ms: seconds(&mut doc, "move_s", 1.5),
            keep_ended_ms: seconds(&mut doc, "keep_ended_s", 120.0),
            cpu_share: number(&mut doc, "cpu_share", SUFFICIENT_CPU_SHARE),
            link_mbps: number(&mut doc, "link_mbps", SUFFICIENT_LINK_MBPS),
            hedge_after_ms: doc.number(SECTION, "hedge_after_ms", 0, (0, MAX_SETTING_MS)),
            notify_owner: flag(&mut doc, "notify_owner"),
            early_start_after_ms: doc.number(
                SECTION,
                "early_start_after_ms",
                0,
                (0, MAX_SETTING_MS),
            ),
            max_direct_workers: doc.number(
                SECTION,
                "max_direct_workers",
                DEFAULT_MAX_DIRECT_WORKERS,
                (0, MAX_DIRECT_WORKERS_LIMIT),
            ),
            remote_factor: number(&mut doc, "remote_factor", DEFAULT_REMOTE_FACTOR),
            memory_mib: doc.number(SECTION, "memory_mib", 0, (0, MAX_MEMORY_MIB)),
            callers_memory_mib: doc.number(SECTION, "callers_memory_mib", 0, (0, MAX_MEMORY_MIB)),
            max_connections: doc.number(SECTION, "max_connections", 0, (0, MAX_CONNECTIONS_LIMIT)),
        };
        let errors = doc.finish(&[], &[SECTION]);
        if errors.is_empty() { Ok(settings) } else { Err(errors) }
    }
}

/// Returns whether a value is missing or empty: a template leaves values empty that
/// a deployment doesn't provide.
fn is_unset(doc: &mut Document<'_>, key: &str) -> bool {
    doc.text(SECTION, key).is_none_or(|text| text.is_empty())
}

fn millis(doc: &mut Document<'_>, key: &str, default_ms: u64) -> u64 {
    if is_unset(doc, key) {
        return default_ms;
    }
    doc.number(SECTION, key, default_ms, (1, MAX_SETTING_MS))
}

fn number(doc: &mut Document<'_>, key: &str, default: f64) -> f64 {
    if is_unset(doc, key) {
        return default;
    }
    doc.value(SECTION, key, default, "a number")
}

/// Reads a switch; off unless set.
fn flag(doc: &mut Document<'_>, key: &str) -> bool {
    doc.text(SECTION, key).is_some_and(|text| text == "on")
}

/// Reads a duration in seconds; returns it in milliseconds.
fn seconds(doc: &mut Document<'_>, key: &str, default_s: f64) -> u64 {
    if is_unset(doc, key) {
        return (default_s * 1_000.0) as u64;
    }
    let seconds = doc.value(SECTION, key, default_s, "a number of seconds");
    (seconds * 1_000.0) as u64
}
