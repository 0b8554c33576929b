//! What the clients of a server hold as a whole: connections, buffers and bodies.
//!
//! Each connection is charged for its buffers, and for what is stored of a body, before it takes
//! the memory. Beyond the limit something gives way, by [`masticfall_core::shedding`], and
//! whatever asked for memory waits until it has been released.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::shedding::{ConnectionView, Shed, shed_for_connection, shed_for_memory};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::connection::{Connection, ConnectionState};
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
    connections: IndexMap<u64, Arc<ConnectionState>>,
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

impl State {
    /// Returns the connections that may still be asked to give way.
    fn views(&self) -> impl Iterator<Item = ConnectionView> + '_ {
        let staying = self.connections.values();
        let staying = staying.filter(|connection| !connection.is_closing());
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

    pub(super) fn now_ms(&self) -> u64 {
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
            let is_one_leaving =
                state.connections.values().any(|connection| connection.is_closing());
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
        let id = state.next_id;
        state.next_id += 1;
        let connection = Arc::new(ConnectionState::new(id, self.now_ms(), CONNECTION_BYTES));
        state.connections.insert(id, Arc::clone(&connection));
        self.usage.connections.store(state.connections.len() as u64, Ordering::Relaxed);
        Poll::Ready(Ok(Connection::new(Arc::clone(self), connection)))
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
            if state.held_bytes + bytes <= memory_bytes + state.leaving_bytes() {
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

    /// Charges memory to an admitted connection, once there is room for it.
    pub(super) fn poll_charge_to(
        &self,
        id: u64,
        bytes: usize,
        context: &Context<'_>,
    ) -> Poll<Result<()>> {
        self.poll_charge(&mut self.state.lock(), Some(id), bytes, context)
    }

    /// Releases memory that was charged.
    pub(super) fn release(&self, bytes: usize) {
        self.release_locked(&mut self.state.lock(), bytes);
    }

    /// Removes a connection, whose charge besides its body is released.
    pub(super) fn remove(&self, id: u64, bytes: usize) {
        let mut state = self.state.lock();
        state.connections.swap_remove(&id);
        self.usage.connections.store(state.connections.len() as u64, Ordering::Relaxed);
        self.release_locked(&mut state, bytes);
    }

    /// Lets a connection stay that may have been told to give way: its request is complete.
    pub(super) fn keep(&self, connection: &ConnectionState) {
        // Under the lock, so that nothing chooses this connection meanwhile.
        let mut state = self.state.lock();
        if connection.stay_for_answer(self.now_ms()) {
            // What others wait for isn't released soon.
            state.wake();
        }
    }

    /// Records that a connection was closed, since nothing else made room for it.
    pub(super) fn record_shed_connection(&self) {
        self.count(&mut self.state.lock(), &self.usage.shed_connections);
    }

    /// Records that a request was refused to make room.
    pub(super) fn record_shed_body(&self) {
        self.count(&mut self.state.lock(), &self.usage.shed_bodies);
    }

    fn release_locked(&self, state: &mut State, bytes: usize) {
        state.held_bytes -= bytes;
        self.usage.held_bytes.store(state.held_bytes as u64, Ordering::Relaxed);
        state.wake();
    }

    /// Tells a connection to give way.
    fn shed(&self, state: &mut State, shed: Shed) {
        let (Shed::Body(id) | Shed::Connection(id)) = shed;
        let Some(connection) = state.connections.get(&id) else { return };
        connection.give_way(shed);
        if matches!(shed, Shed::Connection(_)) {
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
