//! Scheduling state of one backend server: its running requests and its concurrency limit.
//!
//! The limit starts at the slots of the preset and is lower in three cases. On a cold server it
//! ramps up from one slot. On a server that sheds requests, each refusal multiplies it by
//! [`SHED_FACTOR`] and successes raise it slowly; a server that refuses even a single request is
//! paused with exponential backoff. A failing server only gets single requests as probes, with
//! exponential backoff between them.

use std::time::Duration;

use tarragon_model::key;
use tarragon_model::time::Instant;

use super::queue::Queue;
use super::request::Completion;
use crate::backend::State;

/// Time after which a cold server may use all its slots.
const COLD_RAMP: Duration = Duration::from_secs(2);
/// Factor on the limit when the server sheds a request.
const SHED_FACTOR: f64 = 0.7;
/// Slots by which a success raises the limit.
const SUCCESS_STEP: f64 = 0.25;
/// Initial backoff for a server that sheds its only request.
const MIN_SHED_BACKOFF: Duration = Duration::from_millis(2);
/// Maximum backoff for a server that sheds its only request.
const MAX_SHED_BACKOFF: Duration = Duration::from_millis(64);
/// Share of failed requests above which a server is only probed.
const PROBE_FAILURE_RATE: f64 = 0.7;
/// Weight of the latest request in the share of failed requests.
const FAILURE_GAIN: f64 = 0.1;
/// Initial backoff between two probes of a failing server.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between two probes of a failing server.
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(400);

/// Running request on a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    /// Identifier of the request.
    pub(super) id: u64,
    /// Start time.
    pub(super) started: Instant,
    /// Time from which the request counts as long.
    pub(super) long_at: Instant,
    /// Index of the class.
    pub(super) class: u8,
    /// Hash of the key.
    pub(super) key: key::Hash,
    /// Group of the key.
    pub(super) group: key::Group,
    /// Whether no other exclusive request may run in the shard at the same time.
    pub(super) exclusive: bool,
    /// Value of a response before the deadline.
    pub(super) weight: u32,
    /// Time after which the response has no value.
    pub(super) deadline: Instant,
}

/// Backend server and its queue.
#[derive(Debug)]
pub(super) struct Server {
    /// State set by the leader.
    pub(super) state: State,
    /// Running requests in order of start.
    pub(super) runs: Vec<Run>,
    /// Number of slots in use by requests of a previous leader.
    pub(super) inherited: usize,
    /// Requests waiting for this server.
    pub(super) queue: Queue,
    state_since: Instant,
    limit: f64,
    backoff_until: Instant,
    backoff: Duration,
    failure_rate: f64,
}

impl Server {
    /// Creates a server in state [`State::Lost`].
    pub(super) fn new(now: Instant, slots: usize) -> Self {
        Self {
            state: State::Lost,
            runs: Vec::new(),
            inherited: 0,
            queue: Queue::default(),
            state_since: now,
            limit: float(slots),
            backoff_until: now,
            backoff: Duration::ZERO,
            failure_rate: 0.0,
        }
    }

    /// Sets the state; the limit, backoff and failures of a server that starts or comes back are
    /// reset.
    pub(super) fn set_state(&mut self, now: Instant, state: State, slots: usize) {
        if self.state == state {
            return;
        }
        let is_restart = state == State::Cold || self.state == State::Lost;
        if is_restart {
            self.limit = float(slots);
            self.backoff_until = now;
            self.backoff = Duration::ZERO;
            self.failure_rate = 0.0;
        }
        self.state = state;
        self.state_since = now;
    }

    /// Returns the maximum number of requests that may run now.
    pub(super) fn limit(&self, now: Instant, slots: usize) -> usize {
        if !self.state.takes_work() || now < self.backoff_until {
            return 0;
        }
        self.nominal_limit(now, slots)
    }

    /// Returns the limit regardless of backoff and of states that take no requests.
    pub(super) fn nominal_limit(&self, now: Instant, slots: usize) -> usize {
        if self.state == State::Suspect || self.is_probing() {
            return 1;
        }
        let learned = floor(self.limit).clamp(1, slots.max(1));
        if self.state == State::Cold {
            return learned.min(self.cold_limit(now, slots));
        }
        learned
    }

