//! Errors that stop a stand-in.

use std::io;

/// Failure that stops a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line or the configuration file is invalid.
    #[error("{0}")]
    Usage(String),
    /// A system call failed.
    #[error("{step} {object}: {source}")]
    Io {
        /// Operation that failed, as a verb.
        step: &'static str,
        /// File, address or resource that the operation was applied to.
        object: String,
        /// Error of the system call.
        source: io::Error,
    },
    /// The HTTP server stopped without a signal.
    #[error("serve: {0}")]
    Serve(String),
}

impl Error {
    /// Returns a function that wraps the error of a system call as [`Error::Io`].
    pub fn io(step: &'static str, object: &str) -> impl FnOnce(io::Error) -> Self {
        let object = object.to_owned();
        move |source| Self::Io {
            step,
            object,
            source,
        }
    }
}
