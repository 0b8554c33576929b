//! A route is taken out of the configuration and put back while the last run that its
//! `attempts` allow for a task is at work.

use std::io;
use std::thread::sleep;
use std::time::Duration;

use crate::Breaches;
use crate::deployment::Deployment;
use crate::fleet::{State, Step};

const JOB: &str = "5c0e7a21d94b3601";
const ATTEMPTS: usize = 2;

fn runs(state: &State) -> usize {
    state.runs.iter().filter(|run| run.job == JOB).count()
}

fn failed(state: &State) -> usize {
    let is_noted = |run: &&crate::fleet::Run| {
        run.job == JOB && matches!(run.ended, Some((_, "failed"))) && run.noted_ms.is_some()
    };
    state.runs.iter().filter(is_noted).count()
}

pub fn play(deployment: &Deployment, is_troubled: bool) -> io::Result<Breaches> {
    let fleet = &deployment.fleet;
    let mut step = Step::new(1, 4_000, 1_000, 2_000);
    step.outcome = "failed";
    if !deployment.submit(JOB, vec![step]) {
        return Err(io::Error::other("the job was not accepted"));
    }
    if !fleet.wait_for(15_000, |state| runs(state) == ATTEMPTS) {
        return Err(io::Error::other("the task wasn't tried again"));
    }
    if is_troubled {
        sleep(Duration::from_millis(300));
        deployment.configure(9, ATTEMPTS as u32, false);
    }
    if !fleet.wait_for(10_000, |state| failed(state) == ATTEMPTS) {
        return Err(io::Error::other("the second run didn't fail"));
    }
    sleep(Duration::from_millis(1_000));
    if is_troubled {
        deployment.configure(12, ATTEMPTS as u32, true);
    }
    sleep(Duration::from_millis(8_000));
    deployment.state_of(JOB);
    let state = fleet.lock();
    let mut ends = Vec::new();
    let mut breaches = Vec::new();
    for run in state.runs.iter().filter(|run| run.job == JOB) {
        let before = ends.iter().filter(|(at_ms, is_noted)| *at_ms < run.started_ms && *is_noted);
        let before = before.count();
        if before >= ATTEMPTS {
            breaches.push(format!(
                "{} attempt {} was started at {} ms, after {before} runs had ended `failed` of {ATTEMPTS} attempts",
                run.task, run.attempt, run.started_ms
            ));
        }
        if let Some((at_ms, "failed")) = run.ended {
            ends.push((at_ms, run.noted_ms.is_some()));
        }
    }
    Ok(breaches)
}
