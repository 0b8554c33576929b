//! What a process does on a peer's message.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use masticfall_core::id::{Incarnation, InstanceName, TeamName};
use masticfall_core::instance::InstanceState;
use masticfall_wire::peer::{Heartbeat, PeerFrame, PeerMessage};

use crate::context::{Node, wall_ms};
use crate::state::State;
use crate::sync;

/// Time for which the platform is preferred as the source of a configuration, in milliseconds.
const PLATFORM_FETCH_MS: u64 = 400;

/// Handles one message.
pub fn receive(node: &Arc<Node>, frame: PeerFrame) {
    let behind = hear(node, &frame);
    let from = frame.from;
    if behind && !matches!(frame.message, PeerMessage::Config(_)) {
        fetch_config(node, &from);
    }
    match frame.message {
        PeerMessage::Announce => {}
        PeerMessage::Heartbeat(heartbeat) => on_heartbeat(node, &from, heartbeat),
        PeerMessage::Acknowledge { sequence } => {
            node.state().leases.acknowledged(&from, sequence);
        }
        PeerMessage::Config(row) => sync::adopt_config(node, row),
        PeerMessage::Withdrawn(keys) => sync::adopt_withdrawals(node, keys),
        PeerMessage::UnitsWanted { teams, targets } => give_way(node, &teams, &targets),
        PeerMessage::FetchConfig => send_config(node, &from),
    }
}

/// Notes that a peer was heard; returns whether it has a newer configuration.
fn hear(node: &Node, frame: &PeerFrame) -> bool {
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

/// Fetches a newer configuration: from the platform, or from the peer while that is away.
///
/// The platform is tried first, since a document sent between all peers costs
/// the square of their number. A peer that is heard again while this process is
/// still behind is asked itself.
fn fetch_config(node: &Arc<Node>, from: &Incarnation) {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let asked_ms = *state.behind_since_ms.get_or_insert(now_ms);
    let platform_slow = now_ms >= asked_ms + PLATFORM_FETCH_MS;
    if state.reaches_platform(now_ms) && !platform_slow {
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
    let here = node.data_centre();
    let Some(member) = state.members.get_mut(from) else {
        return;
    };
    member.withdrawn_digest = heartbeat.withdrawn_digest;
    member.drained_instances = heartbeat.quiet;
    member.demand = heartbeat.demand;
    member.reaches_platform = heartbeat.platform;
    member.list_digest = heartbeat.list_digest;
    let near = member.row.data_centre == *here && !member.reclaiming;
    if near {
        member.last_ack_sent_ms = Some(now_ms);
    }
    drop(state);
    if near {
        let sequence = heartbeat.sequence;
        node.links.send(node, from, &PeerMessage::Acknowledge { sequence });
    }
    if let Some(withdrawals) = withdrawals.filter(|keys| !keys.is_empty()) {
        node.links.send(node, from, &PeerMessage::Withdrawn(withdrawals));
    }
}

/// Gives idle units back, since another process lacks them.
fn give_way(node: &Arc<Node>, teams: &IndexSet<TeamName>, targets: &IndexSet<InstanceName>) {
    let mut state = node.state();
    for (_, account) in state.limit_grants.iter_mut().filter(|(team, _)| teams.contains(*team)) {
        account.note_contention();
    }
    for (_, account) in state.slot_grants.iter_mut().filter(|(target, _)| targets.contains(*target))
    {
        account.note_contention();
    }
    drop(state);
    node.units_wanted.notify_one();
}

fn send_config(node: &Arc<Node>, to: &Incarnation) {
    let (row, withdrawals) = {
        let state = node.state();
        (state.config_row.clone(), state.withdrawals.clone())
    };
    // In this order on one channel: whoever starts with the configuration knows them.
    if let Some(row) = row {
        node.links.send(node, to, &PeerMessage::Withdrawn(withdrawals));
        node.links.send(node, to, &PeerMessage::Config(row));
    }
}

/// Returns the leaving instances that this process has nothing in flight to.
///
/// Each comes with the version of the row by which it leaves, so that an old
/// report is not taken for one about a later time.
pub fn quiet_instances(state: &State) -> IndexMap<InstanceName, u64> {
    let leaving =
        state.instances.iter().filter(|(_, (_, row))| row.state == InstanceState::Leaving);
    let quiet = leaving.filter(|(name, _)| {
        let busy = state.services.values().any(|service| {
            service.targets.targets().get(*name).is_some_and(|target| target.in_flight > 0)
        });
        !busy
    });
    quiet.map(|(name, (version, _))| (name.clone(), *version)).collect()
}
