//! The object API over HTTP.
//!
//! A write is reported as not executed only if that is proven: the connection was refused, or the
//! store said so in its response. Every other failure of a write is reported as uncertain.

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

use crate::api::{Api, ResponseFuture};
use crate::dialect::{Dialect, Native, Request};
use crate::era::{Placed, Tracker};
use crate::error::{Error, Kind, Operation};
use crate::object::{Changes, Era, Key, List, Object, Version};

/// Default timeout of a call other than a watch.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;
/// Maximum size of a value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Client of the store at one address, with a connection pool.
pub struct Client {
    http: volo_http::client::Client,
    endpoint: SocketAddr,
    timeout: Duration,
    dialect: Box<dyn Dialect>,
    era: Tracker,
}

impl Client {
    /// Creates a client whose calls time out after `timeout`, watches after `timeout` plus their
    /// wait.
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
    pub fn new(endpoint: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        Self::with_dialect(Box::new(Native), endpoint, timeout)
    }

    /// Creates a client for a platform whose requests and responses are encoded by `dialect`.
    ///
    /// # Errors
    ///
    /// [`Kind::Invalid`] when the HTTP client cannot be built.
    pub fn with_dialect(
        dialect: Box<dyn Dialect>,
        endpoint: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, Error> {
        let http = ClientBuilder::new().build().map_err(|error| {
            let kind = Kind::Invalid(error.to_string());
            Error::new(Operation::Build, "client", &endpoint.to_string(), kind)
        })?;
        Ok(Self {
            http,
            endpoint,
            timeout,
            dialect,
            era: Tracker::default(),
        })
    }

    /// Sends a call and returns the body of a successful response, and its era.
    async fn send(&self, call: Call<'_>, stop: &CancellationToken) -> Result<(Bytes, Era), Kind> {
        if stop.is_cancelled() {
            return Err(Kind::Cancelled);
        }
        let operation = call.operation;
        let limit = self.timeout + call.wait;
        let exchange = tokio::time::timeout(limit, self.exchange(call));
        let response = tokio::select! {
            biased;
            () = stop.cancelled() => Err(cancelled(operation)),
            response = exchange => {
                response.unwrap_or_else(|_| Err(ambiguous_failure(operation, "timeout")))
            }
        }?;
        self.check_status(operation, response)
    }

    async fn exchange(&self, call: Call<'_>) -> Result<Response, Kind> {
        let Call {
            operation, request, ..
        } = call;
        let uri = format!("http://{}{}", self.endpoint, request.path);
        let mut builder = self.http.request(request.method, uri);
        if !request.body.is_empty() {
            builder = builder.header(http::header::CONTENT_TYPE, "application/json");
        }
        let response = builder
            .data(request.body)
            .send()
            .await
            .map_err(|error| classify(operation, &error))?;
        let (head, body) = response.into_parts();
        let body = collect(body)
            .await
            .map_err(|error| ambiguous_failure(operation, &error.to_string()))?;
        Ok(Response {
            status: head.status,
            body,
            era: self.dialect.era(&head.headers),
        })
    }

    /// Sends a call, decodes the response body with `read`, and places its revisions in its era.
    async fn call<T: Placed>(
        &self,
        call: Call<'_>,
        stop: &CancellationToken,
        read: impl FnOnce(&[u8]) -> Result<T, String>,
    ) -> Result<T, Error> {
        let operation = call.operation;
        let object = call.object.to_string();
        let decoded = self.send(call, stop).await.and_then(|(body, era)| {
            let decoded = read(&body).map_err(|text| unreadable(operation, text))?;
            let placed = decoded.placed(era);
            placed.ok_or_else(|| unreadable(operation, "revision too large".to_owned()))
        });
        decoded.map_err(|kind| Error::new(operation, &object, &self.endpoint.to_string(), kind))
    }

    /// Returns the body of a successful response and its era, or the error for its status.
    ///
    /// Responses that state a revision, or that an object does not exist, need a usable era. One
    /// that says that nothing was executed says so in every era.
    fn check_status(&self, operation: Operation, response: Response) -> Result<(Bytes, Era), Kind> {
        let status = response.status;
        let is_placed = status.is_success()
            || [
                StatusCode::NOT_FOUND,
                StatusCode::CONFLICT,
                StatusCode::GONE,
            ]
            .contains(&status);
        if !is_placed {
            return Err(failure(operation, status));
        }
        let era = self.era.note(response.era).map_err(|text| match status {
            // The write was rejected by what may be another copy; it is not executed by this one.
            StatusCode::CONFLICT | StatusCode::NOT_FOUND => Kind::Unavailable(text),
            _ => ambiguous_failure(operation, &text),
        })?;
        match status {
            StatusCode::OK | StatusCode::CREATED => Ok((response.body, era)),
            StatusCode::CONFLICT => {
                let version = self.dialect.version(&response.body);
                let version = version.map_err(Kind::Corrupt)?.placed(era);
                Err(version.map_or_else(
                    || Kind::Corrupt("revision too large".to_owned()),
                    |version| Kind::Conflict { version },
                ))
            }
            status => Err(failure(operation, status)),
        }
    }

    /// Reads a list page by page.
    async fn list_pages(&self, kind: &str, stop: &CancellationToken) -> Result<List, Error> {
        let mut list = List::default();
        let mut after: Option<String> = None;
        loop {
            let request = self.dialect.list(kind, after.as_deref());
            let call = Call::new(Operation::List, &kind, request);
            let read = |body: &[u8]| self.dialect.page(kind, body);
            let page = self.call(call, stop, read).await?;
            // A watch from the first page's revision reports every later change again.
            if after.is_none() {
                list.revision = page.list.revision;
            } else if page.list.revision.era() != list.revision.era() {
                // The pages are of two copies, so the list may lack objects of either one.
                (list, after) = (List::default(), None);
                continue;
            }
            list.items.extend(page.list.items);
            if page.next.is_none() {
                return Ok(list);
            }
            if page.next == after {
                let kind = Kind::Corrupt("the list does not go on after a name".to_owned());
                let endpoint = self.endpoint.to_string();
                return Err(Error::new(Operation::List, "objects", &endpoint, kind));
            }
            after = page.next;
        }
    }
}

impl Api for Client {
    fn get<'a>(&'a self, key: Key<'a>, stop: &'a CancellationToken) -> ResponseFuture<'a, Object> {
        async move {
            let call = Call::new(Operation::Get, &key, self.dialect.get(key));
            let read = |body: &[u8]| self.dialect.object(key.kind, body);
            self.call(call, stop, read).await
        }
        .boxed()
    }

    fn list<'a>(&'a self, kind: &'a str, stop: &'a CancellationToken) -> ResponseFuture<'a, List> {
        self.list_pages(kind, stop).boxed()
    }

    fn put<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        value: &'a Value,
        stop: &'a CancellationToken,
    ) -> ResponseFuture<'a, Version> {
        async move {
            self.check_expected(Operation::Put, key, expected)?;
            let request = self.dialect.put(key, Version(expected.revision()), value);
            if request.body.len() > MAX_VALUE_BYTES {
                let endpoint = self.endpoint.to_string();
                let object = key.to_string();
                return Err(Error::new(
                    Operation::Put,
                    &object,
                    &endpoint,
                    Kind::TooLarge,
                ));
            }
            let call = Call::new(Operation::Put, &key, request);
            self.call(call, stop, |body| self.dialect.version(body))
                .await
        }
        .boxed()
    }

    fn delete<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        stop: &'a CancellationToken,
    ) -> ResponseFuture<'a, ()> {
        async move {
            self.check_expected(Operation::Delete, key, expected)?;
            let request = self.dialect.delete(key, Version(expected.revision()));
            let call = Call::new(Operation::Delete, &key, request);
            self.call(call, stop, |_| Ok(())).await
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Version,
        wait: Duration,
        stop: &'a CancellationToken,
    ) -> ResponseFuture<'a, Changes> {
        async move {
            let too_old = || {
                let endpoint = self.endpoint.to_string();
                Error::new(Operation::Watch, kind, &endpoint, Kind::TooOld)
            };
            if is_earlier(after, self.era.known()) {
                return Err(too_old());
            }
            let position = Version(after.revision());
            let request = self.dialect.watch(kind, position, wait.as_millis());
            let call = Call {
                wait,
                ..Call::new(Operation::Watch, &kind, request)
            };
            let read = |body: &[u8]| self.dialect.changes(kind, body);
            let changes = self.call(call, stop, read).await?;
            if is_earlier(after, changes.revision.era()) {
                // The changes follow a revision of this era that bears the same number.
                return Err(too_old());
            }
            Ok(changes)
        }
        .boxed()
    }

    fn era(&self) -> Era {
        self.era.known()
    }
}

