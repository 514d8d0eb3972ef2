//! Errors that tell a write that was not executed from one whose fate is unknown.

use std::fmt;

use crate::object::Version;

/// Failed call of the store.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{operation} of {object} at {endpoint}: {kind}")]
pub struct Error {
    /// What was being done.
    pub operation: Operation,
    /// Object, or kind of objects, that the call was about.
    pub object: String,
    /// Address of the store, or `local`.
    pub endpoint: String,
    /// What happened.
    #[source]
    pub kind: Kind,
}

impl Error {
    /// Creates an error.
    #[must_use]
    pub fn new(operation: Operation, object: &str, endpoint: &str, kind: Kind) -> Self {
        Self {
            operation,
            object: object.to_owned(),
            endpoint: endpoint.to_owned(),
            kind,
        }
    }

    /// Tells whether a write that failed so may have been executed, or may still be.
    ///
    /// ```
    /// use tarragon_store::error::{Error, Kind, Operation};
    ///
    /// let lost = Error::new(Operation::Put, "config/main", "local", Kind::Uncertain("reset".into()));
    /// assert!(lost.is_uncertain());
    /// let away = Error::new(Operation::Put, "config/main", "local", Kind::Unavailable("refused".into()));
    /// assert!(!away.is_uncertain());
    /// ```
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        matches!(self.kind, Kind::Uncertain(_))
    }
}

/// Call of the store in which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Building the client.
    Build,
    /// Reading one object.
    Get,
    /// Reading all objects of a kind.
    List,
    /// Writing an object.
    Put,
    /// Deleting an object.
    Delete,
    /// Waiting for changes.
    Watch,
    /// Encoding a value.
    Encode,
    /// Decoding a value.
    Decode,
}

impl Operation {
    /// Tells whether the step changes the store.
    #[must_use]
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Build => "build",
            Self::Get => "get",
            Self::List => "list",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::Watch => "watch",
            Self::Encode => "encode",
            Self::Decode => "decode",
        })
    }
}

/// What a caller may conclude from a failed call.
///
/// A read has no effect, so a read that fails on its way is [`Kind::Unavailable`], never
/// [`Kind::Uncertain`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Kind {
    /// The object does not exist.
    #[error("not found")]
    NotFound,
    /// The object has another version than the write expected; nothing was written.
    #[error("conflict with version {version}")]
    Conflict {
        /// Version that the object has, zero when it does not exist.
        version: Version,
    },
    /// The store takes fewer calls a second; nothing was executed.
    #[error("over the store's rate")]
    Throttled,
    /// The store cannot be reached; a write was provably not executed.
    #[error("store away: {0}")]
    Unavailable(String),
    /// The write may have been executed, or may still be.
    #[error("fate of the write unknown: {0}")]
    Uncertain(String),
    /// The answer or the value cannot be read.
    #[error("unreadable: {0}")]
    Corrupt(String),
    /// The value is larger than the store takes; nothing was written.
    #[error("value too large")]
    TooLarge,
    /// The watch asks for changes that the store no longer keeps; list anew.
    #[error("revision too old to watch from")]
    TooOld,
    /// The call was cancelled before it could change anything.
    #[error("cancelled")]
    Cancelled,
    /// The store refused the call; nothing was executed.
    #[error("refused with status {status}")]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// The call could not be built.
    #[error("bad call: {0}")]
    Invalid(String),
}
