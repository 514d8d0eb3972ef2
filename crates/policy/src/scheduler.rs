//! Scheduler of one shard: which waiting request starts, when and on which backend server.
//!
//! The scheduler is the kernel that counts slots, keeps the queues and learns speeds and
//! durations. What is refused and what goes first is up to an [`admission::Policy`]; which server
//! serves a key without an owner is up to a [`choice::Policy`].
//!
//! Each submitted request gets exactly one [`Action`], unless its caller cancels or withdraws it
//! first. Invariants are checked where work starts: they are counted in [`Violations`] and
//! asserted in debug builds.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_model::{config, key};

use crate::backend::State;
use crate::duration::Learner;
use crate::speed::Estimator;
use crate::{admission, choice};

mod dispatch;
mod intake;
mod outlook;
mod preempt;
mod queue;
mod request;
mod server;

pub use request::{Action, Completion, Request, Settings, Target};

use queue::{Queue, Ticket};
use server::{Run, Server};

/// Times that an invariant was found broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Starts on a server whose slots were all in use.
    pub slots: u64,
    /// Starts on a server that was leaving or lost.
    pub stopped: u64,
    /// Requests submitted under an identifier in use.
    pub duplicates: u64,
}

impl Violations {
    /// Returns the sum of all.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.slots + self.stopped + self.duplicates
    }
}

/// Decides for one shard.
///
/// ```
/// use tarragon_model::key::Hash;
/// use tarragon_model::time::Instant;
/// use tarragon_policy::scheduler::{Action, Completion, Request, Scheduler, Settings, Target};
/// use tarragon_policy::backend::State;
///
/// let mut scheduler = Scheduler::new(&Settings::new(6, 110));
/// let now = Instant::from_millis(1);
/// scheduler.set_backend(now, 0, State::Live);
/// let key = Hash::of("vessel-9");
/// scheduler.submit(now, Request {
///     id: 7,
///     target: Target::Owner(0),
///     key,
///     group: key.group(64),
///     class: 0,
///     weight: 1,
///     deadline: Instant::from_millis(500),
///     exclusive: false,
///     retry: false,
/// });
/// let mut actions = Vec::new();
/// scheduler.poll(now, &mut actions);
/// assert_eq!(actions, [Action::Start { id: 7, backend: 0 }]);
/// scheduler.complete(Instant::from_millis(3), 7, Completion::Served);
/// assert_eq!(scheduler.running(0), 0);
/// ```
#[derive(Debug)]
pub struct Scheduler {
    slots: usize,
    hard_slots: usize,
    classes: Vec<config::Class>,
    preset: config::Preset,
    admission_name: String,
    choice_name: String,
    admission: Box<dyn admission::Policy>,
    choice: Box<dyn choice::Policy>,
    servers: Vec<Server>,
    common: Queue,
    waiting: HashMap<u64, Waiting>,
    expiries: BTreeSet<(Instant, u64)>,
    running: HashMap<u64, u16>,
    running_exclusive: usize,
    decided: Vec<Action>,
    preempted: VecDeque<u64>,
    sequence: u64,
    durations: Learner,
    speeds: Estimator,
    violations: Violations,
}

/// Request in a queue.
#[derive(Debug)]
struct Waiting {
    request: Request,
    place: Place,
    ticket: Ticket,
    give_up: Instant,
}

/// Queue that a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Server(u16),
    Common,
}

