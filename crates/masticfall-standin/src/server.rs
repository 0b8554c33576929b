//! Serves the stand-in platform over HTTP to separate entry processes.

use std::convert::Infallible;

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use masticfall_core::id::DataCentre;
use masticfall_platform::http::UNKNOWN_OUTCOME_STATUS;
use masticfall_platform::{Operation, Platform, PlatformError};
use masticfall_wire::{decode, encode};
use motore::service::Service;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::cloud::Cloud;

/// HTTP service of a stand-in platform.
#[derive(Debug, Clone)]
pub struct PlatformServer {
    platform: Platform,
}

impl PlatformServer {
    /// Creates the service for `cloud`; its active faults apply to every request.
    pub fn new(cloud: &Cloud) -> Self {
        Self { platform: cloud.platform(&DataCentre::from("remote")) }
    }

    async fn handle(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let Ok(collected) = body.collect().await else {
            return respond(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let body = collected.to_bytes();
        let path = parts.uri.path().strip_prefix("/platform/").unwrap_or_default();
        if let Some(name) = path.strip_prefix("objects/") {
            return self.handle_object(&parts.method, name, body).await;
        }
        let Platform { tables, instances, workers, .. } = &self.platform;
        match path {
            "tables/transact" => run_operation(&tables.transact, &body).await,
            "tables/read" => run_operation(&tables.read, &body).await,
            "tables/scan" => run_operation(&tables.scan, &body).await,
            "instances/list" => run_operation(&instances.list, &body).await,
            "instances/reboot" => run_operation(&instances.reboot, &body).await,
            "workers/start" => run_operation(&workers.start, &body).await,
            "workers/renew" => run_operation(&workers.renew, &body).await,
            "workers/stop" => run_operation(&workers.stop, &body).await,
            _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn handle_object(&self, method: &Method, name: &str, body: Bytes) -> Response {
        if *method == Method::PUT {
            let put = (self.platform.objects.put)((name.to_string(), body)).await;
            return put.map_or_else(
                |error| error_response(&error),
                |()| respond(StatusCode::OK, Bytes::new()),
            );
        }
        match (self.platform.objects.get)(name.to_string()).await {
            Ok(Some(object)) => respond(StatusCode::OK, object),
            Ok(None) => respond(StatusCode::NOT_FOUND, Bytes::new()),
            Err(error) => error_response(&error),
        }
    }
}

impl Service<ServerContext, Request> for PlatformServer {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        Ok(self.handle(request).await)
    }
}

async fn run_operation<A, R>(operation: &Operation<A, R>, body: &[u8]) -> Response
where
    A: DeserializeOwned,
    R: Serialize,
{
    let Ok(argument) = decode(body) else {
        return respond(StatusCode::BAD_REQUEST, Bytes::new());
    };
    match operation(argument).await {
        Ok(result) => match encode(&result) {
            Ok(bytes) => respond(StatusCode::OK, Bytes::from(bytes)),
            Err(_) => respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        },
        Err(error) => error_response(&error),
    }
}

fn error_response(error: &PlatformError) -> Response {
    let status = match error {
        PlatformError::Unknown { .. } => UNKNOWN_OUTCOME_STATUS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    respond(status, Bytes::new())
}

fn respond(status: StatusCode, body: Bytes) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response
}
