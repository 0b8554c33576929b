//! `masticfall timeline`: events of all processes in one order.

use clap::{Arg, ArgMatches, Command, value_parser};
use masticfall_core::timeline::{Event, merge};
use serde::Deserialize;

use super::members::Member;
use crate::cli::{block_on, text};
use crate::client::ApiClient;
use crate::error::{CliError, Result};
use crate::report::wall_clock;

/// Labels by which events can be chosen.
const FILTERS: [&str; 5] = ["team", "instance", "job", "request", "wave"];

pub fn command() -> Command {
    let command =
        Command::new("timeline").about("Print the events of all processes in one order").arg(
            Arg::new("since")
                .long("since")
                .value_name("MS")
                .default_value("0")
                .value_parser(value_parser!(u64))
                .help("Only events after this wall clock, in milliseconds since 1970"),
        );
    FILTERS.iter().fold(command, |command, name| {
        let help = format!("Only events of this {name}");
        command.arg(Arg::new(*name).long(*name).help(help))
    })
}

pub fn run(args: &ArgMatches) -> Result<()> {
    block_on(print(args))
}

#[derive(Debug, Deserialize)]
struct Ring {
    process: String,
    lost: u64,
    events: Vec<Event>,
}

async fn print(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let members: Vec<Member> = client.get("/admin/v1/members").await?;
    let since = args.get_one::<u64>("since").copied().unwrap_or_default();
    let path = format!("/admin/v1/timeline?since={since}");
    let mut rings = Vec::new();
    for member in members.iter().filter(|member| member.live) {
        match client.with_entry(&member.http).get::<Ring>(&path).await {
            Ok(ring) => {
                if ring.lost > 0 {
                    eprintln!("{}: {} older events were dropped", ring.process, ring.lost);
                }
                rings.push(ring.events);
            }
            Err(error) => eprintln!("{} is left out: {error}", member.process),
        }
    }
    for event in merge(rings.into_iter()).iter().filter(|event| chosen(args, event)) {
        println!("{}", line(event, args.get_flag("json"))?);
    }
    Ok(())
}

fn chosen(args: &ArgMatches, event: &Event) -> bool {
    FILTERS.iter().all(|name| {
        let wanted = text(args, name);
        wanted.is_empty() || event.labels.get(*name).is_some_and(|value| **value == *wanted)
    })
}

fn line(event: &Event, json: bool) -> Result<String> {
    if json {
        return serde_json::to_string(event).map_err(|source| CliError::Malformed { source });
    }
    let labels: Vec<String> =
        event.labels.iter().map(|(name, value)| format!("{name}={value}")).collect();
    let clock = wall_clock(event.stamp.wall_ms);
    Ok(format!("{clock}  {}  {}  {}", event.process, event.kind, labels.join(" ")))
}
