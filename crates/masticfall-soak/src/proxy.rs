//! A loopback proxy whose faults are switched while connections are open.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How a proxy treats what it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Carries it.
    Open,
    /// Carries it, each piece this much later, in milliseconds.
    Delayed(u64),
    /// Drops what goes towards the server; answers still pass.
    DropToServer,
    /// Drops answers; what goes towards the server still passes.
    DropToClient,
    /// Drops everything, and keeps connections open.
    Blackhole,
    /// Closes every connection, old and new.
    Reset,
}

/// Bytes carried at once.
const PIECE_BYTES: usize = 16_384;

/// A proxy; it ends when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    accepting: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy towards a server.
    ///
    /// # Errors
    /// The system's error.
    pub async fn open(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, watch) = watch::channel(LinkMode::Open);
        let accepting = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(carry(client, server, watch.clone()));
            }
        });
        Ok(Self { address, mode, accepting })
    }

    /// Returns how it treats what it carries.
    pub fn mode(&self) -> LinkMode {
        *self.mode.borrow()
    }

    /// Sets how it treats what it carries from now on, on open connections too.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Carries one connection until either side, or a reset, ends it.
async fn carry(client: TcpStream, server: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    if *mode.borrow() == LinkMode::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else { return };
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let (forth, back) = (mode.clone(), mode.clone());
    let is_cut_forth = |mode| matches!(mode, LinkMode::DropToServer | LinkMode::Blackhole);
    let is_cut_back = |mode| matches!(mode, LinkMode::DropToClient | LinkMode::Blackhole);
    tokio::select! {
        () = pump(client_in, server_out, forth, is_cut_forth) => {}
        () = pump(server_in, client_out, back, is_cut_back) => {}
        // An error means that the proxy is gone.
        _ = mode.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mode: watch::Receiver<LinkMode>,
    is_cut: impl Fn(LinkMode) -> bool,
) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut piece).await else { return };
        let now = *mode.borrow();
        if let LinkMode::Delayed(ms) = now {
            sleep(Duration::from_millis(ms)).await;
        }
        if !is_cut(now) && to.write_all(&piece[..length]).await.is_err() {
            return;
        }
    }
}
