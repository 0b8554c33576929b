//! One seed: a schedule of faults, a load, and the checks.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use masticfall_adapter::link::Links;
use masticfall_adapter_serve::client::{Client, Handed};
use masticfall_adapter_serve::{ModelServer, configure, list_worker};
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::spec::{JobSpec, Resources, StepSpec};
use masticfall_core::id::JobId;
use masticfall_platform::serve::{ServePhase, bind, serve};
use masticfall_standin::fleet::check;
use masticfall_standin::fleet::{StoreMode, World};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::process::Process;
use crate::proxy::{LinkMode, Proxy};

/// Workers of the model.
const WORKERS: usize = 6;

/// What each offers; as in the model.
const CAPACITY: Resources = Resources { cpu_millis: 8_000, memory_mib: 64_000, accelerators: 0 };

/// The callers' key, never withdrawn.
const KEY: &str = "key";

/// A key that comes and goes.
const OTHER_KEY: &str = "other";

/// Time for which a withdrawn key may still work, in milliseconds, by the
/// promise that configurations are in force in seconds.
const CONFIG_MS: u64 = 3_000;

/// Time for which a caller waits, in milliseconds.
const WAIT_MS: u64 = 3_000;

/// Time in which a process that was told to stop has ended, in milliseconds.
const STOP_MS: u64 = 7_000;

/// Longest time until all accepted jobs are done once all is calm, in
/// milliseconds: leases of 6 s that lapse one after the other, and the work.
const SETTLE_MS: u64 = 45_000;

/// What to play.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Time with faults, in milliseconds.
    pub length_ms: u64,
    /// Entry processes.
    pub processes: usize,
    /// The program under test.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// What a seed came to.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Broken promises, in words.
    pub breaches: Vec<String>,
    /// What was injected, with the time in milliseconds.
    pub faults: Vec<(u64, String)>,
    /// Jobs handed in.
    pub asked: usize,
    /// Jobs accepted.
    pub accepted: usize,
    /// Jobs that every answer refused.
    pub refused: usize,
}

/// What clients know of their jobs.
#[derive(Debug, Default)]
struct Known {
    asked: IndexSet<JobId>,
    accepted: IndexSet<JobId>,
    /// Jobs of which every call was refused.
    refused: IndexSet<JobId>,
    breaches: Vec<String>,
}

struct Stage {
    world: Arc<World>,
    processes: Vec<Mutex<Process>>,
    store_links: Vec<Proxy>,
    worker_links: Vec<Proxy>,
    known: Mutex<Known>,
    links: Links,
    /// Withdrawals of the other key: when it went, and when it came back.
    withdrawn_ms: Mutex<Option<u64>>,
}

/// Plays a seed.
///
/// # Errors
/// The system's error, such as no free address.
pub async fn play(plan: &Plan) -> io::Result<Report> {
    let (phase, open) = watch::channel(ServePhase::Open);
    let stage = Arc::new(Stage::set(plan, &open).await?);
    for process in &stage.processes {
        process.lock().start()?;
    }
    let mut report = Report::default();
    if !stage.wait_ready().await {
        report.breaches.push("no process took a job within 10 s of the start".to_string());
        return Ok(report);
    }
    let clients = tokio::spawn(Arc::clone(&stage).hand_in_jobs(plan.seed, plan.length_ms));
    report.faults = stage.inject(plan).await?;
    stage.heal().await?;
    // A panic of a client is one of the soak's own.
    clients.await.map_err(io::Error::other)?;
    stage.wait_done().await;
    stage.check(&mut report);
    drop(phase);
    Ok(report)
}

