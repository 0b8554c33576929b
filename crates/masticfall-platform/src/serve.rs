//! HTTP servers that can be stopped without stopping the process.
//!
//! The HTTP library's server stops only on a signal to the process and then
//! gives requests 30 s to finish. Here a watch channel closes the listener, and
//! a second receiver delays the library's shutdown until the owner has drained.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;

use motore::service::Service;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

/// Maximum number of headers in a request.
pub const MAX_HEADERS: usize = 100;

/// Shutdown phase of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServePhase {
    /// Accepts connections.
    Open,
    /// Accepts no more connections; requests in progress continue.
    Closed,
    /// All requests have finished; connections are closed.
    Drained,
}

struct StoppableIncoming {
    listener: Option<TcpListener>,
    phase: watch::Receiver<ServePhase>,
}

impl fmt::Debug for StoppableIncoming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.listener.as_ref().and_then(|listener| listener.local_addr().ok()))
    }
}

impl MakeIncoming for StoppableIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for StoppableIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        if let Some(listener) = &self.listener {
            let closed = self.phase.wait_for(|phase| *phase >= ServePhase::Closed);
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    stream.set_nodelay(true)?;
                    return Ok(Some(Conn::from(stream)));
                }
                _ = closed => {}
            }
        }
        // The library polls again immediately if no connection is returned.
        self.listener = None;
        std::future::pending().await
    }
}

/// Binds a TCP listener.
///
/// # Errors
/// Returns the operating system's error, such as an address in use.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves HTTP on a listener until the phase reaches [`ServePhase::Drained`].
pub fn serve<S>(
    listener: TcpListener,
    service: S,
    phase: watch::Receiver<ServePhase>,
) -> JoinHandle<()>
where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    let incoming = StoppableIncoming { listener: Some(listener), phase: phase.clone() };
    let mut hook_phase = phase.clone();
    let mut server = Server::new(service).http1_only().register_shutdown_hook(move || {
        Box::pin(async move {
            // An error means that the sender was dropped, which ends the wait as well.
            drop(hook_phase.wait_for(|phase| *phase >= ServePhase::Drained).await);
        })
    });
    server.http1_config().set_max_headers(MAX_HEADERS);
    let mut end_phase = phase;
    tokio::spawn(async move {
        let run = server.run(incoming);
        let end = end_phase.wait_for(|phase| *phase >= ServePhase::Drained);
        tokio::select! {
            _ = run => {}
            _ = end => {}
        }
    })
}
