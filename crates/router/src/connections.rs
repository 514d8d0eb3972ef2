//! Limit, registry and forced closing of the connections of one HTTP server.
//!
//! The HTTP server owns its connections and does not report when one closes. But it clones its span
//! provider once per connection, right after accepting it, and clones that clone for each request.
//! [`Gate`] therefore queues each new connection for the next clone of [`Tracker`], and the
//! connection counts as open until the last of these clones is dropped.
//!
//! A duplicate of the socket allows closing a connection whose caller reads no data: the server
//! would wait for such a caller forever.

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

/// Delay after a failed accept, for example because of too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Callback for each connection that is refused or closed: the remote address and the reason.
pub type Report = Arc<dyn Fn(SocketAddr, Event) + Send + Sync>;

/// Why a connection was refused or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The maximum number of connections was open already.
    Refused,
    /// The connection was idle for too long.
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

/// Weak reference to the connection that a request came over.
#[derive(Clone, Default)]
pub struct ConnectionRef(Weak<Connection>);

/// Counts a request of a connection as running until it is dropped.
pub struct ActiveRequest(ConnectionRef);

impl Registry {
    /// Creates the registry of a server that allows at most `limit` open connections.
    #[must_use]
    pub fn new(limit: usize, report: Report) -> Arc<Self> {
        Arc::new(Self {
            limit,
            report,
            open: Mutex::default(),
            accepted: Mutex::default(),
        })
    }

    /// Returns the open connection from a remote address.
    #[must_use]
    pub fn connection(&self, peer: SocketAddr) -> ConnectionRef {
        ConnectionRef(lock(&self.open).get(&peer).cloned().unwrap_or_default())
    }

    /// Closes the connections that have been without a running request for `limit`.
    pub fn close_idle(&self, limit: Duration) {
        let open: Vec<_> = lock(&self.open)
            .values()
            .filter_map(Weak::upgrade)
            .collect();
        for connection in open {
            if connection.is_idle(limit) {
                connection.close();
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

    fn close(&self) {
        (self.registry.report)(self.peer, Event::Idle);
        // An error means that the connection is closed already.
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open = lock(&self.registry.open);
        // A newer connection may have the same address.
        if open
            .get(&self.peer)
            .is_some_and(|other| other.strong_count() == 0)
        {
            open.remove(&self.peer);
        }
    }
}

impl ConnectionRef {
    /// Closes the connection if it is open.
    pub fn close(&self) {
        if let Some(connection) = self.0.upgrade() {
            connection.close();
        }
    }

    /// Counts a request as running until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(&self) -> ActiveRequest {
        if let Some(connection) = self.0.upgrade() {
            connection.requests.fetch_add(1, Ordering::AcqRel);
        }
        ActiveRequest(self.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if let Some(connection) = self.0.0.upgrade() {
            *lock(&connection.idle_since) = Instant::now();
            connection.requests.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

/// Span provider whose clones keep a connection registered; see the module documentation.
pub enum Tracker {
    /// Held by the server: each clone takes the next accepted connection.
    Server(Arc<Registry>),
    /// Held by a connection and its requests.
    Connection(Option<Arc<Connection>>),
}

impl Clone for Tracker {
    fn clone(&self) -> Self {
        Self::Connection(match self {
            Self::Server(registry) => lock(&registry.accepted).pop_front(),
            Self::Connection(connection) => connection.clone(),
        })
    }
}

impl SpanProvider for Tracker {}

/// Listener that accepts connections up to the registry's limit and resets the others.
pub struct Gate {
    listener: TcpListener,
    registry: Arc<Registry>,
}

impl Gate {
    /// Wraps a listener.
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
