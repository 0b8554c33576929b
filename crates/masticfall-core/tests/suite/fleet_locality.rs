//! Waiting for near workers: the decision, and the board under light, full and hot-rack load.

use masticfall_core::fleet::board::Notice;
use masticfall_core::fleet::locality::NearOutcome;
use masticfall_core::fleet::locality::{
    Decision, MAX_WAIT_MS, RackForecast, Request, RunView, WaitInput, decide, expected_left_ms,
    left_by_progress_ms,
};
use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::{Resources, StepSpec, TaskKey};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::prelude::*;
use rstest::rstest;

use crate::fleet_rig::{FakeWorker, Rig, facts, now, record, step};

fn cores(cores: u64) -> Resources {
    Resources { cpu_millis: cores * 1_000, memory_mib: 100 * cores, accelerators: 0 }
}

fn request(tasks: u64, before_ms: u64) -> Request {
    let needs = cores(2);
    Request { needs, run_ms: 800, before_ms, label: None, tasks, max_per_worker: 0 }
}

/// A worker whose two-core runs end at the given times.
fn runs(left_ms: &[u64]) -> Vec<RunView> {
    left_ms.iter().map(|left_ms| RunView { left_ms: *left_ms, reserved: cores(2) }).collect()
}

fn input(run_ms: u64, remote_factor: f64, held_ms: u64, due_in_ms: i64) -> WaitInput {
    WaitInput { run_ms, remote_factor, held_ms, backlog_ms: 0, due_in_ms }
}

/// A wait must neither cost more than it saves, nor endanger an objective that a far start
/// meets, nor reach the platform's limit however often it is prolonged.
#[rstest]
#[case::near_has_room(input(800, 1.5, 0, 5_000), Some(0), Some(0))]
#[case::soon_enough(input(800, 1.5, 0, 5_000), Some(200), Some(400))]
#[case::saves_less_than_a_tick(input(800, 1.5, 0, 5_000), Some(350), None)]
#[case::too_late(input(800, 1.5, 0, 5_000), Some(400), None)]
#[case::never(input(800, 1.5, 0, 5_000), None, None)]
#[case::off(input(800, 1.0, 0, 5_000), Some(1), None)]
#[case::factor_below_one(input(800, 0.5, 0, 5_000), Some(1), None)]
#[case::has_waited(input(800, 1.5, 250, 5_000), Some(200), None)]
#[case::objective_leaves_little(input(800, 1.5, 0, 1_300), Some(120), None)]
#[case::objective_leaves_enough(input(800, 1.5, 0, 1_400), Some(120), Some(200))]
#[case::only_a_near_run_is_in_time(input(800, 3.0, 0, 1_400), Some(500), Some(1_600))]
#[case::long_task(input(60_000, 3.0, 0, 500_000), Some(1_900), Some(MAX_WAIT_MS))]
#[case::long_task_waits_no_longer(input(60_000, 3.0, MAX_WAIT_MS, 500_000), Some(1), None)]
#[case::no_estimate(input(0, 3.0, 0, 5_000), Some(1), None)]
fn decision_by_expected_time(
    #[case] input: WaitInput,
    #[case] near_in_ms: Option<u64>,
    #[case] wait_ms: Option<u64>,
) {
    let expected = match wait_ms {
        None => Decision::TakeFar,
        Some(0) => Decision::TakeNear,
        Some(ms) => Decision::Wait { until_ms: 7_000 + ms },
    };
    assert_eq!(decide(input, near_in_ms, 7_000), expected);
}

/// Jobs that want one rack must not all wait for the same end of a run: each counts those
/// ahead, and the runs that these begin.
#[test]
fn waiting_tasks_count_those_ahead() {
    let mut rack = RackForecast::default();
    rack.add_worker(3, cores(0), runs(&[100, 300]));
    rack.add_worker(4, cores(1), runs(&[200]));
    let mut openings = Vec::new();
    while let Some(opening) = rack.opening(&request(1, 1_200), |_| true) {
        rack.book(&opening, &request(1, 1_200));
        openings.push((opening.in_ms, opening.workers[0].0));
    }
    // The last two follow the first two, whose runs of 800 ms end at 900 and 1,000 ms.
    assert_eq!(openings, [(100, 3), (200, 4), (300, 3), (900, 3), (1_000, 4), (1_100, 3)]);
    let opening = rack.opening(&request(1, 2_000), |worker| worker == 4);
    assert_eq!(opening.map(|opening| opening.in_ms), Some(1_800));
}

