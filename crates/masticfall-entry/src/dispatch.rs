//! Interactive requests, from admission to the target's response.
//!
//! A request that is refused before any byte is sent is reported as `not_run`.
//! From the first byte on, only a target's response makes the outcome known.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use masticfall_core::config::{FleetConfig, QueueClass, QueueConfig};
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{InstanceName, Name, QueueName, ServiceName, TeamName};
use masticfall_core::key::KeyHash;
use masticfall_core::routing::Outcome;
use masticfall_core::timeline::{EventKind, RequestEvent};
use tokio::time::Instant;
use volo_http::body::Body;
use volo_http::error::client::ErrorKind as ClientErrorKind;
use volo_http::response::Response;

use crate::context::{Node, wall_ms};
use crate::guards::{GuardedBody, SlotGuard, UnitGuard};
use crate::refusal::{Refusal, Result};
use crate::slots::{self, SlotRequest};
use crate::spill;
use crate::state::{Phase, State, UsableUnits};

/// Maximum wait for units of a limit held by other processes, in milliseconds.
const MAX_UNIT_WAIT_MS: u64 = 1_000;

/// Maximum random delay before a retry, in milliseconds.
const MAX_RETRY_JITTER_MS: u64 = 20;

/// Number of targets that may break off one request. A request that crashes its targets must
/// not be passed from one to the next.
const MAX_BROKEN_TARGETS: u32 = 2;

/// Team under which requests without a key are queued.
const NO_TEAM: &str = "-";

/// Header that carries the request's identifier.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header that carries the caller's remaining timeout, in milliseconds.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");

/// Request headers not passed on: hop-by-hop headers and those a target must not see.
const STRIPPED_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "request-timeout-ms",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Hop-by-hop headers removed from a target's response.
const HOP_BY_HOP_HEADERS: &[&str] = &["connection", "keep-alive", "transfer-encoding", "upgrade"];

/// An interactive request as received.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier, given by the caller or generated.
    pub request_id: Name,
    /// Queue it was submitted to.
    pub queue: QueueName,
    /// Hash of the caller's API key.
    pub key: Option<KeyHash>,
    /// HTTP method.
    pub method: Method,
    /// Path and query sent to the target.
    pub path: String,
    /// Headers sent to the target.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Timeout given by the caller, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Set when another entry process admitted and forwarded the request.
    pub forwarded: Option<Forwarded>,
}

/// Information from the process that forwarded a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forwarded {
    /// Team whose unit the forwarding process holds.
    pub team: Option<TeamName>,
}

/// An admitted request.
#[derive(Debug)]
pub struct Admitted {
    /// Team of the request, if any.
    pub team: Option<TeamName>,
    /// Service that runs the request.
    pub service: ServiceName,
    /// Weight of the team.
    pub weight: f64,
    /// Deadline on the process's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Counts the request as in flight and holds the team's unit, if it is held here.
    pub unit: UnitGuard,
}

impl Call {
    fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }
}

/// Authenticates a caller for a queue and returns the configuration in force.
///
/// # Errors
/// [`ErrorKind::NotReady`], [`ErrorKind::NotFound`], [`ErrorKind::Unauthorized`]
/// or [`ErrorKind::Forbidden`].
pub fn authenticate(
    state: &State,
    queue: &QueueName,
    key: Option<&KeyHash>,
    now_ms: u64,
) -> Result<(Arc<FleetConfig>, Option<TeamName>)> {
    let config = serving_config(state)?;
    let Some(queue_config) = config.queues.get(queue) else {
        return Err(Refusal::new(ErrorKind::NotFound, format!("no queue `{queue}`")));
    };
    let Some(key) = key else {
        if queue_config.open {
            return Ok((config, None));
        }
        return Err(Refusal::new(ErrorKind::Unauthorized, "this queue requires a key"));
    };
    let Some(team) = state.keys.team_of(key).cloned() else {
        return Err(Refusal::new(ErrorKind::Unauthorized, "key is unknown or withdrawn"));
    };
    if !queue_config.teams.is_empty() && !queue_config.teams.contains(&team) {
        return Err(Refusal::new(
            ErrorKind::Forbidden,
            format!("queue `{queue}` is not open to this key's team"),
        ));
    }
    if state.refuses_isolated(&team, now_ms) {
        let detail = "this instance is isolated, and the team's requests are refused while it is";
        return Err(Refusal::new(ErrorKind::NotReady, detail));
    }
    Ok((config, Some(team)))
}

