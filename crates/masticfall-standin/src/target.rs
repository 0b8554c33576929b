//! Stand-in targets: HTTP servers that record what really ran.

use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use indexmap::IndexMap;
use masticfall_platform::serve::{ServePhase, bind, serve};
use motore::service::Service;
use parking_lot::Mutex;
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

/// Largest chunk of a streamed answer, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// What a target saw.
#[derive(Debug, Clone, Default)]
pub struct TargetRecord {
    /// Times each request ran, by request id.
    pub runs: IndexMap<String, u32>,
    /// Requests running now.
    pub running: u32,
    /// Most requests that ran at once.
    pub max_running: u32,
    /// Requests so far.
    pub requests: u64,
    /// Whether every request fails.
    pub failing: bool,
    /// Whether the connection is cut before every answer.
    pub dropping_connections: bool,
    /// Whether the connection is cut in the middle of every answer.
    pub truncating: bool,
}

/// A running stand-in target.
#[derive(Debug)]
pub struct TargetServer {
    /// Its address.
    pub address: SocketAddr,
    /// Its record.
    pub record: Arc<Mutex<TargetRecord>>,
    phase: watch::Sender<ServePhase>,
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.phase.send_replace(ServePhase::Drained);
    }
}

impl TargetServer {
    /// Starts a target on a free loopback port.
    ///
    /// # Errors
    /// The system's error when no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
    }

    /// Starts a target on an address.
    ///
    /// # Errors
    /// The system's error when the port cannot be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let listener = bind(address).await?;
        let address = listener.local_addr()?;
        let record = Arc::new(Mutex::new(TargetRecord::default()));
        let (phase, phase_seen) = watch::channel(ServePhase::Open);
        drop(serve(listener, Target { record: Arc::clone(&record) }, phase_seen));
        Ok(Self { address, record, phase })
    }
}

#[derive(Debug, Clone)]
struct Target {
    record: Arc<Mutex<TargetRecord>>,
}

/// Counts a running request; ends the count when dropped.
struct Running(Arc<Mutex<TargetRecord>>);

impl Running {
    fn start(record: &Arc<Mutex<TargetRecord>>, request_id: &str) -> Self {
        let mut seen = record.lock();
        seen.requests += 1;
        seen.running += 1;
        seen.max_running = seen.max_running.max(seen.running);
        if !request_id.is_empty() {
            *seen.runs.entry(request_id.to_string()).or_insert(0) += 1;
        }
        Self(Arc::clone(record))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl Service<ServerContext, Request> for Target {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        Ok(self.answer(request).await)
    }
}

impl Target {
    /// Answers by path: `echo`, `sleep/MS`, `bytes/N`, `fail`; anything else is `ok`.
    async fn answer(&self, request: Request) -> Response {
        let id = request.headers().get("x-request-id").cloned();
        let id_text = id.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default();
        let running = Running::start(&self.record, id_text);
        let path = request.uri().path().trim_start_matches('/').to_string();
        let (failing, truncating, dropping_connections) = {
            let record = self.record.lock();
            (record.failing, record.truncating, record.dropping_connections)
        };
        let (verb, number) = path.split_once('/').unwrap_or((&path, "0"));
        let number: u64 = number.parse().unwrap_or(0);
        let mut response = match verb {
            // The server closes the connection of a task that panics.
            _ if dropping_connections => std::panic::panic_any("the stand-in hangs up"),
            _ if failing => status(StatusCode::INTERNAL_SERVER_ERROR),
            "fail" => status(StatusCode::INTERNAL_SERVER_ERROR),
            "echo" => echo(request).await,
            "sleep" => {
                tokio::time::sleep(Duration::from_millis(number)).await;
                Response::new(Body::from("slept"))
            }
            "bytes" => streamed(number as usize, truncating),
            _ => Response::new(Body::from("ok")),
        };
        if let Some(id) = id {
            response.headers_mut().insert("x-request-id", id);
        }
        response.headers_mut().insert("x-target", HeaderValue::from_static("stand-in"));
        drop(running);
        response
    }
}

fn status(status: StatusCode) -> Response {
    let mut response = Response::new(Body::from("failed"));
    *response.status_mut() = status;
    response
}

async fn echo(request: Request) -> Response {
    match request.into_body().collect().await {
        Ok(body) => Response::new(Body::from(body.to_bytes())),
        Err(_) => status(StatusCode::BAD_REQUEST),
    }
}

fn streamed(length: usize, truncating: bool) -> Response {
    let chunks = length.div_ceil(CHUNK_BYTES);
    let frames = (0..chunks).map(move |index| {
        if truncating && index + 1 == chunks {
            return Err(volo_http::error::BoxError::from("cut by the stand-in"));
        }
        let size = CHUNK_BYTES.min(length - index * CHUNK_BYTES);
        Ok(http_body::Frame::data(Bytes::from(vec![b'x'; size])))
    });
    let stream = futures_util::stream::iter(frames);
    Response::new(Body::from_body(StreamBody::new(stream)))
}
