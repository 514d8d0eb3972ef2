//! Simulation of a scheduler and a planner under load in virtual time.
//!
//! Backend servers are simulated: a request takes its work divided by the server's true speed,
//! ends at its deadline at the latest and may be shed or fail. All decisions are those of the
//! simulated policies.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tarragon_model::key::{Group, Hash};
use tarragon_model::time::Instant;
use tarragon_policy::backend::State;
use tarragon_policy::budget::{Budget, Cap};
use tarragon_policy::placement::{self, Move, Override, Planner};
use tarragon_policy::scheduler::{Action, Completion, Request, Scheduler, Settings, Target};

use crate::load::{Arrival, Source};
use crate::spec::{Change, Outcome, Record, Retry, Spec, WorkDone};

mod moves;

use moves::is_held_by;

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a failed attempt to its retry.
const RETRY_DELAY: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    End(u64, u32),
    Wake,
    Plan,
    Retry(u64),
    Change(usize),
}

struct Call {
    arrival: Arrival,
    record: usize,
    attempt: u32,
    started: Instant,
    backend: u16,
    runs: bool,
    shed: bool,
}

struct Handoff {
    change: Move,
    held: Vec<Request>,
}

pub struct Simulation {
    spec: Spec,
    rng: SmallRng,
    source: Source,
    scheduler: Scheduler,
    planner: Box<dyn Planner>,
    budget: Budget,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    calls: HashMap<u64, Call>,
    owners: Vec<u16>,
    overrides: Vec<Override>,
    moving: Vec<Handoff>,
    speeds: Vec<f64>,
    states: Vec<State>,
    shed: Vec<f64>,
    fail: Vec<f64>,
    next_arrival: Arrival,
    next_id: u64,
    wake: Option<Instant>,
    idle_seconds: f64,
    slot_seconds: f64,
    now: Instant,
    outcome: Outcome,
}

impl Simulation {
    pub fn run(spec: &Spec) -> Outcome {
        let mut simulation = Self::new(spec);
        while let Some(Reverse((at, event))) = simulation.events.pop() {
            if at > spec.end {
                break;
            }
            simulation.record_idle_time(at);
            simulation.handle(event);
            simulation.apply_decisions();
            if simulation.spec.preempts && simulation.preempt() {
                simulation.apply_decisions();
            }
        }
        simulation.outcome.idle = simulation.idle_seconds / simulation.slot_seconds;
        simulation.outcome.violations = simulation.scheduler.violations().total();
        let count = u16::try_from(spec.speeds.len()).unwrap();
        simulation.outcome.learned = (0..count)
            .map(|at| simulation.scheduler.speed(at))
            .collect();
        simulation.outcome
    }

    fn new(spec: &Spec) -> Self {
        let mut settings = Settings::new(spec.slots, 110);
        settings.admission.clone_from(&spec.admission);
        settings.choice.clone_from(&spec.choice);
        settings.classes = spec
            .load
            .classes
            .iter()
            .map(crate::load::Class::config)
            .collect();
        settings.seed = spec.seed;
        let mut scheduler = Scheduler::new(&settings);
        for (backend, state) in (0..).zip(&spec.states) {
            scheduler.set_backend(Instant::ZERO, backend, *state);
        }
        let planner = placement::create(&spec.planner).expect("a registered planner");
        let groups: Vec<Group> = (0..spec.groups).map(Group).collect();
        let backends: Vec<placement::Backend> = spec
            .states
            .iter()
            .map(|state| placement::Backend {
                speed: 1.0,
                state: *state,
            })
            .collect();
        let owners = planner.initial(&groups, &backends);
        let mut source = Source::new(&spec.load, SmallRng::seed_from_u64(spec.seed));
        let next_arrival = source.next();
        let percent = match spec.retry {
            Retry::Budget(percent) => percent,
            Retry::Never | Retry::Cap(_) => 0,
        };
        let mut events = BinaryHeap::new();
        events.push(Reverse((next_arrival.at, Event::Arrive)));
        events.push(Reverse((Instant::ZERO + PLAN_INTERVAL, Event::Plan)));
        for (index, (at, _)) in spec.changes.iter().enumerate() {
            events.push(Reverse((*at, Event::Change(index))));
        }
        Self {
            rng: SmallRng::seed_from_u64(spec.seed ^ 0x5eed),
            source,
            scheduler,
            planner,
            budget: Budget::new(percent),
            events,
            calls: HashMap::new(),
            owners,
            overrides: Vec::new(),
            moving: Vec::new(),
            speeds: spec.speeds.clone(),
            states: spec.states.clone(),
            shed: vec![0.0; spec.speeds.len()],
            fail: vec![0.0; spec.speeds.len()],
            next_arrival,
            next_id: 0,
            wake: None,
            idle_seconds: 0.0,
            slot_seconds: 0.0,
            now: Instant::ZERO,
            outcome: Outcome {
                records: Vec::new(),
                done: Vec::new(),
                moves: Vec::new(),
                idle: 0.0,
                preempted: 0,
                violations: 0,
                learned: Vec::new(),
            },
            spec: spec.clone(),
        }
    }

