//! `handover`: the report lists paused waves, parked jobs and configuration changes.

use std::time::Duration;

use http::Method;
use masticfall::client::ApiClient;
use masticfall::trial::{BLUE_KEY, TrialFleet};

use crate::cli::{run_as_operator, stdout};

/// Replaces what differs between runs: identifiers of jobs, and times.
fn redact(text: &str) -> String {
    let words = text.split_inclusive(char::is_whitespace).map(|word| {
        let token = word.trim_end();
        let is_job = token.starts_with("dc-") && token.len() > 30;
        let is_time = token.len() >= 10 && token.starts_with(|c: char| c.is_ascii_digit());
        if is_job || is_time { word.replace(token, "…") } else { word.to_string() }
    });
    words.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn report_names_paused_waves_parked_jobs_and_changes() {
    let trial = TrialFleet::start().await.unwrap();
    stdout(&run_as_operator(&trial, 0, &["waves", "create", "kernel", "--pool", "preview"]).await);
    stdout(&run_as_operator(&trial, 1, &["waves", "pause", "kernel"]).await);
    let blue = ApiClient::new(trial.address(0), BLUE_KEY);
    let path = "/v1/queues/overnight/jobs?idempotent=false";
    let job = blue.send(Method::POST, path, &[], "fail run_ms=10").await.unwrap();
    assert!(job.status.is_success());
    tokio::time::sleep(Duration::from_secs(3)).await;
    let report = stdout(&run_as_operator(&trial, 1, &["handover"]).await);
    let stable_lines: Vec<&str> =
        report.lines().filter(|line| !line.starts_with("kernel")).collect();
    assert!(report.contains("kernel  paused"), "{report}");
    insta::assert_snapshot!(redact(&stable_lines.join("\n")));
    trial.stop().await;
}
