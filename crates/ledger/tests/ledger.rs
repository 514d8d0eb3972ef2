//! Tests that the ledger never lets a request run twice.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use tarragon_ledger::ledger::{CLOCK_SKEW, Entry, Ledger, RETENTION, Status};

/// Start of the tests, in milliseconds since the Unix epoch.
const START: u64 = 1_800_000_000_000;
const MINUTE: u64 = 60_000;

fn id(unix_ms: u64, tail: u64) -> u128 {
    (u128::from(unix_ms) << 80) | (7 << 76) | (0b10 << 62) | u128::from(tail)
}

fn dispatched(id: u128) -> Entry {
    Entry::Dispatched {
        id,
        fingerprint: 1,
        at: START,
    }
}

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap()
}

/// Defines tests that apply entries in order and expect a status of one identifier.
macro_rules! statuses {
    ($($name:ident: [$($entry:expr),*], $time:expr => $status:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut ledger = Ledger::new(2);
            let entries: Vec<Entry> = vec![$($entry),*];
            for entry in &entries {
                ledger.apply(entry);
            }
            assert_eq!(ledger.check(START, id($time, 1), 1), $status);
        }
    )*};
}

fn one() -> u128 {
    id(START, 1)
}

statuses! {
    unseen_is_fresh: [], START => Status::Fresh;
    dispatched_is_running: [dispatched(one())], START => Status::Running;
    finished_is_done: [dispatched(one()), Entry::Finished { id: one(), status: 201 }], START
        => Status::Done { status: 201 };
    unresolved_is_unknown: [dispatched(one()), Entry::Unresolved { id: one() }], START
        => Status::Unknown;
    late_response_resolves: [
        dispatched(one()),
        Entry::Unresolved { id: one() },
        Entry::Finished { id: one(), status: 200 }
    ], START => Status::Done { status: 200 };
    new_term_leaves_unknown: [dispatched(one()), Entry::TermStarted], START => Status::Unknown;
    not_run_is_fresh_again: [dispatched(one()), Entry::NotRun { id: one() }], START
        => Status::Fresh;
    done_stays_done: [
        dispatched(one()),
        Entry::Finished { id: one(), status: 200 },
        Entry::NotRun { id: one() },
        Entry::Unresolved { id: one() },
        Entry::TermStarted
    ], START => Status::Done { status: 200 };
    full_ledger_refuses_new: [dispatched(id(START, 2)), dispatched(id(START, 3))], START
        => Status::Overloaded;
    full_ledger_knows_old: [dispatched(one()), dispatched(id(START, 3))], START
        => Status::Running;
    before_loss_of_ledger_is_not_run: [Entry::Horizon { at: START }], START
        => Status::Expired;
    within_clock_skew_of_loss_is_not_run: [Entry::Horizon { at: START - 4_999 }], START
        => Status::Expired;
    after_loss_of_ledger_is_fresh: [Entry::Horizon { at: START - 5_000 }], START => Status::Fresh;
    expired_is_not_run: [dispatched(one()), Entry::Expire { before: START + 1 }], START
        => Status::Expired;
    older_than_retention_is_not_run: [], START - 15 * MINUTE - 1 => Status::Expired;
    as_old_as_retention_is_fresh: [], START - 15 * MINUTE => Status::Fresh;
    within_clock_skew_is_fresh: [], START + 5_000 => Status::Fresh;
    beyond_clock_skew_is_from_future: [], START + 5_001 => Status::FromFuture;
}

#[test]
fn other_request_with_the_identifier_is_a_mismatch() {
    let mut ledger = Ledger::default();
    ledger.apply(&dispatched(one()));
    assert_eq!(ledger.check(START, one(), 2), Status::Mismatch);
}

#[test]
fn other_uuid_versions_are_rejected() {
    let random = 0x1234_5678_9abc_4def_8000_0000_0000_0000;
    assert_eq!(Ledger::default().check(START, random, 1), Status::NotUuidV7);
}

#[test]
fn size_is_bounded_and_entries_expire() {
    let mut ledger = Ledger::default();
    for tail in 0..1_000 {
        ledger.apply(&dispatched(id(START + tail, tail)));
    }
    assert_eq!(ledger.len(), 1_000);
    assert!(ledger.bytes() < 64_000);
    let before = Ledger::expiry_cutoff_ms(START + 500 + millis(RETENTION));
    ledger.apply(&Entry::Expire { before });
    assert_eq!(ledger.len(), 500);
    assert_eq!(ledger.horizon(), START + 500);
}

