//! `masticfall config`: checks, shows and applies the fleet's configuration.

mod check;

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use http::Method;
use masticfall_core::config::{ConfigError, read_fleet};
use serde::Deserialize;
use snafu::ResultExt;
use tokio::time::Instant;

use super::members::Member;
use crate::cli::{block_on, text_arg};
use crate::client::ApiClient;
use crate::error::{CliError, FileSnafu, Result};
use crate::report::{table, wall_clock};

/// Timeout for an accepted configuration to be in force on every live process.
const CONFIRM_TIMEOUT_MS: u64 = 13_000;

/// Interval between reads of the revisions in force.
const POLL_INTERVAL_MS: u64 = 200;

pub fn command() -> Command {
    let file = || {
        Arg::new("file")
            .required(true)
            .value_name("FILE.ini")
            .value_parser(value_parser!(PathBuf))
            .help("The configuration")
    };
    Command::new("config")
        .about("Check, show and apply the fleet's configuration")
        .subcommand_required(true)
        .subcommand(check::command().arg(file()))
        .subcommand(Command::new("show").about("Print the configuration in force"))
        .subcommand(Command::new("history").about("List accepted revisions"))
        .subcommand(
            Command::new("apply")
                .about("Apply a file, and wait until it is in force everywhere")
                .arg(file())
                .arg(
                    Arg::new("expect")
                        .long("expect")
                        .required(true)
                        .value_name("REVISION")
                        .value_parser(value_parser!(u64))
                        .help("Revision that the file is based on; 0 for the first configuration"),
                )
                .arg(Arg::new("note").long("note").default_value("").help("Why")),
        )
}

pub fn run(args: &ArgMatches) -> Result<()> {
    match args.subcommand() {
        Some(("check", args)) => check::run(args),
        Some(("show", args)) => block_on(show(args)),
        Some(("history", args)) => block_on(history(args)),
        Some((_, args)) => block_on(apply(args)),
        None => Ok(()),
    }
}

fn read(args: &ArgMatches) -> Result<(PathBuf, String)> {
    let path = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let text =
        std::fs::read_to_string(&path).context(FileSnafu { action: "read", path: path.clone() })?;
    Ok((path, text))
}

/// Checks a configuration; error messages name it as `document`.
///
/// # Errors
/// [`CliError::InvalidDocument`] with all errors.
pub fn check_config(document: &str, text: &str) -> Result<()> {
    read_fleet(text).map(|_| ()).map_err(|errors| {
        let lines: Vec<String> =
            errors.iter().map(|error: &ConfigError| format!("  {document}: {error}")).collect();
        CliError::InvalidDocument { document: document.to_string(), errors: lines.join("\n") }
    })
}

async fn show(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let response =
        client.send(Method::GET, "/admin/v1/config", &[], "").await?.error_for_status()?;
    let revision = response.headers.get("etag").and_then(|tag| tag.to_str().ok()).unwrap_or("?");
    eprintln!("revision {}", revision.trim_matches('"'));
    print!("{}", response.text());
    Ok(())
}

#[derive(Debug, Deserialize)]
struct AcceptedRevision {
    revision: u64,
    by: String,
    wall_ms: u64,
    note: String,
}

async fn history(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let response =
        client.send(Method::GET, "/admin/v1/config/history", &[], "").await?.error_for_status()?;
    if args.get_flag("json") {
        println!("{}", response.text());
        return Ok(());
    }
    let rows: Vec<Vec<String>> = response
        .json::<Vec<AcceptedRevision>>()?
        .into_iter()
        .map(|row| vec![row.revision.to_string(), wall_clock(row.wall_ms), row.by, row.note])
        .collect();
    print!("{}", table(&["REVISION", "ACCEPTED (UTC)", "BY", "NOTE"], &rows));
    Ok(())
}

#[derive(Debug, Deserialize)]
struct AppliedRevision {
    revision: u64,
}

async fn apply(args: &ArgMatches) -> Result<()> {
    let (path, document) = read(args)?;
    check_config(&path.display().to_string(), &document)?;
    let client = ApiClient::from_args(args);
    let expect = args.get_one::<u64>("expect").copied().unwrap_or_default().to_string();
    let headers = [("if-match", expect.as_str()), ("masticfall-note", text_arg(args, "note"))];
    let response = client.send(Method::PUT, "/admin/v1/config", &headers, document).await?;
    let applied: AppliedRevision = response.error_for_status()?.json()?;
    println!("revision {} accepted", applied.revision);
    wait_until_in_force(&client, applied.revision).await
}

/// Waits until every live process has the revision, or a later one, in force.
async fn wait_until_in_force(client: &ApiClient, revision: u64) -> Result<()> {
    let started = Instant::now();
    loop {
        let members: Vec<Member> = match client.get("/admin/v1/members").await {
            Err(CliError::Refused { kind, .. }) if kind == "unauthorized" => {
                println!(
                    "this key is no longer accepted; run `masticfall members` with an operator's \
                     key to see which processes have the revision in force"
                );
                return Ok(());
            }
            other => other?,
        };
        let outdated: Vec<String> = members
            .iter()
            .filter(|member| member.live && member.revision < revision)
            .map(|member| format!("{} ({})", member.process, member.data_centre))
            .collect();
        if outdated.is_empty() {
            let live = members.iter().filter(|member| member.live).count();
            println!("in force on {live} of {} processes", members.len());
            return Ok(());
        }
        if started.elapsed() > Duration::from_millis(CONFIRM_TIMEOUT_MS) {
            let message = format!("not confirmed in time by: {}", outdated.join(", "));
            return Err(CliError::Failed { message });
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
