//! Configurations passed on between processes.
//!
//! The store may refuse some processes while it serves the others and the
//! operators. A key that is withdrawn meanwhile must not work at any of them, so
//! a process that can't read the operators' rows asks the others for a newer
//! configuration than its own. While the store serves everybody nothing is asked.

mod channel;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticfall_core::fleet::config::FleetConfig;
use masticfall_core::id::Name;
use masticfall_platform::Result;
use masticfall_platform::fleet::RowTransaction;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

pub use channel::{fetch_config, serve};

use super::context::Fleet;
use super::follow;
use super::rows::{PEERS, place, read, value};

/// Pause between two questions, in milliseconds: with three tries in a second a
/// withdrawn key is dead within two, also when some of the others know no more.
const ASK_MS: u64 = 300;

/// Time after which operators' rows that were not read count as cut off, in
/// milliseconds: a whole wait of the feed and a slow answer.
const CUT_OFF_MS: u64 = follow::OPERATORS_WAIT_MS + 700;

/// Period at which the list of processes is read, in milliseconds. Who is new is
/// needed only when the store is away.
const LIST_MS: u64 = 10_000;

/// Pause before a failed call to the store is tried again, in milliseconds.
const AGAIN_MS: u64 = 500;

/// A process that can be asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRow {
    /// Its address for other processes.
    pub address: SocketAddr,
    /// What a question has to carry: proof that the asker reads our rows.
    pub token: Name,
}

/// Asks a process for a configuration newer than a version.
pub type Ask =
    Arc<dyn Fn(PeerRow, u64) -> BoxFuture<'static, Result<Option<FleetConfig>>> + Send + Sync>;

/// Lists this process, and reads who else there is, for as long as it runs.
pub async fn list(fleet: Arc<Fleet>) {
    let mut is_listed = false;
    loop {
        if !is_listed {
            is_listed = write(&fleet, true).await.is_ok();
        }
        let wait_ms = match follow::read_table(&fleet, PEERS).await {
            Ok((rows, _)) => {
                let mut peers = fleet.peers.lock();
                peers.clear();
                for row in rows.iter().filter(|row| *row.key != *fleet.settings.name) {
                    match row.value.as_deref().map(read::<PeerRow>) {
                        Some(Ok(peer)) => drop(peers.insert(Name::clone(&row.key), peer)),
                        Some(Err(error)) => {
                            tracing::warn!(name: "peer.unreadable", peer = &*row.key, %error, "left out");
                        }
                        None => {}
                    }
                }
                LIST_MS
            }
            Err(error) => {
                tracing::debug!(name: "peers.not_read", %error, "trying again");
                AGAIN_MS
            }
        };
        let wait_ms = if is_listed { wait_ms } else { AGAIN_MS };
        let spread_ms = rand::rng().random_range(0..wait_ms / 4);
        sleep(Duration::from_millis(wait_ms + spread_ms)).await;
    }
}

/// Writes or removes the row of this process.
///
/// # Errors
/// The platform's failure.
pub async fn write(fleet: &Fleet, is_there: bool) -> Result<()> {
    let row = PeerRow { address: fleet.settings.peers, token: Name::clone(&fleet.token) };
    let row = if is_there { Some(value(&row)?) } else { None };
    let writes = vec![(place(PEERS, Name::clone(&fleet.settings.name)), row)];
    (fleet.platform.transact)(RowTransaction { checks: Vec::new(), writes }).await.map(drop)
}

/// Asks other processes while the operators' rows can't be read.
pub async fn follow_others(fleet: Arc<Fleet>) {
    loop {
        sleep(Duration::from_millis(ASK_MS)).await;
        if fleet.now_ms() < fleet.operators_read_ms() + CUT_OFF_MS && !fleet.is_store_lost() {
            continue;
        }
        let peer = fleet.peers.lock().values().choose(&mut rand::rng()).cloned();
        let Some(peer) = peer else { continue };
        let known = fleet.config().map_or(0, |config| config.version);
        let address = peer.address;
        match (fleet.ask)(peer, known).await {
            Ok(Some(config)) => {
                tracing::info!(name: "config.from_peer", process = %fleet.incarnation, peer = %address, known, version = config.version, "newer configuration from another process");
                follow::apply_config(&fleet, Arc::new(config));
            }
            Ok(None) => {}
            Err(error) => {
                tracing::debug!(name: "peer.no_answer", peer = %address, %error, "asking another one");
            }
        }
    }
}
