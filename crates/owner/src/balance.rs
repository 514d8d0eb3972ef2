//! Computes the next plan: which keys move, and to which backend server.
//!
//! Keys of leaving and lost servers are reassigned first. Beyond that, keys move only when one
//! server is clearly busier than the mean. The narrowest range that carries the excess load is
//! moved, since the cost of a move grows with the number of keys and not with their traffic.

use std::collections::HashMap;

use crate::loads::{self, Rates};
use crate::plan::{Holder, Plan, PreviousHolder, Segment};

mod fold;
mod spread;

/// Backend server that can be assigned keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Current incarnation of the server.
    pub holder: Holder,
    /// Share of the load that it is assigned, in slots of a server of mean speed.
    pub capacity: f64,
    /// Requests that it completes in the time in which a slot of mean speed completes one.
    pub throughput: f64,
}

/// Input to [`next_plan`].
pub struct Inputs<'a> {
    /// Servers that accept keys.
    pub candidates: &'a [Candidate],
    /// Requests per second of each key.
    pub rates: &'a Rates,
    /// Processing time of a request on a server of mean speed, in seconds.
    pub request_time_s: f64,
    /// Lower bound of the next plan's sequence number.
    pub min_sequence: u64,
    /// Whether a segment's keys are not being transferred and were not moved recently.
    pub movable: &'a dyn Fn(&Segment) -> bool,
    /// Whether a segment's holder has accepted its keys and nothing else is to be done for them.
    pub settled: &'a dyn Fn(&Segment) -> bool,
    /// Server that may still hold a segment's keys and must give them up before the next holder is
    /// granted them.
    pub previous: &'a dyn Fn(&Segment) -> Option<PreviousHolder>,
}

/// Utilization, relative to the mean, above which a server gives keys away.
const OVERLOAD_RATIO: f64 = 1.12;
/// Excess over the mean utilization below which nothing moves, as a fraction of the server's slots.
const MIN_EXCESS: f64 = 0.04;
/// Utilization, relative to the mean, below which a server is given keys.
const UNDERLOAD_RATIO: f64 = 0.4;
/// Utilization, relative to the mean, below which a server counts as new: it is given keys however
/// little traffic there is.
const EMPTY_RATIO: f64 = 0.1;
/// Maximum number of load-driven transfers in one plan.
const MAX_MOVES: usize = 10;
/// Utilization above which a server's heaviest key may move to a faster server.
const SATURATED: f64 = 0.8;
/// Minimum speedup that the faster server must be expected to bring.
const MIN_SPEEDUP: f64 = 1.3;
/// Fraction of the faster server's current load that counts against it. Most of that load can be
/// moved away later.
const RETAINED_LOAD: f64 = 0.4;
/// Difference of a server's load from the mean below which nothing moves, in standard errors: a server
/// with few requests per second would give keys away and get them back by chance.
const MIN_DEVIATION: f64 = 2.0;
/// Utilization above which a server gives wide ranges away while hot keys come and go. Below it, a
/// server serves its keys in time until the hot keys change again.
const UNSETTLED_OVERLOAD: f64 = 1.0;
/// Maximum load of one piece of a leaving server's keys, relative to the mean load of a server.
const MAX_PIECE: f64 = 0.34;
/// Minimum load of a range that is moved because none carries enough of the load to be moved, in
/// slots.
const MIN_MOVED_LOAD: f64 = 0.2;
/// Minimum and maximum load of a moved range, relative to the load to be moved.
const MOVED_PART: (f64, f64) = (0.5, 1.15);

/// Returns the next plan, or `None` if the current plan needs no change.
#[must_use]
pub fn next_plan(plan: &Plan, inputs: &Inputs<'_>) -> Option<Plan> {
    if inputs.candidates.is_empty() {
        return None;
    }
    let mut draft = Draft::new(plan, inputs);
    draft.reassign_unavailable();
    draft.spread_hot_ranges();
    draft.move_saturating_key();
    draft.even_out_load();
    draft.finish()
}

