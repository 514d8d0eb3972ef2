//! Grants, which allow a leader's requests to run for a limited time on this process's clock.
//!
//! A grant starts when this process issued the ticket that the grant carries. A grant that is
//! delayed in transit is therefore shorter, and one meant for an earlier instance is refused.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tarragon_model::fence::Fence;

/// Body of `POST /_grant`, with which a leader requests a grant.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
    /// Shard that the leader acts for, as `service.index`.
    pub shard: String,
    /// Epoch of the leader's fence.
    pub epoch: u64,
    /// Succession of the leader's fence.
    pub succession: u8,
    /// Duration of the grant from its ticket, in milliseconds.
    pub ttl_ms: u64,
    /// Ticket of an earlier response of the same instance.
    #[serde(default)]
    pub ticket: Option<u64>,
}

/// Response to a grant request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Response<'a> {
    /// Whether the requested grant is active.
    pub granted: bool,
    /// Time of this process's clock, in milliseconds, to send back in the next request.
    pub ticket: u64,
    /// Identifier of this process instance.
    pub instance: &'a str,
    /// Epoch of the fence of the stored grant.
    pub epoch: u64,
    /// Succession of the fence of the stored grant.
    pub succession: u8,
}

/// Why work is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The shard has a grant with another fence, or no grant.
    Fence,
    /// The grant has expired.
    Expired,
}

#[derive(Clone, Copy, Debug, Default)]
struct Grant {
    fence: Fence,
    expires_ms: u64,
}

/// Latest grant of each shard.
#[derive(Debug)]
pub struct Grants {
    start_ms: u64,
    held: HashMap<String, Grant>,
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

    /// Stores a grant if its fence is not older than the stored one and its ticket was issued by
    /// this instance.
    pub fn apply<'a>(&mut self, request: &Request, now_ms: u64, instance: &'a str) -> Response<'a> {
        let fence = Fence::new(request.epoch, request.succession);
        let held = self.held.get(&request.shard).copied().unwrap_or_default();
        let ticket = request.ticket.filter(|ticket| self.is_own(*ticket, now_ms));
        let current = match ticket {
            Some(ticket) if fence >= held.fence => {
                let expires_ms = ticket.saturating_add(request.ttl_ms);
                let current = Grant {
                    fence,
                    expires_ms: if fence == held.fence {
                        expires_ms.max(held.expires_ms)
                    } else {
                        expires_ms
                    },
                };
                self.held.insert(request.shard.clone(), current);
                current
            }
            _ => held,
        };
        Response {
            granted: ticket.is_some() && current.fence == fence && now_ms < current.expires_ms,
            ticket: now_ms,
            instance,
            epoch: current.fence.epoch,
            succession: current.fence.succession,
        }
    }

    /// Checks whether work may run or commit under a fence.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the shard's grant has another fence or has expired.
    pub fn check(&self, shard: &str, fence: Fence, now_ms: u64) -> Result<(), Refusal> {
        match self.held.get(shard) {
            Some(held) if held.fence != fence => Err(Refusal::Fence),
            Some(held) if now_ms >= held.expires_ms => Err(Refusal::Expired),
            Some(_) => Ok(()),
            None => Err(Refusal::Fence),
        }
    }

    /// Returns whether a ticket was issued by this process.
    ///
    /// All processes of a machine share the clock, so tickets of an earlier process are not later
    /// than the start of this one.
    fn is_own(&self, ticket: u64, now_ms: u64) -> bool {
        ticket > self.start_ms && ticket <= now_ms
    }
}
