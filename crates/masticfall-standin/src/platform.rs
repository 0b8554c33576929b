//! Exposes the stand-in as a [`Platform`] and applies the active faults.

use std::time::Duration;

use bytes::Bytes;
use masticfall_core::id::{DataCentre, InstanceName, JobId};
use masticfall_platform::{
    InstanceList, ObjectStore, Platform, PlatformError, Result, StartTask, TableService,
    Transaction, WorkerPool, operation,
};

use crate::cloud::{Cloud, CloudState};

impl Cloud {
    /// Returns the platform as seen by a process in `data_centre`.
    pub fn platform(&self, data_centre: &DataCentre) -> Platform {
        let endpoint = Endpoint { cloud: self.clone(), data_centre: data_centre.clone() };
        Platform {
            tables: endpoint.tables(),
            objects: endpoint.objects(),
            instances: endpoint.instances(),
            workers: endpoint.workers(),
        }
    }
}

#[derive(Debug, Clone)]
struct Endpoint {
    cloud: Cloud,
    data_centre: DataCentre,
}

impl Endpoint {
    /// Waits for the latency, and fails while the platform is down or the data centre isolated.
    async fn apply_faults(&self) -> Result<()> {
        let (faults, latency_ms) = {
            let state = self.cloud.state.lock();
            (state.faults.clone(), state.latency_ms)
        };
        let delay_ms = faults.delay_ms + latency_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if faults.down || faults.isolated.contains(&self.data_centre) {
            let reason = "stand-in platform is down, or the data centre is isolated".to_string();
            return Err(PlatformError::Unavailable { reason });
        }
        Ok(())
    }

    /// Returns an operation on the state that is subject to the active faults.
    fn operation_on_state<A, R>(
        &self,
        apply: fn(&mut CloudState, A) -> R,
    ) -> masticfall_platform::Operation<A, R>
    where
        A: Send + 'static,
        R: Send + 'static,
    {
        let endpoint = self.clone();
        operation(move |argument: A| {
            let endpoint = endpoint.clone();
            async move {
                endpoint.apply_faults().await?;
                Ok(apply(&mut endpoint.cloud.state.lock(), argument))
            }
        })
    }

    fn tables(&self) -> TableService {
        let endpoint = self.clone();
        let transact = operation(move |transaction: Transaction| {
            let endpoint = endpoint.clone();
            async move {
                endpoint.apply_faults().await?;
                let mut state = endpoint.cloud.state.lock();
                let commit = state.transact(transaction);
                if state.loses_response() {
                    let reason = "stand-in platform lost the response".to_string();
                    return Err(PlatformError::Unknown { reason });
                }
                Ok(commit)
            }
        });
        let read = self.operation_on_state(|state, keys: Vec<String>| {
            keys.iter().map(|key| state.rows.get(key).cloned()).collect()
        });
        let scan = self.operation_on_state(|state, prefix: String| state.scan(&prefix));
        TableService { transact, read, scan }
    }

    fn objects(&self) -> ObjectStore {
        ObjectStore {
            put: self.operation_on_state(|state, (name, body): (String, Bytes)| {
                state.objects.insert(name, body);
            }),
            get: self.operation_on_state(|state, name: String| state.objects.get(&name).cloned()),
        }
    }

    fn instances(&self) -> InstanceList {
        let endpoint = self.clone();
        let reboot = operation(move |(name, boot): (InstanceName, u64)| {
            let endpoint = endpoint.clone();
            async move {
                endpoint.apply_faults().await?;
                endpoint.cloud.reboot(&name, boot);
                Ok(())
            }
        });
        InstanceList {
            list: self.operation_on_state(|state, data_centre| state.list(&data_centre)),
            reboot,
        }
    }

    fn workers(&self) -> WorkerPool {
        let unreachable = || PlatformError::Unknown { reason: "worker unreachable".to_string() };
        let endpoint = self.clone();
        let start = operation(move |task: StartTask| {
            let endpoint = endpoint.clone();
            async move {
                endpoint.apply_faults().await?;
                endpoint.cloud.start_task(task).ok_or_else(unreachable)
            }
        });
        let endpoint = self.clone();
        let renew = operation(move |(worker, lease_ms): (InstanceName, u64)| {
            let endpoint = endpoint.clone();
            async move {
                endpoint.apply_faults().await?;
                endpoint.cloud.renew_tasks(&worker, lease_ms).ok_or_else(unreachable)
            }
        });
        let endpoint = self.clone();
        let stop = operation(move |(_, job, attempt): (InstanceName, JobId, u32)| {
            let endpoint = endpoint.clone();
            async move {
                endpoint.apply_faults().await?;
                endpoint.cloud.stop_task(&job, attempt);
                Ok(())
            }
        });
        WorkerPool { start, renew, stop }
    }
}
