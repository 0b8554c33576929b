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

/// Interval at which the process checks whether it has been replaced, in milliseconds.
const PHASE_CHECK_INTERVAL_MS: u64 = 200;

/// Runs the process until a signal terminates it or it is replaced, and returns the exit code.
pub fn run(path: &Path, check_only: bool, filter: &str) -> ExitCode {
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("error: {message}");
            return ExitCode::from(2);
        }
    };
    let settings = match settings {
        AnySettings::Entry(settings) => settings,
        AnySettings::Fleet(settings) => return fleet::run(path, *settings, check_only, filter),
    };
    if check_only {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    if let Err(message) = init_logging(filter, false, std::io::stderr) {
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

/// Settings for either kind of platform.
enum AnySettings {
    Entry(Settings),
    Fleet(Box<FleetSettings>),
}

fn read_settings(path: &Path) -> Result<AnySettings, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("cannot read the settings in {shown}: {error}"))?;
    let settings = if FleetSettings::is_fleet_file(&text) {
        FleetSettings::read(&text).map(|settings| AnySettings::Fleet(Box::new(settings)))
    } else {
        Settings::read(&text).map(AnySettings::Entry)
    };
    settings.map_err(|errors| {
        let lines: Vec<String> =
            errors.iter().map(|error: &ConfigError| format!("  {shown}: {error}")).collect();
        format!("invalid settings:\n{}", lines.join("\n"))
    })
}

/// Initializes logging as JSON lines; `is_flat` puts the fields of an event at the top level.
fn init_logging<W>(filter: &str, is_flat: bool, writer: W) -> Result<(), String>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_new(filter)
        .map_err(|error| format!("invalid log filter `{filter}`: {error}"))?;
    tracing_subscriber::fmt()
        .json()
        .flatten_event(is_flat)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
        .map_err(|error| format!("cannot initialize logging: {error}"))
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
        () = wait_until_replaced(&entry) => true,
    };
    entry.stop().await;
    if replaced { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn source_of(error: &dyn std::error::Error) -> String {
    error.source().map(ToString::to_string).unwrap_or_default()
}

/// Waits until another process has taken over everything that this one held.
async fn wait_until_replaced(entry: &RunningEntry) {
    while entry.node.state().phase < Phase::Draining {
        tokio::time::sleep(std::time::Duration::from_millis(PHASE_CHECK_INTERVAL_MS)).await;
    }
}
