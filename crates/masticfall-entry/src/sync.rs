//! Reads configuration, withdrawals and instances from the platform.
//!
//! Small head rows show what changed, so an unchanged fleet costs each process
//! one read of a few rows per interval.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::config::read_fleet;
use masticfall_core::id::{InstanceName, Revision};
use masticfall_core::instance::InstanceRow;
use masticfall_core::timeline::EventKind;
use masticfall_platform::{Commit, ListedInstance, Result, Row, Transaction};
use masticfall_wire::peer::PeerMessage;
use masticfall_wire::rows::{
    CONFIG_HEAD_KEY, ConfigRow, WITHDRAWN_KEY, WithdrawnRow, config_key, instances_head_key,
    instances_prefix,
};

use crate::context::{Node, wall_ms};
use crate::slots;
use crate::state::{Member, Phase, digest_of};

/// Interval between reads of the head rows, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 500;

/// Interval at which a data centre's reader reads the list of instances, in milliseconds.
const LIST_INTERVAL_MS: u64 = 2_000;

/// Time without messages after which a process no longer counts as the reader, in milliseconds.
const READER_TIMEOUT_MS: u64 = 1_500;

/// Reads changes until the process has left the fleet.
pub async fn run(node: Arc<Node>) {
    let mut heads = HeadVersions::default();
    loop {
        let sent_ms = node.now_ms();
        let result = sync_changes(&node, &mut heads).await;
        node.record_platform_result(sent_ms, &result);
        wait(&node).await;
        if node.state().phase == Phase::Left {
            return;
        }
    }
}

/// Waits for the next interval, or until a peer announces a newer configuration.
async fn wait(node: &Arc<Node>) {
    let wanted = node.config_wanted.notified();
    drop(tokio::time::timeout(Duration::from_millis(SYNC_INTERVAL_MS), wanted).await);
}

/// Versions of the head rows at the last read.
#[derive(Debug, Default)]
struct HeadVersions {
    instances: Option<u64>,
    withdrawn: Option<u64>,
}

async fn sync_changes(node: &Arc<Node>, heads: &mut HeadVersions) -> Result<()> {
    let instances_head = instances_head_key(node.data_centre());
    let keys = vec![CONFIG_HEAD_KEY.to_string(), WITHDRAWN_KEY.to_string(), instances_head];
    let rows = (node.platform.tables.read)(keys).await?;
    let [config, withdrawn, instances] = rows.as_slice() else {
        return Ok(());
    };
    // Withdrawals come first, because a starting process must not serve without them.
    sync_withdrawn(node, heads, withdrawn.as_ref()).await?;
    sync_config(node, config.as_ref()).await?;
    let version = instances.as_ref().map(|row| row.version);
    let changed = version != heads.instances;
    if changed {
        sync_instances(node).await?;
        heads.instances = version;
    }
    let list_due = list_is_due(node);
    if list_due {
        sync_instance_list(node).await?;
    }
    if changed || list_due {
        refresh_targets(node);
    }
    Ok(())
}

async fn sync_config(node: &Arc<Node>, head: Option<&Row>) -> Result<()> {
    let Some(head) = head else { return Ok(()) };
    let revision: Revision = head.decode()?;
    if revision <= node.state().revision() {
        return Ok(());
    }
    let key = config_key(revision);
    if let Some((_, row)) = node.platform.tables.get_as::<ConfigRow>(&key).await? {
        adopt_config(node, row);
    }
    Ok(())
}

/// Activates a configuration if it is newer, and announces it to the peers.
pub fn adopt_config(node: &Arc<Node>, row: ConfigRow) {
    if row.revision <= node.state().revision() {
        return;
    }
    let config = match read_fleet(&row.text) {
        Ok(config) => config,
        Err(errors) => {
            let count = errors.len();
            tracing::error!(name: "config.unreadable", revision = %row.revision, faults = count, "accepted configuration cannot be parsed; ignoring it");
            return;
        }
    };
    let revision = row.revision;
    let mut state = node.state();
    if !state.activate_config(node.data_centre(), row, config) {
        return;
    }
    if !state.is_configured {
        let here = node.data_centre();
        tracing::error!(name: "config.data_centre.unknown", data_centre = %here, revision = %revision, "the configuration does not name this process's data centre");
    }
    slots::refresh(&mut state, node.now_ms());
    let text = revision.to_string();
    state.timeline.record(wall_ms(), EventKind::RevisionInForce, &[("revision", &text)]);
    drop(state);
    node.metrics.revision.set(revision.0 as i64);
    node.units_wanted.notify_one();
    node.links.broadcast(node, &PeerMessage::Announce);
    tracing::info!(name: "config.in_force", revision = %revision, "configuration in force");
}

