//! Entries of another writer among those of the workers.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use masticfall_adapter::ServiceAddresses;
use masticfall_adapter::link::HttpClient;
use masticfall_adapter_serve::client::{Client, SubmitOutcome};
use masticfall_adapter_serve::{ModelServer, write_config, write_worker_row};
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::spec::{JobSpec, Resources, StepSpec};
use masticfall_core::id::JobId;
use masticfall_platform::serve::{ServePhase, bind, serve};
use masticfall_soak::process::Process;
use masticfall_standin::fleet::World;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::sleep;

/// Workers that the store lists when the process starts, and those that join later.
const WORKERS: usize = 3;
const FIRST_WORKERS: usize = 2;

/// Resources of each worker.
const CAPACITY: Resources = Resources { cpu_millis: 8_000, memory_mib: 64_000, accelerators: 0 };

/// Depth of a nested value, about the most that a row has room for.
const DEPTH: usize = 10_000;

fn nested(open: &str, close: &str) -> String {
    format!("{}1{}", open.repeat(DEPTH), close.repeat(DEPTH))
}

/// Returns an entry that is valid but for one field.
fn entry_with(field: &str, value: &str) -> Vec<u8> {
    let mut entry = json!({
        "service": "p", "address": "127.0.0.1:9", "zone": "dc", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1,
        "capacity": { "cpu": 8_000, "mem_mb": 64_000, "gpu": 0 }, "labels": ["kind", "r0"],
    });
    // Inserted as text, since some values are not valid JSON.
    entry[field] = json!("VALUE");
    entry.to_string().replace("\"VALUE\"", value).into_bytes()
}

/// Returns odd entries of all kinds, by the keys of their rows.
fn odd_entries() -> Vec<(String, Vec<u8>)> {
    let capacity = |cpu: &str| format!("{{\"cpu\":{cpu},\"mem_mb\":{cpu},\"gpu\":{cpu}}}");
    let entries = [
        ("arrays", nested("[", "]").into_bytes()),
        ("objects", nested("{\"a\":", "}").into_bytes()),
        ("unclosed", "[".repeat(DEPTH).into_bytes()),
        ("nested-unknown", entry_with("remark", &nested("[", "]"))),
        ("nested-ignored", entry_with("seq", &nested("{\"a\":", "}"))),
        ("nested-labels", entry_with("labels", &nested("[", "]"))),
        ("nested-capacity", entry_with("capacity", &nested("{\"cpu\":", "}"))),
        ("float-too-large", entry_with("capacity", &capacity("1e400"))),
        ("ignored-too-large", entry_with("seq", "1e400")),
        ("integer-too-large", entry_with("capacity", &capacity("99999999999999999999999999"))),
        ("largest-integer", entry_with("capacity", &capacity("18446744073709551615"))),
        ("half-of-it", entry_with("capacity", &capacity("9223372036854775808"))),
        ("huge-but-little", entry_with("capacity", "{\"cpu\":18446744073709551615,\"mem_mb\":1}")),
        ("large-but-little", entry_with("capacity", "{\"cpu\":900000000,\"mem_mb\":1}")),
        ("negative", entry_with("capacity", &capacity("-1"))),
        ("born-too-large", entry_with("born", "1e30")),
        ("born-largest", entry_with("born", "18446744073709551615")),
        ("many-digits", entry_with("born", &"9".repeat(DEPTH))),
        ("port-too-large", entry_with("address", "\"127.0.0.1:99999\"")),
        ("port-negative", entry_with("address", "\"127.0.0.1:-1\"")),
        ("port-zero", entry_with("address", "\"127.0.0.1:0\"")),
        ("port-missing", entry_with("address", "\"127.0.0.1\"")),
        ("port-a-number", entry_with("address", "70000")),
        ("state", entry_with("state", "\"asleep\"")),
        ("no-object", b"null".to_vec()),
        ("empty", Vec::new()),
        ("no-text", vec![0xff, 0xfe, 0x00, 0x80]),
        ("key with spaces\r\nand \u{e9}", entry_with("remark", "1")),
    ];
    entries.map(|(key, value)| (format!("odd-{key}"), value)).to_vec()
}

struct Testbed {
    world: Arc<World>,
    process: Process,
    http_client: HttpClient,
    phase: watch::Sender<ServePhase>,
}

