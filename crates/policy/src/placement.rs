//! Placement: which backend server owns which key group, and when that changes.
//!
//! A move costs its group a short time without service, so a planner moves what must move (the
//! groups of a lost or leaving server), and beyond that only as much as levels the load. The
//! planner proposes; the leader of the shard replicates and carries out.

use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::key;
use tarragon_model::time::Instant;

use crate::backend::State;

mod board;
mod hash;
mod level;
mod meter;
mod sketch;

/// Name of the planner in use.
pub const DEFAULT: &str = level::NAME;
/// Name of the baseline.
pub const BASELINE: &str = hash::NAME;

/// Moves proposed at a time.
pub type Moves = SmallVec<[Move; 8]>;

/// Proposes owners.
pub trait Planner: fmt::Debug + Send {
    /// Returns an owner for each group of a new shard, in order.
    ///
    /// Servers that take no keys get none. Without any server that does, every group goes to the
    /// first.
    fn initial(&self, groups: &[key::Group], backends: &[Backend]) -> Vec<u16>;

    /// Records that `backend` spent `time` on a request of a key.
    ///
    /// Requests that were refused for want of slots count with the time that they were expected
    /// to take; otherwise a server that refuses work looks idle.
    fn record(
        &mut self,
        now: Instant,
        group: key::Group,
        key: key::Hash,
        time: Duration,
        backend: u16,
    );

    /// Proposes moves; a proposal that is not carried out is made again.
    fn plan(&mut self, now: Instant, view: &View<'_>) -> Moves;
}

/// Backend server as a planner sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backend {
    /// Learned speed, less what the server does not stand; 1 is the average of the shard.
    pub speed: f64,
    /// Standing.
    pub state: State,
}

/// Key whose owner differs from that of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Override {
    /// Hash of the key.
    pub key: key::Hash,
    /// Group of the key.
    pub group: key::Group,
    /// Index of the owner.
    pub owner: u16,
}

/// Owners and servers of a shard at one time.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// First group of the shard; the others follow in order.
    pub first_group: key::Group,
    /// Owner of each group.
    pub owners: &'a [u16],
    /// Keys with owners of their own.
    pub overrides: &'a [Override],
    /// Backend servers, by index.
    pub backends: &'a [Backend],
    /// Whether moves that only level the load are wanted.
    pub rebalance: bool,
}

/// What a move is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// Every key of a group that has no owner of its own.
    Group(key::Group),
    /// One key, which gets an owner of its own or loses it when `to` owns its group.
    Key(key::Hash),
}

/// Proposed change of owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// What moves.
    pub subject: Subject,
    /// Index of the present owner.
    pub from: u16,
    /// Index of the next owner.
    pub to: u16,
}

/// Registration of a planner.
#[derive(Debug)]
pub struct Plugin {
    /// Name that settings use.
    pub name: &'static str,
    /// Creates the planner.
    pub create: fn() -> Box<dyn Planner>,
}

inventory::collect!(Plugin);

/// Creates the planner of that name.
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
