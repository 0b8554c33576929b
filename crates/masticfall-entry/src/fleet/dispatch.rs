//! Carries out the board's decisions: stores progress, sends orders to workers,
//! and polls workers for reports.

mod load;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfall_core::fleet::board::{
    AdviceRequest, Batch, BatchWrite, Board, Notice, Order, PaceOrder, StartOrder, StopOrder,
};
use masticfall_core::fleet::passes::{PassTiming, pause_after};
use masticfall_core::fleet::progress::ProgressRow;
use masticfall_core::fleet::report::{StartOutcome, StopOutcome};
use masticfall_core::id::{Name, WorkerId};
use masticfall_platform::PlatformError;
use masticfall_platform::fleet::{AdviceCall, PollCall, PollOutcome, RowKey, RunCall, StartCall};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::context::{Fleet, InFlightGuard};
use super::fence::ProgressFence;
use super::hedge;
use super::leadership::{self, WriteSequence};
use super::notices;
use super::relay::{self, CallTarget, PollError, RelayCall};
use super::rows::{BATCH_KEY, encode_row, progress_call_row_key, progress_row_key};
use load::{BoardSize, LoadMeter};

/// Interval at which the board's clock is advanced, in milliseconds.
const TICK_MS: u64 = 100;

/// Pause after a poll of a worker, in milliseconds, so that runs that end together
/// are read together.
const POLL_PAUSE_MS: u64 = 15;

/// Pause after a failed poll, in milliseconds; doubled with each further failure.
const POLL_RETRY_MS: u64 = 200;

/// Maximum number of times that [`POLL_RETRY_MS`] is doubled: a worker that answers again
/// is found within 0.8 s, and hundreds of instances that left their pools cost little.
const MAX_POLL_RETRY_DOUBLINGS: u32 = 2;

/// Maximum time that the next poll of a worker waits until the ended runs of the
/// last one are stored, in milliseconds.
const MAX_STORE_WAIT_MS: u64 = 250;

/// Minimum of the maximum time that a poll of a worker with finite tasks waits for one of them
/// to end if unanswered polls are made again, in milliseconds: the end of a task is then seen within
/// a fraction of a job's slack although a poll is lost.
const MIN_HEDGED_WAIT_MS: u64 = 500;

/// Polls a second that such waits may cause. With three times as many at 1,100 workers, 0.32 of
/// the jobs failed beside other load, and 0.11 without them.
const MAX_HEDGED_POLLS_PER_S: u64 = 700;

/// Returns the maximum time that a poll of a worker with finite tasks waits in a cell of
/// this many workers, in milliseconds.
fn max_hedged_wait_ms(workers: usize) -> u64 {
    (workers as u64 * 1_000 / MAX_HEDGED_POLLS_PER_S).max(MIN_HEDGED_WAIT_MS)
}

/// Pause after a failure to store a batch, in milliseconds.
const STORE_RETRY_MS: u64 = 120;

/// Timeout of a placement policy request beyond the service's declared response
/// time, in milliseconds.
const ADVICE_TIMEOUT_MARGIN_MS: u64 = 600;

/// Pause after a failed placement policy request, in milliseconds.
const ADVICE_RETRY_MS: u64 = 150;

/// Time after the last write that the store confirmed for which runs are ordered before
/// their placements are stored, in milliseconds. A cancellation or a draining worker that the
/// store still took may not have reached this process, and no start may follow either by
/// more than 3 s; of these, 0.4 s are for the feed and 0.3 s for the order.
const MAX_UNINFORMED_MS: u64 = 2_300;

/// Why an owner steps down that a worker rejects.
const FENCED_REASON: &str = "a worker rejected the fencing token: a later owner exists";