/// Segment of a plan under construction.
#[derive(Clone)]
struct Piece {
    segment: Segment,
    /// Candidate that holds the keys, if it still accepts keys.
    holder: Option<usize>,
    /// Whether the keys may be assigned to another server by this plan.
    movable: bool,
    /// Whether the holder has accepted the keys.
    settled: bool,
}

/// Plan under construction, with the resulting load of each candidate.
struct Draft<'a> {
    inputs: &'a Inputs<'a>,
    indices: HashMap<&'a Holder, usize>,
    sequence: u64,
    pieces: Vec<Piece>,
    loads: Vec<f64>,
    changed: bool,
}

impl<'a> Draft<'a> {
    fn new(plan: &Plan, inputs: &'a Inputs<'a>) -> Self {
        let holders = inputs.candidates.iter().map(|candidate| &candidate.holder);
        let mut draft = Self {
            inputs,
            indices: holders
                .enumerate()
                .map(|(at, holder)| (holder, at))
                .collect(),
            sequence: inputs.min_sequence.max(plan.sequence + 1),
            pieces: Vec::with_capacity(plan.segments.len()),
            loads: vec![0.0; inputs.candidates.len()],
            changed: false,
        };
        for segment in &plan.segments {
            let holder = draft.indices.get(&segment.holder).copied();
            if let Some(index) = holder {
                draft.loads[index] += draft.load(segment.from, segment.to);
            }
            draft.pieces.push(Piece {
                segment: segment.clone(),
                holder,
                movable: (inputs.movable)(segment),
                settled: (inputs.settled)(segment),
            });
        }
        draft
    }

    /// Returns the number of slots that the traffic of a key range occupies, plus a small constant
    /// per key so that idle keys count too.
    fn load(&self, from: u16, to: u16) -> f64 {
        let idle_keys = f64::from(to - from) * 1e-6;
        self.inputs.rates.total(from, to) * self.inputs.request_time_s + idle_keys
    }

    fn capacity(&self, index: usize) -> f64 {
        self.inputs.candidates[index].capacity.max(0.01)
    }

    fn utilization(&self, index: usize) -> f64 {
        self.loads[index] / self.capacity(index)
    }

    /// Returns the difference from an expected load that chance alone explains.
    fn noise(&self, load: f64) -> f64 {
        let span = 2.0 * loads::TIME_CONSTANT.as_secs_f64();
        MIN_DEVIATION * (load * self.inputs.request_time_s / span).sqrt()
    }

    /// Returns the number of candidates.
    fn count(&self) -> u32 {
        u32::try_from(self.loads.len()).unwrap_or(u32::MAX)
    }

    fn mean_utilization(&self) -> f64 {
        let capacity: f64 = self.inputs.candidates.iter().map(|c| c.capacity).sum();
        self.loads.iter().sum::<f64>() / capacity.max(0.01)
    }

    fn least_utilized(&self) -> usize {
        let by_utilization = |left: &usize, right: &usize| {
            self.utilization(*left).total_cmp(&self.utilization(*right))
        };
        (0..self.loads.len())
            .min_by(by_utilization)
            .unwrap_or_default()
    }

    /// Returns the position in `servers` of the most utilized one.
    fn most_utilized(&self, servers: &[usize]) -> Option<usize> {
        (0..servers.len()).max_by(|left, right| {
            let (left, right) = (servers[*left], servers[*right]);
            self.utilization(left).total_cmp(&self.utilization(right))
        })
    }

    /// Reassigns the keys of servers that no longer accept keys.
    fn reassign_unavailable(&mut self) {
        for piece in std::mem::take(&mut self.pieces) {
            if piece.holder.is_some() || !piece.movable {
                self.pieces.push(piece);
                continue;
            }
            self.changed = true;
            let segment = piece.segment;
            match self.restarted(&segment.holder) {
                Some(index) => self.assign(&segment, segment.from, segment.to, index),
                None => self.distribute(&segment),
            }
        }
    }

