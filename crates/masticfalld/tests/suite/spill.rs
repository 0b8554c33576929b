//! Spillover to a near data centre.

use std::time::Duration;

use http::{Method, StatusCode};
use masticfall::client::ApiClient;
use masticfall::trial::OPERATOR_KEY;

use crate::fleet::Fleet;

const ECHO_PATH: &str = "/v1/queues/preview/requests/echo";

/// Removes the targets of a data centre from the platform's list.
async fn unlist_targets(fleet: &Fleet, data_centre: &str) {
    for (name, _) in &fleet.backends.targets {
        if name.as_str().starts_with(data_centre) {
            fleet.backends.cloud.set_listed(name, None);
        }
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_local_target_is_forwarded_and_its_events_are_in_order() {
    let fleet = Fleet::start().await;
    unlist_targets(&fleet, "dc-a").await;
    let headers = [("x-request-id", "spilt")];
    let answer =
        fleet.red_client(0).send(Method::POST, ECHO_PATH, &headers, "bend 3 mm").await.unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "bend 3 mm"));
    assert_eq!(fleet.run_count("spilt"), 1);
    let mut kinds = Vec::new();
    for entry in &fleet.entries {
        let operator = ApiClient::new(&entry.http, OPERATOR_KEY);
        let timeline: serde_json::Value = operator.get("/admin/v1/timeline").await.unwrap();
        for event in timeline["events"].as_array().unwrap() {
            if event["labels"]["request"] == "spilt" {
                let stamp =
                    (event["stamp"]["wall_ms"].as_u64(), event["stamp"]["counter"].as_u64());
                kinds.push((stamp, event["kind"].as_str().unwrap().to_string()));
            }
        }
    }
    kinds.sort();
    let kinds: Vec<&str> = kinds.iter().map(|(_, kind)| kind.as_str()).collect();
    assert_eq!(kinds, ["admitted", "forwarded", "admitted", "dispatched", "answered"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn order_that_spills_over_runs_once() {
    let fleet = Fleet::start().await;
    unlist_targets(&fleet, "dc-a").await;
    let headers = [("x-request-id", "order"), ("idempotency-key", "k")];
    for _ in 0..3 {
        let answer =
            fleet.red_client(0).send(Method::POST, ECHO_PATH, &headers, "grind").await.unwrap();
        assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "grind"));
    }
    assert_eq!(fleet.run_count("order"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_any_target_is_refused_as_not_run() {
    let fleet = Fleet::start().await;
    unlist_targets(&fleet, "dc-").await;
    let headers = [("x-request-id", "nobody")];
    let answer = fleet.red_client(0).send(Method::POST, ECHO_PATH, &headers, "x").await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers["masticfall-run"], "not_run");
    assert_eq!(fleet.run_count("nobody"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_cannot_impersonate_a_forwarding_process() {
    let fleet = Fleet::start().await;
    let anonymous = ApiClient::new(&fleet.entries[0].http, "");
    let headers = [("masticfall-forwarded", "guessed-secret"), ("masticfall-team", "red")];
    let answer = anonymous.send(Method::POST, ECHO_PATH, &headers, "x").await.unwrap();
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
}
