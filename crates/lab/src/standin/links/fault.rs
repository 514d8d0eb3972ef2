//! Faults that can be injected into links.

use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::standin::fault::Set;

const DEFAULT_STALL_MS: u64 = 400;
const DEFAULT_SHARE: u8 = 10;
const ALL_PERCENT: u8 = 100;

/// Direction of bytes on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the process that connected.
    Forward,
    /// To the process that connected.
    Back,
}

/// Body of `POST /_fault`.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
    /// Pattern of link names, in which each `*` matches any text.
    pub link: String,
    /// Fault to inject, or `none` to remove all.
    #[serde(flatten)]
    pub fault: Fault,
    /// Time after which the fault expires, in milliseconds; without it the fault never expires.
    pub for_ms: Option<u64>,
}

/// Fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// No bytes pass; bytes in transit pass when the fault ends.
    Cut,
    /// No bytes pass forward.
    CutForward,
    /// No bytes pass back.
    CutBack,
    /// Open connections are reset once, and new ones as long as the fault is active.
    Reset,
    /// Bytes are delayed by this value instead of the link's configured delay.
    Delay {
        /// Delay in each direction, in microseconds.
        delay_us: u64,
    },
    /// Random chunks are delayed for a random time, as after packet loss.
    LossBurst {
        /// Maximum additional delay, in milliseconds.
        #[serde(default = "default_stall")]
        stall_ms: u64,
        /// Percentage of chunks affected.
        #[serde(default = "default_share")]
        share: u8,
    },
    /// Removes all faults.
    None,
}

fn default_stall() -> u64 {
    DEFAULT_STALL_MS
}

fn default_share() -> u8 {
    DEFAULT_SHARE
}

/// Active faults of one link.
#[derive(Debug, Default)]
pub struct Faults(Set<Fault>);

impl Faults {
    /// Injects a fault, or removes all faults.
    pub fn apply(&mut self, fault: Fault, duration: Option<Duration>) {
        match fault {
            Fault::None => self.0.clear(),
            fault => self.0.insert(fault, duration),
        }
    }

    /// Returns whether bytes are held back in a direction.
    pub fn is_cut(&self, direction: Direction) -> bool {
        self.0.iter().any(|fault| match fault {
            Fault::Cut => true,
            Fault::CutForward => direction == Direction::Forward,
            Fault::CutBack => direction == Direction::Back,
            _ => false,
        })
    }

    /// Returns whether new connections are reset.
    pub fn resets(&self) -> bool {
        self.0.iter().any(|fault| *fault == Fault::Reset)
    }

    /// Returns the delay that replaces the link's configured one.
    pub fn delay(&self) -> Option<Duration> {
        self.0.find(|fault| match fault {
            Fault::Delay { delay_us } => Some(Duration::from_micros(*delay_us)),
            _ => None,
        })
    }

    /// Draws the additional delay of one chunk.
    pub fn stall(&self) -> Duration {
        let burst = self.0.find(|fault| match fault {
            Fault::LossBurst { stall_ms, share } => Some((*stall_ms, *share)),
            _ => None,
        });
        match burst {
            Some((stall_ms, share)) if rand::random_range(0..ALL_PERCENT) < share => {
                Duration::from_millis(rand::random_range(0..=stall_ms))
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns the earliest time at which an active fault expires.
    pub fn next_end(&self) -> Option<Instant> {
        self.0.next_end()
    }
}

/// Returns whether a name matches a pattern, in which each `*` matches any text.
pub fn matches(pattern: &str, name: &str) -> bool {
    let Some((head, rest)) = pattern.split_once('*') else {
        return pattern == name;
    };
    let Some(tail) = name.strip_prefix(head) else {
        return false;
    };
    let mut starts = tail
        .char_indices()
        .map(|(index, _)| index)
        .chain([tail.len()]);
    starts.any(|index| matches(rest, &tail[index..]))
}