/// One step in a random history of requests.
#[derive(Clone, Debug)]
enum Step {
    /// A caller sends a new identifier or one that it sent before; if dispatched, the request ends
    /// with `outcome`.
    Send { request: u64, outcome: RunOutcome },
    /// Another leader takes over, with its own clock; the ledger may be lost.
    ChangeLeader { clock_ms: u64, lost: bool },
    /// Time passes.
    Wait { ms: u64 },
}

/// Outcome of a dispatched request.
#[derive(Clone, Copy, Debug)]
enum RunOutcome {
    Finished,
    Unresolved,
    NotRun,
    Pending,
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop::sample::select(vec![
        RunOutcome::Finished,
        RunOutcome::Unresolved,
        RunOutcome::NotRun,
        RunOutcome::Pending,
    ]);
    prop_oneof![
        6 => (0_u64..40, outcome).prop_map(|(request, outcome)| Step::Send { request, outcome }),
        1 => (0_u64..4_000, any::<bool>())
            .prop_map(|(clock_ms, lost)| Step::ChangeLeader { clock_ms, lost }),
        2 => (0_u64..8_000).prop_map(|ms| Step::Wait { ms }),
        1 => (0_u64..6 * MINUTE).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// No identifier runs twice, although identifiers are sent repeatedly across leader changes,
    /// losses of the ledger, expiry and clock differences.
    #[test]
    fn no_identifier_runs_twice(steps in prop::collection::vec(step(), 1..80)) {
        let mut ledger = Ledger::new(8);
        let mut ran = BTreeSet::new();
        let mut ids = BTreeMap::new();
        let mut now = START;
        let mut clock_ms = 0;
        for step in steps {
            match step {
                Step::Send { request, outcome } => {
                    let caller_now = now + request * 100;
                    let id = *ids.entry(request).or_insert_with(|| id(caller_now, request));
                    let leader_now = now + clock_ms;
                    if ledger.check(leader_now, id, request) != Status::Fresh {
                        continue;
                    }
                    ledger.apply(&Entry::Dispatched { id, fingerprint: request, at: leader_now });
                    match outcome {
                        RunOutcome::NotRun => ledger.apply(&Entry::NotRun { id }),
                        RunOutcome::Finished => ledger.apply(&Entry::Finished { id, status: 200 }),
                        RunOutcome::Unresolved => ledger.apply(&Entry::Unresolved { id }),
                        RunOutcome::Pending => {}
                    }
                    prop_assert!(matches!(outcome, RunOutcome::NotRun) || ran.insert(id));
                    prop_assert!(ledger.len() <= 8);
                }
                Step::ChangeLeader { clock_ms: clock, lost } => {
                    clock_ms = clock;
                    if lost {
                        ledger = Ledger::new(8);
                        ledger.apply(&Entry::Horizon { at: now + clock_ms });
                    }
                    ledger.apply(&Entry::TermStarted);
                }
                Step::Wait { ms } => {
                    now += ms;
                    ledger.apply(&Entry::Expire { before: Ledger::expiry_cutoff_ms(now + clock_ms) });
                }
            }
        }
    }

    /// A replica that loads the leader's snapshot returns the same status for every identifier.
    #[test]
    fn snapshot_keeps_every_status(
        requests in prop::collection::vec((0_u64..60_000, any::<u32>(), 100_u16..600), 0..50),
        horizon in START - 1_000..START + 1_000,
    ) {
        let mut ledger = Ledger::default();
        let ids: Vec<u128> =
            requests.iter().map(|&(at, tail, _)| id(START + at, u64::from(tail))).collect();
        for (&id, &(at, _, status)) in ids.iter().zip(&requests) {
            ledger.apply(&Entry::Dispatched { id, fingerprint: u64::MAX - at, at });
            match at % 3 {
                0 => ledger.apply(&Entry::Finished { id, status }),
                1 => ledger.apply(&Entry::Unresolved { id }),
                _ => {}
            }
        }
        ledger.apply(&Entry::Horizon { at: horizon - millis(CLOCK_SKEW) });
        let text = serde_json::to_string(&ledger).unwrap();
        let replica: Ledger = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(replica, ledger);
    }
}
