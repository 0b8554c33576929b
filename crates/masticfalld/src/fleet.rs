//! The entry process on a platform that runs fleets of workers.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use masticfall_adapter::edge::Listeners;
use masticfall_adapter::{ServiceAddresses, connect};
use masticfall_entry::fleet::context::boottime_ms;
use masticfall_entry::fleet::{FleetSettings, peers, start};
use masticfall_platform::serve::bind;
use tokio::signal::unix::{SignalKind, signal};
use tracing_appender::non_blocking::NonBlockingBuilder;

use crate::{AnySettings, init_logging};

/// Maximum number of buffered log lines; further lines are dropped, so that a
/// stalled reader of standard output does not block the process.
const LOG_BUFFER_LINES: usize = 4_096;

/// Runs the process until a signal terminates it, and returns the exit code.
pub fn run(path: &Path, settings: FleetSettings, check_only: bool, filter: &str) -> ExitCode {
    if check_only {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    let (writer, log_guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_BUFFER_LINES)
        .finish(std::io::stdout());
    if let Err(message) = init_logging(filter, true, writer) {
        eprintln!("error: {message}");
        return ExitCode::from(2);
    }
    // A single thread, since more threads gain nothing on a quarter of a core.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(serve(path, settings)),
        Err(error) => {
            eprintln!("error: cannot start the runtime: {error}");
            ExitCode::FAILURE
        }
    };
    drop(log_guard);
    code
}

async fn serve(path: &Path, settings: FleetSettings) -> ExitCode {
    let services = ServiceAddresses {
        store: settings.store,
        machines: settings.machines,
        advice: settings.advice,
    };
    let signals = signal(SignalKind::terminate()).and_then(|terminate| {
        Ok((terminate, signal(SignalKind::interrupt())?, signal(SignalKind::hangup())?))
    });
    let (mut terminate, mut interrupt, mut hangup) = match signals {
        Ok(signals) => signals,
        Err(error) => return exit_with_error(&format!("cannot listen for signals: {error}")),
    };
    let platform = connect(services, settings.page_rows());
    let running = start(settings, platform, Arc::new(boottime_ms), peers::PeerCalls::default());
    let listeners = match Listeners::bind(&running.fleet).await {
        Ok(listeners) => listeners,
        Err(error) => return exit_with_error(&format!("cannot listen: {error}")),
    };
    let peer_listener = match bind(running.fleet.settings.peers).await {
        Ok(peer_listener) => peer_listener,
        Err(error) => return exit_with_error(&format!("cannot listen for peers: {error}")),
    };
    drop(tokio::spawn(peers::serve(Arc::clone(&running.fleet), peer_listener)));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path),
        }
    }
    running.shut_down(|| listeners.stop_accepting()).await;
    listeners.shut_down().await;
    ExitCode::SUCCESS
}

/// Re-reads the settings and logs whether they are valid. No setting can change
/// without a restart yet.
fn reload(path: &Path) {
    match crate::read_settings(path) {
        Ok(AnySettings::Fleet(_)) => {
            tracing::info!(name: "process.reloaded", "settings are valid; changes take effect after a restart");
        }
        Ok(AnySettings::Entry(_)) => {
            tracing::warn!(name: "process.not_reloaded", "settings are for another kind of platform; not reloaded");
        }
        Err(error) => tracing::warn!(name: "process.not_reloaded", error, "settings are invalid"),
    }
}

fn exit_with_error(message: &str) -> ExitCode {
    let mut stderr = std::io::stderr();
    // The message is lost if standard error is closed.
    drop(writeln!(stderr, "error: {message}"));
    ExitCode::FAILURE
}
