//! `config`: faults of a file, applying a revision, and the error after a conflicting change.

use masticfall::trial::{TrialFleet, fleet_config};

use crate::cli::{run, run_as_operator, stdout, transcript, write_temp_file};

#[test]
fn check_prints_every_fault_with_its_line_and_the_nearest_name() {
    let path = write_temp_file(
        "faulty.ini",
        "[fleet]\nname = x\nwaighting = share\n[data_centre a]\nnear = b\n\
         [servise s]\nslots = 8\n[pool p]\nmin_available_percent = 101\n\
         [queue q]\nservice = web\nclass = long\nopen = true\n\
         [team t]\nlimit = many\n[team t]\nlimit = 1\n[key k]\nteam = u\nhash = xyz\n",
    );
    let text = transcript(&run(&["config", "check", &path])).replace(&path, "FILE");
    insta::assert_snapshot!(text);
}

/// Scripts rely on the exit code, and read the findings from the JSON.
#[test]
fn warnings_exit_with_code_0_and_errors_with_code_1() {
    let warned = fleet_config().replace("near = dc-b", "near = dc-a");
    let path = write_temp_file("warned.ini", &warned);
    let text = transcript(&run(&["config", "check", &path]));
    assert!(text.starts_with("exit 0\nSEVERITY") && text.contains("warning"), "{text}");
    let path = write_temp_file("contradiction.ini", &fleet_config().replace("= 3000", "= 6000"));
    let output = run(&["--json", "config", "check", &path]);
    assert_eq!(output.status.code(), Some(1));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (&report["errors"], &report["findings"][0]["severity"]),
        (&2.into(), &"error".into())
    );
    assert_eq!(report["findings"][0]["key"], "deadline_ms");
    let path = write_temp_file("clean.ini", &fleet_config());
    let text = transcript(&run(&["config", "check", &path])).replace(&path, "FILE");
    assert_eq!(text, "exit 0\nFILE: ok\n");
    assert_eq!(run(&["config", "check", &path, "--against", "nowhere"]).status.code(), Some(2));
}

/// What differs from the revision in force must be shown before it is replaced.
#[tokio::test(flavor = "multi_thread")]
async fn file_is_compared_with_the_revision_in_force() {
    let trial = TrialFleet::start().await.unwrap();
    let address = trial.address(1);
    let path = write_temp_file("same.ini", &fleet_config());
    let args = ["config", "check", &path, "--against", &address];
    let text = stdout(&run_as_operator(&trial, 0, &args).await);
    assert!(text.ends_with("same as revision 1\n"), "{text}");
    let changed = fleet_config()
        .replace("limit = 16", "limit = 17")
        .replace("[pool spare]\n", "[pool spare]\n[pool idle]\n")
        .replace("pool = workers", "pool = idle");
    let path = write_temp_file("changed.ini", &changed);
    let args = ["config", "check", &path, "--against", &address];
    let output = run_as_operator(&trial, 0, &args).await;
    let text = transcript(&output).replace(&path, "FILE");
    insta::assert_snapshot!(text);
    let refused = run(&["config", "check", &path, "--against", &address]);
    assert_eq!(refused.status.code(), Some(1));
    trial.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn revision_is_applied_shown_and_in_force_on_both_processes() {
    let trial = TrialFleet::start().await.unwrap();
    let changed = fleet_config().replace("limit = 16", "limit = 17");
    let path = write_temp_file("apply.ini", &changed);
    let args = ["config", "apply", "--expect", "1", "--note", "more for red", &path];
    let text = stdout(&run_as_operator(&trial, 0, &args).await);
    insta::assert_snapshot!(text);
    let config_at_other = stdout(&run_as_operator(&trial, 1, &["config", "show"]).await);
    assert_eq!(config_at_other, changed);
    let history = stdout(&run_as_operator(&trial, 1, &["config", "history"]).await);
    assert!(history.contains("ana") && history.contains("more for red"), "{history}");
    trial.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn loser_of_a_race_is_told_whose_change_came_between() {
    let trial = TrialFleet::start().await.unwrap();
    let path = write_temp_file("race.ini", &fleet_config());
    let args = ["config", "apply", "--expect", "1", "--note", "noon change", &path];
    assert!(run_as_operator(&trial, 0, &args).await.status.success());
    let text = transcript(&run_as_operator(&trial, 1, &args).await);
    insta::assert_snapshot!(text);
    trial.stop().await;
}
