//! Start orders before the placement is stored: the platform's rules hold whatever happens to
//! the store, the workers and the owner.

use masticfall_core::fleet::board::{Board, FoundOpenSet, Notice, Order};
use masticfall_core::fleet::open_set::{OpenContent, OpenSet, OpenWorker, may_start_early};
use masticfall_core::fleet::report::{EndedRun, RunEnd, WorkerReport};
use masticfall_core::fleet::spec::{JobSpec, Resources, StepSpec, TaskKey};
use masticfall_core::fleet::worker::WorkerFacts;
use masticfall_core::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

use crate::fleet_early_world::{WORKERS, World};
use crate::fleet_rig::{LEASE_MS, Rig, config, facts, record, step, timings};

fn apply(world: &mut World, (kind, a, b): (u8, u8, u8)) {
    let (owner, worker) = (world.owner(usize::from(a)), usize::from(b) % WORKERS.len());
    // Nearly every call gets an answer.
    let outcome = if b < 200 { 0 } else { b % 3 };
    match kind {
        0 => world.submit_chain(),
        1 => world.take_over(b % 2 == 0),
        2 => world.set_silent(worker, a % 2 == 0),
        3 => world.restart(worker),
        4 => world.set_draining(worker, a % 2 == 0),
        5..8 => world.advance(u64::from(b) * 8),
        8..20 => world.schedule(owner),
        20..28 => world.store(owner, outcome),
        28..34 => world.write_open(owner, b % 3),
        34 => world.land_late_write(),
        35..55 => world.deliver(owner, usize::from(b), outcome == 0),
        55..75 => world.poll(owner, worker, outcome == 0),
        75..80 => world.feed(owner),
        80..98 => world.end_one(worker, RunEnd::Done),
        _ => world.end_one(worker, RunEnd::Stopped),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Guards against two runs of a task at once, a run after an acknowledged end, and a start
    /// before the step before it is done, in any order of placements, writes that are stored
    /// or lost, reports, and losses of owners and workers. The model checks each start.
    #[test]
    fn rules_hold_in_any_order_of_events(
        events in prop::collection::vec((0..100_u8, any::<u8>(), any::<u8>()), 100..600),
    ) {
        let mut world = World::new();
        world.submit_chain();
        for event in events {
            apply(&mut world, event);
        }
        world.finish();
    }
}

fn is_start(order: &Order) -> bool {
    matches!(order, Order::Start(_))
}

/// Guards against a step that waits for the store although its worker is known to it.
#[test]
fn chain_goes_on_while_nothing_is_stored() {
    let mut world = World::new();
    world.open();
    world.submit_chain();
    world.start_early(0);
    assert_eq!((world.runs.len(), world.early_starts), (2, 2));
    for run in 0..2 {
        world.end_one(world.runs[run].worker, RunEnd::Done);
    }
    (0..4).for_each(|worker| world.poll(0, worker, true));
    world.start_early(0);
    assert_eq!(world.runs_of(1).len(), 2, "the next step starts early as well");
    assert_eq!(world.owners[0].board.unstored_runs(), 4);
    world.store(0, 0);
    world.store(0, 0);
    assert_eq!(world.owners[0].board.unstored_runs(), 0);
    let notices = world.owners[0].board.take_notices();
    let begun = notices.iter().filter(|n| matches!(n, Notice::EarlyStartsBegun { .. }));
    assert_eq!(begun.count(), 1, "one line for an outage");
    let stored = notices.iter().find(|n| matches!(n, Notice::EarlyStartsStored { .. }));
    assert!(matches!(stored, Some(Notice::EarlyStartsStored { runs: 4, .. })), "{stored:?}");
    world.finish();
    assert_eq!(world.runs.len(), 4, "each task ran once");
}

/// A batch that was taken before the early order also stores the run. Guards against a second
/// order, and against a run that counts as unstored for ever.
#[test]
fn batch_taken_before_the_early_order_stores_the_run_and_orders_nothing() {
    let mut rig = early_rig(&[("w1", 8)]);
    rig.submit("00000000000000aa", vec![step(2, 1)]);
    rig.board.place(rig.now_ms);
    let batch = rig.board.take_batch(1_000_000);
    rig.advance(60);
    assert_eq!(rig.board.order_early(rig.now_ms), 2);
    assert_eq!(rig.board.unstored_runs(), 2);
    assert_eq!(rig.board.take_orders().iter().filter(|order| is_start(order)).count(), 2);
    rig.board.batch_stored(batch, rig.now_ms);
    assert_eq!(rig.board.unstored_runs(), 0);
    assert_eq!(rig.board.take_orders(), Vec::new());
}

/// Returns a rig whose open set is stored.
fn early_rig(workers: &[(&str, u64)]) -> Rig {
    let mut rig = Rig::new(workers);
    rig.board.set_early_start_after(50);
    let content = rig.board.plan_open_set().expect("a first set");
    rig.board.open_set_stored(content);
    rig
}

/// Places a job and returns how many of its tasks are ordered early.
fn early_orders(rig: &mut Rig, steps: Vec<StepSpec>) -> u32 {
    rig.submit("00000000000000aa", steps);
    rig.board.place(rig.now_ms);
    rig.advance(60);
    rig.board.order_early(rig.now_ms)
}

/// Guards against an early start where the next owner would not look for it.
#[rstest]
#[case::ready(|_: &mut Rig| {}, 1)]
#[case::off(|rig: &mut Rig| rig.board.set_early_start_after(0), 0)]
#[case::too_soon(|rig: &mut Rig| rig.board.set_early_start_after(90), 0)]
#[case::cordoned(
    |rig: &mut Rig| {
        rig.submit("00000000000000bb", vec![step(1, 1)]);
        rig.board.place(0);
        rig.board.cordon(&"w1".into(), true);
    },
    0
)]
#[case::other_version(|rig: &mut Rig| rig.board.set_config(config(2, Resources::default())), 0)]
#[case::other_capacity(|rig: &mut Rig| rig.board.list_worker(facts("w1", 9)), 0)]
#[case::other_pool(
    |rig: &mut Rig| {
        rig.submit("00000000000000bb", vec![step(1, 1)]);
        rig.board.place(0);
        rig.board.list_worker(WorkerFacts { pool: "spare".into(), ..facts("w1", 8) });
        let content = rig.board.plan_open_set().expect("a change");
        rig.board.open_set_stored(content);
    },
    0
)]
#[case::write_in_flight(
    |rig: &mut Rig| {
        rig.board.list_worker(facts("w1", 9));
        drop(rig.board.plan_open_set().expect("a change"));
    },
    0
)]
#[test]
fn only_workers_of_the_stored_set_start_early(#[case] change: fn(&mut Rig), #[case] orders: u32) {
    let mut rig = early_rig(&[("w1", 8)]);
    change(&mut rig);
    assert_eq!(early_orders(&mut rig, vec![step(1, 1)]), orders);
}