/// Admits a request: checks key, team and queue, and acquires one unit of the team's limit.
///
/// Waits at most `MAX_UNIT_WAIT_MS` for a unit.
///
/// # Errors
/// The refusal; the request has not run.
pub async fn admit(node: &Arc<Node>, call: &Call) -> Result<Admitted> {
    let started_ms = node.now_ms();
    loop {
        let units_changed = node.units_changed.notified();
        tokio::pin!(units_changed);
        units_changed.as_mut().enable();
        let refusal = match try_admit(node, call, started_ms) {
            Err(refusal) if refusal.kind == ErrorKind::OverLimit => refusal,
            other => return other,
        };
        node.units_wanted.notify_one();
        let remaining_ms = (started_ms + MAX_UNIT_WAIT_MS).saturating_sub(node.now_ms());
        let remaining = Duration::from_millis(remaining_ms);
        if tokio::time::timeout(remaining, units_changed).await.is_err() {
            return Err(refusal);
        }
    }
}

fn try_admit(node: &Arc<Node>, call: &Call, started_ms: u64) -> Result<Admitted> {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let (config, team) = resolve_caller(&state, call, now_ms)?;
    let queue = &config.queues[&call.queue];
    let service = interactive_service(queue, &call.queue)?;
    let timeout_ms = call.timeout_ms.unwrap_or(queue.deadline_ms).min(config.max_deadline_ms);
    let deadline_ms = started_ms + timeout_ms;
    if deadline_ms <= now_ms {
        return Err(Refusal::new(ErrorKind::DeadlineNotRun, "deadline passed before admission"));
    }
    let weight = match &call.forwarded {
        Some(_) => team_weight(&config, team.as_ref()),
        None => acquire_unit(&mut state, &config, team.as_ref(), now_ms)?,
    };
    state.in_flight += 1;
    drop(state);
    // The unit of a forwarded request is held by the process that admitted it.
    let unit_team = team.clone().filter(|_| call.forwarded.is_none());
    let unit = UnitGuard::new(node, unit_team);
    Ok(Admitted { team, service, weight, deadline_ms, unit })
}

/// Returns the configuration in force and the team of a request.
///
/// # Errors
/// Those of [`authenticate`]; a forwarded request is already authenticated.
pub fn resolve_caller(
    state: &State,
    call: &Call,
    now_ms: u64,
) -> Result<(Arc<FleetConfig>, Option<TeamName>)> {
    let Some(forwarded) = &call.forwarded else {
        return authenticate(state, &call.queue, call.key.as_ref(), now_ms);
    };
    let config = serving_config(state)?;
    if !config.queues.contains_key(&call.queue) {
        return Err(not_serving());
    }
    Ok((config, forwarded.team.clone()))
}

/// Returns the configuration in force if the process accepts requests.
fn serving_config(state: &State) -> Result<Arc<FleetConfig>> {
    let ready = matches!(state.phase, Phase::Ready | Phase::Leaving);
    state.config.clone().filter(|_| ready).ok_or_else(not_serving)
}

fn not_serving() -> Refusal {
    Refusal::new(ErrorKind::NotReady, "this instance does not accept requests now")
}

fn team_weight(config: &FleetConfig, team: Option<&TeamName>) -> f64 {
    let settings = team.and_then(|team| config.teams.get(team));
    settings.map_or(1.0, |team| f64::from(team.share))
}

fn interactive_service(queue: &QueueConfig, name: &QueueName) -> Result<ServiceName> {
    if let (QueueClass::Interactive, Some(service)) = (&queue.class, &queue.service) {
        Ok(service.clone())
    } else {
        let detail = format!("queue `{name}` accepts jobs, not requests");
        Err(Refusal::new(ErrorKind::BadRequest, detail))
    }
}

