//! News of zones under evacuation: how hosts learn of them, and what they send then.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ciborium::cbor;
use common::router::{Router, add_holder, answer, read_head, with_router};
use common::store::{Mode, Store};
use common::{Plain, add_keyed_service, entry_at, settings, state};
use http::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tarragon_dispatch::catalog::Kind;
use tarragon_dispatch::evacuation::Set;
use tarragon_dispatch::fleet::Entry;
use tarragon_edge::cluster::{self, Cache};
use tarragon_edge::peer::{Frame, Links};
use tarragon_edge::relay::{self, CallerRequest, Outcome};
use tarragon_edge::state::State;
use tarragon_edge::{election, evacuation, process};
use tarragon_store::api::Api;
use tarragon_store::object::{Key, Version};
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

const BOUND: Duration = Duration::from_millis(1_500);
const SECOND: Duration = Duration::from_secs(1);

/// Returns the state of a host on a platform that evacuates zones.
fn evacuating(first_start: bool) -> Rc<State> {
    let mut settings = settings();
    settings.first_start = first_start;
    settings.bounds.evacuation = Some(BOUND);
    Rc::new(State::new(settings, Box::new(Plain::new()), 1))
}

fn set(revision: u64, zones: &[&str]) -> Set {
    Set {
        revision,
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
        ..Set::default()
    }
}

/// Begins the evacuation of the zone `z` at the operators' store.
async fn evacuate(store: &Store) {
    let key = Key::new("evacuations", "z");
    let stop = CancellationToken::new();
    store
        .put(key, Version::ABSENT, &json!({}), &stop)
        .await
        .unwrap();
}

fn is_evacuated(state: &State) -> bool {
    state.fleet.borrow().evacuation().contains("z")
}

