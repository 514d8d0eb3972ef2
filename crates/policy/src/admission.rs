//! Admission and order of waiting work, as policies that register by name.
//!
//! A policy decides on arrival whether a request may wait, in which order waiting work starts and
//! how many slots of a backend server work that is likely to be long may hold. The scheduler does
//! the counting and hands the policy an [`Offer`].

use std::fmt;
use std::time::Duration;

use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;

use crate::duration::Estimate;

mod deadline;
mod fifo;

/// Name of the policy in use.
pub const DEFAULT: &str = deadline::NAME;
/// Name of the baseline.
pub const BASELINE: &str = fifo::NAME;

/// Decides on admission, order and reserve.
pub trait Policy: fmt::Debug + Send {
    /// Places a request among the waiting work; smaller ranks start first.
    fn rank(&self, offer: &Offer) -> Rank;

    /// Returns until when the request may wait for a slot.
    fn give_up(&self, offer: &Offer) -> Instant;

    /// Returns from when on an admitted request that still waits goes before the others.
    fn urgent_at(&self, offer: &Offer) -> Instant;

    /// Admits a request to the queue, or says why not.
    ///
    /// # Errors
    ///
    /// Returns the reason that the caller is given.
    fn admit(&self, offer: &Offer, backlog: &Backlog) -> Result<(), Reason>;

    /// Returns the slots, of `limit`, that work likely to be long may not hold.
    ///
    /// `short_load` is the number of slots that short work keeps busy on average.
    fn reserve(&self, limit: usize, short_load: f64) -> usize;

    /// Tells whether long runs are given up for waiting work.
    fn preempts(&self) -> bool;

    /// Tells whether classes are kept to their `max_slots`.
    fn bounds_classes(&self) -> bool;
}

/// Request as a policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Time of arrival.
    pub now: Instant,
    /// Time after which the answer is worthless.
    pub deadline: Instant,
    /// Worth of an answer in time.
    pub weight: u32,
    /// Whether an earlier attempt failed.
    pub retry: bool,
    /// Expected work at speed 1.
    pub estimate: Estimate,
    /// Speed of the server that will run the request.
    pub speed: f64,
    /// Longest wait, in percent of the time left.
    pub wait_percent: u8,
}

impl Offer {
    /// Returns the time from arrival to the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.now)
    }

    /// Returns the time that the request typically takes on its server.
    #[must_use]
    pub fn typical_time(&self) -> Duration {
        self.estimate.typical.div_f64(self.speed)
    }
}

/// Order of a waiting request; smaller starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Coarse order.
    pub level: i32,
    /// Order within a level.
    pub at: Instant,
}

/// Work that would go before a request.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Whether a slot is free and nothing waits for it.
    pub idle: bool,
    /// Waiting work of the same or a smaller level, at speed 1.
    pub ahead: Duration,
    /// Work done a second while every slot is busy, at speed 1 (slots times speed).
    pub capacity: f64,
    /// Part of the capacity that arriving work of smaller levels takes, from 0.
    pub claimed: f64,
}

/// Registration of a policy.
#[derive(Debug)]
pub struct Plugin {
    /// Name that settings use.
    pub name: &'static str,
    /// Creates the policy.
    pub create: fn() -> Box<dyn Policy>,
}

inventory::collect!(Plugin);

/// Creates the policy of that name.
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
