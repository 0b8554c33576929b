//! The seam to a platform that runs fleets of workers: a store of rows with
//! change feeds, the operators' and workers' announcements, orders to workers,
//! machines, and placement advice.
//!
//! An adapter decodes the platform's messages into these types and decides nothing.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use masticfall_core::fleet::config::FleetConfig;
pub use masticfall_core::fleet::machines::MachineState;
use masticfall_core::fleet::report::{StartOutcome, StopOutcome, WorkerReport};
use masticfall_core::fleet::spec::{Resources, TaskKey};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::id::{DataCentre, InstanceName, Name, PoolName, WaveName, WorkerId};

use crate::{Operation, Result};

/// Where a row lies.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RowKey {
    /// Table.
    pub table: &'static str,
    /// Part of the table; a transaction covers one part.
    pub part: Name,
    /// Key within the part.
    pub key: Name,
}

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetRow {
    /// Part.
    pub part: Name,
    /// Key.
    pub key: Name,
    /// Value; none when the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of its last write; a later write has a greater one.
    pub version: u64,
}

/// Writes that take effect together, or not at all.
#[derive(Debug, Clone, Default)]
pub struct RowTransaction {
    /// Versions that rows must have; 0 stands for a row that doesn't exist.
    pub checks: Vec<(RowKey, u64)>,
    /// New values, or none to remove the row.
    pub writes: Vec<(RowKey, Option<Vec<u8>>)>,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowCommit {
    /// It took effect; the rows written have this version.
    Done(u64),
    /// It did not; these are the rows that were checked, as far as they exist.
    Conflict(Vec<FleetRow>),
}

/// A range of rows to read.
#[derive(Debug, Clone)]
pub struct RowRange {
    /// Table.
    pub table: &'static str,
    /// Part.
    pub part: Name,
    /// First key.
    pub from: Name,
    /// Key that ends the range, itself left out; empty for no end.
    pub to: Name,
}

/// Rows of a range, as of one moment.
#[derive(Debug, Clone, Default)]
pub struct RowPage {
    /// Rows by ascending key.
    pub rows: Vec<FleetRow>,
    /// Whether the range goes on after the last row.
    pub has_more: bool,
    /// Newest version of the store.
    pub version: u64,
}

/// Reads all rows of a part of a table, with the version to follow it from.
///
/// Changes after the first page are read again when the table is followed.
///
/// # Errors
/// The platform's failure.
pub async fn read_all(
    range: &Operation<RowRange, RowPage>,
    table: &'static str,
    part: &str,
) -> Result<(Vec<FleetRow>, u64)> {
    let mut rows: Vec<FleetRow> = Vec::new();
    let mut version = None;
    loop {
        // The smallest key after the last one read.
        let from = rows.last().map(|row| format!("{}\0", row.key)).unwrap_or_default();
        let (from, to) = (Name::from(from), Name::from(""));
        let page = range(RowRange { table, part: Name::from(part), from, to }).await?;
        let first_version = *version.get_or_insert(page.version);
        rows.extend(page.rows);
        if !page.has_more {
            return Ok((rows, first_version));
        }
    }
}

/// A request for what has changed.
#[derive(Debug, Clone)]
pub struct FollowRequest {
    /// Table, where the feed isn't of one kind.
    pub table: &'static str,
    /// Version after which changes are wanted.
    pub after: u64,
    /// Time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// What has changed.
#[derive(Debug, Clone)]
pub enum FollowOutcome<T> {
    /// Changes in order, up to this version.
    Changes(Vec<T>, u64),
    /// The store no longer has the history that was asked for.
    HistoryGone,
}

/// An operators' announcement.
#[derive(Debug, Clone)]
pub enum OperatorUpdate {
    /// A configuration.
    Config(Arc<FleetConfig>),
    /// A maintenance wave.
    Wave(WavePlan),
    /// A row that can't be understood; the reason.
    Unreadable(String),
}

/// A maintenance wave as its operators asked for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WavePlan {
    /// Its name.
    pub wave: WaveName,
    /// Instances due.
    pub instances: Vec<InstanceName>,
    /// Time by which all should be done, in milliseconds from its announcement.
    pub finish_within_ms: u64,
    /// Most instances that may be down at once.
    pub max_at_once: u32,
}

/// A workers' announcement.
#[derive(Debug, Clone)]
pub enum WorkerUpdate {
    /// A worker is there, or has changed.
    Listed(WorkerFacts),
    /// A worker isn't listed any more.
    Unlisted(WorkerId),
    /// A row that names no worker that can be used; worker and reason.
    Unreadable(WorkerId, String),
}

/// An order to start a run, as sent.
#[derive(Debug, Clone)]
pub struct StartCall {
    /// Address of the worker.
    pub address: SocketAddr,
    /// The worker that is meant.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub attempt: u32,
    /// What to run.
    pub payload: Name,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// End of the lease, by the worker's clock, in milliseconds.
    pub lease_deadline_ms: u64,
    /// Fencing token.
    pub fencing_token: u32,
    /// Permit of the placement policy.
    pub permit: Option<Name>,
}

/// An order about a run, as sent.
#[derive(Debug, Clone)]
pub struct RunCall {
    /// Address of the worker.
    pub address: SocketAddr,
    /// The worker that is meant.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub attempt: u32,
    /// Fencing token.
    pub fencing_token: u32,
    /// Pace in percent, for orders that set one.
    pub pace_percent: u32,
}

/// A look at a worker.
#[derive(Debug, Clone)]
pub struct PollCall {
    /// Address of the worker.
    pub address: SocketAddr,
    /// The worker that is meant.
    pub worker: WorkerId,
    /// Fencing token.
    pub fencing_token: u32,
    /// Number of the last end that the worker may forget.
    pub ack_cursor: u64,
    /// End of the lease to give, by the worker's clock, in milliseconds.
    pub lease_deadline_ms: Option<u64>,
    /// Time to wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// How a look at a worker ended.
#[derive(Debug, Clone)]
pub enum PollOutcome {
    /// The worker's report.
    Report(WorkerReport),
    /// A dispatcher with a higher fencing token has taken over.
    Fenced,
    /// Another life of the worker answers at the address.
    WrongWorker,
}

/// An instance that workers run on, one life after the other.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub instance: InstanceName,
    /// Its pool.
    pub pool: PoolName,
    /// Where it is in its life.
    pub state: MachineState,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What it offers.
    pub capacity: Resources,
    /// Its worker, if it has one.
    pub worker: Option<WorkerId>,
}

/// A call that changes an instance.
#[derive(Debug, Clone)]
pub struct MachineCall {
    /// The instance.
    pub instance: InstanceName,
    /// Pool to move it to, for a move.
    pub pool: Option<PoolName>,
    /// Wave that it is maintained in, for maintenance.
    pub wave: Option<WaveName>,
    /// Who holds the lease on instances.
    pub holder: Name,
    /// Fencing token.
    pub fencing_token: u32,
}

/// How a change of an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum MachineOutcome {
    /// It has begun, or was done before.
    Done,
    /// A holder with a higher token has called.
    Fenced,
    /// The instance isn't up, or is leaving.
    Busy,
    /// The instance isn't due in that wave.
    NotInWave,
    /// There is no such instance or pool.
    Invalid,
    /// Too many calls; nothing was done.
    Limited,
    /// There was no answer: it may have begun.
    Unknown,
}

