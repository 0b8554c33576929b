//! `ANY /v1/queues/{queue}/requests/{path}`: interactive requests.

use std::sync::Arc;

use http::HeaderValue;
use http::request::Parts;
use masticfall_core::error::{ErrorKind, RunState};
use masticfall_core::id::{Name, QueueName};
use masticfall_core::key::KeyHash;
use masticfall_core::timeline::EventKind;
use rand::Rng;
use tokio::sync::oneshot;
use volo_http::body::Body;
use volo_http::response::Response;

use super::{bearer, header_text, problem, read_body};
use crate::context::Node;
use crate::dispatch::{self, Admitted, Call, Forwarded, REQUEST_ID, REQUEST_TIMEOUT};
use crate::metrics::RequestEnd;
use crate::orders::{self, KeyUse};
use crate::refusal::{Refusal, Result};
use crate::spill;

/// Maximum length of a caller's request identifier or idempotency key, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Handles one request.
///
/// # Errors
/// Never returns an error: refusals become problem documents here, so that they
/// carry the request's identifier.
pub async fn handle(node: &Arc<Node>, queue: &str, parts: Parts, body: Body) -> Result<Response> {
    let request_id = request_id(&parts);
    let result = admit_and_run(node, queue, parts, body, &request_id).await;
    let is_known = node
        .state()
        .config
        .as_ref()
        .is_some_and(|config| config.queues.contains_key(&QueueName::from(queue)));
    let label = if is_known { queue } else { "-" };
    let mut response = match result {
        Ok(response) => {
            node.metrics.count_request(label, RequestEnd::Answered);
            response
        }
        Err(refusal) => {
            node.metrics.count_request(label, RequestEnd::Failed(refusal.kind));
            let kind: &'static str = refusal.kind.into();
            let labels = [("queue", Name::from(label)), ("kind", Name::from(kind))].map(Some);
            dispatch::record_request_event(node, EventKind::Refused, &request_id, labels);
            problem::respond(&refusal, Some(&request_id))
        }
    };
    if let Ok(id) = HeaderValue::from_str(&request_id) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    Ok(response)
}

fn request_id(parts: &Parts) -> Name {
    let header = header_text(parts, REQUEST_ID.as_str());
    let is_valid = |id: &&str| !id.is_empty() && id.len() <= MAX_ID_BYTES;
    header.filter(is_valid).map_or_else(
        || {
            let number: u128 = rand::rng().random();
            Name::from(format!("{number:032x}"))
        },
        Name::from,
    )
}

async fn admit_and_run(
    node: &Arc<Node>,
    queue: &str,
    parts: Parts,
    body: Body,
    request_id: &Name,
) -> Result<Response> {
    let idempotency_key = idempotency_key(&parts)?;
    let forwarded = spill::accept_forwarded(node, &parts.headers);
    let mut call = read_call(queue, parts, request_id, forwarded)?;
    // Authenticates before reading the body, so that unknown callers cost no memory.
    dispatch::resolve_caller(&node.state(), &call, node.now_ms())?;
    call.body = read_body(node, body).await?;
    let admitted = dispatch::admit(node, &call).await?;
    let team = admitted.team.as_ref().map(|team| ("team", Name::clone(team.name())));
    let queue = ("queue", Name::clone(call.queue.name()));
    dispatch::record_request_event(node, EventKind::Admitted, request_id, [Some(queue), team]);
    if idempotency_key.is_none() && call.method.is_idempotent() {
        return dispatch::run(node, &call, admitted).await;
    }
    run_detached(node, call, admitted, idempotency_key).await
}

fn read_call(
    queue: &str,
    parts: Parts,
    request_id: &Name,
    forwarded: Option<Forwarded>,
) -> Result<Call> {
    let prefix = format!("/v1/queues/{queue}/requests");
    let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = path_and_query.strip_prefix(&prefix).unwrap_or("/");
    let path = if rest.starts_with('/') { rest.to_string() } else { format!("/{rest}") };
    let timeout_ms = match header_text(&parts, REQUEST_TIMEOUT.as_str()) {
        Some(text) => Some(text.parse().map_err(|error| {
            let detail = format!("`{text}` is not a whole number of milliseconds: {error}");
            Refusal::new(ErrorKind::BadRequest, detail)
        })?),
        None => None,
    };
    let key = bearer(&parts).map(KeyHash::of);
    let mut headers = parts.headers;
    dispatch::strip_headers(&mut headers);
    spill::strip_internal_headers(&mut headers);
    Ok(Call {
        request_id: Arc::clone(request_id),
        queue: QueueName::from(queue),
        key,
        method: parts.method,
        path,
        headers,
        body: bytes::Bytes::new(),
        timeout_ms,
        forwarded,
    })
}

/// Returns the caller's idempotency key.
///
/// # Errors
/// [`ErrorKind::BadRequest`] when it is empty or too long.
pub fn idempotency_key(parts: &Parts) -> Result<Option<String>> {
    let Some(key) = header_text(parts, "idempotency-key") else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_ID_BYTES {
        let detail = format!("an idempotency key must have 1 to {MAX_ID_BYTES} bytes");
        return Err(Refusal::new(ErrorKind::BadRequest, detail));
    }
    Ok(Some(key.to_string()))
}

/// Runs a request in its own task, so that it continues if the caller disconnects.
async fn run_detached(
    node: &Arc<Node>,
    call: Call,
    admitted: Admitted,
    idempotency_key: Option<String>,
) -> Result<Response> {
    let (sender, receiver) = oneshot::channel();
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let result = match idempotency_key {
            Some(key) => run_idempotent(&node, &call, admitted, &key).await,
            None => dispatch::run(&node, &call, admitted).await,
        };
        if let Err(undelivered) = sender.send(result) {
            drain_body(undelivered).await;
        }
    });
    let task_failed =
        || Refusal::new(ErrorKind::AnswerLost, "the request's task ended without a result");
    receiver.await.unwrap_or_else(|_| Err(task_failed()))
}

/// Reads the response of a disconnected caller to its end, so that the target is not interrupted.
async fn drain_body(result: Result<Response>) {
    use http_body_util::BodyExt;
    let Ok(response) = result else { return };
    let mut body = response.into_body();
    while let Some(Ok(_)) = body.frame().await {}
}

async fn run_idempotent(
    node: &Arc<Node>,
    call: &Call,
    admitted: Admitted,
    key: &str,
) -> Result<Response> {
    let Some(team) = admitted.team.clone() else {
        let detail = "an idempotency key requires a team's API key";
        return Err(Refusal::new(ErrorKind::Unauthorized, detail));
    };
    let record = match orders::open(node, &team, key, call).await? {
        KeyUse::Repeated(answer) => return orders::replay(node, answer).await,
        KeyUse::First(record) => record,
    };
    match dispatch::run(node, call, admitted).await {
        Ok(response) => record.complete(node, response).await,
        Err(refusal) => {
            if refusal.kind.response().run == RunState::NotRun {
                record.discard(node).await;
            }
            Err(refusal)
        }
    }
}
