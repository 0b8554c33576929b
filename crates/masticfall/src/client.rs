//! HTTP client of the operators' API.

use bytes::Bytes;
use clap::ArgMatches;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use volo_http::body::Body;
use volo_http::client::Client;

use crate::cli::text_arg;
use crate::error::{CliError, MalformedResponseSnafu, Result};

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct ApiResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

#[derive(Debug, Deserialize)]
struct Problem {
    kind: String,
    detail: String,
}

impl ApiResponse {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    /// [`CliError::MalformedResponse`] when the body does not parse as `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).context(MalformedResponseSnafu)
    }

    /// Turns a response with an error status into an error.
    ///
    /// # Errors
    /// [`CliError::Refused`] when the status is not a success.
    pub fn error_for_status(self) -> Result<Self> {
        if self.status.is_success() {
            return Ok(self);
        }
        let problem = self
            .json::<Problem>()
            .unwrap_or_else(|_| Problem { kind: self.status.to_string(), detail: self.text() });
        Err(CliError::Refused { kind: problem.kind, detail: problem.detail })
    }
}

/// A client of one entry process, authenticated with one key.
#[derive(Clone)]
pub struct ApiClient {
    client: Client,
    entry: String,
    key: String,
}

impl std::fmt::Debug for ApiClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ApiClient").field("entry", &self.entry).finish_non_exhaustive()
    }
}

impl ApiClient {
    /// Creates a client; an empty key sends no `authorization` header.
    pub fn new(entry: impl Into<String>, key: impl Into<String>) -> Self {
        Self { client: Client::default(), entry: entry.into(), key: key.into() }
    }

    /// Creates a client from the arguments of the command line.
    pub fn from_args(matches: &ArgMatches) -> Self {
        Self::new(text_arg(matches, "entry"), text_arg(matches, "operator-key"))
    }

    /// Returns a client with the same key for another entry process.
    pub fn with_entry(&self, entry: &str) -> Self {
        Self { entry: entry.to_string(), ..self.clone() }
    }

    /// Sends a request and returns the response, whatever its status.
    ///
    /// # Errors
    /// [`CliError::NoResponse`] when no complete response arrives.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<ApiResponse> {
        let uri = format!("http://{}{path}", self.entry);
        let mut request = self.client.request(method, uri);
        if !self.key.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.key));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let no_response = |source: Box<dyn std::error::Error + Send + Sync>| CliError::NoResponse {
            entry: self.entry.clone(),
            source,
        };
        let request = request.body(Body::from(body.into()));
        let response = request.send::<Body>().await.map_err(|error| no_response(error.into()))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(no_response)?.to_bytes();
        Ok(ApiResponse { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a `GET` and parses the response.
    ///
    /// # Errors
    /// No response, a refusal, or a malformed response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.send(Method::GET, path, &[], "").await?.error_for_status()?.json()
    }

    /// Sends a request with a JSON body and parses the response.
    ///
    /// # Errors
    /// No response, a refusal, or a malformed response.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<T> {
        let body = body.to_string();
        self.send(method, path, &[], body).await?.error_for_status()?.json()
    }
}
