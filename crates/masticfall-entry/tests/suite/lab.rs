//! Test harness: a fleet whose processes can be frozen, partitioned, isolated and crashed.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use indexmap::{IndexMap, IndexSet};
use masticfall_core::config::read_fleet;
use masticfall_core::id::{DataCentre, InstanceName, Name, PoolName, QueueName, Revision};
use masticfall_core::instance::{InstanceFacts, InstanceKind, InstanceRow};
use masticfall_core::key::KeyHash;
use masticfall_entry::context::Addresses;
use masticfall_entry::dispatch::{Admitted, Call, admit};
use masticfall_entry::launch::background_tasks;
use masticfall_entry::ops::apply_config::{self, ApplyConfig};
use masticfall_entry::peers::{Dialer, deliver};
use masticfall_entry::refusal::Result;
use masticfall_entry::{Node, Settings};
use masticfall_standin::Cloud;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Maximum request deadline in the test configuration, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 2_000;

/// Duration of a platform operation, in milliseconds.
const PLATFORM_LATENCY_MS: u64 = 2;

/// Returns the API key of a team.
pub fn key_of(team: &str) -> String {
    format!("mf_{team}")
}

/// Returns a configuration with two data centres, one service and two teams.
pub fn fleet_text(red_limit: u32, blue_limit: u32) -> String {
    let red = KeyHash::of(&key_of("red"));
    let blue = KeyHash::of(&key_of("blue"));
    let (red, blue) = (red.to_hex(), blue.to_hex());
    format!(
        "[fleet]\nname = lab\nspare_pool = spare\nmax_deadline_ms = {MAX_DEADLINE_MS}\n\
         [data_centre a]\nnear = b\n[data_centre b]\nnear = a\n\
         [service web]\n[pool web]\nservice = web\nmin_available_percent = 50\n\
         [pool workers]\nmin_available_percent = 50\n[pool spare]\nmin_available_percent = 0\n\
         [queue web]\nservice = web\ndeadline_ms = {MAX_DEADLINE_MS}\n\
         [queue night]\nclass = long\npool = workers\n\
         [team red]\nlimit = {red_limit}\nshare = 3\n[team blue]\nlimit = {blue_limit}\nshare = 1\n\
         [key red-1]\nteam = red\nhash = {red}\n[key blue-1]\nteam = blue\nhash = {blue}\n"
    )
}

/// A future that is not polled while its process is frozen.
struct Freezable<F> {
    inner: Pin<Box<F>>,
    switch: Arc<FreezeSwitch>,
}

/// Whether the tasks of one process are frozen, and whom to wake when they thaw.
#[derive(Debug, Default)]
struct FreezeSwitch {
    frozen: AtomicBool,
    wakers: Mutex<Vec<Waker>>,
}

impl<F: Future> Future for Freezable<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        if self.switch.frozen.load(Ordering::Relaxed) {
            self.switch.wakers.lock().push(cx.waker().clone());
            return Poll::Pending;
        }
        self.inner.as_mut().poll(cx)
    }
}

/// One process of the fleet.
pub struct Process {
    /// Its context.
    pub node: Arc<Node>,
    switch: Arc<FreezeSwitch>,
    tasks: Vec<JoinHandle<()>>,
}

impl Process {
    /// Suspends all tasks at their current await points.
    pub fn freeze(&self) {
        self.switch.frozen.store(true, Ordering::Relaxed);
    }

    /// Resumes the tasks.
    pub fn thaw(&self) {
        self.switch.frozen.store(false, Ordering::Relaxed);
        for waker in self.switch.wakers.lock().drain(..) {
            waker.wake();
        }
    }

    /// Runs a future as part of the process, so that it freezes with the process.
    pub async fn run<F: Future>(&self, future: F) -> F::Output {
        Freezable { inner: Box::pin(future), switch: Arc::clone(&self.switch) }.await
    }
}

/// All processes by address, and which of them cannot reach each other.
#[derive(Debug, Default)]
struct Network {
    nodes: IndexMap<Name, (Arc<Node>, Arc<FreezeSwitch>)>,
    partitions: IndexSet<(DataCentre, DataCentre)>,
    isolated: IndexSet<Name>,
}

/// A fleet of processes on one stand-in platform.
pub struct Lab {
    /// The stand-in platform.
    pub cloud: Cloud,
    /// Processes by name.
    pub processes: IndexMap<String, Process>,
    network: Arc<Mutex<Network>>,
    started_processes: u32,
}

impl Lab {
    /// Starts a fleet with processes `(name, data centre)` and applies `text`.
    pub async fn start(seed: u64, processes: &[(&str, &str)], text: &str) -> Self {
        let cloud = Cloud::new(seed);
        // Without a latency, concurrent operations would never interleave.
        cloud.set_latency_ms(PLATFORM_LATENCY_MS);
        let network = Arc::default();
        let mut lab = Self { cloud, processes: IndexMap::new(), network, started_processes: 0 };
        for (name, data_centre) in processes {
            lab.add(name, data_centre);
        }
        sleep_ms(100).await;
        lab.apply(0, 0, text).await.unwrap();
        // Long enough for all members to be listed and for units to be claimed.
        sleep_ms(6_000).await;
        lab
    }

    /// Starts one more process.
    pub fn add(&mut self, name: &str, data_centre: &str) {
        self.started_processes += 1;
        let address = Name::from(format!("{name}-{}", self.started_processes));
        let data_centre = DataCentre::from(data_centre);
        let platform = self.cloud.platform(&data_centre);
        let addresses = Addresses { http: Name::clone(&address), peer: Name::clone(&address) };
        let node = Node::new(settings(&data_centre), addresses, platform, self.dialer());
        let switch = Arc::new(FreezeSwitch::default());
        let entry = (Arc::clone(&node), Arc::clone(&switch));
        self.network.lock().nodes.insert(address, entry);
        let freezable = background_tasks(&node)
            .into_iter()
            .map(|task| Freezable { inner: Box::pin(task), switch: Arc::clone(&switch) });
        let tasks = freezable.map(tokio::spawn).collect();
        self.processes.insert(name.to_string(), Process { node, switch, tasks });
    }