/// Places tasks, sends orders and requests advice until the cell is lost.
pub async fn run_scheduler(fleet: Arc<Fleet>, epoch: u32) {
    let mut ticked_ms = 0;
    let early_ms = Some(fleet.settings.early_start_after_ms).filter(|delay_ms| *delay_ms > 0);
    let wait = Duration::from_millis(early_ms.map_or(TICK_MS, |delay_ms| delay_ms.min(TICK_MS)));
    let mut advice_requests: VecDeque<AdviceRequest> = VecDeque::new();
    let mut advice_task: Option<JoinHandle<()>> = None;
    let mut meter = LoadMeter::new(fleet.now_ms());
    loop {
        let changed = fleet.board_changed.notified();
        // On a timeout only a tick is due.
        drop(timeout(wait, changed).await);
        let begun = Instant::now();
        let now = fleet.now();
        let mut early_starts = 0;
        let is_store_recent = now.steady_ms <= fleet.shared().confirmed_ms + MAX_UNINFORMED_MS;
        let decided = fleet.with_board(epoch, |board| {
            if now.steady_ms >= ticked_ms + TICK_MS {
                ticked_ms = now.steady_ms;
                board.advance(now);
            }
            if !fleet.starts_in_flight.is_full() {
                board.place(now.steady_ms);
                if is_store_recent {
                    early_starts += board.order_early(now.steady_ms);
                }
            }
            advice_requests.extend(board.take_advice_requests());
            fleet.metrics.unstored_runs.set(board.unstored_runs() as i64);
            let size = BoardSize {
                jobs: board.jobs.len(),
                unstored_jobs: board.unstored_jobs(),
                starts_in_flight: fleet.starts_in_flight.count(),
            };
            (board.take_orders(), board.take_notices(), size)
        });
        let Some((orders, notices, size)) = decided else { return };
        fleet.metrics.early_starts.inc_by(u64::from(early_starts));
        fleet.store_requested.notify_one();
        for order in orders {
            send_order(&fleet, epoch, order);
        }
        if advice_task.as_ref().is_none_or(JoinHandle::is_finished)
            && let Some(request) = advice_requests.pop_front()
        {
            advice_task = Some(tokio::spawn(request_advice(Arc::clone(&fleet), epoch, request)));
        }
        for notice in &notices {
            notices::log(&fleet, epoch, notice);
        }
        let tasks = notices.iter().map(Notice::placed_tasks).sum();
        let duration = begun.elapsed();
        let pause = pause_after(duration);
        sleep(pause).await;
        let late = begun.elapsed().saturating_sub(duration + pause);
        let micros = |duration: Duration| duration.as_micros() as u64;
        let (duration_us, pause_us, late_us) = (micros(duration), micros(pause), micros(late));
        let timing = PassTiming { tasks, duration_us, pause_us, late_us };
        meter.record(&fleet.metrics, &timing);
        meter.log_if_due(epoch, size, fleet.now_ms());
    }
}

fn send_order(fleet: &Arc<Fleet>, epoch: u32, order: Order) {
    let fleet = Arc::clone(fleet);
    match order {
        Order::Start(order) => {
            fleet.metrics.starts.inc();
            let guard = fleet.starts_in_flight.track();
            drop(tokio::spawn(async move {
                send_start(Arc::clone(&fleet), epoch, order).await;
                drop(guard);
                fleet.board_changed.notify_one();
            }));
        }
        Order::Stop(order) => drop(tokio::spawn(send_stop(fleet, epoch, order))),
        Order::Pace(order) => drop(tokio::spawn(send_pace(fleet, epoch, order))),
    }
}

/// Requests advice from the placement policy service, which accepts one request of
/// a process at a time.
async fn request_advice(fleet: Arc<Fleet>, epoch: u32, request: AdviceRequest) {
    let call = AdviceCall {
        step: request.step.clone(),
        workers: request.workers.clone(),
        timeout_ms: request.expected_ms + ADVICE_TIMEOUT_MARGIN_MS,
    };
    let permits = match (fleet.platform.advise)(call).await {
        Ok(advice) => Some((advice.permits, advice.validity_ms)),
        Err(error) => {
            tracing::info!(name: "advice.none", step = %request.step, %error, "placement policy request failed; retrying");
            sleep(Duration::from_millis(ADVICE_RETRY_MS)).await;
            None
        }
    };
    let now_ms = fleet.now_ms();
    fleet.update_board(epoch, |board| board.advice_received(&request, permits, now_ms));
}

