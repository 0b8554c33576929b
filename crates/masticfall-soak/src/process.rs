//! Starts and signals the processes under test.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU16, Ordering};

use masticfall_adapter::ServiceAddresses;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

/// First port assigned to the processes under test.
const FIRST_PORT: u16 = 12_000;

/// Number of ports for the processes under test; the last one lies below the
/// system's ephemeral port range, which starts at 32,768.
const PORT_COUNT: u16 = 20_000;

/// An entry process under test, killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Process name.
    pub name: String,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Prepares a process that reaches the platform's services at `services`; settings and
    /// logs are written to `folder`. Beyond `max_direct_workers` the owner's calls go through
    /// relays. Workers hold leases of `max_lease_ms` at most.
    ///
    /// # Errors
    /// The system's error.
    pub fn new(
        program: &Path,
        folder: &Path,
        name: &str,
        services: ServiceAddresses,
        max_direct_workers: usize,
        max_lease_ms: u64,
    ) -> io::Result<Self> {
        let ServiceAddresses { store, machines, .. } = services;
        let callers = free_address()?;
        let (readiness, peers, metrics) = (free_address()?, free_address()?, free_address()?);
        let settings = folder.join(format!("{name}.ini"));
        let text = format!(
            "[fleet]\nname = {name}\ndata_centre = dc\ncallers = {callers}\n\
             readiness = {readiness}\npeers = {peers}\nmetrics = {metrics}\n\
             store = {store}\nmachines = {machines}\nworker_lease_ms = {max_lease_ms}\n\
             max_direct_workers = {max_direct_workers}\n"
        );
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let program = program.to_path_buf();
        Ok(Self { name: name.to_string(), callers, program, settings, log, child: None })
    }

    /// Starts the process unless it is running.
    ///
    /// # Errors
    /// The system's error.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns whether the process has not exited; it may be suspended.
    pub fn is_running(&mut self) -> bool {
        let is_running = matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)));
        if !is_running {
            self.child = None;
        }
        is_running
    }

    /// Returns the identifier of the process if it has been started and has not exited.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        if let Some(pid) = self.id().and_then(|id| Pid::from_raw(id as i32)) {
            // An error means that the process has just ended.
            let _result = kill_process(pid, signal);
        }
    }

    /// Returns whether the log contains a panic message.
    pub fn has_panicked(&self) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains("panicked at"))
    }
}

/// Creates an empty folder for a seed and returns its path.
///
/// # Errors
/// The system's error.
pub fn seed_folder(parent: &Path, seed: u64) -> io::Result<PathBuf> {
    let folder = parent.join(format!("seed-{seed}"));
    if folder.exists() {
        fs::remove_dir_all(&folder)?;
    }
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Returns a loopback address with an unused port.
///
/// Each port is assigned only once. It lies below the ephemeral port range, since
/// an outgoing connection could otherwise take it before the process starts.
fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    for _ in 0..PORT_COUNT {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(std::process::id() as u16) % PORT_COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}
