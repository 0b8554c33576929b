//! Simulated workers.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::fleet::report::{
    ActiveRun, MAX_REPORTED_ENDS, RunEnd, StartOutcome, StopOutcome, WorkerReport,
};
use masticfall_core::fleet::spec::Resources;
use masticfall_core::id::{Name, WorkerId};
use masticfall_platform::error::UnavailableSnafu;
use masticfall_platform::fleet::{PollCall, PollOutcome, RunCall, StartCall};
use masticfall_platform::{Operation, operation_on};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::links::WorkerCall;
use super::{
    CALL_LATENCY_MS, CALL_TIMEOUT_MS, RunRecord, SimulatedRun, World, WorldState, sleep_ms,
};

/// Delay of a delayed start, in milliseconds.
const START_DELAY_MS: u64 = 3_000;

/// Longest time between two checks for ended runs during a poll, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

impl WorldState {
    fn start(&mut self, call: &StartCall, now_ms: u64) -> StartOutcome {
        self.advance(now_ms);
        let max_lease_ms = self.max_lease_ms;
        let Some(spec) = self.specs.get(&call.task.job) else { return StartOutcome::Invalid };
        let step = spec.steps[call.task.step as usize].clone();
        let Some(worker) = self.workers.get_mut(&call.worker) else {
            return StartOutcome::WrongWorker;
        };
        if worker.crashed.is_some() {
            return StartOutcome::Unreached;
        }
        if !worker.is_meant(call.born_wall_ms) {
            return StartOutcome::WrongWorker;
        }
        if call.fencing_token < worker.fencing_token {
            return StartOutcome::Fenced;
        }
        worker.fencing_token = call.fencing_token;
        if call.lease_deadline_ms <= worker.clock_ms(now_ms) {
            return StartOutcome::Late;
        }
        let key = (call.task.clone(), call.attempt);
        if worker.running.contains_key(&key) {
            return StartOutcome::Started;
        }
        let highest = worker.highest_closed_attempts.get(&call.task).copied().unwrap_or_default();
        if call.attempt <= highest {
            return StartOutcome::Superseded;
        }
        let running = worker.running.values().map(|run| self.record[run.record_index].needs);
        let used = running.fold(Resources::default(), |sum, needs| sum.plus(&needs));
        if !step.needs.fits(&worker.facts.capacity.minus(&used)) {
            return StartOutcome::NoRoom;
        }
        worker.mark_lapsed_ends(&mut self.record, now_ms);
        worker.extend_lease(call.lease_deadline_ms, max_lease_ms, now_ms);
        let record_index = self.record.len();
        let done_ms = if step.is_long_running { u64::MAX } else { now_ms + step.estimate_ms };
        worker.running.insert(key, SimulatedRun { record_index, done_ms, pace_percent: 100 });
        self.record.push(RunRecord {
            task: call.task.clone(),
            attempt: call.attempt,
            worker: call.worker.clone(),
            started_ms: now_ms,
            ended: None,
            acknowledged_ms: None,
            lapsed_unacknowledged: false,
            needs: step.needs,
        });
        StartOutcome::Started
    }

    fn stop(&mut self, call: &RunCall, now_ms: u64) -> StopOutcome {
        self.advance(now_ms);
        let Some(worker) = self.workers.get_mut(&call.worker) else {
            return StopOutcome::WrongWorker;
        };
        if call.fencing_token < worker.fencing_token {
            return StopOutcome::Fenced;
        }
        worker.fencing_token = call.fencing_token;
        let highest = worker.highest_closed_attempts.entry(call.task.clone()).or_default();
        *highest = (*highest).max(call.attempt);
        worker.end(&mut self.record, &(call.task.clone(), call.attempt), now_ms, RunEnd::Stopped);
        StopOutcome::Accepted
    }