/// Guards against unrecorded runs that the next owner can't tell from others, or can't stop in
/// time.
#[rstest]
#[case::plain(step(3, 1), 0, true)]
#[case::gang(StepSpec { is_gang: true, ..step(3, 1) }, 0, false)]
#[case::long_running(StepSpec { is_long_running: true, ..step(3, 1) }, 0, false)]
#[case::best_effort(StepSpec { is_filler: true, ..step(3, 1) }, 0, false)]
#[case::recurring(step(3, 1), 1, false)]
#[case::wide(step(201, 1), 0, false)]
#[test]
fn only_plain_tasks_start_early(#[case] step: StepSpec, #[case] repeat: u32, #[case] may: bool) {
    let spec = JobSpec { repeat, ..record(vec![step]).spec };
    assert_eq!(may_start_early(&spec, 0), may);
}

#[test]
fn second_attempt_waits_for_the_store() {
    let mut rig = early_rig(&[("w1", 8)]);
    assert_eq!(early_orders(&mut rig, vec![step(1, 1)]), 1);
    rig.execute_orders();
    rig.end("00000000000000aa.0.0.0", RunEnd::Stopped);
    rig.poll_all();
    rig.board.place(rig.now_ms);
    rig.advance(60);
    assert_eq!(rig.board.order_early(rig.now_ms), 0, "one unrecorded run of a task at most");
    rig.settle();
    assert_eq!(rig.started.len(), 2);
}

#[test]
fn number_of_unstored_runs_is_bounded() {
    let workers: Vec<String> = (0..8).map(|number| format!("w{number}")).collect();
    let workers: Vec<(&str, u64)> = workers.iter().map(|id| (id.as_str(), 600)).collect();
    let mut rig = early_rig(&workers);
    for job in 0..21 {
        rig.submit(&format!("{job:016x}"), vec![step(200, 1)]);
    }
    rig.board.place(rig.now_ms);
    rig.advance(60);
    assert_eq!(rig.board.order_early(rig.now_ms), 4_000);
    assert_eq!(rig.board.order_early(rig.now_ms), 0);
}

