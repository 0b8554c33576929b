//! What notices say about the runs of a task: who ordered them, and why they count as ended.

use masticfall_core::fleet::board::{EndCause, LeaseFacts, Notice, RunRef};
use masticfall_core::fleet::crashes::LossCause;
use masticfall_core::fleet::report::{RunEnd, StartOutcome};
use masticfall_core::fleet::spec::TaskKey;
use masticfall_core::fleet::worker::BoundSource;
use masticfall_core::prelude::*;

use crate::fleet_leases::fail_polls;
use crate::fleet_rig::{LEASE_MS, Rig, step, timings};

const WORKERS: &[(&str, u64)] = &[("w1", 8), ("w2", 8)];
const JOB: &str = "00000000000000dd";

/// Time after a takeover until the leases of earlier owners have expired, with the drift of the
/// worker's clock and the slack.
const EARLIER_LEASES_MS: u64 = 4_000 + LEASE_MS + LEASE_MS / 50 + 150;

/// Returns a rig with one run, and the names of its worker and of the other one.
fn rig_with_a_run() -> (Rig, &'static str, &'static str) {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    assert_eq!(rig.started.len(), 1);
    let is_first = rig.started[0].worker.as_str() == "w1";
    let (worker, other) = if is_first { ("w1", "w2") } else { ("w2", "w1") };
    rig.board.take_notices();
    (rig, worker, other)
}

/// Returns what the notices say of the leases of a worker whose runs count as ended by their
/// expiry.
fn expired_leases(notices: &[Notice], id: &str) -> LeaseFacts {
    let leases = notices.iter().find_map(|notice| match notice {
        Notice::WorkerLost { worker, cause: LossCause::LeaseExpired, leases, .. }
            if worker.as_str() == id =>
        {
            Some(leases.clone())
        }
        _ => None,
    });
    leases.expect("the leases of the worker expired")
}

fn end_causes(notices: &[Notice]) -> Vec<(RunEnd, EndCause)> {
    let ends = notices.iter().filter_map(|notice| match notice {
        Notice::RunEnded { end, cause, .. } => Some((*end, *cause)),
        _ => None,
    });
    ends.collect()
}

fn placed_runs(notices: &[Notice]) -> Vec<(String, u32, String)> {
    let placed = notices.iter().filter_map(|notice| match notice {
        Notice::Placed { runs, .. } => Some(runs),
        _ => None,
    });
    placed.flatten().map(named).collect()
}

fn named(run: &RunRef) -> (String, u32, String) {
    (run.task.to_string(), run.attempt, run.worker.to_string())
}

/// Advances until the runs of an unreachable worker count as ended; the other worker answers.
fn expire(rig: &mut Rig, other: &str, ms: u64) -> Vec<Notice> {
    rig.advance(ms);
    rig.poll(&other.into());
    rig.board.take_notices()
}

#[test]
fn expiry_of_own_leases_names_them() {
    let (mut rig, worker, _) = rig_with_a_run();
    fail_polls(&mut rig, worker, LEASE_MS + 1_000);
    let notices = rig.board.take_notices();
    let leases = expired_leases(&notices, worker);
    assert_eq!(leases.bound.source, BoundSource::OwnLease);
    assert!((1..=200).contains(&leases.since_bound_ms), "{leases:?}");
    let since_answer_ms = leases.since_answer_ms.expect("it has answered");
    assert!((LEASE_MS..LEASE_MS + 1_000).contains(&since_answer_ms), "{leases:?}");
    assert!(leases.since_lease_ms.is_some_and(|ms| ms <= since_answer_ms), "{leases:?}");
    assert!(leases.since_takeover_ms >= since_answer_ms);
    assert_eq!((leases.announcement, leases.since_announcement_ms), (None, None));
    assert_eq!(end_causes(&notices), [(RunEnd::Lapsed, EndCause::LeaseExpired)]);
}

#[test]
fn expiry_without_a_contact_names_the_takeover() {
    let (mut rig, worker, other) = rig_with_a_run();
    rig.take_over(2);
    rig.list(WORKERS);
    rig.poll(&other.into());
    let earlier = rig.board.earlier_leases(rig.now_ms - 2);
    assert_eq!((earlier.overlap_ms, earlier.left_ms), (4_000, EARLIER_LEASES_MS));
    let notices = expire(&mut rig, other, EARLIER_LEASES_MS);
    let leases = expired_leases(&notices, worker);
    assert_eq!(leases.bound.source, BoundSource::Takeover);
    assert_eq!((leases.since_answer_ms, leases.since_lease_ms), (None, None));
    assert_eq!(leases.since_takeover_ms as i64 - leases.since_bound_ms, EARLIER_LEASES_MS as i64);
}

