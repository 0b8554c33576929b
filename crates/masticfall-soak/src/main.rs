//! `masticfall-soak`: runs seeded fault schedules against the real programs.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, ArgAction, Command, value_parser};
use indexmap::IndexSet;
use masticfall_soak::play::{FaultKind, Plan, Report, run_plan};
use masticfall_soak::process::seed_folder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;

/// Seeds that failed in the past, run every time; one per line, followed by the cause. After
/// `owner:` only faults of the owner are played, after `restarts:` only restarts of workers.
const REGRESSIONS: &str = include_str!("../seeds.txt");

/// Shortest duration of the faults of a kept seed of these kinds, and of restarts of workers, in
/// seconds: changes of owners follow each other slowly.
const OWNER_LENGTH_S: u64 = 20;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
    };
    Command::new("masticfall-soak")
        .about("Injects random faults into a fleet of entry processes and checks the invariants")
        .arg(number("seeds", "50", "Number of seeds to run in addition to the regression seeds"))
        .arg(number("first", "1", "First seed; 0 picks one at random"))
        .arg(number("length-s", "15", "Duration of fault injection, in seconds"))
        .arg(number("processes", "4", "Number of entry processes per seed"))
        .arg(number("at-once", "6", "Number of seeds to run concurrently"))
        .arg(
            Arg::new("owner-faults")
                .long("owner-faults")
                .action(ArgAction::SetTrue)
                .help("Play only faults of the cell's owner, as in every fifth seed"),
        )
        .arg(
            Arg::new("restarts").long("restarts").action(ArgAction::SetTrue).help(
                "Play only restarts of workers under their identifiers, as in every tenth seed",
            ),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .default_value("target/debug/masticfalld")
                .value_parser(value_parser!(PathBuf))
                .help("Path of the entry process program"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for settings and logs; only those of failed seeds are kept"),
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
    let regressions =
        REGRESSIONS.lines().filter_map(|line| line.split_whitespace().next()?.parse().ok());
    // A set, since a seed played twice at once would share its folder.
    let seeds: IndexSet<u64> = regressions.chain(first..first + number("seeds")).collect();
    let permits = Arc::new(Semaphore::new(number("at-once").max(1) as usize));
    let mut runs = Vec::new();
    for seed in seeds {
        let is_kept = |kind: &str| {
            let mark = format!("{seed} {kind}: ");
            REGRESSIONS.lines().any(|line| line.starts_with(&mark))
        };
        let (is_kept_owner, is_kept_restart) = (is_kept("owner"), is_kept("restarts"));
        let faults = if matches.get_flag("restarts") || seed % 10 == 1 || is_kept_restart {
            FaultKind::Restarts
        } else if matches.get_flag("owner-faults") || seed % 5 == 4 || is_kept_owner {
            FaultKind::Owner
        } else {
            FaultKind::All
        };
        let is_long = is_kept_owner || faults == FaultKind::Restarts;
        let plan = Plan {
            seed,
            length_ms: number("length-s").max(if is_long { OWNER_LENGTH_S } else { 0 }) * 1_000,
            processes: number("processes").max(1) as usize,
            program: path("program"),
            folder: path("folder"),
            faults,
        };
        runs.push(tokio::spawn(run_seed(plan, Arc::clone(&permits))));
    }
    let all = async {
        let mut failed = 0;
        for run in runs {
            failed += u32::from(!run.await.unwrap_or(false));
        }
        println!("{failed} seeds failed");
        if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    };
    let terminate = signal(SignalKind::terminate());
    // Dropping the runtime cancels the runs, which kills their processes.
    tokio::select! {
        code = all => code,
        _ = tokio::signal::ctrl_c() => ExitCode::FAILURE,
        () = async { match terminate { Ok(mut signals) => drop(signals.recv().await), Err(_) => std::future::pending().await } } => ExitCode::FAILURE,
    }
}

/// Runs a seed and prints its result; returns whether no violation was found.
async fn run_seed(mut plan: Plan, permits: Arc<Semaphore>) -> bool {
    // The semaphore is never closed.
    let _permit = permits.acquire().await;
    let seed = plan.seed;
    let result = match seed_folder(&plan.folder, seed) {
        Ok(folder) => {
            plan.folder = folder;
            run_plan(&plan).await
        }
        Err(error) => Err(error),
    };
    match result {
        Ok(report) => {
            print_report(seed, &report);
            let has_passed = report.violations.is_empty();
            if has_passed {
                // Only the logs of failed seeds are needed.
                drop(std::fs::remove_dir_all(&plan.folder));
            }
            has_passed
        }
        Err(error) => {
            println!("seed {seed}: could not run: {error}");
            false
        }
    }
}

fn print_report(seed: u64, report: &Report) {
    let Report { violations, faults, submitted, accepted, refused, crashes } = report;
    let outcome = if violations.is_empty() { "ok" } else { "FAILED" };
    println!(
        "seed {seed}: {outcome}, {submitted} jobs, {accepted} accepted, {refused} refused, {crashes} crashes, {} faults",
        faults.len()
    );
    if violations.is_empty() {
        return;
    }
    let mut faults: Vec<_> = faults.iter().collect();
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    for (at_ms, fault) in faults {
        println!("  {at_ms:>6} ms  {fault}");
    }
    for violation in violations {
        println!("  violation: {violation}");
    }
}
