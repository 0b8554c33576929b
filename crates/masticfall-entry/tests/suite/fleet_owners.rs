//! Ownership of the cell: handovers, takeovers, and their effects.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::fleet::config::{FleetConfig, PoolConfig};
use masticfall_core::fleet::spec::JobSpec;
use masticfall_core::id::{JobId, Name, QueueName};
use masticfall_entry::fleet::{FleetSettings, RunningFleet, start};
use masticfall_platform::fleet::{FollowRequest, PollCall, PollOutcome};
use masticfall_platform::operation;
use masticfall_standin::fleet::check::calls_within_lease;
use masticfall_standin::fleet::{StoreMode, World};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::fleet_world::{
    CAPACITY, WORKERS, assert_invariants, config, is_owner, job, launch, launch_low_fitness,
    launch_with, start_settled, submit, submit_spec, two_step_spec, unreachable_peers,
};

#[tokio::test(start_paused = true)]
async fn stopped_owner_hands_over_and_no_task_runs_twice() {
    let world = World::new(WORKERS, "p");
    let mut processes = start_settled(&world, &["a", "b", "c"]).await;
    let ids: Vec<JobId> = (1..10).map(job).collect();
    for id in &ids {
        submit(&world, &processes[1].fleet, id).await.expect("accepted");
    }
    let owner = processes.iter().position(|p| p.fleet.shared().ownership.is_some());
    let owner = processes.remove(owner.expect("an owner"));
    let before_ms = world.now_ms();
    owner.shut_down(|| {}).await;
    sleep(Duration::from_secs(12)).await;
    assert_invariants(&world, &ids, &ids);
    let record = world.record();
    let first = record.iter().map(|run| run.started_ms).filter(|at| *at > before_ms + 50).min();
    let gap_ms = first.expect("starts by the next owner") - before_ms;
    assert!(gap_ms < 1_500, "dispatching resumed only after {gap_ms} ms");
}

#[tokio::test(start_paused = true)]
async fn restarted_owner_resumes_without_a_failover_timeout() {
    let world = World::new(WORKERS, "p");
    let mut processes = start_settled(&world, &["a"]).await;
    let ids: Vec<JobId> = (1..6).map(job).collect();
    for id in &ids {
        submit(&world, &processes[0].fleet, id).await.expect("accepted");
    }
    sleep(Duration::from_millis(100)).await;
    processes.remove(0).crash();
    sleep(Duration::from_millis(100)).await;
    let restarted = launch(&world, "a");
    sleep(Duration::from_millis(300)).await;
    assert!(
        restarted.fleet.shared().ownership.is_some(),
        "no failover timeout after its own previous incarnation"
    );
    sleep(Duration::from_secs(10)).await;
    assert_invariants(&world, &ids, &ids);
}

#[tokio::test(start_paused = true)]
async fn low_fitness_owner_hands_over_to_a_fitter_process() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let low_fitness = launch_low_fitness(&world, "weak");
    sleep(Duration::from_secs(3)).await;
    assert!(is_owner(&low_fitness), "there is no other process");
    let ids: Vec<JobId> = (1..20).map(job).collect();
    for id in &ids {
        submit(&world, &low_fitness.fleet, id).await.expect("accepted");
    }
    let fit = launch(&world, "fit");
    sleep(Duration::from_millis(2_500)).await;
    assert!(is_owner(&fit) && !is_owner(&low_fitness));
    sleep(Duration::from_secs(12)).await;
    assert_invariants(&world, &ids, &ids);
    let mut begun: Vec<u64> = world.record().iter().map(|run| run.started_ms).collect();
    begun.sort_unstable();
    let gap_ms = begun.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default();
    assert!(gap_ms < 1_000, "no start for {gap_ms} ms");
}