/// Guards against an early restart whose bound can't be traced to the heartbeat that named it.
#[test]
fn expiry_by_an_announcement_names_its_epoch_and_time() {
    let (mut rig, worker, other) = rig_with_a_run();
    rig.take_over(4);
    rig.list(WORKERS);
    rig.poll(&other.into());
    let now_ms = rig.now_ms;
    let unresponsive = IndexMap::from([(WorkerId::from(worker), 800)]);
    rig.board.apply_announcement(3, &unresponsive, now_ms);
    let notices = expire(&mut rig, other, 900);
    let leases = expired_leases(&notices, worker);
    assert_eq!(leases.bound.source, BoundSource::Announcement);
    assert_eq!((leases.bound.until_ms, leases.since_bound_ms), (now_ms + 800, 100));
    assert_eq!(leases.since_answer_ms, None);
    let applied = leases.announcement.expect("it was applied");
    assert_eq!((applied.epoch, applied.left_ms, applied.applied_ms), (3, 800, now_ms));
    assert_eq!(leases.since_announcement_ms, Some(900));
}

#[test]
fn announcement_that_shortens_nothing_is_no_source() {
    let (mut rig, worker, other) = rig_with_a_run();
    rig.take_over(2);
    rig.list(WORKERS);
    let unresponsive = IndexMap::from([(WorkerId::from(worker), 60_000)]);
    rig.board.apply_announcement(1, &unresponsive, rig.now_ms);
    let notices = expire(&mut rig, other, EARLIER_LEASES_MS + 1);
    let leases = expired_leases(&notices, worker);
    assert_eq!((leases.bound.source, leases.announcement), (BoundSource::Takeover, None));
}

#[test]
fn expiry_before_a_lease_of_this_owner_names_the_first_answer() {
    let (mut rig, worker, other) = rig_with_a_run();
    rig.take_over(2);
    rig.list(WORKERS);
    rig.poll(&worker.into());
    rig.board.poll_failed(&worker.into(), rig.now_ms);
    let notices = expire(&mut rig, other, LEASE_MS + LEASE_MS / 50 + 151);
    let leases = expired_leases(&notices, worker);
    assert_eq!(leases.bound.source, BoundSource::FirstAnswer);
    assert_eq!(leases.since_lease_ms, None);
    assert!(leases.since_answer_ms.is_some());
}

#[test]
fn ended_runs_name_a_report_or_its_silence_about_them() {
    let (mut rig, worker, _) = rig_with_a_run();
    rig.end(&format!("{JOB}.0.0.0"), RunEnd::Failed);
    rig.poll(&worker.into());
    let notices = rig.board.take_notices();
    assert_eq!(end_causes(&notices), [(RunEnd::Failed, EndCause::Reported)]);
    rig.settle();
    let worker = rig.started[1].worker.clone();
    rig.workers[&worker].running.clear();
    rig.advance(50);
    rig.poll(&worker);
    let notices = rig.board.take_notices();
    assert_eq!(end_causes(&notices), [(RunEnd::Lapsed, EndCause::Absent)]);
}

#[test]
fn replaced_worker_ends_its_runs_by_name() {
    let (mut rig, worker, _) = rig_with_a_run();
    rig.board.remove_worker(&worker.into(), rig.now_ms);
    let notices = rig.board.take_notices();
    assert_eq!(end_causes(&notices), [(RunEnd::Lapsed, EndCause::Replaced)]);
}

/// Guards against runs that can't be attributed to an owner: the attempt and the worker of each
/// are in the notice of their placement.
#[test]
fn placements_name_each_run() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(2, 5)]);
    rig.settle();
    let mut runs = placed_runs(&rig.board.take_notices());
    runs.sort();
    let task = |index: u32| format!("{JOB}.0.0.{index}");
    assert_eq!(runs.iter().map(|(task, ..)| task.clone()).collect::<Vec<_>>(), [task(0), task(1)]);
    assert_eq!(runs.iter().map(|(_, attempt, _)| *attempt).collect::<Vec<_>>(), [1, 1]);
    let ordered: Vec<&str> = rig.started.iter().map(|start| start.worker.as_str()).collect();
    assert!(runs.iter().all(|(.., worker)| ordered.contains(&worker.as_str())));
    assert_ne!(runs[0].2, runs[1].2, "each worker has room for one");
    rig.take_over(2);
    rig.list(WORKERS);
    rig.workers.values_mut().for_each(|worker| worker.running.clear());
    rig.poll_all();
    rig.advance(50);
    rig.poll_all();
    rig.board.place(rig.now_ms);
    let runs = placed_runs(&rig.board.take_notices());
    assert_eq!(runs.iter().map(|(_, attempt, _)| *attempt).collect::<Vec<_>>(), [65, 65]);
}

