//! Home regions of routes: which backend servers may process a request.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use tarragon_dispatch::catalog::{Catalog, Kind, Route, Target};
use tarragon_dispatch::fleet::{Criteria, Entry, Fleet, Location, Refusal};
use tarragon_dispatch::homes::Homes;
use tarragon_model::time::Instant;

const NOW: Instant = Instant::from_millis(100_000);
const ZONES: [(&str, &str); 4] = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];

/// Returns a fleet of one backend server in each zone, and one in a zone without a region.
fn fleet() -> Fleet {
    let regions = ZONES.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    let mut fleet = Fleet::new(Location {
        zone: "a1".to_owned(),
        regions: HashMap::from(regions),
    });
    let zones = ZONES.iter().map(|(zone, _)| *zone).chain(["unknown"]);
    for zone in zones {
        let entry = Entry {
            id: zone.to_owned(),
            start_ms: 1,
            service: "s".to_owned(),
            addr: "127.0.0.1:9".parse().unwrap(),
            zone: zone.to_owned(),
            slots: 6,
            draining: false,
            warmup: Duration::ZERO,
        };
        fleet.update(entry, 1, NOW);
    }
    fleet
}

fn only(regions: &[&str]) -> Homes {
    Homes::only(regions.iter().map(|region| (*region).to_owned()))
}

/// Returns the zone of the chosen server.
fn pick(fleet: &Fleet, homes: &Homes, tried: &[String], random: f64) -> Result<String, Refusal> {
    let criteria = Criteria {
        service: "s",
        homes,
        tried,
        remaining: Duration::from_secs(1),
        objective: Duration::from_millis(500),
        priority: 1,
        large_response: false,
        request_bytes: 0,
        random,
    };
    fleet.pick(&criteria, &|_| true, NOW).map(|pick| pick.id)
}

proptest! {
    /// A request must not leave its homes, whichever servers it was sent to before.
    #[test]
    fn every_choice_is_at_home(
        homes in prop::sample::subsequence(vec!["a", "b", "c", "nowhere"], 1..4),
        tried in prop::sample::subsequence(vec!["a1", "a2", "b1", "c1"], 0..4),
        random in 0.0..1.0_f64,
    ) {
        let tried: Vec<String> = tried.into_iter().map(str::to_owned).collect();
        let allowed = only(&homes);
        match pick(&fleet(), &allowed, &tried, random) {
            Ok(zone) => {
                let region = ZONES.iter().find(|(name, _)| *name == zone).map(|(_, region)| region);
                prop_assert!(region.is_some_and(|region| homes.contains(region)), "sent to {}", zone);
            }
            Err(refusal) => {
                prop_assert_eq!(refusal, Refusal::NoServer);
                prop_assert_eq!(homes, vec!["nowhere"]);
            }
        }
    }
}

/// With no server left at home, the request must be refused rather than served elsewhere.
#[test]
fn a_request_without_a_server_at_home_is_refused() {
    for homes in [only(&[]), only(&["nowhere"])] {
        assert_eq!(pick(&fleet(), &homes, &[], 0.5), Err(Refusal::NoServer));
    }
}

/// The homes of an older version must still bind a request that waits while they change.
#[test]
fn two_versions_of_homes_both_bind() {
    let cases = [
        (only(&["a", "b"]), only(&["b", "c"]), only(&["b"])),
        (only(&["a"]), only(&["b"]), only(&[])),
        (Homes::anywhere(), only(&["b"]), only(&["b"])),
        (only(&["b"]), Homes::anywhere(), only(&["b"])),
        (Homes::anywhere(), Homes::anywhere(), Homes::anywhere()),
    ];
    for (before, after, both) in cases {
        assert_eq!(
            before.intersection(&after),
            both,
            "{before:?} and {after:?}"
        );
    }
}

/// Keys of a service that a restricted route leads to must have holders where it may be served.
#[test]
fn the_homes_of_a_service_are_those_that_all_its_routes_allow() {
    let route = |services: &[&str], homes| Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 0,
        targets: services
            .iter()
            .map(|service| Target {
                service: (*service).to_owned(),
                weight: 1,
            })
            .collect(),
        attempts: 2,
        homes,
    };
    let catalog = Catalog {
        routes: vec![
            route(&["s"], only(&["a", "b"])),
            route(&["s", "t"], only(&["b", "c"])),
            route(&["u"], Homes::anywhere()),
        ],
        ..Catalog::default()
    };
    assert_eq!(catalog.homes("s"), only(&["b"]));
    assert_eq!(catalog.homes("t"), only(&["b", "c"]));
    assert_eq!(catalog.homes("u"), Homes::anywhere());
}
