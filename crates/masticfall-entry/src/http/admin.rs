//! The operators' API under `/admin/v1/`.

use std::sync::Arc;

use http::request::Parts;
use http::{HeaderValue, Method, StatusCode, header};
use indexmap::IndexMap;
use masticfall_core::config::{Role, read_fleet};
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{
    DataCentre, Incarnation, InstanceName, KeyId, Name, PoolName, Revision, TeamName,
};
use masticfall_core::instance::InstanceRow;
use masticfall_core::timeline::{Event, Stamp};
use masticfall_wire::rows::INSTANCE_PREFIX;
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::response::Response;

use super::{admin_waves, bearer, expect_method, header_text, read_body, reply};
use crate::context::Node;
use crate::membership::{is_live, observe};
use crate::ops::{apply_config, give_key, handover, move_instance, withdraw_key};
use crate::reclaim;
use crate::refusal::{Refusal, Result};

/// An authenticated operator.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Name in the configuration.
    pub name: Name,
    role: Role,
}

impl Operator {
    /// Requires [`Role::Change`].
    ///
    /// # Errors
    /// [`ErrorKind::Forbidden`] for a read-only operator.
    pub fn require_change_role(&self) -> Result<()> {
        match self.role {
            Role::Change => Ok(()),
            Role::Read => Err(Refusal::new(ErrorKind::Forbidden, "this key is read-only")),
        }
    }
}

/// Authenticates an operator and routes the request.
pub async fn handle(
    node: &Arc<Node>,
    segments: &[&str],
    parts: &Parts,
    body: Body,
) -> Result<Response> {
    let operator = authenticate(node, parts)?;
    if parts.method != Method::GET {
        operator.require_change_role()?;
    }
    match segments {
        ["config"] => config(node, &operator, parts, body).await,
        ["config", "check"] => check_config(node, body).await,
        ["config", "history"] => config_history(node).await,
        ["keys"] => keys(node, &operator, parts, body).await,
        ["keys", id] => withdraw_key(node, &operator, parts, id),
        ["members"] => members(node).await,
        ["members", id, "gone"] => confirm_gone(node, parts, id).await,
        ["instances"] => instances(node).await,
        ["instances", name, "move"] => request_move(node, parts, name, body).await,
        ["waves", rest @ ..] => admin_waves::handle(node, &operator, rest, parts, body).await,
        ["handover"] => {
            let report = handover::run(node, parse_since(parts)?).await?;
            reply::json(StatusCode::OK, &report)
        }
        ["timeline"] => timeline(node, parts),
        _ => Err(Refusal::new(ErrorKind::NotFound, "no such resource")),
    }
}

/// Authenticates an operator.
///
/// Operators are defined in the configuration, so the first configuration is
/// applied with the peers' secret.
fn authenticate(node: &Arc<Node>, parts: &Parts) -> Result<Operator> {
    use subtle::ConstantTimeEq;
    let denied = || Refusal::new(ErrorKind::Unauthorized, "an operator's key is required");
    let key = bearer(parts).ok_or_else(denied)?;
    let config = node.state().config.clone();
    let Some(config) = config else {
        let secret = node.settings.peer_secret.as_bytes();
        let is_peer_secret: bool = key.as_bytes().ct_eq(secret).into();
        let name = Name::from("bootstrap");
        return is_peer_secret.then_some(Operator { name, role: Role::Change }).ok_or_else(denied);
    };
    let (name, role) = config.operator_of(key).ok_or_else(denied)?;
    Ok(Operator { name: Arc::clone(name), role })
}

/// Parses a JSON body.
pub async fn read_json<T: for<'de> Deserialize<'de>>(node: &Arc<Node>, body: Body) -> Result<T> {
    let bytes = read_body(node, body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))
}

async fn read_text(node: &Arc<Node>, body: Body) -> Result<String> {
    let bytes = read_body(node, body).await?;
    String::from_utf8(bytes.to_vec())
        .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))
}

async fn config(
    node: &Arc<Node>,
    operator: &Operator,
    parts: &Parts,
    body: Body,
) -> Result<Response> {
    if parts.method == Method::GET {
        let row = node.state().config_row.clone();
        let row = row.ok_or_else(|| Refusal::new(ErrorKind::NotFound, "no configuration yet"))?;
        let mut response = reply::text(row.text.to_string());
        set_etag(&mut response, row.revision);
        return Ok(response);
    }
    expect_method(parts, &Method::PUT)?;
    let expected = expected_revision(parts)?;
    let text = read_text(node, body).await?;
    let apply = apply_config::ApplyConfig {
        expected,
        text: Name::from(text),
        by: Arc::clone(&operator.name),
        note: Name::from(header_text(parts, "masticfall-note").unwrap_or_default()),
    };
    let revision = apply_config::run(node, apply).await?;
    let mut response = reply::json(StatusCode::OK, &serde_json::json!({ "revision": revision }))?;
    set_etag(&mut response, revision);
    Ok(response)
}

fn set_etag(response: &mut Response, revision: Revision) {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        response.headers_mut().insert(header::ETAG, tag);
    }
}

fn expected_revision(parts: &Parts) -> Result<Revision> {
    let Some(tag) = header_text(parts, "if-match") else {
        let detail = "If-Match with the revision to replace is required";
        return Err(Refusal::new(ErrorKind::PreconditionRequired, detail));
    };
    let number = tag.trim_matches('"').parse();
    number.map(Revision).map_err(|error| {
        Refusal::new(ErrorKind::BadRequest, format!("`{tag}` is not a revision: {error}"))
    })
}

async fn check_config(node: &Arc<Node>, body: Body) -> Result<Response> {
    let text = read_text(node, body).await?;
    match read_fleet(&text) {
        Ok(_) => Ok(reply::text("ok\n")),
        Err(errors) => Err(Refusal::new(ErrorKind::InvalidConfig, apply_config::describe(&errors))),
    }
}

