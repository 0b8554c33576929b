//! A graceful shutdown does not interrupt requests.

use std::time::Duration;

use http::{Method, StatusCode};
use masticfall::client::ApiClient;
use masticfall::trial::fleet_config;

use crate::fleet::Fleet;

#[tokio::test(flavor = "multi_thread")]
async fn terminated_process_finishes_its_requests_and_returns_its_units() {
    let mut fleet = Fleet::start().await;
    let slow = fleet.red_client(0);
    let path = "/v1/queues/preview/requests/sleep/2000";
    let running = tokio::spawn(async move { slow.send(Method::GET, path, &[], "").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.entries[0].signal("TERM");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ready = fleet.red_client(0).send(Method::GET, "/readyz", &[], "").await.unwrap();
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE, "the load balancer sees it leave");
    let answer = running.await.unwrap().expect("the request is not interrupted");
    assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "slept"));
    assert_eq!(fleet.entries[0].wait_for_exit().await, Some(0));
    let cloud = &fleet.backends.cloud;
    assert_eq!(cloud.rows("member/").len(), 1, "its member row is removed");
    let red: masticfall_core::escrow::GrantRow = cloud.row("limit/red").unwrap().decode().unwrap();
    assert!(red.holders.keys().all(|holder| holder.as_str().starts_with("dc-b.")), "{red:?}");
}

/// The lease of the process is 6 s and the request takes longer, so the process must renew it
/// until all requests are done.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_waits_for_a_slot_outlives_the_lease_of_a_leaving_process() {
    let text = fleet_config().replace("max_deadline_ms = 5000", "max_deadline_ms = 60000");
    let mut fleet = Fleet::start_with(&text).await;
    let send = |client: ApiClient, path: &'static str| {
        tokio::spawn(async move {
            let headers = [("request-timeout-ms", "50000")];
            client.send(Method::GET, path, &headers, "").await
        })
    };
    // With a second process in the data centre, leases protect the units.
    let second = fleet.spawn("dc-a");
    fleet.entries.push(second);
    fleet.wait_ready(2).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let slow = "/v1/queues/walk-in/requests/sleep/9000";
    let anonymous = ApiClient::new(&fleet.entries[0].http, "");
    let running: Vec<_> = (0..24).map(|_| send(anonymous.clone(), slow)).collect();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let waiting = send(anonymous, "/v1/queues/walk-in/requests/ok");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!waiting.is_finished(), "all slots are taken");
    fleet.entries[0].signal("TERM");
    let answer = waiting.await.unwrap().expect("the request is not interrupted");
    assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "ok"));
    for request in running {
        assert_eq!(
            request.await.unwrap().expect("the request is not interrupted").status,
            StatusCode::OK
        );
    }
    assert_eq!(fleet.entries[0].wait_for_exit().await, Some(0));
}

/// The HTTP library gives requests 30 s after a signal; draining must not have this limit.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_more_than_thirty_seconds_survives_a_termination() {
    let text = fleet_config().replace("max_deadline_ms = 5000", "max_deadline_ms = 60000");
    let mut fleet = Fleet::start_with(&text).await;
    let slow = fleet.red_client(0);
    let running = tokio::spawn(async move {
        let headers = [("request-timeout-ms", "50000")];
        slow.send(Method::GET, "/v1/queues/preview/requests/sleep/33000", &headers, "").await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.entries[0].signal("TERM");
    let answer = running.await.unwrap().expect("the request is not interrupted");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(fleet.entries[0].wait_for_exit().await, Some(0));
}