/// A booked start must not be given to a longer task that would still run then, and the
/// search that is skipped after a refusal must not hide room.
#[test]
fn short_tasks_use_the_time_before_a_booked_start() {
    let mut rack = RackForecast::default();
    rack.add_worker(0, cores(2), runs(&[500]));
    let wide = Request { needs: cores(4), ..request(1, 1_000) };
    let opening = rack.opening(&wide, |_| true).expect("both cores are free at 500 ms");
    assert_eq!(opening.in_ms, 500);
    rack.book(&opening, &wide);
    assert_eq!(rack.opening(&request(1, 1_000), |_| true), None);
    let short = Request { run_ms: 400, ..request(1, 1_000) };
    let opening = rack.opening(&short, |_| true);
    assert_eq!(opening.map(|opening| opening.in_ms), Some(0));
    let later = rack.opening(&request(1, 1_500), |_| true);
    assert_eq!(later.map(|opening| opening.in_ms), Some(1_300));
}

/// A group is spread if its rack has room for some of its tasks only.
#[test]
fn group_waits_until_all_its_tasks_fit() {
    let mut rack = RackForecast::default();
    rack.add_worker(0, cores(2), runs(&[400, 700]));
    rack.add_worker(1, cores(0), runs(&[300]));
    let in_ms = |rack: &mut RackForecast, tasks, max_per_worker| {
        let request = Request { max_per_worker, ..request(tasks, 1_000) };
        rack.opening(&request, |_| true).map(|opening| opening.in_ms)
    };
    assert_eq!(in_ms(&mut rack, 2, 0), Some(300));
    assert_eq!(in_ms(&mut rack, 4, 0), Some(700));
    assert_eq!(in_ms(&mut rack, 5, 0), None);
    assert_eq!(in_ms(&mut rack, 2, 1), Some(300));
    assert_eq!(in_ms(&mut rack, 3, 1), None);
}

/// A run that outlives its estimate must not be expected to end at once for ever: tasks
/// would wait for a stuck one.
#[test]
fn runs_that_outlive_their_estimate_are_expected_to_go_on() {
    assert_eq!(expected_left_ms(800, 100), 700);
    assert_eq!(expected_left_ms(800, 800), 200);
    assert_eq!(expected_left_ms(800, 5_600), 1_400);
    assert_eq!(left_by_progress_ms(25, 1_000), Some(3_000));
    assert_eq!(left_by_progress_ms(1, 1_000), None);
    assert_eq!(left_by_progress_ms(100, 1_000), None);
}

const RACKS: u64 = 5;
const WORKERS_PER_RACK: u64 = 4;
const CORES: u64 = 8;
const TICK_MS: u64 = 50;

fn rack_of(worker: &WorkerId) -> Name {
    let rack = worker.as_str().split('-').next().unwrap_or_default();
    Name::from(rack)
}

fn worker_facts(rack: u64, number: u64) -> WorkerFacts {
    let labels = vec!["kind".into(), format!("r{rack}").into()];
    WorkerFacts { labels, ..facts(&format!("r{rack}-{number}"), CORES) }
}

/// A sequence of numbers below 1 from a seed.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// What callers ask for.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Work offered, as a part of the pool's capacity with near runs.
    ratio: f64,
    /// Part of the jobs that want the first rack, beyond their even share.
    hot_ratio: f64,
    /// Whether a job is a group that wants one rack, instead of tasks that want given ones.
    is_grouped: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    ended: u64,
    sum_ms: u64,
    in_time: u64,
    near: NearOutcome,
}

/// The racks, with jobs that arrive for 10 s. A far run takes `remote_factor` times as long;
/// the board is told `board_factor`.
struct World {
    rig: Rig,
    remote_factor: f64,
    /// Real duration of each job's tasks and the time at which it was submitted.
    jobs: IndexMap<JobId, (f64, u64)>,
    /// Work left of each run, in milliseconds of a near run.
    left_ms: IndexMap<TaskKey, f64>,
    outcome: Outcome,
}

impl World {
    fn new(world_factor: f64, board_factor: f64) -> Self {
        let mut rig = Rig::new(&[]);
        rig.board.set_remote_factor(board_factor);
        for (rack, number) in (0..RACKS).flat_map(|r| (0..WORKERS_PER_RACK).map(move |n| (r, n))) {
            let facts = worker_facts(rack, number);
            rig.workers.insert(facts.id.clone(), FakeWorker::default());
            rig.board.list_worker(facts);
        }
        rig.poll_all();
        let (jobs, left_ms) = (IndexMap::new(), IndexMap::new());
        Self { rig, remote_factor: world_factor, jobs, left_ms, outcome: Outcome::default() }
    }

