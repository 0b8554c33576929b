//! Maintenance waves and moves between pools, carried out by the cell's owner.
//!
//! Instances have no fencing of their own on some platforms, so calls about
//! them rest on time: every round of calls follows a write that proves the
//! ownership and names the instances, and a new owner leaves those that the
//! last one may have called alone for a lease's length.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use masticfall_core::fleet::machines::{
    MachineView, TakeDownCall, TakeDownOutcome, Wave, WaveProgress,
};
use masticfall_core::fleet::pools::{MoveBlocker, MoveCall, MoveOutcome, PoolPlanner, PoolView};
use masticfall_core::fleet::spec::Resources;
use masticfall_core::id::{InstanceName, Name, PoolName, WaveName};
use masticfall_platform::Result;
use masticfall_platform::fleet::{Machine, MachineCall, MachineOutcome, RowKey};
use tokio::time::sleep;

use super::context::{Fleet, Ownership};
use super::leadership::Sequence;
use super::rows::{CALLED_KEY, CALLS, CallsRow, LEAD, place, read, value};
use super::{follow, leadership};

/// Pause between two rounds, in milliseconds: short beside the 1.5 s that a move
/// takes, and beside the time in which a queue reaches its peak.
const ROUND_MS: u64 = 100;

/// Period of the lines about the pools, in milliseconds: a second is short
/// beside the turns of demand, and bounds the volume.
const POOL_LOG_MS: u64 = 1_000;

/// Added to the wait of a new owner before its first call, in milliseconds.
const LEASE_MARGIN_MS: u64 = 300;

/// Time that an instance is down for maintenance, as planned, in milliseconds.
/// The platform says two seconds; the listing tells when it is back.
const DOWN_MS: u64 = 2_000;

/// Round of a call that may be carried out at any time.
const NEVER_DONE: u64 = u64::MAX;

/// Calls about instances, of this owner and of the last one.
#[derive(Debug)]
struct Calls {
    /// Instances of the last owner, with the time before which they must not be
    /// called.
    former_until_ms: IndexMap<InstanceName, u64>,
    /// Our own calls of late, with their times and rounds.
    called: IndexMap<InstanceName, (u64, u64)>,
    /// Number of the current round of calls.
    round: u64,
    sequence: Sequence,
    lease_ms: u64,
}

impl Calls {
    /// Reads what the last owner may have called; `None` when the cell is lost.
    async fn begin(fleet: &Fleet, ownership: Ownership) -> Option<Self> {
        let lease_ms = fleet.settings.machine_lease_ms + LEASE_MARGIN_MS;
        while fleet.is_owner(ownership.epoch) {
            match follow::read_table(fleet, CALLS).await {
                Ok((rows, _)) => {
                    let row = rows.iter().find(|row| &*row.key == CALLED_KEY);
                    let bytes = row.and_then(|row| row.value.as_deref());
                    let row = bytes.map(read::<CallsRow>).transpose().unwrap_or_else(|error| {
                        tracing::warn!(name: "calls.unreadable", %error, "taken as none");
                        None
                    });
                    let CallsRow { epoch, called } = row.unwrap_or_default();
                    let now_ms = fleet.now_ms();
                    let until_ms = |round| {
                        let over_ms = leadership::calls_over_ms(fleet, epoch, round);
                        over_ms.unwrap_or(now_ms) + lease_ms
                    };
                    let former = called.into_iter().map(|(name, round)| (name, until_ms(round)));
                    return Some(Self {
                        former_until_ms: former
                            .filter(|(_, until_ms)| *until_ms > now_ms)
                            .collect(),
                        called: IndexMap::new(),
                        round: 0,
                        sequence: Sequence::new(place(CALLS, CALLED_KEY)),
                        lease_ms,
                    });
                }
                Err(error) => {
                    tracing::debug!(name: "calls.not_read", %error, "trying again");
                    sleep(Duration::from_millis(ROUND_MS)).await;
                }
            }
        }
        None
    }

