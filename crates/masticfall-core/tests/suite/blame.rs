//! Blame: poison jobs and bad workers are told apart.

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
    let mut record = AttemptHistory::default();
    for index in 0..10 {
        record.record(&worker(0), &job(index), false);
        record.record(&worker(1), &job(index), true);
    }
    assert!(record.is_worker_at_fault(&worker(0)));
    assert!(!record.is_worker_at_fault(&worker(1)));
    let failed_on: Vec<InstanceName> = vec![worker(0); 5];
    assert!(!record.is_job_at_fault(&failed_on));
    record.forget(&worker(0));
    assert!(!record.is_worker_at_fault(&worker(0)));
}

#[test]
fn job_that_fails_on_sound_workers_is_at_fault_and_they_are_not() {
    let mut record = AttemptHistory::default();
    let mut failed_on = Vec::new();
    for index in 0..3 {
        for sound in 0..4 {
            record.record(&worker(index), &job(sound), true);
        }
        record.record(&worker(index), &job(99), false);
        failed_on.push(worker(index));
    }
    assert!(record.is_job_at_fault(&failed_on));
    assert_eq!(record.workers_at_fault().count(), 0);
}

#[test]
fn one_job_that_fails_often_does_not_condemn_its_worker() {
    let mut record = AttemptHistory::default();
    for _ in 0..10 {
        record.record(&worker(0), &job(0), false);
    }
    assert!(!record.is_worker_at_fault(&worker(0)));
}
