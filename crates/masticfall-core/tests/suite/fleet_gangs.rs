//! Gangs: the end of one member stands for all.

use masticfall_core::fleet::progress::{JobPhase, TaskStage};
use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::StepSpec;
use masticfall_core::prelude::*;
use rstest::rstest;

use crate::fleet_rig::{LEASE_MS, Rig, step};

const WORKERS: &[(&str, u64)] = &[("w1", 8), ("w2", 8), ("w3", 8)];
const JOB: &str = "00000000000000e1";

/// Starts a gang of two on different workers, with a step after it; returns the worker of the
/// second member.
fn start_gang(rig: &mut Rig) -> WorkerId {
    let gang = StepSpec { is_gang: true, max_per_worker: 1, ..step(2, 4) };
    rig.submit(JOB, vec![gang, StepSpec { after: vec![0], ..step(1, 1) }]);
    rig.settle();
    assert_eq!(rig.started.len(), 2);
    rig.advance(100);
    rig.poll_all();
    rig.started.iter().find(|start| start.task.index == 1).expect("a member").worker.clone()
}

/// How the run of the second member is lost after the gang was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// Its worker restarted, and knows of nothing.
    Restart,
    /// Its worker doesn't answer until its lease has expired.
    Silence,
    /// Another worker answers at the address.
    Replacement,
}

fn lose(rig: &mut Rig, worker: &WorkerId, loss: Loss) {
    rig.workers[worker].running.clear();
    rig.workers[worker].ended.clear();
    match loss {
        Loss::Restart => rig.poll(worker),
        Loss::Silence => {
            let now_ms = rig.now_ms;
            rig.board.poll_failed(worker, now_ms);
            rig.advance(2 * LEASE_MS);
        }
        Loss::Replacement => {
            let now_ms = rig.now_ms;
            rig.board.remove_worker(worker, now_ms);
        }
    }
}

/// Guards against a job that stays in progress for good: a member whose end was never read
/// waited for a new start, which only whole gangs get.
#[rstest]
fn job_goes_on_after_a_gang_whose_last_member_is_lost(
    #[values(Loss::Restart, Loss::Silence, Loss::Replacement)] loss: Loss,
    #[values(false, true)] is_taken_over: bool,
) {
    let mut rig = Rig::new(WORKERS);
    let second = start_gang(&mut rig);
    rig.end(&format!("{JOB}.0.0.0"), RunEnd::Done);
    for id in rig.workers.keys().filter(|id| **id != second).cloned().collect::<Vec<_>>() {
        rig.poll(&id);
    }
    rig.settle();
    assert_eq!(rig.started.len(), 2, "the run of the second member isn't known to have ended");
    if is_taken_over {
        rig.take_over(2);
        rig.list(WORKERS);
    }
    rig.advance(100);
    lose(&mut rig, &second, loss);
    rig.advance(100);
    rig.poll_all();
    rig.settle();
    assert_eq!(rig.started.len(), 3, "the step after the gang");
    assert_eq!((rig.started[2].task.step, rig.started[2].task.index), (1, 0));
    rig.end(&format!("{JOB}.0.1.0"), RunEnd::Done);
    rig.advance(100);
    rig.poll_all();
    rig.settle();
    assert_eq!(rig.ended[&JobId::from(JOB)].phase, JobPhase::Completed);
}

/// Guards against jobs that an earlier version left behind with a completed gang of which a
/// member waits.
#[test]
fn next_owner_completes_a_gang_of_which_a_member_waits() {
    let mut rig = Rig::new(WORKERS);
    start_gang(&mut rig);
    let row = rig.progress.get_mut(&JobId::from(JOB)).expect("a row");
    row.tasks.iter_mut().for_each(|task| task.stage = TaskStage::Waiting);
    row.tasks[0].stage = TaskStage::Done;
    rig.workers.values_mut().for_each(|worker| worker.running.clear());
    rig.take_over(2);
    rig.list(WORKERS);
    rig.advance(100);
    rig.poll_all();
    rig.settle();
    let last = rig.started.last().expect("a start");
    assert_eq!((last.task.step, rig.started.len()), (1, 3), "the step after the gang");
}

/// Guards against a gang that is taken for completed: members that end in any other way wait
/// for a new start of all.
#[test]
fn broken_gang_is_started_again_as_a_whole() {
    let mut rig = Rig::new(WORKERS);
    let second = start_gang(&mut rig);
    lose(&mut rig, &second, Loss::Restart);
    rig.end(&format!("{JOB}.0.0.0"), RunEnd::Broken);
    rig.advance(100);
    rig.poll_all();
    rig.settle();
    let starts: Vec<u32> = rig.started.iter().map(|start| start.attempt).collect();
    assert_eq!(starts, [1, 1, 2, 2], "both members, with one attempt number");
}

/// Guards against members that resume from different points: each was started with its own
/// checkpoint.
#[test]
fn members_resume_from_the_latest_checkpoint_of_any() {
    let mut rig = Rig::new(WORKERS);
    let second = start_gang(&mut rig);
    for (index, checkpoint) in [(0, "older"), (1, "latest")] {
        let task = &rig.started.iter().find(|start| start.task.index == index).expect("a member");
        let worker = task.worker.clone();
        rig.workers[&worker].running[0].checkpoint = Some(checkpoint.into());
        rig.advance(100);
        rig.poll(&worker);
    }
    lose(&mut rig, &second, Loss::Restart);
    rig.end(&format!("{JOB}.0.0.0"), RunEnd::Broken);
    rig.advance(100);
    rig.poll_all();
    rig.settle();
    let resumed: Vec<_> = rig.started[2..].iter().map(|start| start.checkpoint.clone()).collect();
    assert_eq!(resumed, [Some("latest".into()), Some("latest".into())]);
}

/// Guards against an idle pool in which no task is started: the members of a gang that doesn't
/// fit fill it tentatively, and what the last one doesn't find counted as missing for all.
#[test]
fn gang_that_does_not_fit_hides_no_worker_from_others() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![StepSpec { is_gang: true, ..step(4, 6) }]);
    rig.submit("00000000000000e2", vec![step(3, 6)]);
    rig.settle();
    let started: Vec<&str> = rig.started.iter().map(|start| start.task.job.as_str()).collect();
    assert_eq!(started, ["00000000000000e2"; 3], "each worker has room for one of its tasks");
}

/// Guards against callers that are refused because of work that can't be done.
#[test]
fn gang_that_does_not_fit_is_not_part_of_the_backlog() {
    let pool = PoolName::from("p");
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![StepSpec { is_gang: true, estimate_ms: 60_000, ..step(40, 6) }]);
    rig.settle();
    assert!(!rig.board.load_by_pool(rig.now_ms).contains_key(&pool));
    // A pool that grows gets it back.
    let attainable = IndexMap::from([(pool.clone(), 400_000)]);
    rig.board.set_attainable_millis(attainable);
    assert!(rig.board.load_by_pool(rig.now_ms)[&pool].backlog_ms > 0);
}
