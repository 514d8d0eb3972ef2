//! Actions that a member requests from its driver.

use std::fmt;

use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::record::ReplicaSet;

use crate::message::Message;
use crate::state::State;

/// Action that the driver executes for a member, in the order of emission.
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
    /// changed, under a unique token, and pass the outcome to
    /// [`crate::Member::handle_write_outcome`].
    Write {
        /// Epoch of the new record.
        epoch: u64,
        /// Replica set of the new record.
        replica_set: ReplicaSet,
    },
    /// This process starts to act as leader.
    TermStarted {
        /// Fence of the term.
        fence: Fence,
        /// False if committed entries of earlier terms may be missing. The driver must then
        /// append an entry that accounts for the loss before any other.
        complete: bool,
    },
    /// This process has stopped acting in this term.
    TermEnded {
        /// Fence of the term.
        fence: Fence,
        /// Why the term ended.
        reason: Reason,
    },
    /// A standby holds the entries up to `index`, so they may be acted on. Emitted only under a
    /// valid lease, so that no later term has started.
    Committed {
        /// Index of the last committed entry.
        index: u64,
    },
    /// A standby is silent, no longer follows this term or is proven gone;
    /// [`crate::Member::propose`] may replace it. Repeated while the condition holds, including
    /// before the term has started.
    Suspect {
        /// Standby to replace.
        peer: Peer,
    },
    /// The shard can continue only with a new record in the store: call
    /// [`crate::Member::propose`] with this process as leader. Repeated while the condition holds.
    TakeoverNeeded {
        /// Epoch of the record to write.
        epoch: u64,
    },
}

/// Reason why a process stopped acting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The first standby has succeeded this leader.
    Succeeded,
    /// The process resigned.
    Resigned,
    /// The process has learned a record of a later epoch.
    Superseded,
}

impl Reason {
    /// Returns the name used in logs and events.
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