impl Scheduler {
    /// Creates the scheduler of a shard without backend servers.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let mut scheduler = Self {
            slots: 1,
            hard_slots: 1,
            classes: Vec::new(),
            preset: config::Preset::default(),
            admission_name: admission::DEFAULT.to_owned(),
            choice_name: choice::DEFAULT.to_owned(),
            admission: admission_policy(admission::DEFAULT),
            choice: choice_policy(choice::DEFAULT, settings.seed),
            servers: Vec::new(),
            common: Queue::default(),
            waiting: HashMap::new(),
            expiries: BTreeSet::new(),
            running: HashMap::new(),
            running_exclusive: 0,
            decided: Vec::new(),
            preempted: VecDeque::new(),
            sequence: 0,
            durations: Learner::default(),
            speeds: Estimator::default(),
            violations: Violations::default(),
        };
        scheduler.configure(Instant::ZERO, settings);
        scheduler
    }

    /// Applies new settings; what waits keeps its place and what runs keeps its slot.
    ///
    /// A policy that is not registered is logged and replaced by the default.
    pub fn configure(&mut self, _now: Instant, settings: &Settings) {
        let hard_slots = settings.slots.min(settings.connections).max(1);
        let percent = usize::from(settings.preset.slots_percent.min(100));
        self.hard_slots = usize::from(hard_slots);
        self.slots = (self.hard_slots * percent / 100).max(1);
        self.classes.clone_from(&settings.classes);
        self.preset.clone_from(&settings.preset);
        if self.admission_name != settings.admission {
            self.admission = admission_policy(&settings.admission);
            self.admission_name.clone_from(&settings.admission);
        }
        if self.choice_name != settings.choice {
            self.choice = choice_policy(&settings.choice, settings.seed);
            self.choice_name.clone_from(&settings.choice);
        }
    }

    /// Sets the standing of a backend server.
    ///
    /// Requests that wait for their owner stay in its queue until they are withdrawn or give up;
    /// requests that any server may run are given to another.
    pub fn set_backend(&mut self, now: Instant, backend: u16, state: State) {
        let slots = self.slots;
        if state == State::Cold {
            self.speeds.forget(backend);
        }
        self.server_mut(now, backend).set_state(now, state, slots);
        if !state.takes_work() {
            self.rebind(now, backend);
        }
    }

    /// Sets the slots that a previous leader's requests still use on a backend server.
    pub fn foreign(&mut self, now: Instant, backend: u16, count: usize) {
        self.server_mut(now, backend).foreign = count;
    }

    /// Submits a request; [`Scheduler::poll`] tells its fate.
    pub fn submit(&mut self, now: Instant, request: Request) {
        if self.waiting.contains_key(&request.id) || self.running.contains_key(&request.id) {
            self.violations.duplicates += 1;
            debug_assert!(false, "identifier {} is in use", request.id);
            return;
        }
        let id = request.id;
        if let Err(reason) = self.try_enqueue(now, request) {
            self.decided.push(Action::Refuse { id, reason });
        }
    }

    /// Removes a request whose caller is gone; returns whether it waited.
    pub fn cancel(&mut self, _now: Instant, id: u64) -> bool {
        self.decided.retain(
            |action| !matches!(action, Action::Refuse { id: refused, .. } if *refused == id),
        );
        self.dequeue(id).is_some()
    }

    /// Removes the waiting requests of a group, in order of arrival.
    pub fn withdraw_group(&mut self, _now: Instant, group: key::Group) -> Vec<Request> {
        self.withdraw(|request| request.group == group)
    }

    /// Removes the waiting requests of a key, in order of arrival.
    pub fn withdraw_key(&mut self, _now: Instant, key: key::Hash) -> Vec<Request> {
        self.withdraw(|request| request.key == key)
    }

    /// Records the end of a request that was started.
    pub fn complete(&mut self, now: Instant, id: u64, ending: Completion) {
        let Some(backend) = self.running.remove(&id) else {
            return;
        };
        let slots = self.slots;
        let speed = self.speeds.speed(backend);
        let server = &mut self.servers[usize::from(backend)];
        let run = server.runs.iter().find(|run| run.id == id).copied();
        let warm = !server.is_warming(now);
        server.end(now, id, ending, slots);
        let Some(run) = run else {
            return;
        };
        self.running_exclusive -= usize::from(run.exclusive);
        let duration = now.since(run.started);
        let work = duration.mul_f64(speed);
        match ending {
            Completion::Served => {
                self.durations.observe(run.class, run.key, work);
                if warm {
                    self.speeds.observe(now, run.class, backend, duration);
                }
            }
            Completion::Cancelled => self.durations.observe_unfinished(run.class, run.key, work),
            Completion::Shed | Completion::Failed => {}
        }
    }

    /// Appends every decision that is due, in the order in which it is to be carried out.
    pub fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        actions.append(&mut self.decided);
        self.expire(now, actions);
        self.start_common(now, actions);
        for index in 0..self.servers.len() {
            let backend = u16::try_from(index).unwrap_or(u16::MAX);
            while let Some(head) = self.first_owned(now, backend) {
                self.start(now, head.id, backend, actions);
            }
        }
    }

    /// Returns when to poll again if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if !self.decided.is_empty() {
            return Some(now);
        }
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let changes = self
            .servers
            .iter()
            .filter(|server| server.queue.len() + self.common.len() > 0)
            .filter_map(|server| server.next_change(now, self.slots));
        changes.chain(expiry).min()
    }

    /// Returns the number of requests that run on a backend server.
    #[must_use]
    pub fn running(&self, backend: u16) -> usize {
        self.server(backend).map_or(0, |server| server.runs.len())
    }

    /// Returns the number of requests that wait for a backend server.
    #[must_use]
    pub fn queued(&self, backend: u16) -> usize {
        self.server(backend).map_or(0, |server| server.queue.len())
    }

    /// Returns the number of requests that wait, for whichever server.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of running requests of a group.
    #[must_use]
    pub fn running_of(&self, group: key::Group) -> usize {
        self.runs().filter(|run| run.group == group).count()
    }

    /// Returns the number of running requests of a group on one backend server.
    ///
    /// A group may move when this is zero for its owner; keys of the group that have owners of
    /// their own run elsewhere and do not count.
    #[must_use]
    pub fn running_of_at(&self, group: key::Group, backend: u16) -> usize {
        let runs = self.server(backend).map_or(&[][..], |server| &server.runs);
        runs.iter().filter(|run| run.group == group).count()
    }

    /// Returns the number of running requests of a key.
    #[must_use]
    pub fn running_of_key(&self, key: key::Hash) -> usize {
        self.runs().filter(|run| run.key == key).count()
    }

    /// Returns the identifiers of the requests that run on a backend server, oldest first.
    pub fn running_on(&self, backend: u16) -> impl Iterator<Item = u64> + '_ {
        let runs = self.server(backend).map_or(&[][..], |server| &server.runs);
        runs.iter().map(|run| run.id)
    }

    /// Returns the requests that a backend server may run now, at most.
    #[must_use]
    pub fn limit(&self, now: Instant, backend: u16) -> usize {
        self.server(backend)
            .map_or(0, |server| server.limit(now, self.slots))
    }

    /// Returns the learned speed of a backend server; 1 is the average of the shard.
    #[must_use]
    pub fn speed(&self, backend: u16) -> f64 {
        self.speeds.speed(backend)
    }

    /// Returns the learned speed times the part of its slots that a backend server stands.
    ///
    /// A planner takes this for the speed, so that keys leave a server that sheds or fails. The
    /// ramp of a cold server does not count, since it is over before a move is.
    #[must_use]
    pub fn capacity(&self, backend: u16) -> f64 {
        let part = self
            .server(backend)
            .map_or(1.0, |server| server.learned_part(self.slots));
        self.speed(backend) * part
    }

    /// Returns how long a request is expected to run on a backend server, stragglers included.
    ///
    /// A planner is told of refused requests with this time, since a server that refuses work
    /// would look idle otherwise.
    #[must_use]
    pub fn expected_time(&self, class: u8, key: key::Hash, backend: u16) -> Duration {
        let estimate = self.durations.estimate(class, key);
        estimate.mean.div_f64(self.speed(backend))
    }

    /// Returns how often each invariant was found broken.
    #[must_use]
    pub const fn violations(&self) -> Violations {
        self.violations
    }

    fn runs(&self) -> impl Iterator<Item = &Run> {
        self.servers.iter().flat_map(|server| &server.runs)
    }

    fn server(&self, backend: u16) -> Option<&Server> {
        self.servers.get(usize::from(backend))
    }

    fn server_mut(&mut self, now: Instant, backend: u16) -> &mut Server {
        let slots = self.slots;
        let index = usize::from(backend);
        while self.servers.len() <= index {
            self.servers.push(Server::new(now, slots));
        }
        &mut self.servers[index]
    }
}

fn admission_policy(name: &str) -> Box<dyn admission::Policy> {
    admission::create(name).unwrap_or_else(|| {
        log::warn!(event = "unknown-policy", kind = "admission", name = name; "policy is not registered");
        admission::create(admission::DEFAULT).expect("the default policy is registered")
    })
}

fn choice_policy(name: &str, seed: u64) -> Box<dyn choice::Policy> {
    choice::create(name, seed).unwrap_or_else(|| {
        log::warn!(event = "unknown-policy", kind = "choice", name = name; "policy is not registered");
        choice::create(choice::DEFAULT, seed).expect("the default policy is registered")
    })
}
