//! Constructors of responses.

use http::{HeaderValue, StatusCode, header};
use masticfall_core::error::ErrorKind;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::refusal::{Refusal, Result};

/// Returns a plain-text response.
pub fn text(text: impl Into<String>) -> Response {
    with_type(text.into(), "text/plain; charset=utf-8")
}

/// Returns a response with a body of the given content type.
pub fn with_type(body: impl Into<Body>, content_type: &'static str) -> Response {
    let mut response = Response::new(body.into());
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Returns a JSON response.
///
/// # Errors
/// [`ErrorKind::NotReady`] when the value cannot be encoded, which is a bug.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Result<Response> {
    let body = serde_json::to_vec(value)
        .map_err(|error| Refusal::new(ErrorKind::NotReady, error.to_string()))?;
    let mut response = with_type(body, "application/json");
    *response.status_mut() = status;
    Ok(response)
}
