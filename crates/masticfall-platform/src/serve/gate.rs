//! What the clients of a server hold as a whole: connections, buffers and bodies.
//!
//! Each connection is charged for its buffers, and for what is stored of a body, before it takes
//! the memory. Beyond the limit something gives way, by [`masticfall_core::shedding`], and
//! whatever asked for memory waits until it has been released.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::shedding::{
    ConnectionPhase, ConnectionView, Shed, shed_for_connection, shed_for_memory,
};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::limits::ServeLimits;

/// Memory of a connection with an initial read buffer, in bytes.
const CONNECTION_BYTES: usize = 12 * 1_024;

/// Interval of log lines about what gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The clients hold too much, and nothing else gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// Result of asking for memory.
pub type Result<T, E = NoRoom> = std::result::Result<T, E>;

/// What clients hold, and how often something gave way.
#[derive(Debug, Default)]
pub struct ServeUsage {
    /// Open connections.
    pub connections: AtomicU64,
    /// Memory that they are charged for, in bytes.
    pub held_bytes: AtomicU64,
    /// Connections that were closed to make room.
    pub shed_connections: AtomicU64,
    /// Requests that were refused to make room, since their bodies were stored.
    pub shed_bodies: AtomicU64,
    /// Connections that were closed at once, since none gave way.
    pub refused_connections: AtomicU64,
    /// Connections that the system could not hand over.
    pub failed_accepts: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    held_bytes: usize,
    connections: IndexMap<u64, Arc<Shared>>,
    waiting: Vec<Waker>,
    logged_at: Option<Instant>,
    /// Counts at the time of the last log line: connections and bodies.
    logged_counts: (u64, u64),
}

/// Sizes of a single request that has to find room, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSizes {
    /// Maximum size of the headers.
    pub header_bytes: usize,
    /// Maximum size of the body.
    pub body_bytes: usize,
}

/// Limits what the clients of a server hold.
pub struct Gate {
    /// Returns the sizes that are allowed now.
    request_sizes: Box<dyn Fn() -> RequestSizes + Send + Sync>,
    limits: Mutex<ServeLimits>,
    usage: Arc<ServeUsage>,
    started_at: Instant,
    state: Mutex<State>,
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate").field("limits", &self.limits).finish_non_exhaustive()
    }
}

/// State of a connection that the gate and its own tasks share.
#[derive(Debug)]
struct Shared {
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

impl Shared {
    fn phase(&self) -> ConnectionPhase {
        match self.phase.load(Ordering::Relaxed) {
            0 => ConnectionPhase::Idle,
            1 => ConnectionPhase::Receiving,
            _ => ConnectionPhase::Answering,
        }
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        let code = match phase {
            ConnectionPhase::Idle => 0,
            ConnectionPhase::Receiving => 1,
            ConnectionPhase::Answering => 2,
        };
        self.phase.store(code, Ordering::Relaxed);
    }

    fn view(&self) -> ConnectionView {
        // A body that is being given up doesn't make room twice.
        let gives_up_body = self.gives_up_body.load(Ordering::Relaxed);
        let body_bytes = if gives_up_body { 0 } else { self.body_bytes.load(Ordering::Relaxed) };
        let since_ms = self.since_ms.load(Ordering::Relaxed);
        ConnectionView { id: self.id, phase: self.phase(), since_ms, body_bytes }
    }

    /// Returns the memory that is about to be released, in bytes.
    fn leaving_bytes(&self) -> usize {
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

impl State {
    /// Returns the connections that may still be asked to give way.
    fn views(&self) -> impl Iterator<Item = ConnectionView> + '_ {
        let staying = self.connections.values();
        let staying = staying.filter(|connection| !connection.closes.load(Ordering::Relaxed));
        staying.map(|connection| connection.view())
    }

    fn leaving_bytes(&self) -> usize {
        self.connections.values().map(|connection| connection.leaving_bytes()).sum()
    }

    fn wait(&mut self, context: &Context<'_>) {
        if !self.waiting.iter().any(|waker| waker.will_wake(context.waker())) {
            self.waiting.push(context.waker().clone());
        }
    }

    fn wake(&mut self) {
        for waker in self.waiting.drain(..) {
            waker.wake();
        }
    }
}

impl Gate {
    /// Creates a gate that counts in `usage`. Its limits are raised, if need be, to what
    /// `request_sizes` returns when a connection is accepted.
    pub fn new(
        limits: ServeLimits,
        usage: Arc<ServeUsage>,
        request_sizes: impl Fn() -> RequestSizes + Send + Sync + 'static,
    ) -> Arc<Self> {
        let (started_at, state) = (Instant::now(), Mutex::default());
        let (request_sizes, limits) = (Box::new(request_sizes), Mutex::new(limits));
        Arc::new(Self { request_sizes, limits, usage, started_at, state })
    }

