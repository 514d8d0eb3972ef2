//! What a run is given and what it shows.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_policy::backend::State;
use tarragon_policy::placement::Move;

use crate::load::Load;

/// Change of a backend server.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    State(u16, State),
    Speed(u16, f64),
    /// Part of the requests that the server sheds.
    Shed(u16, f64),
    /// Part of the requests that fail after their work was done.
    Fail(u16, f64),
}

/// Limit on retries.
#[derive(Clone, Copy, Debug)]
pub enum Retry {
    Never,
    Cap(u32),
    Budget(u8),
}

/// One run.
#[derive(Clone, Debug)]
pub struct Spec {
    pub seed: u64,
    pub speeds: Vec<f64>,
    pub states: Vec<State>,
    pub groups: u32,
    pub keyed: bool,
    /// Whether runs that the scheduler gives up are cancelled.
    pub preempts: bool,
    pub load: Load,
    pub slots: u16,
    pub admission: String,
    pub choice: String,
    pub planner: String,
    pub changes: Vec<(Instant, Change)>,
    pub retry: Retry,
    pub end: Instant,
}

/// Fate of one arrival.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub class: u8,
    pub straggler: bool,
    pub work: Duration,
    pub arrived: Instant,
    /// Time of the first start or of the refusal.
    pub decided: Instant,
    pub refused: bool,
    /// Starts on a backend server.
    pub attempts: u32,
    pub answered: Option<Instant>,
}

/// Work done by one server in one request.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    pub at: Instant,
    pub backend: u16,
    /// Work at speed 1, in seconds.
    pub work: f64,
}

/// What a run showed.
pub struct Outcome {
    pub records: Vec<Record>,
    pub done: Vec<Done>,
    pub moves: Vec<(Instant, Move)>,
    /// Part of the slot time that was idle while work waited for it, once the load ran.
    pub idle: f64,
    /// Runs that were given up for waiting work.
    pub preempted: u64,
    pub violations: u64,
    pub learned: Vec<f64>,
}
