//! The error kinds of requests, and the response for each kind.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether a rejected or failed request ran on a target.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RunState {
    /// No byte of the request reached a target.
    NotRun,
    /// A target may have run the request.
    Unknown,
    /// A target ran the request.
    Ran,
}

/// The level at which an error is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Caused by the caller.
    Debug,
    /// Expected under load.
    Info,
    /// May need action by an operator.
    Warn,
}

/// The kinds of errors with which a request can fail.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The key is missing, unknown or withdrawn.
    Unauthorized,
    /// The key's team or role does not permit the request.
    Forbidden,
    /// The queue, job or resource does not exist.
    NotFound,
    /// No job with this identifier was accepted.
    NoSuchJob,
    /// The job was cancelled before it was accepted.
    JobCancelled,
    /// The method does not apply to the resource.
    MethodNotAllowed,
    /// The body or the headers exceed the size limit.
    TooLarge,
    /// The current state of the resource does not allow the request.
    Conflict,
    /// The expected revision is not the current one.
    PreconditionFailed,
    /// The expected revision is missing.
    PreconditionRequired,
    /// A request with the same idempotency key is running.
    DuplicateRunning,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The configuration is invalid.
    InvalidConfig,
    /// The team has reached its limit.
    OverLimit,
    /// The queue is full, or the expected wait exceeds the deadline.
    Overloaded,
    /// The deadline passed before dispatch.
    DeadlineNotRun,
    /// The deadline passed after dispatch.
    DeadlineUnknown,
    /// No target of the service can accept requests.
    NoTarget,
    /// The connection to the target could not be made.
    TargetUnreachable,
    /// The response was lost after bytes were sent to the target.
    AnswerLost,
    /// The platform's table service or object store is unavailable.
    PlatformUnavailable,
    /// The outcome of a write to the platform is unknown.
    PlatformUnknown,
    /// The instance cannot serve because it is starting, leaving or isolated.
    NotReady,
    /// The job does not fit any worker of the configured fleet.
    CannotFit,
}

/// The response and log level for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub run: RunState,
    /// Value of the `Retry-After` header, in seconds, when a retry can help.
    pub retry_after_s: Option<u32>,
    /// Level at which the error is logged.
    pub level: LogLevel,
    /// Title of the problem-details document.
    pub title: &'static str,
}

impl ErrorKind {
    /// Returns the response for this kind.
    pub fn response(self) -> ErrorResponse {
        use LogLevel::{Debug, Info, Warn};
        use RunState::{NotRun, Unknown};
        let (status, run, retry_after_s, level, title) = match self {
            Self::BadRequest => (400, NotRun, None, Debug, "malformed request"),
            Self::Unauthorized => (401, NotRun, None, Debug, "key missing, unknown or withdrawn"),
            Self::Forbidden => (403, NotRun, None, Debug, "not allowed for this key"),
            Self::NotFound => (404, NotRun, None, Debug, "not found"),
            Self::NoSuchJob => (404, NotRun, None, Debug, "no such job"),
            Self::JobCancelled => (409, NotRun, None, Debug, "job was cancelled"),
            Self::MethodNotAllowed => (405, NotRun, None, Debug, "method not allowed"),
            Self::TooLarge => (413, NotRun, None, Debug, "request too large"),
            Self::Conflict => (409, NotRun, None, Debug, "state does not allow this"),
            Self::PreconditionFailed => (412, NotRun, None, Debug, "revision has changed"),
            Self::PreconditionRequired => (428, NotRun, None, Debug, "If-Match is required"),
            Self::DuplicateRunning => (409, Unknown, Some(1), Debug, "same key is running"),
            Self::KeyReused => (422, NotRun, None, Debug, "idempotency key used with another body"),
            Self::InvalidConfig => (422, NotRun, None, Debug, "configuration has faults"),
            Self::OverLimit => (429, NotRun, Some(1), Info, "team is at its limit"),
            Self::Overloaded => (503, NotRun, Some(1), Info, "no capacity before the deadline"),
            Self::DeadlineNotRun => (504, NotRun, Some(1), Info, "deadline passed before dispatch"),
            Self::DeadlineUnknown => (504, Unknown, None, Warn, "deadline passed after dispatch"),
            Self::NoTarget => (503, NotRun, Some(2), Warn, "no target available"),
            Self::TargetUnreachable => (502, NotRun, Some(1), Warn, "target unreachable"),
            Self::AnswerLost => (502, Unknown, None, Warn, "answer lost after dispatch"),
            Self::PlatformUnavailable => (503, NotRun, Some(2), Warn, "platform unavailable"),
            Self::PlatformUnknown => {
                (503, Unknown, Some(2), Warn, "platform write outcome unknown")
            }
            Self::NotReady => (503, NotRun, Some(1), Info, "instance is not ready"),
            Self::CannotFit => (422, NotRun, None, Info, "job can never run on this fleet"),
        };
        ErrorResponse { status, run, retry_after_s, level, title }
    }
}
