//! Submissions that take effect late, and cancellations that come before them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use masticfall_core::error::ErrorKind;
use masticfall_core::fleet::config::{AccountConfig, FleetConfig, QueueConfig};
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::spec::Resources;
use masticfall_core::id::{AccountName, JobId, Name, QueueName};
use masticfall_core::key::KeyHash;
use masticfall_entry::fleet::jobs::{self, CallerRequest};
use masticfall_entry::fleet::{Fleet, FleetSettings, RunningFleet, start};
use masticfall_entry::refusal::Refusal;
use masticfall_platform::error::UnknownSnafu;
use masticfall_platform::fleet::{FleetPlatform, RowTransaction};
use masticfall_platform::operation;
use masticfall_standin::fleet::{StoreMode, World};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::{sleep, timeout};

use crate::fleet_world::{
    WORKERS, caller, config, is_owner, job, launch, phase, start_settled, submit, two_step_spec,
    unreachable_peers,
};

/// Time after which a write without an answer fails, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 700;

/// Time from the acknowledgement of a cancellation to the last start of a task, in milliseconds.
const CANCEL_MS: u64 = 3_000;

/// Longest time for which an identifier is barred, in milliseconds.
const BARRED_MS: u64 = 260_000;

/// Lets some writes get no answer: for those, `delay` returns after which time they take effect,
/// in milliseconds.
fn hold_writes(
    mut platform: FleetPlatform,
    delay: impl Fn(&RowTransaction) -> Option<u64> + Send + Sync + 'static,
) -> FleetPlatform {
    let transact = Arc::clone(&platform.transact);
    let delay = Arc::new(delay);
    platform.transact = operation(move |transaction: RowTransaction| {
        let (transact, delay) = (Arc::clone(&transact), Arc::clone(&delay));
        async move {
            let Some(held_ms) = delay(&transaction) else { return transact(transaction).await };
            drop(tokio::spawn(async move {
                sleep(Duration::from_millis(held_ms)).await;
                transact(transaction).await
            }));
            sleep(Duration::from_millis(WRITE_TIMEOUT_MS)).await;
            UnknownSnafu { reason: "the answer is lost" }.fail()
        }
    });
    platform
}

/// Launches a process of whose writes some are held as by [`hold_writes`].
fn launch_with_held_writes(
    world: &Arc<World>,
    name: &str,
    hold_ms: impl Fn(&RowTransaction) -> Option<u64> + Send + Sync + 'static,
) -> RunningFleet {
    let platform = hold_writes(world.platform(name), hold_ms);
    let clock = Arc::clone(world);
    let settings = FleetSettings::local(name, "dc");
    start(settings, platform, Arc::new(move || clock.now_ms()), unreachable_peers())
}

fn is_submission(transaction: &RowTransaction) -> bool {
    transaction.writes.iter().any(|(row, _)| row.table == "jobs" && !row.key.ends_with(".cancel"))
}

fn is_marker_removal(transaction: &RowTransaction) -> bool {
    transaction.writes.iter().any(|(row, value)| row.table == "cancelled" && value.is_none())
}

/// Launches a process whose first submission takes effect `held_ms` after it was sent, and gets
/// no answer.
fn launch_with_held_submission(world: &Arc<World>, name: &str, held_ms: u64) -> RunningFleet {
    let submissions = AtomicU64::new(0);
    launch_with_held_writes(world, name, move |transaction| {
        let is_held =
            is_submission(transaction) && submissions.fetch_add(1, Ordering::Relaxed) == 0;
        is_held.then_some(held_ms)
    })
}

/// A configuration with a second client account, which has the key `other`, and with a queue at
/// `/open/` that needs no key.
fn config_with_others() -> Arc<FleetConfig> {
    let mut config = FleetConfig::clone(&config(1, &["key"]));
    let other = AccountName::from("b");
    let limit = Resources::default();
    config.accounts.insert(other.clone(), AccountConfig { weight: 1.0, limit });
    config.keys.insert(KeyHash::of("other"), other);
    let open = QueueConfig {
        name: "open".into(),
        prefix: "/open/".into(),
        is_open: true,
        ..config.queues[&QueueName::from("q")].clone()
    };
    config.queues.insert(open.name.clone(), open);
    Arc::new(config)
}

async fn submit_as(
    world: &World,
    fleet: &Arc<Fleet>,
    id: &JobId,
    request: &CallerRequest,
) -> Result<(), Refusal> {
    let spec = two_step_spec();
    world.register_job(id, &spec);
    jobs::submit(fleet, &jobs::admit(fleet, request)?, spec).await
}

