//! `masticfall try --platform-only`: the stand-in platform over HTTP, with targets and
//! workers, for entry processes that run separately.

use std::net::SocketAddr;

use masticfall_platform::serve::{ServePhase, bind, serve};
use masticfall_standin::server::PlatformServer;
use tokio::sync::watch;

use super::{Backends, trial_start_error};
use crate::error::{CliError, Result};

/// Serves until the process receives Ctrl-C.
///
/// # Errors
/// [`CliError::TrialStart`] when a port cannot be bound.
pub async fn run(listen: SocketAddr) -> Result<()> {
    let backends = Backends::start().await?;
    let listener = bind(listen).await.map_err(|error| CliError::TrialStart {
        reason: format!("cannot listen on {listen}: {error}"),
    })?;
    let address = listener.local_addr().map_err(|error| trial_start_error(&error))?;
    let (phase_tx, phase_rx) = watch::channel(ServePhase::Open);
    let server = serve(listener, PlatformServer::new(&backends.cloud), phase_rx);
    println!("platform  http://{address}");
    for (name, target) in &backends.targets {
        println!("target    {name}  http://{}", target.address);
    }
    drop(tokio::signal::ctrl_c().await);
    phase_tx.send_replace(ServePhase::Drained);
    drop(server.await);
    Ok(())
}
