//! Runs the command line as a process.

use std::path::PathBuf;
use std::process::{Command, Output};

use masticfall::trial::{OPERATOR_KEY, TrialFleet};

/// Runs `masticfall` with arguments.
pub fn masticfall(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_masticfall")).args(args).output().unwrap()
}

/// Runs `masticfall` against an entry process of a trial fleet, on a thread of its own.
pub async fn operate(trial: &TrialFleet, index: usize, args: &[&str]) -> Output {
    let mut all = vec!["--entry".to_string(), trial.address(index)];
    all.extend(["--operator-key".to_string(), OPERATOR_KEY.to_string()]);
    all.extend(args.iter().map(|arg| (*arg).to_string()));
    let run = move || Command::new(env!("CARGO_BIN_EXE_masticfall")).args(all).output().unwrap();
    tokio::task::spawn_blocking(run).await.unwrap()
}

/// Returns exit code, standard output and standard error as one text.
pub fn shown(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    let code = output.status.code().unwrap_or(-1);
    let (out, err) = (String::from_utf8_lossy(out), String::from_utf8_lossy(err));
    format!("exit {code}\n{out}{err}")
}

/// Returns standard output of a command that has to succeed.
pub fn stdout(output: &Output) -> String {
    assert!(output.status.success(), "{}", shown(output));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the path of a file in the repository.
pub fn repository(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join(path).display().to_string()
}

/// Writes a file for one test and returns its path.
pub fn temporary(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("masticfall-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}
