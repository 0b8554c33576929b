//! Writes that belong to several sequences at once.

use masticfall_core::id::Name;
use masticfall_platform::Result;
use masticfall_platform::fleet::{FleetPlatform, FleetRow, RowCommit, RowKey, RowTransaction};

use super::WriteSequence;
use crate::fleet::rows::{LEAD_TABLE, OWNER_KEY, cell_row_key};

/// Outcome of a joint write.
#[derive(Debug)]
pub enum JointOutcome {
    /// All rows are stored, and no earlier write of any of the sequences can take effect.
    Stored,
    /// The owner row has another version; nothing is stored. The rows that were checked.
    OwnershipLost(Vec<FleetRow>),
}

/// Writes rows on the condition that the owner row has a version, after all earlier writes
/// of the sequences or not at all. Each sequence comes with the new value of its own row.
///
/// # Errors
/// The platform's failure.
pub async fn write_jointly(
    platform: &FleetPlatform,
    owner_version: u64,
    mut sequences: Vec<(&mut WriteSequence, Vec<u8>)>,
    mut writes: Vec<(RowKey, Option<Vec<u8>>)>,
) -> Result<JointOutcome> {
    for (sequence, row) in &mut sequences {
        writes.push((sequence.row_key.clone(), Some(std::mem::take(row))));
    }
    loop {
        let owner = (cell_row_key(LEAD_TABLE, OWNER_KEY), owner_version);
        let own = sequences.iter().map(|(own, _)| (own.row_key.clone(), own.version));
        let checks = std::iter::once(owner).chain(own).collect();
        let transaction = RowTransaction { checks, writes: writes.clone() };
        let rows = match (platform.transact)(transaction).await? {
            RowCommit::Done(version) => {
                for (sequence, _) in &mut sequences {
                    sequence.version = version;
                }
                return Ok(JointOutcome::Stored);
            }
            RowCommit::Conflict(rows) => rows,
        };
        let version_of =
            |key: &str| rows.iter().find(|row| &*row.key == key).map_or(0, |row| row.version);
        if version_of(OWNER_KEY) != owner_version {
            return Ok(JointOutcome::OwnershipLost(rows));
        }
        for (sequence, _) in &mut sequences {
            let key = Name::clone(&sequence.row_key.key);
            let version = version_of(&key);
            if version != sequence.version {
                tracing::debug!(name: "row.behind", row = %key, known = sequence.version, version, "an earlier write took effect late; retrying with the row's new version");
                sequence.version = version;
            }
        }
    }
}
