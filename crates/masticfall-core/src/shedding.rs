//! Which of the callers' connections gives way when they hold more than the process may keep.
//!
//! Answers a load of clients that don't finish what they begin: heads and bodies without end,
//! bodies that stop just short of it, connections without requests. What such a client holds
//! grows old, while a request of an ordinary caller is complete within a round trip or two. So
//! the oldest gives way first, and a request whose answer is being prepared never does. For
//! memory, large bodies go before everything else, since one of them makes room for many small
//! requests.

/// Size up to which a body counts as small, in bytes.
pub const SMALL_BODY_BYTES: usize = 16 * 1_024;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No request, or an answer that the client has yet to read.
    Idle,
    /// A request that is not complete.
    Receiving,
    /// A complete request without an answer.
    Answering,
}

/// A connection, as far as it matters here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionView {
    /// Number of the connection; later ones have higher numbers.
    pub id: u64,
    /// What it is used for.
    pub phase: ConnectionPhase,
    /// When the incomplete request began, or when the connection became idle, in milliseconds.
    pub since_ms: u64,
    /// What is stored of the body of the current request, in bytes.
    pub body_bytes: usize,
}

/// What gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shed {
    /// The body on this connection; its request is refused.
    Body(u64),
    /// The connection with this number, which is closed.
    Connection(u64),
}

/// Chooses what gives way to make room in memory; nothing if each connection waits for an
/// answer.
pub fn shed_for_memory(connections: impl IntoIterator<Item = ConnectionView>) -> Option<Shed> {
    let has_large_body = |connection: &ConnectionView| {
        connection.phase == ConnectionPhase::Receiving && connection.body_bytes > SMALL_BODY_BYTES
    };
    let rank = |connection: &ConnectionView| {
        (!has_large_body(connection), connection.since_ms, connection.id)
    };
    let chosen = connections.into_iter().filter(can_give_way).min_by_key(rank)?;
    Some(if has_large_body(&chosen) { Shed::Body(chosen.id) } else { Shed::Connection(chosen.id) })
}

/// Chooses the connection that is closed to make room for another one; none if each waits for
/// an answer.
pub fn shed_for_connection(connections: impl IntoIterator<Item = ConnectionView>) -> Option<u64> {
    let rank = |connection: &ConnectionView| (connection.since_ms, connection.id);
    let chosen = connections.into_iter().filter(can_give_way).min_by_key(rank);
    chosen.map(|connection| connection.id)
}

fn can_give_way(connection: &ConnectionView) -> bool {
    connection.phase != ConnectionPhase::Answering
}