async fn cancel_as(fleet: &Arc<Fleet>, request: &CallerRequest) -> Result<(), ErrorKind> {
    let admitted = jobs::admit(fleet, request).map_err(|refusal| refusal.kind)?;
    jobs::cancel(fleet, &admitted).await.map_err(|refusal| refusal.kind)
}

async fn cancel(fleet: &Arc<Fleet>, id: &JobId) -> Result<(), ErrorKind> {
    cancel_as(fleet, &caller(id.as_str())).await
}

/// A submission's answer is lost, the caller leaves and cancels the job at another process, which
/// finds no job. The write takes effect seconds later and must not start the job.
#[rstest]
#[case::right_after(1_000)]
#[case::seconds_later(6_000)]
#[case::after_a_minute(60_000)]
#[tokio::test(start_paused = true)]
async fn late_write_of_a_cancelled_submission_starts_nothing(#[case] held_ms: u64) {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let at = launch_with_held_submission(&world, "a", held_ms);
    let elsewhere = launch(&world, "b");
    sleep(Duration::from_secs(3)).await;
    let id = job(1);
    let request = CallerRequest { deadline_ms: Some(500), ..caller(id.as_str()) };
    let refused = submit_as(&world, &at.fleet, &id, &request).await;
    assert_eq!(refused.map_err(|refusal| refusal.kind), Err(ErrorKind::PlatformUnknown));
    assert_eq!(cancel(&elsewhere.fleet, &id).await, Err(ErrorKind::NoSuchJob));
    sleep(Duration::from_millis(held_ms + 10_000)).await;
    assert!(world.record().is_empty(), "nothing runs");
    for process in [&at, &elsewhere] {
        assert_eq!(phase(&process.fleet, &id).await, Err(ErrorKind::NoSuchJob));
    }
}

/// A process writes a submission of unknown outcome again until the caller's deadline. It must
/// not do so after the job was cancelled, and must say that the job doesn't run.
#[tokio::test(start_paused = true)]
async fn second_write_of_a_cancelled_submission_is_refused() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let at = launch_with_held_submission(&world, "a", 5_000);
    let elsewhere = launch(&world, "b");
    sleep(Duration::from_secs(3)).await;
    let id = job(1);
    let request = caller(id.as_str());
    let (submitted, cancelled) = tokio::join!(submit_as(&world, &at.fleet, &id, &request), async {
        sleep(Duration::from_millis(300)).await;
        cancel(&elsewhere.fleet, &id).await
    });
    assert_eq!(cancelled, Err(ErrorKind::NoSuchJob));
    assert_eq!(submitted.map_err(|refusal| refusal.kind), Err(ErrorKind::JobCancelled));
    sleep(Duration::from_secs(15)).await;
    assert!(world.record().is_empty(), "nothing runs");
}

/// A process that was suspended after it had written a submission continues long after the
/// caller's deadline: it must not write the submission again.
#[tokio::test(start_paused = true)]
async fn submission_is_not_written_again_after_its_process_was_suspended() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let suspended_ms = Arc::new(AtomicU64::new(0));
    let writes = Arc::new(AtomicU64::new(0));
    let (suspension, counted) = (Arc::clone(&suspended_ms), Arc::clone(&writes));
    let hold_ms = move |transaction: &RowTransaction| {
        is_submission(transaction).then(|| {
            counted.fetch_add(1, Ordering::Relaxed);
            // The runtime's clock, on which the caller's deadline is, stands still meanwhile.
            suspension.store(60_000, Ordering::Relaxed);
            1_000
        })
    };
    let clock = Arc::clone(&world);
    let now_ms = move || clock.now_ms() + suspended_ms.load(Ordering::Relaxed);
    let platform = hold_writes(world.platform("a"), hold_ms);
    let settings = FleetSettings::local("a", "dc");
    let process = start(settings, platform, Arc::new(now_ms), unreachable_peers());
    sleep(Duration::from_secs(3)).await;
    let refused = submit(&world, &process.fleet, &job(1)).await;
    assert_eq!(refused, Err(ErrorKind::PlatformUnknown));
    assert_eq!(writes.load(Ordering::Relaxed), 1);
}

