//! HTTP server for callers: routes each request and retries it within its limits.

use std::collections::HashSet;
use std::fmt::Write;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tarragon_dispatch::catalog::{Kind, Route};
use tarragon_dispatch::fleet::{Criteria, Pick, Refusal};
use tarragon_dispatch::poison::Fingerprint;
use tarragon_dispatch::table;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::pool;
use crate::relay::{self, Body, CallerRequest, Outcome, ServerResponse};
use crate::socket::Socket;
use crate::state::State;

/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Fraction of the remaining time for which a request waits for a holder of its key.
const KEY_WAIT_FRACTION: f64 = 0.4;
/// Pause before a keyed request is retried, cut short when a key map or a backend server changes.
const KEY_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Default `Retry-After` of a request that was not run.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum number of sends of one request, including those that did not run it.
const MAX_SENDS: u32 = 4;
/// Maximum number of waits of one request for a connection; the relay limits the time of each.
const MAX_CONNECTION_WAITS: u32 = 3;
/// Remaining time below which a request is not retried.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);

/// Accepts caller connections until the process drains.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        let stream = tokio::select! {
            () = state.drain.cancelled() => return,
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
    let limits = state.catalog().limits;
    let socket = Socket::new(stream);
    let service = service_fn(|request| {
        let (state, socket) = (Rc::clone(&state), socket.clone());
        async move {
            tokio::select! {
                biased;
                () = socket.closed() => Err("the caller disconnected"),
                response = handle(&state, request) => Ok(response),
            }
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_header_size(limits.header_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut served = std::pin::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = state.drain.cancelled() => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!(
            "event=caller-disconnected error=\"{}\"",
            pool::error_chain(&error)
        );
    }
}

/// Failure that the router reports itself, without a response to forward.
#[derive(Clone, Copy, Debug)]
struct Failure {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
}

impl Failure {
    const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Returns a refusal which guarantees that the request has not run and will not run.
    const fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }
}

/// Request with its route, and the progress of its sends.
struct RoutedRequest<'a> {
    state: &'a State,
    route: &'a Route,
    service: &'a str,
    request: CallerRequest,
    key: Option<u16>,
    fingerprint: Fingerprint,
    started: Instant,
    deadline: Instant,
    tried: Vec<String>,
    /// Number of sends after which the request may have run.
    unknown_sends: u32,
    /// Backend servers on which the request may have run.
    may_have_run_on: HashSet<String>,
    sends: u32,
    connection_waits: u32,
    /// Fields for the log line of the request.
    trace: String,
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
            failure.reason,
        ),
    };
    log::info!(
        "event=request id={text} outcome={outcome} status={} reason={reason} elapsed_ms={}{trace}",
        response.status().as_u16(),
        elapsed.as_millis()
    );
    state.metrics.count_request(outcome, elapsed.as_secs_f64());
    response
}

