//! Carrying out what the board decides: storing progress, sending orders,
//! looking after workers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use masticfall_core::fleet::board::{
    AdviceRequest, Batch, BatchWrite, Board, Order, PaceOrder, StartOrder, StopOrder,
};
use masticfall_core::fleet::progress::ProgressRow;
use masticfall_core::fleet::report::{StartOutcome, StopOutcome};
use masticfall_core::id::{Name, WorkerId};
use masticfall_platform::fleet::{AdviceCall, PollCall, PollOutcome, RowKey, RunCall, StartCall};
use masticfall_platform::{PlatformError, Result};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::context::{Fleet, Ownership};
use super::leadership::{self, Sequence};
use super::notices;
use super::rows::{BATCH_KEY, CALLS, PROGRESS, place, value};

/// Period at which time is applied to the board, in milliseconds.
const TICK_MS: u64 = 100;

/// Pause between two passes over the board, in milliseconds: what comes
/// meanwhile is decided, stored and sent together.
const PASS_MS: u64 = 5;

/// Pause between two passes as a multiple of the time that the last one took,
/// so that a crowded board leaves most of the processor to everything else.
const PASS_PAUSE_FACTOR: u32 = 3;

/// Pause after a look, in milliseconds: ends that come together are read together.
const LOOK_PAUSE_MS: u64 = 15;

/// Pause after a look that failed, in milliseconds.
const LOOK_RETRY_MS: u64 = 200;

/// Longest wait of a worker's next look for its ends to be stored, in milliseconds.
const STORE_WAIT_MS: u64 = 250;

/// Pause after a batch that could not be stored, in milliseconds.
const STORE_RETRY_MS: u64 = 120;

/// Time for an answer of the placement policy service beyond what it says that
/// it takes, in milliseconds.
const ADVICE_MARGIN_MS: u64 = 600;

/// Pause after a question without an answer, in milliseconds.
const ADVICE_RETRY_MS: u64 = 150;

/// Places tasks and sends orders until the cell is lost.
pub async fn carry_out(fleet: Arc<Fleet>, epoch: u32) {
    let mut ticked_ms = 0;
    let mut questions: VecDeque<AdviceRequest> = VecDeque::new();
    let mut asking: Option<JoinHandle<()>> = None;
    loop {
        let changed = fleet.board_changed.notified();
        // An elapsed time means that only a tick is due.
        drop(timeout(Duration::from_millis(TICK_MS), changed).await);
        let begun = Instant::now();
        let now = fleet.now();
        let done = fleet.on_board(epoch, |board| {
            if now.steady_ms >= ticked_ms + TICK_MS {
                ticked_ms = now.steady_ms;
                board.advance(now);
            }
            board.place(now.steady_ms);
            questions.extend(board.take_advice_requests());
            (board.take_orders(), board.take_notices())
        });
        let Some((orders, notices)) = done else { return };
        fleet.store_wanted.notify_one();
        for order in orders {
            send(&fleet, epoch, order);
        }
        if asking.as_ref().is_none_or(JoinHandle::is_finished)
            && let Some(question) = questions.pop_front()
        {
            asking = Some(tokio::spawn(ask(Arc::clone(&fleet), epoch, question)));
        }
        for notice in &notices {
            notices::log(&fleet, epoch, notice);
        }
        let pause = begun.elapsed() * PASS_PAUSE_FACTOR;
        sleep(pause.max(Duration::from_millis(PASS_MS))).await;
    }
}

fn send(fleet: &Arc<Fleet>, epoch: u32, order: Order) {
    let fleet = Arc::clone(fleet);
    match order {
        Order::Start(order) => {
            fleet.metrics.starts.inc();
            drop(tokio::spawn(start(fleet, epoch, order)));
        }
        Order::Stop(order) => drop(tokio::spawn(stop(fleet, epoch, order))),
        Order::Pace(order) => drop(tokio::spawn(pace(fleet, epoch, order))),
    }
}