/// A process loses the answer to a submission and then the store, until the job has run and its
/// rows are removed. A caller that names a long deadline must not make it run again.
#[tokio::test(start_paused = true)]
async fn submission_with_a_long_deadline_does_not_run_a_removed_job_again() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let owner = launch(&world, "b");
    sleep(Duration::from_secs(3)).await;
    let at = launch_with_held_submission(&world, "a", 0);
    sleep(Duration::from_secs(3)).await;
    assert!(is_owner(&owner));
    let id = job(1);
    let request = CallerRequest { deadline_ms: Some(300_000), ..caller(id.as_str()) };
    let (refused, ()) = tokio::join!(submit_as(&world, &at.fleet, &id, &request), async {
        sleep(Duration::from_millis(300)).await;
        world.set_store_for("a", StoreMode::Unavailable);
        sleep(Duration::from_secs(150)).await;
        assert_eq!(phase(&owner.fleet, &id).await, Err(ErrorKind::NoSuchJob), "it is removed");
        world.set_store_for("a", StoreMode::Up);
    });
    assert_eq!(refused.map_err(|refusal| refusal.kind), Err(ErrorKind::PlatformUnknown));
    sleep(Duration::from_secs(10)).await;
    assert_eq!(world.record().len(), 5, "each task ran once");
}

/// Whoever guesses an identifier must not keep its account from using it.
#[rstest]
#[case::other_account(("/q/", Some("other")), ("/q/", Some("key")), None)]
#[case::open_queue(("/open/", None), ("/q/", Some("key")), None)]
#[case::same_account(("/q/", Some("key")), ("/q/", Some("key")), Some(ErrorKind::JobCancelled))]
#[case::same_open_queue(("/open/", None), ("/open/", None), Some(ErrorKind::JobCancelled))]
#[case::account_on_the_open_queue(
    ("/open/", Some("key")), ("/q/", Some("key")), Some(ErrorKind::JobCancelled)
)]
#[tokio::test(start_paused = true)]
async fn cancellation_bars_an_identifier_for_its_caller_only(
    #[case] canceller: (&str, Option<&str>),
    #[case] submitter: (&str, Option<&str>),
    #[case] refused: Option<ErrorKind>,
) {
    let world = World::new(WORKERS, "p");
    world.set_config(config_with_others());
    let process = launch(&world, "a");
    sleep(Duration::from_secs(3)).await;
    let id = job(1);
    let request = |(prefix, key): (&str, Option<&str>)| CallerRequest {
        path: Name::from(format!("{prefix}{id}")),
        key: key.map(Name::from),
        ..caller("")
    };
    let cancelled = cancel_as(&process.fleet, &request(canceller)).await;
    assert_eq!(cancelled, Err(ErrorKind::NoSuchJob));
    let submitted = submit_as(&world, &process.fleet, &id, &request(submitter)).await;
    assert_eq!(submitted.err().map(|refusal| refusal.kind), refused);
    sleep(Duration::from_secs(6)).await;
    assert_eq!(world.record().is_empty(), refused.is_some());
    let shown = phase(&process.fleet, &id).await;
    let expected =
        if refused.is_some() { Err(ErrorKind::NoSuchJob) } else { Ok(JobPhase::Completed) };
    assert_eq!(shown, expected, "a job that nobody could submit is not shown");
}

/// The refusal of a cancelled identifier names a time, from which on it is accepted again.
#[tokio::test(start_paused = true)]
async fn identifier_of_a_cancelled_job_can_be_used_after_the_announced_time() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b"]).await;
    let id = job(1);
    sleep(Duration::from_secs(100)).await;
    assert_eq!(cancel(&processes[0].fleet, &id).await, Err(ErrorKind::NoSuchJob));
    sleep(Duration::from_secs(1)).await;
    let request = caller(id.as_str());
    let refusal = submit_as(&world, &processes[1].fleet, &id, &request).await.expect_err("refused");
    assert_eq!(refusal.kind, ErrorKind::JobCancelled);
    let retry_after_s = refusal.retry_after_s.expect("a time");
    assert!(u64::from(retry_after_s) * 1_000 <= BARRED_MS, "{retry_after_s} s");
    sleep(Duration::from_secs(retry_after_s.into())).await;
    submit(&world, &processes[1].fleet, &id).await.expect("accepted");
    sleep(Duration::from_secs(6)).await;
    assert_eq!(phase(&processes[0].fleet, &id).await, Ok(JobPhase::Completed));
}

/// Cancellations of identifiers that nobody ever sent leave nothing in the store in the end, and
/// don't delay jobs meanwhile.
#[tokio::test(start_paused = true)]
async fn thousands_of_unknown_cancellations_leave_nothing_behind() {
    let world = World::new(WORKERS, "p");
    let mut processes = start_settled(&world, &["a", "b"]).await;
    for first in (1_000..4_000).step_by(100) {
        let cancelled = (first..first + 100).map(|number| {
            let fleet = Arc::clone(&processes[0].fleet);
            async move { cancel(&fleet, &job(number)).await }
        });
        for cancelled in futures_util::future::join_all(cancelled).await {
            assert_eq!(cancelled, Err(ErrorKind::NoSuchJob));
        }
    }
    assert_eq!(world.count_rows("cancelled"), 3_000);
    let submitted_ms = world.now_ms();
    submit(&world, &processes[1].fleet, &job(1)).await.expect("accepted");
    sleep(Duration::from_secs(1)).await;
    let record = world.record();
    let first = record.first().expect("the job runs");
    assert!(first.started_ms < submitted_ms + 300, "after {} ms", first.started_ms - submitted_ms);
    // The next owner finds those that an earlier one left.
    processes.remove(processes.iter().position(is_owner).expect("an owner")).crash();
    sleep(Duration::from_millis(BARRED_MS + 10_000)).await;
    assert_eq!(world.count_rows("cancelled"), 0);
}

