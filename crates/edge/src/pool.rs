//! Pool of HTTP/1 connections to backend servers, with a limit for each server.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

mod stream;

pub use self::stream::Permit;
use self::stream::{Control, Stream};

/// Body of a request to a backend server.
pub type Body = Full<Bytes>;

/// Timeout of connection establishment.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Default time for which sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not reused if its server states no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after the reset of a new connection for which no connection is opened beside one that is
/// open: a server accepts fewer connections while its queue is long.
const RESET_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum size of the head of a response, and of the read buffer of a connection, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Fraction of the keep-alive timeout stated by the server for which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Error that leaves a request without a connection; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The backend server could not be reached.
    #[error("connecting to {address}: {text}")]
    Connect {
        /// Address of the backend server.
        address: SocketAddr,
        /// Cause of the failure.
        text: String,
    },
    /// All connections that this host may open were in use until the deadline.
    #[error("all connections to {address} are in use")]
    Full {
        /// Address of the backend server.
        address: SocketAddr,
    },
}

/// Number of a connection, unique within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serial(u64);

impl fmt::Display for Serial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Connections of one host to all backend servers.
pub struct Pool {
    servers: RefCell<HashMap<String, Rc<Server>>>,
    last_serial: Cell<u64>,
    unacknowledged_timeout: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(UNACKNOWLEDGED_TIMEOUT)
    }
}

/// Connections to one backend server.
#[derive(Default)]
struct Server {
    idle: RefCell<Vec<Idle>>,
    open: Cell<u32>,
    backoff_until: Cell<Option<Instant>>,
    available: Notify,
}

/// Connection that no request uses.
struct Idle {
    serial: Serial,
    sender: SendRequest<Body>,
    control: Control,
    task: AbortHandle,
    since: Instant,
    expires: Instant,
}

impl Idle {
    fn is_usable(&self, max_idle: Duration, now: Instant) -> bool {
        now < self.expires && self.sender.is_ready() && now - self.since <= max_idle
    }

    fn meets(&self, need: &Requirements<'_>, now: Instant) -> bool {
        self.is_usable(need.max_idle, now) && !need.excluded.contains(&self.serial)
    }
}

/// Connection in exclusive use by one request; dropping it closes its socket at once.
pub struct Connection {
    serial: Serial,
    sender: Option<SendRequest<Body>>,
    control: Control,
    /// Task that reads and writes.
    task: AbortHandle,
    recycled: bool,
    server: Rc<Server>,
    /// Whether the connection has carried earlier requests.
    pub reused: bool,
}

/// Requirements of a request for its connection.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Maximum number of connections that this host may open to the backend server.
    pub max_connections: u32,
    /// Maximum time for which a reused connection may have been idle.
    pub max_idle: Duration,
    /// Time until which the request waits for a connection that is in use.
    pub deadline: Instant,
    /// Connections that must not carry the request.
    pub excluded: &'a [Serial],
    /// Whether a connection may be opened for the request.
    pub may_open: bool,
}

impl Pool {
    /// Creates a pool without connections.
    ///
    /// Sent bytes that stay unacknowledged for `unacknowledged_timeout` close their connection.
    #[must_use]
    pub fn new(unacknowledged_timeout: Duration) -> Self {
        Self {
            servers: RefCell::default(),
            last_serial: Cell::new(0),
            unacknowledged_timeout,
        }
    }

    /// Takes an idle connection to the backend server `id`, or opens one to `addr`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if a new connection fails, and [`Error::Full`] if no connection
    /// becomes available before the deadline. Nothing was sent in either case.
    pub async fn acquire(
        &self,
        id: &str,
        addr: SocketAddr,
        need: Requirements<'_>,
    ) -> Result<Connection, Error> {
        let server = self.server(id);
        loop {
            if let Some(idle) = server.take_idle(&need) {
                idle.control.restrict(None);
                return Ok(Connection {
                    serial: idle.serial,
                    sender: Some(idle.sender),
                    control: idle.control,
                    task: idle.task,
                    recycled: false,
                    server,
                    reused: true,
                });
            }
            if need.may_open && server.open.get() < server.limit(need.max_connections) {
                let serial = self.next_serial();
                return connect(server, serial, addr, self.unacknowledged_timeout).await;
            }
            // An idle connection that this request may not use makes room for a new one.
            if need.may_open {
                server.idle.borrow_mut().pop();
            }
            let available = server.available.notified();
            if tokio::time::timeout_at(need.deadline, available)
                .await
                .is_err()
            {
                return Err(Error::Full { address: addr });
            }
        }
    }

    /// Returns whether a connection to the backend server `id` that was idle for at most `max_idle`
    /// can be reused.
    pub fn has_idle(&self, id: &str, max_idle: Duration) -> bool {
        let servers = self.servers.borrow();
        let now = Instant::now();
        servers.get(id).is_some_and(|server| {
            let all = server.idle.borrow();
            all.iter().any(|entry| entry.is_usable(max_idle, now))
        })
    }

    /// Closes the idle connections to the backend server `id`, which has restarted.
    pub fn close_idle(&self, id: &str) {
        if let Some(server) = self.servers.borrow().get(id) {
            server.idle.borrow_mut().clear();
        }
    }

    fn next_serial(&self) -> Serial {
        self.last_serial.set(self.last_serial.get() + 1);
        Serial(self.last_serial.get())
    }

