//! Fault attribution distinguishes jobs that always fail from workers that always fail.

use masticfall_core::blame::AttemptHistory;
use masticfall_core::id::{InstanceName, JobId};

fn worker(index: usize) -> InstanceName {
    InstanceName::from(format!("w{index}"))
}

fn job(index: usize) -> JobId {
    JobId::from(format!("j{index}"))
}

#[test]
fn worker_that_fails_everything_is_at_fault_and_its_jobs_are_not() {
    let mut history = AttemptHistory::default();
    for index in 0..10 {
        history.record(&worker(0), &job(index), false);
        history.record(&worker(1), &job(index), true);
    }
    assert!(history.is_worker_at_fault(&worker(0)));
    assert!(!history.is_worker_at_fault(&worker(1)));
    let failed_on: Vec<InstanceName> = vec![worker(0); 5];
    assert!(!history.is_job_at_fault(&failed_on));
    history.forget(&worker(0));
    assert!(!history.is_worker_at_fault(&worker(0)));
}

#[test]
fn job_that_fails_on_healthy_workers_is_at_fault_and_they_are_not() {
    let mut history = AttemptHistory::default();
    let mut failed_on = Vec::new();
    for index in 0..3 {
        for finished in 0..4 {
            history.record(&worker(index), &job(finished), true);
        }
        history.record(&worker(index), &job(99), false);
        failed_on.push(worker(index));
    }
    assert!(history.is_job_at_fault(&failed_on));
    assert_eq!(history.workers_at_fault().count(), 0);
}

#[test]
fn one_job_that_fails_often_does_not_put_its_worker_at_fault() {
    let mut history = AttemptHistory::default();
    for _ in 0..10 {
        history.record(&worker(0), &job(0), false);
    }
    assert!(!history.is_worker_at_fault(&worker(0)));
}
