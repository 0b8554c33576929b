//! Slots of targets: who may be sent a request, and who waits.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::error::ErrorKind;
use masticfall_core::id::{InstanceName, ServiceName, TeamName};
use masticfall_core::instance::InstanceKind;
use masticfall_core::routing::Outcome;
use masticfall_core::share::{QueuedRequest, can_meet_deadline};
use masticfall_platform::ListedState;
use rand::Rng;
use tokio::sync::oneshot;

use crate::context::Node;
use crate::guards::SlotGuard;
use crate::refusal::{Refusal, Result};
use crate::state::{ServiceState, State, UsableUnits};

/// Weight of the newest sample in the mean time that a request holds a slot.
const HOLD_SAMPLE_WEIGHT: f64 = 0.05;

/// A request that wants a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest<'a> {
    /// Service that answers.
    pub service: &'a ServiceName,
    /// Team, or the placeholder of requests without one.
    pub team: &'a TeamName,
    /// Weight of the team.
    pub weight: f64,
    /// When the caller gives up, on the process's clock in milliseconds.
    pub deadline_ms: u64,
    /// Target that failed the request before.
    pub avoid: Option<&'a InstanceName>,
}

/// Rebuilds the target tables from instances, listing and grants.
pub fn refresh(state: &mut State, now_ms: u64) {
    let mode = state.usable_units(now_ms);
    state.slots_usable = mode;
    let Some(config) = state.config.clone() else {
        return;
    };
    let mut by_service: Vec<(ServiceName, InstanceName, u32)> = Vec::new();
    for (name, (_, row)) in &state.instances {
        let live = state
            .listed_instances
            .get(name)
            .is_some_and(|listed| listed.state == ListedState::Live);
        let Some(service) = config.service_of(&row.pool) else {
            continue;
        };
        if row.facts.kind != InstanceKind::Target || !row.takes_work() || !live {
            continue;
        }
        let units = state.slot_grants.get(name).map(|account| account.units).unwrap_or_default();
        let usable = match mode {
            UsableUnits::All => units.total(),
            UsableUnits::Base => units.base,
            UsableUnits::None => 0,
        };
        by_service.push((service.clone(), name.clone(), usable));
    }
    for (service, targets) in &mut state.services {
        let mine = || by_service.iter().filter(|(of, _, _)| of == service);
        targets.targets.retain_listed(|name| mine().any(|(_, listed, _)| listed == name));
        for (_, name, slots) in mine() {
            let target = targets.targets.entry(name);
            target.slots = *slots;
            target.leaving = false;
        }
    }
}

/// Rebuilds the target tables when the guard changed since the last time.
fn refresh_if_stale(state: &mut State, now_ms: u64) {
    if state.usable_units(now_ms) != state.slots_usable {
        refresh(state, now_ms);
    }
}

/// Takes a slot, waiting for one up to the deadline.
///
/// # Errors
/// [`ErrorKind::NoTarget`] when the service has no target, [`ErrorKind::Overloaded`]
/// when the queue is full or the predicted wait passes the deadline, and
/// [`ErrorKind::DeadlineNotRun`] when the deadline passed in the queue.
pub async fn take(node: &Arc<Node>, request: &SlotRequest<'_>) -> Result<SlotGuard> {
    let (ticket, receiver) = match try_take(node, request)? {
        Taken::Slot(target) => return Ok(guard(node, request, target)),
        Taken::Queued(ticket, receiver) => (ticket, receiver),
    };
    let mut place = QueuePlace { node, request, ticket, receiver, left: false };
    let left_ms = request.deadline_ms.saturating_sub(node.now_ms());
    let waited = tokio::time::timeout(Duration::from_millis(left_ms), &mut place.receiver).await;
    if let Ok(Ok(target)) = waited {
        place.left = true;
        return Ok(guard(node, request, target));
    }
    Err(Refusal::new(ErrorKind::DeadlineNotRun, "deadline passed while the request waited"))
}

fn guard(node: &Arc<Node>, request: &SlotRequest<'_>, target: InstanceName) -> SlotGuard {
    SlotGuard::new(node, request.service.clone(), target)
}

enum Taken {
    Slot(InstanceName),
    Queued(u64, oneshot::Receiver<InstanceName>),
}

