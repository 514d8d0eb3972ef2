//! Stand-in for the network between processes: TCP links that can fail.
//!
//! No library is used: existing fault proxies are separate servers, which this project must not
//! run, and kernel facilities need privileges that an experiment must not require. All links of
//! an experiment run in one process, at a cost of one task per connection, which polls four loops:
//! a reader and a writer for each direction.
//!
//! A link delays bytes and holds them back. It never drops or reorders them, because TCP would
//! hide that from the processes at both ends. What both ends of a broken path observe is silence,
//! which the `cut` fault produces.

pub mod config;
pub mod connection;
pub mod control;
pub mod fault;
pub mod link;
pub mod options;
pub mod rate;
pub mod relay;

use std::sync::Arc;

use super::error::Error;
use super::serve::{self, Limits, Port};

/// Number of threads that relay bytes.
const WORKERS: usize = 4;

/// Relays bytes over all links until SIGTERM.
///
/// # Errors
///
/// [`Error::Usage`] when the configuration is invalid, [`Error::Io`] when its file cannot be read
/// or an address cannot be bound, [`Error::Serve`] when the server stops without a signal.
pub fn run(options: &options::Options) -> Result<(), Error> {
    let config = config::Config::read(&options.config)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .map_err(Error::io("start", "runtime"))?;
    runtime.block_on(async {
        let port = Port::bind(options.control).await?;
        let network = Arc::new(link::Network::start(&config).await?);
        serve::serve(port, Limits::default(), move |request| {
            control::respond(Arc::clone(&network), request)
        })
        .await
    })
}
