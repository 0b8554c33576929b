//! Errors of platform operations.

use masticfall_core::error::ErrorKind;
use snafu::Snafu;

/// Error of a platform operation.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// The operation did not take effect.
    #[snafu(display("platform unavailable: {reason}"))]
    Unavailable {
        /// Description of the failure.
        reason: String,
    },
    /// The operation may have taken effect, now or later.
    #[snafu(display("outcome of a platform operation is unknown: {reason}"))]
    Unknown {
        /// Description of the failure.
        reason: String,
    },
    /// The operation was rejected for good and did not take effect: repeating it is of no use.
    #[snafu(display("rejected by the platform: {reason}"))]
    Rejected {
        /// Description of the failure.
        reason: String,
    },
    /// A response or a row is not of the expected form.
    #[snafu(display("malformed answer or row from the platform: {reason}"))]
    Malformed {
        /// Description of the failure.
        reason: String,
    },
}

impl PlatformError {
    /// Returns the error kind reported to the caller.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Unavailable { .. } | Self::Rejected { .. } | Self::Malformed { .. } => {
                ErrorKind::PlatformUnavailable
            }
            Self::Unknown { .. } => ErrorKind::PlatformUnknown,
        }
    }
}

/// Result of a platform operation.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;
