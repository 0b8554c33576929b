//! The jobs API: submits, shows and cancels jobs, and returns their results.

use std::sync::Arc;

use http::request::Parts;
use http::{HeaderValue, Method, StatusCode, header};
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{JobId, QueueName};
use masticfall_core::job::{JobRow, Needs};
use masticfall_core::key::KeyHash;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use super::requests::idempotency_key;
use super::{bearer, expect_method, read_body, reply};
use crate::context::Node;
use crate::ops::{cancel_job, show_job, submit_job};
use crate::refusal::{Refusal, Result};

/// A job as shown to its team.
#[derive(Debug, Serialize)]
struct JobView<'a> {
    id: &'a JobId,
    state: String,
    queue: &'a QueueName,
    attempt: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
    accepted_wall_ms: u64,
}

impl<'a> JobView<'a> {
    fn new(id: &'a JobId, job: &'a JobRow) -> Self {
        Self {
            id,
            state: job.state.to_string(),
            queue: &job.queue,
            attempt: job.attempt,
            reason: job.reason.as_deref(),
            accepted_wall_ms: job.accepted_wall_ms,
        }
    }
}

/// `POST /v1/queues/{queue}/jobs?cores=&memory_mib=&accelerators=&idempotent=`.
pub async fn submit(node: &Arc<Node>, queue: &str, parts: &Parts, body: Body) -> Result<Response> {
    expect_method(parts, &Method::POST)?;
    let (needs, idempotent) = read_query(parts.uri.query().unwrap_or_default())?;
    let key = bearer(parts).map(KeyHash::of);
    show_job::team_of(node, key.as_ref())?;
    let submit = submit_job::SubmitJob {
        queue: QueueName::from(queue),
        key,
        needs,
        idempotent,
        idempotency_key: idempotency_key(parts)?,
        payload: read_body(node, body).await?,
    };
    let id = submit_job::run(node, submit).await?;
    let location = format!("/v1/jobs/{id}");
    let mut response = reply::json(StatusCode::ACCEPTED, &serde_json::json!({ "id": id }))?;
    if let Ok(location) = HeaderValue::from_str(&location) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    Ok(response)
}

fn read_query(query: &str) -> Result<(Needs, bool)> {
    let mut needs = Needs { cores: 1, memory_mib: 256, accelerators: 0 };
    let mut idempotent = true;
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number = || value.parse::<u32>().map_err(|error| bad_param(pair, &error));
        match key {
            "cores" => needs.cores = number()?,
            "memory_mib" => needs.memory_mib = number()?,
            "accelerators" => needs.accelerators = number()?,
            "idempotent" => idempotent = value.parse().map_err(|error| bad_param(pair, &error))?,
            _ => return Err(bad_param(pair, &"unknown parameter")),
        }
    }
    Ok((needs, idempotent))
}

fn bad_param(pair: &str, cause: &dyn std::fmt::Display) -> Refusal {
    let allowed =
        "cores, memory_mib and accelerators as whole numbers, idempotent as true or false";
    Refusal::new(
        ErrorKind::BadRequest,
        format!("`{pair}` is not allowed ({cause}); allowed: {allowed}"),
    )
}

/// `GET|DELETE /v1/jobs/{id}` and `GET /v1/jobs/{id}/result`.
pub async fn handle(node: &Arc<Node>, segments: &[&str], parts: &Parts) -> Result<Response> {
    let team = show_job::team_of(node, bearer(parts).map(KeyHash::of).as_ref())?;
    match segments {
        [id, "result"] => {
            expect_method(parts, &Method::GET)?;
            let bytes = show_job::result(node, &team, &JobId::from(*id)).await?;
            Ok(reply::with_type(bytes, "application/octet-stream"))
        }
        [id] if parts.method == Method::DELETE => {
            let id = JobId::from(*id);
            let job = cancel_job::run(node, &team, &id).await?;
            reply::json(StatusCode::OK, &JobView::new(&id, &job))
        }
        [id] => {
            expect_method(parts, &Method::GET)?;
            let id = JobId::from(*id);
            let (_, job) = show_job::run(node, &team, &id).await?;
            reply::json(StatusCode::OK, &JobView::new(&id, &job))
        }
        _ => Err(Refusal::new(ErrorKind::NotFound, "no such job resource")),
    }
}
