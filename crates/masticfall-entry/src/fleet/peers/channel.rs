//! Questions and answers between processes: CBOR over WebSocket.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use futures_util::{SinkExt, StreamExt};
use masticfall_core::fleet::config::FleetConfig;
use masticfall_platform::error::{MalformedSnafu, UnavailableSnafu};
use masticfall_platform::{PlatformError, Result};
use masticfall_wire::{decode, encode};
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::{HeaderValue, StatusCode};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_tungstenite::{accept_hdr_async_with_config, connect_async_with_config};

use super::PeerRow;
use crate::fleet::context::Fleet;

/// Header with the token of the process that is asked.
const TOKEN_HEADER: &str = "masticfall-peer-token";

/// Longest exchange, in milliseconds: a configuration of some megabytes over a
/// link of 10 Mbit/s.
const EXCHANGE_MS: u64 = 2_500;

/// Largest message, in bytes; a configuration of 10,000 queues is about 2 MB.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

fn bounds() -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(MAX_MESSAGE_BYTES))
}

/// Asks a process for a configuration newer than version `known`.
pub fn fetch_config(peer: PeerRow, known: u64) -> BoxFuture<'static, Result<Option<FleetConfig>>> {
    Box::pin(async move {
        match timeout(Duration::from_millis(EXCHANGE_MS), exchange(&peer, known)).await {
            Ok(answer) => answer,
            Err(_elapsed) => UnavailableSnafu { reason: "no answer in time" }.fail(),
        }
    })
}

async fn exchange(peer: &PeerRow, known: u64) -> Result<Option<FleetConfig>> {
    let lost =
        |error: Error| -> PlatformError { UnavailableSnafu { reason: error.to_string() }.build() };
    let malformed = |reason: String| -> PlatformError { MalformedSnafu { reason }.build() };
    let url = format!("ws://{}/config", peer.address);
    let mut request = url.into_client_request().map_err(lost)?;
    let token = HeaderValue::from_str(&peer.token).map_err(|error| malformed(error.to_string()))?;
    request.headers_mut().insert(TOKEN_HEADER, token);
    let connected = connect_async_with_config(request, Some(bounds()), true).await;
    let (mut channel, _) = connected.map_err(lost)?;
    let question = encode(&known).map_err(|error| malformed(error.to_string()))?;
    channel.send(Message::binary(question)).await.map_err(lost)?;
    match channel.next().await {
        Some(Ok(message)) => {
            decode(&message.into_data()).map_err(|error| malformed(error.to_string()))
        }
        Some(Err(error)) => Err(lost(error)),
        None => UnavailableSnafu { reason: "closed without an answer" }.fail(),
    }
}

/// Answers other processes for the life of this one.
pub async fn serve(fleet: Arc<Fleet>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let fleet = Arc::clone(&fleet);
                tokio::spawn(async move {
                    let answering = answer(&fleet, stream);
                    if timeout(Duration::from_millis(EXCHANGE_MS), answering).await.is_err() {
                        tracing::debug!(name: "peer.too_slow", "question left without an answer");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(name: "peer.not_accepted", %error, "trying again");
                tokio::task::yield_now().await;
            }
        }
    }
}

#[expect(clippy::result_large_err, reason = "the library's callback has this type")]
async fn answer(fleet: &Fleet, stream: TcpStream) {
    let check = |request: &Request, response: Response| {
        let given = request.headers().get(TOKEN_HEADER).map(HeaderValue::as_bytes);
        if given.is_some_and(|given| given.ct_eq(fleet.token.as_bytes()).into()) {
            return Ok(response);
        }
        let mut refused = ErrorResponse::new(None);
        *refused.status_mut() = StatusCode::UNAUTHORIZED;
        Err(refused)
    };
    let answered = async {
        let mut channel = accept_hdr_async_with_config(stream, check, Some(bounds())).await?;
        let Some(question) = channel.next().await.transpose()? else { return Ok(()) };
        let Ok(known) = decode::<u64>(&question.into_data()) else { return Ok(()) };
        let newer = fleet.config().filter(|config| config.version > known);
        let Ok(bytes) = encode(&newer.as_deref()) else { return Ok(()) };
        channel.send(Message::binary(bytes)).await?;
        channel.close(None).await
    };
    if let Err::<(), Error>(error) = answered.await {
        tracing::debug!(name: "peer.broken_off", %error, "question left without an answer");
    }
}
