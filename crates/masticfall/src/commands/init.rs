//! `masticfall init`: generates a fleet configuration from answers to the questionnaire.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use snafu::ResultExt;

use super::config::check_config;
use crate::error::{CliError, FileSnafu, Result};
use crate::questionnaire::{Answers, generate};

pub fn command() -> Command {
    Command::new("init")
        .about("Generate a fleet configuration from answers to the questionnaire")
        .arg(
            Arg::new("answers")
                .long("answers")
                .required(true)
                .value_name("FILE.ini")
                .value_parser(value_parser!(PathBuf))
                .help("Answers to the questionnaire"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .short('o')
                .value_name("FILE.ini")
                .value_parser(value_parser!(PathBuf))
                .help("Where to write the configuration [default: standard output]"),
        )
}

pub fn run(args: &ArgMatches) -> Result<()> {
    let path = args.get_one::<PathBuf>("answers").cloned().unwrap_or_default();
    let text =
        std::fs::read_to_string(&path).context(FileSnafu { action: "read", path: path.clone() })?;
    let answers = Answers::read(&text).map_err(|errors| {
        let lines: Vec<String> =
            errors.iter().map(|error| format!("  {}: {error}", path.display())).collect();
        CliError::InvalidDocument { document: path.display().to_string(), errors: lines.join("\n") }
    })?;
    let document = generate(&answers);
    check_config("the generated configuration", &document)?;
    match args.get_one::<PathBuf>("output") {
        None => print!("{document}"),
        Some(output) => std::fs::write(output, document)
            .context(FileSnafu { action: "write", path: output.clone() })?,
    }
    Ok(())
}
