//! Assignment of keys to backend servers, as kept in the store.

use serde::{Deserialize, Serialize};

/// Largest key.
pub const MAX_KEY: u16 = u16::MAX;

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Identifier of the backend server.
    pub id: String,
    /// Start time of its process, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub start_ms: u64,
}

/// Server that held keys before their current holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousHolder {
    /// The previous holder.
    pub holder: Holder,
    /// Fencing token under which it held the keys.
    pub fence: u64,
}

/// Range of keys assigned to one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// First key.
    pub from: u16,
    /// Last key, inclusive.
    pub to: u16,
    /// Fencing token of the grants.
    pub fence: u64,
    /// Backend server that the keys are assigned to.
    pub holder: Holder,
    /// Server that may still hold the keys, until the first grant to `holder` is known to be
    /// allowed.
    #[serde(rename = "former")]
    pub previous: Option<PreviousHolder>,
}

/// Assignment of all keys of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Version number of the plan, and the highest fencing token used so far.
    pub sequence: u64,
    /// Segments in key order; together they cover every key exactly once.
    pub segments: Vec<Segment>,
}

impl Segment {
    /// Returns whether the plan `sequence` only joined segments of the same holder to this one.
    pub(crate) fn joined_in(&self, sequence: u64) -> bool {
        let kept = |previous: &PreviousHolder| previous.holder == self.holder;
        self.fence == sequence && self.previous.as_ref().is_some_and(kept)
    }
}

impl Plan {
    /// Assigns the keys, in proportion to the weights, to holders that hold none yet.
    ///
    /// ```
    /// use tarragon_owner::plan::{Holder, Plan};
    ///
    /// let holder = |id: &str| Holder { id: id.to_owned(), start_ms: 1 };
    /// let plan = Plan::assign(&[(holder("a"), 1.0), (holder("b"), 1.0)], 7);
    /// assert_eq!(plan.find(0).unwrap().holder.id, "a");
    /// assert_eq!(plan.find(65_535).unwrap().holder.id, "b");
    /// ```
    #[must_use]
    pub fn assign(holders: &[(Holder, f64)], sequence: u64) -> Self {
        let total: f64 = holders.iter().map(|(_, weight)| weight).sum();
        let mut segments = Vec::with_capacity(holders.len());
        let mut from: u32 = 0;
        let mut assigned = 0.0;
        for (index, (holder, weight)) in holders.iter().enumerate() {
            assigned += weight;
            let last = index + 1 == holders.len();
            let end = if last {
                u32::from(MAX_KEY) + 1
            } else {
                first_key_after(assigned / total)
            };
            if end > from {
                segments.push(Segment {
                    from: to_key(from),
                    to: to_key(end - 1),
                    fence: sequence,
                    holder: holder.clone(),
                    previous: None,
                });
                from = end;
            }
        }
        Self { sequence, segments }
    }

    /// Returns the segment that contains a key.
    #[must_use]
    pub fn find(&self, key: u16) -> Option<&Segment> {
        let index = self.segments.partition_point(|segment| segment.to < key);
        self.segments
            .get(index)
            .filter(|segment| segment.from <= key)
    }

    /// Returns whether the segments cover every key exactly once.
    #[must_use]
    pub fn covers_all_keys(&self) -> bool {
        let mut next: u32 = 0;
        for segment in &self.segments {
            if u32::from(segment.from) != next || segment.to < segment.from {
                return false;
            }
            next = u32::from(segment.to) + 1;
        }
        next == u32::from(MAX_KEY) + 1
    }
}

fn first_key_after(part: f64) -> u32 {
    let keys = f64::from(MAX_KEY) + 1.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is clamped into the range of keys"
    )]
    let end = (part * keys).clamp(0.0, keys) as u32;
    end
}

fn to_key(value: u32) -> u16 {
    u16::try_from(value).unwrap_or(MAX_KEY)
}
