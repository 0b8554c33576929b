//! HTTP servers that can be stopped without stopping the process, and that limit what their
//! clients hold.
//!
//! The HTTP library's server stops only on a signal to the process and then gives requests 30 s
//! to finish. Here a watch channel closes the listener, and closes the connections once the owner
//! has drained. That server also buffers 400 KB of a head a connection, without a setting for it,
//! so connections are driven by `hyper` directly; services keep the library's interface.

mod body;
mod connection;
mod gate;
mod limits;
mod stream;

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use motore::service::Service;
use rustix::io::Errno;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use volo::METAINFO;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

pub use body::{BodyError, discard_body, read_body};
pub use gate::{Gate, RequestSizes, ServeUsage};
pub use limits::{ServeLimits, ServeLimitsBuilder};

use connection::{Connection, ConnectionHandle};
use stream::ClientStream;

/// Maximum number of headers in a request.
pub const MAX_HEADERS: usize = 100;

/// Pause after a connection could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;

tokio::task_local! {
    /// The connection whose request the task serves.
    static CONNECTION: ConnectionHandle;
}

/// Returns the connection whose request the task serves, if its server is limited.
fn current_connection() -> Option<ConnectionHandle> {
    CONNECTION.try_with(ConnectionHandle::clone).ok()
}

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

/// Binds a TCP listener.
///
/// # Errors
/// Returns the operating system's error, such as an address in use.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts a connection; after a failure it pauses before the next try.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => pause_accepting(&error).await,
        }
    }
}

async fn pause_accepting(error: &io::Error) {
    tracing::debug!(name: "serve.not_accepted", %error, "failed to accept a connection; retrying");
    sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
}

/// Serves HTTP to trusted clients, without limits on what they hold, until the phase reaches
/// [`ServePhase::Drained`].
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
    tokio::spawn(accept_connections(listener, Arc::new(service), phase, None))
}

/// Serves HTTP to clients that hold no more than the gate allows, until the phase reaches
/// [`ServePhase::Drained`].
pub fn serve_limited<S>(
    listener: TcpListener,
    service: S,
    phase: watch::Receiver<ServePhase>,
    gate: &Arc<Gate>,
) -> JoinHandle<()>
where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    tokio::spawn(accept_connections(listener, Arc::new(service), phase, Some(Arc::clone(gate))))
}

async fn accept_connections<S>(
    listener: TcpListener,
    service: Arc<S>,
    mut phase: watch::Receiver<ServePhase>,
    gate: Option<Arc<Gate>>,
) where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    loop {
        let accepted = tokio::select! {
            // An error means that the sender was dropped, which ends the server as well.
            _ = phase.wait_for(|phase| *phase >= ServePhase::Closed) => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, client) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                if let Some(gate) = gate.as_ref().filter(|_| is_exhausted(&error)) {
                    gate.handle_failed_accept();
                }
                pause_accepting(&error).await;
                continue;
            }
        };
        let connection = match &gate {
            Some(gate) => match gate.admit().await {
                Ok(connection) => Some(connection),
                Err(gate::NoRoom) => continue,
            },
            None => None,
        };
        let service = Arc::clone(&service);
        tokio::spawn(serve_connection(stream, client, service, phase.clone(), connection));
    }
    drop(listener);
    drop(phase.wait_for(|phase| *phase >= ServePhase::Drained).await);
}

/// Returns whether the system lacks descriptors or memory for another connection.
fn is_exhausted(error: &io::Error) -> bool {
    let exhausted = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| exhausted.contains(&errno))
}

async fn serve_connection<S>(
    stream: TcpStream,
    client: SocketAddr,
    service: Arc<S>,
    mut phase: watch::Receiver<ServePhase>,
    connection: Option<Connection>,
) where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(name: "serve.nodelay", %client, %error, "connection closed before its first request");
        return;
    }
    let handle = connection.as_ref().map(Connection::handle);
    let mut http = http1::Builder::new();
    http.max_headers(MAX_HEADERS);
    if let Some(handle) = &handle {
        http.max_buf_size(handle.gate().limits().max_head_bytes);
    }
    let stream = TokioIo::new(ClientStream::new(stream, handle.clone()));
    let adapter = ServiceAdapter { service, client: Address::from(client), handle: handle.clone() };
    let mut exchange = pin!(http.serve_connection(stream, adapter));
    let drained = async { drop(phase.wait_for(|phase| *phase >= ServePhase::Drained).await) };
    let closed = async {
        match &handle {
            Some(handle) => handle.closed().await,
            None => std::future::pending().await,
        }
    };
    let mut closed = pin!(closed);
    let result = tokio::select! {
        result = exchange.as_mut() => result,
        () = &mut closed => return,
        () = drained => {
            exchange.as_mut().graceful_shutdown();
            tokio::select! {
                result = exchange.as_mut() => result,
                () = &mut closed => return,
            }
        }
    };
    if let Err(error) = result {
        tracing::debug!(name: "serve.broken_off", %client, %error, "connection failed");
    }
}

/// Calls a service of the HTTP library for `hyper`.
struct ServiceAdapter<S> {
    service: Arc<S>,
    client: Address,
    handle: Option<ConnectionHandle>,
}

impl<S> hyper::service::Service<http::Request<Incoming>> for ServiceAdapter<S>
where
    S: Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    type Response = Response;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response, Infallible>>;

    fn call(&self, request: http::Request<Incoming>) -> Self::Future {
        let service = Arc::clone(&self.service);
        let mut context = ServerContext::new(self.client.clone());
        let request = request.map(Body::from_incoming);
        let is_complete = request.body().is_end_stream();
        // The library's clients and routers expect this task-local value.
        let respond = METAINFO
            .scope(RefCell::default(), async move { service.call(&mut context, request).await });
        let Some(handle) = self.handle.clone() else { return Box::pin(respond) };
        let guard = handle.begin_request();
        if is_complete {
            handle.record_complete();
        }
        Box::pin(CONNECTION.scope(handle, async move {
            let response = respond.await;
            drop(guard);
            response
        }))
    }
}
