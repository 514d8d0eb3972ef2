//! Frames between router processes: CBOR in binary WebSocket messages.

use serde::{Deserialize, Serialize};
use tarragon_model::host::Peer;
use tarragon_node::message::Message;
use tarragon_timeline::stamp::Stamp;

/// Maximum size of an accepted frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// First frame of a connection, sent by the accepting side.
#[derive(Debug, Serialize, Deserialize)]
pub struct Challenge {
    /// Random bytes that the MAC of the response must cover.
    pub nonce: [u8; 32],
}

/// Response to a [`Challenge`], sent by the connecting side.
#[derive(Debug, Serialize, Deserialize)]
pub struct Response {
    /// The connecting process.
    pub peer: Peer,
    /// HMAC-SHA-256 of the nonce and the peer under the fleet key.
    pub mac: Vec<u8>,
}

/// Any later frame, sent by the connecting side.
#[derive(Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Logical timestamp of the sender, which orders the timeline.
    pub stamp: Stamp,
    /// The message.
    pub message: Message,
}

/// Error of encoding or decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The value cannot be encoded.
    #[error("step=encode: {0}")]
    Encode(String),
    /// The bytes cannot be decoded.
    #[error("step=decode: {0}")]
    Decode(String),
}

/// Encodes a value as one frame.
///
/// # Errors
///
/// [`Error::Encode`] if the value cannot be represented in CBOR.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| Error::Encode(error.to_string()))?;
    Ok(bytes)
}

/// Decodes one frame.
///
/// # Errors
///
/// [`Error::Decode`] if the bytes are not the CBOR encoding of a value of type `T`.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    ciborium::from_reader(bytes).map_err(|error| Error::Decode(error.to_string()))
}
