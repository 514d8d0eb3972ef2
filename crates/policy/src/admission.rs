//! Admission and ordering of waiting requests, as policies registered by name.
//!
//! A policy decides whether an arriving request may wait, in which order waiting requests start
//! and how many slots of a backend server are reserved for short requests. It holds no counters:
//! the scheduler passes an [`Arrival`] and the [`Backlog`].

use std::fmt;
use std::time::Duration;

use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;

use crate::duration::Estimate;

mod deadline;
mod fifo;

/// Name of the default policy.
pub const DEFAULT: &str = deadline::NAME;
/// Name of the baseline policy.
pub const BASELINE: &str = fifo::NAME;

/// Decides on admission, order and reserved slots.
pub trait Policy: fmt::Debug + Send {
    /// Returns the rank of a request among the waiting ones; smaller ranks start first.
    fn rank(&self, arrival: &Arrival) -> Rank;

    /// Returns the time until which the request may wait for a slot.
    fn wait_until(&self, arrival: &Arrival) -> Instant;

    /// Returns the time from which an admitted request, if it still waits, starts before others.
    fn urgent_at(&self, arrival: &Arrival) -> Instant;

    /// Decides whether a request is admitted to the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal, which is reported to the caller.
    fn admit(&self, arrival: &Arrival, backlog: &Backlog) -> Result<(), Reason>;

    /// Returns how many of a server's `limit` slots are reserved for short requests.
    ///
    /// `short_load` is the average number of slots that short requests keep busy.
    fn reserve(&self, limit: usize, short_load: f64) -> usize;

    /// Returns whether long-running requests are preempted in favour of waiting ones.
    fn preempts(&self) -> bool;

    /// Returns whether the `max_slots` of classes are enforced.
    fn limits_classes(&self) -> bool;
}

/// Request on arrival, as input for a policy.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time of arrival.
    pub now: Instant,
    /// Time after which the response has no value.
    pub deadline: Instant,
    /// Value of a response before the deadline.
    pub weight: u32,
    /// Whether an earlier attempt failed.
    pub retry: bool,
    /// Expected work at speed 1.
    pub estimate: Estimate,
    /// Speed of the server that will run the request; 1 if any server may run it.
    pub speed: f64,
    /// Maximum wait in percent of the time from arrival to the deadline.
    pub wait_percent: u8,
}

impl Arrival {
    /// Returns the time from arrival to the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.now)
    }

    /// Returns the typical duration of the request on its server.
    #[must_use]
    pub fn typical_time(&self) -> Duration {
        self.estimate.typical.div_f64(self.speed)
    }
}

/// Order of a waiting request; smaller ranks start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority level; smaller levels start first.
    pub level: i32,
    /// Time that determines the order within a level.
    pub at: Instant,
}

/// Work ahead of an arriving request.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Whether a slot is free that no waiting request can take.
    pub idle: bool,
    /// Waiting work of the same or a smaller level, at speed 1.
    pub ahead: Duration,
    /// Work per second with every slot busy, at speed 1 (slots times speed).
    pub capacity: f64,
    /// Load of arriving work of smaller levels, as a multiple of the capacity.
    pub higher_priority_load: f64,
}

/// Registration of a policy, submitted with `inventory::submit!`.
#[derive(Debug)]
pub struct Plugin {
    /// Name by which the policy is selected.
    pub name: &'static str,
    /// Creates the policy.
    pub create: fn() -> Box<dyn Policy>,
}

inventory::collect!(Plugin);

/// Creates the policy registered under `name`, or returns `None` if there is none.
///
/// ```
/// use tarragon_policy::admission;
///
/// assert!(admission::create(admission::DEFAULT).is_some());
/// assert!(admission::create("unheard-of").is_none());
/// ```
#[must_use]
pub fn create(name: &str) -> Option<Box<dyn Policy>> {
    inventory::iter::<Plugin>()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.create)())
}

/// Returns the names of the registered policies.
pub fn names() -> impl Iterator<Item = &'static str> {
    inventory::iter::<Plugin>().map(|plugin| plugin.name)
}
