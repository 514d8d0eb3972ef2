//! HTTP client for the small calls of an experiment: health, status, the store, stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;
use volo_http::body::{Body, BodyConversion};

use crate::error::{Error, Result};

/// Longest time for one small call.
pub const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Response to a small call.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Whole body.
    pub body: Bytes,
}

/// Client that gives up after a limit.
#[derive(Clone, Default)]
pub struct Client {
    inner: volo_http::client::Client,
}

impl Client {
    /// Creates a client with connections of its own.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends one request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer came within the limit.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Response> {
        let request = self.inner.request(method, format!("http://{addr}{path}"));
        let exchange = async {
            let sent = request.data(body).send::<Body>().await;
            let response = sent.map_err(|error| failure(addr, &error))?;
            let status = response.status().as_u16();
            let body = response.into_body().into_bytes().await;
            let body = body.map_err(|error| failure(addr, &error))?;
            Ok(Response { status, body })
        };
        let timeout = |_| Error::Timeout {
            step: "call",
            peer: addr.to_string(),
            after_ms: limit.as_millis(),
        };
        tokio::time::timeout(limit, exchange)
            .await
            .map_err(timeout)?
    }

    /// Reads JSON.
    ///
    /// # Errors
    ///
    /// Fails when the answer is not a success or does not parse.
    pub async fn json<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T> {
        let answer = self
            .call(Method::GET, addr, path, Bytes::new(), CALL_LIMIT)
            .await?;
        if answer.status != 200 {
            return Err(failure(
                addr,
                &format!("status {} for {path}", answer.status),
            ));
        }
        serde_json::from_slice(&answer.body).map_err(|error| failure(addr, &error))
    }

    /// Posts JSON and expects a success.
    ///
    /// # Errors
    ///
    /// Fails when the answer is not a success.
    pub async fn post(&self, addr: SocketAddr, path: &str, body: Bytes) -> Result<Response> {
        let answer = self
            .call(Method::POST, addr, path, body, CALL_LIMIT)
            .await?;
        if answer.status >= 300 {
            return Err(failure(
                addr,
                &format!("status {} for {path}", answer.status),
            ));
        }
        Ok(answer)
    }
}

fn failure(addr: SocketAddr, cause: &impl ToString) -> Error {
    Error::Http {
        step: "call",
        peer: addr.to_string(),
        cause: cause.to_string(),
    }
}
