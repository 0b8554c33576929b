//! Stand-in targets: HTTP servers that record the requests they run.

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

/// Largest chunk of a streamed response, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Requests recorded by a target, and its active faults.
#[derive(Debug, Clone, Default)]
pub struct TargetRecord {
    /// Number of times each request ran, by request id.
    pub runs: IndexMap<String, u32>,
    /// Number of requests running now.
    pub running: u32,
    /// Highest number of concurrent requests.
    pub max_running: u32,
    /// Total number of requests.
    pub requests: u64,
    /// Whether every request fails.
    pub failing: bool,
    /// Whether every connection is closed before the response.
    pub dropping_connections: bool,
    /// Whether streamed responses are aborted before the last chunk.
    pub truncating: bool,
}

/// A running stand-in target.
#[derive(Debug)]
pub struct TargetServer {
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Recorded requests and active faults.
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

    /// Starts a target on `address`.
    ///
    /// # Errors
    /// The system's error when the port cannot be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let listener = bind(address).await?;
        let address = listener.local_addr()?;
        let record = Arc::new(Mutex::new(TargetRecord::default()));
        let (phase, phase_receiver) = watch::channel(ServePhase::Open);
        drop(serve(listener, Target { record: Arc::clone(&record) }, phase_receiver));
        Ok(Self { address, record, phase })
    }
}

#[derive(Debug, Clone)]
struct Target {
    record: Arc<Mutex<TargetRecord>>,
}

/// Counts a request as running until dropped.
struct RunningGuard(Arc<Mutex<TargetRecord>>);

impl RunningGuard {
    fn start(record: &Arc<Mutex<TargetRecord>>, request_id: &str) -> Self {
        let mut state = record.lock();
        state.requests += 1;
        state.running += 1;
        state.max_running = state.max_running.max(state.running);
        if !request_id.is_empty() {
            *state.runs.entry(request_id.to_string()).or_insert(0) += 1;
        }
        Self(Arc::clone(record))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl Service<ServerContext, Request> for Target {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        Ok(self.handle(request).await)
    }
}

impl Target {
    /// Handles a request by its path: `echo`, `sleep/MS`, `bytes/N` or `fail`; any other path
    /// returns `ok`.
    async fn handle(&self, request: Request) -> Response {
        let id = request.headers().get("x-request-id").cloned();
        let id_text = id.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default();
        let running = RunningGuard::start(&self.record, id_text);
        let path = request.uri().path().trim_start_matches('/').to_string();
        let (failing, truncating, dropping_connections) = {
            let record = self.record.lock();
            (record.failing, record.truncating, record.dropping_connections)
        };
        let (verb, number) = path.split_once('/').unwrap_or((&path, "0"));
        let number: u64 = number.parse().unwrap_or(0);
        let mut response = match verb {
            // The server closes the connection when the handler panics.
            _ if dropping_connections => std::panic::panic_any("connection closed by the stand-in"),
            _ if failing => failure(StatusCode::INTERNAL_SERVER_ERROR),
            "fail" => failure(StatusCode::INTERNAL_SERVER_ERROR),
            "echo" => echo(request).await,
            "sleep" => {
                tokio::time::sleep(Duration::from_millis(number)).await;
                Response::new(Body::from("slept"))
            }
            "bytes" => streamed_response(number as usize, truncating),
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

fn failure(status: StatusCode) -> Response {
    let mut response = Response::new(Body::from("failed"));
    *response.status_mut() = status;
    response
}

async fn echo(request: Request) -> Response {
    match request.into_body().collect().await {
        Ok(body) => Response::new(Body::from(body.to_bytes())),
        Err(_) => failure(StatusCode::BAD_REQUEST),
    }
}

fn streamed_response(length: usize, truncating: bool) -> Response {
    let chunks = length.div_ceil(CHUNK_BYTES);
    let frames = (0..chunks).map(move |index| {
        if truncating && index + 1 == chunks {
            return Err(volo_http::error::BoxError::from(
                "response aborted by the stand-in target",
            ));
        }
        let size = CHUNK_BYTES.min(length - index * CHUNK_BYTES);
        Ok(http_body::Frame::data(Bytes::from(vec![b'x'; size])))
    });
    let stream = futures_util::stream::iter(frames);
    Response::new(Body::from_body(StreamBody::new(stream)))
}
