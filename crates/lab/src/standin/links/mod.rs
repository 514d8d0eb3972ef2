//! Stand-in for the network between processes: TCP links that can fail.
//!
//! No library was taken: the fault proxies that exist ship as servers of their own, which this
//! project must not run, and kernel facilities need rights that an experiment must not ask for.
//! All links of an experiment run in one process, which costs four tasks for each connection.
//!
//! A link delays and holds bytes back; it never drops or reorders them, since TCP would mend that
//! for the processes at both ends. What the ends of a broken path see is silence, and silence is
//! what `cut` gives.

pub mod config;
pub mod connection;
pub mod control;
pub mod fault;
pub mod link;
pub mod options;
pub mod pump;
pub mod rate;

use std::sync::Arc;

use super::error::Error;
use super::serve::{self, Limits, Port};

/// Threads that carry bytes.
const WORKERS: usize = 4;

/// Carries bytes over all links until SIGTERM.
///
/// # Errors
///
/// [`Error::Usage`] when the configuration cannot be used, [`Error::Io`] when an address cannot
/// be bound, [`Error::Serve`] when serving ends by itself.
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
            control::answer(Arc::clone(&network), request)
        })
        .await
    })
}
