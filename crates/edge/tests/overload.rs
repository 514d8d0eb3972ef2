//! Admission of requests by the shares of the granter, and the frames that carry them.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::router::{Router, answer, header, read_head, refusal, with_router};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tarragon_dispatch::admission::{Demand, Pressure, Report, Share};
use tarragon_dispatch::catalog::Kind;
use tarragon_edge::peer::Frame;
use tarragon_model::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn share(admitted: f64, age_ms: u64) -> Share {
    Share {
        service: "s".to_owned(),
        priority: 0,
        admitted,
        age_ms,
    }
}

fn receive(router: &Router, admitted: f64, age_ms: u64) {
    let now = router.state.now();
    let shares = vec![share(admitted, age_ms)];
    router.state.overload.receive(1, now, shares, now);
}

/// Adds a backend server that refuses its first requests, and returns the number of requests.
async fn add_server(router: &Router, refused: u32) -> Rc<Cell<u32>> {
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    let serve = move |mut stream: tokio::net::TcpStream| {
        let count = counted.clone();
        async move {
            while let Some(head) = read_head(&mut stream).await {
                let length = header(&head, "content-length").unwrap_or("0");
                stream
                    .read_exact(&mut vec![0; length.parse().unwrap()])
                    .await
                    .unwrap();
                count.set(count.get() + 1);
                let text = if count.get() <= refused {
                    refusal(&head, "503 Service Unavailable", "")
                } else {
                    answer(&head, "done")
                };
                stream.write_all(text.as_bytes()).await.unwrap();
            }
        }
    };
    router.add_server("a", serve).await;
    count
}

/// Sends a request and returns its status and `Retry-After`.
async fn send(router: &Router, body: &str) -> (u16, Option<Duration>) {
    let mut caller = router.connect().await;
    caller.send("x", None, body).await;
    let head = read_head(&mut caller.0).await.unwrap();
    let after = header(&head, "retry-after").map(|text| text.parse().unwrap());
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, after.map(Duration::from_secs_f64))
}

