//! Tasks that crash each worker that starts them, beside ordinary crashes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfall_core::fleet::progress::{JobPhase, ProgressRow, TaskRow};
use masticfall_core::fleet::spec::{JobSpec, StepSpec, TaskKey};
use masticfall_core::id::{JobId, WorkerId};
use masticfall_entry::fleet::RunningFleet;
use masticfall_standin::fleet::check::starts_after_crashes;
use masticfall_standin::fleet::crash::{CrashPlan, CrashingTask};
use masticfall_standin::fleet::{StoreMode, World};
use masticfall_wire::{decode, encode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::sleep;

use crate::fleet_world::{
    Submissions, WORKERS, assert_invariants, is_owner, job, launch, phase, start_settled, status,
    submit_spec, two_step_spec,
};

/// Time after which a job must have ended, whatever crashed, in seconds.
const SETTLED_S: u64 = 60;

fn task(job: &JobId, index: u32) -> TaskKey {
    TaskKey { job: job.clone(), occurrence: 0, step: 0, index }
}

fn one_step(step: StepSpec) -> JobSpec {
    let first = two_step_spec().steps.swap_remove(0);
    let step = StepSpec { tasks: first.tasks, needs: first.needs, estimate_ms: 400, ..step };
    JobSpec { steps: vec![step], ..two_step_spec() }
}

/// Submits a job with a crashing task among others.
async fn submit_with_neighbours(
    world: &World,
    process: &RunningFleet,
    crashing: CrashingTask,
    spec: JobSpec,
) -> (JobId, Vec<JobId>) {
    let guilty = job(1);
    world.set_crashing_task(task(&guilty, 1), crashing);
    submit_spec(world, &process.fleet, &guilty, spec).await.expect("accepted");
    let mut neighbours = Submissions::default();
    for number in 2..30 {
        neighbours.submit(world, &process.fleet, &job(number)).await;
        sleep(Duration::from_millis(150)).await;
    }
    (guilty, neighbours.accepted)
}

async fn assert_only_one_is_given_up(
    world: &World,
    process: &RunningFleet,
    guilty: &JobId,
    neighbours: &[JobId],
) {
    let violations = starts_after_crashes(&world.record(), &world.crashes());
    assert_eq!(violations, Vec::<String>::new(), "started on and on");
    assert_eq!(phase(&process.fleet, guilty).await, Ok(JobPhase::Failed));
    let mut all = neighbours.to_vec();
    all.push(guilty.clone());
    assert_invariants(world, &all, neighbours);
    for id in neighbours {
        assert_eq!(phase(&process.fleet, id).await, Ok(JobPhase::Completed), "{id}");
    }
}

fn keeps_id() -> CrashPlan {
    CrashPlan { keeps_id: true, ..CrashPlan::default() }
}

fn dark() -> CrashPlan {
    CrashPlan { is_dark: true, ..CrashPlan::default() }
}

fn gone() -> CrashPlan {
    CrashPlan { is_dark: true, down_ms: 20_000, ..CrashPlan::default() }
}

fn after(after_ms: u64, plan: CrashPlan) -> CrashingTask {
    CrashingTask { after_ms, plan, ..CrashingTask::default() }
}

fn unanswered(plan: CrashPlan) -> CrashingTask {
    CrashingTask { loses_response: true, plan, ..CrashingTask::default() }
}

#[rstest]
#[case::at_once(after(10, CrashPlan::default()))]
#[case::same_identifier(after(10, keeps_id()))]
#[case::same_identifier_back_at_once(after(10, CrashPlan { down_ms: 50, ..keeps_id() }))]
#[case::silent(after(10, dark()))]
#[case::gone_for_long(after(10, gone()))]
#[case::unanswered(unanswered(CrashPlan::default()))]
#[case::unanswered_same_identifier(unanswered(keeps_id()))]
#[case::unanswered_back_at_once(unanswered(CrashPlan { down_ms: 50, ..keeps_id() }))]
#[case::late_in_the_run(after(350, CrashPlan::default()))]
#[case::late_and_silent(after(350, dark()))]
#[tokio::test(start_paused = true)]
async fn task_that_crashes_its_workers_is_given_up(#[case] crashing: CrashingTask) {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b"]).await;
    let (guilty, neighbours) =
        submit_with_neighbours(&world, &processes[0], crashing, two_step_spec()).await;
    sleep(Duration::from_secs(SETTLED_S)).await;
    assert_only_one_is_given_up(&world, &processes[1], &guilty, &neighbours).await;
}

#[rstest]
#[case::gang(StepSpec { is_gang: true, ..StepSpec::default() })]
#[case::long_running(StepSpec { is_long_running: true, ..StepSpec::default() })]
#[case::speculative(StepSpec { is_speculative: true, ..StepSpec::default() })]
#[tokio::test(start_paused = true)]
async fn crashing_task_of_any_kind_is_given_up(#[case] step: StepSpec) {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b"]).await;
    let crashing = after(10, CrashPlan::default());
    let (guilty, neighbours) =
        submit_with_neighbours(&world, &processes[0], crashing, one_step(step)).await;
    sleep(Duration::from_secs(SETTLED_S)).await;
    assert_only_one_is_given_up(&world, &processes[1], &guilty, &neighbours).await;
}

/// Replaces all processes, or the owner only, each time a worker has crashed.
async fn replace_processes(
    world: &Arc<World>,
    processes: &mut [RunningFleet],
    only_the_owner: bool,
    delay_ms: u64,
) {
    let mut crashes = 0;
    for _ in 0..600 {
        sleep(Duration::from_millis(100)).await;
        let count = world.crashes().len();
        if count == crashes {
            continue;
        }
        crashes = count;
        sleep(Duration::from_millis(delay_ms)).await;
        for process in processes.iter_mut() {
            if !only_the_owner || is_owner(process) {
                let name = process.fleet.settings.name.to_string();
                std::mem::replace(process, launch(world, &name)).crash();
            }
        }
    }
}

#[rstest]
#[case::owner_at_once(true, 0)]
#[case::owner_before_the_loss_is_known(true, 2_000)]
#[case::owner_after_the_loss_is_known(true, 4_500)]
#[case::all_at_once(false, 0)]
#[case::all_after_the_loss_is_known(false, 4_500)]
#[tokio::test(start_paused = true)]
async fn crashes_are_counted_over_owners(#[case] only_the_owner: bool, #[case] delay_ms: u64) {
    let world = World::new(WORKERS, "p");
    let mut processes = start_settled(&world, &["a", "b", "c"]).await;
    let guilty = job(1);
    world.set_crashing_task(task(&guilty, 1), after(10, CrashPlan::default()));
    submit_spec(&world, &processes[0].fleet, &guilty, two_step_spec()).await.expect("accepted");
    replace_processes(&world, &mut processes, only_the_owner, delay_ms).await;
    sleep(Duration::from_secs(SETTLED_S)).await;
    assert_only_one_is_given_up(&world, &processes[0], &guilty, &[]).await;
}

#[rstest]
#[case::loses_responses(StoreMode::LosesResponses)]
#[case::delays_writes(StoreMode::DelaysWrites)]
#[tokio::test(start_paused = true)]
async fn crashes_are_counted_while_the_store_is_faulty(#[case] mode: StoreMode) {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b"]).await;
    let guilty = job(1);
    world.set_crashing_task(task(&guilty, 1), after(10, CrashPlan::default()));
    submit_spec(&world, &processes[0].fleet, &guilty, two_step_spec()).await.expect("accepted");
    world.set_store(mode);
    sleep(Duration::from_secs(40)).await;
    world.set_store(StoreMode::Up);
    sleep(Duration::from_secs(SETTLED_S)).await;
    assert_only_one_is_given_up(&world, &processes[0], &guilty, &[]).await;
}

#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
#[case::seed_4(4)]
#[case::seed_5(5)]
#[case::seed_6(6)]
#[tokio::test(start_paused = true)]
async fn jobs_beside_crashes_are_not_given_up(#[case] seed: u64) {
    run_beside_crashes(seed).await;
}

/// A longer search: `FLEET_SEEDS=200 cargo test -p masticfall-entry more_crash_seeds`.
#[tokio::test(start_paused = true)]
async fn jobs_are_not_given_up_over_more_crash_seeds() {
    let seeds = std::env::var("FLEET_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 100..100 + seeds.unwrap_or(4_u64) {
        eprintln!("seed {seed}");
        run_beside_crashes(seed).await;
    }
}

/// Three tasks that crash workers, ordinary crashes of workers and racks, and killed owners.
async fn run_beside_crashes(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let world = World::new(WORKERS, "p");
    let mut processes = start_settled(&world, &["a", "b", "c"]).await;
    let guilty: Vec<JobId> = (0..3).map(|number| job(1_000 + number)).collect();
    for id in &guilty {
        world.set_crashing_task(task(id, 1), after(random.random_range(5..30), keeps_id()));
    }
    let lasting = job(2_000);
    let spec = one_step(StepSpec { is_long_running: true, ..StepSpec::default() });
    submit_spec(&world, &processes[0].fleet, &lasting, spec).await.expect("accepted");
    let mut others = Submissions::default();
    for number in 0..60 {
        let fleet = Arc::clone(&processes[random.random_range(0..3)].fleet);
        others.submit(&world, &fleet, &job(number + 1)).await;
        if number % 16 == 5 {
            let id = &guilty[number as usize / 16 % 3];
            let submitted = submit_spec(&world, &fleet, id, two_step_spec()).await;
            eprintln!("{id}: {submitted:?}");
        }
        sleep(Duration::from_millis(random.random_range(100..400))).await;
        let is_dark = random.random_range(0..3) == 0;
        let plan = CrashPlan { is_dark, keeps_id: random.random_range(0..2) == 0, down_ms: 3_100 };
        match random.random_range(0..14) {
            0 => world.crash_worker(random.random_range(0..WORKERS), plan),
            // Workers of one rack.
            1 => [4, 5].into_iter().for_each(|worker| world.crash_worker(worker, plan)),
            2 => {
                if let Some(owner) = processes.iter_mut().find(|process| is_owner(process)) {
                    let name = owner.fleet.settings.name.to_string();
                    std::mem::replace(owner, launch(&world, &name)).crash();
                }
            }
            _ => {}
        }
    }
    sleep(Duration::from_secs(SETTLED_S)).await;
    let violations = starts_after_crashes(&world.record(), &world.crashes());
    assert_eq!(violations, Vec::<String>::new(), "started on and on");
    let fleet = &processes[0].fleet;
    for id in &others.accepted {
        assert_eq!(phase(fleet, id).await, Ok(JobPhase::Completed), "{id} was given up falsely");
    }
    assert_eq!(phase(fleet, &lasting).await, Ok(JobPhase::Running), "it works on");
}

#[tokio::test(start_paused = true)]
async fn worker_that_was_cut_off_is_no_crash() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b"]).await;
    let id = job(1);
    let spec = one_step(StepSpec { is_long_running: true, ..StepSpec::default() });
    submit_spec(&world, &processes[0].fleet, &id, spec).await.expect("accepted");
    for worker in (0..WORKERS).cycle().take(3 * WORKERS) {
        world.set_silent(worker, true);
        sleep(Duration::from_millis(7_500)).await;
        world.set_silent(worker, false);
        sleep(Duration::from_millis(1_500)).await;
    }
    assert_eq!(phase(&processes[0].fleet, &id).await, Ok(JobPhase::Running));
    let running = world.record().iter().filter(|run| run.ended.is_none()).count();
    assert_eq!(running, 3, "all tasks work on");
}

