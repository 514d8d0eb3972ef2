//! Rules that random schedules rarely touch, each with two or three members by hand.

mod common;

use common::Values;
use tarragon_lease::proposal::Error;
use tarragon_lease::timing::{LEASE_DURATION, SILENCE_TIMEOUT};
use tarragon_lease::{Member, Message, Output};
use tarragon_model::fence::Fence;
use tarragon_model::host::{Id, Peer};
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::shard;
use tarragon_model::time::Instant;

type Outputs = Vec<Output<Values>>;

const START: Instant = Instant::from_millis(1);

fn peer(host: &str) -> Peer {
    Peer::new(Id::new(host), 1)
}

fn replica_set(leader: &str, first: &str, second: &str) -> ReplicaSet {
    ReplicaSet {
        leader: peer(leader),
        first: peer(first),
        second: peer(second),
    }
}

fn member(host: &str) -> Member<Values> {
    let record = Record {
        epoch: 1,
        fence: Fence::new(1, 0),
        index: 0,
        token: String::new(),
        replica_set: replica_set("a", "b", "c"),
        owners: Vec::new(),
        overrides: Vec::new(),
    };
    let shard = shard::Id::new("balance".into(), 0);
    Member::new(peer(host), shard, &record, START, None)
}

/// Hands the messages for `to` over at `now` and returns its answers.
fn pass(now: Instant, from: &str, to: &mut Member<Values>, host: &str, out: Outputs) -> Outputs {
    let mut answers = Vec::new();
    for output in out {
        if let Output::Send {
            to: receiver,
            message,
        } = output
            && receiver == peer(host)
        {
            to.handle(now, &peer(from), message, &mut answers);
        }
    }
    answers
}

/// Returns a leader that acts, and its first standby.
fn acting() -> (Member<Values>, Member<Values>) {
    let (mut leader, mut first) = (member("a"), member("b"));
    let mut out = Vec::new();
    leader.tick(START, &mut out);
    let answers = pass(START, "a", &mut first, "b", out);
    pass(START, "b", &mut leader, "a", answers);
    assert!(leader.may_act(START));
    (leader, first)
}

/// Names a case.
macro_rules! rules { ($($name:ident $body:block)*) => {$( #[test] fn $name() $body )*}; }

rules! { commit_is_reported_under_lease_only { let (mut leader, mut first) = acting(); let mut out = Vec::new(); let index = leader.append(START, 7, &mut out).unwrap(); let answers = pass(START, "a", &mut first, "b", out); let late = START + LEASE_DURATION; let out = pass(late, "b", &mut leader, "a", answers); assert!(!out.iter().any(|output| matches!(output, Output::Committed { .. }))); let mut out = Vec::new(); leader.tick(late, &mut out); let answers = pass(late, "a", &mut first, "b", out); let out = pass(late, "b", &mut leader, "a", answers); let committed = |output: &Output<Values>| { matches!(output, Output::Committed { index: at } if *at == index) }; assert!(out.iter().any(committed)); assert_eq!(leader.committed(), index); }

other_epochs_and_strangers_are_ignored { let (_, mut first) = acting(); let mut out = Vec::new(); let foreign = Message::Renew { fence: Fence::new(2, 0), seq: 1 }; first.handle(START, &peer("a"), foreign, &mut out); let stranger = Message::Renew { fence: Fence::new(1, 0), seq: 1 }; first.handle(START, &peer("d"), stranger, &mut out); assert!(out.is_empty(), "{out:?}"); }

trio_must_be_led_by_its_proposer { let (mut leader, _) = acting(); let mut out = Vec::new(); let malformed = Err(Error::Malformed { peer: peer("a") }); assert_eq!(leader.propose(START, replica_set("b", "a", "c"), &mut out), malformed); assert_eq!(leader.propose(START, replica_set("a", "b", "b"), &mut out), malformed); }

trio_must_keep_a_standby { let (mut leader, _) = acting(); let result = leader.propose(START, replica_set("a", "d", "e"), &mut Vec::new()); assert_eq!(result, Err(Error::NoStandby { peer: peer("a") })); }

standby_under_promise_may_not_propose { let (_, mut first) = acting(); let result = first.propose(START, replica_set("b", "a", "c"), &mut Vec::new()); assert_eq!(result, Err(Error::NotEntitled { peer: peer("b") })); }

write_waits_for_the_seal { let (mut leader, mut first) = acting(); let mut out = Vec::new(); leader.propose(START, replica_set("a", "b", "d"), &mut out).unwrap(); assert!(!out.iter().any(|output| matches!(output, Output::Write { .. }))); let answers = pass(START, "a", &mut first, "b", out); let out = pass(START, "b", &mut leader, "a", answers); assert!(out.iter().any(|output| matches!(output, Output::Write { epoch: 2, .. }))); let again = leader.propose(START, replica_set("a", "b", "e"), &mut Vec::new()); assert_eq!(again, Err(Error::Pending { peer: peer("a") })); }

standby_without_answers_is_silent_and_suspect { let (mut leader, _) = acting(); let mut out = Vec::new(); leader.tick(START + SILENCE_TIMEOUT, &mut out); assert_eq!(leader.silent_standbys(START + SILENCE_TIMEOUT).len(), 2); let suspects = out.iter().filter(|output| matches!(output, Output::Suspect { .. })); assert_eq!(suspects.count(), 2); } }
