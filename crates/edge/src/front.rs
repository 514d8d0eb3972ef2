//! HTTP server for callers: finds the route of each request, reads its body and responds.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::header::{CONNECTION, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tarragon_dispatch::poison::Fingerprint;
use tarragon_dispatch::table;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::relay::{self, Body, CallerRequest, ServerResponse};
use crate::routed::{self, DEFAULT_RETRY_AFTER, Failure, STOPPING};
use crate::socket::Socket;
use crate::state::State;
use crate::{body, evacuation, pool};

/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Least size of the buffers of a caller connection, in bytes. A write buffer of this size takes no
/// more frames of a response.
const BUFFER_BYTES: usize = 64 * 1024;

/// Least time without a byte taken after which a caller is disconnected. Callers wait for at most
/// this long, and a response that is ready is delivered also when late.
const MIN_STALL_TIME: Duration = DEFAULT_TIMEOUT;

/// Time without a new connection after which a stopping process accepts no more.
const LATE_ACCEPT_WAIT: Duration = Duration::from_millis(100);
/// Time for which a stopping process leaves an idle connection open, for a request on its way.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// Longest time for which a stopping process accepts connections that were opened before.
const MAX_LATE_ACCEPT_TIME: Duration = Duration::from_millis(500);

/// Accepts caller connections until the process drains.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        let stream = tokio::select! {
            () = state.drain.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match stream {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(Rc::clone(&state), stream));
            }
            Err(error) => {
                log::warn!("event=accept-failed error=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    // Closing the listener resets the connections that wait to be accepted.
    let end = Instant::now() + MAX_LATE_ACCEPT_TIME;
    while Instant::now() < end
        && let Ok(Ok((stream, _))) = tokio::time::timeout(LATE_ACCEPT_WAIT, listener.accept()).await
    {
        tokio::task::spawn_local(connection(Rc::clone(&state), stream));
    }
}

/// Counts a caller connection as open until dropped.
struct OpenGuard(Rc<State>);

impl OpenGuard {
    fn new(state: Rc<State>) -> Self {
        state.connections.set(state.connections.get() + 1);
        Self(state)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let open = self.0.connections.get();
        self.0.connections.set(open.saturating_sub(1));
    }
}

/// Serves the requests on one caller connection.
async fn connection(state: Rc<State>, stream: TcpStream) {
    let _open = OpenGuard::new(Rc::clone(&state));
    pool::set_caller_options(&stream);
    let peer = stream
        .peer_addr()
        .map_or_else(|_| "-".to_owned(), |addr| addr.to_string());
    let limits = state.catalog().limits;
    let socket = Socket::new(stream);
    let service = service_fn(|request| {
        let (state, socket) = (Rc::clone(&state), socket.clone());
        async move {
            tokio::select! {
                biased;
                () = socket.closed() => Err("the caller disconnected"),
                response = handle(&state, request) => Ok(close_if_leaving(&state, response)),
            }
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_header_size(limits.header_bytes)
        .max_buf_size(limits.header_bytes.max(BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut served = std::pin::pin!(served);
    let ended = tokio::select! {
        biased;
        ended = served.as_mut() => ended,
        () = socket.stalled(limits.idle.max(MIN_STALL_TIME)) => {
            log::warn!("event=caller-stalled peer={peer}");
            return;
        }
        () = quiet_after_drain(&state) => {
            served.as_mut().graceful_shutdown();
            if served.as_mut().now_or_never().is_some() {
                return; // It was idle.
            }
            served.await
        }
    };
    match ended {
        Ok(()) => socket.linger().await,
        Err(error) => log::debug!(
            "event=caller-disconnected error=\"{}\"",
            pool::error_chain(&error)
        ),
    }
}

/// Waits until the process drains and a request that was then on its way has arrived.
async fn quiet_after_drain(state: &State) {
    state.drain.cancelled().await;
    tokio::time::sleep(LAST_REQUEST_WAIT).await;
}

/// Asks the caller for another connection, and so another host, once the process is leaving.
fn close_if_leaving(state: &State, mut response: Response<Body>) -> Response<Body> {
    if state.leaving.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Responds to a request, and logs and counts it.
async fn handle(state: &State, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let names = state.platform.headers();
    let id = request.headers().get(&names.request_id).cloned();
    let text = id
        .as_ref()
        .and_then(|id| id.to_str().ok())
        .unwrap_or("-")
        .to_owned();
    let mut trace = String::new();
    let result = dispatch(state, request, id.clone(), started, &mut trace).await;
    let elapsed = started.elapsed();
    let (response, outcome, reason) = match result {
        Ok(response) => (forward_response(response), "answered", "-"),
        Err(failure) => (
            failure_response(&failure, id, names),
            failure.outcome(),
            failure.reason(),
        ),
    };
    log::info!(
        "event=request id={text} outcome={outcome} status={} reason={reason} elapsed_ms={}{trace}",
        response.status().as_u16(),
        elapsed.as_millis()
    );
    state.metrics.count_request(outcome, elapsed.as_secs_f64());
    if outcome != "answered" {
        state.metrics.count_refusal(reason);
    }
    response
}

fn forward_response(received: ServerResponse) -> Response<Body> {
    let mut response = Response::new(received.body);
    *response.status_mut() = received.status;
    *response.headers_mut() = received.headers;
    response
}

fn failure_response(
    failure: &Failure,
    id: Option<HeaderValue>,
    names: &crate::platform::Headers,
) -> Response<Body> {
    let text = Bytes::from_static(failure.reason().as_bytes());
    let mut response = Response::new(relay::full_body(text));
    *response.status_mut() = failure.status();
    let headers = response.headers_mut();
    if let Some(id) = id {
        headers.insert(names.request_id.clone(), id);
    }
    if let Some(after) = failure.retry_after() {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Finds the route of a request, reads its body and sends it to backend servers until the deadline.
async fn dispatch(
    state: &State,
    request: Request<Incoming>,
    id: Option<HeaderValue>,
    started: Instant,
    trace: &mut String,
) -> Result<ServerResponse, Failure> {
    if state.catalog_revision() == 0 {
        return Err(Failure::not_run("no catalog yet", DEFAULT_RETRY_AFTER));
    }
    if !evacuation::is_known(state) {
        let reason = "the evacuated zones are not known yet";
        return Err(Failure::not_run(reason, DEFAULT_RETRY_AFTER));
    }
    let entry = find_route(state, &request)?;
    let names = state.platform.headers();
    let (head, body) = request.into_parts();
    let wait = header_number(&head.headers, &names.deadline).map(Duration::from_millis);
    let wait = wait.unwrap_or(DEFAULT_TIMEOUT).min(entry.route.timeout);
    let deadline = started + wait;
    let max_bytes = usize::try_from(state.catalog().limits.body_bytes).unwrap_or(usize::MAX);
    let read = tokio::select! {
        biased;
        read = body::read(body, &state.body_memory, max_bytes, deadline) => read,
        () = state.interrupt.cancelled() => {
            return Err(Failure::not_run(STOPPING, DEFAULT_RETRY_AFTER));
        }
    };
    let (body, _reservation) = read.map_err(|error| body_failure(error, deadline))?;
    let key = header_number(&head.headers, &names.key).and_then(|key| u16::try_from(key).ok());
    let mut headers = head.headers;
    relay::strip_hop_by_hop(&mut headers);
    let fingerprint = fingerprint(&head.method, &head.uri, key, &body);
    let request = CallerRequest {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        id,
        retryable: entry.route.kind.is_retryable(),
    };
    let mut routed =
        routed::Request::new(state, &entry, request, key, fingerprint, started, deadline);
    let ended = tokio::select! {
        biased;
        ended = tokio::time::timeout_at(deadline, routed.run()) => Some(ended),
        () = state.interrupt.cancelled() => None,
    };
    let result = match ended {
        Some(Ok(result)) => result,
        Some(Err(_)) => Err(routed.timed_out()),
        None => Err(routed.interrupted()),
    };
    *trace = routed.into_trace();
    result
}

/// Returns the failure of a request whose body was not read; no backend server has seen it.
fn body_failure(error: body::Error, deadline: Instant) -> Failure {
    let left = deadline.saturating_duration_since(Instant::now());
    match error {
        body::Error::TooLarge => Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
        body::Error::NoMemory => {
            Failure::not_run("no memory for the body", DEFAULT_RETRY_AFTER.min(left / 3))
        }
        body::Error::TooSlow => Failure::new(StatusCode::REQUEST_TIMEOUT, "body too slow"),
        body::Error::Broken => Failure::new(StatusCode::BAD_REQUEST, "body broke off"),
    }
}

fn find_route(state: &State, request: &Request<Incoming>) -> Result<Rc<table::Entry>, Failure> {
    let host = request
        .headers()
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let found = state.table().find(host, request.uri().path());
    found.ok_or(Failure::new(StatusCode::NOT_FOUND, "no such route"))
}

fn header_number(headers: &HeaderMap, name: &http::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

fn fingerprint(
    method: &http::Method,
    uri: &http::Uri,
    key: Option<u16>,
    body: &Bytes,
) -> Fingerprint {
    let mut hasher = Xxh3::new();
    method.as_str().hash(&mut hasher);
    uri.path().hash(&mut hasher);
    key.hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}
