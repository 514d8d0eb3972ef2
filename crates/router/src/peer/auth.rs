//! Authentication of other routers by the shared fleet key.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use tarragon_model::host::Peer;

use crate::wire::{Challenge, Response};

/// Returns the HMAC-SHA-256 of `parts` under the fleet key.
///
/// Each part is preceded by its length as 8 bytes in big-endian order.
#[must_use]
pub fn sign(key: &[u8], parts: &[&[u8]]) -> Vec<u8> {
    let mut mac = new_mac(key);
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().to_vec()
}

/// Returns whether `code` is the result of [`sign`] for the same key and parts, in constant time.
///
/// ```
/// use tarragon_router::peer::auth::{sign, verify};
///
/// let code = sign(b"key", &[b"nonce", b"h1"]);
/// assert!(verify(b"key", &[b"nonce", b"h1"], &code));
/// assert!(!verify(b"other", &[b"nonce", b"h1"], &code));
/// ```
#[must_use]
pub fn verify(key: &[u8], parts: &[&[u8]], code: &[u8]) -> bool {
    let mut mac = new_mac(key);
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac.verify_slice(code).is_ok()
}

/// Returns the response of the process `me` to a challenge.
#[must_use]
pub fn respond(key: &[u8], challenge: &Challenge, me: &Peer) -> Response {
    let name = me.to_string();
    Response {
        peer: me.clone(),
        mac: sign(key, &[&challenge.nonce, name.as_bytes()]),
    }
}

/// Returns whether the response to a challenge proves knowledge of the fleet key.
#[must_use]
pub fn verify_response(key: &[u8], challenge: &Challenge, response: &Response) -> bool {
    let name = response.peer.to_string();
    verify(key, &[&challenge.nonce, name.as_bytes()], &response.mac)
}

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so the error cannot occur.
    Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("any key length is valid"))
}
