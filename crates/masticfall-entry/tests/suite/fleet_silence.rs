//! Connections to the store that go silent without being reset, while new ones work.
//!
//! A feed that has just begun to wait takes longest to notice it, so each test is played with
//! silences that begin at different times after the start.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::error::ErrorKind;
use masticfall_core::fleet::spec::{JobSpec, StepSpec};
use masticfall_entry::fleet::{RunningFleet, jobs};
use masticfall_standin::fleet::World;
use tokio::time::sleep;

use crate::fleet_world::{
    CAPACITY, WORKERS, caller, config, is_owner, job, start_settled, submit_spec, two_step_spec,
};

/// Bounds of the platform's deployments, in milliseconds: after which a cancellation, the
/// departure of a worker and a configuration have to be respected.
const CANCEL_MS: u64 = 3_000;
const DRAIN_MS: u64 = 2_000;
const CONFIG_APPLY_MS: u64 = 2_000;

/// Time after a disruption of its connections from which on a process has to keep all bounds,
/// in milliseconds, by the platform's rules.
const CONTACT_MS: u64 = 3_000;

/// Delays of the silence after the start, in milliseconds.
fn delays_ms() -> impl Iterator<Item = u64> {
    (500..4_500).step_by(400)
}

/// A job whose tasks each need a whole worker for 0.1 s, so that one starts every few
/// milliseconds for as long as a test looks.
fn long_queue() -> JobSpec {
    let step = StepSpec { tasks: 900, needs: CAPACITY, estimate_ms: 100, ..StepSpec::default() };
    JobSpec { steps: vec![step], ..two_step_spec() }
}

/// Starts an owner and another process, and a job that keeps all workers busy; lets the feeds
/// go silent after a delay. Returns the owner first.
async fn silence_busy(world: &Arc<World>, delay_ms: u64) -> Vec<RunningFleet> {
    let mut processes = start_settled(world, &["a", "b"]).await;
    if !is_owner(&processes[0]) {
        processes.swap(0, 1);
    }
    assert!(is_owner(&processes[0]));
    let accepted = submit_spec(world, &processes[0].fleet, &job(1), long_queue()).await;
    assert_eq!(accepted, Ok(()));
    sleep(Duration::from_millis(delay_ms)).await;
    assert!(world.record().len() > WORKERS, "tasks are started all the time");
    world.silence_open_feeds();
    processes
}

/// Guards against an owner that goes on starting the tasks of a cancelled job, as it waits for
/// the cancellation on a connection that has gone silent.
#[tokio::test(start_paused = true)]
async fn cancelled_job_is_not_started_by_an_owner_whose_feeds_are_silent() {
    for delay_ms in delays_ms() {
        let world = World::new(WORKERS, "p");
        let processes = silence_busy(&world, delay_ms).await;
        let admitted =
            jobs::admit(&processes[1].fleet, &caller(job(1).as_str())).expect("admitted");
        jobs::cancel(&processes[1].fleet, &admitted).await.expect("cancelled");
        let until_ms = world.now_ms() + CANCEL_MS.max(CONTACT_MS);
        sleep(Duration::from_secs(8)).await;
        let starts = world.record().iter().map(|run| run.started_ms).max().unwrap_or_default();
        let late_ms = starts.saturating_sub(until_ms);
        assert_eq!(late_ms, 0, "starts after the limit, silent after {delay_ms} ms");
        processes.into_iter().for_each(RunningFleet::crash);
    }
}

/// Guards against starts on a worker that has announced its departure over a connection that
/// has gone silent.
#[tokio::test(start_paused = true)]
async fn leaving_worker_gets_no_tasks_from_an_owner_whose_feeds_are_silent() {
    for delay_ms in delays_ms() {
        let world = World::new(WORKERS, "p");
        let processes = silence_busy(&world, delay_ms).await;
        world.set_draining(0, true);
        let until_ms = world.now_ms() + DRAIN_MS.max(CONTACT_MS);
        sleep(Duration::from_secs(8)).await;
        let leaving = world.worker_facts().remove(0).id;
        let record = world.record();
        let starts =
            record.iter().filter(|run| run.worker == leaving).map(|run| run.started_ms).max();
        let starts = starts.expect("the worker was in use");
        let late_ms = starts.saturating_sub(until_ms);
        assert_eq!(late_ms, 0, "starts after the limit, silent after {delay_ms} ms");
        assert!(record.iter().any(|run| run.started_ms > until_ms), "the other workers go on");
        processes.into_iter().for_each(RunningFleet::crash);
    }
}

/// Guards against keys that stay valid, since the process waits for the configuration that
/// withdraws them on a connection that has gone silent, and no peer can be asked.
#[tokio::test(start_paused = true)]
async fn withdrawn_key_is_rejected_by_a_process_whose_feeds_are_silent() {
    for delay_ms in (0..2_000).step_by(50) {
        let world = World::new(WORKERS, "p");
        let processes = start_settled(&world, &["a", "b"]).await;
        sleep(Duration::from_millis(delay_ms)).await;
        world.silence_open_feeds();
        world.set_config(config(2, &["another"]));
        sleep(Duration::from_millis(CONFIG_APPLY_MS.max(CONTACT_MS))).await;
        for process in &processes {
            let refused = jobs::admit(&process.fleet, &caller(job(1).as_str()))
                .map_err(|refusal| refusal.kind);
            assert_eq!(refused.err(), Some(ErrorKind::Unauthorized), "silent after {delay_ms} ms");
        }
        processes.into_iter().for_each(RunningFleet::crash);
    }
}
