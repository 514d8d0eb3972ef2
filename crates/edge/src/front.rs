//! Requests of callers, from the first byte to the last.

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
use crate::relay::{self, Answer, Body, Order, Outcome};
use crate::socket::Socket;
use crate::state::State;

/// Deadline of a request that names none.
const DEADLINE: Duration = Duration::from_secs(30);
/// Part of a caller's time for which its request waits for the holder of its key.
const KEY_WAIT_PART: f64 = 0.4;
/// Pause before a backend server that does not hold a key is asked again, unless news come first.
const KEY_PAUSE: Duration = Duration::from_millis(60);
/// Time after which a caller may come back whose request found no backend server.
const COME_BACK: Duration = Duration::from_millis(250);
/// Sends of one request, those that ran nothing among them.
const MAX_SENDS: u32 = 4;
/// Waits of one request for a connection, each of the time that the relay grants.
const MAX_WAITS: u32 = 3;
/// Part of the time left below which nothing more is sent.
const LEAST_TIME: Duration = Duration::from_millis(15);

/// Takes connections of callers until the process drains.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        let stream = tokio::select! { () = state.drain.cancelled() => return, accepted = listener.accept() => accepted, };
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

/// Counts a connection while it is open.
struct Open(Rc<State>);

impl Open {
    fn new(state: Rc<State>) -> Self {
        state.connections.set(state.connections.get() + 1);
        Self(state)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let open = self.0.connections.get();
        self.0.connections.set(open.saturating_sub(1));
    }
}

