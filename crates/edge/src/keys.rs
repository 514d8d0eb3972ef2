//! Key maps, which name the backend server that holds each key, and their patches.

use serde::{Deserialize, Serialize};
use tarragon_model::time::Instant;
use tarragon_owner::granter::Granter;
use tarragon_owner::plan::{Holder, Plan};

/// Holders of a service's keys at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Map {
    /// Granter's term, then the number of changes of the map in that term: larger ones are later.
    /// The term is 0 in a map that was read from a plan.
    pub version: (u64, u64),
    /// Sequence number of the plan that the map follows.
    pub sequence: u64,
    /// Ranges in the order of their keys, without gaps.
    pub ranges: Vec<Range>,
}

/// Range of keys that one backend server holds, or is to hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Range {
    /// Last key; the first key follows the range before.
    pub to: u16,
    /// The backend server.
    pub holder: Holder,
    /// Whether it has accepted a grant of the keys.
    pub held: bool,
}

/// Changes that lead from one map to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Version of the map that the patch applies to.
    #[serde(rename = "since")]
    pub base: (u64, u64),
    /// Version of the patched map.
    pub version: (u64, u64),
    /// Sequence number of the plan that the patched map follows.
    pub sequence: u64,
    /// Changed ranges, in the order of their keys.
    pub changes: Vec<Change>,
}

/// Range of keys that has another holder, or whose holder has accepted or lost its grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// The backend server.
    pub holder: Holder,
    /// Whether it has accepted a grant of the keys.
    pub held: bool,
}

impl Map {
    /// Returns the patch that leads from `before` to this map.
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
    /// let patch = after.diff(&before);
    /// assert_eq!(patch.changes.len(), 2);
    /// let mut patched = before.clone();
    /// patched.apply(&patch);
    /// assert_eq!(patched.find(8).unwrap().holder.id, "b");
    /// assert!(!patched.find(5).unwrap().held);
    /// assert!(patched.find(0).unwrap().held);
    /// ```
    #[must_use]
    pub fn diff(&self, before: &Self) -> Patch {
        let mut changes: Vec<Change> = Vec::new();
        let mut from: u16 = 0;
        let (mut old, mut new) = (before.ranges.iter(), self.ranges.iter());
        let (mut old_range, mut new_range) = (old.next(), new.next());
        while let Some(range) = new_range {
            let to = old_range.map_or(range.to, |old_range| old_range.to.min(range.to));
            let same = old_range.is_some_and(|old_range| {
                old_range.holder == range.holder && old_range.held == range.held
            });
            if !same {
                changes.push(Change {
                    from,
                    to,
                    holder: range.holder.clone(),
                    held: range.held,
                });
            }
            if old_range.is_some_and(|old_range| old_range.to == to) {
                old_range = old.next();
            }
            if range.to == to {
                new_range = new.next();
            }
            from = to.saturating_add(1);
        }
        Patch {
            base: before.version,
            version: self.version,
            sequence: self.sequence,
            changes,
        }
    }

    /// Applies a patch to the map of the version that it names in `base`.
    ///
    /// Changes whose first key is after their last one are skipped.
    pub fn apply(&mut self, patch: &Patch) {
        for change in patch
            .changes
            .iter()
            .filter(|change| change.from <= change.to)
        {
            self.apply_change(change);
        }
        self.version = patch.version;
        self.sequence = patch.sequence;
    }

    fn apply_change(&mut self, change: &Change) {
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

    /// Returns the map that follows from a granter's plan and the accepted grants.
    #[must_use]
    pub fn from_granter(granter: &Granter, version: (u64, u64)) -> Self {
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

    /// Returns the map that follows from a plan alone, for a host that hears no granter.
    ///
    /// It assumes that every holder has accepted its grant.
    #[must_use]
    pub fn from_plan(plan: &Plan) -> Self {
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

    /// Returns the range that contains a key.
    #[must_use]
    pub fn find(&self, key: u16) -> Option<&Range> {
        let index = self.ranges.partition_point(|range| range.to < key);
        self.ranges.get(index)
    }
}

/// Key map of one service as this host received it.
#[derive(Clone, Debug)]
pub struct Received {
    /// The map.
    pub map: Map,
    /// When the map or its latest patch was received.
    pub received_at: Instant,
}
