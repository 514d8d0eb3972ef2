//! Skewed keys, the hottest of which change while a run goes on.

use rand::RngExt;
use rand::rngs::StdRng;

/// Number of keys that callers choose from.
const KEYS: usize = 4_000;
/// Exponent of the Zipf distribution.
const SKEW: f64 = 1.0;
/// Step by which the ranks move over the keys at each change; prime to [`KEYS`].
const STRIDE: u64 = 1_009;

/// Zipf distribution of keys, by an inverse table.
#[derive(Clone, Debug)]
pub struct Zipf {
    cumulative: Vec<f64>,
    /// Time for which the hot keys stay the same, in milliseconds.
    stay_ms: u64,
}

impl Zipf {
    /// Creates the distribution; the hot keys change every `stay_ms`.
    #[must_use]
    pub fn new(stay_ms: u64) -> Self {
        let mut total = 0.0;
        let mut rank = 0.0;
        let mut sum = || {
            rank += 1.0;
            total += f64::powf(rank, -SKEW);
            total
        };
        let cumulative = std::iter::repeat_with(&mut sum).take(KEYS).collect();
        Self {
            cumulative,
            stay_ms: stay_ms.max(1),
        }
    }

    /// Draws a key at a time since the start of the load.
    pub fn draw(&self, rng: &mut StdRng, at_ms: u64) -> String {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let point = rng.random_range(0.0..total);
        let rank = self.cumulative.partition_point(|sum| *sum < point) as u64;
        let moved = rank + (at_ms / self.stay_ms) * STRIDE;
        format!("key-{}", moved % KEYS as u64)
    }
}
