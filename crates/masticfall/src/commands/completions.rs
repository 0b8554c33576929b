//! `masticfall completions`: completion scripts for shells.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

use crate::cli;
use crate::error::Result;

pub fn command() -> Command {
    Command::new("completions")
        .about("Print a completion script for a shell")
        .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell)).help("The shell"))
}

#[expect(clippy::unnecessary_wraps, reason = "all subcommands have this signature")]
pub fn run(args: &ArgMatches) -> Result<()> {
    if let Some(shell) = args.get_one::<Shell>("shell") {
        generate(*shell, &mut cli::command(), "masticfall", &mut std::io::stdout());
    }
    Ok(())
}
