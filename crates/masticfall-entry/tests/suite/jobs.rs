//! Jobs: no accepted job is lost, and none finishes twice.

use bytes::Bytes;
use indexmap::IndexMap;
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{InstanceName, JobId, TeamName};
use masticfall_core::instance::InstanceKind;
use masticfall_core::job::{JobRow, JobState, Needs};
use masticfall_core::key::KeyHash;
use masticfall_entry::ops::submit_job::{self, SubmitJob};
use masticfall_entry::ops::{cancel_job, show_job};
use masticfall_entry::refusal::Result;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::lab::{Lab, fleet_text, key_of, sleep_ms};

async fn lab_with_workers(seed: u64, processes: &[(&str, &str)], workers: usize) -> Lab {
    let lab = Lab::start(seed, processes, &fleet_text(100, 2)).await;
    for index in 0..workers {
        let (name, rack) = (format!("w{index}"), format!("r{index}"));
        lab.add_instance(&name, InstanceKind::Worker, "a", &rack, "workers");
    }
    sleep_ms(3_000).await;
    lab
}

fn job(team: &str, payload: &str) -> SubmitJob {
    SubmitJob {
        queue: "night".into(),
        key: Some(KeyHash::of(&key_of(team))),
        needs: Needs { cores: 2, memory_mib: 512, accelerators: 0 },
        idempotent: true,
        idempotency_key: None,
        payload: Bytes::from(payload.to_string()),
    }
}

async fn submit(lab: &Lab, process: &str, submit: SubmitJob) -> Result<JobId> {
    submit_job::run(lab.node(process), submit).await
}

async fn show(lab: &Lab, process: &str, team: &str, id: &JobId) -> JobRow {
    show_job::run(lab.node(process), &TeamName::from(team), id).await.unwrap().1
}

/// Returns the rows of final jobs, by key.
fn final_jobs(lab: &Lab) -> IndexMap<String, JobRow> {
    let rows = lab.cloud.rows("job/final/");
    let rows = rows.into_iter().map(|row| (row.key.clone(), row.decode().unwrap()));
    rows.collect()
}

#[tokio::test(start_paused = true)]
async fn job_runs_and_its_result_is_kept() {
    let lab = lab_with_workers(1, &[("a1", "a")], 1).await;
    let id = submit(&lab, "a1", job("red", "calibrate run_ms=500")).await.unwrap();
    sleep_ms(3_000).await;
    assert_eq!(show(&lab, "a1", "red", &id).await.state, JobState::Finished);
    let result = show_job::result(lab.node("a1"), &TeamName::from("red"), &id).await.unwrap();
    assert!(result.starts_with(b"result of calibrate"));
    let other = show_job::run(lab.node("a1"), &TeamName::from("blue"), &id).await.unwrap_err();
    assert_eq!(other.kind, ErrorKind::NotFound, "another team must not see it");
}

#[tokio::test(start_paused = true)]
async fn job_survives_the_loss_of_its_workers_lease() {
    let lab = lab_with_workers(2, &[("a1", "a")], 2).await;
    let id = submit(&lab, "a1", job("red", "run_ms=8000")).await.unwrap();
    sleep_ms(1_500).await;
    let worker = show(&lab, "a1", "red", &id).await.worker.unwrap();
    lab.cloud.set_faults(|faults| {
        faults.unreachable_workers.insert(worker.clone());
    });
    sleep_ms(30_000).await;
    let after = show(&lab, "a1", "red", &id).await;
    assert_eq!((after.state, after.attempt), (JobState::Finished, 2));
    assert_eq!(
        lab.cloud.finished_attempts(),
        [(id.to_string(), 2)],
        "the first attempt was stopped"
    );
}

#[tokio::test(start_paused = true)]
async fn job_survives_the_loss_of_its_entry_instance() {
    let mut lab = lab_with_workers(3, &[("a1", "a"), ("a2", "a")], 2).await;
    let id = submit(&lab, "a1", job("red", "run_ms=15000")).await.unwrap();
    sleep_ms(1_500).await;
    lab.crash("a1");
    sleep_ms(30_000).await;
    assert_eq!(show(&lab, "a2", "red", &id).await.state, JobState::Finished);
}

#[tokio::test(start_paused = true)]
async fn job_that_may_not_run_again_is_parked_when_its_outcome_is_unknown() {
    let lab = lab_with_workers(4, &[("a1", "a")], 1).await;
    let not_idempotent = SubmitJob { idempotent: false, ..job("red", "run_ms=60000") };
    let id = submit(&lab, "a1", not_idempotent).await.unwrap();
    sleep_ms(1_500).await;
    lab.cloud.set_faults(|faults| {
        faults.unreachable_workers.insert("w0".into());
    });
    sleep_ms(20_000).await;
    let after = show(&lab, "a1", "red", &id).await;
    assert_eq!((after.state, after.attempt), (JobState::Parked, 1));
}

