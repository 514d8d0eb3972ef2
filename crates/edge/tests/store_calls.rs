//! Calls of one host to the store while the store is away, by the size of the fleet.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::state;
use common::store::{Mode, Store};
use tarragon_edge::cluster::{self, Cache};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_secs(6);
/// Interval between two heartbeats of the granter.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the number of calls of one of `hosts` hosts during an outage, and the number in the
/// five seconds after it.
async fn calls(hosts: u32, hears_granter: bool) -> (u32, u32) {
    let state = Rc::new(state());
    state.host_count.set(hosts);
    let store = Rc::new(Store::new());
    let cluster = Rc::new(Cache::default());
    store.set_mode(Mode::Away { applies: false });
    let follow = cluster::follow(state.clone(), cluster.clone(), store.clone());
    tokio::task::spawn_local(follow);
    if hears_granter {
        let state = state.clone();
        tokio::task::spawn_local(async move {
            while !state.stop.is_cancelled() {
                cluster.note_heartbeat(state.now());
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }
    sleep(OUTAGE).await;
    let during = store.calls();
    store.set_mode(Mode::Serves);
    sleep(Duration::from_secs(5)).await;
    state.stop.cancel();
    (during, store.calls() - during)
}

#[tokio::test]
async fn a_large_fleet_asks_no_more_than_a_small_one() {
    let (small, large) = LocalSet::new()
        .run_until(async { tokio::join!(calls(9, true), calls(295, true)) })
        .await;
    // Both watches of a host fail at once, whatever the size of the fleet.
    let (small, large) = (9 * (small.0 - 2), 295 * (large.0 - 2));
    assert!(
        large <= small * 8,
        "{large} calls of 295 hosts, {small} of 9"
    );
}

#[tokio::test]
async fn a_host_without_a_granter_finds_the_store_again() {
    let calls = LocalSet::new().run_until(calls(295, false)).await;
    assert!(calls.1 > 0, "{calls:?}");
}
