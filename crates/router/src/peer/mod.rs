//! Control connections between router processes.
//!
//! Each process sends over connections that it opened itself and receives over those that it
//! accepted. So a link that is cut one way stops one direction only, as the lease protocol expects.

pub mod accept;
pub mod auth;
pub mod dial;

use std::net::SocketAddr;

use tarragon_node::message::Message;
use tokio::sync::mpsc;

use crate::kernel::{Duty, Work};
use crate::shared::Shared;

/// A message on its way to another process.
#[derive(Debug)]
pub struct Parcel {
    /// Advertised address of the receiver's peer port.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Parcels that may wait to be sent.
pub const CAPACITY: usize = 16_384;

inventory::submit!(Duty {
    name: "accept",
    threads: 1,
    start: start_accept
});

fn start_accept(shared: Shared) -> Work {
    Box::pin(accept::run(shared))
}

/// Sends parcels until the process stops.
pub async fn send(shared: Shared, mut parcels: mpsc::Receiver<Parcel>) {
    let mut links = dial::Links::new(shared.clone());
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            parcel = parcels.recv() => match parcel {
                Some(parcel) => links.send(&parcel),
                None => return,
            },
        }
    }
}
