//! Waiting for near workers: the decision, and the board under light, full and hot-rack load.

use masticfall_core::fleet::locality::{
    Decision, MAX_WAIT_MS, RackForecast, Request, RunView, WaitInput, decide, expected_left_ms,
    left_by_progress_ms,
};
use masticfall_core::fleet::spec::Resources;
use rstest::rstest;

fn cores(cores: u64) -> Resources {
    Resources { cpu_millis: cores * 1_000, memory_mib: 100 * cores, accelerators: 0 }
}

fn request(tasks: u64, before_ms: u64) -> Request {
    let needs = cores(2);
    Request { needs, run_ms: 800, before_ms, label: None, tasks, max_per_worker: 0 }
}

/// A worker whose two-core runs end at the given times.
fn runs(left_ms: &[u64]) -> Vec<RunView> {
    left_ms.iter().map(|left_ms| RunView { left_ms: *left_ms, reserved: cores(2) }).collect()
}

fn input(run_ms: u64, remote_factor: f64, waited_ms: u64, due_in_ms: i64) -> WaitInput {
    WaitInput { run_ms, remote_factor, waited_ms, due_in_ms }
}

/// A wait must neither cost more than it saves, nor endanger an objective that a far start
/// meets, nor reach the platform's limit however often it is prolonged.
#[rstest]
#[case::near_has_room(input(800, 1.5, 0, 5_000), Some(0), Some(0))]
#[case::soon_enough(input(800, 1.5, 0, 5_000), Some(200), Some(400))]
#[case::saves_less_than_a_tick(input(800, 1.5, 0, 5_000), Some(350), None)]
#[case::too_late(input(800, 1.5, 0, 5_000), Some(400), None)]
#[case::never(input(800, 1.5, 0, 5_000), None, None)]
#[case::off(input(800, 1.0, 0, 5_000), Some(1), None)]
#[case::factor_below_one(input(800, 0.5, 0, 5_000), Some(1), None)]
#[case::has_waited(input(800, 1.5, 250, 5_000), Some(200), None)]
#[case::objective_leaves_little(input(800, 1.5, 0, 1_300), Some(120), None)]
#[case::objective_leaves_enough(input(800, 1.5, 0, 1_400), Some(120), Some(200))]
#[case::only_a_near_run_is_in_time(input(800, 3.0, 0, 1_400), Some(500), Some(1_600))]
#[case::long_task(input(60_000, 3.0, 0, 500_000), Some(1_900), Some(MAX_WAIT_MS))]
#[case::long_task_waits_no_longer(input(60_000, 3.0, MAX_WAIT_MS, 500_000), Some(1), None)]
#[case::no_estimate(input(0, 3.0, 0, 5_000), Some(1), None)]
fn decision_by_expected_time(
    #[case] input: WaitInput,
    #[case] near_in_ms: Option<u64>,
    #[case] wait_ms: Option<u64>,
) {
    let expected = match wait_ms {
        None => Decision::TakeFar,
        Some(0) => Decision::TakeNear,
        Some(ms) => Decision::Wait { until_ms: 7_000 + ms },
    };
    assert_eq!(decide(input, near_in_ms, 7_000), expected);
}

/// Jobs that want one rack must not all wait for the same end of a run: each counts those
/// ahead, and the runs that these begin.
#[test]
fn waiting_tasks_count_those_ahead() {
    let mut rack = RackForecast::default();
    rack.add_worker(3, cores(0), runs(&[100, 300]));
    rack.add_worker(4, cores(1), runs(&[200]));
    let mut openings = Vec::new();
    while let Some(opening) = rack.opening(&request(1, 1_200), |_| true) {
        rack.book(&opening, &request(1, 1_200));
        openings.push((opening.in_ms, opening.workers[0].0));
    }
    // The last two follow the first two, whose runs of 800 ms end at 900 and 1,000 ms.
    assert_eq!(openings, [(100, 3), (200, 4), (300, 3), (900, 3), (1_000, 4), (1_100, 3)]);
    let opening = rack.opening(&request(1, 2_000), |worker| worker == 4);
    assert_eq!(opening.map(|opening| opening.in_ms), Some(1_800));
}

/// A booked start must not be given to a longer task that would still run then, and the
/// search that is skipped after a refusal must not hide room.
#[test]
fn short_tasks_use_the_time_before_a_booked_start() {
    let mut rack = RackForecast::default();
    rack.add_worker(0, cores(2), runs(&[500]));
    let wide = Request { needs: cores(4), ..request(1, 1_000) };
    let opening = rack.opening(&wide, |_| true).expect("both cores are free at 500 ms");
    assert_eq!(opening.in_ms, 500);
    rack.book(&opening, &wide);
    assert_eq!(rack.opening(&request(1, 1_000), |_| true), None);
    let short = Request { run_ms: 400, ..request(1, 1_000) };
    let opening = rack.opening(&short, |_| true);
    assert_eq!(opening.map(|opening| opening.in_ms), Some(0));
    let later = rack.opening(&request(1, 1_500), |_| true);
    assert_eq!(later.map(|opening| opening.in_ms), Some(1_300));
}

/// A group is spread if its rack has room for some of its tasks only.
#[test]
fn group_waits_until_all_its_tasks_fit() {
    let mut rack = RackForecast::default();
    rack.add_worker(0, cores(2), runs(&[400, 700]));
    rack.add_worker(1, cores(0), runs(&[300]));
    let in_ms = |rack: &mut RackForecast, tasks, max_per_worker| {
        let request = Request { max_per_worker, ..request(tasks, 1_000) };
        rack.opening(&request, |_| true).map(|opening| opening.in_ms)
    };
    assert_eq!(in_ms(&mut rack, 2, 0), Some(300));
    assert_eq!(in_ms(&mut rack, 4, 0), Some(700));
    assert_eq!(in_ms(&mut rack, 5, 0), None);
    assert_eq!(in_ms(&mut rack, 2, 1), Some(300));
    assert_eq!(in_ms(&mut rack, 3, 1), None);
}

/// A run that outlives its estimate must not be expected to end at once for ever: tasks
/// would wait for a stuck one.
#[test]
fn runs_that_outlive_their_estimate_are_expected_to_go_on() {
    assert_eq!(expected_left_ms(800, 100), 700);
    assert_eq!(expected_left_ms(800, 800), 200);
    assert_eq!(expected_left_ms(800, 5_600), 1_400);
    assert_eq!(left_by_progress_ms(25, 1_000), Some(3_000));
    assert_eq!(left_by_progress_ms(1, 1_000), None);
    assert_eq!(left_by_progress_ms(100, 1_000), None);
}
