//! What goes into the scheduler and what comes out of it.

use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;
use tarragon_model::{config, key};

use crate::{admission, choice};

/// Limits and policies of one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Requests that one backend server runs at a time.
    pub slots: u16,
    /// Connections that one backend server takes.
    pub connections: u16,
    /// Classes of work, by the index that requests carry.
    pub classes: Vec<config::Class>,
    /// Preset in force.
    pub preset: config::Preset,
    /// Name of the admission policy.
    pub admission: String,
    /// Name of the policy that chooses a backend server where keys have no owner.
    pub choice: String,
    /// Seed of random choices.
    pub seed: u64,
}

impl Settings {
    /// Creates settings with the policies in use and the preset for ordinary days.
    ///
    /// ```
    /// use tarragon_policy::scheduler::Settings;
    ///
    /// assert_eq!(Settings::new(6, 110).slots, 6);
    /// ```
    #[must_use]
    pub fn new(slots: u16, connections: u16) -> Self {
        Self {
            slots,
            connections,
            classes: Vec::new(),
            preset: config::Preset::default(),
            admission: admission::DEFAULT.to_owned(),
            choice: choice::DEFAULT.to_owned(),
            seed: 0,
        }
    }
}

/// Where a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Only on the owner of its key.
    Owner(u16),
    /// On any backend server of the shard.
    Any,
}

/// Request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifier, unique among the requests of the shard that wait or run.
    pub id: u64,
    /// Where the request may run.
    pub target: Target,
    /// Hash of the key.
    pub key: key::Hash,
    /// Group of the key.
    pub group: key::Group,
    /// Index of the class in [`Settings::classes`].
    pub class: u8,
    /// Worth of an answer in time.
    pub weight: u32,
    /// Time after which the answer is worthless.
    pub deadline: Instant,
    /// Whether no other such request may run in the shard at the same time.
    pub exclusive: bool,
    /// Whether an earlier attempt failed.
    pub retry: bool,
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The backend server answered.
    Served,
    /// The backend server refused before running.
    Shed,
    /// The backend server failed.
    Failed,
    /// The leader cancelled the request.
    Cancelled,
}

/// Decision that the caller of the scheduler carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server.
    Start {
        /// Request to send.
        id: u64,
        /// Index of the backend server.
        backend: u16,
    },
    /// Tell the request's caller that it was not run.
    Refuse {
        /// Request that is refused.
        id: u64,
        /// Reason to give.
        reason: Reason,
    },
}
