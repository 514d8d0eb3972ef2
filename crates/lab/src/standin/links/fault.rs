//! Faults of links.

use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::standin::fault::Set;

const DEFAULT_STALL_MS: u64 = 400;
const DEFAULT_SHARE: u8 = 10;
const ALL_PERCENT: u8 = 100;

/// Direction of bytes on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the process that dialled.
    Forward,
    /// To the process that dialled.
    Back,
}

/// Order to put a fault into force.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// Name of a link, in which each `*` stands for any text.
    pub link: String,
    /// Fault, or `none` to end all.
    #[serde(flatten)]
    pub fault: Fault,
    /// Time after which the fault ends by itself, in milliseconds; for good when absent.
    pub for_ms: Option<u64>,
}

/// Fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// No bytes pass; what was under way passes when the fault ends.
    Cut,
    /// No bytes pass forward.
    CutForward,
    /// No bytes pass back.
    CutBack,
    /// Connections are reset, open ones once and new ones while the fault lasts.
    Reset,
    /// Bytes are delayed, in place of the link's own delay.
    Delay {
        /// Delay in each direction, in microseconds.
        delay_us: u64,
    },
    /// Parts stall for a random time, as after lost packets.
    LossBurst {
        /// Longest stall, in milliseconds.
        #[serde(default = "default_stall")]
        stall_ms: u64,
        /// Parts that stall, in percent.
        #[serde(default = "default_share")]
        share: u8,
    },
    /// Ends all faults.
    None,
}

fn default_stall() -> u64 {
    DEFAULT_STALL_MS
}

fn default_share() -> u8 {
    DEFAULT_SHARE
}

/// Faults in force on one link.
#[derive(Debug, Default)]
pub struct Faults(Set<Fault>);

impl Faults {
    /// Puts a fault into force.
    pub fn apply(&mut self, fault: Fault, span: Option<Duration>) {
        match fault {
            Fault::None => self.0.clear(),
            fault => self.0.put(fault, span),
        }
    }

    /// Tells whether bytes are held back in a direction.
    pub fn is_cut(&self, direction: Direction) -> bool {
        self.0.iter().any(|fault| match fault {
            Fault::Cut => true,
            Fault::CutForward => direction == Direction::Forward,
            Fault::CutBack => direction == Direction::Back,
            _ => false,
        })
    }

    /// Tells whether new connections are reset.
    pub fn resets(&self) -> bool {
        self.0.iter().any(|fault| *fault == Fault::Reset)
    }

    /// Returns the delay in place of the link's own.
    pub fn delay(&self) -> Option<Duration> {
        self.0.find(|fault| match fault {
            Fault::Delay { delay_us } => Some(Duration::from_micros(*delay_us)),
            _ => None,
        })
    }

    /// Draws the stall of one part.
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

    /// Returns the next time at which a fault ends by itself.
    pub fn next_end(&self) -> Option<Instant> {
        self.0.next_end()
    }
}

/// Tells whether a name matches a pattern in which each `*` stands for any text.
pub fn matches(pattern: &str, name: &str) -> bool {
    let Some((head, rest)) = pattern.split_once('*') else {
        return pattern == name;
    };
    let Some(tail) = name.strip_prefix(head) else {
        return false;
    };
    let mut starts = tail.char_indices().map(|(at, _)| at).chain([tail.len()]);
    starts.any(|at| matches(rest, &tail[at..]))
}
