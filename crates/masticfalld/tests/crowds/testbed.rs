//! A process of its own for each test, with the instance that it believes to run on.

use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use masticfall_adapter::ServiceAddresses;
use masticfall_adapter::link::HttpClient;
use masticfall_adapter_serve::client::{Client, SubmitOutcome};
use masticfall_adapter_serve::{ModelServer, write_worker_row};
use masticfall_core::fleet::spec::{JobSpec, Resources, StepSpec};
use masticfall_core::id::JobId;
use masticfall_platform::serve::{ServePhase, bind, serve};
use masticfall_soak::process::Process;
use masticfall_standin::fleet::World;
use rustix::process::Signal;
use serde_json::json;
use tokio::sync::{Mutex, MutexGuard, watch};
use tokio::time::{sleep, timeout};

/// API key of the callers.
pub const KEY: &str = "key";

/// Maximum size of a request body by the configuration, in bytes.
pub const MAX_BODY_BYTES: usize = 262_144;

/// Maximum size of a request's headers by the configuration, in bytes.
pub const MAX_HEADER_BYTES: usize = 16_384;

/// Descriptors of an instance that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

const WORKERS: usize = 2;

/// Time after which a process counts as hung.
pub const HANG: Duration = Duration::from_mins(2);

/// Number of consecutive looks at which nothing may be left to read.
const IDLE_LOOKS: usize = 5;

/// Held by the running test.
pub static ALONE: Mutex<()> = Mutex::const_new(());

/// The instance that the process runs on.
#[derive(Debug, Clone, Copy)]
pub struct Instance {
    /// Its memory, in MiB.
    pub memory_mib: usize,
    /// Its descriptors.
    pub descriptors: usize,
}

/// A process with a store and workers, which ends with the test.
pub struct Testbed {
    pub world: Arc<World>,
    pub callers: SocketAddr,
    instance: Instance,
    process: Process,
    folder: PathBuf,
    next_job: u32,
    _phase: watch::Sender<ServePhase>,
    _alone: MutexGuard<'static, ()>,
}

impl Drop for Testbed {
    fn drop(&mut self) {
        // What remains in the folder of temporary files does no harm.
        drop(fs::remove_dir_all(&self.folder));
    }
}

fn config(version: u64, max_header_bytes: usize, max_body_bytes: usize) -> Vec<u8> {
    json!({
        "version": version,
        "routes": [{
            "name": "q", "host": "127.0.0.1", "prefix": "/q/", "service": "p",
            "attempts": 3, "stretch": 1.6, "target_duration_ms": 600,
        }],
        "services": [{ "name": "p", "admission_check": true }],
        "tenants": [{ "name": "a", "api_keys": [KEY], "weight": 1.0 }],
        "limits": { "max_header_bytes": max_header_bytes, "max_body_bytes": max_body_bytes },
    })
    .to_string()
    .into_bytes()
}

/// Writes a script that starts the process with a limit on its descriptors.
fn write_launcher(folder: &Path, descriptors: usize) -> PathBuf {
    let path = folder.join("launch.sh");
    let program = env!("CARGO_BIN_EXE_masticfalld");
    let script = format!("#!/bin/sh\nulimit -n {descriptors} && exec '{program}' \"$@\"\n");
    fs::write(&path, script).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
    path
}

