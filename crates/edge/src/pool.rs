//! Connections to backend servers, limited for each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Body of a request to a backend server.
pub type Body = Full<Bytes>;

/// Time within which a connection must be established.
const CONNECT_TIME: Duration = Duration::from_millis(600);
/// Time for which sent bytes may stay unacknowledged before a connection counts as dead.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Idle time of a connection after which the peer is asked whether it is still there.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not used again, where its peer names none.
const IDLE: Duration = Duration::from_secs(4);
/// Time for which no connection is opened beside those that are open, after a new one was reset:
/// the peer takes fewer while its queue is long.
const CROWDED: Duration = Duration::from_millis(500);
/// Part of the idle time that its peer names for which a connection is used.
const IDLE_PART: f64 = 0.7;

/// Why a request did not get onto a connection; it was not sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer could not be reached.
    #[error("connecting to {peer}: {text}")]
    Connect {
        /// Address of the backend server.
        peer: SocketAddr,
        /// What went wrong.
        text: String,
    },
    /// All connections that this host may open stayed in use.
    #[error("all connections to {peer} are in use")]
    Full {
        /// Address of the backend server.
        peer: SocketAddr,
    },
}

/// Connections of one host.
#[derive(Default)]
pub struct Pool {
    peers: RefCell<HashMap<String, Rc<Peer>>>,
}

/// Connections to one backend server.
#[derive(Default)]
struct Peer {
    idle: RefCell<Vec<Idle>>,
    open: Cell<u32>,
    crowded_until: Cell<Option<Instant>>,
    freed: Notify,
}

struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
    until: Instant,
}

impl Idle {
    fn usable(&self, idle: Duration, now: Instant) -> bool {
        now < self.until && self.sender.is_ready() && now - self.since <= idle
    }
}

/// Connection that one request has for itself.
pub struct Connection {
    sender: Option<SendRequest<Body>>,
    peer: Rc<Peer>,
    /// Whether the connection carried requests before.
    pub reused: bool,
}

/// What a request needs of its connection.
#[derive(Clone, Copy, Debug)]
pub struct Requirements {
    /// Connections that this host may open to the backend server.
    pub max_connections: u32,
    /// Longest time that the connection may have been idle.
    pub max_idle: Duration,
    /// Moment until which it waits for one that is in use.
    pub deadline: Instant,
}

impl Pool {
    /// Takes a connection to the backend server `id` at `addr`.
    ///
    /// # Errors
    ///
    /// Why there is none; nothing was sent.
    pub async fn acquire(
        &self,
        id: &str,
        addr: SocketAddr,
        need: Requirements,
    ) -> Result<Connection, Error> {
        let peer = self.peer(id);
        loop {
            if let Some(sender) = peer.take_idle(need.max_idle) {
                return Ok(Connection {
                    sender: Some(sender),
                    peer,
                    reused: true,
                });
            }
            if peer.open.get() < peer.limit(need.max_connections) {
                return connect(peer, addr).await;
            }
            // A connection idle for too long makes room for a new one.
            peer.idle.borrow_mut().pop();
            let freed = peer.freed.notified();
            if tokio::time::timeout_at(need.deadline, freed).await.is_err() {
                return Err(Error::Full { peer: addr });
            }
        }
    }

    /// Tells whether a connection to the backend server `id` idles that may be used.
    pub fn has_idle(&self, id: &str, idle: Duration) -> bool {
        let peers = self.peers.borrow();
        let now = Instant::now();
        peers.get(id).is_some_and(|peer| {
            let all = peer.idle.borrow();
            all.iter().any(|entry| entry.usable(idle, now))
        })
    }

    /// Closes the idle connections to a backend server that started anew.
    pub fn close_idle(&self, id: &str) {
        if let Some(peer) = self.peers.borrow().get(id) {
            peer.idle.borrow_mut().clear();
        }
    }

    fn peer(&self, id: &str) -> Rc<Peer> {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(id) {
            return Rc::clone(peer);
        }
        // Servers come and go: those without connections are let go of when a new one comes.
        peers.retain(|_, peer| peer.open.get() > 0);
        let peer = Rc::new(Peer::default());
        peers.insert(id.to_owned(), Rc::clone(&peer));
        peer
    }
}

impl Peer {
    /// Returns how many connections may be open now, of `most`.
    fn limit(&self, most: u32) -> u32 {
        let crowded = self.crowded_until.get();
        if crowded.is_some_and(|until| Instant::now() < until) {
            1
        } else {
            most.max(1)
        }
    }

    /// Takes the connection that was used last, and closes those idle for too long.
    fn take_idle(&self, idle: Duration) -> Option<SendRequest<Body>> {
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        all.retain(|entry| now < entry.until && !entry.sender.is_closed());
        let place = all.iter().rposition(|entry| entry.usable(idle, now));
        place.map(|place| all.remove(place).sender)
    }
}

async fn connect(peer: Rc<Peer>, addr: SocketAddr) -> Result<Connection, Error> {
    let guard = Open::new(Rc::clone(&peer));
    let failed = |text: String| Error::Connect { peer: addr, text };
    let until = Instant::now() + CONNECT_TIME;
    let stream = tokio::time::timeout_at(until, TcpStream::connect(addr))
        .await
        .map_err(|_| failed("timeout".to_owned()))?
        .map_err(|error| failed(error.to_string()))?;
    set_peer_options(&stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=connection-ended peer={addr} error=\"{error}\"");
        }
        drop(guard);
    });
    Ok(Connection {
        sender: Some(sender),
        peer,
        reused: false,
    })
}

/// Makes a connection notice a peer that is gone without a word, or that does not read.
pub fn set_peer_options(stream: &TcpStream) {
    set_caller_options(stream);
    let tuned = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    if let Err(error) = tuned {
        log::debug!("event=socket-untuned error=\"{error}\"");
    }
}

/// Makes a connection notice a caller that is gone without a word.
///
/// A caller may take its time to read an answer.
pub fn set_caller_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    let tuned = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = tuned {
        log::debug!("event=socket-untuned error=\"{error}\"");
    }
}

/// Counts a connection while it is open.
struct Open(Rc<Peer>);

impl Open {
    fn new(peer: Rc<Peer>) -> Self {
        peer.open.set(peer.open.get() + 1);
        Self(peer)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
        self.0.freed.notify_one();
    }
}

impl Connection {
    /// Sends a request; an error with the request in it means that nothing was sent.
    ///
    /// # Errors
    ///
    /// The request, when it was not sent, and what went wrong.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, (Option<Request<Body>>, String)> {
        let Some(sender) = self.sender.as_mut() else {
            return Err((Some(request), "connection already given back".to_owned()));
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                self.sender = None;
                let text = error_chain(error.error());
                Err((error.take_message(), text))
            }
        }
    }

    /// Notes that the peer reset the connection as soon as it was there.
    pub fn note_reset(&self) {
        let until = Instant::now() + CROWDED;
        self.peer.crowded_until.set(Some(until));
    }

    /// Gives the connection back for other requests, `keep` as its peer allows.
    pub fn recycle(mut self, keep: Option<Duration>) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let until = now + keep.map_or(IDLE, |keep| keep.mul_f64(IDLE_PART));
        self.peer.idle.borrow_mut().push(Idle {
            sender,
            since: now,
            until,
        });
        self.peer.freed.notify_one();
    }
}

/// Returns an error's text with its causes.
#[must_use]
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(source) = next {
        text.push_str(": ");
        text.push_str(&source.to_string());
        next = source.source();
    }
    text
}
