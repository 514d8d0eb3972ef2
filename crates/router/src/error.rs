//! Errors of the router process.

use std::io;
use std::net::SocketAddr;

use tarragon_model::settings;

/// Error that prevents the router from starting or running.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{0}; see --help")]
    Usage(String),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A server cannot listen on its address, or failed.
    #[error("step=listen peer={addr}: {source}; choose a free address in the settings")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread, its runtime or its signal handlers cannot be set up.
    #[error("step=start duty={duty}: {source}")]
    Start {
        /// Name of the duty.
        duty: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An HTTP client cannot be created.
    #[error("step=connect peer={addr}: {detail}")]
    Client {
        /// Address of the server that needs the client.
        addr: SocketAddr,
        /// Error of the HTTP library.
        detail: String,
    },
}

impl Error {
    /// Returns whether the command line or the settings caused the error (exit code 2).
    #[must_use]
    pub fn is_input(&self) -> bool {
        matches!(self, Self::Usage(_) | Self::Settings(_))
    }
}
