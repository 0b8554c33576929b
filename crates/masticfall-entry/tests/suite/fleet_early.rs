//! Start orders before the placement is stored, with a store that is slow or doesn't answer.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::fleet::open_set::{OpenContent, OpenWorker};
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::spec::{JobSpec, StepSpec};
use masticfall_core::id::{JobId, WorkerId};
use masticfall_entry::fleet::{FleetSettings, RunningFleet, jobs};
use masticfall_platform::fleet::{RowKey, RowTransaction};
use masticfall_standin::fleet::{StoreMode, World};
use rstest::rstest;
use tokio::time::sleep;

use crate::fleet_world::{
    WORKERS, assert_invariants, caller, config, is_owner, job, launch_with, phase, submit,
    submit_spec, two_step_spec,
};

const EARLY_MS: u64 = 50;

/// Returns settings with early starts.
pub fn early_settings(name: &str, early_start_after_ms: u64) -> FleetSettings {
    FleetSettings { early_start_after_ms, ..FleetSettings::local(name, "dc") }
}

/// Starts processes with early starts, and waits until one of them owns the cell.
pub async fn start_early(
    world: &Arc<World>,
    names: &[&str],
    early_start_after_ms: u64,
) -> Vec<RunningFleet> {
    world.set_config(config(1, &["key"]));
    let launch = |name: &&str| launch_with(world, early_settings(name, early_start_after_ms));
    let processes = names.iter().map(launch).collect();
    sleep(Duration::from_secs(3)).await;
    processes
}

/// Three steps of two tasks each, one after another.
fn chain() -> JobSpec {
    let mut spec = two_step_spec();
    let first = StepSpec { tasks: 2, estimate_ms: 300, ..spec.steps[0].clone() };
    let after = |step| StepSpec { after: vec![step], ..first.clone() };
    spec.steps = vec![first.clone(), after(0), after(1)];
    spec
}

/// Submits a job every 250 ms and returns how many are shown as completed within `limit_ms`
/// of their submission.
async fn completed_in_time(early_ms: u64, limit_ms: u64, disturb: fn(&World, u64)) -> usize {
    let world = World::new(WORKERS, "p");
    let processes = start_early(&world, &["a", "b"], early_ms).await;
    let owner = processes.iter().position(is_owner).expect("an owner");
    let fleet = &processes[1 - owner].fleet;
    let mut watched = Vec::new();
    let mut accepted = Vec::new();
    for number in 1..=24 {
        disturb(&world, number);
        let (id, due_ms) = (job(number), world.now_ms() + limit_ms);
        if submit_spec(&world, fleet, &id, chain()).await.is_ok() {
            accepted.push(id.clone());
            let (world, fleet) = (Arc::clone(&world), Arc::clone(fleet));
            watched.push(tokio::spawn(async move {
                while world.now_ms() < due_ms {
                    if phase(&fleet, &id).await == Ok(JobPhase::Completed) {
                        return true;
                    }
                    sleep(Duration::from_millis(20)).await;
                }
                false
            }));
        }
        sleep(Duration::from_millis(250)).await;
    }
    let mut in_time = 0;
    for watch in watched {
        in_time += usize::from(watch.await.expect("watched"));
    }
    world.set_store(StoreMode::Up);
    world.set_part_write_ms(0);
    sleep(Duration::from_secs(20)).await;
    assert_invariants(&world, &accepted, &accepted);
    let runs = world.record().len();
    assert_eq!(runs, accepted.len() * 6, "each task ran once");
    in_time
}

/// Each transaction takes 268 ms in its partition. Guards against jobs that miss their
/// objective since each step waits for its placement to be stored.
#[tokio::test(start_paused = true)]
async fn more_jobs_are_in_time_while_the_store_is_slow() {
    let slow = |world: &World, number: u64| {
        world.set_part_write_ms(if number < 18 { 268 } else { 0 });
    };
    let (off, on) =
        (completed_in_time(0, 3_200, slow).await, completed_in_time(EARLY_MS, 3_200, slow).await);
    eprintln!("slow store: {off} jobs in time without, {on} with early starts");
    assert!(on >= off + 6, "{on} jobs in time with early starts, {off} without");
}

