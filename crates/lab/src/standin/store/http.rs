//! The object API as HTTP calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Method, StatusCode, Uri};
use serde_json::{Value, json};
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::fault::{Faults, Order};
use super::log::{Entry, Stored};
use super::objects::{Objects, Refusal};
use super::options::Options;
use super::rate::Bucket;
use super::stats::{Call, Stats};
use crate::standin::reply;

/// Largest value of an object, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_mins(5);
/// Time between two looks of a waiting watch at the faults in force.
const WATCH_TICK: Duration = Duration::from_millis(100);

/// The store, shared by all its calls.
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
    /// Wakes the watches of a kind.
    changed: HashMap<String, watch::Sender<()>>,
}

/// What a request asks for.
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

    /// Answers one request.
    pub async fn answer(self, request: Request) -> Response {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/_stats") => {
                let counts = self.state().stats.counts();
                reply::json(StatusCode::OK, &counts)
            }
            (&Method::POST, "/_fault") => self.order(body).await,
            _ => self.call(&head.method, &head.uri, body).await,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn order(&self, body: Body) -> Response {
        match reply::read_json::<Order>(body).await {
            Ok(order) => {
                log::info!("event=fault order=\"{order:?}\"");
                self.state().faults.apply(&order);
                reply::empty(StatusCode::OK)
            }
            Err(status) => reply::empty(status),
        }
    }

    async fn call(&self, method: &Method, uri: &Uri, body: Body) -> Response {
        let Some(target) = target(uri.path()) else {
            return reply::empty(StatusCode::NOT_FOUND);
        };
        let Some(call) = call_of(method, &target) else {
            return reply::empty(StatusCode::METHOD_NOT_ALLOWED);
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

    /// Counts a call and refuses it when the store is down or the call over the rate.
    fn admit(&self, call: Call) -> Option<Response> {
        let mut state = self.state();
        state.stats.count(call);
        if let Some(away) = state.away() {
            return Some(away);
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
        Some(reply::empty(StatusCode::TOO_MANY_REQUESTS))
    }

    fn get(&self, kind: &str, name: &str) -> Response {
        let state = self.state();
        match state.objects.get(kind, name, state.visible()) {
            Some(stored) => reply::json(StatusCode::OK, &shown(kind, name, &stored)),
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, kind: &str) -> Response {
        let (revision, names) = {
            let state = self.state();
            let revision = state.visible();
            (revision, state.objects.list(kind, revision))
        };
        let items: Vec<Value> = names
            .iter()
            .map(|(name, stored)| shown(kind, name, stored))
            .collect();
        reply::json(
            StatusCode::OK,
            &json!({ "revision": revision, "items": items }),
        )
    }

    /// Executes a write on its own, so that it takes effect even when the caller gives up.
    async fn write(&self, call: Call, kind: &str, name: &str, uri: &Uri, body: Body) -> Response {
        let Some(expected) = reply::number(uri, "if_version") else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let body = match reply::read(body, MAX_VALUE_BYTES).await {
            Ok(body) => body,
            Err(status) => return reply::empty(status),
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
            .unwrap_or_else(|_| reply::empty(StatusCode::INTERNAL_SERVER_ERROR))
    }

    fn put(&self, kind: &str, name: &str, expected: u64, body: &[u8]) -> Response {
        let Ok(value) = serde_json::from_slice(body) else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state();
        let result = state.objects.put(kind, name, expected, value, body.len());
        state.written(kind, result)
    }

    fn delete(&self, kind: &str, name: &str, expected: u64) -> Response {
        let mut state = self.state();
        let result = state.objects.delete(kind, name, expected);
        state.written(kind, result)
    }

    async fn watch(&self, kind: &str, uri: &Uri) -> Response {
        let after = reply::number(uri, "after").unwrap_or_default();
        let wait = reply::number(uri, "timeout_ms").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait).min(MAX_WAIT);
        let mut changed = self.state().changed(kind).subscribe();
        loop {
            changed.borrow_and_update();
            let last = Instant::now() >= end;
            if let Some(response) = self.look(kind, after, last) {
                return response;
            }
            let tick = WATCH_TICK.min(end.saturating_duration_since(Instant::now()));
            let _ = tokio::time::timeout(tick, changed.changed()).await;
        }
    }

    /// Answers a watch if there is an answer yet; always when it is the `last` look.
    fn look(&self, kind: &str, after: u64, last: bool) -> Option<Response> {
        let mut state = self.state();
        if let Some(away) = state.away() {
            return Some(away);
        }
        let log = state.objects.log();
        if after < log.oldest() || after > log.revision() {
            return Some(reply::empty(StatusCode::GONE));
        }
        let visible = state.visible();
        let changes: Vec<Value> = log
            .after(after)
            .take_while(|entry| entry.revision <= visible)
            .filter(|entry| &*entry.kind == kind)
            .filter_map(change)
            .collect();
        if changes.is_empty() && !last {
            return None;
        }
        // A stale store must not send the watch back before what it has already seen.
        let revision = visible.max(after);
        Some(reply::json(
            StatusCode::OK,
            &json!({ "revision": revision, "changes": changes }),
        ))
    }
}

impl State {
    /// Answers a call when the store is down.
    fn away(&mut self) -> Option<Response> {
        let close = self.faults.down()?;
        self.stats.counts_mut().away += 1;
        Some(if close {
            reply::closed_connection()
        } else {
            reply::empty(StatusCode::SERVICE_UNAVAILABLE)
        })
    }

    /// Returns the revision that reads see.
    fn visible(&self) -> u64 {
        let log = self.objects.log();
        let past = self
            .faults
            .lag()
            .and_then(|lag| Instant::now().checked_sub(lag));
        past.map_or(log.revision(), |past| log.revision_at(past))
    }

    fn changed(&mut self, kind: &str) -> &watch::Sender<()> {
        self.changed
            .entry(kind.to_owned())
            .or_insert_with(|| watch::Sender::new(()))
    }

    /// Answers a write that was executed or refused.
    fn written(&mut self, kind: &str, result: Result<u64, Refusal>) -> Response {
        match result {
            Ok(version) => {
                self.changed(kind).send_replace(());
                if self.faults.loses_answer() {
                    self.stats.counts_mut().lost_answers += 1;
                    return reply::closed_connection();
                }
                reply::json(StatusCode::OK, &json!({ "version": version }))
            }
            Err(Refusal::Conflict(version)) => {
                self.stats.counts_mut().conflicts += 1;
                reply::json(StatusCode::CONFLICT, &json!({ "version": version }))
            }
            Err(Refusal::NotFound) => reply::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn target(path: &str) -> Option<Target<'_>> {
    let mut parts = path.strip_prefix("/v1/")?.split('/');
    let target = match (parts.next()?, parts.next()?, parts.next()) {
        ("objects", kind, Some(name)) if !name.is_empty() => Target::Object(kind, name),
        ("objects", kind, None) if !kind.is_empty() => Target::Kind(kind),
        ("watch", kind, None) if !kind.is_empty() => Target::Watch(kind),
        _ => return None,
    };
    parts.next().is_none().then_some(target)
}

fn call_of(method: &Method, target: &Target<'_>) -> Option<Call> {
    match (method, target) {
        (&Method::GET, Target::Object(..)) => Some(Call::Get),
        (&Method::PUT, Target::Object(..)) => Some(Call::Put),
        (&Method::DELETE, Target::Object(..)) => Some(Call::Delete),
        (&Method::GET, Target::Kind(_)) => Some(Call::List),
        (&Method::GET, Target::Watch(_)) => Some(Call::Watch),
        _ => None,
    }
}

fn shown(kind: &str, name: &str, stored: &Stored) -> Value {
    json!({
        "kind": kind,
        "name": name,
        "version": stored.version,
        "value": &*stored.value,
    })
}

fn change(entry: &Entry) -> Option<Value> {
    let deleted = entry.after.is_none();
    let stored = entry.after.as_ref().or(entry.before.as_ref())?;
    let stored = Stored {
        version: entry.revision,
        ..stored.clone()
    };
    Some(json!({
        "deleted": deleted,
        "object": shown(&entry.kind, &entry.name, &stored),
    }))
}
