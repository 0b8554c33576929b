//! `masticfall config check`: findings about a file, and what it changes.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use http::Method;
use indexmap::IndexMap;
use masticfall_core::config::compare::{Change, changes};
use masticfall_core::config::review::{Finding, PoolInstances, Severity, review};
use masticfall_core::id::PoolName;
use masticfall_core::instance::{InstanceKind, InstanceRow};
use serde::Serialize;

use super::read;
use crate::cli::block_on;
use crate::client::ApiClient;
use crate::error::{CliError, Result};
use crate::report::table;

pub fn command() -> Command {
    Command::new("check")
        .about("Check a file: errors, entries without effect, limits that contradict each other")
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .help("Entry process to compare with: its instances and configuration in force"),
        )
}

/// What is read from a running process.
struct InForce {
    revision: u64,
    text: String,
    instances: IndexMap<PoolName, PoolInstances>,
}

/// The printed result.
#[derive(Debug, Serialize)]
struct Report {
    file: String,
    errors: usize,
    warnings: usize,
    findings: Vec<Finding>,
    /// Revision that the file is compared with; 0 for none.
    against_revision: Option<u64>,
    changes: Vec<Change>,
}

pub fn run(args: &ArgMatches) -> Result<()> {
    let (path, text) = read(args)?;
    let against = args.get_one::<SocketAddr>("against");
    let in_force = match against {
        Some(entry) => {
            let client = ApiClient::from_args(args).with_entry(&entry.to_string());
            Some(block_on(read_in_force(&client))?)
        }
        None => None,
    };
    let findings = review(&text, in_force.as_ref().map(|in_force| &in_force.instances));
    let count = |severity| findings.iter().filter(|f| f.severity == severity).count();
    let report = Report {
        file: path.display().to_string(),
        errors: count(Severity::Error),
        warnings: count(Severity::Warning),
        against_revision: in_force.as_ref().map(|in_force| in_force.revision),
        // A syntax error is among the findings.
        changes: in_force
            .and_then(|in_force| changes(&in_force.text, &text).ok())
            .unwrap_or_default(),
        findings,
    };
    if args.get_flag("json") {
        let text = serde_json::to_string(&report)
            .map_err(|error| CliError::Failed { message: error.to_string() })?;
        println!("{text}");
    } else {
        print(&report);
    }
    if report.errors == 0 {
        return Ok(());
    }
    Err(CliError::Failed { message: format!("{}: errors: {}", report.file, report.errors) })
}

fn print(report: &Report) {
    if report.findings.is_empty() {
        println!("{}: ok", report.file);
    } else {
        let rows: Vec<Vec<String>> = report
            .findings
            .iter()
            .map(|finding| {
                let Finding { severity, line, section, key, message, hint } = finding;
                let cells = [severity.to_string(), line_cell(*line), section_cell(section)];
                cells.into_iter().chain([key, message, hint].map(Clone::clone)).collect()
            })
            .collect();
        let header = ["SEVERITY", "LINE", "SECTION", "KEY", "FINDING", "HINT"];
        print!("{}", table(&header, &rows));
    }
    let Some(revision) = report.against_revision else { return };
    if report.changes.is_empty() {
        println!("same as revision {revision}");
        return;
    }
    println!("changes to revision {revision}:");
    let rows: Vec<Vec<String>> = report
        .changes
        .iter()
        .map(|change| {
            let Change { kind, line, section, key, from, to } = change;
            let cells = [kind.to_string(), line_cell(*line), section_cell(section)];
            cells.into_iter().chain([key, from, to].map(Clone::clone)).collect()
        })
        .collect();
    print!("{}", table(&["CHANGE", "LINE", "SECTION", "KEY", "FROM", "TO"], &rows));
}

fn line_cell(line: usize) -> String {
    if line == 0 { "-".to_string() } else { line.to_string() }
}

fn section_cell(section: &str) -> String {
    if section.is_empty() { "-".to_string() } else { format!("[{section}]") }
}

async fn read_in_force(client: &ApiClient) -> Result<InForce> {
    let response = client.send(Method::GET, "/admin/v1/config", &[], "").await?;
    let (revision, text) = match response.error_for_status() {
        Ok(response) => {
            let tag = response.headers.get("etag").and_then(|tag| tag.to_str().ok());
            let revision = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
            (revision.unwrap_or_default(), response.text())
        }
        // Before the first configuration.
        Err(CliError::Refused { kind, .. }) if kind == "not_found" => (0, String::new()),
        Err(error) => return Err(error),
    };
    let rows: IndexMap<String, InstanceRow> = client.get("/admin/v1/instances").await?;
    let mut instances: IndexMap<PoolName, PoolInstances> = IndexMap::new();
    for row in rows.into_values() {
        let pool = instances.entry(row.pool).or_default();
        match row.facts.kind {
            InstanceKind::Target => pool.targets += 1,
            InstanceKind::Worker => pool.workers += 1,
        }
    }
    Ok(InForce { revision, text, instances })
}
