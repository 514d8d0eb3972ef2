//! Retry budgets, weighted routes and quarantine.

use std::time::Duration;

use proptest::prelude::*;
use smallvec::smallvec;
use tarragon_dispatch::budget::{Bound, Budget};
use tarragon_dispatch::catalog::{Catalog, Kind, Route, Target};
use tarragon_dispatch::homes::Homes;
use tarragon_dispatch::poison::{QUARANTINE_CRASHES, Quarantine};
use tarragon_dispatch::table::Table;
use tarragon_model::time::Instant;

const BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};

proptest! {
    /// Over any window, the hosts together retry no more than the bound allows.
    #[test]
    fn hosts_together_stay_within_the_bound(
        steps in prop::collection::vec((0..9_usize, any::<bool>(), 0..60_u64), 1..3_000),
    ) {
        let mut budgets: Vec<Budget> = (0..9).map(|_| Budget::new(BOUND)).collect();
        let mut now = Instant::from_millis(1_000);
        let mut sent: Vec<(Instant, bool)> = Vec::new();
        for (host, first, pause) in steps {
            now = now + Duration::from_millis(pause);
            if first {
                budgets[host].record_request(now);
                sent.push((now, true));
            } else if budgets[host].try_retry(now, 9) {
                sent.push((now, false));
            }
            let recent = sent.iter().filter(|(at, _)| now.since(*at) < BOUND.window);
            let (mut firsts, mut retries) = (0.0, 0.0);
            recent.for_each(|(_, first)| if *first { firsts += 1.0 } else { retries += 1.0 });
            prop_assert!(retries <= BOUND.ratio * firsts + BOUND.slack);
        }
    }

    /// Any run of requests follows a route's weights, to within two requests per target.
    #[test]
    fn a_split_follows_its_weights(weights in prop::collection::vec(1..100_u32, 2..5), run in 1..500_u32) {
        let targets = weights.iter().enumerate().map(|(index, weight)| Target {
            service: format!("s{index}"),
            weight: *weight,
        });
        let catalog = Catalog {
            routes: vec![Route { targets: targets.collect(), ..route("/x/") }],
            ..Catalog::default()
        };
        let entry = Table::new(&catalog).find("h", "/x/1").unwrap();
        let mut assigned = vec![0_u32; weights.len()];
        for _ in 0..run {
            let service: usize = entry.next_service()[1..].parse().unwrap();
            assigned[service] += 1;
        }
        let total: u32 = weights.iter().sum();
        for (assigned, weight) in assigned.iter().zip(&weights) {
            let expected = f64::from(run) * f64::from(*weight) / f64::from(total);
            prop_assert!((f64::from(*assigned) - expected).abs() <= 2.0, "{assigned} for {expected}");
        }
    }
}

fn route(prefix: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 0,
        targets: smallvec![Target {
            service: "s".to_owned(),
            weight: 1,
        }],
        attempts: 2,
        homes: Homes::anywhere(),
    }
}

#[test]
fn the_longest_prefix_wins() {
    let catalog = Catalog {
        routes: vec![route("/a/"), route("/a/b/"), route("/a/c/")],
        ..Catalog::default()
    };
    let table = Table::new(&catalog);
    let found = |path: &str| table.find("h", path).map(|entry| entry.route.name.clone());
    assert_eq!(found("/a/b/1").as_deref(), Some("/a/b/"));
    assert_eq!(found("/a/d").as_deref(), Some("/a/"));
    assert_eq!(found("/a"), None);
    assert!(table.find("other", "/a/b/1").is_none());
}

#[test]
fn a_request_that_crashes_servers_is_quarantined_and_concurrent_ones_are_not() {
    let mut quarantine = Quarantine::default();
    let mut now = Instant::from_millis(1_000);
    for (crash, server) in ["a", "b"].into_iter().enumerate() {
        now = now + Duration::from_millis(300);
        quarantine.suspect(7, (server, 1), now);
        quarantine.suspect(100 + crash as u64, (server, 1), now);
        quarantine.server_crashed(server, now + Duration::from_millis(500));
    }
    assert_eq!(QUARANTINE_CRASHES, 2);
    assert!(quarantine.is_quarantined(7, now));
    assert!(!quarantine.is_quarantined(100, now));
    assert!(!quarantine.is_quarantined(101, now));
}

#[test]
fn a_lost_response_without_a_crash_quarantines_nothing() {
    let mut quarantine = Quarantine::default();
    let now = Instant::from_millis(1_000);
    for server in ["a", "b", "c", "d"] {
        quarantine.suspect(7, (server, 1), now);
    }
    assert!(!quarantine.is_quarantined(7, now));
    assert!(
        quarantine
            .server_crashed("a", now + Duration::from_mins(1))
            .is_empty()
    );
}

#[test]
fn a_request_that_has_succeeded_since_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    let now = Instant::from_millis(1_000);
    for server in ["a", "b", "c"] {
        quarantine.suspect(7, (server, 1), now);
        quarantine.clear(7);
        quarantine.server_crashed(server, now);
    }
    assert!(!quarantine.is_quarantined(7, now));
    quarantine.record_crash(7, "a", now);
    quarantine.clear(7);
    quarantine.record_crash(7, "b", now);
    assert!(!quarantine.is_quarantined(7, now));
}

/// Several callers and hosts that notice the crash of one process must not quarantine the harmless
/// requests that ran beside the one that caused it.
#[test]
fn the_crash_of_one_process_counts_once() {
    let now = Instant::from_millis(1_000);
    let [mut here, mut there] = [Quarantine::default(), Quarantine::default()];
    for _ in 0..3 {
        here.suspect(7, ("a", 1), now);
        there.suspect(7, ("a", 1), now);
    }
    // Its entry expires, and it registers again later.
    let mut crashes = here.server_crashed("a", now);
    crashes.extend(here.server_crashed("a", now));
    crashes.extend(there.server_crashed("a", now));
    for (fingerprint, process) in crashes {
        here.record_crash(fingerprint, &process, now);
    }
    assert!(!here.is_quarantined(7, now));
    here.suspect(7, ("a", 2), now);
    here.server_crashed("a", now);
    assert!(here.is_quarantined(7, now), "the next process crashed too");
}
