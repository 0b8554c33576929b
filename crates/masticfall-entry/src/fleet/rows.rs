//! Our rows in the platform's store.

use indexmap::IndexMap;
use masticfall_core::fleet::admission::PoolLoad;
use masticfall_core::id::{Incarnation, InstanceName, JobId, Name, PoolName, QueueName, WorkerId};
use masticfall_platform::error::{MalformedSnafu, Result};
use masticfall_platform::fleet::RowKey;
use masticfall_wire::{decode, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Table of the ownership of cells.
pub const LEAD: &str = "lead";

/// Table of accepted jobs that haven't ended.
pub const JOBS: &str = "jobs";

/// Table of the processes that can be asked for configurations.
pub const PEERS: &str = "peers";

/// Table of ended jobs, in the same part as before. A new owner of the cell needn't read them, so that a
/// take-over takes no longer the more work has been done.
pub const ENDED: &str = "ended";

/// Table of the progress of jobs.
pub const PROGRESS: &str = "progress";

/// The cell: the jobs and workers of one dispatcher, and the part that the rows
/// of its owner lie in. One cell covers all pools today.
pub const CELL: &str = "c0";

/// Parts that the rows of jobs are spread over, other than the cell's. The store
/// carries out the transactions of a part one after the other, 250 a second by
/// the deployments that we know; callers hand in up to some 600 jobs a second
/// there, and the owner's own writes must not wait behind them.
pub const JOB_PARTS: [&str; 8] = ["j0", "j1", "j2", "j3", "j4", "j5", "j6", "j7"];

/// Key of a cell's ownership.
pub const OWNER_KEY: &str = "owner";

/// Key of the sign of life of a cell's owner.
pub const BEAT_KEY: &str = "beat";

/// Key of the request of a fitter instance for the cell.
pub const BID_KEY: &str = "bid";

/// Table of the calls about instances; nobody follows it.
pub const CALLS: &str = "calls";

/// Key of the owner's row in [`CALLS`].
pub const CALLED_KEY: &str = "called";

/// Key of the row by which batches of progress follow each other, in [`CALLS`].
pub const BATCH_KEY: &str = "batch";

/// Largest value of a row, in bytes, by the platform's settings files.
pub const MAX_ROW_BYTES: usize = 65_536;

/// Who owns a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The process; none when the last owner gave the cell up.
    pub process: Option<Incarnation>,
    /// Number of the ownership; also the fencing token towards workers.
    pub epoch: u32,
    /// How fit the owner's instance is to dispatch, in percent.
    pub fitness_percent: u32,
    /// Whom the last owner gave the cell up for.
    pub heir: Option<Incarnation>,
}

/// A request of a fitter instance for the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BidRow {
    /// The process.
    pub process: Incarnation,
    /// Number of the ownership that it would end.
    pub epoch: u32,
}

/// A sign of life of a cell's owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatRow {
    /// Number of the ownership.
    pub epoch: u32,
    /// Number of the sign of life.
    pub number: u64,
    /// Jobs without a started task, by queue; queues without any are left out,
    /// since there may be thousands, and the store takes rows of 64 KiB.
    pub waiting: IndexMap<QueueName, u32>,
    /// Load of the pools that work waits for.
    pub loads: IndexMap<PoolName, PoolLoad>,
    /// Silent workers, with the time after which nothing runs there any more, in
    /// milliseconds. The owner gives them no lease before it has said that they
    /// answer again.
    pub silent_ms: IndexMap<WorkerId, u64>,
    /// Rounds of calls about instances that are over.
    pub calls_done: u64,
}

/// Instances that an owner may have called lately.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CallsRow {
    /// Number of the ownership.
    pub epoch: u32,
    /// The instances, with the round in which each was called last. A sign of
    /// life that counts the round as done proves that the call is over.
    pub called: IndexMap<InstanceName, u64>,
}

/// Returns a row's place.
pub fn place(table: &'static str, key: impl Into<Name>) -> RowKey {
    RowKey { table, part: Name::from(CELL), key: key.into() }
}

/// Returns the place of a row of a job.
pub fn job_place(table: &'static str, id: &JobId) -> RowKey {
    RowKey { table, part: Name::from(job_part(id)), key: Name::from(id.as_str()) }
}

/// Returns the place of the row that asks for a job's cancellation.
pub fn cancel_place(id: &JobId) -> RowKey {
    RowKey { key: Name::from(cancel_key(id)), ..job_place(JOBS, id) }
}

/// Returns the part that a job's rows lie in.
pub fn job_part(id: &JobId) -> &'static str {
    // FNV-1a, so that identifiers that are counted up are spread, too.
    let hash = id.as_str().bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    JOB_PARTS[(hash % JOB_PARTS.len() as u64) as usize]
}

/// Returns the key of the row that asks for a job's cancellation.
fn cancel_key(id: &JobId) -> String {
    format!("{id}.cancel")
}

/// Returns the job whose cancellation a key asks for.
pub fn cancelled_job(key: &str) -> Option<JobId> {
    key.strip_suffix(".cancel").map(JobId::from)
}

/// Encodes a row's value.
///
/// # Errors
/// [`PlatformError::Malformed`](masticfall_platform::PlatformError::Malformed)
/// when the value can't be expressed.
pub fn value<T: Serialize>(row: &T) -> Result<Vec<u8>> {
    encode(row).or_else(|error| MalformedSnafu { reason: error.to_string() }.fail())
}

/// Decodes a row's value.
///
/// # Errors
/// [`PlatformError::Malformed`](masticfall_platform::PlatformError::Malformed)
/// when the value isn't of the type.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    decode(bytes).or_else(|error| MalformedSnafu { reason: error.to_string() }.fail())
}
