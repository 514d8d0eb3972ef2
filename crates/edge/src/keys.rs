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

impl Map {
    /// Tells what a granter knows.
    #[must_use]
    pub fn of(granter: &Granter, version: (u64, u64)) -> Self {
        let plan = granter.plan();
        let ranges = plan.segments.iter().map(|segment| Range {
            to: segment.to,
            holder: segment.holder.clone(),
            held: granter.taken(segment.from),
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
pub struct Known {
    /// The map.
    pub map: Map,
    /// When it came.
    pub at: Instant,
}
