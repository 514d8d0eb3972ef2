//! Zones under evacuation: which servers may receive requests and keys, and from when.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use proptest::prelude::*;
use tarragon_dispatch::evacuation::{Set, Zones};
use tarragon_dispatch::fleet::{Criteria, Entry, Fleet, Location, Pick, Refusal};
use tarragon_dispatch::homes::Homes;
use tarragon_model::time::Instant;

const NOW: Instant = Instant::from_millis(100_000);
const BOUND: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);

fn set(revision: u64, zones: &[&str]) -> Set {
    Set {
        revision,
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
        ..Set::default()
    }
}

/// Returns a fleet with one server in each of the zones a1 and a2 of region a, and b1 of region b.
fn fleet(bound: Option<Duration>, evacuated: &[&str]) -> Fleet {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    let mut fleet = Fleet::new(Location {
        zone: "a1".to_owned(),
        regions: HashMap::from(regions),
    });
    for (port, zone) in [(1, "a1"), (2, "a2"), (3, "b1")] {
        let entry = Entry {
            id: zone.to_owned(),
            start_ms: 1,
            service: "s".to_owned(),
            addr: ([127, 0, 0, 1], port).into(),
            zone: zone.to_owned(),
            slots: 6,
            draining: false,
            warmup: Duration::ZERO,
        };
        fleet.update(entry, 1, NOW);
    }
    fleet.evacuation_mut().set_bound(bound);
    fleet.evacuation_mut().apply(&set(7, evacuated), NOW, NOW);
    fleet
}

/// Returns the servers that requests with these homes go to, by many choices.
fn picked(fleet: &Fleet, homes: &Homes) -> BTreeSet<String> {
    let criteria = Criteria {
        service: "s",
        homes,
        tried: &[],
        remaining: SECOND,
        objective: SECOND,
        priority: 0,
        large_response: false,
        request_bytes: 0,
        random: 0.0,
    };
    let randoms = (0..100).map(|step| f64::from(step) / 100.0);
    let picks = randoms.map(|random| Criteria { random, ..criteria });
    let picks = picks.map(|criteria| fleet.pick(&criteria, &|_| true, NOW));
    let is_final = |pick: &Result<Pick, Refusal>| *pick != Err(Refusal::NoServer);
    picks
        .filter(is_final)
        .map(|pick| pick.unwrap().id)
        .collect()
}

macro_rules! receives {
    ($($name:ident: $bound:expr, $evacuated:expr, $homes:expr => $receivers:expr, $holders:expr;)*) => {$(
        /// Guards against requests and keys that go to a zone under evacuation, and against
        /// requests or keys that are kept from the servers outside.
        #[test]
        fn $name() {
            let fleet = fleet($bound, &$evacuated);
            let receivers: &[&str] = &$receivers;
            let holders: &[&str] = &$holders;
            let picks = picked(&fleet, &$homes);
            assert!(picks.iter().all(|id| receivers.contains(&&**id)), "{picks:?}");
            assert_eq!(picks.is_empty(), receivers.is_empty());
            let accepts = fleet.iter().filter(|server| fleet.accepts_keys(server));
            let accepts: Vec<&str> = accepts.map(|server| &*server.entry.id).collect();
            assert_eq!(accepts, holders);
        }
    )*};
}

receives! {
    one_zone: Some(BOUND), ["a1"], Homes::anywhere() => ["a2", "b1"], ["a2", "b1"];
    two_zones: Some(BOUND), ["a1", "b1"], Homes::anywhere() => ["a2"], ["a2"];
    homes_and_zones_that_leave_none: Some(BOUND), ["a1", "a2"], Homes::only(["a".to_owned()])
        => [], ["b1"];
    an_unknown_zone: Some(BOUND), ["c9"], Homes::anywhere()
        => ["a1", "a2", "b1"], ["a1", "a2", "b1"];
    all_zones: Some(BOUND), ["a1", "a2", "b1"], Homes::anywhere() => [], [];
    no_bound: None, ["a1", "a2", "b1"], Homes::anywhere()
        => ["a1", "a2", "b1"], ["a1", "a2", "b1"];
}

/// Guards against keyed requests that arrive after the bound: it counts from the earliest time at
/// which the host may have known, also where the host learns late.
#[test]
fn keyed_requests_end_in_time() {
    for (known_ms_ago, left_ms) in [(0, 3_000), (1_000, 2_000), (4_000, 0), (9_000, 0)] {
        let mut zones = Zones::default();
        zones.set_bound(Some(BOUND));
        let known_at = NOW - Duration::from_millis(known_ms_ago);
        zones.apply(&set(7, &["a1"]), known_at, NOW);
        // A later set, and a later confirmation, must not start the time again.
        zones.apply(&set(8, &["a1", "b1"]), NOW, NOW);
        let end = NOW + Duration::from_millis(left_ms);
        assert!(!zones.accepts_keyed("a1", end), "{known_ms_ago}");
        if left_ms > 0 {
            assert!(zones.accepts_keyed("a1", end - Duration::from_millis(1)));
        }
    }
}

/// Guards against a zone that counts as cold for a part of the time only, or again and again: the
/// time of the return is that at which the first host learned of it.
#[test]
fn the_time_of_a_return_reaches_other_hosts() {
    let mut zones = [Zones::default(), Zones::default()];
    let [first, late] = &mut zones;
    for zones in [&mut *first, &mut *late] {
        zones.set_bound(Some(BOUND));
    }
    first.apply(&set(7, &["a1"]), NOW, NOW);
    assert_eq!(first.apply(&set(9, &[]), NOW, NOW).withdrawn[..], ["a1"]);
    // This host started after the withdrawal, and listed the store itself.
    late.apply(&set(12, &[]), NOW, NOW);
    for step in 1..4 {
        let now = NOW + SECOND * step;
        let known = first.set(now).unwrap();
        let change = late.apply(&known, now, now);
        assert_eq!(change.withdrawn.len(), usize::from(step == 1));
        assert_eq!(late.returned_at("a1"), Some(NOW));
    }
    let again = set(20, &["a1"]);
    late.apply(&again, NOW, NOW + SECOND * 5);
    assert!(late.contains("a1") && late.returned_at("a1").is_none());
    late.apply(&first.set(NOW + SECOND * 6).unwrap(), NOW, NOW + SECOND * 6);
    assert!(late.contains("a1"), "the older set says that it returned");
}

proptest! {
    /// Guards against an older set, from a granter that is paused or lost, that replaces a newer.
    #[test]
    fn the_latest_revision_wins(order in Just((1..7_u64).collect::<Vec<_>>()).prop_shuffle()) {
        let zone = |revision: &u64| format!("z{revision}");
        let mut zones = Zones::default();
        zones.set_bound(Some(BOUND));
        for (index, revision) in order.iter().enumerate() {
            zones.apply(&set(*revision, &[&zone(revision)]), NOW, NOW);
            let latest = order[..=index].iter().max().unwrap();
            prop_assert_eq!(zones.names().collect::<Vec<_>>(), [zone(latest)]);
        }
    }
}
