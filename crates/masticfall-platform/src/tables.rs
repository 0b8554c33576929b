//! The transactional table service.

use std::fmt;

use masticfall_wire::{decode, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{MalformedSnafu, Result};
use crate::{Operation, PlatformError};

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Version of its last write; a later write has a greater one.
    pub version: u64,
    /// Its value, in CBOR.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

impl Row {
    /// Decodes the value.
    ///
    /// # Errors
    /// [`PlatformError::Malformed`] when the value is not of the type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        decode(&self.value).map_err(|error| PlatformError::Malformed {
            reason: format!("row {}: {error}", self.key),
        })
    }
}

/// What a row has to be for a transaction to commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(u64),
}

impl Condition {
    /// Returns the condition that a row is as it was read.
    pub fn unchanged(row: Option<&Row>) -> Self {
        row.map_or(Self::Absent, |row| Self::Version(row.version))
    }
}

/// A condition on one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// What it has to be.
    pub condition: Condition,
}

/// A write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// Its new value, or none to delete the row.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// Writes that take effect together, or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which have to hold.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Starts an empty transaction.
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
    /// [`PlatformError::Malformed`] when the value cannot be encoded.
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

    /// Adds a write of a row that has to be as it was read.
    ///
    /// # Errors
    /// [`PlatformError::Malformed`] when the value cannot be encoded.
    pub fn replace<T: Serialize>(self, key: &str, read: Option<&Row>, value: &T) -> Result<Self> {
        self.check(key, Condition::unchanged(read)).put(key, value)
    }
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// It took effect; the rows written have this version.
    Done(u64),
    /// It did not, since this row did not meet its condition.
    Conflict(String),
}

/// The table service.
#[derive(Clone)]
pub struct TableService {
    /// Runs a transaction.
    pub transact: Operation<Transaction, Commit>,
    /// Reads rows by key, in the order asked for.
    pub read: Operation<Vec<String>, Vec<Option<Row>>>,
    /// Reads all rows whose key starts with a prefix, in the order of keys.
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
    /// The platform's failure.
    pub async fn get(&self, key: &str) -> Result<Option<Row>> {
        let rows = (self.read)(vec![key.to_string()]).await?;
        Ok(rows.into_iter().next().flatten())
    }

    /// Reads and decodes one row; returns it with its value.
    ///
    /// # Errors
    /// The platform's failure, or [`PlatformError::Malformed`].
    pub async fn get_as<T: DeserializeOwned>(&self, key: &str) -> Result<Option<(Row, T)>> {
        let Some(row) = self.get(key).await? else {
            return Ok(None);
        };
        let value = row.decode()?;
        Ok(Some((row, value)))
    }
}