#[tokio::test(start_paused = true)]
async fn given_up_job_is_not_run_again_when_its_caller_retries() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a", "b"]).await;
    let id = job(1);
    world.set_crashing_task(task(&id, 1), after(10, CrashPlan::default()));
    submit_spec(&world, &processes[0].fleet, &id, two_step_spec()).await.expect("accepted");
    sleep(Duration::from_secs(SETTLED_S)).await;
    let starts = world.record().len();
    for process in &processes {
        submit_spec(&world, &process.fleet, &id, two_step_spec()).await.expect("accepted before");
        sleep(Duration::from_secs(10)).await;
        let status = status(&process.fleet, &id).await.expect("known");
        assert_eq!(status.phase, JobPhase::Failed);
        let reason = status.reason.expect("a reason");
        assert!(reason.starts_with("given up") && reason.contains("0.0.1"), "{reason}");
    }
    assert_eq!(world.record().len(), starts);
}

#[test]
fn progress_stored_by_an_earlier_version_is_read() {
    #[derive(serde::Serialize)]
    struct EarlierRow {
        phase: JobPhase,
        occurrences_done: Vec<u32>,
        workers: Vec<(WorkerId, Option<SocketAddr>)>,
        tasks: Vec<TaskRow>,
    }
    let row = EarlierRow {
        phase: JobPhase::Running,
        occurrences_done: Vec::new(),
        workers: vec![("w1".into(), None)],
        tasks: Vec::new(),
    };
    let bytes = encode(&row).expect("encoded");
    let row: ProgressRow = decode(&bytes).expect("decoded");
    assert_eq!(row.workers.len(), 1);
    assert!(row.crashes.is_empty() && row.born_wall_ms.is_empty());
}
