//! Errors of the command line: sentences for people, with a chain of context.

use std::path::PathBuf;

use snafu::Snafu;

/// A failure of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CliError {
    /// A file cannot be read or written.
    #[snafu(display("cannot {action} {}", path.display()))]
    File {
        /// What was tried.
        action: &'static str,
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The entry process did not answer.
    #[snafu(display("no answer from the entry process at {entry}"))]
    NoAnswer {
        /// Its address.
        entry: String,
        /// The client's error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The entry process refused.
    #[snafu(display("refused ({kind}): {detail}"))]
    Refused {
        /// Kind of the refusal.
        kind: String,
        /// What happened.
        detail: String,
    },
    /// An answer is not of the expected form.
    #[snafu(display("the answer cannot be read"))]
    Malformed {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A document has faults.
    #[snafu(display("{what} has faults:\n{faults}"))]
    Faults {
        /// The document.
        what: String,
        /// Its faults, one a line.
        faults: String,
    },
    /// A fleet on trial could not start.
    #[snafu(display("cannot start the trial fleet: {reason}"))]
    TrialStart {
        /// What was seen.
        reason: String,
    },
    /// Something that was expected did not happen.
    #[snafu(display("{message}"))]
    Failed {
        /// What happened instead.
        message: String,
    },
}

/// Result of a command.
pub type Result<T, E = CliError> = std::result::Result<T, E>;
