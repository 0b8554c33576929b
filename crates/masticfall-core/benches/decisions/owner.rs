//! Cost of a cell's owner by jobs, tasks and workers, with a peak that waits.
//!
//! The times are reported only. What must hold is how the work grows: the workers that a search
//! looks at, for each task that a pass places.

use std::time::{Duration, Instant};

use masticfall_core::fleet::board::{Board, BoardTimings, Notice, Now, Order};
use masticfall_core::fleet::config::{
    AccountConfig, FleetConfig, PoolConfig, QueueConfig, RequestBounds,
};
use masticfall_core::fleet::report::{ActiveRun, EndedRun, RunEnd, StartOutcome, WorkerReport};
use masticfall_core::fleet::spec::{JobRecord, JobSpec, Resources, StepSpec};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::prelude::*;

use crate::Bound;

/// Tasks of a job.
const TASKS: u32 = 8;

/// Returns the needs of a job's tasks: on average seven of them fit on a worker. Jobs differ in
/// both resources, so that one that doesn't fit says little about the others.
fn needs(number: usize) -> Resources {
    let cpu_millis = 4_900 + (number as u64 * 37 % 81) * 100;
    let memory_mib = 8_000 + (number as u64 * 53 % 61) * 500;
    Resources { cpu_millis, memory_mib, accelerators: 0 }
}

const WORKER: Resources = Resources { cpu_millis: 64_000, memory_mib: 262_144, accelerators: 0 };

const POOLS: usize = 5;

fn pool_name(number: usize) -> PoolName {
    PoolName::from(format!("pool-{}", number % POOLS))
}

fn now(steady_ms: u64) -> Now {
    Now { steady_ms, wall_ms: 1_000_000 + steady_ms }
}

fn config() -> FleetConfig {
    let queue = QueueConfig {
        name: "previews".into(),
        host: "host".into(),
        prefix: "/previews/".into(),
        pool: pool_name(0),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_ms: 600,
        is_open: false,
        advice: None,
    };
    let pool = PoolConfig { checks_capacity: true, is_standby: false };
    let account = AccountConfig { weight: 1.0, limit: Resources::default() };
    FleetConfig {
        version: 1,
        queues: IndexMap::from([(QueueName::from("previews"), queue)]),
        pools: (0..POOLS).map(|number| (pool_name(number), pool.clone())).collect(),
        accounts: IndexMap::from([(AccountName::from("account"), account)]),
        keys: IndexMap::new(),
        bounds: RequestBounds { max_header_bytes: 9_000, max_body_bytes: 9_000 },
    }
}

fn job(number: usize) -> JobRecord {
    let step =
        StepSpec { tasks: TASKS, needs: needs(number), estimate_ms: 640, ..StepSpec::default() };
    let spec = JobSpec {
        payload: "payload".into(),
        steps: vec![step],
        repeat: 0,
        first_due_wall_ms: 0,
        interval_ms: 0,
    };
    let (queue, account) = ("previews".into(), Some("account".into()));
    JobRecord { queue, account, spec, accepted_wall_ms: 1_000_000 }
}

fn report(clock_ms: u64, running: Vec<ActiveRun>, ended: Vec<EndedRun>) -> WorkerReport {
    WorkerReport { clock_ms, born_wall_ms: 5, running, ended }
}

fn board_with(workers: usize) -> Board {
    let timings = BoardTimings {
        lease_ms: 6_000,
        max_lease_ms: 6_000,
        stop_grace_ms: 400,
        takeover_overlap_ms: 0,
    };
    let mut board = Board::new(1, timings, 1_000);
    board.set_config(config().into());
    for number in 0..workers {
        let id = WorkerId::from(format!("i-{number:010x}"));
        board.list_worker(WorkerFacts {
            id: id.clone(),
            address: ([127, 0, 0, 1], 9).into(),
            pool: pool_name(number),
            data_centre: "dc".into(),
            labels: vec!["kind".into(), format!("rack-{}", number / 8).into()],
            capacity: WORKER,
            is_draining: false,
            born_wall_ms: 5,
        });
        board.poll(&id, 1_000);
        board.report(&id, 1_000, report(60_000, Vec::new(), Vec::new()), 1_001);
    }
    board
}

