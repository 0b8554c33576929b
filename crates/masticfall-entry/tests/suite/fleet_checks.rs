//! Each invariant check of the simulator detects the violation that it is for.

use indexmap::IndexMap;
use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::{JobSpec, Resources, StepSpec, TaskKey};
use masticfall_core::id::JobId;
use masticfall_standin::fleet::RunRecord;
use masticfall_standin::fleet::check::{
    dependency_violations, overcommitted_workers, overlapping_runs, reruns_after_done,
    unaccepted_runs, unfinished_tasks,
};

const NEEDS: Resources = Resources { cpu_millis: 3_000, memory_mib: 10, accelerators: 0 };

fn run(step: u32, worker: &str, started_ms: u64, ended_ms: Option<u64>) -> RunRecord {
    RunRecord {
        task: TaskKey { job: "j".into(), occurrence: 0, step, index: 0 },
        attempt: started_ms as u32,
        worker: worker.into(),
        started_ms,
        ended: ended_ms.map(|at| (at, RunEnd::Done)),
        acknowledged_ms: None,
        lapsed_unacknowledged: false,
        needs: NEEDS,
    }
}

fn specs() -> IndexMap<JobId, JobSpec> {
    let first = StepSpec { tasks: 1, needs: NEEDS, ..StepSpec::default() };
    let second = StepSpec { after: vec![0], ..first.clone() };
    let spec = JobSpec {
        payload: "p".into(),
        steps: vec![first, second],
        repeat: 0,
        first_due_wall_ms: 0,
        interval_ms: 0,
    };
    IndexMap::from([(JobId::from("j"), spec)])
}

#[test]
fn overlapping_runs_are_found_and_consecutive_runs_are_not() {
    assert_eq!(overlapping_runs(&[run(0, "w", 1, Some(5)), run(0, "v", 4, None)]).len(), 1);
    assert!(overlapping_runs(&[run(0, "w", 1, Some(5)), run(0, "v", 5, None)]).is_empty());
}

#[test]
fn start_after_a_forgotten_end_is_found() {
    let mut done = run(0, "w", 1, Some(5));
    let rerun = run(0, "v", 9, None);
    assert!(
        reruns_after_done(&[done.clone(), rerun.clone()]).is_empty(),
        "the end was lost with its worker"
    );
    done.acknowledged_ms = Some(7);
    assert_eq!(reruns_after_done(&[done.clone(), rerun.clone()]).len(), 1);
    done.lapsed_unacknowledged = true;
    assert!(
        reruns_after_done(&[done, rerun]).is_empty(),
        "its lease expired before its end was read"
    );
}

#[test]
fn start_before_the_step_it_depends_on_is_found() {
    assert_eq!(
        dependency_violations(&[run(0, "w", 1, Some(5)), run(1, "v", 4, None)], &specs()).len(),
        1
    );
    assert!(
        dependency_violations(&[run(0, "w", 1, Some(5)), run(1, "v", 5, None)], &specs())
            .is_empty()
    );
}

#[test]
fn overfull_worker_is_found() {
    let capacity = Resources { cpu_millis: 5_000, memory_mib: 100, accelerators: 0 };
    let runs = [run(0, "w", 1, Some(9)), run(1, "w", 5, None)];
    assert_eq!(overcommitted_workers(&runs, capacity).len(), 1);
    assert!(overcommitted_workers(&[runs[0].clone(), run(1, "v", 5, None)], capacity).is_empty());
}

#[test]
fn unrequested_runs_and_unfinished_tasks_are_found() {
    let runs = [run(0, "w", 1, Some(9))];
    assert_eq!(unaccepted_runs(&runs, &[]).len(), 1);
    assert!(unaccepted_runs(&runs, &["j".into()]).is_empty());
    assert_eq!(unfinished_tasks(&runs, &specs(), &["j".into()]), vec!["j.0.1.0".to_string()]);
}