    /// Returns the instances that must not be called yet.
    fn barred(&self, now_ms: u64) -> IndexSet<InstanceName> {
        let barred = self.former_until_ms.iter().filter(|(_, until_ms)| now_ms < **until_ms);
        barred.map(|(name, _)| name.clone()).collect()
    }

    /// Proves the ownership by a write that names the instances about to be
    /// called; `false` when the cell is lost.
    async fn announce(
        &mut self,
        fleet: &Fleet,
        ownership: Ownership,
        instances: impl Iterator<Item = &InstanceName>,
        writes: Vec<(RowKey, Option<Vec<u8>>)>,
    ) -> Result<bool> {
        let now_ms = fleet.now_ms();
        let lease_ms = self.lease_ms;
        self.round += 1;
        let round = self.round;
        self.called.retain(|_, (at_ms, _)| now_ms < *at_ms + lease_ms);
        self.called.extend(instances.map(|name| (name.clone(), (now_ms, round))));
        let ours = self.called.iter().map(|(name, (_, round))| (name.clone(), *round));
        let mut called: IndexMap<InstanceName, u64> = ours.collect();
        for name in self.barred(now_ms) {
            called.entry(name).or_insert(round);
        }
        let row = value(&CallsRow { epoch: ownership.epoch, called })?;
        leadership::write_next(fleet, ownership, &mut self.sequence, row, writes).await
    }

    /// Notes that the calls of the current round are over, but for those of
    /// unknown outcome. These may be carried out later; until the row says so,
    /// the round isn't counted as done.
    fn done<'a>(&mut self, fleet: &Fleet, unclear: impl Iterator<Item = &'a InstanceName>) {
        let mut is_clear = true;
        for name in unclear {
            is_clear = false;
            if let Some((_, round)) = self.called.get_mut(name) {
                *round = NEVER_DONE;
            }
        }
        if is_clear {
            fleet.calls_done.store(self.round, Ordering::Release);
        }
    }
}

/// Returns the key of a wave's row.
fn wave_key(name: &WaveName) -> String {
    format!("wave/{name}")
}

/// Carries out waves until the cell is lost.
pub async fn run(fleet: Arc<Fleet>, ownership: Ownership) {
    let Some(mut calls) = Calls::begin(&fleet, ownership).await else { return };
    let mut waves: IndexMap<WaveName, Wave> = IndexMap::new();
    let mut finished: Vec<WaveName> = Vec::new();
    let mut planner = PoolPlanner::new(fleet.settings.machine_calls_per_s);
    let mut logged_ms = 0;
    while fleet.is_owner(ownership.epoch) {
        let done =
            round(&fleet, ownership, &mut waves, &mut finished, &mut planner, &mut calls).await;
        if let Err(error) = done {
            tracing::warn!(name: "wave.round_failed", %error, "trying again");
            // No instance can be moved: jobs are taken for what the pools hold.
            fleet.with_board(ownership.epoch, |board| board.set_attainable_millis(IndexMap::new()));
        }
        let now_ms = fleet.now_ms();
        if now_ms >= logged_ms + POOL_LOG_MS {
            logged_ms = now_ms;
            log_pools(ownership.epoch, &planner);
            log_waves(ownership.epoch, &waves);
        }
        sleep(Duration::from_millis(ROUND_MS)).await;
    }
}

/// Writes what the last round knew of each pool that is asked for something.
fn log_pools(epoch: u32, planner: &PoolPlanner) {
    for (pool, seen) in planner.pool_views() {
        let PoolView { demand, wanted_millis, held_millis, empty_instances } = *seen;
        let millis = |needs: Resources| needs.dominant_millis(&demand.worker_size);
        let (placed_millis, lasting_millis) = (millis(demand.placed), millis(demand.long_running));
        let (waiting_millis, offered_millis) = (millis(demand.waiting), millis(demand.offered));
        let workers = demand.min_workers;
        if placed_millis + waiting_millis + offered_millis > 0 {
            tracing::info!(name: "pool.demand", epoch, %pool, wanted_millis, held_millis, empty_instances, placed_millis, lasting_millis, waiting_millis, offered_millis, workers, "pool as planned");
        }
    }
}