/// A question to the placement policy service.
#[derive(Debug, Clone)]
pub struct AdviceCall {
    /// Job, occurrence and step; the index isn't used.
    pub step: TaskKey,
    /// Workers in question.
    pub workers: Vec<WorkerId>,
    /// Time in which the answer has to come, in milliseconds.
    pub timeout_ms: u64,
}

/// Permits to run a step.
#[derive(Debug, Clone)]
pub struct Advice {
    /// Workers that may run the step, with their permits.
    pub permits: Vec<(WorkerId, Name)>,
    /// Time for which the permits hold, in milliseconds.
    pub validity_ms: u64,
}

/// The services of a platform that runs fleets of workers.
#[derive(Clone)]
pub struct FleetPlatform {
    /// Runs a transaction.
    pub transact: Operation<RowTransaction, RowCommit>,
    /// Reads a range of rows.
    pub range: Operation<RowRange, RowPage>,
    /// Follows one of our own tables.
    pub follow: Operation<FollowRequest, FollowOutcome<FleetRow>>,
    /// Reads all operators' announcements, with the version to follow from.
    pub operator_list: Operation<(), (Vec<OperatorUpdate>, u64)>,
    /// Follows the operators' announcements.
    pub operator_follow: Operation<FollowRequest, FollowOutcome<OperatorUpdate>>,
    /// Tells operators whether a wave is done.
    pub report_wave: Operation<(WaveName, bool), ()>,
    /// Reads all workers, with the version to follow from.
    pub worker_list: Operation<(), (Vec<WorkerUpdate>, u64)>,
    /// Follows the workers.
    pub worker_follow: Operation<FollowRequest, FollowOutcome<WorkerUpdate>>,
    /// Orders a start.
    pub start: Operation<StartCall, StartOutcome>,
    /// Orders a stop.
    pub stop: Operation<RunCall, StopOutcome>,
    /// Sets the pace of a run.
    pub pace: Operation<RunCall, StopOutcome>,
    /// Looks at a worker.
    pub poll: Operation<PollCall, PollOutcome>,
    /// Lists all instances.
    pub machines: Operation<(), Vec<Machine>>,
    /// Moves an instance to another pool, or takes it down for maintenance.
    pub change_machine: Operation<MachineCall, MachineOutcome>,
    /// Asks the placement policy service.
    pub advise: Operation<AdviceCall, Advice>,
}

impl fmt::Debug for FleetPlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetPlatform").finish_non_exhaustive()
    }
}
