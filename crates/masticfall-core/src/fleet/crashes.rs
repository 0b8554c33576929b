//! Attribution of crashed workers to the tasks that ran there.
//!
//! Handles tasks that crash each worker that starts them, beside workers that crash by
//! themselves. A crash takes dozens of runs with it, of which one at most is the cause.
//! All of them are suspects, none is guilty yet:
//!
//! 1. Runs that had just started are placed again where no other suspect runs, and the
//!    worker gets nothing new until they have outlived the time at which a bad start shows.
//! 2. A task that has lost a second worker is placed on an empty one.
//! 3. It is given up once it has lost another worker on which no other job can be the
//!    cause, at an age that its earlier runs haven't outlived and without other workers of
//!    the rack; or too many workers altogether.
//!
//! An order without an answer may have come after the crash, so a run that isn't known to have
//! started counts for less: only if it was alone, and only from the third crash on.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::id::WorkerId;

/// Time after its start in which a crash of its worker points to a run, in milliseconds. A
/// run seen alive later is settled.
pub const START_WINDOW_MS: u64 = 500;

/// Run time after which a task is cleared of all crashes, in milliseconds, unless it is
/// cleared sooner by outliving the age at which its worker crashed.
pub const CLEARED_AFTER_MS: u64 = 5_000;

/// Maximum time for which a task has a worker for itself, in milliseconds.
const MAX_TRIAL_MS: u64 = 3_000;

/// Number of crashes soon after a start, or of unknown age, at which a task is given up
/// whatever else ran on the workers. The platform allows two more starts after the third
/// crash; one of them may be an order that is carried out late.
const MAX_CRASHES_AT_START: usize = 4;

/// Number of crashes of any age at which a task is given up.
const MAX_CRASHES: usize = 5;

/// How the owner learned that the runs on a worker are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LossCause {
    /// The worker didn't answer until its leases had expired. It may have crashed, or may
    /// only be cut off.
    LeaseExpired,
    /// The worker reports a later start under the same identifier.
    Restarted,
    /// Another worker answers at its address.
    Replaced,
    /// An earlier owner placed the runs on a worker that this one never saw.
    Unlisted,
}

/// Runs of other jobs on a worker when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Company {
    /// None.
    Alone,
    /// Only such as had outlived their start.
    Settled,
    /// Some that had just started, or may have.
    Unsettled,
}

/// The loss of a worker under a run of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The worker.
    pub worker: WorkerId,
    /// Start time of its incarnation, in milliseconds since the Unix epoch, if known.
    pub born_wall_ms: Option<u64>,
    /// Longest time from the start order to the crash, in milliseconds; `None` if an
    /// earlier owner sent the order.
    pub age_ms: Option<u64>,
    /// Time for which the run is known to have been alive, in milliseconds.
    pub alive_ms: u64,
    /// Whether the run is known to have started: an order without an answer may have
    /// been sent after the crash, or never been carried out.
    pub has_started: bool,
    /// What else ran there.
    pub company: Company,
    /// Whether another worker of the rack, without a run of the job, was lost with it.
    pub is_shared: bool,
}

impl Crash {
    /// Returns whether the run had just started.
    pub fn is_at_start(&self) -> bool {
        self.age_ms.is_some_and(|age_ms| age_ms <= START_WINDOW_MS)
    }

    /// Returns whether the run may be the cause: it is known to have started, or its order got no
    /// answer and nothing else was there that could have crashed the worker.
    fn is_attributable(&self) -> bool {
        self.has_started || (self.is_at_start() && self.company == Company::Alone)
    }

    /// Returns whether one cause that strikes at a certain age can explain both crashes.
    fn is_consistent_with(&self, other: &Self) -> bool {
        let may_be = |age_ms: Option<u64>, alive_ms| age_ms.is_none_or(|age_ms| alive_ms <= age_ms);
        may_be(self.age_ms, other.alive_ms) && may_be(other.age_ms, self.alive_ms)
    }

    /// Returns whether a later run that is alive at this age clears the task of the crash.
    pub fn is_outlived(&self, alive_ms: u64) -> bool {
        let age_ms = self.age_ms.unwrap_or(CLEARED_AFTER_MS);
        alive_ms > age_ms.clamp(START_WINDOW_MS, CLEARED_AFTER_MS)
    }
}

/// Verdict on a task that has lost workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Is placed like any other.
    Clear,
    /// Is placed apart from other suspects.
    Watched,
    /// Is placed alone.
    Isolated,
    /// Is given up.
    GivenUp,
}

impl Verdict {
    /// Returns whether the next run is to be kept apart from others.
    pub fn is_suspect(self) -> bool {
        matches!(self, Self::Watched | Self::Isolated)
    }
}

/// Returns the time that the next run of a suspect has to live until other jobs may join it,
/// in milliseconds.
pub fn trial_ms(crashes: &[Crash]) -> u64 {
    if judge(crashes) != Verdict::Isolated {
        return START_WINDOW_MS;
    }
    let ages = crashes.iter().filter_map(|crash| crash.age_ms);
    ages.max().unwrap_or_default().clamp(START_WINDOW_MS, MAX_TRIAL_MS)
}

/// Returns the verdict on a task that lost these workers, in this order.
pub fn judge(crashes: &[Crash]) -> Verdict {
    let Some(last) = crashes.last() else { return Verdict::Clear };
    let at_start = crashes.iter().filter(|crash| crash.is_at_start()).count();
    if crashes.len() == 1 {
        return if at_start == 1 { Verdict::Watched } else { Verdict::Clear };
    }
    let early = crashes.iter().filter(|crash| crash.is_at_start() || crash.age_ms.is_none());
    let has_too_many = early.count() >= MAX_CRASHES_AT_START || crashes.len() >= MAX_CRASHES;
    let is_repeated = !last.is_shared && crashes.iter().all(|crash| crash.is_consistent_with(last));
    let is_known = |crash: &Crash| crash.is_at_start() && crash.has_started;
    let known_at_start = crashes.iter().filter(|crash| is_known(crash)).count();
    let is_start_to_blame =
        is_known(last) && known_at_start > 1 && last.company != Company::Unsettled;
    let attributable = crashes.iter().filter(|crash| crash.is_attributable());
    let is_only_cause = attributable.count() > 2 && last.company == Company::Alone;
    if is_repeated && (is_start_to_blame || is_only_cause) || has_too_many {
        return Verdict::GivenUp;
    }
    Verdict::Isolated
}
