//! Connects to other router processes and sends frames.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::Message as WsMessage;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use crate::peer::{Envelope, auth};
use crate::shared::Shared;
use crate::wire::{Challenge, Frame, MAX_FRAME_BYTES, decode, encode};

/// Maximum number of frames queued for one receiver; more are dropped, as in a lossy network.
const LINK_CAPACITY: usize = 1_024;
/// Timeout of connecting, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of sending one frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before reconnecting after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Outgoing connections, by the advertised address of the receiver.
pub struct Links {
    shared: Shared,
    links: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    /// Creates the set without connections; each is opened when there is a message to send.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            links: HashMap::new(),
        }
    }

    /// Queues a message for its receiver; drops it if the queue is full.
    pub fn send(&mut self, envelope: &Envelope) {
        let frame = Frame {
            stamp: self.shared.stamp(),
            message: envelope.message.clone(),
        };
        let bytes = match encode(&frame) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=frame-dropped peer={} error=\"{error}\"", envelope.to);
                return;
            }
        };
        self.shared.metrics.control_bytes(bytes.len());
        let link = self
            .links
            .entry(envelope.to)
            .or_insert_with(|| open_link(&self.shared, envelope.to));
        if link.try_send(bytes).is_err() {
            self.shared.metrics.frame_dropped();
        }
    }
}

fn open_link(shared: &Shared, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
    let (sender, receiver) = mpsc::channel(LINK_CAPACITY);
    tokio::spawn(run_link(shared.clone(), to, receiver));
    sender
}

/// Sends the frames of one link, reconnecting after failures; frames that were queued during a
/// failure are dropped.
async fn run_link(shared: Shared, to: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    while !shared.stop.is_cancelled() {
        if let Ok(Some(socket)) = timeout(CONNECT_TIMEOUT, connect(&shared, to)).await {
            if send_frames(&shared, socket, &mut frames).await.is_none() {
                return;
            }
        } else {
            sleep(RETRY_DELAY).await;
        }
        while frames.try_recv().is_ok() {}
    }
}

async fn connect(shared: &Shared, to: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(shared.dial_addr(to)).await.ok()?;
    let _ = stream.set_nodelay(true);
    let config = WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES));
    let url = format!("ws://{to}/");
    let (mut socket, _) = client_async_with_config(url, stream, Some(config))
        .await
        .ok()?;
    let WsMessage::Binary(bytes) = socket.next().await?.ok()? else {
        return None;
    };
    let challenge: Challenge = decode(&bytes).ok()?;
    let response = encode(&auth::respond(&shared.fleet_key, &challenge, &shared.me)).ok()?;
    socket.send(WsMessage::Binary(response.into())).await.ok()?;
    Some(socket)
}

/// Sends frames until the connection fails; returns `None` if the process stops.
async fn send_frames(
    shared: &Shared,
    mut socket: WebSocketStream<TcpStream>,
    frames: &mut mpsc::Receiver<Vec<u8>>,
) -> Option<()> {
    loop {
        let bytes = tokio::select! {
            () = shared.stop.cancelled() => return None,
            // The receiver sends nothing after its challenge, so any item means that it closed the
            // connection.
            _ = socket.next() => return Some(()),
            bytes = frames.recv() => bytes?,
        };
        let sent = timeout(SEND_TIMEOUT, socket.send(WsMessage::Binary(bytes.into()))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return Some(());
        }
    }
}
