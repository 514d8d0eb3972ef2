//! Signal handling: graceful shutdown on TERM and INT.

use tarragon_timeline::event::{Draft, Kind, Name};
use tokio::signal::unix::{SignalKind, signal};

use crate::duty::{Duty, Work};
use crate::error::Error;
use crate::shared::Shared;

inventory::submit!(Duty {
    name: "signals",
    threads: 1,
    start
});

fn start(shared: Shared) -> Work {
    Box::pin(run(shared))
}

/// Starts the shutdown on TERM or INT and ignores HUP.
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
