//! Faults that can be injected into the store's stand-in.

use std::time::Duration;

use serde::Deserialize;

use crate::standin::fault::Set;

const DEFAULT_LAG_MS: u64 = 1_000;
const DEFAULT_DELAY_MS: u64 = 500;
const ALL_PERCENT: u8 = 100;

/// Body of `POST /_fault`.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
    /// Fault to inject, or `none` to remove all.
    #[serde(flatten)]
    pub fault: Fault,
    /// Time after which the fault expires, in milliseconds; without it the fault never expires.
    pub for_ms: Option<u64>,
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// No call is executed.
    Down {
        /// Whether connections are closed without a response, instead of a 503.
        #[serde(default)]
        close: bool,
    },
    /// Calls are delayed before they are executed.
    Slow {
        /// Delay of each call, in milliseconds.
        #[serde(default = "default_delay")]
        delay_ms: u64,
    },
    /// Gets, lists and watches return an old state.
    StaleReads {
        /// Age of the state, in milliseconds.
        #[serde(default = "default_lag")]
        lag_ms: u64,
    },
    /// Writes are executed, but the connection is closed without a response.
    LoseAnswers {
        /// Percentage of writes affected.
        #[serde(default = "default_share")]
        share: u8,
    },
    /// Removes all faults.
    None,
}

fn default_delay() -> u64 {
    DEFAULT_DELAY_MS
}

fn default_lag() -> u64 {
    DEFAULT_LAG_MS
}

fn default_share() -> u8 {
    ALL_PERCENT
}

/// Active faults.
#[derive(Debug, Default)]
pub struct Faults(Set<Fault>);

impl Faults {
    /// Injects the fault of a request, or removes all faults.
    pub fn apply(&mut self, request: &Request) {
        match request.fault {
            Fault::None => self.0.clear(),
            fault => self
                .0
                .insert(fault, request.for_ms.map(Duration::from_millis)),
        }
    }

    /// Returns, when the store is down, whether it closes connections without a response.
    pub fn down(&self) -> Option<bool> {
        self.0.find(|fault| match fault {
            Fault::Down { close } => Some(*close),
            _ => None,
        })
    }

    /// Returns the delay of each call.
    pub fn delay(&self) -> Option<Duration> {
        self.0.find(|fault| match fault {
            Fault::Slow { delay_ms } => Some(Duration::from_millis(*delay_ms)),
            _ => None,
        })
    }

    /// Returns the age of the state that reads see.
    pub fn lag(&self) -> Option<Duration> {
        self.0.find(|fault| match fault {
            Fault::StaleReads { lag_ms } => Some(Duration::from_millis(*lag_ms)),
            _ => None,
        })
    }

    /// Draws whether the response to a write is lost.
    pub fn loses_response(&self) -> bool {
        let share = self.0.find(|fault| match fault {
            Fault::LoseAnswers { share } => Some(*share),
            _ => None,
        });
        share.is_some_and(|share| rand::random_range(0..ALL_PERCENT) < share)
    }
}