    /// Returns the candidate that is a later incarnation of `holder`, if there is one.
    fn restarted(&self, holder: &Holder) -> Option<usize> {
        let candidates = self.inputs.candidates;
        candidates
            .iter()
            .position(|candidate| candidate.holder.id == holder.id)
    }

    /// Distributes a segment over the least utilized servers, in pieces of limited load.
    fn distribute(&mut self, segment: &Segment) {
        let all: f64 = self.loads.iter().sum::<f64>() + self.load(segment.from, segment.to);
        let max_load = (all / f64::from(self.count())) * MAX_PIECE;
        let mut from = segment.from;
        loop {
            let mut to = from;
            while to < segment.to && self.load(from, to + 1) <= max_load {
                to += 1;
            }
            let index = self.least_utilized();
            self.assign(segment, from, to, index);
            if to == segment.to {
                return;
            }
            from = to + 1;
        }
    }

    /// Appends a piece of `segment` that is assigned to candidate `index`.
    fn assign(&mut self, segment: &Segment, from: u16, to: u16, index: usize) {
        self.loads[index] += self.load(from, to);
        let segment = Segment {
            from,
            to,
            fence: self.sequence,
            holder: self.inputs.candidates[index].holder.clone(),
            previous: (self.inputs.previous)(segment),
        };
        self.pieces.push(Piece {
            segment,
            holder: Some(index),
            movable: false,
            settled: false,
        });
    }

    /// Moves a key that alone saturates its server to a clearly faster server, if there is one.
    ///
    /// A single key cannot be split, so its throughput is limited by the server that holds it.
    fn move_saturating_key(&mut self) {
        let mut saturated: Vec<usize> = (0..self.loads.len())
            .filter(|index| self.utilization(*index) > SATURATED)
            .collect();
        saturated
            .sort_by(|left, right| self.utilization(*right).total_cmp(&self.utilization(*left)));
        for index in saturated {
            let Some(range) = self.heaviest_key(index) else {
                continue;
            };
            let load = self.load(range.from, range.to);
            let candidates = self.inputs.candidates;
            if load < candidates[index].capacity * SATURATED {
                continue;
            }
            let utilization_after =
                |at: &usize| (load + self.loads[*at] * RETAINED_LOAD) / candidates[*at].capacity;
            let receivers = (0..self.loads.len()).filter(|at| self.utilization(*at) <= SATURATED);
            let best = receivers
                .min_by(|left, right| utilization_after(left).total_cmp(&utilization_after(right)));
            let Some(best) = best else {
                return;
            };
            if utilization_after(&best) * MIN_SPEEDUP < load / candidates[index].capacity {
                self.move_range(range, index, best);
                return;
            }
        }
    }

    /// Returns the movable segments of a server, with their positions.
    fn movable_of(&self, index: usize) -> impl Iterator<Item = (usize, &Segment)> {
        let pieces = self.pieces.iter().enumerate();
        let own = pieces.filter(move |(_, piece)| piece.movable && piece.holder == Some(index));
        let rates = self.inputs.rates;
        let own = own.filter(|(_, piece)| !rates.is_suspect(piece.segment.from, piece.segment.to));
        own.map(|(position, piece)| (position, &piece.segment))
    }

    /// Returns the movable key with the highest load on a server.
    fn heaviest_key(&self, index: usize) -> Option<Range> {
        let mut best: Option<(f64, Range)> = None;
        for (position, segment) in self.movable_of(index) {
            for key in segment.from..=segment.to {
                let load = self.load(key, key);
                if best.is_none_or(|(highest, _)| load > highest) {
                    let range = Range {
                        position,
                        from: key,
                        to: key,
                    };
                    best = Some((load, range));
                }
            }
        }
        best.map(|(_, range)| range)
    }

