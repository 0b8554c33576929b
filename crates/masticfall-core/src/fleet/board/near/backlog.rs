//! Work that waits for each pool, which far runs delay.

use indexmap::IndexMap;

use super::{Board, Job};
use crate::id::PoolName;

/// Tasks of a pool that wait for a worker.
#[derive(Debug, Clone, Copy, Default)]
struct WaitingTasks {
    /// Processor capacity that they need, in thousandths of a core.
    millis: u64,
    /// The same times their expected durations in milliseconds.
    work: u64,
}

impl WaitingTasks {
    /// Adds the tasks of a job.
    fn add(&mut self, job: &Job) {
        for (number, occurrence) in &job.occurrences {
            for (index, step) in occurrence.steps.iter().enumerate() {
                let waiting = u64::from(step.counts().waiting);
                let spec = &job.record.spec.steps[index];
                if waiting > 0 && !spec.is_long_running && job.is_step_ready(*number, index) {
                    let millis = spec.reserved().cpu_millis.saturating_mul(waiting);
                    let run_ms = Board::expected_run_ms(job, index as u32);
                    self.millis = self.millis.saturating_add(millis);
                    self.work = self.work.saturating_add(millis.saturating_mul(run_ms));
                }
            }
        }
    }

    /// Returns the time that a pool needs for the tasks, in milliseconds.
    fn backlog_ms(&self, total_millis: u64, free_millis: u64) -> u64 {
        if self.millis <= free_millis {
            return 0;
        }
        self.work.checked_div(total_millis).unwrap_or_default()
    }
}

impl Board {
    /// Updates the backlog of each pool: the work of its waiting tasks, if they need more than
    /// its free capacity. Otherwise they only wait for near workers, and are delayed by nobody.
    pub(in crate::fleet::board) fn update_near_backlogs(&mut self, now_ms: u64) {
        let Some(config) = self.config.as_ref().filter(|_| self.locality.remote_factor > 1.0)
        else {
            return;
        };
        let mut waiting: IndexMap<PoolName, WaitingTasks> = IndexMap::new();
        for job in self.jobs.values().filter(|job| job.has_ready_tasks()) {
            let Some(queue) = config.queues.get(&job.record.queue) else { continue };
            waiting.entry(queue.pool.clone()).or_default().add(job);
        }
        let mut capacities: IndexMap<&PoolName, (u64, u64)> = IndexMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_schedulable(now_ms)) {
            let (total, free) = capacities.entry(&worker.facts.pool).or_default();
            *total += worker.facts.capacity.cpu_millis;
            *free += worker.free().cpu_millis;
        }
        let backlogs = waiting.into_iter().filter_map(|(pool, tasks)| {
            let (total, free) = *capacities.get(&pool)?;
            Some((pool, tasks.backlog_ms(total, free)))
        });
        self.locality.backlogs_ms = backlogs.collect();
    }
}
