//! Behaviour of entry processes towards callers, on the simulated platform with a
//! paused clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use indexmap::IndexMap;
use masticfall_core::error::ErrorKind;
use masticfall_core::fleet::config::{FleetConfig, PoolConfig};
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::spec::{JobRecord, StepSpec};
use masticfall_core::id::{JobId, Name};
use masticfall_entry::fleet::jobs;
use masticfall_entry::fleet::peers;
use masticfall_entry::fleet::peers::{PeerCalls, PeerRow};
use masticfall_entry::fleet::{Fleet, FleetSettings, start};
use masticfall_platform::Result as PlatformResult;
use masticfall_platform::fleet::{RowCommit, RowKey, RowTransaction};
use masticfall_standin::fleet::{StoreMode, World};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::fleet_world::{
    WORKERS, assert_invariants, caller, config, is_owner, job, launch, phase, start_settled,
    submit, submit_spec, two_step_spec, unreachable_peers,
};

#[tokio::test(start_paused = true)]
async fn jobs_complete_and_every_process_reports_them() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b", "c"]).await;
    let ids: Vec<JobId> = (1..20).map(job).collect();
    for (number, id) in ids.iter().enumerate() {
        submit(&world, &processes[number % 3].fleet, id).await.expect("accepted");
    }
    sleep(Duration::from_secs(20)).await;
    assert_invariants(&world, &ids, &ids);
    for process in &processes {
        for id in &ids {
            assert_eq!(phase(&process.fleet, id).await, Ok(JobPhase::Completed));
        }
    }
    let unknown = phase(&processes[0].fleet, &job(999)).await;
    assert_eq!(unknown, Err(ErrorKind::NoSuchJob));
}

#[tokio::test(start_paused = true)]
async fn job_submitted_to_every_process_runs_once() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b", "c"]).await;
    let id = job(1);
    for process in &processes {
        submit(&world, &process.fleet, &id).await.expect("accepted");
    }
    sleep(Duration::from_secs(6)).await;
    submit(&world, &processes[1].fleet, &id).await.expect("accepted before");
    sleep(Duration::from_secs(6)).await;
    assert_invariants(&world, std::slice::from_ref(&id), std::slice::from_ref(&id));
    assert_eq!(world.record().len(), 5, "each task ran once");
}

#[tokio::test(start_paused = true)]
async fn withdrawn_key_is_refused_and_an_older_configuration_is_ignored() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a"]).await;
    submit(&world, &processes[0].fleet, &job(1)).await.expect("accepted");
    world.set_config(config(5, &[]));
    sleep(Duration::from_millis(200)).await;
    let refused = submit(&world, &processes[0].fleet, &job(2)).await;
    assert_eq!(refused, Err(ErrorKind::Unauthorized));
    world.set_config(config(4, &["key"]));
    sleep(Duration::from_millis(200)).await;
    let refused = submit(&world, &processes[0].fleet, &job(3)).await;
    assert_eq!(refused, Err(ErrorKind::Unauthorized), "an older configuration is ignored");
}

#[tokio::test(start_paused = true)]
async fn process_without_the_store_is_not_ready_and_refuses_at_once() {
    for mode in [StoreMode::Unresponsive, StoreMode::Unavailable] {
        let world = World::new(WORKERS, "p");
        let processes = start_settled(&world, &["a", "b"]).await;
        let isolated =
            processes.iter().position(|process| !is_owner(process)).expect("not the owner");
        let fleet = &processes[isolated].fleet;
        assert!(fleet.is_ready());
        world.set_store_for(&fleet.settings.name, mode);
        sleep(Duration::from_millis(2_500)).await;
        assert!(!fleet.is_ready(), "the load balancer must use another process");
        let begun_ms = world.now_ms();
        let refused = submit(&world, fleet, &job(1)).await;
        assert_eq!(refused, Err(ErrorKind::PlatformUnavailable));
        assert!(world.now_ms() < begun_ms + 50, "refused without waiting for the store");
        world.set_store_for(&fleet.settings.name, StoreMode::Up);
        sleep(Duration::from_millis(1_600)).await;
        assert!(fleet.is_ready());
        submit(&world, fleet, &job(2)).await.expect("accepted");
        let other = processes.iter().find(|process| is_owner(process)).expect("an owner");
        assert!(other.fleet.is_ready(), "other processes are not affected");
    }
}

