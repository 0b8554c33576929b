//! Interface to a platform that runs fleets of workers: a versioned row store
//! with change feeds, operator and worker updates, requests to workers,
//! instances, and placement advice.
//!
//! An adapter translates the platform's messages into these types and makes no decisions.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexSet;
use masticfall_core::fleet::config::FleetConfig;
pub use masticfall_core::fleet::machines::MachineState;
use masticfall_core::fleet::report::{StartOutcome, StopOutcome, WorkerReport};
use masticfall_core::fleet::spec::{Resources, TaskKey};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::id::{DataCentre, InstanceName, Name, PoolName, WaveName, WorkerId};

use crate::traffic::Traffic;
use crate::{Operation, Result};

/// Full key of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RowKey {
    /// Table.
    pub table: &'static str,
    /// Partition of the table; a transaction covers a single partition.
    pub part: Name,
    /// Key within the partition.
    pub key: Name,
}

/// A row as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetRow {
    /// Partition of the table.
    pub part: Name,
    /// Key within the partition.
    pub key: Name,
    /// Value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the last write; versions increase with every write.
    pub version: u64,
}

/// Writes that are applied atomically if all checks hold.
#[derive(Debug, Clone, Default)]
pub struct RowTransaction {
    /// Versions that rows must have; 0 means that the row must not exist.
    pub checks: Vec<(RowKey, u64)>,
    /// New values; `None` removes the row.
    pub writes: Vec<(RowKey, Option<Vec<u8>>)>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowCommit {
    /// Committed; the written rows have this version.
    Done(u64),
    /// Not committed; holds those of the checked rows that exist.
    Conflict(Vec<FleetRow>),
}

/// A range of rows to read.
#[derive(Debug, Clone)]
pub struct RowRange {
    /// Table.
    pub table: &'static str,
    /// Partition of the table.
    pub part: Name,
    /// First key, inclusive.
    pub from: Name,
    /// End key, exclusive; empty for an unbounded range.
    pub to: Name,
    /// Maximum number of rows to return.
    pub limit: u32,
}

/// A consistent page of a range read.
#[derive(Debug, Clone, Default)]
pub struct RowPage {
    /// Rows in ascending key order.
    pub rows: Vec<FleetRow>,
    /// Whether the range has rows after this page.
    pub has_more: bool,
    /// Latest version of the store at the time of the read.
    pub version: u64,
}

/// Maximum number of rows in a page, by the platform's contract.
pub const MAX_PAGE_ROWS: u32 = 500;

/// Reads all rows of a partition of a table, `page_rows` at a time, and returns them with
/// the version from which to follow the table.
///
/// This is the version of the first page: rows that change while later pages
/// are read show up again in the feed.
///
/// # Errors
/// Returns the platform's error.
pub async fn read_all(
    range: &Operation<RowRange, RowPage>,
    table: &'static str,
    part: &str,
    page_rows: u32,
) -> Result<(Vec<FleetRow>, u64)> {
    let mut rows: Vec<FleetRow> = Vec::new();
    let mut version = None;
    loop {
        // The smallest key greater than the last one read.
        let from = rows.last().map(|row| format!("{}\0", row.key)).unwrap_or_default();
        let (from, to) = (Name::from(from), Name::from(""));
        let limit = page_rows;
        let page = range(RowRange { table, part: Name::from(part), from, to, limit }).await?;
        let first_version = *version.get_or_insert(page.version);
        rows.extend(page.rows);
        if !page.has_more {
            return Ok((rows, first_version));
        }
    }
}

/// Request for changes after a version.
#[derive(Debug, Clone)]
pub struct FollowRequest {
    /// Table to follow; ignored by feeds that cover one fixed table.
    pub table: &'static str,
    /// Returns changes with a greater version than this.
    pub after: u64,
    /// Maximum time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// Outcome of a follow request.
#[derive(Debug, Clone)]
pub enum FollowOutcome<T> {
    /// Changes in order, and the version up to which they are complete.
    Changes(Vec<T>, u64),
    /// The store no longer keeps the requested history; list the rows again.
    HistoryGone,
}

/// An update published by operators.
#[derive(Debug, Clone)]
pub enum OperatorUpdate {
    /// A configuration.
    Config(Arc<FleetConfig>),
    /// A maintenance wave.
    Wave(WavePlan),
    /// A data centre is evacuated, or its evacuation was lifted.
    Evacuation {
        /// The data centre.
        data_centre: DataCentre,
        /// Whether it is evacuated from now on.
        is_evacuated: bool,
    },
    /// The evacuated data centres; all others aren't evacuated. A list has exactly one.
    Evacuated(IndexSet<DataCentre>),
    /// A row that could not be decoded, with the reason.
    Unreadable(String),
}

/// A maintenance wave as requested by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WavePlan {
    /// Name of the wave.
    pub wave: WaveName,
    /// Instances to maintain.
    pub instances: Vec<InstanceName>,
    /// Time by which the wave should be complete, in milliseconds from its announcement.
    pub finish_within_ms: u64,
    /// Maximum number of instances that may be down at once.
    pub max_at_once: u32,
}

/// A change in the list of workers.
#[derive(Debug, Clone)]
pub enum WorkerUpdate {
    /// A worker was added or has changed.
    Listed(WorkerFacts),
    /// A worker is no longer listed.
    Unlisted(WorkerId),
    /// A row that does not describe a usable worker, with the reason.
    Unreadable(WorkerId, String),
}

/// Request to start a run on a worker.
#[derive(Debug, Clone)]
pub struct StartCall {
    /// Address of the worker.
    pub address: SocketAddr,
    /// Worker that the request is meant for.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// Number of the attempt.
    pub attempt: u32,
    /// Payload to run.
    pub payload: Name,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// End of the lease, by the worker's clock, in milliseconds.
    pub lease_deadline_ms: u64,
    /// Start time of the worker's incarnation whose clock that is, in milliseconds since the
    /// Unix epoch. The request reaches no other one; `None` if the platform doesn't tell them
    /// apart.
    pub born_wall_ms: Option<u64>,
    /// Fencing token.
    pub fencing_token: u32,
    /// Permit of the placement policy service, if any.
    pub permit: Option<Name>,
}

/// Request to stop a run or to set its pace.
#[derive(Debug, Clone)]
pub struct RunCall {
    /// Address of the worker.
    pub address: SocketAddr,
    /// Worker that the request is meant for.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// Number of the attempt.
    pub attempt: u32,
    /// Fencing token.
    pub fencing_token: u32,
    /// Pace in percent; ignored by stop requests.
    pub pace_percent: u32,
}

/// Request to poll a worker for its report and to extend its lease.
#[derive(Debug, Clone)]
pub struct PollCall {
    /// Address of the worker.
    pub address: SocketAddr,
    /// Worker that the request is meant for.
    pub worker: WorkerId,
    /// Fencing token.
    pub fencing_token: u32,
    /// Start time of the worker's incarnation that the cursor and the lease are meant for, in
    /// milliseconds since the Unix epoch. Another one only reports; `None` if the platform
    /// doesn't tell them apart.
    pub born_wall_ms: Option<u64>,
    /// Number of the last ended run that the worker may discard.
    pub ack_cursor: u64,
    /// End of the lease to grant, by the worker's clock, in milliseconds.
    pub lease_deadline_ms: Option<u64>,
    /// Maximum time to wait for a run to end, in milliseconds.
    pub wait_ms: u64,
}

/// Outcome of a poll.
#[derive(Debug, Clone)]
pub enum PollOutcome {
    /// The worker's report.
    Report(WorkerReport),
    /// A dispatcher with a higher fencing token has taken over.
    Fenced,
    /// Another incarnation of the worker answers at the address.
    WrongWorker,
}

/// An instance, on which one worker incarnation runs after another.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Pool of the instance.
    pub pool: PoolName,
    /// Lifecycle state.
    pub state: MachineState,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Total resources of the instance.
    pub capacity: Resources,
    /// Worker that runs on the instance, if any.
    pub worker: Option<WorkerId>,
}

