//! `masticfall keys`: gives, lists, withdraws and hashes keys.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use http::Method;
use indexmap::IndexMap;
use masticfall_core::key::KeyHash;
use serde::Deserialize;
use tokio::time::Instant;

use super::members::Member;
use crate::cli::{block_on, text_arg};
use crate::client::ApiClient;
use crate::error::{CliError, Result};
use crate::report::table;

/// Timeout for every process to confirm a withdrawal.
const CONFIRM_TIMEOUT_MS: u64 = 5_000;

/// Interval between reads of the confirmations.
const POLL_INTERVAL_MS: u64 = 100;

pub fn command() -> Command {
    Command::new("keys")
        .about("Give, list, withdraw and hash keys of teams")
        .subcommand_required(true)
        .subcommand(
            Command::new("give")
                .about("Give a team a key; it is shown once")
                .arg(Arg::new("team").required(true).help("The team")),
        )
        .subcommand(Command::new("list").about("List keys"))
        .subcommand(
            Command::new("withdraw")
                .about("Withdraw a key, and wait for each data centre to confirm")
                .arg(Arg::new("id").required(true).help("Identifier of the key")),
        )
        .subcommand(Command::new("hash").about("Read a key from standard input and print its hash"))
}

pub fn run(args: &ArgMatches) -> Result<()> {
    match args.subcommand() {
        Some(("give", args)) => block_on(give(args)),
        Some(("list", args)) => block_on(list(args)),
        Some(("withdraw", args)) => block_on(withdraw(args)),
        _ => print_hash(),
    }
}

fn print_hash() -> Result<()> {
    let mut line = String::new();
    std::io::stdin().read_line(&mut line).map_err(|source| CliError::File {
        action: "read",
        path: "standard input".into(),
        source,
    })?;
    println!("{}", KeyHash::of(line.trim()).to_hex());
    Ok(())
}

#[derive(Debug, Deserialize)]
struct GivenKey {
    id: String,
    key: String,
    revision: u64,
}

async fn give(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let body = serde_json::json!({ "team": text_arg(args, "team") });
    let given: GivenKey = client.call(Method::POST, "/admin/v1/keys", &body).await?;
    if args.get_flag("json") {
        println!("{}", serde_json::json!({ "id": given.id, "key": given.key }));
        return Ok(());
    }
    println!("key {} (revision {}), shown this once:\n{}", given.id, given.revision, given.key);
    Ok(())
}

#[derive(Debug, Deserialize)]
struct ListedKey {
    id: String,
    team: String,
    withdrawn: bool,
}

async fn list(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let response = client.send(Method::GET, "/admin/v1/keys", &[], "").await?.error_for_status()?;
    if args.get_flag("json") {
        println!("{}", response.text());
        return Ok(());
    }
    let rows: Vec<Vec<String>> = response
        .json::<Vec<ListedKey>>()?
        .into_iter()
        .map(|key| {
            let state = if key.withdrawn { "withdrawn" } else { "valid" };
            vec![key.id, key.team, state.to_string()]
        })
        .collect();
    print!("{}", table(&["KEY", "TEAM", "STATE"], &rows));
    Ok(())
}

async fn withdraw(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let path = format!("/admin/v1/keys/{}", text_arg(args, "id"));
    client.send(Method::DELETE, &path, &[], "").await?.error_for_status()?;
    let started = Instant::now();
    loop {
        let members: Vec<Member> = client.get("/admin/v1/members").await?;
        let unconfirmed = unconfirmed_by_data_centre(&members);
        if unconfirmed.is_empty() {
            println!("withdrawn, and confirmed by every data centre");
            return Ok(());
        }
        if started.elapsed() > Duration::from_millis(CONFIRM_TIMEOUT_MS) {
            let list: Vec<String> = unconfirmed
                .iter()
                .map(|(name, count)| format!("{name} ({count} processes)"))
                .collect();
            let message = format!("withdrawn, but not confirmed by: {}", list.join(", "));
            return Err(CliError::Failed { message });
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

fn unconfirmed_by_data_centre(members: &[Member]) -> IndexMap<String, usize> {
    let mut unconfirmed = IndexMap::new();
    for member in members.iter().filter(|member| !member.withdrawals_confirmed) {
        *unconfirmed.entry(member.data_centre.clone()).or_insert(0) += 1;
    }
    unconfirmed
}
