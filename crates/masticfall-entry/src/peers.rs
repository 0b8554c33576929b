//! Channels between entry processes: CBOR messages over WebSocket.
//!
//! Each process dials every other one and sends only on connections that it
//! dialled, so that no reply depends on which of two processes started first.

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
pub use react::idle_instances;

use crate::context::{Node, wall_ms};
use crate::state::Phase;

/// Capacity of a peer's outbox; further messages are dropped.
const OUTBOX_MESSAGES: usize = 256;

/// Period of heartbeats within a data centre, in milliseconds.
pub const LOCAL_HEARTBEAT_MS: u64 = 500;

/// Number of heartbeats within a data centre for each one to other data centres.
///
/// Changes are announced at once; heartbeats only repeat them for peers that missed one.
pub const LOCAL_HEARTBEATS_PER_REMOTE: u64 = 5;

/// Maximum message size, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Header with the secret that authenticates peers.
const SECRET_HEADER: &str = "masticfall-peer-secret";

/// An encoded message.
pub type Encoded = Arc<Vec<u8>>;

/// Starts a task that sends the messages of an outbox to a peer's address.
pub type Dialer = Arc<dyn Fn(Arc<Node>, Name, mpsc::Receiver<Encoded>) + Send + Sync>;

/// Returns the dialer that sends messages over WebSocket.
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
            tracing::warn!(name: "peer.message.malformed", error = %error, "could not decode a message from a peer; message dropped");
        }
    }
}

/// Channels to all peers.
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
    /// Creates links without channels; `dial` opens them.
    pub fn new(dial: Dialer) -> Self {
        Self { dial, outboxes: Mutex::default() }
    }

    /// Dials all members and seed peers that have no open channel.
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
            send_initial_heartbeat(node, &sender);
            outboxes.insert(address, sender);
        }
    }

    /// Sends a message to every peer.
    pub fn broadcast(&self, node: &Arc<Node>, message: &PeerMessage) {
        let Some(bytes) = encode_frame(node, message) else {
            return;
        };
        for outbox in self.outboxes.lock().values() {
            enqueue(node, outbox, &bytes);
        }
    }

    /// Sends a message to one peer; does nothing if the peer is unknown.
    pub fn send(&self, node: &Arc<Node>, to: &Incarnation, message: &PeerMessage) {
        let address = node.state().members.get(to).map(|member| Arc::clone(&member.row.peer));
        let Some(address) = address else { return };
        let Some(bytes) = encode_frame(node, message) else {
            return;
        };
        if let Some(outbox) = self.outboxes.lock().get(&address) {
            enqueue(node, outbox, &bytes);
        }
    }

    /// Sends a message to the peers in this data centre, or else to all other peers.
    fn broadcast_where(&self, node: &Arc<Node>, message: &PeerMessage, is_local: bool) {
        let data_centre = node.data_centre();
        let local_addresses: Vec<Name> = {
            let state = node.state();
            let members = state.members.values();
            let local = members.filter(|member| member.row.data_centre == *data_centre);
            local.map(|member| Arc::clone(&member.row.peer)).collect()
        };
        let Some(bytes) = encode_frame(node, message) else {
            return;
        };
        for (address, outbox) in &*self.outboxes.lock() {
            if local_addresses.contains(address) == is_local {
                enqueue(node, outbox, &bytes);
            }
        }
    }
}

/// Sends a heartbeat as the first message to a newly dialled peer.
fn send_initial_heartbeat(node: &Arc<Node>, outbox: &mpsc::Sender<Encoded>) {
    if let Some(bytes) = encode_frame(node, &PeerMessage::Heartbeat(heartbeat(node))) {
        enqueue(node, outbox, &bytes);
    }
}

fn enqueue(node: &Node, outbox: &mpsc::Sender<Encoded>, bytes: &Encoded) {
    if outbox.try_send(Arc::clone(bytes)).is_ok() {
        node.metrics.peer_bytes.inc_by(bytes.len() as u64);
    } else {
        node.metrics.peer_dropped.inc();
    }
}

fn encode_frame(node: &Node, message: &PeerMessage) -> Option<Encoded> {
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

/// Sends heartbeats until the process has left.
pub async fn run_heartbeats(node: Arc<Node>) {
    let mut round = 0;
    loop {
        node.links.connect_missing(&node);
        let local = heartbeat(&node);
        let remote = Heartbeat { demand: IndexMap::new(), ..local.clone() };
        node.links.broadcast_where(&node, &PeerMessage::Heartbeat(local), true);
        if round % LOCAL_HEARTBEATS_PER_REMOTE == 0 {
            node.links.broadcast_where(&node, &PeerMessage::Heartbeat(remote), false);
        }
        round += 1;
        tokio::time::sleep(Duration::from_millis(LOCAL_HEARTBEAT_MS)).await;
        if node.state().phase == Phase::Left {
            return;
        }
    }
}

/// Creates a heartbeat, with the time of sending as its sequence number.
fn heartbeat(node: &Node) -> Heartbeat {
    let now_ms = node.now_ms();
    let state = node.state();
    Heartbeat {
        sequence: now_ms,
        withdrawn_digest: state.withdrawn_digest(),
        quiet: react::idle_instances(&state),
        demand: state.demand(),
        platform: state.reaches_platform(now_ms),
        list_digest: state.list_digest,
    }
}