    fn server(&self, id: &str) -> Rc<Server> {
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get(id) {
            return Rc::clone(server);
        }
        // Servers come and go: a new one evicts those without open connections.
        servers.retain(|_, server| server.open.get() > 0);
        let server = Rc::new(Server::default());
        servers.insert(id.to_owned(), Rc::clone(&server));
        server
    }
}

impl Server {
    /// Returns how many connections may be open now, at most `max_connections`.
    fn limit(&self, max_connections: u32) -> u32 {
        let backoff = self.backoff_until.get();
        if backoff.is_some_and(|until| Instant::now() < until) {
            1
        } else {
            max_connections.max(1)
        }
    }

    /// Takes the usable connection that was used last, and closes expired ones.
    fn take_idle(&self, need: &Requirements<'_>) -> Option<Idle> {
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        all.retain(|entry| now < entry.expires && !entry.sender.is_closed());
        let index = all.iter().rposition(|entry| entry.meets(need, now));
        index.map(|index| all.remove(index))
    }
}

/// Opens a connection to a backend server.
async fn connect(
    server: Rc<Server>,
    serial: Serial,
    addr: SocketAddr,
    unacknowledged_timeout: Duration,
) -> Result<Connection, Error> {
    let guard = OpenGuard::new(Rc::clone(&server));
    let failed = |text: String| Error::Connect {
        address: addr,
        text,
    };
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    let stream = tokio::time::timeout_at(deadline, TcpStream::connect(addr))
        .await
        .map_err(|_| failed("timeout".to_owned()))?
        .map_err(|error| failed(error.to_string()))?;
    set_caller_options(&stream);
    set_unacknowledged_timeout(&stream, unacknowledged_timeout);
    discard_unsent_on_close(&stream);
    let (stream, control) = Stream::new(stream);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=connection-ended peer={addr} error=\"{error}\"");
        }
        drop(guard);
    });
    Ok(Connection {
        serial,
        sender: Some(sender),
        control,
        task: task.abort_handle(),
        recycled: false,
        server,
        reused: false,
    })
}

/// Sets TCP options that detect a peer that vanished without closing, or that stopped reading.
pub fn set_peer_options(stream: &TcpStream) {
    set_caller_options(stream);
    set_unacknowledged_timeout(stream, UNACKNOWLEDGED_TIMEOUT);
}

fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) {
    let result = SockRef::from(stream).set_tcp_user_timeout(Some(timeout));
    if let Err(error) = result {
        log::debug!("event=socket-option-failed error=\"{error}\"");
    }
}

/// Makes the closing of a connection discard the bytes that its peer has not acknowledged.
///
/// A request that was given up must not arrive later, when a broken link works again: a backend
/// server would run it, or hold the keys of an old grant. The kernel closes the connections of a
/// killed process in the same way.
fn discard_unsent_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!("event=socket-option-failed option=linger error=\"{error}\"");
    }
}

/// Sets TCP options that detect a caller that vanished without closing.
///
/// Unlike [`set_peer_options`], it sets no limit on unacknowledged bytes: a caller may read a
/// response slowly.
pub fn set_caller_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = result {
        log::debug!("event=socket-option-failed error=\"{error}\"");
    }
}

/// Counts a connection as open until dropped.
struct OpenGuard(Rc<Server>);

impl OpenGuard {
    fn new(server: Rc<Server>) -> Self {
        server.open.set(server.open.get() + 1);
        Self(server)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
        self.0.available.notify_one();
    }
}

impl Connection {
    /// Returns the number of the connection.
    #[must_use]
    pub const fn serial(&self) -> Serial {
        self.serial
    }

    /// Lets `permit` decide about each write until the connection is acquired again.
    pub fn restrict(&self, permit: Rc<dyn Permit>) {
        self.control.restrict(Some(permit));
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the cause, and the request itself if none of it was sent.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, (Option<Request<Body>>, String)> {
        let Some(sender) = self.sender.as_mut() else {
            return Err((Some(request), "connection already given back".to_owned()));
        };
        self.control.reset_unused();
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.control.reset_unused();
                Ok(response)
            }
            Err(mut error) => {
                self.sender = None;
                let text = error_chain(error.error());
                Err((error.take_message(), text))
            }
        }
    }

    /// Receives the next frame of the body of a response; `None` at its end.
    pub async fn next_frame(
        &self,
        body: &mut Incoming,
    ) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        let frame = body.frame().await;
        self.control.reset_unused();
        frame
    }

    /// Limits new connections to the server for a while: it reset this one, which was new.
    pub fn note_reset(&self) {
        let until = Instant::now() + RESET_BACKOFF;
        self.server.backoff_until.set(Some(until));
    }

    /// Returns the connection to the pool; `keep_alive` is the idle timeout that its server states.
    pub fn recycle(mut self, keep_alive: Option<Duration>) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let expires = now
            + keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |time| {
                time.mul_f64(KEEP_ALIVE_FRACTION)
            });
        self.recycled = true;
        self.server.idle.borrow_mut().push(Idle {
            serial: self.serial,
            sender,
            control: self.control.clone(),
            task: self.task.clone(),
            since: now,
            expires,
        });
        self.server.available.notify_one();
    }
}

impl Drop for Connection {
    /// Closes the socket, unless the pool has the connection again. The connection's task may run
    /// late, and bytes of a request that was given up would leave until then.
    fn drop(&mut self) {
        if !self.recycled {
            self.control.close();
            self.task.abort();
        }
    }
}

/// Returns the text of an error followed by the texts of its sources.
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
