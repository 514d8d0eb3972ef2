//! Movement of keys between backend servers for load.

use tarragon_model::time::Instant;
use tarragon_owner::balance::{self, Candidate, Inputs};
use tarragon_owner::loads::{Loads, Rates};
use tarragon_owner::plan::{Holder, Plan, PreviousHolder, Segment};

const REQUEST_TIME_S: f64 = 0.1;

fn holder(id: &str) -> Holder {
    Holder {
        id: id.to_owned(),
        start_ms: 1,
    }
}

fn candidate(id: &str, capacity: f64) -> Candidate {
    Candidate {
        holder: holder(id),
        capacity,
    }
}

/// Returns rates of 100 requests per second spread evenly, plus `hot` for one key.
fn rates(key: u16, hot: f32) -> Rates {
    let mut loads = Loads::new(Instant::ZERO);
    for other in (0..=u16::MAX).step_by(64) {
        loads.add(other, 100.0 * 1.5 * 64.0 / 65_536.0);
    }
    loads.add(key, hot * 1.5);
    loads.rates(Instant::from_millis(60_000))
}

fn next(plan: &Plan, candidates: &[Candidate], rates: &Rates) -> Option<Plan> {
    let previous = |segment: &Segment| {
        Some(PreviousHolder {
            holder: segment.holder.clone(),
            fence: segment.fence,
        })
    };
    balance::next_plan(
        plan,
        &Inputs {
            candidates,
            rates,
            request_time_s: REQUEST_TIME_S,
            min_sequence: 1,
            movable: &|_| true,
            previous: &previous,
        },
    )
}

fn first_plan(candidates: &[Candidate]) -> Plan {
    let weights: Vec<_> = candidates
        .iter()
        .map(|candidate| (candidate.holder.clone(), 1.0))
        .collect();
    Plan::assign(&weights, 1)
}

#[test]
fn a_key_that_saturates_its_server_moves_to_a_faster_one_and_stays_there() {
    let candidates = [
        candidate("slow", 4.0),
        candidate("fast", 10.0),
        candidate("other", 6.0),
    ];
    let rates = rates(5, 90.0);
    let mut plan = first_plan(&candidates);
    assert_eq!(plan.find(5).unwrap().holder.id, "slow");
    for _ in 0..20 {
        let Some(next) = next(&plan, &candidates, &rates) else {
            break;
        };
        plan = next;
        assert_eq!(plan.find(5).unwrap().holder.id, "fast");
    }
    let moved = plan.find(5).unwrap();
    assert!(moved.fence <= 2, "the key moved more than once: {moved:?}");
}

#[test]
fn a_key_that_saturates_its_server_stays_if_no_other_is_clearly_faster() {
    let candidates = [
        candidate("first", 6.0),
        candidate("second", 7.0),
        candidate("third", 6.5),
    ];
    let rates = rates(5, 90.0);
    let mut plan = first_plan(&candidates);
    for _ in 0..20 {
        let Some(next) = next(&plan, &candidates, &rates) else {
            break;
        };
        plan = next;
        assert_eq!(plan.find(5).unwrap().holder.id, "first");
    }
}
