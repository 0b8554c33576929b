//! Jobs that would stop one owner after the other.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::error::ErrorKind;
use masticfall_core::fleet::board::{BatchWrite, Board, BoardTimings, Now, Order, StartOrder};
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::report::{ActiveRun, StartOutcome, WorkerReport};
use masticfall_core::fleet::spec::{JobRecord, JobSpec, Resources, StepSpec};
use masticfall_core::id::{Name, WorkerId};
use masticfall_entry::fleet::rows::progress_row_key;
use masticfall_entry::fleet::{FleetSettings, start};
use masticfall_platform::error::RejectedSnafu;
use masticfall_platform::fleet::{RowKey, RowTransaction};
use masticfall_platform::operation;
use masticfall_standin::fleet::World;
use masticfall_wire::encode;
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::sleep;

use crate::fleet_world::{
    config, job, launch, phase, start_settled, status, submit, submit_spec, two_step_spec,
    unreachable_peers,
};

fn many_tasks(tasks: u32, estimate_ms: u64) -> JobSpec {
    let needs = Resources { cpu_millis: 10, memory_mib: 1, accelerators: 0 };
    let step = StepSpec { tasks, needs, estimate_ms, ..StepSpec::default() };
    JobSpec { steps: vec![step], ..two_step_spec() }
}

#[tokio::test(start_paused = true)]
async fn job_of_many_tasks_does_not_stop_the_cell() {
    let world = World::new(10, "p");
    let mut processes = start_settled(&world, &["a", "b"]).await;
    let large = job(1);
    submit_spec(&world, &processes[0].fleet, &large, many_tasks(4_500, 300))
        .await
        .expect("accepted");
    sleep(Duration::from_millis(500)).await;
    submit(&world, &processes[0].fleet, &job(2)).await.expect("accepted");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(phase(&processes[1].fleet, &job(2)).await, Ok(JobPhase::Completed));
    // The next owner loads the job.
    for (process, name) in processes.iter_mut().zip(["c", "d"]) {
        std::mem::replace(process, launch(&world, name)).crash();
    }
    sleep(Duration::from_secs(10)).await;
    submit(&world, &processes[0].fleet, &job(3)).await.expect("accepted");
    sleep(Duration::from_secs(30)).await;
    for number in 1..4 {
        assert_eq!(phase(&processes[0].fleet, &job(number)).await, Ok(JobPhase::Completed));
    }
}

/// Returns a board with jobs whose tasks are all ready, and room for them on many workers.
fn board_of(jobs: u64, spec: &JobSpec) -> Board {
    let world = World::new(40, "p");
    let timings = BoardTimings {
        lease_ms: 6_000,
        max_lease_ms: 6_000,
        stop_grace_ms: 900,
        takeover_overlap_ms: 0,
    };
    let mut board = Board::new(1, timings, 1);
    board.set_config(config(1, &["key"]));
    for facts in world.worker_facts() {
        let id = facts.id.clone();
        board.list_worker(facts);
        board.report(&id, 1, WorkerReport { born_wall_ms: 1, ..WorkerReport::default() }, 1);
    }
    for number in 0..jobs {
        let record = JobRecord {
            queue: "q".into(),
            account: Some("a".into()),
            spec: spec.clone(),
            accepted_wall_ms: 1,
        };
        board.accept(&job(number), record, Now { steady_ms: 1, wall_ms: 1 });
    }
    board
}

/// Stores and starts everything, and returns the largest row and transaction, in bytes.
fn store_all(board: &mut Board, now_ms: u64) -> (usize, usize) {
    let (mut largest_row, mut largest_batch) = (0, 0);
    loop {
        board.place(now_ms);
        let batch = board.take_batch(1);
        if batch.writes.is_empty() {
            return (largest_row, largest_batch);
        }
        let rows = batch.writes.iter().map(|write| match write {
            BatchWrite::Progress(_, row) => encode(row).expect("encoded").len(),
            BatchWrite::Ended(_, row) => encode(row).expect("encoded").len(),
        });
        let rows: Vec<usize> = rows.collect();
        largest_row = rows.iter().copied().max().unwrap_or_default().max(largest_row);
        largest_batch =
            rows.iter().map(|bytes| bytes.div_ceil(3) * 4).sum::<usize>().max(largest_batch);
        board.batch_stored(batch, now_ms);
    }
}

