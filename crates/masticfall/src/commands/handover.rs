//! `masticfall handover`: the report for the next shift of operators.

use clap::{Arg, ArgMatches, Command, value_parser};
use http::Method;
use masticfall_entry::ops::handover::Handover;

use crate::cli::block_on;
use crate::client::ApiClient;
use crate::error::Result;
use crate::report::{table, wall_clock};

pub fn command() -> Command {
    Command::new("handover")
        .about("Report open waves, parked jobs, processes that need attention, and changes")
        .after_help("Example: masticfall handover --since 1765440000000")
        .arg(
            Arg::new("since")
                .long("since")
                .value_name("MS")
                .default_value("0")
                .value_parser(value_parser!(u64))
                .help("Only changes after this time, in milliseconds since 1970-01-01 UTC"),
        )
}

pub fn run(args: &ArgMatches) -> Result<()> {
    block_on(report(args))
}

async fn report(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let since = args.get_one::<u64>("since").copied().unwrap_or_default();
    let path = format!("/admin/v1/handover?since={since}");
    let response = client.send(Method::GET, &path, &[], "").await?.error_for_status()?;
    if args.get_flag("json") {
        println!("{}", response.text());
        return Ok(());
    }
    print!("{}", format_report(response.json()?));
    Ok(())
}

/// Formats the report as tables; the section of an empty list says `none`.
fn format_report(report: Handover) -> String {
    let waves = report.waves.into_iter().map(|wave| {
        let reason = wave.reason.map_or_else(String::new, |reason| reason.to_string());
        let (pending, failed) = (wave.pending.to_string(), wave.failed.to_string());
        vec![wave.name.to_string(), wave.state.to_string(), pending, failed, reason]
    });
    let parked = report.parked.into_iter().map(|job| {
        let reason = job.reason.map_or_else(String::new, |reason| reason.to_string());
        vec![job.id.to_string(), job.team.to_string(), reason]
    });
    let workers = report.workers_at_fault.into_iter().map(|worker| vec![worker.to_string()]);
    let members = report.members.into_iter().map(|member| {
        vec![member.process.to_string(), member.data_centre.to_string(), member.what.to_string()]
    });
    let teams = report.teams_at_limit.into_iter();
    let teams = teams.map(|(team, in_use)| vec![team.to_string(), in_use.to_string()]);
    let changes = report.changes.into_iter().map(|change| {
        let (revision, clock) = (change.revision.to_string(), wall_clock(change.wall_ms));
        vec![revision, clock, change.by.to_string(), change.note.to_string()]
    });
    [
        section(
            "Open waves",
            &["WAVE", "STATE", "PENDING", "FAILED", "REASON"],
            &waves.collect::<Vec<_>>(),
        ),
        section("Parked jobs", &["JOB", "TEAM", "REASON"], &parked.collect::<Vec<_>>()),
        section("Workers at fault", &["WORKER"], &workers.collect::<Vec<_>>()),
        section(
            "Entry processes to look at",
            &["PROCESS", "DATA CENTRE", "WHAT"],
            &members.collect::<Vec<_>>(),
        ),
        section("Teams at their limit here", &["TEAM", "IN USE"], &teams.collect::<Vec<_>>()),
        section(
            "Changes",
            &["REVISION", "ACCEPTED (UTC)", "BY", "NOTE"],
            &changes.collect::<Vec<_>>(),
        ),
    ]
    .join("\n")
}

fn section(title: &str, header: &[&str], rows: &[Vec<String>]) -> String {
    if rows.is_empty() {
        return format!("{title}: none\n");
    }
    format!("{title}:\n{}", table(header, rows))
}
