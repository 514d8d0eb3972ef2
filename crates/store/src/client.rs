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
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;
use volo_http::client::ClientBuilder;
use volo_http::error::ClientError;

use crate::api::{Answer, Api};
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
        let http = ClientBuilder::new().build().map_err(|error| {
            let kind = Kind::Invalid(error.to_string());
            Error::new(Step::Build, "client", &peer.to_string(), kind)
        })?;
        Ok(Self {
            http,
            peer,
            timeout,
        })
    }

    /// Sends a call and returns the status and the body of the answer.
    async fn send(&self, call: Call<'_>, stop: &CancellationToken) -> Result<Reply, Kind> {
        if stop.is_cancelled() {
            return Err(Kind::Cancelled);
        }
        let during = call.step;
        let limit = self.timeout + call.wait;
        let exchange = tokio::time::timeout(limit, self.exchange(call));
        tokio::select! {
            biased;
            () = stop.cancelled() => Err(cancelled(during)),
            reply = exchange => reply.unwrap_or_else(|_| Err(lost(during, "timeout"))),
        }
    }

    async fn exchange(&self, call: Call<'_>) -> Result<Reply, Kind> {
        let step = call.step;
        let uri = format!("http://{}{}", self.peer, call.path);
        let request = self.http.request(call.method, uri).data(call.body);
        let response = request
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

    /// Sends a call and reads the answer as a `T`.
    async fn call<T: DeserializeOwned>(
        &self,
        call: Call<'_>,
        stop: &CancellationToken,
    ) -> Result<T, Error> {
        let during = call.step;
        let object = call.object.to_string();
        let reply = self.send(call, stop).await;
        reply
            .and_then(|reply| read(during, &reply))
            .map_err(|kind| Error::new(during, &object, &self.peer.to_string(), kind))
    }
}

impl Api for Client {
    fn get<'a>(&'a self, key: Key<'a>, stop: &'a CancellationToken) -> Answer<'a, Object> {
        async move {
            let call = Call::read(Step::Get, &key, format!("/v1/objects/{key}"));
            self.call(call, stop).await
        }
        .boxed()
    }

    fn list<'a>(&'a self, kind: &'a str, stop: &'a CancellationToken) -> Answer<'a, List> {
        async move {
            let call = Call::read(Step::List, &kind, format!("/v1/objects/{kind}"));
            self.call(call, stop).await
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        value: &'a Value,
        stop: &'a CancellationToken,
    ) -> Answer<'a, Version> {
        async move {
            let body = value.to_string();
            if body.len() > MAX_VALUE_BYTES {
                let peer = self.peer.to_string();
                return Err(Error::new(
                    Step::Put,
                    &key.to_string(),
                    &peer,
                    Kind::TooLarge,
                ));
            }
            let call = Call {
                step: Step::Put,
                object: &key,
                method: Method::PUT,
                path: format!("/v1/objects/{key}?if_version={expected}"),
                body: Bytes::from(body),
                wait: Duration::ZERO,
            };
            let written: Written = self.call(call, stop).await?;
            Ok(written.version)
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
            let call = Call {
                step: Step::Delete,
                object: &key,
                method: Method::DELETE,
                path: format!("/v1/objects/{key}?if_version={expected}"),
                body: Bytes::new(),
                wait: Duration::ZERO,
            };
            self.call::<Value>(call, stop).await.map(|_| ())
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
            let millis = wait.as_millis();
            let path = format!("/v1/watch/{kind}?after={after}&timeout_ms={millis}");
            let call = Call {
                wait,
                ..Call::read(Step::Watch, &kind, path)
            };
            self.call(call, stop).await
        }
        .boxed()
    }
}

/// One call, ready to be sent.
struct Call<'a> {
    step: Step,
    object: &'a (dyn std::fmt::Display + Sync),
    method: Method,
    path: String,
    body: Bytes,
    wait: Duration,
}

impl<'a> Call<'a> {
    fn read(step: Step, object: &'a (dyn std::fmt::Display + Sync), path: String) -> Self {
        Self {
            step,
            object,
            method: Method::GET,
            path,
            body: Bytes::new(),
            wait: Duration::ZERO,
        }
    }
}

struct Reply {
    status: StatusCode,
    body: Bytes,
}

#[derive(Deserialize)]
struct Written {
    version: Version,
}

async fn collect(body: Body) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await?;
    Ok(body.to_bytes())
}

fn read<T: DeserializeOwned>(step: Step, reply: &Reply) -> Result<T, Kind> {
    match reply.status {
        StatusCode::OK => serde_json::from_slice(&reply.body).map_err(|error| {
            let text = error.to_string();
            if step.is_write() {
                Kind::Uncertain(text)
            } else {
                Kind::Corrupt(text)
            }
        }),
        StatusCode::NOT_FOUND => Err(Kind::NotFound),
        StatusCode::CONFLICT => Err(conflict(&reply.body)),
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

fn conflict(body: &[u8]) -> Kind {
    match serde_json::from_slice::<Written>(body) {
        Ok(written) => Kind::Conflict {
            version: written.version,
        },
        Err(error) => Kind::Corrupt(error.to_string()),
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
