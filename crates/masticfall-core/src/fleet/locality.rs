//! How long a task waits for a worker near its data, or for a rack that holds its group.
//!
//! A task away from the rack of its data, or in a group that is spread over racks, takes a
//! multiple of its time. While the near workers are full, a short wait can therefore end
//! the task sooner than a start elsewhere. A wait is worth it while
//!
//! ```text
//! expected time until near capacity is free + near run < far run
//! ```
//!
//! While other tasks wait for the pool, a far run also delays these, by the capacity that it
//! uses beyond a near one; they use the room that the task leaves meanwhile.
//!
//! The expectation is revised at each pass, and could put the task off again and again. The
//! total wait is therefore limited to what a near run saves, so that a wait in vain costs at
//! most as much. `docs/design/near-workers.md` compares the alternatives.

use super::spec::Resources;
use crate::id::Name;

/// Maximum time for which a task waits for near capacity in total, in milliseconds. By the
/// platform's contract a task must not wait for 3 s while its pool has room for it; the
/// rest covers a scheduling pass and the order.
pub const MAX_WAIT_MS: u64 = 2_000;

/// Minimum time that a wait has to save, in milliseconds: a scheduling tick, within which a
/// free worker may go unnoticed.
const MIN_GAIN_MS: u64 = 100;

/// Part of the age of a run that outlives its expected duration that it is expected to go
/// on for: the longer a run has taken, the longer its rest is likely to be.
const OVERRUN_AGE_RATIO: f64 = 0.25;

/// Maximum number of refused requests that a rack's forecast remembers; each is compared with
/// later requests.
const MAX_REFUSED: usize = 32;

/// Progress from which a run's reported progress determines its expected time left, in percent.
const MIN_PROGRESS_PERCENT: u32 = 5;

/// Returns the expected time left of a run, in milliseconds, from its expected duration and
/// its age.
pub fn expected_left_ms(expected_ms: u64, age_ms: u64) -> u64 {
    let overrun_ms = (age_ms as f64 * OVERRUN_AGE_RATIO) as u64;
    expected_ms.saturating_sub(age_ms).max(overrun_ms)
}

/// Returns the time left of a run by its progress `percent`, which it had reached after
/// `age_ms`; `None` if it has reported too little.
pub fn left_by_progress_ms(percent: u32, age_ms: u64) -> Option<u64> {
    let is_usable = (MIN_PROGRESS_PERCENT..100).contains(&percent) && age_ms > 0;
    is_usable.then(|| age_ms * u64::from(100 - percent) / u64::from(percent))
}

/// Returns the duration of a far run, in milliseconds.
pub fn far_run_ms(near_run_ms: u64, remote_factor: f64) -> u64 {
    (near_run_ms as f64 * remote_factor.max(1.0)) as u64
}

/// A run that ends on a near worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunView {
    /// Expected time left, in milliseconds.
    pub left_ms: u64,
    /// Resources that become free then.
    pub reserved: Resources,
}

/// What a waiting task, or each task of a group, asks a rack for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Resources of each task.
    pub needs: Resources,
    /// Expected duration of a near run, in milliseconds.
    pub run_ms: u64,
    /// Latest start that is of use, in milliseconds from now, exclusive.
    pub before_ms: u64,
    /// Label that a worker must have.
    pub label: Option<Name>,
    /// Number of tasks that have to start together.
    pub tasks: u64,
    /// Limit of the tasks on one worker; 0 means no limit.
    pub max_per_worker: u32,
}

/// Expected free resources of a worker from now on.
#[derive(Debug, Clone)]
struct WorkerForecast {
    worker: usize,
    /// Free resources from a time on, in milliseconds from now, until the time of the next.
    free: Vec<(u64, Resources)>,
}

