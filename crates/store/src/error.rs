//! Errors that distinguish a write that was not executed from one whose outcome is unknown.

use std::fmt;

use crate::object::Version;

/// Failed call to the store.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{operation} of {object} at {endpoint}: {kind}")]
pub struct Error {
    /// Operation that failed.
    pub operation: Operation,
    /// Object, or kind of objects, that the call concerned.
    pub object: String,
    /// Address of the store, or `local` for an encoding or decoding error.
    pub endpoint: String,
    /// Reason for the failure.
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

    /// Returns whether a write that failed with this error may have been executed, or may still be.
    ///
    /// ```
    /// use tarragon_store::error::{Error, Kind, Operation};
    ///
    /// let error = |kind| Error::new(Operation::Put, "config/main", "local", kind);
    /// assert!(error(Kind::Uncertain("reset".into())).is_uncertain());
    /// assert!(!error(Kind::Unavailable("refused".into())).is_uncertain());
    /// ```
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        matches!(self.kind, Kind::Uncertain(_))
    }
}

/// Operation in which an error arose.
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
    /// Watching for changes.
    Watch,
    /// Encoding a value.
    Encode,
    /// Decoding a value.
    Decode,
}

impl Operation {
    /// Returns whether the operation changes the store.
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

/// Reason for a failed call, and what it implies about a write.
///
/// A read has no effect, so a read that gets no response is [`Kind::Unavailable`], never
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
    /// The write expected a version of an earlier era of the store and was not sent; read again.
    #[error("expected a version of an earlier era")]
    EarlierEra,
    /// The store's rate limit was exceeded; nothing was executed.
    #[error("store rate limit exceeded")]
    Throttled,
    /// The store is unreachable; a write was provably not executed.
    #[error("store unavailable: {0}")]
    Unavailable(String),
    /// The write may have been executed, or may still be.
    #[error("write outcome unknown: {0}")]
    Uncertain(String),
    /// The response or the value cannot be decoded.
    #[error("unreadable: {0}")]
    Corrupt(String),
    /// The value is larger than the store accepts; nothing was written.
    #[error("value too large")]
    TooLarge,
    /// The store no longer keeps the changes that the watch asks for; list again.
    #[error("revision too old to watch from")]
    TooOld,
    /// The call was cancelled before it could change anything.
    #[error("cancelled")]
    Cancelled,
    /// The store rejected the call; nothing was executed.
    #[error("refused with status {status}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The call could not be built.
    #[error("invalid call: {0}")]
    Invalid(String),
}
