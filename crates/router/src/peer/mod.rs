//! Control connections between router processes.
//!
//! Each process sends over the connections that it opened and receives over those that it accepted.
//! A network failure in one direction therefore stops that direction only, as the lease protocol
//! expects.

pub mod accept;
pub mod auth;
pub mod dial;

use std::net::SocketAddr;

use tarragon_node::message::Message;
use tokio::sync::mpsc;

use crate::duty::{Duty, Work};
use crate::shared::Shared;

/// Message to another process, with its destination.
#[derive(Debug)]
pub struct Envelope {
    /// Advertised address of the receiver's peer port.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Maximum number of queued outgoing messages.
pub const CAPACITY: usize = 16_384;

inventory::submit!(Duty {
    name: "accept",
    threads: 1,
    start: start_accept
});

fn start_accept(shared: Shared) -> Work {
    Box::pin(accept::run(shared))
}

/// Sends the messages of `outgoing` until the process stops; runs on the thread `exchange`.
pub async fn send(shared: Shared, mut outgoing: mpsc::Receiver<Envelope>) {
    let mut links = dial::Links::new(shared.clone());
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            envelope = outgoing.recv() => match envelope {
                Some(envelope) => links.send(&envelope),
                None => return,
            },
        }
    }
}
