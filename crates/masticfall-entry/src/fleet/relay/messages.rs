//! Messages between the owner of a cell and its relays.
//!
//! The fields have short names on the wire, since thousands of calls a second go over
//! thin links.

use std::net::SocketAddr;

use masticfall_core::fleet::report::{StartOutcome, StopOutcome, WorkerReport};
use masticfall_core::fleet::spec::TaskKey;
use masticfall_core::id::{JobId, Name, WorkerId};
use masticfall_platform::fleet::{FleetPlatform, PollCall, PollOutcome, RunCall, StartCall};
use masticfall_wire::{codec, decode, encode};
use serde::{Deserialize, Serialize};

/// A call that a relay makes.
#[derive(Debug, Clone)]
pub(crate) enum RelayCall {
    /// Starts a run.
    Start(StartCall),
    /// Stops a run.
    Stop(RunCall),
    /// Paces a run.
    Pace(RunCall),
    /// Polls a worker.
    Poll(PollCall),
}

impl RelayCall {
    /// Returns the epoch of the ownership under which the call was decided.
    pub(super) fn fencing_token(&self) -> u32 {
        match self {
            Self::Start(call) => call.fencing_token,
            Self::Stop(call) | Self::Pace(call) => call.fencing_token,
            Self::Poll(call) => call.fencing_token,
        }
    }
}

/// Outcome of a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum RelayOutcome {
    /// Of a start.
    #[serde(rename = "s")]
    Start(StartOutcome),
    /// Of a stop or pace order.
    #[serde(rename = "o")]
    Order(StopOutcome),
    /// The polled worker's report.
    #[serde(rename = "r")]
    Report(WorkerReport),
    /// The polled worker has seen a higher fencing token.
    #[serde(rename = "f")]
    Fenced,
    /// Another incarnation of the polled worker answers.
    #[serde(rename = "w")]
    WrongWorker,
    /// The call failed, for this reason; an order was not sent.
    #[serde(rename = "e")]
    Failed(String),
}

/// Makes a call and returns its outcome.
pub(super) async fn make_call(platform: &FleetPlatform, call: RelayCall) -> RelayOutcome {
    let outcome = match call {
        RelayCall::Start(call) => (platform.start)(call).await.map(RelayOutcome::Start),
        RelayCall::Stop(call) => (platform.stop)(call).await.map(RelayOutcome::Order),
        RelayCall::Pace(call) => (platform.pace)(call).await.map(RelayOutcome::Order),
        RelayCall::Poll(call) => (platform.poll)(call).await.map(|outcome| match outcome {
            PollOutcome::Report(report) => RelayOutcome::Report(report),
            PollOutcome::Fenced => RelayOutcome::Fenced,
            PollOutcome::WrongWorker => RelayOutcome::WrongWorker,
        }),
    };
    outcome.unwrap_or_else(|error| RelayOutcome::Failed(error.to_string()))
}

/// Outcomes from a relay, with the numbers of their calls. An empty frame is a sign of life.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct OutcomeFrame {
    #[serde(rename = "o")]
    pub(super) outcomes: Vec<(u64, RelayOutcome)>,
    /// Whether the relay is shutting down and takes no new calls.
    #[serde(rename = "c", default)]
    pub(super) is_closing: bool,
}

