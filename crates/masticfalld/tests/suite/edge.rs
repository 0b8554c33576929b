//! Malformed, oversized and slow input does not make an instance unavailable.

use std::time::Duration;

use http::{Method, StatusCode};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::Fleet;

/// Sends raw bytes and returns the status line, or an empty string if the connection was closed.
async fn send_raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The process may close the connection before it has read everything.
    drop(stream.write_all(bytes).await);
    let mut answer = vec![0; 64];
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut answer)).await;
    let length = read.unwrap_or(Ok(0)).unwrap_or(0);
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

#[rstest]
#[case::no_http(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(), "")]
#[case::broken_line(b"GET\r\n\r\n".to_vec(), "400")]
#[case::bad_length(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n".to_vec(), "400")]
#[case::both_lengths(
    b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc".to_vec(),
    "400"
)]
#[case::many_headers(
    format!("GET / HTTP/1.1\r\nhost: x\r\n{}\r\n", "a: b\r\n".repeat(500)).into_bytes(),
    "431"
)]
#[case::large_header(
    format!("GET /livez HTTP/1.1\r\nhost: x\r\na: {}\r\n\r\n", "b".repeat(70_000)).into_bytes(),
    "413"
)]
#[case::long_path(
    format!("GET /{} HTTP/1.1\r\nhost: x\r\n\r\n", "b".repeat(100_000)).into_bytes(),
    "414"
)]
#[tokio::test(flavor = "multi_thread")]
async fn broken_input_is_refused_and_the_instance_serves_on(
    #[case] bytes: Vec<u8>,
    #[case] status: &str,
) {
    let fleet = Fleet::start().await;
    let answer = send_raw(&fleet.entries[0].http, &bytes).await;
    assert!(answer.contains(status), "expected {status}, got `{answer}`");
    let live = fleet.red_client(0).send(Method::GET, "/livez", &[], "").await.unwrap();
    assert_eq!(live.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_body_is_refused_as_not_run() {
    let fleet = Fleet::start().await;
    let body = vec![b'x'; 2 * 1_048_576];
    let headers = [("x-request-id", "large")];
    let path = "/v1/queues/preview/requests/echo";
    let answer = fleet.red_client(0).send(Method::POST, path, &headers, body).await.unwrap();
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(answer.headers["masticfall-run"], "not_run");
    assert_eq!(fleet.run_count("large"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn half_open_and_slow_connections_do_not_keep_others_out() {
    let fleet = Fleet::start().await;
    let mut idle = Vec::new();
    for index in 0..200 {
        let mut stream = TcpStream::connect(&fleet.entries[0].http).await.unwrap();
        if index % 2 == 0 {
            stream.write_all(b"POST /v1/queues/preview/requests/echo HTT").await.unwrap();
        }
        idle.push(stream);
    }
    for _ in 0..20 {
        let path = "/v1/queues/preview/requests/ok";
        let answer = fleet.red_client(0).send(Method::GET, path, &[], "").await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
}
