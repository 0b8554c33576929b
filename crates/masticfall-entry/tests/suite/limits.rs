//! A team never has more requests running than its limit, whatever fails.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

use masticfall_core::error::ErrorKind;
use masticfall_core::escrow::GrantRow;
use masticfall_entry::dispatch::admit;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::lab::{Lab, MAX_DEADLINE_MS, admit_at, call, fleet_text, sleep_ms};

/// Time after which the units of an unresponsive process are reclaimed, in milliseconds.
///
/// The lease as an observer counts it, the maximum deadline and a margin.
const RECLAIM_MS: u64 = 6_200 + MAX_DEADLINE_MS + 2_000;

/// Maximum limit in the seeded fault schedules.
const LIMIT: u32 = 10;

/// Admits requests at a process until one is refused.
async fn admit_all(
    lab: &Lab,
    process: &str,
    team: &str,
) -> Vec<masticfall_entry::dispatch::Admitted> {
    let mut admitted = Vec::new();
    while let Ok(request) = admit_at(&lab.processes[process], team).await {
        admitted.push(request);
    }
    admitted
}

#[tokio::test(start_paused = true)]
async fn limit_holds_across_two_processes() {
    let lab = Lab::start(1, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    let first = admit_all(&lab, "a1", "red").await;
    let second = admit_all(&lab, "b1", "red").await;
    assert_eq!(first.len() + second.len(), 6, "all units are used, and no more");
    let refusal = admit_at(&lab.processes["b1"], "red").await.unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::OverLimit);
}

#[tokio::test(start_paused = true)]
async fn units_follow_demand_within_a_second() {
    let lab = Lab::start(2, &[("a1", "a"), ("b1", "b")], &fleet_text(8, 4)).await;
    let at_a = admit_all(&lab, "a1", "red").await;
    assert!(at_a.len() >= 6, "b keeps only its base part");
    drop(at_a);
    sleep_ms(1_000).await;
    let started = tokio::time::Instant::now();
    let at_b = admit_all(&lab, "b1", "red").await;
    assert!(at_b.len() >= 6, "got {}", at_b.len());
    // The last attempt waits a second before it is refused; all units came before it.
    assert!(started.elapsed().as_millis() < 2_000);
}

#[tokio::test(start_paused = true)]
async fn crashed_process_gives_its_units_back_but_not_early() {
    let mut lab = Lab::start(3, &[("a1", "a"), ("a2", "a")], &fleet_text(6, 4)).await;
    let held = admit_all(&lab, "a1", "red").await.len();
    assert!(held >= 4);
    lab.crash("a1");
    // Requests that the crashed process dispatched may run until their deadline.
    sleep_ms(4_000).await;
    let early = admit_all(&lab, "a2", "red").await;
    assert!(early.len() + held <= 6, "{} + {held} run at once", early.len());
    drop(early);
    sleep_ms(RECLAIM_MS).await;
    assert_eq!(admit_all(&lab, "a2", "red").await.len(), 6);
}

#[tokio::test(start_paused = true)]
async fn data_centre_that_is_cut_off_serves_on_with_its_base_part() {
    let lab = Lab::start(4, &[("a1", "a"), ("a2", "a"), ("b1", "b")], &fleet_text(16, 4)).await;
    lab.cloud.set_faults(|faults| {
        faults.isolated.insert("a".into());
    });
    lab.set_partitioned("a", "b", true);
    sleep_ms(60_000).await;
    let at_a = admit_all(&lab, "a1", "red").await.len() + admit_all(&lab, "a2", "red").await.len();
    assert!(at_a >= 2, "the base part stays usable: {at_a}");
    let at_b = admit_all(&lab, "b1", "red").await;
    assert!(at_b.len() + at_a <= 16);
}

