//! HTTP servers of the process.
//!
//! `volo_http`'s server ends by itself after a signal. Its shutdown hook is made to wait until
//! this process has ended all its requests, however long a download takes.

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

use crate::connections::{Caller, Event, Gate, Keeper, Registry};
use crate::error::Error;
use crate::shared::Shared;

/// Pause between two looks for connections that stand still.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Limits of one server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Header fields that a request may have.
    pub headers: usize,
    /// Connections that are open at a time.
    pub connections: usize,
    /// Time after which a connection is closed that has sent no whole request head.
    pub idle: Option<Duration>,
}

/// Answers requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request, caller: Caller) -> impl Future<Output = Response> + Send;
}

/// Serves requests on an address until the process stops.
///
/// After a signal the server goes on until [`Shared::close`] is cancelled; then it closes idle
/// connections and ends.
///
/// # Errors
///
/// Fails when the address cannot be listened on.
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
        .span_provider(Keeper::Server(Arc::clone(&registry)))
        .register_shutdown_hook(move || Box::pin(async move { close.cancelled().await }));
    server.http1_config().set_max_headers(limits.headers);
    let run = server.run(Gate::new(listener, Arc::clone(&registry)));
    tokio::select! {
        result = run => result.map_err(|source| {
            Error::Listen { addr, source: std::io::Error::other(source.to_string()) }
        }),
        () = cut_idle(&registry, limits.idle) => Ok(()),
        () = shared.stop.cancelled() => Ok(()),
    }
}

async fn cut_idle(registry: &Registry, limit: Option<Duration>) {
    let Some(limit) = limit else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(LOOK_PAUSE.min(limit)).await;
        registry.cut_idle(limit);
    }
}

/// Puts what befell connections into the time line, a few events a second.
fn report(shared: &Shared, addr: SocketAddr) -> Arc<dyn Fn(SocketAddr, Event) + Send + Sync> {
    let shared = shared.clone();
    Arc::new(move |peer, event| {
        let kind = match event {
            Event::Refused => Kind::ConnectionRefused,
            Event::Idle => Kind::ConnectionIdle,
        };
        let draft = Draft::new(kind).with(Name::Peer, peer).with(Name::To, addr);
        shared.record_some(draft);
    })
}

#[derive(Clone)]
struct Adapter<H> {
    handler: H,
    registry: Arc<Registry>,
}

impl<H: Handler> Service<ServerContext, Request> for Adapter<H> {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, cx: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let caller = match cx.rpc_info.caller().address() {
            Some(Address::Ip(peer)) => self.registry.caller(peer),
            _ => Caller::default(),
        };
        Ok(self.handler.handle(request, caller).await)
    }
}
