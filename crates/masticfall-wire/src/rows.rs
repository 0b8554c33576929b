//! Rows in the platform's table service, and their keys.

use indexmap::{IndexMap, IndexSet};
use masticfall_core::escrow::GrantRow;
use masticfall_core::id::{
    DataCentre, Incarnation, InstanceName, JobId, KeyId, Name, PoolName, Revision, TeamName,
    WaveName,
};
use masticfall_core::key::KeyHash;
use serde::{Deserialize, Serialize};

/// Key of the row with the configuration revision in force.
pub const CONFIG_HEAD_KEY: &str = "config/head";
/// Prefix of the rows of accepted configurations.
pub const CONFIG_PREFIX: &str = "config/revision/";
/// Key of the row of withdrawn API keys.
pub const WITHDRAWN_KEY: &str = "keys/withdrawn";
/// Prefix of the rows of entry processes.
pub const MEMBER_PREFIX: &str = "member/";
/// Prefix of the rows of instances.
pub const INSTANCE_PREFIX: &str = "instance/";
/// Prefix of the rows of jobs in a non-final state, in all data centres.
pub const ACTIVE_JOBS_PREFIX: &str = "job/active/";
/// Prefix of the rows of waves.
pub const WAVE_PREFIX: &str = "wave/";
/// Prefix of the rows of team limits.
pub const LIMIT_PREFIX: &str = "limit/";
/// Prefix of the rows of target slots, one per data centre.
pub const SLOTS_PREFIX: &str = "slots/";

/// Returns the key of an accepted configuration; keys sort in the order of revisions.
pub fn config_key(revision: Revision) -> String {
    format!("{CONFIG_PREFIX}{:012}", revision.0)
}

/// Returns the key of the row that changes with every change to a data centre's instances.
pub fn instances_head_key(data_centre: &DataCentre) -> String {
    format!("head/instances/{data_centre}")
}

/// Returns the key of the row that changes with every change by callers to a data centre's jobs.
pub fn jobs_head_key(data_centre: &DataCentre) -> String {
    format!("head/jobs/{data_centre}")
}

/// Returns the key of the row that changes whenever an instance is taken out of a pool.
pub fn pool_key(pool: &PoolName) -> String {
    format!("pool/{pool}")
}

/// Returns the prefix of the rows of a data centre's entry processes.
pub fn members_prefix(data_centre: &DataCentre) -> String {
    format!("{MEMBER_PREFIX}{data_centre}/")
}

/// Returns the key of an entry process's row.
pub fn member_key(data_centre: &DataCentre, who: &Incarnation) -> String {
    format!("{MEMBER_PREFIX}{data_centre}/{who}")
}

/// Returns the prefix of the rows of a data centre's instances.
pub fn instances_prefix(data_centre: &DataCentre) -> String {
    format!("{INSTANCE_PREFIX}{data_centre}/")
}

/// Returns the key of an instance's row.
pub fn instance_key(data_centre: &DataCentre, name: &InstanceName) -> String {
    format!("{INSTANCE_PREFIX}{data_centre}/{name}")
}

/// Returns the prefix of the rows of a data centre's jobs in a non-final state.
pub fn active_jobs_prefix(data_centre: &DataCentre) -> String {
    format!("{ACTIVE_JOBS_PREFIX}{data_centre}/")
}

/// Returns the key of a job in a non-final state.
pub fn active_job_key(data_centre: &DataCentre, job: &JobId) -> String {
    format!("{ACTIVE_JOBS_PREFIX}{data_centre}/{job}")
}

/// Returns the key of a job in a final state.
pub fn final_job_key(job: &JobId) -> String {
    format!("job/final/{job}")
}

/// Returns the key of a wave.
pub fn wave_key(wave: &WaveName) -> String {
    format!("{WAVE_PREFIX}{wave}")
}

/// Returns the key of a team's limit.
pub fn limit_key(team: &TeamName) -> String {
    format!("{LIMIT_PREFIX}{team}")
}

/// Returns the key of a data centre's target slots.
pub fn slots_key(data_centre: &DataCentre) -> String {
    format!("{SLOTS_PREFIX}{data_centre}")
}

/// Returns the key of a data centre's planner lease.
pub fn planner_key(data_centre: &DataCentre) -> String {
    format!("planner/{data_centre}")
}

/// Returns the key of an idempotency record. The caller's key is hashed, since it may contain any
/// characters.
pub fn idempotency_key(team: &TeamName, caller_key: &str) -> String {
    format!("order/{team}/{}", KeyHash::of(caller_key).to_hex())
}

/// An accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Revision number.
    pub revision: Revision,
    /// The INI document.
    pub text: Name,
    /// Operator who applied it.
    pub by: Name,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Reason for the change, as given by the operator.
    pub note: Name,
}

/// Withdrawal of an API key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// Operator who withdrew it.
    pub by: Name,
    /// Time of withdrawal, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// All key withdrawals; entries are never removed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WithdrawnRow {
    /// Withdrawals by key.
    pub keys: IndexMap<KeyId, Withdrawal>,
}

/// An entry process's lease and addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Data centre of the process.
    pub data_centre: DataCentre,
    /// Address of the HTTP port, as `ip:port`.
    pub http: Name,
    /// Address of the peer port, as `ip:port`.
    pub peer: Name,
    /// Number of lease renewals so far.
    pub renewals: u64,
    /// Processes that may reclaim the base units of this one.
    pub members: IndexSet<Incarnation>,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// Configuration revision in force at the process.
    pub revision: Revision,
}

/// A planner's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerRow {
    /// Process that holds the lease.
    pub holder: Incarnation,
    /// Fencing token; increases with each holder.
    pub epoch: u64,
    /// Number of lease renewals so far.
    pub renewals: u64,
}

/// Slot grants of all targets of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SlotsRow {
    /// Grants by target.
    pub targets: IndexMap<InstanceName, GrantRow>,
}

/// Answer stored for repetitions of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// HTTP headers.
    pub headers: Vec<(String, String)>,
    /// Object that holds the body.
    pub body: Name,
}

/// Idempotency record of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRow {
    /// Unique identifier of the attempt that wrote the record.
    pub attempt_id: Name,
    /// Hash of the method, path and body.
    pub fingerprint: Name,
    /// Stored answer, once there is one.
    pub answer: Option<StoredAnswer>,
    /// Time of dispatch, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}
