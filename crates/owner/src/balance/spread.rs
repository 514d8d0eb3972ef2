//! Spreads hot ranges and hot keys over as many servers as they need, in one plan.

use super::{Draft, MIN_SPEEDUP, Range, SATURATED};

/// Utilization, relative to the mean, above which a server's hot ranges are spread.
const HOT_RATIO: f64 = 1.5;
/// Minimum excess over the mean utilization of such a server.
const MIN_HOT_EXCESS: f64 = 0.2;
/// Load per key, relative to the mean of all keys, above which keys are hot. Only narrow ranges
/// carry much load then.
const HOT_DENSITY: f64 = 8.0;
/// Maximum load of a piece of a hot range, relative to the mean load of a server, unless it is a
/// single key.
const MAX_HOT_PIECE: f64 = 0.5;
/// The same in a surge, relative to that: not all of its requests have been reported.
const RISING_PART: f64 = 0.5;
/// Minimum load of a piece, relative to the mean load of a server. A key with a single request in the
/// recent past carries less.
const MIN_HOT_PIECE: f64 = 0.2;
/// Load of a receiver, relative to the mean load of a server, up to which fast servers are
/// preferred: no server should get more than two and a half times the mean.
const MAX_RECEIVER_LOAD: f64 = 2.4;
/// Load of a server, relative to the mean, above which it gives hot keys away although it may have time
/// for them.
const MAX_LOAD: f64 = 2.2;
/// Load that stays at a server whose hot ranges are spread, relative to the mean utilization.
const RETAINED_RATIO: f64 = 1.1;
/// Number of segments for each server up to which ranges are split.
const MAX_SEGMENTS_PER_SERVER: usize = 3;
/// Number of segments up to which ranges are split, however few servers there are.
const MIN_SEGMENTS: usize = 64;
/// Maximum number of pieces that one plan spreads.
const MAX_SPREAD: usize = 256;

