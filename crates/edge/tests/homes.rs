//! Keys of a service whose routes are restricted to home regions.

mod common;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use common::store::Store;
use common::{ALWAYS, Plain, entry_at, settings};
use smallvec::smallvec;
use tarragon_dispatch::catalog::{Catalog, Kind, Route, Service, Target};
use tarragon_dispatch::fleet::Entry;
use tarragon_dispatch::homes::Homes;
use tarragon_edge::granting::{Grants, Update};
use tarragon_edge::settings::Settings;
use tarragon_edge::state::State;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

/// Returns a host that knows a server in each of two regions, and a catalog whose only route is
/// restricted to `regions`.
fn restricted_to(regions: &[&str]) -> State {
    let zones = [("z1", "north"), ("z2", "south")];
    let settings = Settings {
        regions: HashMap::from(zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()))),
        ..settings()
    };
    let state = State::new(settings, Box::new(Plain::new()), 1);
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        priority: 0,
        targets: smallvec![Target {
            service: "s".to_owned(),
            weight: 1,
        }],
        attempts: 1,
        homes: Homes::only(regions.iter().map(|region| (*region).to_owned())),
    };
    let service = Service {
        name: "s".to_owned(),
        connections: 100,
        keyed: true,
        warmup: None,
    };
    let catalog = Catalog {
        version: 1,
        routes: vec![route],
        services: vec![service],
        ..Catalog::default()
    };
    state.apply_catalog(catalog, 1);
    for (zone, id) in [("z1", "north"), ("z2", "south")] {
        let entry = Entry {
            zone: zone.to_owned(),
            ..entry_at(id, "127.0.0.1:9".parse().unwrap())
        };
        state.update_server(entry, 1);
    }
    state
}

/// Returns the servers that the first plan assigns keys to.
async fn holders(state: State) -> HashSet<String> {
    let state = Rc::new(state);
    let (completions, mut completed) = unbounded_channel();
    let api = Rc::new(Store::new());
    let mut grants = Grants::new(state.clone(), api, completions, 1, true);
    let mut holders = HashSet::new();
    for _ in 0..150 {
        for (_, update) in grants.tick(true, ALWAYS, state.now()) {
            if let Update::Map(map) = update {
                holders.extend(map.ranges.into_iter().map(|range| range.holder.id));
            }
        }
        if !holders.is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        while let Ok(completion) = completed.try_recv() {
            grants.on_completion(completion);
        }
    }
    holders
}

macro_rules! holders {
    ($($name:ident: $homes:expr => $expected:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let holders = LocalSet::new().run_until(holders(restricted_to($homes))).await;
                let expected: &[&str] = $expected;
                assert_eq!(holders, expected.iter().map(|id| (*id).to_owned()).collect());
            }
        )*
    };
}

holders! {
    // A holder elsewhere could serve none of the requests.
    keys_stay_in_the_home_region: &["south"] => &["south"];
    // Without a server at home, unrestricted routes to come must not find their keys unassigned.
    keys_without_a_server_at_home_are_assigned: &["east"] => &["north", "south"];
}
