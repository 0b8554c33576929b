//! Maintenance waves whose calls to the instance provider lose their answers.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::id::{InstanceName, WaveName};
use masticfall_entry::fleet::RunningFleet;
use masticfall_platform::fleet::WavePlan;
use masticfall_standin::fleet::{ProviderMode, World};
use rstest::rstest;
use tokio::time::sleep;

use crate::fleet_world::{
    assert_invariants, is_owner, job, launch, start_settled, submit_spec, two_step_spec,
};

const INSTANCES: usize = 2;

/// Announces a wave of all instances to a process.
fn announce(process: &RunningFleet) {
    let wave = WaveName::from("1");
    let instances = (0..INSTANCES).map(|number| InstanceName::from(format!("m{number}")));
    let plan = WavePlan {
        wave: wave.clone(),
        instances: instances.collect(),
        finish_within_ms: 26_000,
        max_at_once: INSTANCES as u32,
    };
    let now_ms = process.fleet.now_ms();
    process.fleet.shared().waves.insert(wave, (plan, now_ms));
}

/// When the owner ends whose calls got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Stays,
    HandsOver,
    Crashes,
}

/// Guards against a pool whose workers are back from maintenance, answer and get no tasks.
#[rstest]
#[case::same_owner(Ending::Stays)]
#[case::hand_over(Ending::HandsOver)]
#[case::crash(Ending::Crashes)]
#[tokio::test(start_paused = true)]
async fn workers_get_tasks_after_answers_of_the_provider_were_lost(#[case] ending: Ending) {
    let world = World::new(INSTANCES, "p");
    let mut processes = start_settled(&world, &["a"]).await;
    processes.push(launch(&world, "b"));
    sleep(Duration::from_secs(1)).await;
    world.set_provider(ProviderMode::LosesResponses);
    processes.iter().for_each(announce);
    sleep(Duration::from_millis(700)).await;
    assert_eq!(world.maintained_instances(), INSTANCES, "all calls are without an answer");
    let first = processes.iter().position(is_owner).expect("an owner");
    let first = processes.remove(first);
    match ending {
        Ending::Stays => processes.push(first),
        Ending::HandsOver => drop(tokio::spawn(async move { first.shut_down(|| {}).await })),
        Ending::Crashes => first.crash(),
    }
    sleep(Duration::from_secs(4)).await;
    world.set_provider(ProviderMode::Maintains);
    sleep(Duration::from_secs(12)).await;
    assert!(world.machine_calls().len() > INSTANCES, "the calls were repeated");
    let ids = [job(1)];
    let process = Arc::clone(&processes[0].fleet);
    submit_spec(&world, &process, &ids[0], two_step_spec()).await.expect("accepted");
    sleep(Duration::from_secs(5)).await;
    assert_invariants(&world, &ids, &ids);
}
