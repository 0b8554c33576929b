//! A member of a gang is on an executor that is cut off when the gang is done, and crashes
//! behind the cut.

use std::io;
use std::thread::sleep;
use std::time::Duration;

use crate::Breaches;
use crate::deployment::Deployment;
use crate::fleet::Step;

const GANG: &str = "5c0e7a21d94b3601";

/// Duration of the gang's work, in milliseconds.
const WORK_MS: u64 = 4_000;

/// Length of the cut, in milliseconds; the site's limit is 5.5 s.
const CUT_MS: u64 = 5_000;

/// `finish_s` of the site.
const FINISH_MS: u64 = 14_000;

pub fn play(deployment: &Deployment, is_troubled: bool) -> io::Result<Breaches> {
    let fleet = &deployment.fleet;
    let mut gang = Step::new(2, 4_000, 1_000, WORK_MS);
    (gang.gang, gang.max_per_server) = (true, 1);
    let mut last = Step::new(1, 1_000, 500, 1_000);
    last.after = vec![0];
    if !deployment.submit(GANG, vec![gang, last]) {
        return Err(io::Error::other("the job was not accepted"));
    }
    if !fleet.wait_for(5_000, |state| state.runs.len() == 2) {
        return Err(io::Error::other("the gang didn't start"));
    }
    sleep(Duration::from_millis(1_500));
    if is_troubled {
        let worker =
            fleet.lock().runs.iter().find(|run| run.index == 1).map_or(0, |run| run.worker);
        fleet.cut(worker, true);
        sleep(Duration::from_millis(WORK_MS - 1_500 + 500));
        fleet.crash(worker);
        sleep(Duration::from_millis(500));
        fleet.restart(worker);
        sleep(Duration::from_millis(CUT_MS - (WORK_MS - 1_500 + 500) - 500));
        fleet.cut(worker, false);
    }
    // Other jobs of the queue are served meanwhile.
    for number in 0..14 {
        let step = Step::new(1, 1_000, 500, 300);
        deployment.submit(&format!("5c0e7a21d94b37{number:02x}"), vec![step]);
        sleep(Duration::from_millis(500));
    }
    sleep(Duration::from_millis(FINISH_MS));
    let mut breaches = Vec::new();
    let state = deployment.state_of(GANG);
    sleep(Duration::from_millis(3_200));
    let later = deployment.state_of(GANG);
    for number in 0..14 {
        deployment.state_of(&format!("5c0e7a21d94b37{number:02x}"));
    }
    let now_ms = fleet.now_ms();
    let fleet = fleet.lock();
    let of_gang = |step| fleet.runs.iter().filter(move |run| run.job == GANG && run.step == step);
    let done =
        of_gang(0).find(|run| matches!(run.ended, Some((_, "done"))) && run.noted_ms.is_some());
    let last_run = fleet.runs.iter().filter(|run| run.job == GANG).filter_map(|run| run.ended);
    let idle_since_ms = last_run.map(|(at_ms, _)| at_ms).max().unwrap_or(0);
    let is_running = fleet.runs.iter().any(|run| run.job == GANG && run.ended.is_none());
    if let Some(done) = done
        && of_gang(1).count() == 0
        && !is_running
        && now_ms >= idle_since_ms + 3_000
    {
        breaches.push(format!(
            "the gang was done at {} ms, taken note of at {} ms; nothing of the job has run since {idle_since_ms} ms, and it is still shown as {state:?} and {later:?}",
            done.ended.map_or(0, |(at_ms, _)| at_ms), done.noted_ms.unwrap_or(0)
        ));
    }
    Ok(breaches)
}
