//! Limit on the bytes of a connection to a backend server that make up no part of a response.
//!
//! The HTTP library reads on while a server sends interim responses or the digits of a chunk size,
//! with neither an end nor a pause for other tasks.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::MAX_HEAD_BYTES;

/// Maximum number of bytes that are received without a head or a frame of a body: a head, and what
/// the library reads before the relay receives the next frame.
const MAX_UNUSED_BYTES: usize = 2 * MAX_HEAD_BYTES;

/// Number of bytes received since the last head or frame of a body.
#[derive(Clone, Debug, Default)]
pub struct Unused(Rc<Cell<usize>>);

impl Unused {
    /// Notes that the relay received a head or a frame, or that a request begins.
    pub fn reset(&self) {
        self.0.set(0);
    }
}

/// Stream of a connection, which fails after too many unused bytes.
#[derive(Debug)]
pub struct Inbound {
    stream: TcpStream,
    unused: Unused,
}

impl Inbound {
    /// Wraps a stream whose bytes `unused` counts.
    pub const fn new(stream: TcpStream, unused: Unused) -> Self {
        Self { stream, unused }
    }
}

impl AsyncRead for Inbound {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unused = &self.unused.0;
        if unused.get() > MAX_UNUSED_BYTES {
            let text = format!("{} bytes that are no response", unused.get());
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let count = buffer.filled().len() - before;
        self.unused.0.set(self.unused.0.get() + count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Inbound {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
