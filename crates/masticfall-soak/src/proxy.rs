//! A loopback TCP proxy that injects faults into open and new connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How a link treats forwarded data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards data in both directions.
    Open,
    /// Forwards each chunk after this delay, in milliseconds.
    Delayed(u64),
    /// Drops data sent to the server; data to the client still passes.
    DropToServer,
    /// Drops data sent to the client; data to the server still passes.
    DropToClient,
    /// Drops data in both directions and keeps connections open.
    Blackhole,
    /// Holds data sent to the server until the mode changes, as a network does that sends lost
    /// data again; data to the client still passes.
    HoldToServer,
    /// Holds data sent to the client until the mode changes; data to the server still passes.
    HoldToClient,
    /// Holds data in both directions until the mode changes.
    Hold,
    /// Closes open and new connections.
    Reset,
}

/// Largest chunk forwarded at once, in bytes.
const CHUNK_BYTES: usize = 16_384;

/// Time for which a connection to the server stays open after held data was delivered to it for
/// a client that has gone, in milliseconds. The server would otherwise see the end of the
/// connection while it handles the request, and may abandon it.
const LATE_DELIVERY_MS: u64 = 1_000;

/// A proxy that stops accepting connections when dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    /// Number of times that the open connections went silent.
    silences: watch::Sender<u64>,
    accept_task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `server`.
    ///
    /// # Errors
    /// The system's error.
    pub async fn open(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, mode_receiver) = watch::channel(LinkMode::Open);
        let (silences, silence_receiver) = watch::channel(0);
        let accept_task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let silences = silence_receiver.clone();
                tokio::spawn(forward_connection(client, server, mode_receiver.clone(), silences));
            }
        });
        Ok(Self { address, mode, silences, accept_task })
    }

    /// Returns the current mode.
    pub fn mode(&self) -> LinkMode {
        *self.mode.borrow()
    }

    /// Sets the mode of open and new connections.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Lets the open connections go silent for good: they stay open and deliver nothing, while
    /// new ones work.
    pub fn silence_open(&self) {
        self.silences.send_modify(|count| *count += 1);
    }
}

/// Lets the open connections of a process to the store, or those of all processes to a worker,
/// go silent; returns which ones.
pub fn silence_one(
    store_links: &[Proxy],
    worker_links: &[Vec<Proxy>],
    random: &mut StdRng,
) -> String {
    if random.random_bool(0.5) {
        let index = random.random_range(0..store_links.len());
        store_links[index].silence_open();
        format!("open connections from p{index} to the store went silent")
    } else {
        let index = random.random_range(0..worker_links.len());
        worker_links[index].iter().for_each(Proxy::silence_open);
        format!("open connections to worker {index} went silent")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Forwards one connection until either side closes it or the mode becomes `Reset`.
async fn forward_connection(
    client: TcpStream,
    server: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
    silences: watch::Receiver<u64>,
) {
    let silences_before = *silences.borrow();
    let is_silent = || *silences.borrow() != silences_before;
    if *mode.borrow() == LinkMode::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else { return };
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let (mode_to_server, mode_to_client) = (mode.clone(), mode.clone());
    let fate = |mode, dropping, holding| {
        let is_cut = [dropping, LinkMode::Blackhole, LinkMode::Reset].contains(&mode);
        if is_cut || is_silent() {
            Fate::Dropped
        } else if mode == holding || mode == LinkMode::Hold {
            Fate::Held
        } else {
            Fate::Forwarded
        }
    };
    let fate_to_server = |mode| fate(mode, LinkMode::DropToServer, LinkMode::HoldToServer);
    let fate_to_client = |mode| fate(mode, LinkMode::DropToClient, LinkMode::HoldToClient);
    tokio::select! {
        () = forward(client_in, server_out, mode_to_server, fate_to_server) => {}
        () = forward(server_in, client_out, mode_to_client, fate_to_client) => {}
        // An error means that the proxy was dropped.
        _ = mode.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

/// What becomes of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Forwarded,
    Held,
    Dropped,
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    fate: impl Fn(LinkMode) -> Fate,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut was_held = false;
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        was_held = fate(*mode.borrow()) == Fate::Held;
        // What the client sends after this chunk waits in the socket, with its end.
        let Ok(current_mode) = mode.wait_for(|mode| fate(*mode) != Fate::Held).await.map(|m| *m)
        else {
            return;
        };
        if let LinkMode::Delayed(ms) = current_mode {
            sleep(Duration::from_millis(ms)).await;
        }
        let is_forwarded = fate(current_mode) == Fate::Forwarded;
        if is_forwarded && to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
    if was_held {
        sleep(Duration::from_millis(LATE_DELIVERY_MS)).await;
    }
}
