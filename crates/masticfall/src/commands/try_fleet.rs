//! `masticfall try`: runs a trial fleet in this process, on loopback ports.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::cli::block_on;
use crate::error::{CliError, Result};
use crate::trial::{TrialFleet, once, platform_only};

pub fn command() -> Command {
    Command::new("try")
        .about("Run a whole fleet on this machine until it is stopped")
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("Send test requests and a job, print the results, and exit"),
        )
        .arg(
            Arg::new("platform-only")
                .long("platform-only")
                .action(ArgAction::SetTrue)
                .conflicts_with("once")
                .help("Run only the stand-in platform, targets and workers"),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .default_value("127.0.0.1:7700")
                .value_parser(value_parser!(SocketAddr))
                .help("Address of the stand-in platform, with --platform-only"),
        )
}

pub fn run(args: &ArgMatches) -> Result<()> {
    if args.get_flag("once") {
        return block_on(once::run());
    }
    if args.get_flag("platform-only") {
        let listen = args.get_one::<SocketAddr>("listen").copied();
        let listen = listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 7700)));
        return block_on(platform_only::run(listen));
    }
    block_on(run_until_interrupted())
}

async fn run_until_interrupted() -> Result<()> {
    let trial = TrialFleet::start().await?;
    print!("{}", trial.describe());
    println!("stop with Ctrl-C");
    tokio::signal::ctrl_c().await.map_err(|error| CliError::Failed {
        message: format!("cannot listen for Ctrl-C: {error}"),
    })?;
    trial.stop().await;
    Ok(())
}
