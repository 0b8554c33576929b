//! Guards whose `Drop` gives units and slots back.

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
    /// Wraps a unit that was taken, or none for a request without a team.
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
            && let Some(account) = state.limit_grants.get_mut(team)
        {
            account.release();
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
    taken: Instant,
    outcome: Outcome,
}

impl SlotGuard {
    /// Wraps a slot that was taken.
    pub fn new(node: &Arc<Node>, service: ServiceName, target: InstanceName) -> Self {
        let taken = Instant::now();
        Self { node: Arc::clone(node), service, target, taken, outcome: Outcome::Neutral }
    }

    /// Notes how the request ended.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let held_ms = self.taken.elapsed().as_secs_f64() * 1_000.0;
        slots::release(&self.node, &self.service, &self.target, self.outcome, held_ms);
    }
}

/// A target's answer that holds its guards until it is passed on whole.
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
    /// Wraps an answer's body with the slot that it holds here, if any, which is cut off with an error at the deadline.
    pub fn new(
        inner: volo_http::body::Body,
        slot: Option<SlotGuard>,
        unit: UnitGuard,
        deadline: Instant,
    ) -> Self {
        Self { inner, slot, unit: Some(unit), deadline, timer: None }
    }

    /// Tells whether the deadline passed; most answers are whole before it is asked.
    fn is_late(&mut self, cx: &mut Context<'_>) -> bool {
        let deadline = self.deadline;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        timer.as_mut().poll(cx).is_ready()
    }

    /// Gives slot and unit back; the answer's head has set the outcome.
    fn end(&mut self) {
        self.slot = None;
        self.unit = None;
    }

    /// Gives slot and unit back after an answer that was not whole.
    fn fail(&mut self) {
        if let Some(slot) = &mut self.slot {
            slot.set_outcome(Outcome::Failure);
        }
        self.end();
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
                this.end();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                this.fail();
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(some) => {
                if this.inner.is_end_stream() {
                    this.end();
                }
                Poll::Ready(some)
            }
            Poll::Pending if this.is_late(cx) => {
                this.fail();
                Poll::Ready(Some(Err(BoxError::from("deadline passed in the answer's body"))))
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
