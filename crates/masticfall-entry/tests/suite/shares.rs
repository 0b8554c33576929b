//! Shares: when targets are saturated, teams are served in proportion to their weights.

use std::sync::Arc;

use indexmap::IndexMap;
use masticfall_core::id::{ServiceName, TeamName};
use masticfall_core::instance::InstanceKind;
use masticfall_entry::Node;
use masticfall_entry::slots::{SlotRequest, acquire};
use parking_lot::Mutex;

use crate::lab::{Lab, fleet_text, sleep_ms};

type Served = Arc<Mutex<IndexMap<&'static str, u32>>>;

/// Runs a caller that requests a slot again as soon as it was served.
async fn run_caller(node: Arc<Node>, team: &'static str, weight: f64, served: Served) {
    const HOLD_MS: u64 = 10;
    loop {
        let request = SlotRequest {
            service: &ServiceName::from("web"),
            team: &TeamName::from(team),
            weight,
            deadline_ms: node.now_ms() + 1_500,
            avoid: None,
        };
        if let Ok(slot) = acquire(&node, &request).await {
            *served.lock().entry(team).or_default() += 1;
            sleep_ms(HOLD_MS).await;
            drop(slot);
        } else {
            sleep_ms(1).await;
        }
    }
}

/// Runs callers for ten seconds and returns how often each team was served.
async fn count_served(callers: &[(&'static str, f64, usize)]) -> IndexMap<&'static str, u32> {
    let lab = Lab::start(1, &[("a1", "a")], &fleet_text(100, 100)).await;
    lab.add_instance("t0", InstanceKind::Target, "a", "r0", "web");
    sleep_ms(4_000).await;
    let served = Served::default();
    for (team, weight, count) in callers {
        for _ in 0..*count {
            let node = Arc::clone(lab.node("a1"));
            tokio::spawn(run_caller(node, team, *weight, Arc::clone(&served)));
        }
    }
    // The first second fills the queue.
    sleep_ms(1_000).await;
    served.lock().clear();
    sleep_ms(10_000).await;
    served.lock().clone()
}

fn share_of(served: &IndexMap<&'static str, u32>, team: &str) -> f64 {
    let total: u32 = served.values().sum();
    f64::from(served[team]) / f64::from(total)
}

#[tokio::test(start_paused = true)]
async fn full_target_is_divided_by_weight_whatever_the_number_of_callers() {
    let served = count_served(&[("red", 3.0, 20), ("blue", 1.0, 60)]).await;
    assert!((share_of(&served, "red") - 0.75).abs() < 0.05 * 0.75, "{served:?}");
    assert!((share_of(&served, "blue") - 0.25).abs() < 0.05 * 0.25, "{served:?}");
}

#[tokio::test(start_paused = true)]
async fn part_of_an_idle_team_goes_to_the_others() {
    let served = count_served(&[("red", 3.0, 1), ("blue", 1.0, 60)]).await;
    let total: u32 = served.values().sum();
    // A single caller uses at most one of eight slots.
    assert!(share_of(&served, "red") > 0.08, "{served:?}");
    assert!(total > 7_500, "slots stay in use: {total} of 8000 served");
}
