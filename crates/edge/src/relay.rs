//! One send of a request to one backend server.

use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue,
    TRANSFER_ENCODING,
};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, BodyStream, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use tarragon_dispatch::fleet::{AttemptClass, Load, Observation, Pick};
use tokio::time::Instant;

use crate::platform::Headers;
use crate::pool::{self, Connection, Requirements};
use crate::state::State;

/// Error of a body that could not be carried to its end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of an answer to a caller.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BodyError>>>;

/// Part of an answer that is held back until it is whole, so that a broken one can be replaced.
const HELD_BYTES: usize = 1024 * 1024;
/// Time of idleness after which a connection may be forgotten by its peer without notice.
const UNSURE_IDLE: Duration = Duration::from_millis(1_500);
/// Idle time that matters to requests which may run again: none.
const ANY_IDLE: Duration = Duration::from_mins(1);
/// Time for which a request waits for a connection before its backend server is chosen anew.
const CONNECTION_WAIT: Duration = Duration::from_millis(150);
/// Connections to one backend server that each host may open, however many hosts there are: they
/// are rarely open at once.
const LEAST_CONNECTIONS: u32 = 2;
/// Part of a backend server's connections that all hosts together open.
const CONNECTION_PART: f64 = 0.9;

/// Request as its caller sent it, with its body whole.
pub struct Order {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Identifier, as the answer must bear it.
    pub id: Option<HeaderValue>,
    /// Whether it may run again.
    pub repeatable: bool,
}

/// Answer of a backend server that can be passed on.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers, without those of one connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
}

/// How one send ended.
pub enum Outcome {
    /// The backend server answered.
    Answer(Answer),
    /// Nothing was sent.
    NotSent(String),
    /// Nothing was sent: all connections that this host may open stayed in use.
    Full,
    /// The backend server says that it did not run the request.
    NotRun(StatusCode),
    /// The request was sent and may have run; its answer cannot be used.
    Unknown(String),
}

impl Outcome {
    /// Names the outcome for logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::NotSent(_) => "not-sent",
            Self::Full => "full",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Keeps the count of requests at a server right, also when the caller leaves.
struct Flight<'a> {
    state: &'a State,
    id: &'a str,
    sent: Instant,
    seen: Option<Observation>,
}

impl Flight<'_> {
    fn end(&mut self, class: AttemptClass, load: Option<Load>, bytes: usize) {
        self.seen = Some(Observation {
            elapsed: self.sent.elapsed(),
            load,
            bytes,
            class,
        });
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        let seen = self.seen.unwrap_or(Observation {
            elapsed: self.sent.elapsed(),
            load: None,
            bytes: 0,
            class: AttemptClass::Abandoned,
        });
        let now = self.state.now();
        self.state
            .fleet
            .borrow_mut()
            .record_ended(self.id, seen, now);
    }
}

/// Sends a request to the backend server `pick` and waits for its answer.
///
/// The caller of this function bounds the time; `until` tells the backend server.
pub async fn send(
    state: &State,
    order: &Order,
    pick: &Pick,
    connections: u32,
    until: Instant,
) -> Outcome {
    state.fleet.borrow_mut().record_sent(&pick.id);
    let mut flight = Flight {
        state,
        id: &pick.id,
        sent: Instant::now(),
        seen: None,
    };
    let need = Requirements {
        max_connections: limit(connections, state.host_count.get()),
        max_idle: order.idle(),
        deadline: until.min(Instant::now() + CONNECTION_WAIT),
    };
    let mut request = order.request(state.platform.headers(), pick, until);
    loop {
        let mut lease = match state.pool.acquire(&pick.id, pick.addr, need).await {
            Ok(lease) => lease,
            Err(pool::Error::Full { .. }) => return Outcome::Full,
            Err(error @ pool::Error::Connect { .. }) => {
                flight.end(AttemptClass::Unreachable, None, 0);
                return Outcome::NotSent(error.to_string());
            }
        };
        match lease.send(request).await {
            Ok(response) => return receive(state, order, response, lease, &mut flight).await, // A kept connection that its peer had closed: nothing went out, so another one is due.
            Err((Some(back), _)) if lease.reused => request = back,
            Err((Some(_), text)) => {
                flight.end(AttemptClass::Unreachable, None, 0);
                return Outcome::NotSent(text);
            }
            Err((None, text)) => {
                if !lease.reused {
                    lease.note_reset();
                }
                flight.end(AttemptClass::Failed, None, 0);
                return Outcome::Unknown(text);
            }
        }
    }
}

/// Returns how many connections to one backend server this host may open.
fn limit(connections: u32, hosts: u32) -> u32 {
    let part = f64::from(connections) * CONNECTION_PART / f64::from(hosts.max(1));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a small positive number"
    )]
    let limit = part as u32;
    limit.max(LEAST_CONNECTIONS)
}

impl Order {
    /// Returns how long a connection may have been idle to carry the request.
    #[must_use]
    pub const fn idle(&self) -> Duration {
        if self.repeatable {
            ANY_IDLE
        } else {
            UNSURE_IDLE
        }
    }

