//! Applies a configuration by compare-and-swap on the current revision.

use std::sync::Arc;

use masticfall_core::config::{ConfigError, read_fleet};
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{Name, Revision};
use masticfall_platform::{Commit, Condition, PlatformError, Row, Transaction};
use masticfall_wire::rows::{CONFIG_HEAD_KEY, ConfigRow, config_key};

use crate::context::{Node, wall_ms};
use crate::refusal::{Refusal, Result};
use crate::sync;

/// A configuration to apply.
#[derive(Debug, Clone)]
pub struct ApplyConfig {
    /// Revision on which the operator based the change.
    pub expected: Revision,
    /// The new document.
    pub text: Name,
    /// Operator who applies it.
    pub by: Name,
    /// The operator's reason for the change.
    pub note: Name,
}

/// Applies a configuration and returns its revision.
///
/// # Errors
/// [`ErrorKind::InvalidConfig`] with all errors, [`ErrorKind::PreconditionFailed`]
/// with the change that was applied first, or the platform's failure.
pub async fn run(node: &Arc<Node>, apply: ApplyConfig) -> Result<Revision> {
    if let Err(errors) = read_fleet(&apply.text) {
        return Err(Refusal::new(ErrorKind::InvalidConfig, describe(&errors)));
    }
    let revision = apply.expected.next();
    let row = ConfigRow {
        revision,
        text: apply.text,
        by: apply.by,
        wall_ms: wall_ms(),
        note: apply.note,
    };
    let tables = &node.platform.tables;
    let head = tables.get(CONFIG_HEAD_KEY).await?;
    let current: Revision = head.as_ref().map(Row::decode).transpose()?.unwrap_or_default();
    if current != apply.expected {
        return Err(race_conflict(node, current, apply.expected).await);
    }
    let key = config_key(revision);
    let transaction = Transaction::new()
        .replace(CONFIG_HEAD_KEY, head.as_ref(), &revision)?
        .check(&key, Condition::Absent)
        .put(&key, &row)?;
    match (tables.transact)(transaction).await {
        Ok(Commit::Done(_)) => {}
        Ok(Commit::Conflict(_)) => return Err(race_conflict(node, current, apply.expected).await),
        Err(PlatformError::Unknown { reason }) => read_back(node, &row, &reason).await?,
        Err(error) => return Err(error.into()),
    }
    sync::adopt_config(node, row);
    Ok(revision)
}

/// Reads the row back to settle a write with an unknown outcome.
async fn read_back(node: &Arc<Node>, row: &ConfigRow, reason: &str) -> Result<()> {
    let found = node.platform.tables.get_as::<ConfigRow>(&config_key(row.revision)).await;
    match found {
        Ok(Some((_, found))) if found == *row => Ok(()),
        Ok(Some((_, found))) => Err(conflict_with(&found)),
        _ => Err(Refusal::new(ErrorKind::PlatformUnknown, reason)),
    }
}

async fn race_conflict(node: &Arc<Node>, current: Revision, expected: Revision) -> Refusal {
    let key = config_key(expected.next());
    if let Ok(Some((_, found))) = node.platform.tables.get_as::<ConfigRow>(&key).await {
        conflict_with(&found)
    } else {
        let detail = format!("expected revision {expected}, but {current} is current");
        Refusal::new(ErrorKind::PreconditionFailed, detail)
    }
}

fn conflict_with(found: &ConfigRow) -> Refusal {
    let ConfigRow { revision, by, note, .. } = found;
    let detail = format!("revision {revision} by {by} came between ({note})");
    Refusal::new(ErrorKind::PreconditionFailed, detail)
}

/// Formats errors, one per line.
pub fn describe(errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(ConfigError::to_string).collect();
    lines.join("\n")
}
