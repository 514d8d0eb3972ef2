//! Stand-in for a backend server: runs work for keys, and keeps a record of every run.
//!
//! The records of all stand-ins of a machine, read together, show whether two backend servers
//! ever ran work of one key at once and whether an effect happened twice. They are the lab's only
//! witness; what the router says of itself is no proof.

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

/// Takes work until SIGTERM.
///
/// One thread serves everything: a fleet of hundreds of these shares one machine, and the work is
/// waiting.
///
/// # Errors
///
/// [`Error::Io`] when the address or the record file cannot be opened, [`Error::Serve`] when
/// serving ends by itself.
pub fn run(options: options::Options) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::io("start", "runtime"))?;
    runtime.block_on(async {
        let port = Port::bind(options.listen).await?;
        let limits = Limits {
            connections: options.connections,
            connect: options.connect,
            ..Limits::default()
        };
        let state = Arc::new(state::State::new(options, Arc::clone(&limits.count))?);
        serve::serve(port, limits, move |request| {
            http::answer(Arc::clone(&state), request)
        })
        .await
    })
}
