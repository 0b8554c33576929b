//! Maintenance waves and moves between pools, carried out by the cell's owner.
//!
//! Some platforms don't fence calls about instances, so their safety depends on
//! time: every round of calls is preceded by a write that proves the ownership and
//! lists the instances, and a new owner does not call instances that the previous
//! one may have called until a lease has elapsed.

mod calls;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::fleet::machines::{
    MachineView, TakeDownCall, TakeDownOutcome, Wave, WaveProgress,
};
use masticfall_core::fleet::pools::{MoveBlocker, MoveCall, MoveOutcome, PoolPlanner, PoolView};
use masticfall_core::fleet::spec::Resources;
use masticfall_core::id::{InstanceName, Name, PoolName, WaveName};
use masticfall_platform::Result;
use masticfall_platform::fleet::{Machine, MachineCall, MachineOutcome, SendCheck};
use masticfall_platform::traffic::TrafficCount;
use tokio::time::sleep;

use super::context::{Fleet, Ownership};
use super::rows::{LEAD_TABLE, cell_row_key, decode_row, encode_row};
use super::settings::BYTES_PER_MS_PER_MBPS;
use super::{follow, leadership};
use calls::InstanceCalls;

/// Pause between two planning rounds, in milliseconds: short compared with the
/// 1.5 s that a move takes and with the time in which a queue reaches its peak.
const ROUND_PAUSE_MS: u64 = 100;

/// Interval of the log lines about pools and waves, in milliseconds: short compared
/// with changes of demand, long enough to limit the log volume.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Planned downtime of an instance in maintenance, in milliseconds. The platform
/// states two seconds; the instance list shows when the instance is back.
const PLANNED_DOWNTIME_MS: u64 = 2_000;

/// Size of an instance in the list, in bytes.
const LISTED_MACHINE_BYTES: f64 = 160.0;

/// Maximum share of the link for reading the list of instances. At 1,100 instances and
/// 200 Mbit/s the list is then read every 0.2 s.
const MAX_LIST_LINK_SHARE: f64 = 0.035;

/// Maximum interval between two reads of the list of instances, in milliseconds.
const MAX_LIST_INTERVAL_MS: u64 = 600;

/// Interval at which waves advance while the store is slow, in milliseconds. Each of their
/// rounds takes two transactions, for which moves that follow the demand would wait; the
/// deadline of a wave is tens of seconds away.
const SLOW_STORE_WAVE_INTERVAL_MS: u64 = 2_000;

/// Waves of maintenance.
#[derive(Debug, Default)]
struct Waves {
    active: IndexMap<WaveName, Wave>,
    finished: Vec<WaveName>,
    advanced_ms: u64,
}

/// The list of instances as last read.
#[derive(Debug, Default)]
struct ListedMachines {
    machines: IndexMap<InstanceName, MachineView>,
    read_ms: u64,
    next_read_ms: u64,
}

impl ListedMachines {
    /// Returns the list, which is read again unless it was read recently, after `changed_ms`: it
    /// is read whole each time, which takes too much of the link and of the processor on a large
    /// fleet.
    async fn refresh(
        &mut self,
        fleet: &Fleet,
        changed_ms: u64,
    ) -> Result<&IndexMap<InstanceName, MachineView>> {
        let now_ms = fleet.now_ms();
        if now_ms >= self.next_read_ms || self.read_ms <= changed_ms {
            self.machines = machine_views((fleet.platform.machines)(()).await?);
            self.read_ms = now_ms;
            let link_bytes_per_ms = fleet.settings.link_mbps * BYTES_PER_MS_PER_MBPS;
            let list_bytes = self.machines.len() as f64 * LISTED_MACHINE_BYTES;
            let interval_ms = list_bytes / (link_bytes_per_ms * MAX_LIST_LINK_SHARE);
            self.next_read_ms = now_ms + (interval_ms as u64).min(MAX_LIST_INTERVAL_MS);
        }
        Ok(&self.machines)
    }
}

/// Returns the key of a wave's row.
fn wave_key(name: &WaveName) -> String {
    format!("wave/{name}")
}

