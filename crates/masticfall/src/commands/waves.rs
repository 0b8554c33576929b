//! `masticfall waves`: creates, lists and controls maintenance waves.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use http::Method;
use serde::Deserialize;

use crate::cli::{block_on, text_arg};
use crate::client::ApiClient;
use crate::error::Result;
use crate::report::table;

pub fn command() -> Command {
    let name = || Arg::new("name").required(true).help("Name of the wave");
    Command::new("waves")
        .about("Create, list, pause, resume and stop maintenance waves")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List waves"))
        .subcommand(
            Command::new("create")
                .about("Create and start a wave over pools or instances")
                .arg(name())
                .arg(
                    Arg::new("pool")
                        .long("pool")
                        .action(ArgAction::Append)
                        .help("Pool whose instances are maintained; may be repeated"),
                )
                .arg(
                    Arg::new("instance")
                        .long("instance")
                        .action(ArgAction::Append)
                        .help("Instance that is maintained; may be repeated"),
                )
                .arg(
                    Arg::new("max-failures")
                        .long("max-failures")
                        .value_parser(value_parser!(u32))
                        .default_value("2")
                        .help("Number of failed instances at which the wave halts"),
                ),
        )
        .subcommand(
            Command::new("pause")
                .about("Pause a wave: take no further instances out of service")
                .arg(name()),
        )
        .subcommand(Command::new("resume").about("Resume a paused or halted wave").arg(name()))
        .subcommand(Command::new("stop").about("Stop a wave for good").arg(name()))
}

pub fn run(args: &ArgMatches) -> Result<()> {
    match args.subcommand() {
        Some(("list", args)) => block_on(list(args)),
        Some(("create", args)) => block_on(create(args)),
        Some((verb, args)) => block_on(set_state(verb, args)),
        None => Ok(()),
    }
}

#[derive(Debug, Deserialize)]
struct Wave {
    name: String,
    state: String,
    pending: usize,
    out: Vec<String>,
    done: usize,
    failed: Vec<String>,
    reason: Option<String>,
}

impl Wave {
    fn row(self) -> Vec<String> {
        vec![
            self.name,
            self.state,
            self.pending.to_string(),
            self.out.join(","),
            self.done.to_string(),
            self.failed.join(","),
            self.reason.unwrap_or_default(),
        ]
    }
}

fn print_waves(waves: Vec<Wave>) {
    let rows: Vec<Vec<String>> = waves.into_iter().map(Wave::row).collect();
    let header = ["WAVE", "STATE", "PENDING", "OUT", "DONE", "FAILED", "REASON"];
    print!("{}", table(&header, &rows));
}

async fn list(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let response =
        client.send(Method::GET, "/admin/v1/waves", &[], "").await?.error_for_status()?;
    if args.get_flag("json") {
        println!("{}", response.text());
    } else {
        print_waves(response.json()?);
    }
    Ok(())
}

fn text_args(args: &ArgMatches, name: &str) -> Vec<String> {
    args.get_many::<String>(name).unwrap_or_default().cloned().collect()
}

async fn create(args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let body = serde_json::json!({
        "name": text_arg(args, "name"),
        "pools": text_args(args, "pool"),
        "instances": text_args(args, "instance"),
        "max_failures": args.get_one::<u32>("max-failures"),
    });
    print_waves(vec![client.call(Method::POST, "/admin/v1/waves", &body).await?]);
    Ok(())
}

async fn set_state(verb: &str, args: &ArgMatches) -> Result<()> {
    let client = ApiClient::from_args(args);
    let path = format!("/admin/v1/waves/{}/{verb}", text_arg(args, "name"));
    print_waves(vec![client.call(Method::POST, &path, &serde_json::Value::Null).await?]);
    Ok(())
}
