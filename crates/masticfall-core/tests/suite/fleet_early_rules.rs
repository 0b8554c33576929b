//! The platform's rules for starts, checked against the record of runs.

use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::{JobRecord, TaskKey};
use masticfall_core::prelude::*;

#[derive(Debug)]
pub struct Run {
    pub task: TaskKey,
    pub attempt: u32,
    pub worker: usize,
    pub end: Option<RunEnd>,
    pub is_acked: bool,
    /// Whether the lease lapsed between the end and its acknowledgement.
    pub has_lapsed: bool,
}

/// Checks the rules for a start of a task now.
pub fn check_start(runs: &[Run], jobs: &IndexMap<JobId, JobRecord>, task: &TaskKey) {
    for run in runs.iter().filter(|run| run.task == *task) {
        assert!(run.end.is_some(), "{task}: run {} is still running", run.attempt);
        let is_final = run.end == Some(RunEnd::Done) && run.is_acked && !run.has_lapsed;
        assert!(!is_final, "{task}: run {} was done and acknowledged", run.attempt);
    }
    let spec = &jobs[&task.job].spec;
    for dependency in &spec.steps[task.step as usize].after {
        for index in 0..spec.steps[*dependency as usize].tasks {
            let before = TaskKey { step: *dependency, index, ..task.clone() };
            let mut runs = runs.iter().filter(|run| run.task == before);
            let is_done = runs.any(|run| run.end == Some(RunEnd::Done));
            assert!(is_done, "{task} started before {before} was done");
        }
    }
}

/// Checks that no run started after the end that is acknowledged now.
pub fn check_acked(runs: &[Run], index: usize) {
    let done = &runs[index];
    if done.end == Some(RunEnd::Done) && !done.has_lapsed {
        let later = runs[index + 1..].iter().find(|run| run.task == done.task);
        assert!(later.is_none(), "{}: done, run again, then acknowledged", done.task);
    }
}
