//! Choice of the instances to drain and to take down for maintenance.
//!
//! An instance is cordoned, drained, and only then taken down, so that
//! maintenance interrupts no running task. A wave has a deadline, and the queues
//! keep running meanwhile: as many instances are drained or down at once as the
//! deadline requires, the least used first, and never more than the wave allows.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::board::Board;
use crate::id::{DataCentre, InstanceName, PoolName, WaveName, WorkerId};

/// Estimated time to drain an instance: the run time of a typical task.
const DRAIN_ESTIMATE_MS: u64 = 2_500;

/// Factor by which the time left to a wave's deadline is shortened for planning.
const DEADLINE_SAFETY_FACTOR: f64 = 2.5;

/// Time before a wave's deadline by which the last instance is to be draining, in
/// milliseconds. The pace is in proportion to the time left, so that without it the last and
/// busiest instances begin to drain in the last tenth of that time; some of their tasks run
/// seven times as long as estimated.
const DRAIN_RESERVE_MS: u64 = 7_000;

/// Time past the planned end of its maintenance after which an instance that is
/// listed as up counts as returned, even without a new worker.
const RETURN_GRACE_MS: u64 = 4_000;

/// Delay before a call that was refused or got no answer is retried.
const RETRY_DELAY_MS: u64 = 600;

/// State of an instance, as reported by its provider.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum MachineState {
    /// Running.
    Up,
    /// Moving to another pool.
    Moving,
    /// Down for maintenance.
    Maintenance,
    /// Down for another reason.
    Down,
}

/// An instance, as last listed by its provider.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineView {
    /// Name.
    pub instance: InstanceName,
    /// Current pool.
    pub pool: PoolName,
    /// State.
    pub state: MachineState,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Processor capacity, in thousandths of a core.
    pub capacity_millis: u64,
    /// Worker that runs on it, if any.
    pub worker: Option<WorkerId>,
}

impl MachineView {
    /// Returns whether the instance is running.
    pub fn is_up(&self) -> bool {
        self.state == MachineState::Up
    }
}

/// Stored progress of a wave.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Instances whose maintenance has begun, or which don't belong to the wave.
    /// Only the provider's answer adds one: a new worker can have many causes.
    pub begun: IndexSet<InstanceName>,
}

/// A maintenance wave in progress.
#[derive(Debug, Clone)]
pub struct Wave {
    /// Name.
    pub name: WaveName,
    /// Instances to maintain.
    pub instances: Vec<InstanceName>,
    /// Deadline, by the local clock.
    pub due_ms: u64,
    /// Limit of instances down at once; those being drained count as well.
    pub max_at_once: u32,
    /// Expected duration of one instance's maintenance.
    pub down_ms: u64,
    /// Stored progress.
    pub progress: WaveProgress,
    /// Instances that this owner's calls have or may have taken down.
    down: IndexMap<InstanceName, DownInstance>,
    /// Instances being drained.
    draining: IndexSet<InstanceName>,
    /// Earliest time of the next call for an instance.
    retry_at_ms: IndexMap<InstanceName, u64>,
    /// When the outcome of the last call was recorded.
    last_outcome_ms: u64,
    /// Instances that calls of the earlier owner may yet take down.
    earlier_calls: IndexSet<InstanceName>,
}

/// An instance that this owner has taken down.
#[derive(Debug, Clone)]
struct DownInstance {
    /// Time of the call.
    since_ms: u64,
    /// Worker at that time.
    worker: Option<WorkerId>,
    /// Whether it was listed as not up since the call. A standby instance has no
    /// worker whose change shows its return.
    was_seen_down: bool,
    /// Whether the provider has answered that the maintenance has begun.
    is_confirmed: bool,
}

impl DownInstance {
    fn new(worker: Option<WorkerId>, since_ms: u64) -> Self {
        Self { since_ms, worker, was_seen_down: false, is_confirmed: false }
    }

    /// Returns whether its worker has answered since the provider confirmed the maintenance:
    /// an earlier call had begun it, and the instance was back before this one.
    fn has_outlived_call(&self, board: &Board) -> bool {
        let worker = self.worker.as_ref().and_then(|id| board.workers.get(id));
        self.is_confirmed
            && worker.is_some_and(|w| w.clock.is_some_and(|clock| clock.local_ms > self.since_ms))
    }
}

/// A call to take an instance down for maintenance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeDownCall {
    /// Instance to take down.
    pub instance: InstanceName,
    /// Worker that runs on it, if any.
    pub worker: Option<WorkerId>,
}

