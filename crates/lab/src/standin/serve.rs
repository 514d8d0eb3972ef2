//! Serves HTTP on a stand-in's port until SIGTERM.
//!
//! The server library handles the signals itself (SIGHUP too) and then waits for open connections
//! to close. A stand-in exits at once instead, like a process that the platform stops; running
//! requests are dropped with the runtime.

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

use super::connections::{Acceptor, Counter};
use super::error::Error;

/// Bound listener with its actual address.
pub struct Port {
    listener: TcpListener,
    addr: SocketAddr,
}

impl Port {
    /// Binds an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] when the address cannot be bound.
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

/// Connection limits of a server.
pub struct Limits {
    /// Number of open connections, kept up to date by the server.
    pub open_connections: Arc<AtomicUsize>,
    /// Maximum number of open connections; further ones are reset.
    pub max_connections: usize,
    /// Delay between accepting a connection and serving it.
    pub setup_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            open_connections: Arc::default(),
            max_connections: usize::MAX,
            setup_time: Duration::ZERO,
        }
    }
}

/// Serves every request on a port with `handler` until SIGTERM or SIGINT.
///
/// The library drops the handler's future when the caller closes the connection: the HTTP/1
/// connection owns the future, keeps reading while the handler runs, and treats the end of the
/// stream as the end of the connection. This works only once all of the request body except its
/// last part has been read, because an unread body stops the connection from reading further.
///
/// # Errors
///
/// [`Error::Io`] when signal handlers cannot be installed, [`Error::Serve`] when the server stops
/// without a signal.
pub async fn serve<H, F>(port: Port, limits: Limits, handler: H) -> Result<(), Error>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let mut stop_signals = StopSignals::new()?;
    let router: Router<Body> =
        Router::new().fallback(move |request: Request| (handler.clone())(request));
    let acceptor = Acceptor::new(
        port.listener,
        Arc::clone(&limits.open_connections),
        limits.max_connections,
        limits.setup_time,
    );
    let server = Server::new(router).span_provider(Counter::new(limits.open_connections));
    print_address(port.addr)?;
    tokio::select! {
        biased;
        () = stop_signals.recv() => Ok(()),
        result = server.run(acceptor) => result.map_err(|error| Error::Serve(error.to_string())),
    }
}

struct StopSignals {
    term: Signal,
    int: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, Error> {
        let listen = |kind| signal(kind).map_err(Error::io("listen for", "signal"));
        Ok(Self {
            term: listen(SignalKind::terminate())?,
            int: listen(SignalKind::interrupt())?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}

/// Prints the address on stdout, where the parent process reads it.
fn print_address(addr: SocketAddr) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "listening={addr}")
        .and_then(|()| out.flush())
        .map_err(Error::io("write", "stdout"))
}
