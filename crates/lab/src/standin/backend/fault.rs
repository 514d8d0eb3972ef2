//! Faults of the backend server's stand-in.

use std::time::Duration;

use serde::Deserialize;

use crate::standin::fault::Set;

const DEFAULT_FACTOR: f64 = 10.0;
const DEFAULT_DELAY_MS: u64 = 1_000;

/// Order to put a fault into force.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// Fault, or `none` to end all.
    #[serde(flatten)]
    pub fault: Fault,
    /// Time after which the fault ends by itself, in milliseconds; for good when absent.
    pub for_ms: Option<u64>,
}

/// Fault of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// All work is refused with 503.
    Shed,
    /// The load report is false.
    Lie(Load),
    /// Work takes longer.
    Slow {
        /// Factor of the time of the work.
        #[serde(default = "default_factor")]
        factor: f64,
    },
    /// Health is not answered.
    Hang,
    /// Connections are closed in the middle of the body.
    HalfAnswer,
    /// Answers are delayed.
    Late {
        /// Delay of each answer, in milliseconds.
        #[serde(default = "default_delay")]
        delay_ms: u64,
    },
    /// Ends all faults.
    None,
}

/// Load as reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Load {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Open connections.
    pub connections: usize,
}

fn default_factor() -> f64 {
    DEFAULT_FACTOR
}

fn default_delay() -> u64 {
    DEFAULT_DELAY_MS
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

    /// Tells whether all work is refused.
    pub fn sheds(&self) -> bool {
        self.0.iter().any(|fault| *fault == Fault::Shed)
    }

    /// Tells whether health is not answered.
    pub fn hangs(&self) -> bool {
        self.0.iter().any(|fault| *fault == Fault::Hang)
    }

    /// Tells whether bodies are cut in the middle.
    pub fn halves_answers(&self) -> bool {
        self.0.iter().any(|fault| *fault == Fault::HalfAnswer)
    }

    /// Returns the load that is reported in place of the true one.
    pub fn false_load(&self) -> Option<Load> {
        self.0.find(|fault| match fault {
            Fault::Lie(load) => Some(*load),
            _ => None,
        })
    }

    /// Returns the factor of the time of the work.
    pub fn factor(&self) -> f64 {
        let factor = self.0.find(|fault| match fault {
            Fault::Slow { factor } => Some(factor.max(0.0)),
            _ => None,
        });
        factor.unwrap_or(1.0)
    }

    /// Returns the delay of each answer.
    pub fn delay(&self) -> Duration {
        let delay = self.0.find(|fault| match fault {
            Fault::Late { delay_ms } => Some(Duration::from_millis(*delay_ms)),
            _ => None,
        });
        delay.unwrap_or_default()
    }
}
