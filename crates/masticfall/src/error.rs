//! Errors of the command line, with their chain of causes.

use std::path::PathBuf;

use snafu::Snafu;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CliError {
    /// A file cannot be read or written.
    #[snafu(display("cannot {action} {}", path.display()))]
    File {
        /// What was attempted: `read` or `write`.
        action: &'static str,
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The entry process did not answer.
    #[snafu(display("no answer from the entry process at {entry}"))]
    NoResponse {
        /// Address of the entry process.
        entry: String,
        /// The client's error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The entry process refused the request.
    #[snafu(display("refused ({kind}): {detail}"))]
    Refused {
        /// Error kind of the refusal.
        kind: String,
        /// Details of the refusal.
        detail: String,
    },
    /// A response is not JSON of the expected form.
    #[snafu(display("the response cannot be parsed"))]
    MalformedResponse {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A configuration or a file of answers is invalid.
    #[snafu(display("{document} has faults:\n{errors}"))]
    InvalidDocument {
        /// Name of the document.
        document: String,
        /// Its errors, one per line.
        errors: String,
    },
    /// The trial fleet failed to start.
    #[snafu(display("cannot start the trial fleet: {reason}"))]
    TrialStart {
        /// Why it failed.
        reason: String,
    },
    /// Any other failure.
    #[snafu(display("{message}"))]
    Failed {
        /// What went wrong.
        message: String,
    },
}

/// Result of a command.
pub type Result<T, E = CliError> = std::result::Result<T, E>;