async fn sync_withdrawn(
    node: &Arc<Node>,
    heads: &mut HeadVersions,
    row: Option<&Row>,
) -> Result<()> {
    let version = row.map(|row| row.version);
    if version != heads.withdrawn {
        if let Some(row) = row {
            let withdrawn: WithdrawnRow = row.decode()?;
            adopt_withdrawals(node, withdrawn.keys);
        }
        heads.withdrawn = version;
    }
    publish_withdrawals(node, row).await
}

/// Adds withdrawals from any source and sends new ones to the peers.
pub fn adopt_withdrawals(
    node: &Arc<Node>,
    keys: IndexMap<masticfall_core::id::KeyId, masticfall_wire::rows::Withdrawal>,
) {
    let mut added = IndexMap::new();
    let mut state = node.state();
    for (key, withdrawal) in keys {
        if state.withdraw(key.clone(), withdrawal.clone()) {
            let labels = [("key", key.as_str())];
            state.timeline.record(wall_ms(), EventKind::KeyWithdrawn, &labels);
            added.insert(key, withdrawal);
        }
    }
    drop(state);
    if !added.is_empty() {
        node.links.broadcast(node, &PeerMessage::Withdrawn(added));
    }
}

/// Writes withdrawals that are missing from the platform's row.
async fn publish_withdrawals(node: &Arc<Node>, row: Option<&Row>) -> Result<()> {
    let mut known = match row {
        Some(row) => row.decode()?,
        None => WithdrawnRow::default(),
    };
    let before = known.keys.len();
    for (key, withdrawal) in &node.state().withdrawals {
        known.keys.entry(key.clone()).or_insert_with(|| withdrawal.clone());
    }
    if known.keys.len() == before {
        return Ok(());
    }
    let transaction = Transaction::new().replace(WITHDRAWN_KEY, row, &known)?;
    // After a conflict, the next interval reads the row and retries.
    let _: Commit = (node.platform.tables.transact)(transaction).await?;
    Ok(())
}

async fn sync_instances(node: &Arc<Node>) -> Result<()> {
    let prefix = instances_prefix(node.data_centre());
    let rows = (node.platform.tables.scan)(prefix.clone()).await?;
    let mut instances: IndexMap<InstanceName, (u64, InstanceRow)> = IndexMap::new();
    for row in rows {
        let name = InstanceName::from(row.key[prefix.len()..].to_string());
        instances.insert(name, (row.version, row.decode()?));
    }
    let mut state = node.state();
    for (name, (version, row)) in instances {
        adopt_instance(&mut state, name, version, row);
    }
    // Under the same lock, so that no heartbeat reports a still routed instance as drained.
    slots::refresh(&mut state, node.now_ms());
    Ok(())
}

/// Adopts an instance's row if it is newer than the known one.
pub fn adopt_instance(
    state: &mut crate::state::State,
    name: InstanceName,
    version: u64,
    row: InstanceRow,
) {
    let known = state.instances.get(&name);
    if known.is_some_and(|(known_version, _)| *known_version >= version) {
        return;
    }
    let text = format!("{} in {}", row.state, row.pool);
    let labels = [("instance", name.as_str()), ("state", &text)];
    state.timeline.record(wall_ms(), EventKind::InstanceChanged, &labels);
    state.instances.insert(name, (version, row));
}

/// Returns whether this process has to read the list of instances now.
///
/// One process of the data centre, the reader, reads it periodically: the first
/// by name of those that send heartbeats and reach the platform. Its heartbeats
/// carry a digest, and the others read the list only when their digest differs.
fn list_is_due(node: &Arc<Node>) -> bool {
    let now_ms = node.now_ms();
    let state = node.state();
    let Some(read_ms) = state.list_read_ms else { return true };
    let is_candidate = |member: &Member| {
        member.last_heard_ms.is_some_and(|at| now_ms < at + READER_TIMEOUT_MS)
            && member.reaches_platform
    };
    let here = node.data_centre();
    let candidates = state.members.iter().filter(|(incarnation, member)| {
        member.row.data_centre == *here && **incarnation < node.incarnation && is_candidate(member)
    });
    match candidates.min_by(|a, b| a.0.cmp(b.0)) {
        Some((_, reader)) => reader.list_digest != state.list_digest,
        None => now_ms >= read_ms + LIST_INTERVAL_MS,
    }
}

async fn sync_instance_list(node: &Arc<Node>) -> Result<()> {
    let sent_ms = node.now_ms();
    let list = (node.platform.instances.list)(node.data_centre().clone()).await?;
    let digest = masticfall_wire::encode(&list).map_or(0, |bytes| digest_of(&bytes));
    let listed = list.into_iter().map(|entry: ListedInstance| (entry.name.clone(), entry));
    let mut state = node.state();
    state.listed_instances = listed.collect();
    state.list_digest = digest;
    state.list_read_ms = Some(sent_ms);
    Ok(())
}

fn refresh_targets(node: &Arc<Node>) {
    let now_ms = node.now_ms();
    slots::refresh_and_serve(&mut node.state(), now_ms);
    node.units_wanted.notify_one();
}
