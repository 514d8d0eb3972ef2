//! Median over a sliding window of samples, used by the robust estimates of this crate.

use smallvec::SmallVec;

/// Maximum number of samples in a window.
const MAX_SAMPLES: usize = 31;

/// Sliding window over the samples of one quantity, with their median.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    samples: SmallVec<[f32; MAX_SAMPLES]>,
    next: usize,
    median: f32,
}

impl Window {
    /// Adds a sample; a full window drops its oldest one.
    pub(crate) fn push(&mut self, sample: f32) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
            self.next = (self.next + 1) % MAX_SAMPLES;
        }
        self.median = median(&self.samples);
    }

    /// Returns the median, or `None` while there are fewer than `min_samples` samples.
    pub(crate) fn median(&self, min_samples: usize) -> Option<f32> {
        (self.samples.len() >= min_samples.max(1)).then_some(self.median)
    }

    /// Drops all samples.
    pub(crate) fn clear(&mut self) {
        self.samples.clear();
        self.next = 0;
    }
}

/// Returns the median of a few samples (the upper one of an even number), or zero for none.
pub(crate) fn median(samples: &[f32]) -> f32 {
    let mut sorted: SmallVec<[f32; MAX_SAMPLES]> = SmallVec::from_slice(samples);
    if sorted.is_empty() {
        return 0.0;
    }
    let middle = sorted.len() / 2;
    let (_, median, _) = sorted.select_nth_unstable_by(middle, f32::total_cmp);
    *median
}
