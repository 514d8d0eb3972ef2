//! HTTP servers of the process.
//!
//! `volo_http`'s server shuts down by itself on a signal. Its shutdown hook waits until this
//! process has completed all its requests, however long a download takes.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tarragon_timeline::event::{Draft, Kind, Name};
use tokio::net::TcpListener;
use volo::net::Address;
use volo::service::Service;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

use crate::connections::{ConnectionRef, Event, Gate, Registry, Tracker};
use crate::error::Error;
use crate::shared::Shared;

/// Maximum interval between two checks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Limits of one server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of header fields of a request.
    pub headers: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time after which a connection is closed that has no running request and has not sent the
    /// whole head of a new one; `None` for no limit.
    pub idle: Option<Duration>,
}

/// Handles the requests of a server.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Returns the response to a request that came over `connection`.
    fn handle(
        &self,
        request: Request,
        connection: ConnectionRef,
    ) -> impl Future<Output = Response> + Send;
}

/// Serves requests on an address until the process stops.
///
/// After a signal, the server keeps running until [`Shared::close`] is cancelled; then it closes
/// idle connections and returns.
///
/// # Errors
///
/// [`Error::Listen`] if it cannot listen on the address or the server fails.
pub async fn serve<H: Handler>(
    shared: &Shared,
    addr: SocketAddr,
    limits: Limits,
    handler: H,
) -> Result<(), Error> {
    let listener = TcpListener::bind(addr).await;
    let listener = listener.map_err(|source| Error::Listen { addr, source })?;
    let registry = Registry::new(limits.connections, report(shared, addr));
    let adapter = Adapter {
        handler,
        registry: Arc::clone(&registry),
    };
    let close = shared.close.clone();
    let mut server = Server::new(adapter)
        .span_provider(Tracker::Server(Arc::clone(&registry)))
        .register_shutdown_hook(move || Box::pin(async move { close.cancelled().await }));
    server.http1_config().set_max_headers(limits.headers);
    let run = server.run(Gate::new(listener, Arc::clone(&registry)));
    tokio::select! {
        result = run => result.map_err(|source| {
            Error::Listen { addr, source: std::io::Error::other(source.to_string()) }
        }),
        () = close_idle(&registry, limits.idle) => Ok(()),
        () = shared.stop.cancelled() => Ok(()),
    }
}

async fn close_idle(registry: &Registry, limit: Option<Duration>) {
    let Some(limit) = limit else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL.min(limit)).await;
        registry.close_idle(limit);
    }
}

/// Returns a callback that records refused and closed connections in the timeline, rate-limited.
fn report(shared: &Shared, addr: SocketAddr) -> Arc<dyn Fn(SocketAddr, Event) + Send + Sync> {
    let shared = shared.clone();
    Arc::new(move |peer, event| {
        let kind = match event {
            Event::Refused => Kind::ConnectionRefused,
            Event::Idle => Kind::ConnectionIdle,
        };
        let draft = Draft::new(kind).with(Name::Peer, peer).with(Name::To, addr);
        shared.record_rate_limited(draft);
    })
}

/// Adapts a [`Handler`] to the service trait of the HTTP library.
#[derive(Clone)]
struct Adapter<H> {
    handler: H,
    registry: Arc<Registry>,
}

impl<H: Handler> Service<ServerContext, Request> for Adapter<H> {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, cx: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let connection = match cx.rpc_info.caller().address() {
            Some(Address::Ip(peer)) => self.registry.connection(peer),
            _ => ConnectionRef::default(),
        };
        Ok(self.handler.handle(request, connection).await)
    }
}