/// Outcome of a call to take an instance down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeDownOutcome {
    /// The maintenance has begun, by this call or an earlier one.
    Begun,
    /// The instance isn't due in this wave, or doesn't exist.
    NotDue,
    /// The call had no effect.
    Refused,
    /// The maintenance may or may not have begun.
    Unknown,
}

impl Wave {
    /// Creates an announced wave.
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
            draining: IndexSet::new(),
            retry_at_ms: IndexMap::new(),
            last_outcome_ms: 0,
            earlier_calls: IndexSet::new(),
        }
    }

    /// Sets the instances that calls of the earlier owner may yet take down: they count towards
    /// the limit although they are listed as up.
    pub fn set_earlier_calls(&mut self, instances: IndexSet<InstanceName>) {
        self.earlier_calls = instances;
    }

    /// Returns when the outcome of the last call was recorded. A plan needs a list of the
    /// instances that was read later.
    pub fn last_outcome_ms(&self) -> u64 {
        self.last_outcome_ms
    }

    /// Returns the numbers of instances begun, being drained, and down.
    pub fn progress_counts(&self) -> (usize, usize, usize) {
        (self.progress.begun.len(), self.draining.len(), self.down.len())
    }

    /// Returns whether an instance is being drained or is down for this wave.
    pub fn is_draining_or_down(&self, instance: &InstanceName) -> bool {
        self.draining.contains(instance) || self.down.contains_key(instance)
    }

    /// Returns whether it has instances down, whose workers it has yet to release.
    pub fn has_instances_down(&self) -> bool {
        !self.down.is_empty()
    }

    /// Returns whether the maintenance of every listed instance has begun.
    ///
    /// Instances that are no longer listed are ignored.
    pub fn is_done(&self, machines: &IndexMap<InstanceName, MachineView>) -> bool {
        let listed = self.instances.iter().filter(|name| machines.contains_key(*name));
        listed.into_iter().all(|name| self.progress.begun.contains(name))
    }

    /// Cordons and drains instances, and returns those to take down now;
    /// `blocked` names instances that must not be called yet. `machines` was read after
    /// [`Wave::last_outcome_ms`].
    pub fn plan(
        &mut self,
        machines: &IndexMap<InstanceName, MachineView>,
        blocked: &IndexSet<InstanceName>,
        board: &mut Board,
        now_ms: u64,
    ) -> Vec<TakeDownCall> {
        self.release_returned(machines, board, now_ms);
        self.mark_due(machines, board);
        self.start_draining(machines, board, now_ms);
        let mut calls = Vec::new();
        for name in self.draining.clone() {
            let Some(machine) = machines.get(&name) else {
                self.draining.swap_remove(&name);
                continue;
            };
            if let Some(worker) = &machine.worker {
                board.cordon(worker, true);
                board.evict_long_running(worker, now_ms);
            }
            let is_empty = machine.worker.as_ref().is_none_or(|worker| board.is_empty(worker));
            let is_delayed = self.retry_at_ms.get(&name).is_some_and(|at| now_ms < *at);
            if is_empty && machine.is_up() && !is_delayed && !blocked.contains(&name) {
                self.draining.swap_remove(&name);
                self.down.insert(name.clone(), DownInstance::new(machine.worker.clone(), now_ms));
                calls.push(TakeDownCall { instance: name, worker: machine.worker.clone() });
            }
        }
        calls
    }

    /// Records the outcome of a call.
    pub fn record_call(
        &mut self,
        call: &TakeDownCall,
        outcome: TakeDownOutcome,
        board: &mut Board,
        now_ms: u64,
    ) {
        let name = &call.instance;
        self.last_outcome_ms = now_ms;
        match outcome {
            TakeDownOutcome::Begun => {
                self.progress.begun.insert(name.clone());
                let down = DownInstance::new(call.worker.clone(), now_ms);
                self.down.insert(name.clone(), DownInstance { is_confirmed: true, ..down });
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
                self.retry_at_ms.insert(name.clone(), now_ms + RETRY_DELAY_MS);
                self.draining.insert(name.clone());
            }
            // Stays counted as down until the next call gives an outcome.
            TakeDownOutcome::Unknown => {
                self.retry_at_ms.insert(name.clone(), now_ms + RETRY_DELAY_MS);
                self.draining.insert(name.clone());
            }
        }
    }

    /// Drops instances that have returned or are no longer listed, and uncordons the workers
    /// of the former: the worker may be the one that was cordoned if the call that was answered
    /// repeated an earlier one.
    fn release_returned(
        &mut self,
        machines: &IndexMap<InstanceName, MachineView>,
        board: &mut Board,
        now_ms: u64,
    ) {
        let (down_ms, draining) = (self.down_ms, &self.draining);
        self.down.retain(|name, down| {
            let Some(machine) = machines.get(name) else { return false };
            let has_new_worker = machine.worker.is_some() && machine.worker != down.worker;
            let is_overdue = now_ms > down.since_ms + down_ms + RETURN_GRACE_MS;
            down.was_seen_down |= !machine.is_up();
            let is_back =
                down.was_seen_down || has_new_worker || is_overdue || down.has_outlived_call(board);
            let has_returned = machine.is_up() && is_back;
            if has_returned
                && !draining.contains(name)
                && let Some(worker) = &machine.worker
            {
                board.cordon(worker, false);
            }
            !has_returned
        });
    }

    /// Marks the workers still due for maintenance on the board, so that
    /// long-running tasks are placed on others.
    fn mark_due(&self, machines: &IndexMap<InstanceName, MachineView>, board: &mut Board) {
        for name in &self.instances {
            let worker = machines.get(name).and_then(|machine| machine.worker.as_ref());
            let Some(worker) = worker.and_then(|id| board.workers.get_mut(id)) else { continue };
            worker.is_maintenance_due = !self.progress.begun.contains(name);
        }
    }

    /// Chooses instances to drain, as many as the deadline requires.
    fn start_draining(
        &mut self,
        machines: &IndexMap<InstanceName, MachineView>,
        board: &Board,
        now_ms: u64,
    ) {
        // Evacuated instances first: they get no work, so that nothing is lost with them.
        let mut other: Vec<(bool, u64, &InstanceName)> = Vec::new();
        let mut long_running: Vec<(bool, u64, &InstanceName)> = Vec::new();
        let mut idle_evacuated = 0;
        for name in &self.instances {
            let is_taken = self.progress.begun.contains(name)
                || self.draining.contains(name)
                || self.down.contains_key(name)
                || self.earlier_calls.contains(name);
            let Some(machine) = machines.get(name).filter(|machine| !is_taken && machine.is_up())
            else {
                continue;
            };
            let worker = machine.worker.as_ref().and_then(|id| board.workers.get(id));
            let used = worker.map_or(0, |worker| worker.used.cpu_millis);
            let has_long_running =
                machine.worker.as_ref().is_some_and(|id| board.has_long_running(id));
            let list = if has_long_running { &mut long_running } else { &mut other };
            let is_evacuated = board.evacuated().contains(&machine.data_centre);
            idle_evacuated += usize::from(is_evacuated && used == 0);
            list.push((!is_evacuated, used, name));
        }
        other.sort();
        long_running.sort();
        // Long-running tasks are evicted one by one, so their instances take
        // longest to drain.
        let longest = other.len().max(long_running.len());
        let pairs = (0..longest).flat_map(|at| [long_running.get(at), other.get(at)]);
        let waiting: Vec<&InstanceName> = pairs.flatten().map(|(.., name)| *name).collect();
        if waiting.is_empty() {
            return;
        }
        let left_ms = self.due_ms.saturating_sub(now_ms + DRAIN_RESERVE_MS).max(1);
        let budget_ms = left_ms as f64 / DEADLINE_SAFETY_FACTOR;
        let per_instance_ms = (DRAIN_ESTIMATE_MS + self.down_ms) as f64;
        let wanted = (waiting.len() as f64 * per_instance_ms / budget_ms).ceil() as usize;
        let wanted = wanted.max(idle_evacuated).clamp(1, self.max_at_once.max(1) as usize);
        let is_down_by_earlier_owner = |name: &&InstanceName| {
            let Some(machine) = machines.get(*name) else { return false };
            // A call of the earlier owner may be under way.
            let may_go_down = machine.is_up()
                && self.earlier_calls.contains(*name)
                && !self.progress.begun.contains(*name);
            (machine.state == MachineState::Maintenance || may_go_down)
                && !self.is_draining_or_down(name)
        };
        // An earlier owner may have taken instances down. Instances that are moving
        // or have failed don't count towards the wave's limit.
        let down_by_earlier_owner = self.instances.iter().filter(is_down_by_earlier_owner).count();
        let in_progress = self.draining.len() + self.down.len() + down_by_earlier_owner;
        let chosen = waiting.iter().take(wanted.saturating_sub(in_progress));
        let chosen: Vec<InstanceName> = chosen.map(|name| (*name).clone()).collect();
        self.draining.extend(chosen);
    }
}
