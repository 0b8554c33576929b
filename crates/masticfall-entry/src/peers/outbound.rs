//! The sending side of a channel: dials, sends, and redials after a failure.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use masticfall_core::id::Name;
use tokio::sync::mpsc;
use tokio_tungstenite::connect_async;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::http::HeaderValue;
use tokio_tungstenite::tungstenite::{Error, Message};

use super::{Encoded, SECRET_HEADER};
use crate::context::Node;
use crate::state::Phase;

/// Delay before redialling, in milliseconds.
const REDIAL_DELAY_MS: u64 = 500;

/// Failures in a row after which an address of no member or seed is given up.
const MAX_UNKNOWN_DIALS: u32 = 20;

/// Keeps a channel to `address` until the address is given up or the process has left.
pub async fn run(node: Arc<Node>, address: Name, mut outbox: mpsc::Receiver<Encoded>) {
    let mut unknown_dials = 0;
    loop {
        match run_channel(&node, &address, &mut outbox).await {
            Ok(()) => return,
            Err(error) => {
                tracing::debug!(name: "peer.channel.lost", peer = %address, error = %error, "channel to peer failed");
            }
        }
        let known = is_known(&node, &address);
        unknown_dials = if known { 0 } else { unknown_dials + 1 };
        if unknown_dials > MAX_UNKNOWN_DIALS || node.state().phase == Phase::Left {
            return;
        }
        tokio::time::sleep(Duration::from_millis(REDIAL_DELAY_MS)).await;
    }
}

fn is_known(node: &Node, address: &Name) -> bool {
    let seeds = &node.settings.seed_peers;
    let state = node.state();
    state.members.values().any(|member| member.row.peer == *address)
        || seeds.iter().any(|seed| seed.to_string() == **address)
}

async fn run_channel(
    node: &Arc<Node>,
    address: &Name,
    outbox: &mut mpsc::Receiver<Encoded>,
) -> Result<(), Error> {
    let mut request = format!("ws://{address}/peer").into_client_request()?;
    let secret = HeaderValue::from_str(&node.settings.peer_secret)
        .map_err(|error| Error::Io(std::io::Error::new(std::io::ErrorKind::InvalidInput, error)))?;
    request.headers_mut().insert(SECRET_HEADER, secret);
    let (mut channel, _) = connect_async(request).await?;
    loop {
        tokio::select! {
            message = outbox.recv() => {
                let Some(bytes) = message else { return channel.close(None).await };
                channel.send(Message::binary(bytes.as_ref().clone())).await?;
            }
            received = channel.next() => match received {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(error),
                None => return Err(Error::ConnectionClosed),
            }
        }
    }
}