fn target_of(fleet: &Fleet, epoch: u32, worker: &WorkerId) -> Option<(SocketAddr, CallTarget)> {
    fleet.with_board(epoch, |board| call_target(board, worker)).flatten()
}

fn call_target(board: &Board, id: &WorkerId) -> Option<(SocketAddr, CallTarget)> {
    let worker = board.workers.get(id)?;
    let target = CallTarget {
        worker: id.clone(),
        data_centre: worker.facts.data_centre.clone(),
        avoids_relay: false,
    };
    Some((worker.facts.address, target))
}

async fn send_start(fleet: Arc<Fleet>, epoch: u32, order: StartOrder) {
    let outcome = match target_of(&fleet, epoch, &order.worker) {
        None => StartOutcome::Unreached,
        Some((address, target)) => {
            let call = StartCall {
                address,
                worker: order.worker.clone(),
                task: order.task.clone(),
                attempt: order.attempt,
                payload: Name::clone(&order.payload),
                checkpoint: order.checkpoint.clone(),
                lease_deadline_ms: order.lease_deadline_ms,
                born_wall_ms: order.born_wall_ms,
                fencing_token: epoch,
                permit: order.permit.clone(),
            };
            start_hedged(&fleet, &target, call).await
        }
    };
    if outcome == StartOutcome::Fenced {
        leadership::step_down(&fleet, epoch, FENCED_REASON);
        return;
    }
    let now_ms = fleet.now_ms();
    let applied = fleet.update_board(epoch, |board| {
        board.start_result(&order.worker, &order.task, order.attempt, outcome, now_ms);
    });
    if applied.is_none() {
        let StartOrder { task, attempt, worker, .. } = order;
        tracing::info!(name: "task.start_late", epoch, %task, attempt, %worker, %outcome, "outcome of a start order came after the ownership had ended");
    }
}

/// Sends a start order, and sends it again if the worker doesn't answer.
async fn start_hedged(fleet: &Fleet, target: &CallTarget, call: StartCall) -> StartOutcome {
    let send = async |call: StartCall| {
        let task = call.task.clone();
        relay::start(fleet, target, call).await.unwrap_or_else(|error| {
            tracing::warn!(name: "order.failed", %task, %error, "could not send the start order");
            StartOutcome::Unreached
        })
    };
    let Some(delay) = hedge_delay(fleet) else { return send(call).await };
    let again = call.clone();
    let second = || {
        let guard = track_hedge(fleet)?;
        Some(async {
            let outcome = send(again).await;
            drop(guard);
            outcome
        })
    };
    hedge::hedged(send(call), delay, second, &hedge::start_outcomes()).await
}

/// Returns the delay after which an unanswered call is made again, if it is at all.
fn hedge_delay(fleet: &Fleet) -> Option<Duration> {
    let delay_ms = fleet.settings.hedge_after_ms;
    (delay_ms > 0).then(|| Duration::from_millis(delay_ms))
}

/// Counts a repeated call; returns `None` if too many are without an answer.
fn track_hedge(fleet: &Fleet) -> Option<InFlightGuard> {
    if fleet.hedges.is_full() {
        return None;
    }
    fleet.metrics.hedges.inc();
    Some(fleet.hedges.track())
}

/// Polls a worker, and polls it again if it doesn't answer within the time that it may wait
/// for a run to end.
async fn poll_hedged(
    fleet: &Fleet,
    target: &CallTarget,
    call: PollCall,
) -> Result<PollOutcome, PollError> {
    let Some(delay) = hedge_delay(fleet) else { return relay::poll(fleet, target, call).await };
    let delay = delay + Duration::from_millis(call.wait_ms);
    // A new incarnation would discard run ends that nobody has read.
    let again = PollCall { wait_ms: 0, ack_cursor: 0, ..call.clone() };
    let second = || {
        let guard = track_hedge(fleet)?;
        Some(async {
            let outcome = relay::poll(fleet, target, again).await;
            drop(guard);
            outcome
        })
    };
    let reports = hedge::Hedge { is_final: Result::is_ok, combine: |first, _| first };
    hedge::hedged(relay::poll(fleet, target, call), delay, second, &reports).await
}