impl Client {
    /// Fails if a write expects a version of an earlier era: an object of this era may have the same
    /// revision.
    fn check_expected(
        &self,
        operation: Operation,
        key: Key<'_>,
        expected: Version,
    ) -> Result<(), Error> {
        if !is_earlier(expected, self.era.known()) {
            return Ok(());
        }
        let endpoint = self.endpoint.to_string();
        Err(Error::new(
            operation,
            &key.to_string(),
            &endpoint,
            Kind::EarlierEra,
        ))
    }
}

/// Returns whether a version was told before `era`; an absent object has none.
fn is_earlier(version: Version, era: Era) -> bool {
    version != Version::ABSENT && version.era() < era
}

/// One call to the store, with the context for its errors.
struct Call<'a> {
    operation: Operation,
    object: &'a (dyn std::fmt::Display + Sync),
    request: Request,
    wait: Duration,
}

impl<'a> Call<'a> {
    fn new(
        operation: Operation,
        object: &'a (dyn std::fmt::Display + Sync),
        request: Request,
    ) -> Self {
        Self {
            operation,
            object,
            request,
            wait: Duration::ZERO,
        }
    }
}

struct Response {
    status: StatusCode,
    body: Bytes,
    era: Result<Option<Era>, String>,
}

/// Returns the error for the status of a response that is no success.
fn failure(operation: Operation, status: StatusCode) -> Kind {
    match status {
        StatusCode::NOT_FOUND => Kind::NotFound,
        StatusCode::GONE => Kind::TooOld,
        StatusCode::PAYLOAD_TOO_LARGE => Kind::TooLarge,
        StatusCode::TOO_MANY_REQUESTS => Kind::Throttled,
        StatusCode::SERVICE_UNAVAILABLE => Kind::Unavailable("status 503".to_owned()),
        status if status.is_client_error() => Kind::Refused {
            status: status.as_u16(),
        },
        status => ambiguous_failure(operation, &format!("status {status}")),
    }
}

async fn collect(body: Body) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await?;
    Ok(body.to_bytes())
}

fn unreadable(operation: Operation, text: String) -> Kind {
    if operation.is_write() {
        Kind::Uncertain(text)
    } else {
        Kind::Corrupt(text)
    }
}

/// Error of a call that may have been executed: harmless for a read, uncertain for a write.
fn ambiguous_failure(operation: Operation, text: &str) -> Kind {
    if operation.is_write() {
        Kind::Uncertain(text.to_owned())
    } else {
        Kind::Unavailable(text.to_owned())
    }
}

fn cancelled(operation: Operation) -> Kind {
    if operation.is_write() {
        Kind::Uncertain("cancelled".to_owned())
    } else {
        Kind::Cancelled
    }
}

fn classify(operation: Operation, error: &ClientError) -> Kind {
    let text = error.to_string();
    if *error.kind() == volo_http::error::client::ErrorKind::Builder {
        return Kind::Invalid(text);
    }
    let refused = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>())
        .is_some_and(|source| source.kind() == io::ErrorKind::ConnectionRefused);
    if refused {
        return Kind::Unavailable(text);
    }
    ambiguous_failure(operation, &text)
}
