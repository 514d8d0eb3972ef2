//! Sends a caller's request to one backend server and receives the response.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue,
    TRANSFER_ENCODING,
};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tarragon_dispatch::fleet::{AttemptClass, Load, Observation, Pick};
use tokio::time::Instant;

use self::forward::{Limit, stream_body};
use self::handover::Handover;
use crate::body::Reservation;
use crate::platform::Headers;
use crate::pool::{self, Connection, Requirements, Serial};
use crate::state::State;

mod forward;
mod handover;
pub mod room;

/// Error that interrupts a response body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a response to a caller.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BodyError>>>;

/// Largest status of a response. The HTTP library rejects statuses below 100 and above 999, and
/// takes those in between for valid.
const MAX_STATUS: u16 = 599;
/// Size up to which a response is buffered before it is forwarded, so that a retry can replace one
/// that breaks off.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Maximum idle time of a connection that carries a request which must not be retried: after a
/// longer one the server may have dropped the connection unnoticed.
const NON_RETRYABLE_MAX_IDLE: Duration = Duration::from_millis(1_500);
/// Maximum idle time of a connection that carries a retryable request: no limit in practice, since
/// the request can be sent again.
const RETRYABLE_MAX_IDLE: Duration = Duration::from_mins(1);
/// Time for which a request waits for a connection before a backend server is selected again.
const CONNECTION_WAIT: Duration = Duration::from_millis(150);
/// Minimum number of connections to one backend server that each host may open, however many hosts
/// share the server: they rarely open all of them at once.
const MIN_CONNECTIONS: u32 = 2;
/// Fraction of a backend server's connection limit that all hosts together may use.
const CONNECTION_FRACTION: f64 = 0.9;

/// Request of a caller with its complete body.
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Identifier; the response must repeat it.
    pub id: Option<HeaderValue>,
    /// Whether the request may run more than once.
    pub retryable: bool,
}

/// Response of a backend server that can be forwarded to the caller.
pub struct ServerResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
}

/// Response to an earlier send of a request, after which its connection stayed open.
///
/// The connection does not carry the request again: its identifier cannot tell a second copy of that
/// response from the response to a later send.
#[derive(Clone, Debug)]
pub struct Answered {
    /// Backend server that responded.
    pub server: String,
    /// Connection that carried the send.
    pub connection: Serial,
    /// Whether the server refused the request as it was full. It may reset a new connection then,
    /// so the request is sent to it again only on one that is open.
    pub full: bool,
}

/// One send of a request.
pub struct Attempt {
    /// Result.
    pub outcome: Outcome,
    /// Connection that carried the request, if one did.
    pub connection: Option<Serial>,
}

/// Result of one send.
pub enum Outcome {
    /// The backend server responded.
    Response(ServerResponse),
    /// Nothing was sent.
    NotSent(String),
    /// Nothing was sent: all connections that this host may open were in use, or the server had no
    /// room for the request.
    Full,
    /// The backend server states that it did not run the request.
    NotRun(StatusCode),
    /// Another backend server has the address; it did not run the request.
    OtherServer,
    /// The request was sent and may have run, but there is no usable response.
    Unknown(String),
}

impl Outcome {
    /// Returns the name of the outcome in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Response(_) => "answer",
            Self::NotSent(_) => "not-sent",
            Self::Full => "full",
            Self::NotRun(_) => "not-run",
            Self::OtherServer => "other-server",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Counts a request as running at a server until dropped, also when the caller disconnects.
struct InFlight<'a> {
    state: &'a State,
    id: &'a str,
    sent: Instant,
    observation: Option<Observation>,
}

impl InFlight<'_> {
    /// Sets what is recorded about the send when the guard is dropped.
    fn finish(&mut self, class: AttemptClass, load: Option<Load>, bytes: usize) {
        self.observation = Some(Observation {
            elapsed: self.sent.elapsed(),
            load,
            bytes,
            class,
        });
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let observation = self.observation.unwrap_or(Observation {
            elapsed: self.sent.elapsed(),
            load: None,
            bytes: 0,
            class: AttemptClass::Abandoned,
        });
        let now = self.state.now();
        self.state
            .fleet
            .borrow_mut()
            .record_ended(self.id, observation, now);
    }
}

/// Sends a request to the backend server `pick` and waits for its response.
///
/// `connections` is the connection limit of the backend server, and `earlier` lists the responses to
/// earlier sends of the request. `deadline` is forwarded to the server but not enforced here, except
/// on a response that is forwarded as it arrives: the calling function must apply a timeout.
pub async fn send(
    state: &State,
    request: &CallerRequest,
    pick: &Pick,
    connections: u32,
    earlier: &[Answered],
    deadline: Instant,
) -> Attempt {
    let here = earlier.iter().filter(|answered| answered.server == pick.id);
    let excluded: SmallVec<[Serial; 2]> =
        here.clone().map(|answered| answered.connection).collect();
    let may_open = !here.clone().any(|answered| answered.full);
    let wait = if may_open {
        CONNECTION_WAIT
    } else {
        Duration::ZERO
    };
    let need = Requirements {
        max_connections: max_connections(connections, state.host_count.get()),
        max_idle: request.max_idle(),
        deadline: deadline.min(Instant::now() + wait),
        excluded: &excluded,
        may_open,
    };
    let Ok(_held) = room::enter(state, request, &pick.id, deadline).await else {
        return Attempt {
            outcome: Outcome::Full,
            connection: None,
        };
    };
    let mut connection = None;
    let outcome = exchange(state, request, pick, need, &mut connection, deadline).await;
    Attempt {
        outcome,
        connection,
    }
}

