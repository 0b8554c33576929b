//! `handover`: nothing rests in one person's memory.

use std::time::Duration;

use http::Method;
use masticfall::client::ApiClient;
use masticfall::trial::{BLUE_KEY, TrialFleet};

use crate::cli::{operate, stdout};

/// Replaces what differs from run to run: identifiers of jobs, and clocks.
fn steady(text: &str) -> String {
    let words = text.split_inclusive(char::is_whitespace).map(|word| {
        let bare = word.trim_end();
        let is_job = bare.starts_with("dc-") && bare.len() > 30;
        let is_clock = bare.len() >= 10 && bare.starts_with(|c: char| c.is_ascii_digit());
        if is_job || is_clock { word.replace(bare, "…") } else { word.to_string() }
    });
    words.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn report_names_paused_waves_parked_jobs_and_changes() {
    let trial = TrialFleet::start().await.unwrap();
    stdout(&operate(&trial, 0, &["waves", "create", "kernel", "--pool", "preview"]).await);
    stdout(&operate(&trial, 1, &["waves", "pause", "kernel"]).await);
    let blue = ApiClient::new(trial.address(0), BLUE_KEY);
    let path = "/v1/queues/overnight/jobs?idempotent=false";
    let job = blue.send(Method::POST, path, &[], "fail run_ms=10").await.unwrap();
    assert!(job.status.is_success());
    tokio::time::sleep(Duration::from_secs(3)).await;
    let report = stdout(&operate(&trial, 1, &["handover"]).await);
    let kept: Vec<&str> = report.lines().filter(|line| !line.starts_with("kernel")).collect();
    assert!(report.contains("kernel  paused"), "{report}");
    insta::assert_snapshot!(steady(&kept.join("\n")));
    trial.stop().await;
}
