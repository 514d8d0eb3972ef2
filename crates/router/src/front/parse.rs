//! Parses requests: key, deadline, and whether a request may run twice.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use http_body_util::{BodyExt, Limited};
use tarragon_model::config::Service;
use tarragon_model::key::Hash;
use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;
use tarragon_model::{key, shard};
use tokio::time::timeout;
use uuid::Uuid;
use volo_http::request::Request;
use xxhash_rust::xxh3::Xxh3;

use crate::backend::header_text;
use crate::shared::Shared;
use crate::view::View;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Timeout of receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time that a caller may set for a request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Header with the remaining time for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "tarragon-deadline-ms";
/// Header with the identifier of a non-idempotent request.
pub const IDENTIFIER_HEADER: &str = "idempotency-key";
/// Header fields that are not forwarded: hop-by-hop fields, and those that the client sets itself.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
];

/// Parsed request with its whole body.
#[derive(Clone, Debug)]
pub struct ParsedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header fields to forward.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Key that the request names.
    pub key: String,
    /// Hash of the key.
    pub hash: Hash,
    /// Key group of the key.
    pub group: key::Group,
    /// Shard that the key belongs to.
    pub shard: shard::Id,
    /// Index of the request's class among the service's classes.
    pub class: u8,
    /// Time after which the response is of no use to the caller.
    pub deadline: Instant,
    /// Whether running the request twice is harmless.
    pub idempotent: bool,
    /// Identifier of a non-idempotent request.
    pub identifier: Option<u128>,
    /// Hash that identifies retries of the same request.
    pub fingerprint: u64,
}

/// Receives and parses a request.
///
/// # Errors
///
/// Returns the reason for which the request must be refused.
pub async fn read(shared: &Shared, view: &View, request: Request) -> Result<ParsedRequest, Reason> {
    let arrived = shared.clock.monotonic();
    let (head, body) = request.into_parts();
    let path = head
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
        .to_owned();
    let key_path = KeyPath::parse(head.uri.path())?;
    let Some(service) = view.config.service(key_path.service) else {
        let unknown = view.config_version == 0;
        return Err(if unknown {
            Reason::NoLeader
        } else {
            Reason::NoService
        });
    };
    let hash = Hash::of(key_path.key);
    let group = hash.group(service.groups);
    let body = read_body(body).await?;
    let idempotent = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let identifier = identifier(&head.headers, idempotent)?;
    Ok(ParsedRequest {
        fingerprint: fingerprint(&head.method, &path, &body, identifier),
        deadline: arrived + remaining_time(&head.headers, service)?,
        class: class_of(service, key_path.rest),
        shard: service.shard_of(group),
        key: key_path.key.to_owned(),
        headers: request_headers(&head.headers),
        method: head.method,
        path,
        body,
        hash,
        group,
        idempotent,
        identifier,
    })
}

/// Parts of the path `/{service}/{key}/...`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyPath<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The key.
    pub key: &'a str,
    /// Rest of the path, without the slash after the key.
    pub rest: &'a str,
}

impl<'a> KeyPath<'a> {
    /// Splits a path.
    ///
    /// # Errors
    ///
    /// [`Reason::BadRequest`] if the service or the key is missing.
    ///
    /// ```
    /// use tarragon_router::front::parse::KeyPath;
    ///
    /// let key_path = KeyPath::parse("/balance/vessel-9/today").unwrap();
    /// assert_eq!((key_path.service, key_path.key, key_path.rest), ("balance", "vessel-9", "today"));
    /// assert!(KeyPath::parse("/balance").is_err());
    /// ```
    pub fn parse(path: &'a str) -> Result<Self, Reason> {
        let path = path.strip_prefix('/').ok_or(Reason::BadRequest)?;
        let (service, tail) = path.split_once('/').ok_or(Reason::BadRequest)?;
        let (key, rest) = tail.split_once('/').unwrap_or((tail, ""));
        if service.is_empty() || key.is_empty() {
            return Err(Reason::BadRequest);
        }
        Ok(Self { service, key, rest })
    }
}

async fn read_body(body: volo_http::body::Body) -> Result<Bytes, Reason> {
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) | Err(_) => Err(Reason::BadRequest),
    }
}

/// Returns the identifier of a non-idempotent request, which must be a UUID of version 7.
fn identifier(headers: &HeaderMap, idempotent: bool) -> Result<Option<u128>, Reason> {
    if idempotent {
        return Ok(None);
    }
    let text = header_text(headers, IDENTIFIER_HEADER).ok_or(Reason::NoIdentifier)?;
    let id = Uuid::try_parse(text).map_err(|_| Reason::NoIdentifier)?;
    if id.get_version_num() != 7 {
        return Err(Reason::NoIdentifier);
    }
    Ok(Some(id.as_u128()))
}

fn remaining_time(headers: &HeaderMap, service: &Service) -> Result<Duration, Reason> {
    let Some(text) = header_text(headers, DEADLINE_HEADER) else {
        return Ok(Duration::from_millis(u64::from(service.deadline_ms)));
    };
    let millis: u64 = text.parse().map_err(|_| Reason::BadRequest)?;
    Ok(Duration::from_millis(millis.min(MAX_DEADLINE_MS)))
}

/// Returns the index of the first class whose prefix matches the rest of the path, or 0.
fn class_of(service: &Service, rest: &str) -> u8 {
    let matching = service
        .classes
        .iter()
        .position(|class| rest.starts_with(&class.prefix));
    u8::try_from(matching.unwrap_or_default()).unwrap_or_default()
}

fn request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}

/// Returns a hash of identifier, method, path, query and body.
///
/// Two requests with the same fingerprint are treated as the same request.
fn fingerprint(method: &Method, path: &str, body: &[u8], identifier: Option<u128>) -> u64 {
    let mut hash = Xxh3::new();
    if let Some(id) = identifier {
        hash.update(&id.to_be_bytes());
    }
    hash.update(method.as_str().as_bytes());
    hash.update(path.as_bytes());
    hash.update(body);
    hash.digest()
}