/// Returns whether a call may still be sent.
pub type SendCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// Request to move an instance or to take it down for maintenance.
#[derive(Clone)]
pub struct MachineCall {
    /// The instance.
    pub instance: InstanceName,
    /// Destination pool of a move.
    pub pool: Option<PoolName>,
    /// Wave of a maintenance.
    pub wave: Option<WaveName>,
    /// Process that holds the lease on instances.
    pub holder: Name,
    /// Fencing token.
    pub fencing_token: u32,
    /// Checked right before the request leaves, when the call has waited for a connection:
    /// some platforms don't fence these calls, so a late one must not be sent.
    pub may_send: SendCheck,
}

impl fmt::Debug for MachineCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MachineCall").field("instance", &self.instance).finish_non_exhaustive()
    }
}

/// Outcome of a change to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum MachineOutcome {
    /// The change has begun, or was made before.
    Done,
    /// A holder with a higher fencing token has made a request.
    Fenced,
    /// The instance is not up, or is leaving.
    Busy,
    /// The instance is not part of that wave.
    NotInWave,
    /// The instance or pool does not exist.
    Invalid,
    /// Rate limit exceeded; nothing was done.
    Limited,
    /// Not sent, since [`MachineCall::may_send`] forbade it.
    NotSent,
    /// No response: the change may have begun.
    Unknown,
}

