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
