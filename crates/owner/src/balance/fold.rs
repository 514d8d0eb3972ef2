//! Keeps the number of segments low: each is renewed on its own.

use super::{Draft, Piece};
use crate::plan::Segment;

/// Number of servers for each of which one segment more than the servers' number is left as it is.
const SPARE_PART: usize = 4;
/// Number of segments up to which light ones stay where they are, however few servers there are.
const MIN_SEGMENTS: usize = 32;
/// Maximum number of light segments that one plan moves to a neighbor's holder.
const MAX_FOLDS: usize = 64;
/// Minimum number of such segments in a plan that changes nothing else.
const MIN_FOLDS: usize = 8;
/// Maximum load of such a segment, relative to the mean load of a server. In a service with 6
/// requests per second at each server, a single request in the recent past is a tenth.
const MAX_FOLDED_LOAD: f64 = 0.3;
/// Ratio of the mean number of keys of a server to that of such a segment, at least: the cost of a
/// move grows with the number of keys.
const NARROW: usize = 3;
/// Utilization of a server, relative to the mean, up to which segments are moved to it.
const MAX_RECEIVER_RATIO: f64 = 1.1;

impl Piece {
    /// Returns whether the plan `sequence` moves both pieces from one segment to the same server.
    fn moved_with(&self, next: &Self, sequence: u64) -> bool {
        let (this, next) = (&self.segment, &next.segment);
        this.fence == sequence
            && next.fence == sequence
            && this.holder == next.holder
            && this.previous.is_some()
            && this.previous == next.previous
    }
}

impl Draft<'_> {
    /// Moves the narrowest light segments to the holder of a neighboring one, once there are many.
    ///
    /// Moves for load leave ever smaller segments behind, each with its own renewals.
    pub(super) fn fold_fragments(&mut self) {
        let servers = self.loads.len();
        let limit = (servers + servers / SPARE_PART).max(MIN_SEGMENTS);
        let before = self.pieces.len();
        self.join_neighbors();
        self.changed |= before - self.pieces.len() >= MIN_FOLDS;
        let excess = self.pieces.len().saturating_sub(limit);
        if excess < MIN_FOLDS && !self.changed {
            return;
        }
        let mut fragments: Vec<usize> = (0..self.pieces.len())
            .filter(|position| self.is_fragment(*position))
            .collect();
        fragments.sort_by_key(|position| {
            let segment = &self.pieces[*position].segment;
            (segment.to - segment.from, *position)
        });
        if fragments.len() < MIN_FOLDS && !self.changed {
            return;
        }
        for position in fragments.into_iter().take(excess.min(MAX_FOLDS)) {
            let Some(target) = self.neighbor(position) else {
                continue;
            };
            let segment = self.pieces[position].segment.clone();
            if let Some(source) = self.pieces[position].holder {
                self.loads[source] -= self.load(segment.from, segment.to);
            }
            self.assign(&segment, segment.from, segment.to, target);
            if let Some(moved) = self.pieces.pop() {
                self.pieces[position] = moved;
            }
            self.changed = true;
        }
    }

    /// Returns whether the segment at `position` is light, not wider than the mean, and may be moved.
    fn is_fragment(&self, position: usize) -> bool {
        let Piece {
            segment, movable, ..
        } = &self.pieces[position];
        let width = usize::from(segment.to - segment.from);
        let mean_load = self.mean_load();
        *movable
            && !self.inputs.rates.is_surging(segment.from, segment.to)
            && width * NARROW <= usize::from(u16::MAX) / self.loads.len()
            && self.load(segment.from, segment.to) <= MAX_FOLDED_LOAD * mean_load
            && self.neighbor(position).is_some()
    }

    /// Returns the candidate that holds the keys before or after a segment, if it is another one
    /// than the segment's.
    fn neighbor(&self, position: usize) -> Option<usize> {
        let own = self.pieces[position].holder;
        let before = position.checked_sub(1).and_then(|at| self.pieces.get(at));
        let neighbors = before.into_iter().chain(self.pieces.get(position + 1));
        let mut holders = neighbors.filter_map(|piece| piece.holder);
        let max = self.mean_utilization() * MAX_RECEIVER_RATIO;
        let segment = &self.pieces[position].segment;
        let load = self.load(segment.from, segment.to);
        holders.find(|holder| {
            Some(*holder) != own && (self.loads[*holder] + load) / self.capacity(*holder) <= max
        })
    }

    /// Joins neighboring segments of the same holder: every segment is renewed on its own.
    fn join_neighbors(&mut self) {
        let pieces = std::mem::take(&mut self.pieces);
        let mut joined: Vec<Piece> = Vec::with_capacity(pieces.len());
        for piece in pieces {
            // Only a candidate that has accepted its keys has no former holder to wait for.
            let settled = piece.settled && piece.holder.is_some();
            match joined.last_mut() {
                Some(last) if last.moved_with(&piece, self.sequence) => {
                    last.segment.to = piece.segment.to;
                }
                Some(last)
                    if settled
                        && last.holder == piece.holder
                        && (last.segment.joined_in(self.sequence) || last.settled) =>
                {
                    *last = Piece {
                        segment: Segment {
                            from: last.segment.from,
                            to: piece.segment.to,
                            fence: self.sequence,
                            holder: piece.segment.holder.clone(),
                            previous: (self.inputs.previous)(&piece.segment),
                        },
                        holder: piece.holder,
                        movable: false,
                        settled: false,
                    };
                }
                _ => joined.push(piece),
            }
        }
        self.pieces = joined;
    }
}
