//! The same crowds against the process's own HTTP interface, outside of the platform's fleets.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::MutexGuard;
use tokio::time::{sleep, timeout};

use crate::crowd::{Crowd, Script};
use crate::testbed::{ALONE, HANG, peak_memory_kib, wait_until_read};

/// Memory of the instance, in MiB.
const MEMORY_MIB: usize = 64;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1_048_576;

const PEER_SECRET: &str = "secret of the peers";

/// An entry process that doesn't reach its platform, which ends with the test.
struct EntryProcess {
    child: Child,
    http: SocketAddr,
    settings: PathBuf,
    _alone: MutexGuard<'static, ()>,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // The process may have ended.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(fs::remove_file(&self.settings));
    }
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

impl EntryProcess {
    async fn start() -> Self {
        let alone = ALONE.lock().await;
        let (http, peer, platform) =
            (free_address().await, free_address().await, free_address().await);
        let name = format!("masticfall-crowd-{}.ini", std::process::id());
        let settings = std::env::temp_dir().join(name);
        let text = format!(
            "[entry]\ndata_centre = dc\nhttp = {http}\npeer = {peer}\nplatform = {platform}\n\
             peer_secret = {PEER_SECRET}\nmax_body_bytes = {MAX_BODY_BYTES}\n\
             memory_mib = {MEMORY_MIB}\n"
        );
        fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_masticfalld"))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut process = Self { child, http, settings, _alone: alone };
        process.assert_serves("in calm").await;
        process
    }

    async fn assert_serves(&mut self, when: &str) {
        let served = timeout(HANG, async {
            loop {
                assert!(self.child.try_wait().unwrap().is_none(), "the process has ended {when}");
                if is_live(self.http).await.is_some_and(|is_live| is_live) {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        });
        assert!(served.await.is_ok(), "no ordinary caller is answered {when}");
    }

    async fn assert_holds_against(&mut self, crowd: Crowd) {
        crowd.wait_until_sent().await;
        wait_until_read(self.http).await;
        self.assert_serves("beside the crowd").await;
        drop(crowd);
        self.assert_serves("after the crowd").await;
        let peak_kib = peak_memory_kib(self.child.id());
        assert!(
            peak_kib <= MEMORY_MIB * 1_024,
            "{peak_kib} KiB on an instance of {MEMORY_MIB} MiB"
        );
    }
}

/// Asks the process whether it lives; none if there is no answer.
async fn is_live(address: SocketAddr) -> Option<bool> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = b"GET /livez HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.ok()?;
    let mut answer = String::new();
    let read = timeout(Duration::from_secs(3), stream.read_to_string(&mut answer)).await;
    read.ok()?.ok()?;
    Some(answer.starts_with("HTTP/1.1 200"))
}

#[rstest]
#[case::heads(b"GET /livez HTTP/1.1\r\nhost: x\r\nx-note: ", b"n")]
#[case::empty_lines(b"", b"\r\n")]
#[tokio::test]
async fn entry_outlasts_heads_without_end(#[case] start: &[u8], #[case] rest: &[u8]) {
    let mut process = EntryProcess::start().await;
    let bytes = [start, &rest.repeat(512 * 1_024 / rest.len())].concat();
    let crowd = Crowd::connect(process.http, 240, |_| Script::at_once(bytes.clone())).await;
    process.assert_holds_against(crowd).await;
}

#[rstest]
#[case::at_once(None)]
#[case::in_pieces(Some(2_000))]
#[tokio::test]
async fn entry_outlasts_bodies_without_the_last_byte(#[case] piece_bytes: Option<usize>) {
    let mut process = EntryProcess::start().await;
    let head = format!(
        "PUT /admin/v1/config HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {PEER_SECRET}\r\n\
         if-match: 0\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let bytes = [head.into_bytes(), vec![b' '; MAX_BODY_BYTES - 1]].concat();
    let script = Script { piece_bytes, ..Script::at_once(bytes) };
    let crowd = Crowd::connect(process.http, 80, |_| script.clone()).await;
    process.assert_holds_against(crowd).await;
}
