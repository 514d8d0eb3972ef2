//! Median over the latest samples, the base of every robust estimate in this crate.

use smallvec::SmallVec;

/// Samples that a window holds at most.
const LENGTH: usize = 31;

/// Latest samples of one quantity and their median.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    samples: SmallVec<[f32; LENGTH]>,
    next: usize,
    median: f32,
}

impl Window {
    /// Adds a sample and drops the oldest of a full window.
    pub(crate) fn push(&mut self, sample: f32) {
        if self.samples.len() < LENGTH {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
            self.next = (self.next + 1) % LENGTH;
        }
        self.median = median(&self.samples);
    }

    /// Returns the median, or `None` while there are fewer than `least` samples.
    pub(crate) fn median(&self, least: usize) -> Option<f32> {
        (self.samples.len() >= least.max(1)).then_some(self.median)
    }

    /// Forgets every sample.
    pub(crate) fn clear(&mut self) {
        self.samples.clear();
        self.next = 0;
    }
}

/// Returns the median of a few samples, zero for none.
pub(crate) fn median(samples: &[f32]) -> f32 {
    let mut sorted: SmallVec<[f32; LENGTH]> = SmallVec::from_slice(samples);
    if sorted.is_empty() {
        return 0.0;
    }
    let middle = sorted.len() / 2;
    let (_, median, _) = sorted.select_nth_unstable_by(middle, f32::total_cmp);
    *median
}
