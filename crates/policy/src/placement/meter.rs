//! Work of a group or key as a decaying sum with its variance, robust to stragglers.
//!
//! A straggler does not predict future work, so a sample is clipped to [`MAX_MEAN_MULTIPLE`] times
//! the mean. The mean is taken over the clipped samples, so it adapts within a few requests if
//! the work stays high.

use std::time::Duration;

/// Time constant of the decaying sum.
const WINDOW: Duration = Duration::from_secs(8);
/// Samples are clipped to this multiple of the mean.
const MAX_MEAN_MULTIPLE: f64 = 4.0;
/// Weight of a new sample in the running mean.
const MEAN_GAIN: f64 = 1.0 / 16.0;

/// Work of one group or key.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Meter {
    /// Decaying sum of the clipped work, in seconds at speed 1.
    pub(super) sum: f64,
    /// Variance of the sum, in seconds squared.
    pub(super) variance: f64,
    mean: f64,
}

impl Meter {
    /// Creates a meter with a given sum and no variance.
    pub(super) fn with_sum(sum: f64) -> Self {
        Self {
            sum,
            ..Self::default()
        }
    }

    /// Adds the work of one request and returns its clipped value, in seconds.
    ///
    /// `fallback_mean` is the initial mean of a meter without samples.
    pub(super) fn add(&mut self, work: f64, fallback_mean: f64) -> f64 {
        if self.mean <= 0.0 {
            self.mean = if fallback_mean > 0.0 {
                fallback_mean
            } else {
                work
            };
        }
        let clipped = work.min(self.mean * MAX_MEAN_MULTIPLE);
        self.mean += (clipped - self.mean) * MEAN_GAIN;
        self.sum += clipped;
        self.variance += clipped * clipped;
        clipped
    }

    /// Multiplies the sum by a factor from [`decay_factor`], and the variance by its square.
    pub(super) fn decay(&mut self, factor: f64) {
        self.sum *= factor;
        self.variance *= factor * factor;
    }

    /// Moves a share of the sum, from 0 to 1, into a new meter.
    pub(super) fn split(&mut self, share: f64) -> Self {
        let share = share.clamp(0.0, 1.0);
        let taken = Self {
            sum: self.sum * share,
            variance: self.variance * share,
            mean: self.mean,
        };
        self.sum -= taken.sum;
        self.variance -= taken.variance;
        taken
    }

    /// Returns the mean of the clipped samples in seconds, or zero without samples.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }
}

/// Returns the factor by which sums decay over a time span.
pub(super) fn decay_factor(span: Duration) -> f64 {
    (-span.div_duration_f64(WINDOW)).exp()
}
