//! Relays: processes that make the owner's calls to workers.
//!
//! The owner of a large cell decides thousands of starts a second, and polls every worker
//! several times a second. The HTTP calls for that exceed the processor share and the link
//! of one process, so the owner sends them in batches to a few other processes, which make
//! the calls and return the outcomes. A relay decides nothing and keeps no state: it extends
//! a lease only when the owner's poll says so, and each call carries the owner's fencing
//! token. A call whose relay is lost has an unknown outcome, like one whose worker doesn't
//! answer.

mod link;
mod messages;
mod payloads;
mod session;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{BoxFuture, join_all};
use indexmap::IndexMap;
use masticfall_core::fleet::relays::{RelayCandidate, choose_relays, relay_of};
use masticfall_core::fleet::report::{StartOutcome, StopOutcome};
use masticfall_core::id::{DataCentre, Name, WorkerId};
use masticfall_platform::Result;
use masticfall_platform::error::UnavailableSnafu;
use masticfall_platform::fleet::{PollCall, PollOutcome, StartCall};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep, timeout};

pub(super) use messages::RelayCall;
pub use session::serve;

use super::context::Fleet;
use super::peers::{self, PeerRow};
use link::{Link, LinkError};
use messages::RelayOutcome;

/// Interval at which the owner reviews its relays, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 250;

/// Pause of the review until the cell is loaded and its workers are listed, in milliseconds.
const LOADING_PAUSE_MS: u64 = 20;

/// Timeout of connecting to a relay, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Time for which a lost relay isn't chosen again, in milliseconds.
const LOST_RELAY_PAUSE_MS: u64 = 3_000;

/// Minimum interval of reads of the list of peers while relays are missing, in milliseconds.
const PEER_READ_INTERVAL_MS: u64 = 2_000;

/// Maximum time that calls of a new owner wait for its first relays, in milliseconds.
const FIRST_RELAYS_TIMEOUT_MS: u64 = 600;

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

/// The relays in use.
#[derive(Debug, Default, Clone)]
struct Routes {
    /// Whether the first relays were chosen, or none is needed.
    is_settled: bool,
    by_data_centre: IndexMap<DataCentre, IndexMap<Name, Arc<Link>>>,
}

/// Relays of the cell's owner; without ownership there are none.
#[derive(Debug)]
pub struct Relays {
    routes: watch::Sender<Arc<Routes>>,
    /// Wakes the review when a relay is lost.
    link_lost: Notify,
}

impl Default for Relays {
    fn default() -> Self {
        Self { routes: watch::Sender::new(Arc::default()), link_lost: Notify::new() }
    }
}

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

impl Relays {
    /// Returns the open relay of a worker, if it has one.
    async fn link_of(&self, target: &CallTarget) -> Option<Arc<Link>> {
        if target.avoids_relay {
            return None;
        }
        if !self.routes.borrow().is_settled {
            let limit = Duration::from_millis(FIRST_RELAYS_TIMEOUT_MS);
            let mut routes = self.routes.subscribe();
            // Without relays in time, the owner calls the workers itself.
            drop(timeout(limit, routes.wait_for(|routes| routes.is_settled)).await);
        }
        let routes = Arc::clone(&self.routes.borrow());
        let links = routes.by_data_centre.get(&target.data_centre)?;
        let open = links.iter().filter(|(_, link)| link.is_open()).map(|(name, _)| name);
        links.get(relay_of(&target.worker, open)?).map(Arc::clone)
    }

    fn open_links(&self) -> IndexMap<Name, Arc<Link>> {
        let routes = Arc::clone(&self.routes.borrow());
        let links = routes.by_data_centre.values().flatten();
        links
            .filter(|(_, link)| link.is_open())
            .map(|(name, link)| (Name::clone(name), Arc::clone(link)))
            .collect()
    }
}

