//! Invariants of the scheduler under random calls.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use proptest::prelude::*;
use tarragon_model::config::Class;
use tarragon_model::key::{Group, Hash};
use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;
use tarragon_policy::scheduler::{Action, Ending, Request, Scheduler, Settings, Target};
use tarragon_policy::standing::State;
use tarragon_policy::{admission, choice};

const SLOTS: u16 = 3;
const BACKENDS: u16 = 4;
const GROUPS: u32 = 8;
const DEADLINE: Duration = Duration::from_millis(200);

/// One call on the scheduler.
#[derive(Clone, Debug)]
enum Step {
    Submit {
        key: u64,
        class: u8,
        weight: u32,
        alone: bool,
        any: bool,
    },
    Cancel(prop::sample::Index),
    Complete(prop::sample::Index, Ending),
    Withdraw(u32),
    SetState(u16, State),
    Foreign(u16, usize),
    Preempt,
    Pass(u64),
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
        .prop_map(|(key, class, weight, alone, any)| Step::Submit {
            key,
            class,
            weight,
            alone,
            any,
        });
    let ending = prop_oneof![
        4 => Just(Ending::Served),
        1 => Just(Ending::Shed),
        1 => Just(Ending::Failed),
        1 => Just(Ending::Cancelled),
    ];
    prop_oneof![
        8 => submit,
        1 => any::<prop::sample::Index>().prop_map(Step::Cancel),
        6 => (any::<prop::sample::Index>(), ending).prop_map(|(at, end)| Step::Complete(at, end)),
        1 => (0..GROUPS).prop_map(Step::Withdraw),
        1 => (0..BACKENDS, state()).prop_map(|(server, state)| Step::SetState(server, state)),
        1 => (0..BACKENDS, 0..3_usize).prop_map(|(server, count)| Step::Foreign(server, count)),
        1 => Just(Step::Preempt),
        4 => (0..30_000_u64).prop_map(Step::Pass),
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

/// Scheduler with a record of every fate.
struct Bench {
    scheduler: Scheduler,
    now: Instant,
    states: [State; BACKENDS as usize],
    foreign: [usize; BACKENDS as usize],
    running: Vec<(u64, u16)>,
    open: HashSet<u64>,
    alone: HashSet<u64>,
    requests: HashMap<u64, Request>,
    preempted: HashSet<u64>,
    fates: HashMap<u64, u32>,
    next: u64,
}

impl Bench {
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
            foreign: [0; BACKENDS as usize],
            running: Vec::new(),
            open: HashSet::new(),
            alone: HashSet::new(),
            requests: HashMap::new(),
            preempted: HashSet::new(),
            fates: HashMap::new(),
            next: 0,
        }
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Submit {
                key,
                class,
                weight,
                alone,
                any,
            } => {
                let key = Hash(*key);
                let group = key.group(GROUPS);
                let owner = u16::try_from(group.0).unwrap() % BACKENDS;
                self.next += 1;
                self.open.insert(self.next);
                if *alone {
                    self.alone.insert(self.next);
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
                    alone: *alone,
                    retry: false,
                };
                self.requests.insert(self.next, request.clone());
                self.scheduler.submit(self.now, request);
            }
            Step::Cancel(at) => {
                let open: Vec<u64> = self.sorted_open();
                if !open.is_empty() {
                    let id = open[at.index(open.len())];
                    self.scheduler.cancel(self.now, id);
                    self.open.remove(&id);
                }
            }
            Step::Complete(at, ending) => {
                if !self.running.is_empty() {
                    let (id, _) = self.running.remove(at.index(self.running.len()));
                    self.scheduler.complete(self.now, id, *ending);
                }
            }
            Step::Withdraw(group) => self.withdraw(Group(*group)),
            Step::SetState(backend, state) => {
                self.states[usize::from(*backend)] = *state;
                self.scheduler.set_backend(self.now, *backend, *state);
            }
            Step::Foreign(backend, count) => {
                self.foreign[usize::from(*backend)] = *count;
                self.scheduler.foreign(self.now, *backend, *count);
            }
            Step::Preempt => self.preempt(),
            Step::Pass(micros) => self.now = self.now + Duration::from_micros(*micros),
        }
        self.poll();
    }

    /// Cancels what the scheduler gives up and submits it again, which happens once at most.
    fn preempt(&mut self) {
        for id in self.scheduler.preempt(self.now, |id| id % 3 > 0) {
            assert_ne!(id % 3, 0);
            assert!(self.preempted.insert(id));
            let at = self.running.iter().position(|(run, _)| *run == id).unwrap();
            self.running.remove(at);
            self.scheduler.complete(self.now, id, Ending::Cancelled);
            self.open.insert(id);
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
            assert!(self.open.contains(&request.id));
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
                    let had_room = self.foreign[usize::from(backend)] < usize::from(SLOTS);
                    assert!(had_room);
                    self.running.push((id, backend));
                    id
                }
                Action::Refuse { id, .. } => id,
            };
            assert!(
                self.open.remove(&id),
                "{id} was decided twice or after its cancellation"
            );
            *self.fates.entry(id).or_default() += 1;
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
        let alone = self
            .running
            .iter()
            .filter(|(id, _)| self.alone.contains(id));
        assert!(alone.count() <= 1);
        assert_eq!(self.scheduler.waiting(), self.open.len());
    }

    fn sorted_open(&self) -> Vec<u64> {
        let mut open: Vec<u64> = self.open.iter().copied().collect();
        open.sort_unstable();
        open
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

/// Runs random steps, lets every deadline pass and looks for requests without a fate.
fn check_fates(admission: &str, choice: &str, steps: &[Step]) {
    let mut bench = Bench::new(admission, choice);
    for step in steps {
        bench.take(step);
    }
    bench.take(&Step::Pass(
        u64::try_from(DEADLINE.as_micros()).unwrap() + 1,
    ));
    assert!(bench.open.is_empty(), "without a fate: {:?}", bench.open);
    for (id, fates) in &bench.fates {
        let expected = 1 + u32::from(bench.preempted.contains(id));
        assert!(*fates <= expected, "{id} has {fates} fates");
    }
}

macro_rules! fates {
    ($($name:ident: $admission:expr, $choice:expr;)*) => {
        proptest! {
            #![proptest_config(ProptestConfig::with_cases(128))]
            $(
                #[test]
                fn $name(steps in steps()) {
                    check_fates($admission, $choice, &steps);
                }
            )*
        }
    };
}

fates! {
    each_request_has_one_fate: admission::DEFAULT, choice::DEFAULT;
    each_request_has_one_fate_with_baselines: admission::BASELINE, "random";
    each_request_has_one_fate_when_bound_by_hash: admission::DEFAULT, "hash";
    each_request_has_one_fate_in_turn: admission::BASELINE, "round-robin";
}

fn request(id: u64, now: Instant, weight: u32) -> Request {
    let key = Hash(id << 40);
    Request {
        id,
        target: Target::Owner(0),
        key,
        group: key.group(GROUPS),
        class: 0,
        weight,
        deadline: now + DEADLINE,
        alone: false,
        retry: false,
    }
}

/// Sends more than one server can do and returns the refusals after the arrival.
fn crowd(admission: &str) -> (usize, usize) {
    let mut settings = Settings::new(1, 110);
    admission.clone_into(&mut settings.admission);
    let mut scheduler = Scheduler::new(&settings);
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    let (mut early, mut late) = (0, 0);
    let mut ends: Option<(Instant, u64)> = None;
    let mut actions = Vec::new();
    for step in 1..4_000_u64 {
        let now = Instant::from_millis(step);
        if let Some((_, id)) = ends.filter(|(at, _)| *at <= now) {
            scheduler.complete(now, id, Ending::Served);
            ends = None;
        }
        scheduler.submit(now, request(step, now, 1));
        actions.clear();
        scheduler.poll(now, &mut actions);
        for action in &actions {
            match action {
                Action::Start { id, .. } => ends = Some((now + Duration::from_millis(10), *id)),
                Action::Refuse { id, .. } if *id == step => early += 1,
                Action::Refuse { .. } => late += 1,
            }
        }
    }
    (early, late)
}

#[test]
fn refuses_on_arrival_instead_of_after_a_wait() {
    let (early, late) = crowd(admission::DEFAULT);
    assert!(early > 3_000, "{early}");
    assert!(late * 20 < early, "{late} late, {early} early");
    let (early, late) = crowd(admission::BASELINE);
    assert_eq!(early, 0);
    assert!(late > 3_000, "{late}");
}

#[test]
fn low_weight_is_decided_while_high_weight_keeps_coming() {
    let mut scheduler = Scheduler::new(&Settings::new(1, 110));
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    let start = Instant::from_millis(1);
    scheduler.submit(start, request(1, start, 9));
    scheduler.submit(start, request(2, start, 1));
    let mut actions = Vec::new();
    let mut running = None;
    for step in 1..300_u64 {
        let now = Instant::from_millis(step);
        if let Some(id) = running.take() {
            scheduler.complete(now, id, Ending::Served);
        }
        scheduler.submit(now, request(100 + step, now, 9));
        scheduler.poll(now, &mut actions);
        running = actions.iter().rev().find_map(|action| match action {
            Action::Start { id, .. } => Some(*id),
            Action::Refuse { .. } => None,
        });
    }
    let decided = actions.iter().any(|action| match action {
        Action::Start { id, .. } | Action::Refuse { id, .. } => *id == 2,
    });
    assert!(decided);
}

#[test]
fn preset_refuses_low_weight() {
    let mut settings = Settings::new(6, 110);
    settings.preset.min_weight = 5;
    let mut scheduler = Scheduler::new(&settings);
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    scheduler.submit(Instant::ZERO, request(1, Instant::ZERO, 4));
    let mut actions = Vec::new();
    scheduler.poll(Instant::ZERO, &mut actions);
    assert_eq!(
        actions,
        [Action::Refuse {
            id: 1,
            reason: Reason::Preset
        }]
    );
}

#[test]
fn cold_server_takes_load_up_by_steps() {
    let mut scheduler = Scheduler::new(&Settings::new(6, 110));
    scheduler.set_backend(Instant::ZERO, 0, State::Cold);
    let mut limits: Vec<usize> = Vec::new();
    let mut now = Instant::ZERO;
    scheduler.submit(now, request(1, now + Duration::from_mins(1), 1));
    for id in 2..20 {
        scheduler.submit(now, request(id, now + Duration::from_mins(1), 1));
    }
    let mut actions = Vec::new();
    while limits.last() != Some(&6) {
        scheduler.poll(now, &mut actions);
        limits.push(scheduler.running(0));
        now = scheduler.next_wakeup(now).unwrap();
    }
    assert_eq!(limits, [1, 2, 3, 4, 5, 6]);
}

#[test]
fn shedding_server_is_backed_off_and_recovers() {
    let mut scheduler = Scheduler::new(&Settings::new(6, 110));
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    let mut actions = Vec::new();
    let now = Instant::ZERO;
    for id in 1..=6 {
        scheduler.submit(now, request(id, now, 1));
    }
    scheduler.poll(now, &mut actions);
    for id in 1..=6 {
        scheduler.complete(now, id, Ending::Shed);
    }
    assert_eq!(scheduler.limit(now, 0), 0);
    let mut now = now + Duration::from_secs(1);
    assert_eq!(scheduler.limit(now, 0), 1);
    for id in 10..40 {
        now = now + Duration::from_millis(10);
        scheduler.submit(now, request(id, now, 1));
        scheduler.poll(now, &mut actions);
        scheduler.complete(now + Duration::from_millis(1), id, Ending::Served);
    }
    assert_eq!(scheduler.limit(now, 0), 6);
}

#[test]
fn failing_server_is_only_probed() {
    let mut scheduler = Scheduler::new(&Settings::new(6, 110));
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    let mut starts = 0;
    let mut actions = Vec::new();
    for step in 1..2_000 {
        let now = Instant::from_millis(step);
        scheduler.submit(now, request(step, now, 1));
        actions.clear();
        scheduler.poll(now, &mut actions);
        for action in &actions {
            if let Action::Start { id, .. } = action {
                starts += 1;
                scheduler.complete(now, *id, Ending::Failed);
            }
        }
    }
    assert!((3..20).contains(&starts), "{starts}");
}

/// Fills a server's slots, the first `long` of them with work that does not end, lets a short
/// request wait and returns what is given up.
fn preempted(long: u64, may_cancel: bool) -> Vec<u64> {
    let mut settings = Settings::new(6, 110);
    settings.classes = vec![class("short", 6)];
    let mut scheduler = Scheduler::new(&settings);
    let mut actions = Vec::new();
    let mut now = Instant::from_millis(1);
    scheduler.set_backend(now, 0, State::Live);
    let mut submit = |scheduler: &mut Scheduler, now: Instant, id: u64| {
        let mut request = request(id, now, 1);
        request.deadline = now + Duration::from_secs(5);
        scheduler.submit(now, request);
        scheduler.poll(now, &mut actions);
    };
    for id in 100..150 {
        submit(&mut scheduler, now, id);
        now = now + Duration::from_millis(10);
        scheduler.complete(now, id, Ending::Served);
    }
    for id in 0..long {
        submit(&mut scheduler, now, id);
    }
    now = now + Duration::from_millis(100);
    for id in long..7 {
        submit(&mut scheduler, now, id);
    }
    now = now + Duration::from_millis(20);
    let chosen = scheduler.preempt(now, |_| may_cancel);
    assert!(scheduler.preempt(now, |_| false).is_empty());
    chosen.to_vec()
}

#[test]
fn long_runs_are_given_up_for_short_work_that_waits() {
    assert_eq!(preempted(2, true), []);
    assert_eq!(preempted(6, true).len(), 1);
    assert_eq!(preempted(6, false), []);
}

#[test]
fn work_that_is_known_to_be_long_leaves_slots_free() {
    let mut settings = Settings::new(6, 110);
    settings.classes = vec![class("short", 6), class("long", 6)];
    let mut scheduler = Scheduler::new(&settings);
    scheduler.set_backend(Instant::ZERO, 0, State::Live);
    let mut actions = Vec::new();
    let mut now = Instant::ZERO;
    for id in 1..100 {
        let mut learned = request(id, now, 1);
        learned.class = u8::from(id % 2 == 0);
        let time = if learned.class == 0 { 2 } else { 100 };
        scheduler.submit(now, learned);
        scheduler.poll(now, &mut actions);
        now = now + Duration::from_millis(time);
        scheduler.complete(now, id, Ending::Served);
    }
    for id in 100..110 {
        let mut long = request(id, now, 1);
        long.class = 1;
        long.deadline = now + Duration::from_secs(9);
        scheduler.submit(now, long);
    }
    scheduler.poll(now, &mut actions);
    assert_eq!(scheduler.running(0), 4);
    scheduler.submit(now, request(200, now, 1));
    scheduler.poll(now, &mut actions);
    assert_eq!(scheduler.running(0), 5);
}

#[test]
fn preset_without_waiting_still_takes_free_slots() {
    let mut settings = Settings::new(1, 110);
    settings.preset.wait_percent = 0;
    let mut scheduler = Scheduler::new(&settings);
    let now = Instant::from_millis(1);
    scheduler.set_backend(now, 0, State::Live);
    scheduler.submit(now, request(1, now, 1));
    scheduler.submit(now, request(2, now, 1));
    let mut actions = Vec::new();
    scheduler.poll(now, &mut actions);
    scheduler.poll(now + Duration::from_millis(1), &mut actions);
    let started = Action::Start { id: 1, backend: 0 };
    let refused = |action: &Action| matches!(action, Action::Refuse { id: 2, .. });
    assert!(actions.contains(&started));
    assert!(actions.iter().any(refused));
    assert_eq!(actions.len(), 2);
}
