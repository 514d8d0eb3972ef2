//! Invariants that the decisions found broken, for the time line.

use std::collections::BTreeMap;

use serde_json::Value;
use tarragon_model::time::Instant;
use tarragon_timeline::event::{Draft, Kind, Name};

/// What was known at the latest look.
#[derive(Debug, Default)]
pub struct Invariants {
    /// When to look again.
    pub due: Instant,
    known: BTreeMap<String, u64>,
}

impl Invariants {
    /// Compares counts by name with those of the latest look, and returns an event for each that
    /// has grown.
    ///
    /// ```
    /// use serde_json::json;
    /// use tarragon_router::invariants::Invariants;
    ///
    /// let mut invariants = Invariants::default();
    /// let drafts = invariants.compare(&json!({ "slots": 2 }));
    /// assert_eq!(drafts[0].to_string(), "event=invariant-broken detail=slots count=2");
    /// assert!(invariants.compare(&json!({ "slots": 2 })).is_empty());
    /// ```
    pub fn compare(&mut self, counts: &Value) -> Vec<Draft> {
        let counts = counts.as_object().into_iter().flatten();
        let mut drafts = Vec::new();
        for (name, count) in counts {
            let count = count.as_u64().unwrap_or_default();
            // A shard that is led elsewhere takes its count along, so a count may also shrink.
            let before = self.known.insert(name.clone(), count).unwrap_or_default();
            if count > before {
                drafts.push(
                    Draft::new(Kind::InvariantBroken)
                        .with(Name::Detail, name)
                        .with(Name::Count, count),
                );
            }
        }
        drafts
    }
}
