//! A task crashes each executor that starts it, and the orders of one of its starts are carried
//! out late.

use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Breaches;
use crate::deployment::Deployment;
use crate::fleet::{State, Step};

const JOB: &str = "5c0e7a21d94b3601";

/// Age at which the task crashes its executor, in milliseconds.
const DEADLY_MS: u64 = 400;

/// Start orders of the second start that get no answer: the first one and the one that is sent
/// again after 150 ms.
const LATE_ORDERS: u32 = 2;

/// Starts after the third crash that break the rule.
const MAX_STARTS_AFTER: usize = 3;

fn crashes(state: &State) -> Vec<u64> {
    let of_job = state.runs.iter().filter(|run| run.job == JOB);
    of_job
        .filter_map(|run| run.ended)
        .filter(|(_, how)| *how == "crashed")
        .map(|(at, _)| at)
        .collect()
}

pub fn play(deployment: &Deployment, is_troubled: bool) -> io::Result<Breaches> {
    let fleet = &deployment.fleet;
    let mut step = Step::new(1, 4_000, 1_000, 2_000);
    step.deadly_ms = Some(DEADLY_MS);
    if !deployment.submit(JOB, vec![step]) {
        return Err(io::Error::other("the job was not accepted"));
    }
    if !fleet.wait_for(5_000, |state| crashes(state).len() == 1) {
        return Err(io::Error::other("the task didn't start"));
    }
    if is_troubled {
        fleet.lock().late_orders.insert(JOB.into(), LATE_ORDERS);
    }
    // Other jobs are served meanwhile.
    let until = Instant::now() + Duration::from_secs(45);
    let mut number = 0;
    while Instant::now() < until {
        deployment
            .submit(&format!("5c0e7a21d94c{number:04x}"), vec![Step::new(4, 1_000, 500, 300)]);
        number += 1;
        sleep(Duration::from_millis(250));
    }
    deployment.state_of(JOB);
    let state = fleet.lock();
    let crashes = crashes(&state);
    let Some(third_ms) = crashes.get(2) else { return Ok(Vec::new()) };
    let is_after = |run: &&crate::fleet::Run| run.job == JOB && run.started_ms > *third_ms;
    let starts: Vec<u64> = state.runs.iter().filter(is_after).map(|run| run.started_ms).collect();
    if starts.len() < MAX_STARTS_AFTER {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "{JOB} was started at {starts:?} ms, after three executors had crashed under its task, the third at {third_ms} ms"
    )])
}
