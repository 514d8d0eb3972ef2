//! Shares of cold backend servers between two hosts, and requests under them.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::router::{Caller, Router, answer, catalog, read_head};
use common::store::Store;
use common::{entry_at, state};
use tarragon_dispatch::catalog::Kind;
use tarragon_dispatch::warmup::{Bound, Rate};
use tarragon_edge::cluster::Cache;
use tarragon_edge::peer::Links;
use tarragon_edge::state::State;
use tarragon_edge::{election, front};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Starts a host in a zone that knows the cold server `x` in zone `b`; returns its address for
/// callers.
async fn start_host(
    name: &str,
    zone: &str,
    store: &Rc<Store>,
    server: SocketAddr,
    keyed: bool,
) -> (Rc<State>, SocketAddr) {
    let control = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = callers.local_addr().unwrap();
    let mut state = state();
    name.clone_into(&mut state.settings.host);
    zone.clone_into(&mut state.settings.zone);
    state.settings.control = control.local_addr().unwrap();
    let mut bounds = state.bounds.get();
    bounds.warmup = Some(Bound {
        overrun: 1.5,
        slack: 8.0,
    });
    state.bounds.set(bounds);
    let mut catalog = catalog(Kind::Idempotent, keyed);
    catalog.services[0].warmup = Some(Rate {
        per_s: 6.5,
        time: Duration::from_mins(1),
    });
    state.apply_catalog(catalog, 1);
    let mut entry = entry_at("x", server);
    entry.warmup = Duration::from_mins(1);
    "b".clone_into(&mut entry.zone);
    state.update_server(entry, 1);
    let state = Rc::new(state);
    let (events, incoming) = mpsc::channel(64);
    let links = Links::new(state.clone(), events);
    tokio::task::spawn_local(links.clone().serve(control));
    let cluster = Rc::new(Cache::default());
    let participant = election::run(state.clone(), cluster, links, store.clone(), incoming);
    tokio::task::spawn_local(participant);
    tokio::task::spawn_local(front::serve(state.clone(), callers));
    (state, address)
}

fn admits(state: &State) -> bool {
    let fleet = state.fleet.borrow();
    fleet.admits(fleet.get("x").unwrap(), state.now())
}

async fn wait_until(condition: impl Fn() -> bool) {
    let reached = async {
        while !condition() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let reached = timeout(Duration::from_secs(10), reached).await;
    reached.expect("the condition holds in time");
}

async fn serve(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::task::spawn_local(async move {
            while let Some(head) = read_head(&mut stream).await {
                stream
                    .write_all(answer(&head, "ok").as_bytes())
                    .await
                    .unwrap();
            }
        });
    }
}

/// Returns how many of some requests to a host, one after the other, were served.
async fn served(host: SocketAddr, requests: u32) -> u32 {
    let mut caller = Caller(TcpStream::connect(host).await.unwrap());
    let mut served = 0;
    for request in 0..requests {
        caller.send(&request.to_string(), Some(5), "").await;
        let (status, _) = caller.response().await;
        assert!([200, 503].contains(&status), "{status}");
        served += u32::from(status == 200);
    }
    served
}

/// Guards against a share that does not reach the host it is for, against a second sender, and
/// against requests beyond the share.
#[tokio::test]
async fn one_host_sends_to_a_cold_server() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = listener.local_addr().unwrap();
        tokio::task::spawn_local(serve(listener));
        let store = Rc::new(Store::new());
        let (granter, granter_address) = start_host("g", "a", &store, server, false).await;
        wait_until(|| granter.is_granter.get()).await;
        let (near, near_address) = start_host("n", "b", &store, server, false).await;
        wait_until(|| admits(&near)).await;
        assert!(!admits(&granter));
        assert_eq!(served(granter_address, 3).await, 0);
        assert_eq!(served(near_address, 9).await, 6);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(served(near_address, 9).await, 6);
        // The granter's own host takes over once the other's share has expired.
        near.stop.cancel();
        wait_until(|| admits(&granter)).await;
        assert!(!admits(&near));
        granter.stop.cancel();
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against keyed requests that reach a cold holder from a host without a share, or that are
/// rejected only after several tries: 0.18 s each.
#[tokio::test]
async fn a_keyed_request_to_a_cold_holder_is_rejected_at_once() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = listener.local_addr().unwrap();
        tokio::task::spawn_local(serve(listener));
        let store = Rc::new(Store::new());
        let (state, address) = start_host("g", "a", &store, server, true).await;
        let router = Router { state, address };
        router.grant_all("x", 1);
        let requests = timeout(Duration::from_millis(600), served(address, 5));
        assert_eq!(requests.await, Ok(0));
        router.state.stop.cancel();
    };
    LocalSet::new().run_until(test).await;
}
