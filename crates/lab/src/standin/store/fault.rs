//! Faults of the store's stand-in.

use std::time::Duration;

use serde::Deserialize;

use crate::standin::fault::Set;

const DEFAULT_LAG_MS: u64 = 1_000;
const DEFAULT_DELAY_MS: u64 = 500;
const ALL_PERCENT: u8 = 100;

/// Order to put a fault into force.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// Fault, or `none` to end all.
    #[serde(flatten)]
    pub fault: Fault,
    /// Time after which the fault ends by itself, in milliseconds; for good when absent.
    pub for_ms: Option<u64>,
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// No call is executed.
    Down {
        /// Whether connections are closed without an answer, in place of 503.
        #[serde(default)]
        close: bool,
    },
    /// Calls are executed late.
    Slow {
        /// Delay of each call, in milliseconds.
        #[serde(default = "default_delay")]
        delay_ms: u64,
    },
    /// Reads, lists and watches answer an old state.
    StaleReads {
        /// Age of the state, in milliseconds.
        #[serde(default = "default_lag")]
        lag_ms: u64,
    },
    /// Writes are executed, but the connection is closed without an answer.
    LoseAnswers {
        /// Writes hit, in percent.
        #[serde(default = "default_share")]
        share: u8,
    },
    /// Ends all faults.
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

/// Faults in force.
#[derive(Debug, Default)]
pub struct Faults(Set<Fault>);

impl Faults {
    /// Follows an order.
    pub fn apply(&mut self, order: &Order) {
        match order.fault {
            Fault::None => self.0.clear(),
            fault => self.0.put(fault, order.for_ms.map(Duration::from_millis)),
        }
    }

    /// Returns whether connections are closed, if the store is down.
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

    /// Decides whether the answer of a write is lost.
    pub fn loses_answer(&self) -> bool {
        let share = self.0.find(|fault| match fault {
            Fault::LoseAnswers { share } => Some(*share),
            _ => None,
        });
        share.is_some_and(|share| rand::random_range(0..ALL_PERCENT) < share)
    }
}
