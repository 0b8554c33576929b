//! A graceful shutdown cuts no request.

use std::time::Duration;

use http::{Method, StatusCode};
use masticfall::client::ApiClient;
use masticfall::trial::fleet_config;

use crate::fleet::Fleet;

#[tokio::test(flavor = "multi_thread")]
async fn terminated_process_finishes_what_it_took_and_hands_its_units_back() {
    let mut fleet = Fleet::start().await;
    let slow = fleet.red(0);
    let path = "/v1/queues/preview/requests/sleep/2000";
    let running = tokio::spawn(async move { slow.send(Method::GET, path, &[], "").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.entries[0].signal("TERM");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ready = fleet.red(0).send(Method::GET, "/readyz", &[], "").await.unwrap();
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE, "the balancer sees it leave");
    let answer = running.await.unwrap().expect("the request is not cut");
    assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "slept"));
    assert_eq!(fleet.entries[0].ended().await, Some(0));
    let cloud = &fleet.backends.cloud;
    assert_eq!(cloud.rows("member/").len(), 1, "its row is gone");
    let red: masticfall_core::escrow::GrantRow = cloud.row("limit/red").unwrap().decode().unwrap();
    assert!(red.holders.keys().all(|who| who.as_str().starts_with("dc-b.")), "{red:?}");
}

/// The lease of the process is 6 s; it has to be kept until all is done.
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
    // A second process in the data centre: units are guarded by leases then.
    let second = fleet.spawn("dc-a");
    fleet.entries.push(second);
    fleet.wait_ready(2).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let slow = "/v1/queues/walk-in/requests/sleep/9000";
    let stranger = ApiClient::new(&fleet.entries[0].http, "");
    let running: Vec<_> = (0..24).map(|_| send(stranger.clone(), slow)).collect();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let waiting = send(stranger, "/v1/queues/walk-in/requests/ok");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!waiting.is_finished(), "all slots are taken");
    fleet.entries[0].signal("TERM");
    let answer = waiting.await.unwrap().expect("the request is not cut");
    assert_eq!((answer.status, answer.text().as_str()), (StatusCode::OK, "ok"));
    for one in running {
        assert_eq!(one.await.unwrap().expect("not cut").status, StatusCode::OK);
    }
    assert_eq!(fleet.entries[0].ended().await, Some(0));
}

/// The HTTP library gives requests 30 s after a signal; the drain must not.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_more_than_thirty_seconds_survives_a_termination() {
    let text = fleet_config().replace("max_deadline_ms = 5000", "max_deadline_ms = 60000");
    let mut fleet = Fleet::start_with(&text).await;
    let slow = fleet.red(0);
    let running = tokio::spawn(async move {
        let headers = [("request-timeout-ms", "50000")];
        slow.send(Method::GET, "/v1/queues/preview/requests/sleep/33000", &headers, "").await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.entries[0].signal("TERM");
    let answer = running.await.unwrap().expect("the request is not cut");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(fleet.entries[0].ended().await, Some(0));
}
