//! Accepts connections from other router processes and receives their frames.

use std::net::SocketAddr;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tarragon_model::host::Peer;
use tarragon_node::input::Input;
use tarragon_timeline::event::{Draft, Kind, Name};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message as WsMessage;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config};

use crate::control::Command;
use crate::error::Error;
use crate::peer::auth;
use crate::shared::Shared;
use crate::wire::{Challenge, Frame, MAX_FRAME_BYTES, Response, decode, encode};

/// Timeout of the handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without data after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections until the process stops.
///
/// # Errors
///
/// [`Error::Listen`] if it cannot listen on the peer port.
pub async fn run(shared: Shared) -> Result<(), Error> {
    let addr = shared.settings.peer_addr;
    let listener = TcpListener::bind(addr).await;
    let listener = listener.map_err(|source| Error::Listen { addr, source })?;
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return Ok(()),
            accepted = listener.accept() => {
                if let Ok((stream, from)) = accepted {
                    tokio::spawn(serve(shared.clone(), stream, from));
                }
            }
        }
    }
}

async fn serve(shared: Shared, stream: TcpStream, from: SocketAddr) {
    let _ = stream.set_nodelay(true);
    if let Err((kind, reason)) = receive(&shared, stream).await {
        let draft = Draft::new(kind)
            .with(Name::Peer, from)
            .with(Name::Reason, reason);
        shared.record_rate_limited(draft);
    }
}

async fn receive(shared: &Shared, stream: TcpStream) -> Result<(), (Kind, String)> {
    let handshake = timeout(HANDSHAKE_TIMEOUT, handshake(shared, stream)).await;
    let handshake = handshake.unwrap_or_else(|_| Err("step=introduce: timeout".to_owned()));
    let handshake = handshake.map_err(|reason| (Kind::ConnectionRefused, reason))?;
    let Some((peer, mut socket)) = handshake else {
        return Ok(());
    };
    shared.record_rate_limited(Draft::new(Kind::PeerConnected).with(Name::Peer, &peer));
    let end = forward_messages(shared, &peer, &mut socket).await;
    shared.record_rate_limited(Draft::new(Kind::PeerLost).with(Name::Peer, &peer));
    end.map_err(|reason| (Kind::BadFrame, reason))
}

/// Forwards the peer's messages to the control thread until the connection closes.
async fn forward_messages(
    shared: &Shared,
    peer: &Peer,
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<(), String> {
    loop {
        let next = tokio::select! {
            () = shared.stop.cancelled() => return Ok(()),
            next = timeout(IDLE_TIMEOUT, socket.next()) => next,
        };
        let Ok(Some(Ok(item))) = next else {
            return Ok(());
        };
        if let WsMessage::Binary(bytes) = item {
            let frame: Frame = decode(&bytes).map_err(|error| error.to_string())?;
            shared.observe(frame.stamp);
            let input = Input::Message {
                from: peer.clone(),
                message: frame.message,
            };
            if shared.control.send(Command::Input(input)).await.is_err() {
                return Ok(());
            }
        }
    }
}

/// Authenticates the peer; returns `None` if the connection fails before the peer has responded.
async fn handshake(
    shared: &Shared,
    stream: TcpStream,
) -> Result<Option<(Peer, WebSocketStream<TcpStream>)>, String> {
    let config = WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES));
    let Ok(mut socket) = accept_async_with_config(stream, Some(config)).await else {
        return Ok(None);
    };
    let challenge = Challenge {
        nonce: rand::random(),
    };
    let bytes = encode(&challenge).map_err(|error| error.to_string())?;
    if socket.send(WsMessage::Binary(bytes.into())).await.is_err() {
        return Ok(None);
    }
    let Some(Ok(WsMessage::Binary(bytes))) = socket.next().await else {
        return Ok(None);
    };
    let response: Response = decode(&bytes).map_err(|error| error.to_string())?;
    if !auth::verify_response(&shared.fleet_key, &challenge, &response) {
        return Err("step=introduce: the fleet key differs".to_owned());
    }
    Ok(Some((response.peer, socket)))
}
