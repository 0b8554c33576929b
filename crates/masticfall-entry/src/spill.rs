//! Spill-over: a request that finds no slot here goes to a near data centre.
//!
//! The process that admitted the request keeps its team's unit and its caller.
//! A request is forwarded once at most, and only while it is certain that it
//! did not run here.

use std::sync::Arc;

use http::{HeaderName, HeaderValue};
use masticfall_core::error::{ErrorKind, RunState};
use masticfall_core::id::{DataCentre, Name};
use masticfall_core::timeline::{EventKind, Stamp};
use rand::seq::IteratorRandom;
use volo_http::body::Body;
use volo_http::error::client::ErrorKind as ClientErrorKind;
use volo_http::response::Response;

use crate::context::{Node, wall_ms};
use crate::dispatch::{self, Admitted, Call, Forwarded, set_own_headers};
use crate::http::problem::RUN_HEADER;
use crate::membership::is_live;
use crate::refusal::{Refusal, Result};

/// Header by which entry processes know a forwarded request.
const FORWARDED: HeaderName = HeaderName::from_static("masticfall-forwarded");

/// Header that names the team of a forwarded request.
const TEAM: HeaderName = HeaderName::from_static("masticfall-team");

/// Header that carries the forwarding process's hybrid logical clock.
const STAMP: HeaderName = HeaderName::from_static("masticfall-stamp");

/// Furthest that a forwarded clock may be ahead of this one, in milliseconds.
const MAX_AHEAD_MS: u64 = 60_000;

/// Shortest time left for which forwarding is tried, in milliseconds.
const MIN_LEFT_MS: u64 = 20;

/// Forwards a request that was refused here; returns the refusal when nobody takes it.
///
/// # Errors
/// The refusal given, or that the outcome of the forwarded request is unknown.
pub async fn forward(
    node: &Arc<Node>,
    call: &Call,
    admitted: Admitted,
    refusal: Refusal,
) -> Result<Response> {
    let may_spill = matches!(refusal.kind, ErrorKind::Overloaded | ErrorKind::NoTarget);
    let left_ms = admitted.deadline_ms.saturating_sub(node.now_ms());
    if !may_spill || call.forwarded.is_some() || left_ms < MIN_LEFT_MS {
        return Err(refusal);
    }
    let Some((data_centre, address)) = near_process(node) else { return Err(refusal) };
    let to = Some(("data_centre", Name::clone(data_centre.name())));
    dispatch::note_request(node, EventKind::Forwarded, &call.request_id, [to, None]);
    let uri = format!("http://{address}/v1/queues/{}/requests{}", call.queue, call.path);
    let mut request = node.client.request(call.method.clone(), uri);
    request.headers_mut().clone_from(&call.headers);
    set_own_headers(request.headers_mut(), call, &admitted, left_ms);
    if let Ok(secret) = HeaderValue::from_str(&node.settings.peer_secret) {
        request.headers_mut().insert(FORWARDED, secret);
    }
    let stamp = node.state().timeline.clock().now(wall_ms());
    if let Ok(stamp) = HeaderValue::from_str(&stamp.to_string()) {
        request.headers_mut().insert(STAMP, stamp);
    }
    let request = request.body(Body::from(call.body.clone()));
    let deadline = node.instant(admitted.deadline_ms);
    match tokio::time::timeout_at(deadline, request.send::<Body>()).await {
        Err(_) => Err(Refusal::new(ErrorKind::DeadlineUnknown, "no answer before the deadline")),
        Ok(Err(error)) if *error.kind() == ClientErrorKind::Connect => Err(refusal),
        Ok(Err(error)) => Err(Refusal::new(ErrorKind::AnswerLost, error.to_string())),
        Ok(Ok(response)) if says_not_run(&response) => Err(refusal),
        Ok(Ok(response)) => Ok(dispatch::guarded(node, response, None, admitted)),
    }
}

fn says_not_run(response: &Response) -> bool {
    let not_run: &'static str = RunState::NotRun.into();
    response.headers().get(RUN_HEADER).is_some_and(|value| value == not_run)
}

/// Returns a live process of the nearest data centre that has one.
fn near_process(node: &Node) -> Option<(DataCentre, Name)> {
    let now_ms = node.now_ms();
    let state = node.state();
    let config = state.config.as_ref()?;
    let near = &config.data_centres.get(node.data_centre())?.near;
    near.iter().find_map(|data_centre| {
        let members = state.members.values().filter(|member| {
            member.row.data_centre == *data_centre && !member.row.leaving && is_live(member, now_ms)
        });
        let chosen = members.choose(&mut rand::rng())?;
        Some((data_centre.clone(), Name::clone(&chosen.row.http)))
    })
}

/// Returns what a forwarding process says, if the request comes from one.
pub fn forwarded(node: &Node, headers: &http::HeaderMap) -> Option<Forwarded> {
    use subtle::ConstantTimeEq;
    let given = headers.get(FORWARDED)?.as_bytes();
    let expected = node.settings.peer_secret.as_bytes();
    let is_peer: bool = given.ct_eq(expected).into();
    let team = headers.get(TEAM).and_then(|value| value.to_str().ok()).map(Into::into);
    if !is_peer {
        return None;
    }
    let stamp = headers.get(STAMP).and_then(|value| value.to_str().ok()?.parse().ok());
    observe(node, stamp);
    Some(Forwarded { team })
}

/// Merges the forwarding process's clock, so that effects are stamped after their cause.
fn observe(node: &Node, stamp: Option<Stamp>) {
    let now_ms = wall_ms();
    if let Some(stamp) = stamp.filter(|stamp| stamp.wall_ms < now_ms + MAX_AHEAD_MS) {
        node.state().timeline.clock().observe(stamp, now_ms);
    }
}

/// Removes the headers that only entry processes may set.
pub fn strip(headers: &mut http::HeaderMap) {
    headers.remove(FORWARDED);
    headers.remove(TEAM);
    headers.remove(STAMP);
}