fn content(ids: &[&str]) -> OpenContent {
    let open = |id: &&str| (WorkerId::from(*id), OpenWorker::new(&facts(id, 8)));
    OpenContent { config_version: 1, workers: ids.iter().map(open).collect() }
}

/// Guards against a start on a worker that a write of unknown outcome has taken out.
#[test]
fn only_workers_of_all_sets_that_may_be_stored_count() {
    let mut set = OpenSet::absent();
    let allowed = |set: &OpenSet| {
        let ids = ["a", "b", "c"].into_iter();
        ids.filter(|id| set.allows(&facts(id, 8), 1)).collect::<Vec<_>>()
    };
    set.begin_write(&content(&["a", "b"]));
    assert_eq!(allowed(&set), Vec::<&str>::new(), "not confirmed yet");
    set.confirm(content(&["a", "b"]));
    set.begin_write(&content(&["b", "c"]));
    assert_eq!(allowed(&set), ["b"]);
    set.begin_write(&content(&["a", "b", "c"]));
    assert_eq!(allowed(&set), ["b"], "the write before may still take effect");
    assert!(set.needs_write(&content(&["a", "b", "c"])));
    set.confirm(content(&["a", "b", "c"]));
    assert_eq!(allowed(&set), ["a", "b", "c"]);
}

/// Guards against a next owner that doesn't look for a run on a worker that drains.
#[test]
fn worker_with_an_unstored_run_stays_in_the_set_until_it_is_stored() {
    let mut rig = early_rig(&[("w1", 8)]);
    assert_eq!(early_orders(&mut rig, vec![step(1, 1)]), 1);
    rig.execute_orders();
    rig.board.cordon(&"w1".into(), true);
    rig.board.set_config(config(2, Resources::default()));
    assert_eq!(rig.board.plan_open_set(), None, "worker and version stay as they are");
    // The end alone doesn't make the run known to the store.
    rig.end("00000000000000aa.0.0.0", RunEnd::Stopped);
    rig.poll_all();
    assert_eq!(rig.board.plan_open_set(), None);
    rig.store();
    let next = rig.board.plan_open_set().expect("a change");
    assert_eq!((next.config_version, next.workers.len()), (2, 0));
}

/// A job is accepted after the new owner has read the jobs, and the owner before starts it.
/// Guards against stopping or acknowledging such a run, after which it would run again.
#[rstest]
#[case::running(false)]
#[case::ended(true)]
#[test]
fn run_of_a_job_that_the_new_owner_does_not_know_is_kept(#[case] is_ended: bool) {
    let mut world = World::new();
    world.open();
    world.take_over(true);
    world.submit_chain();
    world.start_early(0);
    assert_eq!(world.runs.len(), 2);
    if is_ended {
        world.end_one(world.runs[0].worker, RunEnd::Done);
    }
    (0..4).for_each(|worker| world.poll(1, worker, true));
    assert!(world.owners[1].board.is_settling() && world.owners[1].board.needs_jobs_read());
    world.schedule(1);
    world.finish();
    assert_eq!(world.runs.len(), 4, "each task ran once: {:?}", world.runs);
}

/// The end of the first step was on a worker that is lost with the owner. Guards against a
/// second run of the step after it, whose run goes on.
#[test]
fn run_whose_step_before_is_lost_goes_on() {
    let mut world = World::new();
    world.open();
    world.submit_chain();
    world.start_early(0);
    let first = world.runs[0].worker;
    for run in 0..2 {
        world.end_one(world.runs[run].worker, RunEnd::Done);
        world.poll(0, world.runs[run].worker, true);
    }
    // The tasks of the second step go elsewhere.
    world.set_draining(first, true);
    world.start_early(0);
    let second: Vec<usize> = world.runs_of(1).iter().map(|run| run.worker).collect();
    assert_eq!(second.len(), 2);
    world.restart(first);
    world.take_over(false);
    (0..4).for_each(|worker| world.poll(0, worker, true));
    world.schedule(0);
    world.deliver_all(0);
    assert!(world.runs_of(1).iter().all(|run| run.end.is_none()), "no run is stopped");
    world.end_one(second[0], RunEnd::Done);
    world.finish();
    assert_eq!(world.runs_of(1).len(), 2, "each ran once");
    assert!(world.runs_of(0).len() > 2, "the lost step ran again");
}

