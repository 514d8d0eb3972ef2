//! Errors of commands and the exit codes that report them to scripts.

use std::process::ExitCode;

use tarragon_model::settings;
use tarragon_store::object::Version;

use crate::{args, edit};

/// Exit code of a command that failed.
pub const FAILED: u8 = 1;
/// Exit code of an invalid command line or file.
pub const BAD_INPUT: u8 = 2;
/// Exit code of a change that was accepted but not seen in force everywhere within the timeout.
pub const NOT_IN_FORCE: u8 = 3;
/// Exit code of a change that conflicted with another operator's change.
pub const CONFLICT: u8 = 4;
/// Exit code of a change whose outcome is unknown.
pub const OUTCOME_UNKNOWN: u8 = 5;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error(transparent)]
    Args(#[from] args::Error),
    /// A file could not be read or is invalid.
    #[error(transparent)]
    File(#[from] settings::Error),
    /// The change does not apply to the configuration.
    #[error(transparent)]
    Edit(#[from] edit::Error),
    /// A request to the store failed.
    #[error("store: {0}; check --store and whether the platform's store responds")]
    Store(#[from] tarragon_store::error::Error),
    /// Another operator's change was written first.
    #[error(
        "another operator's change came first: version {current} is in place and yours, made from \
         version {base}, is not; look at it with `config show`, then run your command again"
    )]
    Conflict {
        /// Version that the store holds.
        current: Version,
        /// Version that the change was made from.
        base: Version,
    },
    /// The response to a change was lost, and its outcome could not be resolved in time.
    #[error(
        "the response to the change was lost, and version {base} was still in place or the store \
         was unavailable; the change may still take effect: look with `config show` for the token \
         {token} before you run your command again"
    )]
    OutcomeUnknown {
        /// Version that the change was made from.
        base: Version,
        /// Token that the change carries.
        token: String,
    },
    /// No item of that name exists.
    #[error("there is no {what} \"{name}\"; `{command}` lists what exists")]
    NotFound {
        /// Kind of item.
        what: &'static str,
        /// Name of the item.
        name: String,
        /// Command that lists the existing items.
        command: &'static str,
    },
    /// No host gave a usable response.
    #[error("no host responded to {operation}: {reason}; check the hosts with `host list`")]
    NoHost {
        /// Operation that was requested of the hosts.
        operation: &'static str,
        /// Failure of the last host.
        reason: String,
    },
    /// The host to declare lost still responds.
    #[error(
        "{host} responds as incarnation {incarnation}, so it is not lost; stop its process first"
    )]
    NotLost {
        /// Host that responded.
        host: String,
        /// Incarnation that responded.
        incarnation: u64,
    },
    /// The output could not be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
}

impl Error {
    /// Returns the exit code of the program.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Args(_) | Self::File(_) => BAD_INPUT,
            Self::Conflict { .. } => CONFLICT,
            Self::OutcomeUnknown { .. } => OUTCOME_UNKNOWN,
            _ => FAILED,
        }
    }
}

impl From<&Error> for ExitCode {
    fn from(error: &Error) -> Self {
        Self::from(error.code())
    }
}
