//! The stand-in as a [`Platform`] of closures, with its faults applied.

use std::time::Duration;

use bytes::Bytes;
use masticfall_core::id::{DataCentre, InstanceName, JobId};
use masticfall_platform::{
    InstanceList, ObjectStore, Platform, PlatformError, Result, StartTask, TableService,
    Transaction, WorkerPool, operation,
};

use crate::cloud::{Cloud, CloudState};

impl Cloud {
    /// Returns the platform as a process in `data_centre` reaches it.
    pub fn platform(&self, data_centre: &DataCentre) -> Platform {
        let gate = Gate { cloud: self.clone(), data_centre: data_centre.clone() };
        Platform {
            tables: gate.tables(),
            objects: gate.objects(),
            instances: gate.instances(),
            workers: gate.workers(),
        }
    }
}

#[derive(Debug, Clone)]
struct Gate {
    cloud: Cloud,
    data_centre: DataCentre,
}

impl Gate {
    /// Lets an operation through, after the delay in force.
    async fn pass(&self) -> Result<()> {
        let (faults, latency_ms) = {
            let state = self.cloud.state.lock();
            (state.faults.clone(), state.latency_ms)
        };
        let delay_ms = faults.delay_ms + latency_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if faults.down || faults.isolated.contains(&self.data_centre) {
            let reason = "stand-in is down or cut off".to_string();
            return Err(PlatformError::Unavailable { reason });
        }
        Ok(())
    }

    fn reading<A, R>(
        &self,
        read: fn(&mut CloudState, A) -> R,
    ) -> masticfall_platform::Operation<A, R>
    where
        A: Send + 'static,
        R: Send + 'static,
    {
        let gate = self.clone();
        operation(move |argument: A| {
            let gate = gate.clone();
            async move {
                gate.pass().await?;
                Ok(read(&mut gate.cloud.state.lock(), argument))
            }
        })
    }

    fn tables(&self) -> TableService {
        let gate = self.clone();
        let transact = operation(move |transaction: Transaction| {
            let gate = gate.clone();
            async move {
                gate.pass().await?;
                let mut state = gate.cloud.state.lock();
                let commit = state.transact(transaction);
                if state.loses_answer() {
                    let reason = "stand-in lost the answer".to_string();
                    return Err(PlatformError::Unknown { reason });
                }
                Ok(commit)
            }
        });
        let read = self.reading(|state, keys: Vec<String>| {
            keys.iter().map(|key| state.rows.get(key).cloned()).collect()
        });
        let scan = self.reading(|state, prefix: String| state.scan(&prefix));
        TableService { transact, read, scan }
    }

    fn objects(&self) -> ObjectStore {
        ObjectStore {
            put: self.reading(|state, (name, body): (String, Bytes)| {
                state.objects.insert(name, body);
            }),
            get: self.reading(|state, name: String| state.objects.get(&name).cloned()),
        }
    }

    fn instances(&self) -> InstanceList {
        let gate = self.clone();
        let reboot = operation(move |(name, boot): (InstanceName, u64)| {
            let gate = gate.clone();
            async move {
                gate.pass().await?;
                gate.cloud.reboot(&name, boot);
                Ok(())
            }
        });
        InstanceList { list: self.reading(|state, data_centre| state.list(&data_centre)), reboot }
    }

    fn workers(&self) -> WorkerPool {
        let unreachable = || PlatformError::Unknown { reason: "worker unreachable".to_string() };
        let gate = self.clone();
        let start = operation(move |task: StartTask| {
            let gate = gate.clone();
            async move {
                gate.pass().await?;
                gate.cloud.start_task(task).ok_or_else(unreachable)
            }
        });
        let gate = self.clone();
        let renew = operation(move |(worker, lease_ms): (InstanceName, u64)| {
            let gate = gate.clone();
            async move {
                gate.pass().await?;
                gate.cloud.renew_tasks(&worker, lease_ms).ok_or_else(unreachable)
            }
        });
        let gate = self.clone();
        let stop = operation(move |(_, job, attempt): (InstanceName, JobId, u32)| {
            let gate = gate.clone();
            async move {
                gate.pass().await?;
                gate.cloud.stop_task(&job, attempt);
                Ok(())
            }
        });
        WorkerPool { start, renew, stop }
    }
}
