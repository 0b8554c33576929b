//! The error of a refused or failed request.

use masticfall_core::error::ErrorKind;
use masticfall_platform::PlatformError;
use masticfall_platform::serve::BodyError;

/// A refused or failed request, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Kind, which determines status code and run state.
    pub kind: ErrorKind,
    /// Human-readable explanation.
    pub detail: String,
    /// Value of `Retry-After` in seconds; overrides the default of the kind.
    pub retry_after_s: Option<u32>,
}

/// Result of an operation requested by a caller or operator.
pub type Result<T> = std::result::Result<T, Refusal>;

impl Refusal {
    /// Creates a refusal with the default `Retry-After` of its kind.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after_s: None }
    }

    /// Sets `Retry-After`, rounded up to whole seconds.
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_s = Some(retry_after_ms.div_ceil(1_000) as u32);
        self
    }
}

impl From<BodyError> for Refusal {
    fn from(error: BodyError) -> Self {
        let kind = match error {
            BodyError::TooLarge { .. } => ErrorKind::TooLarge,
            BodyError::NoRoom => ErrorKind::Overloaded,
            BodyError::Broken { .. } => ErrorKind::BadRequest,
        };
        Self::new(kind, error.to_string())
    }
}

impl From<PlatformError> for Refusal {
    fn from(error: PlatformError) -> Self {
        Self::new(error.kind(), error.to_string())
    }
}
