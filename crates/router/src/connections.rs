//! Acceptance, count and end of the connections of one HTTP server.
//!
//! The HTTP server owns its connections and does not say when one ends. It does keep one copy of
//! its span provider for each connection, made right after the connection was accepted, and copies
//! that copy for each request. So [`Gate`] leaves a new connection for the next copy of [`Keeper`],
//! and the connection counts as open until the last of these copies is dropped.
//!
//! A second handle of the socket lets a connection be cut whose caller takes no data: the server
//! waits for such a caller without end.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use volo::net::MakeIncoming;
use volo::net::conn::Conn;
use volo::net::incoming::Incoming;
use volo_http::server::span_provider::SpanProvider;

/// Time to wait after a failed accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Called with the address of each connection that is refused or cut, and why.
pub type Report = Arc<dyn Fn(SocketAddr, Event) + Send + Sync>;

/// What befell a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It came when too many were open.
    Refused,
    /// It stood still for too long.
    Idle,
}

/// Open connections of one server.
pub struct Registry {
    limit: usize,
    report: Report,
    open: Mutex<HashMap<SocketAddr, Weak<Connection>>>,
    accepted: Mutex<VecDeque<Arc<Connection>>>,
}

/// One open connection.
pub struct Connection {
    peer: SocketAddr,
    socket: std::net::TcpStream,
    requests: AtomicUsize,
    idle_since: Mutex<Instant>,
    registry: Arc<Registry>,
}

/// Way to the connection that a request came over.
#[derive(Clone, Default)]
pub struct Caller(Weak<Connection>);

/// Counts a request of a connection as running until dropped.
pub struct Visit(Caller);

impl Registry {
    /// Creates the registry of a server that keeps `limit` connections open at most.
    #[must_use]
    pub fn new(limit: usize, report: Report) -> Arc<Self> {
        Arc::new(Self {
            limit,
            report,
            open: Mutex::default(),
            accepted: Mutex::default(),
        })
    }

    /// Returns the connection from an address.
    #[must_use]
    pub fn caller(&self, peer: SocketAddr) -> Caller {
        Caller(lock(&self.open).get(&peer).cloned().unwrap_or_default())
    }

    /// Cuts the connections without a running request that have stood still for `limit`.
    pub fn cut_idle(&self, limit: Duration) {
        let open: Vec<_> = lock(&self.open)
            .values()
            .filter_map(Weak::upgrade)
            .collect();
        for connection in open {
            if connection.is_idle(limit) {
                connection.cut();
            }
        }
    }

    fn admit(self: &Arc<Self>, stream: &TcpStream, peer: SocketAddr) -> io::Result<()> {
        if lock(&self.open).len() >= self.limit {
            (self.report)(peer, Event::Refused);
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let connection = Arc::new(Connection {
            peer,
            socket: stream.as_fd().try_clone_to_owned()?.into(),
            requests: AtomicUsize::new(0),
            idle_since: Mutex::new(Instant::now()),
            registry: Arc::clone(self),
        });
        lock(&self.open).insert(peer, Arc::downgrade(&connection));
        lock(&self.accepted).push_back(connection);
        Ok(())
    }
}

impl Connection {
    fn is_idle(&self, limit: Duration) -> bool {
        let running = self.requests.load(Ordering::Acquire) > 0;
        !running && lock(&self.idle_since).elapsed() >= limit
    }

    fn cut(&self) {
        (self.registry.report)(self.peer, Event::Idle);
        // An error means that the connection has ended already.
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open = lock(&self.registry.open);
        // The address may belong to a later connection by now.
        if open
            .get(&self.peer)
            .is_some_and(|other| other.strong_count() == 0)
        {
            open.remove(&self.peer);
        }
    }
}

impl Caller {
    /// Cuts the connection if it is open.
    pub fn cut(&self) {
        if let Some(connection) = self.0.upgrade() {
            connection.cut();
        }
    }

    /// Counts a request as running until the visit is dropped.
    #[must_use]
    pub fn visit(&self) -> Visit {
        if let Some(connection) = self.0.upgrade() {
            connection.requests.fetch_add(1, Ordering::AcqRel);
        }
        Visit(self.clone())
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        if let Some(connection) = self.0.0.upgrade() {
            *lock(&connection.idle_since) = Instant::now();
            connection.requests.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

/// Keeps a connection counted as open; see the module's text.
pub enum Keeper {
    /// Kept by the server.
    Server(Arc<Registry>),
    /// Kept by one connection and its requests.
    Connection(Option<Arc<Connection>>),
}

impl Clone for Keeper {
    fn clone(&self) -> Self {
        Self::Connection(match self {
            Self::Server(registry) => lock(&registry.accepted).pop_front(),
            Self::Connection(connection) => connection.clone(),
        })
    }
}

impl SpanProvider for Keeper {}

/// Accepts connections up to the limit and resets the others.
pub struct Gate {
    listener: TcpListener,
    registry: Arc<Registry>,
}

impl Gate {
    /// Creates the gate of a listener.
    #[must_use]
    pub fn new(listener: TcpListener, registry: Arc<Registry>) -> Self {
        Self { listener, registry }
    }
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("limit", &self.registry.limit)
            .finish_non_exhaustive()
    }
}

impl Incoming for Gate {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            let Ok((stream, peer)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            if self.registry.admit(&stream, peer).is_ok() {
                return Ok(Some(Conn::from(stream)));
            }
            let _ = stream.set_zero_linger();
        }
    }
}

impl MakeIncoming for Gate {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