impl Testbed {
    /// Starts a process once no other test runs, and waits until it serves callers.
    pub async fn start(instance: Instance) -> Self {
        let alone = ALONE.lock().await;
        let name = format!("masticfall-crowd-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        let world = World::new(WORKERS, "p");
        let (phase, phase_receiver) = watch::channel(ServePhase::Open);
        let listener = bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let store = listener.local_addr().unwrap();
        drop(serve(listener, ModelServer::store(&world), phase_receiver));
        let first_config = config(1, MAX_HEADER_BYTES, MAX_BODY_BYTES);
        world.write_operators_row("op", "config", Some(first_config));
        for facts in &world.worker_facts() {
            let listener = bind(([127, 0, 0, 1], 0).into()).await.unwrap();
            let address = listener.local_addr().unwrap();
            let server = ModelServer::worker(&world, facts.id.clone());
            drop(serve(listener, server, phase.subscribe()));
            write_worker_row(&world, facts, Some(address)).await.unwrap();
        }
        let launcher = write_launcher(&folder, instance.descriptors);
        let services = ServiceAddresses { store, machines: store, advice: None };
        let process = Process::new(&launcher, &folder, "p0", services, WORKERS, 6_000).unwrap();
        let settings = folder.join("p0.ini");
        let mut text = fs::read_to_string(&settings).unwrap();
        text += "memory_mib = ";
        text += &instance.memory_mib.to_string();
        fs::write(&settings, text).unwrap();
        let mut testbed = Self {
            world,
            callers: process.callers,
            instance,
            process,
            folder,
            next_job: 0,
            _phase: phase,
            _alone: alone,
        };
        testbed.process.start().unwrap();
        testbed.assert_serves("in calm").await;
        testbed
    }

    /// Returns the identifier of a job that no test has submitted yet, and registers it with the
    /// model.
    pub fn new_job(&mut self) -> JobId {
        self.next_job += 1;
        let id = JobId::from(format!("{:016x}", self.next_job).as_str());
        self.world.register_job(&id, &small_job());
        id
    }

    /// Raises the limits of a request by a configuration.
    pub fn raise_limits(&self, max_header_bytes: usize, max_body_bytes: usize) {
        let config = config(2, max_header_bytes, max_body_bytes);
        self.world.write_operators_row("op", "config", Some(config));
    }

    /// Checks that the process lives and that an ordinary caller, on a connection of its own, has
    /// its job accepted.
    pub async fn assert_serves(&mut self, when: &str) {
        let job = self.new_job();
        let accepted = timeout(HANG, async {
            loop {
                assert!(self.process.is_running(), "the process has ended {when}");
                let http_client = HttpClient::default();
                let client = Client { http_client: &http_client, key: KEY, timeout_ms: 3_000 };
                let outcome = client.submit(self.callers, &job, &small_job()).await;
                if outcome == SubmitOutcome::Accepted {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        });
        assert!(accepted.await.is_ok(), "no ordinary caller is answered {when}");
        assert!(!self.process.has_panicked(), "a part of the process has panicked {when}");
    }

    /// Checks that memory and descriptors of the process have stayed within its instance's.
    pub fn assert_within_instance(&mut self) {
        let is_running = self.process.is_running();
        assert!(is_running, "the process has ended");
        let id = self.process.id().unwrap();
        let peak_kib = peak_memory_kib(id);
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
        println!("peak of {peak_kib} KiB, {descriptors} descriptors");
        let Instance { memory_mib, .. } = self.instance;
        assert!(
            peak_kib <= memory_mib * 1_024,
            "{peak_kib} KiB on an instance of {memory_mib} MiB"
        );
        let sockets = self.instance.descriptors - FILE_DESCRIPTORS;
        assert!(descriptors <= sockets, "{descriptors} descriptors of {sockets} for sockets");
    }

    /// Stops the process, and returns what it logs at its end.
    pub async fn stop(&mut self) -> String {
        self.process.signal(Signal::TERM);
        let ended = timeout(HANG, async {
            while self.process.is_running() {
                sleep(Duration::from_millis(100)).await;
            }
        });
        assert!(ended.await.is_ok(), "the process doesn't stop");
        let log = fs::read_to_string(self.folder.join("p0.log")).unwrap();
        log.lines().rfind(|line| line.contains("\"stops\"")).unwrap().to_string()
    }

    /// Checks all that has to hold beside a crowd and after it.
    pub async fn assert_holds_against(&mut self, crowd: crate::crowd::Crowd) {
        crowd.wait_until_sent().await;
        wait_until_read(self.callers).await;
        self.assert_within_instance();
        self.assert_serves("beside the crowd").await;
        self.assert_within_instance();
        drop(crowd);
        self.assert_serves("after the crowd").await;
        self.assert_within_instance();
    }
}

/// Returns the peak of the memory of a process, in KiB.
pub fn peak_memory_kib(process_id: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Waits until the process at an address has read all that its clients have sent.
pub async fn wait_until_read(address: SocketAddr) {
    let read = timeout(HANG, async {
        let mut idle_looks = 0;
        while idle_looks < IDLE_LOOKS {
            sleep(Duration::from_millis(50)).await;
            idle_looks = if unread_bytes(address) == 0 { idle_looks + 1 } else { 0 };
        }
    });
    assert!(read.await.is_ok(), "the process leaves {} bytes unread", unread_bytes(address));
}

/// Returns a job that any worker has room for.
pub fn small_job() -> JobSpec {
    let needs = Resources { cpu_millis: 10, memory_mib: 10, accelerators: 0 };
    let step = StepSpec { tasks: 1, needs, estimate_ms: 50, ..StepSpec::default() };
    JobSpec {
        payload: "payload".into(),
        steps: vec![step],
        repeat: 0,
        first_due_wall_ms: 0,
        interval_ms: 0,
    }
}

/// Returns the bytes in the system's buffers between an address and its clients that have not
/// been read, on their way to the address.
fn unread_bytes(address: SocketAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X}", address.port());
    let queues = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, remote, state) = (fields.next()?, fields.next()?, fields.next()?);
        let (to_send, to_read) = fields.next()?.split_once(':')?;
        // Connections that one side has closed carry nothing to the process any more.
        if state != "01" {
            return None;
        }
        let queue = if local.ends_with(&port) {
            to_read
        } else if remote.ends_with(&port) {
            to_send
        } else {
            return None;
        };
        u64::from_str_radix(queue, 16).ok()
    });
    queues.sum()
}