/// The store doesn't answer for 2 s. Guards against jobs that stand still meanwhile.
#[tokio::test(start_paused = true)]
async fn more_jobs_are_in_time_after_an_outage() {
    let outage = |world: &World, number: u64| {
        let is_out = (8..16).contains(&number);
        world.set_store(if is_out { StoreMode::Unavailable } else { StoreMode::Up });
    };
    let (off, on) = (
        completed_in_time(0, 2_600, outage).await,
        completed_in_time(EARLY_MS, 2_600, outage).await,
    );
    eprintln!("outage: {off} jobs in time without, {on} with early starts");
    assert!(on > off, "{on} jobs in time with early starts, {off} without");
}

fn owner_of(processes: &mut Vec<RunningFleet>) -> RunningFleet {
    processes.remove(processes.iter().position(is_owner).expect("an owner"))
}

async fn submit_chains(world: &World, process: &RunningFleet, count: u64) -> Vec<JobId> {
    let ids: Vec<JobId> = (1..=count).map(job).collect();
    for id in &ids {
        submit_spec(world, &process.fleet, id, chain()).await.expect("accepted");
    }
    ids
}

/// The owner is lost in an outage with runs that the store doesn't know, alone or with a
/// worker. Guards against second runs of these tasks by the next owner.
#[rstest]
#[case::alone(false)]
#[case::with_a_worker(true)]
#[tokio::test(start_paused = true)]
async fn runs_of_an_owner_lost_in_an_outage_are_taken_over(#[case] loses_worker: bool) {
    let world = World::new(WORKERS, "p");
    let mut processes = start_early(&world, &["a", "b", "c"], EARLY_MS).await;
    let ids = submit_chains(&world, &processes[0], 6).await;
    sleep(Duration::from_millis(150)).await;
    world.set_store(StoreMode::Unresponsive);
    let before = world.record().len();
    sleep(Duration::from_millis(900)).await;
    assert!(world.record().len() > before, "later steps start in the outage");
    let owner = owner_of(&mut processes);
    assert!(owner.fleet.metrics.early_starts.get() > 0);
    owner.crash();
    if loses_worker {
        world.set_silent(0, true);
    }
    sleep(Duration::from_secs(2)).await;
    world.set_store(StoreMode::Up);
    sleep(Duration::from_secs(30)).await;
    world.set_silent(0, false);
    sleep(Duration::from_secs(10)).await;
    assert_invariants(&world, &ids, &ids);
    if !loses_worker {
        assert_eq!(world.record().len(), ids.len() * 6, "no task ran again");
    }
    for id in &ids {
        assert_eq!(phase(&processes[0].fleet, id).await, Ok(JobPhase::Completed), "{id}");
    }
}

/// The store rejects the owner only, which goes on dispatching. Guards against runs by two
/// owners at once.
#[tokio::test(start_paused = true)]
async fn owner_cut_off_from_the_store_and_its_successor_start_nothing_twice() {
    let world = World::new(WORKERS, "p");
    let mut processes = start_early(&world, &["a", "b", "c"], EARLY_MS).await;
    let zombie = owner_of(&mut processes);
    let ids = submit_chains(&world, &processes[0], 8).await;
    sleep(Duration::from_millis(100)).await;
    world.set_store_for(&zombie.fleet.settings.name, StoreMode::Unavailable);
    // Workers that only the old owner reaches in turn.
    for round in 0..8 {
        world.set_silent(round % WORKERS, true);
        sleep(Duration::from_millis(600)).await;
        world.set_silent(round % WORKERS, false);
    }
    assert!(zombie.fleet.metrics.early_starts.get() > 0);
    sleep(Duration::from_secs(30)).await;
    assert_invariants(&world, &ids, &ids);
}

