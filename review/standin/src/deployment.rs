//! The project's own processes, the operator and the clients.

use std::collections::HashSet;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet::{Fleet, MAX_HOLD_MS, Step};
use crate::http::{self, Request};
use crate::link::Link;
use crate::store::Store;

/// Program and template of the deploy file.
const PROGRAM: &str = "target/release/masticfalld";
const TEMPLATE: &str = "deploy/settings.ini.in";

/// Service, route and tenant of the deployment.
pub const SERVICE: &str = "huvo11a";
pub const PREFIX: &str = "/puxa400/";
const HOST: &str = "pule25.example";
const KEY: &str = "sjnbanfqasnmgkcuyj8p";

/// A process of the system; it is killed when dropped.
pub struct Node {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Node {
    /// Returns the number of the process's open TCP connections.
    pub fn connections(&self) -> io::Result<usize> {
        let mut sockets = HashSet::new();
        for entry in fs::read_dir(format!("/proc/{}/fd", self.child.id()))? {
            let target = fs::read_link(entry?.path()).unwrap_or_default();
            let target = target.to_string_lossy();
            let inode = target.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']'));
            sockets.extend(inode.map(str::to_string));
        }
        let table = fs::read_to_string(format!("/proc/{}/net/tcp", self.child.id()))?;
        let established = table.lines().filter(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            fields.get(3) == Some(&"01")
                && fields.get(9).is_some_and(|inode| sockets.contains(*inode))
        });
        Ok(established.count())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// A deployment; its processes and its folder go when it is dropped.
pub struct Deployment {
    pub fleet: Arc<Fleet>,
    pub nodes: Vec<Node>,
    /// The way of each process to the store.
    pub links: [Arc<Link>; 2],
    folder: PathBuf,
    turn: std::cell::Cell<usize>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

/// Ports for the processes, below the system's ephemeral range, so that no connection takes
/// one before its process listens.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Returns a free address; those of programs that run at the same time differ.
fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let count = u32::from(PORTS.end - PORTS.start);
    for _ in 0..count {
        let offset = std::process::id() * 17 + u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + (offset % count) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::other("no free port"))
}

