//! Timeline events for invariant violations that the node counts.

use std::collections::BTreeMap;

use serde_json::Value;
use tarragon_model::time::Instant;
use tarragon_timeline::event::{Draft, Kind, Name};

/// Detects increases of the violation counts.
#[derive(Debug, Default)]
pub struct Monitor {
    /// Time of the next check.
    pub next_check: Instant,
    counts_seen: BTreeMap<String, u64>,
}

impl Monitor {
    /// Compares the violation counts by invariant with those of the previous call, and returns an
    /// event for each count that has increased.
    ///
    /// ```
    /// use serde_json::json;
    /// use tarragon_router::invariants::Monitor;
    ///
    /// let mut invariants = Monitor::default();
    /// let drafts = invariants.compare(&json!({ "slots": 2 }));
    /// assert_eq!(drafts[0].to_string(), "event=invariant-broken detail=slots count=2");
    /// assert!(invariants.compare(&json!({ "slots": 2 })).is_empty());
    /// ```
    pub fn compare(&mut self, counts: &Value) -> Vec<Draft> {
        let counts = counts.as_object().into_iter().flatten();
        let mut drafts = Vec::new();
        for (name, count) in counts {
            let count = count.as_u64().unwrap_or_default();
            // A shard that another process takes over no longer counts here, so a count may
            // decrease.
            let before = self
                .counts_seen
                .insert(name.clone(), count)
                .unwrap_or_default();
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
