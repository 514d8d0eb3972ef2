//! What a member asks of its caller.

use std::fmt;

use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::record::ReplicaSet;

use crate::message::Message;
use crate::state::State;

/// Request of a member to its caller, to be carried out in order.
#[derive(Clone, Debug)]
pub enum Output<S: State> {
    /// Send a message to another member of the shard.
    Send {
        /// Receiver.
        to: Peer,
        /// Message.
        message: Message<S>,
    },
    /// Update the shard's record in the store from `epoch - 1` on condition that it has not
    /// changed, under a unique token, and tell [`crate::Member::written`] what became of it.
    Write {
        /// Epoch of the new record.
        epoch: u64,
        /// Trio of the new record.
        replica_set: ReplicaSet,
    },
    /// This process begins to act.
    TermStarted {
        /// Reign of the process.
        fence: Fence,
        /// False when committed entries of earlier reigns may be missing. The caller must then
        /// append an entry that accounts for the loss before any other.
        complete: bool,
    },
    /// This process acts no more in this reign.
    TermEnded {
        /// Reign of the process.
        fence: Fence,
        /// Why it ended.
        reason: Reason,
    },
    /// Entries up to `index` are held by a standby and may be acted on. Reported only while the
    /// lease lasts, so that no later reign has begun.
    Committed {
        /// Number of entries held.
        index: u64,
    },
    /// A standby is silent, has left the reign or is proven gone; [`crate::Member::propose`] may
    /// replace it. Repeated while it holds, also before the reign has begun.
    Suspect {
        /// The standby.
        peer: Peer,
    },
    /// The shard can only go on through the store: call [`crate::Member::propose`] with this
    /// process as leader. Repeated while it holds.
    TakeoverNeeded {
        /// Epoch of the record to write.
        epoch: u64,
    },
}

/// Why a process stopped acting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The first standby has succeeded.
    Succeeded,
    /// The process resigned.
    Resigned,
    /// A record of a later epoch is known.
    Superseded,
}

impl Reason {
    /// Returns the text used in logs and events.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Succeeded => "succeeded",
            Self::Resigned => "resigned",
            Self::Superseded => "superseded",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
