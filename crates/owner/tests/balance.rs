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
        throughput: capacity,
    }
}

/// Returns rates of 100 requests per second spread evenly, plus `hot` for one key.
fn rates(key: u16, hot: f32) -> Rates {
    let mut loads = Loads::new(Instant::ZERO);
    for other in (0..=u16::MAX).step_by(64) {
        loads.add(other, 100.0 * 4.0 * 64.0 / 65_536.0);
    }
    loads.add(key, hot * 4.0);
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
            settled: &|_| true,
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

/// Returns a plan whose segments alternate between the candidates, and their number.
fn fragmented_plan(candidates: &[Candidate], width: u16) -> Plan {
    let count = u16::MAX / width;
    let segments = (0..=count).map(|index| Segment {
        from: index * width,
        to: if index == count {
            u16::MAX
        } else {
            (index + 1) * width - 1
        },
        fence: 1,
        holder: candidates[usize::from(index) % candidates.len()]
            .holder
            .clone(),
        previous: None,
    });
    Plan {
        sequence: 1,
        segments: segments.collect(),
    }
}

#[test]
fn light_fragments_are_folded_and_joined_while_load_moves() {
    let candidates: Vec<_> = ["a", "b", "c", "d"].map(|id| candidate(id, 6.0)).into();
    let mut plan = fragmented_plan(&candidates, 256);
    let before = plan.segments.len();
    // The hot keys wander, so that a plan is due each time.
    for step in 0..60_u16 {
        let mut loads = Loads::new(Instant::ZERO);
        for key in step * 1_000..step * 1_000 + 8 {
            loads.add(key, 8.0 * 4.0);
        }
        let rates = loads.rates(Instant::from_millis(60_000));
        if let Some(next) = next(&plan, &candidates, &rates) {
            assert!(next.covers_all_keys());
            plan = next;
        }
    }
    let after = plan.segments.len();
    assert!(
        after * 2 < before,
        "{before} segments before, {after} after"
    );
}

#[test]
fn segments_of_one_holder_are_joined_under_one_fence() {
    let candidates = [candidate("a", 6.0), candidate("b", 6.0)];
    let mut plan = fragmented_plan(&candidates[..1], 20_000);
    assert!(plan.segments.len() > 3);
    plan = next(&plan, &candidates, &rates(9, 30.0)).expect("load moves to b");
    assert!(plan.covers_all_keys());
    for pair in plan.segments.windows(2) {
        assert_ne!(pair[0].holder, pair[1].holder, "neighbors are joined");
    }
}
