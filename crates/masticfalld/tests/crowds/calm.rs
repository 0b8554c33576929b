//! Requests within the limits, in calm.

use http::StatusCode;
use masticfall_adapter::link::HttpClient;
use masticfall_adapter_serve::client::{Client, SubmitOutcome};
use masticfall_core::id::JobId;
use rstest::rstest;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::bodies::{head, plain, unfinished_chunks};
use crate::testbed::{HANG, Instance, KEY, MAX_BODY_BYTES, MAX_HEADER_BYTES, Testbed, small_job};

const INSTANCE: Instance = Instance { memory_mib: 64, descriptors: 4_100 };

/// Attempts at a submission; a process may refuse a job for a reason of its own.
const ATTEMPTS: usize = 100;

/// Returns a submission of a small job, filled up with spaces.
fn padded_job(body_bytes: usize) -> Vec<u8> {
    let mut body =
        br#"{"spec":"payload","steps":[{"count":1,"cpu":10,"mem_mb":10,"estimate_ms":50"#.to_vec();
    let end = b"}]}";
    body.resize(body_bytes - end.len(), b' ');
    body.extend_from_slice(end);
    body
}

/// Sends a request in pieces, and returns the status of its answer if there is one. The
/// connection is left ready for another request.
async fn send(
    connection: &mut BufReader<TcpStream>,
    request: &[u8],
    piece_bytes: usize,
) -> Option<StatusCode> {
    for piece in request.chunks(piece_bytes) {
        connection.write_all(piece).await.ok()?;
        if piece_bytes < request.len() {
            sleep(std::time::Duration::from_millis(1)).await;
        }
    }
    let mut status = None;
    let mut body_bytes = 0;
    loop {
        let mut line = String::new();
        if connection.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if let Some(rest) = line.strip_prefix("http/1.1 ") {
            status = rest.get(..3).and_then(|code| code.parse().ok());
        } else if let Some(length) = line.strip_prefix("content-length: ") {
            body_bytes = length.parse().ok()?;
        } else if line.is_empty() {
            connection.read_exact(&mut vec![0; body_bytes]).await.ok()?;
            return status;
        }
    }
}

/// Submits complete jobs of the maximum size over a connection each, at the same time; returns
/// those that were refused as never run.
pub async fn submit_padded_at_once(testbed: &mut Testbed, clients: usize) -> Vec<JobId> {
    let mut answers = JoinSet::new();
    for _ in 0..clients {
        let (job, callers) = (testbed.new_job(), testbed.callers);
        let request = plain(job.as_str(), &padded_job(MAX_BODY_BYTES));
        answers.spawn(async move {
            let stream = TcpStream::connect(callers).await.unwrap();
            let status = send(&mut BufReader::new(stream), &request, request.len()).await;
            (job, status)
        });
    }
    let never_run = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
    let answers = answers.join_all().await.into_iter();
    let refused =
        answers.filter(|(_, status)| status.is_some_and(|status| never_run.contains(&status)));
    refused.map(|(job, _)| job).collect()
}

/// Requests of the maximum size, whatever the pieces in which they come.
#[rstest]
#[case::plain_at_once(MAX_BODY_BYTES, None, 1_000_000)]
#[case::plain_in_pieces(MAX_BODY_BYTES, None, 500)]
#[case::large_chunks(MAX_BODY_BYTES, Some(32_000), 2_000_000)]
#[case::small_chunks(MAX_BODY_BYTES, Some(1), 2_000_000)]
#[case::small_body(200, None, 1)]
#[tokio::test]
async fn request_within_the_limits_is_served(
    #[case] body_bytes: usize,
    #[case] chunk_bytes: Option<usize>,
    #[case] piece_bytes: usize,
) {
    let mut testbed = Testbed::start(INSTANCE).await;
    let body = padded_job(body_bytes);
    let stream = TcpStream::connect(testbed.callers).await.unwrap();
    let mut connection = BufReader::new(stream);
    // Twice, since the second request finds the connection as the first one has left it.
    for _ in 0..2 {
        let job = testbed.new_job();
        let request = match chunk_bytes {
            None => plain(job.as_str(), &body),
            Some(chunk_bytes) => {
                let mut bytes = unfinished_chunks(job.as_str(), &body, chunk_bytes);
                bytes.extend_from_slice(b"0\r\n\r\n");
                bytes
            }
        };
        let mut status = None;
        for _ in 0..ATTEMPTS {
            status = send(&mut connection, &request, piece_bytes).await;
            if status.is_none_or(|status| status.is_success()) {
                break;
            }
            sleep(std::time::Duration::from_millis(100)).await;
        }
        assert_eq!(status, Some(StatusCode::OK));
    }
    testbed.assert_within_instance();
}

