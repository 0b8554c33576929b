//! The connections that a gate has admitted, and their charges.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use masticfall_core::shedding::{ConnectionPhase, ConnectionView, Shed};
use tokio::sync::Notify;

use super::gate::{Gate, NoRoom, Result};

/// Codes of [`ConnectionPhase`].
const IDLE: u8 = 0;
const RECEIVING: u8 = 1;
const ANSWERING: u8 = 2;

/// State of a connection that the gate and its own tasks share.
#[derive(Debug)]
pub(super) struct ConnectionState {
    id: u64,
    phase: AtomicU8,
    since_ms: AtomicU64,
    /// Memory besides the body.
    buffer_bytes: AtomicUsize,
    body_bytes: AtomicUsize,
    gives_up_body: AtomicBool,
    closes: AtomicBool,
    body_shed: Notify,
    closed: Notify,
}

impl ConnectionState {
    pub(super) fn new(id: u64, now_ms: u64, buffer_bytes: usize) -> Self {
        Self {
            id,
            phase: AtomicU8::new(IDLE),
            since_ms: AtomicU64::new(now_ms),
            buffer_bytes: AtomicUsize::new(buffer_bytes),
            body_bytes: AtomicUsize::new(0),
            gives_up_body: AtomicBool::new(false),
            closes: AtomicBool::new(false),
            body_shed: Notify::new(),
            closed: Notify::new(),
        }
    }

    fn phase(&self) -> ConnectionPhase {
        match self.phase.load(Ordering::Relaxed) {
            IDLE => ConnectionPhase::Idle,
            RECEIVING => ConnectionPhase::Receiving,
            _ => ConnectionPhase::Answering,
        }
    }

    fn set_phase(&self, phase: ConnectionPhase, now_ms: u64) {
        self.since_ms.store(now_ms, Ordering::Relaxed);
        let code = match phase {
            ConnectionPhase::Idle => IDLE,
            ConnectionPhase::Receiving => RECEIVING,
            ConnectionPhase::Answering => ANSWERING,
        };
        self.phase.store(code, Ordering::Relaxed);
    }

    pub(super) fn view(&self) -> ConnectionView {
        // A body that is being given up doesn't make room twice.
        let gives_up_body = self.gives_up_body.load(Ordering::Relaxed);
        let body_bytes = if gives_up_body { 0 } else { self.body_bytes.load(Ordering::Relaxed) };
        let since_ms = self.since_ms.load(Ordering::Relaxed);
        ConnectionView { id: self.id, phase: self.phase(), since_ms, body_bytes }
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closes.load(Ordering::Relaxed)
    }

    /// Tells the connection's task to give way.
    pub(super) fn give_way(&self, shed: Shed) {
        let (flag, notify) = match shed {
            Shed::Body(_) => (&self.gives_up_body, &self.body_shed),
            Shed::Connection(_) => (&self.closes, &self.closed),
        };
        flag.store(true, Ordering::Relaxed);
        notify.notify_one();
    }

    /// Marks the request as complete; returns whether the connection had been told to give way.
    pub(super) fn stay_for_answer(&self, now_ms: u64) -> bool {
        self.set_phase(ConnectionPhase::Answering, now_ms);
        let gave_up_body = self.gives_up_body.swap(false, Ordering::Relaxed);
        self.closes.swap(false, Ordering::Relaxed) || gave_up_body
    }

    /// Returns the memory that is about to be released, in bytes.
    pub(super) fn leaving_bytes(&self) -> usize {
        let body_bytes = self.body_bytes.load(Ordering::Relaxed);
        if self.closes.load(Ordering::Relaxed) {
            body_bytes + self.buffer_bytes.load(Ordering::Relaxed)
        } else if self.gives_up_body.load(Ordering::Relaxed) {
            body_bytes
        } else {
            0
        }
    }
}

/// A connection that a gate has admitted, until it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    handle: ConnectionHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let ConnectionHandle { gate, state } = &self.handle;
        gate.remove(state.id, state.buffer_bytes.load(Ordering::Relaxed));
    }
}

impl Connection {
    pub(super) fn new(gate: Arc<Gate>, state: Arc<ConnectionState>) -> Self {
        Self { handle: ConnectionHandle { gate, state } }
    }