impl Deployment {
    /// Starts the stand-ins and two entry processes, and waits until they serve and hold
    /// all executors.
    pub fn start(workers: usize, attempts: u32) -> io::Result<Self> {
        let store = Store::new();
        let links = [Link::start(&store)?, Link::start(&store)?];
        let fleet = Fleet::start(&store, SERVICE, workers);
        let cloud_listener = TcpListener::bind("127.0.0.1:0")?;
        let cloud_address = cloud_listener.local_addr()?;
        let machines = Arc::clone(&fleet);
        http::serve(
            cloud_listener,
            Arc::new(move |request: &Request, _: &TcpStream| machines.machines(request)),
        );
        let folder = std::env::temp_dir().join(format!("masticfall-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut deployment =
            Self { fleet, nodes: Vec::new(), links, folder, turn: std::cell::Cell::default() };
        deployment.configure(7, attempts, true);
        for number in 0..2 {
            let store_address = deployment.links[number].address;
            let node = start_node(&deployment.folder, number + 1, store_address, cloud_address)?;
            deployment.nodes.push(node);
        }
        let until = Instant::now() + Duration::from_secs(15);
        let is_ready = |node: &Node| {
            let limit = Duration::from_millis(500);
            http::call(node.ready, "GET", "/-/ready", &[], "", limit)
                .is_ok_and(|(status, _)| status == 200)
        };
        while !deployment.nodes.iter().all(is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other("the processes didn't become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        if !deployment.fleet.wait_for(15_000, |state| state.workers.iter().all(|w| w.holds > 1)) {
            return Err(io::Error::other("not all executors are held"));
        }
        thread::sleep(Duration::from_millis(500));
        Ok(deployment)
    }

    /// Writes a configuration, with the route or without it.
    pub fn configure(&self, version: u64, attempts: u32, has_route: bool) {
        let route = json!({
            "name": "r-iikdrbn", "host": HOST, "prefix": PREFIX, "kind": "non_idempotent",
            "timeout_ms": 3000, "target_duration_ms": 600, "priority": 0, "service": SERVICE,
            "attempts": attempts, "stretch": 1.6, "public": false,
        });
        let other = json!({
            "name": "r-cda9rgy", "host": HOST, "prefix": "/kafi706/", "kind": "non_idempotent",
            "timeout_ms": 3000, "target_duration_ms": 600, "priority": 0, "service": SERVICE,
            "attempts": attempts, "stretch": 1.6, "public": false,
        });
        let routes = if has_route { vec![other, route] } else { vec![other] };
        let config = json!({
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 64,
                "protocol": "h1", "tls": false, "admission_check": true, "standby": false}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "cugo130", "api_keys": [KEY], "priority": 1, "weight": 54,
                "maximum": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
        });
        self.fleet.store.put("op", "config", &config);
        self.fleet.note(&format!(
            "the operator writes version {version}, route {has_route}; acknowledged"
        ));
    }

    fn next_node(&self) -> SocketAddr {
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        self.nodes[turn % self.nodes.len()].front
    }

    /// Makes a call of a client at the next node in turn, and records it.
    pub fn call(&self, method: &str, id: &str, body: &str) -> io::Result<(u16, String)> {
        self.call_at(self.next_node(), method, id, body)
    }

    /// Makes a call of a client, and records it.
    pub fn call_at(
        &self,
        node: SocketAddr,
        method: &str,
        id: &str,
        body: &str,
    ) -> io::Result<(u16, String)> {
        let headers = [("Host", HOST), ("Api-Key", KEY), ("Masticfall-Deadline-Ms", "3000")];
        let answer = http::call(
            node,
            method,
            &format!("{PREFIX}{id}"),
            &headers,
            body,
            Duration::from_millis(3_000),
        );
        let told = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(error) => format!("no answer ({error})"),
        };
        self.fleet.note(&format!("client: {method} {PREFIX}{id} -> {told}"));
        answer
    }

    /// Hands a job in; clients try again until it is accepted. Returns whether it was.
    pub fn submit(&self, id: &str, steps: Vec<Step>) -> bool {
        self.submit_timed(id, steps, 0, 0, 0)
    }

    /// Hands in a job whose steps run `repeat` times, if that isn't 0.
    pub fn submit_timed(
        &self,
        id: &str,
        steps: Vec<Step>,
        repeat: u32,
        start_at_ms: u64,
        interval_ms: u64,
    ) -> bool {
        let wire: Vec<Value> = steps.iter().map(Step::to_json).collect();
        let mut body = json!({"spec": "(text)", "steps": wire});
        if repeat > 0 {
            body["repeat"] = json!(repeat);
            body["start_at_ms"] = json!(start_at_ms);
            body["interval_ms"] = json!(interval_ms);
        }
        let body = body.to_string();
        self.fleet.lock().jobs.insert(id.to_string(), steps);
        for _ in 0..5 {
            if self.call("POST", id, &body).is_ok_and(|(status, _)| status / 100 == 2) {
                return true;
            }
            thread::sleep(Duration::from_millis(1_000));
        }
        false
    }

    /// Asks for a job's state.
    pub fn state_of(&self, id: &str) -> Option<String> {
        let (status, body) = self.call("GET", id, "").ok()?;
        let body: Value = serde_json::from_str(&body).ok()?;
        (status == 200).then(|| body["state"].as_str().unwrap_or_default().to_string())
    }
}

fn start_node(
    folder: &Path,
    number: usize,
    store: SocketAddr,
    cloud: SocketAddr,
) -> io::Result<Node> {
    let (front, ready, control) = (free_address()?, free_address()?, free_address()?);
    let metrics = free_address()?;
    let name = format!("front-zapopan-{number}");
    let fields = [
        ("node", name.clone()),
        ("zone", "zapopan".into()),
        ("listen.front", front.to_string()),
        ("listen.ready", ready.to_string()),
        ("listen.control", control.to_string()),
        ("ip", metrics.ip().to_string()),
        ("port_range.0", metrics.port().to_string()),
        ("platform.address", store.to_string()),
        ("cloud.address", cloud.to_string()),
        ("advice", String::new()),
        ("bounds.max_hold_ms", MAX_HOLD_MS.to_string()),
        ("bounds.stop_grace_ms", "900".into()),
        ("bounds.lease_ms", "3000".into()),
        ("cloud.duty_per_s", "64.0".into()),
        ("bounds.grace_s", "6".into()),
        ("bounds.notice_ms", "4500".into()),
        ("bounds.move_s", "1.5".into()),
        ("bounds.status_s", "120".into()),
        ("limits.cpu_share", "0.25".into()),
        ("limits.link_mbps", "1000.0".into()),
        ("bounds.remote_factor", "3".into()),
    ];
    let mut text = fs::read_to_string(TEMPLATE)?;
    for (field, value) in &fields {
        text = text.replace(&format!("{{{{{field}}}}}"), value);
    }
    let settings = folder.join(format!("{name}.ini"));
    fs::write(&settings, text)?;
    let log = File::create(folder.join(format!("{name}.log")))?;
    let child = Command::new(PROGRAM)
        .arg("--settings")
        .arg(&settings)
        .env("MASTICFALL_NODE_FILE", &settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Node { front, ready, child })
}