/// Carries out waves and moves until the cell is lost.
pub async fn run(fleet: Arc<Fleet>, ownership: Ownership) {
    let Some(mut calls) = InstanceCalls::load(&fleet, ownership).await else { return };
    let mut waves = Waves::default();
    let mut planner = PoolPlanner::new(fleet.settings.machine_calls_per_s);
    let mut logged_ms = 0;
    let mut listed = ListedMachines::default();
    let mut traffic = IndexMap::new();
    while fleet.is_owner(ownership.epoch) {
        let changed_ms = waves.active.values().map(Wave::last_outcome_ms).max().unwrap_or_default();
        let result = match listed.refresh(&fleet, changed_ms).await {
            Ok(machines) => {
                run_round(&fleet, ownership, &mut waves, &mut planner, &mut calls, machines).await
            }
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            tracing::warn!(name: "wave.round_failed", %error, "maintenance and pool round failed; retrying");
            // No instance can be moved: accept jobs only for the pools' current capacity.
            fleet.update_board(ownership.epoch, |board| {
                board.set_attainable_millis(IndexMap::new());
            });
        }
        let now_ms = fleet.now_ms();
        if now_ms >= logged_ms + LOG_INTERVAL_MS {
            logged_ms = now_ms;
            log_pools(ownership.epoch, &planner);
            traffic = log_traffic(&fleet, ownership.epoch, &traffic);
            log_waves(ownership.epoch, &waves.active);
            let metrics = &fleet.metrics.evacuation;
            fleet.with_board(ownership.epoch, |board| metrics.set_runs(Some(board)));
        }
        sleep(Duration::from_millis(ROUND_PAUSE_MS)).await;
    }
    fleet.metrics.evacuation.set_runs(None);
}

/// Logs the last round's view of each pool that has any demand.
fn log_pools(epoch: u32, planner: &PoolPlanner) {
    for (pool, seen) in planner.pool_views() {
        let PoolView { demand, wanted_millis, held_millis, empty_instances } = *seen;
        let millis = |needs: Resources| needs.dominant_millis(&demand.worker_size);
        let (placed_millis, long_running_millis) =
            (millis(demand.placed), millis(demand.long_running));
        let (waiting_millis, offered_millis) = (millis(demand.waiting), millis(demand.offered));
        let workers = demand.min_workers;
        if placed_millis.max(waiting_millis).max(offered_millis) > 0 {
            tracing::info!(name: "pool.demand", epoch, %pool, wanted_millis, held_millis, empty_instances, placed_millis, lasting_millis = long_running_millis, waiting_millis, offered_millis, workers, "pool demand and capacity");
        }
    }
}

/// Logs the owner's traffic since the last call, by kind of call; returns the new counts.
fn log_traffic(
    fleet: &Fleet,
    epoch: u32,
    earlier: &IndexMap<&'static str, TrafficCount>,
) -> IndexMap<&'static str, TrafficCount> {
    let counts = fleet.platform.traffic.counts().map(|(kind, count)| (kind.into(), count));
    let counts: IndexMap<&'static str, TrafficCount> = counts.collect();
    for (call, count) in &counts {
        let before = earlier.get(call).copied().unwrap_or_default();
        let TrafficCount { calls, sent_bytes, received_bytes } = count.since(&before);
        if calls > 0 {
            tracing::info!(name: "owner.traffic", epoch, call, calls, sent_bytes, received_bytes, "traffic of the owner");
        }
    }
    counts
}

/// Logs the progress of each wave.
fn log_waves(epoch: u32, waves: &IndexMap<WaveName, Wave>) {
    for (name, wave) in waves {
        let (begun, draining, down) = wave.progress_counts();
        let (instances, max_at_once) = (wave.instances.len(), wave.max_at_once);
        tracing::info!(name: "wave.progress", epoch, wave = %name, instances, begun, emptying = draining, down, most = max_at_once, "wave progress");
    }
}

async fn run_round(
    fleet: &Arc<Fleet>,
    ownership: Ownership,
    waves: &mut Waves,
    planner: &mut PoolPlanner,
    calls: &mut InstanceCalls,
    machines: &IndexMap<InstanceName, MachineView>,
) -> Result<()> {
    let now_ms = fleet.now_ms();
    if !fleet.is_store_slow() || now_ms >= waves.advanced_ms + SLOW_STORE_WAVE_INTERVAL_MS {
        waves.advanced_ms = now_ms;
        advance_waves(fleet, ownership, waves, machines, calls).await?;
    }
    move_instances(fleet, ownership, &waves.active, planner, machines, calls).await
}

async fn advance_waves(
    fleet: &Arc<Fleet>,
    ownership: Ownership,
    waves: &mut Waves,
    machines: &IndexMap<InstanceName, MachineView>,
    calls: &mut InstanceCalls,
) -> Result<()> {
    let Waves { active, finished, .. } = waves;
    load_new_waves(fleet, active, finished).await?;
    for wave in active.values_mut() {
        advance_wave(fleet, ownership, wave, machines, calls).await?;
        if wave.is_done(machines) && !finished.contains(&wave.name) {
            (fleet.platform.report_wave)((wave.name.clone(), true)).await?;
            tracing::info!(name: "wave.completed", wave = %wave.name, instances = wave.instances.len(), "maintenance wave completed");
            finished.push(wave.name.clone());
        }
    }
    // The workers of instances that are still down are released once these are back.
    active.retain(|name, wave| !finished.contains(name) || wave.has_instances_down());
    Ok(())
}

