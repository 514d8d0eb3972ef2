//! Zipf-distributed keys whose hot keys change during a run.

use rand::RngExt;
use rand::rngs::StdRng;

/// Number of distinct keys.
const KEYS: usize = 4_000;
/// Exponent of the Zipf distribution.
const SKEW: f64 = 1.0;
/// Offset by which the ranks shift over the keys at each rotation; coprime to [`KEYS`].
const STRIDE: u64 = 1_009;

/// Zipf distribution of keys, sampled by inverting the cumulative weights.
#[derive(Clone, Debug)]
pub struct Zipf {
    cumulative: Vec<f64>,
    /// Interval between rotations of the hot keys, in milliseconds.
    rotation_ms: u64,
}

impl Zipf {
    /// Creates the distribution; the hot keys change every `rotation_ms` milliseconds.
    #[must_use]
    pub fn new(rotation_ms: u64) -> Self {
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
            rotation_ms: rotation_ms.max(1),
        }
    }

    /// Draws a key at a time since the start of the load.
    pub fn draw(&self, rng: &mut StdRng, at_ms: u64) -> String {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let point = rng.random_range(0.0..total);
        let rank = self.cumulative.partition_point(|sum| *sum < point) as u64;
        let index = rank + (at_ms / self.rotation_ms) * STRIDE;
        format!("key-{}", index % KEYS as u64)
    }
}
