//! Which keys should be held elsewhere.
//!
//! Leaving and lost holders come first. Beyond that a move is worth it only when one server is
//! clearly busier than the mean; the narrowest range that carries the surplus moves, since moved
//! keys are priced by their number and not by their traffic.

use crate::loads::Rates;
use crate::plan::{Holder, Plan, PreviousHolder, Segment};

/// Backend server that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The server's present life.
    pub holder: Holder,
    /// Requests that it can run at a time, in slots of a server of mean speed.
    pub capacity: f64,
}

/// What may be moved, and what it costs.
pub struct Inputs<'a> {
    /// Servers that take keys.
    pub candidates: &'a [Candidate],
    /// Requests a second.
    pub rates: &'a Rates,
    /// Time of a request on a server of mean speed, in seconds.
    pub request_time_s: f64,
    /// Number that the next plan's sequence is not below.
    pub min_sequence: u64,
    /// Whether a segment's keys are in nobody's transfer, and were not moved just now.
    pub movable: &'a dyn Fn(&Segment) -> bool,
    /// Who may hold a segment's keys and must be freed of them before the next holder gets them.
    pub previous: &'a dyn Fn(&Segment) -> Option<PreviousHolder>,
}

/// Part above the mean load from which a server gives keys away.
const HOT: f64 = 1.12;
/// Load above the mean, as part of a server's slots, below which nothing moves.
const HOT_STEP: f64 = 0.04;
/// Part of the mean load below which a server is given keys.
const IDLE: f64 = 0.4;
/// Transfers for load in one plan, at most.
const MAX_MOVES: usize = 10;
/// Use of a server from which a key that fills it is worth a faster one.
const CROWDED: f64 = 0.8;
/// How much sooner a key's requests must be expected to run at the faster server.
const FASTER: f64 = 1.3;
/// Part of the faster server's own load that still counts: most of it makes room later.
const STAYS: f64 = 0.4;
/// Part of a server's fair load that one piece of a leaving server's keys carries at most.
const PIECE: f64 = 0.34;
/// Bounds of the load that a moved range carries, as parts of the surplus.
const FIT: (f64, f64) = (0.5, 1.15);

/// Returns the next plan, or `None` when the present one is good enough.
#[must_use]
pub fn next_plan(plan: &Plan, inputs: &Inputs<'_>) -> Option<Plan> {
    if inputs.candidates.is_empty() {
        return None;
    }
    let mut draft = Draft::new(plan, inputs);
    draft.replace_holders();
    draft.quicken();
    draft.level();
    draft.finish()
}

/// A plan in the making, with the load of each candidate.
struct Draft<'a> {
    inputs: &'a Inputs<'a>,
    sequence: u64,
    segments: Vec<Segment>,
    loads: Vec<f64>,
    changed: bool,
}

impl<'a> Draft<'a> {
    fn new(plan: &Plan, inputs: &'a Inputs<'a>) -> Self {
        let mut draft = Self {
            inputs,
            sequence: inputs.min_sequence.max(plan.sequence + 1),
            segments: plan.segments.clone(),
            loads: vec![0.0; inputs.candidates.len()],
            changed: false,
        };
        for segment in &plan.segments {
            if let Some(index) = draft.candidate(&segment.holder) {
                draft.loads[index] += draft.load(segment.from, segment.to);
            }
        }
        draft
    }

    /// Returns the slots that the traffic of some keys keeps busy, with a little for idle keys.
    fn load(&self, from: u16, to: u16) -> f64 {
        let idle = f64::from(to - from) * 1e-6;
        self.inputs.rates.total(from, to) * self.inputs.request_time_s + idle
    }

    fn candidate(&self, holder: &Holder) -> Option<usize> {
        let candidates = self.inputs.candidates;
        candidates
            .iter()
            .position(|candidate| candidate.holder == *holder)
    }

    fn use_of(&self, index: usize) -> f64 {
        self.loads[index] / self.inputs.candidates[index].capacity.max(0.01)
    }

    fn mean_use(&self) -> f64 {
        let capacity: f64 = self.inputs.candidates.iter().map(|c| c.capacity).sum();
        self.loads.iter().sum::<f64>() / capacity.max(0.01)
    }

    fn coldest(&self) -> usize {
        let order =
            |left: &usize, right: &usize| self.use_of(*left).total_cmp(&self.use_of(*right));
        (0..self.loads.len()).min_by(order).unwrap_or_default()
    }

    fn hottest(&self) -> usize {
        let order =
            |left: &usize, right: &usize| self.use_of(*left).total_cmp(&self.use_of(*right));
        (0..self.loads.len()).max_by(order).unwrap_or_default()
    }

    /// Gives the keys of holders that take none any more to others.
    fn replace_holders(&mut self) {
        let segments = std::mem::take(&mut self.segments);
        for segment in segments {
            if self.candidate(&segment.holder).is_some() || !(self.inputs.movable)(&segment) {
                self.segments.push(segment);
                continue;
            }
            self.changed = true;
            match self.reborn(&segment.holder) {
                Some(index) => self.hand(&segment, segment.from, segment.to, index),
                None => self.scatter(&segment),
            }
        }
    }

    /// Returns the next life of a holder, if it takes keys.
    fn reborn(&self, holder: &Holder) -> Option<usize> {
        let candidates = self.inputs.candidates;
        candidates
            .iter()
            .position(|candidate| candidate.holder.id == holder.id)
    }

