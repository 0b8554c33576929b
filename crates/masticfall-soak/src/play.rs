//! Runs one seed: a fault schedule, a load of jobs, and the checks.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use masticfall_adapter::link::HttpClient;
use masticfall_adapter_serve::client::{Client, SubmitOutcome};
use masticfall_adapter_serve::{ModelServer, write_config, write_worker_row};
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::spec::{JobSpec, Resources, TaskKey};
use masticfall_core::id::JobId;
use masticfall_platform::serve::{ServePhase, bind, serve};
use masticfall_standin::fleet::check;
use masticfall_standin::fleet::crash::CrashingTask;
use masticfall_standin::fleet::{StoreMode, World};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::evacuate;
use crate::load::{random_spec, restart_plan};
use crate::process::Process;
use crate::proxy::{LinkMode, Proxy, silence_one};
use crate::register::keep_entries;

/// Number of simulated workers.
const WORKERS: usize = 6;

/// Capacity of each simulated worker; equal to the one in `masticfall-standin`.
const CAPACITY: Resources = Resources { cpu_millis: 8_000, memory_mib: 64_000, accelerators: 0 };

/// API key of the callers, which is never withdrawn.
const KEY: &str = "key";

/// API key that is repeatedly withdrawn and restored.
const TOGGLED_KEY: &str = "other";

/// Time for which a withdrawn key may still work, in milliseconds; a new
/// configuration is guaranteed to take effect within seconds.
const CONFIG_DEADLINE_MS: u64 = 3_000;

/// Time limit of a client's call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Time within which a process exits after `SIGTERM`, in milliseconds.
const EXIT_TIMEOUT_MS: u64 = 7_000;

/// Time within which all accepted jobs are completed after recovery, in
/// milliseconds: covers consecutive lapses of 6 s leases and the tasks themselves.
const COMPLETION_TIMEOUT_MS: u64 = 45_000;

/// Probability that open connections of a link go silent, in each step of the fault schedule.
const SILENCE_PROBABILITY: f64 = 0.15;

/// One job in this many has a task that crashes each worker that starts it.
const JOBS_PER_CRASHING_JOB: u64 = 23;

/// Time from the start of such a task to the crash, in milliseconds.
const CRASH_AFTER_MS: u64 = 10;

/// Probability that a worker crashes by itself, in each step of the fault schedule.
const CRASH_PROBABILITY: f64 = 0.06;

/// Parameters of one run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of the fault schedule and of the jobs.
    pub seed: u64,
    /// Duration of fault injection, in milliseconds.
    pub length_ms: u64,
    /// Number of entry processes.
    pub processes: usize,
    /// Program under test.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// Result of one run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
    /// Injected faults, with the time since the start in milliseconds.
    pub faults: Vec<(u64, String)>,
    /// Number of submitted jobs.
    pub submitted: usize,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of jobs for which every call was refused.
    pub refused: usize,
    /// Number of crashes of workers.
    pub crashes: usize,
}

/// Outcomes that the clients observed.
#[derive(Debug, Default)]
struct Observations {
    submitted: IndexSet<JobId>,
    accepted: IndexSet<JobId>,
    /// Jobs for which every call was refused.
    refused: IndexSet<JobId>,
    /// Jobs with a task that crashes workers.
    crashing: IndexSet<JobId>,
    violations: Vec<String>,
}

struct Testbed {
    world: Arc<World>,
    processes: Vec<Mutex<Process>>,
    store_links: Vec<Proxy>,
    worker_links: Vec<Proxy>,
    observed: Mutex<Observations>,
    http_client: HttpClient,
    /// Time at which the toggled key was withdrawn; `None` while it is valid or once checked.
    withdrawn_ms: Mutex<Option<u64>>,
}

/// Runs a seed and checks the invariants.
///
/// # Errors
/// The system's error, for example when no port is free.
pub async fn run_plan(plan: &Plan) -> io::Result<Report> {
    let (phase, phase_receiver) = watch::channel(ServePhase::Open);
    let testbed = Arc::new(Testbed::start(plan, &phase_receiver).await?);
    for process in &testbed.processes {
        process.lock().start()?;
    }
    let mut report = Report::default();
    if !testbed.wait_ready().await {
        report.violations.push("p0 was not ready within 10 s of the start".to_string());
        return Ok(report);
    }
    let clients = tokio::spawn(Arc::clone(&testbed).submit_jobs(plan.seed, plan.length_ms));
    let addresses = testbed.worker_links.iter().map(|link| link.address).collect();
    let entries = keep_entries(Arc::clone(&testbed.world), addresses);
    let registrations = tokio::spawn(entries);
    let world = Arc::clone(&testbed.world);
    let evacuations = tokio::spawn(evacuate::play(world, plan.seed, plan.length_ms));
    report.faults = testbed.inject(plan).await?;
    testbed.recover().await?;
    // A panic here is a fault of the soak itself.
    clients.await.map_err(io::Error::other)?;
    testbed.wait_completed().await;
    registrations.abort();
    report.faults.extend(evacuations.await.map_err(io::Error::other)?);
    report.violations.extend(evacuate::violations(&testbed.world));
    testbed.check(&mut report);
    drop(phase);
    Ok(report)
}