impl Failure {
    /// Returns the outcome for the log and the metrics.
    fn outcome(&self) -> &'static str {
        match self.status {
            StatusCode::SERVICE_UNAVAILABLE => "not-run",
            status if status.is_client_error() => "refused",
            _ => "unknown",
        }
    }
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
    let text = Bytes::from_static(failure.reason.as_bytes());
    let mut response = Response::new(relay::full_body(text));
    *response.status_mut() = failure.status;
    let headers = response.headers_mut();
    if let Some(id) = id {
        headers.insert(names.request_id.clone(), id);
    }
    if let Some(after) = failure.retry_after {
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
    let entry = find_route(state, &request)?;
    let names = state.platform.headers();
    let (head, body) = request.into_parts();
    let wait = header_number(&head.headers, &names.deadline).map(Duration::from_millis);
    let wait = wait.unwrap_or(DEFAULT_TIMEOUT).min(entry.route.timeout);
    let deadline = started + wait;
    let max_bytes = usize::try_from(state.catalog().limits.body_bytes).unwrap_or(usize::MAX);
    let body = tokio::time::timeout_at(deadline, Limited::new(body, max_bytes).collect())
        .await
        .map_err(|_| Failure::new(StatusCode::REQUEST_TIMEOUT, "body too slow"))?
        .map_err(|error| {
            if error.downcast_ref::<LengthLimitError>().is_some() {
                Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
            } else {
                Failure::new(StatusCode::BAD_REQUEST, "body broke off")
            }
        })?
        .to_bytes();
    let key = header_number(&head.headers, &names.key).and_then(|key| u16::try_from(key).ok());
    let mut headers = head.headers;
    relay::strip_hop_by_hop(&mut headers);
    let fingerprint = fingerprint(&head.method, &head.uri, key, &body);
    let service = entry.next_service();
    let mut routed = RoutedRequest {
        state,
        route: &entry.route,
        service,
        key,
        fingerprint,
        started,
        deadline,
        tried: Vec::new(),
        unknown_sends: 0,
        may_have_run_on: HashSet::new(),
        sends: 0,
        connection_waits: 0,
        trace: format!(
            " route={} service={service} kind={:?} key={} catalog={}",
            entry.route.name,
            entry.route.kind,
            key.map_or_else(|| "-".to_owned(), |key| key.to_string()),
            state.catalog_revision()
        ),
        request: CallerRequest {
            method: head.method,
            uri: head.uri,
            headers,
            body,
            id,
            retryable: entry.route.kind.is_retryable(),
        },
    };
    let result = match tokio::time::timeout_at(deadline, routed.run()).await {
        Ok(result) => result,
        Err(_) if routed.sends == 0 => Err(Failure::not_run("no time left", DEFAULT_RETRY_AFTER)),
        Err(_) => Err(Failure::new(
            StatusCode::GATEWAY_TIMEOUT,
            "no answer in time",
        )),
    };
    std::mem::swap(trace, &mut routed.trace);
    result
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

/// Appends fields to the log line of a request.
fn append(trace: &mut String, text: std::fmt::Arguments<'_>) {
    if let Err(error) = trace.write_fmt(text) {
        log::debug!("event=trace-incomplete error=\"{error}\"");
    }
}

/// Next step of a request after one send.
enum Next {
    Done(ServerResponse),
    Fail(Failure),
    Retry,
}

impl RoutedRequest<'_> {
    /// Sends the request until there is a final response.
    async fn run(&mut self) -> Result<ServerResponse, Failure> {
        let state = self.state;
        if state
            .quarantine
            .borrow()
            .is_quarantined(self.fingerprint, state.now())
        {
            return Err(Failure::not_run(
                "it crashed backend servers",
                DEFAULT_RETRY_AFTER,
            ));
        }
        let connections = self.connections();
        let keyed = self.key.filter(|_| self.is_keyed());
        if let Some(key) = keyed {
            state.count_key(self.service, key);
        }
        state.with_budget(self.service, |budget| budget.record_request(state.now()));
        loop {
            let pick = match keyed {
                Some(key) => self.wait_for_holder(key).await?,
                None => self.select_server()?,
            };
            self.sends += 1;
            let sent = Instant::now();
            let outcome =
                relay::send(state, &self.request, &pick, connections, self.deadline).await;
            state.metrics.count_send(outcome.name());
            self.trace_send(&pick, &outcome, sent);
            match self.after_send(&pick, outcome, keyed).await {
                Next::Done(response) => return Ok(response),
                Next::Fail(failure) => return Err(failure),
                Next::Retry => {}
            }
            self.tried.push(pick.id);
        }
    }

    fn is_keyed(&self) -> bool {
        let catalog = self.state.catalog();
        catalog
            .service(self.service)
            .is_some_and(|service| service.keyed)
    }

    fn connections(&self) -> u32 {
        let catalog = self.state.catalog();
        catalog
            .service(self.service)
            .map_or(1, |service| service.connections)
    }

    fn attempts(&self) -> usize {
        usize::try_from(self.route.attempts).unwrap_or(usize::MAX)
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn trace_send(&mut self, pick: &Pick, outcome: &Outcome, sent: Instant) {
        let detail = match outcome {
            Outcome::Response(response) => response.status.as_u16().to_string(),
            Outcome::NotRun(status) => status.as_u16().to_string(),
            Outcome::Full => "-".to_owned(),
            Outcome::NotSent(text) | Outcome::Unknown(text) => format!("\"{text}\""),
        };
        append(
            &mut self.trace,
            format_args!(
                " send={} server={} born={} result={} detail={detail} took_ms={}",
                self.sends,
                pick.id,
                pick.start_ms,
                outcome.name(),
                sent.elapsed().as_millis()
            ),
        );
    }

    /// Selects one of the backend servers of the service.
    fn select_server(&self) -> Result<Pick, Failure> {
        let state = self.state;
        let fleet = state.fleet.borrow();
        let max_idle = self.request.max_idle();
        let has_idle = |id: &str| state.pool.has_idle(id, max_idle);
        let picked = fleet.pick(&self.criteria(), &has_idle, state.now());
        picked.map_err(|refusal| match refusal {
            Refusal::NoServer => self.failure("no backend server", DEFAULT_RETRY_AFTER),
            Refusal::Overloaded(after) => self.failure("all backend servers are full", after),
        })
    }

    fn criteria(&self) -> Criteria<'_> {
        Criteria {
            service: self.service,
            tried: &self.tried,
            remaining: self.time_left(),
            objective: self.route.objective.saturating_sub(self.started.elapsed()),
            priority: self.route.priority,
            large_response: self.route.kind == Kind::Download,
            random: rand::random(),
        }
    }

    /// Waits until the key has a holder that accepts requests.
    async fn wait_for_holder(&mut self, key: u16) -> Result<Pick, Failure> {
        let state = self.state;
        let deadline = Instant::now() + self.time_left().mul_f64(KEY_WAIT_FRACTION);
        loop {
            let changed = state.keys_changed.notified();
            let (pick, version, age) = self.find_holder(key);
            if let Some(pick) = pick {
                append(
                    &mut self.trace,
                    format_args!(" keys={}.{} keys_age_ms={age}", version.0, version.1),
                );
                let fleet = state.fleet.borrow();
                let overload = fleet.retry_after(&pick.id, &self.criteria(), state.now());
                return match overload {
                    Some(after) if self.sends == 0 => {
                        Err(self.failure("the key's backend server is full", after))
                    }
                    _ => Ok(pick),
                };
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                append(
                    &mut self.trace,
                    format_args!(" keys={}.{} keys_age_ms={age}", version.0, version.1),
                );
                return Err(self.failure("nobody holds the key", DEFAULT_RETRY_AFTER));
            }
        }
    }

    /// Returns the holder of a key if it accepts requests, the version of the key map, and the map's
    /// age in milliseconds.
    fn find_holder(&self, key: u16) -> (Option<Pick>, (u64, u64), u128) {
        let state = self.state;
        let now = state.now();
        let found = state.with_key_map(self.service, |known| {
            let range = known.map.find(key).filter(|range| range.held);
            let age = now.since(known.received_at).as_millis();
            (
                range.map(|range| range.holder.clone()),
                known.map.version,
                age,
            )
        });
        let Some((holder, version, age)) = found else {
            return (None, (0, 0), 0);
        };
        let fleet = state.fleet.borrow();
        let pick = holder.and_then(|holder| {
            let server = fleet.get(&holder.id)?;
            let same = server.entry.start_ms == holder.start_ms;
            let accepts = same && server.accepts_keyed(state.bounds.get().drain, now);
            accepts.then(|| server.pick())
        });
        (pick, version, age)
    }

    /// Returns a refusal: not run if no send can have run the request, unknown otherwise.
    fn failure(&self, reason: &'static str, after: Duration) -> Failure {
        if self.unknown_sends > 0 {
            return Failure::new(StatusCode::BAD_GATEWAY, reason);
        }
        let after = after.min(self.time_left() / 3);
        Failure::not_run(reason, after)
    }

    /// Decides the next step after a send.
    async fn after_send(&mut self, pick: &Pick, outcome: Outcome, key: Option<u16>) -> Next {
        match outcome {
            Outcome::Response(response) => self.after_response(pick, response),
            Outcome::Full => {
                self.sends -= 1;
                self.connection_waits += 1;
                if self.connection_waits < MAX_CONNECTION_WAITS {
                    Next::Retry
                } else {
                    Next::Fail(self.failure("all connections are in use", DEFAULT_RETRY_AFTER))
                }
            }
            Outcome::NotSent(_) if self.sends < MAX_SENDS => {
                self.pause_for_keys(key).await;
                Next::Retry
            }
            Outcome::NotSent(_) => {
                Next::Fail(self.failure("backend server unreachable", DEFAULT_RETRY_AFTER))
            }
            Outcome::NotRun(_) => {
                if !self.take_retry() {
                    return Next::Fail(self.failure("backend server refused", DEFAULT_RETRY_AFTER));
                }
                self.pause_for_keys(key).await;
                Next::Retry
            }
            Outcome::Unknown(_) => {
                let state = self.state;
                let now = state.now();
                state
                    .quarantine
                    .borrow_mut()
                    .suspect(self.fingerprint, &pick.id, now);
                self.unknown_sends += 1;
                // The route's attempts limit the number of distinct backend servers. A keyed
                // request has only one, so it may be sent there again.
                self.may_have_run_on.insert(pick.id.clone());
                let again = self.request.retryable
                    && self.may_have_run_on.len() < self.attempts()
                    && self.take_retry();
                if again {
                    self.pause_for_keys(key).await;
                    Next::Retry
                } else {
                    let failure = Failure::new(StatusCode::BAD_GATEWAY, "answer lost");
                    Next::Fail(failure)
                }
            }
        }
    }

    /// Accepts a response, unless it is a server error that another backend server may avoid.
    fn after_response(&mut self, pick: &Pick, response: ServerResponse) -> Next {
        if response.status.is_success() {
            self.state.quarantine.borrow_mut().clear(self.fingerprint);
        }
        if !response.status.is_server_error() || !self.request.retryable || self.key.is_some() {
            return Next::Done(response);
        }
        self.may_have_run_on.insert(pick.id.clone());
        if self.may_have_run_on.len() >= self.attempts() || !self.take_retry() {
            return Next::Done(response);
        }
        self.unknown_sends += 1;
        Next::Retry
    }

    /// Takes a retry from the budget if time and sends are left; returns whether it did.
    fn take_retry(&self) -> bool {
        let state = self.state;
        self.sends < MAX_SENDS
            && self.time_left() > MIN_TIME_LEFT
            && state.with_budget(self.service, |budget| {
                budget.try_retry(state.now(), state.host_count.get())
            })
    }

    /// Waits for up to [`KEY_RETRY_PAUSE`] for a new holder if the request has a key.
    async fn pause_for_keys(&self, key: Option<u16>) {
        if key.is_some() {
            let changed = self.state.keys_changed.notified();
            // The holder is looked up again in either case.
            let _ = tokio::time::timeout(KEY_RETRY_PAUSE, changed).await;
        }
    }
}
