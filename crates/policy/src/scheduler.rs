//! Scheduler of one shard: which waiting request starts, when and on which backend server.
//!
//! The scheduler counts slots, maintains the queues and estimates speeds and durations. An
//! [`admission::Policy`] decides which requests are refused and in which order the others start;
//! a [`choice::Policy`] selects the server for requests without an owner.
//!
//! Each submitted request gets exactly one [`Action`], unless it is cancelled or withdrawn first.
//! Invariants are checked on submission and before each start: violations are counted in
//! [`Violations`] and panic in debug builds.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_model::{config, key};

use crate::backend::State;
use crate::duration::Learner;
use crate::speed::Estimator;
use crate::{admission, choice};

mod backlog;
mod dispatch;
mod intake;
mod preempt;
mod queue;
mod request;
mod server;

pub use request::{Action, Completion, Request, Settings, Target};

use queue::{Entry, Queue};
use server::{Run, Server};

/// Number of violations of each invariant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Starts on a server without a free slot.
    pub slots: u64,
    /// Starts on a leaving or lost server.
    pub unavailable: u64,
    /// Requests submitted with an identifier already in use.
    pub duplicates: u64,
}

impl Violations {
    /// Returns the total number of violations.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.slots + self.unavailable + self.duplicates
    }
}

/// Schedules the requests of one shard.
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
    shared: Queue,
    waiting: HashMap<u64, Waiting>,
    expiries: BTreeSet<(Instant, u64)>,
    running: HashMap<u64, u16>,
    running_exclusive: usize,
    pending_actions: Vec<Action>,
    preempted: VecDeque<u64>,
    sequence: u64,
    durations: Learner,
    speeds: Estimator,
    violations: Violations,
}

/// Waiting request with its queue and maximum wait.
#[derive(Debug)]
struct Waiting {
    request: Request,
    queue_id: QueueId,
    entry: Entry,
    wait_until: Instant,
}

/// Identifies a queue: that of one server or the one shared by all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueueId {
    Server(u16),
    Shared,
}