    fn submit(&mut self, steps: Vec<StepSpec>, real_ms: f64) -> JobId {
        let id = JobId::from(format!("{:016x}", self.jobs.len() + 1));
        let mut record = record(steps);
        record.accepted_wall_ms = now(self.rig.now_ms).wall_ms;
        self.rig.jobs.insert(id.clone(), record.clone());
        self.rig.board.accept(&id, record, now(self.rig.now_ms));
        self.jobs.insert(id.clone(), (real_ms, self.rig.now_ms));
        id
    }

    fn is_far(&self, key: &TaskKey, worker: &WorkerId) -> bool {
        let Some(job) = self.rig.board.jobs.get(&key.job) else { return false };
        let spec = &job.record.spec.steps[0];
        let rack = rack_of(worker);
        if spec.data_rack.as_ref().is_some_and(|data| *data != rack) {
            return true;
        }
        let placed = job.placements(&key.job);
        spec.wants_same_rack && placed.iter().any(|(_, other)| rack_of(other) != rack)
    }

    fn tick(&mut self) {
        let begun_ms = self.rig.now_ms;
        let started = self.rig.started.len();
        self.rig.board.place(begun_ms);
        self.rig.store();
        self.rig.execute_orders();
        for start in &self.rig.started[started..] {
            self.left_ms.insert(start.task.clone(), self.jobs[&start.task.job].0);
        }
        let mut done = Vec::new();
        for (worker, state) in &self.rig.workers {
            for run in &state.running {
                let factor = if self.is_far(&run.task, worker) { self.remote_factor } else { 1.0 };
                let left_ms = &mut self.left_ms[&run.task];
                *left_ms -= TICK_MS as f64 / factor;
                if *left_ms <= 0.0 {
                    done.push(run.task.to_string());
                }
            }
        }
        for task in &done {
            self.rig.end(task, RunEnd::Done);
        }
        let before: Vec<JobId> = self.rig.board.jobs.keys().cloned().collect();
        self.rig.poll_all();
        self.rig.store();
        for id in before.into_iter().filter(|id| !self.rig.board.jobs.contains_key(id)) {
            let (real_ms, submitted_ms) = self.jobs[&id];
            let took_ms = self.rig.now_ms - submitted_ms;
            self.outcome.ended += 1;
            self.outcome.sum_ms += took_ms;
            self.outcome.in_time += u64::from(took_ms as f64 <= 1.6 * real_ms + 600.0);
        }
        for notice in self.rig.board.take_notices() {
            let Notice::Placed { near, .. } = notice else { continue };
            let sum = &mut self.outcome.near;
            sum.far += near.far;
            sum.waited += near.waited;
            sum.waited_ms += near.waited_ms;
            sum.gained_ms += near.gained_ms;
            sum.lost_ms += near.lost_ms;
            sum.longest_wait_ms = sum.longest_wait_ms.max(near.longest_wait_ms);
        }
        self.rig.advance(begun_ms + TICK_MS - self.rig.now_ms);
    }
}

/// Plays a load for 10 s, and until all jobs have ended.
fn play(load: Load, world_factor: f64, board_factor: f64, seed: u64) -> Outcome {
    let mut world = World::new(world_factor, board_factor);
    let mut draws = Draws(seed);
    let capacity = (RACKS * WORKERS_PER_RACK * CORES * 1_000) as f64;
    let mut due = 0.0;
    for tick in 0..2_000_u64 {
        due += if tick < 200 { load.ratio * capacity * TICK_MS as f64 } else { 0.0 };
        while due > 0.0 {
            let tasks = 2 + (draws.next() * 5.0) as u32;
            let estimate_ms = 300.0 + draws.next() * 1_500.0;
            // Estimates are off by up to a half, and a few tasks run seven times as long.
            let outlier = if draws.next() < 0.03 { 7.0 } else { 1.0 };
            let real_ms = estimate_ms * (0.6 + draws.next() * 0.8) * outlier;
            let is_hot = draws.next() < load.hot_ratio;
            let rack = if is_hot { 0 } else { (draws.next() * RACKS as f64) as u64 };
            let data_rack = (!load.is_grouped).then(|| Name::from(format!("r{rack}")));
            let step = StepSpec {
                estimate_ms: estimate_ms as u64,
                data_rack,
                wants_same_rack: load.is_grouped,
                is_gang: load.is_grouped,
                ..step(tasks, 2)
            };
            due -= real_ms * 2_000.0 * f64::from(tasks);
            world.submit(vec![step], real_ms);
        }
        world.tick();
        if tick >= 200 && world.rig.board.jobs.is_empty() {
            break;
        }
    }
    assert!(world.rig.board.jobs.is_empty(), "all jobs end");
    world.outcome
}

