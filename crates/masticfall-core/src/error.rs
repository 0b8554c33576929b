//! The closed list of error kinds, and the table from kind to answer.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether a refused or failed request ran on a target.
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

/// How loudly an error is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// The caller's own doing.
    Debug,
    /// Expected under load.
    Info,
    /// An operator may have to act.
    Warn,
}

/// Every way in which a request can fail.
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
    /// No key, an unknown key, or a withdrawn one.
    Unauthorized,
    /// The key's team or role may not do this.
    Forbidden,
    /// No such queue, job or resource.
    NotFound,
    /// No such job was accepted.
    NoSuchJob,
    /// The method does not apply to the resource.
    MethodNotAllowed,
    /// The body or the headers exceed their bound.
    TooLarge,
    /// The state of the resource does not allow this now.
    Conflict,
    /// The expected revision is not the current one.
    PreconditionFailed,
    /// The expected revision is missing.
    PreconditionRequired,
    /// A request with the same idempotency key is running.
    DuplicateRunning,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The configuration has faults.
    InvalidConfig,
    /// The team runs as much as its limit allows.
    OverLimit,
    /// The queue is full, or the wait would outlast the deadline.
    Overloaded,
    /// The deadline passed before dispatch.
    DeadlineNotRun,
    /// The deadline passed after dispatch.
    DeadlineUnknown,
    /// No target of the service can take requests.
    NoTarget,
    /// The connection to the target could not be made.
    TargetUnreachable,
    /// The target's answer was lost after bytes were sent.
    AnswerLost,
    /// The platform's table service or object store is away.
    PlatformUnavailable,
    /// The outcome of a write to the platform is not known.
    PlatformUnknown,
    /// The instance cannot serve: it is starting, leaving or cut off.
    NotReady,
    /// A job can never run on the fleet as configured.
    CannotFit,
}

/// What a caller is told for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub run: RunState,
    /// Advice for the `Retry-After` header, in seconds, where a retry can help.
    pub retry_after_s: Option<u32>,
    /// Level of the log line.
    pub level: LogLevel,
    /// Title of the problem document.
    pub title: &'static str,
}

impl ErrorKind {
    /// Returns the answer for this kind.
    pub fn response(self) -> ErrorResponse {
        use LogLevel::{Debug, Info, Warn};
        use RunState::{NotRun, Unknown};
        let (status, run, retry_after_s, level, title) = match self {
            Self::BadRequest => (400, NotRun, None, Debug, "malformed request"),
            Self::Unauthorized => (401, NotRun, None, Debug, "key missing, unknown or withdrawn"),
            Self::Forbidden => (403, NotRun, None, Debug, "not allowed for this key"),
            Self::NotFound => (404, NotRun, None, Debug, "not found"),
            Self::NoSuchJob => (404, NotRun, None, Debug, "no such job"),
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
