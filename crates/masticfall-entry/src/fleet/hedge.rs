//! Hedged calls: a call that has not been answered after a short delay is made again.
//!
//! Some workers leave a few percent of their calls unanswered and carry them out seconds
//! later. A job of a dozen tasks then meets one in every second case, and would wait for the
//! call's timeout each time. Calls to workers can be repeated: a start of a run that is
//! already there succeeds, and a report can be read twice.

use std::pin::pin;
use std::time::Duration;

use masticfall_core::fleet::report::StartOutcome;
use tokio::time::sleep;

/// Which answers to the two calls are used; an answer that is not used waits for the other.
#[derive(Debug)]
pub struct Accepts<T> {
    /// Whether the first call's answer is used.
    pub first: fn(&T) -> bool,
    /// Whether the second call's answer is used while the first has none.
    pub second: fn(&T) -> bool,
}

/// Returns which outcomes of start orders are used.
///
/// A refusal of the second order says nothing about the first one, which may still be
/// carried out.
pub fn start_outcomes() -> Accepts<StartOutcome> {
    Accepts {
        first: |outcome| *outcome != StartOutcome::Unknown,
        second: |outcome| {
            matches!(
                outcome,
                StartOutcome::Started | StartOutcome::Superseded | StartOutcome::Fenced
            )
        },
    }
}

/// Returns the result of `first`, or that of `second`, which is made if `first` has no
/// answer after `delay`; the first call's result if neither is accepted.
pub async fn hedged<T, F: Future<Output = T>>(
    first: impl Future<Output = T>,
    delay: Duration,
    second: impl FnOnce() -> Option<F>,
    accepts: &Accepts<T>,
) -> T {
    let mut first = pin!(first);
    tokio::select! {
        biased;
        answer = &mut first => return answer,
        () = sleep(delay) => {}
    }
    let Some(second) = second() else { return first.await };
    let mut second = pin!(second);
    tokio::select! {
        biased;
        answer = &mut first => {
            if (accepts.first)(&answer) {
                return answer;
            }
            let other = second.await;
            if (accepts.second)(&other) { other } else { answer }
        }
        other = &mut second => {
            if (accepts.second)(&other) {
                return other;
            }
            first.await
        }
    }
}