async fn move_instances(
    fleet: &Arc<Fleet>,
    ownership: Ownership,
    waves: &IndexMap<WaveName, Wave>,
    planner: &mut PoolPlanner,
    machines: &IndexMap<InstanceName, MachineView>,
    instance_calls: &mut InstanceCalls,
) -> Result<()> {
    let Some(config) = fleet.config() else { return Ok(()) };
    let epoch = ownership.epoch;
    let now_ms = fleet.now_ms();
    let blocked = instance_calls.blocked_instances(now_ms);
    let move_blocker = |name: &InstanceName| {
        let is_out = waves.values().any(|wave| wave.is_draining_or_down(name));
        let is_blocked = || blocked.contains(name).then_some(MoveBlocker::PreviousOwnerCall);
        is_out.then_some(MoveBlocker::Draining).or_else(is_blocked)
    };
    let calls = fleet
        .update_board(epoch, |board| planner.plan(machines, move_blocker, board, &config, now_ms));
    let calls = calls.unwrap_or_default();
    if calls.is_empty() {
        return Ok(());
    }
    let instances = calls.iter().map(|call| &call.instance);
    let recorded = instance_calls.record_intent(fleet, ownership, instances, Vec::new()).await;
    if !matches!(recorded, Ok(true)) {
        for call in &calls {
            fleet.update_board(epoch, |board| {
                planner.record_call(call, MoveOutcome::Refused, board);
            });
        }
        return recorded.map(drop);
    }
    let may_send = instance_calls.send_check(fleet, ownership);
    let requests = calls.iter().map(|call| move_instance(fleet, ownership, &may_send, call));
    let outcomes = futures_util::future::join_all(requests).await;
    let unresolved =
        calls.iter().zip(&outcomes).filter(|(_, outcome)| **outcome == MoveOutcome::Unknown);
    instance_calls.finish_round(fleet, ownership.epoch, unresolved.map(|(call, _)| &call.instance));
    for (call, outcome) in calls.iter().zip(outcomes) {
        let MoveCall { instance, from, to, .. } = call;
        tracing::info!(name: "pool.move", epoch, %instance, %from, %to, ?outcome, "requested the move of an instance");
        fleet.update_board(epoch, |board| planner.record_call(call, outcome, board));
    }
    Ok(())
}

async fn move_instance(
    fleet: &Fleet,
    ownership: Ownership,
    may_send: &SendCheck,
    call: &MoveCall,
) -> MoveOutcome {
    let change = InstanceChange::Move(call.to.clone());
    match change_instance(fleet, ownership, may_send, &call.instance, change).await {
        MachineOutcome::Done => MoveOutcome::Begun,
        MachineOutcome::Invalid | MachineOutcome::NotInWave => MoveOutcome::NotAllowed,
        MachineOutcome::Busy
        | MachineOutcome::Limited
        | MachineOutcome::NotSent
        | MachineOutcome::Fenced => MoveOutcome::Refused,
        MachineOutcome::Unknown => MoveOutcome::Unknown,
    }
}

/// A change of an instance.
enum InstanceChange {
    /// To another pool.
    Move(PoolName),
    /// Maintenance, as part of a wave.
    Maintain(WaveName),
}

/// Requests a change of one instance from the provider.
async fn change_instance(
    fleet: &Fleet,
    ownership: Ownership,
    may_send: &SendCheck,
    instance: &InstanceName,
    change: InstanceChange,
) -> MachineOutcome {
    let (pool, wave) = match change {
        InstanceChange::Move(pool) => (Some(pool), None),
        InstanceChange::Maintain(wave) => (None, Some(wave)),
    };
    let call = MachineCall {
        instance: instance.clone(),
        pool,
        wave,
        holder: Name::clone(fleet.incarnation.name()),
        fencing_token: ownership.epoch,
        may_send: Arc::clone(may_send),
    };
    (fleet.platform.change_machine)(call).await.unwrap_or_else(|error| {
        tracing::warn!(name: "instance.call_failed", %instance, %error, "could not send the instance call");
        MachineOutcome::Limited
    })
}