    /// Deals the keys of a segment to the least busy servers, in pieces of a limited load.
    fn scatter(&mut self, segment: &Segment) {
        let all: f64 = self.loads.iter().sum::<f64>() + self.load(segment.from, segment.to);
        let count = u32::try_from(self.inputs.candidates.len()).unwrap_or(u32::MAX);
        let most = (all / f64::from(count)) * PIECE;
        let mut from = segment.from;
        loop {
            let mut to = from;
            while to < segment.to && self.load(from, to + 1) <= most {
                to += 1;
            }
            let index = self.coldest();
            self.hand(segment, from, to, index);
            if to == segment.to {
                return;
            }
            from = to + 1;
        }
    }

    /// Adds a piece of `segment` that candidate `index` is to hold next.
    fn hand(&mut self, segment: &Segment, from: u16, to: u16, index: usize) {
        self.loads[index] += self.load(from, to);
        self.segments.push(Segment {
            from,
            to,
            fence: self.sequence,
            holder: self.inputs.candidates[index].holder.clone(),
            previous: (self.inputs.previous)(segment),
        });
    }

    /// Gives a key that alone fills its server to a faster one, where one is clearly faster.
    ///
    /// Such a key cannot be divided: what its holder runs in a second is all that is served.
    fn quicken(&mut self) {
        let mut crowded: Vec<usize> = (0..self.loads.len())
            .filter(|index| self.use_of(*index) > CROWDED)
            .collect();
        crowded.sort_by(|left, right| self.use_of(*right).total_cmp(&self.use_of(*left)));
        for index in crowded {
            let Some(range) = self.heaviest(index) else {
                continue;
            };
            let load = self.load(range.from, range.to);
            let candidates = self.inputs.candidates;
            if load < candidates[index].capacity * CROWDED {
                continue;
            }
            let after = |at: &usize| (load + self.loads[*at] * STAYS) / candidates[*at].capacity;
            let open = (0..self.loads.len()).filter(|at| self.use_of(*at) <= CROWDED);
            let best = open.min_by(|left, right| after(left).total_cmp(&after(right)));
            let Some(best) = best else {
                return;
            };
            if after(&best) * FASTER < load / candidates[index].capacity {
                self.cut(range, index, best);
                return;
            }
        }
    }

    /// Finds the key of a server that carries most.
    fn heaviest(&self, index: usize) -> Option<Range> {
        let holder = &self.inputs.candidates[index].holder;
        let mut best: Option<(f64, Range)> = None;
        for (place, segment) in self.segments.iter().enumerate() {
            let fixed = segment.fence == self.sequence || !(self.inputs.movable)(segment);
            if segment.holder != *holder || fixed {
                continue;
            }
            for key in segment.from..=segment.to {
                let load = self.load(key, key);
                if best.is_none_or(|(most, _)| load > most) {
                    let range = Range {
                        place,
                        from: key,
                        to: key,
                    };
                    best = Some((load, range));
                }
            }
        }
        best.map(|(_, range)| range)
    }

    /// Moves load from the busiest to the least busy servers.
    fn level(&mut self) {
        for _ in 0..MAX_MOVES {
            let mean = self.mean_use();
            let (hot, cold) = (self.hottest(), self.coldest());
            let over = self.use_of(hot) - mean;
            let under = mean - self.use_of(cold);
            let idle = self.use_of(cold) < mean * IDLE;
            if over < (mean * (HOT - 1.0)).max(HOT_STEP) && !idle {
                return;
            }
            let candidates = self.inputs.candidates;
            let spare = under * candidates[cold].capacity;
            let surplus = if idle {
                spare * 0.6
            } else {
                spare.min(over * candidates[hot].capacity)
            };
            let Some(range) = self.narrowest(hot, surplus) else {
                return;
            };
            self.cut(range, hot, cold);
        }
    }

    /// Finds the narrowest range of a server's keys that carries about `surplus`.
    fn narrowest(&self, index: usize, surplus: f64) -> Option<Range> {
        let holder = &self.inputs.candidates[index].holder;
        let mut best: Option<Range> = None;
        for (place, segment) in self.segments.iter().enumerate() {
            let fixed = segment.fence == self.sequence || !(self.inputs.movable)(segment);
            if segment.holder != *holder || fixed {
                continue;
            }
            let mut to = segment.from;
            for from in segment.from..=segment.to {
                to = to.max(from);
                while to < segment.to && self.load(from, to + 1) <= surplus * FIT.1 {
                    to += 1;
                }
                let load = self.load(from, to);
                let fits = load >= surplus * FIT.0 && load <= surplus * FIT.1;
                if !fits {
                    continue;
                }
                let width = to - from;
                if best.is_none_or(|best| width < best.to - best.from) {
                    best = Some(Range { place, from, to });
                }
            }
        }
        best
    }

    /// Cuts a range out of its segment for another server.
    fn cut(&mut self, range: Range, hot: usize, cold: usize) {
        let segment = self.segments[range.place].clone();
        self.loads[hot] -= self.load(range.from, range.to);
        let mut pieces = Vec::with_capacity(3);
        if segment.from < range.from {
            pieces.push(Segment {
                to: range.from - 1,
                ..segment.clone()
            });
        }
        self.hand(&segment, range.from, range.to, cold);
        pieces.extend(self.segments.pop());
        if range.to < segment.to {
            pieces.push(Segment {
                from: range.to + 1,
                ..segment
            });
        }
        self.segments.splice(range.place..=range.place, pieces);
        self.changed = true;
    }

    fn finish(self) -> Option<Plan> {
        let plan = Plan {
            sequence: self.sequence,
            segments: self.segments,
        };
        (self.changed && plan.covers_all_keys()).then_some(plan)
    }
}

/// Keys of one segment.
#[derive(Clone, Copy, Debug)]
struct Range {
    place: usize,
    from: u16,
    to: u16,
}
