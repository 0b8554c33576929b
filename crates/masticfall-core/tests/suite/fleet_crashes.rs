//! Which tasks are suspected of crashing their workers, and which are given up.

use masticfall_core::fleet::board::{Notice, Order};
use masticfall_core::fleet::crashes::{Company, Crash, Verdict, judge};
use masticfall_core::fleet::progress::{JobPhase, TaskStage};
use masticfall_core::fleet::report::{RunEnd, StartOutcome, WorkerReport};
use masticfall_core::prelude::*;
use rstest::rstest;

use crate::fleet_rig::{LEASE_MS, Rig, facts, step};

const WORKERS: &[(&str, u64)] = &[("w1", 8), ("w2", 8), ("w3", 8), ("w4", 8)];
const JOB: &str = "00000000000000d1";
const OTHER: &str = "00000000000000d2";
const THIRD: &str = "00000000000000d3";

fn crash(worker: &str, age_ms: u64, company: Company) -> Crash {
    Crash {
        worker: worker.into(),
        born_wall_ms: Some(5),
        age_ms: Some(age_ms),
        alive_ms: 0,
        has_started: true,
        company,
        is_shared: false,
    }
}

fn early(company: Company) -> Crash {
    crash("w1", 20, company)
}

fn late(company: Company) -> Crash {
    crash("w1", 2_000, company)
}

fn shared(crash: Crash) -> Crash {
    Crash { is_shared: true, ..crash }
}

/// A crash of a run that had been seen alive for some time.
fn seen(alive_ms: u64, crash: Crash) -> Crash {
    Crash { alive_ms, ..crash }
}

fn unanswered(crash: Crash) -> Crash {
    Crash { has_started: false, ..crash }
}

#[rstest]
#[case::none(vec![], Verdict::Clear)]
#[case::one_at_the_start(vec![early(Company::Unsettled)], Verdict::Watched)]
#[case::one_late(vec![late(Company::Alone)], Verdict::Clear)]
#[case::twice_at_the_start(
    vec![early(Company::Unsettled), early(Company::Settled)], Verdict::GivenUp)]
#[case::beside_another_that_started(
    vec![early(Company::Unsettled), early(Company::Unsettled)], Verdict::Isolated)]
#[case::with_its_rack(
    vec![early(Company::Unsettled), shared(early(Company::Alone))], Verdict::Isolated)]
#[case::earlier_run_lived_longer(
    vec![seen(300, crash("w1", 400, Company::Unsettled)), early(Company::Alone)],
    Verdict::Isolated)]
#[case::twice_late(vec![late(Company::Settled), late(Company::Alone)], Verdict::Isolated)]
#[case::alone_at_last(
    vec![late(Company::Settled), late(Company::Settled), late(Company::Alone)],
    Verdict::GivenUp)]
#[case::never_alone(
    vec![late(Company::Settled), late(Company::Settled), late(Company::Settled)],
    Verdict::Isolated)]
#[case::orders_without_answers(
    vec![unanswered(late(Company::Alone)), late(Company::Alone), late(Company::Alone)],
    Verdict::Isolated)]
#[case::orders_that_may_have_come_after_the_crash(
    vec![unanswered(early(Company::Settled)), early(Company::Settled)], Verdict::Isolated)]
#[case::last_order_may_have_come_after_the_crash(
    vec![early(Company::Settled), unanswered(early(Company::Settled))], Verdict::Isolated)]
#[case::second_real_crash(
    vec![early(Company::Settled), unanswered(early(Company::Settled)), early(Company::Settled)],
    Verdict::GivenUp)]
#[case::two_crashes_before_the_answer(
    vec![unanswered(early(Company::Alone)), unanswered(early(Company::Alone))],
    Verdict::Isolated)]
#[case::three_crashes_before_the_answer(
    vec![unanswered(early(Company::Alone)); 3], Verdict::GivenUp)]
#[case::too_many_at_the_start(vec![early(Company::Unsettled); 4], Verdict::GivenUp)]
#[case::too_many(vec![late(Company::Unsettled); 5], Verdict::GivenUp)]
#[test]
fn verdict_follows_the_evidence(#[case] crashes: Vec<Crash>, #[case] verdict: Verdict) {
    assert_eq!(judge(&crashes), verdict);
}

/// Lets a worker stop answering at once, and another one take its address later.
fn lose_worker(rig: &mut Rig, id: &WorkerId) {
    rig.board.poll_failed(id, rig.now_ms);
    rig.workers[id].running.clear();
    rig.advance(3_000);
    let now_ms = rig.now_ms;
    rig.board.remove_worker(id, now_ms);
}

fn verdict(rig: &Rig, job: &str) -> Verdict {
    let job = &rig.board.jobs[&JobId::from(job)];
    let tasks = job.occurrences.values().flat_map(|occurrence| &occurrence.steps[0].tasks);
    tasks.map(masticfall_core::fleet::board::Task::verdict).max().expect("a task")
}