/// Adds newly announced waves, with the progress that earlier owners stored.
async fn load_new_waves(
    fleet: &Fleet,
    waves: &mut IndexMap<WaveName, Wave>,
    finished: &[WaveName],
) -> Result<()> {
    let announced: Vec<_> = fleet.shared().waves.values().cloned().collect();
    let is_new = |name: &WaveName| !waves.contains_key(name) && !finished.contains(name);
    let new: Vec<_> = announced.into_iter().filter(|(plan, _)| is_new(&plan.wave)).collect();
    if new.is_empty() {
        return Ok(());
    }
    let (rows, _) = follow::read_table(fleet, LEAD_TABLE).await?;
    for (plan, seen_ms) in new {
        let due_ms = seen_ms + plan.finish_within_ms;
        let name = plan.wave;
        let mut wave =
            Wave::new(name.clone(), plan.instances, due_ms, plan.max_at_once, PLANNED_DOWNTIME_MS);
        let key = wave_key(&name);
        let row = rows.iter().find(|row| *row.key == *key).and_then(|row| row.value.as_deref());
        if let Some(bytes) = row {
            wave.progress = decode_row::<WaveProgress>(bytes)?;
        }
        if !wave.instances.iter().all(|name| wave.progress.begun.contains(name)) {
            (fleet.platform.report_wave)((name.clone(), false)).await?;
        }
        waves.insert(name, wave);
    }
    Ok(())
}

fn machine_views(machines: Vec<Machine>) -> IndexMap<InstanceName, MachineView> {
    let views = machines.into_iter().map(|machine| {
        let Machine { instance, pool, worker, capacity, state, data_centre } = machine;
        let capacity_millis = capacity.cpu_millis;
        let view = MachineView { instance, pool, state, data_centre, capacity_millis, worker };
        (view.instance.clone(), view)
    });
    views.collect()
}

async fn advance_wave(
    fleet: &Arc<Fleet>,
    ownership: Ownership,
    wave: &mut Wave,
    machines: &IndexMap<InstanceName, MachineView>,
    instance_calls: &mut InstanceCalls,
) -> Result<()> {
    let now_ms = fleet.now_ms();
    let blocked = instance_calls.blocked_instances(now_ms);
    wave.set_earlier_calls(blocked.clone());
    let calls =
        fleet.update_board(ownership.epoch, |board| wave.plan(machines, &blocked, board, now_ms));
    let calls = calls.unwrap_or_default();
    if calls.is_empty() {
        return Ok(());
    }
    let row = (cell_row_key(LEAD_TABLE, wave_key(&wave.name)), Some(encode_row(&wave.progress)?));
    let instances = calls.iter().map(|call| &call.instance);
    match instance_calls.record_intent(fleet, ownership, instances, vec![row]).await {
        Ok(true) => {}
        Ok(false) => return Ok(()),
        Err(error) => {
            mark_refused(fleet, ownership, wave, &calls);
            return Err(error);
        }
    }
    let may_send = instance_calls.send_check(fleet, ownership);
    let requests =
        calls.iter().map(|call| take_down(fleet, ownership, &may_send, &wave.name, call));
    let outcomes = futures_util::future::join_all(requests).await;
    let unresolved =
        calls.iter().zip(&outcomes).filter(|(_, outcome)| **outcome == TakeDownOutcome::Unknown);
    instance_calls.finish_round(fleet, ownership.epoch, unresolved.map(|(call, _)| &call.instance));
    let now_ms = fleet.now_ms();
    for (call, outcome) in calls.iter().zip(outcomes) {
        tracing::info!(name: "wave.instance", wave = %wave.name, instance = %call.instance, ?outcome, epoch = ownership.epoch, "requested maintenance of an instance");
        fleet.update_board(ownership.epoch, |board| wave.record_call(call, outcome, board, now_ms));
    }
    // Stored, so that a later owner doesn't repeat calls for instances in progress.
    let row = (cell_row_key(LEAD_TABLE, wave_key(&wave.name)), Some(encode_row(&wave.progress)?));
    leadership::write_as_owner(fleet, ownership, vec![row]).await.map(drop)
}

fn mark_refused(fleet: &Fleet, ownership: Ownership, wave: &mut Wave, calls: &[TakeDownCall]) {
    let now_ms = fleet.now_ms();
    for call in calls {
        fleet.update_board(ownership.epoch, |board| {
            wave.record_call(call, TakeDownOutcome::Refused, board, now_ms);
        });
    }
}

async fn take_down(
    fleet: &Fleet,
    ownership: Ownership,
    may_send: &SendCheck,
    wave: &WaveName,
    call: &TakeDownCall,
) -> TakeDownOutcome {
    let change = InstanceChange::Maintain(wave.clone());
    match change_instance(fleet, ownership, may_send, &call.instance, change).await {
        MachineOutcome::Done => TakeDownOutcome::Begun,
        MachineOutcome::NotInWave | MachineOutcome::Invalid => TakeDownOutcome::NotDue,
        MachineOutcome::Busy
        | MachineOutcome::Limited
        | MachineOutcome::NotSent
        | MachineOutcome::Fenced => TakeDownOutcome::Refused,
        MachineOutcome::Unknown => TakeDownOutcome::Unknown,
    }
}
