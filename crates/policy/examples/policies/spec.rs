//! Input and result of a simulation.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_policy::backend::State;
use tarragon_policy::placement::Move;

use crate::load::Load;

/// Change to a backend server, given by index.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    State(u16, State),
    Speed(u16, f64),
    /// Share of the requests that the server sheds.
    Shed(u16, f64),
    /// Share of the requests that fail after their work was done.
    Fail(u16, f64),
}

/// Limit on retries: none allowed, a number per call, or a budget in percent of successes.
#[derive(Clone, Copy, Debug)]
pub enum Retry {
    Never,
    Cap(u32),
    Budget(u8),
}

/// Input of a simulation.
#[derive(Clone, Debug)]
pub struct Spec {
    pub seed: u64,
    pub speeds: Vec<f64>,
    pub states: Vec<State>,
    pub groups: u32,
    pub keyed: bool,
    /// Whether requests that the scheduler selects for preemption are cancelled.
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

/// Result of one arrival.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub class: u8,
    pub straggler: bool,
    pub work: Duration,
    pub arrived: Instant,
    /// Time of the first start or of the refusal.
    pub decided: Instant,
    pub refused: bool,
    /// Number of starts on a backend server.
    pub attempts: u32,
    pub responded: Option<Instant>,
}

/// Work done by a server for one request.
#[derive(Clone, Copy, Debug)]
pub struct WorkDone {
    pub at: Instant,
    pub backend: u16,
    /// Work at speed 1, in seconds.
    pub work: f64,
}

/// Result of a simulation.
pub struct Outcome {
    pub records: Vec<Record>,
    pub done: Vec<WorkDone>,
    pub moves: Vec<(Instant, Move)>,
    /// Share of the slot time that was idle while requests that could use it waited.
    pub idle: f64,
    /// Number of preempted requests.
    pub preempted: u64,
    pub violations: u64,
    pub learned: Vec<f64>,
}