#[tokio::test(start_paused = true)]
async fn job_that_takes_its_workers_down_is_parked_and_its_neighbours_finish() {
    let lab = lab_with_workers(9, &[("a1", "a")], 8).await;
    let guilty = submit(&lab, "a1", job("red", "crash_worker")).await.unwrap();
    let mut neighbours = Vec::new();
    for _ in 0..3 {
        neighbours.push(submit(&lab, "a1", job("red", "run_ms=6000")).await.unwrap());
    }
    sleep_ms(120_000).await;
    let after = show(&lab, "a1", "red", &guilty).await;
    assert_eq!((after.state, after.attempt), (JobState::Parked, 3));
    let reason = after.reason.expect("a reason");
    assert!(after.lost_workers.iter().all(|worker| reason.contains(worker.as_str())), "{reason}");
    for id in &neighbours {
        assert_eq!(show(&lab, "a1", "red", id).await.state, JobState::Finished);
    }
}

#[tokio::test(start_paused = true)]
async fn unreadable_job_row_does_not_stop_the_others() {
    let lab = lab_with_workers(10, &[("a1", "a")], 1).await;
    lab.cloud.put_row("job/active/a/broken", b"not a row");
    let id = submit(&lab, "a1", job("red", "run_ms=500")).await.unwrap();
    sleep_ms(5_000).await;
    assert_eq!(show(&lab, "a1", "red", &id).await.state, JobState::Finished);
}

#[tokio::test(start_paused = true)]
async fn job_is_refused_as_not_run_while_the_platform_is_down() {
    let lab = lab_with_workers(5, &[("a1", "a")], 1).await;
    lab.cloud.set_faults(|faults| faults.down = true);
    let refused = submit(&lab, "a1", job("red", "x")).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::PlatformUnavailable);
    lab.cloud.set_faults(|faults| faults.down = false);
    assert!(lab.cloud.rows("job/active/").is_empty());
}

#[tokio::test(start_paused = true)]
async fn job_that_can_never_run_is_refused() {
    let lab = lab_with_workers(6, &[("a1", "a")], 1).await;
    let large = SubmitJob {
        needs: Needs { cores: 500, memory_mib: 1, accelerators: 0 },
        ..job("red", "x")
    };
    assert_eq!(submit(&lab, "a1", large).await.unwrap_err().kind, ErrorKind::CannotFit);
}

#[tokio::test(start_paused = true)]
async fn repeated_submission_is_the_same_job() {
    let lab = lab_with_workers(7, &[("a1", "a"), ("b1", "b")], 1).await;
    let keyed = SubmitJob { idempotency_key: Some("n1".to_string()), ..job("red", "x") };
    let first = submit(&lab, "a1", keyed.clone()).await.unwrap();
    assert_eq!(submit(&lab, "a1", keyed).await, Ok(first));
}

#[tokio::test(start_paused = true)]
async fn teams_limit_counts_running_jobs() {
    let lab = lab_with_workers(8, &[("a1", "a")], 4).await;
    for _ in 0..6 {
        submit(&lab, "a1", job("blue", "run_ms=2500")).await.unwrap();
    }
    let mut max_placed = 0;
    for _ in 0..400 {
        sleep_ms(50).await;
        let rows = lab.cloud.rows("job/active/").into_iter();
        let placed = rows.filter(|row| row.decode::<JobRow>().unwrap().state == JobState::Placed);
        max_placed = max_placed.max(placed.count());
    }
    assert_eq!(max_placed, 2, "blue's limit is 2");
    assert_eq!(final_jobs(&lab).len(), 6);
}

#[tokio::test(start_paused = true)]
async fn cancelled_job_is_stopped_and_gives_its_unit_back() {
    let lab = lab_with_workers(9, &[("a1", "a")], 1).await;
    let id = submit(&lab, "a1", job("blue", "run_ms=60000")).await.unwrap();
    sleep_ms(2_000).await;
    cancel_job::run(lab.node("a1"), &TeamName::from("blue"), &id).await.unwrap();
    sleep_ms(3_000).await;
    assert_eq!(show(&lab, "a1", "blue", &id).await.state, JobState::Cancelled);
    assert!(lab.cloud.rows("job/active/").is_empty());
    let grants: masticfall_core::escrow::GrantRow =
        lab.cloud.row("limit/blue").unwrap().decode().unwrap();
    assert!(grants.attempts.is_empty());
}

