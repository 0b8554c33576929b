//! Slots of targets: how requests acquire, wait for and release them.

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

/// Weight of the newest sample in the exponential moving average of slot hold times.
const HOLD_SAMPLE_WEIGHT: f64 = 0.05;

/// A request for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest<'a> {
    /// Service whose targets may be used.
    pub service: &'a ServiceName,
    /// Team, or a placeholder for requests without one.
    pub team: &'a TeamName,
    /// Weight of the team.
    pub weight: f64,
    /// Deadline on the process's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Target of the failed previous attempt, not to be used again.
    pub avoid: Option<&'a InstanceName>,
}

/// Rebuilds the target tables from instances, the platform's list and grants.
pub fn refresh(state: &mut State, now_ms: u64) {
    let mode = state.usable_units(now_ms);
    state.slots_usable = mode;
    let Some(config) = state.config.clone() else {
        return;
    };
    let mut usable_slots: Vec<(ServiceName, InstanceName, u32)> = Vec::new();
    for (name, (_, row)) in &state.instances {
        let is_live = state
            .listed_instances
            .get(name)
            .is_some_and(|listed| listed.state == ListedState::Live);
        let Some(service) = config.service_of(&row.pool) else {
            continue;
        };
        if row.facts.kind != InstanceKind::Target || !row.takes_work() || !is_live {
            continue;
        }
        let units =
            state.slot_grants.get(name).map(|local_grant| local_grant.units).unwrap_or_default();
        let usable = match mode {
            UsableUnits::All => units.total(),
            UsableUnits::Base => units.base,
            UsableUnits::None => 0,
        };
        usable_slots.push((service.clone(), name.clone(), usable));
    }
    for (service_name, service) in &mut state.services {
        let of_service = || usable_slots.iter().filter(|(owner, _, _)| owner == service_name);
        service.targets.retain_listed(|name| of_service().any(|(_, listed, _)| listed == name));
        for (_, name, slots) in of_service() {
            let target = service.targets.entry(name);
            target.slots = *slots;
            target.leaving = false;
        }
    }
}

/// Rebuilds the target tables if the usable units changed since the last rebuild.
fn refresh_if_stale(state: &mut State, now_ms: u64) {
    if state.usable_units(now_ms) != state.slots_usable {
        refresh(state, now_ms);
    }
}

/// Acquires a slot, waiting for one until the deadline.
///
/// # Errors
/// [`ErrorKind::NoTarget`] when no target of the service takes work,
/// [`ErrorKind::Overloaded`] when the queue is full or the predicted wait is too
/// long for the deadline, and [`ErrorKind::DeadlineNotRun`] when the deadline
/// passes in the queue.
pub async fn acquire(node: &Arc<Node>, request: &SlotRequest<'_>) -> Result<SlotGuard> {
    let (ticket, receiver) = match try_acquire(node, request)? {
        Acquisition::Slot(target) => return Ok(slot_guard(node, request, target)),
        Acquisition::Queued(ticket, receiver) => (ticket, receiver),
    };
    let mut entry = QueueEntry { node, request, ticket, receiver, is_served: false };
    let remaining_ms = request.deadline_ms.saturating_sub(node.now_ms());
    let result =
        tokio::time::timeout(Duration::from_millis(remaining_ms), &mut entry.receiver).await;
    if let Ok(Ok(target)) = result {
        entry.is_served = true;
        return Ok(slot_guard(node, request, target));
    }
    Err(Refusal::new(
        ErrorKind::DeadlineNotRun,
        "deadline passed while the request waited for a slot",
    ))
}

fn slot_guard(node: &Arc<Node>, request: &SlotRequest<'_>, target: InstanceName) -> SlotGuard {
    SlotGuard::new(node, request.service.clone(), target)
}

enum Acquisition {
    Slot(InstanceName),
    Queued(u64, oneshot::Receiver<InstanceName>),
}

fn try_acquire(node: &Arc<Node>, request: &SlotRequest<'_>) -> Result<Acquisition> {
    let now_ms = node.now_ms();
    let mut locked = node.state();
    let state = &mut *locked;
    refresh_if_stale(state, now_ms);
    let ticket = state.next_ticket;
    state.next_ticket += 1;
    let Some(service) = state.services.get_mut(request.service) else {
        return Err(Refusal::new(ErrorKind::NoTarget, "service has no targets"));
    };
    if service.queue.is_empty()
        && let Some(target) = service.targets.acquire(now_ms, request.avoid, random_below)
    {
        service.queue.charge(request.team, request.weight);
        return Ok(Acquisition::Slot(target));
    }
    if service.targets.targets().values().all(|target| target.leaving) {
        return Err(Refusal::new(ErrorKind::NoTarget, "no target of this service accepts work"));
    }
    let receiver = enqueue(service, request, ticket, now_ms)?;
    drop(locked);
    node.units_wanted.notify_one();
    Ok(Acquisition::Queued(ticket, receiver))
}

fn enqueue(
    service: &mut ServiceState,
    request: &SlotRequest<'_>,
    ticket: u64,
    now_ms: u64,
) -> Result<oneshot::Receiver<InstanceName>> {
    let (waiting, slots) = (service.queue.len(), service.targets.slots());
    let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
    if !can_meet_deadline(waiting, slots, service.mean_hold_ms, remaining_ms) {
        return Err(Refusal::new(
            ErrorKind::Overloaded,
            "predicted wait is too long for the deadline",
        ));
    }
    let queued = QueuedRequest { ticket, deadline_ms: request.deadline_ms };
    if !service.queue.push(request.team, request.weight, queued) {
        return Err(Refusal::new(ErrorKind::Overloaded, "queue is full"));
    }
    let (sender, receiver) = oneshot::channel();
    service.waiters.insert(ticket, sender);
    Ok(receiver)
}

fn random_below(bound: usize) -> usize {
    rand::rng().random_range(0..bound)
}

/// An entry in the queue. Dropping it removes the request from the queue and
/// releases a slot that was assigned too late.
struct QueueEntry<'a> {
    node: &'a Arc<Node>,
    request: &'a SlotRequest<'a>,
    ticket: u64,
    receiver: oneshot::Receiver<InstanceName>,
    /// Whether the request received its slot, so that dropping the entry has no effect.
    is_served: bool,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        if self.is_served {
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

/// Rebuilds the target tables and assigns free slots to waiting requests.
pub fn refresh_and_serve(state: &mut State, now_ms: u64) {
    refresh(state, now_ms);
    let services: Vec<ServiceName> = state.services.keys().cloned().collect();
    for service in services {
        serve_waiting(state, &service, now_ms);
    }
}

/// Releases a slot and assigns free slots to waiting requests.
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

/// Assigns free slots of a service to waiting requests.
pub fn serve_waiting(state: &mut State, service: &ServiceName, now_ms: u64) {
    refresh_if_stale(state, now_ms);
    let Some(service) = state.services.get_mut(service) else {
        return;
    };
    let mut expired = Vec::new();
    while !service.queue.is_empty() && service.targets.free_slots() > 0 {
        let Some(ticket) = service.queue.pop(now_ms, &mut expired) else {
            break;
        };
        let Some(sender) = service.waiters.swap_remove(&ticket) else {
            continue;
        };
        let Some(target) = service.targets.acquire(now_ms, None, random_below) else {
            break;
        };
        match sender.send(target) {
            Ok(()) => {}
            Err(target) => service.targets.release(&target, Outcome::Neutral, now_ms),
        }
    }
    for ticket in expired {
        service.waiters.swap_remove(&ticket);
    }
}
