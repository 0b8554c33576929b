//! Failures of the platform.

use masticfall_core::error::ErrorKind;
use snafu::Snafu;

/// A failure of a platform operation.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// The operation did not take effect.
    #[snafu(display("platform unavailable: {reason}"))]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The operation may have taken effect, now or later.
    #[snafu(display("outcome of a platform operation is unknown: {reason}"))]
    Unknown {
        /// What was seen.
        reason: String,
    },
    /// The platform's answer, or a row, is not of the expected form.
    #[snafu(display("malformed answer or row from the platform: {reason}"))]
    Malformed {
        /// What was seen.
        reason: String,
    },
}

impl PlatformError {
    /// Returns the kind under which a caller is told.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Unavailable { .. } | Self::Malformed { .. } => ErrorKind::PlatformUnavailable,
            Self::Unknown { .. } => ErrorKind::PlatformUnknown,
        }
    }
}

/// Result of platform operations.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;
