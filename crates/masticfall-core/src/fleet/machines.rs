//! Which instances to empty, and to take down for maintenance.
//!
//! An instance is cordoned first, emptied, and only then taken down, so that
//! nothing that runs is cut. Load answered: a wave that has to be done in a given time while
//! the queues go on; as many instances are out at once as that takes, the
//! emptiest first, and never more than the wave allows.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::board::Board;
use crate::id::{InstanceName, PoolName, WaveName, WorkerId};

/// Time in which an instance is emptied, as planned, in milliseconds: the run
/// time of a usual task.
const EMPTYING_MS: u64 = 2_500;

/// Factor by which a wave is planned to be done sooner than it has to be.
const HASTE: f64 = 2.5;

/// Time after which an instance that was called down and is up again counts as
/// back without a new worker, in milliseconds.
const BACK_AFTER_MS: u64 = 4_000;

/// Pause before a call that had no effect is made again, in milliseconds.
const AGAIN_MS: u64 = 600;

/// Where an instance is in its life, as its provider sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum MachineState {
    /// It runs.
    Up,
    /// It moves to another pool.
    Moving,
    /// It is down for maintenance.
    Maintenance,
    /// It is down.
    Down,
}

/// An instance as its provider last listed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineView {
    /// Its name.
    pub instance: InstanceName,
    /// Its pool.
    pub pool: PoolName,
    /// Where it is in its life.
    pub state: MachineState,
    /// What it offers, in thousandths of a core.
    pub capacity_millis: u64,
    /// Its worker, if it has one.
    pub worker: Option<WorkerId>,
}

impl MachineView {
    /// Tells whether it runs.
    pub fn is_up(&self) -> bool {
        self.state == MachineState::Up
    }
}

/// A wave as far as it was stored.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Instances whose maintenance has begun, or which don't belong to the wave.
    /// Only the provider's own answer counts: a worker may be another one for
    /// many reasons.
    pub begun: IndexSet<InstanceName>,
}

/// A wave in progress.
#[derive(Debug, Clone)]
pub struct Wave {
    /// Its name.
    pub name: WaveName,
    /// Instances due.
    pub instances: Vec<InstanceName>,
    /// When it should be done, by our clock.
    pub due_ms: u64,
    /// Most instances that may be down at once.
    pub max_at_once: u32,
    /// Time that an instance is down, in milliseconds.
    pub down_ms: u64,
    /// Progress that is stored.
    pub progress: WaveProgress,
    /// Instances that are down by a call of ours.
    down: IndexMap<InstanceName, Down>,
    /// Instances being emptied.
    emptying: IndexSet<InstanceName>,
    /// Time before which an instance isn't called again.
    not_before_ms: IndexMap<InstanceName, u64>,
}

/// An instance that is down by a call of ours.
#[derive(Debug, Clone)]
struct Down {
    /// Time of the call.
    since_ms: u64,
    /// Its worker at that time.
    worker: Option<WorkerId>,
    /// Whether it was listed as not up since. On standby it has no worker by
    /// which its return could be told.
    was_seen: bool,
}

impl Down {
    fn new(worker: Option<WorkerId>, since_ms: u64) -> Self {
        Self { since_ms, worker, was_seen: false }
    }
}

/// A call to take an instance down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeDownCall {
    /// The instance.
    pub instance: InstanceName,
    /// Its worker.
    pub worker: Option<WorkerId>,
}

/// How a call to take an instance down ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeDownOutcome {
    /// Its maintenance has begun, now or before.
    Begun,
    /// It isn't due in this wave, or doesn't exist.
    NotDue,
    /// Nothing was done.
    Refused,
    /// It may have begun.
    Unknown,
}

impl Wave {
    /// Makes a wave from its announcement.
    pub fn new(
        name: WaveName,
        instances: Vec<InstanceName>,
        due_ms: u64,
        max_at_once: u32,
        down_ms: u64,
    ) -> Self {
        Self {
            name,
            instances,
            due_ms,
            max_at_once,
            down_ms,
            progress: WaveProgress::default(),
            down: IndexMap::new(),
            emptying: IndexSet::new(),
            not_before_ms: IndexMap::new(),
        }
    }

    /// Returns how far the wave is: instances begun, being emptied, and down.
    pub fn progress_counts(&self) -> (usize, usize, usize) {
        (self.progress.begun.len(), self.emptying.len(), self.down.len())
    }

    /// Tells whether an instance is being emptied or is down for this wave.
    pub fn is_draining_or_down(&self, instance: &InstanceName) -> bool {
        self.emptying.contains(instance) || self.down.contains_key(instance)
    }

    /// Tells whether the maintenance of every instance that is left has begun.
    ///
    /// Instances that aren't listed any more don't count.
    pub fn is_done(&self, machines: &IndexMap<InstanceName, MachineView>) -> bool {
        let left = self.instances.iter().filter(|name| machines.contains_key(*name));
        left.into_iter().all(|name| self.progress.begun.contains(name))
    }

