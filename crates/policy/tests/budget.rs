//! The retry budget limits retries to a share of the successes.

use std::time::Duration;

use proptest::prelude::*;
use tarragon_model::time::Instant;
use tarragon_policy::budget::Budget;

/// Number of retries that a budget may grant beyond its share of the successes.
const INITIAL_RETRIES: u64 = 3;

proptest! {
    #[test]
    fn retries_stay_a_share_of_successes(
        percent in 0..50_u8,
        steps in prop::collection::vec((any::<bool>(), 0..200_u64), 1..2_000),
    ) {
        let mut budget = Budget::new(percent);
        let mut now = Instant::ZERO;
        let (mut successes, mut retries) = (0_u64, 0_u64);
        for (succeeds, pause) in steps {
            now = now + Duration::from_millis(pause);
            if succeeds {
                budget.record_success(now);
                successes += 1;
            } else if budget.try_retry(now) {
                retries += 1;
            }
            prop_assert!(retries * 100 <= successes * u64::from(percent) + INITIAL_RETRIES * 100);
        }
    }
}

#[test]
fn zero_percent_allows_no_retry() {
    let mut budget = Budget::new(0);
    budget.record_success(Instant::ZERO);
    assert!(!budget.try_retry(Instant::ZERO));
}

#[test]
fn budget_accumulated_before_a_brownout_is_bounded() {
    let mut budget = Budget::new(10);
    let mut now = Instant::ZERO;
    for _ in 0..60_000 {
        now = now + Duration::from_millis(1);
        budget.record_success(now);
    }
    let mut retries = 0;
    while budget.try_retry(now) {
        retries += 1;
    }
    assert!(retries <= 200, "{retries}");
}
