//! Bodies of legal size, chunked or not, of which most stop just short of their end.

use rstest::rstest;

use crate::crowd::{Crowd, Script};
use crate::testbed::{Instance, KEY, MAX_BODY_BYTES, Testbed, wait_until_read};

const INSTANCE: Instance = Instance { memory_mib: 64, descriptors: 4_100 };

/// Returns the head of a submission, up to its last header.
pub fn head(job: &str) -> String {
    format!("POST /q/{job} HTTP/1.1\r\nhost: 127.0.0.1\r\napi-key: {KEY}\r\n")
}

/// Returns a request with a body of a length that it tells.
pub fn plain(job: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{}content-length: {}\r\n\r\n", head(job), body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns a request with a body in chunks, without the last one, which is empty.
pub fn unfinished_chunks(job: &str, body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut bytes = format!("{}transfer-encoding: chunked\r\n\r\n", head(job)).into_bytes();
    for chunk in body.chunks(chunk_bytes) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

fn job_of(number: usize) -> String {
    format!("{:016x}", 0xc000_0000 + number)
}

#[rstest]
#[case::large(300, 256_000, 32_000)]
#[case::small(20, 250_000, 1)]
#[tokio::test]
async fn chunks_without_the_last_one(
    #[case] clients: usize,
    #[case] body_bytes: usize,
    #[case] chunk_bytes: usize,
) {
    let mut testbed = Testbed::start(INSTANCE).await;
    let body = vec![b' '; body_bytes];
    let script = |number| Script::at_once(unfinished_chunks(&job_of(number), &body, chunk_bytes));
    let crowd = Crowd::connect(testbed.callers, clients, script).await;
    testbed.assert_holds_against(crowd).await;
}

#[rstest]
#[case::at_once(300, None)]
#[case::in_pieces(100, Some(500))]
#[tokio::test]
async fn bodies_without_the_last_byte(#[case] clients: usize, #[case] piece_bytes: Option<usize>) {
    let mut testbed = Testbed::start(INSTANCE).await;
    let body = vec![b' '; MAX_BODY_BYTES];
    let script = |number| {
        let mut bytes = plain(&job_of(number), &body);
        bytes.pop();
        Script { piece_bytes, ..Script::at_once(bytes) }
    };
    let crowd = Crowd::connect(testbed.callers, clients, script).await;
    testbed.assert_holds_against(crowd).await;
}

/// Requests that aren't complete don't delay the shutdown of the process.
#[tokio::test]
async fn stopped_process_waits_for_no_unfinished_body() {
    let mut testbed = Testbed::start(INSTANCE).await;
    let body = vec![b' '; 1_000];
    let script = |number| {
        let mut bytes = plain(&job_of(number), &body);
        bytes.pop();
        Script::at_once(bytes)
    };
    let crowd = Crowd::connect(testbed.callers, 20, script).await;
    crowd.wait_until_sent().await;
    wait_until_read(testbed.callers).await;
    let last_line = testbed.stop().await;
    assert!(last_line.contains("\"in_flight\":0"), "{last_line}");
}

/// Complete bodies at once. Those that are refused never run.
#[tokio::test]
async fn complete_bodies_are_accepted_or_never_run() {
    let mut testbed = Testbed::start(INSTANCE).await;
    let refused = crate::calm::submit_padded_at_once(&mut testbed, 300).await;
    testbed.assert_within_instance();
    testbed.assert_serves("after the crowd").await;
    let runs = testbed.world.record();
    for job in refused {
        assert!(runs.iter().all(|run| run.task.job != job), "{job} was refused and ran");
    }
}
