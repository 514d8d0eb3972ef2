//! The deterministic bodies of the stand-ins' answers, checked byte by byte.

use xxhash_rust::xxh3::xxh3_64;

/// Modulus of the byte pattern.
const MODULUS: u64 = 251;

/// Checks the body of one answer piece by piece, without keeping it.
#[derive(Clone, Debug)]
pub struct Check {
    offset: u64,
    received: u64,
}

impl Check {
    /// Creates the check of the answer to a request.
    #[must_use]
    pub fn new(request: &str) -> Self {
        Self {
            offset: xxh3_64(request.as_bytes()) % MODULUS,
            received: 0,
        }
    }

    /// Checks the next piece.
    ///
    /// ```
    /// use tarragon_lab::load::body::Check;
    ///
    /// assert!(!Check::new("r1").take(&[255]));
    /// ```
    pub fn take(&mut self, piece: &[u8]) -> bool {
        let start = self.offset + self.received;
        self.received += piece.len() as u64;
        let right = |(at, byte): (u64, &u8)| u64::from(*byte) == at % MODULUS;
        (start..).zip(piece).all(right)
    }

    /// Returns the number of bytes so far.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }
}
