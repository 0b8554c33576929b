//! The byte stream of a client's connection, as far as a gate limits it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection::ConnectionHandle;
use super::gate::NoRoom;

/// Size of the read buffer that a connection begins with, in bytes.
const INITIAL_BUFFER_BYTES: usize = 8 * 1_024;

/// A client's connection.
#[derive(Debug)]
pub(super) struct ClientStream {
    stream: TcpStream,
    /// None if no gate limits the server.
    handle: Option<ConnectionHandle>,
    has_large_buffer: bool,
    /// Whether the client has yet to take a part of an answer.
    is_write_blocked: bool,
    waiting_reader: Option<Waker>,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, handle: Option<ConnectionHandle>) -> Self {
        Self {
            stream,
            handle,
            has_large_buffer: false,
            is_write_blocked: false,
            waiting_reader: None,
        }
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>) {
        self.is_write_blocked = written.is_pending();
        if self.is_write_blocked {
            return;
        }
        if let Some(handle) = &self.handle {
            handle.record_taken();
        }
        if let Some(reader) = self.waiting_reader.take() {
            reader.wake();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let Some(handle) = &this.handle else {
            return Pin::new(&mut this.stream).poll_read(context, buffer);
        };
        // Without this, answers to a client that doesn't read them would pile up.
        if this.is_write_blocked {
            this.waiting_reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        if buffer.remaining() > INITIAL_BUFFER_BYTES && !this.has_large_buffer {
            let bytes = handle.gate().limits().max_head_bytes;
            match handle.poll_charge_buffer(context, bytes) {
                Poll::Ready(Ok(())) => this.has_large_buffer = true,
                Poll::Ready(Err(NoRoom)) => {
                    return Poll::Ready(Err(io::Error::from(io::ErrorKind::OutOfMemory)));
                }
                Poll::Pending => return Poll::Pending,
            }
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            handle.record_received();
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
