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

/// How a proxy treats forwarded data.
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
    /// Closes open and new connections.
    Reset,
}

/// Largest chunk forwarded at once, in bytes.
const CHUNK_BYTES: usize = 16_384;

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

/// Lets the open connections of one link go silent; returns which one.
pub fn silence_one(store_links: &[Proxy], worker_links: &[Proxy], random: &mut StdRng) -> String {
    let goes_to_store = random.random_bool(0.5);
    let links = if goes_to_store { store_links } else { worker_links };
    let index = random.random_range(0..links.len());
    links[index].silence_open();
    if goes_to_store {
        format!("open connections from p{index} to the store went silent")
    } else {
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
    let drops_to_server =
        |mode| is_silent() || matches!(mode, LinkMode::DropToServer | LinkMode::Blackhole);
    let drops_to_client =
        |mode| is_silent() || matches!(mode, LinkMode::DropToClient | LinkMode::Blackhole);
    tokio::select! {
        () = forward(client_in, server_out, mode_to_server, drops_to_server) => {}
        () = forward(server_in, client_out, mode_to_client, drops_to_client) => {}
        // An error means that the proxy was dropped.
        _ = mode.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mode: watch::Receiver<LinkMode>,
    is_dropped: impl Fn(LinkMode) -> bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut chunk).await else { return };
        let current_mode = *mode.borrow();
        if let LinkMode::Delayed(ms) = current_mode {
            sleep(Duration::from_millis(ms)).await;
        }
        if !is_dropped(current_mode) && to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