/// A removal that takes effect late must not take a marker that was renewed meanwhile.
#[tokio::test(start_paused = true)]
async fn late_removal_leaves_a_renewed_marker() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let removals = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&removals);
    let process = launch_with_held_writes(&world, "a", move |transaction| {
        let is_first =
            is_marker_removal(transaction) && counted.fetch_add(1, Ordering::Relaxed) == 0;
        is_first.then_some(5_000)
    });
    sleep(Duration::from_secs(3)).await;
    let id = job(1);
    assert_eq!(cancel(&process.fleet, &id).await, Err(ErrorKind::NoSuchJob));
    let removal = async {
        while removals.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(Duration::from_millis(BARRED_MS), removal).await.expect("a removal");
    assert_eq!(cancel(&process.fleet, &id).await, Err(ErrorKind::NoSuchJob));
    sleep(Duration::from_mins(1)).await;
    assert_eq!(world.count_rows("cancelled"), 1);
}

/// Jobs that are submitted and cancelled in any order, while writes get lost or late: none may
/// start a task later than `CANCEL_MS` after its cancelling was acknowledged.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
#[case::seed_4(4)]
#[case::seed_5(5)]
#[case::seed_6(6)]
#[tokio::test(start_paused = true)]
async fn cancelled_jobs_start_nothing_under_late_writes(#[case] seed: u64) {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let processes: Vec<RunningFleet> = (0..3_u64)
        .map(|number| {
            let random = parking_lot::Mutex::new(StdRng::seed_from_u64(seed * 10 + number));
            launch_with_held_writes(&world, ["a", "b", "c"][number as usize], move |transaction| {
                let mut writes = transaction.writes.iter();
                let is_callers = writes.any(|(row, _)| matches!(row.table, "jobs" | "cancelled"));
                let mut random = random.lock();
                (is_callers && random.random_bool(0.35)).then(|| random.random_range(0..6_000))
            })
        })
        .collect();
    sleep(Duration::from_secs(3)).await;
    let mut random = StdRng::seed_from_u64(seed);
    let mut callers = Vec::new();
    for number in 1..=40 {
        let (world, id) = (Arc::clone(&world), job(number));
        let fleets: Vec<Arc<Fleet>> = processes.iter().map(|p| Arc::clone(&p.fleet)).collect();
        let (begin_ms, leave_ms) = (random.random_range(0..8_000), random.random_range(0..4_000));
        let deadline_ms = random.random_range(200..4_000);
        callers.push(tokio::spawn(async move {
            sleep(Duration::from_millis(begin_ms)).await;
            let at = number as usize % 3;
            let request = CallerRequest { deadline_ms: Some(deadline_ms), ..caller(id.as_str()) };
            let (submitter, submitted_id) = (Arc::clone(&fleets[at]), id.clone());
            let submitted_to = Arc::clone(&world);
            // The caller may leave before it has an answer; the submission goes on.
            drop(tokio::spawn(async move {
                submit_as(&submitted_to, &submitter, &submitted_id, &request).await
            }));
            sleep(Duration::from_millis(leave_ms)).await;
            for attempt in 1.. {
                let cancelled = cancel(&fleets[(at + attempt) % 3], &id).await;
                if matches!(cancelled, Ok(()) | Err(ErrorKind::NoSuchJob)) {
                    break;
                }
                sleep(Duration::from_millis(300)).await;
            }
            (id, world.now_ms())
        }));
    }
    let mut cancelled = Vec::new();
    for caller in callers {
        cancelled.push(caller.await.expect("a caller"));
    }
    sleep(Duration::from_secs(30)).await;
    let record = world.record();
    for (id, acknowledged_ms) in cancelled {
        let runs = record.iter().filter(|run| run.task.job == id);
        let late: Vec<_> =
            runs.filter(|run| run.started_ms > acknowledged_ms + CANCEL_MS).collect();
        assert!(late.is_empty(), "{id}, cancelled at {acknowledged_ms}: {late:?}");
    }
    assert!(record.iter().all(|run| run.ended.is_some()), "no run continues");
}
