//! A refused or failed request.

use masticfall_core::error::ErrorKind;
use masticfall_platform::PlatformError;

/// A refusal with what the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Its kind, which decides the answer.
    pub kind: ErrorKind,
    /// What happened, for people.
    pub detail: String,
}

/// Result of an operation that a caller or operator asked for.
pub type Result<T> = std::result::Result<T, Refusal>;

impl Refusal {
    /// Makes a refusal.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }
}

impl From<PlatformError> for Refusal {
    fn from(error: PlatformError) -> Self {
        Self::new(error.kind(), error.to_string())
    }
}