/// Sends a request on a connection that meets `need`, and sets `used` to it.
async fn exchange(
    state: &State,
    request: &CallerRequest,
    pick: &Pick,
    need: Requirements<'_>,
    used: &mut Option<Serial>,
    deadline: Instant,
) -> Outcome {
    state.fleet.borrow_mut().record_sent(&pick.id);
    let mut guard = InFlight {
        state,
        id: &pick.id,
        sent: Instant::now(),
        observation: None,
    };
    let names = state.platform.headers();
    let mut outbound = request.outbound(names, pick);
    loop {
        let mut connection = match state.pool.acquire(&pick.id, pick.addr, need).await {
            Ok(connection) => connection,
            Err(pool::Error::Full { .. }) => return Outcome::Full,
            Err(error @ pool::Error::Connect { .. }) => {
                guard.finish(AttemptClass::Unreachable, None, 0);
                return Outcome::NotSent(error.to_string());
            }
        };
        *used = Some(connection.serial());
        // The wait for the connection has used up some of the time.
        set_deadline(outbound.headers_mut(), names, deadline);
        let Some(handover) = Handover::new(state, pick, deadline).map(Rc::new) else {
            connection.recycle(None);
            return Outcome::NotSent("a cold server, or one tried lately".to_owned());
        };
        connection.restrict(handover.clone());
        match connection.send(outbound).await {
            Ok(response) => {
                return receive(state, request, response, connection, &mut guard, deadline).await;
            }
            // The server had closed the idle connection. Nothing was sent, so another one is tried.
            Err((Some(unsent), _)) if connection.reused => outbound = unsent,
            Err((Some(_), text)) => {
                guard.finish(AttemptClass::Closed, None, 0);
                return Outcome::NotSent(text);
            }
            Err((None, text)) if handover.is_withheld() => {
                log::debug!("event=request-not-sent server={} error=\"{text}\"", pick.id);
                return Outcome::NotSent(text);
            }
            Err((None, text)) => {
                if !connection.reused {
                    connection.note_reset();
                }
                if !handover.is_written() {
                    guard.finish(AttemptClass::Closed, None, 0);
                    return Outcome::NotSent(text);
                }
                room::note_lost(state, &pick.id);
                guard.finish(AttemptClass::Reset, None, 0);
                return Outcome::Unknown(text);
            }
        }
    }
}

/// Returns how many connections to one backend server this host may open.
fn max_connections(connections: u32, hosts: u32) -> u32 {
    let share = f64::from(connections) * CONNECTION_FRACTION / f64::from(hosts.max(1));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a small positive number"
    )]
    let limit = share as u32;
    limit.max(MIN_CONNECTIONS)
}

impl CallerRequest {
    /// Returns the maximum idle time of a connection that may carry the request.
    #[must_use]
    pub const fn max_idle(&self) -> Duration {
        if self.retryable {
            RETRYABLE_MAX_IDLE
        } else {
            NON_RETRYABLE_MAX_IDLE
        }
    }

    /// Builds the HTTP request to the backend server `pick`, without its deadline.
    fn outbound(&self, names: &Headers, pick: &Pick) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        if let Ok(id) = HeaderValue::from_str(&pick.id) {
            headers.insert(names.expected_server.clone(), id);
        }
        request
    }
}

/// Sets the header that tells a backend server how much time is left, in milliseconds.
fn set_deadline(headers: &mut HeaderMap, names: &Headers, deadline: Instant) {
    let left = deadline.saturating_duration_since(Instant::now());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(names.deadline.clone(), HeaderValue::from(left));
}

