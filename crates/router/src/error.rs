//! Errors of the router process.

use std::io;
use std::net::SocketAddr;

use tarragon_model::settings;

/// Why the router could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line cannot be understood.
    #[error("{0}; see --help")]
    Usage(String),
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// An address cannot be listened on.
    #[error("step=listen peer={addr}: {source}; choose a free address in the settings")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("step=start duty={duty}: {source}")]
    Start {
        /// Name of the duty.
        duty: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The store's client cannot be set up.
    #[error("step=connect peer={addr}: {detail}")]
    Store {
        /// Address of the store.
        addr: SocketAddr,
        /// What went wrong.
        detail: String,
    },
}

impl Error {
    /// Tells whether the operator's input is at fault, which exit code 2 reports.
    #[must_use]
    pub fn is_input(&self) -> bool {
        matches!(self, Self::Usage(_) | Self::Settings(_))
    }
}
