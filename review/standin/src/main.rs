//! Plays one case of the review: `review-standin CASE FOLDER`, from the repository's root.
//!
//! Writes `record.txt` to the case's folder. Exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

mod deployment;
mod fleet;
mod http;
mod link;
mod store;

mod deadly;
mod deaf;
mod ends;
mod gang;
mod slow_refusal;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::{env, fs};

use deployment::Deployment;

/// How a rule was broken, one line for each time; empty if it held.
pub type Breaches = Vec<String>;

/// A case: the number of its executors, the route's attempts, and what is played.
struct Case {
    workers: usize,
    attempts: u32,
    play: fn(&Deployment, bool) -> io::Result<Breaches>,
}

fn case(name: &str) -> Option<Case> {
    Some(match name {
        "ends" => Case { workers: 6, attempts: 4, play: ends::play },
        "deadly" => Case { workers: 8, attempts: 4, play: deadly::play },
        "deaf" => Case { workers: 6, attempts: 4, play: deaf::play },
        "gang" => Case { workers: 6, attempts: 4, play: gang::play },
        "slow-refusal" => Case { workers: 12, attempts: 4, play: slow_refusal::play },
        _ => return None,
    })
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let Some(Case { workers, attempts, play }) = case(name) else {
        eprintln!("no case {name}");
        return ExitCode::from(2);
    };
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    let deployment = match Deployment::start(workers, attempts) {
        Ok(deployment) => deployment,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            return ExitCode::from(2);
        }
    };
    let outcome = play(&deployment, is_troubled);
    let fleet = Arc::clone(&deployment.fleet);
    drop(deployment);
    let verdict = match &outcome {
        Ok(breaches) if breaches.is_empty() => "the rule held".to_string(),
        Ok(breaches) => format!("the rule was broken {} times", breaches.len()),
        Err(error) => format!("the case could not run: {error}"),
    };
    let mut lines = vec![format!("disruption: {is_troubled}; {verdict}")];
    lines.extend(outcome.as_ref().into_iter().flatten().take(20).map(|line| format!("- {line}")));
    println!("{}", lines.join("\n"));
    lines.extend(fleet.lock().record.iter().cloned());
    if let Err(error) = fs::write(Path::new(folder).join("record.txt"), lines.join("\n") + "\n") {
        eprintln!("the record could not be written: {error}");
    }
    match outcome {
        Ok(breaches) if breaches.is_empty() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
