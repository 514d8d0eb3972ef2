//! Grants, which let a leader's orders run for a time on this process's own clock.
//!
//! A grant counts from the time at which this process issued the ticket that it carries. So a
//! grant that is delayed on its way is shorter, and one that was meant for an earlier instance is
//! refused.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tarragon_model::fence::Fence;

/// Call of a leader for a grant.
#[derive(Clone, Debug, Deserialize)]
pub struct Ask {
    /// Shard that the leader acts for, as `service.index`.
    pub shard: String,
    /// Epoch of the leader's fence.
    pub epoch: u64,
    /// Succession of the leader's fence.
    pub succession: u8,
    /// Length of the grant, in milliseconds.
    pub ttl_ms: u64,
    /// Ticket of an earlier answer of the same instance.
    #[serde(default)]
    pub ticket: Option<u64>,
}

/// Answer to a call for a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Answer<'a> {
    /// Whether the grant is taken and in force.
    pub granted: bool,
    /// Clock of this process, in milliseconds.
    pub ticket: u64,
    /// Run of this process.
    pub instance: &'a str,
    /// Epoch of the fence that is held.
    pub epoch: u64,
    /// Succession of the fence that is held.
    pub succession: u8,
}

/// Why work is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another fence is held, or none.
    Fence,
    /// The grant has expired.
    Expired,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    fence: Fence,
    until_ms: u64,
}

/// Grants held, by shard.
#[derive(Debug)]
pub struct Grants {
    start_ms: u64,
    held: HashMap<String, Held>,
}

impl Grants {
    /// Creates the grants of a process that started at `start_ms`.
    #[must_use]
    pub fn new(start_ms: u64) -> Self {
        Self {
            start_ms,
            held: HashMap::new(),
        }
    }

    /// Takes a grant if its fence is not older than the one held and its ticket is this
    /// instance's.
    pub fn ask<'a>(&mut self, ask: &Ask, now_ms: u64, instance: &'a str) -> Answer<'a> {
        let fence = Fence::new(ask.epoch, ask.succession);
        let held = self.held.get(&ask.shard).copied().unwrap_or_default();
        let ticket = ask.ticket.filter(|ticket| self.is_own(*ticket, now_ms));
        let kept = match ticket {
            Some(ticket) if fence >= held.fence => {
                let until_ms = ticket.saturating_add(ask.ttl_ms);
                let kept = Held {
                    fence,
                    until_ms: if fence == held.fence {
                        until_ms.max(held.until_ms)
                    } else {
                        until_ms
                    },
                };
                self.held.insert(ask.shard.clone(), kept);
                kept
            }
            _ => held,
        };
        Answer {
            granted: ticket.is_some() && kept.fence == fence && now_ms < kept.until_ms,
            ticket: now_ms,
            instance,
            epoch: kept.fence.epoch,
            succession: kept.fence.succession,
        }
    }

    /// Checks that work may run, or commit, under a fence.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the shard's grant has another fence or has expired.
    pub fn check(&self, shard: &str, fence: Fence, now_ms: u64) -> Result<(), Refusal> {
        match self.held.get(shard) {
            Some(held) if held.fence != fence => Err(Refusal::Fence),
            Some(held) if now_ms >= held.until_ms => Err(Refusal::Expired),
            Some(_) => Ok(()),
            None => Err(Refusal::Fence),
        }
    }

    /// Tells whether a ticket was issued by this process.
    ///
    /// The clock is the machine's, so tickets of an earlier process are at most the start.
    fn is_own(&self, ticket: u64, now_ms: u64) -> bool {
        ticket > self.start_ms && ticket <= now_ms
    }
}
