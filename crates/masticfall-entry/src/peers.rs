//! Channels between entry processes: CBOR messages over WebSocket.
//!
//! Each process dials every other one and sends on the connection it dialled,
//! so that no answer depends on the order in which two processes started.

mod inbound;
mod outbound;
mod react;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::id::{Incarnation, Name};
use masticfall_wire::peer::{Heartbeat, PeerFrame, PeerMessage};
use masticfall_wire::{decode, encode};
use parking_lot::Mutex;
use tokio::sync::mpsc;

pub use inbound::accept;
pub use react::quiet_instances;

use crate::context::{Node, wall_ms};
use crate::state::Phase;

/// Messages that wait for one peer before newer ones are dropped.
const OUTBOX_MESSAGES: usize = 256;

/// Period of heartbeats within a data centre, in milliseconds.
pub const NEAR_HEARTBEAT_MS: u64 = 500;

/// Heartbeats within a data centre for each one to another data centre.
///
/// Changes are announced at once; heartbeats repeat them for a peer that missed one.
pub const FAR_EVERY: u64 = 5;

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Header that carries the sender's secret.
const SECRET_HEADER: &str = "masticfall-peer-secret";

/// An encoded message.
pub type Encoded = Arc<Vec<u8>>;

/// Starts a task that carries the messages of an outbox to a peer's address.
pub type Dialer = Arc<dyn Fn(Arc<Node>, Name, mpsc::Receiver<Encoded>) + Send + Sync>;

/// Returns the dialer that carries messages over WebSocket.
pub fn websocket_dialer() -> Dialer {
    Arc::new(|node, address, outbox| {
        tokio::spawn(outbound::run(node, address, outbox));
    })
}

/// Handles an encoded message from a peer; a malformed one is dropped and logged.
pub fn deliver(node: &Arc<Node>, bytes: &[u8]) {
    match decode::<PeerFrame>(bytes) {
        Ok(frame) => react::receive(node, frame),
        Err(error) => {
            tracing::warn!(name: "peer.message.malformed", error = %error, "message dropped");
        }
    }
}

/// Channels to all peers, by their peer address.
pub struct Links {
    dial: Dialer,
    outboxes: Mutex<IndexMap<Name, mpsc::Sender<Encoded>>>,
}

impl fmt::Debug for Links {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Links").field("outboxes", &self.outboxes).finish_non_exhaustive()
    }
}

impl Links {
    /// Makes links that are dialled by `dial`.
    pub fn new(dial: Dialer) -> Self {
        Self { dial, outboxes: Mutex::default() }
    }

    /// Dials the peers that are known and not connected.
    pub fn connect_missing(&self, node: &Arc<Node>) {
        let members: Vec<Name> =
            node.state().members.values().map(|member| Arc::clone(&member.row.peer)).collect();
        let seeds = node.settings.seed_peers.iter().map(|seed| Name::from(seed.to_string()));
        let mut outboxes = self.outboxes.lock();
        outboxes.retain(|_, outbox| !outbox.is_closed());
        for address in members.into_iter().chain(seeds) {
            if address == node.addresses.peer || outboxes.contains_key(&address) {
                continue;
            }
            let (sender, receiver) = mpsc::channel(OUTBOX_MESSAGES);
            (self.dial)(Arc::clone(node), Arc::clone(&address), receiver);
            greet(node, &sender);
            outboxes.insert(address, sender);
        }
    }

    /// Sends a message to every peer.
    pub fn broadcast(&self, node: &Arc<Node>, message: &PeerMessage) {
        let Some(bytes) = frame(node, message) else {
            return;
        };
        for outbox in self.outboxes.lock().values() {
            push(node, outbox, &bytes);
        }
    }

    /// Sends a message to one peer; nothing happens when it is not known.
    pub fn send(&self, node: &Arc<Node>, to: &Incarnation, message: &PeerMessage) {
        let address = node.state().members.get(to).map(|member| Arc::clone(&member.row.peer));
        let Some(address) = address else { return };
        let Some(bytes) = frame(node, message) else {
            return;
        };
        if let Some(outbox) = self.outboxes.lock().get(&address) {
            push(node, outbox, &bytes);
        }
    }

    /// Sends a message to the peers of this data centre, or to all others.
    fn send_where(&self, node: &Arc<Node>, message: &PeerMessage, near: bool) {
        let here = node.data_centre();
        let near_addresses: Vec<Name> = {
            let state = node.state();
            let members = state.members.values();
            let here = members.filter(|member| member.row.data_centre == *here);
            here.map(|member| Arc::clone(&member.row.peer)).collect()
        };
        let Some(bytes) = frame(node, message) else {
            return;
        };
        for (address, outbox) in &*self.outboxes.lock() {
            if near_addresses.contains(address) == near {
                push(node, outbox, &bytes);
            }
        }
    }
}

/// Tells a new peer what is in force here, before anything else.
fn greet(node: &Arc<Node>, outbox: &mpsc::Sender<Encoded>) {
    if let Some(bytes) = frame(node, &PeerMessage::Heartbeat(heartbeat(node))) {
        push(node, outbox, &bytes);
    }
}

fn push(node: &Node, outbox: &mpsc::Sender<Encoded>, bytes: &Encoded) {
    if outbox.try_send(Arc::clone(bytes)).is_ok() {
        node.metrics.peer_bytes.inc_by(bytes.len() as u64);
    } else {
        node.metrics.peer_dropped.inc();
    }
}

fn frame(node: &Node, message: &PeerMessage) -> Option<Encoded> {
    let mut state = node.state();
    let frame = PeerFrame {
        from: node.incarnation.clone(),
        stamp: state.timeline.clock().now(wall_ms()),
        revision: state.revision(),
        message: message.clone(),
    };
    drop(state);
    encode(&frame).ok().map(Arc::new)
}

/// Sends heartbeats until the process drains.
pub async fn run_heartbeats(node: Arc<Node>) {
    let mut beat = 0;
    loop {
        node.links.connect_missing(&node);
        let near = heartbeat(&node);
        let far = Heartbeat { demand: IndexMap::new(), ..near.clone() };
        node.links.send_where(&node, &PeerMessage::Heartbeat(near), true);
        if beat % FAR_EVERY == 0 {
            node.links.send_where(&node, &PeerMessage::Heartbeat(far), false);
        }
        beat += 1;
        tokio::time::sleep(Duration::from_millis(NEAR_HEARTBEAT_MS)).await;
        if node.state().phase == Phase::Left {
            return;
        }
    }
}

/// Makes the heartbeat; its sequence number is the clock at which it was sent.
fn heartbeat(node: &Node) -> Heartbeat {
    let now_ms = node.now_ms();
    let state = node.state();
    Heartbeat {
        sequence: now_ms,
        withdrawn_digest: state.withdrawn_digest(),
        quiet: react::quiet_instances(&state),
        demand: state.demand(),
        platform: state.reaches_platform(now_ms),
        list_digest: state.list_digest,
    }
}