impl Stage {
    async fn set(plan: &Plan, open: &watch::Receiver<ServePhase>) -> io::Result<Self> {
        let world = World::new(WORKERS, "p");
        let listener = bind(([127, 0, 0, 1], 0).into()).await?;
        let store = listener.local_addr()?;
        drop(serve(listener, ModelServer::store(&world), open.clone()));
        let mut worker_links = Vec::new();
        for facts in world.worker_facts() {
            let listener = bind(([127, 0, 0, 1], 0).into()).await?;
            let address = listener.local_addr()?;
            let server = ModelServer::worker(&world, facts.id.clone());
            drop(serve(listener, server, open.clone()));
            let link = Proxy::open(address).await?;
            list_worker(&world, &facts, Some(link.address)).await.map_err(io::Error::other)?;
            worker_links.push(link);
        }
        configure(&world, 1, "127.0.0.1", &[KEY, OTHER_KEY]).await.map_err(io::Error::other)?;
        let (mut processes, mut store_links) = (Vec::new(), Vec::new());
        for number in 0..plan.processes {
            let link = Proxy::open(store).await?;
            let name = format!("p{number}");
            let process = Process::new(&plan.program, &plan.folder, &name, link.address, store)?;
            processes.push(Mutex::new(process));
            store_links.push(link);
        }
        let (known, withdrawn_ms) = (Mutex::default(), Mutex::new(None));
        let links = Links::default();
        Ok(Self { world, processes, store_links, worker_links, known, links, withdrawn_ms })
    }

    fn client<'a>(&'a self, key: &'a str) -> Client<'a> {
        Client { links: &self.links, key, wait_ms: WAIT_MS }
    }

    async fn wait_ready(&self) -> bool {
        for _ in 0..100 {
            sleep(Duration::from_millis(100)).await;
            let address = self.processes[0].lock().callers;
            let probe = JobId::from("ffffffffffffffff");
            if self.client(KEY).phase(address, &probe).await == Some(None) {
                return true;
            }
        }
        false
    }

    /// Hands jobs in at random processes, again after answers that say nothing,
    /// on connections that stay open.
    async fn hand_in_jobs(self: Arc<Self>, seed: u64, length_ms: u64) {
        let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
        let until = Instant::now() + Duration::from_millis(length_ms);
        let mut number = 0;
        let mut calls = Vec::new();
        while Instant::now() < until {
            number += 1;
            let id = JobId::from(format!("{:016x}", (seed << 16) + number));
            let spec = spec(&mut random);
            self.world.register_job(&id, &spec);
            let tries: Vec<usize> =
                (0..4).map(|_| random.random_range(0..self.processes.len())).collect();
            calls.push(tokio::spawn(Arc::clone(&self).hand_in(id, spec, tries)));
            sleep(Duration::from_millis(random.random_range(40..200))).await;
        }
        for call in calls {
            // A panic is reported by the runtime.
            drop(call.await);
        }
    }

    async fn hand_in(self: Arc<Self>, id: JobId, spec: JobSpec, tries: Vec<usize>) {
        self.known.lock().asked.insert(id.clone());
        let mut was_only_refused = true;
        for process in tries {
            let address = self.processes[process].lock().callers;
            match self.client(KEY).submit(address, &id, &spec).await {
                Handed::Accepted => {
                    self.known.lock().accepted.insert(id);
                    return;
                }
                Handed::Refused(_) => {}
                Handed::Unknown => was_only_refused = false,
            }
            sleep(Duration::from_millis(400)).await;
        }
        if was_only_refused {
            self.known.lock().refused.insert(id);
        }
    }

    /// Injects faults until the time is over; they come in series and overlap.
    async fn inject(&self, plan: &Plan) -> io::Result<Vec<(u64, String)>> {
        let mut random = StdRng::seed_from_u64(plan.seed);
        let begun = Instant::now();
        let mut version = 1;
        let mut faults = Vec::new();
        while begun.elapsed() < Duration::from_millis(plan.length_ms) {
            sleep(Duration::from_millis(random.random_range(150..900))).await;
            let fault = self.inject_one(&mut random, &mut version).await?;
            faults.push((begun.elapsed().as_millis() as u64, fault));
            self.check_withdrawn().await;
        }
        Ok(faults)
    }

