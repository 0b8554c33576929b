//! `masticfall members`: lists entry processes and what each has in force.

use clap::{ArgMatches, Command};
use http::Method;
use serde::Deserialize;

use crate::cli::block_on;
use crate::client::ApiClient;
use crate::error::Result;
use crate::report::table;

/// An entry process, as seen by the one that answers.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Incarnation of the process.
    pub process: String,
    /// Data centre of the process.
    pub data_centre: String,
    /// Address of its HTTP port.
    pub http: String,
    /// Configuration revision in force.
    pub revision: u64,
    /// Whether it knows the same withdrawn keys.
    pub withdrawals_confirmed: bool,
    /// Whether it is live.
    pub live: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
}

pub fn command() -> Command {
    Command::new("members").about("List entry processes and what each has in force")
}

pub fn run(args: &ArgMatches) -> Result<()> {
    block_on(list(args))
}

async fn list(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let response =
        client.send(Method::GET, "/admin/v1/members", &[], "").await?.error_for_status()?;
    if args.get_flag("json") {
        println!("{}", response.text());
        return Ok(());
    }
    let members: Vec<Member> = response.json()?;
    let rows: Vec<Vec<String>> = members.into_iter().map(row).collect();
    let header = ["PROCESS", "DATA CENTRE", "HTTP", "STATE", "REVISION", "WITHDRAWALS"];
    print!("{}", table(&header, &rows));
    Ok(())
}

fn row(member: Member) -> Vec<String> {
    let state = match (member.live, member.leaving) {
        (_, true) => "leaving",
        (true, false) => "live",
        (false, false) => "silent",
    };
    let withdrawals = if member.withdrawals_confirmed { "confirmed" } else { "not confirmed" };
    vec![
        member.process,
        member.data_centre,
        member.http,
        state.to_string(),
        member.revision.to_string(),
        withdrawals.to_string(),
    ]
}
