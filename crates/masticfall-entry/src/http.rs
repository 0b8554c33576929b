//! The HTTP server: callers' API, operators' API, health checks and metrics.

mod admin;
mod admin_waves;
mod jobs;
pub mod problem;
mod reply;
mod requests;

use std::convert::Infallible;
use std::sync::Arc;

use http::request::Parts;
use http::{HeaderValue, Method, header};
use masticfall_core::error::ErrorKind;
use masticfall_platform::serve;
use motore::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::context::Node;
use crate::refusal::{Refusal, Result};
use crate::state::Phase;

/// Maximum total size of a request's headers, in bytes.
pub(crate) const MAX_HEADER_BYTES: usize = 64 * 1024;

/// The service behind the HTTP port.
#[derive(Debug, Clone)]
pub struct HttpService {
    node: Arc<Node>,
}

impl HttpService {
    /// Creates the service of a node.
    pub fn new(node: &Arc<Node>) -> Self {
        Self { node: Arc::clone(node) }
    }
}

impl Service<ServerContext, Request> for HttpService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut ServerContext,
        request: Request,
    ) -> std::result::Result<Response, Infallible> {
        let (parts, body) = request.into_parts();
        let mut response = match route(&self.node, parts, body).await {
            Ok(response) => response,
            Err(refusal) => problem::respond(&refusal, None),
        };
        if self.node.state().phase >= Phase::Leaving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }
}

async fn route(node: &Arc<Node>, parts: Parts, body: Body) -> Result<Response> {
    check_headers(&parts)?;
    let uri = parts.uri.clone();
    let path = uri.path();
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match segments.as_slice() {
        ["v1", "queues", queue, "requests", ..] => requests::handle(node, queue, parts, body).await,
        ["v1", "queues", queue, "jobs"] => jobs::submit(node, queue, &parts, body).await,
        ["v1", "jobs", rest @ ..] => jobs::handle(node, rest, &parts).await,
        ["admin", "v1", rest @ ..] => admin::handle(node, rest, &parts, body).await,
        ["livez"] => Ok(reply::text("live\n")),
        ["readyz"] => readiness(node),
        ["metrics"] => metrics(node),
        _ => Err(Refusal::new(ErrorKind::NotFound, format!("no resource at `{path}`"))),
    }
}

fn check_headers(parts: &Parts) -> Result<()> {
    let sizes = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    if sizes.sum::<usize>() > MAX_HEADER_BYTES {
        return Err(Refusal::new(ErrorKind::TooLarge, "request headers are too large"));
    }
    Ok(())
}

fn readiness(node: &Arc<Node>) -> Result<Response> {
    let state = node.state();
    match state.phase {
        Phase::Ready => Ok(reply::text("ready\n")),
        Phase::Starting => {
            let data_centre = node.data_centre();
            let detail = match (&state.config, state.platform_failed) {
                (Some(_), _) => format!("data centre `{data_centre}` is not configured"),
                (None, true) => {
                    format!("no configuration: platform {} not reached", node.settings.platform)
                }
                (None, false) => "no configuration has been applied".to_string(),
            };
            Err(Refusal::new(ErrorKind::NotReady, detail))
        }
        Phase::Leaving | Phase::Draining | Phase::Left => {
            Err(Refusal::new(ErrorKind::NotReady, "leaving"))
        }
    }
}

fn metrics(node: &Arc<Node>) -> Result<Response> {
    use std::sync::atomic::Ordering::Relaxed;
    node.metrics.platform_writes.set(node.counts.writes.load(Relaxed) as i64);
    node.metrics.platform_reads.set(node.counts.reads.load(Relaxed) as i64);
    node.metrics.timeline_lost.set(node.state().timeline.lost() as i64);
    let text = node.metrics.encode().map_err(|error| {
        Refusal::new(ErrorKind::NotReady, format!("cannot encode metrics: {error}"))
    })?;
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    Ok(reply::with_type(text, content_type))
}

/// Returns the key in the `Authorization: Bearer` header.
fn bearer(parts: &Parts) -> Option<&str> {
    let value = parts.headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// Returns a header's value as text.
fn header_text<'a>(parts: &'a Parts, name: &str) -> Option<&'a str> {
    parts.headers.get(name)?.to_str().ok()
}

fn expect_method(parts: &Parts, method: &Method) -> Result<()> {
    if parts.method == *method {
        return Ok(());
    }
    let detail = format!("{} is not allowed here; allowed: {method}", parts.method);
    Err(Refusal::new(ErrorKind::MethodNotAllowed, detail))
}

/// Reads a complete body of at most the configured size.
async fn read_body(node: &Arc<Node>, body: Body) -> Result<bytes::Bytes> {
    let max_bytes = node.settings.max_body_bytes as usize;
    serve::read_body(body, max_bytes).await.map_err(Refusal::from)
}