/// Plays two seeds; returns the mean time to completion in milliseconds, and the part of the
/// jobs that met their objective.
fn compare(load: Load, world_factor: f64, board_factor: f64) -> (f64, f64) {
    let (mut ended, mut sum_ms, mut in_time) = (0.0, 0.0, 0.0);
    for seed in 1..=2 {
        let outcome = play(load, world_factor, board_factor, seed);
        ended += outcome.ended as f64;
        sum_ms += outcome.sum_ms as f64;
        in_time += outcome.in_time as f64;
    }
    (sum_ms / ended, in_time / ended)
}

/// Waiting must not make jobs later than starts on far workers at once, under any load, and
/// must not pile jobs up on a hot rack as unlimited waits do. Where all racks are full, waits
/// of 2 s serve nearly as well, since others use the room meanwhile.
#[rstest]
#[case::light(0.4, 0.0, false)]
#[case::full(1.0, 0.0, false)]
#[case::hot_rack(0.5, 0.4, false)]
#[case::light_groups(0.4, 0.0, true)]
#[case::full_groups(1.0, 0.0, true)]
fn waiting_pays_off(
    #[case] ratio: f64,
    #[case] hot_ratio: f64,
    #[case] is_grouped: bool,
    #[values(1.5, 3.0)] remote_factor: f64,
) {
    let load = Load { ratio, hot_ratio, is_grouped };
    let never = compare(load, remote_factor, 1.0);
    // Any wait of up to 2 s seems to save time.
    let always = compare(load, remote_factor, 1_000.0);
    let waiting = compare(load, remote_factor, remote_factor);
    let figures = format!("never {never:?}, always {always:?}, by expectation {waiting:?}");
    assert!(waiting.0 <= never.0 * 1.02 && waiting.1 >= never.1, "{figures}");
    assert!(waiting.0 <= always.0 * 1.2 && waiting.1 >= always.1 - 0.07, "{figures}");
    if hot_ratio > 0.0 {
        assert!(waiting.0 < always.0 && waiting.1 > always.1, "{figures}");
    }
    if ratio >= 1.0 {
        assert!(waiting.1 >= never.1 + 0.1, "{figures}");
    }
}

fn near_step(tasks: u32, cores: u64, rack: &str) -> StepSpec {
    StepSpec { data_rack: Some(rack.into()), ..step(tasks, cores) }
}

/// A world whose first rack is full of runs that are expected to end in 800 ms.
fn world_with_full_rack(remote_factor: f64) -> World {
    let mut world = World::new(remote_factor, remote_factor);
    world.submit(vec![near_step(4, 8, "r0")], 800.0);
    world.tick();
    assert_eq!(world.rig.started.len(), 4);
    world
}

/// Returns the racks of a job's tasks and the time at which the first started, within 4 s.
fn start_of(world: &mut World, job: &JobId) -> (u64, Vec<Name>) {
    let begun_ms = world.rig.now_ms;
    for _ in 0..80 {
        let racks: Vec<Name> = world
            .rig
            .started
            .iter()
            .filter(|start| start.task.job == *job)
            .map(|start| rack_of(&start.worker))
            .collect();
        if !racks.is_empty() {
            return (world.rig.now_ms - begun_ms, racks);
        }
        world.tick();
    }
    panic!("job {job} isn't started");
}

/// The wait ends with the near run that it is for, and holds up nobody else.
#[test]
fn task_waits_for_a_near_run_that_ends_soon() {
    let mut world = world_with_full_rack(3.0);
    let job = world.submit(vec![near_step(1, 8, "r0")], 800.0);
    let other = world.submit(vec![step(1, 8)], 800.0);
    assert!(start_of(&mut world, &other).0 <= 2 * TICK_MS);
    let (after_ms, racks) = start_of(&mut world, &job);
    assert!((600..=900).contains(&after_ms), "{after_ms}");
    assert_eq!(racks, ["r0".into()]);
    let near = world.outcome.near;
    assert_eq!((near.waited, near.far, near.lost_ms), (1, 0, 0));
    assert!(near.gained_ms > 500, "{near:?}");
}

