//! HTTP servers for callers' requests and for requests that other routers forward.

pub mod forward;
pub mod leader;
pub mod parse;
pub mod relay;
pub mod response;
pub mod route;

use http::HeaderValue;
use http::header::CONNECTION;
use tarragon_model::outcome::{Outcome, Reason};
use tarragon_timeline::event::{Draft, Kind, Name};
use volo_http::request::Request;
use volo_http::response::Response;

use crate::backend::Client;
use crate::connections::ConnectionRef;
use crate::duty::{Duty, Work};
use crate::error::Error;
use crate::front::relay::RequestGuard;
use crate::front::response::CallerResponse;
use crate::peer::auth;
use crate::refusals;
use crate::server::{self, Handler, Limits};
use crate::shared::Shared;

/// Number of threads that serve callers.
const CALLER_THREADS: usize = 2;
/// Number of threads that serve forwarded requests.
const FORWARD_THREADS: usize = 2;
/// Maximum number of header fields of a request.
const MAX_HEADERS: usize = 64;
/// Bytes of a header field besides its name and value: colon, space and CRLF.
const FIELD_EXTRA_BYTES: usize = 4;
/// Header of a forwarded request that names the host which forwarded it.
pub const HOP_HEADER: &str = "tarragon-hop";
/// Header of a forwarded request that proves that a router of the fleet sent it.
pub const FLEET_HEADER: &str = "tarragon-fleet";

inventory::submit!(Duty {
    name: "callers",
    threads: CALLER_THREADS,
    start: start_callers
});
inventory::submit!(Duty {
    name: "forwarded",
    threads: FORWARD_THREADS,
    start: start_forwarded
});

fn start_callers(shared: Shared) -> Work {
    Box::pin(async move {
        let addr = shared.settings.caller_addr;
        tokio::spawn(refusals::run(shared.clone()));
        serve(shared, addr, Origin::Caller).await
    })
}

fn start_forwarded(shared: Shared) -> Work {
    Box::pin(async move {
        let addr = shared.settings.forward_addr;
        serve(shared, addr, Origin::Router).await
    })
}

async fn serve(shared: Shared, addr: std::net::SocketAddr, origin: Origin) -> Result<(), Error> {
    let client = Client::new().map_err(|error| Error::Client {
        addr,
        detail: error.to_string(),
    })?;
    let limits = limits(&shared, origin);
    let front = Front {
        shared: shared.clone(),
        client,
        origin,
    };
    server::serve(&shared, addr, limits, front).await
}

/// Returns the limits of a server: the settings limit callers, while other routers bound the number
/// of their own connections.
fn limits(shared: &Shared, origin: Origin) -> Limits {
    let limits = &shared.settings.limits;
    match origin {
        Origin::Caller => Limits {
            headers: MAX_HEADERS,
            connections: limits.connections,
            idle: Some(limits.body_idle()),
        },
        Origin::Router => Limits {
            headers: MAX_HEADERS,
            connections: usize::MAX,
            idle: None,
        },
    }
}

/// Sender of the requests that a server receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// Callers, whose requests may be led by another router.
    Caller,
    /// Other routers, which forward requests to the leader of the shard.
    Router,
}

/// Handler of requests to route.
#[derive(Clone)]
struct Front {
    shared: Shared,
    client: Client,
    origin: Origin,
}

impl Handler for Front {
    async fn handle(&self, request: Request, connection: ConnectionRef) -> Response {
        let started = self.shared.clock.monotonic();
        let guard = RequestGuard::new(self.shared.track_request(), connection);
        let response = self.respond(request).await;
        let seconds = self.shared.clock.monotonic().since(started).as_secs_f64();
        if self.origin == Origin::Caller {
            self.shared
                .metrics
                .request_ended(response.outcome, response.reason, seconds);
            if let (Outcome::NotRun, Some(reason)) = (response.outcome, response.reason) {
                self.shared.refusals.count_for_caller(reason);
            }
        }
        let mut http_response = response.into_response(guard);
        if self.shared.drain.is_cancelled() {
            http_response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        http_response
    }
}

impl Front {
    async fn respond(&self, request: Request) -> CallerResponse {
        if self.origin == Origin::Router && !self.is_from_fleet(&request) {
            let draft = Draft::new(Kind::ConnectionRefused)
                .with(Name::Step, "forward")
                .with(Name::Reason, "no proof of the fleet key");
            self.shared.record_rate_limited(draft);
            return CallerResponse::refused(Reason::BadRequest);
        }
        if header_bytes(&request) > self.shared.settings.limits.header_bytes {
            return CallerResponse::refused(Reason::BadRequest);
        }
        let view = self.shared.view.borrow().clone();
        let parsed = match parse::read(&self.shared, &view, request).await {
            Ok(parsed) => parsed,
            Err(reason) => return CallerResponse::refused(reason),
        };
        match self.origin {
            Origin::Caller => route::to_leader(&self.shared, &self.client, &parsed).await,
            Origin::Router => leader::run(&self.shared, &self.client, &parsed).await,
        }
    }

    /// Returns whether the request carries the MAC of its path and query under the fleet key.
    fn is_from_fleet(&self, request: &Request) -> bool {
        let path = request
            .uri()
            .path_and_query()
            .map_or("", http::uri::PathAndQuery::as_str);
        let code =
            crate::backend::header_text(request.headers(), FLEET_HEADER).and_then(decode_hex);
        code.is_some_and(|code| auth::verify(&self.shared.fleet_key, &[path.as_bytes()], &code))
    }
}

/// Returns the approximate size of a request's head on the wire: path, query and header fields.
fn header_bytes(request: &Request) -> usize {
    let path = request.uri().path_and_query();
    let line = path.map_or(0, |path| path.as_str().len());
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_EXTRA_BYTES);
    line + fields.sum::<usize>()
}

/// Returns the lowercase hexadecimal representation of `bytes`.
#[must_use]
pub fn encode_hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}
