//! Caller connection that detects when the caller closes it.
//!
//! The HTTP library stops reading while it buffers pipelined requests, so it does not notice that
//! their caller has disconnected. The socket is therefore polled separately.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Interval between two checks while there are unread bytes of further requests.
const POLL_INTERVAL: Duration = Duration::from_millis(120);

/// Maximum time for which a connection that was shut down waits for its caller to close it.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Number of bytes that are discarded at once.
const DISCARD_BYTES: usize = 4_096;

/// Caller connection whose clones read, write and watch the same socket.
#[derive(Clone, Debug)]
pub struct Socket {
    stream: Rc<TcpStream>,
    /// Since when the caller has taken no bytes that wait to be written.
    blocked_since: Rc<Cell<Option<Instant>>>,
}

impl Socket {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: Rc::new(stream),
            blocked_since: Rc::default(),
        }
    }

    /// Waits until the caller closes the connection or it fails.
    ///
    /// Unread bytes hide the end of the stream from a read. The system reports it apart from them.
    pub async fn closed(&self) {
        let mut byte = [0];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) => return,
                Ok(_) => match self.stream.ready(Interest::READABLE).await {
                    Ok(ready) if !ready.is_read_closed() => {
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                    ended => {
                        log::debug!("event=caller-disconnected unread=true state={ended:?}");
                        return;
                    }
                },
                Err(error) => {
                    log::debug!("event=caller-disconnected error=\"{error}\"");
                    return;
                }
            }
        }
    }

    /// Waits until bytes have waited for `limit` to be written, of which the caller has taken none.
    ///
    /// Such a caller would hold the memory of its response without end. The system reports that it
    /// has taken bytes once a third of the send buffer is free.
    pub async fn stalled(&self, limit: Duration) {
        loop {
            let blocked = self.blocked_since.get();
            if blocked.is_some_and(|since| since.elapsed() >= limit) {
                return;
            }
            tokio::time::sleep(limit / 4).await;
        }
    }

    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ready = self.stream.poll_write_ready(cx);
        let since = self.blocked_since.get().unwrap_or_else(Instant::now);
        let blocked = ready.is_pending().then_some(since);
        self.blocked_since.set(blocked);
        ready
    }

    /// Reads and drops bytes until the caller closes the connection, for at most 2 s.
    ///
    /// The system resets a connection that is closed with unread bytes, such as further requests,
    /// and discards the part of the response that the caller has not received.
    pub async fn linger(&self) {
        let mut buffer = vec![0; DISCARD_BYTES];
        let discard = async {
            loop {
                self.stream.readable().await?;
                match self.stream.try_read(&mut buffer) {
                    Ok(0) => return Ok(()),
                    Ok(_) => {}
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
        };
        match tokio::time::timeout(LINGER_TIME, discard).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::debug!("event=caller-disconnected error=\"{error}\""),
            Err(_) => log::debug!("event=caller-disconnected error=\"it did not close in time\""),
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
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
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
            ready!(self.poll_writable(cx))?;
            match self.stream.try_write(bytes) {
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
            ready!(self.poll_writable(cx))?;
            match self.stream.try_write_vectored(slices) {
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
        Poll::Ready(SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
