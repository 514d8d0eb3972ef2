//! Admin endpoint for operators: health, metrics, timeline events, state queries and shutdown.

use std::time::Duration;

use http::{Method, StatusCode};
use rustix::process::{Signal, getpid, kill_process};
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::backend::header_value;
use crate::connections::ConnectionRef;
use crate::control::{Command, Query};
use crate::duty::{Duty, Work};
use crate::server::{self, Handler, Limits};
use crate::shared::Shared;

/// Maximum number of header fields of a request.
const MAX_HEADERS: usize = 64;
/// Maximum number of open connections to the admin endpoint.
const MAX_CONNECTIONS: usize = 256;
/// Maximum number of events returned by one call.
const MAX_EVENTS: usize = 5_000;
/// Maximum time to wait for events, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// Interval at which a waiting call checks for new events.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

inventory::submit!(Duty {
    name: "operators",
    threads: 1,
    start
});

fn start(shared: Shared) -> Work {
    Box::pin(async move {
        let addr = shared.settings.admin_addr;
        let limits = Limits {
            headers: MAX_HEADERS,
            connections: MAX_CONNECTIONS,
            idle: None,
        };
        let admin = Admin {
            shared: shared.clone(),
        };
        server::serve(&shared, addr, limits, admin).await
    })
}

/// Handler of requests to the admin endpoint.
#[derive(Clone)]
struct Admin {
    shared: Shared,
}

impl Handler for Admin {
    async fn handle(&self, request: Request, _: ConnectionRef) -> Response {
        let uri = request.uri().clone();
        match (request.method(), uri.path()) {
            (&Method::GET, "/healthz") => text_response(StatusCode::OK, "alive\n"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/events") => json_response(&self.events(uri.query()).await),
            (&Method::GET, "/shards") => self.query(Query::Shards).await,
            (&Method::GET, "/status") => self.query(Query::Status).await,
            (&Method::GET, "/explain") => self.explain(uri.query()).await,
            (&Method::POST, "/drain") => drain(),
            _ => text_response(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }
}

impl Admin {
    fn ready(&self) -> Response {
        let ready = self.shared.view.borrow().ready && !self.shared.drain.is_cancelled();
        if ready {
            return text_response(StatusCode::OK, "ready\n");
        }
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    fn metrics(&self) -> Response {
        let mut response = Response::new(Body::from(self.shared.metrics.text()));
        let kind = header_value("text/plain; version=0.0.4");
        response.headers_mut().insert("content-type", kind);
        response
    }

    async fn explain(&self, query: Option<&str>) -> Response {
        let (Some(service), Some(key)) = (query_field(query, "service"), query_field(query, "key"))
        else {
            return text_response(StatusCode::BAD_REQUEST, "give service=NAME and key=KEY\n");
        };
        self.query(Query::Explain { service, key }).await
    }

    async fn query(&self, query: Query) -> Response {
        let (response, receiver) = oneshot::channel();
        let sent = self
            .shared
            .control
            .send(Command::Query { query, response })
            .await;
        match (sent, receiver.await) {
            (Ok(()), Ok(value)) => json_response(&value),
            _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "the process is stopping\n"),
        }
    }

    async fn events(&self, query: Option<&str>) -> Value {
        let number = |name| query_field(query, name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
        let until = Instant::now() + wait;
        loop {
            let (events, next) = {
                let journal = self.shared.journal.lock();
                let journal = journal.unwrap_or_else(std::sync::PoisonError::into_inner);
                journal.after(after, MAX_EVENTS)
            };
            if !events.is_empty() || Instant::now() >= until {
                return json!({ "host": self.shared.me.host, "next": next, "events": events });
            }
            sleep(EVENT_POLL_INTERVAL).await;
        }
    }
}

/// Returns the percent-decoded value of a query parameter.
fn query_field(query: Option<&str>, name: &str) -> Option<String> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(field, _)| *field == name)
        .map(|(_, value)| percent_decode(value))
}

fn text_response(status: StatusCode, text: &'static str) -> Response {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}

fn json_response(value: &Value) -> Response {
    let mut response = Response::new(Body::from(value.to_string()));
    let kind = crate::backend::header_value("application/json");
    response.headers_mut().insert("content-type", kind);
    response
}

/// Starts the shutdown by sending TERM to this process.
fn drain() -> Response {
    if let Err(error) = kill_process(getpid(), Signal::TERM) {
        log::error!("event=drain-failed step=signal error=\"{error}\"");
    }
    text_response(StatusCode::ACCEPTED, "draining\n")
}

/// Decodes `%XX` escapes; an invalid escape is kept unchanged.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let escape = tail
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let decoded = escape.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        if let (b'%', Some(byte)) = (first, decoded) {
            bytes.push(byte);
            rest = &tail[2..];
        } else {
            bytes.push(*first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
