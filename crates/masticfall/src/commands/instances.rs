//! `masticfall instances`: lists instances and moves them between pools.

use clap::{Arg, ArgMatches, Command};
use http::Method;
use indexmap::IndexMap;
use masticfall_core::instance::InstanceRow;

use crate::cli::{block_on, text_arg};
use crate::client::ApiClient;
use crate::error::Result;
use crate::report::table;

pub fn command() -> Command {
    Command::new("instances")
        .about("List instances and move them between pools")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List instances with pool and state"))
        .subcommand(
            Command::new("move")
                .about("Move an instance to another pool, within the availability budget")
                .arg(Arg::new("name").required(true).help("The instance"))
                .arg(Arg::new("to").long("to").required(true).value_name("POOL").help("The pool")),
        )
}

pub fn run(args: &ArgMatches) -> Result<()> {
    match args.subcommand() {
        Some(("move", args)) => block_on(move_to(args)),
        Some((_, args)) => block_on(list(args)),
        None => Ok(()),
    }
}

async fn list(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let response =
        client.send(Method::GET, "/admin/v1/instances", &[], "").await?.error_for_status()?;
    if args.get_flag("json") {
        println!("{}", response.text());
        return Ok(());
    }
    let instances: IndexMap<String, InstanceRow> = response.json()?;
    let rows: Vec<Vec<String>> = instances
        .into_iter()
        .map(|(name, row)| {
            vec![
                name,
                row.facts.kind.to_string(),
                row.facts.data_centre.to_string(),
                row.facts.rack.to_string(),
                row.pool.to_string(),
                row.state.to_string(),
            ]
        })
        .collect();
    print!("{}", table(&["INSTANCE", "KIND", "DATA CENTRE", "RACK", "POOL", "STATE"], &rows));
    Ok(())
}

async fn move_to(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let (name, pool) = (text_arg(args, "name"), text_arg(args, "to"));
    let path = format!("/admin/v1/instances/{name}/move");
    let body = serde_json::json!({ "pool": pool });
    let _: serde_json::Value = client.call(Method::POST, &path, &body).await?;
    println!("{name} leaves its pool and joins {pool} once it is drained");
    Ok(())
}
