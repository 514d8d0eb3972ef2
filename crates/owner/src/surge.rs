//! Recognizes key ranges whose request rate changes clearly faster than the averages follow.

use std::ops::Range;
use std::time::Duration;

use tarragon_model::time::Instant;

use crate::plan::MAX_KEY;

/// Number of keys that are judged together. Single keys have too few requests for a judgment.
pub(crate) const BLOCK_KEYS: usize = 64;
/// Ratio of the recent to the average rate at which a surge begins. The lumps of a single host's
/// reports make up to 1.6.
const START_RATIO: f64 = 2.0;
/// Ratio below which a surge has ended, since the average has caught up.
const END_RATIO: f64 = 1.2;
/// Difference between the recent and the average rate, in standard errors, at which a trend begins.
const MIN_DEVIATION: f64 = 4.0;
/// Minimum number of recent requests of a surge. In a service with 900 requests per second spread
/// evenly, a block has 0.3 within the time that the recent count covers.
const MIN_COUNT: f64 = 5.0;
/// Number of recent requests from which a range may be at the beginning of a surge. Ranges that are
/// cut by so few requests would be wrong, and could not be cut again until they have moved.
const MIN_SUSPECT_COUNT: f64 = 3.0;
/// Number of requests of a surge for which the next plan does not wait. A third of a second's worth of
/// requests of the hot keys is needed to tell where they are.
const MIN_URGENT_COUNT: f64 = 15.0;
/// Number of neighbors on each side that a key is compared with.
const NEIGHBORS: usize = 8;
/// Time after the last clear change of a rate for which the load is not calm: hot keys change every
/// few seconds.
const CALM_TIME: Duration = Duration::from_secs(5);
/// Time from the start until the averages represent the load.
const LEARN_TIME: Duration = Duration::from_secs(2);
/// Time from the first reports of a surge until its recent rate is complete.
const RISE_TIME: Duration = Duration::from_millis(500);
/// Time from its first reports for which a surge is new: keys may move again soon, since the first cuts
/// were made from few requests.
const SURGE_TIME: Duration = Duration::from_millis(1_500);
/// Largest factor by which the rate of a surge is extrapolated while reports are incomplete.
const MAX_EXTRAPOLATION: f64 = 2.5;

/// Returns the block of a key.
pub(crate) fn block(key: u16) -> usize {
    usize::from(key) / BLOCK_KEYS
}

/// Trend of one block's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trend {
    Steady,
    /// Above the average, but with too few requests to tell how its keys differ.
    Suspect,
    /// Clearly above the average since the given time.
    Rising(Instant),
    /// Clearly below the average.
    Falling,
}

/// Trends of all blocks.
#[derive(Debug)]
pub(crate) struct Trends {
    blocks: Vec<Trend>,
    /// Recent and average count of each block at the last update, and requests added since.
    counts: Vec<(f64, f64, f64)>,
    spans: (f64, f64),
    new_surge: bool,
    changed_at: Option<Instant>,
    started_at: Instant,
}

impl Trends {
    pub(crate) fn new(now: Instant) -> Self {
        let blocks = block(MAX_KEY) + 1;
        Self {
            blocks: vec![Trend::Steady; blocks],
            counts: vec![(0.0, 0.0, 0.0); blocks],
            spans: (1.0, 1.0),
            new_surge: false,
            changed_at: None,
            started_at: now,
        }
    }

    /// Notes requests for a key, to recognize a surge between two updates.
    pub(crate) fn add(&mut self, key: u16, requests: f32) {
        let block = block(key);
        let (average, recent, added) = &mut self.counts[block];
        *added += f64::from(requests);
        if matches!(self.blocks[block], Trend::Steady | Trend::Suspect)
            && *recent + *added >= MIN_URGENT_COUNT
            && rises(*average + *added, *recent + *added, self.spans)
        {
            self.new_surge = true;
        }
    }

    /// Updates the trends from the average and recent counts of all blocks, and the times that these
    /// represent.
    pub(crate) fn update(
        &mut self,
        counts: impl Iterator<Item = (f64, f64)>,
        spans: (f64, f64),
        now: Instant,
    ) {
        // Without an average of the time before, all traffic looks like a surge.
        let warm = now.since(self.started_at) >= LEARN_TIME;
        self.spans = spans;
        self.new_surge = false;
        for (block, (average, recent)) in counts.enumerate() {
            self.counts[block] = (average, recent, 0.0);
            if !warm {
                continue;
            }
            let ratio = (recent / spans.1) / (average / spans.0).max(f64::MIN_POSITIVE);
            let trend = &mut self.blocks[block];
            *trend = match *trend {
                Trend::Rising(since) if ratio > END_RATIO => Trend::Rising(since),
                _ if rises(average, recent, spans) => Trend::Rising(now),
                _ if recent >= MIN_SUSPECT_COUNT && ratio >= START_RATIO => Trend::Suspect,
                _ if falls(average, recent, spans) => Trend::Falling,
                _ => Trend::Steady,
            };
            if matches!(trend, Trend::Rising(_) | Trend::Falling) {
                self.changed_at = Some(now);
            }
        }
        if warm {
            self.extend_surges(now);
        }
    }