impl Testbed {
    async fn start(plan: &Plan, phase: &watch::Receiver<ServePhase>) -> io::Result<Self> {
        let world = World::new(WORKERS, "p");
        evacuate::spread_workers(&world);
        let listener = bind(([127, 0, 0, 1], 0).into()).await?;
        let store = listener.local_addr()?;
        drop(serve(listener, ModelServer::store(&world), phase.clone()));
        let mut worker_links = Vec::new();
        for facts in world.worker_facts() {
            let listener = bind(([127, 0, 0, 1], 0).into()).await?;
            let address = listener.local_addr()?;
            let server = ModelServer::worker(&world, facts.id.clone());
            drop(serve(listener, server, phase.clone()));
            let link = Proxy::open(address).await?;
            write_worker_row(&world, &facts, Some(link.address)).await.map_err(io::Error::other)?;
            worker_links.push(link);
        }
        write_config(&world, 1, "127.0.0.1", &[KEY, TOGGLED_KEY])
            .await
            .map_err(io::Error::other)?;
        // Every second seed plays with relays.
        let max_direct_workers = if plan.seed.is_multiple_of(2) { 0 } else { WORKERS };
        let (mut processes, mut store_links) = (Vec::new(), Vec::new());
        for number in 0..plan.processes {
            let link = Proxy::open(store).await?;
            let name = format!("p{number}");
            let process = Process::new(
                &plan.program,
                &plan.folder,
                &name,
                link.address,
                store,
                max_direct_workers,
            )?;
            processes.push(Mutex::new(process));
            store_links.push(link);
        }
        Ok(Self {
            world,
            processes,
            store_links,
            worker_links,
            observed: Mutex::default(),
            http_client: HttpClient::default(),
            withdrawn_ms: Mutex::new(None),
        })
    }

