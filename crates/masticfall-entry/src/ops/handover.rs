//! The report for the handover between shifts of operators.

use std::sync::Arc;

use indexmap::IndexMap;
use masticfall_core::id::{
    DataCentre, Incarnation, InstanceName, JobId, Name, Revision, TeamName, WaveName,
};
use masticfall_core::job::{JobRow, JobState};
use masticfall_core::wave::WaveState;
use masticfall_wire::rows::{ACTIVE_JOBS_PREFIX, CONFIG_PREFIX, ConfigRow};
use serde::{Deserialize, Serialize};

use super::waves;
use crate::context::Node;
use crate::membership::{is_live, observe};
use crate::refusal::Result;

/// A wave that is not over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenWave {
    /// Its name.
    pub name: WaveName,
    /// Its state.
    pub state: WaveState,
    /// Number of instances still to be maintained.
    pub pending: usize,
    /// Number of instances that did not return.
    pub failed: usize,
    /// Why it is halted.
    pub reason: Option<Name>,
}

/// A job that waits for an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ParkedJob {
    /// Its identifier.
    pub id: JobId,
    /// Its team.
    pub team: TeamName,
    /// Why it is parked.
    pub reason: Option<Name>,
}

/// An entry process that needs attention.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberIssue {
    /// The process.
    pub process: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The problem: `silent`, `old revision` or `withdrawals not confirmed`.
    pub what: Name,
}

/// An accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its revision.
    pub revision: Revision,
    /// Operator who applied it.
    pub by: Name,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The operator's reason for the change.
    pub note: Name,
}

/// The handover report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Waves that are not over.
    pub waves: Vec<OpenWave>,
    /// Jobs that wait for an operator.
    pub parked: Vec<ParkedJob>,
    /// Workers that get no jobs; known only to the planner of their data centre.
    pub workers_at_fault: Vec<InstanceName>,
    /// Entry processes that need attention.
    pub members: Vec<MemberIssue>,
    /// Units in use, for teams that use all units this process may use.
    pub teams_at_limit: IndexMap<TeamName, u32>,
    /// Configuration changes since the requested time.
    pub changes: Vec<Change>,
}

/// Creates the report, with the configuration changes since `since_wall_ms`.
///
/// # Errors
/// The platform's failure.
pub async fn run(node: &Arc<Node>, since_wall_ms: u64) -> Result<Handover> {
    observe(node).await?;
    let workers_at_fault: Vec<InstanceName> =
        node.state().workers_at_fault.iter().cloned().collect();
    Ok(Handover {
        waves: open_waves(node).await?,
        parked: parked_jobs(node).await?,
        workers_at_fault,
        members: member_issues(node),
        teams_at_limit: teams_at_limit(node),
        changes: changes(node, since_wall_ms).await?,
    })
}

async fn open_waves(node: &Arc<Node>) -> Result<Vec<OpenWave>> {
    let all = waves::list(node).await?;
    let open = all.into_iter().filter(|(_, wave)| !wave.state.is_final());
    let views = open.map(|(name, wave)| OpenWave {
        name,
        state: wave.state,
        pending: wave.pending.len(),
        failed: wave.failed.len(),
        reason: wave.reason,
    });
    Ok(views.collect())
}

async fn parked_jobs(node: &Arc<Node>) -> Result<Vec<ParkedJob>> {
    let mut parked = Vec::new();
    for row in (node.platform.tables.scan)(ACTIVE_JOBS_PREFIX.to_string()).await? {
        let job: JobRow = row.decode()?;
        if job.state == JobState::Parked {
            let id = JobId::from(row.key.rsplit('/').next().unwrap_or_default());
            parked.push(ParkedJob { id, team: job.team, reason: job.reason });
        }
    }
    Ok(parked)
}

fn member_issues(node: &Arc<Node>) -> Vec<MemberIssue> {
    let now_ms = node.now_ms();
    let state = node.state();
    let (revision, digest) = (state.revision(), state.withdrawn_digest());
    let issues = state.members.iter().filter_map(|(process, member)| {
        let what = if !is_live(member, now_ms) {
            "silent"
        } else if member.revision < revision {
            "old revision"
        } else if member.withdrawn_digest != digest {
            "withdrawals not confirmed"
        } else {
            return None;
        };
        Some(MemberIssue {
            process: process.clone(),
            data_centre: member.row.data_centre.clone(),
            what: Name::from(what),
        })
    });
    issues.collect()
}

fn teams_at_limit(node: &Arc<Node>) -> IndexMap<TeamName, u32> {
    let now_ms = node.now_ms();
    let state = node.state();
    let at_limit = state.limit_grants.iter().filter(|(_, local_grant)| {
        local_grant.in_use > 0
            && local_grant.in_use >= state.leases.usable(local_grant.units, now_ms)
    });
    at_limit.map(|(team, local_grant)| (team.clone(), local_grant.in_use)).collect()
}

/// Lists the configuration changes that were accepted since `since_wall_ms`.
///
/// # Errors
/// The platform's failure.
pub async fn changes(node: &Arc<Node>, since_wall_ms: u64) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    for row in (node.platform.tables.scan)(CONFIG_PREFIX.to_string()).await? {
        let ConfigRow { revision, by, wall_ms, note, .. } = row.decode()?;
        if wall_ms >= since_wall_ms {
            changes.push(Change { revision, by, wall_ms, note });
        }
    }
    Ok(changes)
}
