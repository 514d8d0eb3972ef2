//! Frames between router processes: CBOR in binary WebSocket messages.

use serde::{Deserialize, Serialize};
use tarragon_model::host::Peer;
use tarragon_node::message::Message;
use tarragon_timeline::stamp::Stamp;

/// Largest frame that is accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// First frame of a connection, sent by the side that listens.
#[derive(Debug, Serialize, Deserialize)]
pub struct Challenge {
    /// Random bytes that the answer must cover.
    pub nonce: [u8; 32],
}

/// Answer to a [`Challenge`], sent by the side that connects.
#[derive(Debug, Serialize, Deserialize)]
pub struct Response {
    /// The connecting process.
    pub peer: Peer,
    /// HMAC-SHA-256 of nonce and peer with the fleet key.
    pub mac: Vec<u8>,
}

/// Every further frame, sent by the side that connects.
#[derive(Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Time stamp of the sender, which orders the time line.
    pub stamp: Stamp,
    /// The message.
    pub message: Message,
}

/// Error of a frame that cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame cannot be written.
    #[error("step=encode: {0}")]
    Encode(String),
    /// The frame cannot be read.
    #[error("step=decode: {0}")]
    Decode(String),
}

/// Encodes a value as one frame.
///
/// # Errors
///
/// Fails when the value has no CBOR form.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| Error::Encode(error.to_string()))?;
    Ok(bytes)
}

/// Decodes one frame.
///
/// # Errors
///
/// Fails when the bytes are not the CBOR form of a value of the type.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    ciborium::from_reader(bytes).map_err(|error| Error::Decode(error.to_string()))
}