    /// Extends surges to neighboring blocks with less evidence: a hot range may end within them.
    fn extend_surges(&mut self, now: Instant) {
        let before = self.blocks.clone();
        let rising = |at: usize| matches!(before.get(at), Some(Trend::Rising(_)));
        for (block, trend) in self.blocks.iter_mut().enumerate() {
            let (average, recent, _) = self.counts[block];
            let ratio = (recent / self.spans.1) / (average / self.spans.0).max(f64::MIN_POSITIVE);
            let near = rising(block + 1) || block.checked_sub(1).is_some_and(rising);
            if matches!(trend, Trend::Steady | Trend::Suspect) && near && ratio > END_RATIO {
                *trend = Trend::Rising(now);
            }
        }
    }

    pub(crate) fn has_new_surge(&self) -> bool {
        self.new_surge
    }

    /// Returns the factor for the recent rate of a block, or `None` if its average rate counts.
    pub(crate) fn scale(&self, block: usize, now: Instant) -> Option<f64> {
        match self.blocks[block] {
            Trend::Steady | Trend::Suspect => None,
            Trend::Falling => Some(1.0),
            Trend::Rising(since) => {
                let part = now.since(since).as_secs_f64() / RISE_TIME.as_secs_f64();
                Some(MAX_EXTRAPOLATION + (1.0 - MAX_EXTRAPOLATION) * part.min(1.0))
            }
        }
    }

    /// Returns whether each block, or one beside it, is in a new surge: a hot range may begin in it with few
    /// keys.
    pub(crate) fn rising(&self, now: Instant) -> Vec<bool> {
        let rising = |at: usize| {
            let trend = self.blocks.get(at);
            matches!(trend, Some(Trend::Rising(since)) if now.since(*since) < SURGE_TIME)
        };
        let near =
            |at: usize| rising(at) || rising(at + 1) || at.checked_sub(1).is_some_and(rising);
        (0..self.blocks.len()).map(near).collect()
    }

    /// Returns whether each block may be at the beginning of a surge.
    pub(crate) fn suspect(&self) -> Vec<bool> {
        let suspect = |trend: &Trend| *trend == Trend::Suspect;
        self.blocks.iter().map(suspect).collect()
    }

    pub(crate) fn is_calm(&self, now: Instant) -> bool {
        self.changed_at.is_none_or(|at| now.since(at) >= CALM_TIME)
    }
}

/// Returns the recent counts of some keys, those that chance explains averaged over their neighbors.
///
/// At the first plan of a surge, a hot key has had one request or none: the counts tell which range
/// is hot, but not yet how its keys differ. A key that is far above its neighbors keeps its count.
pub(crate) fn smoothed(counts: &[f32], keys: Range<usize>) -> impl Iterator<Item = f64> {
    keys.map(|key| {
        let window = key.saturating_sub(NEIGHBORS)..(key + NEIGHBORS + 1).min(counts.len());
        let neighbors = &counts[window];
        let max = neighbors.iter().copied().fold(0.0, f32::max);
        let sum = f64::from(neighbors.iter().sum::<f32>());
        let others = neighbors.len().saturating_sub(1).max(1);
        let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
        let mean = (sum - f64::from(max)) / others;
        let explained = mean + 3.0 * mean.sqrt() + 1.0;
        let count = f64::from(counts[key]);
        if count > explained {
            count
        } else if f64::from(max) > explained {
            mean
        } else {
            sum / (others + 1.0)
        }
    })
}

fn rises(average: f64, recent: f64, spans: (f64, f64)) -> bool {
    let (rate, recent_rate) = (average / spans.0, recent / spans.1);
    recent >= MIN_COUNT
        && recent_rate >= rate * START_RATIO
        && recent_rate - rate >= MIN_DEVIATION * standard_error(rate, spans.1)
}

fn falls(average: f64, recent: f64, spans: (f64, f64)) -> bool {
    let (rate, recent_rate) = (average / spans.0, recent / spans.1);
    // Between two reports of a single host, the recent rate falls to 0.6 of the average.
    average >= MIN_COUNT
        && recent_rate * START_RATIO * 1.5 <= rate
        && rate - recent_rate >= MIN_DEVIATION / 2.0 * standard_error(rate, spans.1)
}

/// Returns the standard error of a rate that is averaged with exponential decay over `span`.
fn standard_error(rate: f64, span: f64) -> f64 {
    (rate / (2.0 * span)).sqrt()
}
