//! Pools: an instance is in one pool, and availability budgets are never exceeded.

use indexmap::IndexSet;
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{InstanceName, Name, WaveName};
use masticfall_core::instance::{InstanceKind, InstanceRow, InstanceState};
use masticfall_core::wave::{WaveRow, WaveState};
use masticfall_entry::ops::move_instance;
use masticfall_entry::ops::waves::{self, CreateWave};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::lab::{Lab, fleet_text, sleep_ms};

/// Size of pool `web`; its budget keeps half of the instances available.
const POOL_SIZE: usize = 8;

async fn lab_with_pool(seed: u64) -> Lab {
    let processes = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let lab = Lab::start(seed, &processes, &fleet_text(100, 100)).await;
    for index in 0..POOL_SIZE {
        let (dc, rack) = if index % 2 == 0 { ("a", "ra") } else { ("b", "rb") };
        let rack = format!("{rack}{}", index / 4);
        lab.add_instance(&format!("t{index}"), InstanceKind::Target, dc, &rack, "web");
    }
    sleep_ms(4_000).await;
    lab
}

fn rows(lab: &Lab) -> Vec<(String, InstanceRow)> {
    let rows = lab.cloud.rows("instance/").into_iter();
    rows.map(|row| (row.key.clone(), row.decode().unwrap())).collect()
}

fn available(lab: &Lab, pool: &str) -> usize {
    let rows = rows(lab);
    rows.iter().filter(|(_, row)| row.pool.as_str() == pool && row.takes_work()).count()
}

async fn create_wave(lab: &Lab, name: &str, instances: IndexSet<InstanceName>) {
    let pools = if instances.is_empty() { IndexSet::from(["web".into()]) } else { IndexSet::new() };
    let create = CreateWave {
        name: WaveName::from(name),
        pools,
        instances,
        max_failures: 2,
        by: Name::from("ana"),
    };
    waves::create(lab.node("a1"), create).await.unwrap();
}

fn wave(lab: &Lab, name: &str) -> WaveRow {
    lab.cloud.row(&format!("wave/{name}")).unwrap().decode().unwrap()
}

/// Waits until the wave ends or halts, and returns the fewest available instances seen.
async fn run_wave(lab: &Lab, name: &str, timeout_ms: u64) -> usize {
    const STEP_MS: u64 = 25;
    let mut fewest = available(lab, "web");
    for _ in 0..timeout_ms / STEP_MS {
        sleep_ms(STEP_MS).await;
        fewest = fewest.min(available(lab, "web"));
        for instance in &wave(lab, name).done {
            assert!(lab.cloud.boot(instance) > 1, "{instance} is done but was not rebooted");
        }
        if !matches!(wave(lab, name).state, WaveState::Running | WaveState::Paused) {
            break;
        }
    }
    fewest
}

#[tokio::test(start_paused = true)]
async fn instance_moves_between_pools_once_it_is_drained() {
    let lab = lab_with_pool(1).await;
    move_instance::run(lab.node("a1"), &"t0".into(), "spare".into()).await.unwrap();
    sleep_ms(4_000).await;
    let row = lab.instance("a", "t0");
    assert_eq!((row.pool.as_str(), row.state), ("spare", InstanceState::InPool));
    let pools: Vec<String> = rows(&lab).into_iter().map(|(key, _)| key).collect();
    assert_eq!(pools.len(), POOL_SIZE, "one row per instance");
}

#[tokio::test(start_paused = true)]
async fn report_of_an_earlier_departure_does_not_count_for_a_later_one() {
    let lab = lab_with_pool(9).await;
    let name = InstanceName::from("t0");
    let other = lab.node("a2").incarnation.clone();
    let is_idle_reported = |process: &str| {
        let state = lab.node(process).state();
        state.members.get(&other).is_some_and(|member| member.drained_instances.contains_key(&name))
    };
    move_instance::run(lab.node("a1"), &name, "spare".into()).await.unwrap();
    for _ in 0..500 {
        sleep_ms(10).await;
        if is_idle_reported("a1") {
            break;
        }
    }
    assert!(is_idle_reported("a1"));
    // From now on a2 can reach the platform, but no peer.
    lab.isolate("a2", true);
    sleep_ms(3_000).await;
    assert_eq!(lab.instance("a", "t0").pool.as_str(), "spare");
    move_instance::run(lab.node("a1"), &name, "web".into()).await.unwrap();
    sleep_ms(10_000).await;
    assert_eq!(lab.instance("a", "t0").state, InstanceState::Leaving, "a2 has not reported since");
    lab.isolate("a2", false);
    sleep_ms(5_000).await;
    let row = lab.instance("a", "t0");
    assert_eq!((row.pool.as_str(), row.state), ("web", InstanceState::InPool));
}

