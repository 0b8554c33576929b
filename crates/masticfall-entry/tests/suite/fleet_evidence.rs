//! Log lines from which the cause of two runs of a task can be told.

use std::io::Write;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use masticfall_core::fleet::spec::{JobSpec, Resources, StepSpec};
use masticfall_entry::fleet::RunningFleet;
use masticfall_standin::fleet::{StoreMode, World};
use parking_lot::Mutex;
use serde_json::Value;
use tokio::time::sleep;
use tracing::Dispatch;
use tracing::subscriber::{DefaultGuard, NoSubscriber};

use crate::fleet_world::{WORKERS, is_owner, job, start_settled, submit_spec};

/// A second subscriber beside that of a capture. With one alone, `tracing` asks the thread that
/// first comes to a line whether anybody wants it, and the threads of other tests want none.
static OTHER: LazyLock<Dispatch> = LazyLock::new(|| Dispatch::new(NoSubscriber::default()));

/// Captured log lines.
#[derive(Debug, Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Lines {
    /// Captures the lines of this thread until the guard is dropped.
    fn capture() -> (Self, DefaultGuard) {
        LazyLock::force(&OTHER);
        let lines = Self::default();
        let writer = lines.clone();
        let format = tracing_subscriber::fmt().json().flatten_event(true);
        let subscriber = format.with_writer(move || writer.clone()).finish();
        (lines, tracing::subscriber::set_default(subscriber))
    }

    /// Returns the lines with this message.
    fn with_message(&self, message: &str) -> Vec<Value> {
        let text = String::from_utf8(self.0.lock().clone()).expect("text");
        let lines = text.lines().map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
        lines.filter(|line| line["message"] == message).collect()
    }

    /// Returns the only line with this message whose field has this value.
    fn only(&self, message: &str, field: &str, value: impl Into<Value>) -> Value {
        let value = value.into();
        let mut lines = self.with_message(message);
        lines.retain(|line| line[field] == value);
        assert_eq!(lines.len(), 1, "{message} with {field} {value}: {lines:?}");
        lines.remove(0)
    }
}

const CLAIMED: &str = "the store confirmed the claim of the cell";
const STEPPED_DOWN: &str = "stepped down; no longer dispatching";
const EXPIRED: &str = "leases of an unresponsive worker expired";

/// Returns a job with a task for each worker that runs throughout a test.
fn long_spec() -> JobSpec {
    let step = StepSpec {
        tasks: WORKERS as u32,
        needs: Resources { cpu_millis: 8_000, memory_mib: 100, accelerators: 0 },
        estimate_ms: 60_000,
        ..StepSpec::default()
    };
    JobSpec {
        payload: "payload".into(),
        steps: vec![step],
        repeat: 0,
        first_due_wall_ms: 0,
        interval_ms: 0,
    }
}

/// Starts processes with a task on each worker; returns the owner last.
async fn busy_processes(world: &Arc<World>) -> Vec<RunningFleet> {
    let mut processes = start_settled(world, &["a", "b"]).await;
    processes.sort_by_key(is_owner);
    submit_spec(world, &processes[1].fleet, &job(1), long_spec()).await.expect("accepted");
    sleep(Duration::from_secs(1)).await;
    processes
}

/// Returns the run of a `tasks placed` line on a worker, as task and attempt.
fn placed_on(lines: &Lines, worker: &str) -> (String, u32) {
    let placed = lines.with_message("tasks placed");
    let runs = placed.iter().filter_map(|line| line["runs"].as_str());
    let run = runs.flat_map(|runs| runs.split(' ')).find_map(|run| {
        let run = run.strip_suffix(&format!("@{worker}"))?;
        let (task, attempt) = run.split_once(':')?;
        Some((format!("{}.{task}", job(1)), attempt.parse().ok()?))
    });
    run.expect("a run on the worker")
}

