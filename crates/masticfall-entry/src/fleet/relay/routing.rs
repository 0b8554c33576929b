//! The owner's relays: which there are, the connections to them, and which worker's calls
//! go through which.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use masticfall_core::fleet::relays::{RelayCandidate, choose_relays, relay_of};
use masticfall_core::id::{DataCentre, Name};
use masticfall_platform::error::UnavailableSnafu;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::CallTarget;
use super::link::Link;
use crate::fleet::context::Fleet;
use crate::fleet::peers::{self, PeerRow};

/// Interval at which the owner reviews its relays, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 250;

/// The same while calls wait for the first review with all workers listed.
const UNSETTLED_REVIEW_INTERVAL_MS: u64 = 10;

/// Timeout of connecting to a relay, in milliseconds: the handshake may have to wait behind
/// the rows of a cell that is being loaded over a thin link.
const CONNECT_TIMEOUT_MS: u64 = 1_500;

/// Time for which a lost relay isn't chosen again, in milliseconds.
const LOST_RELAY_PAUSE_MS: u64 = 3_000;

/// Minimum interval of reads of the list of peers while relays are missing, in milliseconds.
const PEER_READ_INTERVAL_MS: u64 = 2_000;

/// Time after the cell is loaded for which calls wait for the first relay in the data centre of
/// their worker, in milliseconds.
const FIRST_RELAYS_TIMEOUT_MS: u64 = 1_500;

type ByDataCentre<T> = IndexMap<DataCentre, IndexMap<Name, T>>;

/// The open relays of each data centre.
#[derive(Debug, Default)]
struct Routes {
    /// Epoch of the ownership.
    epoch: u32,
    /// Whether the cell is loaded, so that all data centres with workers are known.
    is_loaded: bool,
    /// Whether no call waits for a first relay any more, or none is needed.
    is_settled: bool,
    by_data_centre: ByDataCentre<Arc<Link>>,
}

impl Routes {
    /// Returns whether calls of an epoch to workers in a data centre can be made, or are no
    /// longer to be.
    fn is_usable(&self, epoch: u32, data_centre: &DataCentre) -> bool {
        // A data centre that can't be reached must not hold up calls to the others.
        let has_relay = || {
            let links = self.by_data_centre.get(data_centre);
            self.is_loaded && links.is_some_and(|links| !links.is_empty())
        };
        self.epoch > epoch || (self.epoch == epoch && (self.is_settled || has_relay()))
    }
}

/// Relays of the cell's owner; without ownership there are none.
#[derive(Debug)]
pub struct Relays {
    routes: watch::Sender<Arc<Routes>>,
    connections: Mutex<Connections>,
    /// Wakes the review when a relay is connected or lost.
    changed: Notify,
}

#[derive(Debug, Default)]
struct Connections {
    epoch: u32,
    open: IndexMap<Name, Arc<Link>>,
    connecting: IndexSet<Name>,
    /// Relays that were lost or couldn't be reached, with the time.
    lost_ms: IndexMap<Name, u64>,
}

impl Default for Relays {
    fn default() -> Self {
        Self {
            routes: watch::Sender::new(Arc::default()),
            connections: Mutex::default(),
            changed: Notify::new(),
        }
    }
}

impl Relays {
    /// Returns the open relay for a call of an epoch, if there is one.
    pub(super) async fn link_of(&self, target: &CallTarget, epoch: u32) -> Option<Arc<Link>> {
        if target.avoids_relay {
            return None;
        }
        let is_usable = |routes: &Arc<Routes>| routes.is_usable(epoch, &target.data_centre);
        if !is_usable(&self.routes.borrow()) {
            let mut routes = self.routes.subscribe();
            // Fails only when the process ends.
            drop(routes.wait_for(is_usable).await);
        }
        let routes = Arc::clone(&self.routes.borrow());
        if routes.epoch != epoch {
            return None;
        }
        let local = routes.by_data_centre.get(&target.data_centre)?;
        let elsewhere = || routes.by_data_centre.values().flatten();
        link_among(target, local.iter()).or_else(|| link_among(target, elsewhere()))
    }

    /// Records that a relay was lost.
    pub(super) fn relay_lost(&self, relay: &Name, now_ms: u64) {
        let mut connections = self.connections.lock();
        connections.open.swap_remove(relay);
        connections.lost_ms.insert(Name::clone(relay), now_ms);
        drop(connections);
        self.changed.notify_one();
    }
}

fn link_among<'a>(
    target: &CallTarget,
    links: impl Iterator<Item = (&'a Name, &'a Arc<Link>)>,
) -> Option<Arc<Link>> {
    let open: IndexMap<&Name, &Arc<Link>> = links.filter(|(_, link)| link.is_open()).collect();
    let relay = relay_of(&target.worker, open.keys().copied())?;
    open.get(relay).map(|link| Arc::clone(link))
}

