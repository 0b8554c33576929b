//! Heads without end or over the limit, and empty lines before a request.

use rstest::rstest;

use crate::crowd::{Crowd, Script};
use crate::testbed::{Instance, MAX_HEADER_BYTES, Testbed};

const INSTANCE: Instance = Instance { memory_mib: 64, descriptors: 4_100 };

/// Clients of a crowd.
const CLIENTS: usize = 240;

/// Bytes that each of them sends.
const SENT_BYTES: usize = 512 * 1_024;

#[rstest]
#[case::at_once(None)]
#[case::in_pieces(Some(4_096))]
#[tokio::test]
async fn heads_without_end(#[case] piece_bytes: Option<usize>) {
    let mut testbed = Testbed::start(INSTANCE).await;
    let mut bytes = b"GET /q/ HTTP/1.1\r\nhost: 127.0.0.1\r\nx-note: ".to_vec();
    bytes.resize(SENT_BYTES, b'n');
    let script = Script { piece_bytes, ..Script::at_once(bytes) };
    let crowd = Crowd::connect(testbed.callers, CLIENTS, |_| script.clone()).await;
    testbed.assert_holds_against(crowd).await;
}

#[rstest]
#[case::at_once(None)]
#[case::in_pieces(Some(4_096))]
#[tokio::test]
async fn empty_lines_without_end(#[case] piece_bytes: Option<usize>) {
    let mut testbed = Testbed::start(INSTANCE).await;
    let script = Script { piece_bytes, ..Script::at_once(b"\r\n".repeat(SENT_BYTES / 2)) };
    let crowd = Crowd::connect(testbed.callers, CLIENTS, |_| script.clone()).await;
    testbed.assert_holds_against(crowd).await;
}

/// Complete heads, each larger than the configuration allows, with a body that doesn't come.
#[tokio::test]
async fn heads_over_the_limit() {
    let mut testbed = Testbed::start(INSTANCE).await;
    let note = "n".repeat(20 * MAX_HEADER_BYTES);
    let head = format!(
        "POST /q/ HTTP/1.1\r\nhost: 127.0.0.1\r\nx-note: {note}\r\ncontent-length: 10\r\n\r\n"
    );
    let crowd = Crowd::connect(testbed.callers, CLIENTS, |_| Script::at_once(head.clone())).await;
    testbed.assert_holds_against(crowd).await;
}