    fn request(&self, names: &Headers, pick: &Pick, until: Instant) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let left = until.saturating_duration_since(Instant::now()).as_millis();
        headers.insert(names.deadline.clone(), number(left));
        if let Ok(id) = HeaderValue::from_str(&pick.id) {
            headers.insert(names.expected_server.clone(), id);
        }
        request
    }
}

fn number(value: u128) -> HeaderValue {
    HeaderValue::from(u64::try_from(value).unwrap_or(u64::MAX))
}

async fn receive(
    state: &State,
    order: &Order,
    response: http::Response<Incoming>,
    lease: Connection,
    flight: &mut Flight<'_>,
) -> Outcome {
    let names = state.platform.headers();
    let (head, mut body) = response.into_parts();
    let status = head.status;
    let load = head
        .headers
        .get(&names.load)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| state.platform.parse_load(text));
    if head.headers.get(&names.request_id) != order.id.as_ref() && order.id.is_some() {
        flight.end(AttemptClass::Failed, load, 0);
        return Outcome::Unknown("answer to another request".to_owned());
    }
    let not_run = head.headers.contains_key(&names.not_run);
    let stamped = head.headers.contains_key(&names.receipt);
    let encoded = head.headers.contains_key(CONTENT_ENCODING);
    if !not_run && (encoded || (status.is_success() && !stamped)) {
        flight.end(AttemptClass::Failed, load, 0);
        return Outcome::Unknown("answer without its receipt".to_owned());
    }
    let keep = keep_alive(&head.headers);
    let content = match hold(&mut body).await {
        Ok(content) => content,
        Err(text) => {
            flight.end(AttemptClass::Failed, load, 0);
            return Outcome::Unknown(format!("answer broke off: {text}"));
        }
    };
    if not_run {
        flight.end(AttemptClass::Shed, load, 0);
        if matches!(content, Held::Whole(_)) {
            keep.recycle(lease);
        }
        return Outcome::NotRun(status);
    }
    let class = if status.is_server_error() {
        AttemptClass::Failed
    } else {
        AttemptClass::Served
    };
    let mut headers = head.headers;
    strip(&mut headers);
    let body = match content {
        Held::Whole(bytes) => {
            flight.end(class, load, bytes.len());
            keep.recycle(lease);
            whole(bytes)
        }
        Held::Start(start) => {
            flight.end(class, load, start.len());
            stream(start, body, lease)
        }
    };
    Outcome::Answer(Answer {
        status,
        headers,
        body,
    })
}

/// What was read of an answer's body before it is passed on.
enum Held {
    Whole(Bytes),
    Start(Bytes),
}

/// Reads a body to its end, or until it is too large to be held back.
async fn hold(body: &mut Incoming) -> Result<Held, String> {
    let mut first: Option<Bytes> = None;
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| pool::error_chain(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match &first {
            None => first = Some(data),
            Some(start) => {
                if rest.is_empty() {
                    rest.extend_from_slice(start);
                }
                rest.extend_from_slice(&data);
            }
        }
        if rest.len() > HELD_BYTES {
            return Ok(Held::Start(rest.freeze()));
        }
    }
    if rest.is_empty() {
        return Ok(Held::Whole(first.unwrap_or_default()));
    }
    Ok(Held::Whole(rest.freeze()))
}

/// Makes a body of bytes that are all there.
#[must_use]
pub fn whole(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// Passes on the rest of a large body while it arrives.
fn stream(start: Bytes, body: Incoming, lease: Connection) -> Body {
    let first = futures::stream::once(async move { Ok(Frame::data(start)) }); // The lease lives as long as the body: its connection carries nothing else.
    let rest = BodyStream::new(body).map(move |frame| {
        let _held = &lease;
        frame.map_err(|error| Box::new(error) as BodyError)
    });
    Box::pin(StreamBody::new(first.chain(rest)))
}

/// Whether a connection may be used again.
enum Keep {
    /// Its peer closes it.
    No,
    /// It may be idle for as long as its peer says, if it says so.
    Idle(Option<Duration>),
}

impl Keep {
    fn recycle(self, lease: Connection) {
        if let Self::Idle(time) = self {
            lease.recycle(time);
        }
    }
}

/// Reads whether a connection may be used again.
fn keep_alive(headers: &HeaderMap) -> Keep {
    let closes = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return Keep::No;
    }
    let timeout = headers.get("keep-alive").and_then(|value| {
        let text = value.to_str().ok()?;
        let seconds = text.split(',').find_map(|part| {
            let (name, value) = part.trim().split_once('=')?;
            (name == "timeout").then(|| value.parse().ok()).flatten()
        })?;
        Some(Duration::from_secs(seconds))
    });
    Keep::Idle(timeout)
}

/// Headers that concern one connection only, beside those that `Connection` names.
const HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "upgrade",
];

/// Removes what concerns one connection, and the length, which is written anew.
pub fn strip(headers: &mut HeaderMap) {
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
    for name in HOP {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}