/// The platform's limits of a row and of a transaction, in bytes.
const MAX_ROW_BYTES: usize = 65_536;
const MAX_TRANSACTION_BYTES: usize = 1_000_000;

#[rstest]
#[case::one_of_5_000_tasks(1, 5_000)]
#[case::ninety_six_of_400_tasks(96, 400)]
#[case::ten_of_2_000_tasks(10, 2_000)]
#[test]
fn progress_of_wide_jobs_can_be_stored(#[case] jobs: u64, #[case] tasks: u32) {
    let mut board = board_of(jobs, &many_tasks(tasks, 1_000));
    let mut now_ms = 1;
    // All workers are lost again and again, so that every task has lost some.
    for round in 2..6 {
        let (row, batch) = store_all(&mut board, now_ms);
        assert!(row <= MAX_ROW_BYTES, "a row of {row} bytes");
        assert!(batch <= MAX_TRANSACTION_BYTES, "a transaction of {batch} bytes");
        for order in board.take_orders() {
            if let Order::Start(start) = order {
                let outcome = StartOutcome::Started;
                board.start_result(&start.worker, &start.task, start.attempt, outcome, now_ms);
            }
        }
        now_ms += 3_000;
        for id in board.workers.keys().cloned().collect::<Vec<_>>() {
            let report =
                WorkerReport { clock_ms: now_ms, born_wall_ms: round, ..WorkerReport::default() };
            board.report(&id, now_ms, report, now_ms);
        }
    }
}

/// Starts all tasks and reports each with a checkpoint of `length` bytes; returns the largest row
/// and transaction, in bytes, and the share of the checkpoints that are stored.
fn store_checkpoints(jobs: u64, tasks: u32, length: usize) -> (usize, usize, f64) {
    let mut board = board_of(jobs, &many_tasks(tasks, 1));
    store_all(&mut board, 1);
    let mut running: IndexMap<WorkerId, Vec<ActiveRun>> = IndexMap::new();
    for order in board.take_orders() {
        let Order::Start(StartOrder { worker, task, attempt, .. }) = order else { continue };
        board.start_result(&worker, &task, attempt, StartOutcome::Started, 2);
        let checkpoint = Some(Name::from("c".repeat(length)));
        let run = ActiveRun { task, attempt, checkpoint, percent: 1, load: 0 };
        running.entry(worker).or_default().push(run);
    }
    let runs = running.values().map(Vec::len).sum::<usize>();
    for (worker, running) in running {
        let report =
            WorkerReport { clock_ms: 9, born_wall_ms: 1, running, ..WorkerReport::default() };
        board.report(&worker, 9, report, 9);
    }
    let rows = board.jobs.iter().map(|(id, job)| job.progress(id, |_| None));
    let kept = rows.flat_map(|row| row.tasks).filter(|task| task.checkpoint.is_some()).count();
    let (row, batch) = store_all(&mut board, 9);
    (row, batch, kept as f64 / runs.max(1) as f64)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]

    /// Guards against a row that the store refuses for good, and every other row with it.
    #[test]
    fn checkpoints_of_any_length_can_be_stored(
        jobs in 1_u64..4,
        tasks in 1_u32..400,
        length in prop_oneof![0_usize..600, 0_usize..9_000, 60_000_usize..80_000],
    ) {
        let (row, batch, kept) = store_checkpoints(jobs, tasks, length);
        prop_assert!(row <= MAX_ROW_BYTES, "a row of {row} bytes");
        prop_assert!(batch <= MAX_TRANSACTION_BYTES, "a transaction of {batch} bytes");
        prop_assert!(length == 0 || kept >= 1.0 || tasks as usize * length > 8_000, "{kept} kept");
    }
}