/// Returns a model in which the owner has stored an open set and is lost together with a
/// worker, with a job that waits.
fn world_with_a_lost_worker() -> World {
    let mut world = World::new();
    world.open();
    world.submit_chain();
    world.set_silent(3, true);
    world
}

/// Lets the owner work with a store that answers; returns the number of runs so far.
fn starts(world: &mut World) -> usize {
    world.feed(0);
    world.schedule(0);
    world.store(0, 0);
    world.store(0, 0);
    world.schedule(0);
    world.deliver_all(0);
    (0..4).for_each(|worker| world.poll(0, worker, true));
    world.runs.len()
}

/// Guards against first runs while a worker may have them, and against waiting for ever.
#[test]
fn first_runs_wait_until_the_leases_of_a_lost_worker_have_ended() {
    let mut world = world_with_a_lost_worker();
    world.take_over(false);
    assert_eq!(starts(&mut world), 0);
    assert_eq!(starts(&mut world), 0, "the other workers have reported");
    world.advance(timings().takeover_overlap_ms + LEASE_MS);
    assert_eq!(starts(&mut world), 0, "with a slow clock the worker's lease lasts longer");
    world.advance(LEASE_MS / 50 + 200);
    assert_eq!(starts(&mut world), 2);
    let notices = world.owners[0].board.take_notices();
    let settled = notices.iter().find(|n| matches!(n, Notice::TakeoverSettled { .. }));
    let expected = matches!(settled, Some(Notice::TakeoverSettled { workers: 4, expired: 1, .. }));
    assert!(expected, "{settled:?}");
}

/// The set was written two owners ago: the leases that the last one counted with don't bound
/// those of the one before.
#[test]
fn set_of_an_owner_before_the_last_is_waited_for_in_full() {
    let mut rig = Rig::new(&[("w1", 8)]);
    let mut board = Board::new(9, timings(), 50_000);
    board.set_config(rig.board.config.clone().expect("a configuration"));
    board.begin_settling(FoundOpenSet::Set(7, content(&["w9"])), 9_000, 50_000);
    rig.board = board;
    rig.now_ms = 50_000;
    rig.advance(9_000 + LEASE_MS);
    assert!(rig.board.is_settling());
    rig.advance(LEASE_MS / 50 + 200);
    assert!(!rig.board.is_settling());
}

/// Guards against a takeover that holds up tasks whose attempts the store knows.
#[test]
fn tasks_with_a_stored_attempt_are_not_delayed() {
    let mut world = world_with_a_lost_worker();
    assert_eq!(starts(&mut world), 2);
    for run in 0..2 {
        world.end_one(world.runs[run].worker, RunEnd::Stopped);
    }
    world.take_over(false);
    starts(&mut world);
    assert_eq!(starts(&mut world), 4, "both run again at once");
    assert!(world.owners[0].board.is_settling());
}

/// Queues may belong to other pools in another version. Guards against a first run in a pool
/// that has no unsettled worker under this version only.
#[test]
fn other_configuration_version_delays_first_runs_in_all_pools() {
    let mut world = world_with_a_lost_worker();
    world.take_over(false);
    let pool_of_set = content(&["w0"]).workers[0].pool.clone();
    for (version, starts_expected) in [(1, 2), (2, 0)] {
        let mut board = Board::new(2, timings(), 1_000);
        board.set_config(config(version, Resources::default()));
        let mut set = content(&["x"]);
        set.workers[0].pool = "other".into();
        assert_ne!(set.workers[0].pool, pool_of_set);
        board.begin_settling(FoundOpenSet::Set(1, set), 0, 1_000);
        let mut rig = Rig::new(&[]);
        rig.board = board;
        rig.workers.insert("w1".into(), crate::fleet_rig::FakeWorker::default());
        rig.list(&[("w1", 8)]);
        rig.poll_all();
        rig.submit("00000000000000aa", vec![step(2, 1)]);
        rig.settle();
        assert_eq!(rig.started.len(), starts_expected, "version {version}");
    }
}

/// Guards against an account above its maximum by runs that nobody has reported yet.
#[test]
fn accounts_with_a_maximum_count_unsettled_workers_as_used() {
    let limit = Resources { cpu_millis: 8_000, ..Resources::default() };
    let mut world = World::new();
    world.config = config(1, limit);
    world.take_over(false);
    world.open();
    world.submit_chain();
    assert_eq!(starts(&mut world), 2);
    for run in 0..2 {
        world.end_one(world.runs[run].worker, RunEnd::Stopped);
    }
    world.set_silent(3, true);
    world.take_over(false);
    starts(&mut world);
    assert_eq!(starts(&mut world), 2, "the silent worker may run eight cores' worth");
    world.advance(timings().takeover_overlap_ms + LEASE_MS * 2);
    assert_eq!(starts(&mut world), 4);
}