/// Acquires one unit of a team's limit and returns the team's weight.
fn acquire_unit(
    state: &mut State,
    config: &FleetConfig,
    team: Option<&TeamName>,
    now_ms: u64,
) -> Result<f64> {
    let Some(team) = team else { return Ok(1.0) };
    let Some(settings) = config.teams.get(team) else {
        return Err(Refusal::new(ErrorKind::Forbidden, "the key's team is not configured"));
    };
    let is_closed = state.usable_units(now_ms) == UsableUnits::None;
    let grant = state.limit_grants.entry(team.clone()).or_default();
    let usable = state.leases.usable(grant.units, now_ms);
    if grant.try_acquire(usable) {
        return Ok(f64::from(settings.share));
    }
    if is_closed {
        let detail = "this instance is isolated and holds no lease for the team's units";
        return Err(Refusal::new(ErrorKind::NotReady, detail));
    }
    Err(Refusal::new(ErrorKind::OverLimit, format!("no unit of team `{team}`'s limit is free")))
}

/// Sends an admitted request to a target, with retries, and returns the response.
///
/// # Errors
/// The refusal; its kind says whether the request may have run.
pub async fn run(node: &Arc<Node>, call: &Call, admitted: Admitted) -> Result<Response> {
    let mut avoid: Option<InstanceName> = None;
    let mut may_have_run = false;
    let mut broken_targets = 0;
    earn_retry(node, &admitted.service);
    loop {
        let slot = match acquire_slot(node, &admitted, avoid.as_ref()).await {
            Ok(slot) => slot,
            Err(refusal) if may_have_run => {
                return Err(Refusal::new(ErrorKind::AnswerLost, refusal.detail));
            }
            Err(refusal) => return spill::forward(node, call, admitted, refusal).await,
        };
        let target = slot.target.clone();
        record_target_event(node, call, EventKind::Dispatched, &target);
        let failure = match send(node, call, &admitted, slot).await {
            Ok((response, slot)) => {
                record_target_event(node, call, EventKind::Answered, &target);
                return Ok(guard_response(node, response, Some(slot), admitted));
            }
            Err(failure) => failure,
        };
        may_have_run |= failure.kind != ErrorKind::TargetUnreachable;
        broken_targets += u32::from(failure.kind == ErrorKind::AnswerLost);
        if broken_targets == MAX_BROKEN_TARGETS {
            tracing::warn!(name: "request.breaks_targets", request = &*call.request_id, %target, broken_targets, "targets broke off a request; not retried");
        }
        let may_retry =
            (!may_have_run || call.is_idempotent()) && broken_targets < MAX_BROKEN_TARGETS;
        let has_time = node.now_ms() + MAX_RETRY_JITTER_MS < admitted.deadline_ms;
        if !(may_retry && has_time && spend_retry(node, &admitted.service)) {
            let kind = if may_have_run && failure.kind == ErrorKind::TargetUnreachable {
                ErrorKind::AnswerLost
            } else {
                failure.kind
            };
            return Err(Refusal::new(kind, failure.detail));
        }
        node.metrics.retries.inc();
        record_target_event(node, call, EventKind::Retried, &target);
        avoid = Some(target);
        let pause_ms = rand::Rng::random_range(&mut rand::rng(), 0..=MAX_RETRY_JITTER_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn acquire_slot(
    node: &Arc<Node>,
    admitted: &Admitted,
    avoid: Option<&InstanceName>,
) -> Result<SlotGuard> {
    let no_team = TeamName::from(NO_TEAM);
    let request = SlotRequest {
        service: &admitted.service,
        team: admitted.team.as_ref().unwrap_or(&no_team),
        weight: admitted.weight,
        deadline_ms: admitted.deadline_ms,
        avoid,
    };
    slots::acquire(node, &request).await
}

fn earn_retry(node: &Node, service: &ServiceName) {
    if let Some(service) = node.state().services.get_mut(service) {
        service.retries.earn();
    }
}

fn spend_retry(node: &Node, service: &ServiceName) -> bool {
    let mut state = node.state();
    state.services.get_mut(service).is_some_and(|service| service.retries.spend())
}

fn record_target_event(node: &Node, call: &Call, kind: EventKind, target: &InstanceName) {
    let instance = Some(("instance", Name::clone(target.name())));
    record_request_event(node, kind, &call.request_id, [instance, None]);
}

/// Records an event of a request in the timeline.
pub fn record_request_event(
    node: &Node,
    kind: EventKind,
    request_id: &Name,
    labels: [Option<(&'static str, Name)>; 2],
) {
    let event = RequestEvent { kind, request: Name::clone(request_id), labels };
    node.state().timeline.record_request(wall_ms(), event);
}

/// Sends one attempt and sets the slot's outcome from the response's status or the failure.
///
/// A failure in the response's body changes the outcome later.
async fn send(
    node: &Arc<Node>,
    call: &Call,
    admitted: &Admitted,
    mut slot: SlotGuard,
) -> Result<(Response, SlotGuard)> {
    let address = target_address(node, &slot.target)?;
    let now_ms = node.now_ms();
    // A process that was paused after admission must not use units whose lease has expired.
    if now_ms >= admitted.deadline_ms || node.state().usable_units(now_ms) == UsableUnits::None {
        return Err(Refusal::new(
            ErrorKind::TargetUnreachable,
            "deadline passed or lease expired before the request was sent",
        ));
    }
    let remaining_ms = admitted.deadline_ms - now_ms;
    let uri = format!("http://{address}{}", call.path);
    let mut request = node.client.request(call.method.clone(), uri);
    request.headers_mut().clone_from(&call.headers);
    set_request_headers(request.headers_mut(), call, admitted, remaining_ms);
    let request = request.body(Body::from(call.body.clone()));
    let deadline = node.instant(admitted.deadline_ms);
    match tokio::time::timeout_at(deadline, request.send::<Body>()).await {
        Err(_) => {
            slot.set_outcome(Outcome::Failure);
            Err(Refusal::new(ErrorKind::DeadlineUnknown, "no response before the deadline"))
        }
        Ok(Err(error)) => {
            slot.set_outcome(Outcome::Failure);
            let connect_failed = *error.kind() == ClientErrorKind::Connect;
            let kind =
                if connect_failed { ErrorKind::TargetUnreachable } else { ErrorKind::AnswerLost };
            Err(Refusal::new(kind, error.to_string()))
        }
        Ok(Ok(response)) => {
            let failed = response.status().is_server_error();
            slot.set_outcome(if failed { Outcome::Failure } else { Outcome::Success });
            Ok((response, slot))
        }
    }
}

fn target_address(node: &Node, target: &InstanceName) -> Result<Name> {
    let state = node.state();
    let Some((_, row)) = state.instances.get(target) else {
        return Err(Refusal::new(ErrorKind::TargetUnreachable, "target is no longer in the fleet"));
    };
    Ok(Name::clone(&row.facts.address))
}

/// Removes hop-by-hop headers and those that a target must not see.
pub fn strip_headers(headers: &mut HeaderMap) {
    remove_headers(headers, STRIPPED_HEADERS);
}

/// Removes the headers in `list`; iterates over those present, which are usually fewer.
fn remove_headers(headers: &mut HeaderMap, list: &[&str]) {
    let is_listed = |name: &&HeaderName| list.contains(&name.as_str());
    let present: Vec<HeaderName> = headers.keys().filter(is_listed).cloned().collect();
    for name in present {
        headers.remove(name);
    }
}

/// Sets the headers for request identifier, remaining timeout and team.
pub fn set_request_headers(
    headers: &mut HeaderMap,
    call: &Call,
    admitted: &Admitted,
    remaining_ms: u64,
) {
    if let Ok(id) = HeaderValue::from_str(&call.request_id) {
        headers.insert(REQUEST_ID, id);
    }
    headers.insert(REQUEST_TIMEOUT, HeaderValue::from(remaining_ms));
    if let Some(team) = &admitted.team
        && let Ok(team) = HeaderValue::from_str(team.as_str())
    {
        headers.insert("masticfall-team", team);
    }
}

/// Wraps a response so that its body holds the request's slot and unit.
pub fn guard_response(
    node: &Node,
    response: Response,
    slot: Option<SlotGuard>,
    admitted: Admitted,
) -> Response {
    let deadline: Instant = node.instant(admitted.deadline_ms);
    let (mut parts, body) = response.into_parts();
    remove_headers(&mut parts.headers, HOP_BY_HOP_HEADERS);
    let body = GuardedBody::new(body, slot, admitted.unit, deadline);
    Response::from_parts(parts, Body::from_body(body))
}