/// The job of review/10: no single checkpoint is large, but all of them together are.
#[test]
fn row_with_many_checkpoints_keeps_those_that_it_has_room_for() {
    let (row, _, kept) = store_checkpoints(1, 196, 400);
    assert!(row <= MAX_ROW_BYTES, "a row of {row} bytes");
    assert!((0.3..1.0).contains(&kept), "{kept} of the checkpoints are stored");
}

/// Guards against a batch that is repeated for ever with the progress of all other jobs in it.
#[tokio::test(start_paused = true)]
async fn job_whose_row_the_store_rejects_fails_alone() {
    let world = World::new(10, "p");
    world.set_config(config(1, &["key"]));
    let mut platform = world.platform("a");
    let transact = Arc::clone(&platform.transact);
    let rejected = job(1);
    let key = progress_row_key(&rejected);
    let rejections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&rejections);
    platform.transact = operation(move |transaction: RowTransaction| {
        let is_too_large = |(row, value): &(RowKey, Option<Vec<u8>>)| {
            *row == key && value.as_ref().is_some_and(|value| value.len() > 400)
        };
        let is_rejected = transaction.writes.iter().any(is_too_large);
        count.fetch_add(usize::from(is_rejected), Ordering::Relaxed);
        let result = (!is_rejected).then(|| transact(transaction));
        async move {
            match result {
                Some(result) => result.await,
                None => RejectedSnafu { reason: "a row is too large" }.fail(),
            }
        }
    });
    let clock = Arc::clone(&world);
    let settings = FleetSettings::local("a", "dc");
    let process = start(settings, platform, Arc::new(move || clock.now_ms()), unreachable_peers());
    sleep(Duration::from_secs(3)).await;
    let fleet = &process.fleet;
    submit_spec(&world, fleet, &rejected, many_tasks(60, 2_000)).await.expect("accepted");
    for number in 2..40 {
        submit(&world, fleet, &job(number)).await.expect("accepted");
    }
    sleep(Duration::from_secs(8)).await;
    let failed = status(fleet, &rejected).await.expect("a status");
    assert_eq!(failed.phase, JobPhase::Failed);
    assert_eq!(
        &*failed.reason.expect("a reason"),
        "its progress can't be stored: a row is too large"
    );
    for number in 2..40 {
        assert_eq!(phase(fleet, &job(number)).await, Ok(JobPhase::Completed), "job {number}");
    }
    let rejections = rejections.load(Ordering::Relaxed);
    // A batch of 96 jobs is halved seven times, twice for the same job.
    assert!(rejections <= 14, "{rejections} rejected batches");
}

/// Guards against jobs that fail one after the other because of a fault of the store.
#[test]
fn no_job_fails_while_the_store_rejects_all_rows() {
    let mut board = board_of(5, &many_tasks(2, 1_000));
    board.place(1);
    for round in 0..40 {
        let batch = board.take_batch(1);
        assert!(!batch.writes.is_empty(), "round {round}");
        board.batch_rejected(batch, "malformed", 1);
    }
    assert!(board.jobs.values().all(|job| !job.phase.is_final()));
    store_all(&mut board, 1);
    assert_eq!(board.take_orders().len(), 10, "all tasks are started once it takes them");
}

#[tokio::test(start_paused = true)]
async fn job_of_endless_occurrences_is_refused() {
    let world = World::new(2, "p");
    let processes = start_settled(&world, &["a"]).await;
    let spec = JobSpec { repeat: u32::MAX, first_due_wall_ms: 1, ..two_step_spec() };
    let refused = submit_spec(&world, &processes[0].fleet, &job(1), spec).await;
    assert_eq!(refused, Err(ErrorKind::BadRequest));
    submit(&world, &processes[0].fleet, &job(2)).await.expect("accepted");
    sleep(Duration::from_secs(8)).await;
    assert_eq!(phase(&processes[0].fleet, &job(2)).await, Ok(JobPhase::Completed));
}