#[tokio::test(start_paused = true)]
async fn racing_operators_move_an_instance_to_one_pool() {
    let lab = lab_with_pool(2).await;
    let name = InstanceName::from("t0");
    let (first, second) = tokio::join!(
        move_instance::run(lab.node("a1"), &name, "spare".into()),
        move_instance::run(lab.node("b1"), &name, "workers".into()),
    );
    assert!(first.is_ok() != second.is_ok(), "{first:?} {second:?}");
    let lost = first.and(second).unwrap_err();
    assert_eq!(lost.kind, ErrorKind::Conflict);
    sleep_ms(4_000).await;
    assert_eq!(lab.instance("a", "t0").state, InstanceState::InPool);
}

#[tokio::test(start_paused = true)]
async fn racing_moves_keep_the_budget() {
    let lab = lab_with_pool(3).await;
    let names: Vec<InstanceName> = (0..POOL_SIZE).map(|index| format!("t{index}").into()).collect();
    let moves = names.iter().enumerate().map(|(index, name)| {
        let node = &lab.processes[index % lab.processes.len()].node;
        move_instance::run(node, name, "spare".into())
    });
    let results = futures_util::future::join_all(moves).await;
    let accepted = results.iter().filter(|result| result.is_ok()).count();
    assert!((1..=POOL_SIZE / 2).contains(&accepted), "{accepted} moves accepted at once");
    assert!(available(&lab, "web") >= POOL_SIZE / 2);
}

/// Returns a configuration in which the planner moves instances by demand.
fn auto_moves_text() -> String {
    let text = fleet_text(1_000, 100);
    text.replace("[fleet]\n", "[fleet]\nauto_moves = true\nweighting = share\n")
}

#[tokio::test(start_paused = true)]
async fn spare_instance_follows_demand_and_the_budget_holds() {
    let lab = Lab::start(8, &[("a1", "a"), ("a2", "a")], &auto_moves_text()).await;
    for index in 0..2 {
        lab.add_instance(&format!("t{index}"), InstanceKind::Target, "a", "r0", "web");
        lab.add_instance(&format!("s{index}"), InstanceKind::Target, "a", "r1", "spare");
    }
    sleep_ms(15_000).await;
    assert_eq!(available(&lab, "web"), 2, "no move without demand");
    let mut requests = Vec::new();
    for name in ["a1", "a2"] {
        for _ in 0..20 {
            let node = std::sync::Arc::clone(lab.node(name));
            requests.push(tokio::spawn(async move {
                let slot = crate::targets::acquire_slot(&node, 20_000).await;
                sleep_ms(20_000).await;
                drop(slot);
            }));
        }
    }
    sleep_ms(6_000).await;
    assert_eq!(available(&lab, "web"), 4, "40 requests need five instances of 8 slots");
    let rows = rows(&lab);
    assert!(rows.iter().all(|(_, row)| row.state == InstanceState::InPool));
    requests.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test(start_paused = true)]
async fn wave_maintains_every_instance_within_the_budget() {
    let lab = lab_with_pool(4).await;
    let boots = |lab: &Lab| -> Vec<u64> {
        (0..POOL_SIZE).map(|index| lab.cloud.boot(&format!("t{index}").into())).collect()
    };
    assert_eq!(boots(&lab), [1; POOL_SIZE]);
    create_wave(&lab, "w1", IndexSet::new()).await;
    let fewest = run_wave(&lab, "w1", 120_000).await;
    assert_eq!(wave(&lab, "w1").state, WaveState::Done);
    assert_eq!(boots(&lab), [2; POOL_SIZE], "each was rebooted once");
    assert!(fewest >= POOL_SIZE / 2, "{fewest} were available");
    assert!(fewest < POOL_SIZE, "the wave took instances out");
    sleep_ms(2_000).await;
    assert_eq!(available(&lab, "web"), POOL_SIZE);
}

