//! A non-idempotent request runs at most once, and is reported as not run only if it did not run.

use std::time::Duration;

use futures_util::future::join_all;
use http::{Method, StatusCode};
use masticfall::client::ApiResponse;

use crate::fleet::Fleet;

const SLOW_PATH: &str = "/v1/queues/preview/requests/sleep/700";
const ECHO_PATH: &str = "/v1/queues/preview/requests/echo";

fn run_state(answer: &ApiResponse) -> &str {
    answer.headers.get("masticfall-run").map_or("", |value| value.to_str().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn same_key_at_several_instances_at_once_runs_once() {
    let fleet = Fleet::start().await;
    let headers = [("idempotency-key", "k1"), ("x-request-id", "k1")];
    let sent = (0..10).map(|index| {
        let client = fleet.red_client(index % 2);
        async move { client.send(Method::POST, SLOW_PATH, &headers, "order").await.unwrap() }
    });
    let answers = join_all(sent).await;
    assert_eq!(fleet.run_count("k1"), 1);
    let ok = answers.iter().filter(|answer| answer.status == StatusCode::OK).count();
    assert_eq!(ok, 1, "the others get a conflict while it runs");
    let conflicts: Vec<&ApiResponse> =
        answers.iter().filter(|answer| answer.status == StatusCode::CONFLICT).collect();
    assert_eq!(conflicts.len(), 9);
    assert!(conflicts.iter().all(|answer| run_state(answer) == "unknown"));
    let again = fleet.red_client(1).send(Method::POST, SLOW_PATH, &headers, "order").await.unwrap();
    assert_eq!((again.status, again.text().as_str()), (StatusCode::OK, "slept"));
    assert_eq!(fleet.run_count("k1"), 1, "a repetition gets the stored answer");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_with_another_body_is_refused() {
    let fleet = Fleet::start().await;
    let headers = [("idempotency-key", "k1")];
    let first = fleet.red_client(0).send(Method::POST, ECHO_PATH, &headers, "one").await.unwrap();
    assert_eq!(first.status, StatusCode::OK);
    let second = fleet.red_client(0).send(Method::POST, ECHO_PATH, &headers, "two").await.unwrap();
    assert_eq!(second.status, StatusCode::UNPROCESSABLE_ENTITY);
}

#[tokio::test(flavor = "multi_thread")]
async fn order_goes_on_when_its_caller_hangs_up() {
    let fleet = Fleet::start().await;
    let headers = [("idempotency-key", "k2"), ("x-request-id", "k2")];
    let client = fleet.red_client(0);
    let sent = client.send(Method::POST, SLOW_PATH, &headers, "order");
    assert!(tokio::time::timeout(Duration::from_millis(200), sent).await.is_err());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let again = fleet.red_client(1).send(Method::POST, SLOW_PATH, &headers, "order").await.unwrap();
    assert_eq!((again.status, again.text().as_str()), (StatusCode::OK, "slept"));
    assert_eq!(fleet.run_count("k2"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn order_whose_instance_is_killed_is_never_run_again() {
    let mut fleet = Fleet::start().await;
    let headers = [("idempotency-key", "k3"), ("x-request-id", "k3")];
    let client = fleet.red_client(0);
    let sent =
        tokio::spawn(async move { client.send(Method::POST, SLOW_PATH, &headers, "x").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.entries[0].signal("KILL");
    assert!(sent.await.unwrap().is_err(), "the caller loses its connection");
    fleet.entries[0].wait_for_exit().await;
    for _ in 0..5 {
        let again = fleet.red_client(1).send(Method::POST, SLOW_PATH, &headers, "x").await.unwrap();
        assert_eq!(again.status, StatusCode::CONFLICT);
        assert_eq!(run_state(&again), "unknown");
    }
    assert_eq!(fleet.run_count("k3"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn order_is_refused_as_not_run_while_its_record_cannot_be_written() {
    let fleet = Fleet::start().await;
    fleet.backends.cloud.set_faults(|faults| faults.down = true);
    let headers = [("idempotency-key", "k4"), ("x-request-id", "k4")];
    let refused = fleet.red_client(0).send(Method::POST, ECHO_PATH, &headers, "x").await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!((run_state(&refused), fleet.run_count("k4")), ("not_run", 0));
    fleet.backends.cloud.set_faults(|faults| faults.down = false);
    let accepted = fleet.red_client(0).send(Method::POST, ECHO_PATH, &headers, "x").await.unwrap();
    assert_eq!((accepted.status, fleet.run_count("k4")), (StatusCode::OK, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn record_with_a_lost_answer_is_settled_by_reading_back() {
    let fleet = Fleet::start().await;
    fleet.backends.cloud.set_faults(|faults| faults.lost_responses_per_mille = 1_000);
    let headers = [("idempotency-key", "k5"), ("x-request-id", "k5")];
    let answer = fleet.red_client(0).send(Method::POST, ECHO_PATH, &headers, "x").await.unwrap();
    assert_eq!((answer.status, fleet.run_count("k5")), (StatusCode::OK, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn post_without_a_key_is_not_retried_after_its_answer_was_lost() {
    let fleet = Fleet::start().await;
    for (_, target) in &fleet.backends.targets {
        target.record.lock().dropping_connections = true;
    }
    let headers = [("x-request-id", "p1")];
    let answer = fleet.red_client(0).send(Method::POST, ECHO_PATH, &headers, "x").await.unwrap();
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!((run_state(&answer), fleet.run_count("p1")), ("unknown", 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_breaks_its_targets_is_sent_to_two_of_them_at_most() {
    let fleet = Fleet::start().await;
    for (_, target) in &fleet.backends.targets {
        target.record.lock().dropping_connections = true;
    }
    let headers = [("x-request-id", "g1")];
    let answer = fleet.red_client(0).send(Method::GET, ECHO_PATH, &headers, "").await.unwrap();
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let runs = fleet.run_count("g1");
    assert_eq!((run_state(&answer), runs), ("unknown", 2));
}
