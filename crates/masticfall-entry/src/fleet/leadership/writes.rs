//! Writes that are conditional on the ownership of the cell.

mod joint;

use masticfall_platform::Result;
use masticfall_platform::fleet::{FleetRow, RowCommit, RowKey, RowTransaction};

pub use joint::{JointOutcome, write_jointly};

use crate::fleet::context::{Fleet, Ownership};
use crate::fleet::rows::{LEAD_TABLE, OWNER_KEY, cell_row_key};

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
    ownership: Ownership,
    sequence: &mut WriteSequence,
    row: Vec<u8>,
    mut writes: Vec<(RowKey, Option<Vec<u8>>)>,
) -> Result<bool> {
    writes.push((sequence.row_key.clone(), Some(row)));
    loop {
        let checks = vec![
            (cell_row_key(LEAD_TABLE, OWNER_KEY), ownership.version),
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
        if version_of(OWNER_KEY) != ownership.version {
            step_down_on_conflict(fleet, ownership, &rows);
            return Ok(false);
        }
        let version = version_of(&sequence.row_key.key);
        tracing::debug!(name: "row.behind", row = %sequence.row_key.key, known = sequence.version, version, "an earlier write took effect late; retrying with the row's new version");
        sequence.version = version;
    }
}

/// Writes rows on the condition that this process owns the cell; steps down and
/// returns `false` when it no longer does.
///
/// # Errors
/// The platform's failure.
pub async fn write_as_owner(
    fleet: &Fleet,
    ownership: Ownership,
    writes: Vec<(RowKey, Option<Vec<u8>>)>,
) -> Result<bool> {
    let checks = vec![(cell_row_key(LEAD_TABLE, OWNER_KEY), ownership.version)];
    match (fleet.platform.transact)(RowTransaction { checks, writes }).await? {
        RowCommit::Done(_) => Ok(true),
        RowCommit::Conflict(rows) => {
            step_down_on_conflict(fleet, ownership, &rows);
            Ok(false)
        }
    }
}

pub(super) fn step_down_on_conflict(fleet: &Fleet, ownership: Ownership, rows: &[FleetRow]) {
    super::observe_rows(fleet, rows);
    if fleet.is_owner(ownership.epoch) {
        super::step_down(fleet, "the owner row has changed");
    }
}
