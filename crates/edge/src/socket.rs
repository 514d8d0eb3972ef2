//! Connection of a caller that tells when its other end is closed.
//!
//! The HTTP library does not read on while it holds requests that came ahead of their turn, so it
//! does not see that their caller left. The socket is therefore watched beside it.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Pause between two looks while bytes of further requests wait to be read.
const PAUSE: Duration = Duration::from_millis(120);

/// Connection that is read, written and watched through clones of one handle.
#[derive(Clone, Debug)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    /// Takes a connection over.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// Waits until the other end has closed the connection or it is broken.
    pub async fn closed(&self) {
        let mut byte = [0];
        loop {
            match self.0.peek(&mut byte).await {
                Ok(0) => return,
                Ok(_) => tokio::time::sleep(PAUSE).await,
                Err(error) => {
                    log::debug!("event=caller-lost error=\"{error}\"");
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