#[tokio::test(start_paused = true)]
async fn fittest_process_takes_over_when_the_store_recovers() {
    for _ in 0..8 {
        let world = World::new(WORKERS, "p");
        let owner = start_settled(&world, &["owner"]).await.remove(0);
        let low_fitness: Vec<RunningFleet> =
            ["w1", "w2", "w3"].iter().map(|name| launch_low_fitness(&world, name)).collect();
        let fit = launch(&world, "fit");
        sleep(Duration::from_secs(1)).await;
        world.set_store(StoreMode::Unavailable);
        owner.crash();
        sleep(Duration::from_secs(4)).await;
        world.set_store(StoreMode::Up);
        sleep(Duration::from_millis(1_400)).await;
        assert!(is_owner(&fit), "the fittest process owns the cell");
        assert!(!low_fitness.iter().any(is_owner));
        fit.crash();
        low_fitness.into_iter().for_each(RunningFleet::crash);
    }
}

#[tokio::test(start_paused = true)]
async fn live_owner_keeps_the_cell_through_a_store_outage() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b", "c"]).await;
    let owner = processes.iter().position(is_owner).expect("an owner");
    world.set_store(StoreMode::Unresponsive);
    sleep(Duration::from_secs(4)).await;
    world.set_store(StoreMode::Up);
    sleep(Duration::from_secs(3)).await;
    assert!(is_owner(&processes[owner]), "nobody takes over from a live owner");
    assert_eq!(processes.iter().filter(|process| is_owner(process)).count(), 1);
}

#[tokio::test(start_paused = true)]
async fn owner_stopped_during_a_store_outage_hands_over_on_recovery() {
    let world = World::new(WORKERS, "p");
    let mut processes = start_settled(&world, &["a", "b"]).await;
    let owner = processes.remove(processes.iter().position(is_owner).expect("an owner"));
    world.set_store(StoreMode::Unavailable);
    let shutdown = tokio::spawn(async move { owner.shut_down(|| {}).await });
    sleep(Duration::from_millis(1_500)).await;
    world.set_store(StoreMode::Up);
    sleep(Duration::from_millis(700)).await;
    assert!(is_owner(&processes[0]), "sooner than after a failover timeout");
    shutdown.await.expect("left");
}

#[tokio::test(start_paused = true)]
async fn owner_keeps_the_cell_with_thousands_of_queues() {
    let world = World::new(WORKERS, "p");
    let mut large = FleetConfig::clone(&config(1, &["key"]));
    for number in 0..3_000 {
        let name = QueueName::from(format!("queue-{number}"));
        let mut queue = large.queues[0].clone();
        queue.name = name.clone();
        queue.prefix = Name::from(format!("/{number}/"));
        large.queues.insert(name, queue);
    }
    world.set_config(Arc::new(large));
    let processes = [launch(&world, "a"), launch(&world, "b")];
    sleep(Duration::from_secs(3)).await;
    let ids: Vec<JobId> = (1..40).map(job).collect();
    for id in &ids {
        submit(&world, &processes[0].fleet, id).await.expect("accepted");
    }
    sleep(Duration::from_secs(12)).await;
    let takeovers: u64 = processes.iter().map(|p| p.fleet.metrics.takeovers.get()).sum();
    assert_eq!(takeovers, 1, "heartbeats fit into a row");
    assert_invariants(&world, &ids, &ids);
}

#[tokio::test(start_paused = true)]
async fn owners_do_not_alternate_calls_to_an_instance_within_its_lease() {
    let world = World::new(12, "p");
    let mut config = FleetConfig::clone(&config(1, &["key"]));
    config.pools.insert("spare".into(), PoolConfig { checks_capacity: true, is_standby: true });
    world.set_config(Arc::new(config));
    let mut processes: Vec<RunningFleet> =
        ["a", "b", "c", "d"].iter().map(|name| launch(&world, name)).collect();
    sleep(Duration::from_secs(3)).await;
    // An owner gives surplus instances away once it has seen demand.
    submit(&world, &processes[0].fleet, &job(1)).await.expect("accepted");
    sleep(Duration::from_secs(3)).await;
    for (number, is_crash) in (2..).zip([true, false, true]) {
        let owner = processes.iter().position(is_owner).expect("an owner");
        let owner = processes.remove(owner);
        if is_crash {
            owner.crash();
        } else {
            owner.shut_down(|| {}).await;
        }
        sleep(Duration::from_secs(3)).await;
        submit(&world, &processes[0].fleet, &job(number)).await.expect("accepted");
        sleep(Duration::from_secs(4)).await;
    }
    let calls = world.machine_calls();
    let holders: IndexMap<&Name, usize> = calls.iter().map(|call| (&call.holder, 0)).collect();
    assert_eq!(holders.len(), 4, "every owner has called about surplus instances");
    assert_eq!(calls_within_lease(&calls, 3_000), Vec::<String>::new());
}

