//! No team has more running than its limit, whatever fails.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

use masticfall_core::error::ErrorKind;
use masticfall_core::escrow::GrantRow;
use masticfall_entry::dispatch::admit;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::lab::{Lab, MAX_DEADLINE_MS, admit_at, call, fleet_text, sleep_ms};

/// Time after which a silent process's units are back, in milliseconds.
const SETTLE_MS: u64 = 6_200 + MAX_DEADLINE_MS + 2_000;

/// Highest limit of the seeded schedules.
const LIMIT: u32 = 10;

/// Admits as many requests as a process allows at once, without waiting.
async fn admit_all(
    lab: &Lab,
    process: &str,
    team: &str,
) -> Vec<masticfall_entry::dispatch::Admitted> {
    let mut admitted = Vec::new();
    while let Ok(one) = admit_at(&lab.processes[process], team).await {
        admitted.push(one);
    }
    admitted
}

#[tokio::test(start_paused = true)]
async fn limit_holds_across_two_processes() {
    let lab = Lab::start(1, &[("a1", "a"), ("b1", "b")], &fleet_text(6, 4)).await;
    let first = admit_all(&lab, "a1", "red").await;
    let second = admit_all(&lab, "b1", "red").await;
    assert_eq!(first.len() + second.len(), 6, "all units are used, and no more");
    let refused = admit_at(&lab.processes["b1"], "red").await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::OverLimit);
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
    // The last refusal waits for a second; all units came before it.
    assert!(started.elapsed().as_millis() < 2_000);
}

#[tokio::test(start_paused = true)]
async fn crashed_process_gives_its_units_back_but_not_early() {
    let mut lab = Lab::start(3, &[("a1", "a"), ("a2", "a")], &fleet_text(6, 4)).await;
    let held = admit_all(&lab, "a1", "red").await.len();
    assert!(held >= 4);
    lab.crash("a1");
    // What the crashed process dispatched may run until its deadline.
    sleep_ms(4_000).await;
    let early = admit_all(&lab, "a2", "red").await;
    assert!(early.len() + held <= 6, "{} + {held} run at once", early.len());
    drop(early);
    sleep_ms(SETTLE_MS).await;
    assert_eq!(admit_all(&lab, "a2", "red").await.len(), 6);
}

