//! Adapter for a platform that speaks HTTP with CBOR bodies, such as the stand-in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use masticfall_core::id::Name;
use masticfall_wire::{decode, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::client::ErrorKind as ClientErrorKind;

use crate::error::{PlatformError, Result};
use crate::{InstanceList, ObjectStore, Operation, Platform, TableService, WorkerPool, operation};

/// Timeout of an operation, in milliseconds; its outcome is unknown afterwards.
pub const OPERATION_TIMEOUT_MS: u64 = 2_000;

/// Status with which the platform reports that an operation may have taken effect.
pub const UNKNOWN_OUTCOME_STATUS: StatusCode = StatusCode::GATEWAY_TIMEOUT;

struct Remote {
    client: Client,
    base: Name,
}

/// Connects to a platform at `address`, `ip:port`.
pub fn connect(address: &str) -> Platform {
    let base = Name::from(format!("http://{address}/platform"));
    let remote = Arc::new(Remote { client: Client::default(), base });
    Platform {
        tables: TableService {
            transact: call(&remote, "tables/transact"),
            read: call(&remote, "tables/read"),
            scan: call(&remote, "tables/scan"),
        },
        objects: ObjectStore { put: put_object(&remote), get: get_object(&remote) },
        instances: InstanceList {
            list: call(&remote, "instances/list"),
            reboot: call(&remote, "instances/reboot"),
        },
        workers: WorkerPool {
            start: call(&remote, "workers/start"),
            renew: call(&remote, "workers/renew"),
            stop: call(&remote, "workers/stop"),
        },
    }
}

fn call<A, R>(remote: &Arc<Remote>, path: &'static str) -> Operation<A, R>
where
    A: Serialize + Send + 'static,
    R: DeserializeOwned + Send + 'static,
{
    let remote = Arc::clone(remote);
    operation(move |argument: A| {
        let remote = Arc::clone(&remote);
        async move {
            let body = encode(&argument).map_err(|error| malformed(&error))?;
            let response = remote.send(Method::POST, path, Bytes::from(body)).await?;
            let bytes = response.ok_or_else(|| malformed(&"no such operation"))?;
            decode(&bytes).map_err(|error| malformed(&error))
        }
    })
}

fn put_object(remote: &Arc<Remote>) -> Operation<(String, Bytes), ()> {
    let remote = Arc::clone(remote);
    operation(move |(name, body): (String, Bytes)| {
        let remote = Arc::clone(&remote);
        async move {
            remote.send(Method::PUT, &format!("objects/{name}"), body).await?;
            Ok(())
        }
    })
}

fn get_object(remote: &Arc<Remote>) -> Operation<String, Option<Bytes>> {
    let remote = Arc::clone(remote);
    operation(move |name: String| {
        let remote = Arc::clone(&remote);
        async move { remote.send(Method::GET, &format!("objects/{name}"), Bytes::new()).await }
    })
}

fn malformed(error: &impl ToString) -> PlatformError {
    PlatformError::Malformed { reason: error.to_string() }
}

impl Remote {
    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Option<Bytes>> {
        let exchange = self.exchange(method, path, body);
        match timeout(Duration::from_millis(OPERATION_TIMEOUT_MS), exchange).await {
            Ok(result) => result,
            Err(elapsed) => Err(PlatformError::Unknown { reason: elapsed.to_string() }),
        }
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Option<Bytes>> {
        let uri = format!("{}/{path}", self.base);
        let request = self.client.request(method, uri).body(Body::from(body));
        let response = request.send::<Body>().await.map_err(|error| {
            let reason = error.to_string();
            if *error.kind() == ClientErrorKind::Connect {
                PlatformError::Unavailable { reason }
            } else {
                PlatformError::Unknown { reason }
            }
        })?;
        let status = response.status();
        let collected = response.into_body().collect().await;
        let bytes = collected
            .map_err(|error| PlatformError::Unknown { reason: error.to_string() })?
            .to_bytes();
        match status {
            StatusCode::OK => Ok(Some(bytes)),
            StatusCode::NOT_FOUND => Ok(None),
            UNKNOWN_OUTCOME_STATUS => Err(PlatformError::Unknown { reason: status.to_string() }),
            _ => Err(PlatformError::Unavailable { reason: status.to_string() }),
        }
    }
}
