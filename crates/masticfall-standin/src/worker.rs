//! Stand-in workers, which run leased tasks for a configured duration.

use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use masticfall_core::id::{InstanceName, JobId};
use masticfall_platform::{StartOutcome, StartTask, TaskState, TaskStatus};
use tokio::time::Instant;

use crate::cloud::Cloud;

/// Run time of a task whose payload does not set one, in milliseconds.
const DEFAULT_TASK_MS: u64 = 50;

#[derive(Debug)]
struct Task {
    worker: InstanceName,
    state: TaskState,
    lease_deadline: Instant,
}

/// All tasks that were started on workers, by job and attempt.
#[derive(Debug, Default)]
pub(crate) struct WorkerTasks {
    tasks: IndexMap<(JobId, u32), Task>,
}

impl WorkerTasks {
    pub(crate) fn finished_attempts(&self) -> Vec<(String, u32)> {
        let finished = self.tasks.iter().filter(|(_, task)| task.state == TaskState::Finished);
        finished.map(|((job, attempt), _)| (job.to_string(), *attempt)).collect()
    }

    fn statuses(&self, worker: &InstanceName) -> Vec<TaskStatus> {
        let tasks = self.tasks.iter().filter(|(_, task)| task.worker == *worker);
        let statuses = tasks.map(|((job, attempt), task)| TaskStatus {
            job: job.clone(),
            attempt: *attempt,
            state: task.state,
        });
        statuses.collect()
    }
}

impl Cloud {
    /// Starts a task; `None` when the worker cannot be reached.
    pub(crate) fn start_task(&self, start: StartTask) -> Option<StartOutcome> {
        let mut state = self.state.lock();
        if state.faults.unreachable_workers.contains(&start.worker) {
            return None;
        }
        if state.instances.get(&start.worker).is_none_or(|worker| worker.state.is_none()) {
            return Some(StartOutcome::Refused);
        }
        let key = (start.job.clone(), start.attempt);
        if state.workers.tasks.contains_key(&key) {
            return Some(StartOutcome::Started);
        }
        let lease_deadline = Instant::now() + Duration::from_millis(start.lease_ms);
        let task = Task { worker: start.worker.clone(), state: TaskState::Running, lease_deadline };
        state.workers.tasks.insert(key, task);
        let payload = state.objects.get(&*start.payload).cloned().unwrap_or_default();
        if String::from_utf8_lossy(&payload).contains("crash_worker") {
            // Everything on the worker ends, and it is not reached again.
            state.faults.unreachable_workers.insert(start.worker.clone());
            state.workers.tasks.retain(|_, task| task.worker != start.worker);
            return Some(StartOutcome::Started);
        }
        drop(state);
        let cloud = self.clone();
        tokio::spawn(async move { cloud.run_task(start, payload).await });
        Some(StartOutcome::Started)
    }

    async fn run_task(&self, start: StartTask, payload: Bytes) {
        let text = String::from_utf8_lossy(&payload).into_owned();
        let done_at = Instant::now() + Duration::from_millis(task_duration_ms(&text));
        let key = (start.job.clone(), start.attempt);
        loop {
            let wake_at = {
                let mut state = self.state.lock();
                let failing = state.faults.failing_workers.contains(&start.worker);
                let Some(task) = state.workers.tasks.get_mut(&key) else {
                    return;
                };
                if task.state != TaskState::Running {
                    return;
                }
                if Instant::now() >= task.lease_deadline {
                    task.state = TaskState::Stopped;
                    return;
                }
                if Instant::now() >= done_at {
                    task.state = if failing || text.contains("fail") {
                        TaskState::Failed
                    } else {
                        TaskState::Finished
                    };
                    if task.state == TaskState::Finished {
                        let result = Bytes::from(format!("result of {text}"));
                        state.objects.insert(start.result.to_string(), result);
                    }
                    return;
                }
                task.lease_deadline.min(done_at)
            };
            tokio::time::sleep_until(wake_at).await;
        }
    }

    /// Renews the leases of a worker's tasks and returns their states; `None` when the worker
    /// cannot be reached.
    pub(crate) fn renew_tasks(
        &self,
        worker: &InstanceName,
        lease_ms: u64,
    ) -> Option<Vec<TaskStatus>> {
        let mut state = self.state.lock();
        if state.faults.unreachable_workers.contains(worker) {
            return None;
        }
        let deadline = Instant::now() + Duration::from_millis(lease_ms);
        for task in state.workers.tasks.values_mut().filter(|task| task.worker == *worker) {
            task.lease_deadline = deadline;
        }
        Some(state.workers.statuses(worker))
    }

    /// Stops a running task.
    pub(crate) fn stop_task(&self, job: &JobId, attempt: u32) {
        let mut state = self.state.lock();
        if let Some(task) = state.workers.tasks.get_mut(&(job.clone(), attempt))
            && task.state == TaskState::Running
        {
            task.state = TaskState::Stopped;
        }
    }
}

/// Returns the run time set by `run_ms=N` in a payload, or the default.
fn task_duration_ms(payload: &str) -> u64 {
    let value = payload.split_whitespace().find_map(|word| word.strip_prefix("run_ms="));
    value.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_TASK_MS)
}
