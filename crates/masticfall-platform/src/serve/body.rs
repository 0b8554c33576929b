//! Bodies of requests, stored within the limits of a server.

use std::pin::Pin;

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt;
use snafu::Snafu;
use volo_http::body::Body;

use super::connection::{BodyShare, ConnectionHandle};
use super::current_connection;
use super::gate::NoRoom;

/// Size of the blocks in which a body is stored, in bytes. A single size keeps the allocator from
/// retaining memory of many sizes while bodies grow.
const BLOCK_BYTES: usize = 16 * 1_024;

/// Frames of a refused body that are read and discarded.
const MAX_DISCARDED_FRAMES: usize = 4_096;

/// Why a body has not been stored.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It is too large.
    #[snafu(display("body exceeds {max_bytes} bytes"))]
    TooLarge {
        /// Maximum size of a body, in bytes.
        max_bytes: usize,
    },
    /// The clients hold too much, and this body gave way.
    #[snafu(display("the requests of all callers together take too much memory"))]
    NoRoom,
    /// The client sent something else, or broke off.
    #[snafu(display("{reason}"))]
    Broken {
        /// The HTTP library's reason.
        reason: String,
    },
}

/// Result of reading a body.
pub type Result<T, E = BodyError> = std::result::Result<T, E>;

/// A complete body, which is charged for until it is dropped.
struct StoredBody {
    bytes: Vec<u8>,
    _share: Option<BodyShare>,
}

impl AsRef<[u8]> for StoredBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is being received.
struct GrowingBody {
    blocks: Vec<Vec<u8>>,
    length_bytes: usize,
    share: Option<BodyShare>,
}

impl GrowingBody {
    async fn charge(&mut self, bytes: usize) -> Result<()> {
        match &mut self.share {
            Some(share) => share.grow(bytes).await.map_err(|NoRoom| BodyError::NoRoom),
            None => Ok(()),
        }
    }

    /// Appends a part of the body, of which at most `rest_bytes` may follow.
    ///
    /// The parts are copied, since each one that is kept would keep the whole buffer alive from
    /// which it was read.
    async fn append(&mut self, mut part: &[u8], rest_bytes: usize) -> Result<()> {
        self.length_bytes += part.len();
        while !part.is_empty() {
            if self.blocks.last().is_none_or(|block| block.len() == block.capacity()) {
                let block_bytes = BLOCK_BYTES.min(part.len() + rest_bytes);
                self.charge(block_bytes).await?;
                self.blocks.push(Vec::with_capacity(block_bytes));
            }
            let Some(block) = self.blocks.last_mut() else { break };
            let fitting_bytes = part.len().min(block.capacity() - block.len());
            let (fitting, rest) = part.split_at(fitting_bytes);
            block.extend_from_slice(fitting);
            part = rest;
        }
        Ok(())
    }

    /// Joins the blocks.
    async fn finish(mut self) -> Result<Bytes> {
        if self.blocks.len() > 1 {
            self.charge(self.length_bytes).await?;
            let blocks = std::mem::take(&mut self.blocks);
            self.blocks.push(blocks.concat());
            drop(blocks);
            if let Some(share) = &mut self.share {
                share.shrink_to(self.length_bytes);
            }
        }
        let Some(bytes) = self.blocks.pop() else { return Ok(Bytes::new()) };
        Ok(Bytes::from_owner(StoredBody { bytes, _share: self.share }))
    }
}

/// Reads the body of the request that the calling task serves, of at most `max_bytes`.
///
/// A refused request is answered at once, and a part of its body is discarded as by
/// [`discard_body`].
///
/// # Errors
/// [`BodyError`], whose request must not be carried out.
pub async fn read_body(body: Body, max_bytes: usize) -> Result<Bytes> {
    let handle = current_connection();
    let mut body = Box::pin(body);
    let result = match &handle {
        Some(handle) => tokio::select! {
            biased;
            () = handle.body_shed() => Err(BodyError::NoRoom),
            stored = store(body.as_mut(), max_bytes, Some(handle)) => stored,
        },
        None => store(body.as_mut(), max_bytes, None).await,
    };
    match (&result, &handle) {
        (Ok(_), Some(handle)) => handle.record_complete(),
        (Err(BodyError::NoRoom), Some(handle)) => handle.gate().record_shed_body(),
        _ => {}
    }
    if matches!(result, Err(BodyError::TooLarge { .. } | BodyError::NoRoom)) {
        tokio::spawn(discard(body, max_bytes, handle));
    }
    result
}

/// Discards a part of the body of a request that is refused before its body has been read, since
/// closing a connection with unread bytes would reset it, and the answer would be lost.
pub fn discard_body(body: Body, max_bytes: usize) {
    tokio::spawn(discard(Box::pin(body), max_bytes, current_connection()));
}

async fn store(
    mut body: Pin<&mut Body>,
    max_bytes: usize,
    handle: Option<&ConnectionHandle>,
) -> Result<Bytes> {
    let size = body.size_hint();
    if size.lower() > max_bytes as u64 {
        return TooLargeSnafu { max_bytes }.fail();
    }
    // At most this much follows.
    let total_bytes = size.upper().map_or(max_bytes, |upper| upper.min(max_bytes as u64) as usize);
    let share = handle.map(|handle| BodyShare::new(handle.clone()));
    let mut growing = GrowingBody { blocks: Vec::new(), length_bytes: 0, share };
    while let Some(frame) = body.as_mut().frame().await {
        let frame = frame.or_else(|error| BrokenSnafu { reason: error.to_string() }.fail())?;
        let Ok(part) = frame.into_data() else { continue };
        let length_bytes = growing.length_bytes + part.len();
        if length_bytes > max_bytes {
            return TooLargeSnafu { max_bytes }.fail();
        }
        growing.append(&part, total_bytes.saturating_sub(length_bytes)).await?;
    }
    growing.finish().await
}

/// Reads the rest of a refused body, or a part of it.
async fn discard(mut body: Pin<Box<Body>>, max_bytes: usize, handle: Option<ConnectionHandle>) {
    let mut discarded_bytes = 0;
    for _ in 0..MAX_DISCARDED_FRAMES {
        match body.frame().await {
            Some(Ok(frame)) => discarded_bytes += frame.data_ref().map_or(0, Bytes::len),
            Some(Err(_)) => return,
            None => {
                if let Some(handle) = handle {
                    handle.record_discarded();
                }
                return;
            }
        }
        if discarded_bytes > max_bytes {
            return;
        }
    }
}
