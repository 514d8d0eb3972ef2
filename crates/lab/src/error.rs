//! Errors of a run, with the step that failed and the peer involved.

use thiserror::Error;

/// Failure of one step of a run.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line or a file that it names is invalid.
    #[error("{0}")]
    Usage(String),
    /// An operating system call failed.
    #[error("step={step} peer={peer} error={source}")]
    Io {
        /// Step that failed.
        step: &'static str,
        /// File or process that the call was about.
        peer: String,
        /// Cause.
        source: std::io::Error,
    },
    /// An HTTP call failed or got an unusable response.
    #[error("step={step} peer={peer} error={cause}")]
    Http {
        /// Step that failed.
        step: &'static str,
        /// Address of the server.
        peer: String,
        /// Cause.
        cause: String,
    },
    /// A step did not complete in time.
    #[error("step={step} peer={peer} error=timeout after_ms={after_ms}")]
    Timeout {
        /// Step that failed.
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

/// Result of one step of a run.
pub type Result<T> = std::result::Result<T, Error>;

/// Attaches step and peer to an I/O error.
pub fn io(step: &'static str, peer: impl Into<String>) -> impl FnOnce(std::io::Error) -> Error {
    let peer = peer.into();
    move |source| Error::Io { step, peer, source }
}
