//! Guards that release units and slots when dropped.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use masticfall_core::id::{InstanceName, ServiceName, TeamName};
use masticfall_core::routing::Outcome;
use tokio::time::{Instant, Sleep};
use volo_http::error::BoxError;

use crate::context::Node;
use crate::slots;

/// Counts a request as in flight, and holds one unit of its team's limit.
#[derive(Debug)]
pub struct UnitGuard {
    node: Arc<Node>,
    team: Option<TeamName>,
}

impl UnitGuard {
    /// Wraps an acquired unit of `team`, or none for a request that holds no unit here.
    pub fn new(node: &Arc<Node>, team: Option<TeamName>) -> Self {
        node.metrics.in_flight.inc();
        Self { node: Arc::clone(node), team }
    }
}

impl Drop for UnitGuard {
    fn drop(&mut self) {
        self.node.metrics.in_flight.dec();
        let mut state = self.node.state();
        state.in_flight -= 1;
        if let Some(team) = &self.team
            && let Some(grant) = state.limit_grants.get_mut(team)
        {
            grant.release();
        }
        drop(state);
        self.node.units_changed.notify_waiters();
    }
}

/// Holds a slot of a target.
#[derive(Debug)]
pub struct SlotGuard {
    node: Arc<Node>,
    /// Service of the target.
    pub service: ServiceName,
    /// The target.
    pub target: InstanceName,
    acquired_at: Instant,
    outcome: Outcome,
}

impl SlotGuard {
    /// Wraps an acquired slot.
    pub fn new(node: &Arc<Node>, service: ServiceName, target: InstanceName) -> Self {
        let acquired_at = Instant::now();
        Self { node: Arc::clone(node), service, target, acquired_at, outcome: Outcome::Neutral }
    }

    /// Sets the outcome reported to the target table on release.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let held_ms = self.acquired_at.elapsed().as_secs_f64() * 1_000.0;
        slots::release(&self.node, &self.service, &self.target, self.outcome, held_ms);
    }
}

/// A response body that holds slot and unit until it ends, fails or is dropped.
pub struct GuardedBody {
    inner: volo_http::body::Body,
    slot: Option<SlotGuard>,
    unit: Option<UnitGuard>,
    deadline: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl fmt::Debug for GuardedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GuardedBody").field("slot", &self.slot).finish_non_exhaustive()
    }
}

impl GuardedBody {
    /// Wraps a response body with its unit and, unless forwarded, its slot.
    ///
    /// The body ends with an error when it is still incomplete at the deadline.
    pub fn new(
        inner: volo_http::body::Body,
        slot: Option<SlotGuard>,
        unit: UnitGuard,
        deadline: Instant,
    ) -> Self {
        Self { inner, slot, unit: Some(unit), deadline, timer: None }
    }

    /// Returns whether the deadline passed.
    ///
    /// The timer is created on first use; most bodies are complete before that.
    fn is_past_deadline(&mut self, cx: &mut Context<'_>) -> bool {
        let deadline = self.deadline;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        timer.as_mut().poll(cx).is_ready()
    }

    /// Releases slot and unit with the outcome set from the response's status.
    fn release(&mut self) {
        self.slot = None;
        self.unit = None;
    }

    /// Releases slot and unit after an incomplete body.
    fn release_failed(&mut self) {
        if let Some(slot) = &mut self.slot {
            slot.set_outcome(Outcome::Failure);
        }
        self.release();
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        match Pin::new(&mut this.inner).poll_frame(cx) {
            Poll::Ready(None) => {
                this.release();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                this.release_failed();
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(frame) => {
                if this.inner.is_end_stream() {
                    this.release();
                }
                Poll::Ready(frame)
            }
            Poll::Pending if this.is_past_deadline(cx) => {
                this.release_failed();
                Poll::Ready(Some(Err(BoxError::from(
                    "deadline passed before the response body was complete",
                ))))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