/// A worker lists its ends 500 at a time. Guards against a first run of a task whose end is
/// beyond them.
#[test]
fn report_that_may_be_cut_off_does_not_settle_its_worker() {
    let mut rig = Rig::new(&[]);
    rig.board = Board::new(2, timings(), 1_000);
    rig.board.begin_settling(FoundOpenSet::Set(1, content(&["w1"])), 0, 1_000);
    rig.board.jobs_read(5_000);
    let task = TaskKey { job: "00000000000000bb".into(), occurrence: 0, step: 0, index: 0 };
    for (ends, is_settling) in [(500, true), (499, false)] {
        let ended = (1..=ends).map(|number| EndedRun {
            number,
            task: task.clone(),
            attempt: 1,
            end: RunEnd::Done,
            checkpoint: None,
        });
        let report = WorkerReport { clock_ms: 9, ended: ended.collect(), ..Default::default() };
        rig.board.report(&"w1".into(), 1_000, report, 1_001);
        assert_eq!(rig.board.is_settling(), is_settling);
    }
}

#[rstest]
#[case::done(RunEnd::Done, 1, 1)]
#[case::failed(RunEnd::Failed, 2, 2)]
#[case::stopped(RunEnd::Stopped, 2, 3)]
#[test]
fn end_that_the_store_does_not_know_counts(
    #[case] end: RunEnd,
    #[case] runs: usize,
    #[case] runs_if_failed: usize,
) {
    let mut world = World::new();
    world.open();
    world.submit(vec![step(1, 2)]);
    world.start_early(0);
    world.end_one(world.runs[0].worker, end);
    world.take_over(false);
    starts(&mut world);
    assert_eq!(starts(&mut world), runs, "{:?}", world.runs);
    // The job's queue allows two failed attempts.
    for run in 0..world.runs.len() {
        if world.runs[run].end.is_none() {
            world.end_one(world.runs[run].worker, RunEnd::Failed);
        }
    }
    starts(&mut world);
    assert_eq!(starts(&mut world), runs_if_failed);
}

#[test]
fn run_of_a_cancelled_job_is_stopped_by_the_next_owner() {
    let mut world = World::new();
    world.open();
    world.submit_chain();
    world.start_early(0);
    world.take_over(false);
    let id = world.runs[0].task.job.clone();
    world.owners[0].board.cancel(&id, world.now_ms);
    starts(&mut world);
    world.deliver_all(0);
    starts(&mut world);
    assert!(world.runs.iter().all(|run| run.end == Some(RunEnd::Stopped)), "{:?}", world.runs);
    assert_eq!(world.runs.len(), 2);
}

/// Guards against any change for deployments that don't ask for early starts.
#[test]
fn without_the_setting_nothing_is_written_or_waited_for() {
    let mut rig = Rig::new(&[("w1", 8)]);
    assert_eq!(rig.board.plan_open_set(), None);
    rig.board.begin_settling(FoundOpenSet::Absent, 4_500, rig.now_ms);
    assert!(!rig.board.is_settling());
    // A process without the setting takes over from one with it, and clears its set.
    rig.board.begin_settling(FoundOpenSet::Set(1, content(&["w1"])), 4_500, rig.now_ms);
    assert!(rig.board.is_settling());
    assert_eq!(rig.board.plan_open_set(), None, "the set stays as it is");
    rig.poll_all();
    assert_eq!(rig.board.plan_open_set(), Some(OpenContent::default()));
}

#[test]
fn large_open_set_is_stored_in_several_rows() {
    let workers = (0..1_800).map(|number| {
        let id = format!("{number:064}");
        (WorkerId::from(id.as_str()), OpenWorker::new(&facts(&id, 8)))
    });
    let content = OpenContent { config_version: 3, workers: workers.collect() };
    let mut rows = content.to_rows(7);
    assert_eq!(rows.len(), 8);
    assert_eq!(OpenContent::from_rows(&rows), Some((7, content)));
    rows.pop();
    assert_eq!(OpenContent::from_rows(&rows), None, "a row is missing");
}