#[tokio::test(start_paused = true)]
async fn job_that_fails_everywhere_is_parked() {
    let lab = lab_with_workers(10, &[("a1", "a")], 4).await;
    let id = submit(&lab, "a1", job("red", "fail run_ms=10")).await.unwrap();
    sleep_ms(10_000).await;
    let after = show(&lab, "a1", "red", &id).await;
    assert_eq!(after.state, JobState::Parked);
    assert_eq!(after.failed_on.len(), 3, "failed on different workers: {:?}", after.failed_on);
}

#[tokio::test(start_paused = true)]
async fn worker_that_fails_everything_gets_no_more_jobs_and_parks_none() {
    let lab = lab_with_workers(11, &[("a1", "a")], 4).await;
    lab.cloud.set_faults(|faults| {
        faults.failing_workers.insert("w0".into());
    });
    let mut ids = Vec::new();
    for _ in 0..12 {
        ids.push(submit(&lab, "a1", job("red", "run_ms=50")).await.unwrap());
        sleep_ms(400).await;
    }
    let failing = submit(&lab, "a1", job("red", "fail run_ms=50")).await.unwrap();
    sleep_ms(15_000).await;
    for id in &ids {
        assert_eq!(show(&lab, "a1", "red", id).await.state, JobState::Finished);
    }
    assert_eq!(show(&lab, "a1", "red", &failing).await.state, JobState::Parked);
    let at_fault = lab.node("a1").state().workers_at_fault.clone();
    assert_eq!(at_fault.iter().map(InstanceName::as_str).collect::<Vec<_>>(), ["w0"]);
}

/// Injects one random fault and removes it after a random time.
async fn inject_fault(lab: &mut Lab, rng: &mut StdRng, step: u32) {
    let names: Vec<String> = lab.processes.keys().cloned().collect();
    let name = names[rng.random_range(0..names.len())].clone();
    let worker = format!("w{}", rng.random_range(0..3));
    match rng.random_range(0..5) {
        0 => lab.cloud.set_faults(|faults| faults.down = true),
        1 => lab.cloud.set_faults(|faults| faults.lost_responses_per_mille = 300),
        2 => lab.cloud.set_faults(|faults| {
            faults.unreachable_workers.insert(worker.as_str().into());
        }),
        3 => {
            lab.processes[&name].freeze();
            sleep_ms(rng.random_range(1_000..15_000)).await;
            lab.processes[&name].thaw();
        }
        _ => {
            lab.crash(&name);
            lab.add(&format!("new-{step}"), "a");
        }
    }
    sleep_ms(rng.random_range(500..12_000)).await;
    lab.cloud.set_faults(|faults| *faults = masticfall_standin::Faults::default());
    lab.restart_draining().await;
}

#[rstest]
#[case(31)]
#[case(32)]
#[case(33)]
#[case(34)]
#[case(35)]
#[case(36)]
#[tokio::test(start_paused = true)]
async fn accepted_jobs_finish_once_under_seeded_faults(#[case] seed: u64) {
    let mut lab = lab_with_workers(seed, &[("a1", "a"), ("a2", "a"), ("a3", "a")], 3).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut accepted: IndexMap<JobId, bool> = IndexMap::new();
    for step in 0..10 {
        for number in 0..3 {
            let process = lab.processes.keys().next().unwrap().clone();
            let idempotent = number != 0;
            let payload = format!("run_ms={}", rng.random_range(100..8_000));
            let submission = SubmitJob { idempotent, ..job("red", &payload) };
            if let Ok(id) = submit(&lab, &process, submission).await {
                accepted.insert(id, idempotent);
            }
        }
        inject_fault(&mut lab, &mut rng, step).await;
    }
    sleep_ms(120_000).await;
    assert!(accepted.len() > 15, "seed {seed}: only {} jobs were accepted", accepted.len());
    check_against_workers(&lab, &accepted, seed).await;
}

/// Checks the rows of jobs against the attempts that workers finished.
async fn check_against_workers(lab: &Lab, accepted: &IndexMap<JobId, bool>, seed: u64) {
    let process = lab.processes.keys().next().unwrap().clone();
    let finished = lab.cloud.finished_attempts();
    for (id, idempotent) in accepted {
        let row = show(lab, &process, "red", id).await;
        let runs = finished.iter().filter(|(job, _)| job == id.as_str()).count();
        match row.state {
            JobState::Finished => {
                let attempt = (id.to_string(), row.attempt);
                assert!(finished.contains(&attempt), "seed {seed}: no worker finished {id}");
            }
            JobState::Parked if !idempotent => {}
            other => panic!("seed {seed}: {id} is {other} after {} attempts", row.attempt),
        }
        if !idempotent {
            assert!(runs <= 1 && row.attempt <= 1, "seed {seed}: {id} ran {runs} times");
        }
    }
}
