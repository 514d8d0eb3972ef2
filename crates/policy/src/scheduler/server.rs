//! One backend server as the scheduler sees it: what runs there and how much it may be given.
//!
//! The limit starts from the slots of the preset and is lowered in three cases. A cold server
//! takes its slots one after the other. A server that sheds work has its limit cut by a part for
//! each refusal and raised slowly by successes, and when even one request is too much it is left
//! alone for a time that doubles. A failing server gets single requests as probes.

use std::time::Duration;

use tarragon_model::key;
use tarragon_model::time::Instant;

use super::queue::Queue;
use super::request::Completion;
use crate::backend::State;

/// Time after which a cold server has all its slots.
const COLD_RAMP: Duration = Duration::from_secs(2);
/// Part of the limit that remains after a refusal.
const SHED_FACTOR: f64 = 0.7;
/// Slots that one success gives back.
const SUCCESS_STEP: f64 = 0.25;
/// Shortest time that a shedding server is left alone.
const MIN_SHED_PAUSE: Duration = Duration::from_millis(2);
/// Longest time that a shedding server is left alone.
const MAX_SHED_PAUSE: Duration = Duration::from_millis(64);
/// Part of the latest requests that failed above which a server is only probed.
const FAILURES_TO_PROBE: f64 = 0.7;
/// Weight of the latest request in that part.
const FAILURE_GAIN: f64 = 0.1;
/// Shortest time between two probes of a failing server.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(50);
/// Longest time between two probes of a failing server.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(400);

/// Request that runs on a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    /// Identifier of the request.
    pub(super) id: u64,
    /// Time of the start.
    pub(super) started: Instant,
    /// Time from which on the request counts as long.
    pub(super) long_from: Instant,
    /// Index of the class.
    pub(super) class: u8,
    /// Hash of the key.
    pub(super) key: key::Hash,
    /// Group of the key.
    pub(super) group: key::Group,
    /// Whether no other such request may run in the shard.
    pub(super) exclusive: bool,
    /// Worth of an answer in time.
    pub(super) weight: u32,
    /// Time after which the answer is worthless.
    pub(super) deadline: Instant,
}

/// Backend server and its queue.
#[derive(Debug)]
pub(super) struct Server {
    /// Standing that the leader set.
    pub(super) state: State,
    /// Requests that run, in order of start.
    pub(super) runs: Vec<Run>,
    /// Slots that a previous leader's requests use.
    pub(super) foreign: usize,
    /// Requests that wait for this server.
    pub(super) queue: Queue,
    since: Instant,
    limit: f64,
    paused_until: Instant,
    pause: Duration,
    failures: f64,
}

impl Server {
    /// Creates a server that takes no work yet.
    pub(super) fn new(now: Instant, slots: usize) -> Self {
        Self {
            state: State::Lost,
            runs: Vec::new(),
            foreign: 0,
            queue: Queue::default(),
            since: now,
            limit: float(slots),
            paused_until: now,
            pause: Duration::ZERO,
            failures: 0.0,
        }
    }

    /// Changes the standing; a server that comes back starts with a clean record.
    pub(super) fn set_state(&mut self, now: Instant, state: State, slots: usize) {
        if self.state == state {
            return;
        }
        let is_back = state == State::Cold || self.state == State::Lost;
        if is_back {
            self.limit = float(slots);
            self.paused_until = now;
            self.pause = Duration::ZERO;
            self.failures = 0.0;
        }
        self.state = state;
        self.since = now;
    }

    /// Returns the requests that may run now, at most.
    pub(super) fn limit(&self, now: Instant, slots: usize) -> usize {
        if !self.state.takes_work() || now < self.paused_until {
            return 0;
        }
        self.nominal_limit(now, slots)
    }

    /// Returns the limit without regard to pauses and to states that take no work.
    pub(super) fn nominal_limit(&self, now: Instant, slots: usize) -> usize {
        if self.state == State::Suspect || self.is_probed() {
            return 1;
        }
        let learned = whole(self.limit).clamp(1, slots.max(1));
        if self.state == State::Cold {
            return learned.min(self.cold_limit(now, slots));
        }
        learned
    }