/// Calls to a relay as encoded. An empty frame is a sign of life.
#[derive(Debug, Default, Serialize, Deserialize)]
struct WireCalls {
    /// Fencing token of all calls.
    #[serde(rename = "f")]
    fencing_token: u32,
    /// When the frame was sent, by the owner's steady clock.
    #[serde(rename = "m")]
    sent_ms: u64,
    /// Payloads of jobs that the relay doesn't know yet.
    #[serde(rename = "p")]
    payloads: Vec<(JobId, Name)>,
    #[serde(rename = "c")]
    calls: Vec<(u64, WireCall)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireTarget {
    #[serde(rename = "i")]
    worker: WorkerId,
    #[serde(rename = "a")]
    address: SocketAddr,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireRun {
    #[serde(rename = "w")]
    target: WireTarget,
    #[serde(rename = "t")]
    task: TaskKey,
    #[serde(rename = "n")]
    attempt: u32,
    #[serde(rename = "p")]
    pace_percent: u32,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireCall {
    #[serde(rename = "s")]
    Start {
        #[serde(rename = "w")]
        target: WireTarget,
        #[serde(rename = "t")]
        task: TaskKey,
        #[serde(rename = "n")]
        attempt: u32,
        #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<Name>,
        #[serde(rename = "l")]
        lease_deadline_ms: u64,
        #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
        born_wall_ms: Option<u64>,
        #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
        permit: Option<Name>,
    },
    #[serde(rename = "e")]
    Stop(WireRun),
    #[serde(rename = "q")]
    Pace(WireRun),
    #[serde(rename = "h")]
    Poll {
        #[serde(rename = "w")]
        target: WireTarget,
        #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
        born_wall_ms: Option<u64>,
        #[serde(rename = "k")]
        ack_cursor: u64,
        #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
        lease_deadline_ms: Option<u64>,
        #[serde(rename = "x")]
        wait_ms: u64,
    },
}

/// Encodes calls of one owner, each with its number. The starts carry no payloads; those
/// of jobs that the relay may not know are in `payloads`. `sent_ms` is the time by the
/// owner's steady clock.
///
/// # Errors
/// The codec's error.
pub(super) fn encode_calls(
    fencing_token: u32,
    sent_ms: u64,
    payloads: Vec<(JobId, Name)>,
    calls: impl Iterator<Item = (u64, RelayCall)>,
) -> codec::Result<Vec<u8>> {
    let calls = calls.map(|(number, call)| (number, encode_call(call)));
    encode(&WireCalls { fencing_token, sent_ms, payloads, calls: calls.collect() })
}

fn encode_call(call: RelayCall) -> WireCall {
    match call {
        RelayCall::Start(call) => WireCall::Start {
            target: WireTarget { worker: call.worker, address: call.address },
            task: call.task,
            attempt: call.attempt,
            checkpoint: call.checkpoint,
            lease_deadline_ms: call.lease_deadline_ms,
            born_wall_ms: call.born_wall_ms,
            permit: call.permit,
        },
        RelayCall::Stop(call) => WireCall::Stop(encode_run(call)),
        RelayCall::Pace(call) => WireCall::Pace(encode_run(call)),
        RelayCall::Poll(call) => WireCall::Poll {
            target: WireTarget { worker: call.worker, address: call.address },
            born_wall_ms: call.born_wall_ms,
            ack_cursor: call.ack_cursor,
            lease_deadline_ms: call.lease_deadline_ms,
            wait_ms: call.wait_ms,
        },
    }
}

fn encode_run(call: RunCall) -> WireRun {
    let RunCall { address, worker, task, attempt, pace_percent, .. } = call;
    WireRun { target: WireTarget { worker, address }, task, attempt, pace_percent }
}

/// Calls as received by a relay.
#[derive(Debug)]
pub(super) struct ReceivedCalls {
    /// Epoch of the owner.
    pub(super) fencing_token: u32,
    /// When the frame was sent, by the owner's steady clock.
    pub(super) sent_ms: u64,
    /// Payloads of jobs.
    pub(super) payloads: Vec<(JobId, Name)>,
    /// Calls with their numbers; the payloads of starts are empty.
    pub(super) calls: Vec<(u64, RelayCall)>,
}

/// Decodes a frame of calls.
///
/// # Errors
/// The codec's error, when the bytes are not a valid frame.
pub(super) fn decode_calls(bytes: &[u8]) -> codec::Result<ReceivedCalls> {
    let WireCalls { fencing_token, sent_ms, payloads, calls } = decode(bytes)?;
    let calls = calls.into_iter().map(|(number, call)| (number, decode_call(call, fencing_token)));
    Ok(ReceivedCalls { fencing_token, sent_ms, payloads, calls: calls.collect() })
}

fn decode_call(call: WireCall, fencing_token: u32) -> RelayCall {
    match call {
        WireCall::Start {
            target,
            task,
            attempt,
            checkpoint,
            lease_deadline_ms,
            born_wall_ms,
            permit,
        } => RelayCall::Start(StartCall {
            address: target.address,
            worker: target.worker,
            task,
            attempt,
            payload: Name::from(""),
            checkpoint,
            lease_deadline_ms,
            born_wall_ms,
            fencing_token,
            permit,
        }),
        WireCall::Stop(run) => RelayCall::Stop(decode_run(run, fencing_token)),
        WireCall::Pace(run) => RelayCall::Pace(decode_run(run, fencing_token)),
        WireCall::Poll { target, born_wall_ms, ack_cursor, lease_deadline_ms, wait_ms } => {
            RelayCall::Poll(PollCall {
                address: target.address,
                worker: target.worker,
                fencing_token,
                born_wall_ms,
                ack_cursor,
                lease_deadline_ms,
                wait_ms,
            })
        }
    }
}

fn decode_run(run: WireRun, fencing_token: u32) -> RunCall {
    let WireRun { target: WireTarget { worker, address }, task, attempt, pace_percent } = run;
    RunCall { address, worker, task, attempt, fencing_token, pace_percent }
}