#[tokio::test(start_paused = true)]
async fn caller_is_told_within_its_time_that_the_outcome_is_unknown() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a"]).await;
    // Each write takes most of the caller's 3 s.
    world.set_part_write_ms(2_000);
    let begun_ms = world.now_ms();
    let submissions = (1..=96).map(|number| {
        let (world, fleet) = (Arc::clone(&world), Arc::clone(&processes[0].fleet));
        tokio::spawn(async move { submit(&world, &fleet, &job(number)).await })
    });
    let outcomes = futures_util::future::join_all(submissions).await;
    assert!(world.now_ms() < begun_ms + 3_000);
    let unknown = outcomes.iter().filter(|o| matches!(o, Ok(Err(ErrorKind::PlatformUnknown))));
    assert!(unknown.count() > 0, "some writes queue behind others");
}

#[tokio::test(start_paused = true)]
async fn withdrawn_key_is_refused_by_processes_without_the_store() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let running: Arc<Mutex<IndexMap<SocketAddr, Arc<Fleet>>>> = Arc::default();
    let mut processes = Vec::new();
    for number in 1..=4 {
        let name = format!("p{number}");
        let peers = SocketAddr::from(([127, 0, 0, 1], number));
        let settings = FleetSettings { peers, ..FleetSettings::local(&name, "dc") };
        let (clock, peer_fleets) = (Arc::clone(&world), Arc::clone(&running));
        let fetch = move |peer: PeerRow, version| -> BoxFuture<'static, PlatformResult<_>> {
            let fleet = peer_fleets.lock().get(&peer.address).cloned();
            let newer = fleet.and_then(|fleet| fleet.config()).filter(|c| c.version > version);
            Box::pin(async move { Ok(newer.map(|config| FleetConfig::clone(&config))) })
        };
        let platform = world.platform(&name);
        let peer_calls = PeerCalls { fetch_config: Arc::new(fetch), ..unreachable_peers() };
        let process = start(settings, platform, Arc::new(move || clock.now_ms()), peer_calls);
        running.lock().insert(peers, Arc::clone(&process.fleet));
        processes.push(process);
    }
    sleep(Duration::from_secs(20)).await;
    for (name, mode) in [("p1", StoreMode::Unavailable), ("p2", StoreMode::Unresponsive)] {
        world.set_store_for(name, mode);
    }
    world.set_config(config(2, &[]));
    sleep(Duration::from_secs(5)).await;
    for process in &processes {
        let refused = submit(&world, &process.fleet, &job(1)).await;
        assert_eq!(refused, Err(ErrorKind::Unauthorized), "{}", process.fleet.incarnation);
    }
}

