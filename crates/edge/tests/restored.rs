//! What a host does after the store came back from an older copy.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::router::add_holder;
use common::store::{Mode, Store};
use common::{ALWAYS, Plain, entry, entry_at, keyed_state, list, state};
use serde_json::{Value, json};
use tarragon_dispatch::fleet::Status;
use tarragon_edge::cluster::{self, Cache};
use tarragon_edge::granting::{Delivery, Grants, PLAN_KIND, Update};
use tarragon_edge::peer::Links;
use tarragon_edge::state::State;
use tarragon_edge::{election, platform::Platform};
use tarragon_store::api::Api;
use tarragon_store::object::{Era, Key, List, Object, Version};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

const PLAN: Key<'static> = Key {
    kind: PLAN_KIND,
    name: "s",
};
const RECORD: Key<'static> = Key {
    kind: "tarragon-offices",
    name: "granter",
};

fn version(era: u64, revision: u64) -> Version {
    Version::in_era(Era::new(era).unwrap(), revision).unwrap()
}

/// Host that grants keys, with a store of era 1.
struct Granter {
    state: Rc<State>,
    store: Rc<Store>,
    grants: Grants,
    completions: UnboundedSender<Delivery>,
    completed: UnboundedReceiver<Delivery>,
}

impl Granter {
    fn start() -> Self {
        let mut state = keyed_state();
        state.settings.first_start = true;
        let (state, store) = (Rc::new(state), Rc::new(Store::new()));
        store.restore(&store.copy(), 1);
        let (completions, completed) = mpsc::unbounded_channel();
        let (api, sender) = (store.clone(), completions.clone());
        let grants = Grants::new(state.clone(), api, sender, version(1, 1).0, true);
        Self {
            state,
            store,
            grants,
            completions,
            completed,
        }
    }

    /// Becomes the granter of a later term.
    fn succeed(&mut self, term: Version) {
        let (state, store) = (self.state.clone(), self.store.clone());
        self.grants = Grants::new(state, store, self.completions.clone(), term.0, true);
    }

    async fn run(&mut self, time: Duration) {
        let end = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < end {
            for (service, update) in self.grants.tick(true, ALWAYS, self.state.now()) {
                match update {
                    Update::Map(map) => self.state.update_key_map(&service, map),
                    Update::Patch(patch) => {
                        assert!(self.state.patch_key_map(&service, &patch));
                    }
                }
            }
            sleep(Duration::from_millis(20)).await;
            while let Ok(completion) = self.completed.try_recv() {
                self.grants.on_completion(completion);
            }
        }
    }

    async fn plan(&self) -> Option<Value> {
        let stop = CancellationToken::new();
        let object = self.store.get(PLAN, &stop).await.ok()?;
        Some(object.value)
    }

    async fn sequence(&self) -> u64 {
        let plan = self.plan().await.expect("a plan");
        plan["plan"]["sequence"].as_u64().unwrap()
    }
}

/// Restores a copy without the latest plan, or without any, while its granter goes on.
async fn granter_lives_on(lacks_all: bool) {
    let mut granter = Granter::start();
    let empty = granter.store.copy();
    let first = add_holder(&granter.state, "a").await;
    granter.run(Duration::from_secs(2)).await;
    let copy = if lacks_all {
        empty
    } else {
        granter.store.copy()
    };
    let second = add_holder(&granter.state, "b").await;
    granter.run(Duration::from_secs(4)).await;
    assert!(second.get() > 0, "keys have moved");
    let sequence = granter.sequence().await;
    granter.store.restore(&copy, 2);
    let (a, b) = (first.get(), second.get());
    granter.run(Duration::from_secs(1)).await;
    let forgotten = granter.plan().await;
    let known = forgotten.map(|plan| plan["plan"]["sequence"].as_u64().unwrap());
    assert!(
        known.is_none_or(|known| known < sequence),
        "no plan is written before the term is known to last"
    );
    let era = Era::new(2).unwrap();
    granter.grants.survive_restore(era, true);
    granter.run(Duration::from_millis(300)).await;
    assert_eq!(
        granter.sequence().await,
        sequence,
        "the plan is written again"
    );
    assert_eq!(granter.plan().await.unwrap()["era"], 2);
    granter.run(Duration::from_secs(1)).await;
    assert!(first.get() > a && second.get() > b, "renewals go on");
}

