//! Client of the operators' API.

use bytes::Bytes;
use clap::ArgMatches;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use volo_http::body::Body;
use volo_http::client::Client;

use crate::cli::text;
use crate::error::{CliError, MalformedSnafu, Result};

/// An answer with its body read.
#[derive(Debug, Clone)]
pub struct ApiResponse {
    /// Status.
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

    /// Parses the body.
    ///
    /// # Errors
    /// [`CliError::Malformed`] when it is not of the type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).context(MalformedSnafu)
    }

    /// Returns the answer, or the refusal that it carries.
    ///
    /// # Errors
    /// [`CliError::Refused`] when the status is an error.
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

/// A client with the key that it sends.
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
    /// Makes a client of one entry process.
    pub fn new(entry: impl Into<String>, key: impl Into<String>) -> Self {
        Self { client: Client::default(), entry: entry.into(), key: key.into() }
    }

    /// Makes a client from the command line's arguments.
    pub fn from_args(matches: &ArgMatches) -> Self {
        Self::new(text(matches, "entry"), text(matches, "operator-key"))
    }

    /// Returns a client of another entry process with the same key.
    pub fn with_entry(&self, entry: &str) -> Self {
        Self { entry: entry.to_string(), ..self.clone() }
    }

    /// Sends a request, whatever its status.
    ///
    /// # Errors
    /// [`CliError::NoAnswer`] when there is no whole answer.
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
        let no_answer = |source: Box<dyn std::error::Error + Send + Sync>| CliError::NoAnswer {
            entry: self.entry.clone(),
            source,
        };
        let request = request.body(Body::from(body.into()));
        let response = request.send::<Body>().await.map_err(|error| no_answer(error.into()))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(no_answer)?.to_bytes();
        Ok(ApiResponse { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a `GET` and parses the answer.
    ///
    /// # Errors
    /// No answer, a refusal, or a malformed answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.send(Method::GET, path, &[], "").await?.error_for_status()?.json()
    }

    /// Sends a request with a JSON body and parses the answer.
    ///
    /// # Errors
    /// No answer, a refusal, or a malformed answer.
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
