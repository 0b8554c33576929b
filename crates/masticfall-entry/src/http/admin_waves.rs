//! Maintenance waves in the operators' API.

use std::sync::Arc;

use http::request::Parts;
use http::{Method, StatusCode};
use indexmap::IndexSet;
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{InstanceName, PoolName, WaveName};
use masticfall_core::wave::{WaveRow, WaveState};
use serde::Deserialize;
use volo_http::body::Body;
use volo_http::response::Response;

use super::admin::{Operator, read_json};
use super::{expect_method, reply};
use crate::context::Node;
use crate::ops::waves;
use crate::refusal::{Refusal, Result};

/// Number of failures at which a wave halts, unless its creator sets another.
const DEFAULT_MAX_FAILURES: u32 = 2;

#[derive(Debug, Deserialize)]
struct NewWave {
    name: WaveName,
    #[serde(default)]
    pools: IndexSet<PoolName>,
    #[serde(default)]
    instances: IndexSet<InstanceName>,
    max_failures: Option<u32>,
}

/// Routes a request under `/admin/v1/waves`.
pub async fn handle(
    node: &Arc<Node>,
    operator: &Operator,
    segments: &[&str],
    parts: &Parts,
    body: Body,
) -> Result<Response> {
    match segments {
        [] if parts.method == Method::GET => {
            let waves = waves::list(node).await?;
            let views: Vec<_> = waves.iter().map(|(name, wave)| view(name, wave)).collect();
            reply::json(StatusCode::OK, &views)
        }
        [] => {
            expect_method(parts, &Method::POST)?;
            create(node, operator, body).await
        }
        [name, verb] => {
            expect_method(parts, &Method::POST)?;
            let name = WaveName::from(*name);
            let wave = waves::set_state(node, &name, requested_state(verb)?).await?;
            reply::json(StatusCode::OK, &view(&name, &wave))
        }
        _ => Err(Refusal::new(ErrorKind::NotFound, "no such resource")),
    }
}

fn requested_state(verb: &str) -> Result<WaveState> {
    match verb {
        "pause" => Ok(WaveState::Paused),
        "resume" => Ok(WaveState::Running),
        "stop" => Ok(WaveState::Stopped),
        _ => {
            let detail = format!("`{verb}` is not allowed; allowed: pause, resume, stop");
            Err(Refusal::new(ErrorKind::NotFound, detail))
        }
    }
}

async fn create(node: &Arc<Node>, operator: &Operator, body: Body) -> Result<Response> {
    let new_wave: NewWave = read_json(node, body).await?;
    let create = waves::CreateWave {
        name: new_wave.name.clone(),
        pools: new_wave.pools,
        instances: new_wave.instances,
        max_failures: new_wave.max_failures.unwrap_or(DEFAULT_MAX_FAILURES).max(1),
        by: Arc::clone(&operator.name),
    };
    let wave = waves::create(node, create).await?;
    reply::json(StatusCode::CREATED, &view(&new_wave.name, &wave))
}

fn view(name: &WaveName, wave: &WaveRow) -> serde_json::Value {
    serde_json::json!({
        "name": name,
        "state": wave.state,
        "pending": wave.pending.len(),
        "out": wave.active,
        "done": wave.done.len(),
        "failed": wave.failed,
        "reason": wave.reason,
        "created_by": wave.created_by,
    })
}