    /// Returns the limits.
    pub fn limits(&self) -> ServeLimits {
        *self.limits.lock()
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Makes room for a new connection and charges it.
    ///
    /// # Errors
    /// [`NoRoom`] if all connections wait for answers.
    pub(super) async fn admit(self: &Arc<Self>) -> Result<Connection> {
        let RequestSizes { header_bytes, body_bytes } = (self.request_sizes)();
        self.limits.lock().make_room_for(header_bytes, body_bytes);
        let admitted = std::future::poll_fn(|context| self.poll_admit(context)).await;
        if admitted.is_err() {
            self.count(&mut self.state.lock(), &self.usage.refused_connections);
        }
        admitted
    }

    /// Records that the system could not hand over a connection, and closes the one that can
    /// best be spared: the process may have no descriptor left.
    pub(super) fn handle_failed_accept(&self) {
        let mut state = self.state.lock();
        let chosen = shed_for_connection(state.views());
        if let Some(id) = chosen {
            self.shed(&mut state, Shed::Connection(id));
        }
        self.count(&mut state, &self.usage.failed_accepts);
    }

    fn poll_admit(self: &Arc<Self>, context: &Context<'_>) -> Poll<Result<Connection>> {
        let mut state = self.state.lock();
        if state.connections.len() >= self.limits().max_connections {
            let is_one_leaving = state
                .connections
                .values()
                .any(|connection| connection.closes.load(Ordering::Relaxed));
            if !is_one_leaving {
                let Some(id) = shed_for_connection(state.views()) else {
                    return Poll::Ready(Err(NoRoom));
                };
                self.shed(&mut state, Shed::Connection(id));
            }
            state.wait(context);
            return Poll::Pending;
        }
        if self.poll_charge(&mut state, None, CONNECTION_BYTES, context)?.is_pending() {
            return Poll::Pending;
        }
        let shared = Arc::new(Shared {
            id: state.next_id,
            phase: AtomicU8::new(0),
            since_ms: AtomicU64::new(self.now_ms()),
            buffer_bytes: AtomicUsize::new(CONNECTION_BYTES),
            body_bytes: AtomicUsize::new(0),
            gives_up_body: AtomicBool::new(false),
            closes: AtomicBool::new(false),
            body_shed: Notify::new(),
            closed: Notify::new(),
        });
        state.next_id += 1;
        state.connections.insert(shared.id, Arc::clone(&shared));
        self.usage.connections.store(state.connections.len() as u64, Ordering::Relaxed);
        let handle = ConnectionHandle { gate: Arc::clone(self), shared };
        Poll::Ready(Ok(Connection { handle }))
    }

    /// Charges memory to the connection `for_id`, or to a new one, once there is room for it.
    fn poll_charge(
        &self,
        state: &mut State,
        for_id: Option<u64>,
        bytes: usize,
        context: &Context<'_>,
    ) -> Poll<Result<()>> {
        let memory_bytes = self.limits().memory_bytes;
        while state.held_bytes + bytes > memory_bytes {
            if state.held_bytes + bytes - state.leaving_bytes() <= memory_bytes {
                state.wait(context);
                return Poll::Pending;
            }
            let chosen = shed_for_memory(state.views());
            match chosen {
                None => return Poll::Ready(Err(NoRoom)),
                Some(Shed::Body(id) | Shed::Connection(id)) if Some(id) == for_id => {
                    return Poll::Ready(Err(NoRoom));
                }
                Some(shed) => self.shed(state, shed),
            }
        }
        state.held_bytes += bytes;
        self.usage.held_bytes.store(state.held_bytes as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }

    fn release(&self, state: &mut State, bytes: usize) {
        state.held_bytes -= bytes;
        self.usage.held_bytes.store(state.held_bytes as u64, Ordering::Relaxed);
        state.wake();
    }

    /// Tells a connection to give way.
    fn shed(&self, state: &mut State, shed: Shed) {
        let (Shed::Body(id) | Shed::Connection(id)) = shed;
        let Some(connection) = state.connections.get(&id) else { return };
        if matches!(shed, Shed::Body(_)) {
            connection.gives_up_body.store(true, Ordering::Relaxed);
            connection.body_shed.notify_one();
        } else {
            connection.closes.store(true, Ordering::Relaxed);
            connection.closed.notify_one();
            self.count(state, &self.usage.shed_connections);
        }
    }

    fn count(&self, state: &mut State, counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
        self.log(state);
    }

    /// Logs what gave way since the last line, at most once in an interval.
    fn log(&self, state: &mut State) {
        let now = Instant::now();
        if state.logged_at.is_some_and(|logged_at| now - logged_at < LOG_INTERVAL) {
            return;
        }
        state.logged_at = Some(now);
        let counts = (
            self.usage.shed_connections.load(Ordering::Relaxed),
            self.usage.shed_bodies.load(Ordering::Relaxed),
        );
        let (connections_before, bodies_before) = state.logged_counts;
        state.logged_counts = counts;
        let limits = self.limits();
        tracing::warn!(
            name: "callers.shed",
            closed_connections = counts.0 - connections_before,
            refused_bodies = counts.1 - bodies_before,
            connections = state.connections.len(),
            max_connections = limits.max_connections,
            held_bytes = state.held_bytes,
            max_held_bytes = limits.memory_bytes,
            "callers hold too much; the oldest connections and bodies gave way"
        );
    }
}

/// A connection that a gate has admitted, until it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    handle: ConnectionHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let ConnectionHandle { gate, shared } = &self.handle;
        let mut state = gate.state.lock();
        state.connections.swap_remove(&shared.id);
        gate.usage.connections.store(state.connections.len() as u64, Ordering::Relaxed);
        gate.release(&mut state, shared.buffer_bytes.load(Ordering::Relaxed));
    }
}

impl Connection {
    pub(super) fn handle(&self) -> ConnectionHandle {
        self.handle.clone()
    }
}

/// Access to an admitted connection, from its requests too.
#[derive(Debug, Clone)]
pub(super) struct ConnectionHandle {
    gate: Arc<Gate>,
    shared: Arc<Shared>,
}

impl ConnectionHandle {
    pub(super) fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Completes when the connection has to close.
    pub(super) async fn closed(&self) {
        // A request may have become complete in the meantime.
        while !self.shared.closes.load(Ordering::Relaxed) {
            self.shared.closed.notified().await;
        }
    }

