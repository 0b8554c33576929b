//! Spill-over: forwards a request that gets no slot here to a nearby data centre.
//!
//! The process that admitted the request keeps the team's unit and the caller's
//! connection. A request is forwarded at most once, and only if it certainly did
//! not run here.

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
use crate::dispatch::{self, Admitted, Call, Forwarded, set_request_headers};
use crate::http::problem::RUN_HEADER;
use crate::membership::is_live;
use crate::refusal::{Refusal, Result};

/// Header that marks a forwarded request; its value is the peers' secret.
const FORWARDED_HEADER: HeaderName = HeaderName::from_static("masticfall-forwarded");

/// Header that names the team of a forwarded request.
const TEAM_HEADER: HeaderName = HeaderName::from_static("masticfall-team");

/// Header that carries the forwarding process's hybrid logical clock.
const STAMP_HEADER: HeaderName = HeaderName::from_static("masticfall-stamp");

/// Maximum time by which a forwarded clock may be ahead of the local one, in milliseconds.
const MAX_CLOCK_LEAD_MS: u64 = 60_000;

/// Minimum remaining time for which forwarding is tried, in milliseconds.
const MIN_REMAINING_MS: u64 = 20;

/// Forwards a request that was refused here.
///
/// # Errors
/// The given refusal if no other process runs the request, or that the outcome of
/// the forwarded request is unknown.
pub async fn forward(
    node: &Arc<Node>,
    call: &Call,
    admitted: Admitted,
    refusal: Refusal,
) -> Result<Response> {
    let can_spill = matches!(refusal.kind, ErrorKind::Overloaded | ErrorKind::NoTarget);
    let remaining_ms = admitted.deadline_ms.saturating_sub(node.now_ms());
    if !can_spill || call.forwarded.is_some() || remaining_ms < MIN_REMAINING_MS {
        return Err(refusal);
    }
    let Some((data_centre, address)) = nearest_process(node) else { return Err(refusal) };
    let destination = Some(("data_centre", Name::clone(data_centre.name())));
    dispatch::record_request_event(
        node,
        EventKind::Forwarded,
        &call.request_id,
        [destination, None],
    );
    let uri = format!("http://{address}/v1/queues/{}/requests{}", call.queue, call.path);
    let mut request = node.client.request(call.method.clone(), uri);
    request.headers_mut().clone_from(&call.headers);
    set_request_headers(request.headers_mut(), call, &admitted, remaining_ms);
    if let Ok(secret) = HeaderValue::from_str(&node.settings.peer_secret) {
        request.headers_mut().insert(FORWARDED_HEADER, secret);
    }
    let stamp = node.state().timeline.clock().now(wall_ms());
    if let Ok(stamp) = HeaderValue::from_str(&stamp.to_string()) {
        request.headers_mut().insert(STAMP_HEADER, stamp);
    }
    let request = request.body(Body::from(call.body.clone()));
    let deadline = node.instant(admitted.deadline_ms);
    match tokio::time::timeout_at(deadline, request.send::<Body>()).await {
        Err(_) => Err(Refusal::new(ErrorKind::DeadlineUnknown, "no response before the deadline")),
        Ok(Err(error)) if *error.kind() == ClientErrorKind::Connect => Err(refusal),
        Ok(Err(error)) => Err(Refusal::new(ErrorKind::AnswerLost, error.to_string())),
        Ok(Ok(response)) if reports_not_run(&response) => Err(refusal),
        Ok(Ok(response)) => Ok(dispatch::guard_response(node, response, None, admitted)),
    }
}

fn reports_not_run(response: &Response) -> bool {
    let not_run: &'static str = RunState::NotRun.into();
    response.headers().get(RUN_HEADER).is_some_and(|value| value == not_run)
}

/// Returns the nearest data centre with a live process, and the address of one at random.
fn nearest_process(node: &Node) -> Option<(DataCentre, Name)> {
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

/// Reads the headers of a request forwarded by a peer, and merges the peer's clock.
pub fn accept_forwarded(node: &Node, headers: &http::HeaderMap) -> Option<Forwarded> {
    use subtle::ConstantTimeEq;
    let given = headers.get(FORWARDED_HEADER)?.as_bytes();
    let expected = node.settings.peer_secret.as_bytes();
    let is_peer: bool = given.ct_eq(expected).into();
    let team = headers.get(TEAM_HEADER).and_then(|value| value.to_str().ok()).map(Into::into);
    if !is_peer {
        return None;
    }
    let stamp = headers.get(STAMP_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
    merge_clock(node, stamp);
    Some(Forwarded { team })
}

/// Merges the forwarding process's clock, so that events here are stamped after their cause.
fn merge_clock(node: &Node, stamp: Option<Stamp>) {
    let now_ms = wall_ms();
    if let Some(stamp) = stamp.filter(|stamp| stamp.wall_ms < now_ms + MAX_CLOCK_LEAD_MS) {
        node.state().timeline.clock().observe(stamp, now_ms);
    }
}

/// Removes headers that only entry processes may set.
pub fn strip_internal_headers(headers: &mut http::HeaderMap) {
    headers.remove(FORWARDED_HEADER);
    headers.remove(TEAM_HEADER);
    headers.remove(STAMP_HEADER);
}
