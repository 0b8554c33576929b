//! Targets: slot limits hold, and leaving targets receive no new requests.

use std::sync::Arc;

use indexmap::IndexMap;
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{InstanceName, ServiceName, TeamName};
use masticfall_core::instance::InstanceKind;
use masticfall_entry::guards::SlotGuard;
use masticfall_entry::refusal::Result;
use masticfall_entry::slots::{SlotRequest, acquire};
use masticfall_entry::{Node, ops};
use masticfall_platform::ListedState;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::lab::{Lab, fleet_text, sleep_ms};

const SLOTS: u32 = 8;

async fn lab_with_targets(seed: u64, processes: &[(&str, &str)], targets: usize) -> Lab {
    let lab = Lab::start(seed, processes, &fleet_text(100, 100)).await;
    for index in 0..targets {
        let (name, rack) = (format!("t{index}"), format!("r{}", index / 4));
        lab.add_instance(&name, InstanceKind::Target, "a", &rack, "web");
    }
    sleep_ms(4_000).await;
    lab
}

/// Acquires a slot of service `web`, waiting for at most `wait_ms`.
pub async fn acquire_slot(node: &Arc<Node>, wait_ms: u64) -> Result<SlotGuard> {
    let request = SlotRequest {
        service: &ServiceName::from("web"),
        team: &TeamName::from("red"),
        weight: 1.0,
        deadline_ms: node.now_ms() + wait_ms,
        avoid: None,
    };
    acquire(node, &request).await
}

#[tokio::test(start_paused = true)]
async fn all_slots_of_a_target_are_used_and_no_more() {
    let lab = lab_with_targets(1, &[("a1", "a"), ("a2", "a")], 1).await;
    let mut held = Vec::new();
    for _ in 0..20 {
        for name in ["a1", "a2"] {
            held.extend(acquire_slot(lab.node(name), 2_000).await.ok());
        }
    }
    assert_eq!(held.len() as u32, SLOTS);
}

#[tokio::test(start_paused = true)]
async fn free_slot_goes_to_a_waiting_request_at_once() {
    let lab = lab_with_targets(2, &[("a1", "a")], 1).await;
    let mut held = Vec::new();
    for _ in 0..SLOTS {
        held.push(acquire_slot(lab.node("a1"), 1_000).await.unwrap());
    }
    let waiting = acquire_slot(lab.node("a1"), 1_000);
    let release = async {
        sleep_ms(100).await;
        drop(held.pop());
    };
    let started = tokio::time::Instant::now();
    let (acquired, ()) = tokio::join!(waiting, release);
    assert!(acquired.is_ok());
    assert_eq!(started.elapsed().as_millis(), 100);
}

#[tokio::test(start_paused = true)]
async fn request_that_waits_past_its_deadline_does_not_run_and_holds_no_slot() {
    let lab = lab_with_targets(3, &[("a1", "a")], 1).await;
    let mut held = Vec::new();
    for _ in 0..SLOTS {
        held.push(acquire_slot(lab.node("a1"), 1_000).await.unwrap());
    }
    let refusal = acquire_slot(lab.node("a1"), 500).await.unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::DeadlineNotRun);
    held.clear();
    let web = ServiceName::from("web");
    assert_eq!(lab.node("a1").state().services[&web].targets.free_slots(), SLOTS);
}

#[rstest]
#[case::listed_as_leaving(Some(ListedState::Leaving))]
#[case::off_the_list(None)]
#[tokio::test(start_paused = true)]
async fn leaving_target_gets_nothing_new_after_three_seconds(#[case] listed: Option<ListedState>) {
    let lab = lab_with_targets(4, &[("a1", "a"), ("a2", "a")], 2).await;
    let running = acquire_slot(lab.node("a1"), 1_000).await.unwrap();
    lab.cloud.set_listed(&running.target, listed);
    sleep_ms(3_000).await;
    for name in ["a1", "a2"] {
        for _ in 0..50 {
            let slot = acquire_slot(lab.node(name), 1_000).await.unwrap();
            assert_ne!(slot.target, running.target);
        }
    }
    let web = ServiceName::from("web");
    let in_flight =
        lab.node("a1").state().services[&web].targets.targets()[&running.target].in_flight;
    assert_eq!(in_flight, 1, "the running request continues");
}

#[tokio::test(start_paused = true)]
async fn target_that_an_operator_moves_gets_nothing_new_and_is_drained_first() {
    let lab = lab_with_targets(5, &[("a1", "a"), ("a2", "a")], 4).await;
    let running = acquire_slot(lab.node("a1"), 1_000).await.unwrap();
    let name = running.target.clone();
    ops::move_instance::run(lab.node("a2"), &name, "spare".into()).await.unwrap();
    sleep_ms(3_000).await;
    for process in ["a1", "a2"] {
        for _ in 0..50 {
            assert_ne!(acquire_slot(lab.node(process), 1_000).await.unwrap().target, name);
        }
    }
    assert_eq!(
        lab.instance("a", name.as_str()).pool.as_str(),
        "web",
        "the running request keeps it in its pool"
    );
    drop(running);
    sleep_ms(3_000).await;
    assert_eq!(lab.instance("a", name.as_str()).pool.as_str(), "spare");
}

/// Current and peak number of requests on each target, over all processes.
type Running = Arc<Mutex<IndexMap<InstanceName, (u32, u32)>>>;

/// Sends requests of up to half a second to one process for a minute.
async fn run_load(node: Arc<Node>, running: Running, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = tokio::time::Instant::now() + std::time::Duration::from_mins(1);
    while tokio::time::Instant::now() < end {
        sleep_ms(rng.random_range(1..10)).await;
        let Ok(slot) = acquire_slot(&node, 200).await else { continue };
        {
            let mut running = running.lock();
            let (count, peak) = running.entry(slot.target.clone()).or_default();
            *count += 1;
            *peak = (*peak).max(*count);
        }
        let (running, hold_ms) = (Arc::clone(&running), rng.random_range(1..500));
        // The request continues on its target even if its process crashes.
        tokio::spawn(async move {
            sleep_ms(hold_ms).await;
            running.lock().entry(slot.target.clone()).or_default().0 -= 1;
            drop(slot);
        });
    }
}

#[rstest]
#[case(21)]
#[case(22)]
#[case(23)]
#[tokio::test(start_paused = true)]
async fn slots_hold_while_processes_join_leave_and_crash(#[case] seed: u64) {
    let mut lab = lab_with_targets(seed, &[("a1", "a"), ("a2", "a"), ("a3", "a")], 2).await;
    let running = Running::default();
    let mut rng = StdRng::seed_from_u64(seed);
    let spawn_load = |lab: &Lab, name: &str, number: u64| {
        let node = Arc::clone(lab.node(name));
        tokio::spawn(run_load(node, Arc::clone(&running), seed * 10 + number));
    };
    for (number, name) in ["a1", "a2", "a3"].iter().enumerate() {
        spawn_load(&lab, name, number as u64);
    }
    for step in 0..4 {
        sleep_ms(rng.random_range(2_000..8_000)).await;
        let victim = lab.processes.keys().next().unwrap().clone();
        lab.crash(&victim);
        let name = format!("new-{step}");
        lab.add(&name, "a");
        sleep_ms(rng.random_range(1_000..5_000)).await;
        spawn_load(&lab, &name, 100 + step);
    }
    sleep_ms(20_000).await;
    for (target, (_, peak)) in &*running.lock() {
        assert!(*peak <= SLOTS, "seed {seed}: {peak} ran on {target} at once");
        assert!(*peak > SLOTS / 2, "seed {seed}: only {peak} ran on {target}");
    }
}
