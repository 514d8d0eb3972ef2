//! Backend servers that are lost: crashed by a request, or frozen with work on them.

#[path = "standin/support.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
#[macro_use]
mod support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod router_fleet;

use std::time::Instant;

use http::Method;
use router_fleet::Fleet;
use rustix::process::Signal;
use support::{TIMEOUT, call, eventually};

/// Backend servers that one request may end.
const MOST_CRASHES: usize = 2;

cases! {
    poison_is_refused_in_the_end(dir) {
        let fleet = Fleet::start(&dir).await;
        let headers = [("tarragon-request", "poison"), ("tarragon-deadline-ms", "20000")];
        let path = "/balance/vessel-9/?work_us=100&poison=1";
        let answer = call(fleet.routers[0].caller, Method::GET, path, &headers, "").await.unwrap();
        assert_eq!(answer.status, 508, "{answer:?}");
        assert_eq!(answer.header("tarragon-reason"), "quarantined");
        let again = call(fleet.routers[1].caller, Method::GET, path, &headers, "").await.unwrap();
        assert_eq!(again.status, 508, "{again:?}");
        let started = fleet.states("poison").iter().filter(|state| *state == "started").count();
        assert!(started <= MOST_CRASHES, "{started} backend servers ended");
        fleet.timeline_with(&["--kind", "quarantined"], "reason=quarantined").await;
        fleet.timeline_with(&["--kind", "backend-crashed"], "backend-crashed").await;
    }

    key_of_frozen_work_waits_and_is_told(dir) {
        let fleet = Fleet::unchecked(&dir).await;
        let caller = fleet.routers[0].caller;
        let path = "/balance/vessel-9/?work_us=100";
        let owner = fleet.served(caller, path).await.header("tarragon-owner").to_owned();
        let frozen = &fleet.backends[usize::from(owner == "b2")];
        let work = tokio::spawn(async move {
            let headers = [("tarragon-request", "frozen")];
            call(caller, Method::GET, "/balance/vessel-9/?work_us=3000000", &headers, "").await
        });
        eventually(|| fleet.states("frozen").first().cloned()).await;
        frozen.signal(Signal::STOP);
        let end = Instant::now() + TIMEOUT;
        loop {
            let headers = [("tarragon-deadline-ms", "1000")];
            let answer = call(caller, Method::GET, path, &headers, "").await.unwrap();
            // A request that reached the frozen process first may have run, and says so.
            let told = (answer.header("tarragon-outcome"), answer.header("tarragon-reason"));
            if answer.status == 503 && told == ("not-run", "owner-lost") {
                break;
            }
            assert_ne!(answer.status, 200, "the key ran elsewhere while its work may still run");
            assert!(Instant::now() < end, "{answer:?}");
        }
        let held = fleet.timeline_with(&["--kind", "owner-held"], "owner-held").await;
        assert!(held.contains("key=vessel-9"), "{held}");
        frozen.signal(Signal::CONT);
        let _ = work.await.unwrap();
    }
}
