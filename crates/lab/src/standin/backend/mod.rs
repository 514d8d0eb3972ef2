//! Stand-in for a backend server: runs work for keys and records every run.
//!
//! The combined records of all stand-ins of a machine show whether two backend servers ever ran
//! work for one key at the same time and whether an effect was applied twice. They are the lab's
//! only evidence of this, because the router's reports about itself prove nothing.

pub mod body;
pub mod fault;
pub mod grant;
pub mod http;
pub mod options;
pub mod record;
pub mod run;
pub mod slots;
pub mod state;
pub mod stats;

use std::sync::Arc;

use super::error::Error;
use super::serve::{self, Limits, Port};

/// Serves requests until SIGTERM.
///
/// One thread is enough, because the simulated work only waits, and hundreds of these processes
/// share one machine.
///
/// # Errors
///
/// [`Error::Io`] when the address cannot be bound or the record file cannot be opened,
/// [`Error::Serve`] when the server stops without a signal.
pub fn run(options: options::Options) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::io("start", "runtime"))?;
    runtime.block_on(async {
        let port = Port::bind(options.listen).await?;
        let limits = Limits {
            max_connections: options.connections,
            setup_time: options.connect,
            ..Limits::default()
        };
        let state = Arc::new(state::State::new(
            options,
            Arc::clone(&limits.open_connections),
        )?);
        serve::serve(port, limits, move |request| {
            http::respond(Arc::clone(&state), request)
        })
        .await
    })
}