/// Waits for up to `time` until the host knows that the zone `z` is under evacuation.
async fn learns_within(state: &State, time: Duration) -> bool {
    let known = async {
        while !is_evacuated(state) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(time, known).await.is_ok()
}

fn follow(state: &Rc<State>, store: &Rc<Store>) -> Rc<Cache> {
    let cluster = Rc::new(Cache::default());
    let following = cluster::follow(state.clone(), cluster.clone(), store.clone());
    tokio::task::spawn_local(following);
    cluster
}

/// Adds a backend server, `a`, and returns the number of requests that it received.
async fn add_server(router: &Router) -> Rc<Cell<u32>> {
    let received = Rc::new(Cell::new(0));
    let count = received.clone();
    let serve = move |mut stream| {
        let count = count.clone();
        async move {
            while let Some(head) = read_head(&mut stream).await {
                count.set(count.get() + 1);
                let text = answer(&head, "a");
                stream.write_all(text.as_bytes()).await.unwrap();
            }
        }
    };
    router.add_server("a", serve).await;
    received
}

/// Guards against further store calls, and a host that waits for a set, on earlier platforms.
#[tokio::test]
async fn without_a_bound_the_kind_is_not_listed() {
    let test = async {
        for (state, listed) in [(Rc::new(state()), false), (evacuating(false), true)] {
            let store = Rc::new(Store::new());
            follow(&state, &store);
            sleep(SECOND / 2).await;
            assert_eq!(store.listed_kinds().contains("evacuations"), listed);
            assert!(evacuation::is_known(&state));
            state.stop.cancel();
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a host that hears the granter no longer and learns of no evacuation: the granter
/// is lost between the acknowledgement and its next heartbeat.
#[tokio::test]
async fn a_host_whose_granter_is_lost_asks_the_store() {
    let test = async {
        // At the first start of the system, a host leaves the store to the granter for a while.
        let (state, store) = (evacuating(true), Rc::new(Store::new()));
        let cluster = follow(&state, &store);
        cluster.apply_evacuations(&state, &set(1, &[]));
        tokio::task::yield_now().await;
        cluster.confirm_relayed(Duration::ZERO, state.now());
        assert!(
            cluster.age(state.now()) > SECOND,
            "the zones are not confirmed"
        );
        cluster.confirm_relayed_evacuations(Duration::ZERO, state.now());
        assert!(cluster.age(state.now()) < SECOND);
        evacuate(&store).await;
        assert!(
            !learns_within(&state, SECOND / 2).await,
            "no call of its own yet"
        );
        assert!(learns_within(&state, SECOND * 3).await);
        state.stop.cancel();
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against keyed requests that go on after the bound, since the store went away just after
/// the acknowledgement: the time counts from the last confirmation before it.
#[tokio::test]
async fn a_store_that_goes_away_after_the_acknowledgement_gives_no_more_time() {
    let test = async {
        let (state, store) = (evacuating(false), Rc::new(Store::new()));
        let cluster = follow(&state, &store);
        sleep(SECOND / 2).await;
        evacuate(&store).await;
        store.set_mode(Mode::Away { applies: false });
        sleep(BOUND).await;
        assert!(!is_evacuated(&state));
        assert!(
            cluster.age(state.now()) > BOUND / 2,
            "it does not count as recent"
        );
        store.set_mode(Mode::Serves);
        assert!(learns_within(&state, SECOND * 4).await);
        let fleet = state.fleet.borrow();
        assert!(!fleet.evacuation().accepts_keyed("z", state.now()));
        state.stop.cancel();
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a host that starts during an evacuation and serves before it knows of it.
#[tokio::test]
async fn a_starting_host_is_not_ready_before_it_knows_the_zones() {
    let (state, cluster) = (evacuating(false), Cache::default());
    add_keyed_service(&state);
    state.update_server(entry_at("a", ([127, 0, 0, 1], 9).into()), 1);
    assert!(!process::is_ready(&state));
    cluster.apply_evacuations(&state, &set(4, &["z"]));
    assert!(process::is_ready(&state) && is_evacuated(&state));
    // It may have been told to evacuate the zone long ago.
    assert!(
        !state
            .fleet
            .borrow()
            .evacuation()
            .accepts_keyed("z", state.now())
    );
    // Another host sends it what it knows, unless that is older.
    assert!(cluster.evacuations_after(&state, None).is_some());
    assert!(cluster.evacuations_after(&state, Some(4)).is_none());
    cluster.apply_evacuations(&state, &set(3, &[]));
    assert!(is_evacuated(&state), "an older set");
}

/// Frames of the previous build that have new fields since, with one field each.
#[derive(Serialize, Deserialize)]
enum Previous {
    Beat { changed: u64 },
    Ask { entries: u64 },
    Facts { grace_ms: u64 },
}

/// Guards against hosts of two builds that cannot read each other's frames during an upgrade.
#[test]
fn frames_of_the_previous_build_are_read_and_read_there() {
    let beat = cbor!({ "Beat" => {
        "office" => 5, "sent_us" => 1, "hosts" => 2, "strongest" => 0.2, "facts_age_ms" => 3,
        "catalog" => 4, "entries" => 5, "changed" => 6
    }});
    let ask = cbor!({ "Ask" => { "catalog" => 1, "entries" => 2, "keys" => [] } });
    let facts = cbor!({ "Facts" => { "catalog" => null, "entries" => null, "grace_ms" => 3 } });
    for frame in [beat.unwrap(), ask.unwrap(), facts.unwrap()] {
        let mut bytes = Vec::new();
        ciborium::into_writer(&frame, &mut bytes).unwrap();
        let mut read: Frame = ciborium::from_reader(&*bytes).unwrap();
        match &mut read {
            Frame::Heartbeat { evacuations, .. } | Frame::StateSnapshot { evacuations, .. } => {
                assert!(evacuations.is_none());
                *evacuations = Some(Box::new(set(7, &["z"])));
            }
            Frame::StateRequest { evacuations, .. } => assert!(evacuations.replace(7).is_none()),
            other => panic!("{other:?}"),
        }
        bytes.clear();
        ciborium::into_writer(&read, &mut bytes).unwrap();
        ciborium::from_reader::<Previous, _>(&*bytes).unwrap();
    }
}

/// Guards against keys that stay with a holder in the zone, or wait for the end of its grant.
#[tokio::test]
async fn the_granter_moves_the_keys_with_their_handover() {
    let test = async {
        let (state, store) = (evacuating(false), Rc::new(Store::new()));
        add_keyed_service(&state);
        let (events, incoming) = mpsc::channel(16);
        let links = Links::new(state.clone(), events);
        add_holder(&state, "a").await;
        let cluster = follow(&state, &store);
        let election = election::run(state.clone(), cluster, links, store.clone(), incoming);
        tokio::task::spawn_local(election);
        sleep(SECOND * 4).await;
        add_holder(&state, "b").await;
        let addr = state.fleet.borrow().get("b").unwrap().entry.addr;
        let outside = Entry {
            zone: "y".to_owned(),
            ..entry_at("b", addr)
        };
        state.update_server(outside, 2);
        let holder = || {
            let range = state.with_key_map("s", |known| known.map.find(7).cloned());
            range
                .flatten()
                .filter(|range| range.held)
                .map(|range| range.holder.id)
        };
        assert_eq!(holder().as_deref(), Some("a"));
        let began = Instant::now();
        evacuate(&store).await;
        while holder().as_deref() != Some("b") {
            // Without a release, the keys would be free after 3 s.
            assert!(began.elapsed() < SECOND * 5 / 2, "{:?}", holder());
            sleep(Duration::from_millis(20)).await;
        }
        state.stop.cancel();
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a request that reaches the zone because it was chosen before the evacuation and
/// then waited for a connection.
#[tokio::test]
async fn a_request_that_waited_for_a_connection_is_not_sent() {
    with_router(Kind::Idempotent, false, async |router| {
        let state = router.state.clone();
        let received = add_server(&router).await;
        state
            .fleet
            .borrow_mut()
            .evacuation_mut()
            .set_bound(Some(BOUND));
        let pick = state.fleet.borrow().get("a").unwrap().pick();
        let other = state.clone();
        // The task runs while the connection is opened.
        tokio::task::spawn_local(async move {
            evacuation::apply(&other, &set(7, &["z"]), other.now());
        });
        let deadline = Instant::now() + SECOND;
        let request = CallerRequest {
            method: Method::GET,
            uri: Uri::from_static("/p"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            id: None,
            retryable: true,
        };
        let attempt = relay::send(&state, &request, &pick, 1, &[], deadline).await;
        let outcome = attempt.outcome.name();
        assert!(
            matches!(&attempt.outcome, Outcome::NotSent(text) if text.contains("write withheld")),
            "{outcome}"
        );
        let mut caller = router.connect().await;
        caller.send("x", None, "").await;
        let refused = (503, "no backend server".to_owned());
        assert_eq!(caller.response().await, refused);
        assert_eq!(received.get(), 0);
    })
    .await;
}

/// Guards against a keyed request that waits for a holder though the evacuation leaves no server,
/// and one that is kept from its holder before its time is over.
#[tokio::test]
async fn a_keyed_request_goes_to_its_holder_for_a_part_of_the_bound() {
    with_router(Kind::Idempotent, true, async |router| {
        add_server(&router).await;
        router.grant_all("a", 1);
        let state = router.state.clone();
        state
            .fleet
            .borrow_mut()
            .evacuation_mut()
            .set_bound(Some(BOUND));
        evacuation::apply(&state, &set(7, &["z"]), state.now());
        let mut caller = router.connect().await;
        let refused = (
            503,
            "no backend server outside the evacuated zones".to_owned(),
        );
        for (pause, expected) in [
            (Duration::ZERO, (200, "a".to_owned())),
            (BOUND * 2 / 3, refused),
        ] {
            sleep(pause).await;
            caller.send("x", Some(7), "").await;
            assert_eq!(caller.response().await, expected);
        }
    })
    .await;
}
