//! Each caller receives the complete answer to its own request.

use futures_util::future::join_all;
use http::{Method, StatusCode};

use crate::fleet::Fleet;

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_get_their_own_answers() {
    let fleet = Fleet::start().await;
    let sent = (0..200).map(|number| {
        let client = fleet.red_client(number % 2);
        async move {
            let body = format!("body {number} ").repeat(number + 1);
            let id = format!("r{number}");
            let headers = [("x-request-id", id.as_str())];
            let path = "/v1/queues/preview/requests/echo";
            let answer = client.send(Method::POST, path, &headers, body.clone()).await.unwrap();
            if answer.status == StatusCode::OK {
                assert_eq!(answer.text(), body);
            }
            assert_eq!(answer.headers["x-request-id"], id.as_str());
            answer.status == StatusCode::OK
        }
    });
    let answered = join_all(sent).await.into_iter().filter(|ok| *ok).count();
    assert!(answered >= 100, "{answered} of 200 were answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn large_streamed_answer_arrives_complete() {
    let fleet = Fleet::start().await;
    let path = "/v1/queues/preview/requests/bytes/20000000";
    let answer = fleet.red_client(0).send(Method::GET, path, &[], "").await.unwrap();
    assert_eq!(answer.body.len(), 20_000_000);
    assert!(answer.body.iter().all(|byte| *byte == b'x'));
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_is_reported_as_an_error() {
    let fleet = Fleet::start().await;
    for (_, target) in &fleet.backends.targets {
        target.record.lock().truncating = true;
    }
    for _ in 0..10 {
        let path = "/v1/queues/preview/requests/bytes/1000000";
        let sent = fleet.red_client(0).send(Method::GET, path, &[], "").await;
        assert!(sent.is_err(), "{:?}", sent.map(|answer| answer.body.len()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn target_error_is_passed_on() {
    let fleet = Fleet::start().await;
    let path = "/v1/queues/preview/requests/fail";
    let answer = fleet.red_client(0).send(Method::GET, path, &[], "").await.unwrap();
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.text(), "failed");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_is_reported_as_unknown() {
    let fleet = Fleet::start().await;
    let headers = [("request-timeout-ms", "200"), ("x-request-id", "late")];
    let path = "/v1/queues/preview/requests/sleep/600";
    let answer = fleet.red_client(0).send(Method::POST, path, &headers, "x").await.unwrap();
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.headers["masticfall-run"], "unknown");
    assert_eq!(fleet.run_count("late"), 1);
}
