//! Errors that end a stand-in.

use std::io;

/// Failure that ends a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line cannot be used.
    #[error("{0}")]
    Usage(String),
    /// A system call failed.
    #[error("{step} {object}: {source}")]
    Io {
        /// What was being done.
        step: &'static str,
        /// File or address that it was about.
        object: String,
        /// What happened.
        source: io::Error,
    },
    /// The server ended by itself.
    #[error("serve: {0}")]
    Serve(String),
}

impl Error {
    /// Returns a function that wraps the failure of a system call.
    pub fn io(step: &'static str, object: &str) -> impl FnOnce(io::Error) -> Self {
        let object = object.to_owned();
        move |source| Self::Io {
            step,
            object,
            source,
        }
    }
}
