//! Calls to backend servers: requests, health probes and grants.

use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use serde_json::json;
use tarragon_model::{backend, shard};
use tarragon_node::input::{Ending, GrantResult, Input, ProbeResult};
use tarragon_node::output::Output;
use tokio::sync::mpsc;
use tokio::time::timeout;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::client::ClientBuilder;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;
use volo_http::response::Response;

use crate::control::Command;
use crate::shared::Shared;

/// Timeout of a probe or a grant.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the response to a probe or a grant, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// Largest status of a response. The HTTP library rejects statuses below 100 and above 999, and
/// takes those in between for valid.
const MAX_STATUS: u16 = 599;
/// Maximum number of idle connections kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Response header that identifies the incarnation of a backend server.
pub const INSTANCE_HEADER: &str = "tarragon-instance";
/// Response header with the reason why a backend server refused a request before running it.
pub const REFUSED_HEADER: &str = "tarragon-refused";

/// HTTP client for backend servers and other routers.
#[derive(Clone)]
pub struct Client {
    http: Arc<RwLock<volo_http::client::Client>>,
}

/// Error of a response whose status no final response can have.
#[derive(Debug, thiserror::Error)]
#[error("step=send: the response has the status {0}")]
struct BrokenStatus(StatusCode);

/// HTTP request to a backend server or another router.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Address to connect to.
    pub addr: SocketAddr,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// Header fields.
    pub headers: &'a HeaderMap,
    /// Request body.
    pub body: bytes::Bytes,
}

impl Client {
    /// Creates a client with a connection pool of its own.
    ///
    /// # Errors
    ///
    /// Any error of the HTTP library.
    pub fn new() -> Result<Self, ClientError> {
        Ok(Self {
            http: Arc::new(RwLock::new(build()?)),
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Any error of the connection, and a status that no final response can have;
    /// [`classify_error`] shows whether anything may have been sent.
    pub async fn send(&self, call: Call<'_>) -> Result<Response, ClientError> {
        let response = self.exchange(call).await?;
        let status = response.status();
        if !status.is_informational() && status.as_u16() <= MAX_STATUS {
            return Ok(response);
        }
        log::warn!("event=response-status-broken status={status}");
        self.discard_connections();
        let error = Some(BrokenStatus(status));
        Err(ClientError::new(ErrorKind::Request, error))
    }

    /// Replaces the connection pool: the library does not close one connection of it.
    fn discard_connections(&self) {
        match build() {
            Ok(http) => *self.http.write().unwrap_or_else(PoisonError::into_inner) = http,
            Err(error) => log::error!("event=client-failed error=\"{error}\""),
        }
    }

    fn current(&self) -> volo_http::client::Client {
        let http = self.http.read().unwrap_or_else(PoisonError::into_inner);
        http.clone()
    }

    async fn exchange(&self, call: Call<'_>) -> Result<Response, ClientError> {
        let http = self.current();
        let mut builder = http
            .request_builder()
            .method(call.method.clone())
            .uri(call.path)
            .address(Address::Ip(call.addr));
        builder.headers_mut().extend(call.headers.clone());
        builder.body(Body::from(call.body)).send().await
    }
}

fn build() -> Result<volo_http::client::Client, ClientError> {
    let mut builder = ClientBuilder::new();
    builder.set_max_idle_per_host(MAX_IDLE_CONNECTIONS);
    builder.build()
}

/// Returns what the error of a call proves about the request: whether anything was sent.
#[must_use]
pub fn classify_error(error: &ClientError) -> Ending {
    if *error.kind() == ErrorKind::Connect {
        return Ending::NotConnected {
            refused: is_refused(error),
        };
    }
    Ending::ConnectionLost
}

fn is_refused(error: &ClientError) -> bool {
    let mut source = error.source();
    while let Some(error) = source {
        if let Some(io) = error.downcast_ref::<io::Error>()
            && io.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        source = error.source();
    }
    false
}

/// Returns the value of a header field; `None` if it is absent or not visible ASCII.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Converts text to a header value; if it contains invalid characters, only the visible ASCII
/// characters are kept.
#[must_use]
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| {
        let kept: String = text.chars().filter(char::is_ascii_graphic).collect();
        HeaderValue::from_str(&kept).unwrap_or_else(|_| HeaderValue::from_static(""))
    })
}

/// Sends probes and grants and reports their results, until the process stops; runs on the thread
/// `attend`.
pub async fn run_calls(shared: Shared, client: Client, mut calls: mpsc::Receiver<Output>) {
    loop {
        let call = tokio::select! {
            () = shared.stop.cancelled() => return,
            call = calls.recv() => call,
        };
        let Some(call) = call else {
            return;
        };
        tokio::spawn(run_call(shared.clone(), client.clone(), call));
    }
}

async fn run_call(shared: Shared, client: Client, call: Output) {
    let input = match call {
        Output::Probe {
            shard,
            backend,
            addr,
        } => {
            let result = timeout(PROBE_TIMEOUT, probe(&client, shared.dial_addr(addr))).await;
            Input::Probed {
                shard,
                backend,
                result: result.unwrap_or(ProbeResult::Failed),
            }
        }
        Output::Grant {
            shard,
            backend,
            addr,
            fence,
            ticket,
        } => {
            let request = GrantRequest {
                shard: &shard,
                backend: &backend,
                fence,
                ticket,
            };
            let result = timeout(
                PROBE_TIMEOUT,
                grant(&client, shared.dial_addr(addr), &request),
            )
            .await;
            Input::Granted {
                shard,
                backend,
                result: result.unwrap_or(GrantResult::Failed),
            }
        }
        _ => return,
    };
    let _ = shared.control.send(Command::Input(input)).await;
}

struct GrantRequest<'a> {
    shard: &'a shard::Id,
    backend: &'a backend::Id,
    fence: tarragon_model::fence::Fence,
    ticket: Option<u64>,
}