fn workers_of(rig: &Rig, job: &str) -> IndexSet<WorkerId> {
    let id = JobId::from(job);
    rig.board.jobs[&id].placements(&id).into_iter().map(|(_, worker)| worker).collect()
}

#[test]
fn suspects_of_a_crash_restart_on_workers_of_their_own() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(2, 1)]);
    rig.submit(OTHER, vec![step(2, 1)]);
    rig.settle();
    let crashed = rig.started[0].worker.clone();
    assert!(rig.started.iter().all(|start| start.worker == crashed), "packed together");
    lose_worker(&mut rig, &crashed);
    rig.settle();
    let (one, other) = (workers_of(&rig, JOB), workers_of(&rig, OTHER));
    assert_eq!((one.len(), other.len()), (1, 1), "the tasks of a job stay together");
    assert!(one.is_disjoint(&other), "one suspect a worker");
    rig.submit(THIRD, vec![step(2, 1)]);
    rig.settle();
    let third = workers_of(&rig, THIRD);
    assert!(third.is_disjoint(&one) && third.is_disjoint(&other), "nothing new beside a suspect");
    assert!(!third.is_empty(), "half of the workers stay open");
}

#[test]
fn worker_with_a_suspect_is_open_again_once_the_suspect_has_outlived_its_start() {
    let mut rig = Rig::new(&[("w1", 2), ("w2", 2)]);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let crashed = rig.started[0].worker.clone();
    lose_worker(&mut rig, &crashed);
    rig.settle();
    rig.submit(OTHER, vec![step(1, 1)]);
    rig.settle();
    assert!(workers_of(&rig, OTHER).is_empty(), "the only worker has a suspect");
    rig.advance(600);
    let remaining = workers_of(&rig, JOB)[0].clone();
    rig.poll(&remaining);
    rig.settle();
    assert_eq!(workers_of(&rig, OTHER).len(), 1);
    assert_eq!(verdict(&rig, JOB), Verdict::Clear, "it has outlived the age of the crash");
}

#[test]
fn task_is_given_up_with_a_reason_that_names_the_workers() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.submit(OTHER, vec![step(1, 1)]);
    rig.settle();
    let first = rig.started[0].worker.clone();
    lose_worker(&mut rig, &first);
    rig.settle();
    let second = workers_of(&rig, JOB)[0].clone();
    lose_worker(&mut rig, &second);
    rig.settle();
    let ended = &rig.ended[&JobId::from(JOB)];
    assert_eq!(ended.phase, JobPhase::Failed);
    let reason = ended.reason.clone().expect("a reason");
    for worker in [&first, &second] {
        assert!(reason.contains(worker.as_str()), "{reason}");
    }
    assert_eq!(workers_of(&rig, OTHER).len(), 1, "its neighbour runs");
}

#[test]
fn crash_no_longer_counts_when_the_worker_was_only_cut_off() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let worker = rig.started[0].worker.clone();
    rig.board.poll_failed(&worker, rig.now_ms);
    rig.advance(LEASE_MS + LEASE_MS / 50 + 200);
    assert_eq!(verdict(&rig, JOB), Verdict::Watched, "it may have crashed");
    rig.workers[&worker].running.clear();
    rig.poll(&worker);
    assert_eq!(verdict(&rig, JOB), Verdict::Clear, "the same incarnation answers");
}

#[test]
fn restart_under_the_same_identifier_is_a_crash() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let worker = rig.started[0].worker.clone();
    let report = WorkerReport { clock_ms: 10, born_wall_ms: 6, ..WorkerReport::default() };
    rig.advance(50);
    let now_ms = rig.now_ms;
    rig.board.report(&worker, now_ms, report, now_ms);
    assert_eq!(verdict(&rig, JOB), Verdict::Watched);
}

#[test]
fn loss_of_a_leaving_worker_counts_against_nobody() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let worker = rig.started[0].worker.clone();
    let mut draining = facts(worker.as_str(), 8);
    draining.is_draining = true;
    rig.board.list_worker(draining);
    lose_worker(&mut rig, &worker);
    assert_eq!(verdict(&rig, JOB), Verdict::Clear);
}

#[test]
fn crash_is_counted_once_over_owners() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let worker = rig.started[0].worker.clone();
    let counted = |rig: &mut Rig| {
        let notices = rig.board.take_notices();
        notices.iter().filter(|notice| matches!(notice, Notice::CrashCounted { .. })).count()
    };
    rig.board.poll_failed(&worker, rig.now_ms);
    rig.workers[&worker].running.clear();
    let restarted = WorkerReport { clock_ms: 10, born_wall_ms: 6, ..WorkerReport::default() };
    // The first owner is replaced before it knows of the crash, the second one after it has
    // stored it.
    rig.take_over(2);
    rig.list(WORKERS);
    let now_ms = rig.now_ms;
    rig.board.report(&worker, now_ms, restarted.clone(), now_ms);
    assert_eq!(counted(&mut rig), 1, "the stored placement names the incarnation");
    rig.store();
    rig.take_over(3);
    rig.list(WORKERS);
    rig.board.report(&worker, now_ms, restarted, now_ms);
    assert_eq!(counted(&mut rig), 0, "it was counted before");
    let job = &rig.board.jobs[&JobId::from(JOB)];
    assert_eq!(job.occurrences[&0].steps[0].tasks[0].crashes.len(), 1, "and is remembered");
}

