//! Caller connection that detects when the caller closes it.
//!
//! The HTTP library stops reading while it buffers pipelined requests, so it does not notice that
//! their caller has disconnected. The socket is therefore polled separately.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Interval between two checks while unread bytes of further requests hide the end of the stream.
const POLL_INTERVAL: Duration = Duration::from_millis(120);

/// Caller connection whose clones read, write and watch the same socket.
#[derive(Clone, Debug)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// Waits until the caller closes the connection or it fails.
    pub async fn closed(&self) {
        let mut byte = [0];
        loop {
            match self.0.peek(&mut byte).await {
                Ok(0) => return,
                Ok(_) => tokio::time::sleep(POLL_INTERVAL).await,
                Err(error) => {
                    log::debug!("event=caller-disconnected error=\"{error}\"");
                    return;
                }
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write))
    }
}
