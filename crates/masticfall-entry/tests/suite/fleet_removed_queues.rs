//! Jobs whose queue a later configuration removes.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::error::ErrorKind;
use masticfall_core::fleet::config::FleetConfig;
use masticfall_standin::fleet::World;
use tokio::time::sleep;

use crate::fleet_world::{
    WORKERS, assert_invariants, config, is_owner, job, phase, start_settled, submit,
};

fn config_without_queues(version: u64) -> Arc<FleetConfig> {
    let mut config = FleetConfig::clone(&config(version, &["key"]));
    config.queues.clear();
    Arc::new(config)
}

#[tokio::test(start_paused = true)]
async fn accepted_jobs_of_a_removed_queue_are_completed() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["p0", "p1"]).await;
    let ids = [job(1), job(2), job(3)];
    for id in &ids {
        submit(&world, &processes[0].fleet, id).await.unwrap();
    }
    world.set_config(config_without_queues(2));
    sleep(Duration::from_secs(10)).await;
    assert_invariants(&world, &ids, &ids);
    let shown = phase(&processes[0].fleet, &ids[0]).await;
    assert_eq!(shown, Err(ErrorKind::NotFound), "a removed queue takes no requests");
}

#[tokio::test(start_paused = true)]
async fn next_owner_completes_the_jobs_of_a_removed_queue() {
    let world = World::new(WORKERS, "p");
    let mut processes = start_settled(&world, &["p0", "p1"]).await;
    let ids = [job(1), job(2), job(3)];
    for id in &ids {
        submit(&world, &processes[0].fleet, id).await.unwrap();
    }
    world.set_config(config_without_queues(2));
    sleep(Duration::from_millis(300)).await;
    let owner = processes.iter().position(is_owner).unwrap();
    processes.swap_remove(owner).crash();
    sleep(Duration::from_secs(30)).await;
    assert_invariants(&world, &ids, &ids);
}

#[tokio::test(start_paused = true)]
async fn queue_that_returns_takes_the_place_of_the_removed_one() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["p0"]).await;
    world.set_config(config_without_queues(2));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(processes[0].fleet.shared().removed_queues.len(), 1);
    world.set_config(config(3, &["key"]));
    sleep(Duration::from_secs(3)).await;
    assert!(processes[0].fleet.shared().removed_queues.is_empty());
    submit(&world, &processes[0].fleet, &job(1)).await.unwrap();
    sleep(Duration::from_secs(10)).await;
    assert_invariants(&world, &[job(1)], &[job(1)]);
}