impl Scheduler {
    /// Creates a scheduler without backend servers.
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
            shared: Queue::default(),
            waiting: HashMap::new(),
            expiries: BTreeSet::new(),
            running: HashMap::new(),
            running_exclusive: 0,
            pending_actions: Vec::new(),
            preempted: VecDeque::new(),
            sequence: 0,
            durations: Learner::default(),
            speeds: Estimator::default(),
            violations: Violations::default(),
        };
        scheduler.configure(Instant::ZERO, settings);
        scheduler
    }

    /// Applies new settings; waiting requests keep their position and running ones their slot.
    ///
    /// Logs a policy that is not registered and uses the default instead.
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

    /// Sets the state of a backend server.
    ///
    /// If the server takes no more requests, those that wait for it as their owner stay queued
    /// until they are withdrawn or expire; those that any server may run are submitted again.
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

    /// Sets the number of slots that requests of a previous leader still use on a backend server.
    pub fn set_inherited(&mut self, now: Instant, backend: u16, count: usize) {
        self.server_mut(now, backend).inherited = count;
    }

    /// Submits a request; [`Scheduler::poll`] returns the decision.
    pub fn submit(&mut self, now: Instant, request: Request) {
        if self.waiting.contains_key(&request.id) || self.running.contains_key(&request.id) {
            self.violations.duplicates += 1;
            debug_assert!(false, "identifier {} is in use", request.id);
            return;
        }
        let id = request.id;
        if let Err(reason) = self.try_enqueue(now, request) {
            self.pending_actions.push(Action::Refuse { id, reason });
        }
    }

    /// Removes a request whose caller is gone; returns whether it was waiting.
    pub fn cancel(&mut self, _now: Instant, id: u64) -> bool {
        self.pending_actions.retain(
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

    /// Records the completion of a started request.
    pub fn complete(&mut self, now: Instant, id: u64, completion: Completion) {
        let Some(backend) = self.running.remove(&id) else {
            return;
        };
        let slots = self.slots;
        let speed = self.speeds.speed(backend);
        let server = &mut self.servers[usize::from(backend)];
        let run = server.runs.iter().find(|run| run.id == id).copied();
        let warm = !server.is_warming(now);
        server.end(now, id, completion, slots);
        let Some(run) = run else {
            return;
        };
        self.running_exclusive -= usize::from(run.exclusive);
        let duration = now.since(run.started);
        let work = duration.mul_f64(speed);
        match completion {
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

    /// Appends all decisions that are due to `actions`, in the order in which to execute them.
    pub fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        actions.append(&mut self.pending_actions);
        self.expire(now, actions);
        self.start_shared(now, actions);
        for index in 0..self.servers.len() {
            let backend = u16::try_from(index).unwrap_or(u16::MAX);
            while let Some(head) = self.first_owned(now, backend) {
                self.start(now, head.id, backend, actions);
            }
        }
    }

    /// Returns the time of the next poll if no other call comes first.
    #[must_use]
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if !self.pending_actions.is_empty() {
            return Some(now);
        }
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let changes = self
            .servers
            .iter()
            .filter(|server| server.queue.len() + self.shared.len() > 0)
            .filter_map(|server| server.next_limit_rise(now, self.slots));
        changes.chain(expiry).min()
    }

    /// Returns the number of requests running on a backend server.
    #[must_use]
    pub fn running(&self, backend: u16) -> usize {
        self.server(backend).map_or(0, |server| server.runs.len())
    }

    /// Returns the number of requests waiting in the queue of a backend server.
    #[must_use]
    pub fn queued(&self, backend: u16) -> usize {
        self.server(backend).map_or(0, |server| server.queue.len())
    }

    /// Returns the number of waiting requests in all queues.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of running requests of a group.
    #[must_use]
    pub fn group_runs(&self, group: key::Group) -> usize {
        self.runs().filter(|run| run.group == group).count()
    }

    /// Returns the number of running requests of a group on one backend server.
    ///
    /// A group may move when this is zero for its owner. Keys with an owner of their own do not
    /// count, because they run on other servers.
    #[must_use]
    pub fn group_runs_on(&self, group: key::Group, backend: u16) -> usize {
        let runs = self.server(backend).map_or(&[][..], |server| &server.runs);
        runs.iter().filter(|run| run.group == group).count()
    }

    /// Returns the number of running requests of a key.
    #[must_use]
    pub fn key_runs(&self, key: key::Hash) -> usize {
        self.runs().filter(|run| run.key == key).count()
    }

    /// Returns the identifiers of the requests running on a backend server, in order of start.
    pub fn running_on(&self, backend: u16) -> impl Iterator<Item = u64> + '_ {
        let runs = self.server(backend).map_or(&[][..], |server| &server.runs);
        runs.iter().map(|run| run.id)
    }

    /// Returns the maximum number of requests that a backend server may run now.
    #[must_use]
    pub fn limit(&self, now: Instant, backend: u16) -> usize {
        self.server(backend)
            .map_or(0, |server| server.limit(now, self.slots))
    }

    /// Returns the estimated speed of a backend server; 1 is the average of the shard.
    #[must_use]
    pub fn speed(&self, backend: u16) -> f64 {
        self.speeds.speed(backend)
    }

    /// Returns the estimated speed times the usable share of the slots of a backend server.
    ///
    /// Pass this to a planner as the speed, so that keys move off a server that sheds or fails. The
    /// ramp of a cold server is ignored, because it ends before a move completes.
    #[must_use]
    pub fn capacity(&self, backend: u16) -> f64 {
        let share = self
            .server(backend)
            .map_or(1.0, |server| server.learned_share(self.slots));
        self.speed(backend) * share
    }

    /// Returns the mean expected time of a request on a backend server, stragglers included.
    ///
    /// Record refused requests with this time in the planner; otherwise a server that refuses
    /// requests looks idle.
    #[must_use]
    pub fn expected_time(&self, class: u8, key: key::Hash, backend: u16) -> Duration {
        let estimate = self.durations.estimate(class, key);
        estimate.mean.div_f64(self.speed(backend))
    }

    /// Returns the number of violations of each invariant.
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
        log::warn!(
            event = "unknown-policy", kind = "admission", name = name;
            "policy is not registered, using the default"
        );
        admission::create(admission::DEFAULT).expect("the default policy is registered")
    })
}

fn choice_policy(name: &str, seed: u64) -> Box<dyn choice::Policy> {
    choice::create(name, seed).unwrap_or_else(|| {
        log::warn!(
            event = "unknown-policy", kind = "choice", name = name;
            "policy is not registered, using the default"
        );
        choice::create(choice::DEFAULT, seed).expect("the default policy is registered")
    })
}
