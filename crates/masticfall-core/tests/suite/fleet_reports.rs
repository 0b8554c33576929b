//! Reports of workers that don't list all run ends.

use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::report::{MAX_REPORTED_ENDS, RunEnd};
use masticfall_core::fleet::spec::{Resources, StepSpec};
use masticfall_core::prelude::*;
use rstest::rstest;

use crate::fleet_rig::{Rig, step};

const WORKERS: &[(&str, u64)] = &[("w1", 40), ("w2", 40)];
const JOBS: usize = 8;
const TASKS: u32 = 200;

fn job(number: usize) -> String {
    format!("00000000000000{number:02x}")
}

/// Starts small tasks on both workers, more on each than a report lists.
fn start_small_tasks() -> Rig {
    let mut rig = Rig::new(WORKERS);
    let needs = Resources { cpu_millis: 50, memory_mib: 1, accelerators: 0 };
    for number in 0..JOBS {
        rig.submit(&job(number), vec![StepSpec { needs, ..step(TASKS, 1) }]);
    }
    rig.settle();
    assert_eq!(rig.started.len(), JOBS * TASKS as usize);
    for worker in rig.workers.values() {
        assert!(worker.running.len() > MAX_REPORTED_ENDS);
    }
    rig.advance(10);
    rig
}

fn end_all_runs(rig: &mut Rig) {
    let runs = rig.workers.values().flat_map(|worker| &worker.running);
    for task in runs.map(|run| run.task.to_string()).collect::<Vec<_>>() {
        rig.end(&task, RunEnd::Done);
    }
}

/// Guards against completed tasks that run again: their ends are beyond those that the first
/// report after a cut lists, and an absent run counted as lapsed.
#[rstest]
#[case::under_one_owner(false)]
#[case::after_a_takeover(true)]
fn tasks_whose_ends_wait_for_the_next_report_are_not_started_again(#[case] is_taken_over: bool) {
    let mut rig = start_small_tasks();
    end_all_runs(&mut rig);
    if is_taken_over {
        rig.take_over(2);
        rig.list(WORKERS);
    }
    for _ in 0..4 {
        rig.poll_all();
        rig.settle();
        rig.advance(100);
    }
    assert_eq!(rig.started.len(), JOBS * TASKS as usize, "no task is started again");
    for number in 0..JOBS {
        assert_eq!(rig.ended[&JobId::from(job(number))].phase, JobPhase::Completed);
    }
}

/// Guards against waiting for ends that never come: a run that the worker lost while many
/// others ended is started again once a report lists all ends.
#[test]
fn lost_run_is_started_again_once_all_ends_are_listed() {
    let mut rig = start_small_tasks();
    let lost = rig.workers[&WorkerId::from("w1")].running.pop().expect("a run").task;
    end_all_runs(&mut rig);
    for _ in 0..4 {
        rig.poll_all();
        rig.settle();
        rig.advance(100);
    }
    let starts = rig.started.iter().filter(|start| start.task == lost).count();
    assert_eq!(starts, 2);
    assert_eq!(rig.started.len(), JOBS * TASKS as usize + 1, "no other task is started again");
}
