//! A host that stops while it renews the grants.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::keyed_state;
use common::router::add_holder;
use common::store::{Mode, Store};
use tarragon_edge::cluster::{self, Cache};
use tarragon_edge::election;
use tarragon_edge::peer::Links;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Runs a granter that receives the stop signal, while the store is away if `away`; returns how
/// many grants it renews during the three seconds from one second later on.
async fn renewals_after_stop(away: bool) -> u32 {
    let state = Rc::new(keyed_state());
    let store = Rc::new(Store::new());
    let cluster = Rc::new(Cache::default());
    let (events, incoming) = mpsc::channel(16);
    let links = Links::new(state.clone(), events);
    let commands = add_holder(&state, "a").await;
    tokio::task::spawn_local(cluster::follow(
        state.clone(),
        cluster.clone(),
        store.clone(),
    ));
    let election = election::run(state.clone(), cluster, links, store.clone(), incoming);
    tokio::task::spawn_local(election);
    sleep(Duration::from_secs(4)).await;
    assert!(state.is_granter.get() && commands.get() > 0, "it grants");
    if away {
        store.set_mode(Mode::Away { applies: false });
        sleep(Duration::from_millis(1_500)).await;
    }
    state.leaving.cancel();
    sleep(Duration::from_secs(1)).await;
    let before = commands.get();
    sleep(Duration::from_secs(3)).await;
    let renewed = commands.get() - before;
    assert_eq!(state.is_granter.get(), away);
    store.set_mode(Mode::Serves);
    sleep(Duration::from_millis(2_500)).await;
    assert!(!state.is_granter.get(), "it steps down when it can");
    state.stop.cancel();
    renewed
}

#[tokio::test]
async fn a_granter_steps_down_at_once_while_the_store_is_available() {
    let renewed = LocalSet::new().run_until(renewals_after_stop(false)).await;
    assert_eq!(renewed, 0);
}

#[tokio::test]
async fn a_granter_renews_to_its_end_while_no_other_host_can_take_over() {
    let renewed = LocalSet::new().run_until(renewals_after_stop(true)).await;
    assert!(renewed >= 2, "renewed {renewed} times");
}