    async fn inject_one(&self, random: &mut StdRng, version: &mut u64) -> io::Result<String> {
        let at = random.random_range(0..self.processes.len());
        let worker = random.random_range(0..WORKERS);
        let link = match random.random_range(0..6) {
            0 => LinkMode::Delayed(random.random_range(20..300)),
            1 => LinkMode::DropToServer,
            2 => LinkMode::DropToClient,
            3 => LinkMode::Blackhole,
            4 => LinkMode::Reset,
            _ => LinkMode::Open,
        };
        let signal = |signal| self.processes[at].lock().signal(signal);
        Ok(match random.random_range(0..12) {
            0 => {
                signal(Signal::KILL);
                format!("p{at} killed")
            }
            1 => {
                signal(Signal::TERM);
                format!("p{at} told to stop")
            }
            2 => {
                signal(Signal::STOP);
                format!("p{at} suspended")
            }
            3 => {
                for process in &self.processes {
                    process.lock().signal(Signal::CONT);
                }
                "all go on".to_string()
            }
            4 | 5 => {
                for process in &self.processes {
                    process.lock().start()?;
                }
                "all that ended start again".to_string()
            }
            6 | 7 => {
                self.store_links[at].set(link);
                format!("p{at} to the store: {link:?}")
            }
            8 => {
                self.worker_links[worker].set(link);
                format!("all to worker {worker}: {link:?}")
            }
            9 => {
                let modes = [StoreMode::Up, StoreMode::Unavailable, StoreMode::DelaysWrites];
                let mode = modes[random.random_range(0..modes.len())];
                self.world.set_store(mode);
                format!("store: {mode:?}")
            }
            10 => {
                self.world.set_delayed_starts(random.random_range(0..3) * 9);
                "some orders are carried out late".to_string()
            }
            _ => {
                *version += 1;
                self.configure(*version, *version % 2 == 1).await?;
                format!("configuration {version}")
            }
        })
    }

    /// Writes a configuration with or without the other key. The operator writes
    /// also while the store treats the processes badly.
    async fn configure(&self, version: u64, has_other: bool) -> io::Result<()> {
        let keys: &[&str] = if has_other { &[KEY, OTHER_KEY] } else { &[KEY] };
        let mode = self.world.store_mode();
        self.world.set_store(StoreMode::Up);
        let written = configure(&self.world, version, "127.0.0.1", keys).await;
        self.world.set_store(mode);
        *self.withdrawn_ms.lock() = (!has_other).then(|| self.world.now_ms());
        written.map_err(io::Error::other)
    }

    /// A withdrawn key must be dead, also at processes that the store doesn't
    /// serve while it serves another one.
    async fn check_withdrawn(&self) {
        let Some(withdrawn_ms) = *self.withdrawn_ms.lock() else { return };
        let is_served = |link: &Proxy| link.mode() == LinkMode::Open;
        let is_due = self.world.now_ms() >= withdrawn_ms + CONFIG_MS;
        if !is_due
            || self.world.store_mode() != StoreMode::Up
            || !self.store_links.iter().any(is_served)
        {
            return;
        }
        *self.withdrawn_ms.lock() = None;
        // Nothing else is injected meanwhile.
        sleep(Duration::from_millis(CONFIG_MS)).await;
        for is_served_now in [true, false] {
            for (process, link) in self.processes.iter().zip(&self.store_links) {
                if is_served(link) == is_served_now {
                    self.check_key(process).await;
                }
            }
            sleep(Duration::from_millis(CONFIG_MS)).await;
        }
    }

    async fn check_key(&self, process: &Mutex<Process>) {
        let (address, name) = {
            let process = process.lock();
            (process.callers, process.name.clone())
        };
        let probe = JobId::from("ffffffffffffffff");
        let answer = self.client(OTHER_KEY).phase(address, &probe).await;
        if answer == Some(None) {
            self.known.lock().breaches.push(format!("{name} takes a withdrawn key"));
        }
    }

