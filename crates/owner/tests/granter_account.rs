//! When keys may go to their next holder, by the granter's account of the grants it sent.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_owner::granter::freed::{Account, Freed, Reason};
use tarragon_owner::granter::{Action, Command, CommandOutcome, Granter, Liveness, Timing};
use tarragon_owner::plan::{Holder, MAX_KEY, Plan, PreviousHolder, Segment};

const GRANT_DURATION: Duration = Duration::from_secs(3);

const DONE: CommandOutcome = CommandOutcome::Done { handover: None };

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn holder(id: &str) -> Holder {
    Holder {
        id: id.to_owned(),
        start_ms: 1,
    }
}

fn segment(keys: (u16, u16), id: &str, fence: u64, previous: Option<(&str, u64)>) -> Segment {
    Segment {
        from: keys.0,
        to: keys.1,
        fence,
        holder: holder(id),
        previous: previous.map(|(id, fence)| PreviousHolder {
            holder: holder(id),
            fence,
        }),
    }
}

/// Returns a plan that assigns all keys to one server.
fn plan(sequence: u64, id: &str, previous: Option<(&str, u64)>) -> Plan {
    Plan {
        sequence,
        segments: vec![segment((0, MAX_KEY), id, sequence, previous)],
    }
}

fn alive(_: &Holder) -> Liveness {
    Liveness::MaybeAlive
}

fn ended(_: &Holder) -> Liveness {
    Liveness::Ended
}

/// Returns a granter that gives all keys to server `a` under fence 1, and its first grant, due at
/// 1 s.
fn granter() -> (Granter, Command) {
    let timing = Timing::with_grant_duration(GRANT_DURATION);
    let mut granter = Granter::new(plan(1, "a", None), true, timing, at(0));
    let grant = granter.commands(&alive, at(1_000)).remove(0);
    (granter, grant)
}

/// Calls the granter every 10 ms from `from_ms` until it frees keys; returns when, and the keys.
fn next_freed(granter: &mut Granter, from_ms: u64) -> (u64, Vec<Freed>) {
    let freed = (from_ms..20_000).step_by(10).find_map(|ms| {
        granter.commands(&alive, at(ms));
        let freed = granter.take_freed();
        (!freed.is_empty()).then_some((ms, freed))
    });
    freed.expect("the keys are never freed")
}

#[test]
fn answered_release_frees_keys() {
    let (mut granter, grant) = granter();
    granter.record_outcome(&grant, at(1_000), Some(at(1_010)), &DONE);
    granter.adopt(plan(2, "b", Some(("a", 1))), at(1_100));
    let release = granter.commands(&alive, at(1_110)).remove(0);
    assert_eq!(release.action, Action::Release);
    assert_eq!(granter.take_freed(), []);
    granter.record_outcome(&release, at(1_110), Some(at(1_200)), &DONE);
    let freed = Freed {
        reason: Reason::Released,
        from: 0,
        to: MAX_KEY,
        fence: 2,
        previous: PreviousHolder {
            holder: holder("a"),
            fence: 1,
        },
        account: Account {
            latest_due: Some(at(1_000)),
            latest_arrival: Some(at(1_510)),
            unconfirmed: 0,
            inherited: true,
        },
    };
    assert_eq!(granter.take_freed(), [freed]);
    assert_eq!(granter.take_freed(), []);
}

#[test]
fn expired_grant_frees_keys() {
    let (mut granter, grant) = granter();
    granter.record_outcome(&grant, at(1_000), Some(at(1_010)), &DONE);
    granter.adopt(plan(2, "b", Some(("a", 1))), at(1_100));
    let (freed_ms, freed) = next_freed(&mut granter, 1_100);
    assert_eq!(freed[0].reason, Reason::Expired);
    assert!(freed_ms > 4_010, "freed at {freed_ms} ms");
}

#[test]
fn end_of_the_holder_frees_keys() {
    let (mut granter, _) = granter();
    granter.adopt(plan(2, "b", Some(("a", 1))), at(1_100));
    granter.commands(&ended, at(1_110));
    let freed = granter.take_freed().remove(0);
    assert_eq!(freed.reason, Reason::Ended);
    assert_eq!(freed.account.unconfirmed, 1);
}

#[test]
fn same_server_may_be_granted_keys_at_once() {
    let (mut granter, _) = granter();
    granter.adopt(plan(2, "a", Some(("a", 1))), at(1_100));
    let (_, freed) = next_freed(&mut granter, 1_110);
    assert_eq!(freed[0].reason, Reason::SameServer);
}

/// Returns when server `b`, which follows `a`, may be granted keys, from `from_ms` on.
fn freed_ms(granter: &mut Granter, from_ms: u64) -> u64 {
    next_freed(granter, from_ms).0
}

/// Lets the grants that are due at the given times end without having been sent. Keys that are freed
/// meanwhile are not reported.
fn withhold_grants(granter: &mut Granter, due_ms: &[u64]) {
    for ms in due_ms {
        for command in granter.commands(&alive, at(*ms)) {
            granter.record_outcome(&command, at(*ms), None, &CommandOutcome::NotSent);
        }
    }
    granter.take_freed();
}

