//! Calls over HTTP with JSON bodies.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::timeout;
use volo_http::body::BodyConversion;
use volo_http::client::{Client, ClientBuilder};
use volo_http::http::{Method, StatusCode};

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The answer did not come in time.
    #[error("{step} at {peer}: no answer within {} ms; is the process running?", .limit.as_millis())]
    Timeout {
        /// Step that failed.
        step: String,
        /// Process that was called.
        peer: SocketAddr,
        /// Time that the answer could take.
        limit: Duration,
    },
    /// The connection failed.
    #[error("{step} at {peer}: {reason}; check the address and the network")]
    Connection {
        /// Step that failed.
        step: String,
        /// Process that was called.
        peer: SocketAddr,
        /// What the connection reported.
        reason: String,
    },
    /// The answer has an unexpected status.
    #[error("{step} at {peer}: status {status}; see the log of that process")]
    Status {
        /// Step that failed.
        step: String,
        /// Process that was called.
        peer: SocketAddr,
        /// Status of the answer.
        status: u16,
    },
    /// The answer could not be read.
    #[error("{step} at {peer}: bad answer: {source}; do the versions of both programs match?")]
    Answer {
        /// Step that failed.
        step: String,
        /// Process that was called.
        peer: SocketAddr,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// Answer to a call.
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// Calls one process.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    limit: Duration,
}

impl Caller {
    /// Creates a caller that waits for each answer up to `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the client library cannot be set up.
    pub fn new(limit: Duration) -> Result<Self, std::io::Error> {
        let client = ClientBuilder::new()
            .build()
            .map_err(std::io::Error::other)?;
        Ok(Self { client, limit })
    }

    /// Gets a value.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes in time, or none with status 200 and a value.
    pub async fn get<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        target: &str,
    ) -> Result<T, Error> {
        let answer = self.call(Method::GET, peer, target, Vec::new()).await?;
        let step = || format!("GET {target}");
        if answer.status != StatusCode::OK {
            return Err(Error::Status {
                step: step(),
                peer,
                status: answer.status.as_u16(),
            });
        }
        serde_json::from_slice(&answer.body).map_err(|source| Error::Answer {
            step: step(),
            peer,
            source,
        })
    }

    /// Makes a call and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes in time; the fate of the call is then unknown.
    pub async fn call(
        &self,
        method: Method,
        peer: SocketAddr,
        target: &str,
        body: Vec<u8>,
    ) -> Result<Answer, Error> {
        let step = format!("{method} {target}");
        let exchange = self.exchange(method, peer, target, body);
        match timeout(self.limit, exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(reason)) => Err(Error::Connection { step, peer, reason }),
            Err(_) => Err(Error::Timeout {
                step,
                peer,
                limit: self.limit,
            }),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        peer: SocketAddr,
        target: &str,
        body: Vec<u8>,
    ) -> Result<Answer, String> {
        let uri = format!("http://{peer}{target}");
        let request = self.client.request(method, uri).data(body);
        let response = request.send().await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = response.into_body().into_vec().await;
        let body = body.map_err(|error| error.to_string())?;
        Ok(Answer { status, body })
    }
}

/// Escapes a text for use within a path or a query.
///
/// ```
/// assert_eq!(tarragonctl::http::escape("a b/9"), "a%20b%2F9");
/// ```
#[must_use]
pub fn escape(text: &str) -> String {
    use std::fmt::Write as _;

    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}
