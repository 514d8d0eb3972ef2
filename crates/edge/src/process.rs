//! Start, reload and end of the process.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tarragon_store::api::Api;
use tarragon_store::client::Client;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::cluster::{self, Cache};
use crate::peer::Links;
use crate::platform::Platform;
use crate::settings::Settings;
use crate::state::State;
use crate::{election, front};

/// Time in which a call of the store must be answered.
const STORE_TIME: Duration = Duration::from_millis(800);
/// Events of links that wait at most.
const EVENTS: usize = 256;
/// Connections that wait to be accepted at most.
const BACKLOG: u32 = 1_024;
/// Time after which the platform's balancer has taken note that a host is not ready.
const NOTICE: Duration = Duration::from_millis(2_300);
/// Part of the time to stop that is kept for the end itself.
const SPARE: Duration = Duration::from_millis(500);
/// Time between two looks at a settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Error that keeps a process from serving.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be listened on.
    #[error("listening on {address}: {source}; check that the address is this host's and free")]
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A part of the process could not be set up.
    #[error("setting up {step}: {text}")]
    Setup {
        /// What was being set up.
        step: &'static str,
        /// What went wrong.
        text: String,
    },
}

/// Reads the settings anew.
pub type Reload = Box<dyn Fn() -> Result<Settings, String>>;

/// Serves until the process is told to stop.
///
/// # Errors
///
/// What keeps it from serving.
pub fn run(settings: Settings, platform: Box<dyn Platform>, reload: Reload) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Setup {
            step: "runtime",
            text: error.to_string(),
        })?;
    let work = LocalSet::new();
    work.block_on(&runtime, serve(settings, platform, reload))
}

async fn serve(
    settings: Settings,
    platform: Box<dyn Platform>,
    reload: Reload,
) -> Result<(), Error> {
    let incarnation = incarnation();
    let api: Rc<dyn Api> = Rc::new(
        Client::with_dialect(platform.dialect(), settings.store, STORE_TIME).map_err(|error| {
            Error::Setup {
                step: "store client",
                text: error.to_string(),
            }
        })?,
    );
    let callers = listen(settings.callers)?;
    let ready = listen(settings.ready)?;
    let control = listen(settings.control)?;
    let metrics = settings.metrics.map(listen).transpose()?;
    log::info!(
        "event=start host={} incarnation={incarnation} zone={} callers={} control={} store={}",
        settings.host,
        settings.zone,
        settings.callers,
        settings.control,
        settings.store
    );
    let state = Rc::new(State::new(settings, platform, incarnation));
    let cluster = Rc::new(Cache::default());
    let (events, heard) = mpsc::channel(EVENTS);
    let links = Links::new(state.clone(), events);
    tokio::task::spawn_local(cluster::follow(state.clone(), cluster.clone(), api.clone()));
    tokio::task::spawn_local(links.clone().serve(control));
    tokio::task::spawn_local(election::run(state.clone(), cluster, links, api, heard));
    tokio::task::spawn_local(front::serve(state.clone(), callers));
    tokio::task::spawn_local(answer_operators(state.clone(), ready));
    if let Some(metrics) = metrics {
        tokio::task::spawn_local(answer_operators(state.clone(), metrics));
    }
    tokio::task::spawn_local(reload_changes(state.clone(), reload));
    stop(&state).await
}

/// Waits for the signal to stop, then ends what was begun and nothing else.
async fn stop(state: &State) -> Result<(), Error> {
    let failed = |error: io::Error| Error::Setup {
        step: "signals",
        text: error.to_string(),
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let grace = state.bounds.get().grace;
    let end = tokio::time::Instant::now() + grace.saturating_sub(SPARE);
    log::info!(
        "event=stop step=leaving connections={} grace_ms={}",
        state.connections.get(),
        grace.as_millis()
    );
    state.leaving.cancel();
    tokio::time::sleep(NOTICE.min(grace / 2)).await;
    state.drain.cancel();
    while state.connections.get() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    log::info!(
        "event=stop step=end connections={}",
        state.connections.get()
    );
    state.stop.cancel();
    // The writer of the log gathers lines for a tenth of a second.
    tokio::time::sleep(Duration::from_millis(150)).await;
    Ok(())
}

/// Reads the settings again when told to, and now and then.
async fn reload_changes(state: Rc<State>, reload: Reload) {
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(signal) => signal,
        Err(error) => {
            log::error!("event=reload-off error=\"{error}\"");
            return;
        }
    };
    loop {
        let told = tokio::select! {
            _ = hang_up.recv() => true,
            () = tokio::time::sleep(LOOK) => false,
        };
        match reload() {
            Ok(settings) => {
                let changed = settings.bounds != state.bounds.get();
                if told || changed {
                    log::info!("event=reload told={told} changed={changed}");
                }
                state.bounds.set(settings.bounds);
            }
            Err(text) if told => log::warn!("event=reload outcome=kept error=\"{text}\""),
            Err(_) => {}
        }
    }
}

/// Answers whether the host takes connections, and its metrics.
async fn answer_operators(state: Rc<State>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept-failed listener=operators error=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let state = state.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let answer = operators(&state, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("event=operator-lost error=\"{error}\"");
            }
        });
    }
}

fn operators(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() == "/metrics" {
        return Response::new(Full::new(Bytes::from(state.metrics.text())));
    }
    let mut response = Response::new(Full::default());
    if !is_ready(state) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Tells whether requests can be served: routes and backend servers are known.
fn is_ready(state: &State) -> bool {
    !state.leaving.is_cancelled()
        && state.catalog_revision() > 0
        && state.fleet.borrow().iter().next().is_some()
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let failed = |source| Error::Listen { address, source };
    let socket = TcpSocket::new_v4().map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(address).map_err(failed)?;
    socket.listen(BACKLOG).map_err(failed)
}

/// Returns a number that later processes of the host exceed.
fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