/// Setting 1, the default, means that nobody waits.
#[test]
fn without_a_factor_no_task_waits() {
    let mut world = world_with_full_rack(1.0);
    let job = world.submit(vec![near_step(1, 8, "r0")], 800.0);
    let (after_ms, racks) = start_of(&mut world, &job);
    assert!(after_ms <= TICK_MS && racks != ["r0".into()], "{after_ms} {racks:?}");
    assert_eq!(world.outcome.near, NearOutcome::default());
}

/// By the platform's contract a task must not wait for 3 s while its pool has room for it,
/// also if the runs that it waits for are expected to end at any time and never do.
#[test]
fn wait_in_vain_ends_before_the_limit_of_the_platform() {
    let mut world = World::new(3.0, 3.0);
    world.submit(vec![near_step(4, 8, "r0")], 100_000.0);
    world.tick();
    // They report that they are nearly done, for ever.
    for run in world.rig.workers.values_mut().flat_map(|worker| &mut worker.running) {
        run.percent = 99;
    }
    (0..4).for_each(|_| world.tick());
    let long = StepSpec { estimate_ms: 60_000, ..near_step(1, 8, "r0") };
    let job = world.submit(vec![long], 60_000.0);
    let (after_ms, racks) = start_of(&mut world, &job);
    assert!((MAX_WAIT_MS - 100..=MAX_WAIT_MS + 100).contains(&after_ms), "{after_ms}");
    assert!(racks != ["r0".into()]);
}

/// A rack that takes no tasks soon is never waited for: it is dark, draining, or about to
/// be maintained.
#[rstest]
#[case::dark(|world: &mut World| {
    for worker in world.rig.board.workers.values_mut().take(4) {
        worker.is_unresponsive = true;
    }
})]
#[case::draining(|world: &mut World| {
    for number in 0..WORKERS_PER_RACK {
        let facts = WorkerFacts { is_draining: true, ..worker_facts(0, number) };
        world.rig.board.list_worker(facts);
    }
})]
#[case::due_for_maintenance(|world: &mut World| {
    for worker in world.rig.board.workers.values_mut().take(4) {
        worker.is_maintenance_due = true;
    }
})]
fn racks_out_of_service_are_not_waited_for(#[case] change: fn(&mut World)) {
    let mut world = world_with_full_rack(3.0);
    change(&mut world);
    let job = world.submit(vec![near_step(1, 8, "r0")], 800.0);
    let (after_ms, racks) = start_of(&mut world, &job);
    assert!(after_ms <= TICK_MS && racks != ["r0".into()], "{after_ms} {racks:?}");
}

/// A group must go to one rack as a whole if any has room, although its first task fits best
/// elsewhere, and wait as a whole if one has room soon.
#[rstest]
#[case::gang(true)]
#[case::step(false)]
fn group_is_placed_or_waits_as_one(#[case] is_gang: bool) {
    let mut world = World::new(3.0, 3.0);
    // Two cores are left on each worker of the first four racks, and six on one of the last.
    for rack in 0..RACKS {
        let last = if rack == RACKS - 1 { [6, 2, 8, 6] } else { [6; 4] };
        for cores in last {
            world.submit(vec![near_step(1, cores, &format!("r{rack}"))], 800.0);
        }
        world.tick();
    }
    let group = |tasks| StepSpec { wants_same_rack: true, is_gang, ..step(tasks, 2) };
    let job = world.submit(vec![group(5)], 800.0);
    let (after_ms, racks) = start_of(&mut world, &job);
    assert!(after_ms <= TICK_MS);
    assert_eq!(racks, vec![Name::from("r4"); 5]);
    // No rack has room for six more, until the runs end.
    let job = world.submit(vec![group(6)], 800.0);
    let (after_ms, racks) = start_of(&mut world, &job);
    assert!((300..=800).contains(&after_ms), "{after_ms}");
    assert_eq!(racks.len(), 6);
    assert!(racks.iter().all(|rack| *rack == racks[0]), "{racks:?}");
    assert_eq!((world.outcome.near.waited, world.outcome.near.far), (6, 0));
}