    /// Returns the part of the slots that the server was found to stand, from 0 to 1.
    pub(super) fn learned_part(&self, slots: usize) -> f64 {
        let slots = float(slots.max(1));
        let learned = if self.is_probed() { 1.0 } else { self.limit };
        (learned / slots).clamp(1.0 / slots, 1.0)
    }

    /// Returns the free slots.
    pub(super) fn free(&self, now: Instant, slots: usize) -> usize {
        let used = self.runs.len() + self.foreign;
        self.limit(now, slots).saturating_sub(used)
    }

    /// Returns the requests that have run long or are taken to.
    pub(super) fn long_runs(&self, now: Instant) -> usize {
        self.runs.iter().filter(|run| run.long_from <= now).count()
    }

    /// Returns the running requests of a class.
    pub(super) fn runs_of_class(&self, class: u8) -> usize {
        self.runs.iter().filter(|run| run.class == class).count()
    }

    /// Tells whether the server still warms up.
    pub(super) fn is_warming(&self, now: Instant) -> bool {
        self.state == State::Cold && now.since(self.since) < COLD_RAMP
    }

    /// Removes a request that ended and adapts the limit.
    pub(super) fn end(&mut self, now: Instant, id: u64, ending: Completion, slots: usize) {
        self.runs.retain(|run| run.id != id);
        match ending {
            Completion::Served => self.succeed(slots),
            Completion::Shed => self.shed(now),
            Completion::Failed => self.fail(now),
            Completion::Cancelled => {}
        }
    }

    /// Returns the next time at which the limit may rise by itself.
    pub(super) fn next_change(&self, now: Instant, slots: usize) -> Option<Instant> {
        if !self.state.takes_work() {
            return None;
        }
        if now < self.paused_until {
            return Some(self.paused_until);
        }
        if !self.is_warming(now) {
            return None;
        }
        let step = COLD_RAMP.div_f64(float(slots.max(1)));
        let passed = whole(now.since(self.since).div_duration_f64(step));
        Some(self.since + step.mul_f64(float(passed + 1)) + Duration::from_micros(1))
    }

    /// Returns the slots of a cold server, one more for each equal part of the ramp.
    fn cold_limit(&self, now: Instant, slots: usize) -> usize {
        let part = now.since(self.since).div_duration_f64(COLD_RAMP);
        1 + whole(float(slots) * part.min(1.0))
    }

    fn is_probed(&self) -> bool {
        self.failures > FAILURES_TO_PROBE
    }

    fn succeed(&mut self, slots: usize) {
        self.failures -= self.failures * FAILURE_GAIN;
        self.pause = Duration::ZERO;
        self.limit = (self.limit + SUCCESS_STEP).min(float(slots));
    }

    fn shed(&mut self, now: Instant) {
        let in_use = float(self.runs.len() + 1);
        self.limit = (self.limit.min(in_use) * SHED_FACTOR).max(1.0);
        if self.runs.is_empty() {
            self.pause_for(now, MIN_SHED_PAUSE, MAX_SHED_PAUSE);
        }
    }

    fn fail(&mut self, now: Instant) {
        self.failures += (1.0 - self.failures) * FAILURE_GAIN;
        if self.is_probed() {
            self.pause_for(now, MIN_PROBE_PAUSE, MAX_PROBE_PAUSE);
        }
    }

    /// Takes no work for a while, twice as long as the last time.
    fn pause_for(&mut self, now: Instant, least: Duration, most: Duration) {
        self.pause = (self.pause * 2).clamp(least, most);
        self.paused_until = now + self.pause;
    }
}

/// Returns a small count as a float.
pub(super) fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns the whole part of a small number that is not negative.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float converts with saturation, and counts are small"
)]
fn whole(number: f64) -> usize {
    number as usize
}