#[test]
fn suspect_runs_alone_under_the_next_owner() {
    let mut rig = Rig::new(&[("w1", 8), ("w2", 8)]);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    let row = rig.progress.get_mut(&JobId::from(JOB)).expect("a row");
    row.tasks[0].stage = TaskStage::Waiting;
    row.workers.clear();
    let crashes = ["gone1", "gone2"].map(|worker| crash(worker, 2_000, Company::Settled));
    row.crashes.add(0, 0, 0, &crashes);
    for number in 0..2 {
        rig.submit(&format!("{number:016x}"), vec![step(1, 5)]);
    }
    rig.settle();
    rig.now_ms += 10_000;
    rig.take_over(2);
    rig.list(&[("w1", 8), ("w2", 8)]);
    rig.workers.values_mut().for_each(|worker| {
        worker.running.retain(|run| run.task.job.as_str() != JOB);
    });
    rig.poll_all();
    rig.settle();
    assert!(workers_of(&rig, JOB).is_empty(), "no worker is empty yet");
    rig.end(&format!("{:016x}.0.0.0", 0), RunEnd::Done);
    rig.poll_all();
    rig.settle();
    assert_eq!(workers_of(&rig, JOB).len(), 1);
}

#[test]
fn reason_of_a_wide_job_stays_short() {
    let mut rig = Rig::new(&[("w1", 8), ("w2", 8), ("w3", 8)]);
    rig.submit(JOB, vec![step(150, 0)]);
    rig.settle();
    for _ in 0..2 {
        let worker = rig.started.last().expect("a start").worker.clone();
        lose_worker(&mut rig, &worker);
        rig.settle();
    }
    let reason = rig.ended[&JobId::from(JOB)].reason.clone().expect("a reason");
    assert!(reason.len() < 200 && reason.contains("and 142 more"), "{reason}");
}

/// Time that an order waits for its answer, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 700;

/// Places tasks, and lets the next start order time out.
fn time_out_order(rig: &mut Rig) {
    rig.board.place(rig.now_ms);
    rig.store();
    let orders = rig.board.take_orders();
    let start = orders.iter().find_map(|order| match order {
        Order::Start(start) => Some(start),
        Order::Stop(_) | Order::Pace(_) => None,
    });
    let start = start.expect("a start order");
    rig.advance(ORDER_TIMEOUT_MS);
    let (task, attempt, now_ms) = (&start.task, start.attempt, rig.now_ms);
    rig.board.start_result(&start.worker, task, attempt, StartOutcome::Unknown, now_ms);
}

/// Lets the worker of the last start crash 400 ms after it; a report shows the run before.
fn crash_after_start(rig: &mut Rig) {
    let worker = rig.started.last().expect("a start").worker.clone();
    rig.advance(300);
    rig.poll(&worker);
    rig.advance(100);
    lose_worker(rig, &worker);
}

/// Guards against a deadly task that crashes worker after worker: the life of a run counted
/// from an order that was not carried out, so that it seemed to outlive the crashes before.
#[rstest]
#[case::second_start(&[1])]
#[case::first_two_starts(&[0, 1])]
#[case::second_and_third_start(&[1, 2])]
#[case::every_start(&[0, 1, 2])]
fn deadly_task_is_given_up_although_orders_of_its_starts_were_lost(#[case] lost: &[usize]) {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    for start in 0..3 {
        if lost.contains(&start) {
            time_out_order(&mut rig);
            rig.advance(300);
            time_out_order(&mut rig);
            rig.advance(300);
        }
        rig.settle();
        assert_eq!(rig.started.len(), start + 1);
        crash_after_start(&mut rig);
    }
    rig.settle();
    assert_eq!(rig.started.len(), 3, "not started after the third crash");
    assert_eq!(rig.ended[&JobId::from(JOB)].phase, JobPhase::Failed);
}

/// Guards against a task that stays a suspect for good: a run that was started by a repeated
/// order outlives the crash before from the time on at which a report shows it.
#[test]
fn run_of_a_repeated_order_outlives_the_crash_before() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    crash_after_start(&mut rig);
    time_out_order(&mut rig);
    // The order is carried out now, and its answer is lost again.
    let id = JobId::from(JOB);
    let (task, worker) = rig.board.jobs[&id].placements(&id).remove(0);
    rig.run(&worker, &task, 2);
    rig.poll(&worker);
    assert_eq!(verdict(&rig, JOB), Verdict::Watched, "0.7 s after the order, seen just now");
    rig.advance(600);
    rig.poll(&worker);
    assert_eq!(verdict(&rig, JOB), Verdict::Clear);
}