/// Guards against a refusal that is taken for certain while it may have been carried out.
#[test]
fn refusals_tell_whether_the_task_may_be_placed_again() {
    let mut outcomes = Vec::new();
    for outcomes_of_run in [
        &[StartOutcome::Unknown, StartOutcome::NoRoom][..],
        &[StartOutcome::Superseded],
        &[StartOutcome::Unreached],
    ] {
        let mut rig = Rig::new(WORKERS);
        rig.submit(JOB, vec![step(1, 1)]);
        rig.board.place(rig.now_ms);
        rig.store();
        let key = TaskKey { job: JOB.into(), occurrence: 0, step: 0, index: 0 };
        let run = placed_runs(&rig.board.take_notices()).remove(0);
        for outcome in outcomes_of_run {
            let worker = WorkerId::from(run.2.as_str());
            rig.board.start_result(&worker, &key, run.1, *outcome, rig.now_ms);
        }
        for notice in rig.board.take_notices() {
            if let Notice::NotStarted { outcome, is_requeued, was_in_doubt, .. } = notice {
                outcomes.push((outcome, is_requeued, was_in_doubt));
            }
        }
    }
    let expected = [
        (StartOutcome::Unknown, false, false),
        (StartOutcome::NoRoom, false, true),
        (StartOutcome::Superseded, false, false),
        (StartOutcome::Unreached, true, false),
    ];
    assert_eq!(outcomes, expected);
}

#[test]
fn adopted_runs_are_named() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    let key = TaskKey { job: JOB.into(), occurrence: 0, step: 0, index: 0 };
    rig.run(&"w2".into(), &key, 7);
    rig.poll_all();
    let notices = rig.board.take_notices();
    let adopted = notices.iter().filter_map(|notice| match notice {
        Notice::RunsAdopted { worker, runs } => Some((worker.as_str(), runs.iter().map(named))),
        _ => None,
    });
    let adopted: Vec<_> = adopted.map(|(worker, runs)| (worker, runs.collect())).collect();
    assert_eq!(adopted, [("w2", vec![(key.to_string(), 7, "w2".to_string())])]);
}

#[test]
fn unresponsive_workers_are_announced_once() {
    let mut rig = Rig::new(WORKERS);
    let announced = |rig: &mut Rig| {
        let notices = rig.board.take_notices();
        let workers = notices.iter().filter_map(|notice| match notice {
            Notice::Announced { workers } => Some(workers.clone()),
            _ => None,
        });
        workers.flatten().collect::<Vec<(WorkerId, u64)>>()
    };
    rig.board.poll(&"w1".into(), rig.now_ms);
    rig.board.poll_failed(&"w1".into(), rig.now_ms);
    let unresponsive = rig.board.announce_unresponsive(rig.now_ms);
    let left_ms = unresponsive[&WorkerId::from("w1")];
    assert!((LEASE_MS..LEASE_MS + 300).contains(&left_ms), "{left_ms}");
    assert_eq!(announced(&mut rig), [(WorkerId::from("w1"), left_ms)]);
    rig.board.announce_unresponsive(rig.now_ms + 400);
    assert!(announced(&mut rig).is_empty());
}

/// Guards against a step-down of which nobody can tell what was still under way.
#[test]
fn calls_without_an_outcome_are_known() {
    let mut rig = Rig::new(WORKERS);
    let calls = rig.board.open_calls(rig.now_ms);
    assert_eq!((calls.polls, calls.leases_left_ms, calls.leased_ms), (0, None, None));
    rig.submit(JOB, vec![step(1, 1)]);
    rig.board.place(rig.now_ms);
    rig.store();
    let ordered_ms = rig.now_ms;
    rig.now_ms += 300;
    rig.board.poll(&"w1".into(), rig.now_ms);
    rig.now_ms += 200;
    let run = placed_runs(&rig.board.take_notices()).remove(0);
    let calls = rig.board.open_calls(rig.now_ms);
    assert_eq!(calls.starts.iter().map(named).collect::<Vec<_>>(), [run]);
    assert_eq!((calls.polls, calls.oldest_poll_ms), (1, Some(200)));
    assert_eq!(calls.leased_ms, Some(ordered_ms + 300));
    let left_ms = calls.leases_left_ms.expect("a lease was given");
    // By the drift of the worker's clock and the slack more than the lease has left.
    assert!((LEASE_MS - 200..LEASE_MS + 150).contains(&left_ms), "{left_ms}");
    assert_eq!(calls.unsent_starts, 1, "the order waits to be taken");
    rig.execute_orders();
    rig.board.poll_unanswered(&"w1".into());
    let calls = rig.board.open_calls(rig.now_ms);
    assert_eq!((calls.starts.len(), calls.unsent_starts, calls.polls), (0, 0, 0));
    assert_eq!(calls.leases_left_ms, Some(left_ms), "a lost poll may have extended the lease");
}

#[test]
fn overlap_of_the_takeover_is_known() {
    let mut rig = Rig::new(WORKERS);
    rig.take_over(2);
    let earlier = rig.board.earlier_leases(rig.now_ms + 1_000);
    assert_eq!(earlier.overlap_ms, timings().takeover_overlap_ms);
    assert_eq!(earlier.left_ms, EARLIER_LEASES_MS - 1_000);
}
