//! Counts of the work that a backend server took.

use std::collections::BTreeMap;

use serde::Serialize;

use super::record::State;

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Runs that started.
    pub started: u64,
    /// Runs that took effect.
    pub committed: u64,
    /// Runs whose caller went away.
    pub cancelled: u64,
    /// Runs that were given up.
    pub aborted: u64,
    /// Time that committed runs took, in microseconds.
    pub busy_us: u64,
    /// Requests that were refused, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

impl Stats {
    /// Counts a state of a run that has taken `time_us` microseconds.
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

    /// Counts a refusal.
    pub fn refuse(&mut self, reason: &'static str) {
        *self.refused.entry(reason).or_default() += 1;
    }
}