/// A call about an instance waits for a connection while the store is lost to its owner,
/// and would reach the provider among the calls of the next owner.
#[tokio::test(start_paused = true)]
async fn call_about_an_instance_is_not_sent_long_after_its_proof() {
    let world = World::new(12, "p");
    let mut config = FleetConfig::clone(&config(1, &["key"]));
    config.pools.insert("spare".into(), PoolConfig { checks_capacity: true, is_standby: true });
    world.set_config(Arc::new(config));
    world.set_provider_connect_ms(6_500);
    let processes: Vec<RunningFleet> = ["a", "b"].iter().map(|name| launch(&world, name)).collect();
    sleep(Duration::from_millis(1_500)).await;
    let owner = processes.iter().find(|process| is_owner(process)).expect("an owner");
    // An owner gives surplus instances away once it has seen demand.
    submit(&world, &owner.fleet, &job(1)).await.expect("accepted");
    sleep(Duration::from_millis(2_500)).await;
    world.set_store_for(&owner.fleet.settings.name, StoreMode::Unresponsive);
    sleep(Duration::from_secs(2)).await;
    world.set_provider_connect_ms(0);
    let other =
        processes.iter().find(|process| process.fleet.incarnation != owner.fleet.incarnation);
    submit(&world, &other.expect("another").fleet, &job(2)).await.expect("accepted");
    sleep(Duration::from_secs(12)).await;
    let calls = world.machine_calls();
    assert!(!calls.is_empty(), "the next owner has called about surplus instances");
    assert_eq!(calls_within_lease(&calls, 3_000), Vec::<String>::new());
}

