//! Socket of a connection, shared by the HTTP library and the exclusive user of the connection.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::MAX_HEAD_BYTES;

/// Maximum number of bytes that are received without a head or a frame of a body: a head, and what
/// the HTTP library reads before the relay receives the next frame.
///
/// The library reads on while a server sends interim responses or the digits of a chunk size, with
/// neither an end nor a pause for other tasks.
const MAX_UNUSED_BYTES: usize = 2 * MAX_HEAD_BYTES;

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

#[derive(Default)]
struct Shared {
    /// The socket, until it is closed.
    socket: RefCell<Option<TcpStream>>,
    permit: RefCell<Option<Rc<dyn Permit>>>,
    /// Number of bytes received since the last head or frame of a body.
    unused: Cell<usize>,
}

/// Control of a connection's socket by the user of the connection.
#[derive(Clone)]
pub(super) struct Control(Rc<Shared>);

impl Control {
    /// Sets what decides about all further writes; `None` allows them.
    pub(super) fn restrict(&self, permit: Option<Rc<dyn Permit>>) {
        *self.0.permit.borrow_mut() = permit;
    }

    /// Notes that the relay received a head or a frame, or that a request begins.
    pub(super) fn reset_unused(&self) {
        self.0.unused.set(0);
    }

    /// Closes the socket at once.
    pub(super) fn close(&self) {
        self.0.socket.borrow_mut().take();
    }
}

/// Socket that writes only what its [`Control`] allows, and fails after too many unused bytes.
/// Dropping it closes the socket.
pub(super) struct Stream(Rc<Shared>);

impl Stream {
    pub(super) fn new(socket: TcpStream) -> (Self, Control) {
        let shared = Rc::new(Shared {
            socket: RefCell::new(Some(socket)),
            permit: RefCell::default(),
            unused: Cell::new(0),
        });
        (Self(Rc::clone(&shared)), Control(shared))
    }

    /// Applies an operation to the socket unless it is closed.
    fn with_socket<T>(
        &self,
        operation: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match &mut *self.0.socket.borrow_mut() {
            Some(socket) => operation(Pin::new(socket)),
            None => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }

    fn write(
        &self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let permit = self.0.permit.borrow();
        let Some(permit) = &*permit else {
            return self.with_socket(write);
        };
        if !permit.allows() {
            let error = io::Error::new(io::ErrorKind::PermissionDenied, "write withheld");
            return Poll::Ready(Err(error));
        }
        let written = self.with_socket(write);
        if let Poll::Ready(Ok(1..)) = written {
            permit.note_written();
        }
        written
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.0.socket.borrow_mut().take();
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unused = &self.0.unused;
        if unused.get() > MAX_UNUSED_BYTES {
            let text = format!("{} bytes that are no response", unused.get());
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buffer.filled().len();
        ready!(self.with_socket(|socket| socket.poll_read(cx, buffer)))?;
        unused.set(unused.get() + buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(|socket| socket.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(|socket| socket.poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_socket(|socket| socket.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_socket(|socket| socket.poll_shutdown(cx))
    }
}
