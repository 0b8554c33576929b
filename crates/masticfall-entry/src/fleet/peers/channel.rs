//! Connections between processes: CBOR over WebSocket.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use futures_util::{SinkExt, StreamExt};
use masticfall_core::fleet::config::FleetConfig;
use masticfall_platform::error::{MalformedSnafu, UnavailableSnafu};
use masticfall_platform::serve::accept;
use masticfall_platform::{PlatformError, Result};
use masticfall_wire::{decode, encode};
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::{HeaderValue, StatusCode};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_tungstenite::{
    MaybeTlsStream, WebSocketStream, accept_hdr_async_with_config, connect_async_with_config,
};

use super::PeerRow;
use crate::fleet::context::Fleet;
use crate::fleet::relay::{self, FrameChannel};
use crate::fleet::{follow, submissions};

/// Header with the token of the process that receives the request.
const TOKEN_HEADER: &str = "masticfall-peer-token";

/// Path of requests for the configuration.
const CONFIG_PATH: &str = "/config";

/// Path of an owner's connection to a relay.
const RELAY_PATH: &str = "/relay";

/// Path of a connection that carries stored submissions to the owner.
const SUBMISSIONS_PATH: &str = "/submissions";

/// Frames that a connection holds in each direction before the sender has to wait.
const FRAMES_IN_FLIGHT: usize = 4;

/// Timeout of an exchange, in milliseconds: enough for a configuration of a few
/// megabytes over a link of 10 Mbit/s.
const EXCHANGE_TIMEOUT_MS: u64 = 2_500;

/// Maximum message size, in bytes; a configuration of 10,000 queues is about 2 MB.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(MAX_MESSAGE_BYTES))
}

/// Requests a configuration newer than version `known` from a peer.
pub fn fetch_config(peer: PeerRow, known: u64) -> BoxFuture<'static, Result<Option<FleetConfig>>> {
    Box::pin(async move {
        match timeout(Duration::from_millis(EXCHANGE_TIMEOUT_MS), exchange(&peer, known)).await {
            Ok(answer) => answer,
            Err(_elapsed) => UnavailableSnafu { reason: "peer did not answer in time" }.fail(),
        }
    })
}

#[expect(clippy::needless_pass_by_value, reason = "passed to `map_err`")]
fn unavailable(error: Error) -> PlatformError {
    UnavailableSnafu { reason: error.to_string() }.build()
}

async fn connect(peer: &PeerRow, path: &str) -> Result<WebSocketStream<MaybeTlsStream<TcpStream>>> {
    let url = format!("ws://{}{path}", peer.address);
    let mut request = url.into_client_request().map_err(unavailable)?;
    let token = HeaderValue::from_str(&peer.token)
        .or_else(|error| MalformedSnafu { reason: error.to_string() }.fail())?;
    request.headers_mut().insert(TOKEN_HEADER, token);
    let connected = connect_async_with_config(request, Some(websocket_config()), true).await;
    let (channel, _) = connected.map_err(unavailable)?;
    Ok(channel)
}

/// Opens a connection to a process that relays calls to workers.
pub fn connect_relay(peer: PeerRow) -> BoxFuture<'static, Result<FrameChannel>> {
    Box::pin(async move { Ok(carry_frames(connect(&peer, RELAY_PATH).await?)) })
}

/// Opens a connection that carries stored submissions to the owner.
pub fn connect_owner(peer: PeerRow) -> BoxFuture<'static, Result<FrameChannel>> {
    Box::pin(async move { Ok(carry_frames(connect(&peer, SUBMISSIONS_PATH).await?)) })
}

/// Carries frames over a connection until either side ends it.
fn carry_frames<S>(connection: WebSocketStream<S>) -> FrameChannel
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let (mut sink, mut stream) = connection.split();
    let (outgoing, mut frames) = mpsc::channel::<Vec<u8>>(FRAMES_IN_FLIGHT);
    let (received, incoming) = mpsc::channel(FRAMES_IN_FLIGHT);
    tokio::spawn(async move {
        while let Some(frame) = frames.recv().await {
            if let Err(error) = sink.send(Message::binary(frame)).await {
                tracing::debug!(name: "peer.broken_off", %error, "peer connection failed");
                return;
            }
        }
        // The other side may have closed the connection already.
        drop(sink.close().await);
    });
    tokio::spawn(async move {
        while let Some(Ok(message)) = stream.next().await {
            if message.is_binary() && received.send(message.into_data().to_vec()).await.is_err() {
                return;
            }
        }
    });
    FrameChannel { outgoing, incoming }
}

