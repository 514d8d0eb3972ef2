//! Messages between the members of one shard.
//!
//! The caller adds the shard and the sender. Messages may be lost, duplicated, reordered and late.

use serde::{Deserialize, Serialize};
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;

use crate::state::{Position, Replica, State};

/// Message between two members; `fence` names the reign that it belongs to.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound = "", rename_all = "kebab-case")]
pub enum Message<S: State> {
    /// Leader to standby: asks to renew the lease.
    Renew {
        /// Reign of the leader.
        fence: Fence,
        /// Number of the renewal.
        seq: u64,
    },
    /// Answer to [`Message::Renew`]: the standby promises.
    Renewed {
        /// Reign of the leader.
        fence: Fence,
        /// Number of the renewal.
        seq: u64,
    },
    /// Standby to leader: the standby no longer follows this reign.
    Refused {
        /// Reign of the leader.
        fence: Fence,
        /// Process that has succeeded the leader, if the standby knows.
        #[serde(rename = "heir")]
        successor: Option<Peer>,
    },
    /// First to second standby: asks to take part in a succession.
    #[serde(rename = "yield")]
    RequestVote {
        /// Reign that the first standby would begin.
        fence: Fence,
        /// Number of the request, in the numbering of the first standby's renewals.
        seq: u64,
        /// How far the first standby holds the state.
        #[serde(rename = "held")]
        position: Position,
    },
    /// Answer to [`Message::RequestVote`]: the second standby follows the old leader no more.
    #[serde(rename = "yielded")]
    VoteGranted {
        /// Reign that the first standby would begin.
        fence: Fence,
        /// Number of the request; the answer counts as its renewal.
        seq: u64,
        /// Whether the second standby was sealed, so that only the store may end the epoch.
        sealed: bool,
        /// How far the second standby holds the state.
        #[serde(rename = "held")]
        position: Position,
        /// The state, when the second standby is ahead of the first.
        #[serde(rename = "state")]
        replica: Option<Replica<S>>,
    },
    /// Answer to [`Message::RequestVote`]: the promise to the leader still lasts.
    #[serde(rename = "busy")]
    VoteDeferred {
        /// Reign that the first standby would begin.
        fence: Fence,
    },
    /// Leader to standby: the whole state; `held.reign` is the reign.
    Snapshot {
        /// State of the leader.
        #[serde(rename = "held")]
        replica: Replica<S>,
    },
    /// Leader to standby: entries that follow the one numbered `from`.
    Append {
        /// Reign of the leader.
        fence: Fence,
        /// Number of entries before the first one sent.
        from: u64,
        /// The entries.
        entries: Vec<S::Entry>,
    },
    /// Answer to [`Message::Snapshot`] and [`Message::Append`].
    Appended {
        /// Reign of the leader.
        fence: Fence,
        /// Number of entries that the standby holds.
        index: u64,
    },
    /// Standby to leader: the standby lacks the reign's snapshot. Sent in answer to
    /// [`Message::Append`] and when the standby takes up its part in the epoch.
    Missing {
        /// Reign of the leader.
        fence: Fence,
    },
    /// Leader to standby: take part in no succession without the store.
    Seal {
        /// Reign of the leader.
        fence: Fence,
        /// Number of the request.
        seq: u64,
    },
    /// Answer to [`Message::Seal`].
    Sealed {
        /// Reign of the leader.
        fence: Fence,
        /// Number of the request.
        seq: u64,
        /// Number of entries that the standby holds of this reign; absent without its snapshot.
        index: Option<u64>,
    },
    /// Leader to standby: the leader has stopped acting, for good.
    Resign {
        /// Reign of the leader.
        fence: Fence,
    },
}

impl<S: State> Message<S> {
    /// Returns the reign that the message belongs to.
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