/// Validates and buffers a response, and returns its connection to the pool if it is reusable.
async fn receive(
    state: &State,
    request: &CallerRequest,
    response: http::Response<Incoming>,
    connection: Connection,
    guard: &mut InFlight<'_>,
    deadline: Instant,
) -> Outcome {
    let names = state.platform.headers();
    let (head, mut body) = response.into_parts();
    let status = head.status;
    let load = head
        .headers
        .get(&names.load)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| state.platform.parse_load(text));
    if head.headers.get(&names.request_id) != request.id.as_ref() {
        guard.finish(AttemptClass::Failed, load, 0);
        return Outcome::Unknown("answer to another request".to_owned());
    }
    if status.is_informational() || status.as_u16() > MAX_STATUS {
        guard.finish(AttemptClass::Failed, load, 0);
        return Outcome::Unknown("no final answer".to_owned());
    }
    let not_run = head.headers.contains_key(&names.not_run);
    let is_other = status == StatusCode::MISDIRECTED_REQUEST
        && head
            .headers
            .get(&names.server)
            .is_some_and(|id| id.as_bytes() != guard.id.as_bytes());
    let not_run = not_run || is_other;
    let confirmed = head.headers.contains_key(&names.receipt);
    let encoded = head.headers.contains_key(CONTENT_ENCODING);
    if !not_run && (encoded || (status.is_success() && !confirmed)) {
        guard.finish(AttemptClass::Failed, load, 0);
        return Outcome::Unknown("answer without its receipt".to_owned());
    }
    let reuse = connection_reuse(&head.headers);
    let declared_length = head.headers.get(CONTENT_LENGTH).cloned();
    let memory = Reservation::new(Arc::clone(&state.body_memory));
    let content = match buffer_body(&connection, &mut body, memory).await {
        Ok(content) => content,
        Err(text) => {
            guard.finish(AttemptClass::Failed, load, 0);
            return Outcome::Unknown(format!("answer broke off: {text}"));
        }
    };
    if not_run {
        if status == StatusCode::SERVICE_UNAVAILABLE {
            room::note_declined(state, guard.id, load);
        }
        guard.finish(AttemptClass::Shed, load, 0);
        if matches!(content, Buffered::Complete(_)) {
            reuse.recycle(connection);
        }
        return if is_other {
            Outcome::OtherServer
        } else {
            Outcome::NotRun(status)
        };
    }
    let class = if status.is_server_error() {
        AttemptClass::Failed
    } else {
        AttemptClass::Served
    };
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    let body = match content {
        Buffered::Complete(bytes) => {
            guard.finish(class, load, bytes.len());
            reuse.recycle(connection);
            full_body(bytes)
        }
        Buffered::Partial(start) => {
            guard.finish(class, load, start.iter().map(Bytes::len).sum());
            let declared = declared_length.as_ref().map(|length| {
                let text = length.to_str().unwrap_or_default();
                text.parse().unwrap_or(u64::MAX)
            });
            if let Some(length) = declared_length {
                headers.insert(CONTENT_LENGTH, length);
            }
            let limit = Limit::new(state, guard.id, guard.sent, deadline, declared);
            stream_body(start, body, connection, limit)
        }
    };
    Outcome::Response(ServerResponse {
        status,
        headers,
        body,
    })
}

/// Part of a response body that was read before it is forwarded.
enum Buffered {
    Complete(Bytes),
    Partial(SmallVec<[Bytes; 2]>),
}

/// Reads a body to its end, or until it exceeds [`MAX_BUFFERED_BYTES`] or the memory that is left.
///
/// The memory stays reserved until the bytes have been written to the caller.
async fn buffer_body(
    connection: &Connection,
    body: &mut Incoming,
    mut memory: Reservation,
) -> Result<Buffered, String> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = connection.next_frame(body).await {
        let frame = frame.map_err(|error| pool::error_chain(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let kept = first.len() + rest.len();
        let read = kept + data.len();
        // `rest` doubles its capacity when it grows.
        let capacity = if kept == 0 {
            read
        } else {
            read.next_power_of_two()
        };
        if read > MAX_BUFFERED_BYTES || !memory.grow_to(capacity) {
            let start = memory.keep_for(joined(first, rest));
            let parts = [start, data].into_iter().filter(|part| !part.is_empty());
            return Ok(Buffered::Partial(parts.collect()));
        }
        if kept == 0 {
            first = data;
            continue;
        }
        rest.reserve(capacity - rest.len());
        rest.extend_from_slice(&std::mem::take(&mut first));
        rest.extend_from_slice(&data);
    }
    Ok(Buffered::Complete(memory.keep_for(joined(first, rest))))
}

/// Returns the bytes of a body, which are all in one of the parts.
fn joined(first: Bytes, rest: BytesMut) -> Bytes {
    if rest.is_empty() {
        first
    } else {
        rest.freeze()
    }
}

/// Returns a body of the given bytes.
#[must_use]
pub fn full_body(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// Whether a connection may be reused.
enum Reuse {
    /// The server closes it.
    No,
    /// It may be idle for the timeout that the server states, if any.
    Within(Option<Duration>),
}

impl Reuse {
    fn recycle(self, connection: Connection) {
        if let Self::Within(time) = self {
            connection.recycle(time);
        }
    }
}

/// Returns whether the response headers allow the connection to be reused.
fn connection_reuse(headers: &HeaderMap) -> Reuse {
    let closes = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return Reuse::No;
    }
    let timeout = headers.get("keep-alive").and_then(|value| {
        let text = value.to_str().ok()?;
        let seconds = text.split(',').find_map(|part| {
            let (name, value) = part.trim().split_once('=')?;
            (name == "timeout").then(|| value.parse().ok()).flatten()
        })?;
        Some(Duration::from_secs(seconds))
    });
    Reuse::Within(timeout)
}

/// Hop-by-hop headers, apart from those that `Connection` names.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "upgrade",
];

/// Removes hop-by-hop headers, and those about the body's length, which are written again on
/// forwarding.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}