    /// Moves load from the most to the least utilized servers.
    ///
    /// A server whose excess cannot move, such as that of a single hot key or of keys that moved
    /// lately, does not keep the next ones from giving keys away.
    fn even_out_load(&mut self) {
        let calm = self.inputs.rates.is_calm();
        let mut sources: Vec<usize> = (0..self.loads.len()).collect();
        for _ in 0..MAX_MOVES {
            if self.pieces.len() >= self.max_segments() {
                return;
            }
            let mean = self.mean_utilization();
            let target = self.least_utilized();
            let deficit = mean - self.utilization(target);
            let spare = deficit * self.capacity(target);
            let target_idle = self.utilization(target) < mean * UNDERLOAD_RATIO
                && (spare > self.noise(mean * self.capacity(target))
                    || self.utilization(target) < mean * EMPTY_RATIO);
            let found = loop {
                let Some(position) = self.most_utilized(&sources) else {
                    return;
                };
                let source = sources[position];
                let excess = self.utilization(source) - mean;
                let min_excess = (mean * (OVERLOAD_RATIO - 1.0)).max(MIN_EXCESS);
                if excess < min_excess && !target_idle {
                    return;
                }
                let noise = self.noise(mean * self.capacity(source));
                if excess * self.capacity(source) < noise && !target_idle {
                    sources.swap_remove(position);
                    continue;
                }
                if !calm && self.base_utilization(source) < UNSETTLED_OVERLOAD {
                    sources.swap_remove(position);
                    continue;
                }
                let surplus = if target_idle {
                    spare * 0.6
                } else {
                    spare.min(excess * self.inputs.candidates[source].capacity)
                };
                match self.range_to_move(source, surplus) {
                    Some(range) => break (range, source),
                    None => drop(sources.swap_remove(position)),
                }
            };
            let (range, source) = found;
            self.move_range(range, source, target);
        }
    }

    /// Returns the movable range of a server's keys to move, with a load of about `surplus`: the
    /// narrowest one, or the heaviest one if all are lighter.
    fn range_to_move(&self, index: usize, surplus: f64) -> Option<Range> {
        let mut narrowest: Option<Range> = None;
        let mut heaviest: Option<(f64, Range)> = None;
        for (position, segment) in self.movable_of(index) {
            if self.inputs.rates.is_surging(segment.from, segment.to) {
                continue;
            }
            let mut to = segment.from;
            for from in segment.from..=segment.to {
                to = to.max(from);
                while to < segment.to && self.load(from, to + 1) <= surplus * MOVED_PART.1 {
                    to += 1;
                }
                let load = self.load(from, to);
                if load > surplus * MOVED_PART.1 {
                    continue;
                }
                let range = Range { position, from, to };
                if load < surplus * MOVED_PART.0 {
                    if load > heaviest.map_or(MIN_MOVED_LOAD, |(highest, _)| highest) {
                        heaviest = Some((load, range));
                    }
                    continue;
                }
                let width = to - from;
                if narrowest.is_none_or(|best| width < best.to - best.from) {
                    narrowest = Some(range);
                }
            }
        }
        narrowest.or(heaviest.map(|(_, range)| range))
    }

    /// Splits a range off its segment and assigns it to `target`.
    fn move_range(&mut self, range: Range, source: usize, target: usize) {
        let piece = self.pieces[range.position].clone();
        self.loads[source] -= self.load(range.from, range.to);
        let mut parts = Vec::with_capacity(3);
        if piece.segment.from < range.from {
            let mut before = piece.clone();
            before.segment.to = range.from - 1;
            parts.push(before);
        }
        self.assign(&piece.segment, range.from, range.to, target);
        parts.extend(self.pieces.pop());
        if range.to < piece.segment.to {
            let mut after = piece;
            after.segment.from = range.to + 1;
            parts.push(after);
        }
        self.pieces.splice(range.position..=range.position, parts);
        self.changed = true;
    }

    fn finish(mut self) -> Option<Plan> {
        self.fold_fragments();
        let segments = self.pieces.into_iter().map(|piece| piece.segment);
        let plan = Plan {
            sequence: self.sequence,
            segments: segments.collect(),
        };
        (self.changed && plan.covers_all_keys()).then_some(plan)
    }
}

/// Range of keys within the segment at `position`.
#[derive(Clone, Copy, Debug)]
struct Range {
    position: usize,
    from: u16,
    to: u16,
}
