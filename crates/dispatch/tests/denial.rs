//! A backend server that denies holding a key gets no further request for its range without news.

use std::time::Duration;

use proptest::prelude::*;
use tarragon_dispatch::denial::{Claim, Denials, TRANSFER_TIME, TRIAL_INTERVAL, Verdict};
use tarragon_model::time::Instant;

const NOW: Instant = Instant::from_millis(100_000);

const fn claim(to: u16, server: &str, start_ms: u64) -> Claim<'_> {
    Claim {
        service: "s",
        to,
        server,
        start_ms,
    }
}

#[test]
fn one_request_at_a_time_tries_again() {
    let mut denials = Denials::default();
    let denied = claim(99, "a", 1);
    denials.record(&denied, NOW);
    let later = NOW + TRIAL_INTERVAL;
    assert_eq!(denials.check(&denied, false, later), Verdict::Send);
    let verdict = denials.check(&denied, false, later);
    assert_eq!(verdict, Verdict::Wait(NOW + TRANSFER_TIME));
}

#[test]
fn a_request_that_was_denied_does_not_try_again() {
    let mut denials = Denials::default();
    let denied = claim(99, "a", 1);
    denials.record(&denied, NOW);
    let later = NOW + TRIAL_INTERVAL;
    assert_ne!(denials.check(&denied, true, later), Verdict::Send);
}

#[test]
fn requests_are_refused_at_once_when_no_news_came_for_some_time() {
    let mut denials = Denials::default();
    let denied = claim(99, "a", 1);
    denials.record(&denied, NOW);
    let trial = NOW + TRANSFER_TIME;
    assert_eq!(denials.check(&denied, false, trial), Verdict::Send);
    denials.record(&denied, trial);
    assert_eq!(denials.check(&denied, false, trial), Verdict::Refuse);
}

macro_rules! clears {
    ($name:ident, $news:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let mut denials = Denials::default();
            let denied = claim(99, "a", 1);
            denials.record(&denied, NOW);
            let news: fn(&mut Denials) = $news;
            news(&mut denials);
            let sends = denials.check(&denied, false, NOW) == Verdict::Send;
            assert_eq!(sends, $expected);
        }
    };
}

clears!(news_of_the_range, |d| d.clear("s", 50, 99), true);
clears!(news_of_another_range, |d| d.clear("s", 100, 200), false);
clears!(
    news_of_another_service,
    |d| d.clear("t", 0, u16::MAX),
    false
);
clears!(an_accepted_request, |d| d.confirm(&claim(99, "a", 1)), true);
clears!(
    a_request_that_an_earlier_process_accepted,
    |d| d.confirm(&claim(99, "a", 0)),
    false
);

#[test]
fn another_holder_of_the_range_is_not_denied() {
    let mut denials = Denials::default();
    denials.record(&claim(99, "a", 1), NOW);
    for next in [claim(99, "b", 1), claim(99, "a", 2)] {
        assert_eq!(denials.check(&next, false, NOW), Verdict::Send);
    }
}

proptest! {
    /// However many requests there are, a server that denies everything gets one request for each
    /// interval, and no request twice.
    #[test]
    fn requests_to_a_denying_server_are_bounded(
        pauses in prop::collection::vec(0..40_u64, 1..500),
    ) {
        let mut denials = Denials::default();
        let denied = claim(99, "a", 1);
        let mut now = NOW;
        let mut sent = 0_u64;
        for pause in pauses {
            now = now + Duration::from_millis(pause);
            if denials.check(&denied, false, now) == Verdict::Send {
                sent += 1;
                denials.record(&denied, now);
            }
            prop_assert_ne!(denials.check(&denied, true, now), Verdict::Send);
        }
        let intervals = now.since(NOW).as_millis() / TRIAL_INTERVAL.as_millis();
        prop_assert!(u128::from(sent) <= intervals + 1);
    }
}
