//! Reports of keys that may be granted to their next holder.

use tarragon_model::time::Instant;

use crate::plan::PreviousHolder;

/// Why keys may be granted to their next holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The previous holder answered a release.
    Released,
    /// Every grant to the previous holder has expired.
    Expired,
    /// The process of the previous holder has ended.
    Ended,
    /// The next holder runs on the same server.
    SameServer,
}

/// Grants to the previous holder, as known when its keys were freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Account {
    /// When the latest grant became due.
    pub latest_due: Option<Instant>,
    /// Latest time by which a grant had arrived, among those whose outcome is known.
    pub latest_arrival: Option<Instant>,
    /// Number of grants without an outcome.
    pub unconfirmed: usize,
    /// Whether an earlier granter may have sent grants.
    pub inherited: bool,
}

/// Keys that had to be revoked and may be granted now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Freed {
    /// Why they may be granted.
    pub reason: Reason,
    /// First key.
    pub from: u16,
    /// Last key, inclusive.
    pub to: u16,
    /// Fencing token of the next grants.
    pub fence: u64,
    /// Holder that they were revoked from.
    pub previous: PreviousHolder,
    /// Grants to that holder.
    pub account: Account,
}
