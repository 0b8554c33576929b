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

/// Longest wait for a process to serve.
const READY: Duration = Duration::from_secs(20);

/// An entry process.
#[derive(Debug)]
pub struct EntryProcess {
    /// The process.
    pub child: Child,
    /// Address of its HTTP port.
    pub http: String,
    settings: PathBuf,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // It may have ended already.
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

    /// Waits for the end and returns the exit code.
    pub async fn ended(&mut self) -> Option<i32> {
        for _ in 0..2_000 {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the process did not end");
    }
}

/// The fleet.
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

/// Returns a loopback address that nothing else uses.
///
/// Its host is made from a free port, so that the near end of a connection,
/// which is at 127.0.0.1, cannot take it meanwhile. The port stays bound there
/// to the end of the tests, so that no other test is given the same address.
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
    /// Starts the fleet with the configuration on trial.
    pub async fn start() -> Self {
        Self::start_with(&fleet_config()).await
    }

    /// Starts the fleet with a configuration.
    pub async fn start_with(text: &str) -> Self {
        let backends = Backends::start().await.unwrap();
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let platform = listener.local_addr().unwrap();
        let (phase, phase_seen) = watch::channel(ServePhase::Open);
        drop(serve(listener, PlatformServer::new(&backends.cloud), phase_seen));
        let mut fleet = Self { entries: Vec::new(), backends, platform, _phase: phase };
        for data_centre in DATA_CENTRES {
            let entry = fleet.spawn(data_centre);
            fleet.entries.push(entry);
        }
        fleet.apply_first(text).await;
        for index in 0..fleet.entries.len() {
            fleet.wait_ready(index).await;
        }
        fleet
    }

    /// Starts one more entry process.
    pub fn spawn(&self, data_centre: &str) -> EntryProcess {
        let http = free_address();
        let settings = write_settings(&settings_text(data_centre, http, self.platform));
        let mut command = masticfalld(&settings);
        let child = command.stderr(Stdio::null()).spawn().unwrap();
        EntryProcess { child, http: http.to_string(), settings }
    }

    async fn apply_first(&mut self, text: &str) {
        let client = ApiClient::new(&self.entries[0].http, PEER_SECRET);
        for _ in 0..1_000 {
            let ended = self.entries[0].child.try_wait().unwrap();
            assert!(ended.is_none(), "the entry process ended: {ended:?}");
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

    /// Returns a client of an entry process with team red's key.
    pub fn red(&self, index: usize) -> ApiClient {
        ApiClient::new(&self.entries[index].http, RED_KEY)
    }

    /// Waits until an entry process answers requests.
    pub async fn wait_ready(&self, index: usize) {
        let client = self.red(index);
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
        tokio::time::timeout(READY, ready).await.expect("the entry process serves");
    }

    /// Returns how often a request ran on any target, by the targets' own record.
    pub fn runs(&self, request_id: &str) -> u32 {
        let records = self.backends.targets.iter().map(|(_, target)| target.record.lock());
        records.map(|record| record.runs.get(request_id).copied().unwrap_or_default()).sum()
    }
}

/// Reads all that a process printed to standard error.
pub fn stderr_of(child: &mut Child) -> String {
    let mut text = String::new();
    child.stderr.take().unwrap().read_to_string(&mut text).unwrap();
    text
}
