//! Jobs fail once a task has failed as often as its queue allows, whatever becomes of the queue
//! meanwhile.

use std::sync::Arc;

use masticfall_core::fleet::config::FleetConfig;
use masticfall_core::fleet::progress::JobPhase;
use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::Resources;
use masticfall_core::prelude::*;
use rstest::rstest;

use crate::fleet_rig::{Rig, config, step};

const WORKERS: &[(&str, u64)] = &[("w1", 8), ("w2", 8)];
const JOB: &str = "00000000000000b1";

/// A configuration whose queue allows this many attempts; without the queue for none.
fn with_attempts(version: u64, max_attempts: u32) -> Arc<FleetConfig> {
    let mut config = FleetConfig::clone(&config(version, Resources::default()));
    if max_attempts == 0 {
        config.queues.clear();
    }
    for queue in config.queues.values_mut() {
        queue.max_attempts = max_attempts;
    }
    Arc::new(config)
}

/// Lets the current run of the job's task fail.
fn fail_run(rig: &mut Rig) {
    rig.end(&format!("{JOB}.0.0.0"), RunEnd::Failed);
    rig.advance(100);
    rig.poll_all();
    rig.settle();
}

/// Guards against a start too many: the last run that the queue allows fails while the queue is
/// not in the configuration, so that nothing knew the limit.
#[rstest]
#[case::under_one_owner(false)]
#[case::after_a_takeover(true)]
fn task_is_not_started_again_once_its_queue_returns(#[case] is_taken_over: bool) {
    let mut rig = Rig::new(WORKERS);
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    fail_run(&mut rig);
    rig.board.set_config(with_attempts(2, 0));
    rig.settle();
    fail_run(&mut rig);
    assert!(!rig.ended.contains_key(&JobId::from(JOB)), "the limit is unknown");
    if is_taken_over {
        rig.take_over(2);
        rig.list(WORKERS);
        rig.poll_all();
    }
    rig.board.set_config(with_attempts(3, 2));
    rig.settle();
    assert_eq!(rig.started.len(), 2, "two of two attempts");
    assert_eq!(rig.ended[&JobId::from(JOB)].phase, JobPhase::Failed);
}

/// Guards against a run that is stopped, since its task has failed as often as a later
/// configuration allows: it was started in time, and may yet complete its task.
#[test]
fn lower_limit_leaves_the_run_in_progress() {
    let mut rig = Rig::new(WORKERS);
    rig.board.set_config(with_attempts(2, 3));
    rig.submit(JOB, vec![step(1, 1)]);
    rig.settle();
    fail_run(&mut rig);
    rig.board.set_config(with_attempts(3, 1));
    rig.settle();
    assert!(rig.other_orders.is_empty(), "it runs on");
    rig.end(&format!("{JOB}.0.0.0"), RunEnd::Done);
    rig.advance(100);
    rig.poll_all();
    rig.settle();
    assert_eq!(rig.ended[&JobId::from(JOB)].phase, JobPhase::Completed);
}