/// Mean times of the parts of the owner's work.
#[derive(Debug, Default)]
struct Costs {
    accept: Duration,
    /// A pass that finds a full pool and places nothing.
    idle_pass: Duration,
    pass: Duration,
    store: Duration,
    /// A report with the ends of all runs of a worker.
    report: Duration,
    placed: usize,
    evaluated: u64,
}

fn measure(workers: usize, jobs: usize) -> Costs {
    let mut costs = Costs::default();
    let mut board = board_with(workers);
    let begun = Instant::now();
    for number in 0..jobs {
        board.accept(&JobId::from(format!("{number:016x}")), job(number), now(1_100));
    }
    costs.accept = begun.elapsed();
    let begun = Instant::now();
    board.place(1_200);
    costs.pass = begun.elapsed();
    costs.placed = board.take_notices().iter().map(Notice::placed_tasks).sum();
    costs.evaluated = board.evaluated_candidates();
    let begun = Instant::now();
    loop {
        let batch = board.take_batch(1_001_200);
        if batch.writes.is_empty() {
            break;
        }
        board.batch_stored(batch, 1_250);
    }
    costs.store = begun.elapsed();
    let mut running: IndexMap<WorkerId, Vec<ActiveRun>> = IndexMap::new();
    for order in board.take_orders() {
        let Order::Start(start) = order else { continue };
        let started = StartOutcome::Started;
        board.start_result(&start.worker, &start.task, start.attempt, started, 1_300);
        let run = ActiveRun {
            task: start.task,
            attempt: start.attempt,
            checkpoint: None,
            percent: 0,
            load: 0,
        };
        running.entry(start.worker).or_default().push(run);
    }
    // As each tenth of a second, when time has gone on.
    board.advance(now(1_400));
    let begun = Instant::now();
    board.place(1_400);
    costs.idle_pass = begun.elapsed();
    let begun = Instant::now();
    for (id, runs) in &running {
        let ended = runs.iter().enumerate().map(|(index, run)| EndedRun {
            number: index as u64 + 1,
            task: run.task.clone(),
            attempt: run.attempt,
            end: RunEnd::Done,
            checkpoint: None,
        });
        board.poll(id, 1_900);
        board.report(id, 1_900, report(60_900, Vec::new(), ended.collect()), 1_901);
    }
    costs.report = begun.elapsed();
    costs
}

fn per(total: Duration, count: usize) -> f64 {
    total.as_secs_f64() * 1e6 / count.max(1) as f64
}

pub fn run() -> Vec<Bound> {
    println!("\nowner of a cell: jobs of {TASKS} tasks that wait for one of {POOLS} pools");
    println!(
        "{:>7} {:>6} {:>7} {:>13} {:>14} {:>12} {:>11} {:>13} {:>13} {:>14}",
        "workers",
        "jobs",
        "placed",
        "accept us/job",
        "pass us/task",
        "longest ms",
        "idle ms",
        "store us/task",
        "end us/task",
        "workers/task",
    );
    let mut bounds = Vec::new();
    for (workers, jobs) in [(275, 300), (550, 300), (1_100, 300), (1_100, 1_200), (1_800, 1_200)] {
        let costs = measure(workers, jobs);
        let placed = costs.placed;
        let evaluated = costs.evaluated as f64 / placed.max(1) as f64;
        println!(
            "{workers:>7} {jobs:>6} {placed:>7} {:>13.2} {:>14.2} {:>12.2} {:>11.2} {:>13.2} {:>13.2} {evaluated:>14.1}",
            per(costs.accept, jobs),
            per(costs.pass, placed),
            costs.pass.as_secs_f64() * 1e3,
            costs.idle_pass.as_secs_f64() * 1e3,
            per(costs.store, placed),
            per(costs.report, placed),
        );
        if workers == 1_800 {
            // Two searches of the pool a job: its eight tasks fill one worker and begin another.
            let limit = 2.0 * (workers / POOLS) as f64 / f64::from(TASKS);
            bounds.push(Bound::at_most("owner: workers evaluated for a task", evaluated, limit));
        }
    }
    bounds
}
