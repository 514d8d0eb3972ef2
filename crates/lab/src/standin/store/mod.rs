//! Stand-in for the platform's object API: one process with all objects in memory.
//!
//! It gives the guarantees of the real API (increasing versions, conditional writes, a bounded
//! change log) and can fail like it: it can be unavailable, slow or stale, or lose the responses
//! to writes that it executed.

pub mod fault;
pub mod http;
pub mod log;
pub mod objects;
pub mod options;
pub mod rate;
pub mod stats;

use super::error::Error;
use super::serve::{self, Limits, Port};

/// Number of threads that serve the API.
const WORKERS: usize = 2;

/// Serves the object API until SIGTERM.
///
/// # Errors
///
/// [`Error::Io`] when the address cannot be bound, [`Error::Serve`] when the server stops
/// without a signal.
pub fn run(options: &options::Options) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .map_err(Error::io("start", "runtime"))?;
    runtime.block_on(async {
        let port = Port::bind(options.listen).await?;
        let store = http::Store::new(options);
        serve::serve(port, Limits::default(), move |request| {
            store.clone().respond(request)
        })
        .await
    })
}