/// Asks the placement policy service, which takes one question of a process at a time.
async fn ask(fleet: Arc<Fleet>, epoch: u32, question: AdviceRequest) {
    let call = AdviceCall {
        step: question.step.clone(),
        workers: question.workers.clone(),
        timeout_ms: question.expected_ms + ADVICE_MARGIN_MS,
    };
    let permits = match (fleet.platform.advise)(call).await {
        Ok(advice) => Some((advice.permits, advice.validity_ms)),
        Err(error) => {
            tracing::info!(name: "advice.none", step = %question.step, %error, "asked again");
            sleep(Duration::from_millis(ADVICE_RETRY_MS)).await;
            None
        }
    };
    let now_ms = fleet.now_ms();
    fleet.with_board(epoch, |board| board.advice_received(&question, permits, now_ms));
}

fn address_of(fleet: &Fleet, epoch: u32, worker: &WorkerId) -> Option<std::net::SocketAddr> {
    let address = |board: &mut Board| Some(board.workers.get(worker)?.facts.address);
    fleet.on_board(epoch, address).flatten()
}

async fn start(fleet: Arc<Fleet>, epoch: u32, order: StartOrder) {
    let outcome = match address_of(&fleet, epoch, &order.worker) {
        None => StartOutcome::Unreached,
        Some(address) => {
            let call = StartCall {
                address,
                worker: order.worker.clone(),
                task: order.task.clone(),
                attempt: order.attempt,
                payload: Name::clone(&order.payload),
                checkpoint: order.checkpoint.clone(),
                lease_deadline_ms: order.lease_deadline_ms,
                fencing_token: epoch,
                permit: order.permit.clone(),
            };
            (fleet.platform.start)(call).await.unwrap_or_else(|error| {
                tracing::warn!(name: "order.failed", task = %order.task, %error, "start not sent");
                StartOutcome::Unreached
            })
        }
    };
    if outcome == StartOutcome::Fenced {
        leadership::give_up(&fleet, "a worker has seen a later dispatcher");
        return;
    }
    let now_ms = fleet.now_ms();
    fleet.with_board(epoch, |board| {
        board.start_result(&order.worker, &order.task, order.attempt, outcome, now_ms);
    });
}

async fn stop(fleet: Arc<Fleet>, epoch: u32, order: StopOrder) {
    let Some(call) = run_call(&fleet, epoch, &order, 0) else { return };
    let outcome = (fleet.platform.stop)(call).await.unwrap_or_else(|error| {
        tracing::warn!(name: "order.failed", task = %order.task, %error, "stop not sent");
        StopOutcome::Unknown
    });
    let now_ms = fleet.now_ms();
    fleet.with_board(epoch, |board| board.stop_result(&order, outcome, now_ms));
}

async fn pace(fleet: Arc<Fleet>, epoch: u32, order: PaceOrder) {
    let PaceOrder { worker, task, attempt, percent } = order;
    let run = StopOrder { worker, task, attempt };
    let Some(call) = run_call(&fleet, epoch, &run, percent) else { return };
    let outcome = (fleet.platform.pace)(call).await;
    if !matches!(outcome, Ok(StopOutcome::Accepted)) {
        tracing::debug!(name: "order.pace_unanswered", task = %run.task, ?outcome, "set again with the next report");
        fleet.with_board(epoch, |board| board.pace_failed(&run));
    }
}

fn run_call(fleet: &Fleet, epoch: u32, order: &StopOrder, pace_percent: u32) -> Option<RunCall> {
    Some(RunCall {
        address: address_of(fleet, epoch, &order.worker)?,
        worker: order.worker.clone(),
        task: order.task.clone(),
        attempt: order.attempt,
        fencing_token: epoch,
        pace_percent,
    })
}

