//! Receiving frames from other router processes.

use std::net::SocketAddr;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tarragon_model::host::Peer;
use tarragon_node::input::Input;
use tarragon_timeline::event::{Draft, Kind, Name};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message as Item;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config};

use crate::control::Command;
use crate::error::Error;
use crate::peer::auth;
use crate::shared::Shared;
use crate::wire::{Challenge, Frame, MAX_FRAME_BYTES, Response, decode, encode};

/// Time in which a new connection must have introduced itself.
const INTRODUCTION_TIME: Duration = Duration::from_secs(2);
/// A connection over which nothing came for this long is closed.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Accepts connections until the process stops.
///
/// # Errors
///
/// Fails when the peer port cannot be listened on.
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
        shared.record_some(draft);
    }
}

async fn receive(shared: &Shared, stream: TcpStream) -> Result<(), (Kind, String)> {
    let greeting = timeout(INTRODUCTION_TIME, greet(shared, stream)).await;
    let greeting = greeting.unwrap_or_else(|_| Err("step=introduce: timeout".to_owned()));
    let greeting = greeting.map_err(|reason| (Kind::ConnectionRefused, reason))?;
    let Some((peer, mut socket)) = greeting else {
        return Ok(());
    };
    shared.record_some(Draft::new(Kind::PeerConnected).with(Name::Peer, &peer));
    let end = pass_on(shared, &peer, &mut socket).await;
    shared.record_some(Draft::new(Kind::PeerLost).with(Name::Peer, &peer));
    end.map_err(|reason| (Kind::BadFrame, reason))
}

/// Hands the peer's messages to the decisions until the connection ends.
async fn pass_on(
    shared: &Shared,
    peer: &Peer,
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<(), String> {
    loop {
        let next = tokio::select! {
            () = shared.stop.cancelled() => return Ok(()),
            next = timeout(IDLE_TIME, socket.next()) => next,
        };
        let Ok(Some(Ok(item))) = next else {
            return Ok(());
        };
        if let Item::Binary(bytes) = item {
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

/// Returns the proven peer, or `None` when the connection ended before it said anything.
async fn greet(
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
    if socket.send(Item::Binary(bytes.into())).await.is_err() {
        return Ok(None);
    }
    let Some(Ok(Item::Binary(bytes))) = socket.next().await else {
        return Ok(None);
    };
    let answer: Response = decode(&bytes).map_err(|error| error.to_string())?;
    if !auth::check(&shared.fleet_key, &challenge, &answer) {
        return Err("step=introduce: the fleet key differs".to_owned());
    }
    Ok(Some((answer.peer, socket)))
}
