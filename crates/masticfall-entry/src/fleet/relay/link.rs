//! The owner's side of a connection to a relay.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::id::Name;
use masticfall_platform::traffic::CallKind;
use masticfall_wire::decode;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::messages::{OutcomeFrame, RelayCall, RelayOutcome, encode_calls};
use super::payloads::SentPayloads;
use super::session::{FRAME_PAUSE_MS, IDLE_FRAME_INTERVAL_MS, MAX_FRAME_ENTRIES};
use crate::fleet::context::Fleet;

/// Calls that wait to be sent; a relay with more than this is too slow.
const QUEUE_LENGTH: usize = 1_024;

/// Time that a call waits for room in the queue, in milliseconds.
const QUEUE_TIMEOUT_MS: u64 = 200;

/// Time without a frame after which a relay counts as lost, in milliseconds: four of its
/// signs of life.
const SILENCE_TIMEOUT_MS: u64 = 1_000;

/// Why a call through a relay has no outcome.
#[derive(Debug)]
pub(super) enum LinkError {
    /// The call was not sent, and is returned.
    NotSent(Box<RelayCall>),
    /// The call may have been made, or may still be made.
    OutcomeUnknown,
}

type Waiting = Mutex<IndexMap<u64, oneshot::Sender<RelayOutcome>>>;

/// A connection to a relay.
#[derive(Debug)]
pub(super) struct Link {
    queue: mpsc::Sender<(u64, RelayCall)>,
    waiting: Waiting,
    next_number: AtomicU64,
    is_open: AtomicBool,
}

impl Link {
    /// Starts the tasks of a connection, for calls with the fencing token `epoch`.
    pub(super) fn open(
        fleet: &Arc<Fleet>,
        relay: &Name,
        epoch: u32,
        channel: super::FrameChannel,
    ) -> Arc<Self> {
        let (queue, calls) = mpsc::channel(QUEUE_LENGTH);
        let link = Arc::new(Self {
            queue,
            waiting: Mutex::default(),
            next_number: AtomicU64::new(0),
            is_open: AtomicBool::new(true),
        });
        let super::FrameChannel { outgoing, incoming } = channel;
        let sender = send_calls(Arc::clone(fleet), Arc::clone(&link), epoch, calls, outgoing);
        tokio::spawn(sender);
        let (fleet, relay, receiver) = (Arc::clone(fleet), Name::clone(relay), Arc::clone(&link));
        tokio::spawn(async move {
            let reason = receive_outcomes(&fleet, &receiver, incoming).await;
            receiver.close();
            let unanswered = receiver.waiting.lock().drain(..).count();
            if fleet.is_owner(epoch) {
                tracing::info!(name: "relay.lost", epoch, relay = &*relay, reason, unanswered, "lost a relay; its workers get another one");
                fleet.relays.relay_lost(&relay, fleet.now_ms());
            }
        });
        link
    }

    /// Returns whether the relay takes calls.
    pub(super) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    fn close(&self) {
        self.is_open.store(false, Ordering::Relaxed);
    }

    /// Makes a call, and waits for its outcome for up to `limit_ms`.
    pub(super) async fn call(
        &self,
        call: RelayCall,
        limit_ms: u64,
    ) -> Result<RelayOutcome, LinkError> {
        let room = Duration::from_millis(QUEUE_TIMEOUT_MS);
        let Ok(Ok(permit)) = timeout(room, self.queue.reserve()).await else {
            self.close();
            return Err(LinkError::NotSent(Box::new(call)));
        };
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (answer, outcome) = oneshot::channel();
        self.waiting.lock().insert(number, answer);
        // Checked again, since the receiver may have cleared the calls that wait.
        if !self.is_open() {
            self.waiting.lock().swap_remove(&number);
            return Err(LinkError::NotSent(Box::new(call)));
        }
        permit.send((number, call));
        if let Ok(Ok(outcome)) = timeout(Duration::from_millis(limit_ms), outcome).await {
            return Ok(outcome);
        }
        self.waiting.lock().swap_remove(&number);
        Err(LinkError::OutcomeUnknown)
    }
}

/// Sends queued calls in frames until the connection or the ownership ends.
async fn send_calls(
    fleet: Arc<Fleet>,
    link: Arc<Link>,
    epoch: u32,
    mut calls: mpsc::Receiver<(u64, RelayCall)>,
    outgoing: mpsc::Sender<Vec<u8>>,
) {
    let mut batch = Vec::new();
    let mut sent_payloads = SentPayloads::new(&fleet);
    let idle = Duration::from_millis(IDLE_FRAME_INTERVAL_MS);
    while fleet.is_owner(epoch) && (link.is_open() || !link.waiting.lock().is_empty()) {
        // On a timeout an empty frame is sent, as a sign of life.
        drop(timeout(idle, calls.recv_many(&mut batch, MAX_FRAME_ENTRIES)).await);
        let payloads = sent_payloads.missing_for(&batch);
        let frame = match encode_calls(epoch, fleet.now_ms(), payloads, batch.drain(..)) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::warn!(name: "relay.not_encoded", epoch, %error, "calls could not be encoded; their outcome counts as unknown");
                continue;
            }
        };
        fleet.platform.traffic.record(CallKind::Relay, frame.len(), 0);
        if outgoing.send(frame).await.is_err() {
            break;
        }
        sleep(Duration::from_millis(FRAME_PAUSE_MS)).await;
    }
    link.close();
}

/// Receives outcomes until the connection ends; returns why it did.
async fn receive_outcomes(
    fleet: &Fleet,
    link: &Link,
    mut incoming: mpsc::Receiver<Vec<u8>>,
) -> &'static str {
    let silence = Duration::from_millis(SILENCE_TIMEOUT_MS);
    loop {
        let frame = match timeout(silence, incoming.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return "the connection ended",
            Err(_elapsed) => return "no frame within the silence timeout",
        };
        fleet.platform.traffic.record(CallKind::Relay, 0, frame.len());
        let frame = match decode::<OutcomeFrame>(&frame) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::warn!(name: "relay.unreadable", %error, "malformed frame from a relay");
                return "malformed frame";
            }
        };
        for (number, outcome) in frame.outcomes {
            let waiting = link.waiting.lock().swap_remove(&number);
            // A caller that gave up has already handled the outcome as unknown.
            if let Some(answer) = waiting {
                drop(answer.send(outcome));
            }
        }
        if frame.is_closing {
            link.close();
        }
        if !link.is_open() && link.waiting.lock().is_empty() {
            return "the relay takes no more calls";
        }
    }
}