/// Guards against a second run whose cause can't be told: of a worker that the previous owner
/// announced before it was lost, the lines name the bound, its source and both owners.
#[tokio::test(start_paused = true)]
async fn lines_lead_from_a_task_to_the_announcement_that_ended_its_run() {
    let (lines, _guard) = Lines::capture();
    let world = World::new(WORKERS, "p");
    let mut processes = busy_processes(&world).await;
    let worker = world.worker_facts()[0].id.clone();
    let (task, attempt) = placed_on(&lines, worker.as_str());
    assert_eq!(attempt, 1);
    world.set_silent(0, true);
    sleep(Duration::from_secs(4)).await;
    let announced = lines.only("announces unresponsive workers to the next owner", "epoch", 1);
    let (name, left_ms) = announced["workers"]
        .as_str()
        .and_then(|w| w.split_once(':'))
        .expect("a worker with a time");
    assert_eq!(name, worker.as_str());
    assert!((2_000..6_300).contains(&left_ms.parse::<u64>().expect("a time")), "{left_ms}");
    processes.pop().expect("the owner").crash();
    sleep(Duration::from_secs(12)).await;
    assert!(is_owner(&processes[0]));

    let claimed = lines.only(CLAIMED, "epoch", 2);
    assert_eq!(claimed["predecessor_end"], "timed_out");
    assert_eq!(claimed["previous_epoch"], 1);
    assert_ne!(claimed["previous"], claimed["process"]);
    assert!(claimed["owner_silent_ms"].as_u64().is_some_and(|ms| ms >= 1_500), "{claimed}");
    let taken = lines.only("took over the cell; now dispatching", "epoch", 2);
    assert_eq!(taken["overlap_ms"], 4_500);
    assert_eq!(taken["fell_silent"], true);
    let found = lines.only("found an announcement of unresponsive workers", "epoch", 2);
    assert_eq!(found["announced_epoch"], 1);
    assert_eq!(found["is_applied"], true);
    let expired = lines.only(EXPIRED, "epoch", 2);
    assert_eq!(expired["worker"], worker.as_str());
    assert_eq!(expired["lost"], task);
    assert_eq!(expired["bound"], "announcement");
    assert_eq!(expired["announced_epoch"], 1);
    assert!(expired["announced_left_ms"].is_u64() && expired["since_answer_ms"].is_null());
    let ended = lines.only("run ended without completing its task", "task", task);
    assert_eq!(ended["cause"], "lease_expired");
    assert_eq!(ended["is_concluded"], true);
    let metrics = processes[0].fleet.metrics.encode().expect("encodes");
    for metric in
        ["expired_runs_total{bound=\"announcement\"} 1", "predecessors_total{end=\"timed_out\"} 1"]
    {
        assert!(metrics.contains(&format!("masticfall_{metric}\n")), "{metric}: {metrics}");
    }
}

#[tokio::test(start_paused = true)]
async fn line_of_a_claim_tells_a_released_cell() {
    let (lines, _guard) = Lines::capture();
    let world = World::new(WORKERS, "p");
    let mut processes = busy_processes(&world).await;
    processes.pop().expect("the owner").shut_down(|| {}).await;
    sleep(Duration::from_secs(2)).await;
    let claimed = lines.only(CLAIMED, "epoch", 2);
    assert_eq!(claimed["predecessor_end"], "released");
    assert_eq!(claimed["previous_epoch"], 1);
    assert!(claimed["previous"].is_null());
    let taken = lines.only("took over the cell; now dispatching", "epoch", 2);
    assert_eq!(taken["overlap_ms"], 0);
    let stepped_down = lines.only(STEPPED_DOWN, "epoch", 1);
    assert_eq!(stepped_down["open_polls"], WORKERS);
    assert!(stepped_down["unconfirmed_ms"].as_u64().is_some_and(|ms| ms < 1_000));
    let left_ms = stepped_down["leases_left_ms"].as_u64().expect("leases were given");
    assert!((3_000..6_300).contains(&left_ms), "{stepped_down}");
    let released = lines.only("released the cell", "epoch", 1);
    assert_eq!(released["process"], stepped_down["process"]);
}

/// Guards against an owner that gives leases without confirmation and leaves no trace of it.
#[tokio::test(start_paused = true)]
async fn step_down_tells_how_long_leases_were_given_without_confirmation() {
    let (lines, _guard) = Lines::capture();
    let world = World::new(WORKERS, "p");
    let processes = busy_processes(&world).await;
    world.set_store(StoreMode::Unavailable);
    sleep(Duration::from_secs(8)).await;
    assert!(!is_owner(&processes[1]));
    let stepped_down = lines.only(STEPPED_DOWN, "epoch", 1);
    assert_eq!(stepped_down["reason"], "the store has not confirmed the ownership");
    let ms = |field: &str| stepped_down[field].as_u64().expect("a time");
    assert!((6_000..6_200).contains(&ms("unconfirmed_ms")), "{stepped_down}");
    assert_eq!(ms("lease_unconfirmed_ms") + ms("since_lease_ms"), ms("unconfirmed_ms"));
    assert!(ms("lease_unconfirmed_ms") <= 6_100 && ms("oldest_poll_ms") < 2_300, "{stepped_down}");
    assert_eq!(stepped_down["open_starts"], 0);
    assert_eq!(stepped_down["runs"], "");
}
