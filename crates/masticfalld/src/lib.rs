//! The entry process as a library: settings, logs, signals and exit codes.

mod fleet;

use std::path::Path;
use std::process::ExitCode;

use masticfall_core::config::ConfigError;
use masticfall_entry::fleet::FleetSettings;
use masticfall_entry::state::Phase;
use masticfall_entry::{RunningEntry, Settings};
use masticfall_platform::http::connect;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Period at which the process looks whether it lost its place in the fleet, in milliseconds.
const WATCH_MS: u64 = 200;

/// Runs the process until a signal ends it; returns the exit code.
pub fn run(path: &Path, check_only: bool, filter: &str) -> ExitCode {
    let settings = match read(path) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("error: {message}");
            return ExitCode::from(2);
        }
    };
    let settings = match settings {
        AnySettings::Entry(settings) => settings,
        AnySettings::Fleet(settings) => return fleet::run(path, settings, check_only, filter),
    };
    if check_only {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    if let Err(message) = start_logs(filter, false, std::io::stderr) {
        eprintln!("error: {message}");
        return ExitCode::from(2);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(serve(settings))
}

/// Settings of either kind of platform.
enum AnySettings {
    Entry(Settings),
    Fleet(FleetSettings),
}

fn read(path: &Path) -> Result<AnySettings, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("cannot read the settings in {shown}: {error}"))?;
    let settings = if FleetSettings::is_fleet_file(&text) {
        FleetSettings::read(&text).map(AnySettings::Fleet)
    } else {
        Settings::read(&text).map(AnySettings::Entry)
    };
    settings.map_err(|faults| {
        let lines: Vec<String> =
            faults.iter().map(|fault: &ConfigError| format!("  {shown}: {fault}")).collect();
        format!("the settings have faults:\n{}", lines.join("\n"))
    })
}

/// Starts JSON lines; `is_flat` puts the fields of an event beside its time.
fn start_logs<W>(filter: &str, is_flat: bool, writer: W) -> Result<(), String>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_new(filter)
        .map_err(|error| format!("`{filter}` is no log filter: {error}"))?;
    tracing_subscriber::fmt()
        .json()
        .flatten_event(is_flat)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
        .map_err(|error| format!("cannot start the logs: {error}"))
}

async fn serve(settings: Settings) -> ExitCode {
    let platform = connect(&settings.platform.to_string());
    let signals = signal(SignalKind::terminate())
        .and_then(|term| signal(SignalKind::interrupt()).map(|interrupt| (term, interrupt)));
    let (mut terminate, mut interrupt) = match signals {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("error: cannot listen for signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    let entry = match masticfall_entry::start(settings, platform).await {
        Ok(entry) => entry,
        Err(error) => {
            eprintln!("error: {error}: {}", source_of(&error));
            return ExitCode::FAILURE;
        }
    };
    let replaced = tokio::select! {
        _ = terminate.recv() => false,
        _ = interrupt.recv() => false,
        () = lost_place(&entry) => true,
    };
    entry.stop().await;
    if replaced { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn source_of(error: &dyn std::error::Error) -> String {
    error.source().map(ToString::to_string).unwrap_or_default()
}

/// Returns once another process took over everything this one held.
async fn lost_place(entry: &RunningEntry) {
    while entry.node.state().phase < Phase::Draining {
        tokio::time::sleep(std::time::Duration::from_millis(WATCH_MS)).await;
    }
}
