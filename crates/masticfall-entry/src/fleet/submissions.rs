//! Notices of stored submissions and cancellations, from the process that stored them to
//! the owner of the cell.
//!
//! The owner follows the rows of jobs by the store's feed. A feed is silent for a second
//! when the store compacts its history, and as slow as the store otherwise; each job that
//! arrives meanwhile starts late, and its pool looks idle. A notice carries the row itself,
//! so that the owner needs no read. It is a shortcut only: a notice that is lost costs the
//! latency of the feed, and one for a row that the owner has loaded or followed already
//! changes nothing.

use std::time::Duration;

use futures_util::future::BoxFuture;
use masticfall_core::id::{Incarnation, Name};
use masticfall_platform::Result;
use masticfall_wire::{decode, encode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::{Instant, timeout};

use super::relay::FrameChannel;

/// Notices that wait to be sent; more arrive only while the owner can't be reached, and
/// then the feed is as fast.
const QUEUE_LENGTH: usize = 512;

/// Maximum number of notices in a frame: at 64 KiB each they stay within the limit of a
/// message between processes.
const MAX_FRAME_NOTICES: usize = 64;

/// Timeout for a connection to the owner, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 600;

/// Time without an acknowledgement after which a connection counts as dead, in
/// milliseconds: open connections may go silent without being reset.
const ACK_TIMEOUT_MS: u64 = 1_000;

/// Pause after a failed connection, in milliseconds; notices in that time are dropped.
const RECONNECT_PAUSE_MS: u64 = 500;

/// A stored row of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Key of the row in its table.
    #[serde(rename = "k")]
    pub key: Name,
    /// Value of the row.
    #[serde(rename = "v", with = "serde_bytes")]
    pub value: Vec<u8>,
    /// Version of the transaction that wrote it.
    #[serde(rename = "n")]
    pub version: u64,
    /// Time from the write to the sending of the notice, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// Notices that wait to be sent.
#[derive(Debug)]
pub struct NoticeQueue {
    sender: mpsc::Sender<(Notice, Instant)>,
    receiver: Mutex<Option<mpsc::Receiver<(Notice, Instant)>>>,
}

impl Default for NoticeQueue {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        Self { sender, receiver: Mutex::new(Some(receiver)) }
    }
}

impl NoticeQueue {
    /// Adds a notice; returns `false` if it was dropped since too many wait.
    pub fn push(&self, notice: Notice) -> bool {
        self.sender.try_send((notice, Instant::now())).is_ok()
    }

    /// Takes the receiving end, which exists once.
    pub fn take_receiver(&self) -> Option<mpsc::Receiver<(Notice, Instant)>> {
        self.receiver.lock().take()
    }
}

/// Returns the owner of the cell as far as this process knows.
pub type OwnerLookup = Box<dyn Fn() -> Option<Incarnation> + Send + Sync>;

/// Connects to a process by its incarnation.
pub type NoticeConnector =
    Box<dyn Fn(Incarnation) -> BoxFuture<'static, Result<FrameChannel>> + Send + Sync>;

/// A connection to the owner.
struct Connection {
    owner: Incarnation,
    channel: FrameChannel,
    /// When the first frame without an acknowledgement was sent.
    unacknowledged: Option<Instant>,
}

impl Connection {
    /// Returns whether the other side still acknowledges frames.
    fn is_alive(&mut self) -> bool {
        while self.channel.incoming.try_recv().is_ok() {
            self.unacknowledged = None;
        }
        let limit = Duration::from_millis(ACK_TIMEOUT_MS);
        !self.channel.outgoing.is_closed()
            && self.unacknowledged.is_none_or(|since| since.elapsed() < limit)
    }

    /// Sends a frame; returns `false` if the connection doesn't take it.
    fn send(&mut self, frame: Vec<u8>) -> bool {
        match self.channel.outgoing.try_send(frame) {
            Ok(()) => {
                self.unacknowledged.get_or_insert_with(Instant::now);
                true
            }
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => false,
        }
    }
}

/// Sends queued notices to the owner for as long as the process runs.
pub async fn send(
    mut queue: mpsc::Receiver<(Notice, Instant)>,
    owner: OwnerLookup,
    connect: NoticeConnector,
) {
    let mut connection: Option<Connection> = None;
    let mut retry_at = Instant::now();
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_FRAME_NOTICES).await > 0 {
        let notices: Vec<Notice> = batch
            .drain(..)
            .map(|(notice, queued): (Notice, Instant)| {
                let age_ms = queued.elapsed().as_millis() as u64;
                Notice { age_ms, ..notice }
            })
            .collect();
        let Some(owner) = owner() else { continue };
        if let Some(open) = &mut connection
            && (open.owner != owner || !open.is_alive())
        {
            connection = None;
        }
        if connection.is_none() && Instant::now() >= retry_at {
            connection = open(&owner, &connect).await;
            retry_at = Instant::now() + Duration::from_millis(RECONNECT_PAUSE_MS);
        }
        let Some(open) = &mut connection else { continue };
        let is_sent = match encode(&notices) {
            Ok(frame) => open.send(frame),
            Err(error) => {
                tracing::warn!(name: "submissions.not_encoded", %error, "notices could not be encoded; the owner reads the rows from the store's feed");
                true
            }
        };
        if !is_sent {
            connection = None;
        }
    }
}

async fn open(owner: &Incarnation, connect: &NoticeConnector) -> Option<Connection> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    match timeout(limit, connect(owner.clone())).await {
        Ok(Ok(channel)) => Some(Connection { owner: owner.clone(), channel, unacknowledged: None }),
        Ok(Err(error)) => {
            tracing::debug!(name: "submissions.not_connected", %owner, %error, "cannot connect to the owner; it reads new rows from the store's feed");
            None
        }
        Err(_elapsed) => {
            tracing::debug!(name: "submissions.not_connected", %owner, "connection to the owner timed out; it reads new rows from the store's feed");
            None
        }
    }
}

/// Receives notices over a connection until it ends, and acknowledges each frame.
pub async fn receive(mut channel: FrameChannel, apply: impl Fn(Vec<Notice>)) {
    while let Some(frame) = channel.incoming.recv().await {
        match decode::<Vec<Notice>>(&frame) {
            Ok(notices) => apply(notices),
            Err(error) => {
                tracing::warn!(name: "submissions.unreadable", %error, "malformed frame with notices; closing the connection");
                return;
            }
        }
        if channel.outgoing.send(Vec::new()).await.is_err() {
            return;
        }
    }
}
