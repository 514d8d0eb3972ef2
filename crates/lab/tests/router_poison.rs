//! A request that ends each backend server that runs it.

#[path = "standin/support.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
#[macro_use]
mod support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod router_fleet;

use http::Method;
use router_fleet::Fleet;
use support::call;

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
}
