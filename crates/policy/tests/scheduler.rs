//! Invariants of the scheduler under random sequences of calls.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use proptest::prelude::*;
use tarragon_model::config::Class;
use tarragon_model::key::{Group, Hash};
use tarragon_model::time::Instant;
use tarragon_policy::backend::State;
use tarragon_policy::scheduler::{Action, Completion, Request, Scheduler, Settings, Target};
use tarragon_policy::{admission, choice};

const SLOTS: u16 = 3;
const BACKENDS: u16 = 4;
const GROUPS: u32 = 8;
const DEADLINE: Duration = Duration::from_millis(200);

/// One call to the scheduler, or the passing of time.
#[derive(Clone, Debug)]
enum Step {
    Submit {
        key: u64,
        class: u8,
        weight: u32,
        exclusive: bool,
        any: bool,
    },
    Cancel(prop::sample::Index),
    Complete(prop::sample::Index, Completion),
    Withdraw(u32),
    SetState(u16, State),
    Inherited(u16, usize),
    Preempt,
    AdvanceTime(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..400)
}

fn step() -> impl Strategy<Value = Step> {
    let submit = (
        any::<u64>(),
        0..2_u8,
        1..9_u32,
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(|(key, class, weight, exclusive, any)| Step::Submit {
            key,
            class,
            weight,
            exclusive,
            any,
        });
    let result = prop_oneof![
        4 => Just(Completion::Served),
        1 => Just(Completion::Shed),
        1 => Just(Completion::Failed),
        1 => Just(Completion::Cancelled),
    ];
    prop_oneof![
        8 => submit,
        1 => any::<prop::sample::Index>().prop_map(Step::Cancel),
        6 => (any::<prop::sample::Index>(), result).prop_map(|(at, end)| Step::Complete(at, end)),
        1 => (0..GROUPS).prop_map(Step::Withdraw),
        1 => (0..BACKENDS, state()).prop_map(|(server, state)| Step::SetState(server, state)),
        1 => (0..BACKENDS, 0..3_usize).prop_map(|(server, count)| Step::Inherited(server, count)),
        1 => Just(Step::Preempt),
        4 => (0..30_000_u64).prop_map(Step::AdvanceTime),
    ]
}

fn state() -> impl Strategy<Value = State> {
    prop_oneof![
        3 => Just(State::Live),
        1 => Just(State::Cold),
        1 => Just(State::Leaving),
        1 => Just(State::Lost),
        1 => Just(State::Suspect),
    ]
}

/// Scheduler with a model of its state and a count of the decisions on each request.
struct Harness {
    scheduler: Scheduler,
    now: Instant,
    states: [State; BACKENDS as usize],
    inherited: [usize; BACKENDS as usize],
    running: Vec<(u64, u16)>,
    undecided: HashSet<u64>,
    exclusive: HashSet<u64>,
    requests: HashMap<u64, Request>,
    preempted: HashSet<u64>,
    decisions: HashMap<u64, u32>,
    next: u64,
}

impl Harness {
    fn new(admission: &str, choice: &str) -> Self {
        let mut settings = Settings::new(SLOTS, 110);
        admission.clone_into(&mut settings.admission);
        choice.clone_into(&mut settings.choice);
        settings.classes = vec![class("short", 3), class("long", 2)];
        let mut scheduler = Scheduler::new(&settings);
        let now = Instant::from_millis(1);
        for backend in 0..BACKENDS {
            scheduler.set_backend(now, backend, State::Live);
        }
        Self {
            scheduler,
            now,
            states: [State::Live; BACKENDS as usize],
            inherited: [0; BACKENDS as usize],
            running: Vec::new(),
            undecided: HashSet::new(),
            exclusive: HashSet::new(),
            requests: HashMap::new(),
            preempted: HashSet::new(),
            decisions: HashMap::new(),
            next: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Submit {
                key,
                class,
                weight,
                exclusive,
                any,
            } => {
                let key = Hash(*key);
                let group = key.group(GROUPS);
                let owner = u16::try_from(group.0).unwrap() % BACKENDS;
                self.next += 1;
                self.undecided.insert(self.next);
                if *exclusive {
                    self.exclusive.insert(self.next);
                }
                let request = Request {
                    id: self.next,
                    target: if *any {
                        Target::Any
                    } else {
                        Target::Owner(owner)
                    },
                    key,
                    group,
                    class: *class,
                    weight: *weight,
                    deadline: self.now + DEADLINE,
                    exclusive: *exclusive,
                    retry: false,
                };
                self.requests.insert(self.next, request.clone());
                self.scheduler.submit(self.now, request);
            }
            Step::Cancel(at) => {
                let undecided: Vec<u64> = self.sorted_undecided();
                if !undecided.is_empty() {
                    let id = undecided[at.index(undecided.len())];
                    self.scheduler.cancel(self.now, id);
                    self.undecided.remove(&id);
                }
            }
            Step::Complete(at, completion) => {
                if !self.running.is_empty() {
                    let (id, _) = self.running.remove(at.index(self.running.len()));
                    self.scheduler.complete(self.now, id, *completion);
                }
            }
            Step::Withdraw(group) => self.withdraw(Group(*group)),
            Step::SetState(backend, state) => {
                self.states[usize::from(*backend)] = *state;
                self.scheduler.set_backend(self.now, *backend, *state);
            }
            Step::Inherited(backend, count) => {
                self.inherited[usize::from(*backend)] = *count;
                self.scheduler.set_inherited(self.now, *backend, *count);
            }
            Step::Preempt => self.preempt(),
            Step::AdvanceTime(micros) => self.now = self.now + Duration::from_micros(*micros),
        }
        self.poll();
    }

    /// Cancels the requests that the scheduler preempts, each at most once, and submits them again.
    fn preempt(&mut self) {
        for id in self.scheduler.preempt(self.now, |id| id % 3 > 0) {
            assert_ne!(id % 3, 0);
            assert!(self.preempted.insert(id));
            let at = self.running.iter().position(|(run, _)| *run == id).unwrap();
            self.running.remove(at);
            self.scheduler.complete(self.now, id, Completion::Cancelled);
            self.undecided.insert(id);
            self.scheduler.submit(self.now, self.requests[&id].clone());
        }
    }

    fn withdraw(&mut self, group: Group) {
        let before = self.scheduler.waiting();
        let requests = self.scheduler.withdraw_group(self.now, group);
        assert_eq!(self.scheduler.waiting() + requests.len(), before);
        assert_eq!(self.scheduler.withdraw_group(self.now, group), []);
        for request in requests {
            assert_eq!(request.group, group);
            assert!(self.undecided.contains(&request.id));
            self.scheduler.submit(self.now, request);
        }
    }

    fn poll(&mut self) {
        let mut actions = Vec::new();
        self.scheduler.poll(self.now, &mut actions);
        for action in actions {
            let id = match action {
                Action::Start { id, backend } => {
                    assert!(self.states[usize::from(backend)].takes_work());
                    let has_free_slot = self.inherited[usize::from(backend)] < usize::from(SLOTS);
                    assert!(has_free_slot);
                    self.running.push((id, backend));
                    id
                }
                Action::Refuse { id, .. } => id,
            };
            assert!(
                self.undecided.remove(&id),
                "{id} was decided twice or after it was cancelled"
            );
            *self.decisions.entry(id).or_default() += 1;
        }
        self.check();
    }

    fn check(&self) {
        assert_eq!(self.scheduler.violations().total(), 0);
        for backend in 0..BACKENDS {
            let running = self.running.iter().filter(|(_, at)| *at == backend).count();
            assert_eq!(self.scheduler.running(backend), running);
            assert_eq!(self.scheduler.running_on(backend).count(), running);
            assert!(running <= usize::from(SLOTS));
        }
        let exclusive = self
            .running
            .iter()
            .filter(|(id, _)| self.exclusive.contains(id));
        assert!(exclusive.count() <= 1);
        assert_eq!(self.scheduler.waiting(), self.undecided.len());
    }

    fn sorted_undecided(&self) -> Vec<u64> {
        let mut undecided: Vec<u64> = self.undecided.iter().copied().collect();
        undecided.sort_unstable();
        undecided
    }
}

fn class(name: &str, max_slots: u16) -> Class {
    Class {
        name: name.to_owned(),
        prefix: String::new(),
        weight: 1,
        max_slots,
    }
}

/// Applies random steps, lets every deadline pass and checks that each request is decided once.
fn check_decisions(admission: &str, choice: &str, steps: &[Step]) {
    let mut harness = Harness::new(admission, choice);
    for step in steps {
        harness.apply(step);
    }
    harness.apply(&Step::AdvanceTime(
        u64::try_from(DEADLINE.as_micros()).unwrap() + 1,
    ));
    assert!(
        harness.undecided.is_empty(),
        "undecided: {:?}",
        harness.undecided
    );
    for (id, decisions) in &harness.decisions {
        let expected = 1 + u32::from(harness.preempted.contains(id));
        assert!(*decisions <= expected, "{id} was decided {decisions} times");
    }
}

macro_rules! decisions {
    ($($name:ident: $admission:expr, $choice:expr;)*) => {
        proptest! {
            #![proptest_config(ProptestConfig::with_cases(128))]
            $(
                #[test]
                fn $name(steps in steps()) {
                    check_decisions($admission, $choice, &steps);
                }
            )*
        }
    };
}

decisions! {
    each_request_is_decided_once: admission::DEFAULT, choice::DEFAULT;
    each_request_is_decided_once_with_baselines: admission::BASELINE, "random";
    each_request_is_decided_once_when_bound_by_hash: admission::DEFAULT, "hash";
    each_request_is_decided_once_with_round_robin: admission::BASELINE, "round-robin";
}