/// Makes a call through the worker's relay, or directly if it has none.
async fn call(
    fleet: &Fleet,
    target: &CallTarget,
    mut call: RelayCall,
    limit_ms: u64,
) -> Result<RelayOutcome, LinkError> {
    while let Some(link) = fleet.relays.link_of(target).await {
        match link.call(call, limit_ms + RELAY_MARGIN_MS).await {
            Err(LinkError::NotSent(unsent)) => call = *unsent,
            result => return result,
        }
    }
    Ok(messages::make_call(&fleet.platform, call).await)
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
        Ok(_) | Err(_) => Ok(StartOutcome::Unknown),
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

/// Chooses relays and keeps the connections to them until the cell is lost.
pub(super) async fn maintain(fleet: Arc<Fleet>, epoch: u32) {
    let relays = &fleet.relays;
    relays.routes.send_replace(Arc::default());
    let mut lost_ms: IndexMap<Name, u64> = IndexMap::new();
    let mut peers_read_ms = 0;
    while fleet.is_owner(epoch) {
        let workers = fleet.with_board(epoch, |board| board.workers_by_data_centre());
        let Some(workers) = workers.filter(|workers| !workers.is_empty()) else {
            sleep(Duration::from_millis(LOADING_PAUSE_MS)).await;
            continue;
        };
        let total: usize = workers.values().sum();
        let chosen = if total as u64 > fleet.settings.max_direct_workers {
            let chosen = choose(&fleet, &workers, &mut lost_ms);
            let is_short = chosen.values().any(IndexMap::is_empty);
            if is_short && fleet.now_ms() >= peers_read_ms + PEER_READ_INTERVAL_MS {
                peers_read_ms = fleet.now_ms();
                if let Err(error) = peers::read_list(&fleet).await {
                    tracing::debug!(name: "peers.not_read", %error, "failed to read the list of peers; retrying");
                }
                choose(&fleet, &workers, &mut lost_ms)
            } else {
                chosen
            }
        } else {
            IndexMap::new()
        };
        let routes = connect_chosen(&fleet, epoch, chosen, &mut lost_ms).await;
        if !fleet.is_owner(epoch) {
            break;
        }
        relays.routes.send_replace(Arc::new(routes));
        let review = Duration::from_millis(REVIEW_INTERVAL_MS);
        // A timeout only means that the next review is due.
        drop(timeout(review, relays.link_lost.notified()).await);
    }
    // A later ownership of this process has its own relays.
    if fleet.shared().ownership.is_none() {
        relays.routes.send_replace(Arc::default());
    }
}

/// Returns the chosen relays of each data centre.
fn choose(
    fleet: &Fleet,
    workers: &IndexMap<DataCentre, usize>,
    lost_ms: &mut IndexMap<Name, u64>,
) -> IndexMap<DataCentre, IndexMap<Name, PeerRow>> {
    let now_ms = fleet.now_ms();
    lost_ms.retain(|_, at_ms| now_ms < *at_ms + LOST_RELAY_PAUSE_MS);
    let routes = Arc::clone(&fleet.relays.routes.borrow());
    let links = routes.by_data_centre.values().flatten();
    for (name, _) in links.filter(|(_, link)| !link.is_open()) {
        lost_ms.entry(Name::clone(name)).or_insert(now_ms);
    }
    let peers = fleet.peers.lock();
    let usable = peers.iter().filter(|(name, _)| !lost_ms.contains_key(*name));
    let candidates: Vec<RelayCandidate> = usable
        .map(|(name, peer)| RelayCandidate {
            name: Name::clone(name),
            data_centre: peer.data_centre.clone(),
            worker_capacity: peer.worker_capacity,
        })
        .collect();
    let chosen = choose_relays(&candidates, workers).into_iter().map(|(data_centre, names)| {
        let rows =
            names.into_iter().filter_map(|name| Some((Name::clone(&name), peers.get(&name)?)));
        (data_centre, rows.map(|(name, peer)| (name, peer.clone())).collect())
    });
    chosen.collect()
}

/// Connects to the chosen relays that aren't connected yet; those that can't be reached
/// are left out.
async fn connect_chosen(
    fleet: &Arc<Fleet>,
    epoch: u32,
    chosen: IndexMap<DataCentre, IndexMap<Name, PeerRow>>,
    lost_ms: &mut IndexMap<Name, u64>,
) -> Routes {
    let mut open = fleet.relays.open_links();
    let missing = chosen.values().flatten().filter(|(name, _)| !open.contains_key(*name));
    let attempts = missing.map(|(name, peer)| async move {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connected = timeout(limit, (fleet.peer_calls.connect_relay)(peer.clone())).await;
        let connected = connected
            .unwrap_or_else(|_elapsed| UnavailableSnafu { reason: "connecting timed out" }.fail());
        (Name::clone(name), connected)
    });
    for (name, connected) in join_all(attempts).await {
        match connected {
            Ok(channel) => {
                tracing::info!(name: "relay.connected", epoch, relay = &*name, "a process relays calls to workers");
                let link = Link::open(fleet, &name, epoch, channel);
                open.insert(name, link);
            }
            Err(error) => {
                tracing::info!(name: "relay.not_connected", epoch, relay = &*name, %error, "cannot connect to a relay; choosing another one");
                lost_ms.insert(name, fleet.now_ms());
            }
        }
    }
    let by_data_centre = chosen.into_iter().map(|(data_centre, peers)| {
        let links = peers.into_keys().filter_map(|name| {
            let link = Arc::clone(open.get(&name)?);
            Some((name, link))
        });
        (data_centre, links.collect())
    });
    Routes { is_settled: true, by_data_centre: by_data_centre.collect() }
}