    fn dialer(&self) -> Dialer {
        let network = Arc::clone(&self.network);
        Arc::new(move |node, to, outbox| {
            tokio::spawn(deliver_messages(Arc::clone(&network), node, to, outbox));
        })
    }

    /// Returns a process's context.
    pub fn node(&self, name: &str) -> &Arc<Node> {
        &self.processes[name].node
    }

    /// Ends a process at once.
    pub fn crash(&mut self, name: &str) {
        let process = self.processes.shift_remove(name).unwrap();
        process.tasks.iter().for_each(JoinHandle::abort);
        let address = &process.node.addresses.peer;
        self.network.lock().nodes.shift_remove(address);
    }

    /// Restarts the processes whose lease row was reclaimed, as the platform does.
    pub async fn restart_draining(&mut self) {
        sleep_ms(2_000).await;
        let draining = self.processes.iter().filter(|(_, process)| {
            process.node.state().phase == masticfall_entry::state::Phase::Draining
        });
        let draining: Vec<(String, String)> = draining
            .map(|(name, process)| (name.clone(), process.node.data_centre().to_string()))
            .collect();
        for (name, data_centre) in draining {
            self.crash(&name);
            self.add(&name, &data_centre);
        }
        sleep_ms(1_000).await;
    }

    /// Partitions two data centres from each other, or reconnects them.
    pub fn set_partitioned(&self, a: &str, b: &str, is_partitioned: bool) {
        let (a, b) = (DataCentre::from(a), DataCentre::from(b));
        let mut network = self.network.lock();
        for pair in [(a.clone(), b.clone()), (b, a)] {
            if is_partitioned {
                network.partitions.insert(pair);
            } else {
                network.partitions.shift_remove(&pair);
            }
        }
    }

    /// Isolates one process from all others, or reconnects it.
    pub fn isolate(&self, name: &str, is_isolated: bool) {
        let address = Name::clone(&self.node(name).addresses.peer);
        let mut network = self.network.lock();
        if is_isolated {
            network.isolated.insert(address);
        } else {
            network.isolated.shift_remove(&address);
        }
    }

    /// Applies a configuration through the process with this index.
    pub async fn apply(&self, index: usize, expected: u64, text: &str) -> Result<Revision> {
        let apply = ApplyConfig {
            expected: Revision(expected),
            text: Name::from(text),
            by: Name::from("ana"),
            note: Name::from("test"),
        };
        apply_config::run(&self.processes[index].node, apply).await
    }

    /// Adds an instance to the platform.
    pub fn add_instance(&self, name: &str, kind: InstanceKind, dc: &str, rack: &str, pool: &str) {
        let facts = InstanceFacts {
            kind,
            data_centre: DataCentre::from(dc),
            rack: Name::from(rack),
            address: Name::from("127.0.0.1:1"),
            cores: 8,
            memory_mib: 8_192,
            accelerators: 1,
        };
        self.cloud.add_instance(InstanceName::from(name), facts, PoolName::from(pool));
    }

    /// Returns an instance's row as stored on the platform.
    pub fn instance(&self, dc: &str, name: &str) -> InstanceRow {
        let row = self.cloud.row(&format!("instance/{dc}/{name}")).unwrap();
        row.decode().unwrap()
    }
}

/// Delivers messages in memory, one at a time and in order.
async fn deliver_messages(
    network: Arc<Mutex<Network>>,
    from: Arc<Node>,
    to: Name,
    mut outbox: mpsc::Receiver<Arc<Vec<u8>>>,
) {
    const MESSAGE_DELAY_MS: u64 = 1;
    while let Some(bytes) = outbox.recv().await {
        sleep_ms(MESSAGE_DELAY_MS).await;
        let Some((node, switch)) = find_reachable(&network, &from, &to) else { continue };
        Freezable { inner: Box::pin(async { deliver(&node, &bytes) }), switch }.await;
    }
}

fn find_reachable(
    network: &Mutex<Network>,
    from: &Arc<Node>,
    to: &Name,
) -> Option<(Arc<Node>, Arc<FreezeSwitch>)> {
    let network = network.lock();
    let (node, switch) = network.nodes.get(to)?;
    let pair = (from.data_centre().clone(), node.data_centre().clone());
    let is_isolated =
        network.isolated.contains(&from.addresses.peer) || network.isolated.contains(to);
    let is_reachable = !network.partitions.contains(&pair) && !is_isolated;
    is_reachable.then(|| (Arc::clone(node), Arc::clone(switch)))
}

fn settings(data_centre: &DataCentre) -> Settings {
    let builder = Settings::builder(data_centre.clone());
    builder.peer_secret("laboratory-secret").leave_delay_ms(100).build()
}

/// Sleeps on the paused clock.
pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Returns a request of a team.
pub fn call(team: &str) -> Call {
    Call {
        request_id: Name::from("request"),
        queue: QueueName::from("web"),
        key: Some(KeyHash::of(&key_of(team))),
        method: Method::GET,
        path: "/".to_string(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout_ms: None,
        forwarded: None,
    }
}

/// Admits a request of a team at a process.
pub async fn admit_at(process: &Process, team: &str) -> Result<Admitted> {
    process.run(admit(&process.node, &call(team))).await
}

/// Asserts that a text is a valid configuration.
pub fn assert_valid(text: &str) {
    assert!(read_fleet(text).is_ok(), "{:?}", read_fleet(text));
}
