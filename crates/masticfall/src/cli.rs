//! Arguments, dispatch to subcommands, and exit codes.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::commands;
use crate::error::{CliError, Result};

/// Default address of the entry process that commands talk to.
const DEFAULT_ENTRY: &str = "127.0.0.1:7710";

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("masticfall")
        .version(clap::crate_version!())
        .about("Operates a masticfall fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("entry")
                .long("entry")
                .global(true)
                .env("MASTICFALL_ENTRY")
                .default_value(DEFAULT_ENTRY)
                .value_name("IP:PORT")
                .help("Any entry process of the fleet"),
        )
        .arg(
            Arg::new("operator-key")
                .long("operator-key")
                .global(true)
                .env("MASTICFALL_OPERATOR_KEY")
                .hide_env_values(true)
                .default_value("")
                .hide_default_value(true)
                .value_name("KEY")
                .help("Key of the operator"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of tables"),
        )
        .subcommands(commands::all())
}

/// Runs the command line and returns the exit code: 0 success, 1 failure, 2 usage.
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    match commands::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error_chain(&error);
            ExitCode::FAILURE
        }
    }
}

fn print_error_chain(error: &CliError) {
    eprintln!("error: {error}");
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        eprintln!("  because: {cause}");
        source = cause.source();
    }
}

/// Runs a future to completion on a new runtime.
///
/// # Errors
/// [`CliError::Failed`] when the runtime cannot be started, or the error of the future.
pub fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| CliError::Failed {
        message: format!("cannot start the runtime: {error}"),
    })?;
    runtime.block_on(future)
}

/// Returns the value of a text argument, or an empty string when it is missing.
pub fn text_arg<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}
