//! Why a command failed, with the exit code that tells scripts.

use std::process::ExitCode;

use tarragon_model::settings;
use tarragon_store::object::Version;

use crate::{args, edit};

/// Exit code of a command that failed.
pub const FAILED: u8 = 1;
/// Exit code of a bad command line or file.
pub const BAD_INPUT: u8 = 2;
/// Exit code of a change that was accepted and not seen in force everywhere in time.
pub const NOT_IN_FORCE: u8 = 3;
/// Exit code of a change that lost a race.
pub const RACE_LOST: u8 = 4;
/// Exit code of a change whose fate is unknown.
pub const FATE_UNKNOWN: u8 = 5;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The arguments make no command.
    #[error(transparent)]
    Args(#[from] args::Error),
    /// A file could not be used.
    #[error(transparent)]
    File(#[from] settings::Error),
    /// The change does not fit the configuration.
    #[error(transparent)]
    Edit(#[from] edit::Error),
    /// The store did not do its part.
    #[error("store: {0}; check --store and whether the platform's store answers")]
    Store(#[from] tarragon_store::error::Error),
    /// Another operator's change came first.
    #[error(
        "another operator's change came first: version {winner} is in place and yours, made from \
         version {base}, is not; look at it with `config show`, then run your command again"
    )]
    RaceLost {
        /// Version in place.
        winner: Version,
        /// Version that the change was made from.
        base: Version,
    },
    /// The answer to a change was lost and the store did not tell its fate in time.
    #[error(
        "the answer to the change was lost and version {base} was still in place or the store \
         away; it may yet take effect: look with `config show` for the token {token} before you \
         run your command again"
    )]
    FateUnknown {
        /// Version that the change was made from.
        base: Version,
        /// Token of the change.
        token: String,
    },
    /// The store holds no object of that name.
    #[error("there is no {what} \"{name}\"; `{command}` shows what there is")]
    Absent {
        /// What was looked for.
        what: &'static str,
        /// Its name.
        name: String,
        /// Command that lists what exists.
        command: &'static str,
    },
    /// No host could answer.
    #[error("no host answered step {step}: {reason}; check the hosts with `host list`")]
    NoHost {
        /// What the hosts were asked.
        step: &'static str,
        /// Latest failure.
        reason: String,
    },
    /// A host that was declared lost answers.
    #[error(
        "{host} answers as incarnation {incarnation}, so it is not lost; stop its process first"
    )]
    NotLost {
        /// Host that answered.
        host: String,
        /// Incarnation that answered.
        incarnation: u64,
    },
    /// Output could not be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
}

impl Error {
    /// Returns the exit code of the program.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Args(_) | Self::File(_) => BAD_INPUT,
            Self::RaceLost { .. } => RACE_LOST,
            Self::FateUnknown { .. } => FATE_UNKNOWN,
            _ => FAILED,
        }
    }
}

impl From<&Error> for ExitCode {
    fn from(error: &Error) -> Self {
        Self::from(error.code())
    }
}
