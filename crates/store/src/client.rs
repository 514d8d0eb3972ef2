//! The object API over HTTP.
//!
//! A write is reported as not executed only on proof: the connection was refused, or the store
//! answered so. Everything else that goes wrong on the way of a write is reported as uncertain.

use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use serde_json::Value;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;
use volo_http::client::ClientBuilder;
use volo_http::error::ClientError;

use crate::api::{Answer, Api};
use crate::dialect::{Call, Dialect, Native};
use crate::error::{Error, Kind, Step};
use crate::object::{Changes, Key, List, Object, Version};

/// Time within which the store must answer a call other than a watch.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer that is read, in bytes.
pub const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;
/// Largest value that the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Client of a store at one address, with a pool of connections.
pub struct Client {
    http: volo_http::client::Client,
    peer: SocketAddr,
    timeout: Duration,
    dialect: Box<dyn Dialect>,
}

impl Client {
    /// Creates a client whose calls end within `timeout`, watches within their wait plus that.
    ///
    /// ```
    /// use tarragon_store::client::{Client, DEFAULT_TIMEOUT};
    ///
    /// let client = Client::new("127.0.0.1:7900".parse().unwrap(), DEFAULT_TIMEOUT);
    /// assert!(client.is_ok());
    /// ```
    ///
    /// # Errors
    ///
    /// [`Kind::Invalid`] when the HTTP client cannot be built.
    pub fn new(peer: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        Self::speaking(Box::new(Native), peer, timeout)
    }

    /// Creates a client for a platform that spells its calls as `dialect` says.
    ///
    /// # Errors
    ///
    /// [`Kind::Invalid`] when the HTTP client cannot be built.
    pub fn speaking(
        dialect: Box<dyn Dialect>,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, Error> {
        let http = ClientBuilder::new().build().map_err(|error| {
            let kind = Kind::Invalid(error.to_string());
            Error::new(Step::Build, "client", &peer.to_string(), kind)
        })?;
        Ok(Self {
            http,
            peer,
            timeout,
            dialect,
        })
    }

    /// Sends a call and returns the status and the body of the answer.
    async fn send(&self, task: Task<'_>, stop: &CancellationToken) -> Result<Bytes, Kind> {
        if stop.is_cancelled() {
            return Err(Kind::Cancelled);
        }
        let during = task.step;
        let limit = self.timeout + task.wait;
        let exchange = tokio::time::timeout(limit, self.exchange(task));
        let reply = tokio::select! {
            biased;
            () = stop.cancelled() => Err(cancelled(during)),
            reply = exchange => reply.unwrap_or_else(|_| Err(lost(during, "timeout"))),
        }?;
        self.accept(during, reply)
    }

    async fn exchange(&self, task: Task<'_>) -> Result<Reply, Kind> {
        let Task { step, call, .. } = task;
        let uri = format!("http://{}{}", self.peer, call.path);
        let mut request = self.http.request(call.method, uri);
        if !call.body.is_empty() {
            request = request.header(http::header::CONTENT_TYPE, "application/json");
        }
        let response = request
            .data(call.body)
            .send()
            .await
            .map_err(|error| classify(step, &error))?;
        let (head, body) = response.into_parts();
        let body = collect(body)
            .await
            .map_err(|error| lost(step, &error.to_string()))?;
        Ok(Reply {
            status: head.status,
            body,
        })
    }

    /// Sends a call and reads the answer with `read`.
    async fn call<T>(
        &self,
        task: Task<'_>,
        stop: &CancellationToken,
        read: impl FnOnce(&[u8]) -> Result<T, String>,
    ) -> Result<T, Error> {
        let during = task.step;
        let object = task.object.to_string();
        let body = self.send(task, stop).await;
        body.and_then(|body| read(&body).map_err(|text| unreadable(during, text)))
            .map_err(|kind| Error::new(during, &object, &self.peer.to_string(), kind))
    }

    /// Returns the body of a success, or what the status of a failure tells.
    fn accept(&self, step: Step, reply: Reply) -> Result<Bytes, Kind> {
        match reply.status {
            StatusCode::OK | StatusCode::CREATED => Ok(reply.body),
            StatusCode::NOT_FOUND => Err(Kind::NotFound),
            StatusCode::CONFLICT => Err(match self.dialect.version(&reply.body) {
                Ok(version) => Kind::Conflict { version },
                Err(text) => Kind::Corrupt(text),
            }),
            StatusCode::GONE => Err(Kind::TooOld),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Kind::TooLarge),
            StatusCode::TOO_MANY_REQUESTS => Err(Kind::Throttled),
            StatusCode::SERVICE_UNAVAILABLE => Err(Kind::Away("status 503".to_owned())),
            status if status.is_client_error() => Err(Kind::Refused {
                status: status.as_u16(),
            }),
            status => Err(lost(step, &format!("status {status}"))),
        }
    }

