//! Keys, instances and waves through the command line.

use std::time::Duration;

use http::{Method, StatusCode};
use masticfall::client::ApiClient;
use masticfall::trial::TrialFleet;

use crate::cli::{run_as_operator, stdout, transcript};

const OK_PATH: &str = "/v1/queues/preview/requests/ok";

/// Returns the status of a request with a key to one entry process.
async fn status_with_key(trial: &TrialFleet, index: usize, key: &str) -> StatusCode {
    let client = ApiClient::new(trial.address(index), key);
    client.send(Method::GET, OK_PATH, &[], "").await.unwrap().status
}

#[tokio::test(flavor = "multi_thread")]
async fn given_key_works_until_it_is_withdrawn_at_any_process() {
    let trial = TrialFleet::start().await.unwrap();
    let given = stdout(&run_as_operator(&trial, 0, &["--json", "keys", "give", "red"]).await);
    let given: serde_json::Value = serde_json::from_str(&given).unwrap();
    let (id, key) = (given["id"].as_str().unwrap(), given["key"].as_str().unwrap());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(status_with_key(&trial, 0, key).await, StatusCode::OK);
    assert_eq!(status_with_key(&trial, 1, key).await, StatusCode::OK);
    let text = stdout(&run_as_operator(&trial, 1, &["keys", "withdraw", id]).await);
    insta::assert_snapshot!(text);
    assert_eq!(status_with_key(&trial, 0, key).await, StatusCode::UNAUTHORIZED);
    assert_eq!(status_with_key(&trial, 1, key).await, StatusCode::UNAUTHORIZED);
    let list = stdout(&run_as_operator(&trial, 0, &["keys", "list"]).await);
    assert!(list.contains("withdrawn") && !list.contains(key), "{list}");
    trial.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_are_listed_and_moved() {
    let trial = TrialFleet::start().await.unwrap();
    let list = stdout(&run_as_operator(&trial, 0, &["instances", "list"]).await);
    insta::assert_snapshot!(list);
    let args = ["instances", "move", "dc-a-target-0", "--to", "spare"];
    stdout(&run_as_operator(&trial, 1, &args).await);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let list = stdout(&run_as_operator(&trial, 0, &["instances", "list"]).await);
    let moved = list.lines().find(|line| line.starts_with("dc-a-target-0")).unwrap();
    assert!(moved.contains("spare") && moved.contains("in_pool"), "{moved}");
    let args = ["instances", "move", "nobody", "--to", "spare"];
    insta::assert_snapshot!(transcript(&run_as_operator(&trial, 1, &args).await));
    trial.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_rolls_over_a_pool_to_its_end() {
    let trial = TrialFleet::start().await.unwrap();
    let args = ["waves", "create", "kernel", "--pool", "preview"];
    stdout(&run_as_operator(&trial, 0, &args).await);
    let mut list = String::new();
    for _ in 0..100 {
        list = stdout(&run_as_operator(&trial, 1, &["waves", "list"]).await);
        if list.contains("done") && list.lines().nth(1).is_some_and(|line| line.contains(" done "))
        {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    insta::assert_snapshot!(list);
    assert!(trial.backends.targets.iter().all(|(name, _)| trial.backends.cloud.boot(name) == 2));
    trial.stop().await;
}
