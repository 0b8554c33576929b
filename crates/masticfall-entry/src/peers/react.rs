//! Handles messages from peers.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use masticfall_core::id::{Incarnation, InstanceName, TeamName};
use masticfall_core::instance::InstanceState;
use masticfall_wire::peer::{Heartbeat, PeerFrame, PeerMessage};

use crate::context::{Node, wall_ms};
use crate::state::State;
use crate::sync;

/// Time for which a reachable platform is the preferred source of a configuration, in milliseconds.
const PLATFORM_FETCH_MS: u64 = 400;

/// Handles a message.
pub fn receive(node: &Arc<Node>, frame: PeerFrame) {
    let behind = record_contact(node, &frame);
    let from = frame.from;
    if behind && !matches!(frame.message, PeerMessage::Config(_)) {
        request_config(node, &from);
    }
    match frame.message {
        PeerMessage::Announce => {}
        PeerMessage::Heartbeat(heartbeat) => on_heartbeat(node, &from, heartbeat),
        PeerMessage::Acknowledge { sequence } => {
            node.state().leases.acknowledged(&from, sequence);
        }
        PeerMessage::Config(row) => sync::adopt_config(node, row),
        PeerMessage::Withdrawn(keys) => sync::adopt_withdrawals(node, keys),
        PeerMessage::UnitsWanted { teams, targets } => on_units_wanted(node, &teams, &targets),
        PeerMessage::FetchConfig => send_config(node, &from),
    }
}

/// Records contact with a peer, and returns whether its configuration is newer.
fn record_contact(node: &Node, frame: &PeerFrame) -> bool {
    let now_ms = node.now_ms();
    let mut state = node.state();
    state.last_peer_message_ms = Some(now_ms);
    state.timeline.clock().observe(frame.stamp, wall_ms());
    if let Some(member) = state.members.get_mut(&frame.from) {
        member.last_heard_ms = Some(now_ms);
        member.revision = member.revision.max(frame.revision);
    } else {
        node.members_wanted.notify_one();
    }
    frame.revision > state.revision()
}

/// Requests a newer configuration, from the platform if it is reachable, else from the peer.
///
/// The platform comes first, since sending the document between all peers costs
/// the square of their number. If this process is still behind after
/// [`PLATFORM_FETCH_MS`], it asks the peer that it hears from next.
fn request_config(node: &Arc<Node>, from: &Incarnation) {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let since_ms = *state.behind_since_ms.get_or_insert(now_ms);
    let is_overdue = now_ms >= since_ms + PLATFORM_FETCH_MS;
    if state.reaches_platform(now_ms) && !is_overdue {
        drop(state);
        node.config_wanted.notify_one();
        return;
    }
    drop(state);
    node.links.send(node, from, &PeerMessage::FetchConfig);
}

fn on_heartbeat(node: &Arc<Node>, from: &Incarnation, heartbeat: Heartbeat) {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let differs = heartbeat.withdrawn_digest != state.withdrawn_digest();
    let withdrawals = differs.then(|| state.withdrawals.clone());
    let data_centre = node.data_centre();
    let Some(member) = state.members.get_mut(from) else {
        return;
    };
    member.withdrawn_digest = heartbeat.withdrawn_digest;
    member.drained_instances = heartbeat.quiet;
    member.demand = heartbeat.demand;
    member.reaches_platform = heartbeat.platform;
    member.list_digest = heartbeat.list_digest;
    let is_acknowledged = member.row.data_centre == *data_centre && !member.reclaiming;
    if is_acknowledged {
        member.last_ack_sent_ms = Some(now_ms);
    }
    drop(state);
    if is_acknowledged {
        let sequence = heartbeat.sequence;
        node.links.send(node, from, &PeerMessage::Acknowledge { sequence });
    }
    if let Some(withdrawals) = withdrawals.filter(|keys| !keys.is_empty()) {
        node.links.send(node, from, &PeerMessage::Withdrawn(withdrawals));
    }
}

/// Makes local grants release idle units, since another process lacks them.
fn on_units_wanted(node: &Arc<Node>, teams: &IndexSet<TeamName>, targets: &IndexSet<InstanceName>) {
    let mut state = node.state();
    for (_, local_grant) in state.limit_grants.iter_mut().filter(|(team, _)| teams.contains(*team))
    {
        local_grant.note_contention();
    }
    for (_, local_grant) in
        state.slot_grants.iter_mut().filter(|(target, _)| targets.contains(*target))
    {
        local_grant.note_contention();
    }
    drop(state);
    node.units_wanted.notify_one();
}

fn send_config(node: &Arc<Node>, to: &Incarnation) {
    let (row, withdrawals) = {
        let state = node.state();
        (state.config_row.clone(), state.withdrawals.clone())
    };
    // The channel keeps this order: a new process knows the withdrawals before it accepts keys.
    if let Some(row) = row {
        node.links.send(node, to, &PeerMessage::Withdrawn(withdrawals));
        node.links.send(node, to, &PeerMessage::Config(row));
    }
}

/// Returns the leaving instances to which this process has no request in flight.
///
/// Each comes with the version of its row, so that a report about an earlier
/// departure is not taken for one about a later departure.
pub fn idle_instances(state: &State) -> IndexMap<InstanceName, u64> {
    let leaving =
        state.instances.iter().filter(|(_, (_, row))| row.state == InstanceState::Leaving);
    let idle = leaving.filter(|(name, _)| {
        let busy = state.services.values().any(|service| {
            service.targets.targets().get(*name).is_some_and(|target| target.in_flight > 0)
        });
        !busy
    });
    idle.map(|(name, (version, _))| (name.clone(), *version)).collect()
}