#[tokio::test(start_paused = true)]
async fn wave_counts_instances_that_failed_already() {
    let lab = lab_with_pool(5).await;
    for name in ["t0", "t1", "t2", "t3"] {
        lab.cloud.set_listed(&name.into(), None);
    }
    sleep_ms(2_000).await;
    create_wave(&lab, "w1", IndexSet::new()).await;
    sleep_ms(20_000).await;
    assert_eq!(
        available(&lab, "web"),
        POOL_SIZE,
        "half are unavailable already, so none is taken out"
    );
    assert_eq!(wave(&lab, "w1").state, WaveState::Running);
}

#[tokio::test(start_paused = true)]
async fn wave_halts_when_instances_do_not_return() {
    let lab = lab_with_pool(6).await;
    lab.cloud.set_faults(|faults| {
        faults.lost_at_reboot = (0..POOL_SIZE).map(|index| format!("t{index}").into()).collect();
    });
    create_wave(&lab, "w1", IndexSet::new()).await;
    let fewest = run_wave(&lab, "w1", 1_500_000).await;
    let wave = wave(&lab, "w1");
    assert_eq!(wave.state, WaveState::Halted);
    assert!(wave.reason.unwrap().contains("did not return"));
    assert!(fewest >= POOL_SIZE / 2);
}

#[tokio::test(start_paused = true)]
async fn wave_survives_the_loss_of_its_planners() {
    let mut lab = lab_with_pool(7).await;
    create_wave(&lab, "w1", IndexSet::new()).await;
    sleep_ms(800).await;
    for (name, data_centre) in [("a1", "a"), ("a2", "a"), ("b1", "b")] {
        lab.crash(name);
        lab.add(&format!("{name}-new"), data_centre);
        sleep_ms(300).await;
    }
    let fewest = run_wave(&lab, "w1", 300_000).await;
    assert_eq!(wave(&lab, "w1").state, WaveState::Done);
    assert!(fewest >= POOL_SIZE / 2, "{fewest} were available");
}

#[rstest]
#[case(41)]
#[case(42)]
#[case(43)]
#[case(44)]
#[tokio::test(start_paused = true)]
async fn two_waves_and_moves_keep_the_budget_under_seeded_faults(#[case] seed: u64) {
    let mut lab = lab_with_pool(seed).await;
    let mut rng = StdRng::seed_from_u64(seed);
    create_wave(&lab, "w1", IndexSet::new()).await;
    create_wave(&lab, "w2", IndexSet::new()).await;
    for step in 0..150 {
        sleep_ms(rng.random_range(10..400)).await;
        assert!(available(&lab, "web") >= POOL_SIZE / 2, "seed {seed}, step {step}");
        match rng.random_range(0..20) {
            0 => lab.cloud.set_faults(|faults| faults.lost_responses_per_mille = 300),
            1 => lab.cloud.set_faults(|faults| faults.down = true),
            2 => lab.cloud.set_faults(|faults| *faults = masticfall_standin::Faults::default()),
            3 => {
                let name = lab.processes.keys().next().unwrap().clone();
                let data_centre = lab.node(&name).data_centre().to_string();
                lab.crash(&name);
                lab.add(&format!("new-{step}"), &data_centre);
            }
            4 => {
                let name = InstanceName::from(format!("t{}", rng.random_range(0..POOL_SIZE)));
                let pool = if rng.random_bool(0.5) { "spare" } else { "web" };
                let node = &lab.processes[0].node;
                // The budget may refuse the move.
                drop(move_instance::run(node, &name, pool.into()).await);
            }
            5 => lab.processes[0].freeze(),
            _ => lab.processes.values().for_each(crate::lab::Process::thaw),
        }
    }
    lab.cloud.set_faults(|faults| *faults = masticfall_standin::Faults::default());
    lab.processes.values().for_each(crate::lab::Process::thaw);
    for name in ["w1", "w2"] {
        run_wave(&lab, name, 600_000).await;
        assert_eq!(wave(&lab, name).state, WaveState::Done, "seed {seed}, {name}");
    }
}
