//! Which backend server holds which keys, as hosts tell one another.

use serde::{Deserialize, Serialize};
use tarragon_model::time::Instant;
use tarragon_owner::granter::Granter;
use tarragon_owner::plan::{Holder, Plan};

/// Holders of a service's keys at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Map {
    /// Version of the granter's office, then count of its changes: larger ones are later.
    pub version: (u64, u64),
    /// Number of the plan behind the map.
    pub sequence: u64,
    /// Ranges in the order of their keys.
    pub ranges: Vec<Range>,
}

/// Keys that one backend server holds, or is about to hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Range {
    /// Last key; the first one follows the range before.
    pub to: u16,
    /// The holder.
    pub holder: Holder,
    /// Whether it has taken its grant.
    pub held: bool,
}

/// What changed between two maps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Version of the map that it changes.
    pub since: (u64, u64),
    /// Version of the map that it makes.
    pub version: (u64, u64),
    /// Number of the plan behind the new map.
    pub sequence: u64,
    /// The changed ranges, in the order of their keys.
    pub changes: Vec<Change>,
}

/// Range of keys whose holder, or its hold, changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// The holder.
    pub holder: Holder,
    /// Whether it has taken its grant.
    pub held: bool,
}

impl Map {
    /// Returns what changed since `before`.
    ///
    /// ```
    /// use tarragon_edge::keys::{Map, Range};
    /// use tarragon_owner::plan::Holder;
    ///
    /// let range = |to, id: &str, held| Range {
    ///     to,
    ///     holder: Holder { id: id.to_owned(), start_ms: 1 },
    ///     held,
    /// };
    /// let map = |version, ranges| Map { version: (1, version), sequence: version, ranges };
    /// let before = map(1, vec![range(9, "a", true), range(65_535, "b", true)]);
    /// let after = map(2, vec![range(4, "a", true), range(7, "b", false), range(65_535, "b", true)]);
    /// let patch = after.since(&before);
    /// assert_eq!(patch.changes.len(), 2);
    /// let mut patched = before.clone();
    /// patched.apply(&patch);
    /// assert_eq!(patched.find(8).unwrap().holder.id, "b");
    /// assert!(!patched.find(5).unwrap().held);
    /// assert!(patched.find(0).unwrap().held);
    /// ```
    #[must_use]
    pub fn since(&self, before: &Self) -> Patch {
        let mut changes: Vec<Change> = Vec::new();
        let mut from: u16 = 0;
        let (mut old, mut new) = (before.ranges.iter(), self.ranges.iter());
        let (mut was, mut is) = (old.next(), new.next());
        while let Some(range) = is {
            let to = was.map_or(range.to, |was| was.to.min(range.to));
            let same = was.is_some_and(|was| was.holder == range.holder && was.held == range.held);
            if !same {
                changes.push(Change {
                    from,
                    to,
                    holder: range.holder.clone(),
                    held: range.held,
                });
            }
            if was.is_some_and(|was| was.to == to) {
                was = old.next();
            }
            if range.to == to {
                is = new.next();
            }
            from = to.saturating_add(1);
        }
        Patch {
            since: before.version,
            version: self.version,
            sequence: self.sequence,
            changes,
        }
    }

    /// Makes this map the later one that a patch leads to.
    pub fn apply(&mut self, patch: &Patch) {
        for change in &patch.changes {
            self.overlay(change);
        }
        self.version = patch.version;
        self.sequence = patch.sequence;
    }

    fn overlay(&mut self, change: &Change) {
        let first = self.ranges.partition_point(|range| range.to < change.from);
        let last = self.ranges.partition_point(|range| range.to < change.to);
        let begin = match first {
            0 => 0,
            _ => self.ranges[first - 1].to.saturating_add(1),
        };
        let mut pieces = Vec::with_capacity(3);
        if let Some(head) = self.ranges.get(first)
            && begin < change.from
        {
            pieces.push(Range {
                to: change.from - 1,
                ..head.clone()
            });
        }
        pieces.push(Range {
            to: change.to,
            holder: change.holder.clone(),
            held: change.held,
        });
        let end = last.min(self.ranges.len().saturating_sub(1));
        if let Some(tail) = self.ranges.get(end)
            && tail.to > change.to
        {
            pieces.push(tail.clone());
        }
        if self.ranges.is_empty() {
            self.ranges = pieces;
        } else {
            self.ranges.splice(first..=end, pieces);
        }
    }

    /// Tells what a granter knows.
    #[must_use]
    pub fn of(granter: &Granter, version: (u64, u64)) -> Self {
        let plan = granter.plan();
        let ranges = plan.segments.iter().map(|segment| Range {
            to: segment.to,
            holder: segment.holder.clone(),
            held: granter.is_accepted(segment.from),
        });
        Self {
            version,
            sequence: plan.sequence,
            ranges: ranges.collect(),
        }
    }

    /// Takes the holders from a plan, for a host that hears no granter.
    #[must_use]
    pub fn assume(plan: &Plan) -> Self {
        let ranges = plan.segments.iter().map(|segment| Range {
            to: segment.to,
            holder: segment.holder.clone(),
            held: true,
        });
        Self {
            version: (0, plan.sequence),
            sequence: plan.sequence,
            ranges: ranges.collect(),
        }
    }

    /// Returns the range of a key.
    #[must_use]
    pub fn find(&self, key: u16) -> Option<&Range> {
        let index = self.ranges.partition_point(|range| range.to < key);
        self.ranges.get(index)
    }
}

/// Map of one service and when this host learnt it.
#[derive(Clone, Debug)]
pub struct Received {
    /// The map.
    pub map: Map,
    /// When it came.
    pub received_at: Instant,
}
