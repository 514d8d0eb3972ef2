//! HTTP interface of the object API.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Method, StatusCode, Uri};
use serde_json::{Value, json};
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::fault::{Faults, Request as FaultRequest};
use super::log::{Entry, Stored};
use super::objects::{Objects, Refusal};
use super::options::Options;
use super::rate::Bucket;
use super::stats::{Call, Stats};
use crate::standin::message;

/// Maximum size of an object's value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(5);
/// Interval at which a waiting watch checks the active faults.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The store; its clones share one state.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

struct State {
    objects: Objects,
    faults: Faults,
    stats: Stats,
    writes: Bucket,
    reads: Bucket,
    /// Channel that wakes the watches of each kind.
    changed: HashMap<String, watch::Sender<()>>,
}

/// Resource that a request path names.
enum Target<'a> {
    Object(&'a str, &'a str),
    Kind(&'a str),
    Watch(&'a str),
}

impl Store {
    /// Creates an empty store.
    pub fn new(options: &Options) -> Self {
        let state = State {
            objects: Objects::new(options.keep),
            faults: Faults::default(),
            stats: Stats::default(),
            writes: Bucket::new(options.writes_per_s),
            reads: Bucket::new(options.reads_per_s),
            changed: HashMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Responds to one request.
    pub async fn respond(self, request: Request) -> Response {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/_stats") => {
                let counts = self.state().stats.counts();
                message::json(StatusCode::OK, &counts)
            }
            (&Method::POST, "/_fault") => self.inject_fault(body).await,
            _ => self.call(&head.method, &head.uri, body).await,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn inject_fault(&self, body: Body) -> Response {
        match message::read_json::<FaultRequest>(body).await {
            Ok(request) => {
                log::info!("event=fault request=\"{request:?}\"");
                self.state().faults.apply(&request);
                message::empty(StatusCode::OK)
            }
            Err(status) => message::empty(status),
        }
    }

    async fn call(&self, method: &Method, uri: &Uri, body: Body) -> Response {
        let Some(target) = parse_target(uri.path()) else {
            return message::empty(StatusCode::NOT_FOUND);
        };
        let Some(call) = parse_call(method, &target) else {
            return message::empty(StatusCode::METHOD_NOT_ALLOWED);
        };
        if let Some(refusal) = self.admit(call) {
            return refusal;
        }
        match target {
            Target::Object(kind, name) if call.is_write() => {
                self.write(call, kind, name, uri, body).await
            }
            Target::Object(kind, name) => {
                self.delay().await;
                self.get(kind, name)
            }
            Target::Kind(kind) => {
                self.delay().await;
                self.list(kind)
            }
            Target::Watch(kind) => {
                self.delay().await;
                self.watch(kind, uri).await
            }
        }
    }

    async fn delay(&self) {
        let delay = self.state().faults.delay();
        tokio::time::sleep(delay.unwrap_or_default()).await;
    }

    /// Counts a call, and returns the refusal when the store is down or the rate limit is exceeded.
    fn admit(&self, call: Call) -> Option<Response> {
        let mut state = self.state();
        state.stats.count(call);
        if let Some(unavailable) = state.unavailable() {
            return Some(unavailable);
        }
        let bucket = if call.is_write() {
            &mut state.writes
        } else {
            &mut state.reads
        };
        if bucket.take() {
            return None;
        }
        state.stats.counts_mut().throttled += 1;
        Some(message::empty(StatusCode::TOO_MANY_REQUESTS))
    }

    fn get(&self, kind: &str, name: &str) -> Response {
        let state = self.state();
        match state.objects.get(kind, name, state.visible_revision()) {
            Some(stored) => message::json(StatusCode::OK, &object_json(kind, name, &stored)),
            None => message::empty(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, kind: &str) -> Response {
        let (revision, names) = {
            let state = self.state();
            let revision = state.visible_revision();
            (revision, state.objects.list(kind, revision))
        };
        let items: Vec<Value> = names
            .iter()
            .map(|(name, stored)| object_json(kind, name, stored))
            .collect();
        message::json(
            StatusCode::OK,
            &json!({ "revision": revision, "items": items }),
        )
    }

    /// Executes a write in a task of its own, so that it takes effect even when the caller
    /// disconnects.
    async fn write(&self, call: Call, kind: &str, name: &str, uri: &Uri, body: Body) -> Response {
        let Some(expected) = message::query_number(uri, "if_version") else {
            return message::empty(StatusCode::BAD_REQUEST);
        };
        let body = match message::read(body, MAX_VALUE_BYTES).await {
            Ok(body) => body,
            Err(status) => return message::empty(status),
        };
        let store = self.clone();
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let write = tokio::spawn(async move {
            store.delay().await;
            match call {
                Call::Delete => store.delete(&kind, &name, expected),
                _ => store.put(&kind, &name, expected, &body),
            }
        });
        write
            .await
            .unwrap_or_else(|_| message::empty(StatusCode::INTERNAL_SERVER_ERROR))
    }

    fn put(&self, kind: &str, name: &str, expected: u64, body: &[u8]) -> Response {
        let Ok(value) = serde_json::from_slice(body) else {
            return message::empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state();
        let result = state.objects.put(kind, name, expected, value, body.len());
        state.write_response(kind, result)
    }

    fn delete(&self, kind: &str, name: &str, expected: u64) -> Response {
        let mut state = self.state();
        let result = state.objects.delete(kind, name, expected);
        state.write_response(kind, result)
    }

    async fn watch(&self, kind: &str, uri: &Uri) -> Response {
        let after = message::query_number(uri, "after").unwrap_or_default();
        let wait = message::query_number(uri, "timeout_ms").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait).min(MAX_WATCH_WAIT);
        let mut changed = self.state().changed(kind).subscribe();
        loop {
            changed.borrow_and_update();
            let last = Instant::now() >= end;
            if let Some(response) = self.poll_watch(kind, after, last) {
                return response;
            }
            let interval = FAULT_POLL_INTERVAL.min(end.saturating_duration_since(Instant::now()));
            let _ = tokio::time::timeout(interval, changed.changed()).await;
        }
    }

    /// Returns the response to a watch, if there is one yet.
    ///
    /// On the `last` poll the response may contain no changes.
    fn poll_watch(&self, kind: &str, after: u64, last: bool) -> Option<Response> {
        let mut state = self.state();
        if let Some(unavailable) = state.unavailable() {
            return Some(unavailable);
        }
        let log = state.objects.log();
        if after < log.oldest() || after > log.revision() {
            return Some(message::empty(StatusCode::GONE));
        }
        let visible_revision = state.visible_revision();
        let changes: Vec<Value> = log
            .after(after)
            .take_while(|entry| entry.revision <= visible_revision)
            .filter(|entry| &*entry.kind == kind)
            .filter_map(change_json)
            .collect();
        if changes.is_empty() && !last {
            return None;
        }
        // Stale reads must not move the watch back to a revision before the one it has seen.
        let revision = visible_revision.max(after);
        Some(message::json(
            StatusCode::OK,
            &json!({ "revision": revision, "changes": changes }),
        ))
    }
}

impl State {
    /// Returns the response to a call when the store is down.
    fn unavailable(&mut self) -> Option<Response> {
        let close = self.faults.down()?;
        self.stats.counts_mut().unavailable += 1;
        Some(if close {
            message::close_connection()
        } else {
            message::empty(StatusCode::SERVICE_UNAVAILABLE)
        })
    }

    /// Returns the revision as of which reads are served.
    fn visible_revision(&self) -> u64 {
        let log = self.objects.log();
        let past = self
            .faults
            .lag()
            .and_then(|lag| Instant::now().checked_sub(lag));
        past.map_or(log.revision(), |past| log.revision_at(past))
    }

    /// Returns the channel that wakes the watches of a kind.
    fn changed(&mut self, kind: &str) -> &watch::Sender<()> {
        self.changed
            .entry(kind.to_owned())
            .or_insert_with(|| watch::Sender::new(()))
    }

    /// Returns the response to a write that was executed or refused, and wakes watches.
    fn write_response(&mut self, kind: &str, result: Result<u64, Refusal>) -> Response {
        match result {
            Ok(version) => {
                self.changed(kind).send_replace(());
                if self.faults.loses_response() {
                    self.stats.counts_mut().lost_responses += 1;
                    return message::close_connection();
                }
                message::json(StatusCode::OK, &json!({ "version": version }))
            }
            Err(Refusal::Conflict(version)) => {
                self.stats.counts_mut().conflicts += 1;
                message::json(StatusCode::CONFLICT, &json!({ "version": version }))
            }
            Err(Refusal::NotFound) => message::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn parse_target(path: &str) -> Option<Target<'_>> {
    let mut parts = path.strip_prefix("/v1/")?.split('/');
    let target = match (parts.next()?, parts.next()?, parts.next()) {
        ("objects", kind, Some(name)) if !name.is_empty() => Target::Object(kind, name),
        ("objects", kind, None) if !kind.is_empty() => Target::Kind(kind),
        ("watch", kind, None) if !kind.is_empty() => Target::Watch(kind),
        _ => return None,
    };
    parts.next().is_none().then_some(target)
}

fn parse_call(method: &Method, target: &Target<'_>) -> Option<Call> {
    match (method, target) {
        (&Method::GET, Target::Object(..)) => Some(Call::Get),
        (&Method::PUT, Target::Object(..)) => Some(Call::Put),
        (&Method::DELETE, Target::Object(..)) => Some(Call::Delete),
        (&Method::GET, Target::Kind(_)) => Some(Call::List),
        (&Method::GET, Target::Watch(_)) => Some(Call::Watch),
        _ => None,
    }
}

fn object_json(kind: &str, name: &str, stored: &Stored) -> Value {
    json!({
        "kind": kind,
        "name": name,
        "version": stored.version,
        "value": &*stored.value,
    })
}

fn change_json(entry: &Entry) -> Option<Value> {
    let deleted = entry.after.is_none();
    let stored = entry.after.as_ref().or(entry.before.as_ref())?;
    let stored = Stored {
        version: entry.revision,
        ..stored.clone()
    };
    Some(json!({
        "deleted": deleted,
        "object": object_json(&entry.kind, &entry.name, &stored),
    }))
}
