//! Errors of the experiments, with the step and the peer at which they arose.

use thiserror::Error;

/// Failure of one step of an experiment.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line or a file it names is wrong.
    #[error("{0}")]
    Usage(String),
    /// An operating system call failed.
    #[error("step={step} peer={peer} error={source}")]
    Io {
        /// What was being done.
        step: &'static str,
        /// File or process that it was done to.
        peer: String,
        /// Cause.
        source: std::io::Error,
    },
    /// An HTTP request got no usable answer.
    #[error("step={step} peer={peer} error={cause}")]
    Http {
        /// What was being done.
        step: &'static str,
        /// Address of the server.
        peer: String,
        /// Cause.
        cause: String,
    },
    /// Something did not happen in time.
    #[error("step={step} peer={peer} error=timeout after_ms={after_ms}")]
    Timeout {
        /// What was being done.
        step: &'static str,
        /// Process that was waited for.
        peer: String,
        /// Time waited, in milliseconds.
        after_ms: u128,
    },
    /// The run was interrupted.
    #[error("interrupted")]
    Interrupted,
}

/// Result of a step of an experiment.
pub type Result<T> = std::result::Result<T, Error>;

/// Attaches step and peer to an I/O error.
pub fn io(step: &'static str, peer: impl Into<String>) -> impl FnOnce(std::io::Error) -> Error {
    let peer = peer.into();
    move |source| Error::Io { step, peer, source }
}
