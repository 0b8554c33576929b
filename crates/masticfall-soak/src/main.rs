//! `masticfall-soak`: plays seeds against the real programs.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, Command, value_parser};
use masticfall_soak::play::{Plan, Report, play, seed_folder};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;

/// Seeds that failed once, played on every run, a line each with the cause.
const REGRESSIONS: &str = include_str!("../seeds.txt");

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
    };
    Command::new("masticfall-soak")
        .about("Plays random faults against entry processes and checks the promises")
        .arg(number("seeds", "50", "Number of seeds beside the kept ones"))
        .arg(number("first", "1", "First seed; 0 draws one"))
        .arg(number("length-s", "15", "Time with faults, in seconds"))
        .arg(number("processes", "4", "Entry processes of a seed"))
        .arg(number("at-once", "6", "Seeds played at the same time"))
        .arg(
            Arg::new("program")
                .long("program")
                .default_value("target/debug/masticfalld")
                .value_parser(value_parser!(PathBuf))
                .help("Program of the entry process"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for settings and logs; those of failed seeds are kept"),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let path = |name: &str| matches.get_one::<PathBuf>(name).cloned().unwrap_or_default();
    let first = match number("first") {
        0 => rand::random::<u32>().into(),
        first => first,
    };
    let kept = REGRESSIONS.lines().filter_map(|line| line.split_whitespace().next()?.parse().ok());
    let seeds: Vec<u64> = kept.chain(first..first + number("seeds")).collect();
    let room = Arc::new(Semaphore::new(number("at-once").max(1) as usize));
    let mut plays = Vec::new();
    for seed in seeds {
        let plan = Plan {
            seed,
            length_ms: number("length-s") * 1_000,
            processes: number("processes").max(1) as usize,
            program: path("program"),
            folder: path("folder"),
        };
        plays.push(tokio::spawn(one(plan, Arc::clone(&room))));
    }
    let all = async {
        let mut failed = 0;
        for one in plays {
            failed += u32::from(!one.await.unwrap_or(false));
        }
        println!("{failed} seeds failed");
        if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    };
    let stop = signal(SignalKind::terminate());
    // The plays end with the runtime, and their processes with them.
    tokio::select! {
        code = all => code,
        _ = tokio::signal::ctrl_c() => ExitCode::FAILURE,
        () = async { match stop { Ok(mut stop) => drop(stop.recv().await), Err(_) => std::future::pending().await } } => ExitCode::FAILURE,
    }
}

/// Plays a seed and prints its line; returns whether no promise was broken.
async fn one(mut plan: Plan, room: Arc<Semaphore>) -> bool {
    // The semaphore is never closed.
    let _permit = room.acquire().await;
    let seed = plan.seed;
    let played = match seed_folder(&plan.folder, seed) {
        Ok(folder) => {
            plan.folder = folder;
            play(&plan).await
        }
        Err(error) => Err(error),
    };
    match played {
        Ok(report) => {
            print(seed, &report);
            let is_kept = report.breaches.is_empty();
            if is_kept {
                // Only the logs of failed seeds are of use.
                drop(std::fs::remove_dir_all(&plan.folder));
            }
            is_kept
        }
        Err(error) => {
            println!("seed {seed}: not played: {error}");
            false
        }
    }
}

fn print(seed: u64, report: &Report) {
    let Report { breaches, faults, asked, accepted, refused } = report;
    let outcome = if breaches.is_empty() { "ok" } else { "FAILED" };
    println!(
        "seed {seed}: {outcome}, {asked} jobs, {accepted} accepted, {refused} refused, {} faults",
        faults.len()
    );
    if breaches.is_empty() {
        return;
    }
    for (at_ms, fault) in faults {
        println!("  {at_ms:>6} ms  {fault}");
    }
    for breach in breaches {
        println!("  broken: {breach}");
    }
}
