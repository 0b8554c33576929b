//! Submissions that take effect late.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use masticfall_core::error::ErrorKind;
use masticfall_core::id::JobId;
use masticfall_entry::fleet::jobs::{self, CallerRequest};
use masticfall_entry::fleet::{Fleet, FleetSettings, RunningFleet, start};
use masticfall_entry::refusal::Refusal;
use masticfall_platform::error::UnknownSnafu;
use masticfall_platform::fleet::{FleetPlatform, RowTransaction};
use masticfall_platform::operation;
use masticfall_standin::fleet::{StoreMode, World};
use tokio::time::sleep;

use crate::fleet_world::{
    WORKERS, caller, config, is_owner, job, launch, phase, submit, two_step_spec, unreachable_peers,
};

/// Time after which a write without an answer fails, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 700;

/// Lets some writes get no answer: for those, `hold_ms` returns after which time they take
/// effect, in milliseconds.
fn hold_writes(
    mut platform: FleetPlatform,
    hold_ms: impl Fn(&RowTransaction) -> Option<u64> + Send + Sync + 'static,
) -> FleetPlatform {
    let transact = Arc::clone(&platform.transact);
    let hold_ms = Arc::new(hold_ms);
    platform.transact = operation(move |transaction: RowTransaction| {
        let (transact, hold_ms) = (Arc::clone(&transact), Arc::clone(&hold_ms));
        async move {
            let Some(held_ms) = hold_ms(&transaction) else { return transact(transaction).await };
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
