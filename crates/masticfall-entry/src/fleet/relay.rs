//! Relays: processes that make the owner's calls to workers.
//!
//! The owner of a large cell decides thousands of starts a second, and polls every worker
//! several times a second. The HTTP calls for that exceed the processor share and the link
//! of one process, so the owner sends them in batches to a few other processes, which make
//! the calls and return the outcomes. A relay decides nothing, and keeps only payloads: it
//! extends a lease only when the owner's poll says so, and each call carries the owner's
//! fencing token. A call whose relay is lost has an unknown outcome, like one whose worker
//! doesn't answer.

mod link;
mod messages;
mod payloads;
mod routing;
mod session;

use std::sync::Arc;

use futures_util::future::BoxFuture;
use masticfall_core::fleet::report::{StartOutcome, StopOutcome};
use masticfall_core::id::{DataCentre, WorkerId};
use masticfall_platform::Result;
use masticfall_platform::error::UnavailableSnafu;
use masticfall_platform::fleet::{PollCall, PollOutcome, StartCall};
use tokio::sync::mpsc;

pub(super) use messages::RelayCall;
pub use routing::Relays;
pub(super) use routing::maintain;
pub use session::serve;

use super::context::Fleet;
use super::peers::PeerRow;
use link::LinkError;
use messages::RelayOutcome;

/// Time that a call may take beyond the limit of the relay's own call, in milliseconds.
const RELAY_MARGIN_MS: u64 = 500;

/// Limit of the relay's own call of a start, stop or pace order, in milliseconds.
const ORDER_LIMIT_MS: u64 = 700;

/// Limit of the relay's own call of a poll beyond the time that the worker may hold it,
/// in milliseconds.
const POLL_LIMIT_MS: u64 = 700;

/// A connection that carries frames in both directions; each side ends it by dropping it.
#[derive(Debug)]
pub struct FrameChannel {
    /// Frames to the other side.
    pub outgoing: mpsc::Sender<Vec<u8>>,
    /// Frames from the other side.
    pub incoming: mpsc::Receiver<Vec<u8>>,
}

/// Opens a connection to a relay.
pub type RelayConnector =
    Arc<dyn Fn(PeerRow) -> BoxFuture<'static, Result<FrameChannel>> + Send + Sync>;

/// The worker that a call goes to.
#[derive(Debug, Clone)]
pub(super) struct CallTarget {
    pub(super) worker: WorkerId,
    pub(super) data_centre: DataCentre,
    /// Whether the call is made directly: after a failure through the relay, the fault may
    /// be the relay's.
    pub(super) avoids_relay: bool,
}

/// Error of a poll.
#[derive(Debug)]
pub(super) enum PollError {
    /// The poll's relay was lost; says nothing about the worker.
    RelayLost,
    /// The worker did not respond, for this reason.
    Unresponsive(String),
}

/// Makes a call through the worker's relay, or directly if it has none. The call is not made
/// if the ownership ends while it waits for a relay; its outcome then concerns nobody. A
/// start isn't made either if the worker's data centre is evacuated by then.
async fn call(
    fleet: &Fleet,
    target: &CallTarget,
    mut call: RelayCall,
    limit_ms: u64,
) -> Result<RelayOutcome, LinkError> {
    let epoch = call.fencing_token();
    loop {
        let link = fleet.relays.link_of(target, epoch).await;
        if !fleet.is_owner(epoch) {
            return Err(LinkError::OutcomeUnknown);
        }
        // The data centre may have been evacuated since the start was decided.
        if matches!(call, RelayCall::Start(_)) && fleet.is_evacuated(&target.data_centre) {
            fleet.metrics.evacuation.withdrawn_starts.inc();
            return Err(LinkError::NotSent(Box::new(call)));
        }
        let Some(link) = link else {
            return Ok(messages::make_call(&fleet.platform, call).await);
        };
        match link.call(call, limit_ms + RELAY_MARGIN_MS).await {
            Err(LinkError::NotSent(unsent)) => call = *unsent,
            result => return result,
        }
    }
}

/// Starts a run on a worker.
///
/// # Errors
/// The platform's failure; the order was not sent.
pub(super) async fn start(
    fleet: &Fleet,
    target: &CallTarget,
    order: StartCall,
) -> Result<StartOutcome> {
    match call(fleet, target, RelayCall::Start(order), ORDER_LIMIT_MS).await {
        Ok(RelayOutcome::Start(outcome)) => Ok(outcome),
        Ok(RelayOutcome::Failed(reason)) => UnavailableSnafu { reason }.fail(),
        Err(LinkError::NotSent(_)) => Ok(StartOutcome::Unreached),
        Ok(_) | Err(LinkError::OutcomeUnknown) => Ok(StartOutcome::Unknown),
    }
}

/// Sends an order about a run to a worker.
///
/// # Errors
/// The platform's failure; the order was not sent.
pub(super) async fn order(
    fleet: &Fleet,
    target: &CallTarget,
    order: RelayCall,
) -> Result<StopOutcome> {
    match call(fleet, target, order, ORDER_LIMIT_MS).await {
        Ok(RelayOutcome::Order(outcome)) => Ok(outcome),
        Ok(RelayOutcome::Failed(reason)) => UnavailableSnafu { reason }.fail(),
        Ok(_) | Err(_) => Ok(StopOutcome::Unknown),
    }
}

/// Polls a worker.
///
/// # Errors
/// [`PollError::RelayLost`] when the outcome is unknown because of the relay.
pub(super) async fn poll(
    fleet: &Fleet,
    target: &CallTarget,
    poll: PollCall,
) -> Result<PollOutcome, PollError> {
    let limit_ms = poll.wait_ms + POLL_LIMIT_MS;
    match call(fleet, target, RelayCall::Poll(poll), limit_ms).await {
        Ok(RelayOutcome::Report(report)) => Ok(PollOutcome::Report(report)),
        Ok(RelayOutcome::Fenced) => Ok(PollOutcome::Fenced),
        Ok(RelayOutcome::WrongWorker) => Ok(PollOutcome::WrongWorker),
        Ok(RelayOutcome::Failed(reason)) => Err(PollError::Unresponsive(reason)),
        Ok(RelayOutcome::Start(_) | RelayOutcome::Order(_)) | Err(_) => Err(PollError::RelayLost),
    }
}
