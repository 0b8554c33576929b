//! `masticfall try --once`: a few requests and a job through the whole path.

use std::time::Duration;

use http::{Method, StatusCode};
use serde::Deserialize;

use super::{BLUE_KEY, OPERATOR_KEY, RED_KEY, TrialFleet};
use crate::client::{ApiClient, ApiResponse};
use crate::error::{CliError, Result};

/// Longest wait for the job, in milliseconds.
const JOB_MS: u64 = 15_000;

const ECHO: &str = "/v1/queues/preview/requests/echo";

/// Runs all steps; fails at the first that went wrong.
///
/// # Errors
/// [`CliError::Failed`] with the step and what came back.
pub async fn run() -> Result<()> {
    let trial = TrialFleet::start().await?;
    print!("{}", trial.describe());
    let result = steps(&trial).await;
    trial.stop().await;
    result?;
    println!("all steps went right");
    Ok(())
}

async fn steps(trial: &TrialFleet) -> Result<()> {
    let red = ApiClient::new(trial.address(0), RED_KEY);
    let blue = ApiClient::new(trial.address(1), BLUE_KEY);
    let stranger = ApiClient::new(trial.address(1), "");

    for (name, client) in [("red at dc-a", &red), ("blue at dc-b", &blue)] {
        let answer = client.send(Method::POST, ECHO, &[], "bend 3 mm").await?;
        expect(&format!("interactive request of {name}"), &answer, StatusCode::OK, "bend 3 mm")?;
    }
    let path = "/v1/queues/walk-in/requests/ok";
    let answer = stranger.send(Method::GET, path, &[], "").await?;
    expect("request without a key to the open queue", &answer, StatusCode::OK, "ok")?;
    let answer = stranger.send(Method::GET, ECHO, &[], "").await?;
    expect(
        "request without a key to a team's queue",
        &answer,
        StatusCode::UNAUTHORIZED,
        "not_run",
    )?;

    large_answer(&red).await?;
    order_twice(trial, &red).await?;
    job(&blue).await?;
    timeline(trial).await
}

fn expect(step: &str, answer: &ApiResponse, status: StatusCode, part: &str) -> Result<()> {
    let text = answer.text();
    if answer.status != status || !text.contains(part) {
        let message =
            format!("{step}: expected {status} with `{part}`, got {}: {text}", answer.status);
        return Err(CliError::Failed { message });
    }
    println!("ok  {step}: {status}");
    Ok(())
}

async fn large_answer(red: &ApiClient) -> Result<()> {
    const LENGTH: usize = 5 * 1024 * 1024;
    let path = format!("/v1/queues/preview/requests/bytes/{LENGTH}");
    let answer = red.send(Method::GET, &path, &[], "").await?;
    if answer.body.len() != LENGTH {
        let message = format!("streamed answer: {} of {LENGTH} bytes came", answer.body.len());
        return Err(CliError::Failed { message });
    }
    println!("ok  streamed answer: {LENGTH} bytes");
    Ok(())
}

async fn order_twice(trial: &TrialFleet, red: &ApiClient) -> Result<()> {
    let headers = [("idempotency-key", "order-1"), ("x-request-id", "order-1")];
    for instance in 0..2 {
        let client = red.with_entry(&trial.address(instance));
        let answer = client.send(Method::POST, ECHO, &headers, "grind a lens").await?;
        let step = format!("order at instance {instance}");
        expect(&step, &answer, StatusCode::OK, "grind a lens")?;
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

async fn job(blue: &ApiClient) -> Result<()> {
    let path = "/v1/queues/overnight/jobs?cores=2";
    let answer = blue.send(Method::POST, path, &[], "calibrate run_ms=200").await?;
    expect("job handed in", &answer, StatusCode::ACCEPTED, "id")?;
    let location = answer.headers.get("location").and_then(|value| value.to_str().ok());
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
    tokio::time::timeout(Duration::from_millis(JOB_MS), finished).await.map_err(|elapsed| {
        CliError::Failed { message: format!("the job did not finish: {elapsed}") }
    })??;
    let result = blue.send(Method::GET, &format!("{location}/result"), &[], "").await?;
    expect("result of the job", &result, StatusCode::OK, "result of calibrate")
}

async fn timeline(trial: &TrialFleet) -> Result<()> {
    let operator = ApiClient::new(trial.address(0), OPERATOR_KEY);
    let answer = operator.send(Method::GET, "/admin/v1/timeline", &[], "").await?;
    expect("time line", &answer, StatusCode::OK, "dispatched")
}