/// Chooses relays and keeps the connections to them until the cell is lost. The previous
/// owner had `expected_workers` workers, so that relays can be connected while the cell is
/// loaded.
pub(in crate::fleet) async fn maintain(fleet: Arc<Fleet>, epoch: u32, expected_workers: usize) {
    let relays = &fleet.relays;
    relays.routes.send_replace(Arc::new(Routes { epoch, ..Routes::default() }));
    *relays.connections.lock() = Connections { epoch, ..Connections::default() };
    let mut peers_read_ms = 0;
    let mut loaded_ms = None;
    while fleet.is_owner(epoch) {
        let now_ms = fleet.now_ms();
        let listed = fleet.with_board(epoch, |board| board.workers_by_data_centre());
        let listed = listed.filter(|workers| !workers.is_empty());
        if listed.is_some() {
            loaded_ms.get_or_insert(now_ms);
        }
        let workers = listed.unwrap_or_else(|| assume_workers(&fleet, expected_workers));
        let total: usize = workers.values().sum();
        let is_direct = total as u64 <= fleet.settings.max_direct_workers;
        let mut chosen = IndexMap::new();
        if !is_direct {
            chosen = choose(&fleet, &workers);
            let is_short = chosen.values().any(IndexMap::is_empty);
            if is_short && now_ms >= peers_read_ms + PEER_READ_INTERVAL_MS {
                peers_read_ms = now_ms;
                if let Err(error) = peers::read_list(&fleet).await {
                    tracing::debug!(name: "peers.not_read", %error, "failed to read the list of peers; retrying");
                }
                chosen = choose(&fleet, &workers);
            }
            connect_missing(&fleet, epoch, &chosen);
        }
        let by_data_centre = open_links(&fleet, chosen);
        let is_connected = by_data_centre.values().all(|links| !links.is_empty());
        let is_overdue = loaded_ms.is_some_and(|at_ms| now_ms > at_ms + FIRST_RELAYS_TIMEOUT_MS);
        let is_loaded = loaded_ms.is_some();
        let is_settled = is_loaded && (is_direct || is_connected || is_overdue);
        let routes = Routes { epoch, is_loaded, is_settled, by_data_centre };
        relays.routes.send_replace(Arc::new(routes));
        let review_ms = if is_settled { REVIEW_INTERVAL_MS } else { UNSETTLED_REVIEW_INTERVAL_MS };
        let review = Duration::from_millis(review_ms);
        // A timeout only means that the next review is due.
        drop(timeout(review, relays.changed.notified()).await);
    }
    // A later ownership of this process has its own relays.
    let mut connections = relays.connections.lock();
    if connections.epoch == epoch {
        *connections = Connections::default();
        // Calls that still wait end with the ownership.
        let ended = Routes { epoch, is_settled: true, ..Routes::default() };
        relays.routes.send_replace(Arc::new(ended));
    }
}

/// Spreads a number of workers over the data centres of the peers.
fn assume_workers(fleet: &Fleet, workers: usize) -> IndexMap<DataCentre, usize> {
    let peers = fleet.peers.lock();
    let data_centres: IndexSet<DataCentre> =
        peers.values().map(|peer| peer.data_centre.clone()).collect();
    let share = workers / data_centres.len().max(1);
    data_centres.into_iter().map(|data_centre| (data_centre, share)).collect()
}

/// Returns the chosen relays of each data centre.
fn choose(fleet: &Fleet, workers: &IndexMap<DataCentre, usize>) -> ByDataCentre<PeerRow> {
    let now_ms = fleet.now_ms();
    let mut connections = fleet.relays.connections.lock();
    connections.lost_ms.retain(|_, at_ms| now_ms < *at_ms + LOST_RELAY_PAUSE_MS);
    let peers = fleet.peers.lock();
    let usable = peers.iter().filter(|(name, _)| !connections.lost_ms.contains_key(*name));
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

/// Starts connecting to the chosen relays that aren't connected.
fn connect_missing(fleet: &Arc<Fleet>, epoch: u32, chosen: &ByDataCentre<PeerRow>) {
    let mut connections = fleet.relays.connections.lock();
    for (name, peer) in chosen.values().flatten() {
        let is_open = connections.open.contains_key(name);
        if !is_open && connections.connecting.insert(Name::clone(name)) {
            tokio::spawn(connect(Arc::clone(fleet), epoch, Name::clone(name), peer.clone()));
        }
    }
}

async fn connect(fleet: Arc<Fleet>, epoch: u32, name: Name, peer: PeerRow) {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = timeout(limit, (fleet.peer_calls.connect_relay)(peer)).await;
    let connected = connected
        .unwrap_or_else(|_elapsed| UnavailableSnafu { reason: "connecting timed out" }.fail());
    let mut connections = fleet.relays.connections.lock();
    if connections.epoch != epoch {
        return;
    }
    connections.connecting.swap_remove(&name);
    match connected {
        Ok(channel) => {
            tracing::info!(name: "relay.connected", epoch, relay = &*name, "a process relays calls to workers");
            let link = Link::open(&fleet, &name, epoch, channel);
            connections.open.insert(name, link);
        }
        Err(error) => {
            tracing::info!(name: "relay.not_connected", epoch, relay = &*name, %error, "cannot connect to a relay; choosing another one");
            connections.lost_ms.insert(name, fleet.now_ms());
        }
    }
    drop(connections);
    fleet.relays.changed.notify_one();
}

/// Returns the open connections to the chosen relays.
fn open_links(fleet: &Fleet, chosen: ByDataCentre<PeerRow>) -> ByDataCentre<Arc<Link>> {
    let connections = fleet.relays.connections.lock();
    let open = |name: Name| {
        let link = Arc::clone(connections.open.get(&name)?);
        link.is_open().then_some((name, link))
    };
    chosen
        .into_iter()
        .map(|(data_centre, peers)| (data_centre, peers.into_keys().filter_map(open).collect()))
        .collect()
}