    fn pace(&mut self, call: &RunCall) {
        let worker = self.workers.get_mut(&call.worker);
        let key = (call.task.clone(), call.attempt);
        if let Some(run) = worker.and_then(|worker| worker.running.get_mut(&key)) {
            run.pace_percent = call.pace_percent;
        }
    }

    /// Returns whether a worker gives no response. An unknown one was replaced by another
    /// worker, which answers at its address.
    fn is_unresponsive(&self, worker: &WorkerId) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|worker| worker.is_unresponsive || worker.crashed.is_some())
    }

    /// Returns whether calls to a worker fail at once.
    fn refuses(&self, worker: &WorkerId) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|worker| worker.crashed.is_some_and(|plan| !plan.is_dark))
    }
}

pub(super) fn start(world: &Arc<World>, process: &Name) -> Operation<StartCall, StartOutcome> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), call: StartCall| async move {
        sleep_ms(CALL_LATENCY_MS).await;
        if !world.carries(&process, &WorkerCall::Start(call.clone())) {
            sleep_ms(CALL_TIMEOUT_MS).await;
            return Ok(StartOutcome::Unknown);
        }
        let is_delayed = {
            let mut state = world.state.lock();
            state.starts += 1;
            state.delayed_start_every > 0 && state.starts.is_multiple_of(state.delayed_start_every)
        };
        if world.state.lock().refuses(&call.worker) {
            return Ok(StartOutcome::Unreached);
        }
        if world.state.lock().is_unresponsive(&call.worker) {
            sleep_ms(CALL_TIMEOUT_MS).await;
            return Ok(StartOutcome::Unknown);
        }
        if is_delayed {
            let delayed_world = Arc::clone(&world);
            tokio::spawn(async move {
                sleep_ms(START_DELAY_MS).await;
                let now_ms = delayed_world.now_ms();
                let outcome = delayed_world.state.lock().start(&call, now_ms);
                crash_if_due(&delayed_world, &call, outcome);
            });
            sleep_ms(CALL_TIMEOUT_MS).await;
            return Ok(StartOutcome::Unknown);
        }
        let now_ms = world.now_ms();
        let outcome = world.state.lock().start(&call, now_ms);
        if crash_if_due(&world, &call, outcome) {
            return Ok(StartOutcome::Unknown);
        }
        sleep_ms(CALL_LATENCY_MS).await;
        Ok(outcome)
    })
}

/// Crashes the worker of a task that does so; returns whether the response is lost.
fn crash_if_due(world: &Arc<World>, call: &StartCall, outcome: StartOutcome) -> bool {
    let crashing = world.state.lock().crashing_tasks.get(&call.task).copied();
    let Some(crashing) = crashing.filter(|_| outcome == StartOutcome::Started) else {
        return false;
    };
    let (world, task, worker) = (Arc::clone(world), call.task.clone(), call.worker.clone());
    if crashing.loses_response {
        world.crash(worker, Some(task), crashing.plan);
        return true;
    }
    tokio::spawn(async move {
        sleep_ms(crashing.after_ms).await;
        world.crash(worker, Some(task), crashing.plan);
    });
    false
}

pub(super) fn stop(world: &Arc<World>, process: &Name) -> Operation<RunCall, StopOutcome> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), call: RunCall| async move {
        sleep_ms(CALL_LATENCY_MS).await;
        if !world.carries(&process, &WorkerCall::Stop(call.clone())) {
            sleep_ms(CALL_TIMEOUT_MS).await;
            return Ok(StopOutcome::Unknown);
        }
        if world.state.lock().is_unresponsive(&call.worker) {
            sleep_ms(CALL_TIMEOUT_MS).await;
            return Ok(StopOutcome::Unknown);
        }
        let now_ms = world.now_ms();
        let outcome = world.state.lock().stop(&call, now_ms);
        world.changed.notify_waiters();
        Ok(outcome)
    })
}