async fn send_stop(fleet: Arc<Fleet>, epoch: u32, order: StopOrder) {
    let Some((target, call)) = run_call(&fleet, epoch, &order, 0) else { return };
    let outcome = relay::order(&fleet, &target, RelayCall::Stop(call)).await;
    let outcome = outcome.unwrap_or_else(|error| {
        tracing::warn!(name: "order.failed", task = %order.task, %error, "could not send the stop order");
        StopOutcome::Unknown
    });
    let now_ms = fleet.now_ms();
    fleet.update_board(epoch, |board| board.stop_result(&order, outcome, now_ms));
}

async fn send_pace(fleet: Arc<Fleet>, epoch: u32, order: PaceOrder) {
    let PaceOrder { worker, task, attempt, percent } = order;
    let run = StopOrder { worker, task, attempt };
    let Some((target, call)) = run_call(&fleet, epoch, &run, percent) else { return };
    let outcome = relay::order(&fleet, &target, RelayCall::Pace(call)).await;
    if !matches!(outcome, Ok(StopOutcome::Accepted)) {
        tracing::debug!(name: "order.pace_unanswered", task = %run.task, ?outcome, "pace not confirmed; set again after the worker's next report");
        fleet.update_board(epoch, |board| board.pace_failed(&run));
    }
}

fn run_call(
    fleet: &Fleet,
    epoch: u32,
    order: &StopOrder,
    pace_percent: u32,
) -> Option<(CallTarget, RunCall)> {
    let (address, target) = target_of(fleet, epoch, &order.worker)?;
    let call = RunCall {
        address,
        worker: order.worker.clone(),
        task: order.task.clone(),
        attempt: order.attempt,
        fencing_token: epoch,
        pace_percent,
    };
    Some((target, call))
}

/// Stores the progress of jobs until the cell is lost: one transaction at a time,
/// with all changes made in the meantime batched into the next one.
///
/// A stored batch doesn't confirm the ownership: the cell may have been claimed since,
/// by an owner that has not replaced the fence yet.
pub async fn store_progress(fleet: Arc<Fleet>, fence: ProgressFence) {
    let epoch = fence.epoch;
    let mut sequence = WriteSequence::new(progress_call_row_key(BATCH_KEY));
    loop {
        fleet.store_requested.notified().await;
        loop {
            let wall_ms = fleet.now().wall_ms;
            let batch = fleet.with_board(epoch, |board| board.take_batch(wall_ms));
            let Some(batch) = batch else { return };
            let is_empty = batch.writes.is_empty();
            let sent_ms = fleet.now_ms();
            let stored = if is_empty {
                Ok(true)
            } else {
                store_batch(&fleet, fence, &mut sequence, &batch).await
            };
            if !is_empty {
                let took_ms = fleet.now_ms().saturating_sub(sent_ms);
                fleet.metrics.store_latency.observe(took_ms as f64 / 1_000.0);
                fleet.record_batch_latency(took_ms);
                fleet.metrics.batches.inc();
            }
            match stored {
                Ok(true) => {
                    let now_ms = fleet.now_ms();
                    fleet.with_board(epoch, |board| board.batch_stored(batch, now_ms));
                    fleet.batch_stored.notify_waiters();
                }
                Ok(false) => return,
                Err(PlatformError::Rejected { reason }) => {
                    let rows = batch.writes.len();
                    tracing::warn!(name: "progress.rejected", epoch, reason, rows, "the store rejects a batch of progress; storing its rows apart");
                    let now_ms = fleet.now_ms();
                    let goes_on = fleet
                        .update_board(epoch, |board| board.batch_rejected(batch, &reason, now_ms));
                    if goes_on == Some(false) {
                        sleep(Duration::from_millis(STORE_RETRY_MS)).await;
                    }
                    continue;
                }
                Err(error) => {
                    tracing::debug!(name: "progress.not_stored", epoch, %error, "failed to store progress; retrying");
                    fleet.update_board(epoch, |board| board.batch_failed(batch));
                    sleep(Duration::from_millis(STORE_RETRY_MS)).await;
                    continue;
                }
            }
            if is_empty {
                break;
            }
            fleet.board_changed.notify_one();
        }
    }
}

