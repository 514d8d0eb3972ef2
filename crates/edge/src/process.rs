//! Startup, configuration reload and shutdown of the process.

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
use tokio::task::{JoinSet, LocalSet};

use crate::cluster::{self, Cache};
use crate::peer::Links;
use crate::platform::Platform;
use crate::settings::Settings;
use crate::shutdown::Schedule;
use crate::state::State;
use crate::{election, evacuation, front};

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of queued link events.
const EVENT_QUEUE: usize = 256;
/// Maximum number of connections that wait to be accepted by one listener.
const BACKLOG: u32 = 1_024;
/// Time after which the platform's load balancer has noticed that a host is not ready.
const READINESS_DELAY: Duration = Duration::from_millis(2_300);
/// Part of the grace period that is reserved for answering interrupted requests and ending the
/// process.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(500);
/// Time for the answers of interrupted requests to leave, within [`SHUTDOWN_RESERVE`].
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Interval between two reads of the settings file, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Error that prevents the process from serving.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be listened on.
    #[error("listening on {address}: {source}; check that the address is this host's and free")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A component of the process could not be set up.
    #[error("setting up {step}: {text}")]
    Setup {
        /// Name of the component.
        step: &'static str,
        /// Cause of the failure.
        text: String,
    },
    /// A task that the process needs has ended because of an internal error.
    #[error("internal error: {text}; the process has to be started again")]
    Task {
        /// Description of the panic.
        text: String,
    },
}

/// Reads the settings again; the error text describes what is invalid.
pub type Reload = Box<dyn Fn() -> Result<Settings, String>>;

/// Serves until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns what prevents the process from serving.
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
        Client::with_dialect(platform.dialect(), settings.store, STORE_TIMEOUT).map_err(
            |error| Error::Setup {
                step: "store client",
                text: error.to_string(),
            },
        )?,
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
    let (events, incoming) = mpsc::channel(EVENT_QUEUE);
    let links = Links::new(state.clone(), events);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(cluster::follow(state.clone(), cluster.clone(), api.clone()));
    tasks.spawn_local(links.clone().serve(control));
    tasks.spawn_local(election::run(state.clone(), cluster, links, api, incoming));
    tasks.spawn_local(front::serve(state.clone(), callers));
    tasks.spawn_local(serve_operators(state.clone(), ready));
    if let Some(metrics) = metrics {
        tasks.spawn_local(serve_operators(state.clone(), metrics));
    }
    tasks.spawn_local(reload_changes(state.clone(), reload));
    tokio::select! {
        stopped = stop(&state) => stopped,
        text = first_panic(tasks) => Err(Error::Task { text }),
    }
}

/// Waits until a task panics. The process cannot do its work without one of them, so it ends and is
/// started again.
async fn first_panic(mut tasks: JoinSet<()>) -> String {
    while let Some(ended) = tasks.join_next().await {
        if let Err(error) = ended {
            log::error!("event=task-failed error=\"{error}\"");
            return error.to_string();
        }
    }
    std::future::pending().await
}

/// Waits for the stop signal, then stops accepting connections and lets open ones finish within the
/// grace period. Requests that are then still under way are interrupted.
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
    let schedule = Schedule::new(
        tokio::time::Instant::now(),
        grace.saturating_sub(SHUTDOWN_RESERVE),
    );
    log::info!(
        "event=stop step=leaving connections={} grace_ms={}",
        state.connections.get(),
        grace.as_millis()
    );
    state.shutdown.set(Some(schedule));
    state.leaving.cancel();
    tokio::time::sleep(READINESS_DELAY.min(grace / 2)).await;
    state.drain.cancel();
    let in_use = || state.connections.get() > 0 || state.is_granter.get();
    while in_use() && tokio::time::Instant::now() < schedule.end() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    if state.connections.get() > 0 {
        log::info!(
            "event=stop step=interrupt connections={}",
            state.connections.get()
        );
        state.interrupt.cancel();
        let flushed = tokio::time::Instant::now() + FLUSH_TIME;
        while state.connections.get() > 0 && tokio::time::Instant::now() < flushed {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    log::info!(
        "event=stop step=end connections={}",
        state.connections.get()
    );
    state.stop.cancel();
    // The log writer collects lines for 100 ms before it writes them.
    tokio::time::sleep(Duration::from_millis(150)).await;
    Ok(())
}

/// Reloads the settings on SIGHUP and periodically; only changed bounds take effect.
async fn reload_changes(state: Rc<State>, reload: Reload) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(signal) => signal,
        Err(error) => {
            log::error!("event=reload-unavailable error=\"{error}\"");
            return;
        }
    };
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        match reload() {
            Ok(settings) => {
                let changed = settings.bounds != state.bounds.get();
                if signalled || changed {
                    log::info!("event=reload signalled={signalled} changed={changed}");
                }
                state.bounds.set(settings.bounds);
                state
                    .fleet
                    .borrow_mut()
                    .evacuation_mut()
                    .set_bound(settings.bounds.evacuation);
                if changed {
                    state.update_warmup_limits();
                }
            }
            Err(text) if signalled => log::warn!("event=reload outcome=kept error=\"{text}\""),
            Err(_) => {}
        }
    }
}

/// Serves readiness probes and metrics.
async fn serve_operators(state: Rc<State>, listener: TcpListener) {
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
                let response = operator_response(&state, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("event=operator-disconnected error=\"{error}\"");
            }
        });
    }
}

/// Returns the metrics for `/metrics`, and the readiness for any other path.
fn operator_response(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() == "/metrics" {
        return Response::new(Full::new(Bytes::from(state.metrics.text())));
    }
    let mut response = Response::new(Full::default());
    if !is_ready(state) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Returns whether requests can be served: routes, backend servers and evacuated zones are known and
/// the process is not stopping.
pub fn is_ready(state: &State) -> bool {
    !state.leaving.is_cancelled()
        && state.catalog_revision() > 0
        && state.fleet.borrow().iter().next().is_some()
        && evacuation::is_known(state)
}

/// Listens on an IPv4 address.
fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let failed = |source| Error::Listen { address, source };
    let socket = TcpSocket::new_v4().map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(address).map_err(failed)?;
    socket.listen(BACKLOG).map_err(failed)
}

/// Returns the incarnation number: the microseconds since the Unix epoch, so that later processes
/// of the host have larger ones.
fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