/// A heartbeat that reports a round of an earlier ownership of the process as completed.
#[tokio::test(start_paused = true)]
async fn owner_reports_no_round_of_calls_of_its_earlier_ownership() {
    let world = World::new(12, "p");
    let mut config = FleetConfig::clone(&config(1, &["key"]));
    config.pools.insert("spare".into(), PoolConfig { checks_capacity: true, is_standby: true });
    world.set_config(Arc::new(config));
    world.set_provider_connect_ms(12_000);
    let mut platform = world.platform("a");
    let change = Arc::clone(&platform.change_machine);
    let (begun, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counts = (Arc::clone(&begun), Arc::clone(&ended));
    platform.change_machine = operation(move |call| {
        counts.0.fetch_add(1, Ordering::Relaxed);
        let (result, ended) = (change(call), Arc::clone(&counts.1));
        async move {
            let outcome = result.await;
            ended.fetch_add(1, Ordering::Relaxed);
            outcome
        }
    });
    let clock = Arc::clone(&world);
    let settings = FleetSettings::local("a", "dc");
    let process = start(settings, platform, Arc::new(move || clock.now_ms()), unreachable_peers());
    let epoch = || process.fleet.shared().ownership.map(|ownership| ownership.epoch);
    sleep(Duration::from_millis(1_500)).await;
    // An owner gives surplus instances away once it has seen demand.
    submit(&world, &process.fleet, &job(1)).await.expect("accepted");
    sleep(Duration::from_millis(2_500)).await;
    let in_flight = begun.load(Ordering::Relaxed);
    assert!(in_flight > 0, "the first ownership has called about surplus instances");
    world.set_store(StoreMode::Unresponsive);
    sleep(Duration::from_secs(7)).await;
    assert_eq!(epoch(), None, "the store has not confirmed the ownership");
    world.set_store(StoreMode::Up);
    sleep(Duration::from_millis(2_500)).await;
    assert_eq!(epoch(), Some(2));
    assert_eq!(ended.load(Ordering::Relaxed), 0, "the first calls are still in flight");
    for _ in 0..20 {
        sleep(Duration::from_millis(200)).await;
        let (heartbeat, _) = process.fleet.shared().load.clone().expect("a heartbeat");
        assert_eq!((heartbeat.epoch, heartbeat.calls_done), (2, 0), "no call of it has ended");
    }
    let ended = ended.load(Ordering::Relaxed);
    assert!((1..=in_flight).contains(&ended), "only the first calls have ended: {ended}");
}

/// Pages sized for a fast link time out on a thin one, so that the cell is never loaded.
#[tokio::test(start_paused = true)]
async fn process_on_a_thin_link_loads_a_large_cell() {
    let world = World::new(1, "p");
    let first = start_settled(&world, &["a"]).await.remove(0);
    let mut spec = JobSpec { payload: "x".repeat(2_000).into(), ..two_step_spec() };
    spec.steps.truncate(1);
    spec.steps[0].tasks = 1;
    // Fits on no worker, so that all jobs keep waiting, and counts little for admission.
    spec.steps[0].needs.cpu_millis = 2 * CAPACITY.cpu_millis;
    spec.steps[0].estimate_ms = 1;
    for number in 1..=500 {
        submit_spec(&world, &first.fleet, &job(number), spec.clone()).await.expect("accepted");
    }
    let settings = FleetSettings { link_mbps: 2.0, ..FleetSettings::local("b", "dc") };
    world.set_link_bytes_per_ms("b", 250);
    let second = launch_with(&world, settings);
    sleep(Duration::from_secs(2)).await;
    first.crash();
    sleep(Duration::from_secs(15)).await;
    assert!(second.fleet.shared().board.is_some(), "the cell was never loaded");
}

/// A message that a task of the owner can't handle must not leave an owner that goes on
/// with its heartbeats and dispatches nothing.
#[tokio::test(start_paused = true)]
async fn owner_whose_task_fails_steps_down_and_the_cell_goes_on() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let mut platform = world.platform("a");
    let (follow, failures) = (Arc::clone(&platform.worker_follow), Arc::new(AtomicUsize::new(0)));
    platform.worker_follow = operation(move |request: FollowRequest| {
        assert!(failures.fetch_add(1, Ordering::Relaxed) != 1, "injected failure");
        follow(request)
    });
    let clock = Arc::clone(&world);
    let settings = FleetSettings::local("a", "dc");
    let process = start(settings, platform, Arc::new(move || clock.now_ms()), unreachable_peers());
    let ids: Vec<JobId> = (1..10).map(job).collect();
    sleep(Duration::from_secs(3)).await;
    for id in &ids {
        submit(&world, &process.fleet, id).await.expect("accepted");
        sleep(Duration::from_millis(500)).await;
    }
    sleep(Duration::from_secs(20)).await;
    assert_invariants(&world, &ids, &ids);
    let epoch = process.fleet.shared().ownership.map(|ownership| ownership.epoch);
    assert!(epoch > Some(1), "the process took the cell over again: {epoch:?}");
}

/// Otherwise nobody dispatches until the failover timeout, though a process owns the cell.
#[tokio::test(start_paused = true)]
async fn late_rejection_of_an_earlier_ownership_does_not_end_a_later_one() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let mut platform = world.platform("a");
    let (poll, rejects) = (Arc::clone(&platform.poll), watch::channel(false));
    let (reject, receiver) = rejects;
    platform.poll = operation(move |call: PollCall| {
        let (poll, mut receiver) = (Arc::clone(&poll), receiver.clone());
        async move {
            if call.fencing_token > 1 {
                return poll(call).await;
            }
            drop(receiver.wait_for(|is_due| *is_due).await);
            Ok(PollOutcome::Fenced)
        }
    });
    let clock = Arc::clone(&world);
    let settings = FleetSettings::local("a", "dc");
    let process = start(settings, platform, Arc::new(move || clock.now_ms()), unreachable_peers());
    sleep(Duration::from_secs(2)).await;
    world.set_store_for("a", StoreMode::Unavailable);
    sleep(Duration::from_secs(7)).await;
    assert!(!is_owner(&process));
    world.set_store_for("a", StoreMode::Up);
    sleep(Duration::from_secs(4)).await;
    let epoch = || process.fleet.shared().ownership.map(|ownership| ownership.epoch);
    assert_eq!(epoch(), Some(2));
    reject.send_replace(true);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(epoch(), Some(2), "the call was one of epoch 1");
}
