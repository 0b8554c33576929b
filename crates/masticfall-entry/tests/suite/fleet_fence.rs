//! The fence of the progress rows, and their partition.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::id::JobId;
use masticfall_entry::fleet::fence::{ProgressFence, replace_fence};
use masticfall_entry::fleet::{FleetSettings, RunningFleet, start};
use masticfall_platform::PlatformError;
use masticfall_platform::error::UnavailableSnafu;
use masticfall_platform::fleet::{FleetPlatform, FollowRequest, RowTransaction};
use masticfall_platform::operation;
use masticfall_standin::fleet::{StoreMode, World};
use tokio::time::sleep;

use crate::fleet_world::{
    WORKERS, assert_invariants, config, is_owner, job, phase, start_settled, submit,
    unreachable_peers,
};

fn launch_on(world: &Arc<World>, name: &str, platform: FleetPlatform) -> RunningFleet {
    let clock = Arc::clone(world);
    let settings = FleetSettings::local(name, "dc");
    start(settings, platform, Arc::new(move || clock.now_ms()), unreachable_peers())
}

/// Returns whether a transaction writes to a partition.
fn writes_to(transaction: &RowTransaction, part: &str) -> bool {
    transaction.writes.iter().any(|(row_key, _)| &*row_key.part == part)
}

/// The owner is cut off from the cell's partition and from all feeds, but goes on writing
/// progress. What it stores before the fence must be read, and what comes later rejected:
/// otherwise the next owner starts tasks again that have ended.
#[tokio::test(start_paused = true)]
async fn batches_of_a_replaced_owner_are_read_before_the_fence_and_rejected_after() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let is_cut = Arc::new(AtomicBool::new(false));
    let mut platform = world.platform("a");
    let (transact, cut) = (Arc::clone(&platform.transact), Arc::clone(&is_cut));
    platform.transact = operation(move |transaction: RowTransaction| {
        let is_cut = cut.load(Ordering::Relaxed);
        let is_lost = is_cut && writes_to(&transaction, "c0");
        let is_delayed = is_cut && writes_to(&transaction, "p0");
        let written = transact(transaction);
        async move {
            if is_lost {
                return UnavailableSnafu { reason: "cut off from the partition" }.fail();
            }
            if is_delayed {
                sleep(Duration::from_millis(60)).await;
            }
            written.await
        }
    });
    let (follow, cut) = (Arc::clone(&platform.follow), Arc::clone(&is_cut));
    platform.follow = operation(move |request: FollowRequest| {
        let (followed, cut) = (follow(request), Arc::clone(&cut));
        async move {
            let changes = followed.await;
            if cut.load(Ordering::Relaxed) {
                return UnavailableSnafu { reason: "cut off from the feed" }.fail();
            }
            changes
        }
    });
    let replaced = launch_on(&world, "a", platform);
    sleep(Duration::from_secs(3)).await;
    assert!(is_owner(&replaced));
    // The next owner's claim succeeds; its fence is written only a second later.
    let mut platform = world.platform("b");
    let transact = Arc::clone(&platform.transact);
    let fenced_ms = Arc::new(AtomicU64::new(0));
    let (clock, fenced) = (Arc::clone(&world), Arc::clone(&fenced_ms));
    platform.transact = operation(move |transaction: RowTransaction| {
        let is_fence = transaction.writes.iter().any(|(row_key, _)| &*row_key.key == "fence");
        let (transact, clock, fenced) =
            (Arc::clone(&transact), Arc::clone(&clock), Arc::clone(&fenced));
        async move {
            if is_fence {
                sleep(Duration::from_secs(1)).await;
                fenced.store(clock.now_ms(), Ordering::Relaxed);
            }
            transact(transaction).await
        }
    });
    let next = launch_on(&world, "b", platform);
    sleep(Duration::from_millis(500)).await;
    let mut ids: Vec<JobId> = (1..=40).map(job).collect();
    for id in &ids {
        submit(&world, &replaced.fleet, id).await.expect("accepted");
    }
    sleep(Duration::from_millis(100)).await;
    is_cut.store(true, Ordering::Relaxed);
    let mut claimed_ms = 0;
    let mut stored = Vec::new();
    let until_ms = world.now_ms() + 10_000;
    while fenced_ms.load(Ordering::Relaxed) == 0 {
        assert!(world.now_ms() < until_ms, "the next owner has not fenced the progress");
        sleep(Duration::from_millis(20)).await;
        if is_owner(&next) && claimed_ms == 0 {
            claimed_ms = world.now_ms();
            stored.push(replaced.fleet.metrics.batches.get());
            let late: Vec<JobId> = (51..=54).map(job).collect();
            for id in &late {
                submit(&world, &next.fleet, id).await.expect("accepted");
            }
            ids.extend(late);
        }
    }
    stored.push(replaced.fleet.metrics.batches.get());
    assert!(is_owner(&replaced), "nothing has told the replaced owner yet");
    assert!(stored[1] > stored[0], "it stored batches between the claim and the fence");
    assert!(world.now_ms() > claimed_ms + 900);
    sleep(Duration::from_millis(1_500)).await;
    assert!(!is_owner(&replaced), "it stepped down when the fence rejected its batch");
    assert!(replaced.fleet.metrics.fenced_writes.get() > 0);
    assert!(next.fleet.shared().board.is_some());
    sleep(Duration::from_secs(20)).await;
    assert_invariants(&world, &ids, &ids);
    for id in &ids {
        assert_eq!(phase(&next.fleet, id).await, Ok(JobPhase::Completed), "{id}");
    }
}