    /// Decides what is emptied and what is taken down next; `barred` names
    /// instances that must not be called yet.
    pub fn plan(
        &mut self,
        machines: &IndexMap<InstanceName, MachineView>,
        barred: &IndexSet<InstanceName>,
        board: &mut Board,
        now_ms: u64,
    ) -> Vec<TakeDownCall> {
        self.note_back(machines, now_ms);
        self.mark_due(machines, board);
        self.choose(machines, board, now_ms);
        let mut calls = Vec::new();
        for name in self.emptying.clone() {
            let Some(machine) = machines.get(&name) else {
                self.emptying.swap_remove(&name);
                continue;
            };
            if let Some(worker) = &machine.worker {
                board.cordon(worker, true);
                board.evict_long_running(worker, now_ms);
            }
            let is_empty = machine.worker.as_ref().is_none_or(|worker| board.is_empty(worker));
            let is_paused = self.not_before_ms.get(&name).is_some_and(|at| now_ms < *at);
            if is_empty && machine.is_up() && !is_paused && !barred.contains(&name) {
                self.emptying.swap_remove(&name);
                self.down.insert(name.clone(), Down::new(machine.worker.clone(), now_ms));
                calls.push(TakeDownCall { instance: name, worker: machine.worker.clone() });
            }
        }
        calls
    }

    /// Notes how a call ended.
    pub fn record_call(
        &mut self,
        call: &TakeDownCall,
        outcome: TakeDownOutcome,
        board: &mut Board,
        now_ms: u64,
    ) {
        let name = &call.instance;
        match outcome {
            TakeDownOutcome::Begun => {
                self.progress.begun.insert(name.clone());
                self.down.insert(name.clone(), Down::new(call.worker.clone(), now_ms));
            }
            TakeDownOutcome::NotDue => {
                self.progress.begun.insert(name.clone());
                self.down.swap_remove(name);
                if let Some(worker) = &call.worker {
                    board.cordon(worker, false);
                }
            }
            TakeDownOutcome::Refused => {
                self.down.swap_remove(name);
                self.not_before_ms.insert(name.clone(), now_ms + AGAIN_MS);
                self.emptying.insert(name.clone());
            }
            // It stays counted as down; the next call tells.
            TakeDownOutcome::Unknown => {
                self.not_before_ms.insert(name.clone(), now_ms + AGAIN_MS);
                self.emptying.insert(name.clone());
            }
        }
    }

    fn note_back(&mut self, machines: &IndexMap<InstanceName, MachineView>, now_ms: u64) {
        let down_ms = self.down_ms;
        self.down.retain(|name, down| {
            let Some(machine) = machines.get(name) else { return false };
            let has_new_worker = machine.worker.is_some() && machine.worker != down.worker;
            let is_late = now_ms > down.since_ms + down_ms + BACK_AFTER_MS;
            down.was_seen |= !machine.is_up();
            !(machine.is_up() && (down.was_seen || has_new_worker || is_late))
        });
    }

    /// Tells the board which workers are still due, so that what lasts is
    /// placed on others.
    fn mark_due(&self, machines: &IndexMap<InstanceName, MachineView>, board: &mut Board) {
        for name in &self.instances {
            let worker = machines.get(name).and_then(|machine| machine.worker.as_ref());
            let Some(worker) = worker.and_then(|id| board.workers.get_mut(id)) else { continue };
            worker.is_maintenance_due = !self.progress.begun.contains(name);
        }
    }

    /// Chooses instances to be emptied, so that the wave is done in time.
    fn choose(
        &mut self,
        machines: &IndexMap<InstanceName, MachineView>,
        board: &Board,
        now_ms: u64,
    ) {
        let mut plain: Vec<(u64, &InstanceName)> = Vec::new();
        let mut lasting: Vec<(u64, &InstanceName)> = Vec::new();
        for name in &self.instances {
            let is_taken = self.progress.begun.contains(name)
                || self.emptying.contains(name)
                || self.down.contains_key(name);
            let Some(machine) = machines.get(name).filter(|machine| !is_taken && machine.is_up())
            else {
                continue;
            };
            let worker = machine.worker.as_ref().and_then(|id| board.workers.get(id));
            let used = worker.map_or(0, |worker| worker.used.cpu_millis);
            let has_lasting = machine.worker.as_ref().is_some_and(|id| board.has_long_running(id));
            let list = if has_lasting { &mut lasting } else { &mut plain };
            list.push((used, name));
        }
        plain.sort();
        lasting.sort();
        // What lasts leaves one by one, so those instances take longest.
        let longest = plain.len().max(lasting.len());
        let pairs = (0..longest).flat_map(|at| [lasting.get(at), plain.get(at)]);
        let waiting: Vec<&InstanceName> = pairs.flatten().map(|(_, name)| *name).collect();
        if waiting.is_empty() {
            return;
        }
        let left_ms = self.due_ms.saturating_sub(now_ms).max(1) as f64 / HASTE;
        let each_ms = (EMPTYING_MS + self.down_ms) as f64;
        let wanted = (waiting.len() as f64 * each_ms / left_ms).ceil() as usize;
        let wanted = wanted.clamp(1, self.max_at_once.max(1) as usize);
        let is_away = |name: &&InstanceName| {
            let state = machines.get(*name).map(|machine| machine.state);
            state == Some(MachineState::Maintenance) && !self.is_draining_or_down(name)
        };
        // An earlier owner may have taken instances down. Those that move or have
        // failed take nothing from what the wave may have down.
        let away = self.instances.iter().filter(is_away).count();
        let out = self.emptying.len() + self.down.len() + away;
        let chosen = waiting.iter().take(wanted.saturating_sub(out));
        let chosen: Vec<InstanceName> = chosen.map(|name| (*name).clone()).collect();
        self.emptying.extend(chosen);
    }
}