#[derive(Deserialize)]
struct Health {
    state: String,
    instance: String,
}

#[derive(Deserialize)]
struct GrantResponse {
    granted: bool,
    ticket: u64,
    instance: String,
}

async fn probe(client: &Client, addr: SocketAddr) -> ProbeResult {
    let headers = HeaderMap::new();
    let call = Call {
        addr,
        method: &Method::GET,
        path: "/_health",
        headers: &headers,
        body: bytes::Bytes::new(),
    };
    match client.send(call).await {
        Ok(response) => match read_json::<Health>(response).await {
            Some(health) => ProbeResult::Responded {
                instance: health.instance,
                draining: health.state == "draining",
            },
            None => ProbeResult::Failed,
        },
        Err(error) if is_refused(&error) => ProbeResult::Refused,
        Err(_) => ProbeResult::Failed,
    }
}

async fn grant(client: &Client, addr: SocketAddr, request: &GrantRequest<'_>) -> GrantResult {
    let body = json!({
        "shard": request.shard.object_name(),
        "backend": request.backend,
        "epoch": request.fence.epoch,
        "succession": request.fence.succession,
        "ttl_ms": tarragon_node::health::GRANT_TTL.as_millis(),
        "ticket": request.ticket,
    });
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    let body = bytes::Bytes::from(body.to_string());
    let call = Call {
        addr,
        method: &Method::POST,
        path: "/_grant",
        headers: &headers,
        body,
    };
    match client.send(call).await {
        Ok(response) => match read_json::<GrantResponse>(response).await {
            Some(response) => GrantResult::Responded {
                granted: response.granted,
                ticket: response.ticket,
                instance: response.instance,
            },
            None => GrantResult::Failed,
        },
        Err(error) if is_refused(&error) => GrantResult::Refused,
        Err(_) => GrantResult::Failed,
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(response: Response) -> Option<T> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
