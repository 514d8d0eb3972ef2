//! Socket of a connection, shared by the HTTP library and the exclusive user of the connection.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Decides at each write whether the bytes of a request may leave.
///
/// The HTTP library writes a request when its task runs, which may be long after the request was
/// handed over on a host that is short of processor time.
pub trait Permit {
    /// Returns whether bytes may be written now; otherwise the connection ends.
    fn allows(&self) -> bool;

    /// Notes that bytes were written.
    fn note_written(&self);
}

/// What restricts the writes of a connection.
#[derive(Clone, Default)]
pub(super) struct Control(Rc<RefCell<Option<Rc<dyn Permit>>>>);

impl Control {
    /// Sets what decides about all further writes; `None` allows them.
    pub(super) fn restrict(&self, permit: Option<Rc<dyn Permit>>) {
        *self.0.borrow_mut() = permit;
    }
}

/// Socket that writes only what its [`Control`] allows.
pub(super) struct Stream {
    socket: TcpStream,
    control: Control,
}

impl Stream {
    pub(super) fn new(socket: TcpStream) -> (Self, Control) {
        let control = Control::default();
        let stream = Self {
            socket,
            control: control.clone(),
        };
        (stream, control)
    }

    fn write(
        &mut self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let permit = self.control.0.borrow();
        let Some(permit) = &*permit else {
            return write(Pin::new(&mut self.socket));
        };
        if !permit.allows() {
            let error = io::Error::new(io::ErrorKind::PermissionDenied, "write withheld");
            return Poll::Ready(Err(error));
        }
        let written = write(Pin::new(&mut self.socket));
        if let Poll::Ready(Ok(1..)) = written {
            permit.note_written();
        }
        written
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(|socket| socket.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(|socket| socket.poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