/// Writes how far each wave is.
fn log_waves(epoch: u32, waves: &IndexMap<WaveName, Wave>) {
    for (name, wave) in waves {
        let (begun, emptying, down) = wave.progress_counts();
        let (instances, most) = (wave.instances.len(), wave.max_at_once);
        tracing::info!(name: "wave.progress", epoch, wave = %name, instances, begun, emptying, down, most, "wave as planned");
    }
}

async fn round(
    fleet: &Arc<Fleet>,
    ownership: Ownership,
    waves: &mut IndexMap<WaveName, Wave>,
    finished: &mut Vec<WaveName>,
    planner: &mut PoolPlanner,
    calls: &mut Calls,
) -> Result<()> {
    begin_waves(fleet, waves, finished).await?;
    let machines = views((fleet.platform.machines)(()).await?);
    for wave in waves.values_mut() {
        advance(fleet, ownership, wave, &machines, calls).await?;
        if wave.is_done(&machines) {
            (fleet.platform.report_wave)((wave.name.clone(), true)).await?;
            tracing::info!(name: "wave.completed", wave = %wave.name, instances = wave.instances.len(), "wave completed");
            finished.push(wave.name.clone());
        }
    }
    waves.retain(|name, _| !finished.contains(name));
    move_instances(fleet, ownership, waves, planner, &machines, calls).await
}

async fn move_instances(
    fleet: &Arc<Fleet>,
    ownership: Ownership,
    waves: &IndexMap<WaveName, Wave>,
    planner: &mut PoolPlanner,
    machines: &IndexMap<InstanceName, MachineView>,
    known: &mut Calls,
) -> Result<()> {
    let Some(config) = fleet.config() else { return Ok(()) };
    let epoch = ownership.epoch;
    let now_ms = fleet.now_ms();
    let barred = known.barred(now_ms);
    let fixed = |name: &InstanceName| {
        let is_out = waves.values().any(|wave| wave.is_draining_or_down(name));
        let is_barred = || barred.contains(name).then_some(MoveBlocker::FormerOwnerCall);
        is_out.then_some(MoveBlocker::Draining).or_else(is_barred)
    };
    let calls =
        fleet.with_board(epoch, |board| planner.plan(machines, fixed, board, &config, now_ms));
    let calls = calls.unwrap_or_default();
    if calls.is_empty() {
        return Ok(());
    }
    let instances = calls.iter().map(|call| &call.instance);
    let proven = known.announce(fleet, ownership, instances, Vec::new()).await;
    if !matches!(proven, Ok(true)) {
        for call in &calls {
            fleet.with_board(epoch, |board| planner.record_call(call, MoveOutcome::Refused, board));
        }
        return proven.map(drop);
    }
    let asked = calls.iter().map(|call| move_instance(fleet, ownership, call));
    let outcomes = futures_util::future::join_all(asked).await;
    let unclear =
        calls.iter().zip(&outcomes).filter(|(_, outcome)| **outcome == MoveOutcome::Unknown);
    known.done(fleet, unclear.map(|(call, _)| &call.instance));
    for (call, outcome) in calls.iter().zip(outcomes) {
        let MoveCall { instance, from, to, .. } = call;
        tracing::info!(name: "pool.move", epoch, %instance, %from, %to, ?outcome, "asked to move an instance");
        fleet.with_board(epoch, |board| planner.record_call(call, outcome, board));
    }
    Ok(())
}

async fn move_instance(fleet: &Fleet, ownership: Ownership, call: &MoveCall) -> MoveOutcome {
    match change(fleet, ownership, &call.instance, Some(&call.to), None).await {
        MachineOutcome::Done => MoveOutcome::Begun,
        MachineOutcome::Invalid | MachineOutcome::NotInWave => MoveOutcome::NotAllowed,
        MachineOutcome::Busy | MachineOutcome::Limited | MachineOutcome::Fenced => {
            MoveOutcome::Refused
        }
        MachineOutcome::Unknown => MoveOutcome::Unknown,
    }
}