    async fn heal(&self) -> io::Result<()> {
        self.world.set_store(StoreMode::Up);
        self.world.set_delayed_starts(0);
        for link in self.store_links.iter().chain(&self.worker_links) {
            // Connections that hung are closed; new ones pass.
            link.set(LinkMode::Reset);
        }
        sleep(Duration::from_millis(100)).await;
        for link in self.store_links.iter().chain(&self.worker_links) {
            link.set(LinkMode::Open);
        }
        for process in &self.processes {
            process.lock().signal(Signal::CONT);
        }
        sleep(Duration::from_millis(STOP_MS)).await;
        for process in &self.processes {
            process.lock().start()?;
        }
        Ok(())
    }

    /// Waits until every accepted job is shown as completed by every process.
    async fn wait_done(&self) {
        let until = Instant::now() + Duration::from_millis(SETTLE_MS);
        let accepted: Vec<JobId> = self.known.lock().accepted.iter().cloned().collect();
        let mut open: IndexMap<(JobId, usize), String> = IndexMap::new();
        for id in accepted {
            for process in 0..self.processes.len() {
                open.insert((id.clone(), process), String::new());
            }
        }
        while !open.is_empty() && Instant::now() < until {
            for ((id, process), seen) in std::mem::take(&mut open) {
                let address = self.processes[process].lock().callers;
                let phase = self.client(KEY).phase(address, &id).await;
                if phase != Some(Some(JobPhase::Completed)) {
                    open.insert((id, process), format!("{seen}{phase:?} "));
                }
            }
            sleep(Duration::from_millis(300)).await;
        }
        let known = &mut self.known.lock();
        for ((id, process), seen) in open {
            let last = seen.trim_end().rsplit(' ').next().unwrap_or_default().to_string();
            known.breaches.push(format!("{id} is not completed at p{process}: {last}"));
        }
    }

    fn check(&self, report: &mut Report) {
        let record = self.world.record();
        let specs = self.world.specs();
        let known = self.known.lock();
        let asked: Vec<JobId> = known.asked.iter().cloned().collect();
        let accepted: Vec<JobId> = known.accepted.iter().cloned().collect();
        let breaches = &mut report.breaches;
        breaches.extend(known.breaches.iter().cloned());
        let mut add = |what: &str, found: Vec<String>| {
            breaches.extend(found.into_iter().map(|breach| format!("{what}: {breach}")));
        };
        add("two runs of a task", check::overlapping_runs(&record));
        add("started after it was done", check::reruns_after_done(&record));
        add("out of order", check::dependency_violations(&record, &specs));
        add("too much on a worker", check::overcommitted_workers(&record, CAPACITY));
        add("nobody asked for it", check::unaccepted_runs(&record, &asked));
        add("lost", check::unfinished_tasks(&record, &specs, &accepted));
        let ran = record.iter().filter(|run| known.refused.contains(&run.task.job));
        add("refused, and run", ran.map(|run| run.task.to_string()).collect());
        for process in &self.processes {
            let process = process.lock();
            if process.has_panicked() {
                breaches.push(format!("{} panicked", process.name));
            }
        }
        report.asked = asked.len();
        report.accepted = accepted.len();
        report.refused = known.refused.len();
    }
}

fn spec(random: &mut StdRng) -> JobSpec {
    let step = StepSpec {
        tasks: random.random_range(1..5),
        needs: Resources { cpu_millis: 1_000, memory_mib: 100, accelerators: 0 },
        estimate_ms: random.random_range(100..900),
        ..StepSpec::default()
    };
    let second = StepSpec { after: vec![0], ..step.clone() };
    let steps = if random.random_bool(0.5) { vec![step, second] } else { vec![step] };
    JobSpec { payload: "payload".into(), steps, repeat: 0, first_due_wall_ms: 0, interval_ms: 0 }
}

/// Makes the folder of a seed, empty.
///
/// # Errors
/// The system's error.
pub fn seed_folder(parent: &Path, seed: u64) -> io::Result<PathBuf> {
    let folder = parent.join(format!("seed-{seed}"));
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
