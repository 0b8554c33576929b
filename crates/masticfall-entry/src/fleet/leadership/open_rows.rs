//! The rows of the open set.
//!
//! The first row orders the writes of all of them, so that it is the row of a write
//! sequence. A set that shrinks leaves rows behind, which the first row doesn't count.

use masticfall_core::fleet::board::FoundOpenSet;
use masticfall_core::fleet::open_set::{OpenContent, OpenRow};
use masticfall_platform::Result;
use masticfall_platform::fleet::{FleetRow, RowKey};

use crate::fleet::rows::{decode_row, encode_row, open_row_key};

/// An open set as written: the value of its first row, and the others.
pub(super) type EncodedRows = (Vec<u8>, Vec<(RowKey, Option<Vec<u8>>)>);

/// Encodes an open set.
///
/// # Errors
/// A set that can't be encoded.
pub(super) fn encode(epoch: u32, content: &OpenContent) -> Result<EncodedRows> {
    let rows = content.to_rows(epoch);
    let mut first = Vec::new();
    let mut others = Vec::new();
    for (number, row) in rows.iter().enumerate() {
        let bytes = encode_row(row)?;
        if number == 0 {
            first = bytes;
        } else {
            others.push((open_row_key(number), Some(bytes)));
        }
    }
    Ok((first, others))
}

/// Decodes the open set among the rows of its table.
pub(super) fn decode(rows: &[FleetRow]) -> FoundOpenSet {
    let value = |number: usize| {
        let key = open_row_key(number).key;
        rows.iter().find(|row| row.key == key)?.value.as_deref()
    };
    let mut decoded: Vec<OpenRow> = Vec::new();
    while let Some(bytes) = value(decoded.len()) {
        match decode_row(bytes) {
            Ok(row) => decoded.push(row),
            Err(error) => {
                tracing::warn!(name: "open.unreadable", row = decoded.len(), %error, "cannot decode the previous owner's open set; waiting until all leases have ended");
                return FoundOpenSet::Unreadable;
            }
        }
        if decoded.len() >= decoded[0].row_count as usize {
            break;
        }
    }
    if decoded.is_empty() {
        return FoundOpenSet::Absent;
    }
    let Some((epoch, content)) = OpenContent::from_rows(&decoded) else {
        tracing::warn!(name: "open.incomplete", rows = decoded.len(), "the previous owner's open set is incomplete; waiting until all leases have ended");
        return FoundOpenSet::Unreadable;
    };
    FoundOpenSet::Set(epoch, content)
}
