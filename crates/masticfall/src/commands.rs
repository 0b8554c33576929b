//! Subcommands, one module each.

mod completions;
mod config;
mod handover;
mod init;
mod instances;
mod keys;
mod members;
mod timeline;
mod try_fleet;
mod waves;

use clap::{ArgMatches, Command};

use crate::error::{CliError, Result};

/// Returns all subcommands.
pub fn all() -> Vec<Command> {
    vec![
        try_fleet::command(),
        init::command(),
        config::command(),
        keys::command(),
        members::command(),
        instances::command(),
        waves::command(),
        timeline::command(),
        handover::command(),
        completions::command(),
    ]
}

/// Runs the selected subcommand.
///
/// # Errors
/// The error of the subcommand.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let Some((name, args)) = matches.subcommand() else {
        return Err(CliError::Failed { message: "no subcommand given".to_string() });
    };
    match name {
        "try" => try_fleet::run(args),
        "init" => init::run(args),
        "config" => config::run(args),
        "keys" => keys::run(args),
        "members" => members::run(args),
        "instances" => instances::run(args),
        "waves" => waves::run(args),
        "timeline" => timeline::run(args),
        "handover" => handover::run(args),
        _ => completions::run(args),
    }
}