#[tokio::test]
async fn configuration_is_served_to_peers_only_with_the_token() {
    let world = World::new(1, "p");
    world.set_config(config(3, &["key"]));
    let process = launch(&world, "a");
    while process.fleet.config().is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(tokio::spawn(peers::serve(Arc::clone(&process.fleet), listener)));
    let token = Name::clone(&process.fleet.token);
    let row = PeerRow { address, token, data_centre: "dc".into(), worker_capacity: 0 };
    let newer = peers::fetch_config(row.clone(), 2).await.expect("an answer").expect("a newer one");
    assert_eq!(newer, *config(3, &["key"]), "the whole configuration");
    assert_eq!(peers::fetch_config(row.clone(), 3).await.expect("an answer"), None);
    let unauthorized = PeerRow { token: "guessed".into(), ..row.clone() };
    assert!(peers::fetch_config(unauthorized, 0).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn refused_jobs_never_run_and_lost_answers_are_resolved() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b"]).await;
    world.set_store(StoreMode::Unavailable);
    let refused = submit(&world, &processes[0].fleet, &job(1)).await;
    assert_eq!(refused, Err(ErrorKind::PlatformUnavailable));
    world.set_store(StoreMode::LosesResponses);
    let mut accepted = Vec::new();
    for number in 2..8 {
        match submit(&world, &processes[0].fleet, &job(number)).await {
            Ok(()) => accepted.push(job(number)),
            // The job may run, so the caller must not be told that it never will.
            Err(kind) => assert_eq!(kind, ErrorKind::PlatformUnknown),
        }
    }
    assert!(!accepted.is_empty());
    world.set_store(StoreMode::Up);
    sleep(Duration::from_secs(20)).await;
    let submitted: Vec<JobId> = (2..8).map(job).collect();
    assert_invariants(&world, &submitted, &accepted);
}

/// Submits twice the load that two workers can carry, with 20 instances on standby;
/// returns how many jobs were refused.
async fn count_refused(is_provider_down: bool) -> usize {
    let world = World::new(2, "p");
    world.set_standby(20);
    let mut config = FleetConfig::clone(&config(1, &["key"]));
    config.pools.insert("spare".into(), PoolConfig { checks_capacity: true, is_standby: true });
    world.set_config(Arc::new(config));
    let process = launch(&world, "a");
    sleep(Duration::from_secs(2)).await;
    world.set_provider_down(is_provider_down);
    sleep(Duration::from_secs(1)).await;
    let mut refused = 0;
    for number in 1..60 {
        // Five tasks of 2 cores for 0.4 s each.
        let outcome = submit(&world, &process.fleet, &job(number)).await;
        refused += usize::from(outcome == Err(ErrorKind::Overloaded));
        sleep(Duration::from_millis(125)).await;
    }
    refused
}

#[tokio::test(start_paused = true)]
async fn jobs_are_accepted_for_capacity_that_pools_can_obtain() {
    assert_eq!(count_refused(false).await, 0, "standby instances count as capacity");
    assert!(count_refused(true).await > 0, "not while the provider is down");
}

#[tokio::test(start_paused = true)]
async fn job_larger_than_a_row_is_refused_as_too_large() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a"]).await;
    let mut spec = two_step_spec();
    let label = Name::from("a".repeat(1_000));
    let step = StepSpec { required_label: Some(label), ..spec.steps[0].clone() };
    spec.steps = vec![step; 90];
    let refused = submit_spec(&world, &processes[0].fleet, &job(1), spec).await;
    assert_eq!(refused, Err(ErrorKind::TooLarge));
}

#[tokio::test(start_paused = true)]
async fn cancelled_job_stops_and_is_reported_cancelled() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b"]).await;
    let id = job(1);
    submit(&world, &processes[0].fleet, &id).await.expect("accepted");
    sleep(Duration::from_millis(100)).await;
    let admitted = jobs::admit(&processes[1].fleet, &caller(id.as_str())).expect("admitted");
    jobs::cancel(&processes[1].fleet, &admitted).await.expect("cancelled");
    sleep(Duration::from_secs(3)).await;
    let record = world.record();
    assert!(record.iter().all(|run| run.ended.is_some()), "no run continues");
    assert_eq!(record.len(), 3, "the second step must not start");
    assert_eq!(phase(&processes[0].fleet, &id).await, Ok(JobPhase::Cancelled));
}

#[tokio::test(start_paused = true)]
async fn ended_jobs_are_removed_after_the_retention_period() {
    let world = World::new(WORKERS, "p");
    let mut processes = start_settled(&world, &["a", "b"]).await;
    let ids: Vec<JobId> = (1..130).map(job).collect();
    for id in &ids {
        submit(&world, &processes[0].fleet, id).await.expect("accepted");
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(20)).await;
    assert_eq!(world.count_rows("jobs"), 0, "a new owner needn't read them");
    assert_eq!(world.count_rows("progress"), 0, "nor their progress rows");
    assert_eq!(world.count_rows("ended"), ids.len());
    assert_eq!(phase(&processes[0].fleet, &ids[0]).await, Ok(JobPhase::Completed));
    submit(&world, &processes[1].fleet, &ids[0]).await.expect("accepted before");
    // The next owner finds the rows that an earlier one left.
    processes.remove(processes.iter().position(is_owner).expect("an owner")).crash();
    sleep(Duration::from_secs(140)).await;
    assert_eq!(world.count_rows("ended"), 0);
    assert_eq!(phase(&processes[0].fleet, &ids[0]).await, Err(ErrorKind::NoSuchJob));
    assert_eq!(world.record().len(), ids.len() * 5, "each task ran once");
}

