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
fn next_freed(granter: &mut Granter, from_ms: u64) -> (u64, Freed) {
    let freed = (from_ms..20_000).step_by(10).find_map(|ms| {
        granter.commands(&alive, at(ms));
        let freed = granter.take_freed().pop()?;
        Some((ms, freed))
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
    assert_eq!(freed.reason, Reason::Expired);
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
    assert_eq!(next_freed(&mut granter, 1_110).1.reason, Reason::SameServer);
}
