//! Removed entries: when they count as expired during an outage of the store.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::store::Store;
use common::{entry, list, state};
use tarragon_dispatch::fleet::Status;
use tarragon_edge::cluster::outage::Detector;
use tarragon_edge::cluster::{self, Cache};
use tarragon_model::time::Instant;
use tokio::task::LocalSet;
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against requests to a server that has left, after the granter's loss: the hosts took the
/// time for which none of them had asked the store for an outage.
#[tokio::test]
async fn a_removal_after_the_loss_of_the_granter_is_final() {
    let test = async {
        let state = Rc::new(state());
        let (cluster, store) = (Rc::new(Cache::default()), Store::patient(entry("a", 5)));
        let store = Rc::new(store);
        cluster.apply_snapshot(
            &state,
            None,
            Some(list(10, &[entry("a", 5)])),
            Duration::ZERO,
        );
        cluster.confirm_relayed(Duration::ZERO, state.now());
        let following = cluster::follow(state.clone(), cluster, store.clone());
        tokio::task::spawn_local(following);
        // The granter is silent from here on. Without changes, the first watch of this host ends
        // only after its full time.
        sleep(SECOND * 7 / 2).await;
        store.remove_entry();
        sleep(SECOND / 2).await;
        let status = state.fleet.borrow().get("a").unwrap().status;
        assert!(matches!(status, Status::Leaving(_)), "{status:?}");
        state.stop.cancel();
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against the same for a host that is sent the whole list by another one.
#[test]
fn a_removal_that_another_host_lists_is_final_unless_it_says_otherwise() {
    for (grace, ready) in [(Duration::ZERO, false), (SECOND, true)] {
        let (state, cache) = (state(), Cache::default());
        cache.apply_snapshot(
            &state,
            None,
            Some(list(10, &[entry("a", 5)])),
            Duration::ZERO,
        );
        cache.apply_snapshot(&state, None, Some(list(20, &[])), grace);
        let status = state.fleet.borrow().get("a").unwrap().status;
        assert_eq!(status == Status::Ready, ready);
    }
}

/// Step of a host: a call begins, fails, or is answered after it may have waited for a second; or
/// time passes, in seconds, while the process runs or is paused.
#[derive(Clone, Copy)]
enum Step {
    Call,
    Failure,
    Response,
    Runs(f64),
    Paused(f64),
}

/// Returns for how many milliseconds entries that are missing after the last step may return.
fn grace_ms(steps: &[Step]) -> u128 {
    let mut detector = Detector::default();
    let mut now = Instant::from_millis(60_000);
    detector.tick(now);
    for step in steps {
        match *step {
            Step::Call => detector.begin_call(now),
            Step::Failure => detector.record_failure(SECOND, now),
            Step::Response => {
                detector.record_response(SECOND, now);
            }
            Step::Runs(seconds) => {
                let end = now + Duration::from_secs_f64(seconds);
                while now + SECOND / 5 < end {
                    now = now + SECOND / 5;
                    detector.tick(now);
                }
                now = end;
                detector.tick(now);
            }
            Step::Paused(seconds) => now = now + Duration::from_secs_f64(seconds),
        }
    }
    detector.grace(now).as_millis()
}

macro_rules! outage {
    ($($name:ident: $expected:expr, [$($step:expr),* $(,)?];)*) => {$(
        /// Guards against an outage that was none, or one that goes unnoticed.
        #[test]
        fn $name() {
            use Step::*;
            assert_eq!(grace_ms(&[$($step),*]), $expected);
        }
    )*};
}

outage! {
    a_host_that_did_not_ask_saw_no_outage: 0, [Runs(9.0), Call, Runs(1.0), Response];
    a_quiet_watch_is_no_outage: 0, [Call, Runs(1.0), Response, Call, Runs(1.0), Response];
    one_failed_call_is_no_outage: 0, [Call, Failure, Runs(0.2), Call, Runs(1.0), Response];
    a_second_of_failures_is_no_outage: 0, [Call, Failure, Runs(1.0), Call, Response];
    failures_for_two_seconds_are_an_outage: 2_300,
        [Call, Failure, Runs(1.0), Call, Failure, Runs(1.0), Call, Response];
    a_response_two_seconds_late_is_an_outage: 2_300, [Call, Runs(3.0), Response];
    a_timeout_counts_from_the_end_of_the_wait: 2_300, [Call, Runs(3.0), Failure, Call, Response];
    the_grace_counts_from_the_end_of_the_outage: 1_300, [Call, Runs(3.0), Response, Runs(1.0)];
    a_later_removal_is_no_expiry: 0, [Call, Runs(3.0), Response, Runs(1.6)];
    a_pause_of_the_process_is_no_outage: 0, [Call, Runs(0.5), Paused(3.0), Response];
    a_pause_amid_failures_is_no_outage: 0,
        [Call, Failure, Paused(3.0), Runs(0.2), Call, Response];
}
