//! Inputs and outputs of the scheduler.

use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;
use tarragon_model::{config, key};

use crate::{admission, choice};

/// Limits and policies of one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of requests that one backend server runs concurrently.
    pub slots: u16,
    /// Number of connections that one backend server accepts; also limits the slots.
    pub connections: u16,
    /// Request classes, indexed by [`Request::class`].
    pub classes: Vec<config::Class>,
    /// Active preset.
    pub preset: config::Preset,
    /// Name of the admission policy.
    pub admission: String,
    /// Name of the policy that chooses a backend server for requests without an owner.
    pub choice: String,
    /// Seed for random choice policies.
    pub seed: u64,
}

impl Settings {
    /// Creates settings with the default policies, the default preset and no classes.
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
    /// On the owner of its key, given by index.
    Owner(u16),
    /// On any backend server of the shard.
    Any,
}

/// Request to schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifier, unique among the waiting and running requests of the shard.
    pub id: u64,
    /// Where the request may run.
    pub target: Target,
    /// Hash of the key.
    pub key: key::Hash,
    /// Group of the key.
    pub group: key::Group,
    /// Index of the class in [`Settings::classes`].
    pub class: u8,
    /// Value of a response before the deadline.
    pub weight: u32,
    /// Time after which the response has no value.
    pub deadline: Instant,
    /// Whether no other exclusive request may run in the shard at the same time.
    pub exclusive: bool,
    /// Whether an earlier attempt failed.
    pub retry: bool,
}

/// Result of a started request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The backend server responded.
    Served,
    /// The backend server refused the request before running it.
    Shed,
    /// The backend server failed.
    Failed,
    /// The leader cancelled the request; the result says nothing about the server.
    Cancelled,
}

/// Decision of the scheduler for its user to execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server.
    Start {
        /// Request to send.
        id: u64,
        /// Index of the backend server.
        backend: u16,
    },
    /// Report to the caller that the request was not run.
    Refuse {
        /// Refused request.
        id: u64,
        /// Reason to report.
        reason: Reason,
    },
}
