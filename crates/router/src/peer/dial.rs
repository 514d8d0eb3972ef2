//! Sending frames to other router processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::Message as Item;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use crate::peer::{Parcel, auth};
use crate::shared::Shared;
use crate::wire::{Challenge, Frame, MAX_FRAME_BYTES, decode, encode};

/// Frames that may wait for one receiver; more are dropped, as a network would.
const LINK_CAPACITY: usize = 1_024;
/// Time in which a connection must be made and introduced.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Time in which a frame must be handed to the network.
const SEND_TIME: Duration = Duration::from_secs(1);
/// Pause before a failed connection is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Connections to all receivers.
pub struct Links {
    shared: Shared,
    links: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    /// Starts without connections; each is made when something is to be sent.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            links: HashMap::new(),
        }
    }

    /// Queues a message for its receiver, or drops it when too many wait.
    pub fn send(&mut self, parcel: &Parcel) {
        let frame = Frame {
            stamp: self.shared.stamp(),
            message: parcel.message.clone(),
        };
        let bytes = match encode(&frame) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=frame-dropped peer={} error=\"{error}\"", parcel.to);
                return;
            }
        };
        self.shared.metrics.control_bytes(bytes.len());
        let link = self
            .links
            .entry(parcel.to)
            .or_insert_with(|| open(&self.shared, parcel.to));
        if link.try_send(bytes).is_err() {
            self.shared.metrics.frame_dropped();
        }
    }
}

fn open(shared: &Shared, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
    let (sender, receiver) = mpsc::channel(LINK_CAPACITY);
    tokio::spawn(keep(shared.clone(), to, receiver));
    sender
}

async fn keep(shared: Shared, to: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    while !shared.stop.is_cancelled() {
        if let Ok(Some(socket)) = timeout(CONNECT_TIME, connect(&shared, to)).await {
            if pass(&shared, socket, &mut frames).await.is_none() {
                return;
            }
        } else {
            sleep(RETRY_PAUSE).await;
        }
        while frames.try_recv().is_ok() {}
    }
}

async fn connect(shared: &Shared, to: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(shared.dialled(to)).await.ok()?;
    let _ = stream.set_nodelay(true);
    let config = WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES));
    let url = format!("ws://{to}/");
    let (mut socket, _) = client_async_with_config(url, stream, Some(config))
        .await
        .ok()?;
    let Item::Binary(bytes) = socket.next().await?.ok()? else {
        return None;
    };
    let challenge: Challenge = decode(&bytes).ok()?;
    let answer = encode(&auth::respond(&shared.fleet_key, &challenge, &shared.me)).ok()?;
    socket.send(Item::Binary(answer.into())).await.ok()?;
    Some(socket)
}

/// Passes frames on until the connection fails; `None` when the process stops.
async fn pass(
    shared: &Shared,
    mut socket: WebSocketStream<TcpStream>,
    frames: &mut mpsc::Receiver<Vec<u8>>,
) -> Option<()> {
    loop {
        let bytes = tokio::select! {
            () = shared.stop.cancelled() => return None,
            // The receiver sends nothing after its challenge, so an item means a closed connection.
            _ = socket.next() => return Some(()),
            bytes = frames.recv() => bytes?,
        };
        let sent = timeout(SEND_TIME, socket.send(Item::Binary(bytes.into()))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return Some(());
        }
    }
}
