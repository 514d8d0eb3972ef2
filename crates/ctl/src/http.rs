//! HTTP client for JSON APIs.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::timeout;
use volo_http::body::BodyConversion;
use volo_http::client::{Client as VoloClient, ClientBuilder};
use volo_http::http::{Method, StatusCode};

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No response arrived in time.
    #[error(
        "{request} at {peer}: no response within {} ms; is the process running?",
        .response_timeout.as_millis()
    )]
    Timeout {
        /// Method and target of the request.
        request: String,
        /// Address that was called.
        peer: SocketAddr,
        /// Maximum time to wait for the response.
        response_timeout: Duration,
    },
    /// The connection failed.
    #[error("{request} at {peer}: {reason}; check the address and the network")]
    Connection {
        /// Method and target of the request.
        request: String,
        /// Address that was called.
        peer: SocketAddr,
        /// Error that the connection reported.
        reason: String,
    },
    /// The response has an unexpected status.
    #[error("{request} at {peer}: status {status}; see the log of that process")]
    Status {
        /// Method and target of the request.
        request: String,
        /// Address that was called.
        peer: SocketAddr,
        /// Status of the response.
        status: u16,
    },
    /// The body of the response could not be decoded.
    #[error(
        "{request} at {peer}: invalid response: {source}; do the versions of both programs match?"
    )]
    InvalidResponse {
        /// Method and target of the request.
        request: String,
        /// Address that was called.
        peer: SocketAddr,
        /// Decoding error.
        source: serde_json::Error,
    },
}

/// Response to a call.
pub struct Response {
    /// Status of the response.
    pub status: StatusCode,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// Client with a timeout for each call.
#[derive(Clone)]
pub struct Client {
    client: VoloClient,
    response_timeout: Duration,
}

impl Client {
    /// Creates a client that waits up to `response_timeout` for each response.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be built.
    pub fn new(response_timeout: Duration) -> Result<Self, std::io::Error> {
        let client = ClientBuilder::new()
            .build()
            .map_err(std::io::Error::other)?;
        Ok(Self {
            client,
            response_timeout,
        })
    }

    /// Sends a `GET` request and decodes the response.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives in time, its status is not 200, or its body is not a `T`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        target: &str,
    ) -> Result<T, Error> {
        let response = self.call(Method::GET, peer, target, Vec::new()).await?;
        let request = || format!("GET {target}");
        if response.status != StatusCode::OK {
            return Err(Error::Status {
                request: request(),
                peer,
                status: response.status.as_u16(),
            });
        }
        serde_json::from_slice(&response.body).map_err(|source| Error::InvalidResponse {
            request: request(),
            peer,
            source,
        })
    }

    /// Sends a request and returns the whole response.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives in time; the outcome of the call is then unknown.
    pub async fn call(
        &self,
        method: Method,
        peer: SocketAddr,
        target: &str,
        body: Vec<u8>,
    ) -> Result<Response, Error> {
        let request = format!("{method} {target}");
        let send = self.send(method, peer, target, body);
        match timeout(self.response_timeout, send).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(reason)) => Err(Error::Connection {
                request,
                peer,
                reason,
            }),
            Err(_) => Err(Error::Timeout {
                request,
                peer,
                response_timeout: self.response_timeout,
            }),
        }
    }

    async fn send(
        &self,
        method: Method,
        peer: SocketAddr,
        target: &str,
        body: Vec<u8>,
    ) -> Result<Response, String> {
        let uri = format!("http://{peer}{target}");
        let request = self.client.request(method, uri).data(body);
        let response = request.send().await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = response.into_body().into_vec().await;
        let body = body.map_err(|error| error.to_string())?;
        Ok(Response { status, body })
    }
}

/// Percent-encodes a text for use in a path or a query.
///
/// ```
/// assert_eq!(tarragonctl::http::percent_encode("a b/9"), "a%20b%2F9");
/// ```
#[must_use]
pub fn percent_encode(text: &str) -> String {
    use std::fmt::Write as _;

    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
