//! The relay's side of a connection: makes the owner's calls.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::fleet::relays::FrameAge;
use masticfall_wire::encode;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::FrameChannel;
use super::messages::{
    OutcomeFrame, ReceivedCalls, RelayCall, RelayOutcome, decode_calls, make_call,
};
use super::payloads::KnownPayloads;
use crate::fleet::context::Fleet;
use crate::fleet::leadership;

/// Pause between two frames, in milliseconds, so that calls and outcomes are sent in batches.
pub(super) const FRAME_PAUSE_MS: u64 = 4;

/// Interval of empty frames while there is nothing to send, in milliseconds.
pub(super) const IDLE_FRAME_INTERVAL_MS: u64 = 250;

/// Maximum number of calls or outcomes in a frame; bounds its size.
pub(super) const MAX_FRAME_ENTRIES: usize = 256;

/// Time without a frame after which an owner counts as lost, in milliseconds.
const SILENCE_TIMEOUT_MS: u64 = 2_000;

/// Age at which a call is no longer made, in milliseconds: the owner has given it up. A
/// relay that was suspended must not make the calls that arrived meanwhile.
const MAX_CALL_AGE_MS: u64 = 700;

/// Makes the calls of an owner until it disconnects or is lost.
pub async fn serve(fleet: Arc<Fleet>, channel: FrameChannel) {
    let FrameChannel { outgoing, mut incoming } = channel;
    let (outcomes, finished) = mpsc::unbounded_channel();
    tokio::spawn(send_outcomes(Arc::clone(&fleet), finished, outgoing));
    let known = Arc::new(KnownPayloads::default());
    let silence = Duration::from_millis(SILENCE_TIMEOUT_MS);
    let mut frame_age = FrameAge::default();
    let mut epoch = None;
    while let Ok(received) = timeout(silence, incoming.recv()).await {
        let Some(frame) = received else {
            epoch.inspect(|epoch| leadership::forget_owner_frame(&fleet, *epoch));
            return;
        };
        let received_ms = fleet.now_ms();
        let ReceivedCalls { fencing_token, sent_ms, payloads, calls } = match decode_calls(&frame) {
            Ok(received) => received,
            Err(error) => {
                tracing::warn!(name: "relay.unreadable", %error, "malformed frame from an owner; closing its connection");
                return;
            }
        };
        leadership::record_owner_frame(&fleet, fencing_token);
        epoch = Some(fencing_token);
        known.add(payloads);
        let deadline_ms =
            (received_ms + MAX_CALL_AGE_MS).saturating_sub(frame_age.age_ms(sent_ms, received_ms));
        for (number, call) in calls {
            let (fleet, outcomes, known) =
                (Arc::clone(&fleet), outcomes.clone(), Arc::clone(&known));
            tokio::spawn(async move {
                let outcome = make_fresh_call(&fleet, &known, call, deadline_ms).await;
                // The owner may have disconnected; it then handles the outcome as unknown.
                drop(outcomes.send((number, outcome)));
            });
        }
    }
}

async fn make_fresh_call(
    fleet: &Fleet,
    known: &KnownPayloads,
    mut call: RelayCall,
    deadline_ms: u64,
) -> RelayOutcome {
    if let RelayCall::Start(start) = &mut call {
        match known.get(fleet, &start.task.job).await {
            Ok(payload) => start.payload = payload,
            Err(error) => return RelayOutcome::Failed(error.to_string()),
        }
    }
    let late_by_ms = fleet.now_ms().saturating_sub(deadline_ms);
    if late_by_ms > 0 {
        return RelayOutcome::Failed(format!(
            "the call reached its relay {late_by_ms} ms too late"
        ));
    }
    make_call(&fleet.platform, call).await
}

/// Sends outcomes in frames until the connection ends.
async fn send_outcomes(
    fleet: Arc<Fleet>,
    mut finished: mpsc::UnboundedReceiver<(u64, RelayOutcome)>,
    outgoing: mpsc::Sender<Vec<u8>>,
) {
    let idle = Duration::from_millis(IDLE_FRAME_INTERVAL_MS);
    loop {
        let mut outcomes = Vec::new();
        // On a timeout an empty frame is sent, as a sign of life.
        if timeout(idle, finished.recv_many(&mut outcomes, MAX_FRAME_ENTRIES)).await == Ok(0) {
            return;
        }
        let is_closing = fleet.is_draining();
        let frame = match encode(&OutcomeFrame { outcomes, is_closing }) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::warn!(name: "relay.not_encoded", %error, "outcomes could not be encoded; closing the connection");
                return;
            }
        };
        if outgoing.send(frame).await.is_err() {
            return;
        }
        sleep(Duration::from_millis(FRAME_PAUSE_MS)).await;
    }
}
