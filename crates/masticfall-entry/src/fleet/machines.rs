//! Maintenance waves and moves between pools, carried out by the cell's owner.
//!
//! Instances have no fencing of their own on some platforms, so calls about
//! them rest on time: a new owner waits for a lease's length before its first
//! one, and every round of calls follows a write that proves the ownership.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::fleet::machines::{MachineView, TakeDown, TakenDown, Wave, WaveProgress};
use masticfall_core::fleet::pools::{MoveCall, Moved, PoolPlanner};
use masticfall_core::id::{InstanceName, Name, WaveName};
use masticfall_platform::Result;
use masticfall_platform::fleet::{Machine, MachineCall, MachineOutcome, MachineState};
use tokio::time::sleep;

use super::context::{Fleet, Ownership};
use super::rows::{LEAD, place, read, value};
use super::{follow, leadership};

/// Period of the rounds while there is a wave, in milliseconds.
const ROUND_MS: u64 = 250;

/// Added to the wait of a new owner before its first call, in milliseconds.
const LEASE_MARGIN_MS: u64 = 300;

/// Time that an instance is down for maintenance, as planned, in milliseconds.
/// The platform says two seconds; the listing tells when it is back.
const DOWN_MS: u64 = 2_000;

/// Returns the key of a wave's row.
fn wave_key(name: &WaveName) -> String {
    format!("wave/{name}")
}

/// Carries out waves until the cell is lost.
pub async fn run(fleet: Arc<Fleet>, ownership: Ownership) {
    sleep(Duration::from_millis(fleet.settings.machine_lease_ms + LEASE_MARGIN_MS)).await;
    let mut waves: IndexMap<WaveName, Wave> = IndexMap::new();
    let mut finished: Vec<WaveName> = Vec::new();
    let mut planner = PoolPlanner::default();
    while fleet.shared().ownership == Some(ownership) {
        let done = round(&fleet, ownership, &mut waves, &mut finished, &mut planner).await;
        if let Err(error) = done {
            tracing::warn!(name: "wave.round_failed", %error, "trying again");
        }
        sleep(Duration::from_millis(ROUND_MS)).await;
    }
}

async fn round(
    fleet: &Arc<Fleet>,
    ownership: Ownership,
    waves: &mut IndexMap<WaveName, Wave>,
    finished: &mut Vec<WaveName>,
    planner: &mut PoolPlanner,
) -> Result<()> {
    begin_waves(fleet, waves, finished).await?;
    let machines = views((fleet.platform.machines)(()).await?);
    for wave in waves.values_mut() {
        advance(fleet, ownership, wave, &machines).await?;
        if wave.is_done(&machines) {
            (fleet.platform.report_wave)((wave.name.clone(), true)).await?;
            tracing::info!(name: "wave.completed", wave = %wave.name, instances = wave.instances.len(), "wave completed");
            finished.push(wave.name.clone());
        }
    }
    waves.retain(|name, _| !finished.contains(name));
    move_instances(fleet, ownership, waves, planner, &machines).await
}

async fn move_instances(
    fleet: &Arc<Fleet>,
    ownership: Ownership,
    waves: &IndexMap<WaveName, Wave>,
    planner: &mut PoolPlanner,
    machines: &IndexMap<InstanceName, MachineView>,
) -> Result<()> {
    let Some(config) = fleet.config() else { return Ok(()) };
    let epoch = ownership.epoch;
    let now_ms = fleet.now_ms();
    let is_taken = |name: &InstanceName| waves.values().any(|wave| wave.is_out(name));
    let calls =
        fleet.with_board(epoch, |board| planner.plan(machines, is_taken, board, &config, now_ms));
    let calls = calls.unwrap_or_default();
    if calls.is_empty() {
        return Ok(());
    }
    // The write proves that nobody else owns the cell.
    let proven = leadership::prove(fleet, ownership).await;
    if !matches!(proven, Ok(true)) {
        for call in &calls {
            fleet.with_board(epoch, |board| planner.moved(call, Moved::Refused, board));
        }
        return proven.map(drop);
    }
    let asked = calls.iter().map(|call| move_instance(fleet, ownership, call));
    let outcomes = futures_util::future::join_all(asked).await;
    for (call, outcome) in calls.iter().zip(outcomes) {
        let MoveCall { instance, from, to, .. } = call;
        tracing::info!(name: "pool.move", epoch, %instance, %from, %to, ?outcome, "asked to move an instance");
        fleet.with_board(epoch, |board| planner.moved(call, outcome, board));
    }
    Ok(())
}

