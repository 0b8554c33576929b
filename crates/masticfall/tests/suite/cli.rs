//! Helpers that run the command line as a process.

use std::path::PathBuf;
use std::process::{Command, Output};

use masticfall::trial::{OPERATOR_KEY, TrialFleet};

/// Runs `masticfall` with arguments.
pub fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_masticfall")).args(args).output().unwrap()
}

/// Runs `masticfall` as the operator against one entry process of a trial fleet.
///
/// Waits on a blocking thread, because the trial fleet runs in the runtime of the test.
pub async fn run_as_operator(trial: &TrialFleet, index: usize, args: &[&str]) -> Output {
    let mut all = vec!["--entry".to_string(), trial.address(index)];
    all.extend(["--operator-key".to_string(), OPERATOR_KEY.to_string()]);
    all.extend(args.iter().map(|arg| (*arg).to_string()));
    let run = move || Command::new(env!("CARGO_BIN_EXE_masticfall")).args(all).output().unwrap();
    tokio::task::spawn_blocking(run).await.unwrap()
}

/// Returns the exit code, standard output and standard error as one text.
pub fn transcript(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    let code = output.status.code().unwrap_or(-1);
    let (out, err) = (String::from_utf8_lossy(out), String::from_utf8_lossy(err));
    format!("exit {code}\n{out}{err}")
}

/// Returns the standard output of a command that must succeed.
pub fn stdout(output: &Output) -> String {
    assert!(output.status.success(), "{}", transcript(output));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the path of a file in the repository.
pub fn repository_path(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join(path).display().to_string()
}

/// Writes a temporary file and returns its path; `name` must be unique among the tests.
pub fn write_temp_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("masticfall-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}
