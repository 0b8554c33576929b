//! The stand-in platform over HTTP, with targets and workers, for processes that run apart.

use std::net::SocketAddr;

use masticfall_platform::serve::{ServePhase, bind, serve};
use masticfall_standin::server::PlatformServer;
use tokio::sync::watch;

use super::{Backends, trial_error};
use crate::error::{CliError, Result};

/// Runs until the process is stopped.
///
/// # Errors
/// [`CliError::TrialStart`] when a port cannot be bound.
pub async fn run(listen: SocketAddr) -> Result<()> {
    let backends = Backends::start().await?;
    let listener = bind(listen).await.map_err(|error| CliError::TrialStart {
        reason: format!("cannot listen on {listen}: {error}"),
    })?;
    let address = listener.local_addr().map_err(|error| trial_error(&error))?;
    let (phase, phase_seen) = watch::channel(ServePhase::Open);
    let server = serve(listener, PlatformServer::new(&backends.cloud), phase_seen);
    println!("platform  http://{address}");
    for (name, target) in &backends.targets {
        println!("target    {name}  http://{}", target.address);
    }
    drop(tokio::signal::ctrl_c().await);
    phase.send_replace(ServePhase::Drained);
    drop(server.await);
    Ok(())
}
