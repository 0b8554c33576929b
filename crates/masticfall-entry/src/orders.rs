//! Idempotency records: one dispatch per key, and a stored answer for repeated requests.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode};
use http_body_util::BodyExt;
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{Name, TeamName};
use masticfall_platform::{Commit, Condition, PlatformError, Transaction};
use masticfall_wire::rows::{IdempotencyRow, StoredAnswer, idempotency_key};
use rand::Rng;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::context::{Node, wall_ms};
use crate::dispatch::Call;
use crate::refusal::{Refusal, Result};

/// The first or a repeated use of an idempotency key.
#[derive(Debug)]
pub enum KeyUse {
    /// This process created the record and dispatches the request.
    First(Record),
    /// The request ran before; this is its stored answer.
    Repeated(StoredAnswer),
}

/// An idempotency record created by this process.
#[derive(Debug)]
pub struct Record {
    key: String,
    version: u64,
    row: IdempotencyRow,
}

/// Creates a record before dispatch, or finds the existing one.
///
/// # Errors
/// [`ErrorKind::DuplicateRunning`], [`ErrorKind::KeyReused`], or
/// [`ErrorKind::PlatformUnavailable`]; nothing was dispatched.
pub async fn open(
    node: &Arc<Node>,
    team: &TeamName,
    caller_key: &str,
    call: &Call,
) -> Result<KeyUse> {
    let key = idempotency_key(team, caller_key);
    let attempt: u128 = rand::rng().random();
    let row = IdempotencyRow {
        attempt_id: Name::from(format!("{attempt:032x}")),
        fingerprint: fingerprint(call),
        answer: None,
        wall_ms: wall_ms(),
    };
    let transaction = Transaction::new().check(&key, Condition::Absent).put(&key, &row)?;
    match (node.platform.tables.transact)(transaction).await {
        Ok(Commit::Done(version)) => Ok(KeyUse::First(Record { key, version, row })),
        Ok(Commit::Conflict(_)) | Err(PlatformError::Unknown { .. }) => find(node, key, row).await,
        Err(error) => Err(not_dispatched(&error)),
    }
}

/// Reports a platform failure as not run: the record may exist, but nothing was
/// dispatched under it.
fn not_dispatched(error: &PlatformError) -> Refusal {
    Refusal::new(ErrorKind::PlatformUnavailable, error.to_string())
}

/// Finds the record of a key, which is this process's own if its write succeeded.
async fn find(node: &Arc<Node>, key: String, row: IdempotencyRow) -> Result<KeyUse> {
    let found = node.platform.tables.get_as::<IdempotencyRow>(&key).await;
    let Some((read, found)) = found.map_err(|error| not_dispatched(&error))? else {
        let detail = "idempotency record could not be written; request was not sent";
        return Err(Refusal::new(ErrorKind::PlatformUnavailable, detail));
    };
    if found.attempt_id == row.attempt_id {
        return Ok(KeyUse::First(Record { key, version: read.version, row }));
    }
    if found.fingerprint != row.fingerprint {
        let detail = "idempotency key was used before with another request";
        return Err(Refusal::new(ErrorKind::KeyReused, detail));
    }
    if let Some(answer) = found.answer {
        Ok(KeyUse::Repeated(answer))
    } else {
        let detail = "a request with this key is running, or its instance failed while it ran";
        Err(Refusal::new(ErrorKind::DuplicateRunning, detail))
    }
}

fn fingerprint(call: &Call) -> Name {
    let mut hasher = blake3::Hasher::new();
    for part in [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Name::from(hasher.finalize().to_hex().to_string())
}

impl Record {
    /// Stores the answer for repeated requests, and returns it.
    ///
    /// # Errors
    /// [`ErrorKind::AnswerLost`] when the answer's body is incomplete.
    pub async fn complete(mut self, node: &Arc<Node>, response: Response) -> Result<Response> {
        let (parts, body) = response.into_parts();
        let collected = body.collect().await;
        let bytes = collected
            .map_err(|error| Refusal::new(ErrorKind::AnswerLost, error.to_string()))?
            .to_bytes();
        let object = format!("answer/{}", self.row.attempt_id);
        let headers = parts
            .headers
            .iter()
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())));
        self.row.answer = Some(StoredAnswer {
            status: parts.status.as_u16(),
            headers: headers.collect(),
            body: Name::from(object.as_str()),
        });
        if let Err(error) = self.store_answer(node, object, bytes.clone()).await {
            // The caller still gets the answer; a repeated request gets an unknown outcome.
            tracing::warn!(
                name: "order.answer.not_kept", error = %error,
                "cannot store the answer; repeated requests get an unknown outcome"
            );
        }
        Ok(Response::from_parts(parts, Body::from(bytes)))
    }

    async fn store_answer(
        &self,
        node: &Arc<Node>,
        object: String,
        bytes: Bytes,
    ) -> masticfall_platform::Result<()> {
        (node.platform.objects.put)((object, bytes)).await?;
        let transaction = Transaction::new()
            .check(&self.key, Condition::Version(self.version))
            .put(&self.key, &self.row)?;
        (node.platform.tables.transact)(transaction).await.map(|_| ())
    }

    /// Removes the record of a request that certainly did not run, so that it can be retried.
    pub async fn discard(self, node: &Arc<Node>) {
        let transaction =
            Transaction::new().check(&self.key, Condition::Version(self.version)).delete(&self.key);
        if let Err(error) = (node.platform.tables.transact)(transaction).await {
            tracing::warn!(
                name: "order.record.not_removed", error = %error,
                "cannot remove the idempotency record; repeated requests are refused"
            );
        }
    }
}

/// Returns a stored answer as a response.
///
/// # Errors
/// The platform's failure, or [`ErrorKind::AnswerLost`] when the body is no
/// longer stored.
pub async fn replay(node: &Arc<Node>, answer: StoredAnswer) -> Result<Response> {
    let body = (node.platform.objects.get)(answer.body.to_string()).await?;
    let Some(body) = body else {
        return Err(Refusal::new(ErrorKind::AnswerLost, "the stored answer no longer exists"));
    };
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in answer.headers {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response.headers_mut().insert("masticfall-replayed", HeaderValue::from_static("true"));
    Ok(response)
}