async fn move_instance(fleet: &Fleet, ownership: Ownership, call: &MoveCall) -> Moved {
    let change = MachineCall {
        instance: call.instance.clone(),
        pool: Some(call.to.clone()),
        wave: None,
        holder: Name::clone(fleet.who.name()),
        fencing_token: ownership.epoch,
    };
    match (fleet.platform.change_machine)(change).await {
        Ok(MachineOutcome::Done) => Moved::Begun,
        Ok(MachineOutcome::Invalid | MachineOutcome::NotInWave) => Moved::NotAllowed,
        Ok(MachineOutcome::Busy | MachineOutcome::Limited | MachineOutcome::Fenced) => {
            Moved::Refused
        }
        Ok(MachineOutcome::Unknown) => Moved::Unknown,
        Err(error) => {
            tracing::warn!(name: "pool.call_failed", instance = %call.instance, %error, "not sent");
            Moved::Refused
        }
    }
}

/// Takes in waves that were announced, with the progress of earlier owners.
async fn begin_waves(
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
    let (rows, _) = follow::read_table(fleet, LEAD).await?;
    for (plan, seen_ms) in new {
        let due_ms = seen_ms + plan.finish_within_ms;
        let name = plan.wave;
        let mut wave = Wave::new(name.clone(), plan.instances, due_ms, plan.max_at_once, DOWN_MS);
        let key = wave_key(&name);
        let row = rows.iter().find(|row| *row.key == *key).and_then(|row| row.value.as_deref());
        if let Some(bytes) = row {
            wave.progress = read::<WaveProgress>(bytes)?;
        }
        (fleet.platform.report_wave)((name.clone(), false)).await?;
        waves.insert(name, wave);
    }
    Ok(())
}

fn views(machines: Vec<Machine>) -> IndexMap<InstanceName, MachineView> {
    let views = machines.into_iter().map(|machine| {
        let is_up = machine.state == MachineState::Up;
        let Machine { instance, pool, worker, capacity, .. } = machine;
        let capacity_millis = capacity.cpu_millis;
        (instance.clone(), MachineView { instance, pool, is_up, capacity_millis, worker })
    });
    views.collect()
}

async fn advance(
    fleet: &Arc<Fleet>,
    ownership: Ownership,
    wave: &mut Wave,
    machines: &IndexMap<InstanceName, MachineView>,
) -> Result<()> {
    let now_ms = fleet.now_ms();
    let calls = fleet.with_board(ownership.epoch, |board| wave.plan(machines, board, now_ms));
    let calls = calls.unwrap_or_default();
    if calls.is_empty() {
        return Ok(());
    }
    // The write proves that nobody else owns the cell, and tells a later owner
    // what may have been called.
    let row = (place(LEAD, wave_key(&wave.name)), Some(value(&wave.progress)?));
    match leadership::write(fleet, ownership, vec![row]).await {
        Ok(true) => {}
        Ok(false) => return Ok(()),
        Err(error) => {
            undo(fleet, ownership, wave, &calls);
            return Err(error);
        }
    }
    let asked = calls.iter().map(|call| take_down(fleet, ownership, &wave.name, call));
    let outcomes = futures_util::future::join_all(asked).await;
    let now_ms = fleet.now_ms();
    for (call, outcome) in calls.iter().zip(outcomes) {
        tracing::info!(name: "wave.instance", wave = %wave.name, instance = %call.instance, ?outcome, epoch = ownership.epoch, "asked to take an instance down");
        fleet.with_board(ownership.epoch, |board| wave.taken_down(call, outcome, board, now_ms));
    }
    Ok(())
}

fn undo(fleet: &Fleet, ownership: Ownership, wave: &mut Wave, calls: &[TakeDown]) {
    let now_ms = fleet.now_ms();
    for call in calls {
        fleet.with_board(ownership.epoch, |board| {
            wave.taken_down(call, TakenDown::Refused, board, now_ms);
        });
    }
}

async fn take_down(
    fleet: &Fleet,
    ownership: Ownership,
    wave: &WaveName,
    call: &TakeDown,
) -> TakenDown {
    let change = MachineCall {
        instance: call.instance.clone(),
        pool: None,
        wave: Some(wave.clone()),
        holder: Name::clone(fleet.who.name()),
        fencing_token: ownership.epoch,
    };
    match (fleet.platform.change_machine)(change).await {
        Ok(MachineOutcome::Done) => TakenDown::Begun,
        Ok(MachineOutcome::NotInWave | MachineOutcome::Invalid) => TakenDown::NotDue,
        Ok(MachineOutcome::Busy | MachineOutcome::Limited | MachineOutcome::Fenced) => {
            TakenDown::Refused
        }
        Ok(MachineOutcome::Unknown) => TakenDown::Unknown,
        Err(error) => {
            tracing::warn!(name: "wave.call_failed", instance = %call.instance, %error, "not sent");
            TakenDown::Refused
        }
    }
}