    /// Reads one part of a list after the other.
    async fn pages(&self, kind: &str, stop: &CancellationToken) -> Result<List, Error> {
        let mut whole = List::default();
        loop {
            let after = whole.items.last().map(|object| object.name.as_str());
            let task = Task::new(Step::List, &kind, self.dialect.list(kind, after));
            let read = |body: &[u8]| self.dialect.page(kind, body);
            let page = self.call(task, stop, read).await?;
            // Changes behind the first part's revision are heard again by watching from it.
            if whole.items.is_empty() {
                whole.revision = page.list.revision;
            }
            let ended = !page.more || page.list.items.is_empty();
            whole.items.extend(page.list.items);
            if ended {
                return Ok(whole);
            }
        }
    }
}

impl Api for Client {
    fn get<'a>(&'a self, key: Key<'a>, stop: &'a CancellationToken) -> Answer<'a, Object> {
        async move {
            let task = Task::new(Step::Get, &key, self.dialect.get(key));
            let read = |body: &[u8]| self.dialect.object(key.kind, body);
            self.call(task, stop, read).await
        }
        .boxed()
    }

    fn list<'a>(&'a self, kind: &'a str, stop: &'a CancellationToken) -> Answer<'a, List> {
        self.pages(kind, stop).boxed()
    }

    fn put<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        value: &'a Value,
        stop: &'a CancellationToken,
    ) -> Answer<'a, Version> {
        async move {
            let call = self.dialect.put(key, expected, value);
            if call.body.len() > MAX_VALUE_BYTES {
                let peer = self.peer.to_string();
                let object = key.to_string();
                return Err(Error::new(Step::Put, &object, &peer, Kind::TooLarge));
            }
            let task = Task::new(Step::Put, &key, call);
            self.call(task, stop, |body| self.dialect.version(body))
                .await
        }
        .boxed()
    }

    fn delete<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        stop: &'a CancellationToken,
    ) -> Answer<'a, ()> {
        async move {
            let task = Task::new(Step::Delete, &key, self.dialect.delete(key, expected));
            self.call(task, stop, |_| Ok(())).await
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Version,
        wait: Duration,
        stop: &'a CancellationToken,
    ) -> Answer<'a, Changes> {
        async move {
            let call = self.dialect.watch(kind, after, wait.as_millis());
            let task = Task {
                wait,
                ..Task::new(Step::Watch, &kind, call)
            };
            let read = |body: &[u8]| self.dialect.changes(kind, body);
            self.call(task, stop, read).await
        }
        .boxed()
    }
}

/// One call, ready to be sent, and what it is about.
struct Task<'a> {
    step: Step,
    object: &'a (dyn std::fmt::Display + Sync),
    call: Call,
    wait: Duration,
}

impl<'a> Task<'a> {
    fn new(step: Step, object: &'a (dyn std::fmt::Display + Sync), call: Call) -> Self {
        Self {
            step,
            object,
            call,
            wait: Duration::ZERO,
        }
    }
}

struct Reply {
    status: StatusCode,
    body: Bytes,
}

async fn collect(body: Body) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await?;
    Ok(body.to_bytes())
}

fn unreadable(step: Step, text: String) -> Kind {
    if step.is_write() {
        Kind::Uncertain(text)
    } else {
        Kind::Corrupt(text)
    }
}

/// Failure on the way: nothing for a read, an unknown fate for a write.
fn lost(step: Step, text: &str) -> Kind {
    if step.is_write() {
        Kind::Uncertain(text.to_owned())
    } else {
        Kind::Away(text.to_owned())
    }
}

fn cancelled(step: Step) -> Kind {
    if step.is_write() {
        Kind::Uncertain("cancelled".to_owned())
    } else {
        Kind::Cancelled
    }
}

fn classify(step: Step, error: &ClientError) -> Kind {
    let text = error.to_string();
    if *error.kind() == volo_http::error::client::ErrorKind::Builder {
        return Kind::Invalid(text);
    }
    let refused = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>())
        .is_some_and(|source| source.kind() == io::ErrorKind::ConnectionRefused);
    if refused {
        return Kind::Away(text);
    }
    lost(step, &text)
}