fn try_take(node: &Arc<Node>, request: &SlotRequest<'_>) -> Result<Taken> {
    let now_ms = node.now_ms();
    let mut locked = node.state();
    let state = &mut *locked;
    refresh_if_stale(state, now_ms);
    let ticket = state.next_ticket;
    state.next_ticket += 1;
    let Some(service) = state.services.get_mut(request.service) else {
        return Err(Refusal::new(ErrorKind::NoTarget, "no target runs this service"));
    };
    if service.queue.is_empty()
        && let Some(target) = service.targets.acquire(now_ms, request.avoid, draw)
    {
        service.queue.charge(request.team, request.weight);
        return Ok(Taken::Slot(target));
    }
    if service.targets.targets().values().all(|target| target.leaving) {
        return Err(Refusal::new(ErrorKind::NoTarget, "no target of this service takes work"));
    }
    let receiver = enqueue(service, request, ticket, now_ms)?;
    drop(locked);
    node.units_wanted.notify_one();
    Ok(Taken::Queued(ticket, receiver))
}

fn enqueue(
    service: &mut ServiceState,
    request: &SlotRequest<'_>,
    ticket: u64,
    now_ms: u64,
) -> Result<oneshot::Receiver<InstanceName>> {
    let (waiting, slots) = (service.queue.len(), service.targets.slots());
    let left_ms = request.deadline_ms.saturating_sub(now_ms);
    if !can_meet_deadline(waiting, slots, service.mean_hold_ms, left_ms) {
        return Err(Refusal::new(ErrorKind::Overloaded, "predicted wait passes the deadline"));
    }
    let waiting = QueuedRequest { ticket, deadline_ms: request.deadline_ms };
    if !service.queue.push(request.team, request.weight, waiting) {
        return Err(Refusal::new(ErrorKind::Overloaded, "queue is full"));
    }
    let (sender, receiver) = oneshot::channel();
    service.waiters.insert(ticket, sender);
    Ok(receiver)
}

fn draw(below: usize) -> usize {
    rand::rng().random_range(0..below)
}

/// A place in the queue; leaves it when dropped, with a slot that came too late.
struct QueuePlace<'a> {
    node: &'a Arc<Node>,
    request: &'a SlotRequest<'a>,
    ticket: u64,
    receiver: oneshot::Receiver<InstanceName>,
    /// Whether the request was served, and so is in the queue no more.
    left: bool,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if self.left {
            return;
        }
        let now_ms = self.node.now_ms();
        let mut state = self.node.state();
        let Some(service) = state.services.get_mut(self.request.service) else {
            return;
        };
        service.queue.remove(self.request.team, self.ticket);
        service.waiters.swap_remove(&self.ticket);
        if let Ok(target) = self.receiver.try_recv() {
            service.targets.release(&target, Outcome::Neutral, now_ms);
            serve_waiting(&mut state, self.request.service, now_ms);
        }
    }
}

/// Rebuilds the target tables, and hands what is free to requests that wait.
pub fn refresh_and_serve(state: &mut State, now_ms: u64) {
    refresh(state, now_ms);
    let services: Vec<ServiceName> = state.services.keys().cloned().collect();
    for service in services {
        serve_waiting(state, &service, now_ms);
    }
}

/// Gives a slot back, and hands free slots to requests that wait.
pub fn release(
    node: &Arc<Node>,
    service: &ServiceName,
    target: &InstanceName,
    outcome: Outcome,
    held_ms: f64,
) {
    let now_ms = node.now_ms();
    let mut locked = node.state();
    let state = &mut *locked;
    if let Some(service) = state.services.get_mut(service) {
        service.targets.release(target, outcome, now_ms);
        service.mean_hold_ms += (held_ms - service.mean_hold_ms) * HOLD_SAMPLE_WEIGHT;
    }
    serve_waiting(state, service, now_ms);
}

/// Hands free slots of a service to requests that wait.
pub fn serve_waiting(state: &mut State, service: &ServiceName, now_ms: u64) {
    refresh_if_stale(state, now_ms);
    let Some(service) = state.services.get_mut(service) else {
        return;
    };
    let mut dead = Vec::new();
    while !service.queue.is_empty() && service.targets.free_slots() > 0 {
        let Some(ticket) = service.queue.pop(now_ms, &mut dead) else {
            break;
        };
        let Some(sender) = service.waiters.swap_remove(&ticket) else {
            continue;
        };
        let Some(target) = service.targets.acquire(now_ms, None, draw) else {
            break;
        };
        match sender.send(target) {
            Ok(()) => {}
            Err(target) => service.targets.release(&target, Outcome::Neutral, now_ms),
        }
    }
    for ticket in dead {
        service.waiters.swap_remove(&ticket);
    }
}
