//! A fleet of real entry processes on the stand-in platform.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use http::Method;
use masticfall::client::ApiClient;
use masticfall::trial::{Backends, DATA_CENTRES, PEER_SECRET, RED_KEY, fleet_config};
use masticfall_platform::serve::{ServePhase, bind, serve};
use masticfall_standin::server::PlatformServer;
use tokio::sync::watch;

/// Maximum time for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// An entry process, killed when dropped.
#[derive(Debug)]
pub struct EntryProcess {
    /// Handle of the process.
    pub child: Child,
    /// Address of its HTTP port.
    pub http: String,
    settings: PathBuf,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_file(&self.settings));
    }
}

impl EntryProcess {
    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status().unwrap();
        assert!(status.success());
    }

    /// Waits for the process to exit and returns its exit code.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        for _ in 0..2_000 {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the process did not exit");
    }
}

/// Entry processes with the platform, targets and workers that they use.
#[derive(Debug)]
pub struct Fleet {
    /// Entry processes, one per data centre.
    pub entries: Vec<EntryProcess>,
    /// Platform, targets and workers.
    pub backends: Backends,
    /// Address of the platform.
    pub platform: SocketAddr,
    _phase: watch::Sender<ServePhase>,
}

/// Returns an unused loopback address.
///
/// The host is derived from a free port, so that the local end of an outgoing
/// connection, which is at 127.0.0.1, cannot take the address meanwhile. The
/// port stays bound at 127.0.0.1 until the tests end, so that no other test is
/// given the same address.
pub fn free_address() -> SocketAddr {
    let reserved = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = reserved.local_addr().unwrap().port();
    std::mem::forget(reserved);
    let [high, low] = port.to_be_bytes();
    SocketAddr::from(([127, high.max(1), low, 1], port))
}

/// Returns the text of a settings file.
pub fn settings_text(data_centre: &str, http: SocketAddr, platform: SocketAddr) -> String {
    let peer = free_address();
    format!(
        "[entry]\ndata_centre = {data_centre}\nhttp = {http}\npeer = {peer}\n\
         platform = {platform}\npeer_secret = {PEER_SECRET}\nleave_delay_ms = 300\n\
         max_body_bytes = 1048576\n"
    )
}

/// Writes a settings file and returns its path.
pub fn write_settings(text: &str) -> PathBuf {
    let name = format!("masticfalld-{}-{}.ini", std::process::id(), free_address().port());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Returns a command that runs the entry process.
pub fn masticfalld(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_masticfalld"));
    command.arg("--settings").arg(settings).stdin(Stdio::null());
    command
}

impl Fleet {
    /// Starts the fleet with the trial configuration.
    pub async fn start() -> Self {
        Self::start_with(&fleet_config()).await
    }

    /// Starts the fleet with the given configuration.
    pub async fn start_with(text: &str) -> Self {
        let backends = Backends::start().await.unwrap();
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let platform = listener.local_addr().unwrap();
        let (phase, phase_receiver) = watch::channel(ServePhase::Open);
        drop(serve(listener, PlatformServer::new(&backends.cloud), phase_receiver));
        let mut fleet = Self { entries: Vec::new(), backends, platform, _phase: phase };
        for data_centre in DATA_CENTRES {
            let entry = fleet.spawn(data_centre);
            fleet.entries.push(entry);
        }
        fleet.apply_initial_config(text).await;
        for index in 0..fleet.entries.len() {
            fleet.wait_ready(index).await;
        }
        fleet
    }

    /// Starts an additional entry process.
    pub fn spawn(&self, data_centre: &str) -> EntryProcess {
        let http = free_address();
        let settings = write_settings(&settings_text(data_centre, http, self.platform));
        let mut command = masticfalld(&settings);
        let child = command.stderr(Stdio::null()).spawn().unwrap();
        EntryProcess { child, http: http.to_string(), settings }
    }

    async fn apply_initial_config(&mut self, text: &str) {
        let client = ApiClient::new(&self.entries[0].http, PEER_SECRET);
        for _ in 0..1_000 {
            let exited = self.entries[0].child.try_wait().unwrap();
            assert!(exited.is_none(), "the entry process exited: {exited:?}");
            let headers = [("if-match", "0")];
            let sent = client.send(Method::PUT, "/admin/v1/config", &headers, text.to_string());
            if let Ok(answer) = sent.await {
                answer.error_for_status().unwrap();
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the entry process did not start");
    }

    /// Returns a client of an entry process that uses team red's key.
    pub fn red_client(&self, index: usize) -> ApiClient {
        ApiClient::new(&self.entries[index].http, RED_KEY)
    }

    /// Waits until an entry process answers requests successfully.
    pub async fn wait_ready(&self, index: usize) {
        let client = self.red_client(index);
        let path = "/v1/queues/preview/requests/ok";
        let ready = async {
            loop {
                let sent = client.send(Method::GET, path, &[], "").await;
                if sent.is_ok_and(|answer| answer.status.is_success()) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .expect("the entry process answers requests");
    }

    /// Returns how often a request ran, as recorded by the targets.
    pub fn run_count(&self, request_id: &str) -> u32 {
        let records = self.backends.targets.iter().map(|(_, target)| target.record.lock());
        records.map(|record| record.runs.get(request_id).copied().unwrap_or_default()).sum()
    }
}

/// Reads everything that a process wrote to standard error.
pub fn stderr_of(child: &mut Child) -> String {
    let mut text = String::new();
    child.stderr.take().unwrap().read_to_string(&mut text).unwrap();
    text
}