/// Submits `jobs` jobs at 400 a second to a store whose partitions take `part_write_ms` for a
/// transaction; returns how long the slowest submission took.
async fn longest_submission_ms(jobs: usize, part_write_ms: u64) -> u64 {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b", "c"]).await;
    // Small, so that none is refused.
    let mut spec = two_step_spec();
    spec.steps.truncate(1);
    let step = &mut spec.steps[0];
    (step.tasks, step.estimate_ms, step.needs.cpu_millis) = (1, 20, 100);
    world.set_part_write_ms(part_write_ms);
    let mut submissions = Vec::new();
    for number in 1..=jobs {
        let (world, fleet) = (Arc::clone(&world), Arc::clone(&processes[number % 3].fleet));
        let spec = spec.clone();
        submissions.push(tokio::spawn(async move {
            let begun_ms = world.now_ms();
            let accepted = submit_spec(&world, &fleet, &job(number as u64), spec).await;
            (accepted, world.now_ms() - begun_ms)
        }));
        if number % 2 == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    }
    let mut longest_ms = 0;
    for submission in submissions {
        let (accepted, took_ms) = submission.await.expect("submitted");
        assert_eq!(accepted, Ok(()));
        longest_ms = longest_ms.max(took_ms);
    }
    longest_ms
}

#[tokio::test(start_paused = true)]
async fn jobs_submitted_at_a_peak_do_not_wait_for_each_other() {
    // Each partition takes 250 transactions a second; 400 jobs a second arrive for 3 s.
    let longest_ms = longest_submission_ms(1_200, 4).await;
    assert!(longest_ms < 300, "a caller waited for {longest_ms} ms");
}

/// A slow store takes 240 ms for a transaction, and executes those of a partition one
/// after another. Callers that arrive at a peak must be told within their deadline.
#[tokio::test(start_paused = true)]
async fn jobs_are_accepted_at_a_peak_while_the_store_is_slow() {
    let longest_ms = longest_submission_ms(200, 240).await;
    assert!(longest_ms < 2_850, "a caller waited for {longest_ms} ms");
}

#[tokio::test(start_paused = true)]
async fn delayed_writes_do_not_overwrite_newer_ones() {
    let world = World::new(WORKERS, "p");
    let mut processes = start_settled(&world, &["a", "b"]).await;
    let ids: Vec<JobId> = (1..4).map(job).collect();
    let mut spec = two_step_spec();
    spec.steps[1].estimate_ms = 12_000;
    world.set_store(StoreMode::DelaysWrites);
    for id in &ids {
        submit_spec(&world, &processes[0].fleet, id, spec.clone()).await.expect("accepted");
    }
    sleep(Duration::from_millis(2_500)).await;
    world.set_store(StoreMode::Up);
    // By now the delayed writes have taken effect; the next owner sees only what is
    // stored.
    sleep(Duration::from_millis(3_200)).await;
    let owner = processes.iter().position(is_owner).expect("an owner");
    processes.remove(owner).crash();
    sleep(Duration::from_secs(25)).await;
    assert_invariants(&world, &ids, &ids);
    assert_eq!(
        world.record().iter().filter(|run| run.attempt > 64).count(),
        0,
        "no task ran again"
    );
}

/// The time of day jumps back by seconds on the process that accepts a job. The job must
/// not count as late for that, since late jobs get workers last.
#[tokio::test(start_paused = true)]
async fn job_accepted_under_a_clock_that_jumped_is_not_late() {
    let world = World::new(1, "p");
    let process = start_settled(&world, &["a"]).await.remove(0);
    let id = job(7);
    // Fits on no worker, so that it stays on the board.
    let mut spec = two_step_spec();
    spec.steps[0].needs.cpu_millis = 1_000_000;
    let accepted_wall_ms = masticfall_entry::context::wall_ms() - 9_000;
    let record = JobRecord { queue: "q".into(), account: None, spec, accepted_wall_ms };
    let row = masticfall_wire::encode(&record).expect("encodable");
    let row_key = RowKey { table: "jobs", part: "j0".into(), key: id.as_str().into() };
    let insert = RowTransaction { checks: vec![], writes: vec![(row_key, Some(row))] };
    let written = (world.platform("other").transact)(insert).await;
    assert!(matches!(written, Ok(RowCommit::Done(_))));
    sleep(Duration::from_millis(200)).await;
    let shared = process.fleet.shared();
    let board = shared.board.as_ref().expect("the process owns the cell");
    let due_ms = board.jobs[&id].due_ms;
    assert!(due_ms > world.now_ms() + 500, "due at {due_ms}, now {}", world.now_ms());
}