async fn store_batch(
    fleet: &Fleet,
    fence: ProgressFence,
    sequence: &mut WriteSequence,
    batch: &Batch,
) -> masticfall_platform::Result<bool> {
    let mut writes: Vec<(RowKey, Option<Vec<u8>>)> = Vec::new();
    for write in &batch.writes {
        match write {
            BatchWrite::Progress(id, row) => {
                writes.push((progress_row_key(id), Some(encode_row(row)?)));
            }
            // The job's own rows are in another partition; they are replaced after
            // this row is stored.
            BatchWrite::Ended(id, row) => {
                let row = ProgressRow::ended(row);
                writes.push((progress_row_key(id), Some(encode_row(&row)?)));
            }
        }
    }
    let row = encode_row(&fence.epoch)?;
    leadership::write_ordered(fleet, fence, sequence, row, writes).await
}

/// Polls a worker for reports and extends its leases, until the worker is removed
/// or the cell is lost.
pub async fn poll_worker(fleet: Arc<Fleet>, epoch: u32, id: WorkerId) {
    let mut failures = 0_u32;
    loop {
        let now_ms = fleet.now_ms();
        let prepared = fleet.with_board(epoch, |board| {
            let poll = board.poll(&id, now_ms)?;
            Some((poll, call_target(board, &id)?))
        });
        let Some((poll, (address, mut target))) = prepared.flatten() else { return };
        target.avoids_relay = !failures.is_multiple_of(2);
        // An end on a worker whose poll is lost is seen only after the wait.
        let max_wait_ms = fleet.with_board(epoch, |board| {
            let has_runs = hedge_delay(&fleet).is_some() && board.has_finite_runs(&id);
            has_runs.then(|| max_hedged_wait_ms(board.workers.len()))
        });
        let wait_ms = poll.wait_ms.min(max_wait_ms.flatten().unwrap_or(u64::MAX));
        let call = PollCall {
            address,
            worker: id.clone(),
            fencing_token: epoch,
            born_wall_ms: poll.born_wall_ms,
            ack_cursor: poll.ack_cursor,
            lease_deadline_ms: poll.lease_deadline_ms,
            wait_ms,
        };
        let pause_ms = match poll_hedged(&fleet, &target, call).await {
            Ok(PollOutcome::Report(report)) => {
                failures = 0;
                let has_ended_runs = !report.ended.is_empty();
                let read_ms = fleet.now_ms();
                fleet.update_board(epoch, |board| board.report(&id, now_ms, report, read_ms));
                if has_ended_runs {
                    let stored = fleet.batch_stored.notified();
                    // Polling goes on even when the store does not respond.
                    drop(timeout(Duration::from_millis(MAX_STORE_WAIT_MS), stored).await);
                }
                POLL_PAUSE_MS
            }
            Ok(PollOutcome::Fenced) => {
                leadership::step_down(&fleet, epoch, FENCED_REASON);
                return;
            }
            Ok(PollOutcome::WrongWorker) => {
                let now_ms = fleet.now_ms();
                fleet.update_board(epoch, |board| board.remove_worker(&id, now_ms));
                return;
            }
            Err(PollError::RelayLost) => {
                fleet.update_board(epoch, |board| board.poll_unanswered(&id));
                POLL_PAUSE_MS
            }
            Err(PollError::Unresponsive(reason)) => {
                record_poll_failure(&fleet, epoch, &id, &reason);
                let doublings = failures.min(MAX_POLL_RETRY_DOUBLINGS);
                failures += 1;
                POLL_RETRY_MS << doublings
            }
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn record_poll_failure(fleet: &Fleet, epoch: u32, id: &WorkerId, reason: &str) {
    tracing::debug!(name: "worker.silent", worker = %id, error = reason, "worker did not respond; retrying");
    let now_ms = fleet.now_ms();
    fleet.update_board(epoch, |board| board.poll_failed(id, now_ms));
}
