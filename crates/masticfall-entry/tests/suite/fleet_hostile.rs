//! Jobs that would stop one owner after the other.

use std::time::Duration;

use masticfall_core::error::ErrorKind;
use masticfall_core::fleet::board::{BatchWrite, Board, BoardTimings, Now, Order};
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::report::{StartOutcome, WorkerReport};
use masticfall_core::fleet::spec::{JobRecord, JobSpec, Resources, StepSpec};
use masticfall_standin::fleet::World;
use masticfall_wire::encode;
use rstest::rstest;
use tokio::time::sleep;

use crate::fleet_world::{
    config, job, launch, phase, start_settled, submit, submit_spec, two_step_spec,
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
