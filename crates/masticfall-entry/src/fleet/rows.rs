//! Rows that entry processes keep in the platform's store.

use indexmap::IndexMap;
use masticfall_core::fleet::admission::PoolLoad;
use masticfall_core::fleet::spec::JobRecord;
use masticfall_core::hash::fnv_1a;
use masticfall_core::id::{Incarnation, InstanceName, JobId, Name, PoolName, QueueName, WorkerId};
use masticfall_platform::error::{MalformedSnafu, Result};
use masticfall_platform::fleet::{FleetPlatform, FleetRow, RowKey, RowRange};
use masticfall_wire::{decode, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Table of the cell's ownership and its maintenance waves.
pub const LEAD_TABLE: &str = "lead";

/// Table of accepted jobs that haven't ended.
pub const JOBS_TABLE: &str = "jobs";

/// Table of the processes that serve configurations to their peers.
pub const PEERS_TABLE: &str = "peers";

/// Table of ended jobs, in the same partition as before their end. A new owner does
/// not read it, so that the time of a takeover doesn't grow with completed work.
pub const ENDED_TABLE: &str = "ended";

/// Table of the markers of cancelled jobs that weren't stored, in the partitions of the jobs.
/// It has no followers.
pub const CANCELLED_TABLE: &str = "cancelled";

/// Table of the progress of jobs.
pub const PROGRESS_TABLE: &str = "progress";

/// Partition of the rows of the cell's owner. A cell is the jobs and workers that one
/// process dispatches; currently one cell covers all pools.
pub const CELL_PARTITION: &str = "c0";

/// Partition of the rows of progress, apart from the cell's: a batch of progress and a
/// heartbeat would each wait for the other when the store is slow.
pub const PROGRESS_PARTITION: &str = "p0";

/// Number of partitions of the rows of jobs, apart from the cell's. The store executes the
/// transactions of a partition one after another, 250 a second in known deployments and
/// four when it is slow. Callers submit up to 600 jobs a second, and a partition with more
/// than a second of them waiting refuses the others.
const JOB_PARTITION_COUNT: u64 = 64;

/// Key of the cell's owner row.
pub const OWNER_KEY: &str = "owner";

/// Key of the owner's heartbeat.
pub const HEARTBEAT_KEY: &str = "beat";

/// Key of the latest bid for the cell.
pub const BID_KEY: &str = "bid";

/// Table of instance calls and write sequences; it has no followers.
pub const CALLS_TABLE: &str = "calls";

/// Key of the row of recent instance calls, in [`CALLS_TABLE`].
pub const INSTANCE_CALLS_KEY: &str = "called";

/// Key of the row on which writes of progress are conditional, in [`CALLS_TABLE`] and
/// [`PROGRESS_PARTITION`]; its value is the epoch of the owner that may write.
pub const FENCE_KEY: &str = "fence";

/// Key of the row that orders batches of progress, in [`CALLS_TABLE`] and
/// [`PROGRESS_PARTITION`].
pub const BATCH_KEY: &str = "batch";

/// Prefix of the keys of the open set's rows, in [`CALLS_TABLE`]; a number from 0 follows.
const OPEN_KEY_PREFIX: &str = "open/";

/// Maximum size of a row's value, in bytes, according to the platform's settings files.
pub const MAX_ROW_BYTES: usize = 65_536;

/// The owner of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The process; none after the previous owner released the cell.
    pub process: Option<Incarnation>,
    /// Epoch of the ownership; also the fencing token for workers.
    pub epoch: u32,
    /// Fitness of the owner's instance for dispatching, in percent.
    pub fitness_percent: u32,
    /// Successor that the previous owner designated when it released the cell.
    pub heir: Option<Incarnation>,
    /// Time for which owners of earlier epochs may still extend leases, in milliseconds from
    /// when the row was written; unknown in the rows of earlier versions.
    #[serde(default)]
    pub overlap_ms: Option<u64>,
}

/// A bid: the request of a fitter candidate to be handed the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BidRow {
    /// The bidder.
    pub process: Incarnation,
    /// Epoch of the ownership that it would replace.
    pub epoch: u32,
}

/// A heartbeat of a cell's owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRow {
    /// Epoch of the ownership.
    pub epoch: u32,
    /// Sequence number of the heartbeat.
    pub number: u64,
    /// Jobs without a started task, by queue. Queues without any are omitted: there
    /// may be thousands of queues, and the store limits rows to 64 KiB.
    pub waiting: IndexMap<QueueName, u32>,
    /// Load of the pools with waiting work.
    pub loads: IndexMap<PoolName, PoolLoad>,
    /// Unresponsive workers, with the time after which nothing runs there any more,
    /// in milliseconds. The owner grants such a worker a lease only after a
    /// heartbeat that no longer lists it.
    pub silent_ms: IndexMap<WorkerId, u64>,
    /// Whether the owner of this epoch made the announcement itself. Earlier versions also
    /// repeated that of the previous owner, and don't write this field.
    #[serde(default)]
    pub announces_own: bool,
    /// Last completed round of instance calls.
    pub calls_done: u64,
    /// Number of listed workers.
    #[serde(default)]
    pub workers: u32,
}