/// Calls the provider about one instance.
async fn change(
    fleet: &Fleet,
    ownership: Ownership,
    instance: &InstanceName,
    pool: Option<&PoolName>,
    wave: Option<&WaveName>,
) -> MachineOutcome {
    let call = MachineCall {
        instance: instance.clone(),
        pool: pool.cloned(),
        wave: wave.cloned(),
        holder: Name::clone(fleet.incarnation.name()),
        fencing_token: ownership.epoch,
    };
    (fleet.platform.change_machine)(call).await.unwrap_or_else(|error| {
        tracing::warn!(name: "instance.call_failed", %instance, %error, "not sent");
        MachineOutcome::Limited
    })
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
        if !wave.instances.iter().all(|name| wave.progress.begun.contains(name)) {
            (fleet.platform.report_wave)((name.clone(), false)).await?;
        }
        waves.insert(name, wave);
    }
    Ok(())
}

fn views(machines: Vec<Machine>) -> IndexMap<InstanceName, MachineView> {
    let views = machines.into_iter().map(|machine| {
        let Machine { instance, pool, worker, capacity, state, .. } = machine;
        let capacity_millis = capacity.cpu_millis;
        (instance.clone(), MachineView { instance, pool, state, capacity_millis, worker })
    });
    views.collect()
}

async fn advance(
    fleet: &Arc<Fleet>,
    ownership: Ownership,
    wave: &mut Wave,
    machines: &IndexMap<InstanceName, MachineView>,
    known: &mut Calls,
) -> Result<()> {
    let now_ms = fleet.now_ms();
    let barred = known.barred(now_ms);
    let calls =
        fleet.with_board(ownership.epoch, |board| wave.plan(machines, &barred, board, now_ms));
    let calls = calls.unwrap_or_default();
    if calls.is_empty() {
        return Ok(());
    }
    let row = (place(LEAD, wave_key(&wave.name)), Some(value(&wave.progress)?));
    let instances = calls.iter().map(|call| &call.instance);
    match known.announce(fleet, ownership, instances, vec![row]).await {
        Ok(true) => {}
        Ok(false) => return Ok(()),
        Err(error) => {
            undo(fleet, ownership, wave, &calls);
            return Err(error);
        }
    }
    let asked = calls.iter().map(|call| take_down(fleet, ownership, &wave.name, call));
    let outcomes = futures_util::future::join_all(asked).await;
    let unclear =
        calls.iter().zip(&outcomes).filter(|(_, outcome)| **outcome == TakeDownOutcome::Unknown);
    known.done(fleet, unclear.map(|(call, _)| &call.instance));
    let now_ms = fleet.now_ms();
    for (call, outcome) in calls.iter().zip(outcomes) {
        tracing::info!(name: "wave.instance", wave = %wave.name, instance = %call.instance, ?outcome, epoch = ownership.epoch, "asked to take an instance down");
        fleet.with_board(ownership.epoch, |board| wave.record_call(call, outcome, board, now_ms));
    }
    // A later owner need not ask again about what has begun.
    let row = (place(LEAD, wave_key(&wave.name)), Some(value(&wave.progress)?));
    leadership::write(fleet, ownership, vec![row]).await.map(drop)
}

fn undo(fleet: &Fleet, ownership: Ownership, wave: &mut Wave, calls: &[TakeDownCall]) {
    let now_ms = fleet.now_ms();
    for call in calls {
        fleet.with_board(ownership.epoch, |board| {
            wave.record_call(call, TakeDownOutcome::Refused, board, now_ms);
        });
    }
}

async fn take_down(
    fleet: &Fleet,
    ownership: Ownership,
    wave: &WaveName,
    call: &TakeDownCall,
) -> TakeDownOutcome {
    match change(fleet, ownership, &call.instance, None, Some(wave)).await {
        MachineOutcome::Done => TakeDownOutcome::Begun,
        MachineOutcome::NotInWave | MachineOutcome::Invalid => TakeDownOutcome::NotDue,
        MachineOutcome::Busy | MachineOutcome::Limited | MachineOutcome::Fenced => {
            TakeDownOutcome::Refused
        }
        MachineOutcome::Unknown => TakeDownOutcome::Unknown,
    }
}