impl Draft<'_> {
    /// Moves pieces of hot ranges from overloaded servers to those that can take them.
    pub(super) fn spread_hot_ranges(&mut self) {
        let throughput: f64 = (0..self.loads.len()).map(|at| self.throughput(at)).sum();
        let mean = self.loads.iter().sum::<f64>() / throughput;
        let crowded = self.mean_load() * MAX_LOAD;
        let unsettled = !self.inputs.rates.is_calm();
        let is_hot = |draft: &Self, index: usize| {
            // A server counts as hot by what chance does not explain.
            let load = draft.loads[index] - draft.noise(draft.loads[index]);
            let busy = load / draft.throughput(index);
            let overloaded = busy > mean * HOT_RATIO && busy > mean + MIN_HOT_EXCESS;
            if unsettled {
                overloaded || load > crowded
            } else {
                overloaded && busy > SATURATED
            }
        };
        let mut sources: Vec<usize> = (0..self.loads.len())
            .filter(|index| is_hot(self, *index))
            .collect();
        let busyness = |index: &usize| self.busyness(*index, 0.0);
        sources.sort_by(|left, right| busyness(right).total_cmp(&busyness(left)));
        let limit = self.max_segments();
        let mut left = MAX_SPREAD;
        for source in sources {
            for range in self.hot_pieces(source) {
                let relieved = self.busyness(source, 0.0) <= mean * RETAINED_RATIO;
                if left == 0
                    || self.pieces.len() >= limit
                    || (relieved && self.loads[source] <= crowded)
                {
                    break;
                }
                if self.move_piece(range, source) {
                    left -= 1;
                }
            }
        }
    }

    /// Moves a hot range to the best receiver, if it is clearly better off there or the source is
    /// crowded and the receiver is not.
    fn move_piece(&mut self, range: Range, source: usize) -> bool {
        let load = self.load(range.from, range.to);
        let Some(target) = self.receiver(load, source) else {
            return false;
        };
        let (before, after) = (self.busyness(source, 0.0), self.busyness(target, load));
        let relieves = !self.inputs.rates.is_calm()
            && self.loads[source] > self.mean_load() * MAX_LOAD
            && self.loads[target] + load <= self.mean_load() * MAX_RECEIVER_LOAD
            && after <= before.max(SATURATED);
        if after * MIN_SPEEDUP >= before && !relieves {
            return false;
        }
        // Pieces moved before have split the segment.
        let position = self
            .pieces
            .partition_point(|piece| piece.segment.to < range.from);
        self.move_range(Range { position, ..range }, source, target);
        true
    }

    /// Returns the server that would be least busy with an additional load, first among those that
    /// would not get much more than the mean load.
    fn receiver(&self, load: f64, source: usize) -> Option<usize> {
        let max_load = self.mean_load() * MAX_RECEIVER_LOAD;
        let others = (0..self.loads.len()).filter(|index| *index != source);
        let crowded = |at: usize| self.loads[at] + load > max_load;
        others.min_by(|left, right| {
            let by_crowd = crowded(*left).cmp(&crowded(*right));
            let (left, right) = (self.busyness(*left, load), self.busyness(*right, load));
            by_crowd.then(left.total_cmp(&right))
        })
    }

    /// Returns the fraction of a server's time that its load and an additional one take.
    fn busyness(&self, index: usize, load: f64) -> f64 {
        (self.loads[index] + load) / self.throughput(index)
    }

    fn throughput(&self, index: usize) -> f64 {
        self.inputs.candidates[index].throughput.max(0.01)
    }

    /// Returns the number of segments up to which ranges are split.
    pub(super) fn max_segments(&self) -> usize {
        (self.loads.len() * MAX_SEGMENTS_PER_SERVER).max(MIN_SEGMENTS)
    }

    pub(super) fn mean_load(&self) -> f64 {
        self.loads.iter().sum::<f64>() / f64::from(self.count())
    }

    /// Returns the utilization of a server by its keys that are not hot.
    pub(super) fn base_utilization(&self, index: usize) -> f64 {
        let min_density = self.min_hot_density();
        let segments = self.pieces.iter().filter(|p| p.holder == Some(index));
        let keys = segments.flat_map(|piece| piece.segment.from..=piece.segment.to);
        let loads = keys.map(|key| self.load(key, key));
        loads.filter(|load| *load < min_density).sum::<f64>() / self.capacity(index)
    }

    /// Returns the load of a key above which it is hot.
    fn min_hot_density(&self) -> f64 {
        self.load(0, u16::MAX) / (f64::from(u16::MAX) + 1.0) * HOT_DENSITY
    }

    /// Returns the hot ranges of a server in pieces that one server can take, densest first.
    fn hot_pieces(&self, source: usize) -> Vec<Range> {
        let mean_load = self.mean_load();
        let (min_load, max_load) = (mean_load * MIN_HOT_PIECE, mean_load * MAX_HOT_PIECE);
        // A large surge is cut more coarsely, so that its pieces use half of the segments that are
        // left; what is still too heavy then is cut again.
        let segments = (self.max_segments().saturating_sub(self.pieces.len()) / 2).max(1);
        let least = self.loads[source] / f64::from(u32::try_from(segments).unwrap_or(u32::MAX));
        let rates = self.inputs.rates;
        let density = |from: u16, to: u16| self.load(from, to) / (f64::from(to - from) + 1.0);
        let min_density = self.min_hot_density();
        let mut ranges: Vec<Range> = Vec::new();
        for (position, segment) in self.movable_of(source) {
            let mut open: Option<Range> = None;
            for key in segment.from..=segment.to {
                let max_load = if rates.is_surging(key, key) {
                    (max_load * RISING_PART).max(least)
                } else {
                    max_load.max(least)
                };
                if let Some(range) = &mut open
                    && self.load(range.from, key) <= max_load
                    && density(range.from, key) >= min_density
                {
                    range.to = key;
                    continue;
                }
                ranges.extend(open.take());
                if density(key, key) >= min_density {
                    let (from, to) = (key, key);
                    open = Some(Range { position, from, to });
                }
            }
            ranges.extend(open);
        }
        let mut weighed: Vec<(f64, Range)> = ranges
            .into_iter()
            .filter(|range| {
                let surging = rates.is_surging(range.from, range.to);
                let part = if surging { RISING_PART / 2.0 } else { 1.0 };
                self.load(range.from, range.to) >= min_load * part
            })
            .map(|range| (density(range.from, range.to), range))
            .collect();
        weighed.sort_by(|left, right| right.0.total_cmp(&left.0));
        weighed.into_iter().map(|(_, range)| range).collect()
    }
}