    /// Returns the share of the slots, up to 1, that the limit learned from refusals and failures
    /// allows.
    pub(super) fn learned_share(&self, slots: usize) -> f64 {
        let slots = float(slots.max(1));
        let learned = if self.is_probing() { 1.0 } else { self.limit };
        (learned / slots).clamp(1.0 / slots, 1.0)
    }

    /// Returns the number of free slots.
    pub(super) fn free(&self, now: Instant, slots: usize) -> usize {
        let used = self.runs.len() + self.inherited;
        self.limit(now, slots).saturating_sub(used)
    }

    /// Returns the number of running requests that count as long.
    pub(super) fn long_runs(&self, now: Instant) -> usize {
        self.runs.iter().filter(|run| run.long_at <= now).count()
    }

    /// Returns the number of running requests of a class.
    pub(super) fn runs_of_class(&self, class: u8) -> usize {
        self.runs.iter().filter(|run| run.class == class).count()
    }

    /// Returns whether the server is in the ramp after a cold start.
    pub(super) fn is_warming(&self, now: Instant) -> bool {
        self.state == State::Cold && now.since(self.state_since) < COLD_RAMP
    }

    /// Removes a completed request and adjusts the limit.
    pub(super) fn end(&mut self, now: Instant, id: u64, completion: Completion, slots: usize) {
        self.runs.retain(|run| run.id != id);
        match completion {
            Completion::Served => self.succeed(slots),
            Completion::Shed => self.shed(now),
            Completion::Failed => self.fail(now),
            Completion::Cancelled => {}
        }
    }

    /// Returns the next time at which the limit may rise without another completion.
    pub(super) fn next_limit_rise(&self, now: Instant, slots: usize) -> Option<Instant> {
        if !self.state.takes_work() {
            return None;
        }
        if now < self.backoff_until {
            return Some(self.backoff_until);
        }
        if !self.is_warming(now) {
            return None;
        }
        let step = COLD_RAMP.div_f64(float(slots.max(1)));
        let passed = floor(now.since(self.state_since).div_duration_f64(step));
        Some(self.state_since + step.mul_f64(float(passed + 1)) + Duration::from_micros(1))
    }

    /// Returns the number of slots of a cold server, which grows linearly over the ramp.
    fn cold_limit(&self, now: Instant, slots: usize) -> usize {
        let elapsed_share = now.since(self.state_since).div_duration_f64(COLD_RAMP);
        1 + floor(float(slots) * elapsed_share.min(1.0))
    }

    fn is_probing(&self) -> bool {
        self.failure_rate > PROBE_FAILURE_RATE
    }

    fn succeed(&mut self, slots: usize) {
        self.failure_rate -= self.failure_rate * FAILURE_GAIN;
        self.backoff = Duration::ZERO;
        self.limit = (self.limit + SUCCESS_STEP).min(float(slots));
    }

    fn shed(&mut self, now: Instant) {
        let in_use = float(self.runs.len() + 1);
        self.limit = (self.limit.min(in_use) * SHED_FACTOR).max(1.0);
        if self.runs.is_empty() {
            self.back_off(now, MIN_SHED_BACKOFF, MAX_SHED_BACKOFF);
        }
    }

    fn fail(&mut self, now: Instant) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_GAIN;
        if self.is_probing() {
            self.back_off(now, MIN_PROBE_BACKOFF, MAX_PROBE_BACKOFF);
        }
    }

    /// Pauses the server for twice the last backoff, within the given bounds.
    fn back_off(&mut self, now: Instant, min: Duration, max: Duration) {
        self.backoff = (self.backoff * 2).clamp(min, max);
        self.backoff_until = now + self.backoff;
    }
}

/// Converts a small count to a float.
pub(super) fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Rounds a small non-negative number down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float converts with saturation, and counts are small"
)]
fn floor(number: f64) -> usize {
    number as usize
}
