//! Tests that a poison request crashes at most two backend servers and that no other request is
//! refused because of it.

use std::collections::BTreeMap;

use proptest::prelude::*;
use tarragon_ledger::quarantine::{Decision, Entry, Quarantine};

/// Defines tests that apply entries in order and expect a decision on request 1.
macro_rules! decisions {
    ($($name:ident: [$($entry:expr),*] => $decision:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut quarantine = Quarantine::new(2);
            let entries: Vec<Entry> = vec![$($entry),*];
            for entry in &entries {
                quarantine.apply(entry);
            }
            assert_eq!(quarantine.check(1), $decision);
        }
    )*};
}

fn crashed(in_flight: &[u64], at: u64) -> Entry {
    Entry::Crashed {
        in_flight: in_flight.to_vec(),
        at,
    }
}

const START: Entry = Entry::Started { fingerprint: 1 };

decisions! {
    unseen_is_clear: [] => Decision::Clear;
    present_at_a_crash_is_suspect: [crashed(&[1, 2], 0)] => Decision::Alone;
    suspect_that_succeeds_is_clear:
        [crashed(&[1, 2], 0), START, Entry::Succeeded { fingerprint: 1 }] => Decision::Clear;
    suspect_that_stops_stays_suspect:
        [crashed(&[1, 2], 0), START, Entry::Stopped { fingerprint: 1 }] => Decision::Alone;
    suspect_that_crashes_alone_is_refused:
        [crashed(&[1, 2], 0), START, crashed(&[1], 1)] => Decision::Refused;
    crash_is_not_attributed_to_a_suspect_beside_the_one_that_runs_alone:
        [crashed(&[1, 2], 0), Entry::Started { fingerprint: 2 }, crashed(&[1, 2], 1)]
        => Decision::Alone;
    second_crash_is_not_attributed_to_a_suspect_that_did_not_run_alone:
        [crashed(&[1], 0), crashed(&[1], 1)] => Decision::Alone;
    refused_stays_refused:
        [crashed(&[1], 0), START, crashed(&[1], 1), Entry::Succeeded { fingerprint: 1 }]
        => Decision::Refused;
    suspicion_expires: [crashed(&[1], 0), Entry::Expire { before: 1 }] => Decision::Clear;
    refusal_expires:
        [crashed(&[1], 0), START, crashed(&[1], 1), Entry::Expire { before: 2 }] => Decision::Clear;
    oldest_suspect_is_evicted_at_capacity:
        [crashed(&[1], 0), crashed(&[2], 1), crashed(&[3], 2)] => Decision::Clear;
    refusal_is_kept_at_capacity:
        [crashed(&[1], 0), START, crashed(&[1], 1), crashed(&[2], 2), crashed(&[3], 3)]
        => Decision::Refused;
}

/// Number of backend servers of the shard.
const BACKENDS: usize = 3;
/// Number of distinct requests; those with the smallest fingerprints may be poison.
const REQUESTS: u64 = 8;

/// One action of a caller or of a backend server.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller sends a request, which goes to the owner of its key.
    Send { request: u64 },
    /// The owner of a request's key changes, unless the request is running.
    Move { request: u64, backend: usize },
    /// A backend server runs until a poison request crashes it or one request ends.
    Run {
        backend: usize,
        ends: usize,
        succeeds: bool,
    },
    /// The leader is replaced; the new one loads the replicated quarantine.
    ChangeLeader,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..REQUESTS).prop_map(|request| Step::Send { request }),
        1 => (0..REQUESTS, 0..BACKENDS).prop_map(|(request, backend)| Step::Move { request, backend }),
        5 => (0..BACKENDS, 0_usize..6, prop::bool::weighted(0.8))
            .prop_map(|(backend, ends, succeeds)| Step::Run { backend, ends, succeeds }),
        1 => Just(Step::ChangeLeader),
    ]
}

/// Simulated shard. Requests below `poisons` crash the backend server that runs them.
struct Shard {
    quarantine: Quarantine,
    poisons: u64,
    /// Whether a suspect has its backend server to itself.
    isolated: bool,
    owners: Vec<usize>,
    running: [Vec<u64>; BACKENDS],
    crashes: BTreeMap<u64, u32>,
    now: u64,
}

impl Shard {
    fn new(poisons: u64, isolated: bool) -> Self {
        Self {
            quarantine: Quarantine::default(),
            poisons,
            isolated,
            owners: (0..REQUESTS)
                .map(|request| usize::try_from(request).unwrap() % 2)
                .collect(),
            running: Default::default(),
            crashes: BTreeMap::new(),
            now: 0,
        }
    }

    fn owner(&mut self, request: u64) -> &mut usize {
        &mut self.owners[usize::try_from(request).unwrap()]
    }

    fn step(&mut self, step: Step) {
        self.now += 1;
        match step {
            Step::Send { request } => self.send(request),
            Step::Move { request, backend } => {
                let runs = self
                    .running
                    .iter()
                    .any(|running| running.contains(&request));
                if !runs {
                    *self.owner(request) = backend;
                }
            }
            Step::Run {
                backend,
                ends,
                succeeds,
            } => self.run(backend, ends, succeeds),
            Step::ChangeLeader => {
                let text = serde_json::to_string(&self.quarantine).unwrap();
                self.quarantine = serde_json::from_str(&text).unwrap();
            }
        }
    }

    fn send(&mut self, request: u64) {
        let backend = *self.owner(request);
        let alone = self.quarantine.running();
        let reserved = alone.is_some_and(|alone| self.running[backend].contains(&alone));
        match self.quarantine.check(request) {
            Decision::Refused => return,
            Decision::Clear if self.isolated && reserved => return,
            Decision::Clear => {}
            Decision::Alone => {
                let busy = self.isolated && !self.running[backend].is_empty();
                if alone.is_some() || busy {
                    return;
                }
                self.quarantine.apply(&Entry::Started {
                    fingerprint: request,
                });
            }
        }
        self.running[backend].push(request);
    }

    fn run(&mut self, backend: usize, ends: usize, succeeds: bool) {
        let poison = self.running[backend]
            .iter()
            .find(|&&request| request < self.poisons);
        if let Some(&poison) = poison {
            *self.crashes.entry(poison).or_default() += 1;
            let in_flight = std::mem::take(&mut self.running[backend]);
            self.quarantine.apply(&Entry::Crashed {
                in_flight,
                at: self.now,
            });
            return;
        }
        if let Some(&fingerprint) = self.running[backend].get(ends) {
            self.running[backend].remove(ends);
            self.quarantine.apply(&if succeeds {
                Entry::Succeeded { fingerprint }
            } else {
                Entry::Stopped { fingerprint }
            });
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let worst = self.crashes.values().max().copied().unwrap_or_default();
        prop_assert!(worst <= 2, "one request crashed {worst} backend servers");
        for innocent in self.poisons..REQUESTS {
            prop_assert_ne!(self.quarantine.check(innocent), Decision::Refused);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn one_poison_crashes_at_most_two(steps in prop::collection::vec(step(), 1..150)) {
        let mut shard = Shard::new(1, false);
        for step in steps {
            shard.step(step);
            shard.check()?;
        }
    }

    #[test]
    fn each_of_several_poisons_crashes_at_most_two(
        poisons in 2..5_u64,
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut shard = Shard::new(poisons, true);
        for step in steps {
            shard.step(step);
            shard.check()?;
        }
    }
}
