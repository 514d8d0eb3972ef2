//! Verifies the deterministic response bodies of the stand-in backend servers byte by byte.

use xxhash_rust::xxh3::xxh3_64;

/// Modulus of the byte pattern: byte `i` is `(hash of the request identifier + i) % MODULUS`.
const MODULUS: u64 = 251;

/// Verifies one response body chunk by chunk without buffering it.
#[derive(Clone, Debug)]
pub struct Checker {
    offset: u64,
    received: u64,
}

impl Checker {
    /// Creates the checker of the response to a request identifier.
    #[must_use]
    pub fn new(request_id: &str) -> Self {
        Self {
            offset: xxh3_64(request_id.as_bytes()) % MODULUS,
            received: 0,
        }
    }

    /// Returns whether the next chunk matches the pattern.
    ///
    /// ```
    /// use tarragon_lab::load::body::Checker;
    ///
    /// assert!(!Checker::new("r1").check(&[255]));
    /// ```
    pub fn check(&mut self, chunk: &[u8]) -> bool {
        let start = self.offset + self.received;
        self.received += chunk.len() as u64;
        let matches = |(at, byte): (u64, &u8)| u64::from(*byte) == at % MODULUS;
        (start..).zip(chunk).all(matches)
    }

    /// Returns the number of bytes checked so far.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }
}
