//! The HTTP port of a stand-in, from its address to SIGTERM.
//!
//! The server library takes the signals itself (SIGHUP too) and then waits for open connections;
//! a stand-in ends at once, as a process that the platform stops. Requests that run are dropped
//! with the runtime.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::{Router, Server};

use super::connections::{Counter, Gate};
use super::error::Error;

/// Listener with its actual address.
pub struct Port {
    listener: TcpListener,
    addr: SocketAddr,
}

impl Port {
    /// Binds an address, of which the port may be zero.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] when the address is not free.
    pub async fn bind(addr: SocketAddr) -> Result<Self, Error> {
        let object = addr.to_string();
        let listener = TcpListener::bind(addr)
            .await
            .map_err(Error::io("bind", &object))?;
        let addr = listener
            .local_addr()
            .map_err(Error::io("read address of", &object))?;
        Ok(Self { listener, addr })
    }
}

/// Limits of a port.
pub struct Limits {
    /// Count of open connections, kept up to date.
    pub count: Arc<AtomicUsize>,
    /// Open connections, at most.
    pub connections: usize,
    /// Time that setting up a connection costs.
    pub connect: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            count: Arc::default(),
            connections: usize::MAX,
            connect: Duration::ZERO,
        }
    }
}

/// Answers every request on a port with `handler` until SIGTERM or SIGINT.
///
/// The library drops the handler's future when the caller closes the connection: its HTTP/1
/// connection reads on while a handler runs, takes the end of the stream as the end of the
/// connection, and owns the future. This holds once the request's body has been read, apart from
/// its last part: an unread body keeps the connection from reading on.
///
/// # Errors
///
/// [`Error::Io`] when signals cannot be taken, [`Error::Serve`] when the server ends by itself.
pub async fn serve<H, F>(port: Port, limits: Limits, handler: H) -> Result<(), Error>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let mut stops = Stops::new()?;
    let router: Router<Body> =
        Router::new().fallback(move |request: Request| (handler.clone())(request));
    let gate = Gate::new(
        port.listener,
        Arc::clone(&limits.count),
        limits.connections,
        limits.connect,
    );
    let server = Server::new(router).span_provider(Counter::new(limits.count));
    announce(port.addr)?;
    tokio::select! {
        biased;
        () = stops.recv() => Ok(()),
        result = server.run(gate) => result.map_err(|error| Error::Serve(error.to_string())),
    }
}

struct Stops {
    term: Signal,
    int: Signal,
}

impl Stops {
    fn new() -> Result<Self, Error> {
        let take = |kind| signal(kind).map_err(Error::io("take", "signal"));
        Ok(Self {
            term: take(SignalKind::terminate())?,
            int: take(SignalKind::interrupt())?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}

/// Prints the address, for the process that started this one.
fn announce(addr: SocketAddr) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "listening={addr}")
        .and_then(|()| out.flush())
        .map_err(Error::io("write", "stdout"))
}
