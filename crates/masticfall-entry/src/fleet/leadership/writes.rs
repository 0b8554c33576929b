//! Writes that are conditional on the ownership of the cell.
//!
//! In the cell's partition they are conditional on the owner row, in the partition of the
//! progress rows on the fence row, which only the owner of a later epoch replaces.

mod joint;

use masticfall_platform::Result;
use masticfall_platform::fleet::{FleetRow, RowCommit, RowKey, RowTransaction};

pub use joint::{JointOutcome, write_jointly};

use crate::fleet::context::{Fleet, Ownership};
use crate::fleet::fence::ProgressFence;
use crate::fleet::rows::{FENCE_KEY, LEAD_TABLE, OWNER_KEY, cell_row_key, progress_call_row_key};

/// The row on whose version the writes of an owner are conditional.
#[derive(Debug, Clone)]
pub struct WriteCondition {
    epoch: u32,
    row_key: RowKey,
    version: u64,
}

impl From<Ownership> for WriteCondition {
    fn from(Ownership { epoch, version, .. }: Ownership) -> Self {
        Self { epoch, row_key: cell_row_key(LEAD_TABLE, OWNER_KEY), version }
    }
}

impl From<ProgressFence> for WriteCondition {
    fn from(ProgressFence { epoch, version }: ProgressFence) -> Self {
        Self { epoch, row_key: progress_call_row_key(FENCE_KEY), version }
    }
}

/// A row whose version orders the writes of one kind. A write that got no reply
/// may still take effect seconds later, and must not overwrite a newer one.
#[derive(Debug, Clone)]
pub struct WriteSequence {
    row_key: RowKey,
    version: u64,
}

impl WriteSequence {
    /// Starts a sequence whose row may exist already.
    pub fn new(row_key: RowKey) -> Self {
        Self { row_key, version: 0 }
    }
}

/// Writes rows as [`write_as_owner`] does, after all earlier writes of the sequence or not
/// at all; `row` is the new value of the sequence's own row. Returns `false` when
/// the ownership was lost.
///
/// # Errors
/// The platform's failure.
pub async fn write_ordered(
    fleet: &Fleet,
    condition: impl Into<WriteCondition>,
    sequence: &mut WriteSequence,
    row: Vec<u8>,
    mut writes: Vec<(RowKey, Option<Vec<u8>>)>,
) -> Result<bool> {
    let condition = condition.into();
    writes.push((sequence.row_key.clone(), Some(row)));
    loop {
        let checks = vec![
            (condition.row_key.clone(), condition.version),
            (sequence.row_key.clone(), sequence.version),
        ];
        let transaction = RowTransaction { checks, writes: writes.clone() };
        let rows = match (fleet.platform.transact)(transaction).await? {
            RowCommit::Done(version) => {
                sequence.version = version;
                return Ok(true);
            }
            RowCommit::Conflict(rows) => rows,
        };
        let version_of =
            |key: &str| rows.iter().find(|row| &*row.key == key).map_or(0, |row| row.version);
        if version_of(&condition.row_key.key) != condition.version {
            step_down_on_conflict(fleet, &condition, &rows);
            return Ok(false);
        }
        let version = version_of(&sequence.row_key.key);
        tracing::debug!(name: "row.behind", row = %sequence.row_key.key, known = sequence.version, version, "an earlier write took effect late; retrying with the row's new version");
        sequence.version = version;
    }
}

/// Writes rows on the condition that this process owns the cell; steps down and
/// returns `false` when it no longer does. The rows are in the partition of the
/// condition's row.
///
/// # Errors
/// The platform's failure.
pub async fn write_as_owner(
    fleet: &Fleet,
    condition: impl Into<WriteCondition>,
    writes: Vec<(RowKey, Option<Vec<u8>>)>,
) -> Result<bool> {
    let condition = condition.into();
    let checks = vec![(condition.row_key.clone(), condition.version)];
    match (fleet.platform.transact)(RowTransaction { checks, writes }).await? {
        RowCommit::Done(_) => Ok(true),
        RowCommit::Conflict(rows) => {
            step_down_on_conflict(fleet, &condition, &rows);
            Ok(false)
        }
    }
}

pub(super) fn step_down_on_conflict(fleet: &Fleet, condition: &WriteCondition, rows: &[FleetRow]) {
    if &*condition.row_key.key == FENCE_KEY {
        fleet.metrics.fenced_writes.inc();
    } else {
        super::observe_rows(fleet, rows);
    }
    if fleet.is_owner(condition.epoch) {
        let reason = if &*condition.row_key.key == FENCE_KEY {
            "a later owner has fenced the progress rows"
        } else {
            "the owner row has changed"
        };
        super::step_down(fleet, condition.epoch, reason);
    }
}
