//! Rate of work as a decaying sum, robust to stragglers, with its standard error.
//!
//! A straggler says nothing about the work to come, so a sample counts at most [`CLIP`] times the
//! mean of its subject. The mean is taken over the counted samples, so a subject whose work is
//! large again and again is followed within a few requests.

use std::time::Duration;

/// Time over which work is averaged.
const WINDOW: Duration = Duration::from_secs(8);
/// Largest multiple of the subject's mean that a sample counts.
const CLIP: f64 = 4.0;
/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 1.0 / 16.0;

/// Work of one subject.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Meter {
    /// Decaying sum of work, in seconds at speed 1.
    pub(super) sum: f64,
    /// Variance of the sum.
    pub(super) variance: f64,
    mean: f64,
}

impl Meter {
    /// Creates a meter that holds a sum.
    pub(super) fn of(sum: f64) -> Self {
        Self {
            sum,
            ..Self::default()
        }
    }

    /// Adds the work of one request and returns what was counted of it.
    ///
    /// `usual` stands in for the mean of a subject that has none.
    pub(super) fn add(&mut self, work: f64, usual: f64) -> f64 {
        if self.mean <= 0.0 {
            self.mean = if usual > 0.0 { usual } else { work };
        }
        let counted = work.min(self.mean * CLIP);
        self.mean += (counted - self.mean) * MEAN_GAIN;
        self.sum += counted;
        self.variance += counted * counted;
        counted
    }

    /// Lets the sum decay over a span.
    pub(super) fn decay(&mut self, factor: f64) {
        self.sum *= factor;
        self.variance *= factor * factor;
    }

    /// Takes a part, from 0 to 1, out of the meter and returns it as a meter.
    pub(super) fn split(&mut self, part: f64) -> Self {
        let part = part.clamp(0.0, 1.0);
        let taken = Self {
            sum: self.sum * part,
            variance: self.variance * part,
            mean: self.mean,
        };
        self.sum -= taken.sum;
        self.variance -= taken.variance;
        taken
    }

    /// Returns the mean of the counted samples in seconds, zero before the first.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }
}

/// Returns the factor by which sums decay over a span.
pub(super) fn decay_factor(span: Duration) -> f64 {
    (-span.div_duration_f64(WINDOW)).exp()
}
