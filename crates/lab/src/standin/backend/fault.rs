//! Faults that can be injected into the backend server's stand-in.

use std::time::Duration;

use serde::Deserialize;

use crate::standin::fault::Set;

const DEFAULT_FACTOR: f64 = 10.0;
const DEFAULT_DELAY_MS: u64 = 1_000;

/// Body of `POST /_fault`.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
    /// Fault to inject, or `none` to remove all.
    #[serde(flatten)]
    pub fault: Fault,
    /// Time after which the fault expires, in milliseconds; without it the fault never expires.
    pub for_ms: Option<u64>,
}

/// Fault of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// All work is refused with a 503.
    Shed,
    /// The load report states these values instead of the true load.
    Lie(Load),
    /// Work takes longer.
    Slow {
        /// Factor by which the duration of the work is multiplied.
        #[serde(default = "default_factor")]
        factor: f64,
    },
    /// Health checks get no response.
    Hang,
    /// Connections are closed after half of the response body.
    HalfAnswer,
    /// Responses other than those to `/_drain`, `/_fault` and `/_stats` are delayed.
    Late {
        /// Delay of each response, in milliseconds.
        #[serde(default = "default_delay")]
        delay_ms: u64,
    },
    /// Removes all faults.
    None,
}

/// Load as reported by `GET /_load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Load {
    /// Running requests.
    pub running: usize,
    /// Requests waiting for a slot.
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

    /// Returns whether all work is refused.
    pub fn sheds(&self) -> bool {
        self.0.iter().any(|fault| *fault == Fault::Shed)
    }

    /// Returns whether health checks get no response.
    pub fn hangs(&self) -> bool {
        self.0.iter().any(|fault| *fault == Fault::Hang)
    }

    /// Returns whether response bodies are cut off in the middle.
    pub fn truncates_responses(&self) -> bool {
        self.0.iter().any(|fault| *fault == Fault::HalfAnswer)
    }

    /// Returns the load to report instead of the true load.
    pub fn false_load(&self) -> Option<Load> {
        self.0.find(|fault| match fault {
            Fault::Lie(load) => Some(*load),
            _ => None,
        })
    }

    /// Returns the factor for the duration of work.
    pub fn factor(&self) -> f64 {
        let factor = self.0.find(|fault| match fault {
            Fault::Slow { factor } => Some(factor.max(0.0)),
            _ => None,
        });
        factor.unwrap_or(1.0)
    }

    /// Returns the delay of each response.
    pub fn delay(&self) -> Duration {
        let delay = self.0.find(|fault| match fault {
            Fault::Late { delay_ms } => Some(Duration::from_millis(*delay_ms)),
            _ => None,
        });
        delay.unwrap_or_default()
    }
}