async fn config_history(node: &Arc<Node>) -> Result<Response> {
    reply::json(StatusCode::OK, &handover::changes(node, 0).await?)
}

#[derive(Debug, Deserialize)]
struct NewKey {
    team: TeamName,
}

async fn keys(
    node: &Arc<Node>,
    operator: &Operator,
    parts: &Parts,
    body: Body,
) -> Result<Response> {
    if parts.method == Method::GET {
        return list_keys(node);
    }
    expect_method(parts, &Method::POST)?;
    let new_key: NewKey = read_json(node, body).await?;
    let created = give_key::run(node, new_key.team, Arc::clone(&operator.name)).await?;
    let view = serde_json::json!({
        "id": created.id, "key": created.key, "revision": created.revision,
    });
    reply::json(StatusCode::CREATED, &view)
}

fn list_keys(node: &Arc<Node>) -> Result<Response> {
    let state = node.state();
    let config = state.config.clone();
    let keys = config.iter().flat_map(|config| &config.keys);
    let listed: Vec<_> = keys
        .map(|(id, key)| {
            let withdrawn = state.withdrawals.contains_key(id);
            serde_json::json!({ "id": id, "team": key.team, "withdrawn": withdrawn })
        })
        .collect();
    drop(state);
    reply::json(StatusCode::OK, &listed)
}

fn withdraw_key(
    node: &Arc<Node>,
    operator: &Operator,
    parts: &Parts,
    id: &str,
) -> Result<Response> {
    expect_method(parts, &Method::DELETE)?;
    let key = KeyId::from(id);
    withdraw_key::run(node, &key, Arc::clone(&operator.name))?;
    reply::json(StatusCode::ACCEPTED, &serde_json::json!({ "withdrawn": key }))
}

/// An entry process and the state that this process knows of it.
#[derive(Debug, Serialize)]
struct MemberView {
    process: Incarnation,
    data_centre: DataCentre,
    http: Name,
    revision: Revision,
    withdrawals_confirmed: bool,
    live: bool,
    leaving: bool,
}

async fn members(node: &Arc<Node>) -> Result<Response> {
    if let Err(error) = observe(node).await {
        tracing::info!(
            name: "members.from_memory", error = %error,
            "cannot read member rows; answering from memory"
        );
    }
    let now_ms = node.now_ms();
    let state = node.state();
    let withdrawn_digest = state.withdrawn_digest();
    let mut views = vec![MemberView {
        process: node.incarnation.clone(),
        data_centre: node.data_centre().clone(),
        http: Arc::clone(&node.addresses.http),
        revision: state.revision(),
        withdrawals_confirmed: true,
        live: true,
        leaving: state.phase >= crate::state::Phase::Leaving,
    }];
    for (process, member) in &state.members {
        views.push(MemberView {
            process: process.clone(),
            data_centre: member.row.data_centre.clone(),
            http: Arc::clone(&member.row.http),
            revision: member.revision,
            withdrawals_confirmed: member.withdrawn_digest == withdrawn_digest,
            live: is_live(member, now_ms),
            leaving: member.row.leaving,
        });
    }
    drop(state);
    reply::json(StatusCode::OK, &views)
}

async fn confirm_gone(node: &Arc<Node>, parts: &Parts, id: &str) -> Result<Response> {
    expect_method(parts, &Method::POST)?;
    if !reclaim::confirm_gone(node, &Incarnation::from(id)).await? {
        return Err(Refusal::new(ErrorKind::NotFound, format!("no process `{id}`")));
    }
    Ok(reply::text("units reclaimed\n"))
}

async fn instances(node: &Arc<Node>) -> Result<Response> {
    let rows = (node.platform.tables.scan)(INSTANCE_PREFIX.to_string()).await?;
    let mut views: IndexMap<String, InstanceRow> = IndexMap::new();
    for row in rows {
        let name = row.key.rsplit('/').next().unwrap_or_default().to_string();
        views.insert(name, row.decode()?);
    }
    reply::json(StatusCode::OK, &views)
}

#[derive(Debug, Deserialize)]
struct MoveTo {
    pool: PoolName,
}

async fn request_move(node: &Arc<Node>, parts: &Parts, name: &str, body: Body) -> Result<Response> {
    expect_method(parts, &Method::POST)?;
    let to: MoveTo = read_json(node, body).await?;
    move_instance::run(node, &InstanceName::from(name), to.pool).await?;
    reply::json(StatusCode::ACCEPTED, &serde_json::json!({ "moving": name }))
}

#[derive(Debug, Serialize)]
struct TimelineView {
    process: Incarnation,
    lost: u64,
    events: Vec<Event>,
}

/// Parses `?since=WALL_MS`; returns 0 if it is absent.
fn parse_since(parts: &Parts) -> Result<u64> {
    let query = parts.uri.query().unwrap_or_default();
    let since = query.split('&').find_map(|pair| pair.strip_prefix("since="));
    let parsed = since.map_or(Ok(0), str::parse);
    parsed.map_err(|error| {
        let detail = format!("`since` must be a wall clock time in milliseconds: {error}");
        Refusal::new(ErrorKind::BadRequest, detail)
    })
}

/// `GET timeline?since=WALL_MS`.
fn timeline(node: &Arc<Node>, parts: &Parts) -> Result<Response> {
    let wall_ms = parse_since(parts)?;
    let state = node.state();
    let view = TimelineView {
        process: node.incarnation.clone(),
        lost: state.timeline.lost(),
        events: state.timeline.since(Stamp { wall_ms, counter: 0 }),
    };
    drop(state);
    reply::json(StatusCode::OK, &view)
}
