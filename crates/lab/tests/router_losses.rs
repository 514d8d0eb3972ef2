//! Loss of backend servers: crashed by a poison request, or frozen while they run a request.

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

/// Backend servers that one request may crash.
const MAX_CRASHES: usize = 2;

cases! {
    poison_request_is_quarantined(dir) {
        let fleet = Fleet::start(&dir).await;
        let headers = [("tarragon-request", "poison"), ("tarragon-deadline-ms", "20000")];
        let path = "/balance/vessel-9/?work_us=100&poison=1";
        let response = call(fleet.routers[0].caller, Method::GET, path, &headers, "").await.unwrap();
        assert_eq!(response.status, 508, "{response:?}");
        assert_eq!(response.header("tarragon-reason"), "quarantined");
        let again = call(fleet.routers[1].caller, Method::GET, path, &headers, "").await.unwrap();
        assert_eq!(again.status, 508, "{again:?}");
        let started = fleet.record_states("poison").iter().filter(|state| *state == "started").count();
        assert!(started <= MAX_CRASHES, "{started} backend servers crashed");
        fleet.timeline_with(&["--kind", "quarantined"], "reason=quarantined").await;
        fleet.timeline_with(&["--kind", "backend-crashed"], "backend-crashed").await;
    }

    key_of_a_frozen_request_is_held_and_reported(dir) {
        let fleet = Fleet::unchecked(&dir).await;
        let caller = fleet.routers[0].caller;
        let path = "/balance/vessel-9/?work_us=100";
        let owner = fleet.await_served(caller, path).await.header("tarragon-owner").to_owned();
        let frozen = &fleet.backends[usize::from(owner == "b2")];
        let frozen_call = tokio::spawn(async move {
            let headers = [("tarragon-request", "frozen")];
            call(caller, Method::GET, "/balance/vessel-9/?work_us=3000000", &headers, "").await
        });
        eventually(|| fleet.record_states("frozen").first().cloned()).await;
        frozen.signal(Signal::STOP);
        let end = Instant::now() + TIMEOUT;
        loop {
            let headers = [("tarragon-deadline-ms", "1000")];
            let response = call(caller, Method::GET, path, &headers, "").await.unwrap();
            // A request that reaches the frozen process first has outcome unknown: it may have run.
            let result = (response.header("tarragon-outcome"), response.header("tarragon-reason"));
            if response.status == 503 && result == ("not-run", "owner-lost") {
                break;
            }
            assert_ne!(response.status, 200, "the key ran elsewhere while its frozen request may still run");
            assert!(Instant::now() < end, "{response:?}");
        }
        let held = fleet.timeline_with(&["--kind", "owner-held"], "owner-held").await;
        assert!(held.contains("key=vessel-9"), "{held}");
        frozen.signal(Signal::CONT);
        let _ = frozen_call.await.unwrap();
    }
}