/// A submission that comes after the cancelling of its job was acknowledged: the status of its
/// refusal must promise that the job never runs.
#[tokio::test]
async fn submission_of_a_cancelled_job_is_refused_as_never_run() {
    let mut testbed = Testbed::start(INSTANCE).await;
    let job = testbed.new_job();
    let http_client = HttpClient::default();
    let client = Client { http_client: &http_client, key: KEY, timeout_ms: 3_000 };
    assert_eq!(client.cancel(testbed.callers, &job).await, Some(false));
    let submitted = client.submit(testbed.callers, &job, &small_job()).await;
    assert_eq!(submitted, SubmitOutcome::Refused(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(client.phase(testbed.callers, &job).await, Some(None), "it is shown nowhere");
}

/// Headers of the size that the configuration allows, at once and byte by byte.
#[rstest]
#[case::at_once(1_000_000)]
#[case::in_pieces(100)]
#[tokio::test]
async fn headers_within_the_limit_are_served(#[case] piece_bytes: usize) {
    let mut testbed = Testbed::start(INSTANCE).await;
    let job = testbed.new_job();
    let start = head(job.as_str());
    let line_bytes = start.find("\r\n").unwrap() + 2;
    let body = padded_job(200);
    let end = format!("content-length: {}\r\n", body.len());
    let note = "x-note: \r\n".len();
    let filler = "n".repeat(MAX_HEADER_BYTES - (start.len() - line_bytes) - end.len() - note);
    let mut request = format!("{start}x-note: {filler}\r\n{end}\r\n").into_bytes();
    request.extend_from_slice(&body);
    let stream = TcpStream::connect(testbed.callers).await.unwrap();
    let status = send(&mut BufReader::new(stream), &request, piece_bytes).await;
    assert_eq!(status, Some(StatusCode::OK));
}

/// Limits that a configuration raises hold for requests on later connections.
#[tokio::test]
async fn request_within_raised_limits_is_served() {
    let mut testbed = Testbed::start(INSTANCE).await;
    let (header_bytes, body_bytes) = (4 * MAX_HEADER_BYTES, 16 * MAX_BODY_BYTES);
    testbed.raise_limits(header_bytes, body_bytes);
    let job = testbed.new_job();
    let body = padded_job(body_bytes);
    let filler = "n".repeat(header_bytes - 1_000);
    let start = head(job.as_str());
    let start = format!("{start}x-note: {filler}\r\ncontent-length: {body_bytes}\r\n\r\n");
    let request = [start.into_bytes(), body].concat();
    let mut status = None;
    for _ in 0..ATTEMPTS {
        let stream = TcpStream::connect(testbed.callers).await.unwrap();
        status = send(&mut BufReader::new(stream), &request, request.len()).await;
        if status == Some(StatusCode::OK) {
            break;
        }
        sleep(std::time::Duration::from_millis(100)).await;
    }
    assert_eq!(status, Some(StatusCode::OK));
    testbed.assert_within_instance();
}

/// A caller without a valid key is answered before its body has been sent.
#[rstest]
#[case::unknown_key("api-key: another\r\n", "/q/", StatusCode::UNAUTHORIZED)]
#[case::no_key("", "/q/", StatusCode::UNAUTHORIZED)]
#[case::unknown_queue("api-key: key\r\n", "/r/", StatusCode::NOT_FOUND)]
#[tokio::test]
async fn large_body_is_not_awaited_in_vain(
    #[case] key: &str,
    #[case] prefix: &str,
    #[case] expected: StatusCode,
) {
    let testbed = Testbed::start(INSTANCE).await;
    let head = format!(
        "POST {prefix}00000000000000ff HTTP/1.1\r\nhost: 127.0.0.1\r\n{key}\
         content-length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let request = [head.into_bytes(), vec![b' '; MAX_BODY_BYTES / 2]].concat();
    let stream = TcpStream::connect(testbed.callers).await.unwrap();
    let mut connection = BufReader::new(stream);
    let answer = timeout(HANG, send(&mut connection, &request, request.len())).await;
    assert_eq!(answer.expect("the process awaits the body"), Some(expected));
}

/// A head over the configuration's limit is refused, and its job never runs.
#[tokio::test]
async fn headers_over_the_limit_are_refused() {
    let mut testbed = Testbed::start(INSTANCE).await;
    let job = testbed.new_job();
    let body = padded_job(200);
    let filler = "n".repeat(MAX_HEADER_BYTES);
    let start =
        format!("{}x-note: {filler}\r\ncontent-length: {}\r\n\r\n", head(job.as_str()), body.len());
    let request = [start.into_bytes(), body].concat();
    let stream = TcpStream::connect(testbed.callers).await.unwrap();
    let status = send(&mut BufReader::new(stream), &request, request.len()).await;
    let refused = [StatusCode::PAYLOAD_TOO_LARGE, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE];
    assert!(status.is_some_and(|status| refused.contains(&status)), "{status:?}");
    testbed.assert_serves("afterwards").await;
    let runs = testbed.world.record();
    assert!(runs.iter().all(|run| run.task.job != job), "{job} was refused and ran");
}