macro_rules! late_outcome_counts {
    ($($name:ident: $outcome:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (mut granter, grant) = granter();
                withhold_grants(&mut granter, &[1_600, 2_200, 2_800]);
                granter.record_outcome(&grant, at(1_000), Some(at(3_400)), &$outcome);
                granter.adopt(plan(2, "b", Some(("a", 1))), at(3_450));
                let freed_ms = freed_ms(&mut granter, 3_450);
                assert!(freed_ms > 6_400, "freed at {freed_ms} ms, held to 6400 ms");
            }
        )*
    };
}

late_outcome_counts! {
    late_outcome_counts_if_done: DONE;
    late_outcome_counts_if_unknown: CommandOutcome::Unknown;
    late_outcome_counts_if_the_fence_is_stale: CommandOutcome::StaleFence;
}

#[test]
fn grant_without_outcome_is_waited_for_after_keys_moved_on() {
    let (mut granter, grant) = granter();
    granter.adopt(plan(2, "b", Some(("a", 1))), at(1_100));
    granter.adopt(plan(3, "c", Some(("a", 1))), at(1_200));
    granter.adopt(plan(4, "b", Some(("a", 1))), at(1_300));
    for ms in (1_300..9_000).step_by(10) {
        granter.commands(&alive, at(ms));
        assert_eq!(granter.take_freed(), [], "freed at {ms} ms");
    }
    granter.record_outcome(&grant, at(1_000), Some(at(9_000)), &DONE);
    let freed_ms = freed_ms(&mut granter, 9_000);
    assert!(
        (12_001..12_800).contains(&freed_ms),
        "freed at {freed_ms} ms"
    );
}

#[test]
fn grant_that_was_withheld_late_is_not_waited_for() {
    let (mut granter, grant) = granter();
    granter.adopt(plan(2, "b", Some(("a", 1))), at(1_100));
    granter.record_outcome(&grant, at(1_000), None, &CommandOutcome::NotSent);
    // Only the wait for grants of earlier granters remains.
    let freed_ms = freed_ms(&mut granter, 6_000);
    assert_eq!(freed_ms, 6_000);
}

/// A plan with the keys in two segments; the second one has fence 2.
fn split_plan(sequence: u64, second: &str, previous: Option<(&str, u64)>) -> Plan {
    Plan {
        sequence,
        segments: vec![
            segment((0, 999), "a", 1, None),
            segment((1_000, MAX_KEY), second, sequence, previous),
        ],
    }
}

#[test]
fn outcome_counts_for_every_segment_that_keys_were_split_into() {
    let (mut granter, grant) = granter();
    granter.adopt(split_plan(2, "b", Some(("a", 1))), at(1_100));
    granter.record_outcome(&grant, at(1_000), Some(at(5_000)), &DONE);
    let third = Plan {
        sequence: 3,
        segments: vec![
            segment((0, 999), "c", 3, Some(("a", 1))),
            segment((1_000, MAX_KEY), "b", 2, Some(("a", 1))),
        ],
    };
    granter.adopt(third, at(5_050));
    let (freed_ms, freed) = next_freed(&mut granter, 5_050);
    assert!((8_001..9_000).contains(&freed_ms), "freed at {freed_ms} ms");
    assert_eq!(freed.len(), 2);
}

#[test]
fn outcome_of_one_part_is_found_after_joined_keys_are_split_again() {
    let timing = Timing::with_grant_duration(GRANT_DURATION);
    let parts = Plan {
        sequence: 1,
        segments: vec![
            segment((0, 999), "a", 1, None),
            segment((1_000, MAX_KEY), "a", 1, None),
        ],
    };
    let mut granter = Granter::new(parts, true, timing, at(0));
    let grants = granter.commands(&alive, at(1_000));
    assert_eq!(grants.len(), 2);
    granter.adopt(plan(2, "a", Some(("a", 1))), at(1_100));
    let apart = Plan {
        sequence: 3,
        segments: vec![
            segment((0, 999), "b", 3, Some(("a", 2))),
            segment((1_000, MAX_KEY), "c", 3, Some(("a", 2))),
        ],
    };
    granter.adopt(apart, at(1_200));
    for grant in &grants {
        granter.record_outcome(grant, at(1_000), Some(at(3_000)), &DONE);
    }
    let (freed_ms, freed) = next_freed(&mut granter, 3_000);
    assert!((6_001..7_000).contains(&freed_ms), "freed at {freed_ms} ms");
    let unconfirmed: Vec<_> = freed.iter().map(|keys| keys.account.unconfirmed).collect();
    assert_eq!(unconfirmed, [0, 0]);
}

