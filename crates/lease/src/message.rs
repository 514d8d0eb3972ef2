//! Messages between the members of one shard.
//!
//! The driver adds the shard and the sender. Messages may be lost, duplicated, reordered or
//! delayed.

use serde::{Deserialize, Serialize};
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;

use crate::state::{Position, Replica, State};

/// Message between two members. `fence` is the fence of the term that it belongs to.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound = "", rename_all = "kebab-case")]
pub enum Message<S: State> {
    /// Leader to standby: requests a renewal of the lease.
    Renew {
        /// Term of the leader.
        fence: Fence,
        /// Sequence number of the renewal.
        seq: u64,
    },
    /// Response to [`Message::Renew`]: the standby promises to take part in no succession for
    /// [`crate::timing::PROMISE_DURATION`].
    Renewed {
        /// Term of the leader.
        fence: Fence,
        /// Sequence number of the renewal.
        seq: u64,
    },
    /// Standby to leader: the standby no longer follows this term.
    Refused {
        /// Term of the leader.
        fence: Fence,
        /// Process that has succeeded the leader, if known.
        #[serde(rename = "heir")]
        successor: Option<Peer>,
    },
    /// First to second standby: requests its vote for a succession.
    #[serde(rename = "yield")]
    RequestVote {
        /// Term that the first standby would start.
        fence: Fence,
        /// Sequence number of the request, shared with the first standby's renewals.
        seq: u64,
        /// Position of the first standby's replica.
        #[serde(rename = "held")]
        position: Position,
    },
    /// Response to [`Message::RequestVote`]: the second standby has stopped following the old
    /// leader.
    #[serde(rename = "yielded")]
    VoteGranted {
        /// Term that the first standby would start.
        fence: Fence,
        /// Sequence number of the request; the vote also renews the first standby's lease.
        seq: u64,
        /// Whether the second standby is sealed, so that only a write to the store may end the
        /// epoch.
        sealed: bool,
        /// Position of the second standby's replica.
        #[serde(rename = "held")]
        position: Position,
        /// Replica of the second standby, if it is ahead of the first.
        #[serde(rename = "state")]
        replica: Option<Replica<S>>,
    },
    /// Response to [`Message::RequestVote`]: the second standby is still bound by its promise to
    /// the leader and may vote once that has expired.
    #[serde(rename = "busy")]
    VoteDeferred {
        /// Term that the first standby would start.
        fence: Fence,
    },
    /// Leader to standby: the whole state. `replica.term` is the fence of the term.
    Snapshot {
        /// Replica of the leader.
        #[serde(rename = "held")]
        replica: Replica<S>,
    },
    /// Leader to standby: entries that follow the one with index `from`.
    Append {
        /// Term of the leader.
        fence: Fence,
        /// Index of the last entry before the first one sent.
        from: u64,
        /// Entries in order.
        entries: Vec<S::Entry>,
    },
    /// Response to [`Message::Snapshot`] and [`Message::Append`].
    Appended {
        /// Term of the leader.
        fence: Fence,
        /// Index of the last entry that the standby holds.
        index: u64,
    },
    /// Standby to leader: the standby lacks the snapshot of the term. Sent in response to
    /// [`Message::Append`] and when the standby enters the epoch.
    Missing {
        /// Term of the leader.
        fence: Fence,
    },
    /// Leader to standby: from now on, end the epoch only through a write to the store.
    Seal {
        /// Term of the leader.
        fence: Fence,
        /// Sequence number of the request.
        seq: u64,
    },
    /// Response to [`Message::Seal`].
    Sealed {
        /// Term of the leader.
        fence: Fence,
        /// Sequence number of the request.
        seq: u64,
        /// Index of the last entry that the standby holds in this term; absent if it lacks the
        /// snapshot.
        index: Option<u64>,
    },
    /// Leader to standby: the leader has permanently stopped acting.
    Resign {
        /// Term of the leader.
        fence: Fence,
    },
}

impl<S: State> Message<S> {
    /// Returns the fence of the term that the message belongs to.
    #[must_use]
    pub fn fence(&self) -> Fence {
        match self {
            Self::Renew { fence, .. }
            | Self::Renewed { fence, .. }
            | Self::Refused { fence, .. }
            | Self::RequestVote { fence, .. }
            | Self::VoteGranted { fence, .. }
            | Self::VoteDeferred { fence }
            | Self::Append { fence, .. }
            | Self::Appended { fence, .. }
            | Self::Missing { fence }
            | Self::Seal { fence, .. }
            | Self::Sealed { fence, .. }
            | Self::Resign { fence } => *fence,
            Self::Snapshot { replica } => replica.term,
        }
    }
}