    fn client<'a>(&'a self, key: &'a str) -> Client<'a> {
        Client { http_client: &self.http_client, key, timeout_ms: CALL_TIMEOUT_MS }
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

    /// Submits jobs over persistent connections; each job goes to up to four random
    /// processes until one accepts it.
    async fn submit_jobs(self: Arc<Self>, seed: u64, length_ms: u64) {
        let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
        let until = Instant::now() + Duration::from_millis(length_ms);
        let mut number = 0;
        let mut calls = Vec::new();
        while Instant::now() < until {
            number += 1;
            let id = JobId::from(format!("{:016x}", (seed << 16) + number));
            let spec = random_spec(&mut random);
            self.world.register_job(&id, &spec);
            if number % JOBS_PER_CRASHING_JOB == 7 {
                let task = TaskKey { job: id.clone(), occurrence: 0, step: 0, index: 0 };
                let plan = restart_plan(false);
                let crashing =
                    CrashingTask { after_ms: CRASH_AFTER_MS, plan, ..CrashingTask::default() };
                self.world.set_crashing_task(task, crashing);
                self.observed.lock().crashing.insert(id.clone());
            }
            let attempts: Vec<usize> =
                (0..4).map(|_| random.random_range(0..self.processes.len())).collect();
            calls.push(tokio::spawn(Arc::clone(&self).submit_job(id, spec, attempts)));
            sleep(Duration::from_millis(random.random_range(40..200))).await;
        }
        for call in calls {
            // The runtime reports a panic.
            drop(call.await);
        }
    }

    async fn submit_job(self: Arc<Self>, id: JobId, spec: JobSpec, attempts: Vec<usize>) {
        self.observed.lock().submitted.insert(id.clone());
        let mut is_refused = true;
        for process in attempts {
            let address = self.processes[process].lock().callers;
            match self.client(KEY).submit(address, &id, &spec).await {
                SubmitOutcome::Accepted => {
                    self.observed.lock().accepted.insert(id);
                    return;
                }
                SubmitOutcome::Refused(_) => {}
                SubmitOutcome::Unknown => is_refused = false,
            }
            sleep(Duration::from_millis(400)).await;
        }
        if is_refused {
            self.observed.lock().refused.insert(id);
        }
    }

    /// Injects faults, which may overlap, until the duration has passed.
    async fn inject(&self, plan: &Plan) -> io::Result<Vec<(u64, String)>> {
        let mut random = StdRng::seed_from_u64(plan.seed);
        // Of their own, so that the other faults of kept seeds stay as they were.
        let mut crash_random = StdRng::seed_from_u64(plan.seed ^ 0xc4a5);
        let mut silence_random = StdRng::seed_from_u64(plan.seed ^ 0x51e7);
        let started = Instant::now();
        let mut version = 1;
        let mut faults = Vec::new();
        while started.elapsed() < Duration::from_millis(plan.length_ms) {
            sleep(Duration::from_millis(random.random_range(150..900))).await;
            let fault = self.inject_one(&mut random, &mut version).await?;
            faults.push((started.elapsed().as_millis() as u64, fault));
            if crash_random.random_bool(CRASH_PROBABILITY) {
                let worker = crash_random.random_range(0..WORKERS);
                let is_dark = crash_random.random_bool(0.3);
                self.world.crash_worker(worker, restart_plan(is_dark));
                let fault = format!("worker {worker} crashed");
                faults.push((started.elapsed().as_millis() as u64, fault));
            }
            if silence_random.random_bool(SILENCE_PROBABILITY) {
                let fault = silence_one(&self.store_links, &self.worker_links, &mut silence_random);
                faults.push((started.elapsed().as_millis() as u64, fault));
            }
            self.check_withdrawn_key().await;
        }
        Ok(faults)
    }

    async fn inject_one(&self, random: &mut StdRng, version: &mut u64) -> io::Result<String> {
        let index = random.random_range(0..self.processes.len());
        let worker = random.random_range(0..WORKERS);
        let link_mode = match random.random_range(0..6) {
            0 => LinkMode::Delayed(random.random_range(20..300)),
            1 => LinkMode::DropToServer,
            2 => LinkMode::DropToClient,
            3 => LinkMode::Blackhole,
            4 => LinkMode::Reset,
            _ => LinkMode::Open,
        };
        let signal = |signal| self.processes[index].lock().signal(signal);
        Ok(match random.random_range(0..12) {
            0 => {
                signal(Signal::KILL);
                format!("p{index} killed")
            }
            1 => {
                signal(Signal::TERM);
                format!("p{index} sent SIGTERM")
            }
            2 => {
                signal(Signal::STOP);
                format!("p{index} suspended")
            }
            3 => {
                for process in &self.processes {
                    process.lock().signal(Signal::CONT);
                }
                "all suspended processes resumed".to_string()
            }
            4 | 5 => {
                for process in &self.processes {
                    process.lock().start()?;
                }
                "all exited processes restarted".to_string()
            }
            6 | 7 => {
                self.store_links[index].set(link_mode);
                format!("link from p{index} to the store: {link_mode:?}")
            }
            8 => {
                self.worker_links[worker].set(link_mode);
                format!("links to worker {worker}: {link_mode:?}")
            }
            9 => {
                let modes = [StoreMode::Up, StoreMode::Unavailable, StoreMode::DelaysWrites];
                let mode = modes[random.random_range(0..modes.len())];
                self.world.set_store(mode);
                format!("store: {mode:?}")
            }
            10 => {
                self.world.set_delayed_starts(random.random_range(0..3) * 9);
                "some task starts delayed".to_string()
            }
            _ => {
                *version += 1;
                self.write_config(*version, *version % 2 == 1).await?;
                format!("configuration {version} written")
            }
        })
    }

    /// Writes a configuration with or without the toggled key. The operator's write
    /// succeeds even while the store fails the processes' calls.
    async fn write_config(&self, version: u64, has_toggled_key: bool) -> io::Result<()> {
        let keys: &[&str] = if has_toggled_key { &[KEY, TOGGLED_KEY] } else { &[KEY] };
        let mode = self.world.store_mode();
        self.world.set_store(StoreMode::Up);
        let written = write_config(&self.world, version, "127.0.0.1", keys).await;
        self.world.set_store(mode);
        *self.withdrawn_ms.lock() = (!has_toggled_key).then(|| self.world.now_ms());
        written.map_err(io::Error::other)
    }

    /// Checks that every process rejects a withdrawn key, including processes that
    /// cannot reach the store while another one can.
    async fn check_withdrawn_key(&self) {
        let Some(withdrawn_ms) = *self.withdrawn_ms.lock() else { return };
        let is_open = |link: &Proxy| link.mode() == LinkMode::Open;
        let is_due = self.world.now_ms() >= withdrawn_ms + CONFIG_DEADLINE_MS;
        if !is_due
            || self.world.store_mode() != StoreMode::Up
            || !self.store_links.iter().any(is_open)
        {
            return;
        }
        *self.withdrawn_ms.lock() = None;
        // No other fault is injected in the meantime.
        sleep(Duration::from_millis(CONFIG_DEADLINE_MS)).await;
        for has_open_link in [true, false] {
            for (process, link) in self.processes.iter().zip(&self.store_links) {
                if is_open(link) == has_open_link {
                    self.check_key(process).await;
                }
            }
            sleep(Duration::from_millis(CONFIG_DEADLINE_MS)).await;
        }
    }

    async fn check_key(&self, process: &Mutex<Process>) {
        let (address, name) = {
            let process = process.lock();
            (process.callers, process.name.clone())
        };
        let probe = JobId::from("ffffffffffffffff");
        let phase = self.client(TOGGLED_KEY).phase(address, &probe).await;
        if phase == Some(None) {
            self.observed.lock().violations.push(format!("{name} accepts a withdrawn key"));
        }
    }

    async fn recover(&self) -> io::Result<()> {
        self.world.set_store(StoreMode::Up);
        self.world.set_delayed_starts(0);
        for link in self.store_links.iter().chain(&self.worker_links) {
            // Close stalled connections.
            link.set(LinkMode::Reset);
        }
        sleep(Duration::from_millis(100)).await;
        for link in self.store_links.iter().chain(&self.worker_links) {
            link.set(LinkMode::Open);
        }
        for process in &self.processes {
            process.lock().signal(Signal::CONT);
        }
        sleep(Duration::from_millis(EXIT_TIMEOUT_MS)).await;
        for process in &self.processes {
            process.lock().start()?;
        }
        Ok(())
    }

    /// Waits until every process reports every accepted job as completed, or as failed if
    /// a task of it crashes workers.
    async fn wait_completed(&self) {
        let until = Instant::now() + Duration::from_millis(COMPLETION_TIMEOUT_MS);
        let accepted: Vec<JobId> = self.observed.lock().accepted.iter().cloned().collect();
        let mut pending: IndexMap<(JobId, usize), String> = IndexMap::new();
        for id in accepted {
            for process in 0..self.processes.len() {
                pending.insert((id.clone(), process), String::new());
            }
        }
        while !pending.is_empty() && Instant::now() < until {
            for ((id, process), phases) in std::mem::take(&mut pending) {
                let address = self.processes[process].lock().callers;
                let phase = self.client(KEY).phase(address, &id).await;
                let is_crashing = self.observed.lock().crashing.contains(&id);
                let expected = if is_crashing { JobPhase::Failed } else { JobPhase::Completed };
                if phase != Some(Some(expected)) {
                    pending.insert((id, process), format!("{phases}{phase:?} "));
                }
            }
            sleep(Duration::from_millis(300)).await;
        }
        let observed = &mut self.observed.lock();
        for ((id, process), phases) in pending {
            let last = phases.trim_end().rsplit(' ').next().unwrap_or_default().to_string();
            observed.violations.push(format!("p{process} does not report the end of {id}: {last}"));
        }
    }

    fn check(&self, report: &mut Report) {
        let record = self.world.record();
        let specs = self.world.specs();
        let observed = self.observed.lock();
        let submitted: Vec<JobId> = observed.submitted.iter().cloned().collect();
        let accepted: Vec<JobId> =
            observed.accepted.difference(&observed.crashing).cloned().collect();
        let crashes = self.world.crashes();
        let violations = &mut report.violations;
        violations.extend(observed.violations.iter().cloned());
        let mut add = |kind: &str, found: Vec<String>| {
            violations.extend(found.into_iter().map(|violation| format!("{kind}: {violation}")));
        };
        add("overlapping runs of a task", check::overlapping_runs(&record));
        add("task started again after it was done", check::reruns_after_done(&record));
        add("step dependency violated", check::dependency_violations(&record, &specs));
        add("worker over capacity", check::overcommitted_workers(&record, CAPACITY));
        add("run of a job that was not submitted", check::unaccepted_runs(&record, &submitted));
        add("crashing task", check::starts_after_crashes(&record, &crashes));
        add("lost", check::unfinished_tasks(&record, &specs, &accepted));
        let ran = record.iter().filter(|run| observed.refused.contains(&run.task.job));
        add("run of a refused job", ran.map(|run| run.task.to_string()).collect());
        for process in &self.processes {
            let process = process.lock();
            if process.has_panicked() {
                violations.push(format!("{} panicked", process.name));
            }
        }
        report.submitted = submitted.len();
        report.accepted = observed.accepted.len();
        report.crashes = crashes.len();
        report.refused = observed.refused.len();
    }
}
