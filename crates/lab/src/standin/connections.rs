//! Acceptance and count of the connections of one server.
//!
//! The HTTP server owns its connections and does not say when one ends. It does keep one copy of
//! its span provider for each connection, and copies that copy for each request; so the count is
//! kept by copies: a copy of the first [`Counter`] is a new connection, and a copy of such a copy
//! is the same connection.

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

/// Time to wait after a failed accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Counts the connections of one server.
#[derive(Debug)]
pub enum Counter {
    /// Kept by the server.
    Server(Arc<AtomicUsize>),
    /// Kept by one connection and its requests.
    Connection(Arc<Open>),
}

impl Counter {
    /// Creates the counter of a server.
    pub fn new(count: Arc<AtomicUsize>) -> Self {
        Self::Server(count)
    }
}

impl Clone for Counter {
    fn clone(&self) -> Self {
        Self::Connection(match self {
            Self::Server(count) => Arc::new(Open::new(Arc::clone(count))),
            Self::Connection(open) => Arc::clone(open),
        })
    }
}

impl SpanProvider for Counter {}

/// One open connection.
#[derive(Debug)]
pub struct Open(Arc<AtomicUsize>);

impl Open {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections up to a limit, each after the time that setting it up costs.
pub struct Gate {
    listener: TcpListener,
    count: Arc<AtomicUsize>,
    limit: usize,
    cost: Duration,
    setting_up: VecDeque<(Instant, TcpStream)>,
}

impl Gate {
    /// Creates the gate of a listener.
    ///
    /// Connections beyond `limit` are reset; the others are served after `cost`.
    pub fn new(
        listener: TcpListener,
        count: Arc<AtomicUsize>,
        limit: usize,
        cost: Duration,
    ) -> Self {
        Self {
            listener,
            count,
            limit,
            cost,
            setting_up: VecDeque::new(),
        }
    }

    /// Takes a new connection, or resets it when there are too many.
    fn admit(&mut self, accepted: io::Result<(TcpStream, std::net::SocketAddr)>) -> bool {
        let Ok((stream, peer)) = accepted else {
            return false;
        };
        let open = self.count.load(Ordering::Relaxed) + self.setting_up.len();
        if open >= self.limit {
            log::debug!("event=connection-refused peer={peer} open={open}");
            let _ = stream.set_zero_linger();
            return true;
        }
        let ready = Instant::now() + self.cost;
        self.setting_up.push_back((ready, stream));
        true
    }
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

impl Incoming for Gate {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            let ready = self.setting_up.front().map(|(ready, _)| *ready);
            tokio::select! {
                () = sleep_until(ready) => {
                    if let Some((_, stream)) = self.setting_up.pop_front() {
                        return Ok(Some(Conn::from(stream)));
                    }
                }
                accepted = self.listener.accept() => {
                    if !self.admit(accepted) {
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        }
    }
}

impl MakeIncoming for Gate {
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