#[tokio::test(start_paused = true)]
async fn single_survivor_of_a_cut_off_data_centre_stops_until_an_operator_confirms() {
    let mut lab = Lab::start(5, &[("a1", "a"), ("a2", "a")], &fleet_text(8, 4)).await;
    lab.cloud.set_faults(|faults| {
        faults.isolated.insert("a".into());
    });
    let crashed = lab.node("a2").incarnation.clone();
    lab.crash("a2");
    sleep_ms(10_000).await;
    let refusal = admit_at(&lab.processes["a1"], "red").await.unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::NotReady);
    lab.node("a1").state().leases.confirm_gone(&crashed);
    assert!(admit_at(&lab.processes["a1"], "red").await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn nobody_reclaims_in_a_total_outage() {
    let lab = Lab::start(6, &[("a1", "a"), ("a2", "a"), ("b1", "b")], &fleet_text(12, 4)).await;
    let before: GrantRow = lab.cloud.row("limit/red").unwrap().decode().unwrap();
    lab.cloud.set_faults(|faults| faults.down = true);
    sleep_ms(120_000).await;
    for name in ["a1", "a2", "b1"] {
        assert!(admit_at(&lab.processes[name], "red").await.is_ok(), "{name} keeps serving");
    }
    let after: GrantRow = lab.cloud.row("limit/red").unwrap().decode().unwrap();
    assert_eq!(before, after);
}

#[tokio::test(start_paused = true)]
async fn lowered_limit_is_in_force_once_work_above_it_has_drained() {
    let lab = Lab::start(7, &[("a1", "a"), ("b1", "b")], &fleet_text(8, 4)).await;
    let running = admit_all(&lab, "a1", "red").await;
    lab.apply(0, 1, &fleet_text(3, 4)).await.unwrap();
    sleep_ms(2_000).await;
    assert!(
        admit_at(&lab.processes["b1"], "red").await.is_err(),
        "no free unit until requests end"
    );
    drop(running);
    sleep_ms(4_000).await;
    let running =
        admit_all(&lab, "a1", "red").await.len() + admit_all(&lab, "b1", "red").await.len();
    assert!(running <= 3, "{running} run under a limit of 3");
    let row: GrantRow = lab.cloud.row("limit/red").unwrap().decode().unwrap();
    assert!(row.granted() <= 3, "{row:?}");
}

#[tokio::test(start_paused = true)]
async fn units_of_a_process_whose_row_is_gone_come_back() {
    let lab = Lab::start(8, &[("a1", "a"), ("a2", "a")], &fleet_text(6, 4)).await;
    // A claim written after its process left, as a delayed write can cause.
    let row = lab.cloud.row("limit/red").unwrap();
    let mut grants: GrantRow = row.decode().unwrap();
    let departed = masticfall_core::id::Incarnation::from("a.00000000000000ff");
    let claim = masticfall_core::escrow::Claim {
        limit: 6,
        data_centres: 2,
        peers_in_data_centre: 2,
        base_percent: 50,
        wanted: 3,
    };
    grants.claim(&departed, &"a".into(), &claim);
    assert!(grants.units(&departed).total() > 0);
    let transaction =
        masticfall_platform::Transaction::new().replace("limit/red", Some(&row), &grants).unwrap();
    (lab.cloud.platform(&"a".into()).tables.transact)(transaction).await.unwrap();
    sleep_ms(310_000).await;
    let row: GrantRow = lab.cloud.row("limit/red").unwrap().decode().unwrap();
    assert_eq!(row.units(&departed).total(), 0);
    assert_eq!(admit_all(&lab, "a1", "red").await.len(), 6, "no unit is lost");
}

/// Counts running requests independently of the system's own accounting.
#[derive(Debug, Default)]
struct LoadCounter {
    running: AtomicI64,
    peak: AtomicI64,
    admitted: AtomicI64,
}

impl LoadCounter {
    fn start(&self) {
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak.fetch_max(running, Ordering::Relaxed);
        self.admitted.fetch_add(1, Ordering::Relaxed);
    }

    fn end(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends requests to one process until `stop` is set.
async fn run_load(
    node: Arc<masticfall_entry::Node>,
    counter: Arc<LoadCounter>,
    seed: u64,
    stop: Arc<AtomicBool>,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !stop.load(Ordering::Relaxed) {
        sleep_ms(rng.random_range(1..60)).await;
        if let Ok(admitted) = admit(&node, &call("red")).await {
            counter.start();
            let hold_ms = rng.random_range(1..MAX_DEADLINE_MS / 2);
            let counter = Arc::clone(&counter);
            // A dispatched request continues even if its process crashes.
            tokio::spawn(async move {
                sleep_ms(hold_ms).await;
                counter.end();
                drop(admitted);
            });
        }
    }
}

/// Injects a fault drawn from `rng`, clears it, and restarts lost processes.
async fn inject_fault(lab: &mut Lab, rng: &mut StdRng, step: u32) {
    let names: Vec<String> = lab.processes.keys().cloned().collect();
    let name = names[rng.random_range(0..names.len())].clone();
    match rng.random_range(0..8) {
        0 => lab.cloud.set_faults(|faults| faults.down = true),
        1 => lab.cloud.set_faults(|faults| faults.lost_responses_per_mille = 300),
        2 => {
            lab.cloud.set_faults(|faults| {
                faults.isolated.insert("a".into());
            });
            lab.set_partitioned("a", "b", true);
        }
        3 => lab.isolate(&name, true),
        4 => {
            lab.processes[&name].freeze();
            sleep_ms(rng.random_range(1_000..20_000)).await;
            lab.processes[&name].thaw();
        }
        5 => {
            let data_centre = lab.node(&name).data_centre().to_string();
            lab.crash(&name);
            lab.add(&format!("new-{step}"), &data_centre);
        }
        6 => {
            let revision = lab.processes[0].node.state().revision().0;
            let limit = rng.random_range(6..=LIMIT);
            // May fail on a conflict or an outage; the limit in force then stays.
            drop(lab.apply(0, revision, &fleet_text(limit, 4)).await);
        }
        _ => lab.cloud.set_faults(|faults| faults.delay_ms = 700),
    }
    sleep_ms(rng.random_range(500..15_000)).await;
    lab.cloud.set_faults(|faults| *faults = masticfall_standin::Faults::default());
    lab.set_partitioned("a", "b", false);
    for name in lab.processes.keys() {
        lab.isolate(name, false);
    }
    sleep_ms(rng.random_range(500..10_000)).await;
    lab.restart_draining().await;
}

#[rstest]
#[case(11)]
#[case(12)]
#[case(13)]
#[case(14)]
#[case(15)]
#[case(16)]
#[case(17)]
#[case(18)]
#[tokio::test(start_paused = true)]
async fn limit_holds_under_seeded_faults(#[case] seed: u64) {
    let processes = [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b")];
    let mut lab = Lab::start(seed, &processes, &fleet_text(LIMIT, 4)).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let counter = Arc::new(LoadCounter::default());
    let stop = Arc::new(AtomicBool::new(false));
    let spawn_load = |lab: &Lab, loaded: &mut Vec<String>| {
        for process in lab.processes.values() {
            let incarnation = process.node.incarnation.to_string();
            if !loaded.contains(&incarnation) {
                loaded.push(incarnation);
                let node = Arc::clone(&process.node);
                let number = seed * 100 + loaded.len() as u64;
                let load = run_load(node, Arc::clone(&counter), number, Arc::clone(&stop));
                tokio::spawn(load);
            }
        }
    };
    let mut loaded = Vec::new();
    for step in 0..12 {
        spawn_load(&lab, &mut loaded);
        inject_fault(&mut lab, &mut rng, step).await;
        let peak = counter.peak.load(Ordering::Relaxed);
        assert!(peak <= i64::from(LIMIT), "seed {seed}, step {step}: {peak} ran at once");
    }
    stop.store(true, Ordering::Relaxed);
    let admitted = counter.admitted.load(Ordering::Relaxed);
    assert!(admitted > 1_000, "seed {seed}: only {admitted} requests were admitted");
}