/// Stores the progress of jobs until the cell is lost: one transaction at a
/// time, and all that changed meanwhile in the next one.
pub async fn store_progress(fleet: Arc<Fleet>, ownership: Ownership) {
    let epoch = ownership.epoch;
    let mut sequence = Sequence::new(place(CALLS, BATCH_KEY));
    loop {
        fleet.store_wanted.notified().await;
        loop {
            let wall_ms = fleet.now().wall_ms;
            let batch = fleet.on_board(epoch, |board| board.take_batch(wall_ms));
            let Some(batch) = batch else { return };
            let is_empty = batch.writes.is_empty();
            let sent_ms = fleet.now_ms();
            let stored = if is_empty {
                Ok(true)
            } else {
                store(&fleet, ownership, &mut sequence, &batch).await
            };
            if !is_empty {
                let took_ms = fleet.now_ms().saturating_sub(sent_ms);
                fleet.metrics.store_latency.observe(took_ms as f64 / 1_000.0);
                fleet.metrics.batches.inc();
            }
            match stored {
                Ok(true) => {
                    if !is_empty {
                        leadership::confirm(&fleet, epoch, sent_ms);
                    }
                    let now_ms = fleet.now_ms();
                    fleet.on_board(epoch, |board| board.batch_stored(batch, now_ms));
                    fleet.batch_stored.notify_waiters();
                }
                Ok(false) => return,
                Err(error) => {
                    tracing::debug!(name: "progress.not_stored", epoch, %error, "trying again");
                    fleet.with_board(epoch, |board| board.batch_failed(batch));
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

async fn store(
    fleet: &Fleet,
    ownership: Ownership,
    sequence: &mut Sequence,
    batch: &Batch,
) -> Result<bool> {
    let mut writes: Vec<(RowKey, Option<Vec<u8>>)> = Vec::new();
    for write in &batch.writes {
        match write {
            BatchWrite::Progress(id, row) => {
                writes.push((place(PROGRESS, id.as_str()), Some(value(row)?)));
            }
            // The job's own rows lie in another part; they follow once this is stored.
            BatchWrite::Ended(id, row) => {
                let row = ProgressRow::ended(row.phase);
                writes.push((place(PROGRESS, id.as_str()), Some(value(&row)?)));
            }
        }
    }
    let row = value(&ownership.epoch)?;
    leadership::write_next(fleet, ownership, sequence, row, writes).await
}

/// Reads a worker's reports and extends its leases, until the worker or the
/// cell is gone.
pub async fn look_after(fleet: Arc<Fleet>, epoch: u32, id: WorkerId) {
    loop {
        let now_ms = fleet.now_ms();
        let prepared = fleet.on_board(epoch, |board| {
            let look = board.poll(&id, now_ms)?;
            Some((look, board.workers.get(&id)?.facts.address))
        });
        let Some((look, address)) = prepared.flatten() else { return };
        let call = PollCall {
            address,
            worker: id.clone(),
            fencing_token: epoch,
            ack_cursor: look.ack_cursor,
            lease_deadline_ms: look.lease_deadline_ms,
            wait_ms: look.wait_ms,
        };
        let pause_ms = match (fleet.platform.poll)(call).await {
            Ok(PollOutcome::Report(report)) => {
                let has_ends = !report.ended.is_empty();
                let read_ms = fleet.now_ms();
                fleet.with_board(epoch, |board| board.report(&id, now_ms, report, read_ms));
                if has_ends {
                    let stored = fleet.batch_stored.notified();
                    // Without an answer of the store the look goes on all the same.
                    drop(timeout(Duration::from_millis(STORE_WAIT_MS), stored).await);
                }
                LOOK_PAUSE_MS
            }
            Ok(PollOutcome::Fenced) => {
                leadership::give_up(&fleet, "a worker has seen a later dispatcher");
                return;
            }
            Ok(PollOutcome::WrongWorker) => {
                let now_ms = fleet.now_ms();
                fleet.with_board(epoch, |board| board.remove_worker(&id, now_ms));
                return;
            }
            Err(error) => {
                note_silence(&fleet, epoch, &id, &error);
                LOOK_RETRY_MS
            }
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn note_silence(fleet: &Fleet, epoch: u32, id: &WorkerId, error: &PlatformError) {
    tracing::debug!(name: "worker.silent", worker = %id, %error, "trying again");
    fleet.with_board(epoch, |board| board.poll_failed(id));
}
