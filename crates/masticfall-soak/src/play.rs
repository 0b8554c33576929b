//! Runs one seed: a fault schedule, a load of jobs, and the checks.

mod inject;
mod owner;
mod restart;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indexmap::{IndexMap, IndexSet};
use masticfall_adapter::ServiceAddresses;
use masticfall_adapter::link::HttpClient;
use masticfall_adapter_serve::client::{Client, SubmitOutcome};
use masticfall_adapter_serve::{ModelServer, write_config, write_worker_row};
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::spec::{JobSpec, Resources, TaskKey};
use masticfall_core::id::JobId;
use masticfall_platform::serve::{ServePhase, bind, serve};
use masticfall_standin::fleet::World;
use masticfall_standin::fleet::check;
use masticfall_standin::fleet::crash::CrashingTask;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::evacuate;
use crate::load::{lengthen, random_spec, restart_plan};
use crate::process::Process;
use crate::proxy::Proxy;
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

/// Factor by which jobs come more slowly if only restarts of workers are played, since most of
/// them outlast a lease.
const RESTART_PAUSE_FACTOR: u64 = 8;

/// Which faults are played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// All but those of [`FaultKind::Restarts`].
    All,
    /// Only faults of the owner, which others would often hide.
    Owner,
    /// Only restarts of workers with calls to their former life under way, at changes of the
    /// owner; leases are as long as the users' platform allows anywhere.
    Restarts,
}

impl FaultKind {
    /// Returns the longest lease that the workers hold, in milliseconds.
    fn max_lease_ms(self) -> u64 {
        if self == Self::Restarts { 10_000 } else { 6_000 }
    }
}

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
    /// Which faults are played.
    pub faults: FaultKind,
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
    /// By worker and by the process that owns the cell: its relays use its links.
    worker_links: Vec<Vec<Proxy>>,
    observed: Mutex<Observations>,
    http_client: HttpClient,
    /// Time at which the toggled key was withdrawn; `None` while it is valid or once checked.
    withdrawn_ms: Mutex<Option<u64>>,
    /// Held while faults of the owner are played, and while a withdrawn key is checked.
    owner_faults: tokio::sync::Mutex<()>,
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
    let clients = tokio::spawn(Arc::clone(&testbed).submit_jobs(plan.clone()));
    let addresses = testbed.worker_links.iter().map(|links| links[0].address).collect();
    let entries = keep_entries(Arc::clone(&testbed.world), addresses);
    let registrations = tokio::spawn(entries);
    let world = Arc::clone(&testbed.world);
    let evacuations_ms = if plan.faults == FaultKind::All { plan.length_ms } else { 0 };
    let evacuations = tokio::spawn(evacuate::play(world, plan.seed, evacuations_ms));
    report.faults = testbed.play_faults(plan).await?;
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

/// Starts a server of the model; returns its address.
async fn start_server(
    server: ModelServer,
    phase: &watch::Receiver<ServePhase>,
) -> io::Result<SocketAddr> {
    let listener = bind(([127, 0, 0, 1], 0).into()).await?;
    let address = listener.local_addr()?;
    drop(serve(listener, server, phase.clone()));
    Ok(address)
}

impl Testbed {
    async fn start(plan: &Plan, phase: &watch::Receiver<ServePhase>) -> io::Result<Self> {
        let world = World::new(WORKERS, "p");
        evacuate::spread_workers(&world);
        world.set_max_lease_ms(plan.faults.max_lease_ms());
        let mut worker_links = Vec::new();
        for facts in world.worker_facts() {
            let server = ModelServer::worker(&world, facts.id.clone());
            let address = start_server(server, phase).await?;
            write_worker_row(&world, &facts, Some(address)).await.map_err(io::Error::other)?;
            let mut links = Vec::new();
            for _ in 0..plan.processes {
                links.push(Proxy::open(address).await?);
            }
            worker_links.push(links);
        }
        write_config(&world, 1, "127.0.0.1", &[KEY, TOGGLED_KEY])
            .await
            .map_err(io::Error::other)?;
        // Every second seed plays with relays.
        let max_direct_workers = if plan.seed.is_multiple_of(2) { 0 } else { WORKERS };
        let (mut processes, mut store_links) = (Vec::new(), Vec::new());
        for number in 0..plan.processes {
            let links = worker_links.iter().map(|links: &Vec<Proxy>| links[number].address);
            let workers = world.worker_facts().into_iter().map(|facts| facts.id);
            let server = ModelServer::store(&world).list_workers_at(workers.zip(links).collect());
            let store = start_server(server, phase).await?;
            let link = Proxy::open(store).await?;
            let name = format!("p{number}");
            let process = Process::new(
                &plan.program,
                &plan.folder,
                &name,
                ServiceAddresses { store: link.address, machines: store, advice: None },
                max_direct_workers,
                plan.faults.max_lease_ms(),
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
            owner_faults: tokio::sync::Mutex::default(),
        })
    }

    /// Plays all faults; returns what it did, with the time since the start in milliseconds.
    async fn play_faults(&self, plan: &Plan) -> io::Result<Vec<(u64, String)>> {
        let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis());
        let started = format!("start: {} ms of the record, {wall_ms} ms UTC", self.world.now_ms());
        let any_faults = async {
            if plan.faults == FaultKind::All { self.inject(plan).await } else { Ok(Vec::new()) }
        };
        let aimed_faults = async {
            if plan.faults == FaultKind::Restarts {
                self.play_restarts(plan).await
            } else {
                self.play_owner_faults(plan).await
            }
        };
        let (faults, owner_faults) = tokio::join!(any_faults, aimed_faults);
        self.check_withdrawn_key().await;
        Ok([vec![(0, started)], faults?, owner_faults?].concat())
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
    async fn submit_jobs(self: Arc<Self>, plan: Plan) {
        let seed = plan.seed;
        let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
        // Of its own, so that the other jobs of kept seeds stay as they were.
        let mut long_random = StdRng::seed_from_u64(seed ^ 0x1046);
        let until = Instant::now() + Duration::from_millis(plan.length_ms);
        let mut number = 0;
        let mut calls = Vec::new();
        while Instant::now() < until {
            number += 1;
            let id = JobId::from(format!("{:016x}", (seed << 16) + number));
            let mut spec = random_spec(&mut random);
            lengthen(&mut spec, plan.faults, &mut long_random);
            self.world.register_job(&id, &spec);
            if number % JOBS_PER_CRASHING_JOB == 7 && plan.faults == FaultKind::All {
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
            let factor = if plan.faults == FaultKind::Restarts { RESTART_PAUSE_FACTOR } else { 1 };
            sleep(Duration::from_millis(factor * random.random_range(40..200))).await;
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
