//! Protocol rules that random schedules rarely exercise, each on two members driven by hand.

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

/// Delivers the messages for `host` to its member `to` at `now` and returns the responses.
fn deliver(now: Instant, from: &str, to: &mut Member<Values>, host: &str, out: Outputs) -> Outputs {
    let mut responses = Vec::new();
    for output in out {
        if let Output::Send {
            to: receiver,
            message,
        } = output
            && receiver == peer(host)
        {
            to.handle(now, &peer(from), message, &mut responses);
        }
    }
    responses
}

/// Returns an acting leader and its first standby.
fn acting_leader() -> (Member<Values>, Member<Values>) {
    let (mut leader, mut first) = (member("a"), member("b"));
    let mut out = Vec::new();
    leader.tick(START, &mut out);
    let responses = deliver(START, "a", &mut first, "b", out);
    deliver(START, "b", &mut leader, "a", responses);
    assert!(leader.may_act(START));
    (leader, first)
}

/// Defines one test per rule.
macro_rules! rules {
    ($($name:ident $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

rules! {
    commit_is_reported_only_under_a_valid_lease {
        let (mut leader, mut first) = acting_leader();
        let mut out = Vec::new();
        let index = leader.append(START, 7, &mut out).unwrap();
        let responses = deliver(START, "a", &mut first, "b", out);
        let late = START + LEASE_DURATION;
        let out = deliver(late, "b", &mut leader, "a", responses);
        assert!(!out.iter().any(|output| matches!(output, Output::Committed { .. })));
        let mut out = Vec::new();
        leader.tick(late, &mut out);
        let responses = deliver(late, "a", &mut first, "b", out);
        let out = deliver(late, "b", &mut leader, "a", responses);
        let committed = |output: &Output<Values>| {
            matches!(output, Output::Committed { index: at } if *at == index)
        };
        assert!(out.iter().any(committed));
        assert_eq!(leader.committed(), index);
    }

    other_epochs_and_unknown_senders_are_ignored {
        let (_, mut first) = acting_leader();
        let mut out = Vec::new();
        let other_epoch = Message::Renew { fence: Fence::new(2, 0), seq: 1 };
        first.handle(START, &peer("a"), other_epoch, &mut out);
        let unknown_sender = Message::Renew { fence: Fence::new(1, 0), seq: 1 };
        first.handle(START, &peer("d"), unknown_sender, &mut out);
        assert!(out.is_empty(), "{out:?}");
    }

    replica_set_must_be_led_by_its_proposer {
        let (mut leader, _) = acting_leader();
        let mut out = Vec::new();
        let malformed = Err(Error::Malformed { peer: peer("a") });
        assert_eq!(leader.propose(START, replica_set("b", "a", "c"), &mut out), malformed);
        assert_eq!(leader.propose(START, replica_set("a", "b", "b"), &mut out), malformed);
    }

    replica_set_must_keep_a_standby {
        let (mut leader, _) = acting_leader();
        let result = leader.propose(START, replica_set("a", "d", "e"), &mut Vec::new());
        assert_eq!(result, Err(Error::NoStandby { peer: peer("a") }));
    }

    standby_under_promise_may_not_propose {
        let (_, mut first) = acting_leader();
        let result = first.propose(START, replica_set("b", "a", "c"), &mut Vec::new());
        assert_eq!(result, Err(Error::NotEntitled { peer: peer("b") }));
    }

    write_waits_for_the_seal {
        let (mut leader, mut first) = acting_leader();
        let mut out = Vec::new();
        leader.propose(START, replica_set("a", "b", "d"), &mut out).unwrap();
        assert!(!out.iter().any(|output| matches!(output, Output::Write { .. })));
        let responses = deliver(START, "a", &mut first, "b", out);
        let out = deliver(START, "b", &mut leader, "a", responses);
        assert!(out.iter().any(|output| matches!(output, Output::Write { epoch: 2, .. })));
        let again = leader.propose(START, replica_set("a", "b", "e"), &mut Vec::new());
        assert_eq!(again, Err(Error::Pending { peer: peer("a") }));
    }

    standby_without_responses_is_silent_and_suspect {
        let (mut leader, _) = acting_leader();
        let mut out = Vec::new();
        leader.tick(START + SILENCE_TIMEOUT, &mut out);
        assert_eq!(leader.silent_standbys(START + SILENCE_TIMEOUT).len(), 2);
        let suspects = out.iter().filter(|output| matches!(output, Output::Suspect { .. }));
        assert_eq!(suspects.count(), 2);
    }
}
