//! Accepts and counts the connections of one server.
//!
//! The HTTP server owns its connections and does not report when one closes. It does clone its
//! span provider once for each connection, and clones that clone for each request. [`Counter`]
//! therefore counts clones: a clone of the server's own counter is a new connection, and a clone
//! of such a clone belongs to the same connection.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use volo::net::MakeIncoming;
use volo::net::conn::Conn;
use volo::net::incoming::Incoming;
use volo_http::server::span_provider::SpanProvider;

/// Delay after a failed accept, for example because too many files are open.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Counts the open connections of one server.
#[derive(Debug)]
pub enum Counter {
    /// The server's own counter.
    Server(Arc<AtomicUsize>),
    /// The counter of one connection and its requests.
    Connection(Arc<Guard>),
}

impl Counter {
    /// Creates the counter of a server, which keeps `count` up to date.
    pub fn new(count: Arc<AtomicUsize>) -> Self {
        Self::Server(count)
    }
}

impl Clone for Counter {
    fn clone(&self) -> Self {
        Self::Connection(match self {
            Self::Server(count) => Arc::new(Guard::new(Arc::clone(count))),
            Self::Connection(open) => Arc::clone(open),
        })
    }
}

impl SpanProvider for Counter {}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
pub struct Guard(Arc<AtomicUsize>);

impl Guard {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections up to a limit and delays each by a connection setup time.
pub struct Acceptor {
    listener: TcpListener,
    count: Arc<AtomicUsize>,
    max_connections: usize,
    setup_time: Duration,
    pending: VecDeque<(Instant, TcpStream)>,
}

impl Acceptor {
    /// Creates the acceptor of a listener.
    ///
    /// Connections beyond `max_connections` are reset; the others are served after `setup_time`.
    pub fn new(
        listener: TcpListener,
        count: Arc<AtomicUsize>,
        max_connections: usize,
        setup_time: Duration,
    ) -> Self {
        Self {
            listener,
            count,
            max_connections,
            setup_time,
            pending: VecDeque::new(),
        }
    }

    /// Queues a new connection, or resets it when `max_connections` are open.
    ///
    /// Returns false when the accept failed.
    fn admit(&mut self, accepted: io::Result<(TcpStream, std::net::SocketAddr)>) -> bool {
        let Ok((stream, peer)) = accepted else {
            return false;
        };
        let open = self.count.load(Ordering::Relaxed) + self.pending.len();
        if open >= self.max_connections {
            log::debug!("event=connection-refused peer={peer} open={open}");
            let _ = stream.set_zero_linger();
            return true;
        }
        let ready = Instant::now() + self.setup_time;
        self.pending.push_back((ready, stream));
        true
    }
}

impl fmt::Debug for Acceptor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Acceptor")
            .field("max_connections", &self.max_connections)
            .finish_non_exhaustive()
    }
}

impl Incoming for Acceptor {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            let ready = self.pending.front().map(|(ready, _)| *ready);
            tokio::select! {
                () = sleep_until(ready) => {
                    if let Some((_, stream)) = self.pending.pop_front() {
                        return Ok(Some(Conn::from(stream)));
                    }
                }
                accepted = self.listener.accept() => {
                    if !self.admit(accepted) {
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        }
    }
}

impl MakeIncoming for Acceptor {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

async fn sleep_until(instant: Option<Instant>) {
    match instant {
        Some(instant) if instant <= Instant::now() => {}
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
