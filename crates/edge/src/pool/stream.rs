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

#[derive(Default)]
struct Shared {
    /// The socket, until it is closed.
    socket: RefCell<Option<TcpStream>>,
    permit: RefCell<Option<Rc<dyn Permit>>>,
}

/// Control of a connection's socket by the user of the connection.
#[derive(Clone)]
pub(super) struct Control(Rc<Shared>);

impl Control {
    /// Sets what decides about all further writes; `None` allows them.
    pub(super) fn restrict(&self, permit: Option<Rc<dyn Permit>>) {
        *self.0.permit.borrow_mut() = permit;
    }

    /// Closes the socket at once.
    pub(super) fn close(&self) {
        self.0.socket.borrow_mut().take();
    }
}

/// Socket that writes only what its [`Control`] allows. Dropping it closes the socket.
pub(super) struct Stream(Rc<Shared>);

impl Stream {
    pub(super) fn new(socket: TcpStream) -> (Self, Control) {
        let shared = Rc::new(Shared {
            socket: RefCell::new(Some(socket)),
            permit: RefCell::default(),
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
        self.with_socket(|socket| socket.poll_read(cx, buffer))
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
