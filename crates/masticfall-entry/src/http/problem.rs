//! Problem documents (RFC 9457) for refusals.

use http::{HeaderValue, StatusCode, header};
use masticfall_core::error::{ErrorKind, LogLevel, RunState};
use serde::Serialize;
use volo_http::response::Response;

use super::reply::with_type;
use crate::refusal::Refusal;

/// Header that states whether the request ran, like `run` in the document.
pub const RUN_HEADER: &str = "masticfall-run";

#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    kind: ErrorKind,
    run: RunState,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a str>,
}

/// Logs a refusal and returns its response.
pub fn respond(refusal: &Refusal, request_id: Option<&str>) -> Response {
    let error_response = refusal.kind.response();
    log(refusal, error_response.level, request_id);
    let problem = Problem {
        r#type: format!("urn:masticfall:problem:{}", refusal.kind),
        title: error_response.title,
        status: error_response.status,
        detail: &refusal.detail,
        kind: refusal.kind,
        run: error_response.run,
        request_id,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = with_type(body, "application/problem+json");
    *response.status_mut() =
        StatusCode::from_u16(error_response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let run: &'static str = error_response.run.into();
    response.headers_mut().insert(RUN_HEADER, HeaderValue::from_static(run));
    if let Some(seconds) = refusal.retry_after_s.or(error_response.retry_after_s) {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn log(refusal: &Refusal, level: LogLevel, request_id: Option<&str>) {
    let Refusal { kind, detail, .. } = refusal;
    let request_id = request_id.unwrap_or("-");
    match level {
        LogLevel::Debug => {
            tracing::debug!(name: "request.refused", %kind, detail, request_id, "request refused");
        }
        LogLevel::Info => {
            tracing::info!(name: "request.refused", %kind, detail, request_id, "request refused");
        }
        LogLevel::Warn => {
            tracing::warn!(name: "request.failed", %kind, detail, request_id, "request failed");
        }
    }
}
