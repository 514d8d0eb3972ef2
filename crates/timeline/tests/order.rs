//! Tests of the order of events within a process and between processes.

use proptest::prelude::*;
use tarragon_timeline::event::{Draft, Event, Kind, Name};
use tarragon_timeline::journal::Journal;
use tarragon_timeline::merge::{Filter, merge};
use tarragon_timeline::stamp::{Clock, Stamp};

const HOSTS: usize = 4;

/// One step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Event {
        host: usize,
        wall_us: u64,
    },
    Message {
        from: usize,
        to: usize,
        wall_us: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let event = (0..HOSTS, 0_u64..50).prop_map(|(host, wall_us)| Step::Event { host, wall_us });
    let message = (0..HOSTS, 0..HOSTS, 0_u64..50).prop_map(|(from, to, wall_us)| Step::Message {
        from,
        to,
        wall_us,
    });
    prop::collection::vec(prop_oneof![event, message], 1..200)
}

/// Journals of all hosts, and the causes of each event.
struct History {
    journals: Vec<Journal>,
    /// Each event with the `seq` of the latest preceding event of every host, zero if none.
    causes: Vec<(Event, [u64; HOSTS])>,
}

fn run(steps: &[Step]) -> History {
    let mut journals: Vec<_> = (0..HOSTS)
        .map(|host| Journal::new(format!("h{host}").as_str().into(), 1_000))
        .collect();
    let mut known = [[0_u64; HOSTS]; HOSTS];
    let mut causes = Vec::new();
    for step in steps {
        match *step {
            Step::Event { host, wall_us } => {
                let event = journals[host].push(Draft::new(Kind::PeerConnected), wall_us);
                causes.push((event.clone(), known[host]));
                known[host][host] = event.seq;
            }
            Step::Message { from, to, wall_us } => {
                let stamp = journals[from].stamp(wall_us);
                journals[to].observe(wall_us, stamp);
                let sent = known[from];
                for (known, sent) in known[to].iter_mut().zip(sent) {
                    *known = sent.max(*known);
                }
            }
        }
    }
    History { journals, causes }
}

fn position(timeline: &[Event], host: &str, seq: u64) -> Option<usize> {
    timeline
        .iter()
        .position(|event| event.host.as_str() == host && event.seq == seq)
}

proptest! {
    #[test]
    fn merge_keeps_happens_before(steps in steps()) {
        let history = run(&steps);
        let timeline = merge(history.journals.iter().map(|j| j.after(0, usize::MAX).0).collect());
        prop_assert_eq!(timeline.len(), history.causes.len());
        for (event, known) in &history.causes {
            let at = position(&timeline, event.host.as_str(), event.seq);
            for (host, seq) in known.iter().enumerate().filter(|(_, seq)| **seq > 0) {
                let cause = position(&timeline, &format!("h{host}"), *seq);
                prop_assert!(cause < at, "{event} precedes its cause h{host} {seq}");
            }
        }
    }

    #[test]
    fn clock_never_repeats(walls in prop::collection::vec((0_u64..9, 0_u64..9, 0_u32..4), 1..60)) {
        let mut clock = Clock::new();
        let mut latest = Stamp::default();
        for (wall_us, seen_us, logical) in walls {
            let seen = Stamp::new(seen_us, logical);
            clock.observe(wall_us, seen);
            let stamp = clock.now(wall_us);
            prop_assert!(stamp > latest && stamp > seen && stamp.wall_us >= wall_us);
            latest = stamp;
        }
    }

    #[test]
    fn journal_keeps_the_latest(capacity in 1_usize..9, pushed in 0_u64..30, after in 0_u64..30) {
        let mut journal = Journal::new("h1".into(), capacity);
        for wall_us in 0..pushed {
            journal.push(Draft::new(Kind::StoreAvailable), wall_us);
        }
        let kept = pushed.min(capacity as u64);
        prop_assert_eq!(journal.overwritten(), pushed - kept);
        let (events, next) = journal.after(after, usize::MAX);
        let after = if after > pushed { 0 } else { after };
        let expected: Vec<_> = (pushed - kept + 1..=pushed).filter(|seq| *seq > after).collect();
        let seqs: Vec<_> = events.iter().map(|event| event.seq).collect();
        prop_assert_eq!(next, expected.last().copied().unwrap_or(after));
        prop_assert_eq!(seqs, expected);
    }
}

#[test]
fn a_logical_overflow_advances_the_wall_time() {
    let mut clock = Clock::new();
    clock.observe(0, Stamp::new(5, u32::MAX));
    assert_eq!(clock.now(0), Stamp::new(6, 0));
}

/// Defines tests of filters that match the event or not.
macro_rules! matches_event {
    ($($name:ident: $field:ident = $value:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let draft = Draft::new(Kind::RequestRefused)
                .with(Name::Shard, "balance.0")
                .with(Name::Key, "vessel-9")
                .with(Name::Request, "r1");
            let event = Journal::new("h1".into(), 1).push(draft, 0);
            let filter = Filter { $field: Some($value), ..Filter::default() };
            assert_eq!(filter.accepts(&event), $expected);
        }
    )*};
}

matches_event! {
    same_key: key = "vessel-9".to_owned() => true;
    other_key: key = "vessel".to_owned() => false;
    same_host: host = "h1".into() => true;
    other_host: host = "h2".into() => false;
    same_request: request = "r1".to_owned() => true;
    other_request: request = "r2".to_owned() => false;
    same_shard: shard = "balance.0".to_owned() => true;
    other_shard: shard = "balance.1".to_owned() => false;
    same_kind: kind = Kind::RequestRefused => true;
    other_kind: kind = Kind::RequestUnknown => false;
}

#[test]
fn events_survive_json_and_fit_a_line() {
    let draft = Draft::new(Kind::BadObject).with(Name::Detail, "line 1\nx=\"y\"");
    let event = Journal::new("h1".into(), 1).push(draft, 3);
    let text = serde_json::to_string(&event).expect("JSON");
    assert!(text.contains("\"bad-object\""), "{text}");
    assert_eq!(
        serde_json::from_str::<Event>(&text).expect("an event"),
        event
    );
    let line = r#"at=3.0 host=h1 seq=1 event=bad-object detail="line 1\nx=\"y\"""#;
    assert_eq!(event.to_string(), line);
}

#[test]
fn every_name_parses_to_its_variant() {
    for kind in Kind::ALL {
        assert_eq!(Kind::parse(kind.as_str()), Some(*kind));
    }
    for name in Name::ALL {
        assert_eq!(Name::parse(name.as_str()), Some(*name));
    }
}
