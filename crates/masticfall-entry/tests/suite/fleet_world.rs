//! Shared set-up of the tests of entry processes on a simulated platform that runs
//! fleets of workers, and the check of the invariants.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticfall_core::error::ErrorKind;
use masticfall_core::fleet::config::{
    AccountConfig, FleetConfig, PoolConfig, QueueConfig, RequestBounds,
};
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::spec::{JobSpec, Resources, StepSpec};
use masticfall_core::id::{AccountName, JobId, Name, PoolName, QueueName};
use masticfall_core::key::KeyHash;
use masticfall_entry::fleet::jobs;
use masticfall_entry::fleet::jobs::{CallerRequest, JobStatus};
use masticfall_entry::fleet::peers::PeerCalls;
use masticfall_entry::fleet::{Fleet, FleetSettings, RunningFleet, start};
use masticfall_platform::error::UnavailableSnafu;
use masticfall_standin::fleet::World;
use masticfall_standin::fleet::check::{
    dependency_violations, overcommitted_workers, overlapping_runs, reruns_after_done,
    unaccepted_runs, unfinished_tasks,
};
use tokio::time::sleep;

pub const WORKERS: usize = 6;
pub const CAPACITY: Resources =
    Resources { cpu_millis: 8_000, memory_mib: 64_000, accelerators: 0 };

pub fn config(version: u64, keys: &[&str]) -> Arc<FleetConfig> {
    let queue = QueueConfig {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        pool: "p".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_ms: 600,
        is_open: false,
        advice: None,
    };
    let accounts = IndexMap::from([(
        AccountName::from("a"),
        AccountConfig { weight: 1.0, limit: Resources::default() },
    )]);
    let keys = keys.iter().map(|key| (KeyHash::of(key), AccountName::from("a")));
    Arc::new(FleetConfig {
        version,
        queues: IndexMap::from([(QueueName::from("q"), queue)]),
        pools: IndexMap::from([(
            PoolName::from("p"),
            PoolConfig { checks_capacity: true, is_standby: false },
        )]),
        accounts,
        keys: keys.collect(),
        bounds: RequestBounds { max_header_bytes: 9_000, max_body_bytes: 9_000 },
    })
}

pub fn launch(world: &Arc<World>, name: &str) -> RunningFleet {
    launch_with(world, FleetSettings::local(name, "dc"))
}

pub fn launch_with(world: &Arc<World>, settings: FleetSettings) -> RunningFleet {
    let clock = Arc::clone(world);
    let platform = world.platform(&settings.name);
    start(settings, platform, Arc::new(move || clock.now_ms()), unreachable_peers())
}

/// Calls to peers that all fail.
pub fn unreachable_peers() -> PeerCalls {
    PeerCalls {
        fetch_config: Arc::new(|_, _| {
            Box::pin(async { UnavailableSnafu { reason: "not reached" }.fail() })
        }),
        connect_relay: Arc::new(|_| {
            Box::pin(async { UnavailableSnafu { reason: "not reached" }.fail() })
        }),
        connect_owner: Arc::new(|_| {
            Box::pin(async { UnavailableSnafu { reason: "not reached" }.fail() })
        }),
    }
}

/// Launches a process on an instance with a low fitness for dispatching.
pub fn launch_low_fitness(world: &Arc<World>, name: &str) -> RunningFleet {
    launch_with(world, FleetSettings { cpu_share: 0.04, ..FleetSettings::local(name, "dc") })
}

pub fn is_owner(process: &RunningFleet) -> bool {
    process.fleet.shared().ownership.is_some()
}

pub fn caller(path: &str) -> CallerRequest {
    CallerRequest {
        host: "h".into(),
        path: Name::from(format!("/q/{path}")),
        key: Some("key".into()),
        deadline_ms: Some(3_000),
    }
}