/// Instances that an owner may have called recently.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InstanceCallsRow {
    /// Epoch of the ownership.
    pub epoch: u32,
    /// The instances, with the round in which each was last called. A heartbeat
    /// that reports the round as completed proves that the call is over.
    pub called: IndexMap<InstanceName, u64>,
}

/// Returns the key of a row in the cell's partition.
pub fn cell_row_key(table: &'static str, key: impl Into<Name>) -> RowKey {
    RowKey { table, part: Name::from(CELL_PARTITION), key: key.into() }
}

/// Returns the key of a job's row of progress.
pub fn progress_row_key(id: &JobId) -> RowKey {
    let part = Name::from(PROGRESS_PARTITION);
    RowKey { table: PROGRESS_TABLE, part, key: Name::from(id.as_str()) }
}

/// Returns the key of a row of [`CALLS_TABLE`] in the partition of the progress rows.
pub fn progress_call_row_key(key: &str) -> RowKey {
    RowKey { table: CALLS_TABLE, part: Name::from(PROGRESS_PARTITION), key: Name::from(key) }
}

/// Returns the key of a row of the open set; the first one is number 0.
pub fn open_row_key(number: usize) -> RowKey {
    cell_row_key(CALLS_TABLE, format!("{OPEN_KEY_PREFIX}{number}"))
}

/// Returns the key of a row of a job.
pub fn job_row_key(table: &'static str, id: &JobId) -> RowKey {
    RowKey { table, part: job_partition(id), key: Name::from(id.as_str()) }
}

/// Returns the key of the row that asks for a job's cancellation.
pub fn cancel_row_key(id: &JobId) -> RowKey {
    RowKey { key: Name::from(cancel_key(id)), ..job_row_key(JOBS_TABLE, id) }
}

/// Reads one row; returns `None` if it doesn't exist.
///
/// # Errors
/// The platform's failure.
pub async fn read_row(platform: &FleetPlatform, row_key: RowKey) -> Result<Option<FleetRow>> {
    let RowKey { table, part, key } = row_key;
    let to = Name::from(format!("{key}\0"));
    let page = (platform.range)(RowRange { table, part, from: key, to, limit: 1 }).await?;
    Ok(page.rows.into_iter().next().filter(|row| row.value.is_some()))
}

/// Returns the partitions of the rows of jobs.
pub fn job_partitions() -> impl Iterator<Item = Name> {
    (0..JOB_PARTITION_COUNT).map(job_partition_name)
}

fn job_partition_name(number: u64) -> Name {
    Name::from(format!("j{number}"))
}

/// Returns the partition of a job's rows.
pub fn job_partition(id: &JobId) -> Name {
    let hash = fnv_1a(id.as_str().bytes());
    job_partition_name(hash % JOB_PARTITION_COUNT)
}

/// Returns the key of the row that asks for a job's cancellation.
fn cancel_key(id: &JobId) -> String {
    format!("{id}.cancel")
}

/// Returns the job whose cancellation a key asks for.
pub fn cancelled_job(key: &str) -> Option<JobId> {
    key.strip_suffix(".cancel").map(JobId::from)
}

/// Decodes the row of a job, and checks its specification, whose steps refer to each other.
///
/// # Errors
/// [`PlatformError::Malformed`](masticfall_platform::PlatformError::Malformed)
/// when the bytes are not a valid job.
pub fn decode_job(bytes: &[u8]) -> Result<JobRecord> {
    let record: JobRecord = decode_row(bytes)?;
    match record.spec.check() {
        Ok(()) => Ok(record),
        Err(error) => MalformedSnafu { reason: error.to_string() }.fail(),
    }
}

/// Encodes a row's value.
///
/// # Errors
/// [`PlatformError::Malformed`](masticfall_platform::PlatformError::Malformed)
/// when the value can't be encoded.
pub fn encode_row<T: Serialize>(row: &T) -> Result<Vec<u8>> {
    encode(row).or_else(|error| MalformedSnafu { reason: error.to_string() }.fail())
}

/// Decodes a row's value.
///
/// # Errors
/// [`PlatformError::Malformed`](masticfall_platform::PlatformError::Malformed)
/// when the bytes are not a valid value of the type.
pub fn decode_row<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    decode(bytes).or_else(|error| MalformedSnafu { reason: error.to_string() }.fail())
}