#[test]
fn outcome_of_an_earlier_granter_changes_no_grant_of_the_next() {
    let (_, old) = granter();
    let timing = Timing::with_grant_duration(GRANT_DURATION);
    let mut granter = Granter::new(plan(1, "a", None), true, timing, at(1_000));
    let own = granter.commands(&alive, at(1_000)).remove(0);
    granter.record_outcome(&old, at(1_000), None, &CommandOutcome::NotSent);
    granter.adopt(plan(2, "b", Some(("a", 1))), at(1_100));
    for ms in (1_100..9_000).step_by(10) {
        granter.commands(&alive, at(ms));
        assert_eq!(granter.take_freed(), [], "freed at {ms} ms");
    }
    granter.record_outcome(&own, at(1_000), Some(at(9_000)), &DONE);
    assert!(freed_ms(&mut granter, 9_000) > 12_000);
}

#[test]
fn outcome_of_an_earlier_granter_counts_in_the_next() {
    let (_, old) = granter();
    let timing = Timing::with_grant_duration(GRANT_DURATION);
    let inherited = plan(2, "b", Some(("a", 1)));
    let mut granter = Granter::new(inherited, true, timing, at(1_200));
    granter.record_outcome(&old, at(1_000), Some(at(4_000)), &DONE);
    let freed_ms = freed_ms(&mut granter, 4_000);
    assert!(freed_ms > 7_000, "freed at {freed_ms} ms, held to 7000 ms");
}

/// A granter whose server `a` accepted all keys at 1 s under fence 1, and then was to lose them to
/// `b` without an answer.
fn unanswered_revocation() -> Granter {
    let (mut granter, grant) = granter();
    granter.record_outcome(&grant, at(1_000), Some(at(1_010)), &DONE);
    granter.adopt(plan(2, "b", Some(("a", 1))), at(1_100));
    granter.commands(&alive, at(1_110));
    granter
}

#[test]
fn grants_count_after_keys_returned_to_a_server_before_it_gave_them_up() {
    let mut granter = unanswered_revocation();
    granter.adopt(plan(3, "a", Some(("a", 1))), at(1_500));
    withhold_grants(&mut granter, &[1_600]);
    granter.adopt(plan(4, "c", Some(("a", 3))), at(1_900));
    let freed_ms = freed_ms(&mut granter, 1_900);
    assert!(freed_ms > 4_010, "freed at {freed_ms} ms, held to 4010 ms");
}

#[test]
fn late_outcome_counts_after_keys_returned_to_a_server_before_it_gave_them_up() {
    let (mut granter, grant) = granter();
    granter.adopt(plan(2, "b", Some(("a", 1))), at(1_100));
    granter.adopt(plan(3, "a", Some(("a", 1))), at(1_500));
    withhold_grants(&mut granter, &[1_600]);
    granter.adopt(plan(4, "c", Some(("a", 3))), at(1_900));
    granter.commands(&alive, at(1_910));
    assert_eq!(granter.take_freed(), []);
    granter.record_outcome(&grant, at(1_000), Some(at(3_000)), &CommandOutcome::Unknown);
    let freed_ms = freed_ms(&mut granter, 1_900);
    assert!(freed_ms > 6_000, "freed at {freed_ms} ms, held to 6000 ms");
}

#[test]
fn grants_count_after_keys_returned_under_several_fences() {
    let mut granter = unanswered_revocation();
    for sequence in [3, 5] {
        granter.adopt(plan(sequence, "a", Some(("a", 1))), at(1_200));
        granter.adopt(plan(sequence + 1, "b", Some(("a", 1))), at(1_300));
    }
    let freed_ms = freed_ms(&mut granter, 1_400);
    assert!(freed_ms > 4_010, "freed at {freed_ms} ms, held to 4010 ms");
}

#[test]
fn answer_to_a_release_of_an_earlier_plan_frees_nothing() {
    let (mut granter, grant) = granter();
    granter.record_outcome(&grant, at(1_000), Some(at(1_010)), &DONE);
    granter.adopt(plan(2, "b", Some(("a", 1))), at(1_100));
    let release = granter.commands(&alive, at(1_110)).remove(0);
    assert_eq!(release.action, Action::Release);
    granter.adopt(plan(3, "a", Some(("a", 1))), at(1_200));
    let renewed = granter.commands(&alive, at(1_210)).remove(0);
    granter.record_outcome(&renewed, at(1_210), Some(at(1_220)), &DONE);
    granter.adopt(plan(4, "c", Some(("a", 3))), at(1_300));
    granter.commands(&alive, at(1_310));
    granter.take_freed();
    granter.record_outcome(&release, at(1_110), Some(at(1_400)), &DONE);
    assert_eq!(granter.take_freed(), []);
    let freed_ms = freed_ms(&mut granter, 1_400);
    assert!(freed_ms > 4_220, "freed at {freed_ms} ms, held to 4220 ms");
}

#[test]
fn refused_grant_leaves_the_end_of_earlier_ones() {
    let (mut granter, grant) = granter();
    granter.record_outcome(&grant, at(1_000), Some(at(1_010)), &CommandOutcome::Unknown);
    let second = granter.commands(&alive, at(1_600)).remove(0);
    granter.record_outcome(&second, at(1_600), None, &CommandOutcome::Refused);
    granter.adopt(plan(2, "b", Some(("a", 1))), at(1_700));
    let freed_ms = freed_ms(&mut granter, 1_700);
    assert!((4_011..5_750).contains(&freed_ms), "freed at {freed_ms} ms");
}
