//! `masticfall timeline`: events of all live processes, merged into one order.

use clap::{Arg, ArgMatches, Command, value_parser};
use masticfall_core::timeline::{Event, merge};
use serde::Deserialize;

use super::members::Member;
use crate::cli::{block_on, text_arg};
use crate::client::ApiClient;
use crate::error::{CliError, Result};
use crate::report::wall_clock;

/// Event labels that can be filtered by.
const FILTERS: [&str; 5] = ["team", "instance", "job", "request", "wave"];

pub fn command() -> Command {
    let command =
        Command::new("timeline").about("Print the events of all processes in one order").arg(
            Arg::new("since")
                .long("since")
                .value_name("MS")
                .default_value("0")
                .value_parser(value_parser!(u64))
                .help("Only events after this time, in milliseconds since 1970-01-01 UTC"),
        );
    FILTERS.iter().fold(command, |command, name| {
        let help = format!("Only events of this {name}");
        command.arg(Arg::new(*name).long(*name).help(help))
    })
}

pub fn run(args: &ArgMatches) -> Result<()> {
    block_on(print_events(args))
}

#[derive(Debug, Deserialize)]
struct TimelineView {
    process: String,
    lost: u64,
    events: Vec<Event>,
}

async fn print_events(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let members: Vec<Member> = client.get("/admin/v1/members").await?;
    let since = args.get_one::<u64>("since").copied().unwrap_or_default();
    let path = format!("/admin/v1/timeline?since={since}");
    let mut timelines = Vec::new();
    for member in members.iter().filter(|member| member.live) {
        match client.with_entry(&member.http).get::<TimelineView>(&path).await {
            Ok(view) => {
                if view.lost > 0 {
                    eprintln!("{}: {} older events were dropped", view.process, view.lost);
                }
                timelines.push(view.events);
            }
            Err(error) => eprintln!("{} is left out: {error}", member.process),
        }
    }
    for event in merge(timelines.into_iter()).iter().filter(|event| matches_filters(args, event)) {
        println!("{}", format_event(event, args.get_flag("json"))?);
    }
    Ok(())
}

fn matches_filters(args: &ArgMatches, event: &Event) -> bool {
    FILTERS.iter().all(|name| {
        let wanted = text_arg(args, name);
        wanted.is_empty() || event.labels.get(*name).is_some_and(|value| **value == *wanted)
    })
}

fn format_event(event: &Event, json: bool) -> Result<String> {
    if json {
        return serde_json::to_string(event)
            .map_err(|source| CliError::MalformedResponse { source });
    }
    let labels: Vec<String> =
        event.labels.iter().map(|(name, value)| format!("{name}={value}")).collect();
    let clock = wall_clock(event.stamp.wall_ms);
    Ok(format!("{clock}  {}  {}  {}", event.process, event.kind, labels.join(" ")))
}