async fn connection(state: Rc<State>, stream: TcpStream) {
    let _open = Open::new(Rc::clone(&state));
    pool::set_caller_options(&stream);
    let limits = state.catalog().limits;
    let socket = Socket::new(stream);
    let service = service_fn(|request| {
        let (state, socket) = (Rc::clone(&state), socket.clone());
        async move {
            tokio::select! { biased; () = socket.closed() => Err("the caller left"), response = handle(&state, request) => Ok(response), }
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_header_size(limits.header_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut served = std::pin::pin!(served);
    let ended = tokio::select! { ended = served.as_mut() => ended, () = state.drain.cancelled() => { served.as_mut().graceful_shutdown(); served.await } };
    if let Err(error) = ended {
        log::debug!("event=caller-lost error=\"{}\"", pool::error_chain(&error));
    }
}

/// Final answer of the host itself.
#[derive(Clone, Copy, Debug)]
struct Own {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
}

impl Own {
    const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// A refusal that promises that the request has not run and never will.
    const fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }
}

/// Request on its way, and what happened to it so far.
struct Journey<'a> {
    state: &'a State,
    route: &'a Route,
    service: &'a str,
    order: Order,
    key: Option<u16>,
    print: Fingerprint,
    began: Instant,
    until: Instant,
    tried: Vec<String>,
    /// Sends after which the request may have run.
    unknown: u32,
    /// Backend servers on which it may have run.
    reached: HashSet<String>,
    sends: u32,
    waits: u32,
    trace: String,
}

async fn handle(state: &State, request: Request<Incoming>) -> Response<Body> {
    let began = Instant::now();
    let names = state.platform.headers();
    let id = request.headers().get(&names.request_id).cloned();
    let text = id
        .as_ref()
        .and_then(|id| id.to_str().ok())
        .unwrap_or("-")
        .to_owned();
    let mut trace = String::new();
    let result = dispatch(state, request, id.clone(), began, &mut trace).await;
    let elapsed = began.elapsed();
    let (response, outcome, reason) = match result {
        Ok(answer) => (pass_on(answer), "answered", "-"),
        Err(own) => (own_answer(&own, id, names), own.outcome(), own.reason),
    };
    log::info!(
        "event=request id={text} outcome={outcome} status={} reason={reason} elapsed_ms={}{trace}",
        response.status().as_u16(),
        elapsed.as_millis()
    );
    state.metrics.count_request(outcome, elapsed.as_secs_f64());
    response
}

impl Own {
    fn outcome(&self) -> &'static str {
        match self.status {
            StatusCode::SERVICE_UNAVAILABLE => "not-run",
            status if status.is_client_error() => "refused",
            _ => "unknown",
        }
    }
}

fn pass_on(answer: Answer) -> Response<Body> {
    let mut response = Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

fn own_answer(
    own: &Own,
    id: Option<HeaderValue>,
    names: &crate::platform::Headers,
) -> Response<Body> {
    let text = Bytes::from_static(own.reason.as_bytes());
    let mut response = Response::new(relay::whole(text));
    *response.status_mut() = own.status;
    let headers = response.headers_mut();
    if let Some(id) = id {
        headers.insert(names.request_id.clone(), id);
    }
    if let Some(after) = own.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Finds the route of a request, reads it whole and sends it on its way.
async fn dispatch(
    state: &State,
    request: Request<Incoming>,
    id: Option<HeaderValue>,
    began: Instant,
    trace: &mut String,
) -> Result<Answer, Own> {
    if state.catalog_revision() == 0 {
        return Err(Own::not_run("no catalog yet", COME_BACK));
    }
    let entry = find_route(state, &request)?;
    let names = state.platform.headers();
    let (head, body) = request.into_parts();
    let wait = header_number(&head.headers, &names.deadline).map(Duration::from_millis);
    let wait = wait.unwrap_or(DEADLINE).min(entry.route.timeout);
    let until = began + wait;
    let most = usize::try_from(state.catalog().limits.body_bytes).unwrap_or(usize::MAX);
    let body = tokio::time::timeout_at(until, Limited::new(body, most).collect())
        .await
        .map_err(|_| Own::new(StatusCode::REQUEST_TIMEOUT, "body too slow"))?
        .map_err(|error| {
            if error.downcast_ref::<LengthLimitError>().is_some() {
                Own::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
            } else {
                Own::new(StatusCode::BAD_REQUEST, "body broke off")
            }
        })?
        .to_bytes();
    let key = header_number(&head.headers, &names.key).and_then(|key| u16::try_from(key).ok());
    let mut headers = head.headers;
    relay::strip(&mut headers);
    let print = print(&head.method, &head.uri, key, &body);
    let service = entry.next_service();
    let mut journey = Journey {
        state,
        route: &entry.route,
        service,
        key,
        print,
        began,
        until,
        tried: Vec::new(),
        unknown: 0,
        reached: HashSet::new(),
        sends: 0,
        waits: 0,
        trace: format!(
            " route={} service={service} kind={:?} key={} catalog={}",
            entry.route.name,
            entry.route.kind,
            key.map_or_else(|| "-".to_owned(), |key| key.to_string()),
            state.catalog_revision()
        ),
        order: Order {
            method: head.method,
            uri: head.uri,
            headers,
            body,
            id,
            repeatable: entry.route.kind.is_retryable(),
        },
    };
    let result = match tokio::time::timeout_at(until, journey.run()).await {
        Ok(result) => result,
        Err(_) if journey.sends == 0 => Err(Own::not_run("no time left", COME_BACK)),
        Err(_) => Err(Own::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time")),
    };
    std::mem::swap(trace, &mut journey.trace);
    result
}

fn find_route(state: &State, request: &Request<Incoming>) -> Result<Rc<table::Entry>, Own> {
    let host = request
        .headers()
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let found = state.table().find(host, request.uri().path());
    found.ok_or(Own::new(StatusCode::NOT_FOUND, "no such route"))
}

fn header_number(headers: &HeaderMap, name: &http::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

fn print(method: &http::Method, uri: &http::Uri, key: Option<u16>, body: &Bytes) -> Fingerprint {
    let mut hasher = Xxh3::new();
    method.as_str().hash(&mut hasher);
    uri.path().hash(&mut hasher);
    key.hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}

/// Adds to what the log will tell of a request.
fn append(trace: &mut String, text: std::fmt::Arguments<'_>) {
    if let Err(error) = trace.write_fmt(text) {
        log::debug!("event=trace-lost error=\"{error}\"");
    }
}

/// Next step of a request after one send.
enum Next {
    Done(Answer),
    Fail(Own),
    Again,
}

impl Journey<'_> {
    async fn run(&mut self) -> Result<Answer, Own> {
        let state = self.state;
        if state
            .poison
            .borrow()
            .is_quarantined(self.print, state.now())
        {
            return Err(Own::not_run("it crashed backend servers", COME_BACK));
        }
        let connections = self.connections();
        let keyed = self.key.filter(|_| self.is_keyed());
        if let Some(key) = keyed {
            state.count_key(self.service, key);
        }
        state.with_budget(self.service, |budget| budget.record_request(state.now()));
        loop {
            let pick = match keyed {
                Some(key) => self.holder(key).await?,
                None => self.choose()?,
            };
            self.sends += 1;
            let sent = Instant::now();
            let outcome = relay::send(state, &self.order, &pick, connections, self.until).await;
            state.metrics.count_send(outcome.name());
            self.note(&pick, &outcome, sent);
            match self.judge(&pick, outcome, keyed).await {
                Next::Done(answer) => return Ok(answer),
                Next::Fail(own) => return Err(own),
                Next::Again => {}
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

    fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    fn note(&mut self, pick: &Pick, outcome: &Outcome, sent: Instant) {
        let detail = match outcome {
            Outcome::Answer(answer) => answer.status.as_u16().to_string(),
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

    /// Chooses among all backend servers of the service.
    fn choose(&self) -> Result<Pick, Own> {
        let state = self.state;
        let fleet = state.fleet.borrow();
        let idle = self.order.idle();
        let open = |id: &str| state.pool.has_idle(id, idle);
        let picked = fleet.pick(&self.ask(), &open, state.now());
        picked.map_err(|refusal| match refusal {
            Refusal::NoServer => self.give_up("no backend server", COME_BACK),
            Refusal::Overloaded(after) => self.give_up("all backend servers are full", after),
        })
    }

    fn ask(&self) -> Criteria<'_> {
        Criteria {
            service: self.service,
            tried: &self.tried,
            remaining: self.left(),
            objective: self.route.objective.saturating_sub(self.began.elapsed()),
            priority: self.route.priority,
            large_response: self.route.kind == Kind::Download,
            random: rand::random(),
        }
    }

    /// Waits until the holder of a key can be sent to.
    async fn holder(&mut self, key: u16) -> Result<Pick, Own> {
        let state = self.state;
        let until = Instant::now() + self.left().mul_f64(KEY_WAIT_PART);
        loop {
            let changed = state.keys_changed.notified();
            let (pick, version, age) = self.find_holder(key);
            if let Some(pick) = pick {
                append(
                    &mut self.trace,
                    format_args!(" keys={}.{} keys_age_ms={age}", version.0, version.1),
                );
                let fleet = state.fleet.borrow();
                let full = fleet.retry_after(&pick.id, &self.ask(), state.now());
                return match full {
                    Some(after) if self.sends == 0 => {
                        Err(self.give_up("the key's backend server is full", after))
                    }
                    _ => Ok(pick),
                };
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                append(
                    &mut self.trace,
                    format_args!(" keys={}.{} keys_age_ms={age}", version.0, version.1),
                );
                return Err(self.give_up("nobody holds the key", COME_BACK));
            }
        }
    }

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
            let takes = same && server.accepts_keyed(state.bounds.get().drain, now);
            takes.then(|| server.pick())
        });
        (pick, version, age)
    }

    /// Refuses truthfully: as not run if nothing can have run, as unknown otherwise.
    fn give_up(&self, reason: &'static str, after: Duration) -> Own {
        if self.unknown > 0 {
            return Own::new(StatusCode::BAD_GATEWAY, reason);
        }
        let after = after.min(self.left() / 3);
        Own::not_run(reason, after)
    }

    /// Decides what follows a send.
    async fn judge(&mut self, pick: &Pick, outcome: Outcome, key: Option<u16>) -> Next {
        match outcome {
            Outcome::Answer(answer) => self.judge_answer(pick, answer),
            Outcome::Full => {
                self.sends -= 1;
                self.waits += 1;
                if self.waits < MAX_WAITS {
                    Next::Again
                } else {
                    Next::Fail(self.give_up("all connections are in use", COME_BACK))
                }
            }
            Outcome::NotSent(_) if self.sends < MAX_SENDS => {
                self.pause(key).await;
                Next::Again
            }
            Outcome::NotSent(_) => {
                Next::Fail(self.give_up("backend server unreachable", COME_BACK))
            }
            Outcome::NotRun(_) => {
                if !self.may_repeat() {
                    return Next::Fail(self.give_up("backend server refused", COME_BACK));
                }
                self.pause(key).await;
                Next::Again
            }
            Outcome::Unknown(_) => {
                let state = self.state;
                let now = state.now();
                state.poison.borrow_mut().suspect(self.print, &pick.id, now);
                self.unknown += 1; // What bounds the attempts is the number of backend servers, and a key has one.
                self.reached.insert(pick.id.clone());
                let again = self.order.repeatable
                    && self.reached.len() < self.attempts()
                    && self.may_repeat();
                if again {
                    self.pause(key).await;
                    Next::Again
                } else {
                    let own = Own::new(StatusCode::BAD_GATEWAY, "answer lost");
                    Next::Fail(own)
                }
            }
        }
    }

    /// Passes an answer on, unless another backend server may do better.
    fn judge_answer(&mut self, pick: &Pick, answer: Answer) -> Next {
        if answer.status.is_success() {
            self.state.poison.borrow_mut().clear(self.print);
        }
        if !answer.status.is_server_error() || !self.order.repeatable || self.key.is_some() {
            return Next::Done(answer);
        }
        self.reached.insert(pick.id.clone());
        if self.reached.len() >= self.attempts() || !self.may_repeat() {
            return Next::Done(answer);
        }
        self.unknown += 1;
        Next::Again
    }

    /// Takes a repeat out of the budget if there is time for it.
    fn may_repeat(&self) -> bool {
        let state = self.state;
        self.sends < MAX_SENDS
            && self.left() > LEAST_TIME
            && state.with_budget(self.service, |budget| {
                budget.try_retry(state.now(), state.host_count.get())
            })
    }

    /// Waits for news of a key's holder, for a short while.
    async fn pause(&self, key: Option<u16>) {
        if key.is_some() {
            let news = self.state.keys_changed.notified(); // Either way the holder is looked up anew.
            let _ = tokio::time::timeout(KEY_PAUSE, news).await;
        }
    }
}