/// A fence whose reply is lost, or that takes effect late, must count as written once,
/// and never replace that of a later owner.
#[tokio::test(start_paused = true)]
async fn fence_of_unknown_outcome_is_read_back() {
    for mode in [StoreMode::LosesResponses, StoreMode::DelaysWrites] {
        let world = World::new(0, "p");
        let platform = world.platform("a");
        let first = replace_fence(&platform, 1).await.unwrap().expect("fenced");
        world.set_store(mode);
        let mut unknown = 0;
        let second = loop {
            match replace_fence(&platform, 2).await {
                Ok(fence) => break fence.expect("fenced"),
                Err(PlatformError::Unknown { .. }) => unknown += 1,
                Err(error) => panic!("{error}"),
            }
            assert!(unknown < 5, "a fence is read back");
        };
        // The first faulty write is the one after an even number of them.
        if unknown == 0 {
            let error = replace_fence(&platform, 3).await.expect_err("lost");
            assert!(matches!(error, PlatformError::Unknown { .. }), "{error}");
        }
        assert!(second.version > first.version);
        world.set_store(StoreMode::Up);
        let last = replace_fence(&platform, 4).await.unwrap().expect("fenced");
        sleep(Duration::from_secs(10)).await;
        assert_eq!(replace_fence(&platform, 3).await.unwrap(), None, "a late write is rejected");
        assert_eq!(replace_fence(&platform, 2).await.unwrap(), None);
        let found = replace_fence(&platform, 4).await.unwrap();
        assert_eq!(found, Some(ProgressFence { epoch: 4, version: last.version }));
    }
}

/// Each partition takes 268 ms for a transaction. In one partition, heartbeats and batches
/// would wait for each other; a batch may still wait for a removal of old progress rows.
#[tokio::test(start_paused = true)]
async fn heartbeats_and_batches_do_not_wait_for_each_other() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let is_slow = Arc::new(AtomicBool::new(false));
    // Time in excess of the partition's, for heartbeats and for batches; removals.
    let counts: [Arc<AtomicU64>; 3] = Default::default();
    let mut platform = world.platform("a");
    let transact = Arc::clone(&platform.transact);
    let (clock, counted, slow) = (Arc::clone(&world), counts.clone(), Arc::clone(&is_slow));
    platform.transact = operation(move |transaction: RowTransaction| {
        let writes = |key| transaction.writes.iter().any(|(row_key, _)| &*row_key.key == key);
        let is_removal = writes_to(&transaction, "p0") && !writes("batch");
        if is_removal {
            counted[2].fetch_add(1, Ordering::Relaxed);
        }
        let excess = ["beat", "batch"].iter().position(|key| writes(*key));
        let excess = excess.filter(|_| slow.load(Ordering::Relaxed));
        let excess = excess.map(|index| Arc::clone(&counted[index]));
        let (written, clock) = (transact(transaction), Arc::clone(&clock));
        async move {
            let sent_ms = clock.now_ms();
            let outcome = written.await;
            if let Some(excess) = excess {
                // Each way to the store takes 2 ms.
                let took_ms = clock.now_ms() - sent_ms;
                excess.fetch_add(took_ms.saturating_sub(268 + 4), Ordering::Relaxed);
            }
            outcome
        }
    });
    let owner = launch_on(&world, "a", platform);
    sleep(Duration::from_secs(3)).await;
    world.set_part_write_ms(268);
    is_slow.store(true, Ordering::Relaxed);
    let batches = owner.fleet.metrics.batches.get();
    let ids: Vec<JobId> = (1..=24).map(job).collect();
    for id in &ids {
        submit(&world, &owner.fleet, id).await.expect("accepted");
    }
    sleep(Duration::from_secs(12)).await;
    assert!(owner.fleet.metrics.batches.get() > batches + 8, "progress was stored meanwhile");
    let [heartbeats_ms, batches_ms, removals] = counts.map(|count| count.load(Ordering::Relaxed));
    assert_eq!(heartbeats_ms, 0, "heartbeats waited");
    assert!(batches_ms <= removals * 268, "batches waited {batches_ms} ms, {removals} removals");
    assert_invariants(&world, &ids, &ids);
}

/// A claim that overlooks a heartbeat would underestimate for how long the previous owner
/// may extend leases, since that time counts from the heartbeat.
#[tokio::test(start_paused = true)]
async fn claim_fails_if_a_heartbeat_was_stored_since_it_was_decided() {
    let world = World::new(WORKERS, "p");
    let owner = start_settled(&world, &["a"]).await.remove(0);
    world.set_store_for("a", StoreMode::Unavailable);
    let mut platform = world.platform("b");
    let transact = Arc::clone(&platform.transact);
    let clock = Arc::clone(&world);
    let claims = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&claims);
    // The store is back for the owner while the first claim is on its way.
    platform.transact = operation(move |transaction: RowTransaction| {
        let is_claim = transaction.writes.iter().any(|(row_key, _)| &*row_key.key == "owner");
        let is_first = is_claim && counted.fetch_add(1, Ordering::Relaxed) == 0;
        let (transact, world) = (Arc::clone(&transact), Arc::clone(&clock));
        async move {
            if is_first {
                world.set_store_for("a", StoreMode::Up);
                sleep(Duration::from_millis(450)).await;
            }
            transact(transaction).await
        }
    });
    let other = launch_on(&world, "b", platform);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(claims.load(Ordering::Relaxed), 1, "one claim was sent");
    assert!(is_owner(&owner) && !is_owner(&other), "the owner is alive");
}