impl WorkerForecast {
    /// Returns how many tasks of a request fit from segment `at` until they end.
    fn slots(&self, at: usize, from_ms: u64, request: &Request) -> u64 {
        let until_ms = from_ms.saturating_add(request.run_ms.max(1));
        let segments = self.free[at..].iter().take_while(|(at_ms, _)| *at_ms < until_ms);
        let slots = segments.map(|(_, free)| slots(free, &request.needs)).min().unwrap_or(0);
        let limit = u64::from(request.max_per_worker);
        if limit == 0 { slots } else { slots.min(limit) }
    }

    /// Returns the segment that a time is in.
    fn segment_at(&self, ms: u64) -> usize {
        self.free.partition_point(|(at_ms, _)| *at_ms <= ms).saturating_sub(1)
    }

    /// Begins a segment at a time; returns its index.
    fn split(&mut self, ms: u64) -> usize {
        let index = self.segment_at(ms);
        let (at_ms, free) = self.free[index];
        if at_ms == ms {
            return index;
        }
        self.free.insert(index + 1, (ms, free));
        index + 1
    }

    fn book(&mut self, from_ms: u64, run_ms: u64, reserved: &Resources) {
        let first = self.split(from_ms);
        let end = self.split(from_ms.saturating_add(run_ms.max(1)));
        for (_, free) in &mut self.free[first..end] {
            *free = free.minus(reserved);
        }
    }
}

/// Returns how often needs fit into free resources.
pub fn slots(free: &Resources, needs: &Resources) -> u64 {
    let times = |free: u64, needs: u64| free.checked_div(needs).unwrap_or(u64::MAX);
    times(free.cpu_millis, needs.cpu_millis)
        .min(times(free.memory_mib, needs.memory_mib))
        .min(times(free.accelerators, needs.accelerators))
}

/// Expected free resources of the workers of a rack, less what the tasks ahead will take.
#[derive(Debug, Clone, Default)]
pub struct RackForecast {
    workers: Vec<WorkerForecast>,
    /// Requests that found no room, with the time before which none like them does. Only
    /// more tasks are booked within a pass, so others that ask for as much find none either:
    /// thousands of tasks that want a full rack are decided on without a search.
    refused: Vec<(Request, u64)>,
}

/// When and where a request is expected to be met.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opening {
    /// Time from now, in milliseconds.
    pub in_ms: u64,
    /// Workers, with the number of tasks on each.
    pub workers: Vec<(usize, u64)>,
}

impl RackForecast {
    /// Adds a worker, by an index of the caller, with its free resources and its runs.
    pub fn add_worker(&mut self, worker: usize, free: Resources, mut runs: Vec<RunView>) {
        runs.retain(|run| run.left_ms <= MAX_WAIT_MS);
        runs.sort_unstable_by_key(|run| run.left_ms);
        let mut segments: Vec<(u64, Resources)> = vec![(0, free)];
        for run in runs {
            // A run that is expected to have ended hasn't been reported yet.
            let at_ms = run.left_ms.max(1);
            let last = segments[segments.len() - 1];
            let free = last.1.plus(&run.reserved);
            if last.0 == at_ms {
                segments.pop();
            }
            segments.push((at_ms, free));
        }
        self.workers.push(WorkerForecast { worker, free: segments });
    }

    /// Returns when a request is expected to be met, if in time; `is_suitable` tells the
    /// workers that meet the other requirements of the tasks, including the label.
    pub fn opening(
        &mut self,
        request: &Request,
        is_suitable: impl Fn(usize) -> bool,
    ) -> Option<Opening> {
        let is_refused = |(refused, until_ms): &(Request, u64)| {
            request.before_ms <= *until_ms && asks_no_less(request, refused)
        };
        if self.refused.iter().any(is_refused) {
            return None;
        }
        let suitable: Vec<&WorkerForecast> =
            self.workers.iter().filter(|worker| is_suitable(worker.worker)).collect();
        let found = first_opening(&suitable, request);
        if found.is_none() && request.max_per_worker == 0 {
            // However short its runs are, so that the result holds for other durations.
            let least = Request { run_ms: 1, before_ms: MAX_WAIT_MS + 1, ..request.clone() };
            let opening = first_opening(&suitable, &least);
            let until_ms = opening.map_or(u64::MAX, |opening| opening.in_ms);
            if until_ms >= request.before_ms {
                self.refuse(least, until_ms);
            } else {
                self.refuse(request.clone(), request.before_ms);
            }
        }
        found
    }