    /// Completes when the body that is being received has to be given up.
    pub(super) async fn body_shed(&self) {
        // The notification may have been for an earlier request.
        while !self.shared.gives_up_body.load(Ordering::Relaxed) {
            self.shared.body_shed.notified().await;
        }
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        self.shared.since_ms.store(self.gate.now_ms(), Ordering::Relaxed);
        self.shared.set_phase(phase);
    }

    /// Records that bytes of a request have arrived.
    pub(super) fn record_received(&self) {
        if self.shared.phase() == ConnectionPhase::Idle {
            self.set_phase(ConnectionPhase::Receiving);
        }
    }

    /// Records that the client has taken a part of an answer.
    pub(super) fn record_taken(&self) {
        if self.shared.phase() == ConnectionPhase::Idle {
            self.set_phase(ConnectionPhase::Idle);
        }
    }

    /// Records that a request has been received completely.
    pub(super) fn record_complete(&self) {
        // Under the lock, so that nothing chooses this connection meanwhile.
        let mut state = self.gate.state.lock();
        self.set_phase(ConnectionPhase::Answering);
        let gave_up_body = self.shared.gives_up_body.swap(false, Ordering::Relaxed);
        let was_closing = self.shared.closes.swap(false, Ordering::Relaxed);
        if gave_up_body || was_closing {
            // What others wait for isn't released soon.
            state.wake();
        }
    }

    /// Records that the request that was incomplete when it was refused is complete.
    pub(super) fn record_discarded(&self) {
        if self.shared.phase() == ConnectionPhase::Receiving {
            self.set_phase(ConnectionPhase::Idle);
        }
    }

    /// Counts a request as being received or answered until the guard is dropped.
    pub(super) fn begin_request(&self) -> RequestGuard {
        self.record_received();
        self.shared.gives_up_body.store(false, Ordering::Relaxed);
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
                self.shared.buffer_bytes.fetch_add(bytes, Ordering::Relaxed);
            }
            Poll::Ready(Err(NoRoom)) => {
                self.gate.count(&mut self.gate.state.lock(), &self.gate.usage.shed_connections);
            }
            Poll::Pending => {}
        }
        charged
    }

    /// Records that a request was refused to make room.
    pub(super) fn record_shed_body(&self) {
        self.gate.count(&mut self.gate.state.lock(), &self.gate.usage.shed_bodies);
    }

    fn poll_charge(&self, bytes: usize, context: &Context<'_>) -> Poll<Result<()>> {
        let mut state = self.gate.state.lock();
        self.gate.poll_charge(&mut state, Some(self.shared.id), bytes, context)
    }
}

/// Marks the connection as idle when dropped, if its request was complete.
#[derive(Debug)]
pub(super) struct RequestGuard(ConnectionHandle);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        // A connection on which the rest of a refused request is awaited stays as old as it is.
        if self.0.shared.phase() == ConnectionPhase::Answering {
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
        self.handle.shared.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Releases all but this much.
    pub(super) fn shrink_to(&mut self, bytes: usize) {
        let released_bytes = self.bytes.saturating_sub(bytes);
        self.bytes -= released_bytes;
        let ConnectionHandle { gate, shared } = &self.handle;
        shared.body_bytes.fetch_sub(released_bytes, Ordering::Relaxed);
        gate.release(&mut gate.state.lock(), released_bytes);
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
