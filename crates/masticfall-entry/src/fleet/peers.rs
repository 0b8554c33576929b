//! Exchange of configurations between processes.
//!
//! The store may be unavailable to some processes while it serves the others and
//! the operators. A key that is withdrawn in that time must be rejected by all of
//! them, so a process that can't read the operators' rows requests a newer
//! configuration from its peers. It sends no requests while the store serves it.

mod channel;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticfall_core::fleet::config::FleetConfig;
use masticfall_core::fleet::relays::worker_capacity;
use masticfall_core::id::{DataCentre, Incarnation, Name};
use masticfall_platform::Result;
use masticfall_platform::error::UnavailableSnafu;
use masticfall_platform::fleet::RowTransaction;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

pub use channel::{connect_owner, connect_relay, fetch_config, receive_submissions, serve};

use super::context::Fleet;
use super::relay::{FrameChannel, RelayConnector};
use super::rows::{PEERS_TABLE, cell_row_key, decode_row, encode_row};
use super::{follow, leadership, submissions};

/// Interval of requests to peers, in milliseconds: with three tries a second, a
/// withdrawn key is rejected within two seconds even when some peers have no newer
/// configuration.
const FETCH_INTERVAL_MS: u64 = 300;

/// Age of the last read of the operators' rows after which peers are asked, in
/// milliseconds: one long poll of the feed plus a slow response.
const MAX_OPERATOR_READ_AGE_MS: u64 = follow::OPERATOR_FEED_WAIT_MS + 700;

/// Interval at which the list of peers is read, in milliseconds. The list is used
/// only while the store is unavailable.
const LIST_INTERVAL_MS: u64 = 10_000;

/// Delay before a failed call to the store is retried, in milliseconds.
const RETRY_MS: u64 = 500;

/// A process that serves its configuration to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRow {
    /// Its address for peers.
    pub address: SocketAddr,
    /// Token that a request must carry: proves that the sender can read these rows.
    pub token: Name,
    /// Its data centre.
    #[serde(default = "unknown_data_centre")]
    pub data_centre: DataCentre,
    /// Number of workers that it can serve as a relay; 0 if it doesn't relay.
    #[serde(default)]
    pub worker_capacity: u32,
}

/// Data centre of a process whose version doesn't relay.
fn unknown_data_centre() -> DataCentre {
    DataCentre::from("")
}

/// Calls to other processes.
#[derive(Clone)]
pub struct PeerCalls {
    /// Requests a configuration.
    pub fetch_config: ConfigFetcher,
    /// Connects to a relay.
    pub connect_relay: RelayConnector,
    /// Opens a connection that carries stored submissions to the owner.
    pub connect_owner: RelayConnector,
}

impl fmt::Debug for PeerCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerCalls").finish_non_exhaustive()
    }
}

impl Default for PeerCalls {
    fn default() -> Self {
        Self {
            fetch_config: Arc::new(fetch_config),
            connect_relay: Arc::new(connect_relay),
            connect_owner: Arc::new(connect_owner),
        }
    }
}

/// Requests a configuration newer than a version from a peer.
pub type ConfigFetcher =
    Arc<dyn Fn(PeerRow, u64) -> BoxFuture<'static, Result<Option<FleetConfig>>> + Send + Sync>;

/// Registers this process as a peer and keeps the list of peers up to date, for as
/// long as it runs.
pub async fn maintain_list(fleet: Arc<Fleet>) {
    let mut is_listed = false;
    loop {
        if !is_listed {
            is_listed = write_own_row(&fleet, true).await.is_ok();
        }
        let wait_ms = match read_list(&fleet).await {
            Ok(()) => LIST_INTERVAL_MS,
            Err(error) => {
                tracing::debug!(name: "peers.not_read", %error, "failed to read the list of peers; retrying");
                RETRY_MS
            }
        };
        let wait_ms = if is_listed { wait_ms } else { RETRY_MS };
        let jitter_ms = rand::rng().random_range(0..wait_ms / 4);
        sleep(Duration::from_millis(wait_ms + jitter_ms)).await;
    }
}

/// Reads the list of the other processes.
///
/// # Errors
/// The platform's failure.
pub async fn read_list(fleet: &Fleet) -> Result<()> {
    let (rows, _) = follow::read_table(fleet, PEERS_TABLE).await?;
    let mut peers = fleet.peers.lock();
    peers.clear();
    for row in rows.iter().filter(|row| *row.key != *fleet.settings.name) {
        match row.value.as_deref().map(decode_row::<PeerRow>) {
            Some(Ok(peer)) => drop(peers.insert(Name::clone(&row.key), peer)),
            Some(Err(error)) => {
                tracing::warn!(name: "peer.unreadable", peer = &*row.key, %error, "ignoring peer row");
            }
            None => {}
        }
    }
    Ok(())
}

/// Writes or removes the row of this process.
///
/// # Errors
/// The platform's failure.
pub async fn write_own_row(fleet: &Fleet, is_listed: bool) -> Result<()> {
    let row = PeerRow {
        address: fleet.settings.peers,
        token: Name::clone(&fleet.token),
        data_centre: fleet.settings.data_centre.clone(),
        worker_capacity: worker_capacity(fleet.settings.cpu_share, fleet.settings.link_mbps),
    };
    let row = if is_listed { Some(encode_row(&row)?) } else { None };
    let writes = vec![(cell_row_key(PEERS_TABLE, Name::clone(&fleet.settings.name)), row)];
    (fleet.platform.transact)(RowTransaction { checks: Vec::new(), writes }).await.map(drop)
}

/// Sends stored submissions to the owner for as long as the process runs.
pub async fn notify_owner(fleet: Arc<Fleet>) {
    let Some(queue) = fleet.submissions.take_receiver() else { return };
    let owner = {
        let fleet = Arc::clone(&fleet);
        Box::new(move || leadership::current_owner(&fleet))
    };
    let connect = Box::new(move |owner: Incarnation| -> BoxFuture<'static, Result<FrameChannel>> {
        let fleet = Arc::clone(&fleet);
        Box::pin(async move {
            let peer = leadership::process_name(&owner)
                .and_then(|name| fleet.peers.lock().get(name).cloned());
            let connected = match peer {
                Some(peer) => (fleet.peer_calls.connect_owner)(peer).await,
                None => UnavailableSnafu { reason: "the owner is not listed" }.fail(),
            };
            if connected.is_err() {
                // The owner may have restarted since the list was read.
                read_list(&fleet).await?;
            }
            connected
        })
    });
    submissions::send(queue, owner, connect).await;
}

/// Requests configurations from peers while the operators' rows can't be read.
pub async fn fetch_from_peers(fleet: Arc<Fleet>) {
    loop {
        sleep(Duration::from_millis(FETCH_INTERVAL_MS)).await;
        if fleet.now_ms() < fleet.operators_read_ms() + MAX_OPERATOR_READ_AGE_MS
            && !fleet.is_store_failing()
        {
            continue;
        }
        let peer = fleet.peers.lock().values().choose(&mut rand::rng()).cloned();
        let Some(peer) = peer else { continue };
        let known = fleet.config().map_or(0, |config| config.version);
        let address = peer.address;
        match (fleet.peer_calls.fetch_config)(peer, known).await {
            Ok(Some(config)) => {
                tracing::info!(name: "config.from_peer", process = %fleet.incarnation, peer = %address, known, version = config.version, "received a newer configuration from a peer");
                follow::apply_config(&fleet, Arc::new(config));
            }
            Ok(None) => {}
            Err(error) => {
                tracing::debug!(name: "peer.no_answer", peer = %address, %error, "peer did not answer; trying another one");
            }
        }
    }
}