    fn refuse(&mut self, request: Request, until_ms: u64) {
        self.refused
            .retain(|(other, other_ms)| *other_ms > until_ms || !asks_no_less(other, &request));
        if self.refused.len() < MAX_REFUSED {
            self.refused.push((request, until_ms));
        }
    }

    /// Books resources for the tasks that are expected to start in an opening, so that those
    /// behind them count on what is left.
    pub fn book(&mut self, opening: &Opening, request: &Request) {
        for (worker, tasks) in &opening.workers {
            let reserved = request.needs.times(*tasks);
            self.book_worker(*worker, opening.in_ms, request.run_ms, &reserved);
        }
    }

    /// Books resources of a worker, such as for a task that starts there now.
    pub fn book_worker(&mut self, worker: usize, in_ms: u64, run_ms: u64, reserved: &Resources) {
        if let Some(forecast) = self.workers.iter_mut().find(|other| other.worker == worker) {
            forecast.book(in_ms, run_ms, reserved);
        }
    }
}

/// Returns whether a request can't be met earlier than the other one.
fn asks_no_less(request: &Request, other: &Request) -> bool {
    request.label == other.label
        && other.needs.fits(&request.needs)
        && request.run_ms >= other.run_ms
        && request.tasks >= other.tasks
}

/// Returns the first opening in time.
fn first_opening(workers: &[&WorkerForecast], request: &Request) -> Option<Opening> {
    if request.tasks == 1 { first_slot(workers, request) } else { first_slots(workers, request) }
}

/// Returns the first opening for one task.
fn first_slot(workers: &[&WorkerForecast], request: &Request) -> Option<Opening> {
    let openings = workers.iter().filter_map(|forecast| {
        let times = forecast.free.iter().enumerate();
        let mut in_time = times.take_while(|(_, (at_ms, _))| *at_ms < request.before_ms);
        let (_, (at_ms, _)) =
            in_time.find(|(at, (at_ms, _))| forecast.slots(*at, *at_ms, request) > 0)?;
        Some((*at_ms, forecast.worker))
    });
    let (in_ms, worker) = openings.min()?;
    Some(Opening { in_ms, workers: vec![(worker, 1)] })
}

/// Returns the first opening for all tasks of a group at once.
fn first_slots(workers: &[&WorkerForecast], request: &Request) -> Option<Opening> {
    let times = workers.iter().flat_map(|forecast| forecast.free.iter().map(|(at_ms, _)| *at_ms));
    let mut times: Vec<u64> = times.filter(|at_ms| *at_ms < request.before_ms).collect();
    times.sort_unstable();
    times.dedup();
    times.into_iter().find_map(|in_ms| {
        let mut left = request.tasks;
        let mut chosen = Vec::new();
        for forecast in workers {
            let tasks = forecast.slots(forecast.segment_at(in_ms), in_ms, request).min(left);
            if tasks > 0 {
                chosen.push((forecast.worker, tasks));
                left -= tasks;
            }
        }
        (left == 0).then_some(Opening { in_ms, workers: chosen })
    })
}

/// What the decision about a task, or a group, depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitInput {
    /// Expected duration of a near run, in milliseconds.
    pub run_ms: u64,
    /// Multiple of it that a far run takes.
    pub remote_factor: f64,
    /// Time for which the task has waited for near capacity while far workers had room for
    /// it, in milliseconds.
    pub held_ms: u64,
    /// Time that the pool needs for the tasks that wait for any worker, in milliseconds.
    pub backlog_ms: u64,
    /// Time until the run has to end for the job to meet its objective, in milliseconds;
    /// negative if it can't.
    pub due_in_ms: i64,
}

