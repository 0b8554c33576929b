//! Simulated provider of instances.

use std::sync::Arc;

use masticfall_core::id::{InstanceName, Name, PoolName, WaveName};
use masticfall_platform::error::UnavailableSnafu;
use masticfall_platform::fleet::{Machine, MachineCall, MachineOutcome, MachineState};
use masticfall_platform::operation_on;

use super::crash::CrashPlan;
use super::{CALL_LATENCY_MS, CALL_TIMEOUT_MS, CAPACITY, World, sleep_ms};

/// Time for which an instance is down for maintenance, in milliseconds.
const MAINTENANCE_MS: u64 = 2_000;

/// How the instance provider handles calls that change instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProviderMode {
    /// Reports each instance as busy.
    #[default]
    Busy,
    /// Takes instances down for maintenance, once in a wave.
    Maintains,
    /// The same, without a response.
    LosesResponses,
}

/// A call that changes an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineCallRecord {
    /// Instance to change.
    pub instance: InstanceName,
    /// Lease holder that made the call.
    pub holder: Name,
    /// Time of the call, in milliseconds of simulated time.
    pub at_ms: u64,
}

impl World {
    /// Sets the number of instances listed in the standby pool `spare`.
    pub fn set_standby(&self, instances: usize) {
        self.state.lock().standby = instances;
    }

    /// Sets whether the instance provider fails to list instances.
    pub fn set_provider_down(&self, is_down: bool) {
        self.state.lock().is_provider_down = is_down;
    }

    /// Sets how the instance provider handles calls that change instances.
    pub fn set_provider(&self, mode: ProviderMode) {
        self.state.lock().provider_mode = mode;
    }

    /// Returns the number of instances whose maintenance has begun.
    pub fn maintained_instances(&self) -> usize {
        self.state.lock().maintained.len()
    }

    /// Makes each change of an instance wait for a connection for `ms` milliseconds.
    pub fn set_provider_connect_ms(&self, ms: u64) {
        self.state.lock().provider_connect_ms = ms;
    }

    /// Returns all calls that change instances so far.
    pub fn machine_calls(&self) -> Vec<MachineCallRecord> {
        self.state.lock().machine_calls.clone()
    }

    /// Records each call and handles it according to the [`ProviderMode`].
    pub(super) fn change_machine(
        self: &Arc<Self>,
    ) -> masticfall_platform::Operation<MachineCall, MachineOutcome> {
        operation_on(self, move |world, call: MachineCall| async move {
            let connect_ms = world.state.lock().provider_connect_ms;
            sleep_ms(connect_ms).await;
            let MachineCall { instance, wave, holder, may_send, .. } = call;
            if !may_send() {
                return Ok(MachineOutcome::NotSent);
            }
            sleep_ms(CALL_LATENCY_MS).await;
            let at_ms = world.now_ms();
            let record = MachineCallRecord { instance: instance.clone(), holder, at_ms };
            let mode = {
                let mut state = world.state.lock();
                state.machine_calls.push(record);
                state.provider_mode
            };
            let Some(wave) = wave.filter(|_| mode != ProviderMode::Busy) else {
                return Ok(MachineOutcome::Busy);
            };
            world.maintain(wave, &instance);
            if mode == ProviderMode::LosesResponses {
                sleep_ms(CALL_TIMEOUT_MS).await;
                return Ok(MachineOutcome::Unknown);
            }
            Ok(MachineOutcome::Done)
        })
    }

    /// Takes an instance down, unless the wave has done so before.
    fn maintain(self: &Arc<Self>, wave: WaveName, instance: &InstanceName) {
        let worker = {
            let mut state = self.state.lock();
            let is_first = state.maintained.insert((wave, instance.clone()));
            let mut workers = state.workers.iter().filter(|_| is_first);
            let worker = workers.find(|(_, worker)| worker.instance == *instance);
            worker.map(|(id, _)| id.clone())
        };
        if let Some(worker) = worker {
            let plan = CrashPlan { down_ms: MAINTENANCE_MS, ..CrashPlan::default() };
            self.crash(worker, None, plan);
        }
    }

    pub(super) fn machines(self: &Arc<Self>) -> masticfall_platform::Operation<(), Vec<Machine>> {
        operation_on(self, move |world, ()| async move {
            sleep_ms(CALL_LATENCY_MS).await;
            let state = world.state.lock();
            if state.is_provider_down {
                return UnavailableSnafu { reason: "the instance provider is down" }.fail();
            }
            let standby = (0..state.standby).map(|number| Machine {
                instance: InstanceName::from(format!("s{number}")),
                pool: PoolName::from("spare"),
                state: MachineState::Up,
                data_centre: "dc".into(),
                capacity: CAPACITY,
                worker: None,
            });
            let machines = state.workers.values().map(|worker| Machine {
                instance: worker.instance.clone(),
                pool: worker.facts.pool.clone(),
                state: match worker.crashed {
                    Some(_) => MachineState::Maintenance,
                    None => MachineState::Up,
                },
                data_centre: worker.facts.data_centre.clone(),
                capacity: worker.facts.capacity,
                worker: Some(worker.facts.id.clone()),
            });
            Ok(machines.chain(standby).collect())
        })
    }
}