async fn exchange(peer: &PeerRow, known: u64) -> Result<Option<FleetConfig>> {
    let malformed = |reason: String| -> PlatformError { MalformedSnafu { reason }.build() };
    let mut channel = connect(peer, CONFIG_PATH).await?;
    let message = encode(&known).map_err(|error| malformed(error.to_string()))?;
    channel.send(Message::binary(message)).await.map_err(unavailable)?;
    match channel.next().await {
        Some(Ok(message)) => {
            decode(&message.into_data()).map_err(|error| malformed(error.to_string()))
        }
        Some(Err(error)) => Err(unavailable(error)),
        None => UnavailableSnafu { reason: "peer closed the connection without an answer" }.fail(),
    }
}

/// Receives stored submissions from another process until the connection ends.
pub async fn receive_submissions(fleet: Arc<Fleet>, channel: FrameChannel) {
    submissions::receive(channel, |notices| follow::apply_notices(&fleet, notices)).await;
}

/// Serves peers for as long as the process runs.
pub async fn serve(fleet: Arc<Fleet>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let fleet = Arc::clone(&fleet);
        tokio::spawn(async move {
            let handling = handle_request(&fleet, stream);
            match timeout(Duration::from_millis(EXCHANGE_TIMEOUT_MS), handling).await {
                Ok(Ok(Accepted::Relay(channel))) => relay::serve(fleet, channel).await,
                Ok(Ok(Accepted::Submissions(channel))) => receive_submissions(fleet, channel).await,
                Ok(Ok(Accepted::Answered)) => {}
                Ok(Err(error)) => {
                    tracing::debug!(name: "peer.broken_off", %error, "peer connection failed");
                }
                Err(_elapsed) => {
                    tracing::debug!(name: "peer.too_slow", "peer request timed out");
                }
            }
        });
    }
}

/// What a connection of another process is for.
enum Accepted {
    /// The request was answered.
    Answered,
    /// An owner's calls to workers.
    Relay(FrameChannel),
    /// Stored submissions.
    Submissions(FrameChannel),
}

/// Handles a request for the configuration, or accepts a connection that carries frames.
#[expect(clippy::result_large_err, reason = "the library's callback has this type")]
async fn handle_request(fleet: &Fleet, stream: TcpStream) -> Result<Accepted, Error> {
    let mut path = String::new();
    let check = |request: &Request, response: Response| {
        let given = request.headers().get(TOKEN_HEADER).map(HeaderValue::as_bytes);
        request.uri().path().clone_into(&mut path);
        if given.is_some_and(|given| given.ct_eq(fleet.token.as_bytes()).into()) {
            return Ok(response);
        }
        let mut refused = ErrorResponse::new(None);
        *refused.status_mut() = StatusCode::UNAUTHORIZED;
        Err(refused)
    };
    let config = Some(websocket_config());
    let mut channel = accept_hdr_async_with_config(stream, check, config).await?;
    match path.as_str() {
        RELAY_PATH => return Ok(Accepted::Relay(carry_frames(channel))),
        SUBMISSIONS_PATH => return Ok(Accepted::Submissions(carry_frames(channel))),
        _ => {}
    }
    let Some(message) = channel.next().await.transpose()? else { return Ok(Accepted::Answered) };
    let Ok(known) = decode::<u64>(&message.into_data()) else { return Ok(Accepted::Answered) };
    let newer = fleet.config().filter(|config| config.version > known);
    let Ok(bytes) = encode(&newer.as_deref()) else { return Ok(Accepted::Answered) };
    channel.send(Message::binary(bytes)).await?;
    channel.close(None).await?;
    Ok(Accepted::Answered)
}
