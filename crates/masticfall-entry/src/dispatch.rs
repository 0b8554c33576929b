//! The path of an interactive request from admission to the target's answer.
//!
//! Whatever is refused before a byte was sent is `not_run`. From the first
//! byte on, only a target's own answer makes the outcome known.

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

/// Longest wait for units of a limit that another process holds, in milliseconds.
const UNIT_WAIT_MS: u64 = 1_000;

/// Largest random pause before a retry, in milliseconds.
const RETRY_JITTER_MS: u64 = 20;

/// Team under which requests without a key are queued.
const NO_TEAM: &str = "-";

/// Header that carries the request's identifier.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header that carries the time left until the caller gives up, in milliseconds.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");

/// Headers that belong to one connection, or that a target must not see.
const NOT_FORWARDED: &[&str] = &[
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

/// Headers of an answer that belong to the connection to the target.
const CONNECTION_HEADERS: &[&str] = &["connection", "keep-alive", "transfer-encoding", "upgrade"];

/// A request on its way.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier, taken from the caller or made.
    pub request_id: Name,
    /// Queue it was handed to.
    pub queue: QueueName,
    /// Hash of the key that came with it.
    pub key: Option<KeyHash>,
    /// Method.
    pub method: Method,
    /// Path and query for the target.
    pub path: String,
    /// Headers for the target.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Time until the caller gives up, if it named one, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Set when another entry process admitted the request and forwards it.
    pub forwarded: Option<Forwarded>,
}

/// What a forwarding process says of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forwarded {
    /// Team that the request was admitted for; it holds a unit there.
    pub team: Option<TeamName>,
}

/// A request that was admitted.
#[derive(Debug)]
pub struct Admitted {
    /// Its team.
    pub team: Option<TeamName>,
    /// Service that answers.
    pub service: ServiceName,
    /// Weight of its team.
    pub weight: f64,
    /// When the caller gives up, on the process's clock in milliseconds.
    pub deadline_ms: u64,
    /// The unit of its team's limit.
    pub unit: UnitGuard,
}

impl Call {
    fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }
}

/// Authenticates a caller for a queue.
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
    let config = config_in_service(state)?;
    let Some(found) = config.queues.get(queue) else {
        return Err(Refusal::new(ErrorKind::NotFound, format!("no queue `{queue}`")));
    };
    let Some(key) = key else {
        if found.open {
            return Ok((config, None));
        }
        return Err(Refusal::new(ErrorKind::Unauthorized, "this queue needs a key"));
    };
    let Some(team) = state.keys.team_of(key).cloned() else {
        return Err(Refusal::new(ErrorKind::Unauthorized, "key is unknown or withdrawn"));
    };
    if !found.teams.is_empty() && !found.teams.contains(&team) {
        return Err(Refusal::new(
            ErrorKind::Forbidden,
            format!("queue `{queue}` is not this team's"),
        ));
    }
    if state.refuses_isolated(&team, now_ms) {
        let detail = "this instance is cut off, and the team's requests are refused then";
        return Err(Refusal::new(ErrorKind::NotReady, detail));
    }
    Ok((config, Some(team)))
}

/// Admits a request: key, team, queue and one unit of the team's limit.
///
/// # Errors
/// The refusal, always as not run.
pub async fn admit(node: &Arc<Node>, call: &Call) -> Result<Admitted> {
    let started_ms = node.now_ms();
    loop {
        let changed = node.units_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let refusal = match try_admit(node, call, started_ms) {
            Err(refusal) if refusal.kind == ErrorKind::OverLimit => refusal,
            other => return other,
        };
        node.units_wanted.notify_one();
        let left_ms = (started_ms + UNIT_WAIT_MS).saturating_sub(node.now_ms());
        let left = Duration::from_millis(left_ms);
        if tokio::time::timeout(left, changed).await.is_err() {
            return Err(refusal);
        }
    }
}

fn try_admit(node: &Arc<Node>, call: &Call, started_ms: u64) -> Result<Admitted> {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let (config, team) = caller_of(&state, call, now_ms)?;
    let queue = &config.queues[&call.queue];
    let service = interactive_service(queue, &call.queue)?;
    let timeout_ms = call.timeout_ms.unwrap_or(queue.deadline_ms).min(config.max_deadline_ms);
    let deadline_ms = started_ms + timeout_ms;
    if deadline_ms <= now_ms {
        return Err(Refusal::new(ErrorKind::DeadlineNotRun, "deadline passed before admission"));
    }
    let weight = match &call.forwarded {
        Some(_) => weight_of(&config, team.as_ref()),
        None => take_unit(&mut state, &config, team.as_ref(), now_ms)?,
    };
    state.in_flight += 1;
    drop(state);
    // A forwarded request holds its team's unit where it was admitted.
    let held = team.clone().filter(|_| call.forwarded.is_none());
    let unit = UnitGuard::new(node, held);
    Ok(Admitted { team, service, weight, deadline_ms, unit })
}