impl Testbed {
    /// Starts the store and the workers, of which only the first ones are listed.
    async fn start(folder: &Path) -> io::Result<Self> {
        let world = World::new(WORKERS, "p");
        let (phase, phase_receiver) = watch::channel(ServePhase::Open);
        let listener = bind(([127, 0, 0, 1], 0).into()).await?;
        let store = listener.local_addr()?;
        drop(serve(listener, ModelServer::store(&world), phase_receiver.clone()));
        write_config(&world, 1, "127.0.0.1", &["key"]).await.map_err(io::Error::other)?;
        let program = Path::new(env!("CARGO_BIN_EXE_masticfalld"));
        let services = ServiceAddresses { store, machines: store, advice: None };
        let process = Process::new(program, folder, "p0", services, WORKERS, 6_000)?;
        let http_client = HttpClient::default();
        let testbed = Self { world, process, http_client, phase };
        testbed.list_workers(0..FIRST_WORKERS).await?;
        Ok(testbed)
    }

    async fn list_workers(&self, range: std::ops::Range<usize>) -> io::Result<()> {
        for facts in &self.world.worker_facts()[range] {
            let listener = bind(([127, 0, 0, 1], 0).into()).await?;
            let address = listener.local_addr()?;
            let server = ModelServer::worker(&self.world, facts.id.clone());
            drop(serve(listener, server, self.phase.subscribe()));
            write_worker_row(&self.world, facts, Some(address)).await.map_err(io::Error::other)?;
        }
        Ok(())
    }

    fn write_odd_entries(&self, prefix: &str) {
        for (key, value) in odd_entries() {
            self.world.write_operators_row("servers", &format!("{prefix}{key}"), Some(value));
        }
    }

    fn client(&self) -> Client<'_> {
        Client { http_client: &self.http_client, key: "key", timeout_ms: 3_000 }
    }

    /// Waits until the owner has reported its load, by which jobs are refused.
    async fn wait_for_load(&self) {
        sleep(Duration::from_millis(2_500)).await;
    }

    /// Submits a job with a task for each of some workers that needs all of it; returns
    /// whether they run at the same time and the job completes.
    async fn runs_on(&self, workers: usize, id: &JobId) -> bool {
        let tasks = workers as u32;
        let step = StepSpec { tasks, needs: CAPACITY, estimate_ms: 1_500, ..StepSpec::default() };
        let spec = JobSpec {
            payload: "payload".into(),
            steps: vec![step],
            repeat: 0,
            first_due_wall_ms: 0,
            interval_ms: 0,
        };
        self.world.register_job(id, &spec);
        for _ in 0..100 {
            let submitted = self.client().submit(self.process.callers, id, &spec).await;
            if submitted == SubmitOutcome::Accepted {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        for _ in 0..100 {
            sleep(Duration::from_millis(100)).await;
            let phase = self.client().phase(self.process.callers, id).await;
            if phase == Some(Some(JobPhase::Completed)) {
                let record = self.world.record();
                let runs = record.iter().filter(|run| run.task.job == *id);
                let started: Vec<u64> = runs.map(|run| run.started_ms).collect();
                let spread_ms = started.iter().max().zip(started.iter().min());
                return started.len() == workers
                    && spread_ms.is_some_and(|(last, first)| last - first < 1_500);
            }
        }
        false
    }
}

/// Guards against processes that end, or stop following the workers, because of one entry that
/// can't be read: by the list at the start, then by the feed.
#[tokio::test]
async fn odd_entries_leave_the_workers_in_use() {
    let folder = std::env::temp_dir().join(format!("masticfall-odd-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut testbed = Testbed::start(&folder).await.unwrap();
    testbed.write_odd_entries("a-");
    testbed.write_odd_entries("z-");
    testbed.process.start().unwrap();
    testbed.wait_for_load().await;
    assert!(testbed.runs_on(FIRST_WORKERS, &JobId::from("00000000000000a1")).await, "by the list");
    testbed.write_odd_entries("c-");
    testbed.list_workers(FIRST_WORKERS..WORKERS).await.unwrap();
    testbed.write_odd_entries("y-");
    testbed.wait_for_load().await;
    assert!(testbed.runs_on(WORKERS, &JobId::from("00000000000000a2")).await, "by the feed");
    assert!(testbed.process.is_running(), "the process has ended");
    assert!(!testbed.process.has_panicked(), "a part of it has panicked");
    std::fs::remove_dir_all(&folder).unwrap();
}
