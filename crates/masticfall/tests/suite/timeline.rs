//! `timeline`: merges and filters the events of both processes.

use http::Method;
use masticfall::client::ApiClient;
use masticfall::trial::{BLUE_KEY, RED_KEY, TrialFleet};

use crate::cli::{run_as_operator, stdout};

#[tokio::test(flavor = "multi_thread")]
async fn events_of_both_processes_are_merged_in_order_and_can_be_filtered() {
    let trial = TrialFleet::start().await.unwrap();
    for (index, key, id) in [(0, RED_KEY, "first"), (1, BLUE_KEY, "second")] {
        let client = ApiClient::new(trial.address(index), key);
        let headers = [("x-request-id", id)];
        client.send(Method::GET, "/v1/queues/preview/requests/ok", &headers, "").await.unwrap();
    }
    let all = stdout(&run_as_operator(&trial, 0, &["timeline"]).await);
    let first = all.find("request=first").unwrap();
    assert!(first < all.find("request=second").unwrap(), "{all}");
    assert!(all.contains("  dc-a.") && all.contains("  dc-b."), "{all}");
    let chosen = stdout(&run_as_operator(&trial, 1, &["timeline", "--request", "first"]).await);
    let kinds: Vec<&str> = chosen.lines().filter_map(|line| line.split("  ").nth(2)).collect();
    assert_eq!(kinds, ["admitted", "dispatched", "answered"], "{chosen}");
    assert!(!all.contains(RED_KEY) && !all.contains(BLUE_KEY), "the timeline must not hold a key");
    trial.stop().await;
}
