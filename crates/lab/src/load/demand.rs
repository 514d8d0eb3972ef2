//! Demand that switches between levels every 0.4 to 2.5 seconds.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Range of the duration of one level, in milliseconds.
const LEVEL_DURATION_MS: std::ops::Range<u64> = 400..2_500;
/// Factors by which the levels multiply the base rate.
const LEVELS: [f64; 6] = [0.3, 0.6, 1.0, 1.0, 2.0, 3.0];

/// Levels of demand over a run, determined by the seed.
#[derive(Clone, Debug)]
pub struct Demand {
    /// End of each level, in milliseconds since the start of the load, and its factor.
    levels: Vec<(u64, f64)>,
}

impl Demand {
    /// Draws the levels for a run of `seconds`.
    #[must_use]
    pub fn draw(seed: u64, seconds: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut end_ms = 0;
        let mut levels = Vec::new();
        while end_ms < seconds * 1_000 {
            end_ms += rng.random_range(LEVEL_DURATION_MS);
            levels.push((end_ms, LEVELS[rng.random_range(0..LEVELS.len())]));
        }
        Self { levels }
    }

    /// Returns the factor at a time since the start of the load; 1 after the last level.
    ///
    /// ```
    /// use tarragon_lab::load::demand::Demand;
    ///
    /// assert!(Demand::draw(1, 10).factor(500) > 0.0);
    /// ```
    #[must_use]
    pub fn factor(&self, at_ms: u64) -> f64 {
        let index = self.levels.partition_point(|(end_ms, _)| *end_ms <= at_ms);
        self.levels.get(index).map_or(1.0, |(_, factor)| *factor)
    }
}
