//! HTTP servers of the process.
//!
//! `volo_http`'s server ends by itself after a signal. Its shutdown hook is made to wait until
//! this process has ended all its requests, however long a download takes.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use tokio_util::sync::CancellationToken;
use volo::net::Address;
use volo::service::Service;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

use crate::error::Error;

/// Limits of one server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Header fields that a request may have.
    pub headers: usize,
}

/// Answers requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// Serves requests on an address until `stop` is cancelled.
///
/// After a signal the server goes on until `close` is cancelled; then it closes idle connections
/// and ends.
///
/// # Errors
///
/// Fails when the address cannot be listened on.
pub async fn serve<H: Handler>(
    addr: SocketAddr,
    limits: Limits,
    handler: H,
    close: CancellationToken,
    stop: CancellationToken,
) -> Result<(), Error> {
    let mut server = Server::new(Adapter { handler })
        .register_shutdown_hook(move || Box::pin(async move { close.cancelled().await }));
    server.http1_config().set_max_headers(limits.headers);
    let run = server.run(Address::Ip(addr));
    tokio::select! {
        result = run => result.map_err(|source| {
            Error::Listen { addr, source: std::io::Error::other(source.to_string()) }
        }),
        () = stop.cancelled() => Ok(()),
    }
}

#[derive(Clone)]
struct Adapter<H> {
    handler: H,
}

impl<H: Handler> Service<ServerContext, Request> for Adapter<H> {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        Ok(self.handler.handle(request).await)
    }
}
