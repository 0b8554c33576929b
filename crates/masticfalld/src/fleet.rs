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

use crate::{AnySettings, start_logs};

/// Lines that wait to be written before further ones are dropped: a reader of
/// standard output that stops must not stop the process.
const LOG_LINES: usize = 4_096;

/// Runs the process until a signal ends it; returns the exit code.
pub fn run(path: &Path, settings: FleetSettings, check_only: bool, filter: &str) -> ExitCode {
    if check_only {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    let (writer, logs) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_LINES)
        .finish(std::io::stdout());
    if let Err(message) = start_logs(filter, true, writer) {
        eprintln!("error: {message}");
        return ExitCode::from(2);
    }
    // One thread: a quarter of a core gains nothing from more of them.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(serve(path, settings)),
        Err(error) => {
            eprintln!("error: cannot start the runtime: {error}");
            ExitCode::FAILURE
        }
    };
    drop(logs);
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
        Err(error) => return fail(&format!("cannot listen for signals: {error}")),
    };
    let running =
        start(settings, connect(services), Arc::new(boottime_ms), Arc::new(peers::fetch_config));
    let edge = match Listeners::bind(&running.fleet).await {
        Ok(edge) => edge,
        Err(error) => return fail(&format!("cannot listen: {error}")),
    };
    let listener = match bind(running.fleet.settings.peers).await {
        Ok(listener) => listener,
        Err(error) => return fail(&format!("cannot listen for other processes: {error}")),
    };
    drop(tokio::spawn(peers::serve(Arc::clone(&running.fleet), listener)));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path),
        }
    }
    running.shut_down(|| edge.stop_accepting()).await;
    edge.shut_down().await;
    ExitCode::SUCCESS
}

/// Reads the settings again. What can change without a restart is nothing yet;
/// faults and differences are told.
fn reload(path: &Path) {
    match crate::read(path) {
        Ok(AnySettings::Fleet(_)) => {
            tracing::info!(name: "process.reloaded", "settings read again; addresses stay as they are until a restart");
        }
        Ok(AnySettings::Entry(_)) => {
            tracing::warn!(name: "process.not_reloaded", "the settings are of another kind");
        }
        Err(error) => tracing::warn!(name: "process.not_reloaded", error, "settings have faults"),
    }
}

fn fail(message: &str) -> ExitCode {
    let mut stderr = std::io::stderr();
    // Nothing is left to tell it to when standard error is closed.
    drop(writeln!(stderr, "error: {message}"));
    ExitCode::FAILURE
}
