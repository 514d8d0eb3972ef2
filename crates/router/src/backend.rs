//! Calls to backend servers: work, probes and grants.

use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
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

/// Time in which a backend server must answer a probe or a grant.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// Largest answer to a probe or a grant, in bytes.
const MAX_PROBE_BYTES: usize = 16 * 1024;
/// Idle connections that are kept to one address.
const MAX_IDLE: usize = 8;
/// Header that names the start of a backend server's process.
pub const INSTANCE_HEADER: &str = "tarragon-instance";
/// Header that says why a backend server refused a request before running it.
pub const REFUSED_HEADER: &str = "tarragon-refused";

/// HTTP client for connections within the fleet.
#[derive(Clone)]
pub struct Client {
    http: volo_http::client::Client,
}

/// A request as it is sent on.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Address to dial.
    pub addr: SocketAddr,
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// Header fields.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
}

impl Client {
    /// Sets up a client with a pool of connections.
    ///
    /// # Errors
    ///
    /// Fails when the library cannot build a client.
    pub fn new() -> Result<Self, ClientError> {
        let mut builder = ClientBuilder::new();
        builder.set_max_idle_per_host(MAX_IDLE);
        Ok(Self {
            http: builder.build()?,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether anything may have been sent; see [`ending`].
    pub async fn send(&self, call: Call<'_>) -> Result<Response, ClientError> {
        let mut builder = self
            .http
            .request_builder()
            .method(call.method.clone())
            .uri(call.path)
            .address(Address::Ip(call.addr));
        builder.headers_mut().extend(call.headers.clone());
        builder.body(Body::from(call.body)).send().await
    }
}

/// Tells what a failed call shows of the request's fate.
#[must_use]
pub fn ending(error: &ClientError) -> Ending {
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

/// Returns the text of a header field, if it has one.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Makes a header value of a text; characters that cannot stand in a header are left out.
#[must_use]
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| {
        let kept: String = text.chars().filter(char::is_ascii_graphic).collect();
        HeaderValue::from_str(&kept).unwrap_or_else(|_| HeaderValue::from_static(""))
    })
}

/// Carries out probes and grants until the process stops.
pub async fn attend(shared: Shared, client: Client, mut orders: mpsc::Receiver<Output>) {
    loop {
        let order = tokio::select! {
            () = shared.stop.cancelled() => return,
            order = orders.recv() => order,
        };
        let Some(order) = order else {
            return;
        };
        tokio::spawn(carry_out(shared.clone(), client.clone(), order));
    }
}

async fn carry_out(shared: Shared, client: Client, order: Output) {
    let input = match order {
        Output::Probe {
            shard,
            backend,
            addr,
        } => {
            let result = timeout(PROBE_TIME, probe(&client, shared.dialled(addr))).await;
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
            let offer = Offer {
                shard: &shard,
                backend: &backend,
                fence,
                ticket,
            };
            let result = timeout(PROBE_TIME, grant(&client, shared.dialled(addr), &offer)).await;
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

struct Offer<'a> {
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
struct Offered {
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
        Ok(response) => match read::<Health>(response).await {
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

async fn grant(client: &Client, addr: SocketAddr, offer: &Offer<'_>) -> GrantResult {
    let body = json!({
        "shard": offer.shard.object_name(),
        "backend": offer.backend,
        "epoch": offer.fence.epoch,
        "succession": offer.fence.succession,
        "ttl_ms": tarragon_node::health::GRANT_TTL.as_millis(),
        "ticket": offer.ticket,
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
        Ok(response) => match read::<Offered>(response).await {
            Some(answer) => GrantResult::Responded {
                granted: answer.granted,
                ticket: answer.ticket,
                instance: answer.instance,
            },
            None => GrantResult::Failed,
        },
        Err(error) if is_refused(&error) => GrantResult::Refused,
        Err(_) => GrantResult::Failed,
    }
}

async fn read<T: serde::de::DeserializeOwned>(response: Response) -> Option<T> {
    let body = Limited::new(response.into_body(), MAX_PROBE_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