#[tokio::test(start_paused = true)]
async fn data_centre_that_is_cut_off_serves_on_with_its_base_part() {
    let lab = Lab::start(4, &[("a1", "a"), ("a2", "a"), ("b1", "b")], &fleet_text(16, 4)).await;
    lab.cloud.set_faults(|faults| {
        faults.isolated.insert("a".into());
    });
    lab.set_cut("a", "b", true);
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
    let gone = lab.node("a2").who.clone();
    lab.crash("a2");
    sleep_ms(10_000).await;
    let refused = admit_at(&lab.processes["a1"], "red").await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::NotReady);
    lab.node("a1").state().guard.confirm_gone(&gone);
    assert!(admit_at(&lab.processes["a1"], "red").await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn nobody_reclaims_in_a_total_outage() {
    let lab = Lab::start(6, &[("a1", "a"), ("a2", "a"), ("b1", "b")], &fleet_text(12, 4)).await;
    let before: GrantRow = lab.cloud.row("limit/red").unwrap().decode().unwrap();
    lab.cloud.set_faults(|faults| faults.down = true);
    sleep_ms(120_000).await;
    for name in ["a1", "a2", "b1"] {
        assert!(admit_at(&lab.processes[name], "red").await.is_ok(), "{name} serves on");
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
    assert!(admit_at(&lab.processes["b1"], "red").await.is_err(), "no room until work drained");
    drop(running);
    sleep_ms(4_000).await;
    let now = admit_all(&lab, "a1", "red").await.len() + admit_all(&lab, "b1", "red").await.len();
    assert!(now <= 3, "{now} run under a limit of 3");
    let row: GrantRow = lab.cloud.row("limit/red").unwrap().decode().unwrap();
    assert!(row.granted() <= 3, "{row:?}");
}

#[tokio::test(start_paused = true)]
async fn units_of_a_process_whose_row_is_gone_come_back() {
    let lab = Lab::start(8, &[("a1", "a"), ("a2", "a")], &fleet_text(6, 4)).await;
    // A claim that lands after its process left, as a delayed write can.
    let row = lab.cloud.row("limit/red").unwrap();
    let mut grants: GrantRow = row.decode().unwrap();
    let left = masticfall_core::id::Incarnation::from("a.00000000000000ff");
    let claim = masticfall_core::escrow::Claim {
        limit: 6,
        data_centres: 2,
        peers_in_data_centre: 2,
        base_percent: 50,
        wanted: 3,
    };
    grants.claim(&left, &"a".into(), &claim);
    assert!(grants.units(&left).total() > 0);
    let transaction =
        masticfall_platform::Transaction::new().replace("limit/red", Some(&row), &grants).unwrap();
    (lab.cloud.platform(&"a".into()).tables.transact)(transaction).await.unwrap();
    sleep_ms(310_000).await;
    let row: GrantRow = lab.cloud.row("limit/red").unwrap().decode().unwrap();
    assert_eq!(row.units(&left).total(), 0);
    assert_eq!(admit_all(&lab, "a1", "red").await.len(), 6, "nothing is stranded");
}

/// Counts what really runs, beside the system's own accounts.
#[derive(Debug, Default)]
struct Record {
    running: AtomicI64,
    most: AtomicI64,
    admitted: AtomicI64,
}

impl Record {
    fn start(&self) {
        let now = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(now, Ordering::Relaxed);
        self.admitted.fetch_add(1, Ordering::Relaxed);
    }

    fn end(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends requests at one process until told to stop.
async fn load(
    node: Arc<masticfall_entry::Node>,
    record: Arc<Record>,
    seed: u64,
    stop: Arc<AtomicBool>,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !stop.load(Ordering::Relaxed) {
        sleep_ms(rng.random_range(1..60)).await;
        if let Ok(admitted) = admit(&node, &call("red")).await {
            record.start();
            let hold_ms = rng.random_range(1..MAX_DEADLINE_MS / 2);
            let record = Arc::clone(&record);
            // What was dispatched goes on, also when its process is gone.
            tokio::spawn(async move {
                sleep_ms(hold_ms).await;
                record.end();
                drop(admitted);
            });
        }
    }
}

/// One fault of a schedule, drawn by its seed.
async fn one_fault(lab: &mut Lab, rng: &mut StdRng, step: u32) {
    let names: Vec<String> = lab.processes.keys().cloned().collect();
    let name = names[rng.random_range(0..names.len())].clone();
    match rng.random_range(0..8) {
        0 => lab.cloud.set_faults(|faults| faults.down = true),
        1 => lab.cloud.set_faults(|faults| faults.lost_responses_per_mille = 300),
        2 => {
            lab.cloud.set_faults(|faults| {
                faults.isolated.insert("a".into());
            });
            lab.set_cut("a", "b", true);
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
            // It may lose a race or meet an outage; the limit in force then stays.
            drop(lab.apply(0, revision, &fleet_text(limit, 4)).await);
        }
        _ => lab.cloud.set_faults(|faults| faults.delay_ms = 700),
    }
    sleep_ms(rng.random_range(500..15_000)).await;
    lab.cloud.set_faults(|faults| *faults = masticfall_standin::Faults::default());
    lab.set_cut("a", "b", false);
    for name in lab.processes.keys() {
        lab.isolate(name, false);
    }
    sleep_ms(rng.random_range(500..10_000)).await;
    lab.replace_lost().await;
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
    let record = Arc::new(Record::default());
    let stop = Arc::new(AtomicBool::new(false));
    let spawn_load = |lab: &Lab, loaded: &mut Vec<String>| {
        for process in lab.processes.values() {
            let who = process.node.who.to_string();
            if !loaded.contains(&who) {
                loaded.push(who);
                let node = Arc::clone(&process.node);
                let number = seed * 100 + loaded.len() as u64;
                let load = load(node, Arc::clone(&record), number, Arc::clone(&stop));
                tokio::spawn(load);
            }
        }
    };
    let mut loaded = Vec::new();
    for step in 0..12 {
        spawn_load(&lab, &mut loaded);
        one_fault(&mut lab, &mut rng, step).await;
        let most = record.most.load(Ordering::Relaxed);
        assert!(most <= i64::from(LIMIT), "seed {seed}, step {step}: {most} ran at once");
    }
    stop.store(true, Ordering::Relaxed);
    let admitted = record.admitted.load(Ordering::Relaxed);
    assert!(admitted > 1_000, "seed {seed}: only {admitted} requests were admitted");
}