    pub(super) fn handle(&self) -> ConnectionHandle {
        self.handle.clone()
    }
}

/// Access to an admitted connection, from its requests too.
#[derive(Debug, Clone)]
pub(super) struct ConnectionHandle {
    gate: Arc<Gate>,
    state: Arc<ConnectionState>,
}

impl ConnectionHandle {
    pub(super) fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Completes when the connection has to close.
    pub(super) async fn closed(&self) {
        // A request may have become complete in the meantime.
        while !self.state.closes.load(Ordering::Relaxed) {
            self.state.closed.notified().await;
        }
    }

    /// Completes when the body that is being received has to be given up.
    pub(super) async fn body_shed(&self) {
        // The notification may have been for an earlier request.
        while !self.state.gives_up_body.load(Ordering::Relaxed) {
            self.state.body_shed.notified().await;
        }
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        self.state.set_phase(phase, self.gate.now_ms());
    }

    /// Records that bytes of a request have arrived.
    pub(super) fn record_received(&self) {
        if self.state.phase() == ConnectionPhase::Idle {
            self.set_phase(ConnectionPhase::Receiving);
        }
    }

    /// Records that the client has taken a part of an answer.
    pub(super) fn record_taken(&self) {
        if self.state.phase() == ConnectionPhase::Idle {
            self.set_phase(ConnectionPhase::Idle);
        }
    }

    /// Records that a request has been received completely.
    pub(super) fn record_complete(&self) {
        self.gate.keep(&self.state);
    }

    /// Records that the request that was incomplete when it was refused is complete.
    pub(super) fn record_discarded(&self) {
        if self.state.phase() == ConnectionPhase::Receiving {
            self.set_phase(ConnectionPhase::Idle);
        }
    }

    /// Counts a request as being received or answered until the guard is dropped.
    pub(super) fn begin_request(&self) -> RequestGuard {
        self.record_received();
        self.state.gives_up_body.store(false, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    /// Charges memory for a larger read buffer, once there is room for it.
    pub(super) fn poll_charge_buffer(
        &self,
        context: &Context<'_>,
        bytes: usize,
    ) -> Poll<Result<()>> {
        let charged = self.poll_charge(bytes, context);
        match charged {
            Poll::Ready(Ok(())) => {
                self.state.buffer_bytes.fetch_add(bytes, Ordering::Relaxed);
            }
            Poll::Ready(Err(NoRoom)) => {
                self.gate.record_shed_connection();
            }
            Poll::Pending => {}
        }
        charged
    }

    fn poll_charge(&self, bytes: usize, context: &Context<'_>) -> Poll<Result<()>> {
        self.gate.poll_charge_to(self.state.id, bytes, context)
    }
}

/// Marks the connection as idle when dropped, if its request was complete.
#[derive(Debug)]
pub(super) struct RequestGuard(ConnectionHandle);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        // A connection on which the rest of a refused request is awaited stays as old as it is.
        if self.0.state.phase() == ConnectionPhase::Answering {
            self.0.set_phase(ConnectionPhase::Idle);
        }
    }
}

/// Memory for a body, which is released when dropped.
#[derive(Debug)]
pub(super) struct BodyShare {
    handle: ConnectionHandle,
    bytes: usize,
}

impl BodyShare {
    pub(super) fn new(handle: ConnectionHandle) -> Self {
        Self { handle, bytes: 0 }
    }

    /// Charges more memory, once there is room for it.
    ///
    /// # Errors
    /// [`NoRoom`] if this body is the one to give way.
    pub(super) async fn grow(&mut self, bytes: usize) -> Result<()> {
        std::future::poll_fn(|context| self.handle.poll_charge(bytes, context)).await?;
        self.bytes += bytes;
        self.handle.state.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Releases all but this much.
    pub(super) fn shrink_to(&mut self, bytes: usize) {
        let released_bytes = self.bytes.saturating_sub(bytes);
        self.bytes -= released_bytes;
        let ConnectionHandle { gate, state } = &self.handle;
        state.body_bytes.fetch_sub(released_bytes, Ordering::Relaxed);
        gate.release(released_bytes);
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
