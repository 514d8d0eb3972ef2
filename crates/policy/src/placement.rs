//! Placement: which backend server owns each key group, and when ownership moves.
//!
//! Every move interrupts service for its group briefly. A planner therefore moves the groups of
//! lost and leaving servers, and beyond that only as many as it takes to balance the load. The
//! planner proposes moves; the leader of the shard replicates and executes them.

use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::key;
use tarragon_model::time::Instant;

use crate::backend::State;

mod hash;
mod level;
mod meter;
mod projection;
mod sketch;

/// Name of the default planner.
pub const DEFAULT: &str = level::NAME;
/// Name of the baseline planner.
pub const BASELINE: &str = hash::NAME;

/// Moves of one proposal, in the order in which they were planned.
pub type Moves = SmallVec<[Move; 8]>;

/// Assigns key groups to backend servers and proposes moves.
pub trait Planner: fmt::Debug + Send {
    /// Returns the index of the initial owner of each group of a new shard, in order.
    ///
    /// Only servers that take keys get groups. If there are none, every group goes to server 0.
    fn initial(&self, groups: &[key::Group], backends: &[Backend]) -> Vec<u16>;

    /// Records that `backend` spent `time` on a request for a key.
    ///
    /// Requests refused for lack of slots are recorded with their expected time; otherwise an
    /// overloaded server would look idle.
    fn record(
        &mut self,
        now: Instant,
        group: key::Group,
        key: key::Hash,
        time: Duration,
        backend: u16,
    );

    /// Proposes moves; moves that are not executed are proposed again.
    fn plan(&mut self, now: Instant, view: &View<'_>) -> Moves;
}

/// Speed and state of a backend server, as a planner needs them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backend {
    /// Learned speed times the usable share of the server's slots (see
    /// [`capacity`](crate::scheduler::Scheduler::capacity)); 1 is the average of the shard.
    pub speed: f64,
    /// State, which determines whether the server takes keys or loses those it has.
    pub state: State,
}

/// Owner of a single key that differs from the owner of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Override {
    /// Hash of the key.
    pub key: key::Hash,
    /// Group of the key.
    pub group: key::Group,
    /// Index of the owner.
    pub owner: u16,
}

/// Owners and backend servers of a shard at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// First group of the shard; its other groups follow consecutively.
    pub first_group: key::Group,
    /// Index of the owner of each group.
    pub owners: &'a [u16],
    /// Keys whose owner differs from that of their group.
    pub overrides: &'a [Override],
    /// Backend servers by index.
    pub backends: &'a [Backend],
    /// Whether to propose moves that only balance the load.
    pub rebalance: bool,
}

/// Unit of ownership that a move transfers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// All keys of a group that have no [`Override`].
    Group(key::Group),
    /// A single key; its [`Override`] is removed if [`Move::to`] owns its group, and set otherwise.
    Key(key::Hash),
}

/// Proposed change of ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Group or key to move.
    pub subject: Subject,
    /// Index of the current owner.
    pub from: u16,
    /// Index of the new owner.
    pub to: u16,
}

/// Registration of a planner, submitted with `inventory::submit!`.
#[derive(Debug)]
pub struct Plugin {
    /// Name by which the planner is selected.
    pub name: &'static str,
    /// Creates a planner without recorded load.
    pub create: fn() -> Box<dyn Planner>,
}

inventory::collect!(Plugin);

/// Creates the planner registered under `name`, or returns `None` if there is none.
///
/// ```
/// use tarragon_model::key::Group;
/// use tarragon_policy::placement::{self, Backend};
/// use tarragon_policy::backend::State;
///
/// let planner = placement::create(placement::DEFAULT).expect("it is registered");
/// let live = Backend { speed: 1.0, state: State::Live };
/// let groups: Vec<Group> = (0..4).map(Group).collect();
/// let owners = planner.initial(&groups, &[live, live]);
/// assert_eq!(owners.iter().filter(|owner| **owner == 0).count(), 2);
/// ```
#[must_use]
pub fn create(name: &str) -> Option<Box<dyn Planner>> {
    inventory::iter::<Plugin>()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.create)())
}

/// Returns the names of the registered planners.
pub fn names() -> impl Iterator<Item = &'static str> {
    inventory::iter::<Plugin>().map(|plugin| plugin.name)
}