/// Returns the configuration in force and the team of a request.
///
/// # Errors
/// What [`authenticate`] returns; a forwarded request was authenticated before.
pub fn caller_of(
    state: &State,
    call: &Call,
    now_ms: u64,
) -> Result<(Arc<FleetConfig>, Option<TeamName>)> {
    let Some(forwarded) = &call.forwarded else {
        return authenticate(state, &call.queue, call.key.as_ref(), now_ms);
    };
    let config = config_in_service(state)?;
    if !config.queues.contains_key(&call.queue) {
        return Err(not_in_service());
    }
    Ok((config, forwarded.team.clone()))
}

/// Returns the configuration in force while the process takes requests.
fn config_in_service(state: &State) -> Result<Arc<FleetConfig>> {
    let ready = matches!(state.phase, Phase::Ready | Phase::Leaving);
    state.config.clone().filter(|_| ready).ok_or_else(not_in_service)
}

fn not_in_service() -> Refusal {
    Refusal::new(ErrorKind::NotReady, "this instance takes no requests now")
}

fn weight_of(config: &FleetConfig, team: Option<&TeamName>) -> f64 {
    let settings = team.and_then(|team| config.teams.get(team));
    settings.map_or(1.0, |team| f64::from(team.share))
}

fn interactive_service(queue: &QueueConfig, name: &QueueName) -> Result<ServiceName> {
    if let (QueueClass::Interactive, Some(service)) = (&queue.class, &queue.service) {
        Ok(service.clone())
    } else {
        let detail = format!("queue `{name}` takes jobs, not requests");
        Err(Refusal::new(ErrorKind::BadRequest, detail))
    }
}

/// Takes one unit of a team's limit and returns the team's weight.
fn take_unit(
    state: &mut State,
    config: &FleetConfig,
    team: Option<&TeamName>,
    now_ms: u64,
) -> Result<f64> {
    let Some(team) = team else { return Ok(1.0) };
    let Some(settings) = config.teams.get(team) else {
        return Err(Refusal::new(ErrorKind::Forbidden, "the key's team is not configured"));
    };
    let closed = state.usable_units(now_ms) == UsableUnits::None;
    let account = state.limit_grants.entry(team.clone()).or_default();
    let usable = state.leases.usable(account.units, now_ms);
    if account.try_acquire(usable) {
        return Ok(f64::from(settings.share));
    }
    if closed {
        let detail = "this instance is cut off and may not use the team's units";
        return Err(Refusal::new(ErrorKind::NotReady, detail));
    }
    Err(Refusal::new(ErrorKind::OverLimit, format!("team `{team}` runs as much as it may")))
}

