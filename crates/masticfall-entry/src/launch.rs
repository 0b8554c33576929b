//! Starts an entry process: binds its ports and spawns its background tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use masticfall_core::id::Name;
use masticfall_core::timeline::EventKind;
use masticfall_platform::Platform;
use masticfall_platform::serve::{
    Gate, RequestSizes, ServeLimits, ServePhase, bind, serve_limited,
};
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::context::{Addresses, Node};
use crate::http::{HttpService, MAX_HEADER_BYTES};
use crate::settings::{Settings, mib, unless_zero};
use crate::{grants, membership, peers, planner, shutdown, sync};

/// A failure to start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address} (setting `{key}`)"))]
    Bind {
        /// Setting that names the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// Result of a start.
pub type Result<T> = std::result::Result<T, StartError>;

/// Size of a head that is still read, in bytes; the service refuses those of half the size.
const MAX_HEAD_BYTES: usize = 128 * 1_024;

/// A running entry process.
#[derive(Debug)]
pub struct RunningEntry {
    /// Its context.
    pub node: Arc<Node>,
    serve_phase: watch::Sender<ServePhase>,
    server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts an entry process on a platform.
///
/// # Errors
/// Returns [`StartError::Bind`] when an address cannot be bound.
pub async fn start(settings: Settings, platform: Platform) -> Result<RunningEntry> {
    let http =
        bind(settings.http).await.context(BindSnafu { key: "http", address: settings.http })?;
    let peer =
        bind(settings.peer).await.context(BindSnafu { key: "peer", address: settings.peer })?;
    let address_text = |bound: std::io::Result<SocketAddr>, requested: SocketAddr| {
        Name::from(bound.unwrap_or(requested).to_string())
    };
    let addresses = Addresses {
        http: address_text(http.local_addr(), settings.http),
        peer: address_text(peer.local_addr(), settings.peer),
    };
    let node = Node::new(settings, addresses, platform, peers::websocket_dialer());
    node.record(EventKind::Started, &[]);
    let (serve_phase, phase_receiver) = watch::channel(ServePhase::Open);
    let body_bytes = node.settings.max_body_bytes as usize;
    let request_sizes = RequestSizes { header_bytes: MAX_HEADER_BYTES, body_bytes };
    let usage = Arc::clone(&node.metrics.callers);
    let gate = Gate::new(serve_limits(&node.settings), usage, move || request_sizes);
    let server = serve_limited(http, HttpService::new(&node), phase_receiver, &gate);
    let mut tasks: Vec<JoinHandle<()>> =
        background_tasks(&node).into_iter().map(tokio::spawn).collect();
    tasks.push(tokio::spawn(peers::accept(Arc::clone(&node), peer)));
    tracing::info!(
        name: "entry.started",
        process = %node.incarnation,
        http = %node.addresses.http,
        peer = %node.addresses.peer,
        "entry process started"
    );
    Ok(RunningEntry { node, serve_phase, server, tasks })
}

/// Returns the limits on what callers and operators hold.
fn serve_limits(settings: &Settings) -> ServeLimits {
    ServeLimits::builder()
        .instance_memory_bytes(unless_zero(settings.memory_mib).map(mib))
        .memory_bytes(unless_zero(settings.callers_memory_mib).map(mib))
        .max_connections(unless_zero(settings.max_connections))
        .max_head_bytes(MAX_HEAD_BYTES)
        .build()
}

/// Returns the background tasks of a process.
pub fn background_tasks(node: &Arc<Node>) -> Vec<BoxFuture<'static, ()>> {
    vec![
        Box::pin(membership::run(Arc::clone(node))),
        Box::pin(sync::run(Arc::clone(node))),
        Box::pin(grants::run(Arc::clone(node))),
        Box::pin(peers::run_heartbeats(Arc::clone(node))),
        Box::pin(planner::run(Arc::clone(node))),
    ]
}

impl RunningEntry {
    /// Shuts down gracefully and waits until the server has ended.
    pub async fn stop(self) {
        shutdown::drain(&self.node, &self.serve_phase).await;
        for task in &self.tasks {
            task.abort();
        }
        // An error means that the server task was aborted or panicked; it has ended either way.
        drop(self.server.await);
    }

    /// Ends at once, as in a crash: no units are released.
    pub fn crash(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.node.state().phase = crate::state::Phase::Left;
        self.serve_phase.send_replace(ServePhase::Drained);
        self.server.abort();
    }
}