macro_rules! lives_on {
    ($($name:ident: $lacks_all:literal;)*) => {$(
        /// Guards against keys that move back, or lapse, since the store has forgotten a plan.
        #[tokio::test]
        async fn $name() {
            LocalSet::new().run_until(granter_lives_on($lacks_all)).await;
        }
    )*};
}

lives_on! {
    an_older_plan_is_written_over: false;
    a_missing_plan_is_written_again: true;
}

/// Guards against a key that is held twice, since a new granter trusts a plan that is older than the
/// latest grants.
#[tokio::test]
async fn a_new_granter_waits_for_the_grants_of_forgotten_plans() {
    let test = async {
        let mut granter = Granter::start();
        let first = add_holder(&granter.state, "a").await;
        granter.run(Duration::from_secs(2)).await;
        let copy = granter.store.copy();
        let second = add_holder(&granter.state, "b").await;
        granter.run(Duration::from_secs(4)).await;
        let sequence = granter.sequence().await;
        let holder = |key| {
            granter
                .state
                .with_key_map("s", |known| known.map.find(key).cloned())
        };
        let holders = [holder(0), holder(u16::MAX)].map(|range| range.unwrap().unwrap().holder);
        granter.store.restore(&copy, 2);
        granter.succeed(version(2, 40));
        sleep(Duration::from_millis(600)).await;
        let (a, b) = (first.get(), second.get());
        granter.run(Duration::from_millis(4_400)).await;
        assert_eq!((first.get(), second.get()), (a, b), "nothing is granted");
        assert!(granter.sequence().await > version(2, 0).0.max(sequence));
        granter.run(Duration::from_secs(2)).await;
        assert!(first.get() > a && second.get() > b, "all is granted again");
        let plan = granter.plan().await.unwrap();
        assert_eq!(plan["era"], 2);
        let segments = plan["plan"]["segments"].as_array().unwrap();
        let planned = [&segments[0], &segments[segments.len() - 1]];
        let planned = planned.map(|segment| segment["holder"]["id"].as_str().unwrap());
        assert_eq!(planned, holders.each_ref().map(|holder| holder.id.as_str()));
        assert!(
            segments
                .iter()
                .all(|s| s["fence"].as_u64() >= Some(version(2, 1).0))
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Elects a host, and then restores a copy in which another one is the granter, after the store was
/// away. Returns whether the host kept its term, and the record at the end.
async fn restored_record(away: Duration) -> (bool, Value) {
    let store = Rc::new(Store::new());
    store.restore(&store.copy(), 1);
    let stop = CancellationToken::new();
    let record = |vacant| {
        json!({
            "token": format!("{vacant}"), "host": "other", "address": "127.0.0.1:9",
            "incarnation": 7, "vacant": vacant, "voters": ["other/7", "third/1"], "era": 1,
        })
    };
    let put = async |expected, vacant| {
        let written = store.put(RECORD, expected, &record(vacant), &stop).await;
        written.unwrap()
    };
    let named = put(Version::ABSENT, false).await;
    let copy = store.copy();
    put(named, true).await;
    let state = Rc::new(state());
    let (events, incoming) = mpsc::channel(16);
    let links = Links::new(state.clone(), events);
    let cluster = Rc::new(Cache::default());
    let election = election::run(state.clone(), cluster, links, store.clone(), incoming);
    tokio::task::spawn_local(election);
    while !state.is_granter.get() {
        sleep(Duration::from_millis(5)).await;
    }
    if !away.is_zero() {
        store.set_mode(Mode::Away { applies: false });
        sleep(away).await;
        store.set_mode(Mode::Serves);
    }
    store.restore(&copy, 2);
    let mut kept = true;
    for _ in 0..60 {
        kept &= state.is_granter.get();
        sleep(Duration::from_millis(50)).await;
    }
    state.stop.cancel();
    (kept, store.get(RECORD, &stop).await.unwrap().value)
}

/// Guards against a pause of all grants, since the store names a granter that has stopped.
#[tokio::test]
async fn a_granter_that_was_renewed_in_time_keeps_its_term() {
    let test = restored_record(Duration::ZERO);
    let (kept, record) = LocalSet::new().run_until(test).await;
    assert!(kept);
    assert_eq!(
        (&record["host"], &record["era"]),
        (&json!("host"), &json!(2))
    );
}

/// Guards against two granters, where the store has forgotten one that was elected later.
#[tokio::test]
async fn a_granter_that_may_have_been_replaced_claims_the_record_anew() {
    let test = restored_record(Duration::from_secs(2));
    let (kept, record) = LocalSet::new().run_until(test).await;
    assert!(!kept);
    assert_eq!(record["host"], "host", "{record}");
    let former = record["former"].as_array().unwrap();
    let hosts: Vec<_> = former.iter().map(|p| p["host"].as_str().unwrap()).collect();
    assert_eq!(hosts, ["other", ""], "both may still act");
}

/// Guards against entries that count as removed before their servers wrote them again.
#[tokio::test]
async fn entries_that_the_copy_lacks_may_return() {
    let test = async {
        for (known, ready) in [(version(1, 900), true), (version(2, 1), false)] {
            let (state, cluster) = (Rc::new(state()), Rc::new(Cache::default()));
            let store = Rc::new(Store::new());
            store.restore(&store.copy(), 2);
            let object = entry("a", known.0);
            let listed = List {
                revision: known,
                items: vec![object],
            };
            cluster.apply_snapshot(&state, None, Some(listed), Duration::ZERO);
            tokio::task::spawn_local(cluster::follow(state.clone(), cluster, store));
            sleep(Duration::from_millis(500)).await;
            assert_eq!(is_ready(&state), ready, "{known}");
            state.stop.cancel();
        }
    };
    LocalSet::new().run_until(test).await;
}

fn is_ready(state: &State) -> bool {
    let fleet = state.fleet.borrow();
    fleet
        .get("a")
        .is_some_and(|server| server.status == Status::Ready)
}

/// Guards against requests to a server that leaves, since the copy is older than its leave.
#[test]
fn a_leaving_server_stays_leaving() {
    let (state, cache) = (state(), Cache::default());
    let mut leaving = entry_at("a", "127.0.0.1:9".parse().unwrap());
    leaving.draining = true;
    state.update_server(leaving, version(1, 900).0);
    let steps = [(version(2, 700), false), (version(2, 701), true)];
    for (step, ready) in steps {
        let listed = list(step.0, &[entry("a", step.0)]);
        cache.apply_snapshot(&state, None, Some(listed), Duration::ZERO);
        assert_eq!(is_ready(&state), ready, "{step}");
    }
}

/// Guards against routes that go back to an older configuration.
#[test]
fn a_configuration_never_goes_back() {
    let (state, cache) = (state(), Cache::default());
    let key = Plain::new().catalog_key();
    let object = |at: Version, number: u64| Object {
        kind: key.kind.to_owned(),
        name: key.name.to_owned(),
        version: at,
        value: json!({ "version": number }),
    };
    let steps = [
        (version(1, 900), 6, 6),
        (version(2, 700), 5, 6),
        (version(2, 701), 6, 6),
        (version(2, 702), 7, 7),
    ];
    for (at, number, in_force) in steps {
        cache.apply_snapshot(&state, Some(object(at, number)), None, Duration::ZERO);
        assert_eq!(state.catalog().version, in_force, "{at}");
    }
}
