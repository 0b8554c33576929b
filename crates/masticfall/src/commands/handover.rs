//! `masticfall handover`: what the operators who come on have to know.

use clap::{Arg, ArgMatches, Command, value_parser};
use http::Method;
use masticfall_entry::ops::handover::Handover;

use crate::cli::block_on;
use crate::client::ApiClient;
use crate::error::Result;
use crate::report::{table, wall_clock};

pub fn command() -> Command {
    Command::new("handover")
        .about("Report open waves, parked jobs, odd processes, and changes")
        .after_help("Example: masticfall handover --since 1765440000000")
        .arg(
            Arg::new("since")
                .long("since")
                .value_name("MS")
                .default_value("0")
                .value_parser(value_parser!(u64))
                .help("Changes after this wall clock, in milliseconds since 1970"),
        )
}

pub fn run(args: &ArgMatches) -> Result<()> {
    block_on(report(args))
}

async fn report(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let since = args.get_one::<u64>("since").copied().unwrap_or_default();
    let path = format!("/admin/v1/handover?since={since}");
    let answer = client.send(Method::GET, &path, &[], "").await?.error_for_status()?;
    if args.get_flag("json") {
        println!("{}", answer.text());
        return Ok(());
    }
    print!("{}", text(answer.json()?));
    Ok(())
}

/// Lays the report out for people; a part with nothing in it says so.
fn text(report: Handover) -> String {
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
        part(
            "Open waves",
            &["WAVE", "STATE", "PENDING", "FAILED", "REASON"],
            &waves.collect::<Vec<_>>(),
        ),
        part("Parked jobs", &["JOB", "TEAM", "REASON"], &parked.collect::<Vec<_>>()),
        part("Workers at fault", &["WORKER"], &workers.collect::<Vec<_>>()),
        part(
            "Entry processes to look at",
            &["PROCESS", "DATA CENTRE", "WHAT"],
            &members.collect::<Vec<_>>(),
        ),
        part("Teams at their limit here", &["TEAM", "IN USE"], &teams.collect::<Vec<_>>()),
        part(
            "Changes",
            &["REVISION", "ACCEPTED (UTC)", "BY", "NOTE"],
            &changes.collect::<Vec<_>>(),
        ),
    ]
    .join("\n")
}

fn part(title: &str, header: &[&str], rows: &[Vec<String>]) -> String {
    if rows.is_empty() {
        return format!("{title}: none\n");
    }
    format!("{title}:\n{}", table(header, rows))
}
