//! Counters of a backend server's work.

use std::collections::BTreeMap;

use serde::Serialize;

use super::record::State;

/// Counters since the start of the process, as reported by `GET /_stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Runs that started.
    pub started: u64,
    /// Runs that took effect.
    pub committed: u64,
    /// Runs whose caller disconnected.
    pub cancelled: u64,
    /// Runs that were aborted.
    pub aborted: u64,
    /// Total duration of committed runs, in microseconds.
    pub busy_us: u64,
    /// Refused requests by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

impl Stats {
    /// Counts a state that a run reached after `time_us` microseconds.
    pub fn count(&mut self, state: State, time_us: u64) {
        match state {
            State::Started => self.started += 1,
            State::Committed => {
                self.committed += 1;
                self.busy_us += time_us;
            }
            State::Cancelled => self.cancelled += 1,
            State::Aborted => self.aborted += 1,
        }
    }

    /// Counts a refused request.
    pub fn count_refusal(&mut self, reason: &'static str) {
        *self.refused.entry(reason).or_default() += 1;
    }
}
