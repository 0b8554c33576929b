//! Best-effort tasks next to tasks that serve users, and placement with permits.

use std::sync::Arc;

use masticfall_core::fleet::board::Order;
use masticfall_core::fleet::config::{AdviceConfig, FleetConfig};
use masticfall_core::fleet::spec::{Resources, StepSpec};
use masticfall_core::prelude::*;

use crate::fleet_rig::{Rig, config, step};

const SERVING: &str = "00000000000000d1";
const BEST_EFFORT: &str = "00000000000000d2";

fn shared_worker() -> Rig {
    let mut rig = Rig::new(&[("w1", 16)]);
    let serving = StepSpec { is_long_running: true, target_tail_ms: 100, ..step(1, 4) };
    let best_effort = StepSpec { is_long_running: true, is_filler: true, ..step(2, 8) };
    rig.submit(SERVING, vec![serving]);
    rig.submit(BEST_EFFORT, vec![best_effort]);
    rig.settle();
    assert_eq!(rig.started.len(), 3, "best-effort tasks reserve no processor capacity");
    rig
}

/// Reports a tail latency of the serving task; returns the paces that are ordered.
fn report_tail(rig: &mut Rig, tail_ms: u64) -> Vec<u32> {
    for run in &mut rig.workers[&WorkerId::from("w1")].running {
        run.percent = 100;
        run.load = if run.task.job.as_str() == SERVING { tail_ms } else { 6_000 };
    }
    rig.advance(700);
    rig.poll_all();
    rig.settle();
    let paces = std::mem::take(&mut rig.other_orders).into_iter().filter_map(|order| match order {
        Order::Pace(pace) => Some(pace.percent),
        _ => None,
    });
    paces.collect()
}

#[test]
fn best_effort_tasks_stop_at_once_when_a_tail_exceeds_its_target_and_resume_slowly() {
    let mut rig = shared_worker();
    assert!(report_tail(&mut rig, 50).is_empty(), "the pace needs no change");
    assert_eq!(report_tail(&mut rig, 130), vec![0, 0]);
    let mut last = 0;
    for _ in 0..3 {
        let paces = report_tail(&mut rig, 40);
        assert_eq!(paces.len(), 2);
        assert!(paces[0] > last && paces[0] <= last + 20, "pace {} after {last}", paces[0]);
        last = paces[0];
    }
}

#[test]
fn best_effort_tasks_slow_down_before_the_target_is_reached() {
    let mut rig = shared_worker();
    let paces = report_tail(&mut rig, 90);
    assert!(!paces.is_empty() && paces[0] < 100 && paces[0] > 0);
}

#[test]
fn unanswered_pace_order_is_sent_again() {
    let mut rig = shared_worker();
    let exceed_target = |rig: &mut Rig| {
        report_tail(rig, 130);
    };
    exceed_target(&mut rig);
    let best_effort = rig.started.iter().find(|start| start.task.job.as_str() == BEST_EFFORT);
    let start = best_effort.expect("a best-effort task").clone();
    let order = masticfall_core::fleet::board::StopOrder {
        worker: start.worker,
        task: start.task,
        attempt: start.attempt,
    };
    rig.board.pace_failed(&order);
    assert_eq!(report_tail(&mut rig, 130), vec![0]);
}

fn advised_config() -> Arc<FleetConfig> {
    let mut config = (*config(2, Resources::default())).clone();
    let advice = AdviceConfig { decide_ms: 20, per_worker_ms: 5, validity_ms: 3_000 };
    config.queues[&QueueName::from("q")].advice = Some(advice);
    Arc::new(config)
}

#[test]
fn tasks_start_only_with_a_permit_and_only_where_they_may() {
    let mut rig = Rig::new(&[("w1", 8), ("w2", 8)]);
    rig.board.set_config(advised_config());
    rig.submit("00000000000000e1", vec![step(2, 2)]);
    rig.settle();
    assert!(rig.started.is_empty(), "no permit was granted yet");
    let requests = rig.board.take_advice_requests();
    assert_eq!(requests.len(), 1, "one request for each step: {requests:?}");
    assert_eq!(requests[0].expected_ms, 20 + 2 * 5);
    rig.settle();
    assert!(
        rig.board.take_advice_requests().is_empty(),
        "no second request while the first is open"
    );
    let permits = vec![(WorkerId::from("w2"), Name::from("permit"))];
    let now_ms = rig.now_ms;
    rig.board.advice_received(&requests[0], Some((permits, 3_000)), now_ms);
    rig.settle();
    assert_eq!(rig.started.len(), 2);
    for start in &rig.started {
        assert_eq!(start.worker.as_str(), "w2");
        assert_eq!(start.permit.as_deref(), Some("permit"));
    }
}

#[test]
fn expired_permit_is_not_used() {
    let mut rig = Rig::new(&[("w1", 2)]);
    rig.board.set_config(advised_config());
    rig.submit("00000000000000e2", vec![step(1, 2)]);
    rig.settle();
    let request = rig.board.take_advice_requests().remove(0);
    let now_ms = rig.now_ms;
    let permits = vec![(WorkerId::from("w1"), Name::from("permit"))];
    rig.board.advice_received(&request, Some((permits, 1_000)), now_ms);
    rig.advance(1_000);
    rig.poll_all();
    rig.settle();
    assert!(rig.started.is_empty());
    assert_eq!(rig.board.take_advice_requests().len(), 1, "a new permit is requested");
}