pub fn two_step_spec() -> JobSpec {
    let step = StepSpec {
        tasks: 3,
        needs: Resources { cpu_millis: 2_000, memory_mib: 100, accelerators: 0 },
        estimate_ms: 400,
        ..StepSpec::default()
    };
    let second = StepSpec { after: vec![0], tasks: 2, ..step.clone() };
    JobSpec {
        payload: "payload".into(),
        steps: vec![step, second],
        repeat: 0,
        first_due_wall_ms: 0,
        interval_ms: 0,
    }
}

pub async fn submit(world: &World, fleet: &Arc<Fleet>, id: &JobId) -> Result<(), ErrorKind> {
    submit_spec(world, fleet, id, two_step_spec()).await
}

pub async fn submit_spec(
    world: &World,
    fleet: &Arc<Fleet>,
    id: &JobId,
    spec: JobSpec,
) -> Result<(), ErrorKind> {
    world.register_job(id, &spec);
    let admitted = jobs::admit(fleet, &caller(id.as_str())).map_err(|refusal| refusal.kind)?;
    jobs::submit(fleet, &admitted, spec).await.map_err(|refusal| refusal.kind)
}

/// Jobs that a test has handed in.
#[derive(Debug, Default)]
pub struct Submissions {
    /// Accepted, or of unknown outcome; a refused job is never submitted again and must
    /// never run.
    pub submitted: Vec<JobId>,
    pub accepted: Vec<JobId>,
}

impl Submissions {
    pub async fn submit(&mut self, world: &World, fleet: &Arc<Fleet>, id: &JobId) {
        self.submit_spec(world, fleet, id, two_step_spec()).await;
    }

    pub async fn submit_spec(
        &mut self,
        world: &World,
        fleet: &Arc<Fleet>,
        id: &JobId,
        spec: JobSpec,
    ) {
        match submit_spec(world, fleet, id, spec).await {
            Ok(()) => {
                self.accepted.push(id.clone());
                self.submitted.push(id.clone());
            }
            Err(ErrorKind::PlatformUnknown) => self.submitted.push(id.clone()),
            Err(_) => {}
        }
    }
}

pub async fn status(fleet: &Arc<Fleet>, id: &JobId) -> Result<JobStatus, ErrorKind> {
    let admitted = jobs::admit(fleet, &caller(id.as_str())).map_err(|refusal| refusal.kind)?;
    jobs::show(fleet, &admitted).await.map_err(|refusal| refusal.kind)
}

pub async fn phase(fleet: &Arc<Fleet>, id: &JobId) -> Result<JobPhase, ErrorKind> {
    status(fleet, id).await.map(|job| job.phase)
}

pub fn job(number: u64) -> JobId {
    JobId::from(format!("{number:016x}"))
}

/// Checks the invariants against the simulator's record of runs: only jobs in
/// `accepted` may have run, and those in `done` must be complete.
pub fn assert_invariants(world: &World, accepted: &[JobId], done: &[JobId]) {
    let record = world.record();
    let specs = world.specs();
    assert_eq!(overlapping_runs(&record), Vec::<String>::new(), "overlapping runs of a task");
    assert_eq!(reruns_after_done(&record), Vec::<String>::new(), "started again after completion");
    assert_eq!(
        dependency_violations(&record, &specs),
        Vec::<String>::new(),
        "started before a step it depends on"
    );
    assert_eq!(
        overcommitted_workers(&record, CAPACITY),
        Vec::<String>::new(),
        "worker over capacity"
    );
    assert_eq!(
        unaccepted_runs(&record, accepted),
        Vec::<String>::new(),
        "run of a job that was not submitted"
    );
    assert_eq!(unfinished_tasks(&record, &specs, done), Vec::<String>::new(), "lost");
}

pub async fn start_settled(world: &Arc<World>, names: &[&str]) -> Vec<RunningFleet> {
    world.set_config(config(1, &["key"]));
    let processes: Vec<RunningFleet> = names.iter().map(|name| launch(world, name)).collect();
    sleep(Duration::from_secs(3)).await;
    processes
}
