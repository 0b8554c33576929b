//! `masticfall try --once`: a smoke test that sends requests and a job to a trial fleet.

use std::time::Duration;

use http::{Method, StatusCode};
use serde::Deserialize;

use super::{BLUE_KEY, OPERATOR_KEY, RED_KEY, TrialFleet};
use crate::client::{ApiClient, ApiResponse};
use crate::error::{CliError, Result};

/// Timeout for the job to finish.
const JOB_TIMEOUT_MS: u64 = 15_000;

const ECHO: &str = "/v1/queues/preview/requests/echo";

/// Runs all steps and fails at the first unexpected result.
///
/// # Errors
/// [`CliError::Failed`] with the step and the response, or the error of the trial fleet or
/// the client.
pub async fn run() -> Result<()> {
    let trial = TrialFleet::start().await?;
    print!("{}", trial.describe());
    let result = run_steps(&trial).await;
    trial.stop().await;
    result?;
    println!("all steps succeeded");
    Ok(())
}

async fn run_steps(trial: &TrialFleet) -> Result<()> {
    let red = ApiClient::new(trial.address(0), RED_KEY);
    let blue = ApiClient::new(trial.address(1), BLUE_KEY);
    let anonymous = ApiClient::new(trial.address(1), "");

    for (name, client) in [("red at dc-a", &red), ("blue at dc-b", &blue)] {
        let response = client.send(Method::POST, ECHO, &[], "bend 3 mm").await?;
        expect_response(
            &format!("interactive request of {name}"),
            &response,
            StatusCode::OK,
            "bend 3 mm",
        )?;
    }
    let path = "/v1/queues/walk-in/requests/ok";
    let response = anonymous.send(Method::GET, path, &[], "").await?;
    expect_response("request without a key to the open queue", &response, StatusCode::OK, "ok")?;
    let response = anonymous.send(Method::GET, ECHO, &[], "").await?;
    expect_response(
        "request without a key to a team's queue",
        &response,
        StatusCode::UNAUTHORIZED,
        "not_run",
    )?;

    large_response(&red).await?;
    repeated_order(trial, &red).await?;
    run_job(&blue).await?;
    check_timeline(trial).await
}

fn expect_response(
    step: &str,
    response: &ApiResponse,
    status: StatusCode,
    expected: &str,
) -> Result<()> {
    let text = response.text();
    if response.status != status || !text.contains(expected) {
        let message =
            format!("{step}: expected {status} with `{expected}`, got {}: {text}", response.status);
        return Err(CliError::Failed { message });
    }
    println!("ok  {step}: {status}");
    Ok(())
}

async fn large_response(red: &ApiClient) -> Result<()> {
    const LENGTH: usize = 5 * 1024 * 1024;
    let path = format!("/v1/queues/preview/requests/bytes/{LENGTH}");
    let response = red.send(Method::GET, &path, &[], "").await?;
    if response.body.len() != LENGTH {
        let message =
            format!("streamed answer: received {} of {LENGTH} bytes", response.body.len());
        return Err(CliError::Failed { message });
    }
    println!("ok  streamed answer: {LENGTH} bytes");
    Ok(())
}

async fn repeated_order(trial: &TrialFleet, red: &ApiClient) -> Result<()> {
    let headers = [("idempotency-key", "order-1"), ("x-request-id", "order-1")];
    for entry in 0..2 {
        let client = red.with_entry(&trial.address(entry));
        let response = client.send(Method::POST, ECHO, &headers, "grind a lens").await?;
        let step = format!("order at entry process {entry}");
        expect_response(&step, &response, StatusCode::OK, "grind a lens")?;
    }
    let runs = trial.backends.targets.iter();
    let runs: u32 = runs
        .map(|(_, target)| target.record.lock().runs.get("order-1").copied().unwrap_or_default())
        .sum();
    if runs != 1 {
        return Err(CliError::Failed { message: format!("the order ran {runs} times") });
    }
    println!("ok  the order ran once");
    Ok(())
}

#[derive(Debug, Deserialize)]
struct Job {
    state: String,
}

async fn run_job(blue: &ApiClient) -> Result<()> {
    let path = "/v1/queues/overnight/jobs?cores=2";
    let response = blue.send(Method::POST, path, &[], "calibrate run_ms=200").await?;
    expect_response("job submitted", &response, StatusCode::ACCEPTED, "id")?;
    let location = response.headers.get("location").and_then(|value| value.to_str().ok());
    let location = location.unwrap_or_default().to_string();
    let finished = async {
        loop {
            let job: Job = blue.get(&location).await?;
            if job.state == "finished" {
                return Ok::<_, CliError>(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(Duration::from_millis(JOB_TIMEOUT_MS), finished).await.map_err(
        |elapsed| CliError::Failed {
            message: format!("the job did not finish in time: {elapsed}"),
        },
    )??;
    let result = blue.send(Method::GET, &format!("{location}/result"), &[], "").await?;
    expect_response("result of the job", &result, StatusCode::OK, "result of calibrate")
}

async fn check_timeline(trial: &TrialFleet) -> Result<()> {
    let operator = ApiClient::new(trial.address(0), OPERATOR_KEY);
    let response = operator.send(Method::GET, "/admin/v1/timeline", &[], "").await?;
    expect_response("timeline of the first entry process", &response, StatusCode::OK, "dispatched")
}
