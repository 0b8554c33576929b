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

/// How the answers to the two calls are combined.
#[derive(Debug)]
pub struct Hedge<T> {
    /// Whether an answer holds whatever becomes of the other call.
    pub is_final: fn(&T) -> bool,
    /// Combines the answers to the first and the second call if neither is final.
    pub combine: fn(T, T) -> T,
}

/// Returns how the outcomes of a start order and its repetition are combined.
///
/// A refusal of one says nothing about the other, which may have been or may yet be carried
/// out: the run has not started only if both were refused.
pub fn start_outcomes() -> Hedge<StartOutcome> {
    Hedge {
        is_final: |outcome| {
            matches!(
                outcome,
                StartOutcome::Started | StartOutcome::Superseded | StartOutcome::Fenced
            )
        },
        combine: |first, second| {
            if second == StartOutcome::Unknown { second } else { first }
        },
    }
}

/// Returns the answer to `first`, which is called again as `second` if it has no answer after
/// `delay`; then the first answer that is final, or both combined.
pub async fn hedged<T, F: Future<Output = T>>(
    first: impl Future<Output = T>,
    delay: Duration,
    second: impl FnOnce() -> Option<F>,
    hedge: &Hedge<T>,
) -> T {
    let mut first = pin!(first);
    tokio::select! {
        biased;
        answer = &mut first => return answer,
        () = sleep(delay) => {}
    }
    let Some(second) = second() else { return first.await };
    let mut second = pin!(second);
    let (first, second) = tokio::select! {
        biased;
        answer = &mut first => {
            if (hedge.is_final)(&answer) {
                return answer;
            }
            (answer, second.await)
        }
        other = &mut second => {
            if (hedge.is_final)(&other) {
                return other;
            }
            (first.await, other)
        }
    };
    if (hedge.is_final)(&first) {
        first
    } else if (hedge.is_final)(&second) {
        second
    } else {
        (hedge.combine)(first, second)
    }
}