/// Sends an admitted request to a target and returns its answer.
///
/// # Errors
/// The refusal; its kind says whether the request may have run.
pub async fn run(node: &Arc<Node>, call: &Call, admitted: Admitted) -> Result<Response> {
    let mut avoid: Option<InstanceName> = None;
    let mut may_have_run = false;
    earn_retry(node, &admitted.service);
    loop {
        let slot = match take_slot(node, &admitted, avoid.as_ref()).await {
            Ok(slot) => slot,
            Err(refusal) if may_have_run => {
                return Err(Refusal::new(ErrorKind::AnswerLost, refusal.detail));
            }
            Err(refusal) => return spill::forward(node, call, admitted, refusal).await,
        };
        let target = slot.target.clone();
        note(node, call, EventKind::Dispatched, &target);
        let failure = match send(node, call, &admitted, slot).await {
            Ok((response, slot)) => {
                note(node, call, EventKind::Answered, &target);
                return Ok(guarded(node, response, Some(slot), admitted));
            }
            Err(failure) => failure,
        };
        may_have_run |= failure.kind != ErrorKind::TargetUnreachable;
        let may_retry = !may_have_run || call.is_idempotent();
        let in_time = node.now_ms() + RETRY_JITTER_MS < admitted.deadline_ms;
        if !(may_retry && in_time && spend_retry(node, &admitted.service)) {
            let kind = if may_have_run && failure.kind == ErrorKind::TargetUnreachable {
                ErrorKind::AnswerLost
            } else {
                failure.kind
            };
            return Err(Refusal::new(kind, failure.detail));
        }
        node.metrics.retries.inc();
        note(node, call, EventKind::Retried, &target);
        avoid = Some(target);
        let pause_ms = rand::Rng::random_range(&mut rand::rng(), 0..=RETRY_JITTER_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn take_slot(
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
    slots::take(node, &request).await
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

fn note(node: &Node, call: &Call, kind: EventKind, target: &InstanceName) {
    let instance = Some(("instance", Name::clone(target.name())));
    note_request(node, kind, &call.request_id, [instance, None]);
}

/// Records an event of a request on the time line.
pub fn note_request(
    node: &Node,
    kind: EventKind,
    request_id: &Name,
    labels: [Option<(&'static str, Name)>; 2],
) {
    let event = RequestEvent { kind, request: Name::clone(request_id), labels };
    node.state().timeline.record_request(wall_ms(), event);
}

/// Sends one attempt. The slot's outcome is set unless the answer's body follows.
async fn send(
    node: &Arc<Node>,
    call: &Call,
    admitted: &Admitted,
    mut slot: SlotGuard,
) -> Result<(Response, SlotGuard)> {
    let address = target_address(node, &slot.target)?;
    let now_ms = node.now_ms();
    // A process that was paused after admission must not use units that lapsed since.
    if now_ms >= admitted.deadline_ms || node.state().usable_units(now_ms) == UsableUnits::None {
        return Err(Refusal::new(ErrorKind::TargetUnreachable, "deadline or lease passed"));
    }
    let left_ms = admitted.deadline_ms - now_ms;
    let uri = format!("http://{address}{}", call.path);
    let mut request = node.client.request(call.method.clone(), uri);
    request.headers_mut().clone_from(&call.headers);
    set_own_headers(request.headers_mut(), call, admitted, left_ms);
    let request = request.body(Body::from(call.body.clone()));
    let deadline = node.instant(admitted.deadline_ms);
    match tokio::time::timeout_at(deadline, request.send::<Body>()).await {
        Err(_) => {
            slot.set_outcome(Outcome::Failure);
            Err(Refusal::new(ErrorKind::DeadlineUnknown, "no answer before the deadline"))
        }
        Ok(Err(error)) => {
            slot.set_outcome(Outcome::Failure);
            let unsent = *error.kind() == ClientErrorKind::Connect;
            let kind = if unsent { ErrorKind::TargetUnreachable } else { ErrorKind::AnswerLost };
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
        return Err(Refusal::new(ErrorKind::TargetUnreachable, "target left the fleet"));
    };
    Ok(Name::clone(&row.facts.address))
}

/// Removes the headers that belong to one connection, or that a target must not see.
pub fn strip_headers(headers: &mut HeaderMap) {
    remove_headers(headers, NOT_FORWARDED);
}

/// Removes the headers of a list; walks what is there, which is shorter than the list.
fn remove_headers(headers: &mut HeaderMap, list: &[&str]) {
    let listed = |name: &&HeaderName| list.contains(&name.as_str());
    let present: Vec<HeaderName> = headers.keys().filter(listed).cloned().collect();
    for name in present {
        headers.remove(name);
    }
}

/// Sets the headers by which a target knows a request.
pub fn set_own_headers(headers: &mut HeaderMap, call: &Call, admitted: &Admitted, left_ms: u64) {
    if let Ok(id) = HeaderValue::from_str(&call.request_id) {
        headers.insert(REQUEST_ID, id);
    }
    headers.insert(REQUEST_TIMEOUT, HeaderValue::from(left_ms));
    if let Some(team) = &admitted.team
        && let Ok(team) = HeaderValue::from_str(team.as_str())
    {
        headers.insert("masticfall-team", team);
    }
}

/// Returns an answer whose body holds the request's slot and unit.
pub fn guarded(
    node: &Node,
    response: Response,
    slot: Option<SlotGuard>,
    admitted: Admitted,
) -> Response {
    let deadline: Instant = node.instant(admitted.deadline_ms);
    let (mut parts, body) = response.into_parts();
    remove_headers(&mut parts.headers, CONNECTION_HEADERS);
    let body = GuardedBody::new(body, slot, admitted.unit, deadline);
    Response::from_parts(parts, Body::from_body(body))
}
