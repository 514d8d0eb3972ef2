//! Reading a request: whose key it names, when it is due, whether it may run twice.

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

use crate::backend::text;
use crate::shared::Shared;
use crate::view::View;

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time in which the body of a request must have come.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Longest deadline that a caller may ask for, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Header with the time left for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "tarragon-deadline-ms";
/// Header with the identifier of a request that is not idempotent.
pub const IDENTIFIER_HEADER: &str = "idempotency-key";
/// Header fields that belong to one connection and are not passed on.
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

/// A request, read whole.
#[derive(Clone, Debug)]
pub struct Task {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header fields that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The key.
    pub key: String,
    /// Hash of the key.
    pub hash: Hash,
    /// Group of the key.
    pub group: key::Group,
    /// Shard of the key.
    pub shard: shard::Id,
    /// Position of the request's class.
    pub class: u8,
    /// Instant at which the answer is worthless.
    pub deadline: Instant,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Identifier of a request that is not idempotent.
    pub identifier: Option<u128>,
    /// Hash of what makes two requests the same request.
    pub fingerprint: u64,
}

/// Reads a request.
///
/// # Errors
///
/// Returns the reason for which a request that cannot be run is refused.
pub async fn read(shared: &Shared, view: &View, request: Request) -> Result<Task, Reason> {
    let arrived = shared.clock.at();
    let (head, body) = request.into_parts();
    let path = head
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
        .to_owned();
    let address = Address::parse(head.uri.path())?;
    let Some(service) = view.config.service(address.service) else {
        let unknown = view.config_version == 0;
        return Err(if unknown {
            Reason::NoLeader
        } else {
            Reason::NoService
        });
    };
    let hash = Hash::of(address.key);
    let group = hash.group(service.groups);
    let body = collect(body).await?;
    let idempotent = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let identifier = identifier(&head.headers, idempotent)?;
    Ok(Task {
        fingerprint: fingerprint(&head.method, &path, &body, identifier),
        deadline: arrived + time_left(&head.headers, service)?,
        class: class_of(service, address.rest),
        shard: service.shard_of(group),
        key: address.key.to_owned(),
        headers: passed_on(&head.headers),
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
pub struct Address<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The key.
    pub key: &'a str,
    /// What follows the key.
    pub rest: &'a str,
}

impl<'a> Address<'a> {
    /// Splits a path.
    ///
    /// # Errors
    ///
    /// Fails when service or key is missing.
    ///
    /// ```
    /// use tarragon_router::front::parse::Address;
    ///
    /// let address = Address::parse("/balance/vessel-9/today").unwrap();
    /// assert_eq!((address.service, address.key, address.rest), ("balance", "vessel-9", "today"));
    /// assert!(Address::parse("/balance").is_err());
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

async fn collect(body: volo_http::body::Body) -> Result<Bytes, Reason> {
    let collected = timeout(BODY_TIME, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) | Err(_) => Err(Reason::BadRequest),
    }
}

fn identifier(headers: &HeaderMap, idempotent: bool) -> Result<Option<u128>, Reason> {
    if idempotent {
        return Ok(None);
    }
    let text = text(headers, IDENTIFIER_HEADER).ok_or(Reason::NoIdentifier)?;
    let id = Uuid::try_parse(text).map_err(|_| Reason::NoIdentifier)?;
    if id.get_version_num() != 7 {
        return Err(Reason::NoIdentifier);
    }
    Ok(Some(id.as_u128()))
}

fn time_left(headers: &HeaderMap, service: &Service) -> Result<Duration, Reason> {
    let Some(text) = text(headers, DEADLINE_HEADER) else {
        return Ok(Duration::from_millis(u64::from(service.deadline_ms)));
    };
    let millis: u64 = text.parse().map_err(|_| Reason::BadRequest)?;
    Ok(Duration::from_millis(millis.min(MAX_DEADLINE_MS)))
}

fn class_of(service: &Service, rest: &str) -> u8 {
    let matching = service
        .classes
        .iter()
        .position(|class| rest.starts_with(&class.prefix));
    u8::try_from(matching.unwrap_or_default()).unwrap_or_default()
}

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}

/// Two requests are the same request when they carry the same identifier or, without one, the same
/// method, path, query and body.
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
