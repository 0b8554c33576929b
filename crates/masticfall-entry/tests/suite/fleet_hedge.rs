//! Calls to workers that are made again when they have no answer.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::report::StartOutcome;
use masticfall_core::id::{JobId, WorkerId};
use masticfall_entry::fleet::hedge::{hedged, start_outcomes};
use masticfall_entry::fleet::{FleetSettings, RunningFleet, start};
use masticfall_platform::fleet::PollCall;
use masticfall_platform::operation;
use masticfall_standin::fleet::World;
use parking_lot::Mutex;
use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::fleet_world::{
    WORKERS, assert_invariants, config, job, launch_with, phase, submit, unreachable_peers,
};

/// Time after which a call without an answer fails, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 700;

/// Delay of the second call, in milliseconds.
const HEDGE_MS: u64 = 150;

async fn answer(outcome: StartOutcome, after_ms: u64) -> StartOutcome {
    sleep(Duration::from_millis(after_ms)).await;
    outcome
}

/// A refusal of one order must not hide that the other one was or may still be carried out, or
/// its task would be started elsewhere as well.
#[rstest]
#[case::first_answers_in_time((StartOutcome::Started, 5), (StartOutcome::NoRoom, 5), StartOutcome::Started, 5)]
#[case::second_starts((StartOutcome::Unknown, CALL_TIMEOUT_MS), (StartOutcome::Started, 5), StartOutcome::Started, 155)]
#[case::second_is_refused((StartOutcome::Unknown, CALL_TIMEOUT_MS), (StartOutcome::NoRoom, 5), StartOutcome::Unknown, 700)]
#[case::both_are_refused((StartOutcome::NoRoom, 200), (StartOutcome::NoRoom, 5), StartOutcome::NoRoom, 200)]
#[case::first_is_slow((StartOutcome::Started, 300), (StartOutcome::NoRoom, 5), StartOutcome::Started, 300)]
#[case::neither_answers((StartOutcome::Unknown, CALL_TIMEOUT_MS), (StartOutcome::Unknown, CALL_TIMEOUT_MS), StartOutcome::Unknown, 850)]
#[case::first_is_refused_and_second_starts((StartOutcome::Unhealthy, 200), (StartOutcome::Started, 200), StartOutcome::Started, 350)]
#[case::first_is_refused_and_second_starts_at_once((StartOutcome::Unhealthy, 200), (StartOutcome::Started, 5), StartOutcome::Started, 155)]
#[case::first_is_refused_and_second_unanswered((StartOutcome::NoRoom, 200), (StartOutcome::Unknown, CALL_TIMEOUT_MS), StartOutcome::Unknown, 850)]
#[case::second_is_refused_first((StartOutcome::NoRoom, 400), (StartOutcome::Unhealthy, 5), StartOutcome::NoRoom, 400)]
#[case::a_later_owner((StartOutcome::Unknown, CALL_TIMEOUT_MS), (StartOutcome::Fenced, 5), StartOutcome::Fenced, 155)]
#[tokio::test(start_paused = true)]
async fn outcome_of_a_start_is_never_better_known_than_it_is(
    #[case] first: (StartOutcome, u64),
    #[case] second: (StartOutcome, u64),
    #[case] expected: StartOutcome,
    #[case] expected_ms: u64,
) {
    let begun = Instant::now();
    let delay = Duration::from_millis(HEDGE_MS);
    let outcomes = start_outcomes();
    let outcome =
        hedged(answer(first.0, first.1), delay, || Some(answer(second.0, second.1)), &outcomes);
    assert_eq!(outcome.await, expected);
    assert_eq!(begun.elapsed().as_millis() as u64, expected_ms);
}

/// Runs jobs one after another while every fourth start is left unanswered and carried out
/// seconds later; returns the longest time to completion, in milliseconds.
async fn longest_job_ms(hedge_after_ms: u64) -> u64 {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let settings = FleetSettings { hedge_after_ms, ..FleetSettings::local("a", "dc") };
    let process: RunningFleet = launch_with(&world, settings);
    sleep(Duration::from_secs(3)).await;
    world.set_delayed_starts(4);
    let mut longest_ms = 0;
    let ids: Vec<JobId> = (1..=12).map(job).collect();
    for id in &ids {
        let begun_ms = world.now_ms();
        submit(&world, &process.fleet, id).await.expect("accepted");
        longest_ms = longest_ms.max(completion_ms(&world, &process, id).await - begun_ms);
    }
    world.set_delayed_starts(0);
    sleep(Duration::from_secs(15)).await;
    assert_invariants(&world, &ids, &ids);
    longest_ms
}

async fn completion_ms(world: &Arc<World>, process: &RunningFleet, id: &JobId) -> u64 {
    while phase(&process.fleet, id).await != Ok(JobPhase::Completed) {
        sleep(Duration::from_millis(10)).await;
    }
    world.now_ms()
}

/// The jobs have two steps of 400 ms and an objective of 1,880 ms. With a start that waits
/// for a timeout in each step they miss it.
#[tokio::test(start_paused = true)]
async fn unanswered_starts_do_not_make_jobs_late() {
    let (with, without) = (longest_job_ms(HEDGE_MS).await, longest_job_ms(0).await);
    assert!(with <= 1_880, "{with} ms with repeated calls, {without} ms without");
    assert!(without > 1_880, "the case shows nothing: {without} ms without repeated calls");
}

/// A worker that restarts between a poll and its repetition would forget ends that nobody read.
#[tokio::test(start_paused = true)]
async fn repeated_poll_acknowledges_no_ends() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let mut platform = world.platform("a");
    let poll = Arc::clone(&platform.poll);
    let unanswered: Arc<Mutex<Vec<WorkerId>>> = Arc::default();
    let repeated: Arc<Mutex<Vec<u64>>> = Arc::default();
    let cursors = Arc::clone(&repeated);
    platform.poll = operation(move |call: PollCall| {
        let mut unanswered = unanswered.lock();
        let position = unanswered.iter().position(|worker| *worker == call.worker);
        let is_unanswered = position.is_none() && call.ack_cursor > 0 && call.wait_ms > 0;
        if let Some(position) = position {
            unanswered.swap_remove(position);
            cursors.lock().push(call.ack_cursor);
        } else if is_unanswered {
            unanswered.push(call.worker.clone());
        }
        let answer = poll(call);
        async move {
            if is_unanswered {
                sleep(Duration::from_mins(1)).await;
            }
            answer.await
        }
    });
    let clock = Arc::clone(&world);
    let settings = FleetSettings { hedge_after_ms: HEDGE_MS, ..FleetSettings::local("a", "dc") };
    let process = start(settings, platform, Arc::new(move || clock.now_ms()), unreachable_peers());
    sleep(Duration::from_secs(3)).await;
    let ids: Vec<JobId> = (1..=4).map(job).collect();
    for id in &ids {
        submit(&world, &process.fleet, id).await.expect("accepted");
    }
    sleep(Duration::from_secs(15)).await;
    assert_invariants(&world, &ids, &ids);
    let repeated = repeated.lock();
    assert!(!repeated.is_empty(), "polls that acknowledge ends were repeated");
    assert!(repeated.iter().all(|cursor| *cursor == 0), "{repeated:?}");
}