/// Request to the placement policy service.
#[derive(Debug, Clone)]
pub struct AdviceCall {
    /// Job, occurrence and step; the index is ignored.
    pub step: TaskKey,
    /// Candidate workers.
    pub workers: Vec<WorkerId>,
    /// Timeout of the request, in milliseconds.
    pub timeout_ms: u64,
}

/// Permits to run a step, as issued by the placement policy service.
#[derive(Debug, Clone)]
pub struct Advice {
    /// Workers that may run the step, with their permits.
    pub permits: Vec<(WorkerId, Name)>,
    /// Validity of the permits, in milliseconds.
    pub validity_ms: u64,
}

/// The services of a platform that runs fleets of workers.
#[derive(Clone)]
pub struct FleetPlatform {
    /// Runs a transaction.
    pub transact: Operation<RowTransaction, RowCommit>,
    /// Reads a range of rows.
    pub range: Operation<RowRange, RowPage>,
    /// Follows the changes of one of this program's own tables.
    pub follow: Operation<FollowRequest, FollowOutcome<FleetRow>>,
    /// Reads all operator updates, with the version to follow from: evacuations as one
    /// [`OperatorUpdate::Evacuated`], which comes first.
    pub operator_list: Operation<(), (Vec<OperatorUpdate>, u64)>,
    /// Follows the operator updates.
    pub operator_follow: Operation<FollowRequest, FollowOutcome<OperatorUpdate>>,
    /// Reports to operators whether a wave is complete.
    pub report_wave: Operation<(WaveName, bool), ()>,
    /// Lists all workers, with the version to follow from.
    pub worker_list: Operation<(), (Vec<WorkerUpdate>, u64)>,
    /// Follows the changes in the list of workers.
    pub worker_follow: Operation<FollowRequest, FollowOutcome<WorkerUpdate>>,
    /// Starts a run.
    pub start: Operation<StartCall, StartOutcome>,
    /// Stops a run.
    pub stop: Operation<RunCall, StopOutcome>,
    /// Sets the pace of a run.
    pub pace: Operation<RunCall, StopOutcome>,
    /// Polls a worker for its report and extends its lease.
    pub poll: Operation<PollCall, PollOutcome>,
    /// Lists all instances.
    pub machines: Operation<(), Vec<Machine>>,
    /// Moves an instance to another pool, or takes it down for maintenance.
    pub change_machine: Operation<MachineCall, MachineOutcome>,
    /// Requests placement permits from the policy service.
    pub advise: Operation<AdviceCall, Advice>,
    /// Traffic of all operations.
    pub traffic: Arc<Traffic>,
}

impl fmt::Debug for FleetPlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetPlatform").finish_non_exhaustive()
    }
}
