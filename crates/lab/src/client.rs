//! HTTP client for control calls to the routers, the store and the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;
use volo_http::body::{Body, BodyConversion};

use crate::error::{Error, Result};

/// Default timeout of a control call.
pub const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Response to a control call.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Whole body.
    pub body: Bytes,
}

/// HTTP client whose calls time out.
#[derive(Clone, Default)]
pub struct Client {
    inner: volo_http::client::Client,
}

impl Client {
    /// Creates a client with its own connection pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails when the whole response does not arrive within `limit`.
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

    /// Sends a GET request and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the status is not 200 or the body does not parse.
    pub async fn json<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T> {
        let response = self
            .call(Method::GET, addr, path, Bytes::new(), CALL_LIMIT)
            .await?;
        if response.status != 200 {
            return Err(failure(
                addr,
                &format!("status {} for {path}", response.status),
            ));
        }
        serde_json::from_slice(&response.body).map_err(|error| failure(addr, &error))
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the status is 300 or higher.
    pub async fn post(&self, addr: SocketAddr, path: &str, body: Bytes) -> Result<Response> {
        let response = self
            .call(Method::POST, addr, path, body, CALL_LIMIT)
            .await?;
        if response.status >= 300 {
            return Err(failure(
                addr,
                &format!("status {} for {path}", response.status),
            ));
        }
        Ok(response)
    }
}

fn failure(addr: SocketAddr, cause: &impl ToString) -> Error {
    Error::Http {
        step: "call",
        peer: addr.to_string(),
        cause: cause.to_string(),
    }
}