impl WaitInput {
    /// Returns the time that a near run saves the task, in milliseconds.
    pub fn saved_ms(&self) -> u64 {
        far_run_ms(self.run_ms, self.remote_factor) - self.run_ms
    }

    /// Returns the time that a near run saves the task and those that wait, in milliseconds.
    ///
    /// A far run uses `remote_factor - 1` near runs more of the pool's capacity, and delays
    /// each of the waiting tasks by that, divided by the capacity. Over all of them this is
    /// the part `remote_factor - 1` of the backlog.
    fn saved_for_all_ms(&self) -> u64 {
        let all_ms = self.run_ms.saturating_add(self.backlog_ms);
        far_run_ms(all_ms, self.remote_factor) - all_ms
    }

    /// Returns the time for which the task may still wait, in milliseconds.
    pub fn budget_ms(&self) -> u64 {
        let limit_ms = self.saved_for_all_ms().min(MAX_WAIT_MS);
        let budget_ms = limit_ms.saturating_sub(self.held_ms);
        let far_ms = far_run_ms(self.run_ms, self.remote_factor);
        let slack_ms = self.due_in_ms.saturating_sub_unsigned(far_ms);
        match u64::try_from(slack_ms) {
            // A far start after a wait in vain still has to meet the objective, unless it makes
            // others miss theirs.
            Ok(slack_ms) => {
                let saved_for_others_ms = self.saved_for_all_ms() - self.saved_ms();
                budget_ms.min(slack_ms.saturating_add(saved_for_others_ms))
            }
            // A far start misses it in any case.
            Err(_) => budget_ms,
        }
    }

    /// Returns the time within which near capacity has to become free to be worth waiting
    /// for, in milliseconds, exclusive.
    pub fn before_ms(&self) -> u64 {
        let worth_ms = (self.saved_for_all_ms() + 1).saturating_sub(MIN_GAIN_MS);
        self.budget_ms().min(worth_ms)
    }
}

/// What to do with a task, or a group, that has room on far workers now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Near workers have room.
    TakeNear,
    /// Wait for near capacity.
    Wait {
        /// When the wait ends at the latest, by the local clock.
        until_ms: u64,
    },
    /// Start on a far worker.
    TakeFar,
}

/// Decides about a task or a group for which near capacity is expected in `near_in_ms`
/// milliseconds; `None` means not in time to be of use.
pub fn decide(input: WaitInput, near_in_ms: Option<u64>, now_ms: u64) -> Decision {
    match near_in_ms {
        Some(0) => Decision::TakeNear,
        Some(in_ms) if in_ms < input.before_ms() => {
            Decision::Wait { until_ms: now_ms + input.budget_ms() }
        }
        _ => Decision::TakeFar,
    }
}

/// What became of tasks that ask for near workers, as they were placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NearOutcome {
    /// Tasks placed away from their data, or in a group that is spread over racks.
    pub far: u64,
    /// Tasks that had waited for near workers.
    pub waited: u64,
    /// Sum of their waits, in milliseconds.
    pub waited_ms: u64,
    /// Longest of their waits, in milliseconds.
    pub longest_wait_ms: u64,
    /// Time that the waits saved, by the expected durations, in milliseconds.
    pub gained_ms: u64,
    /// Time lost by waits that saved less than they took, in milliseconds.
    pub lost_ms: u64,
}

impl NearOutcome {
    /// Records a task placed after it waited for `waited_ms`, if it did, where a near run saves
    /// `saved_ms`.
    pub fn record(&mut self, is_far: bool, waited_ms: Option<u64>, saved_ms: u64) {
        self.far += u64::from(is_far);
        let Some(waited_ms) = waited_ms else { return };
        let saved_ms = if is_far { 0 } else { saved_ms };
        self.waited += 1;
        self.waited_ms += waited_ms;
        self.longest_wait_ms = self.longest_wait_ms.max(waited_ms);
        self.gained_ms += saved_ms.saturating_sub(waited_ms);
        self.lost_ms += waited_ms.saturating_sub(saved_ms);
    }
}
