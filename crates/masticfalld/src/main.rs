//! `masticfalld`: the entry process.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};

#[global_allocator]
static GLOBAL: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn command() -> Command {
    Command::new("masticfalld")
        .version(clap::crate_version!())
        .about("Entry process of masticfall: takes requests and jobs, and runs the fleet")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE.ini")
                .required(true)
                .value_parser(value_parser!(std::path::PathBuf))
                .help("Settings of this process"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .env("MASTICFALL_LOG")
                .default_value("info")
                .help("Log level or filter, such as `debug` or `masticfall_entry=trace`"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let filter = matches.get_one::<String>("log").cloned().unwrap_or_default();
    let Some(path) = matches.get_one::<std::path::PathBuf>("settings") else {
        return ExitCode::from(2);
    };
    masticfalld::run(path, matches.get_flag("check"), &filter)
}
