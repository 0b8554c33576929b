//! The receiving side of a channel.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use masticfall_platform::serve;
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::accept_hdr_async_with_config;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::StatusCode;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::{MAX_MESSAGE_BYTES, SECRET_HEADER, deliver};
use crate::context::Node;

/// Timeout of the WebSocket handshake, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;

/// Time without a message after which a channel is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// Accepts channels from peers; never returns.
pub async fn accept(node: Arc<Node>, listener: TcpListener) {
    loop {
        let stream = serve::accept(&listener).await;
        let node = Arc::clone(&node);
        tokio::spawn(async move { serve_channel(&node, stream).await });
    }
}

#[expect(clippy::result_large_err, reason = "the library's callback has this type")]
async fn serve_channel(node: &Arc<Node>, stream: TcpStream) {
    let config = WebSocketConfig::default().max_message_size(Some(MAX_MESSAGE_BYTES));
    let check = |request: &Request, response: Response| check_secret(node, request, response);
    let handshake = accept_hdr_async_with_config(stream, check, Some(config));
    let handshake =
        tokio::time::timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), handshake).await;
    let Ok(Ok(mut channel)) = handshake else {
        return;
    };
    while let Ok(Some(Ok(message))) =
        tokio::time::timeout(Duration::from_millis(IDLE_TIMEOUT_MS), channel.next()).await
    {
        if !message.is_binary() {
            continue;
        }
        deliver(node, &message.into_data());
    }
}

#[expect(clippy::result_large_err, reason = "the library's callback has this type")]
fn check_secret(
    node: &Node,
    request: &Request,
    response: Response,
) -> Result<Response, ErrorResponse> {
    let given = request.headers().get(SECRET_HEADER).map(|value| value.as_bytes().to_vec());
    let expected = node.settings.peer_secret.as_bytes();
    if given.is_some_and(|given| given.ct_eq(expected).into()) {
        return Ok(response);
    }
    let mut refused = ErrorResponse::new(None);
    *refused.status_mut() = StatusCode::UNAUTHORIZED;
    Err(refused)
}
