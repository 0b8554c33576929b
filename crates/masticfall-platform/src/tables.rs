//! Transactional table service.

use std::fmt;

use masticfall_wire::{decode, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{MalformedSnafu, Result};
use crate::{Operation, PlatformError};

/// A row as read from the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the last write; versions increase with every write.
    pub version: u64,
    /// Value, encoded as CBOR.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

impl Row {
    /// Decodes the value.
    ///
    /// # Errors
    /// Returns [`PlatformError::Malformed`] if the value cannot be decoded as `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        decode(&self.value).map_err(|error| PlatformError::Malformed {
            reason: format!("row {}: {error}", self.key),
        })
    }
}

/// Precondition on a row for a transaction to commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

impl Condition {
    /// Returns the condition that a row has not changed since it was read.
    pub fn unchanged(row: Option<&Row>) -> Self {
        row.map_or(Self::Absent, |row| Self::Version(row.version))
    }
}

/// A condition on a specific row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Condition that must hold.
    pub condition: Condition,
}

/// A write to one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value; `None` deletes the row.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    pub fn check(mut self, key: impl Into<String>, condition: Condition) -> Self {
        self.checks.push(Check { key: key.into(), condition });
        self
    }

    /// Adds a write.
    ///
    /// # Errors
    /// Returns [`PlatformError::Malformed`] if the value cannot be encoded.
    pub fn put<T: Serialize>(mut self, key: impl Into<String>, value: &T) -> Result<Self> {
        let encoded = encode(value);
        let Ok(value) = encoded else {
            return MalformedSnafu { reason: "value cannot be encoded" }.fail();
        };
        self.writes.push(Write { key: key.into(), value: Some(value) });
        Ok(self)
    }

    /// Adds a deletion.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }

    /// Adds a write on condition that the row has not changed since it was read.
    ///
    /// # Errors
    /// Returns [`PlatformError::Malformed`] if the value cannot be encoded.
    pub fn replace<T: Serialize>(self, key: &str, read: Option<&Row>, value: &T) -> Result<Self> {
        self.check(key, Condition::unchanged(read)).put(key, value)
    }
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// Committed; the written rows have this version.
    Done(u64),
    /// Not committed, because the row with this key did not meet its condition.
    Conflict(String),
}

/// Operations of the table service.
#[derive(Clone)]
pub struct TableService {
    /// Runs a transaction.
    pub transact: Operation<Transaction, Commit>,
    /// Reads rows by key; the result has the order of the keys.
    pub read: Operation<Vec<String>, Vec<Option<Row>>>,
    /// Reads all rows whose key starts with a prefix, in key order.
    pub scan: Operation<String, Vec<Row>>,
}

impl fmt::Debug for TableService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TableService").finish_non_exhaustive()
    }
}

impl TableService {
    /// Reads one row.
    ///
    /// # Errors
    /// Returns the platform's error.
    pub async fn get(&self, key: &str) -> Result<Option<Row>> {
        let rows = (self.read)(vec![key.to_string()]).await?;
        Ok(rows.into_iter().next().flatten())
    }

    /// Reads one row and returns it with its decoded value.
    ///
    /// # Errors
    /// Returns the platform's error, or [`PlatformError::Malformed`] if the value cannot be decoded.
    pub async fn get_as<T: DeserializeOwned>(&self, key: &str) -> Result<Option<(Row, T)>> {
        let Some(row) = self.get(key).await? else {
            return Ok(None);
        };
        let value = row.decode()?;
        Ok(Some((row, value)))
    }
}