/// Guards against callers that return when they were told to and are rejected again.
#[tokio::test]
async fn a_rejected_request_is_admitted_after_its_retry_after() {
    with_router(Kind::NonIdempotent, false, async |router| {
        let sent = add_server(&router, 0).await;
        receive(&router, 0.6, 0);
        let (mut admitted, mut rejected) = (0, Vec::new());
        for number in 0..30 {
            let body = format!("order {number}");
            match send(&router, &body).await {
                (200, _) => admitted += 1,
                (503, Some(after)) => rejected.push((after, body)),
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(sent.get(), admitted, "a rejected request was sent");
        assert!((8..=26).contains(&admitted), "{admitted} admitted");
        rejected.sort();
        let (after, body) = rejected.swap_remove(0);
        tokio::time::sleep(after).await;
        receive(&router, 0.6, 0);
        assert_eq!(send(&router, &body).await.0, 200);
    })
    .await;
}

/// Guards against rejections by shares of a granter that is lost.
#[tokio::test]
async fn old_shares_reject_nothing() {
    with_router(Kind::NonIdempotent, false, async |router| {
        add_server(&router, 0).await;
        receive(&router, 0.0, 1_500);
        assert_eq!(send(&router, "order").await.0, 503);
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(send(&router, "order").await.0, 200);
    })
    .await;
}

/// Guards against shares that are computed from less than what the hosts saw.
#[tokio::test]
async fn a_report_states_requests_and_refusals() {
    with_router(Kind::Idempotent, false, async |router| {
        add_server(&router, 1).await;
        assert_eq!(send(&router, "").await.0, 503, "refused by the server");
        assert_eq!(send(&router, "").await.0, 200);
        receive(&router, 0.0, 0);
        assert_eq!(send(&router, "").await.0, 503);
        let report = router.state.overload.take_report(&router.state);
        let demand = Demand {
            service: "s".to_owned(),
            priority: 0,
            received: 3,
            admitted: 2,
            served: 1,
            late: 0,
        };
        assert_eq!(report.demand, [demand]);
        let Pressure {
            attempts, refused, ..
        } = report.pressure[0];
        assert_eq!((attempts, refused), (2, 1));
        let next = router.state.overload.take_report(&router.state);
        assert_eq!(next, Report::default());
    })
    .await;
}

/// Guards against shares of an earlier term: a new granter has to learn what hosts see.
#[tokio::test]
async fn a_new_term_starts_without_shares() {
    let state = common::state();
    let report = json!({
        "demand": [{ "service": "s", "priority": 0, "received": 200, "admitted": 200, "served": 50, "late": 0 }],
        "pressure": [{ "service": "s", "attempts": 200, "refused": 150, "waiting": 400, "slots": 200 }],
    });
    let report: Report = serde_json::from_value(report).unwrap();
    let at = Instant::from_millis;
    state.overload.compute_shares(&state, 7, at(0));
    for step in 1..=3 {
        assert_eq!(
            state.overload.compute_shares(&state, 7, at(step * 400 - 1)),
            []
        );
        state.overload.record_report(7, &report);
        state.overload.compute_shares(&state, 7, at(step * 400));
    }
    assert!(state.overload.compute_shares(&state, 7, at(1_300))[0].admitted < 0.6);
    assert_eq!(state.overload.compute_shares(&state, 8, at(1_400)), []);
}

/// Encodes a value and decodes it as another type.
fn convert<T: for<'a> Deserialize<'a>>(frame: &impl Serialize) -> T {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).unwrap();
    ciborium::from_reader(&bytes[..]).unwrap()
}

/// Frames as the previous build knows them, with a part of their fields.
#[derive(Deserialize)]
enum Previous {
    Beat { office: u64 },
    Report { beat_us: u64 },
}

/// Guards against hosts that do not understand each other while a new build is rolled out.
#[test]
fn frames_pass_between_this_build_and_the_previous_one() {
    let mut frame: Frame = convert(&json!({ "Beat": {
        "office": 3, "sent_us": 1, "hosts": 2, "strongest": 0.2, "facts_age_ms": 0, "catalog": 1,
        "entries": 1, "changed": 1,
    }}));
    let Frame::Heartbeat { shares, .. } = &mut frame else {
        panic!("{frame:?}");
    };
    assert!(shares.is_empty());
    shares.push(share(0.5, 10));
    assert!(matches!(convert(&frame), Previous::Beat { office: 3 }));
    let mut frame: Frame = convert(&json!({ "Report": {
        "beat_us": 5, "cores": 0.1, "traffic": [], "served": [], "crashes": [],
    }}));
    let Frame::Report { overload, .. } = &mut frame else {
        panic!("{frame:?}");
    };
    assert_eq!(*overload, Report::default());
    overload.demand.push(Demand::default());
    assert!(matches!(convert(&frame), Previous::Report { beat_us: 5 }));
}

/// Guards against limits where the settings do not ask for them.
#[tokio::test]
async fn without_the_setting_nothing_is_reported_or_limited() {
    let state = common::state();
    let mut bounds = state.bounds.get();
    bounds.admission = false;
    state.bounds.set(bounds);
    let demand = json!({ "service": "s", "priority": 0, "received": 200, "admitted": 200, "served": 50, "late": 40 });
    let pressure =
        json!({ "service": "s", "attempts": 200, "refused": 150, "waiting": 400, "slots": 200 });
    let report = json!({ "demand": [demand], "pressure": [pressure] });
    let report: Report = serde_json::from_value(report).unwrap();
    for step in 0..5 {
        state.overload.record_report(7, &report);
        let now = Instant::from_millis(step * 400);
        assert_eq!(state.overload.compute_shares(&state, 7, now), []);
    }
    assert_eq!(state.overload.take_report(&state), Report::default());
}
