//! Open connections to the store go silent while a job is cancelled.

use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Breaches;
use crate::deployment::Deployment;
use crate::fleet::{Step, wall_ms};

const JOB: &str = "5c0e7a21d94b3601";

/// Occurrences of the job and their interval, in milliseconds.
const OCCURRENCES: u32 = 60;
const INTERVAL_MS: u64 = 250;

/// Bounds of the site, in milliseconds.
const CANCEL_MS: u64 = 3_000;
const CONTACT_MS: u64 = 3_000;

pub fn play(deployment: &Deployment, is_troubled: bool) -> io::Result<Breaches> {
    let fleet = &deployment.fleet;
    let step = Step::new(1, 1_000, 500, 150);
    if !deployment.submit_timed(JOB, vec![step], OCCURRENCES, wall_ms(), INTERVAL_MS) {
        return Err(io::Error::other("the job was not accepted"));
    }
    if !fleet.wait_for(5_000, |state| state.runs.len() > 3) {
        return Err(io::Error::other("the job didn't start"));
    }
    // The owner is the process that follows the jobs.
    let owner = deployment.links.iter().position(|link| link.waits_for("jobs").is_some());
    let owner = owner.ok_or_else(|| io::Error::other("no process follows the jobs"))?;
    let other = 1 - owner;
    let link = &deployment.links[owner];
    let until = Instant::now() + Duration::from_secs(6);
    while link.waits_for("jobs").is_none_or(|waited| waited > Duration::from_millis(100)) {
        if Instant::now() > until {
            return Err(io::Error::other("the jobs are not followed"));
        }
        sleep(Duration::from_millis(5));
    }
    if is_troubled {
        deployment.links[other].go_silent_at_cancellation(link);
        fleet.note(&format!(
            "connections go silent as the next cancellation is written: {} feeds of the owner, which has {} open connections; one of the other process, which has {}",
            link.waiting(), deployment.nodes[owner].connections()?, deployment.nodes[other].connections()?
        ));
    }
    let silent_ms = fleet.now_ms();
    let answer = deployment.call_at(deployment.nodes[other].front, "DELETE", JOB, "");
    let acked_ms = fleet.now_ms();
    if !answer.is_ok_and(|(status, _)| status == 200) {
        return Err(io::Error::other("the cancellation was not acknowledged"));
    }
    if is_troubled && !link.is_silent() {
        return Err(io::Error::other("no connection went silent"));
    }
    sleep(Duration::from_millis(9_000));
    deployment.state_of(JOB);
    let state = fleet.lock();
    let in_touch_ms = if is_troubled { silent_ms + CONTACT_MS } else { 0 };
    let late = state
        .runs
        .iter()
        .filter(|run| run.started_ms > acked_ms + CANCEL_MS && run.started_ms > in_touch_ms);
    let breaches = late.map(|run| {
        format!(
            "{} was started at {} ms; its job was cancelled, acknowledged at {acked_ms} ms; connections went silent at {silent_ms} ms",
            run.task, run.started_ms
        )
    });
    Ok(breaches.collect())
}
