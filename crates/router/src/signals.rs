//! The duty that turns signals into a graceful shutdown.

use tarragon_timeline::event::{Draft, Kind, Name};
use tokio::signal::unix::{SignalKind, signal};

use crate::error::Error;
use crate::kernel::{Duty, Work};
use crate::shared::Shared;

inventory::submit!(Duty {
    name: "signals",
    threads: 1,
    start
});

fn start(shared: Shared) -> Work {
    Box::pin(run(shared))
}

/// Waits for TERM or INT and starts the shutdown; HUP is ignored.
async fn run(shared: Shared) -> Result<(), Error> {
    let failed = |source| Error::Start {
        duty: "signals",
        source,
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(failed)?;
    let started = Draft::new(Kind::HostStarted).with(Name::Peer, &shared.me);
    shared.record(started);
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return Ok(()),
            _ = terminate.recv() => shared.drain.cancel(),
            _ = interrupt.recv() => shared.drain.cancel(),
            _ = hang_up.recv() => log::info!("event=signal-ignored signal=HUP"),
        }
    }
}
