//! Clients that send what they like and stay connected.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::testbed::HANG;

/// Pause between two pieces, so that they arrive apart.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// Number of consecutive looks at which a connection takes nothing until it counts as full.
const FULL_LOOKS: usize = 50;

/// What one client sends.
#[derive(Debug, Clone)]
pub struct Script {
    /// All that it sends.
    pub bytes: Vec<u8>,
    /// Size of the pieces in which it is sent; all at once if there is none.
    pub piece_bytes: Option<usize>,
    /// Whether the client reads what it is answered.
    pub reads_answers: bool,
}

impl Script {
    /// Sends all at once.
    pub fn at_once(bytes: impl Into<Vec<u8>>) -> Self {
        Self { bytes: bytes.into(), piece_bytes: None, reads_answers: true }
    }

    /// Leaves the answers unread.
    pub fn without_reading(self) -> Self {
        Self { reads_answers: false, ..self }
    }
}

/// Connected clients, which disconnect when dropped.
#[derive(Debug)]
pub struct Crowd {
    _clients: JoinSet<()>,
    unfinished: watch::Receiver<usize>,
}

impl Crowd {
    /// Connects the clients, each of which sends what the script for its number says.
    pub async fn connect(
        address: SocketAddr,
        size: usize,
        script: impl Fn(usize) -> Script,
    ) -> Self {
        let (count, unfinished) = watch::channel(size);
        let mut clients = JoinSet::new();
        for number in 0..size {
            let connected = timeout(HANG, TcpStream::connect(address)).await;
            let stream = connected.expect("the system accepts connections").unwrap();
            stream.set_nodelay(true).unwrap();
            clients.spawn(play(stream, script(number), count.clone()));
        }
        Self { _clients: clients, unfinished }
    }

    /// Waits until each client has sent everything or has been disconnected.
    pub async fn wait_until_sent(&self) {
        let mut unfinished = self.unfinished.clone();
        let sent =
            timeout(HANG, async { unfinished.wait_for(|count| *count == 0).await.map(drop) });
        assert!(sent.await.is_ok(), "{} clients can't go on", *self.unfinished.borrow());
    }
}

/// Sends a script and stays connected.
async fn play(stream: TcpStream, script: Script, unfinished: watch::Sender<usize>) {
    let (mut reader, mut writer) = stream.into_split();
    let send = async {
        for piece in script.bytes.chunks(script.piece_bytes.unwrap_or(usize::MAX)) {
            // A process may close the connection of such a client.
            let is_sent = if script.reads_answers {
                writer.write_all(piece).await.is_ok()
            } else {
                write_until_full(&writer, piece).await
            };
            if !is_sent {
                break;
            }
            if script.piece_bytes.is_some() {
                sleep(PIECE_PAUSE).await;
            }
        }
        unfinished.send_modify(|count| *count -= 1);
    };
    let read_answers = async {
        let mut buffer = [0; 1_024];
        while script.reads_answers && matches!(reader.read(&mut buffer).await, Ok(1..)) {}
    };
    tokio::join!(send, read_answers);
    // The connection stays open until the crowd is dropped.
    std::future::pending::<()>().await;
}

/// Writes until the other side doesn't take any more; returns whether it took everything.
async fn write_until_full(writer: &OwnedWriteHalf, mut bytes: &[u8]) -> bool {
    let mut full_looks = 0;
    while !bytes.is_empty() && full_looks < FULL_LOOKS {
        match writer.try_write(bytes) {
            Ok(written) => {
                bytes = &bytes[written..];
                full_looks = 0;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                full_looks += 1;
                sleep(Duration::from_millis(20)).await;
            }
            Err(_) => return false,
        }
    }
    bytes.is_empty()
}
