//! Owners that follow each other within seconds, and workers that only some of them reach.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use masticfall_core::fleet::board::Board;
use masticfall_core::fleet::spec::JobSpec;
use masticfall_core::id::JobId;
use masticfall_entry::fleet::{FleetSettings, RunningFleet, start};
use masticfall_standin::fleet::links::LinkMode;
use masticfall_standin::fleet::{StoreMode, World};
use rstest::rstest;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::fleet_world::{
    WORKERS, assert_invariants, config, is_owner, job, launch, start_settled, submit_spec,
    two_step_spec, unreachable_peers,
};

/// A task that runs for `run_ms` milliseconds.
fn lasting_spec(run_ms: u64) -> JobSpec {
    let mut spec = two_step_spec();
    spec.steps.truncate(1);
    spec.steps[0].tasks = 1;
    spec.steps[0].estimate_ms = run_ms;
    spec
}

/// Starts a task that runs for `run_ms` milliseconds; returns its job and its worker's number.
async fn start_lasting(world: &World, owner: &RunningFleet, run_ms: u64) -> ([JobId; 1], usize) {
    let id = job(1);
    submit_spec(world, &owner.fleet, &id, lasting_spec(run_ms)).await.expect("accepted");
    sleep(Duration::from_millis(300)).await;
    let run = world.record().pop().expect("a run");
    let facts = world.worker_facts();
    let worker = facts.iter().position(|facts| facts.id == run.worker).expect("a worker");
    ([id], worker)
}

async fn wait_until(what: &str, is_so: impl Fn() -> bool) {
    for _ in 0..4_000 {
        if is_so() {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("not within 4 s: {what}");
}

fn shut_down(process: RunningFleet) -> JoinHandle<()> {
    tokio::spawn(async move { process.shut_down(|| {}).await })
}

fn epoch(process: &RunningFleet) -> u32 {
    process.fleet.shared().ownership.map_or(0, |ownership| ownership.epoch)
}

/// Its leases then count as expired seconds too early, and their tasks are started again.
#[tokio::test(start_paused = true)]
async fn repeated_announcement_does_not_shorten_the_leases_of_its_repeater() {
    let world = World::new(WORKERS, "p");
    let first = start_settled(&world, &["a"]).await.remove(0);
    let (ids, worker) = start_lasting(&world, &first, 15_000).await;
    let worker_id = world.worker_facts()[worker].id.clone();
    world.set_link("a", worker, LinkMode::Cut);
    world.set_link("c", worker, LinkMode::Cut);
    sleep(Duration::from_millis(3_500)).await;
    let second = launch(&world, "b");
    sleep(Duration::from_millis(300)).await;
    let first_epoch = epoch(&first);
    let first_left = shut_down(first);
    wait_until("the second owner", || is_owner(&second)).await;
    let taken_ms = world.now_ms();
    let second_epoch = epoch(&second);
    let third = launch(&world, "c");
    let has_reached = || {
        let reading = second.fleet.with_board(second_epoch, |board| {
            board.workers.get(&worker_id).and_then(|worker| worker.clock)
        });
        reading.flatten().is_some()
    };
    wait_until("the second owner reaches the worker", has_reached).await;
    sleep(Duration::from_millis(100)).await;
    assert!(world.now_ms() < taken_ms + 400, "before it writes a report of its own");
    let second_left = shut_down(second);
    wait_until("the third owner", || is_owner(&third)).await;
    assert_eq!((first_epoch + 1, second_epoch + 1), (second_epoch, epoch(&third)));
    sleep(Duration::from_secs(40)).await;
    first_left.await.expect("left");
    second_left.await.expect("left");
    assert_invariants(&world, &ids, &ids);
}

/// How the owner ends that took over from one that timed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    HandsOver,
    CrashesAndRestarts,
}

/// The first owner alone reaches a worker, and extends its lease though the store is lost to it.
#[rstest]
#[case::next_hands_over(Ending::HandsOver)]
#[case::next_crashes_and_restarts(Ending::CrashesAndRestarts)]
#[tokio::test(start_paused = true)]
async fn owner_that_timed_out_counts_for_every_owner_until_its_leases_end(#[case] ending: Ending) {
    let world = World::new(WORKERS, "p");
    let first = start_settled(&world, &["a"]).await.remove(0);
    let (ids, worker) = start_lasting(&world, &first, 20_000).await;
    (0..WORKERS)
        .filter(|number| *number != worker)
        .for_each(|number| world.set_link("a", number, LinkMode::Cut));
    world.set_link("b", worker, LinkMode::Cut);
    world.set_link("c", worker, LinkMode::Cut);
    let second = launch(&world, "b");
    sleep(Duration::from_millis(500)).await;
    world.set_store_for("a", StoreMode::Unresponsive);
    wait_until("the second owner", || is_owner(&second)).await;
    let third = match ending {
        Ending::HandsOver => {
            let third = launch(&world, "c");
            drop(shut_down(second));
            third
        }
        Ending::CrashesAndRestarts => {
            second.crash();
            launch(&world, "b")
        }
    };
    wait_until("the third owner", || is_owner(&third)).await;
    assert_eq!(epoch(&first) + 2, epoch(&third));
    sleep(Duration::from_mins(1)).await;
    assert_invariants(&world, &ids, &ids);
}

/// A worker may have another owner by then, and a lease or an order would be prepared anew.
#[tokio::test(start_paused = true)]
async fn suspended_owner_extends_no_lease_after_its_time_without_confirmation() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let suspended_ms = Arc::new(AtomicU64::new(0));
    let clock = {
        let (world, suspended_ms) = (Arc::clone(&world), Arc::clone(&suspended_ms));
        Arc::new(move || world.now_ms() + suspended_ms.load(Ordering::Relaxed))
    };
    let settings = FleetSettings::local("a", "dc");
    let owner = start(settings, world.platform("a"), clock, unreachable_peers());
    sleep(Duration::from_secs(3)).await;
    let (epoch, worker) = (epoch(&owner), world.worker_facts()[0].id.clone());
    let prepare = || {
        let now_ms = owner.fleet.now_ms();
        let poll = owner.fleet.with_board(epoch, |board| board.poll(&worker, now_ms)).flatten();
        poll.and_then(|poll| poll.lease_deadline_ms)
    };
    assert!(prepare().is_some(), "an owner that the store confirms extends leases");
    world.set_store_for("a", StoreMode::Unresponsive);
    suspended_ms.store(6_500, Ordering::Relaxed);
    assert_eq!(prepare(), None, "a lease after 6.5 s without confirmation");
    assert!(owner.fleet.with_board(epoch, Board::take_orders).is_none());
}