/// Guards against starts on the strength of what the owner knew long ago: a cancellation may
/// have been accepted since.
#[tokio::test(start_paused = true)]
async fn owner_cut_off_from_the_store_soon_stops_starting() {
    let world = World::new(WORKERS, "p");
    let processes = start_early(&world, &["a"], EARLY_MS).await;
    let mut spec = chain();
    spec.steps[0].estimate_ms = 3_200;
    submit_spec(&world, &processes[0].fleet, &job(1), spec).await.expect("accepted");
    sleep(Duration::from_millis(300)).await;
    world.set_store(StoreMode::Unavailable);
    sleep(Duration::from_millis(4_500)).await;
    assert_eq!(world.record().len(), 2, "the second step is due 2.9 s into the outage");
    world.set_store(StoreMode::Up);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(world.record().len(), 6);
}

/// Guards against rows, waits or starts that a deployment has not asked for.
#[tokio::test(start_paused = true)]
async fn without_the_setting_nothing_starts_early() {
    let world = World::new(WORKERS, "p");
    let processes = start_early(&world, &["a"], 0).await;
    submit_chains(&world, &processes[0], 4).await;
    sleep(Duration::from_millis(150)).await;
    let rows = world.count_rows("calls");
    world.set_store(StoreMode::Unresponsive);
    let before = world.record().len();
    sleep(Duration::from_secs(2)).await;
    assert_eq!(world.record().len(), before);
    assert_eq!(rows, 2, "the row that orders batches and the fence only");
}

/// All callers that are refused in an outage would otherwise come back in the same second.
#[tokio::test(start_paused = true)]
async fn refused_callers_are_told_to_come_back_at_different_times() {
    let world = World::new(WORKERS, "p");
    let process = start_early(&world, &["a"], EARLY_MS).await.remove(0);
    world.set_store(StoreMode::Unavailable);
    let mut seconds = [0; 4];
    for number in 0..300 {
        let admitted =
            jobs::admit(&process.fleet, &caller(job(number).as_str())).expect("admitted");
        let refused = jobs::submit(&process.fleet, &admitted, two_step_spec()).await;
        let after_s = refused.expect_err("refused").retry_after_s.expect("a time");
        seconds[after_s as usize] += 1;
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(seconds[0], 0);
    assert!(seconds[1..].iter().all(|count| *count > 60), "{seconds:?}");
}

/// A set that can't be read must not be taken for an empty one.
#[tokio::test(start_paused = true)]
async fn unreadable_open_set_delays_first_runs_by_the_leases() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let row_key = RowKey { table: "calls", part: "c0".into(), key: "open/0".into() };
    let writes = vec![(row_key, Some(b"unreadable".to_vec()))];
    let written = (world.platform("x").transact)(RowTransaction { checks: vec![], writes }).await;
    written.expect("written");
    let process = launch_with(&world, early_settings("a", EARLY_MS));
    sleep(Duration::from_secs(3)).await;
    submit(&world, &process.fleet, &job(1)).await.expect("accepted");
    sleep(Duration::from_secs(4)).await;
    assert_eq!(world.record().len(), 0);
    sleep(Duration::from_secs(8)).await;
    assert_invariants(&world, &[job(1)], &[job(1)]);
}

/// The platform limits rows to 65,536 bytes.
#[test]
fn open_set_of_1800_workers_fits_into_rows() {
    let facts = World::new(1, "p").worker_facts().remove(0);
    let workers = (0..1_800).map(|number| {
        let id = WorkerId::from(format!("{number:064}"));
        (id, OpenWorker { pool: format!("pool-{number}").into(), ..OpenWorker::new(&facts) })
    });
    let content = OpenContent { config_version: u64::MAX, workers: workers.collect() };
    for row in content.to_rows(u32::MAX) {
        let bytes = masticfall_wire::encode(&row).expect("encodable").len();
        assert!(bytes < 65_536, "{bytes} bytes");
    }
}