pub(super) fn pace(world: &Arc<World>, process: &Name) -> Operation<RunCall, StopOutcome> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), call: RunCall| async move {
        sleep_ms(CALL_LATENCY_MS).await;
        if !world.carries(&process, &WorkerCall::Pace(call.clone())) {
            sleep_ms(CALL_TIMEOUT_MS).await;
            return Ok(StopOutcome::Unknown);
        }
        world.state.lock().pace(&call);
        Ok(StopOutcome::Accepted)
    })
}

pub(super) fn poll(world: &Arc<World>, process: &Name) -> Operation<PollCall, PollOutcome> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), call: PollCall| async move {
        sleep_ms(CALL_LATENCY_MS).await;
        let until = Instant::now() + Duration::from_millis(call.wait_ms);
        let mut is_lost = !world.carries(&process, &WorkerCall::Poll(call.clone()));
        loop {
            is_lost |= !world.state.lock().worker_links.is_open(&process, call.address);
            if is_lost {
                sleep_until(until + Duration::from_millis(CALL_TIMEOUT_MS)).await;
                return UnavailableSnafu { reason: "the link to the worker is cut" }.fail();
            }
            if world.state.lock().refuses(&call.worker) {
                return UnavailableSnafu { reason: "the connection was reset" }.fail();
            }
            if world.state.lock().is_unresponsive(&call.worker) {
                sleep_ms(CALL_TIMEOUT_MS).await;
                return UnavailableSnafu { reason: "the worker does not respond" }.fail();
            }
            let outcome = poll_once(&world, &call);
            let is_over = Instant::now() >= until;
            match outcome {
                PollOutcome::Report(report) if report.ended.is_empty() && !is_over => {}
                outcome => {
                    sleep_ms(CALL_LATENCY_MS).await;
                    return Ok(outcome);
                }
            }
            let next_check = Instant::now() + Duration::from_millis(CHECK_INTERVAL_MS);
            // A time-out is the usual case.
            drop(timeout_at(next_check.min(until), world.changed.notified()).await);
        }
    })
}

/// Carries out a call that was held on its way, and whose caller has given up.
pub(super) fn carry_out(world: &Arc<World>, call: &WorkerCall) {
    if world.state.lock().is_unresponsive(call.worker()) {
        return;
    }
    let now_ms = world.now_ms();
    match call {
        WorkerCall::Start(call) => {
            let outcome = world.state.lock().start(call, now_ms);
            crash_if_due(world, call, outcome);
        }
        WorkerCall::Stop(call) => {
            world.state.lock().stop(call, now_ms);
        }
        WorkerCall::Pace(call) => world.state.lock().pace(call),
        WorkerCall::Poll(call) => drop(poll_once(world, call)),
    }
}

fn poll_once(world: &World, call: &PollCall) -> PollOutcome {
    let now_ms = world.now_ms();
    let mut state = world.state.lock();
    state.advance(now_ms);
    let max_lease_ms = state.max_lease_ms;
    let WorldState { workers, record, .. } = &mut *state;
    let Some(worker) = workers.get_mut(&call.worker) else { return PollOutcome::WrongWorker };
    if call.fencing_token < worker.fencing_token {
        return PollOutcome::Fenced;
    }
    worker.fencing_token = call.fencing_token;
    worker.mark_lapsed_ends(record, now_ms);
    if worker.is_meant(call.born_wall_ms) {
        if let Some(deadline_ms) = call.lease_deadline_ms {
            worker.extend_lease(deadline_ms, max_lease_ms, now_ms);
        }
        worker.acknowledge(record, call.ack_cursor, now_ms);
    }
    let running = worker.running.keys().map(|(task, attempt)| ActiveRun {
        task: task.clone(),
        attempt: *attempt,
        checkpoint: None,
        percent: 100,
        load: 0,
    });
    PollOutcome::Report(WorkerReport {
        clock_ms: worker.clock_ms(now_ms),
        born_wall_ms: worker.facts.born_wall_ms,
        running: running.collect(),
        ended: worker.ended.iter().take(MAX_REPORTED_ENDS).cloned().collect(),
    })
}