    /// Adds up the slot time that was idle while requests that could use it waited.
    fn record_idle_time(&mut self, at: Instant) {
        let span = at.since(self.now).as_secs_f64();
        self.now = at;
        let slots = usize::from(self.spec.slots);
        let (mut free, mut idle) = (0, 0);
        for backend in 0..u16::try_from(self.speeds.len()).unwrap() {
            let limit = self.scheduler.limit(at, backend).min(slots);
            let unused = limit.saturating_sub(self.scheduler.running(backend));
            idle += unused.min(self.scheduler.queued(backend));
            free += unused;
            self.slot_seconds += span * f64::from(self.spec.slots);
        }
        if !self.spec.keyed {
            idle = free.min(self.scheduler.waiting());
        }
        self.idle_seconds += span * f64::from(u32::try_from(idle).unwrap());
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::End(id, attempt) => self.end(id, attempt),
            Event::Wake => self.wake = None,
            Event::Plan => self.plan(),
            Event::Retry(id) => self.submit(id),
            Event::Change(index) => self.change(self.spec.changes[index].1),
        }
    }

    fn arrive(&mut self) {
        let arrival = self.next_arrival;
        self.next_arrival = self.source.next();
        self.events
            .push(Reverse((self.next_arrival.at, Event::Arrive)));
        self.next_id += 1;
        let record = self.outcome.records.len();
        self.outcome.records.push(Record {
            class: arrival.class,
            straggler: arrival.straggler,
            work: arrival.work,
            arrived: arrival.at,
            decided: self.spec.end,
            refused: false,
            attempts: 0,
            responded: None,
        });
        let call = Call {
            arrival,
            record,
            attempt: 0,
            started: self.now,
            backend: 0,
            runs: false,
            shed: false,
        };
        self.calls.insert(self.next_id, call);
        self.submit(self.next_id);
    }

    fn submit(&mut self, id: u64) {
        let call = &self.calls[&id];
        let class = &self.spec.load.classes[usize::from(call.arrival.class)];
        let key = call.arrival.key;
        let group = key.group(self.spec.groups);
        let request = Request {
            id,
            target: Target::Any,
            key,
            group,
            class: call.arrival.class,
            weight: class.weight,
            deadline: call.arrival.at + class.deadline,
            exclusive: false,
            retry: call.attempt > 0,
        };
        self.submit_to_owner(request);
    }

    /// Submits a request to the owner of its key, or holds it while the key moves.
    fn submit_to_owner(&mut self, mut request: Request) {
        if self.spec.keyed {
            let has_override = self.overrides.iter().any(|entry| entry.key == request.key);
            let moving = self
                .moving
                .iter_mut()
                .find(|moving| is_held_by(&moving.change.subject, &request, has_override));
            if let Some(moving) = moving {
                moving.held.push(request);
                return;
            }
            request.target = Target::Owner(self.owner(request.key, request.group));
        }
        self.scheduler.submit(self.now, request);
    }

    fn owner(&self, key: Hash, group: Group) -> u16 {
        let own = self.overrides.iter().find(|entry| entry.key == key);
        own.map_or(self.owners[group.0 as usize], |entry| entry.owner)
    }

    /// Applies the moves and decisions that are due and schedules the next poll.
    fn apply_decisions(&mut self) {
        self.finish_moves();
        let mut actions = Vec::new();
        self.scheduler.poll(self.now, &mut actions);
        for action in actions {
            match action {
                Action::Start { id, backend } => self.start(id, backend),
                Action::Refuse { id, .. } => {
                    let call = self.calls.remove(&id).expect("a known request");
                    self.record_demand(&call.arrival);
                    let record = &mut self.outcome.records[call.record];
                    record.refused = true;
                    if call.attempt == 0 {
                        record.decided = self.now;
                    }
                }
            }
        }
        let next = self.scheduler.next_wakeup(self.now);
        if let Some(at) = next.filter(|at| self.wake.is_none_or(|wake| *at < wake)) {
            self.wake = Some(at);
            self.events.push(Reverse((at, Event::Wake)));
        }
    }

    /// Records a refused request in the planner with its expected time.
    fn record_demand(&mut self, arrival: &Arrival) {
        let group = arrival.key.group(self.spec.groups);
        let owner = self.owner(arrival.key, group);
        let time = self
            .scheduler
            .expected_time(arrival.class, arrival.key, owner);
        self.planner
            .record(self.now, group, arrival.key, time, owner);
    }

    /// Cancels the requests that the scheduler preempts and submits them again.
    fn preempt(&mut self) -> bool {
        let chosen = self.scheduler.preempt(self.now, |_| true);
        for id in &chosen {
            self.scheduler
                .complete(self.now, *id, Completion::Cancelled);
            let call = self.calls.get_mut(id).expect("a known request");
            call.runs = false;
            let time = self.now.since(call.started);
            let backend = call.backend;
            let done = WorkDone {
                at: self.now,
                backend,
                work: time.as_secs_f64() * self.speeds[usize::from(backend)],
            };
            self.outcome.done.push(done);
            self.outcome.preempted += 1;
            self.submit(*id);
        }
        !chosen.is_empty()
    }

    fn start(&mut self, id: u64, backend: u16) {
        let call = self.calls.get_mut(&id).expect("a known request");
        let class = &self.spec.load.classes[usize::from(call.arrival.class)];
        let speed = self.speeds[usize::from(backend)];
        call.started = self.now;
        call.backend = backend;
        call.runs = true;
        call.attempt += 1;
        call.shed = self.rng.random::<f64>() < self.shed[usize::from(backend)];
        let end = self.now + call.arrival.work.div_f64(speed);
        let deadline = call.arrival.at + class.deadline;
        let at = if call.shed {
            self.now + Duration::from_millis(1)
        } else {
            end.min(deadline)
        };
        let record = &mut self.outcome.records[call.record];
        record.attempts += 1;
        if call.attempt == 1 {
            record.decided = self.now;
        }
        self.events
            .push(Reverse((at, Event::End(id, call.attempt))));
    }

    fn end(&mut self, id: u64, attempt: u32) {
        let call = self.calls.get(&id);
        let Some(call) = call.filter(|call| call.runs && call.attempt == attempt) else {
            return;
        };
        let time = self.now.since(call.started);
        let speed = self.speeds[usize::from(call.backend)];
        let (key, backend, record) = (call.arrival.key, call.backend, call.record);
        let full_time = call.arrival.work.div_f64(speed);
        let fails = self.rng.random::<f64>() < self.fail[usize::from(backend)];
        let completion = if call.shed {
            Completion::Shed
        } else if fails {
            Completion::Failed
        } else if time + Duration::from_micros(2) >= full_time {
            Completion::Served
        } else {
            Completion::Cancelled
        };
        self.scheduler.complete(self.now, id, completion);
        if matches!(completion, Completion::Shed | Completion::Failed) {
            self.retry(id);
            return;
        }
        self.calls.remove(&id);
        let group = key.group(self.spec.groups);
        self.planner.record(self.now, group, key, time, backend);
        self.outcome.done.push(WorkDone {
            at: self.now,
            backend,
            work: time.as_secs_f64() * speed,
        });
        if completion == Completion::Served {
            self.budget.record_success(self.now);
            self.outcome.records[record].responded = Some(self.now);
        }
    }

    /// Schedules a retry of a failed attempt if the limit on retries allows it.
    fn retry(&mut self, id: u64) {
        let call = self.calls.get_mut(&id).expect("a known request");
        call.runs = false;
        let may_retry = match self.spec.retry {
            Retry::Never => false,
            Retry::Cap(max_retries) => Cap::new(max_retries).try_retry(call.attempt - 1),
            Retry::Budget(_) => self.budget.try_retry(self.now),
        };
        if may_retry {
            self.events
                .push(Reverse((self.now + RETRY_DELAY, Event::Retry(id))));
        } else {
            self.calls.remove(&id);
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::State(backend, state) => {
                self.states[usize::from(backend)] = state;
                self.scheduler.set_backend(self.now, backend, state);
                if state == State::Lost {
                    let lost: Vec<u64> = self.scheduler.running_on(backend).collect();
                    for id in lost {
                        self.scheduler.complete(self.now, id, Completion::Failed);
                        self.retry(id);
                    }
                }
            }
            Change::Speed(backend, speed) => self.speeds[usize::from(backend)] = speed,
            Change::Shed(backend, share) => self.shed[usize::from(backend)] = share,
            Change::Fail(backend, share) => self.fail[usize::from(backend)] = share,
        }
    }
}
