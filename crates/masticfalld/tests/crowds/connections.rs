//! Connections on which nothing is sent, and answers that nobody reads.

use crate::crowd::{Crowd, Script};
use crate::testbed::{Instance, Testbed};

/// Clients that connect and send nothing, more than the process has descriptors for.
#[tokio::test]
async fn connections_without_requests() {
    let mut testbed = Testbed::start(Instance { memory_mib: 64, descriptors: 500 }).await;
    let crowd = Crowd::connect(testbed.callers, 700, |_| Script::at_once("")).await;
    testbed.assert_holds_against(crowd).await;
}

/// Clients that have had an answer and keep their connections.
#[tokio::test]
async fn connections_after_a_request() {
    let mut testbed = Testbed::start(Instance { memory_mib: 64, descriptors: 500 }).await;
    let request = "GET /q/ HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n";
    let crowd = Crowd::connect(testbed.callers, 700, |_| Script::at_once(request)).await;
    testbed.assert_holds_against(crowd).await;
}

/// Clients that send requests one after another and read no answer.
#[tokio::test]
async fn answers_that_are_not_read() {
    let mut testbed = Testbed::start(Instance { memory_mib: 64, descriptors: 4_100 }).await;
    let requests = "GET /-/ready HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n".repeat(100_000);
    let script = Script::at_once(requests).without_reading();
    let crowd = Crowd::connect(testbed.callers, 10, |_| script.clone()).await;
    crowd.wait_until_sent().await;
    testbed.assert_serves("beside the crowd").await;
    testbed.assert_within_instance();
    drop(crowd);
    testbed.assert_serves("after the crowd").await;
    testbed.assert_within_instance();
}
